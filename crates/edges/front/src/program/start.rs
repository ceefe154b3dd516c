//! Start-up: reads the configuration, builds the router and the shared state, and starts the tasks.

use super::clients::ClientListener;
use super::config::{FrontConfig, StartError};
use super::control_channels::{FleetChannels, ManagementChannels};
use super::descriptor_limits::DescriptorLimits;
use super::discovery::DiscoveryInput;
use super::external_processing::{self, ExternalProcessing};
use super::shared::Shared;
use super::shutdown::{self, AcceptingListener, ShutdownSchedule};
use super::{discovery, engines};
use crate::protocol::discovery::{EndpointUpdate, InitialEvents};
use crate::transport::{self, MemoryBudget, StallDetector};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use lemonusher::Deployment;
use lemonusher_deployment::{LoadReportFields, Settings, deployment};
use lemonusher_routing::{Clock, Counters, EngineCommand, Limits, RequestRouter, RouterEvent};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between polls of the stall detector.
const STALL_DETECTOR_PERIOD: Duration = Duration::from_millis(10);
/// Capacity of the router's event queue, and of the queue of engine commands.
const QUEUE_LENGTH: usize = 4096;
/// Length of the kernel's accept queue.
const LISTEN_BACKLOG: i32 = 4096;
/// The statements of all open requests may take the memory limit divided by this.
const STATEMENT_MEMORY_DIVISOR: usize = 4;
/// Responses that clients are slow to read may take the memory limit divided by this.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// Partial messages of clients, and those of engines, may each take the memory limit divided by this.
const PARTIAL_MEMORY_DIVISOR: usize = 8;

/// Runs a front, configured by the file that `PROXY_CONFIG` names, until a signal ends it.
pub fn run() -> Result<(), StartError> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| StartError::Missing("PROXY_CONFIG"))?;
    serve(path, None, None, None)
}

/// Runs a front, configured by the file at `path`, until a signal ends it. It serves clients and connects to
/// engines, or, with external processing, serves proxies that send the attempts themselves.
pub fn serve(
    path: String,
    management: Option<ManagementChannels>,
    external_processing: Option<ExternalProcessing>,
    fleet: Option<FleetChannels>,
) -> Result<(), StartError> {
    // Signals are watched from the beginning, so that one received during the start is handled after it.
    let watched = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    let signals = Signals::new(watched).map_err(StartError::Signals)?;
    let config = FrontConfig::read(&path)?;
    let settings = config.settings(&path)?;
    let seed = config.seed(&path)?;
    let initial = config.initial_events(&path, &settings)?;
    let mut deployment = deployment(&settings);
    let listener = match &external_processing {
        None => Some(listen(config.listen)?),
        Some(external) => {
            external.restrict(&mut deployment);
            None
        }
    };
    let max_deadline = deployment.request_classes.iter().map(|class| class.deadline).max();
    let schedule = ShutdownSchedule::new(max_deadline.unwrap_or_default());
    let clock = clock(&initial, &deployment);
    let (events, received_events) = async_channel::bounded(QUEUE_LENGTH);
    let (commands, received_commands) = async_channel::bounded(QUEUE_LENGTH);
    let is_recovery = external_processing.as_ref().is_some_and(|external| external.is_recovery);
    let memory = config.limits.memory_mb * 1024 * 1024;
    let limits = router_limits(&settings, &deployment, memory);
    let descriptor_limits = DescriptorLimits::of(config.limits.sockets);
    let shared = Rc::new(shared(settings, events, memory, descriptor_limits, is_recovery));
    log_start(&config, listener.as_ref(), initial.updates.len())?;
    let mut router = RequestRouter::new(deployment, seed, clock, limits, commands, shared.counters.clone());
    if let Some(management) = management {
        router = management.attach(router, &shared);
    }
    if let Some(fleet) = fleet {
        router = fleet.attach(router, &shared);
    }
    let executor = shared.executor.clone();
    let counters = shared.counters.clone();
    let front = Front { path, config, signals, schedule, shared };
    let inputs =
        TaskInputs { router, received_events, received_commands, external_processing, initial, listener };
    async_io::block_on(executor.run(front.run(inputs)));
    log::info!("ends; counts: {counters}");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    transport::listen(address, LISTEN_BACKLOG).map_err(|error| StartError::Listen { address, error })
}

/// Builds the router's clock. Its origin has to lie before the start of every engine that is in slow start, but no
/// earlier than needed, because the gateway's initial values decay from the origin on.
fn clock(initial: &InitialEvents, deployment: &Deployment) -> Clock {
    let window = deployment.safety_rules.slow_start_window;
    Clock::with_history(oldest_slow_start(&initial.updates, window) + deployment.tick)
}

