//! External calls: two or more processors of one deployment, one proxy that takes them in any order, one request of a
//! client that may come back, and its engine.
//!
//! The processors run the production state machine. Each reads what it is sent as late as it likes, the messages of one
//! stream in order and those of different streams in any order; it may be restarted and then knows nothing. The proxy retries, fails open or closed, and keeps the continuation token.
//! The connection to the engine may be reset before or after the engine has read the request.

mod processor;
mod proxy;

use crate::{Landmark, World};
use lemonusher::{AttemptOutcome, Idempotency, RequestId};
use lemonusher_external_call::{CallConfig, CallResponse, StreamId};
use processor::{Input, Processor};
use proxy::{Proxy, ProxyState};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Time that passes in one step.
const TICK: Duration = Duration::from_millis(100);
/// How long the proxy waits for a response to a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a call stays open for the proxy's retry.
const RETRY_WINDOW: Duration = Duration::from_millis(300);
/// Longer than any history.
const RETENTION: Duration = Duration::from_secs(3600);
const MAX_CALLS: usize = 8;

/// The size of a search, and the deployment.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Number of processors.
    pub processors: usize,
    /// Whether the proxy forwards a request when it gets no response in time.
    pub failure_mode_allow: bool,
    /// Whether the request may run any number of times.
    pub idempotent: bool,
    /// Whether a processor may extend the proxy's timeout.
    pub extends_timeout: bool,
    /// Maximum number of attempts that the proxy sends each time that the client sends the request.
    pub attempts: u32,
    /// Maximum number of times that the client sends the request again.
    pub returns: u32,
    /// Maximum number of steps of time.
    pub ticks: u32,
    /// Maximum number of restarts of processors.
    pub restarts: u32,
}

impl Bounds {
    fn call_config(&self) -> CallConfig {
        let idempotency = if self.idempotent { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
        CallConfig {
            message_timeout: MESSAGE_TIMEOUT,
            failure_mode_allow: self.failure_mode_allow,
            max_timeout_extension: if self.extends_timeout { MESSAGE_TIMEOUT } else { Duration::ZERO },
            retry_window: RETRY_WINDOW,
            unknown_outcome_retention: RETENTION,
            idempotency: vec![idempotency],
            max_calls: MAX_CALLS,
            max_finished_calls: MAX_CALLS,
        }
    }
}

/// An event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The client, told that a retry is safe, sends the request again.
    ClientReturns,
    /// The proxy sends an attempt's headers to this processor.
    ProxySends(usize),
    /// This processor reads the next message of a stream.
    ProcessorReads {
        /// The processor.
        processor: usize,
        /// The stream.
        stream: StreamId,
    },
    /// This processor handles the timeouts that are due.
    TimerFires(usize),
    /// This processor's router grants an attempt.
    RouterGrants(usize),
    /// This processor's router rejects the request.
    RouterRejects(usize),
    /// This processor's router fails the request.
    RouterFails(usize),
    /// The proxy reads the oldest response that it was sent.
    ProxyReads,
    /// The proxy's timer expires; no response has been written.
    ProxyTimesOut,
    /// The proxy's timer expires while a response is on its way.
    ProxyTimesOutBeforeResponse,
    /// The engine reads the request, and runs it.
    EngineReads,
    /// The engine returns the result.
    EngineReturns,
    /// The engine reports an error.
    EngineErrors,
    /// The engine rejects the request without running it.
    EngineRejects,
    /// The connection between the proxy and the engine is reset.
    ConnectionResets,
    /// This processor is restarted.
    ProcessorRestarts(usize),
    /// Time passes.
    TimePasses,
}

/// A broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A request that must not run twice ran again.
    RanTwice,
    /// A processor told the proxy to forward such a request though it may have run.
    ForwardedAgain,
    /// The client was told that a retry is safe though the request may have run.
    ToldSafe,
    /// A stream got two final responses.
    AnsweredTwice,
    /// A request was submitted to a router that has it already.
    SubmittedTwice,
    /// An attempt ended twice, or one that the router does not know ended.
    EndedTwice,
}

/// A response on its way to the proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentResponse {
    processor: usize,
    /// Incarnation of the processor that sent it.
    incarnation: u64,
    stream: StreamId,
    response: CallResponse,
}

/// The processors, the proxy, the client and the engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallsWorld {
    ticks: u32,
    processors: Vec<Processor>,
    proxy: Proxy,
    responses: VecDeque<SentResponse>,
    /// Number of times that the request ran, or was forwarded by the proxy without a verdict.
    runs: u32,
    has_returned: bool,
    returns: u32,
    restarts: u32,
    last_number: u64,
    violation: Option<Violation>,
}

impl CallsWorld {
    fn now(&self) -> Duration {
        TICK * self.ticks
    }

