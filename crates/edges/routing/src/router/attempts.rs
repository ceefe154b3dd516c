//! Attempts and probes: start, progress and end. Only the first outcome of each is handled.

use super::{InFlightAttempt, InFlightProbe, RequestRouter, TokenTimer};
use crate::counters::{Counter, OutcomeLabel};
use crate::messages::{EngineCommand, Response, Token, WriteConditions};
use lemonusher::{
    AttemptEnd, AttemptOutcome, AttemptProgress, EngineId, Event, LoadReport, RequestId, ResourceUsage,
};
use std::rc::Rc;
use std::time::Duration;

impl RequestRouter {
    /// Sends an attempt of an open request. It times out at the request's deadline or after `timeout`,
    /// whichever is earlier; if `timeout` is zero, only the deadline applies.
    pub(super) fn send_attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        engine: EngineId,
        timeout: Duration,
        start_by: Option<Duration>,
    ) {
        let token = self.new_token();
        let Some(open_request) = self.requests.get_mut(&request) else { return };
        let deadline =
            if timeout.is_zero() { open_request.deadline } else { open_request.deadline.min(now + timeout) };
        self.counters.add(Counter::Attempts, Some(open_request.request_class));
        if open_request.attempts_sent > 0 {
            self.counters.add(Counter::Retries, Some(open_request.request_class));
        }
        let command = EngineCommand::Send {
            token,
            engine,
            request: request.clone(),
            request_class: open_request.request_class,
            statement: open_request.statement.clone(),
            conditions: WriteConditions {
                until: self.clock.instant(deadline),
                start_by: start_by.map(|at| self.clock.instant(at)),
                requester: Rc::downgrade(&open_request.requester),
            },
            priority: open_request.priority,
            memory_mb: open_request.memory_mb,
        };
        let attempt = InFlightAttempt {
            request,
            request_class: open_request.request_class,
            number: open_request.attempts_sent,
            engine,
            sent_at: now,
            deadline,
            priority: open_request.priority,
        };
        open_request.attempts_sent += 1;
        self.track_attempt(token, attempt, start_by);
        self.queue_command(command);
    }

    /// Adds an attempt to the table of attempts and sets its timers.
    fn track_attempt(&mut self, token: Token, attempt: InFlightAttempt, start_by: Option<Duration>) {
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.handle_sent(attempt.sent_at, attempt.engine);
        }
        self.timeouts.insert(TokenTimer { at: attempt.deadline, token });
        self.start_deadlines.extend(start_by.map(|at| TokenTimer { at, token }));
        self.attempts.insert(token, attempt);
    }

    /// Handles the end of an attempt. Ignored if the attempt is not in flight, so only its first outcome counts.
    pub(super) fn handle_attempt_ended(
        &mut self,
        now: Duration,
        token: Token,
        outcome: AttemptOutcome,
        usage: Option<ResourceUsage>,
        load: Option<LoadReport>,
        body: Vec<u8>,
    ) {
        let Some(attempt) = self.attempts.remove(&token) else { return };
        let elapsed = now.saturating_sub(attempt.sent_at);
        self.observe_attempt_ended(now, &attempt, outcome, usage.map(|usage| usage.work));
        self.timeouts.remove(&TokenTimer { at: attempt.deadline, token });
        let label = OutcomeLabel::from(outcome);
        self.counters.add(Counter::AttemptEnded(label), Some(attempt.request_class));
        log::debug!(
            "batch" = &*attempt.request, engine = attempt.engine;
            "request {} attempt {} on engine {:08x} ended with outcome '{label}' after {elapsed:?}",
            attempt.request,
            attempt.number,
            attempt.engine,
        );
        if outcome == AttemptOutcome::Returned {
            self.respond(&attempt.request, Response::Returned(body));
        }
        let end = AttemptEnd {
            request_finished: !self.requests.contains_key(&attempt.request),
            request: attempt.request,
            attempt: attempt.number,
            engine: attempt.engine,
            elapsed,
            outcome,
            usage,
            load,
        };
        self.gateway.handle_event(now, Event::AttemptEnded(end));
    }

    /// Reports the end of an attempt to the zone monitor.
    fn observe_attempt_ended(
        &mut self,
        now: Duration,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
        work: Option<Duration>,
    ) {
        let Some(zone_monitor) = &mut self.zone_monitor else { return };
        let class = self.deployment.request_classes.get(attempt.request_class);
        let threads = class.map_or(1.0, |config| config.threads);
        let result = crate::zone_monitor::attempt_result(outcome, attempt.sent_at, now, work, threads);
        zone_monitor.handle_attempt_ended(now, attempt.engine, attempt.request_class, outcome, result);
    }

    /// Handles a progress report of a running attempt.
    pub(super) fn handle_progress(&mut self, now: Duration, token: Token, progress: AttemptProgress) {
        let Some(attempt) = self.attempts.get(&token) else { return };
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.handle_progress(now, attempt.engine);
        }
        let event = Event::Progress {
            request: attempt.request.clone(),
            attempt: attempt.number,
            engine: attempt.engine,
            progress,
        };
        self.gateway.handle_event(now, event);
    }

    /// Sends a probe to an engine, unless the command backlog is full.
    pub(super) fn send_probe(&mut self, now: Duration, engine: EngineId) {
        if self.backlog_is_full() {
            return;
        }
        let token = self.new_token();
        self.probes.insert(token, InFlightProbe { engine, sent_at: now });
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.handle_sent(now, engine);
        }
        self.timeouts.insert(TokenTimer { at: now + self.limits.probe_timeout, token });
        self.queue_command(EngineCommand::Probe { token, engine });
    }

    /// Handles the end of a probe. Ignored if the probe is not in flight, so only its first outcome counts.
    pub(super) fn handle_probe_ended(
        &mut self,
        now: Duration,
        token: Token,
        answered: bool,
        load: Option<LoadReport>,
    ) {
        let Some(InFlightProbe { engine, sent_at }) = self.probes.remove(&token) else { return };
        self.timeouts.remove(&TokenTimer { at: sent_at + self.limits.probe_timeout, token });
        self.counters.add(if answered { Counter::Probes } else { Counter::ProbeFailures }, None);
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.handle_probe_ended(now, engine, answered);
        }
        let elapsed = now.saturating_sub(sent_at);
        self.gateway.handle_event(now, Event::ProbeEnded { engine, answered, elapsed, load });
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }
}
