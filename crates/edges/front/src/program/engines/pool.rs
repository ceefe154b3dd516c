//! The pool of connections to one engine, and the queue of commands that wait for a connection.

use super::connection::EngineConnection;
use lemonusher::EngineState;
use lemonusher_routing::{Endpoint, EngineCommand};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A command that waits for a connection.
pub struct QueuedCommand {
    /// When it was queued.
    pub since: Instant,
    /// The attempt or probe.
    pub command: EngineCommand,
}

/// The pool of connections to one engine.
pub struct EnginePool {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// The engine's state in the endpoint list.
    pub state: EngineState,
    /// Unix time at which the engine started; `None` if it started long ago.
    pub started_at: Option<Duration>,
    /// Established connections.
    pub connections: Vec<Rc<EngineConnection>>,
    /// Number of connections being established.
    pub connecting: usize,
    /// Number of connections that have ended here but still hold a descriptor, such as during a graceful close.
    pub closing: usize,
    /// Whether a retry to get a descriptor for a connection is scheduled.
    pub retry_scheduled: bool,
    /// Attempts and probes that wait for a connection, oldest first.
    pub queued: Vec<QueuedCommand>,
}

impl EnginePool {
    /// Creates a pool without connections.
    pub fn new(endpoint: &Endpoint) -> Self {
        EnginePool {
            address: endpoint.address,
            state: endpoint.state,
            started_at: endpoint.started_at,
            connections: Vec::new(),
            connecting: 0,
            closing: 0,
            retry_scheduled: false,
            queued: Vec::new(),
        }
    }

    /// Number of descriptors that the pool holds.
    pub fn descriptors_held(&self) -> usize {
        self.connections.len() + self.connecting + self.closing
    }

    /// Whether every established connection is retired.
    pub fn all_retired(&self) -> bool {
        self.connections.iter().all(|connection| connection.retired.get())
    }

    /// Retires every connection.
    pub fn retire(&self) {
        self.connections.iter().for_each(|connection| connection.retire());
    }

    /// The connection with the fewest free streams that can carry the command, so that the others become idle.
    /// `streams` is the limit of streams per connection.
    pub fn connection_for(&self, command: &EngineCommand, streams: usize) -> Option<Rc<EngineConnection>> {
        let can_carry = |connection: &&Rc<EngineConnection>| {
            connection.free_streams(streams) > 0
                && command.request().is_none_or(|id| !connection.has_used(id))
        };
        let candidates = self.connections.iter().filter(can_carry);
        candidates.min_by_key(|connection| connection.free_streams(streams)).cloned()
    }

    /// Number of free streams over all connections. `streams` is the limit per connection.
    pub fn free_streams(&self, streams: usize) -> usize {
        self.connections.iter().map(|connection| connection.free_streams(streams)).sum()
    }

    /// Removes and returns all queued commands.
    pub fn take_queued(&mut self) -> impl Iterator<Item = EngineCommand> + use<> {
        std::mem::take(&mut self.queued).into_iter().map(|queued| queued.command)
    }

    /// Removes and returns the commands that have been queued for longer than the timeout.
    pub fn take_expired(&mut self, timeout: Duration) -> Vec<EngineCommand> {
        let expired = self.queued.extract_if(.., |queued| queued.since.elapsed() > timeout);
        expired.map(|queued| queued.command).collect()
    }
}
