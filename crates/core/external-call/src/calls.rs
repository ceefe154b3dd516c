//! The state machine of all external processing calls of one processor.

use crate::config::CallConfig;
use crate::earlier_attempts::{SeenAttempts, shows_earlier_attempt};
use crate::finished::{EarlierAttempts, FinishedCalls, FinishedOutcome};
use crate::messages::{
    AttemptToken, CallAction, CallRequest, CallResponse, FinalResponse, GrantedAttempt, StreamId,
};
use crate::rejection::{Rejection, Unanswered};
use crate::round_trip::RoundTripEstimate;
use crate::state::{Call, CallState, ResponseDeadline, Timeout};
use lemonusher::{AttemptOutcome, Idempotency, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// All calls of one processor. Each handler takes an event and returns the actions to execute. Times are
/// `Duration`s since one origin and never decrease.
#[derive(Debug)]
pub struct ExternalCalls {
    config: CallConfig,
    calls: BTreeMap<RequestId, Call>,
    /// The request of each open stream; finished calls have none.
    streams: BTreeMap<StreamId, RequestId>,
    /// The request of each open stream whose rejection may not have been written yet, if the proxies fail open.
    rejected_streams: BTreeMap<StreamId, RequestId>,
    /// The request of each attempt that is kept for the proxy's retry.
    kept_attempts: BTreeMap<AttemptToken, RequestId>,
    timeouts: BTreeSet<Timeout>,
    finished: FinishedCalls,
    round_trip: RoundTripEstimate,
}

impl ExternalCalls {
    /// Creates the state machine without any calls.
    pub fn new(config: CallConfig) -> ExternalCalls {
        ExternalCalls {
            calls: BTreeMap::new(),
            streams: BTreeMap::new(),
            rejected_streams: BTreeMap::new(),
            kept_attempts: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            finished: FinishedCalls::new(
                config.unknown_outcome_retention,
                config.retry_window,
                config.max_finished_calls,
            ),
            round_trip: RoundTripEstimate::default(),
            config,
        }
    }

    /// Returns the number of calls that are not finished.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the time at which `poll` must be called next; none if no timeout is set.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.timeouts.first().map(|timeout| timeout.at)
    }

    /// Returns how long before the end of the message timeout a response is sent at the latest, so that the
    /// proxy reads it in time.
    pub fn response_margin(&self) -> Duration {
        self.round_trip.margin(self.config.message_timeout)
    }

    /// Records a measured round-trip time to a proxy.
    pub fn record_round_trip(&mut self, now: Duration, round_trip: Duration) {
        self.round_trip.record(now, round_trip);
    }

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
    fn handle_attempt_elsewhere(&mut self, now: Duration, request: &RequestId) -> Vec<CallAction> {
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

    /// Handles an attempt that the request router grants to a request. It is forwarded at once if the proxy
    /// waits for a response, kept if the proxy's retry is expected, and ends as not sent otherwise.
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
            CallState::AwaitingRetry { granted: kept, .. } if kept.is_none() => {
                *kept = Some(granted);
                self.kept_attempts.insert(granted.token, request.clone());
                Vec::new()
            }
            _ => vec![not_sent(granted)],
        }
    }

    /// Ends a call that has got no verdict in time. Its last attempt never ran unless the proxy forwards without a
    /// verdict; earlier attempts may have run.
    fn end_without_verdict(&mut self, now: Duration, request: &RequestId) -> Vec<CallAction> {
        let Some(call) = self.calls.get(request) else { return Vec::new() };
        let CallState::AwaitingResponse { stream, deadline, .. } = call.state else { return Vec::new() };
        let rejection =
            self.unanswered(call.seen, call.may_have_run, call.idempotency, deadline).reject(now, None);
        let mut actions = vec![CallAction::Cancel(request.clone())];
        actions.extend(self.end_unanswered(request, stream, rejection, now));
        actions
    }

    /// Responds to the waiting proxy that it is to forward the request, if the attempt may still start.
    fn forward(&mut self, now: Duration, request: &RequestId, granted: GrantedAttempt) -> Vec<CallAction> {
        self.kept_attempts.remove(&granted.token);
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

    /// Handles the request router's withdrawal of an attempt. One that is kept for the proxy's retry ends as not sent;
    /// one that the proxy was told to forward can't be stopped.
    pub fn handle_withdrawal(&mut self, token: AttemptToken) -> Vec<CallAction> {
        let Some(request) = self.kept_attempts.remove(&token) else { return Vec::new() };
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        let CallState::AwaitingRetry { granted, .. } = &mut call.state else { return Vec::new() };
        granted.take().into_iter().map(not_sent).collect()
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
    fn unanswered(
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

    /// Sends the last response to a proxy. The stream of a rejection is kept until its end tells whether the rejection was
    /// written, if the proxy fails open.
    fn respond_last(&mut self, stream: StreamId, request: RequestId, response: CallResponse) -> CallAction {
        if self.config.failure_mode_allow && matches!(response, CallResponse::Reject { .. }) {
            self.rejected_streams.insert(stream, request);
        }
        respond(stream, response)
    }

    /// Handles the headers of the engine's response; `outcome` was derived from them.
    pub fn handle_response_headers(&mut self, stream: StreamId, outcome: AttemptOutcome) -> Vec<CallAction> {
        let Some(call) = self.streams.get(&stream).and_then(|request| self.calls.get_mut(request)) else {
            return Vec::new();
        };
        if let CallState::InFlight { stream, granted } = call.state {
            call.state = CallState::Responding { stream, granted, outcome };
        }
        Vec::new()
    }

    /// Handles the end of a stream, which was either complete or reset.
    pub fn handle_stream_end(&mut self, now: Duration, stream: StreamId, complete: bool) -> Vec<CallAction> {
        if let Some(request) = self.rejected_streams.remove(&stream) {
            return if complete { Vec::new() } else { self.handle_unwritten_rejection(now, request) };
        }
        let Some(request) = self.streams.remove(&stream) else { return Vec::new() };
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        match call.state {
            // The stream got no response. With `failure_mode_allow` the proxy may have forwarded the request
            // without one.
            CallState::AwaitingResponse { stream: current, .. } if current == stream => {
                let may_have_run = call.may_have_run || self.config.failure_mode_allow;
                let outcome = FinishedOutcome::of(may_have_run, call.seen);
                let mut actions = self.finish(now, &request, outcome);
                actions.insert(0, CallAction::Cancel(request));
                actions
            }
            CallState::Responding { stream: current, granted, outcome } if current == stream => {
                // A response that was cut off does not count as a result.
                let broke_off = !complete && outcome == AttemptOutcome::Returned;
                let outcome = if broke_off { AttemptOutcome::Reset } else { outcome };
                self.end_attempt(now, request, granted, outcome)
            }
            // Either the proxy timed out before it read our response, or the client disconnected, or the
            // proxy lost the connection to the engine. These cases can't be told apart. The proxy may have
            // read the response just in time, so the attempt may have run.
            CallState::InFlight { stream: current, granted } if current == stream => {
                self.end_attempt(now, request, granted, AttemptOutcome::Reset)
            }
            _ => Vec::new(),
        }
    }

    /// Handles the end of a stream before its rejection was written. The proxy, which fails open, has forwarded the
    /// request without it.
    fn handle_unwritten_rejection(&mut self, now: Duration, request: RequestId) -> Vec<CallAction> {
        match self.calls.get(&request) {
            Some(call) if call.idempotency == Idempotency::Idempotent => Vec::new(),
            Some(_) => self.handle_attempt_elsewhere(now, &request),
            None => {
                self.finished.insert(now, request, FinishedOutcome::MayHaveRun);
                Vec::new()
            }
        }
    }

    /// Ends an attempt. A call whose attempt returned is finished, and so is one with an attempt elsewhere that may
    /// have run and must not be repeated; any other waits for the proxy's retry.
    fn end_attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        granted: GrantedAttempt,
        outcome: AttemptOutcome,
    ) -> Vec<CallAction> {
        let mut actions = vec![CallAction::EndAttempt { token: granted.token, outcome }];
        if outcome == AttemptOutcome::Returned {
            actions.extend(self.finish(now, &request, FinishedOutcome::MayHaveRun));
            return actions;
        }
        let Some(call) = self.calls.get_mut(&request) else { return actions };
        if call.may_have_run_elsewhere && call.idempotency != Idempotency::Idempotent {
            actions.push(CallAction::Cancel(request.clone()));
            actions.extend(self.finish(now, &request, FinishedOutcome::MayHaveRun));
            return actions;
        }
        let until = now + self.config.retry_window;
        call.may_have_run |= !outcome.never_ran();
        call.state = CallState::AwaitingRetry { granted: None, until };
        self.add_timeout(until, &request);
        actions
    }

    /// Handles all timeouts up to `now`: responses that are due to the proxy, and retries that did not arrive
    /// in the retry window.
    pub fn poll(&mut self, now: Duration) -> Vec<CallAction> {
        self.finished.remove_expired(now);
        let mut actions = Vec::new();
        while let Some(Timeout { request, .. }) = self.pop_timeout(now) {
            let Some(call) = self.calls.get(&request) else { continue };
            match call.state {
                CallState::AwaitingResponse { .. } => {
                    actions.extend(self.handle_response_timeout(now, request));
                }
                CallState::AwaitingRetry { .. } => {
                    let outcome = FinishedOutcome::of(call.may_have_run, call.seen);
                    actions.push(CallAction::Cancel(request.clone()));
                    actions.extend(self.finish(now, &request, outcome));
                }
                CallState::InFlight { .. } | CallState::Responding { .. } => {}
            }
        }
        actions
    }

    /// Handles a response that is due while the router has granted no attempt. The proxy's timeout is
    /// extended if possible; otherwise the call ends.
    fn handle_response_timeout(&mut self, now: Duration, request: RequestId) -> Vec<CallAction> {
        let margin = self.response_margin();
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        let CallState::AwaitingResponse { stream, deadline, total_extension } = call.state else {
            return Vec::new();
        };
        let remaining = self.config.max_timeout_extension.saturating_sub(total_extension);
        let extension = self.config.message_timeout.min(remaining);
        if !extension.is_zero() && now < deadline.proxy_timeout {
            // The extension restarts the proxy's timer.
            let proxy_timeout = now + extension;
            let respond_by = proxy_timeout.saturating_sub(margin).max(now + extension / 2);
            let deadline = ResponseDeadline { respond_by, proxy_timeout };
            let total_extension = total_extension + extension;
            call.state = CallState::AwaitingResponse { stream, deadline, total_extension };
            self.add_timeout(respond_by, &request);
            return vec![respond(stream, CallResponse::ExtendTimeout(extension))];
        }
        self.end_without_verdict(now, &request)
    }

    /// Removes a call and stores its outcome. An attempt that was granted but not forwarded ends as not sent.
    fn finish(&mut self, now: Duration, request: &RequestId, outcome: FinishedOutcome) -> Vec<CallAction> {
        let Some(call) = self.calls.remove(request) else { return Vec::new() };
        let mut actions = Vec::new();
        match call.state {
            CallState::AwaitingResponse { stream, deadline, .. } => {
                self.streams.remove(&stream);
                self.remove_timeout(deadline.respond_by, request);
            }
            CallState::AwaitingRetry { granted, until } => {
                self.remove_timeout(until, request);
                if let Some(granted) = granted {
                    self.kept_attempts.remove(&granted.token);
                    actions.push(not_sent(granted));
                }
            }
            CallState::InFlight { stream, .. } | CallState::Responding { stream, .. } => {
                self.streams.remove(&stream);
            }
        }
        self.finished.insert(now, request.clone(), outcome);
        actions
    }

    fn add_timeout(&mut self, at: Duration, request: &RequestId) {
        self.timeouts.insert(Timeout { at, request: request.clone() });
    }

    fn remove_timeout(&mut self, at: Duration, request: &RequestId) {
        self.timeouts.remove(&Timeout { at, request: request.clone() });
    }

    fn pop_timeout(&mut self, now: Duration) -> Option<Timeout> {
        if self.next_timeout()? > now {
            return None;
        }
        self.timeouts.pop_first()
    }
}

fn not_sent(granted: GrantedAttempt) -> CallAction {
    CallAction::EndAttempt { token: granted.token, outcome: AttemptOutcome::NotSent }
}

fn respond(stream: StreamId, response: CallResponse) -> CallAction {
    CallAction::Respond { stream, response }
}
