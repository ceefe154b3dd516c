//! Engines in halls, on loopback: each runs the emulator's model in real time, starts cold, and tips over when more is
//! sent to it than it can bear. Fronts of each site reach each hall by a door of its own, so that links between sites
//! can be cut. Every engine keeps a tally by which a test judges.

use lemonusher_emulator::{Engine as Model, Work};
use lemonusher_fakes::{settings, start_config};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(2);

/// A request class, as the deployment states it and as engines run it.
#[derive(Debug, Clone, Copy)]
pub struct FakeClass {
    pub name: &'static str,
    pub priority_weight: f64,
    /// Work of a request, in seconds on one thread, and its threads.
    pub work: f64,
    pub threads: f64,
    pub latency_objective: Duration,
    pub deadline: Duration,
    pub non_idempotent: bool,
    /// The only site where it may run.
    pub allowed_zone: Option<u32>,
}

#[derive(Debug, Clone)]
pub struct FakeZonesConfig {
    pub zones: usize,
    pub engines_per_zone: usize,
    pub cores: f64,
    pub classes: Vec<FakeClass>,
    /// A cold engine bears this part at first, for so long; over `fall_multiple` times that in `fall_after` tips it.
    pub cold_share: f64,
    pub warm_up: Duration,
    pub overload_multiple: f64,
    pub overload_window: Duration,
}

/// A request as it came to an engine.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub id: String,
    pub class: usize,
    pub from_zone: usize,
}

struct Hosted {
    site: usize,
    model: Model,
    started: Option<Instant>,
    next: u64,
    running: BTreeMap<u64, (TcpStream, String, usize)>,
    wires: Vec<(usize, TcpStream)>,
    came: Vec<ReceivedRequest>,
    recent: VecDeque<(Instant, f64)>,
    up: bool,
    tipped: bool,
    most_strain: f64,
}

struct Shared {
    terms: FakeZonesConfig,
    hosted: Vec<Mutex<Hosted>>,
    /// By site of the front and site of the engine.
    cut: Mutex<Vec<Vec<bool>>>,
    ending: AtomicBool,
}

pub struct FakeZones {
    shared: Arc<Shared>,
    /// By engine and the front's site.
    doors: Vec<Vec<SocketAddr>>,
}

