//! External processing: serves proxies, which send the attempts themselves, in place of client and engine
//! connections.
//!
//! Events of the proxies' streams go to the router's queue; the router's commands and responses go to the
//! proxies. The state machine of a call is in `lemonusher-external-call`.

use super::shared::Shared;
use crate::transport::Signal;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{
    AttemptOutcome, Deployment, EndpointUpdateKind, EngineId, EngineState, LoadReporting, RequestId,
};
use lemonusher_external_call::{
    CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, FinalResponse, GrantedAttempt, StreamId,
};
use lemonusher_processor::{ProxyEvent, ProxyResponse};
use lemonusher_routing::{Endpoint, EngineCommand, IncomingRequest, Response, ResponseSink, RouterEvent};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Configuration and channel of external processing.
pub struct ExternalProcessing {
    /// Configuration of the calls.
    pub config: CallConfig,
    /// Receives the events of the proxies' streams.
    pub events: Receiver<ProxyEvent>,
    /// Whether this is a start after a crash, when the proxies' attempts in flight are unknown.
    pub is_recovery: bool,
    /// Interval between two decisions of the gateway, in place of the deployment's. A response to a proxy waits
    /// up to this long.
    pub tick: Duration,
}

impl ExternalProcessing {
    /// Restricts a deployment to the capabilities of external processing. Only proxies connect to engines, so
    /// there are no probes, no cancels and no load reports.
    pub(super) fn restrict(&self, deployment: &mut Deployment) {
        deployment.tick = self.tick;
        deployment.capabilities.probes = false;
        deployment.capabilities.cancel = false;
        deployment.load_reporting = LoadReporting::None;
    }
}

/// Collects responses, which the router gives in the middle of an iteration, until the bridge handles them.
struct ResponseInbox {
    requests: RefCell<BTreeMap<u64, RequestId>>,
    responses: RefCell<VecDeque<ReceivedResponse>>,
    ready: Signal,
}

struct ReceivedResponse {
    request: RequestId,
    response: Response,
}

impl ResponseSink for ResponseInbox {
    fn respond(&self, ticket: u64, response: Response) {
        if let Some(request) = self.requests.borrow_mut().remove(&ticket) {
            self.responses.borrow_mut().push_back(ReceivedResponse { request, response });
            self.ready.notify();
        }
    }

    /// A proxy starts no attempt for a client that has left it, so what the bridge knows of the call is enough.
    fn is_waiting(self: Rc<Self>, ticket: u64) -> bool {
        self.requests.borrow().contains_key(&ticket)
    }
}

/// Events that the bridge waits for.
enum BridgeEvent {
    Command(EngineCommand),
    Proxy(ProxyEvent),
    ResponsesReady,
    Timer,
    Closed,
}

/// The sending side of a proxy's stream.
struct ProxyStream {
    responses: Sender<ProxyResponse>,
    /// How long the stream's request was queued before the bridge received it.
    queued: Duration,
}

struct ProcessorBridge {
    shared: Rc<Shared>,
    calls: ExternalCalls,
    inbox: Rc<ResponseInbox>,
    tickets: BTreeMap<RequestId, u64>,
    last_ticket: u64,
    streams: BTreeMap<StreamId, ProxyStream>,
    addresses: BTreeMap<EngineId, SocketAddr>,
    started_at: Instant,
}

/// Runs the bridge between the proxies and the router until one of their channels closes.
pub async fn run(shared: Rc<Shared>, commands: Receiver<EngineCommand>, external: ExternalProcessing) {
    let inbox = Rc::new(ResponseInbox {
        requests: RefCell::default(),
        responses: RefCell::default(),
        ready: Signal::new(),
    });
    let mut bridge = ProcessorBridge {
        shared,
        calls: ExternalCalls::new(external.config),
        inbox,
        tickets: BTreeMap::new(),
        last_ticket: 0,
        streams: BTreeMap::new(),
        addresses: BTreeMap::new(),
        started_at: Instant::now(),
    };
    loop {
        let event = bridge.next_event(&commands, &external.events).await;
        let now = bridge.started_at.elapsed();
        let actions = match event {
            BridgeEvent::Closed => return,
            BridgeEvent::Timer => bridge.calls.poll(now),
            BridgeEvent::ResponsesReady => bridge.handle_responses(now),
            BridgeEvent::Command(command) => bridge.handle_command(now, command),
            BridgeEvent::Proxy(event) => bridge.handle_proxy_event(now, event),
        };
        bridge.execute(actions).await;
    }
}

impl ProcessorBridge {
    /// Waits for the next event. The router's commands take precedence, because a response to a proxy must not
    /// wait behind new requests.
    async fn next_event(
        &self,
        commands: &Receiver<EngineCommand>,
        proxy_events: &Receiver<ProxyEvent>,
    ) -> BridgeEvent {
        let timer = async {
            match self.calls.next_timeout() {
                Some(at) => Timer::at(self.started_at + at).await,
                None => std::future::pending().await,
            };
            BridgeEvent::Timer
        };
        let command = async { commands.recv().await.map_or(BridgeEvent::Closed, BridgeEvent::Command) };
        let responses = async {
            self.inbox.ready.wait().await.map_or(BridgeEvent::Closed, |()| BridgeEvent::ResponsesReady)
        };
        let proxy_event = async { proxy_events.recv().await.map_or(BridgeEvent::Closed, BridgeEvent::Proxy) };
        command.or(responses).or(timer).or(proxy_event).await
    }