/// Age of the oldest engine that is still in slow start; zero if there is none.
fn oldest_slow_start(updates: &[EndpointUpdate], window: Duration) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let records = updates.iter().flat_map(|update| match update {
        EndpointUpdate::Full(records) | EndpointUpdate::Delta(records) => records.as_slice(),
        EndpointUpdate::Empty => &[],
    });
    let ages = records.map(|record| now.saturating_sub(Duration::from_millis(record.started_ms)));
    ages.filter(|age| *age < window).max().unwrap_or_default()
}

/// Limits of the router. `memory` is in bytes.
fn router_limits(settings: &Settings, deployment: &Deployment, memory: usize) -> Limits {
    Limits {
        max_requests: settings.capabilities.max_open_requests.max(1),
        max_statement_bytes: memory / STATEMENT_MEMORY_DIVISOR,
        probe_timeout: deployment.capabilities.connect_timeout,
    }
}

/// Builds the shared state. `memory` is in bytes; `is_recovery` marks a start after a crash.
fn shared(
    settings: Settings,
    events: Sender<RouterEvent>,
    memory: usize,
    descriptor_limits: DescriptorLimits,
    is_recovery: bool,
) -> Shared {
    let class_names = settings.request_classes.iter().map(|class| class.name.clone()).collect();
    Shared {
        load_fields: LoadReportFields::new(&settings),
        counters: Rc::new(Counters::new(class_names)),
        events,
        executor: Rc::new(LocalExecutor::new()),
        shutting_down: false.into(),
        unwritten_bytes: 0.into(),
        max_unwritten_bytes: memory / RESPONSE_MEMORY_DIVISOR,
        line_memory: MemoryBudget::new(memory / PARTIAL_MEMORY_DIVISOR),
        reply_memory: MemoryBudget::new(memory / PARTIAL_MEMORY_DIVISOR),
        descriptor_limits,
        discovery: DiscoveryInput::new(),
        stall_detector: StallDetector::new(STALL_DETECTOR_PERIOD),
        connect_timeout: Duration::from_micros(settings.capabilities.connect_timeout_us),
        slow_start_since: is_recovery
            .then(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()),
        settings,
    }
}

/// Logs that the front has started. The text "engine events" stands for the endpoint updates in the initial list;
/// it stays as it is, because the start-up lines may be matched by operators' tools.
fn log_start(
    config: &FrontConfig,
    listener: Option<&Async<TcpListener>>,
    event_count: usize,
) -> Result<(), StartError> {
    match listener {
        Some(listener) => {
            let address = listener.get_ref().local_addr();
            let address = address.map_err(|error| StartError::Listen { address: config.listen, error })?;
            log::info!("front {} listens on {address}, {event_count} engine events known", config.name);
        }
        None => log::info!("front {} serves proxies, {event_count} engine events known", config.name),
    }
    Ok(())
}

/// A front that is ready to run.
struct Front {
    path: String,
    config: FrontConfig,
    signals: Signals,
    schedule: ShutdownSchedule,
    shared: Rc<Shared>,
}

/// Inputs of the front's tasks: the router, its queues, and what the drivers start with.
struct TaskInputs {
    router: RequestRouter,
    received_events: Receiver<RouterEvent>,
    received_commands: Receiver<EngineCommand>,
    external_processing: Option<ExternalProcessing>,
    initial: InitialEvents,
    listener: Option<Async<TcpListener>>,
}

impl Front {
    /// Starts the tasks, waits for the signal that ends the front, and shuts down.
    async fn run(mut self, inputs: TaskInputs) {
        let shared = self.shared.clone();
        let executor = &shared.executor;
        let open_requests: Rc<Cell<usize>> = inputs.router.open_requests();
        let (address_sender, addresses) = async_channel::bounded(1); // Holds only the latest address.
        let _ = address_sender.try_send(self.config.channel);
        executor.spawn(inputs.router.run(inputs.received_events)).detach();
        match inputs.external_processing {
            Some(external) => executor
                .spawn(external_processing::run(shared.clone(), inputs.received_commands, external))
                .detach(),
            None => executor.spawn(engines::run(shared.clone(), inputs.received_commands)).detach(),
        }
        executor.spawn(discovery::run(shared.clone(), addresses, inputs.initial)).detach();
        let clients = inputs.listener.map(|listener| {
            let listener = Rc::new(ClientListener::new(shared.clone(), listener, LISTEN_BACKLOG as usize));
            let accepting = listener.clone();
            AcceptingListener { listener, task: executor.spawn(async move { accepting.run().await }) }
        });
        executor.spawn(poll_stall_detector(shared.clone())).detach();
        let reload = || shutdown::reload_config(&self.path, &mut self.config, &address_sender);
        let signalled_at = shutdown::wait_for_termination(&mut self.signals, &shared.counters, reload).await;
        shutdown::shut_down(&shared, &self.schedule, signalled_at, clients, &open_requests).await;
    }
}

async fn poll_stall_detector(shared: Rc<Shared>) {
    loop {
        Timer::after(shared.stall_detector.period()).await;
        shared.stall_detector.poll(Instant::now());
    }
}
