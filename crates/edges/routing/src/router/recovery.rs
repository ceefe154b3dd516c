//! Restarts the gateway after a panic.

use super::RequestRouter;
use crate::counters::Counter;
use crate::messages::{EngineCommand, Response, Token};
use lemonusher::{EndpointUpdateKind, Event, Gateway, RequestId};
use std::time::Duration;

impl RequestRouter {
    /// Responds to every open request with a failure, as the request may or may not have run; cancels all
    /// attempts and probes in flight; and creates a new gateway with the known endpoints.
    pub(super) fn restart_after_panic(&mut self, now: Duration) {
        self.counters.add(Counter::Panics, None);
        log::error!("gateway panicked; failing {} open requests and restarting it", self.requests.len());
        let open: Vec<RequestId> = self.requests.keys().cloned().collect();
        for request in open {
            self.respond(&request, Response::Failed);
        }
        let tokens: Vec<Token> = self.attempts.keys().chain(self.probes.keys()).copied().collect();
        for token in tokens {
            self.queue_command(EngineCommand::Cancel(token));
        }
        self.attempts.clear();
        self.probes.clear();
        self.timeouts.clear();
        self.start_deadlines.clear();
        self.wakeups.clear();
        self.gateway = Gateway::new(self.deployment.clone(), now.as_nanos() as u64);
        let entries = self.endpoints.engines().map(|status| status.entry.clone()).collect();
        self.gateway.handle_event(now, Event::Endpoints(EndpointUpdateKind::Full, entries));
        self.wakeups.insert(now);
    }
}
