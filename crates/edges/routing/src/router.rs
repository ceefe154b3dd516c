use super::counters::outcome_label;
use super::{
    Clock, ControlUpdate, Counter, Counters, Endpoint, EngineCommand, IncomingRequest, Response,
    ResponseSink, RouterEvent, TableSizes, Token, WriteConditions,
};
use crate::management::{EngineNotification, EngineStatus, ManagementCall, Snapshot};
use crate::zone_monitor::{ZoneMonitor, ZoneObservation, attempt_result};
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
const MAX_EVENTS_PER_TURN: usize = 1024;
/// Orders that wait for the engines' side before attempts and probes fail.
const MAX_COMMAND_BACKLOG: usize = 4096;

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

struct OpenRequest {
    sink: Rc<dyn ResponseSink>,
    ticket: u64,
    request_class: usize,
    statement: Rc<[u8]>,
    deadline: Duration,
    priority: u8,
    memory_mb: f64,
    attempts_sent: u32,
    /// Its end is the request's: what has not been written by then is not written any more.
    open_guard: Rc<()>,
}

struct InFlightAttempt {
    request: RequestId,
    request_class: usize,
    number: u32,
    engine: EngineId,
    sent_at: Duration,
    deadline: Duration,
    priority: u8,
}

/// Owns the gateway, the clock and the tables of requests and attempts.
pub struct RequestRouter {
    deployment: Deployment,
    gateway: Gateway,
    clock: Clock,
    limits: Limits,
    commands: Sender<EngineCommand>,
    counters: Rc<Counters>,
    /// Requests that are owed an answer, shared with what waits for the end.
    open_count: Rc<Cell<usize>>,
    requests: BTreeMap<RequestId, OpenRequest>,
    statement_bytes: usize,
    attempts: BTreeMap<Token, InFlightAttempt>,
    probes: BTreeMap<Token, (EngineId, Duration)>,
    timeouts: BTreeSet<(Duration, Token)>,
    wakeups: BTreeSet<Duration>,
    /// By when attempts have to begin, where that is bound.
    start_deadlines: BTreeSet<(Duration, Token)>,
    next_token: Token,
    endpoints: EndpointTable,
    admission_limiter: AdmissionLimiter,
    addresses: BTreeMap<EngineId, SocketAddr>,
    /// Wishes that were prepared and wait for the word to switch.
    prepared: Option<(u64, Arc<DesiredState>)>,
    notifications: Option<Sender<EngineNotification>>,
    zone_monitor: Option<ZoneMonitor>,
    /// Notices for which there was no room.
    dropped_notifications: u64,
    /// What the carrying out of actions has brought; heard in the next turn.
    pending_events: VecDeque<RouterEvent>,
    /// Orders that the engines' side has no room for yet, in turn.
    command_backlog: VecDeque<EngineCommand>,
    /// When the gateway decided last, and whether it has heard anything since.
    last_decision: Duration,
    decision_pending: bool,
    timer: Timer,
    armed_at: Option<Duration>,
}

impl RequestRouter {
    pub fn new(
        deployment: Deployment,
        seed: u64,
        clock: Clock,
        limits: Limits,
        commands: Sender<EngineCommand>,
        counters: Rc<Counters>,
    ) -> Self {
        let longest = if deployment.capabilities.retry_after {
            deployment.capabilities.max_retry_after
        } else {
            Duration::ZERO
        };
        let admission_limiter = AdmissionLimiter::new(deployment.request_classes.len(), longest);
        let mut gateway = Gateway::new(deployment.clone(), seed);
        // What an engine was sent by a process before this one is not known here.
        gateway.handle_event(clock.process_start(), Event::TimerFired);
        RequestRouter {
            gateway,
            deployment,
            clock,
            limits,
            commands,
            counters,
            open_count: Rc::default(),
            requests: BTreeMap::new(),
            statement_bytes: 0,
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            wakeups: BTreeSet::new(),
            start_deadlines: BTreeSet::new(),
            next_token: 0,
            endpoints: EndpointTable::default(),
            admission_limiter,
            addresses: BTreeMap::new(),
            prepared: None,
            notifications: None,
            zone_monitor: None,
            dropped_notifications: 0,
            pending_events: VecDeque::new(),
            command_backlog: VecDeque::new(),
            last_decision: Duration::ZERO,
            decision_pending: false,
            timer: Timer::never(),
            armed_at: None,
        }
    }

