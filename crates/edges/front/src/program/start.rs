//! Reads what the front is told, starts the parts, and waits for the end.

use super::clients::ClientListener;
use super::descriptor_limits::DescriptorLimits;
use super::external_processing::ExternalProcessing;
use super::shared::Shared;
use super::{discovery, engines, external_processing};
use crate::protocol;
use crate::protocol::discovery::EndpointUpdate;
use crate::transport::{self, MemoryBudget, StallDetector};
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
use lemonusher_zone_failover::FailoverConfig;
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
const MAX_SHUTDOWN: Duration = Duration::from_millis(3000); // The kill comes this long after the signal,
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700); // or a shorter longest deadline, and this.
const LATE_REQUEST_SPAN: Duration = Duration::from_millis(600); // So long after the signal requests still come.

// Bounds of this program.
const STALL_DETECTOR_PERIOD: Duration = Duration::from_millis(10);
const QUEUE_LENGTH: usize = 4096;
const LISTEN_BACKLOG: i32 = 4096;
const RESPONSE_MARGIN: Duration = Duration::from_millis(250); // Answers are on their way before the kill,
const EXIT_MARGIN: Duration = Duration::from_millis(100); // and all has ended.
const STATEMENT_MEMORY_DIVISOR: usize = 4; // Part of the memory that statements may take,
const RESPONSE_MEMORY_DIVISOR: usize = 4; // answers that clients are slow to read,
const PARTIAL_MEMORY_DIVISOR: usize = 8; // and what has come in part, of clients and of engines.

/// The file that `PROXY_CONFIG` names.
#[derive(Deserialize)]
struct FrontConfig {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ProcessLimits,
    channel: SocketAddr,
    known: Box<RawValue>,
    settings: Value,
}

#[derive(Deserialize, PartialEq)]
struct ProcessLimits {
    memory_mb: usize,
    sockets: usize,
}

/// Why the front can't start.
#[derive(Debug)]
pub enum StartError {
    Missing(&'static str),
    Unreadable(String, io::Error),
    Malformed(String, String),
    Listen(SocketAddr, io::Error),
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Missing(name) => write!(f, "the variable {name} is not set"),
            StartError::Unreadable(path, error) => write!(f, "can't read {path}: {error}"),
            StartError::Malformed(path, what) => write!(f, "can't use {path}: {what}"),
            StartError::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            StartError::Signals(error) => write!(f, "can't watch for signals: {error}"),
        }
    }
}

impl FrontConfig {
    fn read(path: &str) -> Result<FrontConfig, StartError> {
        let text = std::fs::read_to_string(path).map_err(|e| StartError::Unreadable(path.to_owned(), e))?;
        serde_json::from_str(&text).map_err(|e| StartError::Malformed(path.to_owned(), e.to_string()))
    }

    /// What stands otherwise in a newer file and waits for the next start. The list of engines is no part of
    /// that: the channel goes on from the last event.
    fn changes_at_restart(&self, newer: &FrontConfig) -> String {
        let unchanged = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", self.limits == newer.limits),
            ("settings", self.settings == newer.settings),
        ];
        unchanged
            .into_iter()
            .filter(|(_, unchanged)| !unchanged)
            .map(|(name, _)| name)
            .collect::<Vec<_>>()
            .join(", ")
    }
}

/// How managers reach the front. On the platform there are none.
pub struct ManagementChannels {
    /// Calls of the managers' side; they join the router's one queue.
    pub calls: async_channel::Receiver<ManagementCall>,
    /// The desired state when this front last ran.
    pub desired_state: Arc<DesiredState>,
    /// Where changes of engines are notified.
    pub notifications: async_channel::Sender<EngineNotification>,
}

/// The names that the deployment gives its zones, machine kinds and request classes, each in the order of the numbers.
#[derive(Debug, Clone, Default)]
pub struct DeploymentNames {
    /// This front's name.
    pub front: String,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub machine_kinds: Vec<String>,
    /// Names of the request classes.
    pub request_classes: Vec<String>,
    /// The number of this front's zone.
    pub zone: u32,
    /// The configuration of each request class.
    pub class_configs: Vec<RequestClassConfig>,
}

/// Reads the names from a front's configuration file.
pub fn read_names(path: &str) -> Result<DeploymentNames, StartError> {
    let config = FrontConfig::read(path)?;
    let settings = Settings::deserialize(&config.settings)
        .map_err(|e| StartError::Malformed(path.to_owned(), e.to_string()))?;
    Ok(DeploymentNames {
        class_configs: deployment(&settings).request_classes,
        front: config.name,
        zone: settings.zone,
        zones: settings.zones,
        machine_kinds: settings.machine_kinds,
        request_classes: settings.request_classes.into_iter().map(|class| class.name).collect(),
    })
}

/// Serves by what `PROXY_CONFIG` names until told to end.
pub fn run() -> Result<(), StartError> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| StartError::Missing("PROXY_CONFIG"))?;
    serve(path, None, None, None)
}

