//! Reads what the front is told, starts the parts, and waits for the end.

use super::clients::Clients;
use super::consulted::Consulting;
use super::descriptors::Descriptors;
use super::shared::Shared;
use super::{channel, consulted, engines};
use crate::protocol;
use crate::protocol::channel::News;
use crate::transport::{self, Pulse, Room};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lemonusher::{LoadReporting, RequestClassConfig};
use lemonusher_deployment::{LoadReportFields, Settings, deployment};
use lemonusher_membership::DesiredState;
use lemonusher_routing::{
    Clock, ControlUpdate, Counters, EngineNotification, Limits, ManagementCall, RequestRouter, RouterEvent,
    ZoneObservation,
};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// Facts of the platform, as its pages state them.
const LONGEST_CLOSING: Duration = Duration::from_millis(3000); // The kill comes this long after the signal,
const CLOSING_GRACE: Duration = Duration::from_millis(700); // or a shorter longest deadline, and this.
const STILL_COMING: Duration = Duration::from_millis(600); // So long after the signal requests still come.

// Bounds of this program.
const PULSE: Duration = Duration::from_millis(10);
const QUEUE: usize = 4096;
const BACKLOG: i32 = 4096;
const CLOSING_MARGIN: Duration = Duration::from_millis(250); // Answers are on their way before the kill,
const ENDING_MARGIN: Duration = Duration::from_millis(100); // and all has ended.
const STATEMENT_SHARE: usize = 4; // Part of the memory that statements may take,
const ANSWER_SHARE: usize = 4; // answers that clients are slow to read,
const PART_SHARE: usize = 8; // and what has come in part, of clients and of engines.

/// The file that `PROXY_CONFIG` names.
#[derive(Deserialize)]
struct Told {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ToldLimits,
    channel: SocketAddr,
    known: Box<RawValue>,
    settings: Value,
}

#[derive(Deserialize, PartialEq)]
struct ToldLimits {
    memory_mb: usize,
    sockets: usize,
}

/// Why the front can't start.
#[derive(Debug)]
pub enum Unfit {
    Missing(&'static str),
    Unreadable(String, io::Error),
    Malformed(String, String),
    Listen(SocketAddr, io::Error),
    Signals(io::Error),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unfit::Missing(name) => write!(f, "the variable {name} is not set"),
            Unfit::Unreadable(path, error) => write!(f, "can't read {path}: {error}"),
            Unfit::Malformed(path, what) => write!(f, "can't use {path}: {what}"),
            Unfit::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            Unfit::Signals(error) => write!(f, "can't watch for signals: {error}"),
        }
    }
}

impl Told {
    fn read(path: &str) -> Result<Told, Unfit> {
        let text = std::fs::read_to_string(path).map_err(|e| Unfit::Unreadable(path.to_owned(), e))?;
        serde_json::from_str(&text).map_err(|e| Unfit::Malformed(path.to_owned(), e.to_string()))
    }

    /// What stands otherwise in a newer file and waits for the next start. The list of engines is no part of
    /// that: the channel goes on from the last event.
    fn waits(&self, newer: &Told) -> String {
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", self.limits == newer.limits),
            ("settings", self.settings == newer.settings),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect::<Vec<_>>().join(", ")
    }
}

/// What stands beside the front when it is managed. On the platform there is none.
pub struct Door {
    /// Requests of the managers' side; they join the owner's one queue.
    pub requests: async_channel::Receiver<ManagementCall>,
    /// What managers wanted when this front last ran.
    pub wanted: Arc<DesiredState>,
    pub notices: async_channel::Sender<EngineNotification>,
}

/// Names by which the deployment speaks of its places, machines and request classes, in the order of their
/// numbers.
#[derive(Debug, Clone, Default)]
pub struct Names {
    pub front: String,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub service_groups: Vec<String>,
    /// Where this front stands.
    pub location: u32,
    /// What is stated of each.
    pub terms: Vec<RequestClassConfig>,
}

/// Reads the names from the file that a front is told.
pub fn names(path: &str) -> Result<Names, Unfit> {
    let told = Told::read(path)?;
    let settled = Settings::deserialize(&told.settings)
        .map_err(|e| Unfit::Malformed(path.to_owned(), e.to_string()))?;
    Ok(Names {
        terms: deployment(&settled).request_classes,
        front: told.name,
        location: settled.zone,
        locations: settled.zones,
        kinds: settled.machine_kinds,
        service_groups: settled.request_classes.into_iter().map(|class| class.name).collect(),
    })
}

/// Serves by what `PROXY_CONFIG` names until told to end.
pub fn run() -> Result<(), Unfit> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| Unfit::Missing("PROXY_CONFIG"))?;
    serve(path, None, None, None)
}