    /// What managers wanted when this front last ran: in force before anything is heard.
    pub fn with_desired_state(
        mut self,
        desired_state: Arc<DesiredState>,
        notifications: Sender<EngineNotification>,
    ) -> Self {
        self.admission_limiter.set(desired_state.limits());
        self.endpoints = EndpointTable::new(desired_state);
        self.notifications = Some(notifications);
        self
    }

    /// Tells the fleet what is seen of the sites, and follows its plan.
    pub fn with_zone_monitor(
        mut self,
        config: FailoverConfig,
        observations: Sender<ZoneObservation>,
    ) -> Self {
        let now = self.clock.now();
        self.zone_monitor = Some(ZoneMonitor::new(now, &self.deployment, config, observations));
        self.wakeups.insert(now);
        self
    }

    /// How many requests are owed an answer.
    pub fn open_requests(&self) -> Rc<Cell<usize>> {
        self.open_count.clone()
    }

    /// Runs until the queue is closed.
    pub async fn run(mut self, queue: Receiver<RouterEvent>) {
        loop {
            let mut first = None;
            if self.pending_events.is_empty() {
                match self.wait_for_event(&queue).await {
                    Some(Ok(event)) => first = Some(event),
                    Some(Err(_)) => return,
                    None => {}
                }
            }
            let mut events: Vec<RouterEvent> = self.pending_events.drain(..).chain(first).collect();
            while events.len() < MAX_EVENTS_PER_TURN
                && let Ok(event) = queue.try_recv()
            {
                events.push(event);
            }
            let now = self.clock.now();
            if catch_unwind(AssertUnwindSafe(|| self.process(now, events))).is_err() {
                self.restart_after_panic(now);
            }
            self.open_count.set(self.requests.len());
            self.counters.set_table_sizes(TableSizes {
                requests: self.requests.len(),
                attempts: self.attempts.len(),
                engines: self.endpoints.len(),
            });
        }
    }

    /// The next that is heard, or nothing if something is due before.
    async fn wait_for_event(
        &mut self,
        queue: &Receiver<RouterEvent>,
    ) -> Option<Result<RouterEvent, async_channel::RecvError>> {
        let decision = self.decision_pending.then_some(self.last_decision + self.deployment.tick);
        let wake = self.wakeups.first().copied();
        let dates = self.timeouts.first().into_iter().chain(self.start_deadlines.first()).map(|date| date.0);
        let timeouts = wake.into_iter().chain(dates).chain(decision).min();
        let event = async { Some(queue.recv().await) };
        // One timer, set anew only when the date changes: each setting may cost a turn of the reactor.
        if timeouts != self.armed_at {
            self.armed_at = timeouts;
            match timeouts {
                Some(timeouts) => self.timer.set_at(self.clock.instant(timeouts)),
                None => self.timer = Timer::never(),
            }
        }
        let fired = async {
            (&mut self.timer).await;
            None
        };
        let event = event.or(fired).await;
        if event.is_none() {
            self.armed_at = None;
        }
        event
    }

