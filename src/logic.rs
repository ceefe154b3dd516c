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
use crate::orders::{Orders, Walk};
use crate::request::{Out, Request, Wanted, held};
use crate::statistics::{Chance, Fading, mix};
use lemonusher_load_shedding::LoadShedding;
use lemonusher_subset::{Member, Place, Subset, size, subset};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

// The mechanism's figures.
const GATE_MARK: f64 = 1.0; // Threads per core under which an engine takes whatever it is offered.
const GATE_END: f64 = 3.0; // At this multiple of the mark the chance of being let in has fallen to nothing.
const MARGIN: f64 = 0.8; // Threads per core by which home may exceed the least loaded engine.
const HEADER_AFTER: f64 = 0.1; // Held for this share of the longest deadline, the oldest is the header.
const FORCED_AFTER: f64 = 1.0 / 3.0; // Past this share of its deadline a request passes the gate.
const REDRAW_AFTER: f64 = 0.05; // A refused draw is repeated after this share of the latency objective.

// Figures of the departures.
const SHARES: [f64; 4] = [1.0, 4.0, 8.0, 16.0]; // How priorities share short cores and disks.
/// Share of what rule 4 would allow on the stated cores that all fronts together may send to a cold engine:
/// it may be slower than others, and counts as full before all of its cores are busy.
const COLD_SHARE: f64 = 0.6;
const TURN: f64 = 0.25; // How long a turn is open, as a part of the time in which engines fall, and the work,
const COLD_SMALL: f64 = 0.05; // as a part of all that an engine bears, up to which requests go by turns.
const TRANSIT: f64 = 0.25; // Of the time in which repeats are dropped, at most so much is left for the way.
const WORK_GUESS: f64 = 0.5; // Until answers tell: work is this share of latency objective times threads.
const MEMORY: f64 = 1.0; // The memory of all decaying sums, in longest deadlines.
const REST: f64 = 2.0; // Connect time-outs that an engine rests after a failure, doubled with each further.
const MOST_STRIKES: u32 = 5;
const BLIND_STRIKES: u32 = 3; // What a failure counts for at a blind front, which comes by but seldom.
const PROBES_PER_REQUEST: f64 = 0.2; // Probes for each request taken, on the round,
const ASKS_PER_REQUEST: f64 = 1.2; // and to ask before sending, of which all may cost so large a share
const ASKS_COST: f64 = 0.0135; // of the priority weight asked for.
const BIG: f64 = 0.7; // Of the mean work of all request classes: requests of more may spend every ask,
const KEPT: f64 = 8.0; // others leave so many, or a third as many as there are engines.
const BLIND: f64 = 16.0; // With more fronts than this, a front's own counters say little of an engine.
const BLIND_MARGIN: f64 = 2.0; // Margin, mark and end of the gate of a blind front, and what its own threads
const SUBSET_AGE: f64 = 0.2; // The subset is worked out anew after this share of the shortest goal.
const SENT_MEMORY: f64 = 2.0; // What engines were sent fades with so many requests an engine.
const BLIND_MARK: f64 = 2.0; // count for; in threads per core as reported.
const BLIND_END: f64 = 2.8;
const ADDS: f64 = 1.25; // (as long as nothing is slowed down,
const ADDS_STRAINED: f64 = 2.5; // and from the strain on where lots begin to tell).
const FULL_LOAD: f64 = 4.0; // An engine that turns work away counts as loaded by so many ends of the gate,
const MOST_LOAD: f64 = 6.0; // and no sign of congestion counts for more than so many.
const UNHEARD: f64 = 5.0; // Reports whose weight pulls the usual load back to the mark as those heard fade.
const SUSPECT: f64 = 0.6; // Share of the usual load under which an engine may stand still, with idle cores.
const OVERDUE: f64 = 3.5; // Out for so many times its work, a request counts as slowed down.
const STRAIN_MARK: f64 = 0.1; // Share of a blind front's requests slowed down up to which all are let in,
const STRAIN_END: f64 = 0.5; // and from which none is.
const HELD: f64 = 0.4; // Threads per core that a blind front adds where reports count requests, not threads.
const SURE_AFTER: f64 = 10.0; // Arrivals before which a table group's part of the traffic is not believed.
const ASK_AFTER: f64 = 0.4; // A blind front asks once a report is older than this share of the shortest goal.
const REPORT_AGE: f64 = 0.15; // Older than this share of the longest deadline, a report is not used.
const FAR_BEHIND: f64 = 6.0; // An attempt that needs so many usual spans from here is tried elsewhere.
const MOST_MOVES: u32 = 3; // An attempt of this number stays: the request is truly large.
const PRESSED: f64 = 0.4; // A return after this share of its latency objective shows pressure on its engine.
const SHRINK: f64 = 0.6; // What pressure leaves of an engine's pool,
const SHRINK_GAP: f64 = 0.5; // at most once in this share of the shortest latency objective.
const GROW: f64 = 0.5; // Threads by which a pool grows for each pool's worth of good returns.
const SPARE: f64 = 3.0; // What comes again is held only if so many usual spans are left until its goal,
const STRAIN_AGAIN: f64 = 0.2; // and only up to this strain.
const START_BY: f64 = 0.25; // The share of its latency objective that a request is given to be dispatched in.
const MEMORY_FULL: f64 = 0.55; // Share of an engine's memory that all may need for one more to be let in,
const MEMORY_PRESSED: f64 = 0.4; // and while this front feels pressure there.
const GRANTED: f64 = 0.36; // The part of granted memory that requests need.
const FAR_PART: f64 = 0.5; // The part of the order, from its far end, over which the fronts' loads begin.
const ALIKE: f64 = 0.005; // Patience is alike within this share of the deadline,
const AGAINST: f64 = 0.25; // and each that is not counts so much against it.
const HURRY: f64 = 0.25; // Patience under this share of the deadline is that of a first try in a hurry.
const ON_CORES: f64 = 0.3; // The part of its time that a running thread spends on cores.
const SATURATED: f64 = 0.9; // Above this share of busy cores a report no longer tells how many threads run.
const COME_BACK: f64 = 0.5; // Advice on when to come back, as a share of the latency objective.

impl RequestClass {
    /// After how many seconds a request of so much work counts as slowed down.
    fn overdue(&self, work: f64) -> f64 {
        work / self.terms.threads.max(1.0) * OVERDUE
    }

    /// How far the latency objective lies after arrival, for so much work; all in seconds.
    fn goal(&self, work: f64) -> f64 {
        self.terms.latency_objective.as_secs_f64()
            + self.terms.objective_work_factor * work / self.terms.threads.max(1.0)
    }
}

impl Engine {
    /// Moves the mark by the pressure that this front's own requests feel: from other fronts, other programs,
    /// slow cores or short memory alike. Harm: requests slow of their own shrink it for a while.
    fn feel(&mut self, now: Duration, pressed: bool, threads: f64, gap: Duration, most: f64) {
        if pressed && now >= self.shrunk + gap {
            self.pool = (self.pool * SHRINK).max(0.5);
            self.shrunk = now;
        } else if !pressed && self.threads + threads > self.pool {
            self.pool = (self.pool + GROW * threads / self.pool).min(most);
        }
    }

