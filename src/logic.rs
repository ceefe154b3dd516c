//! Every decision of the gateway. The host calls `Gateway::hear` for each event of a tick, in order, and
//! `Gateway::decide` once after the last; the types of both are in `interface.rs`. `hear` only takes note.
//! `decide` reviews what is out or held (`review`), scans the held requests oldest first (`scan`, `choose`)
//! and so settles what is wanted of each request; `reconcile` alone turns wants into actions.
//! docs/design.md says what stems from the paper and when each departure acts.

use crate::candidate::Candidate;
use crate::engine::{Congestion, Engine, Report, RequestClass};
use crate::engine_table::EngineTable;
use crate::fleet_means::FleetMeans;
use crate::interface::*;
use crate::orders::{PreferenceOrder, PreferenceOrders};
use crate::request::{DesiredState, InFlight, Request, is_queued};
use crate::statistics::{DecayingMean, RandomSource, mix};
use lemonusher_load_shedding::LoadShedding;
use lemonusher_subset::{Member, Place, Subset, size, subset};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

// The mechanism's figures.
const ADMIT_ALL_UP_TO: f64 = 1.0; // Threads per core under which an engine takes whatever it is offered.
const ADMIT_NONE_FROM: f64 = 3.0; // At this multiple of the mark the chance of being let in has fallen to nothing.
const PLACEMENT_MARGIN: f64 = 0.8; // Threads per core by which home may exceed the least loaded engine.
const RESERVE_ENGINE_AFTER: f64 = 0.1; // Held for this share of the longest deadline, the oldest is the header.
const FORCE_ADMISSION_AFTER: f64 = 1.0 / 3.0; // Past this share of its deadline a request passes the gate.
const REDRAW_INTERVAL: f64 = 0.05; // A refused draw is repeated after this share of the latency objective.

// Figures of the departures.
const PRIORITY_SHARES: [f64; 4] = [1.0, 4.0, 8.0, 16.0]; // How priorities share short cores and disks.
/// Share of what rule 4 would allow on the stated cores that all fronts together may send to a cold engine:
/// it may be slower than others, and counts as full before all of its cores are busy.
const SAFE_OVERLOAD_SHARE: f64 = 0.6;
const TURN_LENGTH: f64 = 0.25; // How long a turn is open, as a part of the time in which engines fall, and the work,
const SMALL_REQUEST_SHARE: f64 = 0.05; // as a part of all that an engine bears, up to which requests go by turns.
const MAX_TRANSIT_SHARE: f64 = 0.25; // Of the time in which repeats are dropped, at most so much is left for the way.
const INITIAL_WORK_SHARE: f64 = 0.5; // Until answers tell: work is this share of latency objective times threads.
const ESTIMATE_SPAN: f64 = 1.0; // The memory of all decaying sums, in longest deadlines.
const BASE_EJECTION_TIME: f64 = 2.0; // Connect time-outs that an engine rests after a failure, doubled with each further.
const MAX_COUNTED_FAILURES: u32 = 5;
const FAILURE_WEIGHT_MANY_FRONTS: u32 = 3; // What a failure counts for at a blind front, which comes by but seldom.
const ROUND_PROBES_PER_REQUEST: f64 = 0.2; // Probes for each request taken, on the round,
const MAX_LOAD_PROBES_PER_REQUEST: f64 = 1.2; // and to ask before sending, of which all may cost so large a share
const MAX_PROBE_COST_SHARE: f64 = 0.0135; // of the priority weight asked for.
const LARGE_REQUEST_SHARE: f64 = 0.7; // Of the mean work of all request classes: requests of more may spend every ask,
const MAX_PROBE_RESERVE: f64 = 8.0; // others leave so many, or a third as many as there are engines.
const MANY_FRONTS_ABOVE: f64 = 16.0; // With more fronts than this, a front's own counters say little of an engine.
const PLACEMENT_MARGIN_MANY_FRONTS: f64 = 2.0; // Margin, mark and end of the gate of a blind front, and what its own threads
const SUBSET_REFRESH: f64 = 0.2; // The subset is worked out anew after this share of the shortest goal.
const SENT_WORK_SPAN: f64 = 2.0; // What engines were sent fades with so many requests an engine.
const ADMIT_ALL_UP_TO_MANY_FRONTS: f64 = 2.0; // count for; in threads per core as reported.
const ADMIT_NONE_FROM_MANY_FRONTS: f64 = 2.8;
const OWN_THREADS_WEIGHT: f64 = 1.25; // (as long as nothing is slowed down,
const OWN_THREADS_WEIGHT_OVERLOADED: f64 = 2.5; // and from the strain on where lots begin to tell).
const REJECTED_LOAD: f64 = 4.0; // An engine that turns work away counts as loaded by so many ends of the gate,
const MAX_CONGESTION: f64 = 6.0; // and no sign of congestion counts for more than so many.
const USUAL_LOAD_PRIOR_WEIGHT: f64 = 5.0; // Reports whose weight pulls the usual load back to the mark as those heard fade.
const SUSPICIOUSLY_IDLE: f64 = 0.6; // Share of the usual load under which an engine may stand still, with idle cores.
const SLOW_FACTOR: f64 = 3.5; // Out for so many times its work, a request counts as slowed down.
const SHED_NONE_UP_TO: f64 = 0.1; // Share of a blind front's requests slowed down up to which all are let in,
const SHED_ALL_FROM: f64 = 0.5; // and from which none is.
const UNREPORTED_THREADS: f64 = 0.4; // Threads per core that a blind front adds where reports count requests, not threads.
const ARRIVALS_PRIOR: f64 = 10.0; // Arrivals before which a table group's part of the traffic is not believed.
const FRESH_REPORT_AGE: f64 = 0.4; // A blind front asks once a report is older than this share of the shortest goal.
const MAX_REPORT_AGE: f64 = 0.15; // Older than this share of the longest deadline, a report is not used.
const MIGRATE_FACTOR: f64 = 6.0; // An attempt that needs so many usual spans from here is tried elsewhere.
const MAX_MIGRATIONS: u32 = 3; // An attempt of this number stays: the request is truly large.
const PRESSURE_SHARE: f64 = 0.4; // A return after this share of its latency objective shows pressure on its engine.
const DECREASE_FACTOR: f64 = 0.6; // What pressure leaves of an engine's pool,
const DECREASE_INTERVAL: f64 = 0.5; // at most once in this share of the shortest latency objective.
const INCREASE_STEP: f64 = 0.5; // Threads by which a pool grows for each pool's worth of good returns.
const RETRY_SPARE_FACTOR: f64 = 3.0; // What comes again is held only if so many usual spans are left until its goal,
const MAX_SLOW_SHARE_FOR_RETRIES: f64 = 0.2; // and only up to this strain.
const START_BY_SHARE: f64 = 0.25; // The share of its latency objective that a request is given to be dispatched in.
const MEMORY_ADMIT_BELOW: f64 = 0.55; // Share of an engine's memory that all may need for one more to be let in,
const MEMORY_ADMIT_BELOW_PRESSURED: f64 = 0.4; // and while this front feels pressure there.
const NEEDED_SHARE_OF_GRANT: f64 = 0.36; // The part of granted memory that requests need.
const BULK_LOAD_TAIL: f64 = 0.5; // The part of the order, from its far end, over which the fronts' loads begin.
const TIMEOUT_TOLERANCE: f64 = 0.005; // Patience is alike within this share of the deadline,
const TIMEOUT_VOTE_AGAINST: f64 = 0.25; // and each that is not counts so much against it.
const HURRIED_TIMEOUT: f64 = 0.25; // Patience under this share of the deadline is that of a first try in a hurry.
const CPU_SHARE_OF_THREAD: f64 = 0.3; // The part of its time that a running thread spends on cores.
const CPU_SATURATED: f64 = 0.9; // Above this share of busy cores a report no longer tells how many threads run.
const RETRY_AFTER_SHARE: f64 = 0.5; // Advice on when to come back, as a share of the latency objective.

impl RequestClass {
    /// After how many seconds a request of so much work counts as slowed down.
    fn slow_after(&self, work: f64) -> f64 {
        work / self.config.threads.max(1.0) * SLOW_FACTOR
    }

