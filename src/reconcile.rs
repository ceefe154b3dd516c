//! Reconciliation: turns the difference between the desired and the actual state into actions. No other
//! module creates actions.

use crate::action::Action;
use crate::endpoint::EngineId;
use crate::engine::AttemptTransition;
use crate::gateway::Gateway;
use crate::request::{InFlight, RequestGoal};
use std::time::Duration;

impl Gateway {
    /// Appends the actions that lead from the actual to the desired state.
    pub(crate) fn reconcile(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.poll_now) {
            actions.push(Action::WatchEndpoints);
        }
        actions.extend(self.probes.take_due().into_iter().map(|engine| Action::Probe { engine }));
        self.set_timer(now, actions);
        for sequence in std::mem::take(&mut self.changed) {
            self.cancel_undesired(sequence, actions);
            self.reconcile_request(now, sequence, actions);
        }
    }

    /// Sets a timer for the next decision, unless a timer that is already set fires before.
    fn set_timer(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(due) = self.decision_due.take() else { return };
        if self.timer_at <= now || due < self.timer_at {
            self.timer_at = due.max(now + self.deployment.tick);
            actions.push(Action::SetTimer { at: self.timer_at });
        }
    }

    /// Marks the attempt in flight as cancelled if it is no longer desired, and cancels it if fronts may do so.
    fn cancel_undesired(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(sequence) else { return };
        let (goal, finished) = (request.goal, request.finished);
        let Some(in_flight) = request.in_flight.as_mut().filter(|in_flight| !in_flight.cancelled) else {
            return;
        };
        if !finished && goal == RequestGoal::SentTo(in_flight.engine) {
            return;
        }
        in_flight.cancelled = true;
        if self.deployment.capabilities.cancel {
            actions.push(Action::Cancel { request: request.id.clone(), attempt: in_flight.attempt });
        }
    }

    fn reconcile_request(&mut self, now: Duration, sequence: u64, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(sequence).filter(|request| !request.finished) else { return };
        let id = request.id.clone();
        match request.goal {
            RequestGoal::SentTo(engine) if request.in_flight.is_none() => {
                self.send(now, sequence, engine, actions);
            }
            RequestGoal::SentTo(_) | RequestGoal::Queued => {}
            RequestGoal::Rejected => {
                let retry_after = self.retry_after(request.class);
                actions.push(Action::Reject { request: id, retry_after });
                self.finish(sequence);
            }
            RequestGoal::Failed => {
                actions.push(Action::Fail { request: id });
                self.finish(sequence);
            }
        }
    }

    /// Begins an attempt, counts it, and ends the reservation of an engine for its request.
    fn send(&mut self, now: Duration, sequence: u64, engine: EngineId, actions: &mut Vec<Action>) {
        let request = &self.requests[sequence];
        let start_by = self.deduplicated_until(request).filter(|_| request.first_possible_run.is_some());
        let priority = self.classes[request.class].priority;
        let Some(request) = self.requests.get_mut(sequence) else { return };
        let id = request.id.clone();
        if std::mem::replace(&mut request.priority, priority) != priority {
            actions.push(Action::SetPriority { request: id.clone(), priority, memory_mb: 0.0 });
        }
        actions.push(Action::Send { request: id, engine, timeout: Duration::ZERO, start_by });
        let attempt = request.attempts;
        request.in_flight = Some(InFlight { attempt, engine, sent_at: now, cancelled: false });
        request.attempts += 1;
        if attempt > 0 && self.deployment.safety_rules.retry_budget.is_some() {
            self.retries.record_retry(now);
        }
        self.count_sent(now, sequence, engine);
        self.starvation_header.take_if(|header| header.sequence == sequence);
    }

    /// Adds an attempt to its engine's counters and discards the cached candidates.
    fn count_sent(&mut self, now: Duration, sequence: u64, id: EngineId) {
        let engines_used = self.engines_used();
        let request = &self.requests[sequence];
        let class = &self.classes[request.class];
        let work = class.work.mean();
        let Some(engine) = self.engines.get_mut(&id) else { return };
        self.candidate_cache.clear();
        engine.count_attempt(request.class, class, request.table_group, AttemptTransition::Begins);
        self.estimates.record_sent(engine, work, engines_used);
        self.record_slow_start_work(now, id, work);
    }
}
