//! Signal handling and shutdown.
//!
//! For some time after the signal, requests still arrive and are accepted. Then each connection closes once no
//! request is open on it. The schedule leaves time for a response to every request, and for the exit of the
//! process, before the platform kills it.

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

/// Longest time from the signal until the platform kills a front, not counting [`SHUTDOWN_GRACE`]. The time is
/// the longest deadline of all request classes if that deadline is shorter.
const MAX_SHUTDOWN: Duration = Duration::from_millis(3000);
/// Added to [`MAX_SHUTDOWN`], or to the longest deadline, for the time of the kill.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);
/// Time after the signal in which requests still arrive, as the platform states.
const LATE_REQUEST_WINDOW: Duration = Duration::from_millis(600);
/// Time before the kill by which every request has a response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Time before the kill by which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Interval of the check whether every request has a response; also the last wait before the exit.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The steps of the shutdown, as times after the signal.
pub(super) struct ShutdownSchedule {
    /// How long connections are accepted.
    accept_for: Duration,
    /// Time within which every request gets a response.
    respond_within: Duration,
    /// Time within which the process exits.
    exit_within: Duration,
}

impl ShutdownSchedule {
    /// Builds the schedule. `max_deadline` is the longest deadline of all request classes.
    pub fn new(max_deadline: Duration) -> Self {
        let killed_after = MAX_SHUTDOWN.min(max_deadline) + SHUTDOWN_GRACE;
        let respond_within = killed_after - RESPONSE_MARGIN;
        let accept_for = (LATE_REQUEST_WINDOW * 2)
            .min(respond_within.saturating_sub(RESPONSE_MARGIN))
            .max(LATE_REQUEST_WINDOW);
        ShutdownSchedule { accept_for, respond_within, exit_within: killed_after - EXIT_MARGIN }
    }
}

/// The listener for clients, and the task that accepts their connections.
pub(super) struct AcceptingListener {
    /// The listener and the connections accepted from it.
    pub listener: Rc<ClientListener>,
    /// The task that accepts connections.
    pub task: Task<()>,
}

/// Shuts the front down. `clients` is `None` if the front serves proxies in place of clients.
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
    // The listener returns once its connections have closed, but requests of proxies belong to no connection here:
    // their responses are waited for by count.
    while (open_requests.get() > 0 || shared.unwritten_bytes.get() > 0) && Instant::now() < exit_at {
        Timer::after(EXIT_CHECK_INTERVAL).await;
    }
    Timer::after(EXIT_CHECK_INTERVAL).await;
}

/// Waits for a signal that ends the front, and returns the time of its receipt. SIGHUP reloads the configuration,
/// SIGUSR1 logs the counters.
pub(super) async fn wait_for_termination(
    signals: &mut Signals,
    counters: &Counters,
    mut reload: impl FnMut(),
) -> Instant {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => log::info!("counts: {counters}"),
            Ok(Signal::Hup) => reload(),
            Ok(_) => break,
            Err(error) => log::warn!("receiving a signal failed: {error}"),
        }
    }
    Instant::now()
}

/// Reloads the configuration file, of which only the discovery channel's address takes effect. A file that can't
/// be used changes nothing.
pub(super) fn reload_config(
    path: &str,
    config: &mut FrontConfig,
    address_sender: &async_channel::Sender<SocketAddr>,
) {
    let newer = match FrontConfig::read(path) {
        Ok(newer) => newer,
        Err(error) => return log::warn!("reload failed: {error}; the configuration stays unchanged"),
    };
    let changes = config.changes_requiring_restart(&newer);
    if !changes.is_empty() {
        log::warn!("reload: these keys take effect only at the next start: {changes}");
    }
    log::info!("reload: the discovery channel is at {}", newer.channel);
    if std::mem::replace(&mut config.channel, newer.channel) != newer.channel {
        let _ = address_sender.force_send(newer.channel);
    }
}