    /// How far the latency objective lies after arrival, for so much work; all in seconds.
    fn objective(&self, work: f64) -> f64 {
        self.config.latency_objective.as_secs_f64()
            + self.config.objective_work_factor * work / self.config.threads.max(1.0)
    }
}

impl Engine {
    /// Moves the mark by the pressure that this front's own requests feel: from other fronts, other programs,
    /// slow cores or short memory alike. Harm: requests slow of their own shrink it for a while.
    fn adjust_concurrency_limit(
        &mut self,
        now: Duration,
        pressed: bool,
        threads: f64,
        gap: Duration,
        most: f64,
    ) {
        if pressed && now >= self.limit_decreased_at + gap {
            self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(0.5);
            self.limit_decreased_at = now;
        } else if !pressed && self.own_threads + threads > self.concurrency_limit {
            self.concurrency_limit =
                (self.concurrency_limit + INCREASE_STEP * threads / self.concurrency_limit).min(most);
        }
    }

    /// Whether this front has felt no pressure there for a while.
    fn is_unpressured(&self, now: Duration, report_age: Duration) -> bool {
        now >= self.limit_decreased_at + report_age
    }

    /// This front's threads there as a request of a priority feels them: lower ones by their share of cores.
    fn contending_threads(&self, priority: u8) -> f64 {
        let own = PRIORITY_SHARES[usize::from(priority)];
        self.threads_by_priority
            .iter()
            .zip(PRIORITY_SHARES)
            .map(|(threads, share)| threads * (share / own).min(1.0))
            .sum()
    }
}

/// One front's decisions.
#[derive(Default)]
pub struct Gateway {
    deployment: Deployment,
    classes: Vec<RequestClass>,
    random: RandomSource,
    engines: EngineTable<Engine>,
    preference_orders: PreferenceOrders,
    candidate_cache: BTreeMap<usize, Arc<[Candidate]>>, // By request class and slot, in this scan.
    requests: BTreeMap<u64, Request>,
    sequence_numbers: BTreeMap<RequestId, u64>,
    next_sequence: u64,
    key_queues: BTreeMap<u64, (VecDeque<u64>, Duration)>, // By key: requests as taken, and when the next may go.
    starvation_header: Option<(u64, EngineId)>,           // The request, and the engine that it is tied to.
    changed: BTreeSet<u64>,
    attempt_ended: bool, // An attempt has ended since the last scan: what no gate has refused is looked at again.
    timer_at: Duration,
    timer_due: Option<Duration>, // Wanted besides: the next wake-up, probes, and word from discovery.
    probes_due: Vec<EngineId>,
    poll_now: bool,
    fleet_multiple: DecayingMean, // What all fronts together run, as a multiple of this front's.
    usual_load: DecayingMean,     // Threads per core that engines usually report.
    typical_threads: DecayingMean, // Threads of a request, by the time that requests are out: what is held is mostly long.
    slow_share: DecayingMean,      // How slowed down this front's requests are, all engines together.
    arrivals_by_table_group: BTreeMap<u64, DecayingMean>, // Arrivals by table group, and all.
    arrivals_decayed: DecayingMean,
    sent_work: DecayingMean, // Work sent to all engines, in seconds, fading with each request sent: by traffic,
    sent_requests: u64,      // of which there were so many.
    subsets: Vec<Subset>,    // By request class, the engines that a blind front keeps to.
    subsets_until: Duration,
    shedding: LoadShedding,
    mean_cores: f64, // Of all engines.
    probe_credit: f64,
    budget_arrivals: Vec<Duration>, // Arrivals and retries within the budget's span.
    budget_retries: Vec<Duration>,
    poll_at: Option<Duration>,
    started_at: Option<Duration>, // When it first heard anything: what it did before a restart is forgotten.
    quota: Option<f64>, // This front's part of what all may send to a cold engine, where fronts agree on it.
    shutdown_deadline: Option<Duration>, // Told to end: by then all is answered, however far its deadline lies.
    max_deadline: Duration,              // Of the deadlines.
    min_objective: Duration,             // Of the latency objectives.
    max_report_age: Duration,            // Older than this, a report is not used.
}

impl Gateway {
    pub fn new(stated: Deployment, seed: u64) -> Self {
        let longest = stated.request_classes.iter().map(|t| t.deadline).max().unwrap_or_default();
        let memory = (longest.as_secs_f64() * ESTIMATE_SPAN).max(1.0);
        let goals: BTreeSet<Duration> = stated.request_classes.iter().map(|t| t.latency_objective).collect();
        let rows = (stated.request_classes.iter())
            .map(|terms| {
                let goal = terms.latency_objective.as_secs_f64();
                // The shorter the latency objective, the larger the share of short cores. A load goes with the
                // shortest: until it ends, all that reads its group there stands still.
                let rank = goals.iter().filter(|g| **g < terms.latency_objective && !terms.bulk_load).count();
                let priority = if stated.priorities { 3u8.saturating_sub(rank as u8) } else { 1 };
                RequestClass {
                    config: terms.clone(),
                    priority,
                    work: DecayingMean::new(memory, goal * terms.threads * INITIAL_WORK_SHARE),
                    log_latency: DecayingMean::new(memory, (goal * INITIAL_WORK_SHARE).max(1e-3).ln()),
                    memory: DecayingMean::new(memory, 0.0),
                    first_try_timeout: (Duration::ZERO, 0.0),
                }
            })
            .collect();
        let ask_at = (stated.discovery == Discovery::Polled).then_some(Duration::ZERO);
        Gateway {
            classes: rows,
            random: RandomSource::new(seed),
            timer_at: Duration::MAX,
            fleet_multiple: DecayingMean::new(memory, f64::from(stated.fronts.max(1))),
            shedding: LoadShedding::new(longest),
            usual_load: DecayingMean::new(memory * MAX_REPORT_AGE, 0.0),
            typical_threads: DecayingMean::new(memory, 1.0),
            slow_share: DecayingMean::new(memory * MAX_REPORT_AGE, 1.0),
            arrivals_decayed: DecayingMean::new(memory, 0.0),
            sent_work: DecayingMean::new(memory, 0.0),
            min_objective: goals.first().copied().unwrap_or_default(),
            poll_at: ask_at,
            max_report_age: longest.mul_f64(MAX_REPORT_AGE),
            max_deadline: longest,
            deployment: stated,
            ..Gateway::default()
        }
    }

    /// Takes note of one event.
    pub fn handle_event(&mut self, now: Duration, event: Event) {
        self.started_at.get_or_insert(now);
        match event {
            Event::Endpoints(kind, entries) => self.handle_endpoints(kind, entries),
            Event::DiscoveryUnavailable => {
                // Asked again well within the span after which we would count as told.
                let wait = self
                    .deployment
                    .safety_rules
                    .discovery_poll_deadline
                    .mul_f64(0.1 + 0.1 * self.random.draw());
                self.poll_at = Some(now + wait);
            }
            Event::Arrived(arrival) => self.handle_arrival(now, arrival),
            Event::ResponseStarted(id) => {
                if let Some(request) =
                    self.sequence_numbers.get(&id).and_then(|seq| self.requests.get_mut(seq))
                {
                    request.deadline = Duration::MAX; // From here on it is the client's.
                }
            }
            Event::Progress { request, attempt, progress: note, .. } => {
                self.handle_progress(now, &request, attempt, note)
            }
            Event::AttemptEnded(ending) => self.handle_attempt_end(now, ending),
            Event::ClientGone(id) => {
                if let Some(&seq) = self.sequence_numbers.get(&id) {
                    self.close(seq);
                    self.changed.insert(seq); // What is out of it does work for nobody.
                }
            }
            Event::ProbeEnded { engine, answered: true, elapsed: after, load } => {
                self.attempt_ended = true;
                self.handle_load_report(now, engine, load, Some(after));
            }
            Event::ProbeEnded { engine, .. } => self.record_failure(now, engine),
            Event::Quota(part) => self.quota = Some(part.clamp(0.0, 1.0)),
            Event::ShuttingDown { deadline: by } => self.shutdown_deadline = Some(by),
            Event::PeerMessage { .. } | Event::TimerFired => {}
        }
    }

