//! The world of external calls: its state, the events that can happen, and what a search must reach.

use super::processor::Processor;
use super::proxy::Proxy;
use super::{Bounds, Step, Violation};
use crate::{Landmark, World};
use lemonusher::{AttemptOutcome, RequestId};
use lemonusher_external_call::{CallResponse, StreamId};
use std::collections::VecDeque;

/// A response on its way to the proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SentResponse {
    pub(super) processor: usize,
    /// Incarnation of the processor that sent it.
    pub(super) incarnation: u64,
    pub(super) stream: StreamId,
    pub(super) response: CallResponse,
}

/// The processors, the proxy, the client and the engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallsWorld {
    pub(super) ticks: u32,
    pub(super) processors: Vec<Processor>,
    pub(super) proxy: Proxy,
    pub(super) responses: VecDeque<SentResponse>,
    /// Number of times that the request ran, or was forwarded by the proxy without a verdict.
    pub(super) runs: u32,
    pub(super) has_returned: bool,
    pub(super) returns: u32,
    pub(super) restarts: u32,
    pub(super) last_number: u64,
    pub(super) violation: Option<Violation>,
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
