//! Runs real and simulated fronts in one fleet over loopback, and compares their traffic, state and processor time.

use super::loopback::Loopback;
use super::network::Place;
use super::setup::{Setup, TASK, healthy_observation, zone_failover_config};
use super::traffic::Flow;
use crate::process::thread_time_of;
use crate::watch::Watch;
use async_channel::Sender;
use lemonusher_fleet::{FleetHandle, MessageKind, TrafficCounters};
use lemonusher_routing::ZoneObservation;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout for a simulated front to acquire the task's lease before the real fronts start.
const TASK_LEASE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of real fronts. The traffic of one varies by a tenth with the gossip records that its messages happen to
/// carry, so the mean of several is compared.
const REAL_FRONTS: usize = 3;
/// The name of the thread of a real front.
const THREAD: &str = "fleet";
const KINDS: [MessageKind; 4] =
    [MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports];

/// The traffic and processor time of one front over an interval, and its state at the end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Account {
    /// Messages and bytes sent.
    pub sent: Flow,
    /// Messages and bytes received.
    pub received: Flow,
    /// Bytes of the front's state.
    pub state_bytes: usize,
    /// Processor time. That of a real front includes its socket calls.
    pub processor: Duration,
}

/// Real and simulated fronts over the same interval.
#[derive(Debug, Clone)]
pub struct SideBySide {
    /// One account for each real front.
    pub real: Vec<Account>,
    /// One account for each simulated front that, like the real ones, neither votes nor holds the task.
    pub hollow: Vec<Account>,
    /// The greatest lateness of the simulated fronts' driver or of a separate thread that only sleeps.
    pub lateness: Duration,
}

impl SideBySide {
    /// The mean of one figure over the simulated fronts.
    pub fn hollow_mean(&self, figure: impl Fn(&Account) -> f64) -> f64 {
        mean(&self.hollow, figure)
    }

    /// The mean of one figure over the real fronts.
    pub fn real_mean(&self, figure: impl Fn(&Account) -> f64) -> f64 {
        mean(&self.real, figure)
    }
}

/// A real front, with its own thread, socket and clock.
struct RealFront {
    handle: FleetHandle,
    observations: Sender<ZoneObservation>,
    zone: u32,
}

impl RealFront {
    fn start(setup: &Setup, hollow: &Loopback, front: usize) -> io::Result<RealFront> {
        let (observations, observation_receiver) = async_channel::bounded(1);
        let zone = Place::of(front).zone;
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = setup.terms(front, listen, hollow.voters(setup.voters), zone, observation_receiver);
        Ok(RealFront { handle: lemonusher_fleet::start(config)?, observations, zone })
    }
}

/// Runs a fleet whose last fronts are real, and measures it over `span` after `warm_up`. If the fleet has a task, a
/// simulated front acquires the lease of the task before the real fronts start. The holder renews one lease more than
/// the other fronts; a real holder would distort the mean of the few real fronts.
pub fn side_by_side(setup: &Setup, warm_up: Duration, span: Duration) -> io::Result<SideBySide> {
    let first_real = setup.fronts - REAL_FRONTS;
    let mut hollow = Loopback::start(setup, first_real)?;
    if setup.task {
        wait_for_task_lease(&mut hollow)?;
    }
    let real = (first_real..setup.fronts).map(|front| RealFront::start(setup, &hollow, front));
    let real: Vec<RealFront> = real.collect::<io::Result<_>>()?;
    run(&mut hollow, &real, warm_up);
    let (real_before, hollow_before) = (real_accounts(&real), hollow_accounts(&hollow, setup));
    let watch = Watch::start(Duration::MAX);
    let lateness = run(&mut hollow, &real, span).max(watch.finish().greatest);
    let (real_after, hollow_after) = (real_accounts(&real), hollow_accounts(&hollow, setup));
    let holds_task = |account: &&HollowAccount| hollow.may_act(account.front, TASK);
    let without_task: Vec<Account> = hollow_after
        .iter()
        .filter(|account| !holds_task(account))
        .map(|after| {
            let before = hollow_before.iter().find(|before| before.front == after.front);
            before.map_or(after.account, |before| after.account.since(&before.account))
        })
        .collect();
    let real = real_after.iter().zip(&real_before).map(|(after, before)| after.since(before));
    Ok(SideBySide { real: real.collect(), hollow: without_task, lateness })
}

fn mean(accounts: &[Account], figure: impl Fn(&Account) -> f64) -> f64 {
    accounts.iter().map(figure).sum::<f64>() / accounts.len().max(1) as f64
}

/// The totals of a simulated front so far.
struct HollowAccount {
    front: usize,
    account: Account,
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

fn wait_for_task_lease(hollow: &mut Loopback) -> io::Result<()> {
    let mut waited = Duration::ZERO;
    while !(0..hollow.fronts()).any(|front| hollow.may_act(front, TASK)) {
        if waited >= TASK_LEASE_TIMEOUT {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "no simulated front acquired the lease of the task in time",
            ));
        }
        hollow.observe_zones();
        hollow.run_for(zone_failover_config().report_interval);
        waited += zone_failover_config().report_interval;
    }
    Ok(())
}

/// Runs all fronts, and passes them once a period the zone observations that requests would have produced. Returns the
/// greatest lateness.
fn run(hollow: &mut Loopback, real: &[RealFront], span: Duration) -> Duration {
    let period = zone_failover_config().report_interval;
    let mut lateness = Duration::ZERO;
    for _ in 0..span.as_nanos().div_ceil(period.as_nanos()) {
        for front in real {
            let _ = front.observations.force_send(healthy_observation(front.zone));
        }
        hollow.observe_zones();
        lateness = lateness.max(hollow.run_for(period));
    }
    lateness
}

/// The totals of each real front. The processor time is the mean over all, since their threads share one name.
fn real_accounts(real: &[RealFront]) -> Vec<Account> {
    let processor = thread_time_of(THREAD) / real.len().max(1) as u32;
    real.iter().map(|front| real_account(&front.handle, processor)).collect()
}

fn real_account(real: &FleetHandle, processor: Duration) -> Account {
    let counts: &TrafficCounters = &real.counters;
    let flow = |messages: &AtomicU64, bytes: &AtomicU64| Flow {
        messages: messages.load(Ordering::Relaxed),
        bytes: bytes.load(Ordering::Relaxed),
    };
    Account {
        sent: flow(&counts.sent, &counts.sent_bytes),
        received: flow(&counts.received, &counts.received_bytes),
        state_bytes: real.stats().bytes,
        processor,
    }
}

fn hollow_accounts(hollow: &Loopback, setup: &Setup) -> Vec<HollowAccount> {
    let account = |front: usize| Account {
        sent: hollow.traffic(front).sent(&KINDS),
        received: hollow.traffic(front).received(&KINDS),
        state_bytes: hollow.census(front).bytes,
        processor: hollow.processor(front),
    };
    (setup.voters..hollow.fronts()).map(|front| HollowAccount { front, account: account(front) }).collect()
}
