//! Random sequences of failures of proxies, engines and processors. Two processors serve the same requests, and the
//! proxy may call either for each attempt. Without `failure_mode_allow` a non-idempotent request never runs twice;
//! with it, no response of a processor forwards one that may have run. No client is informed that a retry is safe if it
//! is not. Every stream gets at most one final response, and every attempt that a restart of its processor does not
//! lose ends with one outcome.

mod common;

use common::{IDEMPOTENT, NON_IDEMPOTENT, call_request, config, grant, ms};
use lemonusher::{AttemptOutcome, RequestId};
use lemonusher_external_call::{
    CallAction, CallRequest, CallResponse, ExternalCalls, FinalResponse, TokenEvidence,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of processors.
const PROCESSORS: u8 = 2;
/// Number of requests: a non-idempotent one, and one that is idempotent. Few, so that many steps are about the same.
const REQUESTS: u8 = 2;
/// Maximum number of attempts that a proxy sends for one request.
const MAX_ATTEMPTS: u32 = 5;
/// Value of `attempts` for a finished request, above [`MAX_ATTEMPTS`], so that no further attempt is sent.
const FINISHED: u32 = 99;

#[derive(Debug, Clone)]
enum Step {
    /// The proxy sends a request's headers to a processor. If its client was told that it may send the request again,
    /// it is the client's if the flag is set, and the proxy's own retry otherwise.
    SendHeaders {
        request: u8,
        processor: u8,
        by_client: bool,
    },
    /// A whole attempt: the proxy sends the headers, the processor's router decides at once, the response is
    /// delivered, and an attempt that was forwarded is reset, or the engine responds with this choice.
    Attempt {
        request: u8,
        processor: u8,
        by_client: bool,
        is_granted: bool,
        engine_choice: Option<u8>,
    },
    /// A processor's router grants a request an attempt.
    Grant {
        request: u8,
        processor: u8,
    },
    /// The oldest response is delivered to its proxy.
    DeliverResponse,
    /// The engine responds to a request. `choice`, from 0 to 3, selects the outcome.
    EngineResponds {
        request: u8,
        choice: u8,
    },
    ResetStream(u8),
    /// A processor's router sends a request's final response. It rejects the request if the flag is set and a retry
    /// is safe, and fails it otherwise.
    GiveUp {
        request: u8,
        processor: u8,
        reject: bool,
    },
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A processor stops to run, or goes on; what it is sent meanwhile is queued.
    Suspend(u8),
    Resume(u8),
    RestartProcessor(u8),
}

fn any_step() -> impl Strategy<Value = Step> {
    let request = 0..REQUESTS;
    let processor = 0..PROCESSORS;
    let both = move || (0..REQUESTS, 0..PROCESSORS);
    prop_oneof![
        5 => (both(), any::<bool>())
            .prop_map(|((request, processor), by_client)| Step::SendHeaders { request, processor, by_client }),
        10 => (both(), any::<bool>(), any::<bool>(), prop::option::of(0..4u8)).prop_map(
            |((request, processor), by_client, is_granted, engine_choice)| Step::Attempt {
                request,
                processor,
                by_client,
                is_granted,
                engine_choice,
            }
        ),
        5 => both().prop_map(|(request, processor)| Step::Grant { request, processor }),
        4 => Just(Step::DeliverResponse),
        3 => (request.clone(), 0..4u8).prop_map(|(request, choice)| Step::EngineResponds { request, choice }),
        2 => request.prop_map(Step::ResetStream),
        2 => (both(), any::<bool>())
            .prop_map(|((request, processor), reject)| Step::GiveUp { request, processor, reject }),
        2 => (0..250u16).prop_map(Step::Wait),
        1 => processor.clone().prop_map(Step::Suspend),
        1 => processor.clone().prop_map(Step::Resume),
        1 => processor.prop_map(Step::RestartProcessor),
    ]
}

/// The proxy's state of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ProxyState {
    Idle,
    AwaitingResponse { processor: usize, stream: u64, until: Duration },
    Upstream { processor: usize, stream: u64 },
}

/// A continuation token as the proxy keeps it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Token {
    processor: usize,
    incarnation: u64,
    number: u64,
}

struct Request {
    id: RequestId,
    state: ProxyState,
    attempts: u32,
    token: Option<Token>,
    /// Whether its client was told that it may send the request again.
    was_rejected: bool,
    /// Whether its client marks it as a retry.
    client_retry: bool,
    /// Number of times that it ran or may have run.
    runs: u32,
}

