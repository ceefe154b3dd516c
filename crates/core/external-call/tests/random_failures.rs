//! Random sequences of failures of proxies, engines and processors. Without `failure_mode_allow` a
//! non-idempotent request never runs twice; with it, no response of the processor forwards one that may have
//! run. Every stream gets at most one final response, and every attempt that a restart of the processor does
//! not lose ends with one outcome.

mod common;

use common::{IDEMPOTENT, NON_IDEMPOTENT, call_request, config, ms};
use lemonusher::{AttemptOutcome, RequestId};
use lemonusher_external_call::{CallAction, CallRequest, CallResponse, ExternalCalls, FinalResponse};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of attempts that a proxy sends for one request.
const MAX_ATTEMPTS: u32 = 5;
/// Value of `attempts` for a finished request, above [`MAX_ATTEMPTS`], so that no further attempt is sent.
const FINISHED: u32 = 99;

#[derive(Debug, Clone)]
enum Step {
    /// The proxy sends a request's headers.
    SendHeaders(u8),
    /// The router grants a request an attempt.
    Grant(u8),
    /// The oldest response is delivered to its proxy.
    DeliverResponse,
    /// The engine responds to a request. The second value, from 0 to 3, selects the outcome.
    EngineResponds(u8, u8),
    ResetStream(u8),
    /// The router sends a request's final response. It rejects the request if the flag is set and a retry is
    /// safe, and fails it otherwise.
    GiveUp(u8, bool),
    /// Time passes, in milliseconds.
    Wait(u16),
    RestartProcessor,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u8).prop_map(Step::SendHeaders),
        4 => (0..4u8).prop_map(Step::Grant),
        4 => Just(Step::DeliverResponse),
        3 => (0..4u8, 0..4u8).prop_map(|(request, choice)| Step::EngineResponds(request, choice)),
        1 => (0..4u8).prop_map(Step::ResetStream),
        1 => (0..4u8, any::<bool>()).prop_map(|(request, reject)| Step::GiveUp(request, reject)),
        2 => (0..250u16).prop_map(Step::Wait),
        1 => Just(Step::RestartProcessor),
    ]
}

/// The proxy's state of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ProxyState {
    Idle,
    AwaitingResponse { stream: u64, until: Duration },
    Upstream { stream: u64 },
}

struct Request {
    id: RequestId,
    state: ProxyState,
    attempts: u32,
    has_token: bool,
    /// Number of times that it ran or may have run.
    runs: u32,
}

/// The router's state of a submitted request.
#[derive(Default, Clone)]
struct Submitted {
    in_flight: Option<u64>,
    may_have_run: bool,
}

struct Attempt {
    request: RequestId,
    has_ended: bool,
}

struct Simulation {
    calls: ExternalCalls,
    requests: Vec<Request>,
    submitted: BTreeMap<RequestId, Submitted>,
    attempts: BTreeMap<u64, Attempt>,
    /// Responses that were sent and are not delivered to the proxies yet, by stream.
    responses: Vec<(u64, CallResponse)>,
    answered_streams: BTreeSet<u64>,
    next_number: u64,
    now: Duration,
    failure_mode_allow: bool,
}

impl Simulation {
    fn new(failure_mode_allow: bool, max_timeout_extension_ms: u64) -> Simulation {
        let request = |n: usize| Request {
            id: format!("b{n}").into(),
            state: ProxyState::Idle,
            attempts: 0,
            has_token: false,
            runs: 0,
        };
        Simulation {
            calls: ExternalCalls::new(config(failure_mode_allow, max_timeout_extension_ms)),
            requests: (0..4).map(request).collect(),
            submitted: BTreeMap::new(),
            attempts: BTreeMap::new(),
            responses: Vec::new(),
            answered_streams: BTreeSet::new(),
            next_number: 0,
            now: ms(0),
            failure_mode_allow,
        }
    }

    fn request_class(number: usize) -> usize {
        if number < 2 { NON_IDEMPOTENT } else { IDEMPOTENT }
    }