/// How the fleet of fronts reaches this one.
pub struct FleetChannels {
    /// Control updates; they join the router's one queue.
    pub control_updates: async_channel::Receiver<ControlUpdate>,
    /// Whether the fronts share quotas by leases: then this front has none before it holds one.
    pub shares_quota: bool,
    /// Zone failover, where it is configured.
    pub zone_failover: Option<ZoneFailover>,
    /// Whether engines are taken out of service for maintenance: then none is used before it is known which.
    pub maintenance: bool,
}

/// What the router needs for zone failover.
pub struct ZoneFailover {
    /// Its configuration.
    pub config: FailoverConfig,
    /// Where this front's observations go, one a report interval.
    pub observations: async_channel::Sender<ZoneObservation>,
}

/// Serves by this file until told to end: clients and engines, or proxies that attempt by themselves.
pub fn serve(
    path: String,
    management: Option<ManagementChannels>,
    external_processing: Option<ExternalProcessing>,
    fleet: Option<FleetChannels>,
) -> Result<(), StartError> {
    // Watched from the first on: a signal that comes during the start is heard after it.
    let caught = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    let mut signals = Signals::new(caught).map_err(StartError::Signals)?;
    let mut config = FrontConfig::read(&path)?;
    let malformed = |what: String| StartError::Malformed(path.clone(), what);
    let settings = Settings::deserialize(&config.settings).map_err(|e| malformed(e.to_string()))?;
    let seed =
        u64::from_str_radix(&config.seed, 16).map_err(|_| malformed("'seed' is no hex number".into()))?;
    let known =
        protocol::discovery::parse_initial_list(config.known.get(), &settings.zones, &settings.machine_kinds)
            .map_err(|e| malformed(e.to_string()))?;
    let mut deployment_config = deployment(&settings);
    let listener = match &external_processing {
        None => Some(
            transport::listen(config.listen, LISTEN_BACKLOG)
                .map_err(|e| StartError::Listen(config.listen, e))?,
        ),
        Some(external) => {
            deployment_config.tick = external.tick;
            // Engines are reached by proxies alone, so nothing is probed and no load is reported.
            (deployment_config.capabilities.probes, deployment_config.capabilities.cancel) = (false, false);
            deployment_config.load_reporting = LoadReporting::None;
            None
        }
    };
    let recovers = external_processing.as_ref().is_some_and(|external| external.recovers);

    let longest = deployment_config.request_classes.iter().map(|t| t.deadline).max().unwrap_or_default();
    let clock = Clock::with_history(
        oldest_slow_start(&known.1, deployment_config.safety_rules.slow_start_window)
            + deployment_config.tick,
    );
    let names = settings.request_classes.iter().map(|class| class.name.clone()).collect();
    let counters = Rc::new(Counters::new(names));
    let (queue, received) = async_channel::bounded(QUEUE_LENGTH);
    let (commands, received_commands) = async_channel::bounded(QUEUE_LENGTH);
    let (channel_moved, addresses) = async_channel::bounded(1); // Only the latest counts.
    let _ = channel_moved.try_send(config.channel);
    let executor = Rc::new(LocalExecutor::new());
    let memory = config.limits.memory_mb * 1024 * 1024;
    let limits = Limits {
        max_requests: settings.capabilities.max_open_requests.max(1),
        max_statement_bytes: memory / STATEMENT_MEMORY_DIVISOR,
        probe_timeout: deployment_config.capabilities.connect_timeout,
    };
    let shared = Rc::new(Shared {
        load_fields: LoadReportFields::new(&settings),
        counters: counters.clone(),
        events: queue.clone(),
        executor: executor.clone(),
        shutting_down: false.into(),
        unwritten_bytes: 0.into(),
        max_unwritten_bytes: memory / RESPONSE_MEMORY_DIVISOR,
        line_memory: MemoryBudget::new(memory / PARTIAL_MEMORY_DIVISOR),
        reply_memory: MemoryBudget::new(memory / PARTIAL_MEMORY_DIVISOR),
        descriptor_limits: DescriptorLimits::of(config.limits.sockets),
        stall_detector: StallDetector::new(STALL_DETECTOR_PERIOD),
        connect_timeout: Duration::from_micros(settings.capabilities.connect_timeout_us),
        slow_start_since: recovers.then(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()),
        settings,
    });
    match &listener {
        Some(listener) => {
            let address =
                listener.get_ref().local_addr().map_err(|e| StartError::Listen(config.listen, e))?;
            log::info!("front {} listens on {address}, {} engine events known", config.name, known.1.len());
        }
        None => log::info!("front {} serves proxies, {} engine events known", config.name, known.1.len()),
    }
    let mut router = RequestRouter::new(deployment_config, seed, clock, limits, commands, counters.clone());
    if let Some(management) = management {
        router = router.with_desired_state(management.desired_state, management.notifications);
        executor.spawn(forward_management_calls(management.calls, queue.clone())).detach();
    }
    if let Some(fleet) = fleet {
        // Before anything is heard, so that this front never counts on a part that it has no seat for.
        if fleet.shares_quota {
            let _ = queue.try_send(RouterEvent::Control(ControlUpdate::Quota(0.0)));
        }
        if fleet.maintenance {
            let closed = Arc::default();
            let _ = queue.try_send(RouterEvent::Control(ControlUpdate::Maintenance {
                version: 0,
                complete: false,
                closed,
            }));
        }
        if let Some(zones) = fleet.zone_failover {
            router = router.with_zone_monitor(zones.config, zones.observations);
        }
        executor.spawn(forward_control_updates(fleet.control_updates, queue.clone())).detach();
    }
    let open = router.open_requests();
    let start = async {
        executor.spawn(router.run(received)).detach();
        match external_processing {
            Some(external) => {
                executor.spawn(external_processing::run(shared.clone(), received_commands, external)).detach()
            }
            None => executor.spawn(engines::run(shared.clone(), received_commands)).detach(),
        }
        executor.spawn(discovery::run(shared.clone(), addresses, known)).detach();
        let clients = listener.map(|listener| {
            let clients = Rc::new(ClientListener::new(shared.clone(), listener));
            let accepting = clients.clone();
            (clients, executor.spawn(async move { accepting.run().await }))
        });
        executor.spawn(poll(shared.clone())).detach();
        let kill_after = MAX_SHUTDOWN.min(longest) + SHUTDOWN_GRACE;
        let reload_config = || reload_config(&path, &mut config, &channel_moved);
        let signalled_at = wait_for_end(&mut signals, &counters, reload_config).await;
        shared.shutting_down.set(true);
        // All is answered by then, and written and closed in order by the end.
        let (by, end) = (kill_after - RESPONSE_MARGIN, signalled_at + kill_after - EXIT_MARGIN);
        let _ = queue.send(RouterEvent::ShutDown(by.saturating_sub(signalled_at.elapsed()))).await;
        // Requests come for a while yet; then each connection ends once nothing is open on it.
        let accept_span =
            (LATE_REQUEST_SPAN * 2).min(by.saturating_sub(RESPONSE_MARGIN)).max(LATE_REQUEST_SPAN);
        Timer::at(signalled_at + accept_span).await;
        if let Some((clients, accepting)) = clients {
            accepting.cancel().await;
            if let Some(clients) = Rc::into_inner(clients) {
                clients.end(end).await;
            }
        }
        // Who asks by another door has no connection here that could tell; and none of it outlasts the kill.
        while (open.get() > 0 || shared.unwritten_bytes.get() > 0) && Instant::now() < end {
            Timer::after(Duration::from_millis(20)).await;
        }
        Timer::after(Duration::from_millis(20)).await;
    };
    async_io::block_on(executor.run(start));
    log::info!("ends; counts: {counters}");
    Ok(())
}