    /// Whether this front has felt no pressure there for a while.
    fn calm(&self, now: Duration, report_age: Duration) -> bool {
        now >= self.shrunk + report_age
    }

    /// This front's threads there as a request of a priority feels them: lower ones by their share of cores.
    fn felt(&self, priority: u8) -> f64 {
        let own = SHARES[usize::from(priority)];
        self.ranked.iter().zip(SHARES).map(|(threads, share)| threads * (share / own).min(1.0)).sum()
    }
}

/// One front's decisions.
#[derive(Default)]
pub struct Gateway {
    stated: Deployment,
    rows: Vec<RequestClass>,
    chance: Chance,
    engines: EngineTable<Engine>,
    orders: Orders,
    candidates: BTreeMap<usize, Arc<[Candidate]>>, // By request class and slot, in this scan.
    requests: BTreeMap<u64, Request>,
    ids: BTreeMap<RequestId, u64>,
    next: u64,
    lanes: BTreeMap<u64, (VecDeque<u64>, Duration)>, // By key: requests as taken, and when the next may go.
    header: Option<(u64, EngineId)>,                 // The request, and the engine that it is tied to.
    touched: BTreeSet<u64>,
    finished: bool, // An attempt has ended since the last scan: what no gate has refused is looked at again.
    armed: Duration,
    due: Option<Duration>, // Wanted besides: the next wake-up, probes, and word from discovery.
    probes: Vec<EngineId>,
    ask: bool,
    multiple: Fading,   // What all fronts together run, as a multiple of this front's.
    usual_load: Fading, // Threads per core that engines usually report.
    width: Fading, // Threads of a request, by the time that requests are out: what is held is mostly long.
    strain: Fading, // How slowed down this front's requests are, all engines together.
    asked_of: BTreeMap<u64, Fading>, // Arrivals by table group, and all.
    asked: Fading,
    sent: Fading, // Work sent to all engines, in seconds, fading with each request sent: by traffic,
    sent_requests: u64, // of which there were so many.
    subsets: Vec<Subset>, // By request class, the engines that a blind front keeps to.
    subsets_until: Duration,
    shedding: LoadShedding,
    mean_cores: f64, // Of all engines.
    probe_credit: f64,
    arrivals: Vec<Duration>, // Arrivals and retries within the budget's span.
    further: Vec<Duration>,
    ask_at: Option<Duration>,
    began: Option<Duration>, // When it first heard anything: what it did before a restart is forgotten.
    share: Option<f64>, // This front's part of what all may send to a cold engine, where fronts agree on it.
    closing: Option<Duration>, // Told to end: by then all is answered, however far its deadline lies.
    longest: Duration,  // Of the deadlines.
    shortest: Duration, // Of the latency objectives.
    report_age: Duration, // Older than this, a report is not used.
}

impl Gateway {
    pub fn new(stated: Deployment, seed: u64) -> Self {
        let longest = stated.request_classes.iter().map(|t| t.deadline).max().unwrap_or_default();
        let memory = (longest.as_secs_f64() * MEMORY).max(1.0);
        let goals: BTreeSet<Duration> = stated.request_classes.iter().map(|t| t.latency_objective).collect();
        let rows = (stated.request_classes.iter())
            .map(|terms| {
                let goal = terms.latency_objective.as_secs_f64();
                // The shorter the latency objective, the larger the share of short cores. A load goes with the
                // shortest: until it ends, all that reads its group there stands still.
                let rank = goals.iter().filter(|g| **g < terms.latency_objective && !terms.bulk_load).count();
                let priority = if stated.priorities { 3u8.saturating_sub(rank as u8) } else { 1 };
                RequestClass {
                    terms: terms.clone(),
                    priority,
                    work: Fading::new(memory, goal * terms.threads * WORK_GUESS),
                    log_span: Fading::new(memory, (goal * WORK_GUESS).max(1e-3).ln()),
                    memory: Fading::new(memory, 0.0),
                    patience: (Duration::ZERO, 0.0),
                }
            })
            .collect();
        let ask_at = (stated.discovery == Discovery::Polled).then_some(Duration::ZERO);
        Gateway {
            rows,
            chance: Chance::new(seed),
            armed: Duration::MAX,
            multiple: Fading::new(memory, f64::from(stated.fronts.max(1))),
            shedding: LoadShedding::new(longest),
            usual_load: Fading::new(memory * REPORT_AGE, 0.0),
            width: Fading::new(memory, 1.0),
            strain: Fading::new(memory * REPORT_AGE, 1.0),
            asked: Fading::new(memory, 0.0),
            sent: Fading::new(memory, 0.0),
            shortest: goals.first().copied().unwrap_or_default(),
            ask_at,
            report_age: longest.mul_f64(REPORT_AGE),
            longest,
            stated,
            ..Gateway::default()
        }
    }

    /// Takes note of one event.
    pub fn handle_event(&mut self, now: Duration, event: Event) {
        self.began.get_or_insert(now);
        match event {
            Event::Endpoints(kind, entries) => self.hear_roster(kind, entries),
            Event::DiscoveryUnavailable => {
                // Asked again well within the span after which we would count as told.
                let wait =
                    self.stated.safety_rules.discovery_poll_deadline.mul_f64(0.1 + 0.1 * self.chance.draw());
                self.ask_at = Some(now + wait);
            }
            Event::Arrived(arrival) => self.hear_arrival(now, arrival),
            Event::ResponseStarted(id) => {
                if let Some(request) = self.ids.get(&id).and_then(|seq| self.requests.get_mut(seq)) {
                    request.limit = Duration::MAX; // From here on it is the client's.
                }
            }
            Event::Progress { request, attempt, progress: note, .. } => {
                self.hear_note(now, &request, attempt, note)
            }
            Event::AttemptEnded(ending) => self.hear_ending(now, ending),
            Event::ClientGone(id) => {
                if let Some(&seq) = self.ids.get(&id) {
                    self.close(seq);
                    self.touched.insert(seq); // What is out of it does work for nobody.
                }
            }
            Event::ProbeEnded { engine, answered: true, elapsed: after, load } => {
                self.finished = true;
                self.hear_load(now, engine, load, Some(after));
            }
            Event::ProbeEnded { engine, .. } => self.strike(now, engine),
            Event::Quota(part) => self.share = Some(part.clamp(0.0, 1.0)),
            Event::ShuttingDown { deadline: by } => self.closing = Some(by),
            Event::PeerMessage { .. } | Event::TimerFired => {}
        }
    }