    fn execute(&mut self, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Submit(call) => {
                    let earlier = self.submitted.insert(call.request, Submitted::default());
                    assert!(earlier.is_none(), "submitted twice");
                }
                CallAction::Cancel(request) => drop(self.submitted.remove(&request)),
                CallAction::EndAttempt { token, outcome } => self.end_attempt(token, outcome),
                CallAction::Respond { stream, response } => {
                    if !matches!(response, CallResponse::ExtendTimeout(_)) {
                        assert!(self.answered_streams.insert(stream), "one response a stream");
                    }
                    self.responses.push((stream, response));
                }
            }
        }
    }

    fn end_attempt(&mut self, token: u64, outcome: AttemptOutcome) {
        let attempt = self.attempts.get_mut(&token).expect("a token that was given");
        assert!(!std::mem::replace(&mut attempt.has_ended, true), "one outcome an attempt");
        let request = attempt.request.clone();
        let current = |submitted: &&mut Submitted| submitted.in_flight == Some(token);
        if let Some(submitted) = self.submitted.get_mut(&request).filter(current) {
            submitted.in_flight = None;
            submitted.may_have_run |= !outcome.never_ran();
            if outcome == AttemptOutcome::Returned {
                self.submitted.remove(&request);
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::SendHeaders(number) => self.send_headers(number.into()),
            Step::Grant(number) => self.grant(number.into()),
            Step::DeliverResponse => self.deliver_response(),
            Step::EngineResponds(number, choice) => self.engine_responds(number.into(), choice),
            Step::ResetStream(number) => self.reset_stream(number.into()),
            Step::GiveUp(number, reject) => self.give_up(number.into(), reject),
            Step::Wait(duration_ms) => self.wait(ms(duration_ms.into())),
            Step::RestartProcessor => self.restart_processor(),
        }
    }

    fn send_headers(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.state != ProxyState::Idle || request.attempts >= MAX_ATTEMPTS {
            return;
        }
        request.attempts += 1;
        self.next_number += 1;
        let stream = self.next_number;
        request.state = ProxyState::AwaitingResponse { stream, until: self.now + ms(200) };
        let headers = CallRequest {
            attempt: request.attempts,
            has_valid_token: request.has_token,
            ..call_request(stream, &request.id, Simulation::request_class(number))
        };
        let actions = self.calls.handle_request(self.now, headers);
        self.execute(actions);
    }

    fn grant(&mut self, number: usize) {
        let id = self.requests[number].id.clone();
        // Same rule as the gateway's: a non-idempotent request that may have run is not retried.
        let Some(submitted) = self.submitted.get_mut(&id) else { return };
        let must_not_run = submitted.may_have_run && Simulation::request_class(number) == NON_IDEMPOTENT;
        if submitted.in_flight.is_some() || must_not_run {
            return;
        }
        self.next_number += 1;
        let token = self.next_number;
        submitted.in_flight = Some(token);
        self.attempts.insert(token, Attempt { request: id.clone(), has_ended: false });
        let actions = self.calls.handle_attempt(&id, token, 7, ms(900));
        self.execute(actions);
    }

    fn deliver_response(&mut self) {
        if self.responses.is_empty() {
            return;
        }
        let (stream, response) = self.responses.remove(0);
        let awaits = |request: &Request| matches!(request.state, ProxyState::AwaitingResponse { stream: current, .. } if current == stream);
        let Some(number) = self.requests.iter().position(awaits) else { return };
        let request = &mut self.requests[number];
        match response {
            CallResponse::Forward { .. } => {
                request.state = ProxyState::Upstream { stream };
                request.has_token = true;
                // With `failure_mode_allow` a proxy may forward a retry without a response. But no response
                // of the processor forwards a non-idempotent request that may have run.
                assert!(
                    Simulation::request_class(number) == IDEMPOTENT || request.runs == 0,
                    "{} may have run",
                    request.id
                );
                request.runs += 1;
            }
            CallResponse::ExtendTimeout(extension) => {
                request.state = ProxyState::AwaitingResponse { stream, until: self.now + extension };
            }
            CallResponse::Reject { .. } | CallResponse::Fail => {
                request.state = ProxyState::Idle;
                let actions = self.calls.handle_stream_end(self.now, stream, true);
                self.execute(actions);
            }
        }
    }

    fn engine_responds(&mut self, number: usize, choice: u8) {
        let ProxyState::Upstream { stream } = self.requests[number].state else { return };
        let outcome = match choice {
            0 | 1 => AttemptOutcome::Returned,
            2 => AttemptOutcome::Errored,
            // The engine's rejection proves that the attempt never ran.
            _ => {
                self.requests[number].runs -= 1;
                AttemptOutcome::Rejected
            }
        };
        let actions = self.calls.handle_response_headers(stream, outcome);
        self.execute(actions);
        self.requests[number].state = ProxyState::Idle;
        let actions = self.calls.handle_stream_end(self.now, stream, true);
        self.execute(actions);
        if outcome == AttemptOutcome::Returned {
            self.requests[number].attempts = FINISHED;
        }
    }

    fn reset_stream(&mut self, number: usize) {
        let ProxyState::Upstream { stream } = self.requests[number].state else { return };
        self.requests[number].state = ProxyState::Idle;
        let actions = self.calls.handle_stream_end(self.now, stream, false);
        self.execute(actions);
    }

    fn give_up(&mut self, number: usize, reject: bool) {
        let id = self.requests[number].id.clone();
        let Some(submitted) = self.submitted.get(&id) else { return };
        if submitted.in_flight.is_some() {
            return;
        }
        let is_safe = !submitted.may_have_run || Simulation::request_class(number) == IDEMPOTENT;
        self.submitted.remove(&id);
        let response = match reject && is_safe {
            true => FinalResponse::Rejected { retry_after: None },
            false => FinalResponse::Failed,
        };
        let actions = self.calls.handle_final_response(self.now, &id, response);
        self.execute(actions);
    }

    fn wait(&mut self, duration: Duration) {
        let until = self.now + duration;
        loop {
            let timeouts = self.requests.iter().filter_map(|request| match request.state {
                ProxyState::AwaitingResponse { until, .. } => Some(until),
                _ => None,
            });
            let next = timeouts.chain(self.calls.next_timeout()).min().filter(|at| *at <= until);
            self.now = next.unwrap_or(until).max(self.now);
            let actions = self.calls.poll(self.now);
            self.execute(actions);
            self.time_out_proxies();
            if next.is_none() {
                return;
            }
        }
    }

    /// Times out proxies that got no response in time: each gives up or, with `failure_mode_allow`, forwards
    /// the request.
    fn time_out_proxies(&mut self) {
        for number in 0..self.requests.len() {
            let ProxyState::AwaitingResponse { stream, until } = self.requests[number].state else {
                continue;
            };
            if until <= self.now {
                self.requests[number].state = ProxyState::Idle;
                if self.failure_mode_allow {
                    self.requests[number].runs += 1;
                    self.requests[number].attempts = FINISHED;
                }
                let actions = self.calls.handle_stream_end(self.now, stream, false);
                self.execute(actions);
            }
        }
    }

    /// Restarts the processor: all streams are reset, and the new processor has no record of the calls in flight.
    fn restart_processor(&mut self) {
        self.calls = ExternalCalls::new(config(self.failure_mode_allow, 0));
        self.submitted.clear();
        self.attempts.clear();
        self.responses.clear();
        for request in &mut self.requests {
            let is_waiting = matches!(request.state, ProxyState::AwaitingResponse { .. });
            if is_waiting && self.failure_mode_allow {
                request.runs += 1;
                request.attempts = FINISHED;
            }
            request.state = ProxyState::Idle;
        }
    }

    /// Delivers all pending responses, resets all open streams and waits for all timeouts.
    fn run_to_completion(&mut self) {
        for _ in 0..40 {
            self.step(Step::DeliverResponse);
        }
        for number in 0..4 {
            self.step(Step::ResetStream(number));
        }
        self.step(Step::Wait(2000));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]
    #[test]
    fn non_idempotent_requests_never_run_twice(
        steps in prop::collection::vec(any_step(), 1..80),
        failure_mode_allow in any::<bool>(),
        extensions in 0..2u64,
    ) {
        let mut simulation = Simulation::new(failure_mode_allow, extensions * 300);
        for step in steps {
            simulation.step(step);
            for (number, request) in simulation.requests.iter().enumerate() {
                let may_repeat = Simulation::request_class(number) == IDEMPOTENT || failure_mode_allow;
                prop_assert!(may_repeat || request.runs <= 1, "{} ran {}", request.id, request.runs);
            }
        }
        simulation.run_to_completion();
        prop_assert_eq!(simulation.calls.open_calls(), 0);
        prop_assert_eq!(simulation.calls.next_timeout(), None);
        prop_assert!(simulation.attempts.values().all(|attempt| attempt.has_ended));
    }
}
