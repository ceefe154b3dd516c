//! Proxies that attempt by themselves, in the place of clients and of connections to engines: what they tell goes
//! into the owner's queue, what the owner wants goes to them. The life of a call is `lemonusher-consult`'s.

use super::shared::Shared;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{EndpointUpdateKind, EngineId, EngineState, RequestId};
use lemonusher_consult::{Asked, Consult, Do, StreamId, Terms, Verdict};
use lemonusher_processor::{FromProxy, Told};
use lemonusher_routing::{Endpoint, EngineCommand, IncomingRequest, Response, ResponseSink, RouterEvent};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What `run` needs to serve proxies that use external processing.
pub struct ExternalProcessing {
    /// Configuration of the calls.
    pub config: Terms,
    /// Messages of the proxies.
    pub read_messages: Receiver<FromProxy>,
    /// A start after a crash: what proxies still have out is not known.
    pub recovers: bool,
    /// The owner decides this often at most, in the place of what the deployment states: a verdict waits for it.
    pub tick: Duration,
}

/// Takes the owner's answers, which come in the middle of its turn, for later.
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
    EngineCommand(EngineCommand),
    RouterEvent(FromProxy),
    ResponsesReady,
    Due,
    Closed,
}

struct ProcessorBridge {
    shared: Rc<Shared>,
    consult: Consult,
    inbox: Rc<ResponseInbox>,
    tickets: BTreeMap<RequestId, u64>,
    next_ticket: u64,
    streams: BTreeMap<StreamId, (Sender<Told>, Duration)>,
    addresses: BTreeMap<EngineId, SocketAddr>,
    started_at: Instant,
}

/// Serves for as long as the front runs.
pub async fn run(shared: Rc<Shared>, commands: Receiver<EngineCommand>, external: ExternalProcessing) {
    let (wake, response_ready) = async_channel::bounded(1);
    let inbox = Rc::new(ResponseInbox { requests: RefCell::default(), received: RefCell::default(), wake });
    let mut bridge = ProcessorBridge {
        shared,
        consult: Consult::new(external.config),
        inbox,
        tickets: BTreeMap::new(),
        next_ticket: 0,
        streams: BTreeMap::new(),
        addresses: BTreeMap::new(),
        started_at: Instant::now(),
    };
    loop {
        let timer = async {
            match bridge.consult.due_at() {
                Some(at) => Timer::at(bridge.started_at + at).await,
                None => std::future::pending().await,
            };
            Next::Due
        };
        // What the owner says goes first: a verdict must not wait behind questions.
        let command = async { commands.recv().await.map_or(Next::Closed, Next::EngineCommand) };
        let handle_responses =
            async { response_ready.recv().await.map_or(Next::Closed, |()| Next::ResponsesReady) };
        let handle_proxy_message =
            async { external.read_messages.recv().await.map_or(Next::Closed, Next::RouterEvent) };
        let next_ticket = command.or(handle_responses).or(timer).or(handle_proxy_message).await;
        let now = bridge.started_at.elapsed();
        let actions = match next_ticket {
            Next::Closed => return,
            Next::Due => bridge.consult.turn(now),
            Next::ResponsesReady => bridge.handle_responses(now),
            Next::EngineCommand(command) => bridge.handle_command(command),
            Next::RouterEvent(handle_proxy_message) => bridge.handle_proxy_message(now, handle_proxy_message),
        };
        bridge.execute(actions).await;
    }
}

impl ProcessorBridge {
    fn handle_responses(&mut self, now: Duration) -> Vec<Do> {
        let received: Vec<(RequestId, Response)> = self.inbox.received.borrow_mut().drain(..).collect();
        let mut actions = Vec::new();
        for (request, response) in received {
            self.tickets.remove(&request);
            actions.extend(match response {
                Response::Returned(_) => Vec::new(), // The proxy has passed it on already.
                Response::Rejected(wait) => self.consult.answer(now, &request, true, wait),
                Response::Failed => self.consult.answer(now, &request, false, None),
            });
        }
        actions
    }

    fn handle_command(&mut self, command: EngineCommand) -> Vec<Do> {
        match command {
            EngineCommand::Send { token, engine, request, conditions: terms, .. } => {
                let timeout = terms.until.saturating_duration_since(Instant::now());
                self.consult.attempt(&request, token, engine, timeout)
            }
            EngineCommand::Endpoints(kind, endpoints) => {
                self.handle_endpoints(kind, endpoints);
                Vec::new()
            }
            // Nothing is probed, and what is out can't be called back.
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

    fn handle_proxy_message(&mut self, now: Duration, handle_proxy_message: FromProxy) -> Vec<Do> {
        match handle_proxy_message {
            FromProxy::Asked { asked, line: stream_sender, received } => {
                self.streams.insert(asked.stream, (stream_sender, received.elapsed()));
                self.consult.asked(now, asked)
            }
            FromProxy::Answered { stream, outcome } => self.consult.answered(stream, outcome),
            FromProxy::Ended { stream, whole } => {
                self.streams.remove(&stream);
                self.consult.ended(now, stream, whole)
            }
            FromProxy::Measured(trip) => {
                self.consult.measured(trip);
                Vec::new()
            }
        }
    }

    async fn execute(&mut self, actions: Vec<Do>) {
        for action in actions {
            match action {
                Do::Take(asked) => self.accept_request(asked).await,
                Do::Leave(request) => {
                    if let Some(ticket) = self.tickets.remove(&request) {
                        self.inbox.requests.borrow_mut().remove(&ticket);
                        let event = RouterEvent::ClientGone { sink: self.inbox.clone(), ticket, request };
                        let _ = self.shared.events.send(event).await;
                    }
                }
                Do::End { token, outcome } => {
                    let _ = self.shared.events.send(RouterEvent::attempt_ended(token, outcome)).await;
                }
                Do::Tell { stream, verdict } => self.send_verdict(stream, verdict),
            }
        }
    }

    async fn accept_request(&mut self, asked: Asked) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        // Seldom, a request of this id is still on its way out of the owner's tables: the new one has its ticket.
        self.tickets.insert(asked.batch.clone(), ticket);
        self.inbox.requests.borrow_mut().insert(ticket, asked.batch.clone());
        let incoming = IncomingRequest {
            sink: self.inbox.clone(),
            ticket,
            request: asked.batch,
            request_class: asked.service_group,
            table_group: asked.table_group,
            client_timeout: asked.patience,
            client_retry: asked.repeat,
            statement: Rc::from([]),
        };
        let _ = self.shared.events.send(RouterEvent::Request(incoming)).await;
    }

    fn send_verdict(&mut self, stream: StreamId, verdict: Verdict) {
        let Some((stream_sender, waited)) = self.streams.get(&stream) else { return };
        let address = match &verdict {
            Verdict::Go { engine, .. } => self.addresses.get(engine).copied(),
            _ => None,
        };
        // A line holds more than one call is ever told; one whose proxy has gone is closed.
        let _ = stream_sender.try_send(Told { verdict, address, waited: *waited, at: Instant::now() });
    }
}
