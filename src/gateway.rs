//! The state of one front, its updates by events, and the steps of one decision.
//!
//! [`Gateway::handle_event`] only updates the state. [`Gateway::decide`], called once after the last event
//! of a tick,
//!
//! 1. gives up requests that can no longer be answered in time (`give_up`),
//! 2. schedules load probes and refreshes the engine subsets (`probing`, `subsets`),
//! 3. scans the queued requests, oldest first, and chooses an engine for each (`scan`, `placement`,
//!    `admission`),
//! 4. turns the difference between the desired and the actual state of each request into actions
//!    (`reconcile`).
//!
//! Each rule has a module of its own that documents its inputs, units, reason and constants. docs/design.md
//! states which rules stem from the paper.

use crate::action::Action;
use crate::candidate::Candidate;
use crate::deployment::{Deployment, Discovery};
use crate::endpoint::EngineId;
use crate::engine::Engine;
use crate::engine_table::EngineTable;
use crate::event::{Event, RequestId};
use crate::key_queue::KeyQueues;
use crate::load_estimate::LoadEstimates;
use crate::overload::SlowShare;
use crate::placement::TableGroupTraffic;
use crate::preference_order::PreferenceOrders;
use crate::probing::ProbeScheduler;
use crate::random::RandomSource;
use crate::request::RequestTable;
use crate::request_class::RequestClass;
use crate::retry::RetryWindow;
use crate::starvation_header::StarvationHeader;
use crate::subsets::EngineSubsets;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Many-front mode applies if there are more fronts than this: one front then runs so small a share of all
/// requests that its own counters say little about an engine. It uses reports, probes and outcomes instead
/// (docs/design.md).
const MANY_FRONTS_ABOVE: f64 = 16.0;
/// Time constant of learned means, as a multiple of the longest deadline.
const ESTIMATE_TIME_CONSTANT: f64 = 1.0;
/// The shortest time constant of learned means, in seconds.
const MIN_TIME_CONSTANT: f64 = 1.0;
/// The maximum age of a load report, as a share of the longest deadline. Also the time constant
/// of means over reports and outcomes, as a multiple of that of other learned means.
const MAX_REPORT_AGE: f64 = 0.15;
/// The shortest delay before discovery is polled again after a failed call, as a share of the poll deadline.
const REPOLL_AFTER: f64 = 0.1;
/// The longest random delay that is added to the shortest delay, as a share of the poll deadline.
const REPOLL_JITTER: f64 = 0.1;

/// The decisions of one front: takes events, returns actions. It does no I/O and reads no clock.
#[derive(Default)]
pub struct Gateway {
    pub(crate) deployment: Deployment,
    pub(crate) derived_times: DerivedTimes,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) requests: RequestTable,
    pub(crate) key_queues: KeyQueues,
    pub(crate) starvation_header: Option<StarvationHeader>,
    pub(crate) engines: EngineTable<Engine>,
    pub(crate) preference_orders: PreferenceOrders,
    /// By request class: all engines by slot, as seen in this scan by a request that may be sent to any
    /// engine.
    pub(crate) candidate_cache: BTreeMap<usize, Arc<[Candidate]>>,
    pub(crate) estimates: LoadEstimates,
    pub(crate) traffic: TableGroupTraffic,
    pub(crate) slow_share: SlowShare,
    pub(crate) subsets: EngineSubsets,
    pub(crate) probes: ProbeScheduler,
    pub(crate) retries: RetryWindow,
    pub(crate) random: RandomSource,
    /// Sequence numbers of requests whose desired state may differ from the actual one.
    pub(crate) changed: BTreeSet<u64>,
    /// An attempt has ended or a probe was answered since the last scan: queued requests that admission
    /// control has not refused are considered again at once.
    pub(crate) attempt_ended: bool,
    /// Time of the first event. Attempts that this front sent before a restart are unknown to it.
    pub(crate) started_at: Option<Duration>,
    /// This front's share of the work that all fronts may send to an engine that warms up, from 0 to 1;
    /// `None` if the fronts have not agreed on one.
    pub(crate) quota: Option<f64>,
    /// All requests are answered by this time, even those with a later deadline.
    pub(crate) shutdown_deadline: Option<Duration>,
    /// When discovery is polled next; `None` if no poll is scheduled.
    pub(crate) poll_at: Option<Duration>,
    pub(crate) poll_now: bool,
    /// When the timer that was set last fires.
    pub(crate) timer_at: Duration,
    /// When the next decision is due if no event arrives before.
    pub(crate) decision_due: Option<Duration>,
}

/// Times that are derived from the deployment's request classes.
#[derive(Default)]
pub(crate) struct DerivedTimes {
    /// The longest deadline of all classes.
    pub(crate) max_deadline: Duration,
    /// The shortest latency objective of all classes.
    pub(crate) min_objective: Duration,
    /// The maximum age of a load report that is used.
    pub(crate) max_report_age: Duration,
    /// Time constant of learned means, in seconds.
    pub(crate) time_constant: f64,
}

impl DerivedTimes {
    fn of(deployment: &Deployment) -> DerivedTimes {
        let classes = || deployment.request_classes.iter();
        let max_deadline = classes().map(|class| class.deadline).max().unwrap_or_default();
        DerivedTimes {
            max_deadline,
            min_objective: classes().map(|class| class.latency_objective).min().unwrap_or_default(),
            max_report_age: max_deadline.mul_f64(MAX_REPORT_AGE),
            time_constant: (max_deadline.as_secs_f64() * ESTIMATE_TIME_CONSTANT).max(MIN_TIME_CONSTANT),
        }
    }

