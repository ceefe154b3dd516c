use super::counters::name;
use super::{
    Clock, ControlUpdate, Counter, Counters, Endpoint, EngineCommand, IncomingRequest, Response,
    ResponseSink, RouterEvent, TableSizes, Token, WriteConditions,
};
use crate::management::{EngineNotification, EngineStatus, ManagementCall, Snapshot};
use crate::zone_monitor::{Watched, ZoneObservation, ended};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{
    Action, Arrival, AttemptEnd, AttemptOutcome, Deployment, EndpointUpdateKind, EngineEntry, EngineId,
    EngineState, Event, Gateway, RequestId,
};
use lemonusher_membership::{AdmissionLimiter, DesiredState, EndpointChange, EndpointTable, ZoneRestriction};
use lemonusher_zone_failover::{FailoverConfig, PlanEffect};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Events heard in one turn before the gateway decides.
const MOST_IN_A_TURN: usize = 1024;
/// Orders that wait for the engines' side before attempts and probes fail.
const MOST_LATE: usize = 4096;

/// What the owner may hold.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests open at once; further ones are pushed back unseen.
    pub max_requests: usize,
    /// Bytes of statements held at once.
    pub max_statement_bytes: usize,
    /// A probe without an answer in this time has failed.
    pub probe_timeout: Duration,
}

struct Held {
    asker: Rc<dyn ResponseSink>,
    ticket: u64,
    request_class: usize,
    statement: Rc<[u8]>,
    limit: Duration,
    priority: u8,
    memory_mb: f64,
    attempts: u32,
    /// Its end is the request's: what has not been written by then is not written any more.
    wanted: Rc<()>,
}

struct Flight {
    request: RequestId,
    request_class: usize,
    number: u32,
    engine: EngineId,
    at: Duration,
    until: Duration,
    priority: u8,
}

/// Owns the gateway, the clock and the tables of requests and attempts.
pub struct RequestRouter {
    stated: Deployment,
    gateway: Gateway,
    clock: Clock,
    limits: Limits,
    orders: Sender<EngineCommand>,
    counters: Rc<Counters>,
    /// Requests that are owed an answer, shared with what waits for the end.
    open: Rc<Cell<usize>>,
    requests: BTreeMap<RequestId, Held>,
    bytes: usize,
    flights: BTreeMap<Token, Flight>,
    probes: BTreeMap<Token, (EngineId, Duration)>,
    due: BTreeSet<(Duration, Token)>,
    wakes: BTreeSet<Duration>,
    /// By when attempts have to begin, where that is bound.
    begins: BTreeSet<(Duration, Token)>,
    next: Token,
    table: EndpointTable,
    door: AdmissionLimiter,
    addresses: BTreeMap<EngineId, SocketAddr>,
    /// Wishes that were prepared and wait for the word to switch.
    prepared: Option<(u64, Arc<DesiredState>)>,
    notices: Option<Sender<EngineNotification>>,
    watched: Option<Watched>,
    /// Notices for which there was no room.
    unnoticed: u64,
    /// What the carrying out of actions has brought; heard in the next turn.
    at_once: VecDeque<RouterEvent>,
    /// Orders that the engines' side has no room for yet, in turn.
    late: VecDeque<EngineCommand>,
    /// When the gateway decided last, and whether it has heard anything since.
    decided: Duration,
    undecided: bool,
    timer: Timer,
    armed: Option<Duration>,
}