impl FakeZones {
    pub fn start(terms: FakeZonesConfig) -> FakeZones {
        let engines = terms.zones * terms.engines_per_zone;
        let hosted = |engine: usize| Hosted {
            site: engine / terms.engines_per_zone,
            model: Model::new(terms.cores, 1e9, 0.05),
            started: None,
            next: 0,
            running: BTreeMap::new(),
            wires: Vec::new(),
            came: Vec::new(),
            recent: VecDeque::new(),
            up: true,
            tipped: false,
            most_strain: 0.0,
        };
        let shared = Arc::new(Shared {
            hosted: (0..engines).map(|engine| Mutex::new(hosted(engine))).collect(),
            cut: Mutex::new(vec![vec![false; terms.zones]; terms.zones]),
            ending: AtomicBool::new(false),
            terms,
        });
        let mut doors = vec![Vec::new(); engines];
        for (engine, doors) in doors.iter_mut().enumerate() {
            for from in 0..shared.terms.zones {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                doors.push(listener.local_addr().unwrap());
                let shared = shared.clone();
                thread::spawn(move || {
                    for wire in listener.incoming().map_while(Result::ok) {
                        if shared.ending.load(Ordering::Relaxed) {
                            return;
                        }
                        let mut one = shared.hosted[engine].lock().unwrap();
                        if !one.up || shared.cut.lock().unwrap()[from][one.site] {
                            continue; // Dropped: reset or closed at once.
                        }
                        one.wires.push((from, wire.try_clone().unwrap()));
                        let shared = shared.clone();
                        thread::spawn(move || shared.converse(engine, from, wire));
                    }
                });
            }
        }
        let ticking = shared.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            while !ticking.ending.load(Ordering::Relaxed) {
                thread::sleep(TICK);
                let now = Instant::now();
                (0..ticking.hosted.len()).for_each(|engine| ticking.run(engine, now, now - last));
                last = now;
            }
        });
        FakeZones { shared, doors }
    }

    /// What a front at this site is told.
    pub fn front_start(&self, front: usize, site: usize, fronts: usize, channel: SocketAddr) -> Value {
        let terms = &self.shared.terms;
        let name = |site: usize| format!("hall-{site}");
        let class = |group: &FakeClass| {
            let mut class = json!({"name": group.name, "aim_us": group.latency_objective.as_micros() as u64, "aim_stretch": 2.0,
                "hard_limit_us": group.deadline.as_micros() as u64, "effect": if group.non_idempotent { "unsafe" } else { "safe" },
                "points": group.priority_weight, "late_value": 0.0, "group": "all", "key_ttl_us": 0, "stream": false});
            if let Some(only) = group.allowed_zone {
                class["areas_open"] = json!([only]);
            }
            class
        };
        let groups = &terms.classes;
        let mut all = settings();
        all["areas"] = (0..terms.zones).map(name).collect();
        (all["balancers"], all["my_number"], all["zone"]) = (fronts.into(), front.into(), site.into());
        all["classes"] = groups.iter().map(class).collect();
        let family = &mut all["family_info"];
        family["class_load"] = groups.iter().map(|_| false).collect();
        family["class_threads"] = groups.iter().map(|group| json!(group.threads)).collect();
        family["yields_to_loads"] = groups.iter().map(|_| false).collect();
        family["cpu_of_kind"] = json!([terms.cores]);
        family["memory_by_kind_mb"] = json!([1e9]);
        let rules = &mut all["obligations"];
        rules["cold_from"] = json!(terms.cold_share);
        rules["cold_us"] = json!(terms.warm_up.as_micros() as u64);
        rules["fall_multiple"] = json!(terms.overload_multiple);
        rules["tip_after_us"] = json!(terms.overload_window.as_micros() as u64);
        let mut tells = start_config(&[], channel);
        let members = (0..self.doors.len()).map(|engine| {
            json!({"id": format!("s-{:08x}", engine + 1), "host_port": self.doors[engine][site].to_string(),
                "locality": name(engine / terms.engines_per_zone), "flavor": "std", "cell": 0, "phase": "Ready",
                "size": 1, "up_since_ms": 0})
        });
        tells["known"]["cmds"][0]["nodes"]["members"] = members.collect();
        (tells["name"], tells["settings"]) = (format!("n{front}").into(), all);
        tells
    }

    /// A hall's engines die: what they ran is gone, connections are reset, new ones are refused.
    pub fn stop(&self, site: usize) {
        self.shared.each(site, |one| {
            one.up = false;
            one.model.clear();
            one.running.clear();
            one.wires.drain(..).for_each(|(_, wire)| drop(wire.shutdown(Shutdown::Both)));
        });
    }

    /// They come back, cold.
    pub fn restart(&self, site: usize) {
        self.shared.each(site, |one| (one.up, one.started, one.tipped) = (true, Some(Instant::now()), false));
    }

    pub fn set_slowdown(&self, site: usize, times: f64) {
        self.shared.each(site, |one| one.model.slow = times);
    }

    /// Cuts or mends the link between two sites, in both directions.
    pub fn set_partitioned(&self, a: usize, b: usize, cut: bool) {
        {
            let mut all = self.shared.cut.lock().unwrap();
            (all[a][b], all[b][a]) = (cut, cut);
        }
        if cut {
            for (from, to) in [(a, b), (b, a)] {
                self.shared.each(to, |one| {
                    let gone = one.wires.extract_if(.., |(site, _)| *site == from);
                    gone.for_each(|(_, wire)| drop(wire.shutdown(Shutdown::Both)));
                });
            }
        }
    }

    /// All that came to a hall's engines, by engine.
    pub fn received(&self, site: usize) -> Vec<Vec<ReceivedRequest>> {
        let mut all = Vec::new();
        self.shared.each(site, |one| all.push(one.came.clone()));
        all
    }

    /// Whether any engine there has tipped over since it last came back.
    pub fn is_overloaded(&self, site: usize) -> bool {
        let mut tipped = false;
        self.shared.each(site, |one| tipped |= one.tipped);
        tipped
    }

    /// The most threads over cores that any engine there had since this was last asked.
    pub fn take_max_load(&self, site: usize) -> f64 {
        let mut most = 0.0f64;
        self.shared.each(site, |one| most = most.max(std::mem::take(&mut one.most_strain)));
        most
    }
}

