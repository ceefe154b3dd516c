//! The end of an attempt: updates the state of its engine, its class and its request.
//!
//! Inputs: outcome, duration and, if reported, resource usage and load. The engine's health, congestion and
//! concurrency limit change by the outcome; the class's means of work, memory and latency change by a
//! response. The request is finished, queued for another attempt, or given up.

use crate::concurrency_limit::{LimitParameters, shows_pressure};
use crate::engine::AttemptTransition;
use crate::event::{AttemptEnd, AttemptOutcome};
use crate::gateway::Gateway;
use crate::request::{PossibleRun, RequestGoal};
use std::time::Duration;

/// Lower limit of a request's reported work, in seconds on one thread.
const MIN_WORK_SECONDS: f64 = 1e-3;

impl Gateway {
    /// Handles the end of an attempt: updates the engine's health and the class's means, and decides what
    /// follows for the request.
    pub(crate) fn handle_attempt_end(&mut self, now: Duration, end: AttemptEnd) {
        self.handle_load_report(now, end.engine, end.load, None);
        self.record_engine_outcome(now, &end);
        let Some(sequence) = self.requests.sequence_of(&end.request) else { return };
        let Some(request) = self.requests.get(sequence) else { return };
        let current = request.in_flight.as_ref().is_some_and(|in_flight| in_flight.attempt == end.attempt);
        if current && let Some(slowness) = self.end_attempt(now, sequence, &end) {
            self.record_slowness(now, end.engine, slowness, end.load.is_some());
        }
        if end.request_finished || end.outcome == AttemptOutcome::Returned {
            self.finish(sequence);
        } else if self.requests.get(sequence).is_some_and(|request| request.finished) {
            self.remove(sequence);
        } else {
            self.give_up_if_no_attempt_left(now, sequence);
        }
    }

    /// Updates the health of the engine. In many-front mode ([`Gateway::many_fronts`]) a rejection also
    /// counts as a slow attempt, as during a full overload no response arrives from which slowness could be
    /// learned. The drawback is that a single full engine also raises the slow share.
    fn record_engine_outcome(&mut self, now: Duration, end: &AttemptEnd) {
        if end.outcome == AttemptOutcome::Rejected && self.many_fronts() {
            self.slow_share.record(now, true);
            self.record_rejection(now, end.engine);
        }
        match end.outcome {
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::Rejected => {
                self.record_failure(now, end.engine);
            }
            AttemptOutcome::Returned => {
                if let Some(engine) = self.engines.get_mut(&end.engine) {
                    engine.record_response(now);
                }
            }
            _ => {}
        }
    }

    /// Ends the attempt in flight of a request. Returns its duration as a multiple of the time after which
    /// it is slow; `None` if that is unknown.
    fn end_attempt(&mut self, now: Duration, sequence: u64, end: &AttemptEnd) -> Option<f64> {
        self.attempt_ended = true;
        self.release_engine(now, sequence, end);
        let class = &self.classes[self.requests[sequence].class];
        let slowness = match end.outcome {
            AttemptOutcome::Returned => self.learn_from_response(now, sequence, end),
            AttemptOutcome::TimedOut => Some(end.elapsed.as_secs_f64() / class.slow_after(class.work.mean())),
            _ => None,
        };
        self.record_possible_run(now, sequence, end);
        self.block_key_if_unknown(now, sequence, end.outcome);
        self.clear_attempt(now, sequence, end);
        slowness
    }

    /// Removes the attempt from the engine's counters. If it returned, adjusts the concurrency limit there.
    fn release_engine(&mut self, now: Duration, sequence: u64, end: &AttemptEnd) {
        let request = &self.requests[sequence];
        let class = &self.classes[request.class];
        let Some(engine) = self.engines.get_mut(&end.engine) else { return };
        engine.count_attempt(request.class, class, request.table_group, AttemptTransition::Ends);
        if end.outcome == AttemptOutcome::Returned {
            let work = end.usage.map(|usage| usage.work.as_secs_f64());
            let objective = class.objective(work.unwrap_or(class.work.mean()));
            let pressure = shows_pressure(end.elapsed.as_secs_f64(), objective);
            let parameters = LimitParameters {
                max_threads: crate::admission::max_own_threads(self.deployment.cores(&engine.entry)),
                min_objective: self.derived_times.min_objective,
            };
            engine.adjust_concurrency_limit(now, pressure, class.config.threads, &parameters);
        }
    }

    /// Updates the class's means by a response. Returns the attempt's slowness if the response reports the
    /// work.
    fn learn_from_response(&mut self, now: Duration, sequence: u64, end: &AttemptEnd) -> Option<f64> {
        let request = &self.requests[sequence];
        let class = &mut self.classes[request.class];
        let latency = end.elapsed.as_secs_f64();
        let work = end.usage.map(|usage| usage.work.as_secs_f64());
        let (memory_mb, weight) = end.usage.map_or((0.0, 0.0), |usage| (usage.memory_mb, 1.0));
        class.memory.add(now, memory_mb, weight);
        let slowness = work.map(|work| latency / class.slow_after(work.max(MIN_WORK_SECONDS)));
        if !request.counted_slow {
            self.slow_share.record(now, slowness.is_some_and(|slowness| slowness > 1.0));
        }
        self.estimates.typical_threads.add(now, latency * class.config.threads, latency);
        class.record_latency(now, latency);
        class.work.add(now, work.unwrap_or(latency * class.config.threads), 1.0);
        slowness
    }

    fn record_possible_run(&mut self, now: Duration, sequence: u64, end: &AttemptEnd) {
        let Some(request) = self.requests.get_mut(sequence) else { return };
        if !end.outcome.never_ran() && request.first_possible_run.is_none() {
            let sent_at = now.saturating_sub(end.elapsed);
            request.first_possible_run = Some(PossibleRun { sent_at, engine: end.engine });
        }
    }

    /// Blocks the request's ordering key while the attempt may still be running.
    fn block_key_if_unknown(&mut self, now: Duration, sequence: u64, outcome: AttemptOutcome) {
        if let Some(key) = self.requests[sequence].key
            && leaves_outcome_unknown(outcome)
        {
            self.key_queues.block(key, now + self.deployment.safety_rules.unknown_outcome_delay);
        }
    }

    /// Clears the attempt in flight, and queues the request again unless it has another goal by now.
    fn clear_attempt(&mut self, now: Duration, sequence: u64, end: &AttemptEnd) {
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.in_flight = None;
        request.last_failed_engine = Some(end.engine);
        request.next_admission_draw = now;
        request.last_attempt_ended = now;
        request.counted_slow = false;
        request.admission_refused = false;
        if request.goal == RequestGoal::SentTo(end.engine) {
            request.goal = RequestGoal::Queued;
        }
    }
}

/// Whether the attempt may still be running after its end.
fn leaves_outcome_unknown(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
}
