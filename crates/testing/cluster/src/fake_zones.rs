//! Fake engines in zones, on loopback. Each engine has one listener per zone of fronts, so that zones can be
//! partitioned from each other. Each engine records the requests that it received, for tests to check.

use crate::ReceivedRequest;
use crate::fake_engine::{FakeEngine, serve_connection};
use lemonusher_fakes::{settings, start_config};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two steps of the engine model.
const TICK: Duration = Duration::from_millis(2);

/// A request class, with the deployment's settings and the cost of a request at the engines.
#[derive(Debug, Clone, Copy)]
pub struct FakeClass {
    /// Its name.
    pub name: &'static str,
    /// Value of a response within the latency objective.
    pub priority_weight: f64,
    /// Work of a request, in thread-seconds.
    pub work: f64,
    /// Number of threads that a request runs on.
    pub threads: f64,
    /// Time within which a response counts as on time.
    pub latency_objective: Duration,
    /// Longest time that a client waits.
    pub deadline: Duration,
    /// Whether a request must not run twice.
    pub non_idempotent: bool,
    /// The only zone where it may run; `None` for any zone.
    pub allowed_zone: Option<u32>,
}

/// Configuration of the zones and their engines.
#[derive(Debug, Clone)]
pub struct FakeZonesConfig {
    /// Number of zones.
    pub zones: usize,
    /// Number of engines in each zone.
    pub engines_per_zone: usize,
    /// Number of cores of an engine.
    pub cores: f64,
    /// The request classes.
    pub classes: Vec<FakeClass>,
    /// Speed of an engine right after a restart, as a share of full speed.
    pub cold_share: f64,
    /// Time from a restart until full speed.
    pub warm_up: Duration,
    /// Overload limit of a cold engine, as a multiple of the work that it can do at its cold speed in the overload
    /// window.
    pub overload_multiple: f64,
    /// The window over which work sent to a cold engine is summed.
    pub overload_window: Duration,
}

/// All engines, and the partitions between zones.
pub(crate) struct Shared {
    pub(crate) config: FakeZonesConfig,
    pub(crate) engines: Vec<Mutex<FakeEngine>>,
    /// Whether two zones are partitioned, by zone of the front and zone of the engine.
    partitioned: Mutex<Vec<Vec<bool>>>,
    ending: AtomicBool,
}

impl Shared {
    fn for_each_in(&self, zone: usize, mut act: impl FnMut(&mut FakeEngine)) {
        for engine in &self.engines {
            let mut engine = engine.lock().unwrap();
            if engine.zone == zone {
                act(&mut engine);
            }
        }
    }

    /// Accepts connections from the fronts of one zone to one engine.
    fn accept(self: &Arc<Shared>, listener: &TcpListener, index: usize, from_zone: usize) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.ending.load(Ordering::Relaxed) {
                return;
            }
            let mut engine = self.engines[index].lock().unwrap();
            if !engine.is_up || self.partitioned.lock().unwrap()[from_zone][engine.zone] {
                continue; // Dropping the stream closes or resets it.
            }
            engine.add_connection(from_zone, stream.try_clone().unwrap());
            let shared = self.clone();
            thread::spawn(move || serve_connection(&shared, index, from_zone, stream));
        }
    }

    /// Advances the engine model in real time until the zones are dropped.
    fn tick(&self) {
        let mut last = Instant::now();
        while !self.ending.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            let now = Instant::now();
            for engine in &self.engines {
                engine.lock().unwrap().run(&self.config, now, now - last);
            }
            last = now;
        }
    }
}

/// All zones. Their threads end when this is dropped.
pub struct FakeZones {
    shared: Arc<Shared>,
    /// Address of the listener, by engine and zone of the front.
    addresses: Vec<Vec<SocketAddr>>,
}

impl FakeZones {
    /// Starts all engines, warm.
    pub fn start(config: FakeZonesConfig) -> FakeZones {
        let engine_count = config.zones * config.engines_per_zone;
        let engine = |index: usize| FakeEngine::new(index / config.engines_per_zone, config.cores);
        let shared = Arc::new(Shared {
            engines: (0..engine_count).map(|index| Mutex::new(engine(index))).collect(),
            partitioned: Mutex::new(vec![vec![false; config.zones]; config.zones]),
            ending: AtomicBool::new(false),
            config,
        });
        let mut addresses = vec![Vec::new(); engine_count];
        for (index, addresses) in addresses.iter_mut().enumerate() {
            for from_zone in 0..shared.config.zones {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                addresses.push(listener.local_addr().unwrap());
                let shared = shared.clone();
                thread::spawn(move || shared.accept(&listener, index, from_zone));
            }
        }
        let ticking = shared.clone();
        thread::spawn(move || ticking.tick());
        FakeZones { shared, addresses }
    }

