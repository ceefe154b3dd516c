//! One front's state, what it learns from events, and the order of one decision.
//!
//! [`Gateway::handle_event`] only takes note. [`Gateway::decide`], called once after the last event of a tick,
//!
//! 1. gives up requests that can't be answered in time any more (`give_up`),
//! 2. schedules load probes and refreshes the engine subset (`probing`, `subsets`),
//! 3. scans the queued requests, oldest first, and chooses an engine for each (`scan`, `placement`, `admission`),
//! 4. turns the difference between the desired state of each request and what is into actions (`reconcile`).
//!
//! Each rule stands in the module named for it, with its inputs, units, reason and constants. docs/design.md tells which
//! rules stem from the paper.

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

/// With more fronts than this, a front runs so little of all that its own counters say little of an engine: it goes by
/// reports, probes and outcomes instead ("many-front mode", docs/design.md).
const MANY_FRONTS_ABOVE: f64 = 16.0;
/// Time constant of what is learned, in longest deadlines.
const ESTIMATE_SPAN: f64 = 1.0;
/// The shortest time constant of what is learned, in seconds.
const MIN_TIME_CONSTANT: f64 = 1.0;
/// A load report older than this share of the longest deadline is not used.
const MAX_REPORT_AGE: f64 = 0.15;
/// After a failed call, discovery is polled again within this share of the poll deadline,
const REPOLL_AFTER: f64 = 0.1;
/// and at random up to so much later.
const REPOLL_JITTER: f64 = 0.1;

/// One front's decisions: events in, actions out. It does no I/O and reads no clock.
#[derive(Default)]
pub struct Gateway {
    pub(crate) deployment: Deployment,
    pub(crate) spans: Spans,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) requests: RequestTable,
    pub(crate) key_queues: KeyQueues,
    pub(crate) starvation_header: Option<StarvationHeader>,
    pub(crate) engines: EngineTable<Engine>,
    pub(crate) preference_orders: PreferenceOrders,
    /// By request class: the engines by slot, as they are to a request that may go anywhere, in this scan.
    pub(crate) candidate_cache: BTreeMap<usize, Arc<[Candidate]>>,
    pub(crate) estimates: LoadEstimates,
    pub(crate) traffic: TableGroupTraffic,
    pub(crate) slow_share: SlowShare,
    pub(crate) subsets: EngineSubsets,
    pub(crate) probes: ProbeScheduler,
    pub(crate) retries: RetryWindow,
    pub(crate) random: RandomSource,
    /// Requests whose desired state may differ from what is.
    pub(crate) changed: BTreeSet<u64>,
    /// An attempt has ended since the last scan: what admission has not refused is looked at again.
    pub(crate) attempt_ended: bool,
    /// When it first heard anything. What it sent before a restart is not known.
    pub(crate) started_at: Option<Duration>,
    /// This front's part of what all may send to an engine that warms up, where the fronts agree on one.
    pub(crate) quota: Option<f64>,
    /// By then all is answered, however far deadlines lie.
    pub(crate) shutdown_deadline: Option<Duration>,
    /// When discovery is polled next.
    pub(crate) poll_at: Option<Duration>,
    pub(crate) poll_now: bool,
    /// When the timer that was set last fires.
    pub(crate) timer_at: Duration,
    /// When the next decision is due, whatever happens before.
    pub(crate) decision_due: Option<Duration>,
}

/// Spans that the deployment's request classes set.
#[derive(Default)]
pub(crate) struct Spans {
    /// The longest deadline of all classes.
    pub(crate) max_deadline: Duration,
    /// The shortest latency objective of all classes.
    pub(crate) min_objective: Duration,
    /// A load report that is older is not used.
    pub(crate) max_report_age: Duration,
    /// Time constant of what is learned, in seconds.
    pub(crate) time_constant: f64,
}

