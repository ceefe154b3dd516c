//! Connections to engines. One task takes the owner's orders; each connection has a session that reads the
//! answers. A pool belongs to an engine's id: a new engine may have the address of one that has gone.

mod connection;

use super::shared::Shared;
use crate::protocol::engine::{self, AttemptParameters, MAX_REPLY_BYTES, ReplyError};
use crate::transport::{self, ReadError, ReadLimits, Socket};
use async_channel::Receiver;
use async_io::Timer;
use connection::{EngineConnection, FailureStage, InFlightKind};
use futures_lite::FutureExt;
use lemonusher::{AttemptOutcome, EndpointUpdateKind, EngineId, EngineState};
use lemonusher_routing::{Counter, Endpoint, EngineCommand, RouterEvent, Token};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_QUEUED_COMMANDS: usize = 1024; // Orders that wait for a connection to one engine.
const IDLE_DIVISOR: u32 = 2; // An idle connection is closed after this part of the time the engine gives it.
const SPARE_DIVISOR: usize = 4; // A further connection is opened once less than this part of streams is free.
const MAX_SILENT_PERIODS: u32 = 3; // Note periods without a byte after which a connection takes nothing new.
const RETRY_INTERVAL: Duration = Duration::from_millis(20); // After so long it is looked again whether there is a descriptor.

enum Assignment {
    Connection(Rc<EngineConnection>),
    Queued,
    NoConnection,
    /// Its engine takes nothing new.
    Draining,
}

struct EnginePool {
    address: SocketAddr,
    state: EngineState,
    started_at: Option<Duration>,
    connections: Vec<Rc<EngineConnection>>,
    connecting: usize,
    /// Connections that have ended and wait for the engine's end.
    ending: usize,
    /// Whether it is looked again soon for a descriptor for one.
    retry_scheduled: bool,
    /// What waits for a connection, and since when.
    queued: Vec<(Instant, EngineCommand)>,
}

/// Where a token is out, and under what id.
type Reservation = (Rc<EngineConnection>, Arc<str>);

struct EnginePools {
    shared: Rc<Shared>,
    pools: RefCell<BTreeMap<EngineId, EnginePool>>,
    in_flight: RefCell<BTreeMap<Token, Reservation>>,
    /// Whether there are more engines than descriptors for connections to them, as the log was told last.
    lacks_descriptors: Cell<bool>,
}

/// Carries out the owner's orders for as long as the front runs.
pub async fn run(shared: Rc<Shared>, commands: Receiver<EngineCommand>) {
    let (pools, in_flight) = (RefCell::default(), RefCell::default());
    let engines = Rc::new(EnginePools { shared, pools, in_flight, lacks_descriptors: Cell::new(false) });
    engines.shared.executor.spawn(maintain(engines.clone())).detach();
    while let Ok(command) = commands.recv().await {
        if AssertUnwindSafe(engines.handle_command(command)).catch_unwind().await.is_err() {
            engines.shared.counters.add(Counter::Panics, None);
            log::error!("an order for the engines panicked");
        }
    }
}

/// Closes connections that have been idle, well before their engine does, and retires quiet ones.
async fn maintain(engines: Rc<EnginePools>) {
    let capabilities = &engines.shared.settings.capabilities;
    let idle_time = Duration::from_micros(capabilities.idle_timeout_us) / IDLE_DIVISOR;
    let period = Duration::from_micros(engines.shared.settings.engines.progress_interval_us);
    let quiet = period * MAX_SILENT_PERIODS + engines.shared.connect_timeout;
    loop {
        Timer::after(engines.shared.connect_timeout).await;
        let connections: Vec<Rc<EngineConnection>> =
            engines.pools.borrow().values().flat_map(|p| p.connections.clone()).collect();
        for connection in connections {
            for token in connection.take_unconfirmed_cancels(engines.shared.connect_timeout) {
                engines.in_flight.borrow_mut().remove(&token);
                let _ = engines
                    .shared
                    .events
                    .send(RouterEvent::attempt_ended(token, AttemptOutcome::Cancelled))
                    .await;
            }
            let is_silent = !period.is_zero() && connection.is_silent(quiet);
            if is_silent || connection.is_unused(idle_time) {
                connection.retire();
            }
        }
        let timeout = engines.shared.connect_timeout;
        let expired: Vec<EngineCommand> = (engines.pools.borrow_mut().values_mut())
            .flat_map(|pool| pool.queued.extract_if(.., |(at, _)| at.elapsed() > timeout).collect::<Vec<_>>())
            .map(|(_, command)| command)
            .collect();
        for command in expired {
            engines.report_failure(command, FailureStage::NotConnected).await;
        }
    }
}

