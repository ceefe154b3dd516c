//! The state machine of all external processing calls of one processor.

mod requests;
mod verdicts;

use crate::config::CallConfig;
use crate::finished::{FinishedCalls, FinishedOutcome};
use crate::messages::{AttemptToken, CallAction, CallResponse, GrantedAttempt, StreamId};
use crate::round_trip::RoundTripEstimate;
use crate::state::{Call, CallState, ResponseDeadline, Timeout};
use lemonusher::{AttemptOutcome, Idempotency, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// All calls of one processor. Each handler takes an event and returns the actions to execute. Times are
/// `Duration`s since one origin and never decrease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ExternalCalls {
    config: CallConfig,
    calls: BTreeMap<RequestId, Call>,
    /// The request of each open stream; finished calls have none.
    streams: BTreeMap<StreamId, RequestId>,
    /// The request of each open stream whose rejection may not have been written yet, if the proxies fail open.
    rejected_streams: BTreeMap<StreamId, RequestId>,
    /// The request of each attempt that is reserved for the proxy's retry.
    reserved_attempts: BTreeMap<AttemptToken, RequestId>,
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
            reserved_attempts: BTreeMap::new(),
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
            // proxy lost the connection to the engine. These cases can't be distinguished. The proxy may have
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
                    self.reserved_attempts.remove(&granted.token);
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
