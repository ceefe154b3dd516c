//! Carries out the router's commands: attempts and probes are sent on a connection, or wait for one, or are over.

use super::connection::{EngineConnection, FailureStage, InFlightKind};
use super::pool::QueuedCommand;
use super::{EnginePools, InFlightLocation};
use crate::protocol::engine::{self, AttemptParameters};
use lemonusher::{AttemptOutcome, EngineId, EngineState};
use lemonusher_routing::{EngineCommand, RouterEvent, Token};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Commands that may wait for a connection to one engine.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// A further connection is opened once less than one in so many of a connection's streams is free.
const SPARE_DIVISOR: usize = 4;

/// What becomes of an attempt or probe.
enum Assignment {
    /// It is sent on this connection.
    Connection(Rc<EngineConnection>),
    /// It waits for a connection.
    Queued,
    /// There is no connection, and none to wait for.
    NoConnection,
    /// Its engine takes nothing new.
    Draining,
}

/// What becomes of a command, and whether a further connection is wanted.
struct Placement {
    assignment: Assignment,
    opens_connection: bool,
}

/// A message that is ready to be written.
struct OutgoingMessage {
    token: Token,
    id: Arc<str>,
    bytes: Vec<u8>,
    kind: InFlightKind,
}

impl EnginePools {
    /// Carries out a command, as far as that can be done at once.
    pub(super) async fn handle_command(self: &Rc<Self>, command: EngineCommand) {
        match command {
            EngineCommand::Endpoints(kind, endpoints) => self.handle_endpoints(kind, endpoints).await,
            EngineCommand::Cancel(token) => self.cancel(token).await,
            EngineCommand::Withdraw(token) => drop(self.withdraw(token).await),
            EngineCommand::SetPriority { token, priority } => {
                let location = self.in_flight.borrow().get(&token).cloned();
                if let Some(InFlightLocation { connection, id }) = location {
                    let _ = connection.write_queue.push(engine::encode_priority(&id, priority).as_bytes());
                }
            }
            EngineCommand::Send { engine, .. } | EngineCommand::Probe { engine, .. } => {
                self.send(engine, command).await
            }
        }
    }

    async fn send(self: &Rc<Self>, engine: EngineId, command: EngineCommand) {
        let Placement { assignment, opens_connection } = self.place(engine, &command);
        if opens_connection {
            self.open_connection(engine, true);
        }
        match assignment {
            Assignment::Connection(connection) => self.write(&connection, command).await,
            Assignment::Queued => {}
            Assignment::NoConnection => self.report_failure(command, FailureStage::NotConnected).await,
            Assignment::Draining => self.report_end(&command, AttemptOutcome::NotSent).await,
        }
    }