/// What the fleet tells this front.
pub struct Fleet {
    pub words: async_channel::Receiver<ControlUpdate>,
    /// Whether fronts agree on their parts of what they share.
    pub seats: bool,
    /// Where there is a plan for lost sites: its terms, and who is told what is seen.
    pub sites: Option<(lemonusher_zone_failover::FailoverConfig, async_channel::Sender<ZoneObservation>)>,
    /// Whether engines are taken out for work: then none is used before it is known which are.
    pub works: bool,
}

/// Serves by this file until told to end: clients and engines, or proxies that attempt by themselves.
pub fn serve(
    path: String,
    door: Option<Door>,
    consulting: Option<Consulting>,
    fleet: Option<Fleet>,
) -> Result<(), Unfit> {
    // Watched from the first on: a signal that comes during the start is heard after it.
    let watched = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    let mut signals = Signals::new(watched).map_err(Unfit::Signals)?;
    let mut told = Told::read(&path)?;
    let malformed = |what: String| Unfit::Malformed(path.clone(), what);
    let settled = Settings::deserialize(&told.settings).map_err(|e| malformed(e.to_string()))?;
    let seed =
        u64::from_str_radix(&told.seed, 16).map_err(|_| malformed("'seed' is no hex number".into()))?;
    let known = protocol::channel::known(told.known.get(), &settled.zones, &settled.machine_kinds)
        .map_err(|e| malformed(e.to_string()))?;
    let mut stated = deployment(&settled);
    let listener = match &consulting {
        None => Some(transport::listen(told.listen, BACKLOG).map_err(|e| Unfit::Listen(told.listen, e))?),
        Some(consulting) => {
            stated.tick = consulting.tick;
            // Engines are reached by proxies alone, so nothing is probed and no load is reported.
            (stated.capabilities.probes, stated.capabilities.cancel) = (false, false);
            stated.load_reporting = LoadReporting::None;
            None
        }
    };
    let recovers = consulting.as_ref().is_some_and(|consulting| consulting.recovers);

    let longest = stated.request_classes.iter().map(|t| t.deadline).max().unwrap_or_default();
    let clock = Clock::starting(oldest_cold(&known.1, stated.safety_rules.slow_start_window) + stated.tick);
    let names = settled.request_classes.iter().map(|class| class.name.clone()).collect();
    let counters = Rc::new(Counters::new(names));
    let (queue, heard) = async_channel::bounded(QUEUE);
    let (orders, ordered) = async_channel::bounded(QUEUE);
    let (moved, addresses) = async_channel::bounded(1); // Only the latest counts.
    let _ = moved.try_send(told.channel);
    let executor = Rc::new(LocalExecutor::new());
    let memory = told.limits.memory_mb * 1024 * 1024;
    let limits = Limits {
        open: settled.capabilities.max_open_requests.max(1),
        bytes: memory / STATEMENT_SHARE,
        probe: stated.capabilities.connect_timeout,
    };
    let shared = Rc::new(Shared {
        fields: LoadReportFields::new(&settled),
        counters: counters.clone(),
        queue: queue.clone(),
        executor: executor.clone(),
        closing: false.into(),
        unwritten: 0.into(),
        most_unwritten: memory / ANSWER_SHARE,
        lines: Room::new(memory / PART_SHARE),
        answers: Room::new(memory / PART_SHARE),
        descriptors: Descriptors::of(told.limits.sockets),
        pulse: Pulse::new(PULSE),
        connect_timeout: Duration::from_micros(settled.capabilities.connect_timeout_us),
        cold_since: recovers.then(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()),
        settled,
    });
    match &listener {
        Some(listener) => {
            let address = listener.get_ref().local_addr().map_err(|e| Unfit::Listen(told.listen, e))?;
            log::info!("front {} listens on {address}, {} engine events known", told.name, known.1.len());
        }
        None => log::info!("front {} serves proxies, {} engine events known", told.name, known.1.len()),
    }
    let mut owner = RequestRouter::new(stated, seed, clock, limits, orders, counters.clone());
    if let Some(door) = door {
        owner = owner.managed(door.wanted, door.notices);
        executor.spawn(hand_on(door.requests, queue.clone())).detach();
    }
    if let Some(fleet) = fleet {
        // Before anything is heard, so that this front never counts on a part that it has no seat for.
        if fleet.seats {
            let _ = queue.try_send(RouterEvent::Control(ControlUpdate::Quota(0.0)));
        }
        if fleet.works {
            let closed = Arc::default();
            let _ = queue.try_send(RouterEvent::Control(ControlUpdate::Maintenance {
                version: 0,
                complete: false,
                closed,
            }));
        }
        if let Some((terms, told)) = fleet.sites {
            owner = owner.watched(terms, told);
        }
        executor.spawn(hand_words_on(fleet.words, queue.clone())).detach();
    }
    let open = owner.open();
    let start = async {
        executor.spawn(owner.run(heard)).detach();
        match consulting {
            Some(consulting) => executor.spawn(consulted::run(shared.clone(), ordered, consulting)).detach(),
            None => executor.spawn(engines::run(shared.clone(), ordered)).detach(),
        }
        executor.spawn(channel::run(shared.clone(), addresses, known)).detach();
        let clients = listener.map(|listener| {
            let clients = Rc::new(Clients::new(shared.clone(), listener));
            let accepting = clients.clone();
            (clients, executor.spawn(async move { accepting.run().await }))
        });
        executor.spawn(beat(shared.clone())).detach();
        let kill = LONGEST_CLOSING.min(longest) + CLOSING_GRACE;
        let reload = || reload(&path, &mut told, &moved);
        let told_at = wait_for_end(&mut signals, &counters, reload).await;
        shared.closing.set(true);
        // All is answered by then, and written and closed in order by the end.
        let (by, end) = (kill - CLOSING_MARGIN, told_at + kill - ENDING_MARGIN);
        let _ = queue.send(RouterEvent::ShutDown(by.saturating_sub(told_at.elapsed()))).await;
        // Requests come for a while yet; then each connection ends once nothing is open on it.
        let still = (STILL_COMING * 2).min(by.saturating_sub(CLOSING_MARGIN)).max(STILL_COMING);
        Timer::at(told_at + still).await;
        if let Some((clients, accepting)) = clients {
            accepting.cancel().await;
            if let Some(clients) = Rc::into_inner(clients) {
                clients.end(end).await;
            }
        }
        // Who asks by another door has no connection here that could tell; and none of it outlasts the kill.
        while (open.get() > 0 || shared.unwritten.get() > 0) && Instant::now() < end {
            Timer::after(Duration::from_millis(20)).await;
        }
        Timer::after(Duration::from_millis(20)).await;
    };
    async_io::block_on(executor.run(start));
    log::info!("ends; counts: {counters}");
    Ok(())
}

