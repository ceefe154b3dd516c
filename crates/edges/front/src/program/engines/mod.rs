//! Connections to engines. One task carries out the router's commands; each connection has a task of its own that reads
//! the replies. A pool belongs to an engine's id: a new engine may have the address of one that was removed.

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

/// An idle connection is closed after the time the engine gives it, divided by this.
const IDLE_DIVISOR: u32 = 2;
/// Progress periods without a byte after which a connection takes nothing new.
const MAX_SILENT_PERIODS: u32 = 3;

/// Where an attempt or probe is in flight, and under what id.
#[derive(Clone)]
struct InFlightLocation {
    connection: Rc<EngineConnection>,
    id: Arc<str>,
}

/// All connections to engines.
struct EnginePools {
    shared: Rc<Shared>,
    pools: RefCell<BTreeMap<EngineId, EnginePool>>,
    in_flight: RefCell<BTreeMap<Token, InFlightLocation>>,
    /// Whether there are more engines than descriptors for connections to them, as it was logged last.
    lacks_descriptors: Cell<bool>,
}

/// Carries out the router's commands for as long as the front runs.
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
            log::error!("an order for the engines panicked");
        }
    }
}

/// Closes connections that have been idle, well before their engine does, retires silent ones, and ends commands that
/// have waited for a connection too long.
async fn maintain(engines: Rc<EnginePools>) {
    let settings = &engines.shared.settings;
    let connect_timeout = engines.shared.connect_timeout;
    let max_idle_time = Duration::from_micros(settings.capabilities.idle_timeout_us) / IDLE_DIVISOR;
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
