//! What the request router decides: attempts, withdrawals and final responses, and the responses to the proxies.

use super::{ExternalCalls, not_sent, respond};
use crate::earlier_attempts::SeenAttempts;
use crate::finished::FinishedOutcome;
use crate::messages::{AttemptToken, CallAction, CallResponse, FinalResponse, GrantedAttempt, StreamId};
use crate::rejection::{Rejection, Unanswered};
use crate::state::{CallState, ResponseDeadline};
use lemonusher::{EngineId, Idempotency, RequestId};
use std::time::Duration;

impl ExternalCalls {
    /// Handles an attempt that the request router grants to a request. It is forwarded at once if the proxy
    /// waits for a response, reserved if the proxy's retry is expected, and ends as not sent otherwise.
    pub fn handle_attempt(
        &mut self,
        now: Duration,
        request: &RequestId,
        granted: GrantedAttempt,
    ) -> Vec<CallAction> {
        let Some(call) = self.calls.get_mut(request) else { return vec![not_sent(granted)] };
        match &mut call.state {
            CallState::AwaitingResponse { deadline, .. } if now >= deadline.proxy_timeout => {
                let mut actions = vec![not_sent(granted)];
                actions.extend(self.end_without_verdict(now, request));
                actions
            }
            CallState::AwaitingResponse { .. } => self.forward(now, request, granted),
            CallState::AwaitingRetry { granted: reserved, .. } if reserved.is_none() => {
                *reserved = Some(granted);
                self.reserved_attempts.insert(granted.token, request.clone());
                Vec::new()
            }
            _ => vec![not_sent(granted)],
        }
    }

    /// Ends a call that has got no verdict in time. Its last attempt never ran unless the proxy forwards without a
    /// verdict; earlier attempts may have run.
    pub(super) fn end_without_verdict(&mut self, now: Duration, request: &RequestId) -> Vec<CallAction> {
        let Some(call) = self.calls.get(request) else { return Vec::new() };
        let CallState::AwaitingResponse { stream, deadline, .. } = call.state else { return Vec::new() };
        let rejection =
            self.unanswered(call.seen, call.may_have_run, call.idempotency, deadline).reject(now, None);
        let mut actions = vec![CallAction::Cancel(request.clone())];
        actions.extend(self.end_unanswered(request, stream, rejection, now));
        actions
    }

    /// Responds to the waiting proxy that it is to forward the request, if the attempt may still start.
    pub(super) fn forward(
        &mut self,
        now: Duration,
        request: &RequestId,
        granted: GrantedAttempt,
    ) -> Vec<CallAction> {
        self.reserved_attempts.remove(&granted.token);
        let Some(call) = self.calls.get_mut(request) else { return vec![not_sent(granted)] };
        let CallState::AwaitingResponse { stream, deadline, .. } = call.state else {
            return vec![not_sent(granted)];
        };
        if !granted.may_start(now) {
            return vec![not_sent(granted)];
        }
        call.state = CallState::InFlight { stream, granted };
        let attempt = call.forwarded_attempts;
        call.forwarded_attempts += 1;
        let GrantedAttempt { token, engine, until, .. } = granted;
        call.seen.forward(token);
        self.remove_timeout(deadline.respond_by, request);
        let upstream_timeout = until.saturating_sub(now);
        vec![respond(stream, CallResponse::Forward { engine, token, upstream_timeout, attempt })]
    }

    /// Handles the request router's withdrawal of an attempt. One that is reserved for the proxy's retry ends as not sent;
    /// one that the proxy was instructed to forward can't be stopped.
    pub fn handle_withdrawal(&mut self, token: AttemptToken) -> Vec<CallAction> {
        let Some(request) = self.reserved_attempts.remove(&token) else { return Vec::new() };
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        let CallState::AwaitingRetry { granted, .. } = &mut call.state else { return Vec::new() };
        granted.take().into_iter().map(not_sent).collect()
    }

    /// Returns the attempt that is reserved for the retry of a request, and its engine.
    pub fn reserved_attempt(&self, request: &RequestId) -> Option<(AttemptToken, EngineId)> {
        match self.calls.get(request)?.state {
            CallState::AwaitingRetry { granted, .. } => {
                granted.map(|granted| (granted.token, granted.engine))
            }
            _ => None,
        }
    }

    /// Handles the request router's final response to a request.
    pub fn handle_final_response(
        &mut self,
        now: Duration,
        request: &RequestId,
        response: FinalResponse,
    ) -> Vec<CallAction> {
        let Some(call) = self.calls.get(request) else { return Vec::new() };
        match (call.state, response) {
            (
                CallState::AwaitingResponse { stream, deadline, .. },
                FinalResponse::Rejected { retry_after },
            ) => {
                let unanswered = self.unanswered(call.seen, call.may_have_run, call.idempotency, deadline);
                self.end_unanswered(request, stream, unanswered.reject(now, retry_after), now)
            }
            (CallState::AwaitingResponse { stream, .. }, FinalResponse::Failed) => {
                let failure =
                    Rejection { response: CallResponse::Fail, outcome: FinishedOutcome::MayHaveRun };
                self.end_unanswered(request, stream, failure, now)
            }
            (CallState::AwaitingRetry { .. }, _) => {
                let may_have_run = call.may_have_run || response == FinalResponse::Failed;
                let outcome = FinishedOutcome::of(may_have_run, call.seen);
                self.finish(now, request, outcome)
            }
            // The proxy already forwards the request and can't be stopped. The call ends with its stream.
            (CallState::InFlight { .. } | CallState::Responding { .. }, _) => Vec::new(),
        }
    }

    /// Describes a request that gets no verdict, for the rule of rejections.
    pub(super) fn unanswered(
        &self,
        seen: SeenAttempts,
        may_have_run: bool,
        idempotency: Idempotency,
        deadline: ResponseDeadline,
    ) -> Unanswered {
        Unanswered {
            seen,
            may_have_run,
            may_not_run_again: idempotency != Idempotency::Idempotent,
            proxy_timeout: deadline.proxy_timeout,
            failure_mode_allow: self.config.failure_mode_allow,
        }
    }

    /// Ends a call whose proxy waits, without a verdict.
    fn end_unanswered(
        &mut self,
        request: &RequestId,
        stream: StreamId,
        rejection: Rejection,
        now: Duration,
    ) -> Vec<CallAction> {
        let mut actions = self.finish(now, request, rejection.outcome);
        actions.push(self.respond_last(stream, request.clone(), rejection.response));
        actions
    }

    /// Sends the last response to a proxy. The stream of a rejection is kept until its end shows whether the rejection was
    /// written, if the proxy fails open.
    pub(super) fn respond_last(
        &mut self,
        stream: StreamId,
        request: RequestId,
        response: CallResponse,
    ) -> CallAction {
        if self.config.failure_mode_allow && matches!(response, CallResponse::Reject { .. }) {
            self.rejected_streams.insert(stream, request);
        }
        respond(stream, response)
    }
}
