//! One real front and hollow ones in one fleet over loopback: what each sends, receives and holds.

use super::loopback::Loopback;
use super::network::Place;
use super::setup::{Setup, TASK, seen, zone_terms};
use super::traffic::Flow;
use crate::process::thread_time_of;
use crate::watch::Watch;
use async_channel::Sender;
use lemonusher_fleet::{MessageKind, TrafficCounters};
use lemonusher_routing::ZoneObservation;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The hollow fronts have so long to settle who holds the task before the real one starts.
const TASK_HELD: Duration = Duration::from_secs(60);
/// The name of a real front's thread.
const THREAD: &str = "fleet";
const KINDS: [MessageKind; 4] =
    [MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports];

/// What one front sent and received over a span, and the state that it held at its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Account {
    /// What it sent.
    pub sent: Flow,
    /// What it received.
    pub received: Flow,
    /// Bytes of its state.
    pub state_bytes: usize,
    /// Processor time; a real one's has the time for its socket, too.
    pub processor: Duration,
}

/// A real front and hollow ones over the same span.
#[derive(Debug, Clone)]
pub struct SideBySide {
    /// Of the real front.
    pub real: Account,
    /// Of each hollow front that does not vote, as the real one doesn't.
    pub hollow: Vec<Account>,
    /// How late the hollow fronts' driver, or a thread of its own that only sleeps, was at most.
    pub lateness: Duration,
}

impl SideBySide {
    /// The mean over the hollow fronts of one figure of an account.
    pub fn hollow_mean(&self, figure: impl Fn(&Account) -> f64) -> f64 {
        self.hollow.iter().map(figure).sum::<f64>() / self.hollow.len().max(1) as f64
    }
}

/// Runs a fleet of which the last front is a real one, on a thread of its own with its own socket and clock; accounts
/// for `span` once it has run for `settled`. The task is held by a hollow front from the start, as its holder renews a
/// lease more than others: of one real front among many hollow ones, holding it or not would show as a difference.
pub fn side_by_side(setup: &Setup, settled: Duration, span: Duration) -> io::Result<SideBySide> {
    let last = setup.fronts - 1;
    let mut hollow = Loopback::start(setup, last)?;
    if setup.task {
        hold_task(&mut hollow)?;
    }
    let (observations, seen) = async_channel::bounded(1);
    let location = Place::of(last).zone;
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let terms = setup.terms(last, listen, hollow.voters(setup.voters), location, seen);
    let real = lemonusher_fleet::start(terms)?;
    run(&mut hollow, &observations, location, settled);
    let (real_before, hollow_before) = (real_account(&real), hollow_accounts(&hollow, setup));
    let watch = Watch::start(Duration::MAX);
    let lateness = run(&mut hollow, &observations, location, span).max(watch.finish().greatest);
    let (real_after, hollow_after) = (real_account(&real), hollow_accounts(&hollow, setup));
    let hollow = hollow_after.iter().zip(&hollow_before).map(|(after, before)| after.since(before));
    Ok(SideBySide { real: real_after.since(&real_before), hollow: hollow.collect(), lateness })
}

impl Account {
    fn since(&self, before: &Account) -> Account {
        Account {
            sent: self.sent - before.sent,
            received: self.received - before.received,
            state_bytes: self.state_bytes,
            processor: self.processor.saturating_sub(before.processor),
        }
    }
}

fn hold_task(hollow: &mut Loopback) -> io::Result<()> {
    let mut waited = Duration::ZERO;
    while !(0..hollow.fronts()).any(|front| hollow.may_act(front, TASK)) {
        if waited >= TASK_HELD {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no hollow front got hold of the task"));
        }
        hollow.observe_zones();
        hollow.run_for(zone_terms().report_interval);
        waited += zone_terms().report_interval;
    }
    Ok(())
}

/// Runs all fronts, and hands them once a period what requests would have shown.
fn run(
    hollow: &mut Loopback,
    observations: &Sender<ZoneObservation>,
    location: u32,
    span: Duration,
) -> Duration {
    let period = zone_terms().report_interval;
    let mut lateness = Duration::ZERO;
    for _ in 0..span.as_nanos().div_ceil(period.as_nanos()) {
        let _ = observations.force_send(seen(location));
        hollow.observe_zones();
        lateness = lateness.max(hollow.run_for(period));
    }
    lateness
}

fn real_account(real: &lemonusher_fleet::FleetHandle) -> Account {
    let counts: &TrafficCounters = &real.counters;
    let flow = |messages: &std::sync::atomic::AtomicU64, bytes: &std::sync::atomic::AtomicU64| Flow {
        messages: messages.load(Ordering::Relaxed),
        bytes: bytes.load(Ordering::Relaxed),
    };
    Account {
        sent: flow(&counts.sent, &counts.sent_bytes),
        received: flow(&counts.received, &counts.received_bytes),
        state_bytes: real.stats().bytes,
        processor: thread_time_of(THREAD),
    }
}

fn hollow_accounts(hollow: &Loopback, setup: &Setup) -> Vec<Account> {
    let account = |front: usize| Account {
        sent: hollow.traffic(front).sent(&KINDS),
        received: hollow.traffic(front).received(&KINDS),
        state_bytes: hollow.census(front).bytes,
        processor: hollow.processor(front),
    };
    (setup.voters..hollow.fronts()).map(account).collect()
}