impl Request {
    /// The client of a rejected request sends it again: a new request for the proxy, with the same id.
    fn send_again(&mut self) {
        self.attempts = 0;
        self.token = None;
        self.client_retry = true;
    }
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

/// What a processor is sent.
enum Input {
    Request(CallRequest),
    ResponseHeaders { stream: u64, outcome: AttemptOutcome },
    StreamEnd { stream: u64, complete: bool },
}

/// A response that was sent and is not delivered to the proxy yet.
struct SentResponse {
    stream: u64,
    response: CallResponse,
    /// Incarnation of the processor that sent it.
    incarnation: u64,
}

/// One processor with its router.
struct Processor {
    calls: ExternalCalls,
    incarnation: u64,
    submitted: BTreeMap<RequestId, Submitted>,
    attempts: BTreeMap<u64, Attempt>,
    /// What it was sent since it stopped to run; none if it runs.
    suspended: Option<Vec<Input>>,
}

struct Simulation {
    processors: Vec<Processor>,
    requests: Vec<Request>,
    responses: Vec<SentResponse>,
    answered_streams: BTreeSet<u64>,
    next_number: u64,
    now: Duration,
    failure_mode_allow: bool,
    max_timeout_extension_ms: u64,
}

impl Simulation {
    fn new(failure_mode_allow: bool, max_timeout_extension_ms: u64) -> Simulation {
        let request = |n: usize| Request {
            id: format!("b{n}").into(),
            state: ProxyState::Idle,
            attempts: 0,
            token: None,
            was_rejected: false,
            client_retry: false,
            runs: 0,
        };
        let mut simulation = Simulation {
            processors: Vec::new(),
            requests: (0..usize::from(REQUESTS)).map(request).collect(),
            responses: Vec::new(),
            answered_streams: BTreeSet::new(),
            next_number: 0,
            now: ms(0),
            failure_mode_allow,
            max_timeout_extension_ms,
        };
        for _ in 0..PROCESSORS {
            let processor = simulation.start_processor();
            simulation.processors.push(processor);
        }
        simulation
    }

    fn request_class(number: usize) -> usize {
        if number == 0 { NON_IDEMPOTENT } else { IDEMPOTENT }
    }

    fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn start_processor(&mut self) -> Processor {
        Processor {
            calls: ExternalCalls::new(config(self.failure_mode_allow, self.max_timeout_extension_ms)),
            incarnation: self.new_number(),
            submitted: BTreeMap::new(),
            attempts: BTreeMap::new(),
            suspended: None,
        }
    }

    /// Sends a processor something; it handles it at once unless it is suspended.
    fn send(&mut self, processor: usize, input: Input) {
        if let Some(queued) = &mut self.processors[processor].suspended {
            queued.push(input);
            return;
        }
        let (now, calls) = (self.now, &mut self.processors[processor].calls);
        let actions = match input {
            Input::Request(request) => calls.handle_request(now, request),
            Input::ResponseHeaders { stream, outcome } => calls.handle_response_headers(stream, outcome),
            Input::StreamEnd { stream, complete } => calls.handle_stream_end(now, stream, complete),
        };
        self.execute(processor, actions);
    }

