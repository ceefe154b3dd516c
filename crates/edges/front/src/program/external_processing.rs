//! External processing: proxies that send attempts by themselves, in the place of clients and of connections to engines.
//! Their messages go into the router's queue, the router's commands and responses go to them. What a call goes through is
//! decided in `lemonusher-consult`.

use super::shared::Shared;
use crate::transport::Signal;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{Deployment, EndpointUpdateKind, EngineId, EngineState, LoadReporting, RequestId};
use lemonusher_consult::{Asked, Consult, Do, StreamId, Terms, Verdict};
use lemonusher_processor::{FromProxy, Told};
use lemonusher_routing::{Endpoint, EngineCommand, IncomingRequest, Response, ResponseSink, RouterEvent};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What the front needs to serve proxies by external processing.
pub struct ExternalProcessing {
    /// Configuration of the calls.
    pub config: Terms,
    /// Messages of the proxies.
    pub messages: Receiver<FromProxy>,
    /// A start after a crash: what proxies still have in flight is not known.
    pub recovers: bool,
    /// The gateway decides this often at most, in the place of what the deployment states: a verdict waits for it.
    pub tick: Duration,
}

impl ExternalProcessing {
    /// Restricts a deployment to what external processing can do: engines are reached by proxies alone, so nothing is
    /// probed and no load is reported.
    pub(super) fn restrict(&self, deployment: &mut Deployment) {
        deployment.tick = self.tick;
        deployment.capabilities.probes = false;
        deployment.capabilities.cancel = false;
        deployment.load_reporting = LoadReporting::None;
    }
}

/// Collects the router's responses, which come in the middle of its turn, for later.
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
}

/// What the bridge waits for.
enum BridgeEvent {
    Command(EngineCommand),
    Proxy(FromProxy),
    ResponsesReady,
    Timer,
    Closed,
}

/// An open call of a proxy.
struct ProxyStream {
    verdicts: Sender<Told>,
    /// How long the call's first message waited before it was read here.
    queued_for: Duration,
}

struct ProcessorBridge {
    shared: Rc<Shared>,
    consult: Consult,
    inbox: Rc<ResponseInbox>,
    tickets: BTreeMap<RequestId, u64>,
    last_ticket: u64,
    streams: BTreeMap<StreamId, ProxyStream>,
    addresses: BTreeMap<EngineId, SocketAddr>,
    started_at: Instant,
}

/// Serves for as long as the front runs.
pub async fn run(shared: Rc<Shared>, commands: Receiver<EngineCommand>, external: ExternalProcessing) {
    let inbox = Rc::new(ResponseInbox {
        requests: RefCell::default(),
        responses: RefCell::default(),
        ready: Signal::new(),
    });
    let mut bridge = ProcessorBridge {
        shared,
        consult: Consult::new(external.config),
        inbox,
        tickets: BTreeMap::new(),
        last_ticket: 0,
        streams: BTreeMap::new(),
        addresses: BTreeMap::new(),
        started_at: Instant::now(),
    };
    loop {
        let event = bridge.next_event(&commands, &external.messages).await;
        let now = bridge.started_at.elapsed();
        let actions = match event {
            BridgeEvent::Closed => return,
            BridgeEvent::Timer => bridge.consult.turn(now),
            BridgeEvent::ResponsesReady => bridge.handle_responses(now),
            BridgeEvent::Command(command) => bridge.handle_command(command),
            BridgeEvent::Proxy(message) => bridge.handle_proxy_message(now, message),
        };
        bridge.execute(actions).await;
    }
}

impl ProcessorBridge {
    /// Waits for what comes first. The router's side goes before new calls: a verdict must not wait behind them.
    async fn next_event(
        &self,
        commands: &Receiver<EngineCommand>,
        messages: &Receiver<FromProxy>,
    ) -> BridgeEvent {
        let timer = async {
            match self.consult.due_at() {
                Some(at) => Timer::at(self.started_at + at).await,
                None => std::future::pending().await,
            };
            BridgeEvent::Timer
        };
        let command = async { commands.recv().await.map_or(BridgeEvent::Closed, BridgeEvent::Command) };
        let responses = async {
            self.inbox.ready.wait().await.map_or(BridgeEvent::Closed, |()| BridgeEvent::ResponsesReady)
        };
        let message = async { messages.recv().await.map_or(BridgeEvent::Closed, BridgeEvent::Proxy) };
        command.or(responses).or(timer).or(message).await
    }