    /// Finds a connection for a command or queues it.
    fn place(&self, engine: EngineId, command: &EngineCommand) -> Placement {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&engine).filter(|pool| pool.state != EngineState::Removed) else {
            return Placement { assignment: Assignment::NoConnection, opens_connection: false };
        };
        if pool.state != EngineState::Active {
            return Placement { assignment: Assignment::Draining, opens_connection: false };
        }
        let streams = self.streams_per_connection();
        let assignment = match pool.connection_for(command, streams) {
            Some(connection) => Assignment::Connection(connection),
            None if pool.queued.len() < MAX_QUEUED_COMMANDS => {
                pool.queued.push(QueuedCommand { since: Instant::now(), command: command.clone() });
                Assignment::Queued
            }
            None => Assignment::NoConnection,
        };
        // What waits may be barred from a connection that has free streams, as its id was used there before.
        let coming = pool.connecting * streams;
        let lacks_streams =
            coming < pool.queued.len() || pool.free_streams(streams) + coming < streams / SPARE_DIVISOR;
        let has_room = pool.connections.len() + pool.connecting < self.shared.descriptor_limits.per_engine;
        Placement { assignment, opens_connection: lacks_streams && has_room }
    }

    fn streams_per_connection(&self) -> usize {
        self.shared.settings.capabilities.max_streams_per_connection.max(1)
    }

    /// Sends what waits for a connection to an engine, as far as there are free streams.
    pub(super) async fn send_queued(self: &Rc<Self>, engine: EngineId) {
        let streams = self.streams_per_connection();
        loop {
            let next = {
                let mut pools = self.pools.borrow_mut();
                let Some(pool) = pools.get_mut(&engine) else { return };
                let has_connection =
                    |queued: &QueuedCommand| pool.connection_for(&queued.command, streams).is_some();
                let Some(position) = pool.queued.iter().position(has_connection) else { return };
                let command = pool.queued.remove(position).command;
                pool.connection_for(&command, streams).map(|connection| (connection, command))
            };
            if let Some((connection, command)) = next {
                self.write(&connection, command).await;
            }
        }
    }

    /// Writes a command on a connection that takes it at once, so that this is the moment in which it starts: its
    /// conditions are checked again, as much may have happened while it waited.
    async fn write(self: &Rc<Self>, connection: &Rc<EngineConnection>, command: EngineCommand) {
        let now = Instant::now();
        if let EngineCommand::Send { conditions, .. } = &command
            && !conditions.hold(now)
        {
            return self.report_end(&command, AttemptOutcome::NotSent).await;
        }
        let Some(message) = self.encode(&command, now) else { return };
        let OutgoingMessage { token, id, bytes, kind } = message;
        if !connection.send(token, id.clone(), &bytes, kind) {
            return self.report_failure(command, FailureStage::PartlySent).await;
        }
        let location = InFlightLocation { connection: connection.clone(), id };
        self.in_flight.borrow_mut().insert(token, location);
    }

    /// The message of an attempt or probe.
    fn encode(&self, command: &EngineCommand, now: Instant) -> Option<OutgoingMessage> {
        match command {
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
                let time_left = conditions.until.saturating_duration_since(now);
                let parameters = AttemptParameters {
                    request_class: class.map_or("", |class| &class.name),
                    budget_ms: (time_left.as_millis() as u64).max(1),
                    priority: *priority,
                    memory_mb: memory_mb.max(0.0) as u64,
                };
                let bytes = engine::encode_attempt(request, &parameters, statement);
                let kind = InFlightKind::Request(None);
                Some(OutgoingMessage { token: *token, id: request.clone(), bytes, kind })
            }
            EngineCommand::Probe { token, .. } => {
                let id: Arc<str> = format!("p{token}").into();
                let load_report = !self.shared.settings.load_report.fields.is_empty();
                let bytes = engine::encode_probe(&id, load_report).into_bytes();
                Some(OutgoingMessage { token: *token, id, bytes, kind: InFlightKind::Probe })
            }
            _ => None,
        }
    }

    async fn cancel(&self, token: Token) {
        if self.withdraw(token).await {
            return;
        }
        let location = self.in_flight.borrow().get(&token).cloned();
        let Some(InFlightLocation { connection, id }) = location else { return };
        if let Some(outcome) = connection.cancel(&id) {
            self.in_flight.borrow_mut().remove(&token);
            let _ = self.shared.events.send(RouterEvent::attempt_ended(token, outcome)).await;
        }
        connection.close_if_drained();
    }

    /// A command that still waits for a connection is over, as nothing was sent; false if it does not wait.
    async fn withdraw(&self, token: Token) -> bool {
        let withdrawn = self.pools.borrow_mut().values_mut().find_map(|pool| {
            let position = pool.queued.iter().position(|queued| queued.command.token() == Some(token))?;
            Some(pool.queued.remove(position).command)
        });
        if let Some(command) = &withdrawn {
            self.report_end(command, AttemptOutcome::NotSent).await;
        }
        withdrawn.is_some()
    }

    /// An attempt or probe whose connection failed at this stage is over.
    pub(super) async fn report_failure(&self, command: EngineCommand, stage: FailureStage) {
        self.report_end(&command, stage.outcome()).await;
    }

    /// An attempt or probe is over without a reply.
    pub(super) async fn report_end(&self, command: &EngineCommand, outcome: AttemptOutcome) {
        let event = match command {
            EngineCommand::Send { token, .. } => RouterEvent::attempt_ended(*token, outcome),
            EngineCommand::Probe { token, .. } => {
                RouterEvent::ProbeEnded { token: *token, answered: false, load: None }
            }
            _ => return,
        };
        let _ = self.shared.events.send(event).await;
    }
}