/// Managers' requests take their turn in the owner's queue like all else.
async fn forward_management_calls(
    requests: async_channel::Receiver<ManagementCall>,
    queue: async_channel::Sender<RouterEvent>,
) {
    while let Ok(request) = requests.recv().await {
        if queue.send(RouterEvent::Management(request)).await.is_err() {
            return;
        }
    }
}

async fn forward_control_updates(
    updates: async_channel::Receiver<ControlUpdate>,
    queue: async_channel::Sender<RouterEvent>,
) {
    while let Ok(update) = updates.recv().await {
        if queue.send(RouterEvent::Control(update)).await.is_err() {
            return;
        }
    }
}

async fn poll(shared: Rc<Shared>) {
    loop {
        Timer::after(shared.stall_detector.period()).await;
        shared.stall_detector.poll(Instant::now());
    }
}

/// How long ago the first of the engines started that are still cold. The clock's origin lies before that, and
/// no earlier: the gateway's first values fade from the origin on.
fn oldest_slow_start(known: &[EndpointUpdate], window: Duration) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let members = known.iter().flat_map(|news| match news {
        EndpointUpdate::Full(members) | EndpointUpdate::Delta(members) => members.as_slice(),
        EndpointUpdate::Empty => &[],
    });
    let ages = members.map(|member| now.saturating_sub(Duration::from_millis(member.started_ms)));
    ages.filter(|age| *age < window).max().unwrap_or_default()
}

/// Takes up the channel of a newer file. One that can't be used leaves all as it is.
fn reload_config(path: &str, config: &mut FrontConfig, channel_moved: &async_channel::Sender<SocketAddr>) {
    let newer = match FrontConfig::read(path) {
        Ok(newer) => newer,
        Err(error) => return log::warn!("reload: {error}; all stays as it is"),
    };
    let changes_at_restart = config.changes_at_restart(&newer);
    if !changes_at_restart.is_empty() {
        log::warn!("reload: taken up only at the next start: {changes_at_restart}");
    }
    log::info!("reload: the command channel is at {}", newer.channel);
    if std::mem::replace(&mut config.channel, newer.channel) != newer.channel {
        let _ = channel_moved.force_send(newer.channel);
    }
}

/// Waits for a signal to end. Others have the file read anew, or the counters printed.
async fn wait_for_end(
    signals: &mut Signals,
    counters: &Counters,
    mut reload_config: impl FnMut(),
) -> Instant {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => log::info!("counts: {counters}"),
            Ok(Signal::Hup) => reload_config(),
            Ok(_) => break,
            Err(error) => log::warn!("signals: {error}"),
        }
    }
    Instant::now()
}
