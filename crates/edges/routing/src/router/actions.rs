//! Executes the gateway's actions.

use super::RequestRouter;
use crate::counters::Counter;
use crate::messages::{EngineCommand, Response, Token};
use lemonusher::{Action, RequestId};
use std::time::Duration;

impl RequestRouter {
    /// Executes one action.
    pub(super) fn execute(&mut self, now: Duration, action: Action) {
        match action {
            Action::SetPriority { request, priority, memory_mb } => {
                self.set_priority(&request, priority, memory_mb);
            }
            Action::Send { request, engine, timeout, start_by } => {
                self.send_attempt(now, request, engine, timeout, start_by);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(&request, attempt),
            Action::Reject { request, retry_after } => {
                self.respond(&request, Response::Rejected(retry_after));
            }
            Action::Fail { request } => self.respond(&request, Response::Failed),
            Action::SetTimer { at } => {
                self.wakeups.insert(at);
            }
            Action::Probe { engine } => self.send_probe(now, engine),
            Action::WatchEndpoints => {} // The discovery channel sends all changes anyway.
        }
    }

    /// Sets the priority and memory of the request's further attempts, and the priority of its attempts in flight.
    fn set_priority(&mut self, request: &RequestId, priority: u8, memory_mb: f64) {
        let Some(open_request) = self.requests.get_mut(request) else { return };
        (open_request.priority, open_request.memory_mb) = (priority, memory_mb);
        let tokens: Vec<Token> = (self.attempts.iter_mut())
            .filter(|(_, attempt)| attempt.request == *request && attempt.priority != priority)
            .map(|(token, attempt)| {
                attempt.priority = priority;
                *token
            })
            .collect();
        for token in tokens {
            self.queue_command(EngineCommand::SetPriority { token, priority });
        }
    }

    fn cancel_attempt(&mut self, request: &RequestId, number: u32) {
        let mut attempts = self.attempts.iter();
        let found = attempts.find(|(_, attempt)| attempt.request == *request && attempt.number == number);
        if let Some((token, request_class)) = found.map(|(token, attempt)| (*token, attempt.request_class)) {
            self.counters.add(Counter::Cancels, Some(request_class));
            self.queue_command(EngineCommand::Cancel(token));
        }
    }
}
