//! Messages of the proxies about requests: first attempts, retries, and what they show about attempts elsewhere.

use super::{ExternalCalls, respond};
use crate::earlier_attempts::{SeenAttempts, shows_earlier_attempt};
use crate::finished::{EarlierAttempts, FinishedOutcome};
use crate::messages::{CallAction, CallRequest, CallResponse};
use crate::rejection::Rejection;
use crate::state::{Call, CallState, ResponseDeadline};
use lemonusher::{Idempotency, RequestId};
use std::time::Duration;

impl ExternalCalls {
    /// Handles a proxy's call about a request: its first attempt or a retry.
    pub fn handle_request(&mut self, now: Duration, call_request: CallRequest) -> Vec<CallAction> {
        self.finished.remove_expired(now);
        let deadline = self.response_deadline(now.saturating_sub(call_request.queued));
        if self.calls.contains_key(&call_request.request) {
            return self.handle_known_request(now, call_request, deadline);
        }
        self.handle_new_request(now, call_request, deadline)
    }

    /// Returns the deadline of the response to a message received at `received`. The time
    /// in the front's queue counts, because the proxy's timeout runs from when the proxy sent the message.
    fn response_deadline(&self, received: Duration) -> ResponseDeadline {
        let proxy_timeout = received + self.config.message_timeout;
        ResponseDeadline { respond_by: proxy_timeout.saturating_sub(self.response_margin()), proxy_timeout }
    }

    /// Handles another message about an open call. A retry that the call waits for uses the attempt that the
    /// router has granted or will grant; any other message gets a failure.
    fn handle_known_request(
        &mut self,
        now: Duration,
        call_request: CallRequest,
        deadline: ResponseDeadline,
    ) -> Vec<CallAction> {
        let (stream, request) = (call_request.stream, call_request.request.clone());
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        if call.idempotency != Idempotency::Idempotent && !call.seen.explain(&call_request) {
            let mut actions = self.handle_attempt_elsewhere(now, &request);
            actions.push(respond(stream, CallResponse::Fail));
            return actions;
        }
        let CallState::AwaitingRetry { granted, until } = call.state else {
            // The proxy's earlier attempt has not ended, and two are never forwarded at the same time.
            return vec![respond(stream, CallResponse::Fail)];
        };
        call.seen.add(&call_request);
        call.state = CallState::AwaitingResponse { stream, deadline, total_extension: Duration::ZERO };
        self.streams.insert(stream, request.clone());
        self.remove_timeout(until, &request);
        self.add_timeout(deadline.respond_by, &request);
        match granted {
            Some(granted) => self.forward(now, &request, granted),
            None => Vec::new(),
        }
    }

    /// Handles the evidence that an attempt of an open call was not forwarded by this processor and may have run.
    /// The call gets no further attempt: it ends now, or when the attempt that the proxy has forwarded ends.
    pub(super) fn handle_attempt_elsewhere(&mut self, now: Duration, request: &RequestId) -> Vec<CallAction> {
        let Some(call) = self.calls.get_mut(request) else { return Vec::new() };
        call.may_have_run = true;
        call.may_have_run_elsewhere = true;
        let waiting = match call.state {
            CallState::InFlight { .. } | CallState::Responding { .. } => return Vec::new(),
            CallState::AwaitingResponse { stream, .. } => Some(stream),
            CallState::AwaitingRetry { .. } => None,
        };
        let mut actions = vec![CallAction::Cancel(request.clone())];
        actions.extend(self.finish(now, request, FinishedOutcome::MayHaveRun));
        actions.extend(waiting.map(|stream| respond(stream, CallResponse::Fail)));
        actions
    }

    fn handle_new_request(
        &mut self,
        now: Duration,
        call_request: CallRequest,
        deadline: ResponseDeadline,
    ) -> Vec<CallAction> {
        let (stream, request) = (call_request.stream, call_request.request.clone());
        let idempotency = self.idempotency(call_request.request_class);
        let (may_have_run, earlier) = match self.finished.earlier_attempts(now, &call_request) {
            EarlierAttempts::MayHaveRun => (true, None),
            EarlierAttempts::NeverRan(seen) => (false, seen),
        };
        if may_have_run && idempotency != Idempotency::Idempotent {
            // Stored, because a later message need not show it.
            self.finished.insert(now, request, FinishedOutcome::MayHaveRun);
            return vec![respond(stream, CallResponse::Fail)];
        }
        let seen = SeenAttempts::begin(&call_request, earlier);
        if self.calls.len() >= self.config.max_calls {
            let unanswered = self.unanswered(seen, may_have_run, idempotency, deadline);
            let Rejection { response, outcome } = unanswered.reject(now, None);
            self.finished.insert(now, request.clone(), outcome);
            return vec![self.respond_last(stream, request, response)];
        }
        let state = CallState::AwaitingResponse { stream, deadline, total_extension: Duration::ZERO };
        let call = Call {
            state,
            idempotency,
            forwarded_attempts: 0,
            seen,
            may_have_run,
            may_have_run_elsewhere: may_have_run,
        };
        self.calls.insert(request.clone(), call);
        self.add_timeout(deadline.respond_by, &request);
        self.streams.insert(stream, request);
        let client_retry = call_request.client_retry || shows_earlier_attempt(&call_request);
        vec![CallAction::Submit(CallRequest { client_retry, ..call_request })]
    }

    /// Returns the idempotency of a request class. A class without a configured value is treated as non-idempotent.
    fn idempotency(&self, request_class: usize) -> Idempotency {
        self.config.idempotency.get(request_class).copied().unwrap_or(Idempotency::NonIdempotent)
    }
}
