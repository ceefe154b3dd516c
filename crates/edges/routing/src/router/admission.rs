//! Admission of requests, and their responses.
//!
//! A request is checked, in this order, against the router's own limits, the zone failover plan, the limits
//! set by management clients, and the requests and attempts that are already open or in flight under its id.
//! Only a request that passes all checks reaches the gateway.

use super::{OpenRequest, RequestRouter};
use crate::counters::Counter;
use crate::messages::{EngineCommand, IncomingRequest, Requester, Response, ResponseSink, Token};
use lemonusher::{Arrival, Event, RequestId};
use std::rc::Rc;
use std::time::Duration;

impl RequestRouter {
    /// Admits a request and passes it to the gateway, or responds to it at once.
    pub(super) fn handle_request(&mut self, now: Duration, incoming: IncomingRequest) {
        self.counters.add(Counter::Received, Some(incoming.request_class));
        if let Err(response) = self.admit(now, &incoming) {
            let counter = match response {
                Response::Failed => Counter::Failed,
                Response::Rejected(_) | Response::Returned(_) => Counter::Rejected,
            };
            self.counters.add(counter, Some(incoming.request_class));
            return incoming.sink.respond(incoming.ticket, response);
        }
        self.statement_bytes += incoming.statement.len();
        let open_request = OpenRequest {
            requester: Rc::new(Requester { sink: incoming.sink, ticket: incoming.ticket }),
            request_class: incoming.request_class,
            statement: incoming.statement,
            deadline: now + incoming.client_timeout,
            priority: 1,
            memory_mb: 0.0,
            attempts_sent: 0,
        };
        self.requests.insert(incoming.request.clone(), open_request);
        self.gateway.handle_event(
            now,
            Event::Arrived(Arrival {
                request: incoming.request,
                request_class: incoming.request_class,
                table_group: incoming.table_group,
                key: None, // No client protocol carries an ordering key.
                client_timeout: incoming.client_timeout,
                work: None,
                memory_mb: 0.0,
                client_retry: incoming.client_retry,
            }),
        );
    }

    /// Checks whether a request is admitted. The error is the response to send if it is not.
    fn admit(&mut self, now: Duration, incoming: &IncomingRequest) -> Result<(), Response> {
        let capabilities = &self.deployment.capabilities;
        let retry_after = |wait: Duration| Some(wait).filter(|_| capabilities.retry_after);
        let is_full = self.requests.len() >= self.limits.max_requests
            || self.statement_bytes + incoming.statement.len() > self.limits.max_statement_bytes;
        if is_full {
            return Err(Response::Rejected(None));
        }
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor
                .admit(incoming.request_class)
                .map_err(|wait| Response::Rejected(retry_after(wait.min(capabilities.max_retry_after))))?;
        }
        self.admission_limiter
            .admit(now, incoming.request_class)
            .map_err(|wait| Response::Rejected(retry_after(wait)))?;
        let is_duplicate = self.requests.contains_key(&incoming.request)
            || self.attempts.values().any(|attempt| attempt.request == incoming.request);
        if is_duplicate {
            self.admission_limiter.release(now, incoming.request_class);
            return Err(Response::Failed);
        }
        Ok(())
    }

    /// Closes a request whose client disconnected or cancelled. Ignored unless the open request with this id
    /// has the same sink and ticket: another client may have sent the same id since.
    pub(super) fn handle_client_disconnected(
        &mut self,
        now: Duration,
        sink: &Rc<dyn ResponseSink>,
        ticket: u64,
        request: RequestId,
    ) {
        let is_same_client =
            |open: &&OpenRequest| open.requester.ticket == ticket && Rc::ptr_eq(&open.requester.sink, sink);
        if let Some(open_request) = self.requests.get(&request).filter(is_same_client) {
            self.counters.add(Counter::ClientDisconnected, Some(open_request.request_class));
            self.finish_request(&request);
            self.gateway.handle_event(now, Event::ClientDisconnected(request));
        }
    }

    /// Sends the final response, if the request is still open.
    pub(super) fn respond(&mut self, request: &RequestId, response: Response) {
        let Some(open_request) = self.finish_request(request) else { return };
        let counter = match &response {
            Response::Returned(_) => Counter::Returned,
            Response::Rejected(_) => Counter::Rejected,
            Response::Failed => Counter::Failed,
        };
        self.counters.add(counter, Some(open_request.request_class));
        log::debug!("batch" = &**request; "request {request} ended, counted as '{counter}'");
        open_request.requester.respond(response);
    }

    /// Removes an open request; no response is sent for it after this. Attempts that are not written yet are
    /// withdrawn. Each attempt still ends with an outcome.
    fn finish_request(&mut self, request: &RequestId) -> Option<OpenRequest> {
        let open_request = self.requests.remove(request)?;
        if open_request.attempts_sent > 0 {
            let in_flight = self.attempts.iter().filter(|(_, attempt)| attempt.request == *request);
            let tokens: Vec<Token> = in_flight.map(|(token, _)| *token).collect();
            tokens.into_iter().for_each(|token| self.queue_command(EngineCommand::Withdraw(token)));
        }
        self.statement_bytes -= open_request.statement.len();
        self.admission_limiter.release(self.clock.now(), open_request.request_class);
        Some(open_request)
    }
}