    /// Tells the gateway all that was heard and is due. It decides once a tick at most, as what comes together
    /// is better decided together; what a decision wants is carried out at once.
    fn process(&mut self, now: Duration, events: Vec<RouterEvent>) {
        self.flush_commands();
        self.decision_pending |= !events.is_empty();
        for event in events {
            self.handle_event(now, event);
        }
        while let Some((at, token)) = self.timeouts.first().copied().filter(|(at, _)| *at <= now) {
            self.timeouts.remove(&(at, token));
            self.decision_pending = true;
            self.queue_command(EngineCommand::Cancel(token));
            self.handle_event(now, RouterEvent::attempt_ended(token, AttemptOutcome::TimedOut));
            self.handle_event(now, RouterEvent::ProbeEnded { token, answered: false, load: None });
        }
        while let Some((at, token)) = self.start_deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.start_deadlines.remove(&(at, token));
            self.queue_command(EngineCommand::Withdraw(token));
        }
        if self.wakeups.first().is_some_and(|at| *at <= now) {
            self.wakeups = self.wakeups.split_off(&(now + Duration::from_nanos(1)));
            self.gateway.handle_event(now, Event::TimerFired);
            self.decision_pending = true;
        }
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.poll(now, || {
                let mut counts = BTreeMap::new();
                self.attempts.values().for_each(|attempt| *counts.entry(attempt.engine).or_default() += 1);
                counts
            });
            self.wakeups.insert(zone_monitor.next_report);
        }
        if !self.decision_pending || now < self.last_decision + self.deployment.tick {
            return;
        }
        (self.last_decision, self.decision_pending) = (now, false);
        let from = Instant::now();
        let actions = self.gateway.decide(now);
        self.counters.add_decision_time(from.elapsed());
        for action in actions {
            self.execute(now, action);
        }
    }

    fn handle_event(&mut self, now: Duration, event: RouterEvent) {
        match event {
            RouterEvent::Request(incoming) => self.handle_request(now, incoming),
            RouterEvent::ClientGone { sink, ticket, request } => {
                let is_same_client = |open_request: &&OpenRequest| {
                    open_request.ticket == ticket && Rc::ptr_eq(&open_request.sink, &sink)
                };
                if let Some(open_request) = self.requests.get(&request).filter(is_same_client) {
                    self.counters.add(Counter::ClientGone, Some(open_request.request_class));
                    self.finish_request(&request);
                    self.gateway.handle_event(now, Event::ClientGone(request));
                }
            }
            RouterEvent::Endpoints(kind, endpoints_listed) => {
                self.handle_endpoints(now, kind, endpoints_listed)
            }
            RouterEvent::AttemptEnded { token, outcome, usage, load, body } => {
                let Some(attempt) = self.attempts.remove(&token) else { return };
                if let Some(zone_monitor) = &mut self.zone_monitor {
                    let threads = self
                        .deployment
                        .request_classes
                        .get(attempt.request_class)
                        .map_or(1.0, |terms| terms.threads);
                    let span = now.saturating_sub(attempt.sent_at);
                    let result = attempt_result(outcome, span, usage.map(|usage| usage.work), threads);
                    zone_monitor.observer.attempt_ended(now, attempt.engine, attempt.request_class, result);
                    zone_monitor.handle_attempt_ended(now, attempt.engine, outcome);
                }
                self.timeouts.remove(&(attempt.deadline, token));
                self.counters
                    .add(Counter::AttemptOutcome(outcome_label(outcome)), Some(attempt.request_class));
                log::debug!(
                    "batch" = &*attempt.request, engine = attempt.engine;
                    "batch {} dispatch {} on engine {:08x} ended {} after {:?}",
                    attempt.request,
                    attempt.number,
                    attempt.engine,
                    outcome_label(outcome),
                    now.saturating_sub(attempt.sent_at)
                );
                if outcome == AttemptOutcome::Returned {
                    self.respond(&attempt.request, Response::Returned(body));
                }
                let end = AttemptEnd {
                    request_finished: !self.requests.contains_key(&attempt.request),
                    request: attempt.request,
                    attempt: attempt.number,
                    engine: attempt.engine,
                    elapsed: now.saturating_sub(attempt.sent_at),
                    outcome,
                    usage,
                    load,
                };
                self.gateway.handle_event(now, Event::AttemptEnded(end));
            }
            RouterEvent::Progress { token, progress } => {
                let Some(attempt) = self.attempts.get(&token) else { return };
                let (request, number, engine) = (attempt.request.clone(), attempt.number, attempt.engine);
                if let Some(zone_monitor) = &mut self.zone_monitor {
                    zone_monitor.observer.engine_answered(now, engine);
                }
                self.gateway
                    .handle_event(now, Event::Progress { request, attempt: number, engine, progress });
            }
            RouterEvent::ProbeEnded { token, answered, load } => {
                let Some((engine, at)) = self.probes.remove(&token) else { return };
                self.timeouts.remove(&(at + self.limits.probe_timeout, token));
                self.counters.add(if answered { Counter::Probes } else { Counter::ProbeFailures }, None);
                let elapsed = now.saturating_sub(at);
                if let Some(zone_monitor) = &mut self.zone_monitor {
                    zone_monitor.handle_probe_ended(now, engine, answered);
                }
                self.gateway.handle_event(now, Event::ProbeEnded { engine, answered, elapsed, load });
            }
            RouterEvent::Management(call) => self.handle_management(now, call),
            RouterEvent::Control(ControlUpdate::Quota(part)) => {
                self.gateway.handle_event(now, Event::Quota(part))
            }
            RouterEvent::Control(ControlUpdate::ZonePlan(effect)) => self.handle_zone_plan(now, &effect),
            RouterEvent::Control(ControlUpdate::Maintenance { version, complete, closed }) => {
                let Some(zone_monitor) = &mut self.zone_monitor else { return };
                log::info!(
                    "works: version {version}, {}out: {closed:x?}",
                    if complete { "" } else { "not sure yet, " }
                );
                (zone_monitor.out_of_service, zone_monitor.maintenance_version) = (closed.clone(), version);
                let change = self.endpoints.set_out_of_service(closed, !complete);
                self.apply_endpoint_change(now, EndpointUpdateKind::Delta, change);
            }
            RouterEvent::ShutDown(within) => {
                log::info!("closing: {} batches are to be answered within {within:?}", self.requests.len());
                self.gateway.handle_event(now, Event::ShuttingDown { deadline: now + within });
            }
        }
    }

    fn handle_request(&mut self, now: Duration, incoming: IncomingRequest) {
        let group = Some(incoming.request_class);
        self.counters.add(Counter::Received, group);
        let is_full = self.requests.len() >= self.limits.max_requests
            || self.statement_bytes + incoming.statement.len() > self.limits.max_statement_bytes;
        if is_full {
            self.counters.add(Counter::Rejected, group);
            return incoming.sink.respond(incoming.ticket, Response::Rejected(None));
        }
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.observer.request_arrived(incoming.request_class);
            if let Err(wait) = zone_monitor.plan_admission.admit(incoming.request_class) {
                self.counters.add(Counter::Rejected, group);
                let wait = wait.min(self.deployment.capabilities.max_retry_after);
                let wait = Some(wait).filter(|_| self.deployment.capabilities.retry_after);
                return incoming.sink.respond(incoming.ticket, Response::Rejected(wait));
            }
        }
        if let Err(wait) = self.admission_limiter.admit(now, incoming.request_class) {
            self.counters.add(Counter::Rejected, group);
            let wait = Some(wait).filter(|_| self.deployment.capabilities.retry_after);
            return incoming.sink.respond(incoming.ticket, Response::Rejected(wait));
        }
        if self.requests.contains_key(&incoming.request)
            || self.attempts.values().any(|f| f.request == incoming.request)
        {
            self.counters.add(Counter::Failed, group);
            self.admission_limiter.release(now, incoming.request_class);
            return incoming.sink.respond(incoming.ticket, Response::Failed);
        }
        self.statement_bytes += incoming.statement.len();
        let open_request = OpenRequest {
            sink: incoming.sink,
            ticket: incoming.ticket,
            request_class: incoming.request_class,
            statement: incoming.statement,
            deadline: now + incoming.client_timeout,
            priority: 1,
            memory_mb: 0.0,
            attempts_sent: 0,
            open_guard: Rc::new(()),
        };
        self.requests.insert(incoming.request.clone(), open_request);
        self.gateway.handle_event(
            now,
            Event::Arrived(Arrival {
                request: incoming.request,
                request_class: incoming.request_class,
                table_group: incoming.table_group,
                key: None,
                client_timeout: incoming.client_timeout,
                work: None,
                memory_mb: 0.0,
                client_retry: incoming.client_retry,
            }),
        );
    }

    fn handle_endpoints(&mut self, now: Duration, kind: EndpointUpdateKind, endpoints_listed: Vec<Endpoint>) {
        self.counters.add(Counter::ChannelEvents, None);
        if kind != EndpointUpdateKind::Delta {
            self.addresses.clear();
        }
        let entries: Vec<EngineEntry> = endpoints_listed
            .iter()
            .map(|listed_engine| EngineEntry {
                engine: listed_engine.engine,
                zone: listed_engine.zone,
                cell: listed_engine.cell,
                machine_kind: listed_engine.machine_kind,
                state: listed_engine.state,
                started_at: listed_engine.started_at.map_or(Duration::ZERO, |unix| {
                    self.clock.engine_start(unix, now, self.deployment.safety_rules.slow_start_window)
                }),
                blocked_classes: 0,
            })
            .collect();
        for (entry, listed_engine) in entries.iter().zip(&endpoints_listed) {
            log::info!(
                engine = entry.engine;
                "engine {:08x} is {} in location {}, started {:?} ago",
                entry.engine,
                state_label(entry.state),
                entry.zone,
                (!entry.started_at.is_zero()).then(|| now.saturating_sub(entry.started_at))
            );
            match entry.state {
                EngineState::Removed => self.addresses.remove(&entry.engine),
                _ => self.addresses.insert(entry.engine, listed_engine.address),
            };
        }
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.handle_endpoints(&self.deployment, kind, &entries);
        }
        self.queue_command(EngineCommand::Endpoints(kind, endpoints_listed));
        let change = self.endpoints.apply_list(kind, entries);
        self.apply_endpoint_change(now, kind, change);
    }

    /// Tells the gateway what has changed among the engines, and calls back what is to be called back.
    fn apply_endpoint_change(&mut self, now: Duration, kind: EndpointUpdateKind, change: EndpointChange) {
        if self.notifications.is_some() {
            for entry in &change.entries {
                let admin = self.endpoints.get(entry.engine).map(|status| status.admin).unwrap_or_default();
                self.notify(EngineNotification {
                    engine: entry.engine,
                    state: entry.state,
                    admin,
                    blocked_classes: entry.blocked_classes,
                });
            }
        }
        for engine in &change.recalled {
            let admin = self.endpoints.get(*engine).map(|status| status.admin).unwrap_or_default();
            let idempotency =
                |class: usize| self.deployment.request_classes.get(class).map(|config| config.idempotency);
            let tokens: Vec<Token> = (self.attempts.iter())
                .filter(|(_, f)| {
                    f.engine == *engine && idempotency(f.request_class).is_some_and(|e| admin.recalls(e))
                })
                .map(|(token, _)| *token)
                .collect();
            for token in tokens {
                self.queue_command(EngineCommand::Cancel(token));
            }
        }
        if kind != EndpointUpdateKind::Delta || !change.entries.is_empty() {
            self.gateway.handle_event(now, Event::Endpoints(kind, change.entries));
        }
    }

    /// The fleet's plan means this here from now on.
    fn handle_zone_plan(&mut self, now: Duration, effect: &PlanEffect) {
        let Some(zone_monitor) = &mut self.zone_monitor else { return };
        zone_monitor.plan_admission.set(effect);
        log::info!(
            "sites: epoch {:?}{}, closed in part: {:?}, let in: {:?}",
            effect.epoch,
            if effect.isolated { ", goes by itself" } else { "" },
            effect.restrictions,
            effect.admitted_shares
        );
        let restrictions = effect.restrictions.iter().map(|restriction| ZoneRestriction {
            zone: restriction.zone,
            open_permille: restriction.open_permille,
            blocked_classes: restriction.blocked_classes,
        });
        let change = self.endpoints.apply_restrictions(restrictions.collect());
        self.apply_endpoint_change(now, EndpointUpdateKind::Delta, change);
    }

    fn notify(&mut self, notification: EngineNotification) {
        if let Some(notifications) = &self.notifications
            && notifications.try_send(notification).is_err()
        {
            self.dropped_notifications += 1;
        }
    }

    /// What managers ask. Wishes are looked at first and take effect with the word to switch, all in one event.
    fn handle_management(&mut self, now: Duration, call: ManagementCall) {
        match call {
            ManagementCall::Prepare { number, desired_state, reply } => {
                let class_loads = self.deployment.request_classes.len();
                let known = desired_state.limits().len() <= class_loads;
                let verdict =
                    if known { Ok(()) } else { Err(format!("only {class_loads} service groups are stated")) };
                if known {
                    self.prepared = Some((number, desired_state));
                }
                let _ = reply.try_send(verdict);
            }
            ManagementCall::Activate { number, reply } => {
                let Some((_, desired_state)) = self.prepared.take_if(|(prepared, _)| *prepared == number)
                else {
                    let _ = reply.try_send(Err(format!("commit {number} was not prepared")));
                    return;
                };
                log::info!(commit = number; "commit {number} takes effect");
                self.admission_limiter.set(desired_state.limits());
                let change = self.endpoints.apply_desired_state(desired_state);
                self.apply_endpoint_change(now, EndpointUpdateKind::Delta, change);
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
        let mut in_flight: BTreeMap<EngineId, u32> = BTreeMap::new();
        for attempt in self.attempts.values() {
            *in_flight.entry(attempt.engine).or_default() += 1;
        }
        let engines = (self.endpoints.engines())
            .map(|status| EngineStatus {
                address: self.addresses.get(&status.entry.engine).copied(),
                in_flight: in_flight.get(&status.entry.engine).copied().unwrap_or_default(),
                ejected: self.gateway.is_ejected(now, status.entry.engine),
                endpoint: status.clone(),
            })
            .collect();
        Snapshot {
            now,
            counters: self.counters.values(),
            request_classes: self.counters.request_classes().to_vec(),
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            statement_bytes: self.statement_bytes,
            decision_time: self.counters.decision_time(),
            dropped_notifications: self.dropped_notifications,
            engines,
        }
    }

    fn execute(&mut self, now: Duration, action: Action) {
        match action {
            Action::SetPriority { request, priority, memory_mb } => {
                let Some(open_request) = self.requests.get_mut(&request) else { return };
                (open_request.priority, open_request.memory_mb) = (priority, memory_mb);
                let tokens: Vec<Token> = (self.attempts.iter_mut())
                    .filter(|(_, f)| f.request == request && f.priority != priority)
                    .map(|(token, attempt)| {
                        attempt.priority = priority;
                        *token
                    })
                    .collect();
                for token in tokens {
                    self.queue_command(EngineCommand::SetPriority { token, priority });
                }
            }
            Action::Send { request, engine, timeout, start_by } => {
                self.send_attempt(now, request, engine, timeout, start_by);
            }
            Action::Cancel { request, attempt } => {
                let found = self.attempts.iter().find(|(_, f)| f.request == request && f.number == attempt);
                if let Some((token, attempt)) = found.map(|(t, f)| (*t, f)) {
                    self.counters.add(Counter::Cancels, Some(attempt.request_class));
                    self.queue_command(EngineCommand::Cancel(token));
                }
            }
            Action::Reject { request, retry_after } => {
                self.respond(&request, Response::Rejected(retry_after))
            }
            Action::Fail { request } => self.respond(&request, Response::Failed),
            Action::SetTimer { at } => {
                self.wakeups.insert(at);
            }
            Action::Probe { engine } => {
                let token = self.new_token();
                self.probes.insert(token, (engine, now));
                if let Some(zone_monitor) = &mut self.zone_monitor {
                    zone_monitor.observer.attempt_sent(now, engine);
                }
                self.timeouts.insert((now + self.limits.probe_timeout, token));
                self.queue_command(EngineCommand::Probe { token, engine });
            }
            Action::WatchEndpoints => {} // The channel brings all changes anyway.
        }
    }

    fn send_attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        engine: EngineId,
        timeout: Duration,
        start_by: Option<Duration>,
    ) {
        let token = self.new_token();
        let Some(open_request) = self.requests.get_mut(&request) else { return };
        let deadline =
            if timeout.is_zero() { open_request.deadline } else { open_request.deadline.min(now + timeout) };
        self.counters.add(Counter::Attempts, Some(open_request.request_class));
        if open_request.attempts_sent > 0 {
            self.counters.add(Counter::Retries, Some(open_request.request_class));
        }
        let command = EngineCommand::Send {
            token,
            engine,
            request: request.clone(),
            request_class: open_request.request_class,
            statement: open_request.statement.clone(),
            conditions: WriteConditions {
                until: self.clock.instant(deadline),
                start_by: start_by.map(|by| self.clock.instant(by)),
                request_open: Rc::downgrade(&open_request.open_guard),
            },
            priority: open_request.priority,
            memory_mb: open_request.memory_mb,
        };
        let attempt = InFlightAttempt {
            request,
            request_class: open_request.request_class,
            number: open_request.attempts_sent,
            engine,
            sent_at: now,
            deadline,
            priority: open_request.priority,
        };
        open_request.attempts_sent += 1;
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.observer.attempt_sent(now, engine);
        }
        self.attempts.insert(token, attempt);
        self.timeouts.insert((deadline, token));
        self.start_deadlines.extend(start_by.map(|by| (by, token)));
        self.queue_command(command);
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }

    /// Hands an order to the engines' side, in turn. An attempt or probe for which there is no room at all is
    /// over at once: nothing was sent.
    fn queue_command(&mut self, command: EngineCommand) {
        let is_full = self.command_backlog.len() >= MAX_COMMAND_BACKLOG;
        match command {
            EngineCommand::Send { token, .. } if is_full => {
                self.pending_events
                    .push_back(RouterEvent::attempt_ended(token, AttemptOutcome::ConnectFailed));
            }
            EngineCommand::Probe { token, .. } if is_full => {
                self.pending_events.push_back(RouterEvent::ProbeEnded { token, answered: false, load: None });
            }
            command => self.command_backlog.push_back(command),
        }
        self.flush_commands();
    }

    fn flush_commands(&mut self) {
        while let Some(command) = self.command_backlog.pop_front() {
            if let Err(is_full) = self.commands.try_send(command) {
                self.command_backlog.push_front(is_full.into_inner());
                self.wakeups.insert(self.clock.now() + self.deployment.tick);
                return;
            }
        }
    }

    fn respond(&mut self, request: &RequestId, answer: Response) {
        let Some(open_request) = self.finish_request(request) else { return };
        let kind = match &answer {
            Response::Returned(_) => Counter::Returned,
            Response::Rejected(_) => Counter::Rejected,
            Response::Failed => Counter::Failed,
        };
        self.counters.add(kind, Some(open_request.request_class));
        log::debug!("batch" = &**request; "batch {request} {kind}");
        open_request.sink.respond(open_request.ticket, answer);
    }

    /// The request is owed nothing more; what is out of it still has its outcomes, and what waits to be written is not.
    fn finish_request(&mut self, request: &RequestId) -> Option<OpenRequest> {
        let open_request = self.requests.remove(request)?;
        if open_request.attempts_sent > 0 {
            let running = self.attempts.iter().filter(|(_, f)| f.request == *request);
            let tokens: Vec<Token> = running.map(|(token, _)| *token).collect();
            tokens.into_iter().for_each(|token| self.queue_command(EngineCommand::Withdraw(token)));
        }
        self.statement_bytes -= open_request.statement.len();
        self.admission_limiter.release(self.clock.now(), open_request.request_class);
        Some(open_request)
    }

    /// After a panic in the gateway: what it held is errored, which promises nothing, and a new one is told
    /// the list.
    fn restart_after_panic(&mut self, now: Duration) {
        self.counters.add(Counter::Panics, None);
        log::error!("the gateway panicked: {} batches are errored, and it starts over", self.requests.len());
        let open: Vec<RequestId> = self.requests.keys().cloned().collect();
        for request in open {
            self.respond(&request, Response::Failed);
        }
        let tokens: Vec<Token> = self.attempts.keys().chain(self.probes.keys()).copied().collect();
        for token in tokens {
            self.queue_command(EngineCommand::Cancel(token));
        }
        self.attempts.clear();
        self.probes.clear();
        self.timeouts.clear();
        self.start_deadlines.clear();
        self.wakeups.clear();
        self.gateway = Gateway::new(self.deployment.clone(), now.as_nanos() as u64);
        let entries = self.endpoints.engines().map(|status| status.entry.clone()).collect();
        self.gateway.handle_event(now, Event::Endpoints(EndpointUpdateKind::Full, entries));
        self.wakeups.insert(now);
    }
}

/// An engine's state as log lines name it.
fn state_label(state: EngineState) -> &'static str {
    match state {
        EngineState::Active => "Active",
        EngineState::Draining => "Leaving",
        EngineState::Removed => "Left",
    }
}