impl EnginePools {
    async fn handle_command(self: &Rc<Self>, command: EngineCommand) {
        match command {
            EngineCommand::Endpoints(kind, endpoints) => self.handle_endpoints(kind, endpoints).await,
            EngineCommand::Cancel(token) => self.cancel(token).await,
            EngineCommand::Withdraw(token) => drop(self.withdraw(token).await),
            EngineCommand::SetPriority { token, priority } => {
                let assign = self.in_flight.borrow().get(&token).cloned();
                if let Some((connection, id)) = assign {
                    let _ = connection.write_queue.push(engine::encode_priority(&id, priority).as_bytes());
                }
            }
            EngineCommand::Send { engine, .. } | EngineCommand::Probe { engine, .. } => {
                self.send(engine, command).await
            }
        }
    }

    /// Pools follow the list: one is made for each new engine, and one that has gone opens nothing further. What waits
    /// for a connection to one that drains or has gone is not sent: it would begin after that was known.
    async fn handle_endpoints(self: &Rc<Self>, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        let (mut opened, mut unsent) = (Vec::new(), Vec::new());
        {
            let mut pools = self.pools.borrow_mut();
            if kind != EndpointUpdateKind::Delta {
                pools.values_mut().for_each(|pool| pool.state = EngineState::Removed);
            }
            for endpoint in endpoints {
                let pool = pools.entry(endpoint.engine).or_insert_with(|| EnginePool::new(&endpoint));
                if pool.address != endpoint.address || pool.started_at != endpoint.started_at {
                    pool.connections.iter().for_each(|connection| connection.retire());
                }
                (pool.address, pool.state, pool.started_at) =
                    (endpoint.address, endpoint.state, endpoint.started_at);
                // Where connections cost, hundreds of fronts that all open one to each engine at once are what engines
                // that hold few can't bear: each is opened when it is first wanted.
                let free_streams = self.shared.settings.costs.handshake == 0.0;
                if free_streams
                    && endpoint.state == EngineState::Active
                    && pool.connections.iter().all(|l| l.retired.get())
                {
                    opened.push(endpoint.engine);
                }
            }
            pools.values().filter(|p| p.state == EngineState::Removed).for_each(|pool| {
                pool.connections.iter().for_each(|connection| connection.retire());
            });
            pools.values_mut().filter(|p| p.state != EngineState::Active).for_each(|pool| {
                unsent.extend(std::mem::take(&mut pool.queued).into_iter().map(|(_, command)| command));
            });
            pools.retain(|_, p| p.state != EngineState::Removed || p.descriptors_held() > 0);
        }
        for command in unsent {
            self.report_end(&command, AttemptOutcome::NotSent).await;
        }
        // Where there are more engines than descriptors, those opened ahead would only be in the way of wanted ones.
        if self.update_descriptor_shortage() {
            return;
        }
        for engine in opened {
            self.open_connection(engine, false);
        }
    }

    /// Whether not every engine that may be used can have a connection; the log is told when that changes.
    fn update_descriptor_shortage(&self) -> bool {
        let active = self.pools.borrow().values().filter(|pool| pool.state == EngineState::Active).count();
        let room = self.shared.descriptor_limits.engines;
        let lacks_descriptors = active > room;
        if self.lacks_descriptors.replace(lacks_descriptors) != lacks_descriptors {
            if lacks_descriptors {
                log::warn!(
                    "{active} engines, and descriptors for {room} connections to them: none is opened ahead, the one \
                     idle longest ends for each that is wanted"
                );
            } else {
                log::info!(
                    "{active} engines, and descriptors for {room} connections to them: each can have one"
                );
            }
        }
        lacks_descriptors
    }

    /// Whether all descriptors for connections to engines are taken.
    fn is_full(&self) -> bool {
        let held: usize = self.pools.borrow().values().map(EnginePool::descriptors_held).sum();
        held >= self.shared.descriptor_limits.engines
    }

    async fn send(self: &Rc<Self>, engine: EngineId, command: EngineCommand) {
        let (connection, opens) = self.assign(engine, &command);
        if opens {
            self.open_connection(engine, true);
        }
        match connection {
            Assignment::Connection(connection) => self.write(&connection, command).await,
            Assignment::Queued => {}
            Assignment::NoConnection => self.report_failure(command, FailureStage::NotConnected).await,
            Assignment::Draining => self.report_end(&command, AttemptOutcome::NotSent).await,
        }
    }