    fn handle_responses(&mut self, now: Duration) -> Vec<Do> {
        let responses: Vec<ReceivedResponse> = self.inbox.responses.borrow_mut().drain(..).collect();
        let mut actions = Vec::new();
        for ReceivedResponse { request, response } in responses {
            self.tickets.remove(&request);
            actions.extend(match response {
                Response::Returned(_) => Vec::new(), // The proxy has passed it on already.
                Response::Rejected(retry_after) => self.consult.answer(now, &request, true, retry_after),
                Response::Failed => self.consult.answer(now, &request, false, None),
            });
        }
        actions
    }

    fn handle_command(&mut self, command: EngineCommand) -> Vec<Do> {
        match command {
            EngineCommand::Send { token, engine, request, conditions, .. } => {
                let timeout = conditions.until.saturating_duration_since(Instant::now());
                self.consult.attempt(&request, token, engine, timeout)
            }
            EngineCommand::Endpoints(kind, endpoints) => {
                self.handle_endpoints(kind, endpoints);
                Vec::new()
            }
            // Nothing is probed, and what a proxy has sent can't be cancelled.
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

    fn handle_proxy_message(&mut self, now: Duration, message: FromProxy) -> Vec<Do> {
        match message {
            FromProxy::Asked { asked, line, received } => {
                let stream = ProxyStream { verdicts: line, queued_for: received.elapsed() };
                self.streams.insert(asked.stream, stream);
                self.consult.asked(now, asked)
            }
            FromProxy::Answered { stream, outcome } => self.consult.answered(stream, outcome),
            FromProxy::Ended { stream, whole } => {
                self.streams.remove(&stream);
                self.consult.ended(now, stream, whole)
            }
            FromProxy::Measured(round_trip) => {
                self.consult.measured(round_trip);
                Vec::new()
            }
        }
    }

    async fn execute(&mut self, actions: Vec<Do>) {
        for action in actions {
            match action {
                Do::Take(call) => self.send_request(call).await,
                Do::Leave(request) => {
                    if let Some(ticket) = self.tickets.remove(&request) {
                        self.inbox.requests.borrow_mut().remove(&ticket);
                        let gone = RouterEvent::ClientGone { sink: self.inbox.clone(), ticket, request };
                        let _ = self.shared.events.send(gone).await;
                    }
                }
                Do::End { token, outcome } => {
                    let _ = self.shared.events.send(RouterEvent::attempt_ended(token, outcome)).await;
                }
                Do::Tell { stream, verdict } => self.send_verdict(stream, verdict),
            }
        }
    }

    async fn send_request(&mut self, call: Asked) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        // Seldom, a request of this id is still on its way out of the router's tables: the new one has its ticket.
        self.tickets.insert(call.batch.clone(), ticket);
        self.inbox.requests.borrow_mut().insert(ticket, call.batch.clone());
        let incoming = IncomingRequest {
            sink: self.inbox.clone(),
            ticket,
            request: call.batch,
            request_class: call.service_group,
            table_group: call.table_group,
            client_timeout: call.patience,
            client_retry: call.repeat,
            statement: Rc::from([]),
        };
        let _ = self.shared.events.send(RouterEvent::Request(incoming)).await;
    }

    fn send_verdict(&mut self, stream: StreamId, verdict: Verdict) {
        let Some(ProxyStream { verdicts, queued_for }) = self.streams.get(&stream) else { return };
        let address = match &verdict {
            Verdict::Go { engine, .. } => self.addresses.get(engine).copied(),
            _ => None,
        };
        // The channel holds more than one call ever gets; that of a proxy which has disconnected is closed.
        let _ = verdicts.try_send(Told { verdict, address, waited: *queued_for, at: Instant::now() });
    }
}