    fn handle_endpoints(&mut self, kind: EndpointUpdateKind, entries: Vec<EngineEntry>) {
        let before: Vec<EngineId> = self.engines.ids().collect();
        if kind != EndpointUpdateKind::Delta {
            for engine in self.engines.values_mut() {
                engine.entry.state = EngineState::Removed;
            }
        }
        for entry in entries {
            let pool =
                self.deployment.cores(&entry) * ADMIT_ALL_UP_TO / f64::from(self.deployment.fronts.max(1));
            let (rows, quickest) = (vec![0; self.classes.len()], Duration::MAX);
            let fresh = Engine {
                concurrency_limit: pool,
                attempts_by_class: rows,
                fastest_probe: quickest,
                ..Engine::default()
            };
            let engine = self.engines.get_or_insert(entry.engine, fresh);
            if entry.started_at > engine.entry.started_at {
                (engine.consecutive_failures, engine.ejected_until, engine.report) =
                    (0, Duration::ZERO, None);
                engine.congestion = None;
                engine.foreign_bulk_loads.clear();
                // What went there between its start and the word of it counts like all else.
                engine.sent_while_warming_up.retain(|(at, _)| *at >= entry.started_at);
            }
            engine.entry = entry;
        }
        self.engines.retain(|e| e.entry.state == EngineState::Active || e.in_flight > 0);
        self.subsets_until = Duration::ZERO;
        if !self.engines.ids().eq(before) {
            self.preference_orders.clear();
        }
        let all = self.engines.values().map(|e| self.deployment.cores(&e.entry)).sum::<f64>();
        self.mean_cores = (all / self.engines.len().max(1) as f64).max(1.0);
    }

    fn handle_arrival(&mut self, now: Duration, arrival: Arrival) {
        if self.classes.is_empty() {
            return;
        }
        self.budget_arrivals.extend(self.deployment.safety_rules.retry_budget.map(|_| now));
        let credit = if self.many_fronts() { self.probe_allowance() } else { ROUND_PROBES_PER_REQUEST };
        self.probe_credit = (self.probe_credit + credit).min(self.engines.len() as f64);
        let row = arrival.request_class.min(self.classes.len().saturating_sub(1));
        let seq = self.next_sequence;
        self.next_sequence += 1;
        let key = arrival.key.filter(|_| self.classes[row].config.ordered);
        if let Some(key) = key {
            self.key_queues.entry(key).or_default().0.push_back(seq);
        }
        self.sequence_numbers.insert(arrival.request.clone(), seq);
        self.shedding.arrived();
        self.arrivals_decayed.add(now, 1.0, 1.0);
        let none = DecayingMean::new(self.arrivals_decayed.time_constant, 0.0);
        self.arrivals_by_table_group.entry(arrival.table_group).or_insert(none).add(now, 1.0, 1.0);
        self.arrivals_by_table_group.retain(|_, asked| asked.at + self.max_deadline > now);
        // Guards against serving repeats that come too late to count: a client that gives a try less time
        // than others asked before. Unmarked, they differ from what a vote finds first tries come with.
        let (limit, usual) = (self.classes[row].config.deadline, &mut self.classes[row].first_try_timeout);
        let alike = usual.0.abs_diff(arrival.client_timeout) < limit.mul_f64(TIMEOUT_TOLERANCE);
        usual.1 += if alike { 1.0 } else { -TIMEOUT_VOTE_AGAINST };
        if usual.1 <= 0.0 {
            *usual = (arrival.client_timeout, 1.0);
        }
        let repeat = if self.deployment.retries_marked {
            arrival.client_retry
        } else {
            usual.0.abs_diff(arrival.client_timeout) >= limit.mul_f64(TIMEOUT_TOLERANCE)
        };
        // Very little patience is no repeat's, but that of a first try in a hurry.
        let age = if repeat && arrival.client_timeout > limit.mul_f64(HURRIED_TIMEOUT) {
            limit.saturating_sub(arrival.client_timeout)
        } else {
            Duration::ZERO
        };
        let request = Request {
            first_arrival: now.saturating_sub(age),
            id: arrival.request,
            class: row,
            table_group: arrival.table_group,
            key,
            arrived_at: now,
            last_attempt_ended: now,
            deadline: now + arrival.client_timeout,
            priority: 1,
            next_admission_draw: now,
            shed_draw: self.random.draw(),
            ..Request::default()
        };
        self.requests.insert(seq, request);
    }

    fn handle_load_report(
        &mut self,
        now: Duration,
        id: EngineId,
        load: Option<LoadReport>,
        probe: Option<Duration>,
    ) {
        if let (Some(engine), Some(load)) = (self.engines.get_mut(&id), load) {
            if let Some(busy) = load.cores_busy {
                self.usual_load.add(now, (busy / CPU_SHARE_OF_THREAD).min(ADMIT_NONE_FROM_MANY_FRONTS), 1.0);
                // How many times this front's threads the engines bear, learned while reports can tell it.
                if engine.is_unpressured(now, self.max_report_age) && busy < CPU_SATURATED {
                    let all = busy * self.deployment.cores(&engine.entry);
                    self.fleet_multiple.add(now, all, engine.own_threads * CPU_SHARE_OF_THREAD);
                }
            }
            if let (None, Some(in_flight)) = (load.cores_busy, load.in_flight) {
                let threads = in_flight * self.typical_threads.mean();
                let threads_per_core = threads / self.deployment.cores(&engine.entry);
                self.usual_load.add(now, threads_per_core.min(ADMIT_NONE_FROM_MANY_FRONTS), 1.0);
            }
            let (threads, out) = (engine.own_threads, engine.in_flight);
            engine.last_seen = now;
            engine.fastest_probe =
                probe.map_or(engine.fastest_probe, |after| engine.fastest_probe.min(after));
            let drag =
                probe.map_or(1.0, |after| after.as_secs_f64() / engine.fastest_probe.as_secs_f64().max(1e-6));
            engine.report = Some(Report {
                at: now,
                load,
                own_threads: threads,
                own_in_flight: out,
                probe_slowdown: drag,
            });
            engine.congestion = None;
            let threads_per_core = self.threads_per_core(now, &self.engines[&id], &self.fleet_means(now));
            self.note_congestion(now, id, threads_per_core, true);
        }
    }

    /// Notes a sign of how much an engine has to do; one of less is passed over until that of more has faded.
    fn note_congestion(&mut self, now: Duration, id: EngineId, threads_per_core: f64, told: bool) {
        let threads_per_core = threads_per_core.min(MAX_CONGESTION * ADMIT_NONE_FROM_MANY_FRONTS);
        let known = self.engines.get(&id).map_or(f64::MAX, |engine| self.congestion(now, engine));
        if threads_per_core > known
            && let Some(engine) = self.engines.get_mut(&id)
        {
            engine.congestion = Some(Congestion { at: now, threads_per_core, observed: told });
        }
    }

    /// Threads per core by the last sign of congestion, fading to none. Guards a blind front, which comes by
    /// an engine once in seconds, against feeding one that stands still because all feed it. One try of the
    /// smallest work by each front within the time of fading is no more than the engine's cores can do. Harm:
    /// an engine that is well again idles until then.
    fn congestion(&self, now: Duration, engine: &Engine) -> f64 {
        let smallest = self.classes.iter().map(|row| row.work.mean()).fold(f64::MAX, f64::min);
        let fades_in = f64::from(self.deployment.fronts) * smallest / self.deployment.cores(&engine.entry);
        let faded = |sign: Congestion| {
            let age = now.saturating_sub(sign.at).as_secs_f64();
            sign.threads_per_core * (-age / fades_in.max(f64::MIN_POSITIVE)).exp()
        };
        engine.congestion.map_or(0.0, faded)
    }

    /// Notes by how many times an attempt took, or has taken, longer than it may before it counts as slowed
    /// down. An answer in time heals, where no report says more.
    fn note_slowdown(&mut self, now: Duration, id: EngineId, times: f64, reported: bool) {
        if times > 1.0 {
            self.note_congestion(now, id, times * ADMIT_NONE_FROM_MANY_FRONTS, true);
        } else if !reported && let Some(engine) = self.engines.get_mut(&id) {
            engine.congestion = None;
        }
    }