    /// Time constant of means over reports and outcomes, in seconds.
    fn report_time_constant(&self) -> f64 {
        self.time_constant * MAX_REPORT_AGE
    }
}

impl Gateway {
    /// Creates a gateway that knows only the deployment. The same seed gives the same random draws.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let derived_times = DerivedTimes::of(&deployment);
        Gateway {
            classes: RequestClass::all(&deployment, derived_times.time_constant),
            estimates: LoadEstimates::new(
                deployment.fronts,
                derived_times.time_constant,
                derived_times.report_time_constant(),
            ),
            traffic: TableGroupTraffic::new(derived_times.time_constant),
            slow_share: SlowShare::new(derived_times.report_time_constant()),
            subsets: EngineSubsets::new(derived_times.max_deadline),
            random: RandomSource::new(seed),
            poll_at: (deployment.discovery == Discovery::Polled).then_some(Duration::ZERO),
            timer_at: Duration::MAX,
            derived_times,
            deployment,
            ..Gateway::default()
        }
    }

    /// Updates the state by one event. `now` is the time since the clock's origin and never goes back.
    pub fn handle_event(&mut self, now: Duration, event: Event) {
        self.started_at.get_or_insert(now);
        match event {
            Event::Endpoints(kind, entries) => self.handle_endpoints(kind, entries),
            Event::DiscoveryUnavailable => self.repoll_discovery(now),
            Event::Arrived(arrival) => self.handle_arrival(now, arrival),
            Event::ResponseStarted(id) => self.handle_response_started(&id),
            Event::Progress { request, attempt, progress, .. } => {
                self.handle_progress(now, &request, attempt, progress)
            }
            Event::AttemptEnded(end) => self.handle_attempt_end(now, end),
            Event::ClientDisconnected(id) => self.handle_client_disconnected(&id),
            Event::ProbeEnded { engine, answered: true, elapsed, load } => {
                self.attempt_ended = true;
                self.handle_load_report(now, engine, load, Some(elapsed));
            }
            Event::ProbeEnded { engine, .. } => self.record_failure(now, engine),
            Event::SlowStartQuota(share) => self.quota = Some(share.clamp(0.0, 1.0)),
            Event::ShuttingDown { deadline } => self.shutdown_deadline = Some(deadline),
            Event::PeerMessage { .. } | Event::TimerFired => {}
        }
    }

    /// Makes the decisions of one tick, after its last event. Returns the actions in the order in which they
    /// have to be carried out.
    pub fn decide(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.poll_now = self.poll_at.take_if(|at| *at <= now).is_some();
        let mut due = self.poll_at.unwrap_or(Duration::MAX).min(self.give_up_late_requests(now));
        self.schedule_probes(now);
        self.refresh_subsets(now);
        due = due.min(self.scan(now, &mut actions));
        self.decision_due = Some(due).filter(|due| *due != Duration::MAX);
        self.reconcile(now, &mut actions);
        actions
    }

    /// Whether many-front mode applies: there are so many fronts that the counters of one say little about
    /// an engine.
    pub(crate) fn many_fronts(&self) -> bool {
        f64::from(self.deployment.fronts) > MANY_FRONTS_ABOVE
    }

    /// The number of fronts, at least one.
    pub(crate) fn fronts(&self) -> f64 {
        f64::from(self.deployment.fronts.max(1))
    }

    /// The unweighted mean of the work of the request classes, in seconds on one thread.
    pub(crate) fn mean_class_work(&self) -> f64 {
        self.classes.iter().map(|class| class.work.mean()).sum::<f64>() / self.classes.len() as f64
    }

    /// Schedules the next poll well before the poll deadline, at which this front would count as notified,
    /// and at a random time, so that not all fronts poll at once.
    fn repoll_discovery(&mut self, now: Duration) {
        let share = REPOLL_AFTER + REPOLL_JITTER * self.random.draw();
        self.poll_at = Some(now + self.deployment.safety_rules.discovery_poll_deadline.mul_f64(share));
    }

    /// Removes the deadline: once the response has started, only the client or the shutdown of this front
    /// ends the request early.
    fn handle_response_started(&mut self, id: &RequestId) {
        let sequence = self.requests.sequence_of(id);
        if let Some(request) = sequence.and_then(|sequence| self.requests.get_mut(sequence)) {
            request.deadline = Duration::MAX;
        }
    }

    /// Finishes the request of a client that has disconnected; an attempt in flight is cancelled.
    fn handle_client_disconnected(&mut self, id: &RequestId) {
        if let Some(sequence) = self.requests.sequence_of(id) {
            self.finish(sequence);
            self.changed.insert(sequence);
        }
    }

    /// Marks a request as having its final response. It is kept while an attempt is in flight.
    pub(crate) fn finish(&mut self, sequence: u64) {
        if let Some(request) = self.requests.get_mut(sequence) {
            request.finished = true;
            if request.in_flight.is_none() {
                self.remove(sequence);
            }
        }
        self.starvation_header.take_if(|header| header.sequence == sequence);
    }

    pub(crate) fn remove(&mut self, sequence: u64) {
        let Some(request) = self.requests.remove(sequence) else { return };
        if let Some(key) = request.key {
            self.key_queues.remove(key, sequence);
        }
    }

    /// Whether an engine is ejected after failures, so that nothing is sent to it.
    pub fn is_ejected(&self, now: Duration, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|engine| engine.ejected_until > now)
    }
}
