use lemonusher::{AttemptOutcome, EngineId, Idempotency, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Number of a stream between a proxy and this processor, new for each.
pub type StreamId = u64;
/// Number of a dispatch, as the owner gives it.
pub type AttemptToken = u64;

/// How the proxies are set, and what is stated of the work.
#[derive(Debug, Clone)]
pub struct CallConfig {
    /// A proxy waits so long for an answer to a message.
    pub message_timeout: Duration,
    /// Whether a proxy that gets none sends the request on all the same.
    pub failure_mode_allow: bool,
    /// The longest that the proxy may be asked to wait beyond that, in all; zero where it allows none.
    pub max_timeout_extension: Duration,
    /// After a failure, a proxy's retry is waited for so long.
    pub retry_window: Duration,
    /// What is in doubt is remembered for so long: the longest time limit of any work.
    pub unknown_outcome_retention: Duration,
    /// By service group.
    pub idempotency: Vec<Idempotency>,
    /// Calls at once.
    pub max_calls: usize,
    /// Batches that are remembered after they are over.
    pub max_remembered: usize,
}

/// A request about which a proxy asks.
#[derive(Debug, Clone)]
pub struct CallRequest {
    pub stream: StreamId,
    pub request: RequestId,
    pub request_class: usize,
    pub table_group: u64,
    pub client_timeout: Duration,
    pub client_retry: bool,
    /// Which attempt of the proxy's this is, from one.
    pub attempt: u32,
    /// Whether it carries a sound ticket: a verdict was given for it before.
    pub has_valid_token: bool,
}

/// What the proxy is to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResponse {
    /// Send it to this engine, and wait so long. `dispatch` counts the batch's verdicts, from zero.
    Forward { engine: EngineId, upstream_timeout: Duration, attempt: u32 },
    /// Answer at once that trying again is harmless, and when.
    Reject(Option<Duration>),
    /// Answer at once, promising nothing.
    Fail,
    /// Wait this much longer for the verdict.
    ExtendTimeout(Duration),
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum CallAction {
    /// The owner takes a batch.
    Submit(CallRequest),
    /// Nobody waits for the batch any more.
    Cancel(RequestId),
    /// The one outcome of a dispatch.
    EndAttempt { token: AttemptToken, outcome: AttemptOutcome },
    /// The proxy is told.
    Respond { stream: StreamId, response: CallResponse },
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Granted {
    token: AttemptToken,
    engine: EngineId,
    upstream_timeout: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum CallState {
    /// The proxy waits for a verdict, until then at most; it has been asked for so much more time.
    AwaitingResponse { stream: StreamId, until: Duration, extended: Duration },
    /// It has its verdict.
    InFlight { stream: StreamId, granted: Granted },
    /// The response has begun: the engine has answered so.
    Responding { stream: StreamId, granted: Granted, outcome: AttemptOutcome },
    /// A dispatch has failed. The proxy may try again until then, and find a verdict ready.
    AwaitingRetry { ready: Option<Granted>, until: Duration },
}

#[derive(Debug)]
struct Call {
    stage: CallState,
    idempotency: Idempotency,
    responses_sent: u32,
    /// A dispatch may have run, and nothing tells that it did not.
    may_have_run: bool,
}

/// What is remembered of a batch that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FinishedCall {
    /// It was pushed back, and none of it ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// All calls of one processor.
#[derive(Debug)]
pub struct ExternalCalls {
    config: CallConfig,
    calls: BTreeMap<RequestId, Call>,
    streams: BTreeMap<StreamId, RequestId>,
    tokens: BTreeMap<AttemptToken, RequestId>,
    timeouts: BTreeSet<(Duration, RequestId)>,
    finished: BTreeMap<RequestId, (FinishedCall, Duration)>,
    finished_by_age: VecDeque<(Duration, RequestId)>,
    /// How long verdicts take to the proxy and back: a decaying mean and spread, in seconds.
    round_trip: f64,
    round_trip_deviation: f64,
}

/// Part of a timeout that is kept back before any trip has been measured, and at the least and most.
const INITIAL_MARGIN_SHARE: f64 = 0.2;
const MIN_MARGIN_SHARE: f64 = 0.05;
const MAX_MARGIN_SHARE: f64 = 0.5;
/// Weight of a new measurement.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;

impl ExternalCalls {
    pub fn new(config: CallConfig) -> ExternalCalls {
        let round_trip = config.message_timeout.as_secs_f64() * INITIAL_MARGIN_SHARE / 2.0;
        ExternalCalls {
            config,
            calls: BTreeMap::new(),
            streams: BTreeMap::new(),
            tokens: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            finished: BTreeMap::new(),
            finished_by_age: VecDeque::new(),
            round_trip,
            round_trip_deviation: round_trip / 4.0,
        }
    }

    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// When something falls due.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// What is kept back of a message's timeout: a verdict must be read before it is over.
    pub fn response_margin(&self) -> Duration {
        let timeout = self.config.message_timeout.as_secs_f64();
        let wanted = self.round_trip + 4.0 * self.round_trip_deviation;
        Duration::from_secs_f64(wanted.clamp(timeout * MIN_MARGIN_SHARE, timeout * MAX_MARGIN_SHARE))
    }

    /// A message took so long to the proxy and back.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        let round_trip = round_trip.as_secs_f64();
        self.round_trip_deviation +=
            NEW_SAMPLE_WEIGHT * ((round_trip - self.round_trip).abs() - self.round_trip_deviation);
        self.round_trip += NEW_SAMPLE_WEIGHT * (round_trip - self.round_trip);
    }

    fn idempotency(&self, request_class: usize) -> Idempotency {
        // What is not stated is taken as what must never run twice.
        self.config.idempotency.get(request_class).copied().unwrap_or(Idempotency::NonIdempotent)
    }

    /// A proxy asks about a request.
    pub fn handle_request(&mut self, now: Duration, call_request: CallRequest) -> Vec<CallAction> {
        self.forget(now);
        let tell = |stream, response| vec![CallAction::Respond { stream, response }];
        let (stream, request) = (call_request.stream, call_request.request.clone());
        let until = (now + self.config.message_timeout).saturating_sub(self.response_margin());
        if let Some(call) = self.calls.get_mut(&request) {
            // A retry of a call that is known takes what the gateway grants it, now or while it waits.
            let CallState::AwaitingRetry { ready, until: old } = call.stage else {
                // The first is still with the proxy: a second at once is never let out beside it.
                return tell(stream, CallResponse::Fail);
            };
            self.timeouts.remove(&(old, request.clone()));
            self.streams.insert(stream, request.clone());
            call.stage = CallState::AwaitingResponse { stream, until, extended: Duration::ZERO };
            self.timeouts.insert((until, request.clone()));
            return match ready {
                Some(granted) => self.grant(&request, granted),
                None => Vec::new(),
            };
        }
        let idempotency = self.idempotency(call_request.request_class);
        let remembered = self.finished.get(&request).map(|(memory, _)| *memory);
        let doubt = match remembered {
            Some(FinishedCall::MayHaveRun) => true,
            Some(FinishedCall::NeverRan) => false,
            None => call_request.has_valid_token || call_request.attempt > 1,
        };
        if doubt && idempotency != Idempotency::Idempotent {
            return tell(stream, CallResponse::Fail);
        }
        if self.calls.len() >= self.config.max_calls {
            self.remember(
                now,
                request,
                if doubt { FinishedCall::MayHaveRun } else { FinishedCall::NeverRan },
            );
            return tell(stream, CallResponse::Reject(None));
        }
        let call = Call {
            stage: CallState::AwaitingResponse { stream, until, extended: Duration::ZERO },
            idempotency,
            responses_sent: 0,
            may_have_run: doubt,
        };
        self.calls.insert(request.clone(), call);
        self.streams.insert(stream, request.clone());
        self.timeouts.insert((until, request));
        let client_retry =
            call_request.client_retry || call_request.attempt > 1 || call_request.has_valid_token;
        vec![CallAction::Submit(CallRequest { client_retry, ..call_request })]
    }

    /// The owner wants a batch dispatched.
    pub fn handle_attempt(
        &mut self,
        request: &RequestId,
        token: AttemptToken,
        engine: EngineId,
        upstream_timeout: Duration,
    ) -> Vec<CallAction> {
        let granted = Granted { token, engine, upstream_timeout };
        let not_sent = vec![CallAction::EndAttempt { token, outcome: AttemptOutcome::NotSent }];
        let Some(call) = self.calls.get_mut(request) else { return not_sent };
        match &mut call.stage {
            CallState::AwaitingResponse { .. } => self.grant(request, granted),
            CallState::AwaitingRetry { ready, .. } if ready.is_none() => {
                *ready = Some(granted);
                self.tokens.insert(token, request.clone());
                Vec::new()
            }
            _ => not_sent,
        }
    }

    /// The verdict goes to the proxy that waits.
    fn grant(&mut self, request: &RequestId, granted: Granted) -> Vec<CallAction> {
        let Some(call) = self.calls.get_mut(request) else { return Vec::new() };
        let CallState::AwaitingResponse { stream, until, .. } = call.stage else { return Vec::new() };
        self.timeouts.remove(&(until, request.clone()));
        self.tokens.insert(granted.token, request.clone());
        call.stage = CallState::InFlight { stream, granted };
        let attempt = call.responses_sent;
        call.responses_sent += 1;
        let Granted { engine, upstream_timeout, .. } = granted;
        vec![CallAction::Respond {
            stream,
            response: CallResponse::Forward { engine, upstream_timeout, attempt },
        }]
    }

    /// The owner gives a batch its final answer: pushed back, or errored.
    pub fn handle_final_response(
        &mut self,
        now: Duration,
        request: &RequestId,
        push_back: bool,
        wait: Option<Duration>,
    ) -> Vec<CallAction> {
        let Some(call) = self.calls.get(request) else { return Vec::new() };
        let response = if push_back { CallResponse::Reject(wait) } else { CallResponse::Fail };
        match call.stage {
            CallState::AwaitingResponse { stream, .. } => {
                let memory = match (push_back, call.may_have_run) {
                    (true, false) => FinishedCall::NeverRan,
                    _ => FinishedCall::MayHaveRun,
                };
                let mut actions = self.close(now, request, memory);
                actions.push(CallAction::Respond { stream, response });
                actions
            }
            CallState::AwaitingRetry { .. } => {
                let memory = if call.may_have_run || !push_back {
                    FinishedCall::MayHaveRun
                } else {
                    FinishedCall::NeverRan
                };
                self.close(now, request, memory)
            }
            // What is out can't be called back through the proxy: its end is heard, and matters to nobody.
            CallState::InFlight { .. } | CallState::Responding { .. } => Vec::new(),
        }
    }

    /// The engine has answered through the proxy: with an outcome that the edge read off the response.
    pub fn handle_response_headers(&mut self, stream: StreamId, outcome: AttemptOutcome) -> Vec<CallAction> {
        let Some(call) = self.streams.get(&stream).and_then(|request| self.calls.get_mut(request)) else {
            return Vec::new();
        };
        if let CallState::InFlight { stream, granted } = call.stage {
            call.stage = CallState::Responding { stream, granted, outcome };
        }
        Vec::new()
    }

    /// A stream is over: whole, or reset.
    pub fn handle_stream_end(&mut self, now: Duration, stream: StreamId, whole: bool) -> Vec<CallAction> {
        let Some(request) = self.streams.remove(&stream) else { return Vec::new() };
        let Some(call) = self.calls.get_mut(&request) else { return Vec::new() };
        match call.stage {
            // No verdict was given. A proxy that fails open may have sent it on by itself, where nobody counts.
            CallState::AwaitingResponse { stream: expected_stream, .. } if expected_stream == stream => {
                let ran = call.may_have_run || self.config.failure_mode_allow;
                let memory = if ran { FinishedCall::MayHaveRun } else { FinishedCall::NeverRan };
                let mut actions = self.close(now, &request, memory);
                actions.insert(0, CallAction::Cancel(request));
                actions
            }
            CallState::Responding { stream: expected_stream, granted, outcome }
                if expected_stream == stream =>
            {
                // A response that broke off in the middle is no answer.
                let outcome = if whole || outcome != AttemptOutcome::Returned {
                    outcome
                } else {
                    AttemptOutcome::Reset
                };
                self.over(now, request, granted, outcome)
            }
            // The verdict crossed the timeout, the client left, or the proxy lost the engine. Nothing tells these
            // apart: the proxy may have read the verdict at the last moment, so the dispatch may have run.
            CallState::InFlight { stream: expected_stream, granted } if expected_stream == stream => {
                self.over(now, request, granted, AttemptOutcome::Reset)
            }
            _ => Vec::new(),
        }
    }

    /// A dispatch has ended: the call is over, or the proxy may try again.
    fn over(
        &mut self,
        now: Duration,
        request: RequestId,
        granted: Granted,
        outcome: AttemptOutcome,
    ) -> Vec<CallAction> {
        self.tokens.remove(&granted.token);
        let end = CallAction::EndAttempt { token: granted.token, outcome };
        if outcome == AttemptOutcome::Returned {
            let mut actions = vec![end];
            actions.extend(self.close(now, &request, FinishedCall::MayHaveRun));
            return actions;
        }
        let Some(call) = self.calls.get_mut(&request) else { return vec![end] };
        call.may_have_run |= !outcome.never_ran();
        call.stage = CallState::AwaitingRetry { ready: None, until: now };
        let mut actions = vec![end];
        actions.extend(self.wait_for_retry(now, &request));
        actions
    }

    fn wait_for_retry(&mut self, now: Duration, request: &RequestId) -> Vec<CallAction> {
        let until = now + self.config.retry_window;
        if let Some(call) = self.calls.get_mut(request)
            && let CallState::AwaitingRetry { until: old, .. } = &mut call.stage
        {
            self.timeouts.remove(&(*old, request.clone()));
            *old = until;
            self.timeouts.insert((until, request.clone()));
        }
        Vec::new()
    }

    /// What has fallen due: a verdict that can wait no longer, a retry that did not come.
    pub fn poll(&mut self, now: Duration) -> Vec<CallAction> {
        self.forget(now);
        let mut actions = Vec::new();
        while let Some((at, request)) = self.timeouts.first().cloned().filter(|(at, _)| *at <= now) {
            self.timeouts.remove(&(at, request.clone()));
            let Some(call) = self.calls.get_mut(&request) else { continue };
            match call.stage {
                CallState::AwaitingResponse { stream, extended, .. } => {
                    let more = self
                        .config
                        .message_timeout
                        .min(self.config.max_timeout_extension.saturating_sub(extended));
                    if !more.is_zero() {
                        // The proxy's clock starts anew with the message that asks for more time.
                        let margin = self.response_margin();
                        let until = (now + more).saturating_sub(margin).max(now + more / 2);
                        if let Some(call) = self.calls.get_mut(&request) {
                            call.stage =
                                CallState::AwaitingResponse { stream, until, extended: extended + more };
                        }
                        self.timeouts.insert((until, request));
                        actions.push(CallAction::Respond {
                            stream,
                            response: CallResponse::ExtendTimeout(more),
                        });
                        continue;
                    }
                    // Pushed back in time, nothing of this attempt ran.
                    let clean = !call.may_have_run;
                    let push_back = clean || call.idempotency == Idempotency::Idempotent;
                    let response = if push_back { CallResponse::Reject(None) } else { CallResponse::Fail };
                    actions.push(CallAction::Cancel(request.clone()));
                    actions.extend(self.close(
                        now,
                        &request,
                        if clean { FinishedCall::NeverRan } else { FinishedCall::MayHaveRun },
                    ));
                    actions.push(CallAction::Respond { stream, response });
                }
                CallState::AwaitingRetry { .. } => {
                    let memory =
                        if call.may_have_run { FinishedCall::MayHaveRun } else { FinishedCall::NeverRan };
                    actions.push(CallAction::Cancel(request.clone()));
                    actions.extend(self.close(now, &request, memory));
                }
                CallState::InFlight { .. } | CallState::Responding { .. } => {}
            }
        }
        actions
    }

    /// The call is over here. A verdict that lay ready was never sent.
    fn close(&mut self, now: Duration, request: &RequestId, memory: FinishedCall) -> Vec<CallAction> {
        let Some(call) = self.calls.remove(request) else { return Vec::new() };
        let mut actions = Vec::new();
        match call.stage {
            CallState::AwaitingResponse { stream, until, .. } => {
                self.streams.remove(&stream);
                self.timeouts.remove(&(until, request.clone()));
            }
            CallState::AwaitingRetry { ready, until } => {
                self.timeouts.remove(&(until, request.clone()));
                if let Some(granted) = ready {
                    self.tokens.remove(&granted.token);
                    actions.push(CallAction::EndAttempt {
                        token: granted.token,
                        outcome: AttemptOutcome::NotSent,
                    });
                }
            }
            CallState::InFlight { stream, granted, .. } | CallState::Responding { stream, granted, .. } => {
                self.streams.remove(&stream);
                self.tokens.remove(&granted.token);
            }
        }
        self.remember(now, request.clone(), memory);
        actions
    }

    fn remember(&mut self, now: Duration, request: RequestId, memory: FinishedCall) {
        let until = now + self.config.unknown_outcome_retention;
        self.finished.insert(request.clone(), (memory, until));
        self.finished_by_age.push_back((until, request));
        while self.finished_by_age.len() > self.config.max_remembered {
            self.drop_oldest();
        }
    }

    fn forget(&mut self, now: Duration) {
        while self.finished_by_age.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((until, request)) = self.finished_by_age.pop_front()
            && self.finished.get(&request).is_some_and(|(_, expected_stream)| *expected_stream == until)
        {
            self.finished.remove(&request);
        }
    }
}