    /// Start configuration of a front in this zone; `channel` is the address of its discovery channel.
    pub fn front_start(&self, front: usize, zone: usize, fronts: usize, channel: SocketAddr) -> Value {
        let mut start = start_config(&[], channel);
        let members = (0..self.addresses.len()).map(|engine| self.member(engine, zone));
        start["known"]["cmds"][0]["nodes"]["members"] = members.collect();
        start["name"] = format!("n{front}").into();
        start["settings"] = self.deployment(front, zone, fronts);
        start
    }

    /// The deployment's settings, under their names on the wire.
    fn deployment(&self, front: usize, zone: usize, fronts: usize) -> Value {
        let config = &self.shared.config;
        let classes = &config.classes;
        let mut deployment = settings();
        deployment["areas"] = (0..config.zones).map(zone_name).collect();
        deployment["balancers"] = fronts.into();
        deployment["my_number"] = front.into();
        deployment["zone"] = zone.into();
        deployment["classes"] = classes.iter().map(class_settings).collect();
        let family = &mut deployment["family_info"];
        family["class_load"] = classes.iter().map(|_| false).collect();
        family["class_threads"] = classes.iter().map(|class| json!(class.threads)).collect();
        family["yields_to_loads"] = classes.iter().map(|_| false).collect();
        family["cpu_of_kind"] = json!([config.cores]);
        family["memory_by_kind_mb"] = json!([1e9]);
        let rules = &mut deployment["obligations"];
        rules["cold_from"] = json!(config.cold_share);
        rules["cold_us"] = json!(config.warm_up.as_micros() as u64);
        rules["fall_multiple"] = json!(config.overload_multiple);
        rules["tip_after_us"] = json!(config.overload_window.as_micros() as u64);
        deployment
    }

    /// Entry of an engine in the endpoint list of a front in this zone.
    fn member(&self, engine: usize, front_zone: usize) -> Value {
        let zone = engine / self.shared.config.engines_per_zone;
        json!({"id": format!("s-{:08x}", engine + 1), "host_port": self.addresses[engine][front_zone].to_string(),
            "locality": zone_name(zone), "flavor": "std", "cell": 0, "phase": "Ready",
            "size": 1, "up_since_ms": 0})
    }

    /// Stops a zone's engines: running requests are lost, connections are closed, and new connections are closed
    /// on accept.
    pub fn stop(&self, zone: usize) {
        self.shared.for_each_in(zone, FakeEngine::stop);
    }

    /// Starts a zone's engines, cold.
    pub fn restart(&self, zone: usize) {
        self.shared.for_each_in(zone, FakeEngine::restart);
    }

    /// Makes a zone's engines slower by this factor.
    pub fn set_slowdown(&self, zone: usize, factor: f64) {
        self.shared.for_each_in(zone, |engine| engine.set_slowdown(factor));
    }

    /// Partitions two zones in both directions, or ends the partition.
    pub fn set_partitioned(&self, a: usize, b: usize, partitioned: bool) {
        {
            let mut all = self.shared.partitioned.lock().unwrap();
            all[a][b] = partitioned;
            all[b][a] = partitioned;
        }
        if partitioned {
            for (from, to) in [(a, b), (b, a)] {
                self.shared.for_each_in(to, |engine| engine.close_connections_from(from));
            }
        }
    }

    /// Requests that a zone's engines received, by engine.
    pub fn received(&self, zone: usize) -> Vec<Vec<ReceivedRequest>> {
        let mut received = Vec::new();
        self.shared.for_each_in(zone, |engine| received.push(engine.received.clone()));
        received
    }

    /// Whether any engine of a zone has been overloaded since it last started.
    pub fn is_overloaded(&self, zone: usize) -> bool {
        let mut is_overloaded = false;
        self.shared.for_each_in(zone, |engine| is_overloaded |= engine.is_overloaded);
        is_overloaded
    }

    /// Highest number of threads per core that any engine of a zone ran since the last call.
    pub fn take_max_load(&self, zone: usize) -> f64 {
        let mut max_load = 0.0f64;
        self.shared.for_each_in(zone, |engine| max_load = max_load.max(std::mem::take(&mut engine.max_load)));
        max_load
    }
}

impl Drop for FakeZones {
    fn drop(&mut self) {
        self.shared.ending.store(true, Ordering::Relaxed);
        for address in self.addresses.iter().flatten() {
            let _ = TcpStream::connect(address); // Wakes the listener's thread, so that it ends.
        }
        (0..self.shared.config.zones).for_each(|zone| self.stop(zone));
    }
}

/// A zone's name in the deployment.
fn zone_name(zone: usize) -> String {
    format!("hall-{zone}")
}

fn class_settings(class: &FakeClass) -> Value {
    let effect = if class.non_idempotent { "unsafe" } else { "safe" };
    let mut settings = json!({"name": class.name, "aim_us": class.latency_objective.as_micros() as u64, "aim_stretch": 2.0,
        "hard_limit_us": class.deadline.as_micros() as u64, "effect": effect,
        "points": class.priority_weight, "late_value": 0.0, "group": "all", "key_ttl_us": 0, "stream": false});
    if let Some(zone) = class.allowed_zone {
        settings["areas_open"] = json!([zone]);
    }
    settings
}
