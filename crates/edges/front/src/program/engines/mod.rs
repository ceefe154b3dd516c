//! Engine driver: the pools of connections to engines.
//!
//! One task executes the router's commands; each connection has a task of its own that reads replies and writes
//! queued bytes. Pools are keyed by engine id, not by address, because a new engine may reuse the address of a
//! removed one.

mod connecting;
mod connection;
mod endpoints;
mod pool;
mod replies;
mod sending;

use super::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use connection::{EngineConnection, FailureStage};
use futures_lite::FutureExt;
use lemonusher::{AttemptOutcome, EngineId};
use lemonusher_routing::{Counter, EngineCommand, RouterEvent, Token};
use pool::EnginePool;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// An idle connection is retired after the engine's idle timeout divided by this, so before the engine closes it.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;
/// A connection is retired if its engine has sent no reply for longer than this number of progress intervals plus
/// the connect timeout after an attempt or probe. Does not apply if engines send no progress reports.
const MAX_SILENT_PERIODS: u32 = 3;

/// The connection on which an attempt or probe is in flight, and its id there.
#[derive(Clone)]
struct InFlightLocation {
    connection: Rc<EngineConnection>,
    id: Arc<str>,
}

/// The connection pools of all engines, and the attempts and probes in flight on them.
struct EnginePools {
    shared: Rc<Shared>,
    pools: RefCell<BTreeMap<EngineId, EnginePool>>,
    in_flight: RefCell<BTreeMap<Token, InFlightLocation>>,
    /// Whether the last endpoint update left more active engines than descriptors for connections to them. The log
    /// reports only changes.
    lacks_descriptors: Cell<bool>,
}

/// Executes the router's commands until their channel closes.
pub async fn run(shared: Rc<Shared>, commands: Receiver<EngineCommand>) {
    let engines = Rc::new(EnginePools {
        shared,
        pools: RefCell::default(),
        in_flight: RefCell::default(),
        lacks_descriptors: Cell::new(false),
    });
    engines.shared.executor.spawn(maintain(engines.clone())).detach();
    while let Ok(command) = commands.recv().await {
        if AssertUnwindSafe(engines.handle_command(command)).catch_unwind().await.is_err() {
            engines.shared.counters.add(Counter::Panics, None);
            log::error!("engine command handler panicked");
        }
    }
}

/// Runs once per connect timeout: reports cancelled attempts whose cancel was not confirmed in time, retires
/// connections that are idle (well before their engine closes them) or no longer reply, and fails commands that
/// have been queued for longer than the connect timeout.
async fn maintain(engines: Rc<EnginePools>) {
    let settings = &engines.shared.settings;
    let connect_timeout = engines.shared.connect_timeout;
    let max_idle_time = Duration::from_micros(settings.capabilities.idle_timeout_us) / IDLE_TIMEOUT_DIVISOR;
    let progress_period = Duration::from_micros(settings.engines.progress_interval_us);
    let max_silence = progress_period * MAX_SILENT_PERIODS + connect_timeout;
    loop {
        Timer::after(connect_timeout).await;
        let connections: Vec<Rc<EngineConnection>> =
            engines.pools.borrow().values().flat_map(|pool| pool.connections.clone()).collect();
        for connection in connections {
            for token in connection.take_unconfirmed_cancels(connect_timeout) {
                engines.in_flight.borrow_mut().remove(&token);
                let cancelled = RouterEvent::attempt_ended(token, AttemptOutcome::Cancelled);
                let _ = engines.shared.events.send(cancelled).await;
            }
            let is_silent = !progress_period.is_zero() && connection.is_silent(max_silence);
            if is_silent || connection.is_unused(max_idle_time) {
                connection.retire();
            }
        }
        let expired: Vec<EngineCommand> = (engines.pools.borrow_mut().values_mut())
            .flat_map(|pool| pool.take_expired(connect_timeout))
            .collect();
        for command in expired {
            engines.report_failure(command, FailureStage::NotConnected).await;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/engines.rs"]
mod tests;