    fn hear_roster(&mut self, kind: EndpointUpdateKind, entries: Vec<EngineEntry>) {
        let before: Vec<EngineId> = self.engines.ids().collect();
        if kind != EndpointUpdateKind::Delta {
            for engine in self.engines.values_mut() {
                engine.entry.state = EngineState::Removed;
            }
        }
        for entry in entries {
            let pool = self.stated.cores(&entry) * GATE_MARK / f64::from(self.stated.fronts.max(1));
            let (rows, quickest) = (vec![0; self.rows.len()], Duration::MAX);
            let fresh = Engine { pool, rows, quickest, ..Engine::default() };
            let engine = self.engines.get_or_insert(entry.engine, fresh);
            if entry.started_at > engine.entry.started_at {
                (engine.strikes, engine.rests_until, engine.report) = (0, Duration::ZERO, None);
                engine.congestion = None;
                engine.foreign.clear();
                // What went there between its start and the word of it counts like all else.
                engine.sent.retain(|(at, _)| *at >= entry.started_at);
            }
            engine.entry = entry;
        }
        self.engines.retain(|e| e.entry.state == EngineState::Active || e.out > 0);
        self.subsets_until = Duration::ZERO;
        if !self.engines.ids().eq(before) {
            self.orders.clear();
        }
        let all = self.engines.values().map(|e| self.stated.cores(&e.entry)).sum::<f64>();
        self.mean_cores = (all / self.engines.len().max(1) as f64).max(1.0);
    }

    fn hear_arrival(&mut self, now: Duration, arrival: Arrival) {
        if self.rows.is_empty() {
            return;
        }
        self.arrivals.extend(self.stated.safety_rules.retry_budget.map(|_| now));
        let credit = if self.blind() { self.asks() } else { PROBES_PER_REQUEST };
        self.probe_credit = (self.probe_credit + credit).min(self.engines.len() as f64);
        let row = arrival.request_class.min(self.rows.len().saturating_sub(1));
        let seq = self.next;
        self.next += 1;
        let key = arrival.key.filter(|_| self.rows[row].terms.ordered);
        if let Some(key) = key {
            self.lanes.entry(key).or_default().0.push_back(seq);
        }
        self.ids.insert(arrival.request.clone(), seq);
        self.shedding.arrived();
        self.asked.add(now, 1.0, 1.0);
        let none = Fading::new(self.asked.memory, 0.0);
        self.asked_of.entry(arrival.table_group).or_insert(none).add(now, 1.0, 1.0);
        self.asked_of.retain(|_, asked| asked.at + self.longest > now);
        // Guards against serving repeats that come too late to count: a client that gives a try less time
        // than others asked before. Unmarked, they differ from what a vote finds first tries come with.
        let (limit, usual) = (self.rows[row].terms.deadline, &mut self.rows[row].patience);
        let alike = usual.0.abs_diff(arrival.client_timeout) < limit.mul_f64(ALIKE);
        usual.1 += if alike { 1.0 } else { -AGAINST };
        if usual.1 <= 0.0 {
            *usual = (arrival.client_timeout, 1.0);
        }
        let repeat = if self.stated.retries_marked {
            arrival.client_retry
        } else {
            usual.0.abs_diff(arrival.client_timeout) >= limit.mul_f64(ALIKE)
        };
        // Very little patience is no repeat's, but that of a first try in a hurry.
        let age = if repeat && arrival.client_timeout > limit.mul_f64(HURRY) {
            limit.saturating_sub(arrival.client_timeout)
        } else {
            Duration::ZERO
        };
        let request = Request {
            asked: now.saturating_sub(age),
            id: arrival.request,
            row,
            tables: arrival.table_group,
            key,
            taken: now,
            ended: now,
            limit: now + arrival.client_timeout,
            priority: 1,
            next_draw: now,
            lot: self.chance.draw(),
            ..Request::default()
        };
        self.requests.insert(seq, request);
    }

    fn hear_load(&mut self, now: Duration, id: EngineId, load: Option<LoadReport>, probe: Option<Duration>) {
        if let (Some(engine), Some(load)) = (self.engines.get_mut(&id), load) {
            if let Some(busy) = load.cores_busy {
                self.usual_load.add(now, (busy / ON_CORES).min(BLIND_END), 1.0);
                // How many times this front's threads the engines bear, learned while reports can tell it.
                if engine.calm(now, self.report_age) && busy < SATURATED {
                    let all = busy * self.stated.cores(&engine.entry);
                    self.multiple.add(now, all, engine.threads * ON_CORES);
                }
            }
            if let (None, Some(held)) = (load.cores_busy, load.in_flight) {
                let threads = held * self.width.mean();
                let threads_per_core = threads / self.stated.cores(&engine.entry);
                self.usual_load.add(now, threads_per_core.min(BLIND_END), 1.0);
            }
            let (threads, out) = (engine.threads, engine.out);
            engine.heard = now;
            engine.quickest = probe.map_or(engine.quickest, |after| engine.quickest.min(after));
            let drag =
                probe.map_or(1.0, |after| after.as_secs_f64() / engine.quickest.as_secs_f64().max(1e-6));
            engine.report = Some(Report { at: now, load, threads, out, drag });
            engine.congestion = None;
            let threads_per_core = self.threads_per_core(now, &self.engines[&id], &self.fleet_means(now));
            self.note_congestion(now, id, threads_per_core, true);
        }
    }

    /// Notes a sign of how much an engine has to do; one of less is passed over until that of more has faded.
    fn note_congestion(&mut self, now: Duration, id: EngineId, threads_per_core: f64, told: bool) {
        let threads_per_core = threads_per_core.min(MOST_LOAD * BLIND_END);
        let known = self.engines.get(&id).map_or(f64::MAX, |engine| self.congestion(now, engine));
        if threads_per_core > known
            && let Some(engine) = self.engines.get_mut(&id)
        {
            engine.congestion = Some(Congestion { at: now, threads_per_core, told });
        }
    }

