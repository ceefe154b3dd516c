//! The connections to one engine, and the commands that wait for one.

use super::connection::EngineConnection;
use lemonusher::EngineState;
use lemonusher_routing::{Endpoint, EngineCommand};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A command that waits for a connection.
pub struct QueuedCommand {
    /// Since when.
    pub since: Instant,
    /// The attempt or probe.
    pub command: EngineCommand,
}

/// The connections to one engine.
pub struct EnginePool {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The engine's state.
    pub state: EngineState,
    /// Unix time of a late start.
    pub started_at: Option<Duration>,
    /// Connections that are up.
    pub connections: Vec<Rc<EngineConnection>>,
    /// Connections that come up.
    pub connecting: usize,
    /// Connections that have ended and wait for the engine's end.
    pub ending: usize,
    /// Whether it will be tried again to get a descriptor for a connection.
    pub retry_scheduled: bool,
    /// Attempts and probes that wait for a connection, in order.
    pub queued: Vec<QueuedCommand>,
}

impl EnginePool {
    /// A pool without connections.
    pub fn new(endpoint: &Endpoint) -> Self {
        EnginePool {
            address: endpoint.address,
            state: endpoint.state,
            started_at: endpoint.started_at,
            connections: Vec::new(),
            connecting: 0,
            ending: 0,
            retry_scheduled: false,
            queued: Vec::new(),
        }
    }

    /// Descriptors that it holds.
    pub fn descriptors_held(&self) -> usize {
        self.connections.len() + self.connecting + self.ending
    }

    /// Whether every connection takes nothing new.
    pub fn all_retired(&self) -> bool {
        self.connections.iter().all(|connection| connection.retired.get())
    }

    /// Retires every connection.
    pub fn retire(&self) {
        self.connections.iter().for_each(|connection| connection.retire());
    }

    /// The fullest connection that can take the command, so that others fall idle. `streams` is the number that a
    /// connection carries.
    pub fn connection_for(&self, command: &EngineCommand, streams: usize) -> Option<Rc<EngineConnection>> {
        let fits = |connection: &&Rc<EngineConnection>| {
            connection.free_streams(streams) > 0
                && command.request().is_none_or(|id| !connection.has_used(id))
        };
        let fitting = self.connections.iter().filter(fits);
        fitting.min_by_key(|connection| connection.free_streams(streams)).cloned()
    }

    /// Streams that all connections still have.
    pub fn free_streams(&self, streams: usize) -> usize {
        self.connections.iter().map(|connection| connection.free_streams(streams)).sum()
    }

    /// Takes out all commands that wait.
    pub fn take_queued(&mut self) -> impl Iterator<Item = EngineCommand> + use<> {
        std::mem::take(&mut self.queued).into_iter().map(|queued| queued.command)
    }

    /// Takes out the commands that have waited longer than the timeout.
    pub fn take_expired(&mut self, timeout: Duration) -> Vec<EngineCommand> {
        let expired = self.queued.extract_if(.., |queued| queued.since.elapsed() > timeout);
        expired.map(|queued| queued.command).collect()
    }
}
