//! Runs the same arrivals and attempt outcomes through the gateway alone and through external calls, in
//! virtual time and for several seeds. Some attempts fail, are rejected, can't connect, are reset or time out.
//! Both runs must make the same decisions in the same order.

use lemonusher::*;
use lemonusher_external_call::{
    CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, FinalResponse, GrantedAttempt,
    TokenEvidence,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Rng(u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

fn deployment() -> Deployment {
    let class = |latency_objective, deadline, idempotency, bulk_load| RequestClassConfig {
        latency_objective: ms(latency_objective),
        objective_work_factor: 1.5,
        deadline: ms(deadline),
        priority_weight: 1.0,
        idempotency,
        threads: if bulk_load { 2.0 } else { 1.0 },
        bulk_load,
        waits_for_bulk_loads: !bulk_load,
        ..RequestClassConfig::default()
    };
    Deployment {
        fronts: 1,
        request_classes: vec![
            class(1000, 5000, Idempotency::Idempotent, false),
            class(4000, 20_000, Idempotency::NonIdempotent, true),
        ],
        machine_kinds: vec![MachineKind { cores: 2.0, memory_mb: 4096.0 }],
        tick: ms(5),
        capabilities: Capabilities {
            retry_after: true,
            max_retry_after: ms(2000),
            max_attempts: 4,
            connect_timeout: ms(250),
            ..Capabilities::default()
        },
        safety_rules: SafetyRules {
            drain_grace: ms(2000),
            slow_start_share: 0.34,
            slow_start_window: ms(14_000),
            overload_factor: 3.0,
            overload_window: ms(1500),
            discovery_poll_deadline: ms(10_000),
            ..SafetyRules::default()
        },
        ..Deployment::default()
    }
}

/// Outcome and duration of this attempt of a request, the same in both runs.
fn attempt_result(seed: u64, request: usize, attempt: u32) -> (AttemptOutcome, Duration) {
    let mut rng = Rng(seed ^ ((request as u64) << 20) ^ u64::from(attempt) << 50 | 1);
    rng.below(10);
    let outcome = match rng.below(20) {
        0 => AttemptOutcome::Errored,
        1 => AttemptOutcome::Rejected,
        2 => AttemptOutcome::ConnectFailed,
        3 => AttemptOutcome::Reset,
        4 => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::Returned,
    };
    (outcome, ms(5 + rng.below(400)))
}

#[derive(Debug, Clone, PartialEq)]
enum Decision {
    Sent(Duration, usize, EngineId),
    Rejected(Duration, usize, Option<Duration>),
    Failed(Duration, usize),
    Returned(Duration, usize),
}

enum Scheduled {
    Arrival(usize),
    AttemptEnd { request: usize, attempt: u32, engine: EngineId, token: u64 },
    Timer,
    EngineState(u32, EngineState),
}

/// An attempt whose end is being reported.
struct Attempt {
    request: usize,
    number: u32,
    engine: EngineId,
    elapsed: Duration,
}

fn request_id(request: usize) -> RequestId {
    format!("b{request}").into()
}

fn request_number(id: &RequestId) -> usize {
    id[1..].parse().unwrap()
}

fn request_class(request: usize) -> usize {
    usize::from(request.is_multiple_of(7))
}

fn engine_entry(engine: u32, state: EngineState) -> EngineEntry {
    EngineEntry { engine, state, ..EngineEntry::default() }
}

fn call_config() -> CallConfig {
    CallConfig {
        message_timeout: ms(60_000),
        failure_mode_allow: false,
        max_timeout_extension: ms(0),
        retry_window: ms(60_000),
        unknown_outcome_retention: ms(60_000),
        idempotency: vec![Idempotency::Idempotent, Idempotency::NonIdempotent],
        max_calls: 10_000,
        max_finished_calls: 10_000,
    }
}

/// One run of the gateway, with or without external calls in front of it.
struct Run {
    seed: u64,
    gateway: Gateway,
    /// Present only in the run through external calls.
    calls: Option<ExternalCalls>,
    schedule: BTreeMap<(Duration, u64), Scheduled>,
    next_scheduled: u64,
    decisions: Vec<Decision>,
    open: BTreeSet<usize>,
    /// Number of attempts sent, by request.
    sent: BTreeMap<usize, u32>,
    /// The latest stream of each request.
    streams: BTreeMap<usize, u64>,
    /// The latest attempt of each request, which its continuation token names.
    tokens: BTreeMap<usize, u64>,
    next_stream: u64,
    next_token: u64,
    /// Attempts whose end is being reported, by token.
    ending: BTreeMap<u64, Attempt>,
}

impl Run {
    fn new(seed: u64, external: bool) -> Run {
        let mut run = Run {
            seed,
            gateway: Gateway::new(deployment(), seed),
            calls: external.then(|| ExternalCalls::new(call_config())),
            schedule: BTreeMap::new(),
            next_scheduled: 0,
            decisions: Vec::new(),
            open: BTreeSet::new(),
            sent: BTreeMap::new(),
            streams: BTreeMap::new(),
            tokens: BTreeMap::new(),
            next_stream: 0,
            next_token: 0,
            ending: BTreeMap::new(),
        };
        let mut rng = Rng(seed);
        let mut at = ms(1000);
        for request in 0..400 {
            at += ms(rng.below(30));
            run.schedule(at, Scheduled::Arrival(request));
        }
        // Engine 2 drains and becomes active again during the arrivals.
        run.schedule(ms(2500), Scheduled::EngineState(2, EngineState::Draining));
        run.schedule(ms(4500), Scheduled::EngineState(2, EngineState::Active));
        let all = (1..=3).map(|engine| engine_entry(engine, EngineState::Active)).collect();
        run.gateway.handle_event(ms(0), Event::Endpoints(EndpointUpdateKind::Full, all));
        run
    }

    fn schedule(&mut self, at: Duration, scheduled: Scheduled) {
        self.next_scheduled += 1;
        self.schedule.insert((at, self.next_scheduled), scheduled);
    }

    fn run(mut self) -> Vec<Decision> {
        while let Some(((now, _), scheduled)) = self.schedule.pop_first() {
            let actions = self.handle_scheduled(now, scheduled);
            let failed = self.execute(now, actions);
            let actions = self.retry(now, failed);
            self.decide(now, actions);
        }
        assert!(self.calls.is_none_or(|calls| calls.open_calls() == 0));
        self.decisions
    }

    fn handle_scheduled(&mut self, now: Duration, scheduled: Scheduled) -> Vec<CallAction> {
        match scheduled {
            Scheduled::Timer => {
                self.gateway.handle_event(now, Event::TimerFired);
                Vec::new()
            }
            Scheduled::EngineState(engine, state) => {
                let entries = vec![engine_entry(engine, state)];
                self.gateway.handle_event(now, Event::Endpoints(EndpointUpdateKind::Delta, entries));
                Vec::new()
            }
            Scheduled::Arrival(request) => {
                let client_timeout = deployment().request_classes[request_class(request)].deadline;
                let call = self.call_request(request, CallRequest { client_timeout, ..first_attempt() });
                match &mut self.calls {
                    Some(calls) => calls.handle_request(now, call),
                    None => vec![CallAction::Submit(call)],
                }
            }
            Scheduled::AttemptEnd { request, attempt, engine, token } => {
                let (outcome, elapsed) = attempt_result(self.seed, request, attempt);
                self.ending.insert(token, Attempt { request, number: attempt, engine, elapsed });
                let Some(calls) = &mut self.calls else {
                    return vec![CallAction::EndAttempt { token, outcome }];
                };
                let stream = self.streams[&request];
                calls.handle_response_headers(stream, outcome);
                calls.handle_stream_end(now, stream, outcome != AttemptOutcome::Reset)
            }
        }
    }

    /// Creates the call of a request, on a new stream.
    fn call_request(&mut self, request: usize, attempt: CallRequest) -> CallRequest {
        self.next_stream += 1;
        self.streams.insert(request, self.next_stream);
        CallRequest {
            stream: self.next_stream,
            request: request_id(request),
            request_class: request_class(request),
            table_group: if attempt.attempt == 1 { request as u64 % 5 } else { 0 },
            ..attempt
        }
    }

    /// Executes the actions of the calls and returns the requests of which an attempt failed.
    fn execute(&mut self, now: Duration, actions: Vec<CallAction>) -> Vec<usize> {
        let mut failed = Vec::new();
        for action in actions {
            match action {
                CallAction::Submit(call) => self.submit(now, call),
                CallAction::EndAttempt { token, outcome } => {
                    let attempt = self.ending.remove(&token).expect("an attempt that is in flight");
                    if outcome == AttemptOutcome::Returned {
                        self.open.remove(&attempt.request);
                        self.decisions.push(Decision::Returned(now, attempt.request));
                    } else {
                        failed.push(attempt.request);
                    }
                    self.end_attempt(now, attempt, outcome);
                }
                CallAction::Cancel(_) | CallAction::Respond { .. } => panic!("nothing is late here"),
            }
        }
        failed
    }

    fn submit(&mut self, now: Duration, call: CallRequest) {
        self.open.insert(request_number(&call.request));
        let arrival = Arrival {
            request: call.request,
            request_class: call.request_class,
            table_group: call.table_group,
            key: None,
            client_timeout: call.client_timeout,
            work: None,
            memory_mb: 0.0,
            client_retry: call.client_retry,
        };
        self.gateway.handle_event(now, Event::Arrived(arrival));
    }

    fn end_attempt(&mut self, now: Duration, attempt: Attempt, outcome: AttemptOutcome) {
        let end = AttemptEnd {
            request: request_id(attempt.request),
            attempt: attempt.number,
            engine: attempt.engine,
            elapsed: attempt.elapsed,
            outcome,
            request_finished: !self.open.contains(&attempt.request),
            usage: None,
            load: None,
        };
        self.gateway.handle_event(now, Event::AttemptEnded(end));
    }

    /// The proxy retries the failed requests at once, each on a new stream.
    fn retry(&mut self, now: Duration, failed: Vec<usize>) -> Vec<CallAction> {
        let mut actions = Vec::new();
        if self.calls.is_none() {
            return actions;
        }
        for request in failed {
            let (attempt, token) =
                (self.sent[&request] + 1, TokenEvidence::ForwardedHere(self.tokens[&request]));
            let retry = CallRequest { attempt, token, ..first_attempt() };
            let call = self.call_request(request, retry);
            if let Some(calls) = &mut self.calls {
                actions.extend(calls.handle_request(now, call));
            }
        }
        actions
    }

    fn decide(&mut self, now: Duration, mut actions: Vec<CallAction>) {
        for action in self.gateway.decide(now) {
            match action {
                Action::Send { request, engine, .. } => {
                    self.send(now, &request, engine, std::mem::take(&mut actions));
                }
                Action::Reject { request, retry_after } => {
                    self.open.remove(&request_number(&request));
                    if let Some(calls) = &mut self.calls {
                        let response = FinalResponse::Rejected { retry_after };
                        let given = calls.handle_final_response(now, &request, response);
                        let is_response_sent =
                            given.iter().any(|action| matches!(action, CallAction::Respond { .. }));
                        assert!(is_response_sent, "{given:?}");
                    }
                    self.decisions.push(Decision::Rejected(now, request_number(&request), retry_after));
                }
                Action::Fail { request } => {
                    self.open.remove(&request_number(&request));
                    if let Some(calls) = &mut self.calls {
                        calls.handle_final_response(now, &request, FinalResponse::Failed);
                    }
                    self.decisions.push(Decision::Failed(now, request_number(&request)));
                }
                Action::SetTimer { at } => self.schedule(at, Scheduled::Timer),
                _ => {}
            }
        }
    }

    /// Handles the gateway's action to send a request to an engine. `actions` are those of the retries just
    /// before it.
    fn send(&mut self, now: Duration, request: &RequestId, engine: EngineId, mut actions: Vec<CallAction>) {
        let number = request_number(request);
        self.next_token += 1;
        let token = self.next_token;
        self.tokens.insert(number, token);
        if let Some(calls) = &mut self.calls {
            let granted = GrantedAttempt { token, engine, until: now + ms(1000), start_by: None };
            actions.extend(calls.handle_attempt(now, request, granted));
            let is_forward = |action: &CallAction| {
                matches!(action, CallAction::Respond { response: CallResponse::Forward { .. }, .. })
            };
            assert!(actions.iter().any(is_forward), "an attempt is not forwarded although the proxy waits");
        }
        let attempt = self.sent.entry(number).or_default();
        let (_, elapsed) = attempt_result(self.seed, number, *attempt);
        let end = Scheduled::AttemptEnd { request: number, attempt: *attempt, engine, token };
        *attempt += 1;
        self.schedule(now + elapsed, end);
        self.decisions.push(Decision::Sent(now, number, engine));
    }
}

fn first_attempt() -> CallRequest {
    CallRequest {
        stream: 0,
        request: request_id(0),
        request_class: 0,
        table_group: 0,
        client_timeout: ms(1),
        client_retry: false,
        attempt: 1,
        token: TokenEvidence::Absent,
        queued: Duration::ZERO,
    }
}

#[test]
fn external_calls_get_the_decisions_that_the_gateway_gives_alone() {
    let (mut compared, mut retries, mut refused) = (0, 0, 0);
    for seed in 1..=24 {
        let (alone, external) = (Run::new(seed, false).run(), Run::new(seed, true).run());
        assert_eq!(alone.len(), external.len(), "seed {seed}");
        for (a, b) in alone.iter().zip(&external) {
            assert_eq!(a, b, "seed {seed}");
        }
        compared += alone.len();
        let sent = alone.iter().filter(|decision| matches!(decision, Decision::Sent(..))).count();
        retries += sent.saturating_sub(400);
        let is_refused = |d: &&Decision| matches!(d, Decision::Rejected(..) | Decision::Failed(..));
        refused += alone.iter().filter(is_refused).count();
    }
    assert!(compared > 10_000 && retries > 100 && refused > 50, "{compared} {retries} {refused}");
    println!("proof: same verdicts {compared} over 24 seeds, {refused} pushed back or errored");
}