impl Spans {
    fn of(deployment: &Deployment) -> Spans {
        let classes = || deployment.request_classes.iter();
        let max_deadline = classes().map(|class| class.deadline).max().unwrap_or_default();
        Spans {
            max_deadline,
            min_objective: classes().map(|class| class.latency_objective).min().unwrap_or_default(),
            max_report_age: max_deadline.mul_f64(MAX_REPORT_AGE),
            time_constant: (max_deadline.as_secs_f64() * ESTIMATE_SPAN).max(MIN_TIME_CONSTANT),
        }
    }

    /// Time constant of what reports and outcomes tell, in seconds.
    fn report_time_constant(&self) -> f64 {
        self.time_constant * MAX_REPORT_AGE
    }
}

impl Gateway {
    /// A gateway that knows nothing but what the deployment states. The same seed gives the same random draws.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let spans = Spans::of(&deployment);
        Gateway {
            classes: RequestClass::all(&deployment, spans.time_constant),
            estimates: LoadEstimates::new(
                deployment.fronts,
                spans.time_constant,
                spans.report_time_constant(),
            ),
            traffic: TableGroupTraffic::new(spans.time_constant),
            slow_share: SlowShare::new(spans.report_time_constant()),
            subsets: EngineSubsets::new(spans.max_deadline),
            random: RandomSource::new(seed),
            poll_at: (deployment.discovery == Discovery::Polled).then_some(Duration::ZERO),
            timer_at: Duration::MAX,
            spans,
            deployment,
            ..Gateway::default()
        }
    }

    /// Takes note of one event. `now` is the time since the clock's origin and never goes back.
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
            Event::ClientGone(id) => self.handle_client_gone(&id),
            Event::ProbeEnded { engine, answered: true, elapsed, load } => {
                self.attempt_ended = true;
                self.handle_load_report(now, engine, load, Some(elapsed));
            }
            Event::ProbeEnded { engine, .. } => self.record_failure(now, engine),
            Event::Quota(part) => self.quota = Some(part.clamp(0.0, 1.0)),
            Event::ShuttingDown { deadline } => self.shutdown_deadline = Some(deadline),
            Event::PeerMessage { .. } | Event::TimerFired => {}
        }
    }

    /// Decides, once after the last event of a tick, and yields what is to be done, in order.
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

    /// Whether this front is one of so many that its own counters say little of an engine.
    pub(crate) fn many_fronts(&self) -> bool {
        f64::from(self.deployment.fronts) > MANY_FRONTS_ABOVE
    }

    /// The number of fronts, at least one.
    pub(crate) fn fronts(&self) -> f64 {
        f64::from(self.deployment.fronts.max(1))
    }

    /// The mean work of the request classes, each counted alike, in seconds on one thread.
    pub(crate) fn mean_class_work(&self) -> f64 {
        self.classes.iter().map(|class| class.work.mean()).sum::<f64>() / self.classes.len() as f64
    }

    /// Polls well within the span after which this front counts as notified, and not at the same time as others.
    fn repoll_discovery(&mut self, now: Duration) {
        let share = REPOLL_AFTER + REPOLL_JITTER * self.random.draw();
        self.poll_at = Some(now + self.deployment.safety_rules.discovery_poll_deadline.mul_f64(share));
    }

    /// From here on it is the client's to give up.
    fn handle_response_started(&mut self, id: &RequestId) {
        let sequence = self.requests.sequence_of(id);
        if let Some(request) = sequence.and_then(|sequence| self.requests.get_mut(sequence)) {
            request.deadline = Duration::MAX;
        }
    }

    /// Whatever is in flight of the request works for nobody and is cancelled.
    fn handle_client_gone(&mut self, id: &RequestId) {
        if let Some(sequence) = self.requests.sequence_of(id) {
            self.finish(sequence);
            self.changed.insert(sequence);
        }
    }

    /// The request has its final response. It stays known while an attempt is in flight.
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

    /// Whether nothing is sent to an engine for now, after failures.
    pub fn is_ejected(&self, now: Duration, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|engine| engine.ejected_until > now)
    }
}
