//! A processor: the production state machine of calls, what it was sent and has not read, and its router.

use super::{RETENTION, Violation};
use lemonusher::{AttemptOutcome, RequestId};
use lemonusher_external_call::{
    AttemptToken, CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, FinalResponse,
    GrantedAttempt, StreamId,
};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const ENGINE: u32 = 7;

/// What a processor is sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Input {
    Request { request: CallRequest, sent_at: Duration },
    ResponseHeaders { stream: StreamId, outcome: AttemptOutcome },
    StreamEnd { stream: StreamId, complete: bool },
}

impl Input {
    fn stream(&self) -> StreamId {
        match self {
            Input::Request { request, .. } => request.stream,
            Input::ResponseHeaders { stream, .. } | Input::StreamEnd { stream, .. } => *stream,
        }
    }
}

/// The router's state of the submitted request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Submitted {
    request: RequestId,
    in_flight: Option<AttemptToken>,
    may_have_run: bool,
}

/// What a processor wants done, and a rule that it broke.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Outputs {
    pub(super) responses: Vec<(StreamId, CallResponse)>,
    pub(super) violation: Option<Violation>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Processor {
    calls: ExternalCalls,
    incarnation: u64,
    inputs: VecDeque<Input>,
    submitted: Option<Submitted>,
    /// Attempts that have been granted and have not ended.
    open_attempts: BTreeSet<AttemptToken>,
    /// Streams that have got a final response.
    answered: BTreeSet<StreamId>,
    outputs: Outputs,
}

impl Processor {
    pub(super) fn new(config: CallConfig, incarnation: u64) -> Processor {
        Processor {
            calls: ExternalCalls::new(config),
            incarnation,
            inputs: VecDeque::new(),
            submitted: None,
            open_attempts: BTreeSet::new(),
            answered: BTreeSet::new(),
            outputs: Outputs::default(),
        }
    }

    /// Number of this process, which no other process has.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn next_timeout(&self) -> Option<Duration> {
        self.calls.next_timeout()
    }

    /// The streams of which something has not been read.
    pub(super) fn streams_with_input(&self) -> BTreeSet<StreamId> {
        self.inputs.iter().map(Input::stream).collect()
    }

    /// Whether the router has a request that waits for a decision.
    pub(super) fn may_decide(&self) -> bool {
        self.submitted.as_ref().is_some_and(|submitted| submitted.in_flight.is_none())
    }

    /// Whether the router knows that an attempt may have run.
    pub(super) fn knows_that_it_may_have_run(&self) -> bool {
        self.submitted.as_ref().is_some_and(|submitted| submitted.may_have_run)
    }

    pub(super) fn receive(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    pub(super) fn take_outputs(&mut self) -> Outputs {
        std::mem::take(&mut self.outputs)
    }

    /// Reads the next input of a stream.
    pub(super) fn read(&mut self, now: Duration, stream: StreamId) {
        let next = self.inputs.iter().position(|input| input.stream() == stream);
        let actions = match next.and_then(|next| self.inputs.remove(next)) {
            Some(Input::Request { mut request, sent_at }) => {
                request.queued = now.saturating_sub(sent_at);
                self.calls.handle_request(now, request)
            }
            Some(Input::ResponseHeaders { stream, outcome }) => {
                self.calls.handle_response_headers(stream, outcome)
            }
            Some(Input::StreamEnd { stream, complete }) => {
                self.calls.handle_stream_end(now, stream, complete)
            }
            None => return,
        };
        self.execute(actions);
    }

    /// Handles the timeouts that are due.
    pub(super) fn poll(&mut self, now: Duration) {
        let actions = self.calls.poll(now);
        self.execute(actions);
    }

    /// The router grants an attempt.
    pub(super) fn grant(&mut self, now: Duration, token: AttemptToken) {
        let Some(submitted) = &mut self.submitted else { return };
        submitted.in_flight = Some(token);
        self.open_attempts.insert(token);
        let request = submitted.request.clone();
        let granted = GrantedAttempt { token, engine: ENGINE, until: now + RETENTION, start_by: None };
        let actions = self.calls.handle_attempt(now, &request, granted);
        self.execute(actions);
    }

    /// The router rejects the request.
    pub(super) fn reject(&mut self, now: Duration) {
        self.respond(now, FinalResponse::Rejected { retry_after: None });
    }

    /// The router fails the request.
    pub(super) fn fail(&mut self, now: Duration) {
        self.respond(now, FinalResponse::Failed);
    }

    fn respond(&mut self, now: Duration, response: FinalResponse) {
        let Some(submitted) = self.submitted.take() else { return };
        let actions = self.calls.handle_final_response(now, &submitted.request, response);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Submit(call) => self.submit(call.request),
                CallAction::Cancel(request) => {
                    self.submitted.take_if(|submitted| submitted.request == request);
                }
                CallAction::EndAttempt { token, outcome } => self.end_attempt(token, outcome),
                CallAction::Respond { stream, response } => {
                    let is_final = !matches!(response, CallResponse::ExtendTimeout(_));
                    if is_final && !self.answered.insert(stream) {
                        self.outputs.violation = Some(Violation::AnsweredTwice);
                    }
                    self.outputs.responses.push((stream, response));
                }
            }
        }
    }

    fn submit(&mut self, request: RequestId) {
        let submitted = Submitted { request, in_flight: None, may_have_run: false };
        if self.submitted.replace(submitted).is_some() {
            self.outputs.violation = Some(Violation::SubmittedTwice);
        }
    }

    fn end_attempt(&mut self, token: AttemptToken, outcome: AttemptOutcome) {
        if !self.open_attempts.remove(&token) {
            self.outputs.violation = Some(Violation::EndedTwice);
        }
        let is_current = |submitted: &mut Submitted| submitted.in_flight == Some(token);
        let Some(mut submitted) = self.submitted.take_if(is_current) else { return };
        submitted.in_flight = None;
        submitted.may_have_run |= !outcome.never_ran();
        if outcome != AttemptOutcome::Returned {
            self.submitted = Some(submitted);
        }
    }
}