    /// Threads per core by the last sign of congestion, fading to none. Guards a blind front, which comes by
    /// an engine once in seconds, against feeding one that stands still because all feed it. One try of the
    /// smallest work by each front within the time of fading is no more than the engine's cores can do. Harm:
    /// an engine that is well again idles until then.
    fn congestion(&self, now: Duration, engine: &Engine) -> f64 {
        let smallest = self.rows.iter().map(|row| row.work.mean()).fold(f64::MAX, f64::min);
        let fades_in = f64::from(self.stated.fronts) * smallest / self.stated.cores(&engine.entry);
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
            self.note_congestion(now, id, times * BLIND_END, true);
        } else if !reported && let Some(engine) = self.engines.get_mut(&id) {
            engine.congestion = None;
        }
    }

    /// Guards against an engine that is dead, cut off, draining or out of connections, whatever the cause: it
    /// rests, longer with each strike, and one answer heals it. Harm: a passing fault costs one rest.
    fn strike(&mut self, now: Duration, engine: EngineId) {
        let blind = self.blind();
        if let Some(engine) = self.engines.get_mut(&engine).filter(|e| e.rests_until <= now) {
            engine.strikes = (engine.strikes + if blind { BLIND_STRIKES } else { 1 }).min(MOST_STRIKES);
            let rest = REST * f64::from(1 << (engine.strikes - 1));
            engine.rests_until = now + self.stated.capabilities.connect_timeout.mul_f64(rest);
        }
    }

    fn hear_note(&mut self, now: Duration, id: &RequestId, attempt: u32, note: AttemptProgress) {
        let Some(&seq) = self.ids.get(id) else { return };
        let Some(request) = self.requests.get_mut(&seq) else { return };
        let current = |out: &&Out| out.number == attempt && !out.cancelled;
        let Some(out) = request.out.as_ref().filter(current) else { return };
        let (age, engine) = (now.saturating_sub(out.at).as_secs_f64(), out.engine);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.heard = now;
        }
        let row = &self.rows[request.row];
        match note {
            AttemptProgress::WaitingForBulkLoad => {
                // Another front's load holds the group there: a conflict just like one of our own.
                let own = self.engines.get(&engine).is_some_and(|e| e.loads.contains_key(&request.tables));
                if let Some(engine) = self.engines.get_mut(&engine).filter(|_| !own) {
                    engine.foreign.insert(request.tables, now + self.stated.progress_interval);
                }
                if !row.terms.bulk_load {
                    self.move_on(seq);
                }
            }
            AttemptProgress::Done(share) => {
                // Guards against bad plans, slow engines and work that stands still: an attempt far behind
                // what is usual goes elsewhere; behind thrice, it is large. Harm: work so far is lost.
                let total = age / share.clamp(1e-3, 1.0);
                let rest = Duration::from_secs_f64((total - age).min(1e6));
                if total - age > FAR_BEHIND * row.log_span.mean().exp() {
                    // Guards against work for nobody: what was moved and will not end while its client waits.
                    let hopeless = now + rest > request.limit && request.limit != Duration::MAX;
                    if request.sent > 1 && hopeless && row.terms.idempotency == Idempotency::Idempotent {
                        self.give_up(now, seq);
                    } else if request.sent < MOST_MOVES {
                        self.move_on(seq);
                    }
                }
            }
            AttemptProgress::Spilling(_) | AttemptProgress::WaitingForMemory => {}
        }
    }

    /// Wants a request tried elsewhere, if it may be sent again.
    fn move_on(&mut self, seq: u64) {
        let Some(request) = self.requests.get_mut(&seq).filter(|b| b.limit != Duration::MAX && !b.over)
        else {
            return;
        };
        let permits = &self.stated.capabilities;
        let once_only = self.rows[request.row].terms.idempotency == Idempotency::NonIdempotent;
        if permits.cancel && !once_only && request.sent < permits.max_attempts.max(1) {
            request.wanted = Wanted::Held;
            self.touched.insert(seq);
        }
    }

    fn hear_ending(&mut self, now: Duration, ending: AttemptEnd) {
        self.hear_load(now, ending.engine, ending.load, None);
        let outcome = ending.outcome;
        // Guards against filling a fleet up to its brim again and again, where all that it holds ends too
        // late and nothing returns that could tell: what is turned away tells. Harm: so does one full engine.
        if outcome == AttemptOutcome::Rejected && self.blind() {
            self.strain.add(now, 1.0, 1.0);
            self.note_congestion(now, ending.engine, FULL_LOAD * BLIND_END, true);
        }
        if matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::Rejected)
        {
            self.strike(now, ending.engine);
        } else if let Some(engine) = self.engines.get_mut(&ending.engine)
            && outcome == AttemptOutcome::Returned
        {
            (engine.strikes, engine.rests_until, engine.heard) = (0, Duration::ZERO, now);
        }
        let Some(&seq) = self.ids.get(&ending.request) else { return };
        let Some(request) = self.requests.get_mut(&seq) else { return };
        let mut slowdown = None;
        if request.out.as_ref().is_some_and(|out| out.number == ending.attempt) {
            request.out = None;
            self.finished = true;
            let row = &mut self.rows[request.row];
            let span = ending.elapsed.as_secs_f64();
            let work = ending.usage.map(|c| c.work.as_secs_f64());
            if let Some(engine) = self.engines.get_mut(&ending.engine) {
                engine.count_attempt(request.row, row, request.tables, false);
                if outcome == AttemptOutcome::Returned {
                    let pressed = span > row.goal(work.unwrap_or(row.work.mean())) * PRESSED;
                    let most = self.stated.cores(&engine.entry) * GATE_MARK * GATE_END;
                    engine.feel(now, pressed, row.terms.threads, self.shortest.mul_f64(SHRINK_GAP), most);
                }
            }
            if outcome == AttemptOutcome::Returned {
                let (memory, told) = ending.usage.map_or((0.0, 0.0), |c| (c.memory_mb, 1.0));
                row.memory.add(now, memory, told);
                slowdown = work.map(|work| span / row.overdue(work.max(1e-3)));
                if !request.overdue {
                    let slowed = slowdown.is_some_and(|times| times > 1.0);
                    self.strain.add(now, f64::from(u8::from(slowed)), 1.0);
                }
                self.width.add(now, span * row.terms.threads, span);
                row.log_span.add(now, span.max(1e-3).ln(), 1.0);
                row.work.add(now, work.unwrap_or(span * row.terms.threads), 1.0);
            }
            if outcome == AttemptOutcome::TimedOut {
                slowdown = Some(span / row.overdue(row.work.mean()));
            }
            if !outcome.never_ran() && request.may_have_run.is_none() {
                request.may_have_run = Some((now.saturating_sub(ending.elapsed), ending.engine));
            }
            if let Some(lane) = request.key.and_then(|key| self.lanes.get_mut(&key))
                && matches!(
                    outcome,
                    AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled
                )
            {
                lane.1 = lane.1.max(now + self.stated.safety_rules.unknown_outcome_delay);
            }
            (request.avoid, request.next_draw, request.ended) = (Some(ending.engine), now, now);
            (request.overdue, request.refused) = (false, false);
            if request.wanted == Wanted::Out(ending.engine) {
                request.wanted = Wanted::Held;
            }
        }
        if let Some(times) = slowdown {
            self.note_slowdown(now, ending.engine, times, ending.load.is_some());
        }
        if ending.request_finished || outcome == AttemptOutcome::Returned {
            self.close(seq);
        } else if self.requests.get(&seq).is_some_and(|b| b.over) {
            self.forget(seq);
        } else {
            self.settle_failure(now, seq);
        }
    }

    /// An attempt ended without an answer: held for another, or given up at once.
    fn settle_failure(&mut self, now: Duration, seq: u64) {
        let Some(request) = self.requests.get(&seq) else { return };
        let once_only = self.rows[request.row].terms.idempotency == Idempotency::NonIdempotent
            && request.may_have_run.is_some();
        let barred = once_only || self.repeats_until(request).is_some_and(|until| now >= until);
        let spent = barred || request.sent >= self.stated.capabilities.max_attempts.max(1);
        if spent && request.out.is_none() && request.wanted == Wanted::Held {
            self.give_up(now, seq);
        }
    }

    /// Until when repeats of a referenced request that may have run are dropped for sure: what is sent close to
    /// the end of that time may arrive after it.
    fn repeats_until(&self, request: &Request) -> Option<Duration> {
        let Idempotency::IdempotencyKeyed { retention: remembered, .. } =
            self.rows[request.row].terms.idempotency
        else {
            return None;
        };
        let first = request.may_have_run.map(|(at, _)| at).or(request.out.as_ref().map(|out| out.at))?;
        let way = self.stated.capabilities.connect_timeout.min(remembered.mul_f64(TRANSIT));
        Some(first + remembered - way)
    }

    fn come_back(&self, row: usize) -> Option<Duration> {
        let permits = &self.stated.capabilities;
        let wait = self.rows[row].terms.latency_objective.mul_f64(COME_BACK).min(permits.max_retry_after);
        permits.retry_after.then_some(wait)
    }

    /// The final answer that the rules allow: pushed back where trying again is safe.
    fn give_up(&mut self, now: Duration, seq: u64) {
        let Some(request) = self.requests.get(&seq) else { return };
        let ran = request.may_have_run.is_some() || request.out.is_some();
        // Who is told that trying again is safe may come as late as told: repeats have to be dropped then.
        let again = now + self.come_back(request.row).unwrap_or_default();
        let dropped = self.repeats_until(request).is_none_or(|until| again < until);
        let safe = match self.rows[request.row].terms.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !ran,
            Idempotency::IdempotencyKeyed { scope: reach, .. } => {
                !ran || (reach == DeduplicationScope::Everywhere && dropped)
            }
        };
        let wanted = if safe { Wanted::PushedBack } else { Wanted::Errored };
        self.requests.entry(seq).and_modify(|request| request.wanted = wanted);
        self.touched.insert(seq);
    }

    /// The request has its final answer; it stays known while an attempt is out.
    fn close(&mut self, seq: u64) {
        if let Some(request) = self.requests.get_mut(&seq) {
            request.over = true;
            if request.out.is_none() {
                self.forget(seq);
            }
        }
        self.header.take_if(|(request, _)| *request == seq);
    }

    fn forget(&mut self, seq: u64) {
        let Some(request) = self.requests.remove(&seq) else { return };
        self.ids.remove(&request.id);
        if let Some(lane) = request.key.and_then(|key| self.lanes.get_mut(&key)) {
            lane.0.retain(|other| *other != seq);
        }
    }

    /// Settles what is wanted and yields the actions towards it.
    pub fn decide(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.ask = self.ask_at.take_if(|at| *at <= now).is_some();
        let mut due = self.ask_at.unwrap_or(Duration::MAX).min(self.review(now));
        self.probe(now);
        self.keep_to_subsets(now);
        due = due.min(self.scan(now, &mut actions));
        self.due = Some(due).filter(|due| *due != Duration::MAX);
        self.reconcile(now, &mut actions);
        actions
    }

    /// Gives up what can no longer be answered, or no longer in time to be worth much.
    fn review(&mut self, now: Duration) -> Duration {
        let margin = self.stated.tick * 2;
        let mut due = Duration::MAX;
        let strain = self.strain.sum / (self.strain.weight + 1.0);
        let sees = self.blind() && self.may_ask() && strain < STRAIN_AGAIN;
        let (mut lost, mut late) = (Vec::new(), Vec::new());
        for (&seq, request) in &self.requests {
            if request.over {
                continue;
            }
            let row = &self.rows[request.row];
            let mut last = request.limit.min(self.closing.unwrap_or(Duration::MAX)).saturating_sub(margin);
            if request.out.is_none() {
                // Guards against queues of what is too late; what waits its turn by key has all of the goal.
                let share = if request.key.is_some() { 1.0 } else { START_BY };
                let goal = request.asked + Duration::from_secs_f64(row.goal(row.work.mean()));
                let start = request.asked + goal.saturating_sub(request.asked).mul_f64(share);
                // What was moved counts from then on, or moving would only ever push back.
                let rest = goal.saturating_sub(request.ended);
                let again = request.sent > 0 || request.asked < request.taken;
                let moved = again && sees && rest.as_secs_f64() > SPARE * row.log_span.mean().exp();
                last = last.min(if moved { start.max(request.ended + rest.mul_f64(share)) } else { start });
                last = last.min(self.repeats_until(request).unwrap_or(Duration::MAX));
            }
            let overdue = Duration::from_secs_f64(row.overdue(row.work.mean()));
            // What says nothing at all is cut off or dead, which tells nothing of the others.
            let alive = |out: &Out| self.engines.get(&out.engine).is_some_and(|e| e.heard > out.at);
            if let Some(out) = request.out.as_ref().filter(|out| !request.overdue && now > out.at + overdue) {
                late.push((seq, out.engine, alive(out)));
            }
            if last <= now {
                lost.push(seq);
            } else {
                due = due.min(last);
            }
        }
        for (seq, engine, alive) in late {
            self.note_congestion(now, engine, BLIND_END, alive);
            if alive {
                self.strain.add(now, 1.0, 1.0);
                self.requests.entry(seq).and_modify(|b| b.overdue = true);
            }
        }
        for seq in lost {
            self.give_up(now, seq);
        }
        due
    }

    fn probe(&mut self, now: Duration) {
        if !self.stated.capabilities.probes
            || self.stated.load_reporting != LoadReporting::WithProbes
            || self.blind()
        {
            return;
        }
        while self.probe_credit >= 1.0 {
            let gap = self.stated.capabilities.connect_timeout;
            let stalest = (self.engines.values_mut())
                .filter(|e| e.entry.state == EngineState::Active && e.probed + gap <= now)
                .min_by_key(|e| e.probed);
            let Some(engine) = stalest else { return };
            engine.probed = now;
            self.probe_credit -= 1.0;
            self.probes.push(engine.entry.engine);
        }
    }

    /// Whether this front runs so little of all that its own counters say nothing of an engine.
    fn blind(&self) -> bool {
        f64::from(self.stated.fronts) > BLIND
    }

    fn may_ask(&self) -> bool {
        self.stated.capabilities.probes && self.stated.load_reporting == LoadReporting::WithProbes
    }

    /// How many asks a request a blind front may spend.
    fn asks(&self) -> f64 {
        ASKS_PER_REQUEST.min(ASKS_COST / self.stated.probe_cost.max(f64::MIN_POSITIVE))
    }

    /// Guards a blind front against sending to an engine that others have filled: it wants to hear from it
    /// before a request goes there. False if what is known must do. Harm: a probe's price, and a tick or two.
    fn ask_first(&mut self, now: Duration, id: EngineId, reserve: f64) -> bool {
        let probed = self.may_ask();
        let Some(engine) = self.engines.get_mut(&id).filter(|_| probed) else { return false };
        let fresh = engine.report.as_ref().is_some_and(|r| r.at + self.shortest.mul_f64(ASK_AFTER) > now);
        let asked = engine.probed + self.stated.capabilities.connect_timeout > now;
        if fresh || asked || self.probe_credit < reserve {
            return !fresh && asked && engine.report.as_ref().is_none_or(|r| r.at < engine.probed);
        }
        self.probe_credit -= 1.0;
        engine.probed = now;
        self.probes.push(id);
        true
    }

    /// One pass over the held requests, oldest first.
    fn scan(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        let finished = std::mem::take(&mut self.finished);
        self.candidates.clear();
        self.lanes.retain(|_, (lane, free)| !lane.is_empty() || *free > now);
        let waiting: Vec<u64> = self.requests.iter().filter(|(_, b)| held(b)).map(|(&s, _)| s).collect();
        if let Some(&oldest) = waiting.first().filter(|_| self.header.is_none()) {
            let request = &self.requests[&oldest];
            if now >= request.taken + self.longest.mul_f64(HEADER_AFTER) {
                self.header = self.tie(now, oldest);
            }
        }
        for seq in waiting {
            let request = &self.requests[&seq];
            let in_turn = (request.key.and_then(|key| self.lanes.get(&key)))
                .is_none_or(|(lane, free)| lane.front() == Some(&seq) && *free <= now);
            let drawn = request.next_draw <= now || (finished && !request.refused);
            let redraw = now + self.rows[request.row].terms.latency_objective.mul_f64(REDRAW_AFTER);
            if !in_turn || !drawn || (request.sent > 0 && !self.budget_left(now)) {
                continue;
            }
            let chosen = self.choose(now, seq);
            self.requests.entry(seq).and_modify(|request| match chosen {
                Some(engine) => request.wanted = Wanted::Out(engine),
                None => request.next_draw = redraw,
            });
            if chosen.is_some() {
                self.touched.insert(seq);
                self.reconcile(now, actions);
            }
        }
        let held = self.requests.values().filter(|b| held(b));
        held.map(|b| b.next_draw.max(now + self.stated.tick)).min().unwrap_or(Duration::MAX)
    }

    /// Rule 7, kept for a tick more than the span asks.
    fn budget_left(&mut self, now: Duration) -> bool {
        let Some(budget) = self.stated.safety_rules.retry_budget else { return true };
        self.arrivals.retain(|at| *at + budget.window > now + self.stated.tick);
        self.further.retain(|at| *at + budget.window + self.stated.tick >= now);
        (self.further.len() + 1) as f64
            <= budget.free_retries + budget.retry_ratio * self.arrivals.len() as f64
    }

    /// Ties the header to its first desirable engine, or to the first that it may use at all.
    fn tie(&mut self, now: Duration, seq: u64) -> Option<(u64, EngineId)> {
        let walk = self.walk(seq);
        let request = &self.requests[&seq];
        let engines = walk.slots().filter_map(|slot| self.engines.at(slot));
        let mut usable = engines.filter(|engine| self.usable(now, request, engine)).peekable();
        let first = usable.peek().copied();
        let engine = usable.find(|engine| !self.conflicts(now, request, engine)).or(first)?;
        Some((seq, engine.entry.engine))
    }

    /// Whether nothing is sent there for now, after faults.
    pub fn is_ejected(&self, now: Duration, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|engine| engine.rests_until > now)
    }

    /// The engines in the order hashed from the request's table group, the same at every front.
    fn walk(&mut self, seq: u64) -> Walk {
        let request = &self.requests[&seq];
        let order = self.orders.of(request.tables, self.engines.ids());
        let (engines, number) = (order.len() as f64, self.stated.front_index as usize);
        // Loads walk the order from its far end, off the engines that the group's readers call home, and
        // each front begins at another engine, or loads of one group would all line up.
        if self.rows[request.row].terms.bulk_load {
            let far = (engines * FAR_PART).ceil() as usize;
            return Walk::new(order, true).turn(far, number);
        }
        if !self.blind() {
            return Walk::new(order, false);
        }
        // A group that draws more than one engine's part has several homes, shared out among the fronts.
        let asked = self.asked_of.get(&request.tables).map_or(0.0, |asked| asked.sum);
        let part = asked / (self.asked.sum + SURE_AFTER);
        let homes = (part * engines).ceil().min(engines) as usize;
        Walk::new(order, false).turn(homes, number)
    }

    /// Whether the rules and the engine's health let the request go there now.
    fn usable(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let entry = &engine.entry;
        let terms = &self.rows[request.row].terms;
        let placed = terms.allows(entry);
        let reached = match (terms.idempotency, request.may_have_run) {
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
        let rested = engine.rests_until <= now && (engine.strikes == 0 || engine.out == 0);
        let active = entry.state == EngineState::Active && !entry.blocks(request.row);
        let kept_to = self.keeps_to(now, request, engine);
        active && placed && reached && rested && kept_to && self.cold_room(now, request, engine)
    }

    /// Guards a blind front, which would meet each of all engines once in seconds, against stale beliefs, and
    /// engines that stand still against being fed by all. Harm: a table group is home in each subset.
    fn keep_to_subsets(&mut self, now: Duration) {
        let due = self.blind() && now >= self.subsets_until;
        let Some(fronts) = NonZeroU32::new(self.stated.fronts).filter(|_| due) else { return };
        self.subsets_until = now + self.shortest.mul_f64(SUBSET_AGE);
        let place = Place { number: self.stated.front_index, fronts };
        let of = |(row, class): (usize, &RequestClass)| {
            let may = |e: &&Engine| {
                let entry = &e.entry;
                let open = entry.state == EngineState::Active && !entry.blocks(row);
                open && class.terms.allows(entry) && !e.cold(now, self.stated.safety_rules.slow_start_window)
            };
            let member = |e: &Engine| {
                let rested = e.rests_until <= now && e.strikes == 0;
                let healthy = rested && self.congestion(now, e) < GATE_MARK;
                Member { engine: e.entry.engine, healthy }
            };
            let members: Vec<Member> = self.engines.values().filter(may).map(member).collect();
            subset(place, members.iter().copied(), size(members.len(), fronts))
        };
        self.subsets = self.rows.iter().enumerate().map(of).collect();
        let bears =
            |e: &Engine| e.strikes == 0 && !(e.congestion_was_told() && self.congestion(now, e) >= GATE_MARK);
        let kept = self.subsets.first().cloned().unwrap_or_default();
        let healthy = kept.share(|id| self.engines.get(&id).is_none_or(bears));
        let part = |e: &Engine| {
            if e.cold(now, self.stated.safety_rules.slow_start_window) {
                self.stated.safety_rules.slow_start_share
            } else {
                healthy
            }
        };
        let active = self.engines.values().filter(|e| e.entry.state == EngineState::Active);
        let capacity = active.map(|e| part(e) * self.stated.cores(&e.entry)).sum();
        self.shedding.observe(now, capacity);
    }

    /// Cold engines are shared out by turns, and what must stay near where it may have run has no choice.
    fn keeps_to(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let subset = self.subsets.get(request.row);
        subset.is_none_or(|subset| subset.contains(engine.entry.engine))
            || engine.cold(now, self.stated.safety_rules.slow_start_window)
            || self.repeats_until(request).is_some_and(|_| request.may_have_run.is_some())
    }

    /// How many engines this front spreads its requests over.
    fn kept_to(&self) -> f64 {
        let most = self.subsets.iter().map(Subset::len).max().filter(|most| *most > 0);
        most.unwrap_or(self.engines.len()).max(1) as f64
    }

    /// Guards against pushing over an engine that has just started (rule 4), from whatever cause: this
    /// front's share of the work that the engine is sure to bear in any window. Harm: it idles for a while.
    fn cold_room(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        if !engine.cold(now, self.stated.safety_rules.slow_start_window) {
            return true;
        }
        let (duties, started) = (&self.stated.safety_rules, engine.entry.started_at);
        let window = duties.overload_window + self.stated.tick;
        // A front that has started since may have sent all of its share before, and forgotten it.
        if self.began.is_some_and(|began| started < began && now < began + window) {
            return false;
        }
        let bears = duties.overload_factor
            * duties.slow_start_share
            * self.stated.cores(&engine.entry)
            * duties.overload_window.as_secs_f64();
        let fronts = f64::from(self.stated.fronts.max(1));
        let room = bears * COLD_SHARE * self.share.unwrap_or(1.0 / fronts);
        let recent = engine.sent.iter().filter(|(at, _)| *at + window > now);
        let sent: f64 = recent.map(|(_, work)| work).sum();
        let work = self.rows[request.row].work.mean();
        // Where that is less than a request, small ones go by turns, one a turn. They begin one after the other
        // at equal distances from the engine's start on: no chance is left in who has one. Those that begin
        // in a window, and those open when it begins, must together be what the engine bears.
        let small = || self.rows.iter().map(|row| row.work).filter(|work| work.mean() <= bears * COLD_SMALL);
        let mean = small().map(|work| work.sum).sum::<f64>() / small().map(|work| work.weight).sum::<f64>();
        if mean > room {
            let turns = (fronts * room / (1.0 + TURN) / mean).floor();
            let begun =
                now.saturating_sub(started).as_secs_f64() / duties.overload_window.as_secs_f64() * turns;
            let first = (mix(u64::from(engine.entry.engine)) % 0x1_0000_0000) as f64;
            let since = (begun - first - f64::from(self.stated.front_index)).rem_euclid(fronts);
            return since < TURN * turns && sent == 0.0 && work <= bears * COLD_SMALL;
        }
        sent + work <= room
    }

    /// The paper's test, on this front's running requests and on loads that notes have shown.
    fn conflicts(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let terms = &self.rows[request.row].terms;
        let held = engine.loads.contains_key(&request.tables)
            || engine.foreign.get(&request.tables).is_some_and(|until| *until > now);
        let header = self.header.filter(|h| h.1 == engine.entry.engine).and_then(|h| self.requests.get(&h.0));
        let with_header =
            header.filter(|h| h.tables == request.tables && h.id != request.id).is_some_and(|h| {
                let other = &self.rows[h.row].terms;
                (terms.bulk_load && (other.bulk_load || other.waits_for_bulk_loads))
                    || (terms.waits_for_bulk_loads && other.bulk_load)
            });
        with_header
            || (terms.bulk_load && (held || engine.readers.contains_key(&request.tables)))
            || (terms.waits_for_bulk_loads && held)
    }

    /// Threads per core: as the engine reported, with what this front has changed since; with no report,
    /// this front's own times the number of fronts.
    fn threads_per_core(&self, now: Duration, engine: &Engine, fleet: &FleetMeans) -> f64 {
        let cores = self.stated.cores(&engine.entry);
        let blind = self.blind();
        let threads = match engine.report.as_ref().filter(|r| r.at + self.report_age > now) {
            Some(Report { load: LoadReport { in_flight: Some(held), .. }, out, .. }) => {
                let own = if engine.out > 0 { engine.threads / f64::from(engine.out) } else { 1.0 };
                // What a blind front has there itself says nothing of the threads of what others have.
                let each = if blind { self.width.mean() } else { own.max(1.0) };
                let others = (held - f64::from(*out)).max(0.0) * each;
                engine.threads + others + f64::from(u8::from(blind)) * HELD * cores
            }
            Some(Report { load: LoadReport { cores_busy: Some(busy), .. }, threads, drag, .. }) if blind => {
                (busy / ON_CORES).max(GATE_END * (drag - 1.0)) * cores + (engine.threads - threads).max(0.0)
            }
            Some(Report { load: LoadReport { cores_busy: Some(busy), .. }, threads, .. }) => {
                let told = (busy * cores + engine.threads - threads).max(engine.threads);
                if *busy < SATURATED { told } else { told.max(engine.threads * self.multiple.mean()) }
            }
            _ if blind => {
                let clock = Duration::from_secs(self.sent_requests);
                let sent = engine.lately.map_or(0.0, |lately| lately.faded(clock).sum);
                let usual = fleet.usual_load * fleet.leaning(sent, cores);
                usual.max(self.congestion(now, engine)) * cores + engine.threads
            }
            _ => engine.threads * f64::from(self.stated.fronts.max(1)),
        };
        threads / cores
    }

    /// Threads per core that engines usually report, falling back to the mark as reports fade: guards against
    /// a front that sends nothing as it heard of full engines, and hears nothing else as it sends nothing.
    fn usual_load(&self, now: Duration) -> f64 {
        let heard = self.usual_load.faded(now);
        (heard.sum + UNHEARD * GATE_MARK) / (heard.weight + UNHEARD)
    }

    fn fleet_means(&self, now: Duration) -> FleetMeans {
        let all = self.sent.faded(Duration::from_secs(self.sent_requests)).sum;
        FleetMeans {
            cores: self.mean_cores,
            sent: all / self.kept_to(),
            work: self.sent.mean(),
            usual_load: self.usual_load(now),
        }
    }

    /// Guards against paging and spilling: what this front's requests there need, times the multiple that all
    /// fronts run, as a share of the engine's memory. Harm: a front of little traffic knows its part badly.
    fn memory_share(&self, engine: &Engine) -> f64 {
        let memory =
            self.stated.machine_kinds.get(engine.entry.machine_kind as usize).map_or(0.0, |m| m.memory_mb);
        let told = engine.report.as_ref().and_then(|r| r.load.memory_granted).unwrap_or(0.0);
        let mut need = 0.0;
        if memory > 0.0 && !self.blind() {
            let rows = engine.rows.iter().zip(&self.rows);
            let own: f64 = rows.map(|(n, row)| f64::from(*n) * row.memory.mean()).sum();
            need = own * self.multiple.mean().max(1.0) / memory;
        }
        need.max(told * GRANTED)
    }

    /// All engines by slot, as they are to a request; worked out once for all requests of a request class that
    /// are free to go anywhere.
    fn candidates(&mut self, now: Duration, seq: u64) -> Arc<[Candidate]> {
        let request = &self.requests[&seq];
        let known = self.candidates.get(&request.row).filter(|_| request.may_have_run.is_none());
        if let Some(known) = known {
            return Arc::clone(known);
        }
        let fleet = self.fleet_means(now);
        let look = |engine: &Engine| Candidate {
            engine: engine.entry.engine,
            usable: self.usable(now, request, engine),
            cold: engine.cold(now, self.stated.safety_rules.slow_start_window),
            load: self.threads_per_core(now, engine, &fleet),
        };
        let candidates: Arc<[Candidate]> = self.engines.values().map(look).collect();
        if request.may_have_run.is_none() {
            self.candidates.insert(request.row, Arc::clone(&candidates));
        }
        candidates
    }

    /// Hashed order, home first unless it exceeds the least loaded by the margin, then the gate.
    fn choose(&mut self, now: Duration, seq: u64) -> Option<EngineId> {
        let (walk, candidates) = (self.walk(seq), self.candidates(now, seq));
        let request = &self.requests[&seq];
        let tied = self.header.filter(|h| h.0 == seq).map(|h| h.1);
        let lost = |e| self.engines.get(&e).is_none_or(|engine| !self.usable(now, request, engine));
        if tied.is_some_and(lost) {
            self.header = None;
            return None;
        }
        let terms = &self.rows[request.row].terms;
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
            if candidate.cold {
                let engine = &self.engines[&candidate.engine];
                let age = now.saturating_sub(engine.entry.started_at).as_secs_f64();
                let from = self.stated.safety_rules.slow_start_share;
                let warmth =
                    from + (1.0 - from) * age / self.stated.safety_rules.slow_start_window.as_secs_f64();
                if self.chance.draw() > warmth {
                    continue;
                }
            }
            desirable.push((slot, candidate.load));
        }
        let request = &self.requests[&seq];
        if desirable.len() > 1 {
            desirable.retain(|(slot, _)| Some(candidates[*slot].engine) != request.avoid);
        }
        // Guards engines that tell nothing against the load of missing ones.
        if self.stated.load_reporting == LoadReporting::None && request.lot > self.shedding.admitted() {
            desirable.retain(|(slot, _)| candidates[*slot].cold);
        }
        let least = desirable.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1))?;
        let blind = self.blind();
        // Guards a blind front against a fleet that stands still, whatever the cause: short memory, dead or
        // slow engines, overload. Each request has a lot; the more are slowed down, the fewer lots are let in.
        // Harm: where work is slow of itself, some is pushed back for nothing.
        self.strain.add(now, 0.0, 0.0);
        let strain = self.strain.sum / (self.strain.weight + 1.0);
        // What is little work relieves little by staying out.
        let mean = self.rows.iter().map(|r| r.work.mean()).sum::<f64>() / self.rows.len() as f64;
        let lot = request.lot * (self.rows[request.row].work.mean() / mean).min(1.0);
        if blind && lot > (STRAIN_END - strain) / (STRAIN_END - STRAIN_MARK) {
            return None;
        }
        if now >= request.taken + self.rows[request.row].terms.deadline.mul_f64(FORCED_AFTER) {
            return Some(candidates[least.0].engine);
        }
        let margin = if blind { BLIND_MARGIN } else { MARGIN };
        desirable.retain(|(_, load)| *load <= least.1 + margin);
        // A blind front's turn at a cold engine is used or lost, wherever the order has it: guards against
        // engines that idle while they are cold, as those whose turn it is call others home.
        if blind {
            desirable.sort_by_key(|(slot, load)| !(candidates[*slot].cold && *load < GATE_MARK));
        }
        self.requests.entry(seq).and_modify(|b| b.refused = true);
        let row = &self.rows[self.requests[&seq].row];
        // Guards against asks that cost more than they earn: requests of much work come first.
        let first = row.work.mean() > mean * BIG;
        let reserve = if first { 1.0 } else { (self.engines.len() as f64 / 3.0).clamp(1.0, KEPT) };
        // Guards against filling a fleet that begins to stand still, above all with requests of many threads.
        let adds = ADDS + (ADDS_STRAINED - ADDS) * (strain / STRAIN_MARK).min(1.0);
        let (priority, adds, is_load) = (row.priority, adds * row.terms.threads, row.terms.bulk_load);
        let usual_load = self.usual_load(now);
        for (slot, load) in desirable {
            let id = candidates[slot].engine;
            if blind && self.ask_first(now, id, reserve) {
                self.requests.entry(seq).and_modify(|b| b.refused = false);
                return None;
            }
            let Some(engine) = self.engines.at(slot) else { continue };
            let full = if engine.calm(now, self.report_age) { MEMORY_FULL } else { MEMORY_PRESSED };
            if self.memory_share(engine) > full {
                continue;
            }
            let chance = if blind {
                let after = load + adds / self.stated.cores(&engine.entry);
                let chance = (BLIND_END - after) / (BLIND_END - BLIND_MARK);
                // Guards against lines of loads where work stands still. Harm: truly idle engines get few.
                let idle = load / (SUSPECT * usual_load).max(f64::MIN_POSITIVE);
                if is_load { chance.min(1.0) * idle.powi(4).min(1.0) } else { chance }
            } else {
                (GATE_END - engine.felt(priority) / engine.pool) / (GATE_END - 1.0)
            };
            if chance >= 1.0 || self.chance.draw() < chance {
                return Some(id);
            }
        }
        None
    }

    /// Turns the difference between what is wanted and what is into actions. Nothing else does.
    fn reconcile(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.ask) {
            actions.push(Action::WatchEndpoints);
        }
        actions.extend(self.probes.drain(..).map(|engine| Action::Probe { engine }));
        if let Some(due) = self.due.take().filter(|due| self.armed <= now || *due < self.armed) {
            self.armed = due.max(now + self.stated.tick);
            actions.push(Action::SetTimer { at: self.armed });
        }
        for seq in std::mem::take(&mut self.touched) {
            let Some(request) = self.requests.get(&seq) else { continue };
            let begin_by = self.repeats_until(request).filter(|_| request.may_have_run.is_some());
            let (come_back, kept_to) = (self.come_back(request.row), self.kept_to());
            let Some(request) = self.requests.get_mut(&seq) else { continue };
            let (id, row) = (request.id.clone(), &self.rows[request.row]);
            let (wanted, over) = (request.wanted, request.over);
            let unwanted = |out: &&mut Out| !out.cancelled && (over || wanted != Wanted::Out(out.engine));
            if let Some(out) = request.out.as_mut().filter(unwanted) {
                out.cancelled = true;
                if self.stated.capabilities.cancel {
                    actions.push(Action::Cancel { request: id.clone(), attempt: out.number });
                }
            }
            match request.wanted {
                _ if over => {}
                Wanted::Out(engine) if request.out.is_none() => {
                    let priority = row.priority;
                    if std::mem::replace(&mut request.priority, priority) != priority {
                        actions.push(Action::SetPriority { request: id.clone(), priority, memory_mb: 0.0 });
                    }
                    let time_out = Duration::ZERO;
                    actions.push(Action::Send { request: id, engine, timeout: time_out, start_by: begin_by });
                    request.out = Some(Out { number: request.sent, engine, at: now, cancelled: false });
                    self.further.extend(
                        self.stated.safety_rules.retry_budget.filter(|_| request.sent > 0).map(|_| now),
                    );
                    request.sent += 1;
                    if let Some(engine) = self.engines.get_mut(&engine) {
                        self.candidates.clear();
                        engine.count_attempt(request.row, row, request.tables, true);
                        self.sent_requests += 1;
                        let clock = Duration::from_secs(self.sent_requests);
                        self.sent.memory = SENT_MEMORY * kept_to;
                        let none = Fading::new(self.sent.memory, 0.0);
                        engine.lately.get_or_insert(none).add(clock, row.work.mean(), 1.0);
                        self.sent.add(clock, row.work.mean(), 1.0);
                        let window = self.stated.safety_rules.overload_window + self.stated.tick;
                        engine.sent.retain(|(at, _)| *at + window > now);
                        engine.sent.push((now, row.work.mean()));
                    }
                    self.header.take_if(|(request, _)| *request == seq);
                }
                Wanted::PushedBack => {
                    actions.push(Action::Reject { request: id, retry_after: come_back });
                    self.close(seq);
                }
                Wanted::Errored => {
                    actions.push(Action::Fail { request: id });
                    self.close(seq);
                }
                _ => {}
            }
        }
    }
}