    /// Finds a connection for an order or lets it wait for one, and tells whether a further one is wanted.
    fn assign(&self, engine: EngineId, command: &EngineCommand) -> (Assignment, bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&engine).filter(|p| p.state != EngineState::Removed) else {
            return (Assignment::NoConnection, false);
        };
        if pool.state != EngineState::Active {
            return (Assignment::Draining, false);
        }
        let streams = self.shared.settings.capabilities.max_streams_per_connection.max(1);
        let placed = match pool.free_streams(command, streams) {
            Some(connection) => Assignment::Connection(connection),
            None if pool.queued.len() < MAX_QUEUED_COMMANDS => {
                pool.queued.push((Instant::now(), command.clone()));
                Assignment::Queued
            }
            None => Assignment::NoConnection,
        };
        // What waits may be barred from a connection that has streams left, as it went over it before.
        let coming = pool.connecting * streams;
        let free_streams: usize = pool.connections.iter().map(|l| l.free_streams(streams)).sum();
        let opens = (coming < pool.queued.len() || free_streams + coming < streams / SPARE_DIVISOR)
            && pool.connections.len() + pool.connecting < self.shared.descriptor_limits.per_engine;
        (placed, opens)
    }

    /// What waits for a connection to an engine is tried again.
    async fn send_queued(self: &Rc<Self>, engine: EngineId) {
        let streams = self.shared.settings.capabilities.max_streams_per_connection.max(1);
        loop {
            let next = {
                let mut pools = self.pools.borrow_mut();
                let Some(pool) = pools.get_mut(&engine) else { return };
                let free_streams =
                    |(_, command): &(Instant, EngineCommand)| pool.free_streams(command, streams).is_some();
                let Some(assign) = pool.queued.iter().position(free_streams) else { return };
                let (_, command) = pool.queued.remove(assign);
                pool.free_streams(&command, streams).map(|connection| (connection, command))
            };
            if let Some((connection, command)) = next {
                self.write(&connection, command).await;
            }
        }
    }

    /// Puts an order on a connection that takes it at once, so that this is the moment in which it begins: all that
    /// it rests on is looked at again, as much may have happened while it waited.
    async fn write(self: &Rc<Self>, connection: &Rc<EngineConnection>, command: EngineCommand) {
        let now = Instant::now();
        let (token, id, message, kind) = match &command {
            EngineCommand::Send { conditions, .. } if !conditions.hold(now) => {
                return self.report_end(&command, AttemptOutcome::NotSent).await;
            }
            EngineCommand::Send {
                token,
                request,
                request_class,
                statement,
                conditions,
                priority,
                memory_mb,
                ..
            } => {
                let class = self.shared.settings.request_classes.get(*request_class);
                let left = conditions.until.saturating_duration_since(now);
                let parameters = AttemptParameters {
                    request_class: class.map_or("", |class| &class.name),
                    budget_ms: (left.as_millis() as u64).max(1),
                    priority: *priority,
                    memory_mb: memory_mb.max(0.0) as u64,
                };
                (
                    *token,
                    request.clone(),
                    engine::encode_attempt(request, &parameters, statement),
                    InFlightKind::Request(None),
                )
            }
            EngineCommand::Probe { token, .. } => {
                let id: Arc<str> = format!("p{token}").into();
                let report = !self.shared.settings.load_report.fields.is_empty();
                (*token, id.clone(), engine::encode_probe(&id, report).into_bytes(), InFlightKind::Probe)
            }
            _ => return,
        };
        if !connection.send(token, id.clone(), &message, kind) {
            return self.report_failure(command, FailureStage::PartlySent).await;
        }
        self.in_flight.borrow_mut().insert(token, (connection.clone(), id));
    }

    async fn cancel(&self, token: Token) {
        if self.withdraw(token).await {
            return;
        }
        let Some((connection, id)) = self.in_flight.borrow().get(&token).cloned() else { return };
        if let Some(outcome) = connection.cancel(&id) {
            self.in_flight.borrow_mut().remove(&token);
            let _ = self.shared.events.send(RouterEvent::attempt_ended(token, outcome)).await;
        }
        connection.close_if_drained();
    }

    /// An order that still waits for a connection is over, as nothing was sent; false if it does not wait.
    async fn withdraw(&self, token: Token) -> bool {
        let waited = self.pools.borrow_mut().values_mut().find_map(|pool| {
            let assign = pool.queued.iter().position(|(_, command)| command.token() == Some(token))?;
            Some(pool.queued.remove(assign).1)
        });
        if let Some(command) = &waited {
            self.report_end(command, AttemptOutcome::NotSent).await;
        }
        waited.is_some()
    }

    /// An order that never got on a connection, or not wholly.
    async fn report_failure(&self, command: EngineCommand, stage: FailureStage) {
        self.report_end(&command, stage.outcome()).await;
    }

    async fn report_end(&self, command: &EngineCommand, outcome: AttemptOutcome) {
        let event = match command {
            EngineCommand::Send { token, .. } => RouterEvent::attempt_ended(*token, outcome),
            EngineCommand::Probe { token, .. } => {
                RouterEvent::ProbeEnded { token: *token, answered: false, load: None }
            }
            _ => return,
        };
        let _ = self.shared.events.send(event).await;
    }

    /// Opens a further connection to an engine, in a task of its own, if there is a descriptor for it. Where there is
    /// none and it is wanted, the connection that has been idle longest makes room, and soon it is looked again.
    fn open_connection(self: &Rc<Self>, engine: EngineId, wanted: bool) {
        let address = {
            let mut pools = self.pools.borrow_mut();
            let held: usize = pools.values().map(EnginePool::descriptors_held).sum();
            let full = held >= self.shared.descriptor_limits.engines;
            // One that ends already makes room by itself.
            if full && wanted && pools.values().all(|pool| pool.ending == 0) {
                let connections = pools.values().flat_map(|pool| &pool.connections);
                let idle_time = connections
                    .filter(|connection| !connection.retired.get())
                    .filter_map(|l| Some((l.idle_time()?, l)));
                if let Some((_, idlest)) = idle_time.max_by_key(|(span, _)| *span) {
                    idlest.retire();
                }
            }
            let Some(pool) = pools.get_mut(&engine) else { return };
            if full {
                if wanted && !std::mem::replace(&mut pool.retry_scheduled, true) {
                    self.shared.executor.spawn(self.clone().retry_open(engine)).detach();
                }
                return;
            }
            pool.connecting += 1;
            pool.address
        };
        let engines = self.clone();
        let session = async move {
            let connected = transport::connect(address, engines.shared.connect_timeout).await;
            if let Some(pool) = engines.pools.borrow_mut().get_mut(&engine) {
                pool.connecting -= 1;
            }
            match connected {
                Ok(socket) => engines.serve_connection(engine, address, socket).await,
                Err(error) => {
                    log::debug!("engine {engine:08x}: no connection: {error}");
                    engines.handle_no_connection(engine).await;
                }
            }
        };
        self.shared.executor.spawn(session).detach();
    }

    async fn retry_open(self: Rc<Self>, engine: EngineId) {
        Timer::after(RETRY_INTERVAL).await;
        let wanted = self.pools.borrow_mut().get_mut(&engine).is_some_and(|pool| {
            pool.retry_scheduled = false;
            !pool.queued.is_empty()
                && pool.connecting == 0
                && pool.connections.iter().all(|l| l.retired.get())
        });
        if wanted {
            self.open_connection(engine, true);
        }
    }

    /// No connection came up: what waits for one, with none left to wait for, is over.
    async fn handle_no_connection(&self, engine: EngineId) {
        let queued = match self.pools.borrow_mut().get_mut(&engine) {
            Some(pool) if pool.connecting == 0 && pool.connections.iter().all(|l| l.retired.get()) => {
                std::mem::take(&mut pool.queued)
            }
            _ => Vec::new(),
        };
        for (_, command) in queued {
            self.report_failure(command, FailureStage::NotConnected).await;
        }
    }

    /// One connection, from when it is up to its end.
    async fn serve_connection(self: &Rc<Self>, engine: EngineId, address: SocketAddr, socket: Socket) {
        self.shared.counters.add(Counter::EngineConnections, None);
        let connection = Rc::new(EngineConnection::new(self.shared.clone(), engine, socket));
        match self.pools.borrow_mut().get_mut(&engine) {
            Some(pool) if pool.state != EngineState::Removed && pool.address == address => {
                pool.connections.push(connection.clone());
            }
            // It came up for one that is there no longer; what waits is for the one that is.
            _ => {
                self.shared.executor.spawn(self.clone().retry_open(engine)).detach();
                return;
            }
        }
        self.send_queued(engine).await;
        let end = AssertUnwindSafe(self.run_connection(&connection)).catch_unwind().await;
        let over = connection.end();
        // What has nothing out is ended in order; all else is broken, or given up by its end.
        let in_order = matches!(end, Ok(None)) && over.is_empty();
        match end {
            Ok(Some(error)) => log::debug!("engine {engine:08x}: a connection ends: {error}"),
            Ok(None) => {}
            Err(_) => {
                self.shared.counters.add(Counter::Panics, None);
                log::error!("engine {engine:08x}: a connection panicked and ends");
            }
        }
        if let Some(pool) = self.pools.borrow_mut().get_mut(&engine) {
            pool.connections.retain(|other| !Rc::ptr_eq(other, &connection));
            pool.ending += 1;
        }
        self.handle_no_connection(engine).await;
        for (token, event) in over {
            self.in_flight.borrow_mut().remove(&token);
            let _ = self.shared.events.send(event).await;
        }
        if in_order {
            // An engine that does not end it in turn keeps no descriptor from those that are wanted.
            let timeout = if self.is_full() { RETRY_INTERVAL } else { self.shared.connect_timeout };
            transport::close_gracefully(&connection.write_queue.socket(), timeout).await;
        }
        drop(connection);
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&engine) {
            pool.ending -= 1;
            if pool.state == EngineState::Removed && pool.descriptors_held() == 0 {
                pools.remove(&engine);
            }
        }
    }

    async fn run_connection(self: &Rc<Self>, connection: &Rc<EngineConnection>) -> Option<String> {
        let read_replies = async {
            match self.read_replies(connection).await {
                Ok(()) => None,
                Err(error) => Some(error.to_string()),
            }
        };
        let write = async {
            let drained = || {
                // What waits for this connection goes on once all before it has been taken by the system.
                if connection.write_queue.waiting() == 0 {
                    let (engines, engine) = (self.clone(), connection.engine);
                    let send = async move { engines.send_queued(engine).await };
                    self.shared.executor.spawn(send).detach();
                }
            };
            let end = connection.write_queue.run(self.shared.connect_timeout * 4, drained).await;
            end.err().map(|e| e.to_string())
        };
        read_replies.or(write).await
    }

    async fn read_replies(
        self: &Rc<Self>,
        connection: &Rc<EngineConnection>,
    ) -> Result<(), ReadError<ReplyError>> {
        // An engine writes an answer in one go: one that stops short keeps all else from this connection.
        let time = self.shared.connect_timeout * 2;
        let bounds = ReadLimits { bytes: MAX_REPLY_BYTES, time, memory: self.shared.reply_memory.clone() };
        let mut answers =
            transport::read_messages(connection.write_queue.socket(), bounds, engine::parse_reply);
        while let Some(answer) = answers.next().await {
            let answer = answer.inspect_err(|error| {
                if !matches!(error, ReadError::Io(_)) {
                    self.shared.counters.add(Counter::SpoiltConnections, None);
                }
            })?;
            if let Some((token, event)) = connection.handle_reply(answer).map_err(ReadError::Malformed)? {
                if !matches!(event, RouterEvent::Progress { .. }) {
                    self.in_flight.borrow_mut().remove(&token);
                }
                let _ = self.shared.events.send(event).await;
                self.send_queued(connection.engine).await;
            }
            connection.close_if_drained();
        }
        Ok(())
    }
}

impl EnginePool {
    fn new(endpoints: &Endpoint) -> Self {
        EnginePool {
            address: endpoints.address,
            state: endpoints.state,
            started_at: endpoints.started_at,
            connections: Vec::new(),
            connecting: 0,
            ending: 0,
            retry_scheduled: false,
            queued: Vec::new(),
        }
    }

    /// Descriptors that it holds.
    fn descriptors_held(&self) -> usize {
        self.connections.len() + self.connecting + self.ending
    }

    /// The fullest connection that can take the order, so that others fall idle.
    fn free_streams(&self, command: &EngineCommand, streams: usize) -> Option<Rc<EngineConnection>> {
        let fits = |connection: &&Rc<EngineConnection>| {
            connection.free_streams(streams) > 0
                && command.request().is_none_or(|id| !connection.has_used(id))
        };
        self.connections
            .iter()
            .filter(fits)
            .min_by_key(|connection| connection.free_streams(streams))
            .cloned()
    }
}
