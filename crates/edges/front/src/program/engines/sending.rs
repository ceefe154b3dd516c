//! Executes the router's commands. An attempt or probe is sent on a connection, queued until a connection can
//! carry it, or reported as ended.

use super::connection::{EngineConnection, FailureStage, InFlightKind};
use super::pool::QueuedCommand;
use super::{EnginePools, InFlightLocation};
use crate::protocol::engine::{self, AttemptParameters};
use lemonusher::{AttemptOutcome, EngineId, EngineState};
use lemonusher_routing::{EngineCommand, RouterEvent, Token};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Limit of the queue of commands that wait for a connection to one engine.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// A further connection is opened once the pool's free streams, with those of connections being established, are
/// fewer than the streams of one connection divided by this.
const SPARE_STREAMS_DIVISOR: usize = 4;

/// How an attempt or probe is handled.
enum Assignment {
    /// It is sent on this connection.
    Connection(Rc<EngineConnection>),
    /// It is queued until a connection has a free stream.
    Queued,
    /// The engine is unknown or removed, or its queue is full: the command fails as not connected.
    NoConnection,
    /// The engine is draining and accepts no new commands.
    Draining,
}

/// How a command is handled, and whether a further connection to its engine is to be opened.
struct Placement {
    assignment: Assignment,
    opens_connection: bool,
}

/// An encoded attempt or probe, ready to be written.
struct OutgoingMessage {
    token: Token,
    id: Arc<str>,
    bytes: Vec<u8>,
    kind: InFlightKind,
}

impl EnginePools {
    /// Executes a command. An attempt or probe that can't be sent at once is queued.
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

    /// Finds a connection for a command, or queues the command.
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
        // Queued commands are compared only with the streams of connections being established: a connection with
        // free streams can't carry a command whose id it has carried before.
        let connecting_streams = pool.connecting * streams;
        let lacks_streams = connecting_streams < pool.queued.len()
            || pool.free_streams(streams) + connecting_streams < streams / SPARE_STREAMS_DIVISOR;
        let is_below_limit =
            pool.connections.len() + pool.connecting < self.shared.descriptor_limits.per_engine;
        Placement { assignment, opens_connection: lacks_streams && is_below_limit }
    }

    fn streams_per_connection(&self) -> usize {
        self.shared.settings.capabilities.max_streams_per_connection.max(1)
    }

    /// Sends an engine's queued commands for as long as there are free streams.
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

    /// Writes a command on a connection with a free stream. An attempt starts at this moment, so its conditions are
    /// checked here: they may have ceased to hold while it was queued. The engine may have started to drain, too,
    /// without the router knowing, after this process did not run for some time.
    async fn write(self: &Rc<Self>, connection: &Rc<EngineConnection>, command: EngineCommand) {
        let now = Instant::now();
        let is_allowed = match &command {
            EngineCommand::Send { conditions, .. } => conditions.are_met(now),
            _ => true,
        };
        if !is_allowed || !self.shared.may_receive(connection.engine) {
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

    /// Encodes an attempt or probe; `None` for any other command.
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

    /// Removes a command that is still queued and reports it as not sent. Returns false if it is not queued.
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

    /// Reports the end of an attempt or probe whose connection failed at this stage.
    pub(super) async fn report_failure(&self, command: EngineCommand, stage: FailureStage) {
        self.report_end(&command, stage.outcome()).await;
    }

    /// Reports the end of an attempt or probe that got no reply.
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