    fn new_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn report(&mut self, violation: Violation) {
        self.violation = self.violation.or(Some(violation));
    }

    fn may_not_run(&self, bounds: &Bounds) -> bool {
        self.runs > 0 && !bounds.idempotent
    }

    /// Lets a processor handle something, and executes what it wants done.
    fn run_processor(&mut self, number: usize, handle: impl FnOnce(&mut Processor, Duration)) {
        let now = self.now();
        let processor = &mut self.processors[number];
        handle(processor, now);
        let incarnation = processor.incarnation();
        let outputs = processor.take_outputs();
        let sent = outputs.responses.into_iter().map(|(stream, response)| SentResponse {
            processor: number,
            incarnation,
            stream,
            response,
        });
        self.responses.extend(sent);
        outputs.violation.into_iter().for_each(|violation| self.report(violation));
    }

    fn send(&mut self, processor: usize, input: Input) {
        self.processors[processor].receive(input);
    }

    fn proxy_sends(&mut self, processor: usize) {
        let stream = self.new_number();
        let incarnation = self.processors[processor].incarnation();
        let until = self.now() + MESSAGE_TIMEOUT;
        let request = self.proxy.send(processor, stream, incarnation, until);
        let sent_at = self.now();
        self.send(processor, Input::Request { request, sent_at });
    }

    fn proxy_reads(&mut self, bounds: &Bounds) {
        let Some(sent) = self.responses.pop_front() else { return };
        let ProxyState::AwaitingResponse { processor, stream, .. } = self.proxy.state else { return };
        if stream != sent.stream {
            return;
        }
        match sent.response {
            CallResponse::Forward { token, .. } => {
                if self.may_not_run(bounds) {
                    self.report(Violation::ForwardedAgain);
                }
                self.proxy.forward(processor, stream, sent.incarnation, token);
            }
            CallResponse::ExtendTimeout(extension) => {
                let until = self.now() + extension;
                self.proxy.state = ProxyState::AwaitingResponse { processor, stream, until };
            }
            CallResponse::Reject { .. } | CallResponse::Fail => {
                let is_rejected = matches!(sent.response, CallResponse::Reject { .. });
                if is_rejected && self.may_not_run(bounds) {
                    self.report(Violation::ToldSafe);
                }
                self.proxy.state = ProxyState::Idle;
                self.proxy.may_client_return = is_rejected;
                self.send(processor, Input::StreamEnd { stream, complete: true });
            }
        }
    }

    fn proxy_times_out(&mut self, bounds: &Bounds, complete: bool) {
        let ProxyState::AwaitingResponse { processor, stream, .. } = self.proxy.state else { return };
        self.proxy.state = ProxyState::Idle;
        self.runs += u32::from(bounds.failure_mode_allow);
        self.responses.retain(|sent| sent.stream != stream);
        self.send(processor, Input::StreamEnd { stream, complete });
    }

    fn engine_reads(&mut self, bounds: &Bounds) {
        let ProxyState::Upstream { is_read, .. } = &mut self.proxy.state else { return };
        *is_read = true;
        if self.may_not_run(bounds) {
            self.report(Violation::RanTwice);
        }
        self.runs += 1;
    }

    fn engine_responds(&mut self, outcome: AttemptOutcome) {
        let ProxyState::Upstream { processor, stream, .. } = self.proxy.state else { return };
        self.proxy.state = ProxyState::Idle;
        match outcome {
            AttemptOutcome::Returned => {
                self.proxy.state = ProxyState::Finished;
                self.has_returned = true;
            }
            AttemptOutcome::Rejected => self.proxy.may_client_return = self.runs == 0,
            _ => {}
        }
        self.send(processor, Input::ResponseHeaders { stream, outcome });
        self.send(processor, Input::StreamEnd { stream, complete: true });
    }

    fn connection_resets(&mut self) {
        let ProxyState::Upstream { processor, stream, .. } = self.proxy.state else { return };
        self.proxy.state = ProxyState::Idle;
        self.send(processor, Input::StreamEnd { stream, complete: false });
    }

    fn processor_restarts(&mut self, bounds: &Bounds, number: usize) {
        self.restarts += 1;
        let incarnation = self.new_number();
        self.processors[number] = Processor::new(bounds.call_config(), incarnation);
        match self.proxy.state {
            ProxyState::AwaitingResponse { processor, stream, .. } if processor == number => {
                self.responses.retain(|sent| sent.stream != stream);
                self.runs += u32::from(bounds.failure_mode_allow);
                self.proxy.state = ProxyState::Idle;
            }
            ProxyState::Upstream { processor, .. } if processor == number => {
                self.proxy.state = ProxyState::Idle;
            }
            _ => {}
        }
    }