    fn handle_responses(&mut self, now: Duration) -> Vec<CallAction> {
        let responses: Vec<ReceivedResponse> = self.inbox.responses.borrow_mut().drain(..).collect();
        let mut actions = Vec::new();
        for ReceivedResponse { request, response } in responses {
            self.tickets.remove(&request);
            actions.extend(match response {
                Response::Returned(_) => Vec::new(), // The proxy has forwarded the result itself.
                Response::Rejected(retry_after) => {
                    self.calls.handle_final_response(now, &request, FinalResponse::Rejected { retry_after })
                }
                Response::Failed => self.calls.handle_final_response(now, &request, FinalResponse::Failed),
            });
        }
        actions
    }

    fn handle_command(&mut self, now: Duration, command: EngineCommand) -> Vec<CallAction> {
        match command {
            EngineCommand::Send { token, engine, .. } if !self.shared.may_receive(engine) => {
                vec![CallAction::EndAttempt { token, outcome: AttemptOutcome::NotSent }]
            }
            EngineCommand::Send { token, engine, request, conditions, .. } => {
                let since_start = |at: Instant| at.saturating_duration_since(self.started_at);
                let granted = GrantedAttempt {
                    token,
                    engine,
                    until: since_start(conditions.until),
                    start_by: conditions.start_by.map(since_start),
                };
                self.calls.handle_attempt(now, &request, granted)
            }
            EngineCommand::Cancel(token) | EngineCommand::Withdraw(token) => {
                self.calls.handle_withdrawal(token)
            }
            EngineCommand::Endpoints(kind, endpoints) => {
                self.handle_endpoints(kind, endpoints);
                Vec::new()
            }
            // There are no probes here, and an attempt that a proxy has sent can't be changed.
            EngineCommand::Probe { .. } | EngineCommand::SetPriority { .. } => Vec::new(),
        }
    }

    fn handle_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        if kind != EndpointUpdateKind::Delta {
            self.addresses.clear();
        }
        for endpoint in endpoints {
            match endpoint.state {
                EngineState::Removed => self.addresses.remove(&endpoint.engine),
                _ => self.addresses.insert(endpoint.engine, endpoint.address),
            };
        }
    }

    fn handle_proxy_event(&mut self, now: Duration, event: ProxyEvent) -> Vec<CallAction> {
        match event {
            ProxyEvent::Request { mut call_request, responses, received } => {
                call_request.queued = received.elapsed();
                let stream = ProxyStream { responses, queued: call_request.queued };
                self.streams.insert(call_request.stream, stream);
                let mut actions = self.withdraw_unavailable(&call_request.request);
                actions.extend(self.calls.handle_request(now, call_request));
                actions
            }
            ProxyEvent::ResponseHeaders { stream, outcome } => {
                self.calls.handle_response_headers(stream, outcome)
            }
            ProxyEvent::StreamEnded { stream, complete } => {
                self.streams.remove(&stream);
                self.calls.handle_stream_end(now, stream, complete)
            }
            ProxyEvent::RoundTrip(round_trip) => {
                self.calls.record_round_trip(now, round_trip);
                Vec::new()
            }
        }
    }

    /// Withdraws the attempt that is reserved for the retry of a request, if its engine has started to drain since.
    fn withdraw_unavailable(&mut self, request: &RequestId) -> Vec<CallAction> {
        match self.calls.reserved_attempt(request) {
            Some((token, engine)) if !self.shared.may_receive(engine) => self.calls.handle_withdrawal(token),
            _ => Vec::new(),
        }
    }

    async fn execute(&mut self, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Submit(call_request) => self.submit(call_request).await,
                CallAction::Cancel(request) => {
                    if let Some(ticket) = self.tickets.remove(&request) {
                        self.inbox.requests.borrow_mut().remove(&ticket);
                        let disconnected =
                            RouterEvent::ClientDisconnected { sink: self.inbox.clone(), ticket, request };
                        let _ = self.shared.events.send(disconnected).await;
                    }
                }
                CallAction::EndAttempt { token, outcome } => {
                    let _ = self.shared.events.send(RouterEvent::attempt_ended(token, outcome)).await;
                }
                CallAction::Respond { stream, response } => self.respond(stream, response),
            }
        }
    }

    async fn submit(&mut self, call: CallRequest) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        // In rare cases the router still holds an earlier request with this id. The entry then holds the
        // ticket of the new request.
        self.tickets.insert(call.request.clone(), ticket);
        self.inbox.requests.borrow_mut().insert(ticket, call.request.clone());
        let incoming = IncomingRequest {
            sink: self.inbox.clone(),
            ticket,
            request: call.request,
            request_class: call.request_class,
            table_group: call.table_group,
            client_timeout: call.client_timeout,
            client_retry: call.client_retry,
            statement: Rc::from([]),
        };
        let _ = self.shared.events.send(RouterEvent::Request(incoming)).await;
    }

    fn respond(&mut self, stream: StreamId, response: CallResponse) {
        let Some(ProxyStream { responses, queued }) = self.streams.get(&stream) else { return };
        let engine_address = match &response {
            CallResponse::Forward { engine, .. } => self.addresses.get(engine).copied(),
            _ => None,
        };
        // The channel has capacity for all responses of one call. It is closed if the stream has ended.
        let _ = responses.try_send(ProxyResponse {
            response,
            engine_address,
            queued: *queued,
            sent_at: Instant::now(),
        });
    }
}
