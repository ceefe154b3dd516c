//! Proxies that send attempts by themselves, in the place of client sessions and engine connections: their events go to the
//! router's queue, the router's commands and responses go to them. The state of a call is `lemonusher-external-call`'s.

use super::shared::Shared;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{EndpointUpdateKind, EngineId, EngineState, RequestId};
use lemonusher_external_call::{
    CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, FinalResponse, StreamId,
};
use lemonusher_processor::{ProxyEvent, ProxyResponse};
use lemonusher_routing::{Endpoint, EngineCommand, IncomingRequest, Response, ResponseSink, RouterEvent};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What `run` needs to serve proxies that use external processing.
pub struct ExternalProcessing {
    /// Configuration of the calls.
    pub config: CallConfig,
    /// Events of the proxies' streams.
    pub events: Receiver<ProxyEvent>,
    /// A start after a crash: what proxies still have in flight is not known.
    pub recovers: bool,
    /// Time between two decisions, in place of the deployment's: a response to a proxy waits for it.
    pub tick: Duration,
}

/// Keeps the router's responses, which come while it carries out a decision, until this task runs.
struct ResponseInbox {
    requests: RefCell<BTreeMap<u64, RequestId>>,
    received: RefCell<VecDeque<(RequestId, Response)>>,
    wake: Sender<()>,
}

impl ResponseSink for ResponseInbox {
    fn respond(&self, ticket: u64, response: Response) {
        if let Some(request) = self.requests.borrow_mut().remove(&ticket) {
            self.received.borrow_mut().push_back((request, response));
            let _ = self.wake.try_send(());
        }
    }
}

enum Next {
    Command(EngineCommand),
    Proxy(ProxyEvent),
    ResponsesReady,
    Due,
    Closed,
}

/// The sending side of a proxy's stream.
struct ProxyStream {
    responses: Sender<ProxyResponse>,
    /// How long its request was queued before it was read here.
    queued: Duration,
}

struct ProcessorBridge {
    shared: Rc<Shared>,
    calls: ExternalCalls,
    inbox: Rc<ResponseInbox>,
    tickets: BTreeMap<RequestId, u64>,
    next_ticket: u64,
    streams: BTreeMap<StreamId, ProxyStream>,
    addresses: BTreeMap<EngineId, SocketAddr>,
    started_at: Instant,
}

/// Serves for as long as the front runs.
pub async fn run(shared: Rc<Shared>, commands: Receiver<EngineCommand>, external: ExternalProcessing) {
    let (wake, response_ready) = async_channel::bounded(1);
    let inbox = Rc::new(ResponseInbox { requests: RefCell::default(), received: RefCell::default(), wake });
    let mut bridge = ProcessorBridge {
        shared,
        calls: ExternalCalls::new(external.config),
        inbox,
        tickets: BTreeMap::new(),
        next_ticket: 0,
        streams: BTreeMap::new(),
        addresses: BTreeMap::new(),
        started_at: Instant::now(),
    };
    loop {
        let timer = async {
            match bridge.calls.next_timeout() {
                Some(at) => Timer::at(bridge.started_at + at).await,
                None => std::future::pending().await,
            };
            Next::Due
        };
        // The router's commands go first: a response to a proxy must not wait behind requests.
        let command = async { commands.recv().await.map_or(Next::Closed, Next::Command) };
        let response = async { response_ready.recv().await.map_or(Next::Closed, |()| Next::ResponsesReady) };
        let proxy = async { external.events.recv().await.map_or(Next::Closed, Next::Proxy) };
        let next = command.or(response).or(timer).or(proxy).await;
        let now = bridge.started_at.elapsed();
        let actions = match next {
            Next::Closed => return,
            Next::Due => bridge.calls.poll(now),
            Next::ResponsesReady => bridge.handle_responses(now),
            Next::Command(command) => bridge.handle_command(command),
            Next::Proxy(event) => bridge.handle_proxy_event(now, event),
        };
        bridge.execute(actions).await;
    }
}

impl ProcessorBridge {
    fn handle_responses(&mut self, now: Duration) -> Vec<CallAction> {
        let received: Vec<(RequestId, Response)> = self.inbox.received.borrow_mut().drain(..).collect();
        let mut actions = Vec::new();
        for (request, response) in received {
            self.tickets.remove(&request);
            actions.extend(match response {
                Response::Returned(_) => Vec::new(), // The proxy has passed it on already.
                Response::Rejected(retry_after) => {
                    self.calls.handle_final_response(now, &request, FinalResponse::Rejected { retry_after })
                }
                Response::Failed => self.calls.handle_final_response(now, &request, FinalResponse::Failed),
            });
        }
        actions
    }

    fn handle_command(&mut self, command: EngineCommand) -> Vec<CallAction> {
        match command {
            EngineCommand::Send { token, engine, request, conditions, .. } => {
                let timeout = conditions.until.saturating_duration_since(Instant::now());
                self.calls.handle_attempt(&request, token, engine, timeout)
            }
            EngineCommand::Endpoints(kind, endpoints) => {
                self.handle_endpoints(kind, endpoints);
                Vec::new()
            }
            // Nothing is probed, and an attempt that a proxy has begun can't be called back.
            EngineCommand::Probe { .. }
            | EngineCommand::SetPriority { .. }
            | EngineCommand::Cancel(_)
            | EngineCommand::Withdraw(_) => Vec::new(),
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
            ProxyEvent::Request { call_request, responses, received } => {
                let stream = ProxyStream { responses, queued: received.elapsed() };
                self.streams.insert(call_request.stream, stream);
                self.calls.handle_request(now, call_request)
            }
            ProxyEvent::ResponseHeaders { stream, outcome } => {
                self.calls.handle_response_headers(stream, outcome)
            }
            ProxyEvent::StreamEnded { stream, complete } => {
                self.streams.remove(&stream);
                self.calls.handle_stream_end(now, stream, complete)
            }
            ProxyEvent::RoundTrip(round_trip) => {
                self.calls.record_round_trip(round_trip);
                Vec::new()
            }
        }
    }

    async fn execute(&mut self, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Submit(call_request) => self.submit(call_request).await,
                CallAction::Cancel(request) => {
                    if let Some(ticket) = self.tickets.remove(&request) {
                        self.inbox.requests.borrow_mut().remove(&ticket);
                        let event = RouterEvent::ClientGone { sink: self.inbox.clone(), ticket, request };
                        let _ = self.shared.events.send(event).await;
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
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        // Seldom, a request of this id is still on its way out of the router's tables: the new one has its ticket.
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
        // The queue has room for all responses of one call; that of a stream that has ended is closed.
        let _ = responses.try_send(ProxyResponse {
            response,
            engine_address,
            queued: *queued,
            sent_at: Instant::now(),
        });
    }
}