    fn execute(&mut self, processor: usize, actions: Vec<CallAction>) {
        for action in actions {
            let host = &mut self.processors[processor];
            match action {
                CallAction::Submit(call) => {
                    let earlier = host.submitted.insert(call.request, Submitted::default());
                    assert!(earlier.is_none(), "submitted twice");
                }
                CallAction::Cancel(request) => drop(host.submitted.remove(&request)),
                CallAction::EndAttempt { token, outcome } => host.end_attempt(token, outcome),
                CallAction::Respond { stream, response } => {
                    if !matches!(response, CallResponse::ExtendTimeout(_)) {
                        assert!(self.answered_streams.insert(stream), "one response a stream");
                    }
                    let incarnation = host.incarnation;
                    self.responses.push(SentResponse { stream, response, incarnation });
                }
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::SendHeaders { request, processor, by_client } => {
                self.send_headers(request.into(), processor.into(), by_client);
            }
            Step::Attempt { request, processor, by_client, is_granted, engine_choice } => {
                self.send_headers(request.into(), processor.into(), by_client);
                match is_granted {
                    true => self.grant(request.into(), processor.into()),
                    false => self.give_up(request.into(), processor.into(), true),
                }
                while !self.responses.is_empty() {
                    self.deliver_response();
                }
                match engine_choice {
                    Some(choice) => self.engine_responds(request.into(), choice),
                    None => self.reset_stream(request.into()),
                }
            }
            Step::Grant { request, processor } => self.grant(request.into(), processor.into()),
            Step::DeliverResponse => self.deliver_response(),
            Step::EngineResponds { request, choice } => self.engine_responds(request.into(), choice),
            Step::ResetStream(number) => self.reset_stream(number.into()),
            Step::GiveUp { request, processor, reject } => {
                self.give_up(request.into(), processor.into(), reject);
            }
            Step::Wait(duration_ms) => self.wait(ms(duration_ms.into())),
            Step::Suspend(processor) => {
                self.processors[usize::from(processor)].suspended.get_or_insert_default();
            }
            Step::Resume(processor) => self.resume(processor.into()),
            Step::RestartProcessor(processor) => self.restart_processor(processor.into()),
        }
    }

    fn send_headers(&mut self, number: usize, processor: usize, by_client: bool) {
        let stream = self.new_number();
        let request = &mut self.requests[number];
        if request.state == ProxyState::Idle && request.was_rejected && by_client {
            request.send_again();
        }
        if request.state != ProxyState::Idle || request.attempts >= MAX_ATTEMPTS {
            return;
        }
        request.attempts += 1;
        request.was_rejected = false;
        request.state = ProxyState::AwaitingResponse { processor, stream, until: self.now + ms(200) };
        let incarnation = self.processors[processor].incarnation;
        let token = match request.token {
            None => TokenEvidence::Absent,
            Some(token) if (token.processor, token.incarnation) == (processor, incarnation) => {
                TokenEvidence::ForwardedHere(token.number)
            }
            Some(_) => TokenEvidence::ForwardedElsewhere,
        };
        let headers = CallRequest {
            attempt: request.attempts,
            token,
            client_retry: request.client_retry,
            ..call_request(stream, &request.id, Simulation::request_class(number))
        };
        self.send(processor, Input::Request(headers));
    }

    fn grant(&mut self, number: usize, processor: usize) {
        let id = self.requests[number].id.clone();
        let token = self.new_number();
        let (now, host) = (self.now, &mut self.processors[processor]);
        if host.suspended.is_some() {
            return;
        }
        // Same rule as the gateway's: a non-idempotent request that may have run is not retried.
        let Some(submitted) = host.submitted.get_mut(&id) else { return };
        let must_not_run = submitted.may_have_run && Simulation::request_class(number) == NON_IDEMPOTENT;
        if submitted.in_flight.is_some() || must_not_run {
            return;
        }
        submitted.in_flight = Some(token);
        host.attempts.insert(token, Attempt { request: id.clone(), has_ended: false });
        let actions = host.calls.handle_attempt(now, &id, grant(now, token, 7));
        self.execute(processor, actions);
    }

    fn deliver_response(&mut self) {
        if self.responses.is_empty() {
            return;
        }
        let SentResponse { stream, response, incarnation } = self.responses.remove(0);
        let awaits = |request: &Request| matches!(request.state, ProxyState::AwaitingResponse { stream: current, .. } if current == stream);
        let Some(number) = self.requests.iter().position(awaits) else { return };
        let request = &mut self.requests[number];
        let ProxyState::AwaitingResponse { processor, .. } = request.state else { return };
        let is_safe = Simulation::request_class(number) == IDEMPOTENT || request.runs == 0;
        match response {
            CallResponse::Forward { token, .. } => {
                request.state = ProxyState::Upstream { processor, stream };
                request.token = Some(Token { processor, incarnation, number: token });
                // With `failure_mode_allow` a proxy may forward a retry without a response. But no response
                // of a processor forwards a non-idempotent request that may have run.
                assert!(is_safe, "{} may have run", request.id);
                request.runs += 1;
            }
            CallResponse::ExtendTimeout(extension) => {
                request.state =
                    ProxyState::AwaitingResponse { processor, stream, until: self.now + extension };
            }
            CallResponse::Reject { .. } | CallResponse::Fail => {
                request.state = ProxyState::Idle;
                request.was_rejected = matches!(response, CallResponse::Reject { .. });
                assert!(
                    is_safe || !request.was_rejected,
                    "{} may have run, and its client is invited to retry",
                    request.id
                );
                self.send(processor, Input::StreamEnd { stream, complete: true });
            }
        }
    }

    fn engine_responds(&mut self, number: usize, choice: u8) {
        let ProxyState::Upstream { processor, stream } = self.requests[number].state else { return };
        let outcome = match choice {
            0 | 1 => AttemptOutcome::Returned,
            2 => AttemptOutcome::Errored,
            // The engine's rejection proves that the attempt never ran. The proxy passes it on to the client.
            _ => {
                self.requests[number].runs -= 1;
                self.requests[number].was_rejected = self.requests[number].runs == 0;
                AttemptOutcome::Rejected
            }
        };
        self.requests[number].state = ProxyState::Idle;
        self.send(processor, Input::ResponseHeaders { stream, outcome });
        self.send(processor, Input::StreamEnd { stream, complete: true });
        if outcome == AttemptOutcome::Returned {
            self.requests[number].attempts = FINISHED;
        }
    }

    fn reset_stream(&mut self, number: usize) {
        let ProxyState::Upstream { processor, stream } = self.requests[number].state else { return };
        self.requests[number].state = ProxyState::Idle;
        self.send(processor, Input::StreamEnd { stream, complete: false });
    }

    fn give_up(&mut self, number: usize, processor: usize, reject: bool) {
        let id = self.requests[number].id.clone();
        let (now, host) = (self.now, &mut self.processors[processor]);
        let Some(submitted) = host.submitted.get(&id) else { return };
        if submitted.in_flight.is_some() || host.suspended.is_some() {
            return;
        }
        let is_safe = !submitted.may_have_run || Simulation::request_class(number) == IDEMPOTENT;
        host.submitted.remove(&id);
        let response = match reject && is_safe {
            true => FinalResponse::Rejected { retry_after: None },
            false => FinalResponse::Failed,
        };
        let actions = host.calls.handle_final_response(now, &id, response);
        self.execute(processor, actions);
    }

    fn wait(&mut self, duration: Duration) {
        let until = self.now + duration;
        loop {
            let timeouts = self.requests.iter().filter_map(|request| match request.state {
                ProxyState::AwaitingResponse { until, .. } => Some(until),
                _ => None,
            });
            let running = self.processors.iter().filter(|processor| processor.suspended.is_none());
            let due = running.filter_map(|processor| processor.calls.next_timeout());
            let next = timeouts.chain(due).min().filter(|at| *at <= until);
            self.now = next.unwrap_or(until).max(self.now);
            for processor in 0..self.processors.len() {
                self.poll(processor);
            }
            self.time_out_proxies();
            if next.is_none() {
                return;
            }
        }
    }

    fn poll(&mut self, processor: usize) {
        let (now, host) = (self.now, &mut self.processors[processor]);
        if host.suspended.is_none() {
            let actions = host.calls.poll(now);
            self.execute(processor, actions);
        }
    }

    /// Times out proxies that got no response in time: each gives up or, with `failure_mode_allow`, forwards
    /// the request. It may retry after that.
    fn time_out_proxies(&mut self) {
        for number in 0..self.requests.len() {
            let ProxyState::AwaitingResponse { processor, stream, until } = self.requests[number].state
            else {
                continue;
            };
            if until <= self.now {
                self.requests[number].state = ProxyState::Idle;
                self.requests[number].runs += u32::from(self.failure_mode_allow);
                // A response may be on its way: written to the connection, or still in the processor.
                let is_written = self.answered_streams.contains(&stream) && stream.is_multiple_of(2);
                self.send(processor, Input::StreamEnd { stream, complete: is_written });
            }
        }
    }

    /// Lets a processor run again. Its timeouts fire before it reads what has arrived meanwhile.
    fn resume(&mut self, processor: usize) {
        let Some(queued) = self.processors[processor].suspended.take() else { return };
        self.poll(processor);
        for input in queued {
            self.send(processor, input);
        }
    }

    /// Restarts a processor: all its streams are reset, and the new process has no record of the calls in flight.
    fn restart_processor(&mut self, processor: usize) {
        self.processors[processor] = self.start_processor();
        for request in &mut self.requests {
            match request.state {
                ProxyState::AwaitingResponse { processor: of, .. } if of == processor => {
                    request.runs += u32::from(self.failure_mode_allow);
                    request.state = ProxyState::Idle;
                }
                // The proxy has lost the stream; whether it goes on is up to the proxy, so here the attempt ends.
                ProxyState::Upstream { processor: of, .. } if of == processor => {
                    request.state = ProxyState::Idle;
                }
                _ => {}
            }
        }
    }

    /// Delivers all pending responses, resets all open streams and waits for all timeouts.
    fn run_to_completion(&mut self) {
        for processor in 0..self.processors.len() {
            self.resume(processor);
        }
        while !self.responses.is_empty() {
            self.step(Step::DeliverResponse);
        }
        for number in 0..REQUESTS {
            self.step(Step::ResetStream(number));
        }
        self.step(Step::Wait(2000));
    }
}

impl Processor {
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
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, ..ProptestConfig::default() })]
    #[test]
    fn non_idempotent_requests_never_run_twice(
        steps in prop::collection::vec(any_step(), 1..120),
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
        for processor in &simulation.processors {
            prop_assert_eq!(processor.calls.open_calls(), 0);
            prop_assert_eq!(processor.calls.next_timeout(), None);
            prop_assert!(processor.attempts.values().all(|attempt| attempt.has_ended));
        }
    }
}
