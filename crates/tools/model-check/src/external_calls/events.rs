//! What each event does in the world of external calls, and which rules it breaks.

use super::processor::{Input, Processor};
use super::proxy::ProxyState;
use super::world::{CallsWorld, SentResponse};
use super::{Bounds, MESSAGE_TIMEOUT, Step, TICK, Violation};
use lemonusher::AttemptOutcome;
use lemonusher_external_call::CallResponse;
use std::time::Duration;

impl CallsWorld {
    pub(super) fn now(&self) -> Duration {
        TICK * self.ticks
    }

    pub(super) fn new_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn report(&mut self, violation: Violation) {
        self.violation = self.violation.or(Some(violation));
    }

    pub(super) fn may_not_run(&self, bounds: &Bounds) -> bool {
        self.runs > 0 && !bounds.idempotent
    }

    /// Lets a processor handle something, and executes what it wants done.
    pub(super) fn run_processor(&mut self, number: usize, handle: impl FnOnce(&mut Processor, Duration)) {
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

    pub(super) fn send(&mut self, processor: usize, input: Input) {
        self.processors[processor].receive(input);
    }

    pub(super) fn proxy_sends(&mut self, processor: usize) {
        let stream = self.new_number();
        let incarnation = self.processors[processor].incarnation();
        let until = self.now() + MESSAGE_TIMEOUT;
        let request = self.proxy.send(processor, stream, incarnation, until);
        let sent_at = self.now();
        self.send(processor, Input::Request { request, sent_at });
    }

    pub(super) fn proxy_reads(&mut self, bounds: &Bounds) {
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

    pub(super) fn proxy_times_out(&mut self, bounds: &Bounds, complete: bool) {
        let ProxyState::AwaitingResponse { processor, stream, .. } = self.proxy.state else { return };
        self.proxy.state = ProxyState::Idle;
        self.runs += u32::from(bounds.failure_mode_allow);
        self.responses.retain(|sent| sent.stream != stream);
        self.send(processor, Input::StreamEnd { stream, complete });
    }

    pub(super) fn engine_reads(&mut self, bounds: &Bounds) {
        let ProxyState::Upstream { is_read, .. } = &mut self.proxy.state else { return };
        *is_read = true;
        if self.may_not_run(bounds) {
            self.report(Violation::RanTwice);
        }
        self.runs += 1;
    }

    pub(super) fn engine_responds(&mut self, outcome: AttemptOutcome) {
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

    pub(super) fn connection_resets(&mut self) {
        let ProxyState::Upstream { processor, stream, .. } = self.proxy.state else { return };
        self.proxy.state = ProxyState::Idle;
        self.send(processor, Input::StreamEnd { stream, complete: false });
    }

    pub(super) fn processor_restarts(&mut self, bounds: &Bounds, number: usize) {
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

    pub(super) fn processor_steps(&self, bounds: &Bounds, number: usize, steps: &mut Vec<Step>) {
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

    pub(super) fn proxy_steps(&self, bounds: &Bounds, steps: &mut Vec<Step>) {
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