/// Managers' requests take their turn in the owner's queue like all else.
async fn hand_on(
    requests: async_channel::Receiver<ManagementCall>,
    queue: async_channel::Sender<RouterEvent>,
) {
    while let Ok(request) = requests.recv().await {
        if queue.send(RouterEvent::Management(request)).await.is_err() {
            return;
        }
    }
}

async fn hand_words_on(
    words: async_channel::Receiver<ControlUpdate>,
    queue: async_channel::Sender<RouterEvent>,
) {
    while let Ok(word) = words.recv().await {
        if queue.send(RouterEvent::Control(word)).await.is_err() {
            return;
        }
    }
}

async fn beat(shared: Rc<Shared>) {
    loop {
        Timer::after(shared.pulse.period()).await;
        shared.pulse.beat(Instant::now());
    }
}

/// How long ago the first of the engines started that are still cold. The clock's origin lies before that, and
/// no earlier: the gateway's first values fade from the origin on.
fn oldest_cold(known: &[News], cold_for: Duration) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let members = known.iter().flat_map(|news| match news {
        News::All(members) | News::Changes(members) => members.as_slice(),
        News::Nothing => &[],
    });
    let ages = members.map(|member| now.saturating_sub(Duration::from_millis(member.started_ms)));
    ages.filter(|age| *age < cold_for).max().unwrap_or_default()
}

/// Takes up the channel of a newer file. One that can't be used leaves all as it is.
fn reload(path: &str, told: &mut Told, moved: &async_channel::Sender<SocketAddr>) {
    let newer = match Told::read(path) {
        Ok(newer) => newer,
        Err(unfit) => return log::warn!("reload: {unfit}; all stays as it is"),
    };
    let waits = told.waits(&newer);
    if !waits.is_empty() {
        log::warn!("reload: taken up only at the next start: {waits}");
    }
    log::info!("reload: the command channel is at {}", newer.channel);
    if std::mem::replace(&mut told.channel, newer.channel) != newer.channel {
        let _ = moved.force_send(newer.channel);
    }
}

/// Waits for a signal to end. Others have the file read anew, or the counters printed.
async fn wait_for_end(signals: &mut Signals, counters: &Counters, mut reload: impl FnMut()) -> Instant {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => log::info!("counts: {counters}"),
            Ok(Signal::Hup) => reload(),
            Ok(_) => break,
            Err(error) => log::warn!("signals: {error}"),
        }
    }
    Instant::now()
}