impl Drop for FakeZones {
    fn drop(&mut self) {
        self.shared.ending.store(true, Ordering::Relaxed);
        for door in self.doors.iter().flatten() {
            let _ = TcpStream::connect(door); // Wakes the listener, so that it ends.
        }
        (0..self.shared.terms.zones).for_each(|site| self.stop(site));
    }
}

impl Shared {
    fn each(&self, site: usize, mut what: impl FnMut(&mut Hosted)) {
        for one in &self.hosted {
            let mut one = one.lock().unwrap();
            if one.site == site {
                what(&mut one);
            }
        }
    }

    fn converse(&self, engine: usize, from: usize, wire: TcpStream) {
        let mut lines = BufReader::new(wire.try_clone().unwrap());
        let mut line = String::new();
        while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
            let words: Vec<String> = line.trim_end().split(' ').map(str::to_owned).collect();
            line.clear();
            let id = words.get(1).cloned().unwrap_or_default();
            match words[0].as_str() {
                "serve" => {
                    let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                    if lines.read_exact(&mut body).is_err() {
                        return;
                    }
                    let group = words[2].split(',').find_map(|field| field.strip_prefix("queue="));
                    let group = self.terms.classes.iter().position(|one| Some(one.name) == group).unwrap();
                    self.serve(engine, from, id, group, &wire);
                }
                "gauges" => {
                    let busy = self.hosted[engine].lock().unwrap().model.threads_per_core().min(1.0);
                    let _ = (&wire).write_all(format!("{id} PONG use=busy:{busy:.2} 0\r\n\r\n").as_bytes());
                }
                "cancel" => {
                    let mut one = self.hosted[engine].lock().unwrap();
                    let number = one.running.iter().find(|(_, (_, run, _))| *run == id).map(|(n, _)| *n);
                    if let Some(number) = number {
                        one.running.remove(&number);
                        one.model.cancel(number);
                    }
                }
                "read" => {
                    let _ = (&wire).write_all(format!("{id} FAULT - 0\r\n\r\n").as_bytes());
                }
                _ => {}
            }
        }
    }

    fn serve(&self, engine: usize, from: usize, id: String, group: usize, wire: &TcpStream) {
        let (terms, now) = (&self.terms.classes[group], Instant::now());
        let mut one = self.hosted[engine].lock().unwrap();
        one.came.push(ReceivedRequest { at: now, id: id.clone(), class: group, from_zone: from });
        if !one.up || one.tipped {
            return;
        }
        let cold = one.started.is_some_and(|at| at.elapsed() < self.terms.warm_up);
        let span = self.terms.overload_window;
        one.recent.push_back((now, terms.work));
        while one.recent.front().is_some_and(|(at, _)| now.duration_since(*at) > span) {
            one.recent.pop_front();
        }
        let sent: f64 = one.recent.iter().map(|(_, work)| work).sum();
        let bears =
            self.terms.overload_multiple * self.terms.cold_share * self.terms.cores * span.as_secs_f64();
        if cold && sent > bears {
            one.tipped = true; // It stays down until it is started anew.
            one.model.clear();
            return;
        }
        one.next += 1;
        let number = one.next;
        one.running.insert(number, (wire.try_clone().unwrap(), id, group));
        let work = Work {
            left: terms.work,
            threads: terms.threads,
            memory_mb: 1.0,
            tables: 0,
            load: false,
            waits_for_loads: false,
        };
        one.model.put(number, work);
        let strain = one.model.threads_per_core();
        one.most_strain = one.most_strain.max(strain);
    }

    fn run(&self, engine: usize, now: Instant, span: Duration) {
        let mut one = self.hosted[engine].lock().unwrap();
        let age = one.started.map(|at| now.saturating_duration_since(at).as_secs_f64());
        let (from, long) = (self.terms.cold_share, self.terms.warm_up.as_secs_f64());
        let warmth = age.map_or(1.0, |age| (from + (1.0 - from) * age / long).min(1.0));
        let finished = one.model.run(span.as_secs_f64(), warmth);
        for done in finished {
            if let Some((wire, id, group)) = one.running.remove(&done.0) {
                let work = self.terms.classes[group].work * 1e3;
                let message = format!("{id} HIT fetches=1,effort={work},high=1 6\r\nx\ty\tz\n\r\n");
                let _ = (&wire).write_all(message.as_bytes());
            }
        }
    }
}