    /// Guards against an engine that is dead, cut off, draining or out of connections, whatever the cause: it
    /// rests, longer with each strike, and one answer heals it. Harm: a passing fault costs one rest.
    fn record_failure(&mut self, now: Duration, engine: EngineId) {
        let blind = self.many_fronts();
        if let Some(engine) = self.engines.get_mut(&engine).filter(|e| e.ejected_until <= now) {
            engine.consecutive_failures = (engine.consecutive_failures
                + if blind { FAILURE_WEIGHT_MANY_FRONTS } else { 1 })
            .min(MAX_COUNTED_FAILURES);
            let rest = BASE_EJECTION_TIME * f64::from(1 << (engine.consecutive_failures - 1));
            engine.ejected_until = now + self.deployment.capabilities.connect_timeout.mul_f64(rest);
        }
    }

    fn handle_progress(&mut self, now: Duration, id: &RequestId, attempt: u32, note: AttemptProgress) {
        let Some(&seq) = self.sequence_numbers.get(id) else { return };
        let Some(request) = self.requests.get_mut(&seq) else { return };
        let current = |out: &&InFlight| out.attempt == attempt && !out.cancelled;
        let Some(out) = request.in_flight.as_ref().filter(current) else { return };
        let (age, engine) = (now.saturating_sub(out.sent_at).as_secs_f64(), out.engine);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.last_seen = now;
        }
        let row = &self.classes[request.class];
        match note {
            AttemptProgress::WaitingForBulkLoad => {
                // Another front's load holds the group there: a conflict just like one of our own.
                let own = self
                    .engines
                    .get(&engine)
                    .is_some_and(|e| e.bulk_loads.contains_key(&request.table_group));
                if let Some(engine) = self.engines.get_mut(&engine).filter(|_| !own) {
                    engine
                        .foreign_bulk_loads
                        .insert(request.table_group, now + self.deployment.progress_interval);
                }
                if !row.config.bulk_load {
                    self.migrate(seq);
                }
            }
            AttemptProgress::Done(share) => {
                // Guards against bad plans, slow engines and work that stands still: an attempt far behind
                // what is usual goes elsewhere; behind thrice, it is large. Harm: work so far is lost.
                let total = age / share.clamp(1e-3, 1.0);
                let rest = Duration::from_secs_f64((total - age).min(1e6));
                if total - age > MIGRATE_FACTOR * row.log_latency.mean().exp() {
                    // Guards against work for nobody: what was moved and will not end while its client waits.
                    let hopeless = now + rest > request.deadline && request.deadline != Duration::MAX;
                    if request.attempts > 1 && hopeless && row.config.idempotency == Idempotency::Idempotent {
                        self.give_up(now, seq);
                    } else if request.attempts < MAX_MIGRATIONS {
                        self.migrate(seq);
                    }
                }
            }
            AttemptProgress::Spilling(_) | AttemptProgress::WaitingForMemory => {}
        }
    }

    /// Wants a request tried elsewhere, if it may be sent again.
    fn migrate(&mut self, seq: u64) {
        let Some(request) =
            self.requests.get_mut(&seq).filter(|b| b.deadline != Duration::MAX && !b.finished)
        else {
            return;
        };
        let permits = &self.deployment.capabilities;
        let once_only = self.classes[request.class].config.idempotency == Idempotency::NonIdempotent;
        if permits.cancel && !once_only && request.attempts < permits.max_attempts.max(1) {
            request.desired = DesiredState::Queued;
            self.changed.insert(seq);
        }
    }

    fn handle_attempt_end(&mut self, now: Duration, ending: AttemptEnd) {
        self.handle_load_report(now, ending.engine, ending.load, None);
        let outcome = ending.outcome;
        // Guards against filling a fleet up to its brim again and again, where all that it holds ends too
        // late and nothing returns that could tell: what is turned away tells. Harm: so does one full engine.
        if outcome == AttemptOutcome::Rejected && self.many_fronts() {
            self.slow_share.add(now, 1.0, 1.0);
            self.note_congestion(now, ending.engine, REJECTED_LOAD * ADMIT_NONE_FROM_MANY_FRONTS, true);
        }
        if matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::Rejected)
        {
            self.record_failure(now, ending.engine);
        } else if let Some(engine) = self.engines.get_mut(&ending.engine)
            && outcome == AttemptOutcome::Returned
        {
            (engine.consecutive_failures, engine.ejected_until, engine.last_seen) = (0, Duration::ZERO, now);
        }
        let Some(&seq) = self.sequence_numbers.get(&ending.request) else { return };
        let Some(request) = self.requests.get_mut(&seq) else { return };
        let mut slowdown = None;
        if request.in_flight.as_ref().is_some_and(|out| out.attempt == ending.attempt) {
            request.in_flight = None;
            self.attempt_ended = true;
            let row = &mut self.classes[request.class];
            let span = ending.elapsed.as_secs_f64();
            let work = ending.usage.map(|c| c.work.as_secs_f64());
            if let Some(engine) = self.engines.get_mut(&ending.engine) {
                engine.count_attempt(request.class, row, request.table_group, false);
                if outcome == AttemptOutcome::Returned {
                    let pressed = span > row.objective(work.unwrap_or(row.work.mean())) * PRESSURE_SHARE;
                    let most = self.deployment.cores(&engine.entry) * ADMIT_ALL_UP_TO * ADMIT_NONE_FROM;
                    engine.adjust_concurrency_limit(
                        now,
                        pressed,
                        row.config.threads,
                        self.min_objective.mul_f64(DECREASE_INTERVAL),
                        most,
                    );
                }
            }
            if outcome == AttemptOutcome::Returned {
                let (memory, told) = ending.usage.map_or((0.0, 0.0), |c| (c.memory_mb, 1.0));
                row.memory.add(now, memory, told);
                slowdown = work.map(|work| span / row.slow_after(work.max(1e-3)));
                if !request.counted_slow {
                    let slowed = slowdown.is_some_and(|times| times > 1.0);
                    self.slow_share.add(now, f64::from(u8::from(slowed)), 1.0);
                }
                self.typical_threads.add(now, span * row.config.threads, span);
                row.log_latency.add(now, span.max(1e-3).ln(), 1.0);
                row.work.add(now, work.unwrap_or(span * row.config.threads), 1.0);
            }
            if outcome == AttemptOutcome::TimedOut {
                slowdown = Some(span / row.slow_after(row.work.mean()));
            }
            if !outcome.never_ran() && request.first_possible_run.is_none() {
                request.first_possible_run = Some((now.saturating_sub(ending.elapsed), ending.engine));
            }
            if let Some(lane) = request.key.and_then(|key| self.key_queues.get_mut(&key))
                && matches!(
                    outcome,
                    AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled
                )
            {
                lane.1 = lane.1.max(now + self.deployment.safety_rules.unknown_outcome_delay);
            }
            (request.last_failed_engine, request.next_admission_draw, request.last_attempt_ended) =
                (Some(ending.engine), now, now);
            (request.counted_slow, request.admission_refused) = (false, false);
            if request.desired == DesiredState::SentTo(ending.engine) {
                request.desired = DesiredState::Queued;
            }
        }
        if let Some(times) = slowdown {
            self.note_slowdown(now, ending.engine, times, ending.load.is_some());
        }
        if ending.request_finished || outcome == AttemptOutcome::Returned {
            self.close(seq);
        } else if self.requests.get(&seq).is_some_and(|b| b.finished) {
            self.forget(seq);
        } else {
            self.settle_failure(now, seq);
        }
    }

    /// An attempt ended without an answer: held for another, or given up at once.
    fn settle_failure(&mut self, now: Duration, seq: u64) {
        let Some(request) = self.requests.get(&seq) else { return };
        let once_only = self.classes[request.class].config.idempotency == Idempotency::NonIdempotent
            && request.first_possible_run.is_some();
        let barred = once_only || self.repeats_until(request).is_some_and(|until| now >= until);
        let spent = barred || request.attempts >= self.deployment.capabilities.max_attempts.max(1);
        if spent && request.in_flight.is_none() && request.desired == DesiredState::Queued {
            self.give_up(now, seq);
        }
    }

    /// Until when repeats of a referenced request that may have run are dropped for sure: what is sent close to
    /// the end of that time may arrive after it.
    fn repeats_until(&self, request: &Request) -> Option<Duration> {
        let Idempotency::IdempotencyKeyed { retention: remembered, .. } =
            self.classes[request.class].config.idempotency
        else {
            return None;
        };
        let first = request
            .first_possible_run
            .map(|(at, _)| at)
            .or(request.in_flight.as_ref().map(|out| out.sent_at))?;
        let way = self.deployment.capabilities.connect_timeout.min(remembered.mul_f64(MAX_TRANSIT_SHARE));
        Some(first + remembered - way)
    }

    fn retry_after(&self, row: usize) -> Option<Duration> {
        let permits = &self.deployment.capabilities;
        let wait = self.classes[row]
            .config
            .latency_objective
            .mul_f64(RETRY_AFTER_SHARE)
            .min(permits.max_retry_after);
        permits.retry_after.then_some(wait)
    }

    /// The final answer that the rules allow: pushed back where trying again is safe.
    fn give_up(&mut self, now: Duration, seq: u64) {
        let Some(request) = self.requests.get(&seq) else { return };
        let ran = request.first_possible_run.is_some() || request.in_flight.is_some();
        // Who is told that trying again is safe may come as late as told: repeats have to be dropped then.
        let again = now + self.retry_after(request.class).unwrap_or_default();
        let dropped = self.repeats_until(request).is_none_or(|until| again < until);
        let safe = match self.classes[request.class].config.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !ran,
            Idempotency::IdempotencyKeyed { scope: reach, .. } => {
                !ran || (reach == DeduplicationScope::Everywhere && dropped)
            }
        };
        let wanted = if safe { DesiredState::Rejected } else { DesiredState::Failed };
        self.requests.entry(seq).and_modify(|request| request.desired = wanted);
        self.changed.insert(seq);
    }

    /// The request has its final answer; it stays known while an attempt is out.
    fn close(&mut self, seq: u64) {
        if let Some(request) = self.requests.get_mut(&seq) {
            request.finished = true;
            if request.in_flight.is_none() {
                self.forget(seq);
            }
        }
        self.starvation_header.take_if(|(request, _)| *request == seq);
    }

    fn forget(&mut self, seq: u64) {
        let Some(request) = self.requests.remove(&seq) else { return };
        self.sequence_numbers.remove(&request.id);
        if let Some(lane) = request.key.and_then(|key| self.key_queues.get_mut(&key)) {
            lane.0.retain(|other| *other != seq);
        }
    }

    /// Settles what is wanted and yields the actions towards it.
    pub fn decide(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.poll_now = self.poll_at.take_if(|at| *at <= now).is_some();
        let mut due = self.poll_at.unwrap_or(Duration::MAX).min(self.review(now));
        self.probe(now);
        self.keep_to_subsets(now);
        due = due.min(self.scan(now, &mut actions));
        self.timer_due = Some(due).filter(|due| *due != Duration::MAX);
        self.reconcile(now, &mut actions);
        actions
    }

    /// Gives up what can no longer be answered, or no longer in time to be worth much.
    fn review(&mut self, now: Duration) -> Duration {
        let margin = self.deployment.tick * 2;
        let mut due = Duration::MAX;
        let strain = self.slow_share.sum / (self.slow_share.weight + 1.0);
        let sees = self.many_fronts() && self.can_probe() && strain < MAX_SLOW_SHARE_FOR_RETRIES;
        let (mut lost, mut late) = (Vec::new(), Vec::new());
        for (&seq, request) in &self.requests {
            if request.finished {
                continue;
            }
            let row = &self.classes[request.class];
            let mut last =
                request.deadline.min(self.shutdown_deadline.unwrap_or(Duration::MAX)).saturating_sub(margin);
            if request.in_flight.is_none() {
                // Guards against queues of what is too late; what waits its turn by key has all of the goal.
                let share = if request.key.is_some() { 1.0 } else { START_BY_SHARE };
                let goal = request.first_arrival + Duration::from_secs_f64(row.objective(row.work.mean()));
                let start = request.first_arrival + goal.saturating_sub(request.first_arrival).mul_f64(share);
                // What was moved counts from then on, or moving would only ever push back.
                let rest = goal.saturating_sub(request.last_attempt_ended);
                let again = request.attempts > 0 || request.first_arrival < request.arrived_at;
                let moved =
                    again && sees && rest.as_secs_f64() > RETRY_SPARE_FACTOR * row.log_latency.mean().exp();
                last = last.min(if moved {
                    start.max(request.last_attempt_ended + rest.mul_f64(share))
                } else {
                    start
                });
                last = last.min(self.repeats_until(request).unwrap_or(Duration::MAX));
            }
            let overdue = Duration::from_secs_f64(row.slow_after(row.work.mean()));
            // What says nothing at all is cut off or dead, which tells nothing of the others.
            let alive =
                |out: &InFlight| self.engines.get(&out.engine).is_some_and(|e| e.last_seen > out.sent_at);
            if let Some(out) =
                request.in_flight.as_ref().filter(|out| !request.counted_slow && now > out.sent_at + overdue)
            {
                late.push((seq, out.engine, alive(out)));
            }
            if last <= now {
                lost.push(seq);
            } else {
                due = due.min(last);
            }
        }
        for (seq, engine, alive) in late {
            self.note_congestion(now, engine, ADMIT_NONE_FROM_MANY_FRONTS, alive);
            if alive {
                self.slow_share.add(now, 1.0, 1.0);
                self.requests.entry(seq).and_modify(|b| b.counted_slow = true);
            }
        }
        for seq in lost {
            self.give_up(now, seq);
        }
        due
    }

    fn probe(&mut self, now: Duration) {
        if !self.deployment.capabilities.probes
            || self.deployment.load_reporting != LoadReporting::WithProbes
            || self.many_fronts()
        {
            return;
        }
        while self.probe_credit >= 1.0 {
            let gap = self.deployment.capabilities.connect_timeout;
            let stalest = (self.engines.values_mut())
                .filter(|e| e.entry.state == EngineState::Active && e.last_probe + gap <= now)
                .min_by_key(|e| e.last_probe);
            let Some(engine) = stalest else { return };
            engine.last_probe = now;
            self.probe_credit -= 1.0;
            self.probes_due.push(engine.entry.engine);
        }
    }

    /// Whether this front runs so little of all that its own counters say nothing of an engine.
    fn many_fronts(&self) -> bool {
        f64::from(self.deployment.fronts) > MANY_FRONTS_ABOVE
    }

    fn can_probe(&self) -> bool {
        self.deployment.capabilities.probes && self.deployment.load_reporting == LoadReporting::WithProbes
    }

    /// How many asks a request a blind front may spend.
    fn probe_allowance(&self) -> f64 {
        MAX_LOAD_PROBES_PER_REQUEST
            .min(MAX_PROBE_COST_SHARE / self.deployment.probe_cost.max(f64::MIN_POSITIVE))
    }

    /// Guards a blind front against sending to an engine that others have filled: it wants to hear from it
    /// before a request goes there. False if what is known must do. Harm: a probe's price, and a tick or two.
    fn probe_first(&mut self, now: Duration, id: EngineId, reserve: f64) -> bool {
        let probed = self.can_probe();
        let Some(engine) = self.engines.get_mut(&id).filter(|_| probed) else { return false };
        let fresh =
            engine.report.as_ref().is_some_and(|r| r.at + self.min_objective.mul_f64(FRESH_REPORT_AGE) > now);
        let asked = engine.last_probe + self.deployment.capabilities.connect_timeout > now;
        if fresh || asked || self.probe_credit < reserve {
            return !fresh && asked && engine.report.as_ref().is_none_or(|r| r.at < engine.last_probe);
        }
        self.probe_credit -= 1.0;
        engine.last_probe = now;
        self.probes_due.push(id);
        true
    }

    /// One pass over the held requests, oldest first.
    fn scan(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        let finished = std::mem::take(&mut self.attempt_ended);
        self.candidate_cache.clear();
        self.key_queues.retain(|_, (lane, free)| !lane.is_empty() || *free > now);
        let waiting: Vec<u64> = self.requests.iter().filter(|(_, b)| is_queued(b)).map(|(&s, _)| s).collect();
        if let Some(&oldest) = waiting.first().filter(|_| self.starvation_header.is_none()) {
            let request = &self.requests[&oldest];
            if now >= request.arrived_at + self.max_deadline.mul_f64(RESERVE_ENGINE_AFTER) {
                self.starvation_header = self.reserve_engine(now, oldest);
            }
        }
        for seq in waiting {
            let request = &self.requests[&seq];
            let in_turn = (request.key.and_then(|key| self.key_queues.get(&key)))
                .is_none_or(|(lane, free)| lane.front() == Some(&seq) && *free <= now);
            let drawn = request.next_admission_draw <= now || (finished && !request.admission_refused);
            let redraw = now + self.classes[request.class].config.latency_objective.mul_f64(REDRAW_INTERVAL);
            if !in_turn || !drawn || (request.attempts > 0 && !self.budget_left(now)) {
                continue;
            }
            let chosen = self.choose(now, seq);
            self.requests.entry(seq).and_modify(|request| match chosen {
                Some(engine) => request.desired = DesiredState::SentTo(engine),
                None => request.next_admission_draw = redraw,
            });
            if chosen.is_some() {
                self.changed.insert(seq);
                self.reconcile(now, actions);
            }
        }
        let queued = self.requests.values().filter(|b| is_queued(b));
        queued.map(|b| b.next_admission_draw.max(now + self.deployment.tick)).min().unwrap_or(Duration::MAX)
    }

    /// Rule 7, kept for a tick more than the span asks.
    fn budget_left(&mut self, now: Duration) -> bool {
        let Some(budget) = self.deployment.safety_rules.retry_budget else { return true };
        self.budget_arrivals.retain(|at| *at + budget.window > now + self.deployment.tick);
        self.budget_retries.retain(|at| *at + budget.window + self.deployment.tick >= now);
        (self.budget_retries.len() + 1) as f64
            <= budget.free_retries + budget.retry_ratio * self.budget_arrivals.len() as f64
    }

    /// Ties the header to its first desirable engine, or to the first that it may use at all.
    fn reserve_engine(&mut self, now: Duration, seq: u64) -> Option<(u64, EngineId)> {
        let walk = self.preference_order(seq);
        let request = &self.requests[&seq];
        let engines = walk.slots().filter_map(|slot| self.engines.at(slot));
        let mut usable = engines.filter(|engine| self.usable(now, request, engine)).peekable();
        let first = usable.peek().copied();
        let engine = usable.find(|engine| !self.conflicts(now, request, engine)).or(first)?;
        Some((seq, engine.entry.engine))
    }

    /// Whether nothing is sent there for now, after faults.
    pub fn is_ejected(&self, now: Duration, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|engine| engine.ejected_until > now)
    }

    /// The engines in the order hashed from the request's table group, the same at every front.
    fn preference_order(&mut self, seq: u64) -> PreferenceOrder {
        let request = &self.requests[&seq];
        let order = self.preference_orders.of(request.table_group, self.engines.ids());
        let (engines, number) = (order.len() as f64, self.deployment.front_index as usize);
        // Loads walk the order from its far end, off the engines that the group's readers call home, and
        // each front begins at another engine, or loads of one group would all line up.
        if self.classes[request.class].config.bulk_load {
            let far = (engines * BULK_LOAD_TAIL).ceil() as usize;
            return PreferenceOrder::new(order, true).rotate_prefix(far, number);
        }
        if !self.many_fronts() {
            return PreferenceOrder::new(order, false);
        }
        // A group that draws more than one engine's part has several homes, shared out among the fronts.
        let asked = self.arrivals_by_table_group.get(&request.table_group).map_or(0.0, |asked| asked.sum);
        let part = asked / (self.arrivals_decayed.sum + ARRIVALS_PRIOR);
        let homes = (part * engines).ceil().min(engines) as usize;
        PreferenceOrder::new(order, false).rotate_prefix(homes, number)
    }

    /// Whether the rules and the engine's health let the request go there now.
    fn usable(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let entry = &engine.entry;
        let terms = &self.classes[request.class].config;
        let placed = terms.allows(entry);
        let reached = match (terms.idempotency, request.first_possible_run) {
            (Idempotency::IdempotencyKeyed { scope: reach, .. }, Some((_, first))) => {
                let first = self.engines.get(&first).map(|e| &e.entry);
                let near = match reach {
                    DeduplicationScope::Everywhere => true,
                    DeduplicationScope::Zone => first.is_some_and(|f| f.zone == entry.zone),
                    DeduplicationScope::Cell => first.is_some_and(|f| f.cell == entry.cell),
                };
                near && self.repeats_until(request).is_none_or(|until| now < until)
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
            _ => true,
        };
        let rested =
            engine.ejected_until <= now && (engine.consecutive_failures == 0 || engine.in_flight == 0);
        let active = entry.state == EngineState::Active && !entry.blocks(request.class);
        let kept_to = self.in_subset(now, request, engine);
        active && placed && reached && rested && kept_to && self.has_slow_start_room(now, request, engine)
    }

    /// Guards a blind front, which would meet each of all engines once in seconds, against stale beliefs, and
    /// engines that stand still against being fed by all. Harm: a table group is home in each subset.
    fn keep_to_subsets(&mut self, now: Duration) {
        let due = self.many_fronts() && now >= self.subsets_until;
        let Some(fronts) = NonZeroU32::new(self.deployment.fronts).filter(|_| due) else { return };
        self.subsets_until = now + self.min_objective.mul_f64(SUBSET_REFRESH);
        let place = Place { number: self.deployment.front_index, fronts };
        let of = |(row, class): (usize, &RequestClass)| {
            let may = |e: &&Engine| {
                let entry = &e.entry;
                let open = entry.state == EngineState::Active && !entry.blocks(row);
                open && class.config.allows(entry)
                    && !e.is_warming_up(now, self.deployment.safety_rules.slow_start_window)
            };
            let member = |e: &Engine| {
                let rested = e.ejected_until <= now && e.consecutive_failures == 0;
                let healthy = rested && self.congestion(now, e) < ADMIT_ALL_UP_TO;
                Member { engine: e.entry.engine, healthy }
            };
            let members: Vec<Member> = self.engines.values().filter(may).map(member).collect();
            subset(place, members.iter().copied(), size(members.len(), fronts))
        };
        self.subsets = self.classes.iter().enumerate().map(of).collect();
        let bears = |e: &Engine| {
            e.consecutive_failures == 0
                && !(e.congestion_was_observed() && self.congestion(now, e) >= ADMIT_ALL_UP_TO)
        };
        let kept = self.subsets.first().cloned().unwrap_or_default();
        let healthy = kept.share(|id| self.engines.get(&id).is_none_or(bears));
        let part = |e: &Engine| {
            if e.is_warming_up(now, self.deployment.safety_rules.slow_start_window) {
                self.deployment.safety_rules.slow_start_share
            } else {
                healthy
            }
        };
        let active = self.engines.values().filter(|e| e.entry.state == EngineState::Active);
        let capacity = active.map(|e| part(e) * self.deployment.cores(&e.entry)).sum();
        self.shedding.observe(now, capacity);
    }

    /// Cold engines are shared out by turns, and what must stay near where it may have run has no choice.
    fn in_subset(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let subset = self.subsets.get(request.class);
        subset.is_none_or(|subset| subset.contains(engine.entry.engine))
            || engine.is_warming_up(now, self.deployment.safety_rules.slow_start_window)
            || self.repeats_until(request).is_some_and(|_| request.first_possible_run.is_some())
    }

    /// How many engines this front spreads its requests over.
    fn subset_size(&self) -> f64 {
        let most = self.subsets.iter().map(Subset::len).max().filter(|most| *most > 0);
        most.unwrap_or(self.engines.len()).max(1) as f64
    }

    /// Guards against pushing over an engine that has just started (rule 4), from whatever cause: this
    /// front's share of the work that the engine is sure to bear in any window. Harm: it idles for a while.
    fn has_slow_start_room(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        if !engine.is_warming_up(now, self.deployment.safety_rules.slow_start_window) {
            return true;
        }
        let (duties, started) = (&self.deployment.safety_rules, engine.entry.started_at);
        let window = duties.overload_window + self.deployment.tick;
        // A front that has started since may have sent all of its share before, and forgotten it.
        if self.started_at.is_some_and(|began| started < began && now < began + window) {
            return false;
        }
        let bears = duties.overload_factor
            * duties.slow_start_share
            * self.deployment.cores(&engine.entry)
            * duties.overload_window.as_secs_f64();
        let fronts = f64::from(self.deployment.fronts.max(1));
        let room = bears * SAFE_OVERLOAD_SHARE * self.quota.unwrap_or(1.0 / fronts);
        let recent = engine.sent_while_warming_up.iter().filter(|(at, _)| *at + window > now);
        let sent: f64 = recent.map(|(_, work)| work).sum();
        let work = self.classes[request.class].work.mean();
        // Where that is less than a request, small ones go by turns, one a turn. They begin one after the other
        // at equal distances from the engine's start on: no chance is left in who has one. Those that begin
        // in a window, and those open when it begins, must together be what the engine bears.
        let small = || {
            self.classes.iter().map(|row| row.work).filter(|work| work.mean() <= bears * SMALL_REQUEST_SHARE)
        };
        let mean = small().map(|work| work.sum).sum::<f64>() / small().map(|work| work.weight).sum::<f64>();
        if mean > room {
            let turns = (fronts * room / (1.0 + TURN_LENGTH) / mean).floor();
            let begun =
                now.saturating_sub(started).as_secs_f64() / duties.overload_window.as_secs_f64() * turns;
            let first = (mix(u64::from(engine.entry.engine)) % 0x1_0000_0000) as f64;
            let since = (begun - first - f64::from(self.deployment.front_index)).rem_euclid(fronts);
            return since < TURN_LENGTH * turns && sent == 0.0 && work <= bears * SMALL_REQUEST_SHARE;
        }
        sent + work <= room
    }

    /// The paper's test, on this front's running requests and on loads that notes have shown.
    fn conflicts(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let terms = &self.classes[request.class].config;
        let bulk_loading = engine.bulk_loads.contains_key(&request.table_group)
            || engine.foreign_bulk_loads.get(&request.table_group).is_some_and(|until| *until > now);
        let header = self
            .starvation_header
            .filter(|h| h.1 == engine.entry.engine)
            .and_then(|h| self.requests.get(&h.0));
        let with_header =
            header.filter(|h| h.table_group == request.table_group && h.id != request.id).is_some_and(|h| {
                let other = &self.classes[h.class].config;
                (terms.bulk_load && (other.bulk_load || other.waits_for_bulk_loads))
                    || (terms.waits_for_bulk_loads && other.bulk_load)
            });
        with_header
            || (terms.bulk_load && (bulk_loading || engine.readers.contains_key(&request.table_group)))
            || (terms.waits_for_bulk_loads && bulk_loading)
    }

    /// Threads per core: as the engine reported, with what this front has changed since; with no report,
    /// this front's own times the number of fronts.
    fn threads_per_core(&self, now: Duration, engine: &Engine, fleet: &FleetMeans) -> f64 {
        let cores = self.deployment.cores(&engine.entry);
        let blind = self.many_fronts();
        let threads = match engine.report.as_ref().filter(|r| r.at + self.max_report_age > now) {
            Some(Report {
                load: LoadReport { in_flight: Some(reported), .. }, own_in_flight: out, ..
            }) => {
                let own =
                    if engine.in_flight > 0 { engine.own_threads / f64::from(engine.in_flight) } else { 1.0 };
                // What a blind front has there itself says nothing of the threads of what others have.
                let each = if blind { self.typical_threads.mean() } else { own.max(1.0) };
                let others = (reported - f64::from(*out)).max(0.0) * each;
                engine.own_threads + others + f64::from(u8::from(blind)) * UNREPORTED_THREADS * cores
            }
            Some(Report {
                load: LoadReport { cores_busy: Some(busy), .. },
                own_threads: threads,
                probe_slowdown: drag,
                ..
            }) if blind => {
                (busy / CPU_SHARE_OF_THREAD).max(ADMIT_NONE_FROM * (drag - 1.0)) * cores
                    + (engine.own_threads - threads).max(0.0)
            }
            Some(Report {
                load: LoadReport { cores_busy: Some(busy), .. }, own_threads: threads, ..
            }) => {
                let told = (busy * cores + engine.own_threads - threads).max(engine.own_threads);
                if *busy < CPU_SATURATED {
                    told
                } else {
                    told.max(engine.own_threads * self.fleet_multiple.mean())
                }
            }
            _ if blind => {
                let clock = Duration::from_secs(self.sent_requests);
                let sent = engine.sent_work.map_or(0.0, |lately| lately.decayed_to(clock).sum);
                let usual = fleet.usual_load * fleet.traffic_bias(sent, cores);
                usual.max(self.congestion(now, engine)) * cores + engine.own_threads
            }
            _ => engine.own_threads * f64::from(self.deployment.fronts.max(1)),
        };
        threads / cores
    }

    /// Threads per core that engines usually report, falling back to the mark as reports fade: guards against
    /// a front that sends nothing as it heard of full engines, and hears nothing else as it sends nothing.
    fn usual_load(&self, now: Duration) -> f64 {
        let heard = self.usual_load.decayed_to(now);
        (heard.sum + USUAL_LOAD_PRIOR_WEIGHT * ADMIT_ALL_UP_TO) / (heard.weight + USUAL_LOAD_PRIOR_WEIGHT)
    }

    fn fleet_means(&self, now: Duration) -> FleetMeans {
        let all = self.sent_work.decayed_to(Duration::from_secs(self.sent_requests)).sum;
        FleetMeans {
            cores: self.mean_cores,
            sent_work: all / self.subset_size(),
            request_work: self.sent_work.mean(),
            usual_load: self.usual_load(now),
        }
    }

    /// Guards against paging and spilling: what this front's requests there need, times the multiple that all
    /// fronts run, as a share of the engine's memory. Harm: a front of little traffic knows its part badly.
    fn memory_share(&self, engine: &Engine) -> f64 {
        let memory = self
            .deployment
            .machine_kinds
            .get(engine.entry.machine_kind as usize)
            .map_or(0.0, |m| m.memory_mb);
        let told = engine.report.as_ref().and_then(|r| r.load.memory_granted).unwrap_or(0.0);
        let mut need = 0.0;
        if memory > 0.0 && !self.many_fronts() {
            let rows = engine.attempts_by_class.iter().zip(&self.classes);
            let own: f64 = rows.map(|(n, row)| f64::from(*n) * row.memory.mean()).sum();
            need = own * self.fleet_multiple.mean().max(1.0) / memory;
        }
        need.max(told * NEEDED_SHARE_OF_GRANT)
    }

    /// All engines by slot, as they are to a request; worked out once for all requests of a request class that
    /// are free to go anywhere.
    fn candidates(&mut self, now: Duration, seq: u64) -> Arc<[Candidate]> {
        let request = &self.requests[&seq];
        let known = self.candidate_cache.get(&request.class).filter(|_| request.first_possible_run.is_none());
        if let Some(known) = known {
            return Arc::clone(known);
        }
        let fleet = self.fleet_means(now);
        let look = |engine: &Engine| Candidate {
            engine: engine.entry.engine,
            usable: self.usable(now, request, engine),
            warming_up: engine.is_warming_up(now, self.deployment.safety_rules.slow_start_window),
            load: self.threads_per_core(now, engine, &fleet),
        };
        let candidates: Arc<[Candidate]> = self.engines.values().map(look).collect();
        if request.first_possible_run.is_none() {
            self.candidate_cache.insert(request.class, Arc::clone(&candidates));
        }
        candidates
    }

    /// Hashed order, home first unless it exceeds the least loaded by the margin, then the gate.
    fn choose(&mut self, now: Duration, seq: u64) -> Option<EngineId> {
        let (walk, candidates) = (self.preference_order(seq), self.candidates(now, seq));
        let request = &self.requests[&seq];
        let tied = self.starvation_header.filter(|h| h.0 == seq).map(|h| h.1);
        let lost = |e| self.engines.get(&e).is_none_or(|engine| !self.usable(now, request, engine));
        if tied.is_some_and(lost) {
            self.starvation_header = None;
            return None;
        }
        let terms = &self.classes[request.class].config;
        let may_conflict = terms.bulk_load || terms.waits_for_bulk_loads;
        let mut desirable: Vec<(usize, f64)> = Vec::with_capacity(candidates.len());
        for slot in walk.slots() {
            let candidate = &candidates[slot];
            let passed_over = !candidate.usable || tied.is_some_and(|e| e != candidate.engine);
            let engine = self.engines.at(slot).filter(|_| !passed_over && may_conflict);
            if passed_over || engine.is_some_and(|e| self.conflicts(now, request, e)) {
                continue;
            }
            // Carry-over: a fresh engine is passed over by chance, less often as it warms.
            if candidate.warming_up {
                let engine = &self.engines[&candidate.engine];
                let age = now.saturating_sub(engine.entry.started_at).as_secs_f64();
                let from = self.deployment.safety_rules.slow_start_share;
                let warmth =
                    from + (1.0 - from) * age / self.deployment.safety_rules.slow_start_window.as_secs_f64();
                if self.random.draw() > warmth {
                    continue;
                }
            }
            desirable.push((slot, candidate.load));
        }
        let request = &self.requests[&seq];
        if desirable.len() > 1 {
            desirable.retain(|(slot, _)| Some(candidates[*slot].engine) != request.last_failed_engine);
        }
        // Guards engines that tell nothing against the load of missing ones.
        if self.deployment.load_reporting == LoadReporting::None
            && request.shed_draw > self.shedding.admitted()
        {
            desirable.retain(|(slot, _)| candidates[*slot].warming_up);
        }
        let least = desirable.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1))?;
        let blind = self.many_fronts();
        // Guards a blind front against a fleet that stands still, whatever the cause: short memory, dead or
        // slow engines, overload. Each request has a lot; the more are slowed down, the fewer lots are let in.
        // Harm: where work is slow of itself, some is pushed back for nothing.
        self.slow_share.add(now, 0.0, 0.0);
        let strain = self.slow_share.sum / (self.slow_share.weight + 1.0);
        // What is little work relieves little by staying out.
        let mean = self.classes.iter().map(|r| r.work.mean()).sum::<f64>() / self.classes.len() as f64;
        let lot = request.shed_draw * (self.classes[request.class].work.mean() / mean).min(1.0);
        if blind && lot > (SHED_ALL_FROM - strain) / (SHED_ALL_FROM - SHED_NONE_UP_TO) {
            return None;
        }
        if now
            >= request.arrived_at + self.classes[request.class].config.deadline.mul_f64(FORCE_ADMISSION_AFTER)
        {
            return Some(candidates[least.0].engine);
        }
        let margin = if blind { PLACEMENT_MARGIN_MANY_FRONTS } else { PLACEMENT_MARGIN };
        desirable.retain(|(_, load)| *load <= least.1 + margin);
        // A blind front's turn at a cold engine is used or lost, wherever the order has it: guards against
        // engines that idle while they are cold, as those whose turn it is call others home.
        if blind {
            desirable.sort_by_key(|(slot, load)| !(candidates[*slot].warming_up && *load < ADMIT_ALL_UP_TO));
        }
        self.requests.entry(seq).and_modify(|b| b.admission_refused = true);
        let row = &self.classes[self.requests[&seq].class];
        // Guards against asks that cost more than they earn: requests of much work come first.
        let first = row.work.mean() > mean * LARGE_REQUEST_SHARE;
        let reserve =
            if first { 1.0 } else { (self.engines.len() as f64 / 3.0).clamp(1.0, MAX_PROBE_RESERVE) };
        // Guards against filling a fleet that begins to stand still, above all with requests of many threads.
        let adds = OWN_THREADS_WEIGHT
            + (OWN_THREADS_WEIGHT_OVERLOADED - OWN_THREADS_WEIGHT) * (strain / SHED_NONE_UP_TO).min(1.0);
        let (priority, adds, is_load) = (row.priority, adds * row.config.threads, row.config.bulk_load);
        let usual_load = self.usual_load(now);
        for (slot, load) in desirable {
            let id = candidates[slot].engine;
            if blind && self.probe_first(now, id, reserve) {
                self.requests.entry(seq).and_modify(|b| b.admission_refused = false);
                return None;
            }
            let Some(engine) = self.engines.at(slot) else { continue };
            let full = if engine.is_unpressured(now, self.max_report_age) {
                MEMORY_ADMIT_BELOW
            } else {
                MEMORY_ADMIT_BELOW_PRESSURED
            };
            if self.memory_share(engine) > full {
                continue;
            }
            let chance = if blind {
                let after = load + adds / self.deployment.cores(&engine.entry);
                let chance = (ADMIT_NONE_FROM_MANY_FRONTS - after)
                    / (ADMIT_NONE_FROM_MANY_FRONTS - ADMIT_ALL_UP_TO_MANY_FRONTS);
                // Guards against lines of loads where work stands still. Harm: truly idle engines get few.
                let idle = load / (SUSPICIOUSLY_IDLE * usual_load).max(f64::MIN_POSITIVE);
                if is_load { chance.min(1.0) * idle.powi(4).min(1.0) } else { chance }
            } else {
                (ADMIT_NONE_FROM - engine.contending_threads(priority) / engine.concurrency_limit)
                    / (ADMIT_NONE_FROM - 1.0)
            };
            if chance >= 1.0 || self.random.draw() < chance {
                return Some(id);
            }
        }
        None
    }

    /// Turns the difference between what is wanted and what is into actions. Nothing else does.
    fn reconcile(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.poll_now) {
            actions.push(Action::WatchEndpoints);
        }
        actions.extend(self.probes_due.drain(..).map(|engine| Action::Probe { engine }));
        if let Some(due) = self.timer_due.take().filter(|due| self.timer_at <= now || *due < self.timer_at) {
            self.timer_at = due.max(now + self.deployment.tick);
            actions.push(Action::SetTimer { at: self.timer_at });
        }
        for seq in std::mem::take(&mut self.changed) {
            let Some(request) = self.requests.get(&seq) else { continue };
            let begin_by = self.repeats_until(request).filter(|_| request.first_possible_run.is_some());
            let (come_back, kept_to) = (self.retry_after(request.class), self.subset_size());
            let Some(request) = self.requests.get_mut(&seq) else { continue };
            let (id, row) = (request.id.clone(), &self.classes[request.class]);
            let (wanted, over) = (request.desired, request.finished);
            let unwanted =
                |out: &&mut InFlight| !out.cancelled && (over || wanted != DesiredState::SentTo(out.engine));
            if let Some(out) = request.in_flight.as_mut().filter(unwanted) {
                out.cancelled = true;
                if self.deployment.capabilities.cancel {
                    actions.push(Action::Cancel { request: id.clone(), attempt: out.attempt });
                }
            }
            match request.desired {
                _ if over => {}
                DesiredState::SentTo(engine) if request.in_flight.is_none() => {
                    let priority = row.priority;
                    if std::mem::replace(&mut request.priority, priority) != priority {
                        actions.push(Action::SetPriority { request: id.clone(), priority, memory_mb: 0.0 });
                    }
                    let time_out = Duration::ZERO;
                    actions.push(Action::Send { request: id, engine, timeout: time_out, start_by: begin_by });
                    request.in_flight =
                        Some(InFlight { attempt: request.attempts, engine, sent_at: now, cancelled: false });
                    self.budget_retries.extend(
                        self.deployment
                            .safety_rules
                            .retry_budget
                            .filter(|_| request.attempts > 0)
                            .map(|_| now),
                    );
                    request.attempts += 1;
                    if let Some(engine) = self.engines.get_mut(&engine) {
                        self.candidate_cache.clear();
                        engine.count_attempt(request.class, row, request.table_group, true);
                        self.sent_requests += 1;
                        let clock = Duration::from_secs(self.sent_requests);
                        self.sent_work.time_constant = SENT_WORK_SPAN * kept_to;
                        let none = DecayingMean::new(self.sent_work.time_constant, 0.0);
                        engine.sent_work.get_or_insert(none).add(clock, row.work.mean(), 1.0);
                        self.sent_work.add(clock, row.work.mean(), 1.0);
                        let window = self.deployment.safety_rules.overload_window + self.deployment.tick;
                        engine.sent_while_warming_up.retain(|(at, _)| *at + window > now);
                        engine.sent_while_warming_up.push((now, row.work.mean()));
                    }
                    self.starvation_header.take_if(|(request, _)| *request == seq);
                }
                DesiredState::Rejected => {
                    actions.push(Action::Reject { request: id, retry_after: come_back });
                    self.close(seq);
                }
                DesiredState::Failed => {
                    actions.push(Action::Fail { request: id });
                    self.close(seq);
                }
                _ => {}
            }
        }
    }
}
