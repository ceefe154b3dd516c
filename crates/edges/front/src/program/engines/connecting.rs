//! Opens connections to engines and runs each from its establishment to its close.

use super::EnginePools;
use super::connection::{EngineConnection, FailureStage, TokenEvent};
use super::pool::EnginePool;
use crate::protocol::engine::{self, MAX_REPLY_BYTES, ReplyError};
use crate::transport::{self, ReadError, ReadLimits, Socket};
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{EngineId, EngineState};
use lemonusher_routing::{Counter, RouterEvent};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

/// Delay before another attempt to get a descriptor. Also the limit of a graceful close while no descriptor is free.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl EnginePools {
    /// Opens a further connection to an engine, in a task of its own, if a descriptor is free. If none is free
    /// and the connection is needed now rather than opened ahead, the longest idle connection is retired and a
    /// retry is scheduled.
    pub(super) fn open_connection(self: &Rc<Self>, engine: EngineId, on_demand: bool) {
        let Some(address) = self.reserve_descriptor(engine, on_demand) else { return };
        let engines = self.clone();
        let connect = async move {
            let connected = transport::connect(address, engines.shared.connect_timeout).await;
            if let Some(pool) = engines.pools.borrow_mut().get_mut(&engine) {
                pool.connecting -= 1;
            }
            match connected {
                Ok(socket) => engines.serve_connection(engine, address, socket).await,
                Err(error) => {
                    log::debug!("engine {engine:08x}: connect failed: {error}");
                    engines.handle_no_connection(engine).await;
                }
            }
        };
        self.shared.executor.spawn(connect).detach();
    }

    /// Reserves a descriptor by counting one more connection as being established, and returns the engine's address;
    /// `None` if no descriptor is free or the engine has no pool.
    fn reserve_descriptor(self: &Rc<Self>, engine: EngineId, on_demand: bool) -> Option<SocketAddr> {
        let is_full = self.is_full();
        let mut pools = self.pools.borrow_mut();
        // A connection that is already closing will free its descriptor.
        if is_full && on_demand && pools.values().all(|pool| pool.closing == 0) {
            let connections = pools.values().flat_map(|pool| &pool.connections);
            let idle = connections
                .filter(|connection| !connection.retired.get())
                .filter_map(|connection| Some((connection.idle_time()?, connection)));
            if let Some((_, longest_idle)) = idle.max_by_key(|(idle_time, _)| *idle_time) {
                longest_idle.retire();
            }
        }
        let pool = pools.get_mut(&engine)?;
        if is_full {
            if on_demand && !std::mem::replace(&mut pool.retry_scheduled, true) {
                self.shared.executor.spawn(self.clone().retry_open(engine)).detach();
            }
            return None;
        }
        pool.connecting += 1;
        Some(pool.address)
    }

    /// Whether all descriptors for connections to engines are in use.
    fn is_full(&self) -> bool {
        let held: usize = self.pools.borrow().values().map(EnginePool::descriptors_held).sum();
        held >= self.shared.descriptor_limits.engines
    }

    async fn retry_open(self: Rc<Self>, engine: EngineId) {
        Timer::after(RETRY_INTERVAL).await;
        let is_needed = self.pools.borrow_mut().get_mut(&engine).is_some_and(|pool| {
            pool.retry_scheduled = false;
            !pool.queued.is_empty() && pool.connecting == 0 && pool.all_retired()
        });
        if is_needed {
            self.open_connection(engine, true);
        }
    }

    /// Fails the engine's queued commands if it has no usable connection and none is being established.
    async fn handle_no_connection(&self, engine: EngineId) {
        let queued = match self.pools.borrow_mut().get_mut(&engine) {
            Some(pool) if pool.connecting == 0 && pool.all_retired() => pool.take_queued().collect(),
            _ => Vec::new(),
        };
        for command in queued {
            self.report_failure(command, FailureStage::NotConnected).await;
        }
    }

    /// Runs an established connection until it is closed and its descriptor is released.
    async fn serve_connection(self: &Rc<Self>, engine: EngineId, address: SocketAddr, socket: Socket) {
        self.shared.counters.add(Counter::EngineConnections, None);
        let connection = Rc::new(EngineConnection::new(self.shared.clone(), engine, socket));
        if !self.add_connection(&connection, address) {
            // Queued commands are meant for the engine's current address: connect to that one.
            self.shared.executor.spawn(self.clone().retry_open(engine)).detach();
            return;
        }
        self.send_queued(engine).await;
        let end = AssertUnwindSafe(self.run_connection(&connection)).catch_unwind().await;
        let ended = connection.end();
        // A connection that ended without an error and with nothing in flight is closed gracefully; any other at
        // once.
        let is_graceful = matches!(end, Ok(None)) && ended.is_empty();
        match end {
            Ok(Some(error)) => log::debug!("engine {engine:08x}: connection failed: {error}"),
            Ok(None) => {}
            Err(_) => {
                self.shared.counters.add(Counter::Panics, None);
                log::error!("engine {engine:08x}: connection dropped after its task panicked");
            }
        }
        if let Some(pool) = self.pools.borrow_mut().get_mut(&engine) {
            pool.connections.retain(|other| !Rc::ptr_eq(other, &connection));
            pool.closing += 1;
        }
        self.handle_no_connection(engine).await;
        for TokenEvent { token, event } in ended {
            self.in_flight.borrow_mut().remove(&token);
            let _ = self.shared.events.send(event).await;
        }
        if is_graceful {
            // An engine that does not close its side must not keep a descriptor from a connection that is needed.
            let timeout = if self.is_full() { RETRY_INTERVAL } else { self.shared.connect_timeout };
            transport::close_gracefully(&connection.write_queue.socket(), timeout).await;
        }
        drop(connection);
        self.release_descriptor(engine);
    }

    /// Adds an established connection to its pool. Returns false if the engine was removed or changed its address
    /// meanwhile.
    fn add_connection(&self, connection: &Rc<EngineConnection>, address: SocketAddr) -> bool {
        match self.pools.borrow_mut().get_mut(&connection.engine) {
            Some(pool) if pool.state != EngineState::Removed && pool.address == address => {
                pool.connections.push(connection.clone());
                true
            }
            _ => false,
        }
    }

    /// Releases the descriptor of a closed connection. The pool of a removed engine is dropped with its last
    /// descriptor.
    fn release_descriptor(&self, engine: EngineId) {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&engine) {
            pool.closing -= 1;
            if pool.state == EngineState::Removed && pool.descriptors_held() == 0 {
                pools.remove(&engine);
            }
        }
    }

    /// Reads and writes until the connection ends; returns the error if one ended it.
    async fn run_connection(self: &Rc<Self>, connection: &Rc<EngineConnection>) -> Option<String> {
        let read = async { self.read_replies(connection).await.err().map(|error| error.to_string()) };
        let write = async {
            let on_progress = || {
                // Queued commands are sent once the kernel has accepted all bytes written before them.
                if connection.write_queue.queued_bytes() == 0 {
                    let (engines, engine) = (self.clone(), connection.engine);
                    let send = async move { engines.send_queued(engine).await };
                    self.shared.executor.spawn(send).detach();
                }
            };
            let end = connection.write_queue.run(self.shared.connect_timeout * 4, on_progress).await;
            end.err().map(|error| error.to_string())
        };
        read.or(write).await
    }

    async fn read_replies(
        self: &Rc<Self>,
        connection: &Rc<EngineConnection>,
    ) -> Result<(), ReadError<ReplyError>> {
        // An engine writes each reply in one piece. A partial reply blocks all replies behind it on this
        // connection, so the time for its rest is limited.
        let time = self.shared.connect_timeout * 2;
        let limits = ReadLimits { bytes: MAX_REPLY_BYTES, time, memory: self.shared.reply_memory.clone() };
        let mut replies =
            transport::read_messages(connection.write_queue.socket(), limits, engine::parse_reply);
        while let Some(reply) = replies.next().await {
            let reply = reply.inspect_err(|error| {
                if !matches!(error, ReadError::Io(_)) {
                    self.shared.counters.add(Counter::EngineReadErrors, None);
                }
            })?;
            let event = connection.handle_reply(reply).map_err(ReadError::Malformed)?;
            if let Some(TokenEvent { token, event }) = event {
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
