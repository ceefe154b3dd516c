//! The state machine of all external processing calls of one processor.

use crate::config::CallConfig;
use crate::earlier_attempts::{SeenAttempts, shows_earlier_attempt};
use crate::finished::{EarlierAttempts, FinishedCalls, FinishedOutcome};
use crate::messages::{AttemptToken, CallAction, CallRequest, CallResponse, FinalResponse, StreamId};
use crate::round_trip::RoundTripEstimate;
use crate::state::{Call, CallState, GrantedAttempt, Timeout};
use lemonusher::{AttemptOutcome, EngineId, Idempotency, RequestId};
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
        let respond_by = self.respond_by(now.saturating_sub(call_request.queued));
        if self.calls.contains_key(&call_request.request) {
            return self.handle_known_request(now, call_request, respond_by);
        }
        self.handle_new_request(now, call_request, respond_by)
    }

    /// Returns the latest time to send the response to a message received at `received`. The time
    /// in the front's queue counts, because the proxy's timeout runs from when the proxy sent the message.
    fn respond_by(&self, received: Duration) -> Duration {
        (received + self.config.message_timeout).saturating_sub(self.response_margin())
    }

    /// Handles another message about an open call. A retry that the call waits for uses the attempt that the
    /// router has granted or will grant; any other message gets a failure.
    fn handle_known_request(
        &mut self,
        now: Duration,
        call_request: CallRequest,
        respond_by: Duration,
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
        call.state = CallState::AwaitingResponse { stream, respond_by, total_extension: Duration::ZERO };
        self.streams.insert(stream, request.clone());
        self.remove_timeout(until, &request);
        self.add_timeout(respond_by, &request);
        match granted {
            Some(granted) => self.forward(&request, granted),
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
        respond_by: Duration,
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
            self.finished.insert(now, request, FinishedOutcome::of(may_have_run, seen));
            return vec![respond(stream, CallResponse::Reject { retry_after: None })];
        }
        let state = CallState::AwaitingResponse { stream, respond_by, total_extension: Duration::ZERO };
        let call = Call {
            state,
            idempotency,
            forwarded_attempts: 0,
            seen,
            may_have_run,
            may_have_run_elsewhere: may_have_run,
        };
        self.calls.insert(request.clone(), call);
        self.add_timeout(respond_by, &request);
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
        request: &RequestId,
        token: AttemptToken,
        engine: EngineId,
        upstream_timeout: Duration,
    ) -> Vec<CallAction> {
        let attempt = GrantedAttempt { token, engine, upstream_timeout };
        let not_sent = CallAction::EndAttempt { token, outcome: AttemptOutcome::NotSent };
        let Some(call) = self.calls.get_mut(request) else { return vec![not_sent] };
        match &mut call.state {
            CallState::AwaitingResponse { .. } => self.forward(request, attempt),
            CallState::AwaitingRetry { granted, .. } if granted.is_none() => {
                *granted = Some(attempt);
                Vec::new()
            }
            _ => vec![not_sent],
        }
    }

    /// Responds to the waiting proxy that it is to forward the request.
    fn forward(&mut self, request: &RequestId, granted: GrantedAttempt) -> Vec<CallAction> {
        let Some(call) = self.calls.get_mut(request) else { return Vec::new() };
        let CallState::AwaitingResponse { stream, respond_by, .. } = call.state else { return Vec::new() };
        call.state = CallState::InFlight { stream, granted };
        let attempt = call.forwarded_attempts;
        call.forwarded_attempts += 1;
        let GrantedAttempt { token, engine, upstream_timeout } = granted;
        call.seen.forward(token);
        self.remove_timeout(respond_by, request);
        vec![respond(stream, CallResponse::Forward { engine, token, upstream_timeout, attempt })]
    }

    /// Handles the request router's final response to a request.
    pub fn handle_final_response(
        &mut self,
        now: Duration,
        request: &RequestId,
        response: FinalResponse,
    ) -> Vec<CallAction> {
        let Some(call) = self.calls.get(request) else { return Vec::new() };
        let outcome = FinishedOutcome::of(call.may_have_run || response == FinalResponse::Failed, call.seen);
        match call.state {
            CallState::AwaitingResponse { stream, .. } => {
                let mut actions = self.finish(now, request, outcome);
                let response = match response {
                    FinalResponse::Rejected { retry_after } => CallResponse::Reject { retry_after },
                    FinalResponse::Failed => CallResponse::Fail,
                };
                actions.push(respond(stream, response));
                actions
            }
            CallState::AwaitingRetry { .. } => self.finish(now, request, outcome),
            // The proxy already forwards the request and can't be stopped. The call ends with its stream.
            CallState::InFlight { .. } | CallState::Responding { .. } => Vec::new(),
        }
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
                CallState::AwaitingResponse { stream, total_extension, .. } => {
                    actions.extend(self.handle_response_timeout(now, request, stream, total_extension));
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
    fn handle_response_timeout(
        &mut self,
        now: Duration,
        request: RequestId,
        stream: StreamId,
        total_extension: Duration,
    ) -> Vec<CallAction> {
        let remaining = self.config.max_timeout_extension.saturating_sub(total_extension);
        let extension = self.config.message_timeout.min(remaining);
        let margin = self.response_margin();
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        if !extension.is_zero() {
            // The extension restarts the proxy's timer.
            let respond_by = (now + extension).saturating_sub(margin).max(now + extension / 2);
            let total_extension = total_extension + extension;
            call.state = CallState::AwaitingResponse { stream, respond_by, total_extension };
            self.add_timeout(respond_by, &request);
            return vec![respond(stream, CallResponse::ExtendTimeout(extension))];
        }
        // This attempt never ran, because the proxy was not told to forward it. Earlier attempts may have run.
        let outcome = FinishedOutcome::of(call.may_have_run, call.seen);
        let retry_is_safe = !call.may_have_run || call.idempotency == Idempotency::Idempotent;
        let response = match retry_is_safe {
            true => CallResponse::Reject { retry_after: None },
            false => CallResponse::Fail,
        };
        let mut actions = vec![CallAction::Cancel(request.clone())];
        actions.extend(self.finish(now, &request, outcome));
        actions.push(respond(stream, response));
        actions
    }

    /// Removes a call and stores its outcome. An attempt that was granted but not forwarded ends as not sent.
    fn finish(&mut self, now: Duration, request: &RequestId, outcome: FinishedOutcome) -> Vec<CallAction> {
        let Some(call) = self.calls.remove(request) else { return Vec::new() };
        let mut actions = Vec::new();
        match call.state {
            CallState::AwaitingResponse { stream, respond_by, .. } => {
                self.streams.remove(&stream);
                self.remove_timeout(respond_by, request);
            }
            CallState::AwaitingRetry { granted, until } => {
                self.remove_timeout(until, request);
                let not_sent = |GrantedAttempt { token, .. }| CallAction::EndAttempt {
                    token,
                    outcome: AttemptOutcome::NotSent,
                };
                actions.extend(granted.map(not_sent));
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

fn respond(stream: StreamId, response: CallResponse) -> CallAction {
    CallAction::Respond { stream, response }
}
