//! Signals and the shutdown.
//!
//! After the signal requests still come for a while. Then each connection ends once nothing is open on it. Every request
//! is answered, and the process ends, before the platform kills it.

use super::clients::ClientListener;
use super::config::FrontConfig;
use super::shared::Shared;
use async_executor::Task;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lemonusher_routing::{Counters, RouterEvent};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The platform kills a front so long after the signal, or after the longest deadline if that is shorter,
const MAX_SHUTDOWN: Duration = Duration::from_millis(3000);
/// and this.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);
/// So long after the signal requests still come, as the platform states.
const LATE_REQUEST_SPAN: Duration = Duration::from_millis(600);
/// Responses are written so long before the kill.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// The process ends so long before the kill.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// How often it is checked whether everything has been answered; also the last wait before the end.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The shutdown's times, from the signal on.
pub(super) struct ShutdownSchedule {
    /// Connections are accepted for so long.
    accept_for: Duration,
    /// Every request is answered within this.
    respond_within: Duration,
    /// The process ends within this.
    exit_within: Duration,
}

impl ShutdownSchedule {
    /// The schedule for request classes with this longest deadline.
    pub fn new(max_deadline: Duration) -> Self {
        let killed_after = MAX_SHUTDOWN.min(max_deadline) + SHUTDOWN_GRACE;
        let respond_within = killed_after - RESPONSE_MARGIN;
        let accept_for = (LATE_REQUEST_SPAN * 2)
            .min(respond_within.saturating_sub(RESPONSE_MARGIN))
            .max(LATE_REQUEST_SPAN);
        ShutdownSchedule { accept_for, respond_within, exit_within: killed_after - EXIT_MARGIN }
    }
}

/// The listener for clients, and the task that accepts their connections.
pub(super) struct AcceptingListener {
    /// The listener, with the connections that it has accepted.
    pub listener: Rc<ClientListener>,
    /// The task that accepts.
    pub task: Task<()>,
}

/// Shuts the front down. `clients` is none where proxies take the place of clients.
pub(super) async fn shut_down(
    shared: &Shared,
    schedule: &ShutdownSchedule,
    signalled_at: Instant,
    clients: Option<AcceptingListener>,
    open_requests: &Cell<usize>,
) {
    shared.shutting_down.set(true);
    let exit_at = signalled_at + schedule.exit_within;
    let within = schedule.respond_within.saturating_sub(signalled_at.elapsed());
    let _ = shared.events.send(RouterEvent::ShutDown(within)).await;
    Timer::at(signalled_at + schedule.accept_for).await;
    if let Some(AcceptingListener { listener, task }) = clients {
        task.cancel().await;
        if let Some(listener) = Rc::into_inner(listener) {
            listener.shut_down(exit_at).await;
        }
    }
    // Requests of proxies have no connection here that could show that they are answered.
    while (open_requests.get() > 0 || shared.unwritten_bytes.get() > 0) && Instant::now() < exit_at {
        Timer::after(EXIT_CHECK_INTERVAL).await;
    }
    Timer::after(EXIT_CHECK_INTERVAL).await;
}

/// Waits for a signal to end. Others reload the configuration, or print the counters.
pub(super) async fn wait_for_end(
    signals: &mut Signals,
    counters: &Counters,
    mut reload: impl FnMut(),
) -> Instant {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => log::info!("counts: {counters}"),
            Ok(Signal::Hup) => reload(),
            Ok(_) => break,
            Err(error) => log::warn!("signals: {error}"),
        }
    }
    Instant::now()
}

/// Takes over the discovery channel's address of a newer file. A file that can't be used leaves all as it is.
pub(super) fn reload_config(path: &str, config: &mut FrontConfig, moved: &async_channel::Sender<SocketAddr>) {
    let newer = match FrontConfig::read(path) {
        Ok(newer) => newer,
        Err(error) => return log::warn!("reload: {error}; all stays as it is"),
    };
    let changes = config.changes_at_restart(&newer);
    if !changes.is_empty() {
        log::warn!("reload: taken up only at the next start: {changes}");
    }
    log::info!("reload: the command channel is at {}", newer.channel);
    if std::mem::replace(&mut config.channel, newer.channel) != newer.channel {
        let _ = moved.force_send(newer.channel);
    }
}