    fn processor_steps(&self, bounds: &Bounds, number: usize, steps: &mut Vec<Step>) {
        let processor = &self.processors[number];
        let is_timer_due = processor.next_timeout().is_some_and(|at| at <= self.now());
        // Timers take precedence over messages.
        if is_timer_due {
            steps.push(Step::TimerFires(number));
        } else {
            let read = |stream| Step::ProcessorReads { processor: number, stream };
            steps.extend(processor.streams_with_input().into_iter().map(read));
        }
        if processor.may_decide() {
            steps.push(Step::RouterFails(number));
            // The gateway's rule: a request that may have run, and must not run twice, is neither retried nor rejected.
            if bounds.idempotent || !processor.knows_that_it_may_have_run() {
                steps.extend([Step::RouterGrants(number), Step::RouterRejects(number)]);
            }
        }
        if self.restarts < bounds.restarts {
            steps.push(Step::ProcessorRestarts(number));
        }
    }

    fn proxy_steps(&self, bounds: &Bounds, steps: &mut Vec<Step>) {
        match self.proxy.state {
            ProxyState::Idle => {
                if self.proxy.attempts < bounds.attempts {
                    steps.extend((0..bounds.processors).map(Step::ProxySends));
                }
                if self.proxy.may_client_return && self.returns < bounds.returns {
                    steps.push(Step::ClientReturns);
                }
            }
            ProxyState::AwaitingResponse { stream, until, .. } if self.now() >= until => {
                steps.push(Step::ProxyTimesOut);
                if self.responses.iter().any(|sent| sent.stream == stream) {
                    steps.push(Step::ProxyTimesOutBeforeResponse);
                }
            }
            ProxyState::Upstream { is_read, .. } => {
                steps.push(Step::ConnectionResets);
                match is_read {
                    false => steps.extend([Step::EngineReads, Step::EngineRejects]),
                    true => steps.extend([Step::EngineReturns, Step::EngineErrors]),
                }
            }
            ProxyState::AwaitingResponse { .. } | ProxyState::Finished => {}
        }
    }
}

impl World for CallsWorld {
    type Step = Step;
    type Violation = Violation;
    type Bounds = Bounds;

    fn begin(bounds: &Bounds) -> CallsWorld {
        let processor = |number| Processor::new(bounds.call_config(), number as u64 + 1);
        CallsWorld {
            ticks: 0,
            processors: (0..bounds.processors).map(processor).collect(),
            proxy: Proxy::new(RequestId::from("r")),
            responses: VecDeque::new(),
            runs: 0,
            has_returned: false,
            returns: 0,
            restarts: 0,
            last_number: bounds.processors as u64,
            violation: None,
        }
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        (0..bounds.processors).for_each(|number| self.processor_steps(bounds, number, &mut steps));
        self.proxy_steps(bounds, &mut steps);
        if !self.responses.is_empty() {
            steps.push(Step::ProxyReads);
        }
        if self.ticks < bounds.ticks {
            steps.push(Step::TimePasses);
        }
        steps
    }

    fn apply(&mut self, bounds: &Bounds, step: &Step) {
        match *step {
            Step::ClientReturns => {
                self.returns += 1;
                self.proxy.client_returns();
            }
            Step::ProxySends(processor) => self.proxy_sends(processor),
            Step::ProcessorReads { processor, stream } => {
                self.run_processor(processor, |processor, now| processor.read(now, stream));
            }
            Step::TimerFires(number) => self.run_processor(number, Processor::poll),
            Step::RouterGrants(number) => {
                let token = self.new_number();
                self.run_processor(number, |processor, now| processor.grant(now, token));
            }
            Step::RouterRejects(number) => self.run_processor(number, Processor::reject),
            Step::RouterFails(number) => self.run_processor(number, Processor::fail),
            Step::ProxyReads => self.proxy_reads(bounds),
            Step::ProxyTimesOut => self.proxy_times_out(bounds, false),
            Step::ProxyTimesOutBeforeResponse => self.proxy_times_out(bounds, true),
            Step::EngineReads => self.engine_reads(bounds),
            Step::EngineReturns => self.engine_responds(AttemptOutcome::Returned),
            Step::EngineErrors => self.engine_responds(AttemptOutcome::Errored),
            Step::EngineRejects => self.engine_responds(AttemptOutcome::Rejected),
            Step::ConnectionResets => self.connection_resets(),
            Step::ProcessorRestarts(number) => self.processor_restarts(bounds, number),
            Step::TimePasses => self.ticks += 1,
        }
    }

    fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    fn landmarks() -> Vec<Landmark<CallsWorld>> {
        vec![
            Landmark { name: "a result is returned", condition: |_, world| world.has_returned },
            Landmark {
                name: "a result is returned after the client has come back",
                condition: |_, world| world.has_returned && world.returns > 0,
            },
            Landmark {
                name: "a result is returned after a retry",
                condition: |_, world| world.has_returned && world.proxy.attempts > 1,
            },
        ]
    }
}