impl RequestRouter {
    pub fn new(
        stated: Deployment,
        seed: u64,
        clock: Clock,
        limits: Limits,
        orders: Sender<EngineCommand>,
        counters: Rc<Counters>,
    ) -> Self {
        let longest = if stated.capabilities.retry_after {
            stated.capabilities.max_retry_after
        } else {
            Duration::ZERO
        };
        let door = AdmissionLimiter::new(stated.request_classes.len(), longest);
        let mut gateway = Gateway::new(stated.clone(), seed);
        // What an engine was sent by a process before this one is not known here.
        gateway.handle_event(clock.process_start(), Event::TimerFired);
        RequestRouter {
            gateway,
            stated,
            clock,
            limits,
            orders,
            counters,
            open: Rc::default(),
            requests: BTreeMap::new(),
            bytes: 0,
            flights: BTreeMap::new(),
            probes: BTreeMap::new(),
            due: BTreeSet::new(),
            wakes: BTreeSet::new(),
            begins: BTreeSet::new(),
            next: 0,
            table: EndpointTable::default(),
            door,
            addresses: BTreeMap::new(),
            prepared: None,
            notices: None,
            watched: None,
            unnoticed: 0,
            at_once: VecDeque::new(),
            late: VecDeque::new(),
            decided: Duration::ZERO,
            undecided: false,
            timer: Timer::never(),
            armed: None,
        }
    }

    /// What managers wanted when this front last ran: in force before anything is heard.
    pub fn with_desired_state(
        mut self,
        wanted: Arc<DesiredState>,
        notices: Sender<EngineNotification>,
    ) -> Self {
        self.door.set(wanted.limits());
        self.table = EndpointTable::new(wanted);
        self.notices = Some(notices);
        self
    }

    /// Tells the fleet what is seen of the sites, and follows its plan.
    pub fn with_zone_monitor(mut self, terms: FailoverConfig, told: Sender<ZoneObservation>) -> Self {
        let now = self.clock.now();
        self.watched = Some(Watched::new(now, &self.stated, terms, told));
        self.wakes.insert(now);
        self
    }

    /// How many requests are owed an answer.
    pub fn open_requests(&self) -> Rc<Cell<usize>> {
        self.open.clone()
    }

    /// Runs until the queue is closed.
    pub async fn run(mut self, queue: Receiver<RouterEvent>) {
        loop {
            let mut first = None;
            if self.at_once.is_empty() {
                match self.wait(&queue).await {
                    Some(Ok(heard)) => first = Some(heard),
                    Some(Err(_)) => return,
                    None => {}
                }
            }
            let mut turn: Vec<RouterEvent> = self.at_once.drain(..).chain(first).collect();
            while turn.len() < MOST_IN_A_TURN
                && let Ok(heard) = queue.try_recv()
            {
                turn.push(heard);
            }
            let now = self.clock.now();
            if catch_unwind(AssertUnwindSafe(|| self.turn(now, turn))).is_err() {
                self.start_over(now);
            }
            self.open.set(self.requests.len());
            self.counters.set_table_sizes(TableSizes {
                requests: self.requests.len(),
                attempts: self.flights.len(),
                engines: self.table.len(),
            });
        }
    }

    /// The next that is heard, or nothing if something is due before.
    async fn wait(
        &mut self,
        queue: &Receiver<RouterEvent>,
    ) -> Option<Result<RouterEvent, async_channel::RecvError>> {
        let decision = self.undecided.then_some(self.decided + self.stated.tick);
        let wake = self.wakes.first().copied();
        let dates = self.due.first().into_iter().chain(self.begins.first()).map(|date| date.0);
        let due = wake.into_iter().chain(dates).chain(decision).min();
        let heard = async { Some(queue.recv().await) };
        // One timer, set anew only when the date changes: each setting may cost a turn of the reactor.
        if due != self.armed {
            self.armed = due;
            match due {
                Some(due) => self.timer.set_at(self.clock.instant(due)),
                None => self.timer = Timer::never(),
            }
        }
        let fired = async {
            (&mut self.timer).await;
            None
        };
        let heard = heard.or(fired).await;
        if heard.is_none() {
            self.armed = None;
        }
        heard
    }

    /// Tells the gateway all that was heard and is due. It decides once a tick at most, as what comes together
    /// is better decided together; what a decision wants is carried out at once.
    fn turn(&mut self, now: Duration, turn: Vec<RouterEvent>) {
        self.hand_over();
        self.undecided |= !turn.is_empty();
        for heard in turn {
            self.hear(now, heard);
        }
        while let Some((at, token)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, token));
            self.undecided = true;
            self.order(EngineCommand::Cancel(token));
            self.hear(now, RouterEvent::attempt_ended(token, AttemptOutcome::TimedOut));
            self.hear(now, RouterEvent::ProbeEnded { token, answered: false, load: None });
        }
        while let Some((at, token)) = self.begins.first().copied().filter(|(at, _)| *at <= now) {
            self.begins.remove(&(at, token));
            self.order(EngineCommand::Withdraw(token));
        }
        if self.wakes.first().is_some_and(|at| *at <= now) {
            self.wakes = self.wakes.split_off(&(now + Duration::from_nanos(1)));
            self.gateway.handle_event(now, Event::TimerFired);
            self.undecided = true;
        }
        if let Some(watched) = &mut self.watched {
            watched.turn(now, || {
                let mut out = BTreeMap::new();
                self.flights.values().for_each(|flight| *out.entry(flight.engine).or_default() += 1);
                out
            });
            self.wakes.insert(watched.next);
        }
        if !self.undecided || now < self.decided + self.stated.tick {
            return;
        }
        (self.decided, self.undecided) = (now, false);
        let from = Instant::now();
        let actions = self.gateway.decide(now);
        self.counters.add_decision_time(from.elapsed());
        for action in actions {
            self.carry_out(now, action);
        }
    }

    fn hear(&mut self, now: Duration, heard: RouterEvent) {
        match heard {
            RouterEvent::Request(taken) => self.take(now, taken),
            RouterEvent::ClientGone { sink: asker, ticket, request } => {
                let theirs = |held: &&Held| held.ticket == ticket && Rc::ptr_eq(&held.asker, &asker);
                if let Some(held) = self.requests.get(&request).filter(theirs) {
                    self.counters.add(Counter::ClientGone, Some(held.request_class));
                    self.close(&request);
                    self.gateway.handle_event(now, Event::ClientGone(request));
                }
            }
            RouterEvent::Endpoints(kind, listed) => self.hear_roster(now, kind, listed),
            RouterEvent::AttemptEnded { token, outcome, usage: cost, load, body: rows } => {
                let Some(flight) = self.flights.remove(&token) else { return };
                if let Some(watched) = &mut self.watched {
                    let threads = self
                        .stated
                        .request_classes
                        .get(flight.request_class)
                        .map_or(1.0, |terms| terms.threads);
                    let span = now.saturating_sub(flight.at);
                    let ended = ended(outcome, span, cost.map(|cost| cost.work), threads);
                    watched.eyes.attempt_ended(now, flight.engine, flight.request_class, ended);
                    watched.ended(now, flight.engine, outcome);
                }
                self.due.remove(&(flight.until, token));
                self.counters.add(Counter::AttemptOutcome(name(outcome)), Some(flight.request_class));
                log::debug!(
                    "batch" = &*flight.request, engine = flight.engine;
                    "batch {} dispatch {} on engine {:08x} ended {} after {:?}",
                    flight.request,
                    flight.number,
                    flight.engine,
                    name(outcome),
                    now.saturating_sub(flight.at)
                );
                if outcome == AttemptOutcome::Returned {
                    self.answer(&flight.request, Response::Returned(rows));
                }
                let ending = AttemptEnd {
                    request_finished: !self.requests.contains_key(&flight.request),
                    request: flight.request,
                    attempt: flight.number,
                    engine: flight.engine,
                    elapsed: now.saturating_sub(flight.at),
                    outcome,
                    usage: cost,
                    load,
                };
                self.gateway.handle_event(now, Event::AttemptEnded(ending));
            }
            RouterEvent::Progress { token, progress: note } => {
                let Some(flight) = self.flights.get(&token) else { return };
                let (request, attempt, engine) = (flight.request.clone(), flight.number, flight.engine);
                if let Some(watched) = &mut self.watched {
                    watched.eyes.engine_answered(now, engine);
                }
                self.gateway.handle_event(now, Event::Progress { request, attempt, engine, progress: note });
            }
            RouterEvent::ProbeEnded { token, answered, load } => {
                let Some((engine, at)) = self.probes.remove(&token) else { return };
                self.due.remove(&(at + self.limits.probe_timeout, token));
                self.counters.add(if answered { Counter::Probes } else { Counter::ProbeFailures }, None);
                let after = now.saturating_sub(at);
                if let Some(watched) = &mut self.watched {
                    watched.probed(now, engine, answered);
                }
                self.gateway.handle_event(now, Event::ProbeEnded { engine, answered, elapsed: after, load });
            }
            RouterEvent::Management(managed) => self.manage(now, managed),
            RouterEvent::Control(ControlUpdate::Quota(part)) => {
                self.gateway.handle_event(now, Event::Quota(part))
            }
            RouterEvent::Control(ControlUpdate::ZonePlan(effect)) => self.follow(now, &effect),
            RouterEvent::Control(ControlUpdate::Maintenance { version, complete: sure, closed }) => {
                let Some(watched) = &mut self.watched else { return };
                log::info!(
                    "works: version {version}, {}out: {closed:x?}",
                    if sure { "" } else { "not sure yet, " }
                );
                (watched.closed, watched.maintenance_version) = (closed.clone(), version);
                let change = self.table.set_out_of_service(closed, !sure);
                self.change(now, EndpointUpdateKind::Delta, change);
            }
            RouterEvent::ShutDown(within) => {
                log::info!("closing: {} batches are to be answered within {within:?}", self.requests.len());
                self.gateway.handle_event(now, Event::ShuttingDown { deadline: now + within });
            }
        }
    }

    fn take(&mut self, now: Duration, taken: IncomingRequest) {
        let group = Some(taken.request_class);
        self.counters.add(Counter::Received, group);
        let full = self.requests.len() >= self.limits.max_requests
            || self.bytes + taken.statement.len() > self.limits.max_statement_bytes;
        if full {
            self.counters.add(Counter::Rejected, group);
            return taken.sink.respond(taken.ticket, Response::Rejected(None));
        }
        if let Some(watched) = &mut self.watched {
            watched.eyes.request_arrived(taken.request_class);
            if let Err(wait) = watched.door.admit(taken.request_class) {
                self.counters.add(Counter::Rejected, group);
                let wait = wait.min(self.stated.capabilities.max_retry_after);
                let wait = Some(wait).filter(|_| self.stated.capabilities.retry_after);
                return taken.sink.respond(taken.ticket, Response::Rejected(wait));
            }
        }
        if let Err(wait) = self.door.admit(now, taken.request_class) {
            self.counters.add(Counter::Rejected, group);
            let wait = Some(wait).filter(|_| self.stated.capabilities.retry_after);
            return taken.sink.respond(taken.ticket, Response::Rejected(wait));
        }
        if self.requests.contains_key(&taken.request)
            || self.flights.values().any(|f| f.request == taken.request)
        {
            self.counters.add(Counter::Failed, group);
            self.door.release(now, taken.request_class);
            return taken.sink.respond(taken.ticket, Response::Failed);
        }
        self.bytes += taken.statement.len();
        let held = Held {
            asker: taken.sink,
            ticket: taken.ticket,
            request_class: taken.request_class,
            statement: taken.statement,
            limit: now + taken.client_timeout,
            priority: 1,
            memory_mb: 0.0,
            attempts: 0,
            wanted: Rc::new(()),
        };
        self.requests.insert(taken.request.clone(), held);
        self.gateway.handle_event(
            now,
            Event::Arrived(Arrival {
                request: taken.request,
                request_class: taken.request_class,
                table_group: taken.table_group,
                key: None,
                client_timeout: taken.client_timeout,
                work: None,
                memory_mb: 0.0,
                client_retry: taken.client_retry,
            }),
        );
    }

    fn hear_roster(&mut self, now: Duration, kind: EndpointUpdateKind, listed: Vec<Endpoint>) {
        self.counters.add(Counter::ChannelEvents, None);
        if kind != EndpointUpdateKind::Delta {
            self.addresses.clear();
        }
        let entries: Vec<EngineEntry> = listed
            .iter()
            .map(|one| EngineEntry {
                engine: one.engine,
                zone: one.zone,
                cell: one.cell,
                machine_kind: one.machine_kind,
                state: one.state,
                started_at: one.started_at.map_or(Duration::ZERO, |unix| {
                    self.clock.engine_start(unix, now, self.stated.safety_rules.slow_start_window)
                }),
                blocked_classes: 0,
            })
            .collect();
        for (entry, one) in entries.iter().zip(&listed) {
            log::info!(
                engine = entry.engine;
                "engine {:08x} is {} in location {}, started {:?} ago",
                entry.engine,
                log_name(entry.state),
                entry.zone,
                (!entry.started_at.is_zero()).then(|| now.saturating_sub(entry.started_at))
            );
            match entry.state {
                EngineState::Removed => self.addresses.remove(&entry.engine),
                _ => self.addresses.insert(entry.engine, one.address),
            };
        }
        if let Some(watched) = &mut self.watched {
            watched.list(&self.stated, kind, &entries);
        }
        self.order(EngineCommand::Endpoints(kind, listed));
        let change = self.table.apply_list(kind, entries);
        self.change(now, kind, change);
    }

    /// Tells the gateway what has changed among the engines, and calls back what is to be called back.
    fn change(&mut self, now: Duration, kind: EndpointUpdateKind, change: EndpointChange) {
        if self.notices.is_some() {
            for entry in &change.entries {
                let admin = self.table.get(entry.engine).map(|seen| seen.admin).unwrap_or_default();
                self.notice(EngineNotification {
                    engine: entry.engine,
                    state: entry.state,
                    admin,
                    blocked_classes: entry.blocked_classes,
                });
            }
        }
        for engine in &change.recalled {
            let admin = self.table.get(*engine).map(|seen| seen.admin).unwrap_or_default();
            let effect = |group: usize| self.stated.request_classes.get(group).map(|terms| terms.idempotency);
            let out: Vec<Token> = (self.flights.iter())
                .filter(|(_, f)| {
                    f.engine == *engine && effect(f.request_class).is_some_and(|e| admin.recalls(e))
                })
                .map(|(token, _)| *token)
                .collect();
            for token in out {
                self.order(EngineCommand::Cancel(token));
            }
        }
        if kind != EndpointUpdateKind::Delta || !change.entries.is_empty() {
            self.gateway.handle_event(now, Event::Endpoints(kind, change.entries));
        }
    }

    /// The fleet's plan means this here from now on.
    fn follow(&mut self, now: Duration, effect: &PlanEffect) {
        let Some(watched) = &mut self.watched else { return };
        watched.door.set(effect);
        log::info!(
            "sites: epoch {:?}{}, closed in part: {:?}, let in: {:?}",
            effect.epoch,
            if effect.isolated { ", goes by itself" } else { "" },
            effect.restrictions,
            effect.admitted_shares
        );
        let closures = effect.restrictions.iter().map(|closure| ZoneRestriction {
            zone: closure.zone,
            open_permille: closure.open_permille,
            blocked_classes: closure.blocked_classes,
        });
        let change = self.table.apply_restrictions(closures.collect());
        self.change(now, EndpointUpdateKind::Delta, change);
    }

    fn notice(&mut self, noticed: EngineNotification) {
        if let Some(notices) = &self.notices
            && notices.try_send(noticed).is_err()
        {
            self.unnoticed += 1;
        }
    }

    /// What managers ask. Wishes are looked at first and take effect with the word to switch, all in one event.
    fn manage(&mut self, now: Duration, managed: ManagementCall) {
        match managed {
            ManagementCall::Prepare { number, desired_state: wanted, reply } => {
                let class_loads = self.stated.request_classes.len();
                let known = wanted.limits().len() <= class_loads;
                let verdict =
                    if known { Ok(()) } else { Err(format!("only {class_loads} service groups are stated")) };
                if known {
                    self.prepared = Some((number, wanted));
                }
                let _ = reply.try_send(verdict);
            }
            ManagementCall::Activate { number, reply } => {
                let Some((_, wanted)) = self.prepared.take_if(|(prepared, _)| *prepared == number) else {
                    let _ = reply.try_send(Err(format!("commit {number} was not prepared")));
                    return;
                };
                log::info!(commit = number; "commit {number} takes effect");
                self.door.set(wanted.limits());
                let change = self.table.apply_desired_state(wanted);
                self.change(now, EndpointUpdateKind::Delta, change);
                let _ = reply.try_send(Ok(()));
            }
            ManagementCall::Discard { number } => {
                self.prepared.take_if(|(prepared, _)| *prepared == number);
            }
            ManagementCall::Read { reply } => {
                let _ = reply.try_send(self.snapshot(now));
            }
        }
    }

    fn snapshot(&self, now: Duration) -> Snapshot {
        let mut out: BTreeMap<EngineId, u32> = BTreeMap::new();
        for flight in self.flights.values() {
            *out.entry(flight.engine).or_default() += 1;
        }
        let engines = (self.table.engines())
            .map(|seen| EngineStatus {
                address: self.addresses.get(&seen.entry.engine).copied(),
                in_flight: out.get(&seen.entry.engine).copied().unwrap_or_default(),
                ejected: self.gateway.is_ejected(now, seen.entry.engine),
                endpoint: seen.clone(),
            })
            .collect();
        Snapshot {
            now,
            counters: self.counters.values(),
            request_classes: self.counters.request_classes().to_vec(),
            requests: self.requests.len(),
            attempts: self.flights.len(),
            statement_bytes: self.bytes,
            decision_time: self.counters.decision_time(),
            dropped_notifications: self.unnoticed,
            engines,
        }
    }

    fn carry_out(&mut self, now: Duration, action: Action) {
        match action {
            Action::SetPriority { request, priority, memory_mb } => {
                let Some(held) = self.requests.get_mut(&request) else { return };
                (held.priority, held.memory_mb) = (priority, memory_mb);
                let out: Vec<Token> = (self.flights.iter_mut())
                    .filter(|(_, f)| f.request == request && f.priority != priority)
                    .map(|(token, flight)| {
                        flight.priority = priority;
                        *token
                    })
                    .collect();
                for token in out {
                    self.order(EngineCommand::SetPriority { token, priority });
                }
            }
            Action::Send { request, engine, timeout: time_out, start_by: begin_by } => {
                self.attempt(now, request, engine, time_out, begin_by);
            }
            Action::Cancel { request, attempt } => {
                let flight = self.flights.iter().find(|(_, f)| f.request == request && f.number == attempt);
                if let Some((token, flight)) = flight.map(|(t, f)| (*t, f)) {
                    self.counters.add(Counter::Cancels, Some(flight.request_class));
                    self.order(EngineCommand::Cancel(token));
                }
            }
            Action::Reject { request, retry_after: come_back } => {
                self.answer(&request, Response::Rejected(come_back))
            }
            Action::Fail { request } => self.answer(&request, Response::Failed),
            Action::SetTimer { at } => {
                self.wakes.insert(at);
            }
            Action::Probe { engine } => {
                let token = self.token();
                self.probes.insert(token, (engine, now));
                if let Some(watched) = &mut self.watched {
                    watched.eyes.attempt_sent(now, engine);
                }
                self.due.insert((now + self.limits.probe_timeout, token));
                self.order(EngineCommand::Probe { token, engine });
            }
            Action::WatchEndpoints => {} // The channel brings all changes anyway.
        }
    }

    fn attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        engine: EngineId,
        time_out: Duration,
        begin_by: Option<Duration>,
    ) {
        let token = self.token();
        let Some(held) = self.requests.get_mut(&request) else { return };
        let until = if time_out.is_zero() { held.limit } else { held.limit.min(now + time_out) };
        self.counters.add(Counter::Attempts, Some(held.request_class));
        if held.attempts > 0 {
            self.counters.add(Counter::Retries, Some(held.request_class));
        }
        let order = EngineCommand::Send {
            token,
            engine,
            request: request.clone(),
            request_class: held.request_class,
            statement: held.statement.clone(),
            conditions: WriteConditions {
                until: self.clock.instant(until),
                start_by: begin_by.map(|by| self.clock.instant(by)),
                wanted: Rc::downgrade(&held.wanted),
            },
            priority: held.priority,
            memory_mb: held.memory_mb,
        };
        let flight = Flight {
            request,
            request_class: held.request_class,
            number: held.attempts,
            engine,
            at: now,
            until,
            priority: held.priority,
        };
        held.attempts += 1;
        if let Some(watched) = &mut self.watched {
            watched.eyes.attempt_sent(now, engine);
        }
        self.flights.insert(token, flight);
        self.due.insert((until, token));
        self.begins.extend(begin_by.map(|by| (by, token)));
        self.order(order);
    }

    fn token(&mut self) -> Token {
        self.next += 1;
        self.next
    }

    /// Hands an order to the engines' side, in turn. An attempt or probe for which there is no room at all is
    /// over at once: nothing was sent.
    fn order(&mut self, order: EngineCommand) {
        let full = self.late.len() >= MOST_LATE;
        match order {
            EngineCommand::Send { token, .. } if full => {
                self.at_once.push_back(RouterEvent::attempt_ended(token, AttemptOutcome::ConnectFailed));
            }
            EngineCommand::Probe { token, .. } if full => {
                self.at_once.push_back(RouterEvent::ProbeEnded { token, answered: false, load: None });
            }
            order => self.late.push_back(order),
        }
        self.hand_over();
    }

    fn hand_over(&mut self) {
        while let Some(order) = self.late.pop_front() {
            if let Err(full) = self.orders.try_send(order) {
                self.late.push_front(full.into_inner());
                self.wakes.insert(self.clock.now() + self.stated.tick);
                return;
            }
        }
    }

    fn answer(&mut self, request: &RequestId, answer: Response) {
        let Some(held) = self.close(request) else { return };
        let kind = match &answer {
            Response::Returned(_) => Counter::Returned,
            Response::Rejected(_) => Counter::Rejected,
            Response::Failed => Counter::Failed,
        };
        self.counters.add(kind, Some(held.request_class));
        log::debug!("batch" = &**request; "batch {request} {kind}");
        held.asker.respond(held.ticket, answer);
    }

    /// The request is owed nothing more; what is out of it still has its outcomes, and what waits to be written is not.
    fn close(&mut self, request: &RequestId) -> Option<Held> {
        let held = self.requests.remove(request)?;
        if held.attempts > 0 {
            let out = self.flights.iter().filter(|(_, f)| f.request == *request);
            let out: Vec<Token> = out.map(|(token, _)| *token).collect();
            out.into_iter().for_each(|token| self.order(EngineCommand::Withdraw(token)));
        }
        self.bytes -= held.statement.len();
        self.door.release(self.clock.now(), held.request_class);
        Some(held)
    }

    /// After a panic in the gateway: what it held is errored, which promises nothing, and a new one is told
    /// the list.
    fn start_over(&mut self, now: Duration) {
        self.counters.add(Counter::Panics, None);
        log::error!("the gateway panicked: {} batches are errored, and it starts over", self.requests.len());
        let open: Vec<RequestId> = self.requests.keys().cloned().collect();
        for request in open {
            self.answer(&request, Response::Failed);
        }
        let out: Vec<Token> = self.flights.keys().chain(self.probes.keys()).copied().collect();
        for token in out {
            self.order(EngineCommand::Cancel(token));
        }
        self.flights.clear();
        self.probes.clear();
        self.due.clear();
        self.begins.clear();
        self.wakes.clear();
        self.gateway = Gateway::new(self.stated.clone(), now.as_nanos() as u64);
        let entries = self.table.engines().map(|seen| seen.entry.clone()).collect();
        self.gateway.handle_event(now, Event::Endpoints(EndpointUpdateKind::Full, entries));
        self.wakes.insert(now);
    }
}

/// An engine's state as log lines name it.
fn log_name(state: EngineState) -> &'static str {
    match state {
        EngineState::Active => "Active",
        EngineState::Draining => "Leaving",
        EngineState::Removed => "Left",
    }
}
