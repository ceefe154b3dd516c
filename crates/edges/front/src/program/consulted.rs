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
    pub messages: Receiver<FromProxy>,
    /// A start after a crash: what proxies still have out is not known.
    pub recovers: bool,
    /// The owner decides this often at most, in the place of what the deployment states: a verdict waits for it.
    pub tick: Duration,
}

/// Takes the owner's answers, which come in the middle of its turn, for later.
struct Answers {
    requests: RefCell<BTreeMap<u64, RequestId>>,
    given: RefCell<VecDeque<(RequestId, Response)>>,
    wake: Sender<()>,
}

impl ResponseSink for Answers {
    fn respond(&self, ticket: u64, answer: Response) {
        if let Some(request) = self.requests.borrow_mut().remove(&ticket) {
            self.given.borrow_mut().push_back((request, answer));
            let _ = self.wake.try_send(());
        }
    }
}

enum Next {
    EngineCommand(EngineCommand),
    RouterEvent(FromProxy),
    Answered,
    Due,
    Over,
}

struct Bridge {
    shared: Rc<Shared>,
    consult: Consult,
    answers: Rc<Answers>,
    tickets: BTreeMap<RequestId, u64>,
    next: u64,
    lines: BTreeMap<StreamId, (Sender<Told>, Duration)>,
    addresses: BTreeMap<EngineId, SocketAddr>,
    began: Instant,
}

/// Serves for as long as the front runs.
pub async fn run(shared: Rc<Shared>, orders: Receiver<EngineCommand>, external: ExternalProcessing) {
    let (wake, woken) = async_channel::bounded(1);
    let answers = Rc::new(Answers { requests: RefCell::default(), given: RefCell::default(), wake });
    let mut bridge = Bridge {
        shared,
        consult: Consult::new(external.config),
        answers,
        tickets: BTreeMap::new(),
        next: 0,
        lines: BTreeMap::new(),
        addresses: BTreeMap::new(),
        began: Instant::now(),
    };
    loop {
        let due = async {
            match bridge.consult.due_at() {
                Some(at) => Timer::at(bridge.began + at).await,
                None => std::future::pending().await,
            };
            Next::Due
        };
        // What the owner says goes first: a verdict must not wait behind questions.
        let order = async { orders.recv().await.map_or(Next::Over, Next::EngineCommand) };
        let answered = async { woken.recv().await.map_or(Next::Over, |()| Next::Answered) };
        let heard = async { external.messages.recv().await.map_or(Next::Over, Next::RouterEvent) };
        let next = order.or(answered).or(due).or(heard).await;
        let now = bridge.began.elapsed();
        let done = match next {
            Next::Over => return,
            Next::Due => bridge.consult.turn(now),
            Next::Answered => bridge.answered(now),
            Next::EngineCommand(order) => bridge.ordered(order),
            Next::RouterEvent(heard) => bridge.heard(now, heard),
        };
        bridge.carry_out(done).await;
    }
}

impl Bridge {
    fn answered(&mut self, now: Duration) -> Vec<Do> {
        let given: Vec<(RequestId, Response)> = self.answers.given.borrow_mut().drain(..).collect();
        let mut done = Vec::new();
        for (request, answer) in given {
            self.tickets.remove(&request);
            done.extend(match answer {
                Response::Returned(_) => Vec::new(), // The proxy has passed it on already.
                Response::Rejected(wait) => self.consult.answer(now, &request, true, wait),
                Response::Failed => self.consult.answer(now, &request, false, None),
            });
        }
        done
    }

    fn ordered(&mut self, order: EngineCommand) -> Vec<Do> {
        match order {
            EngineCommand::Send { token, engine, request, conditions: terms, .. } => {
                let patience = terms.until.saturating_duration_since(Instant::now());
                self.consult.attempt(&request, token, engine, patience)
            }
            EngineCommand::Endpoints(kind, listed) => {
                self.list(kind, listed);
                Vec::new()
            }
            // Nothing is probed, and what is out can't be called back.
            EngineCommand::Probe { .. }
            | EngineCommand::SetPriority { .. }
            | EngineCommand::Cancel(_)
            | EngineCommand::Withdraw(_) => Vec::new(),
        }
    }

    fn list(&mut self, kind: EndpointUpdateKind, listed: Vec<Endpoint>) {
        if kind != EndpointUpdateKind::Delta {
            self.addresses.clear();
        }
        for one in listed {
            match one.state {
                EngineState::Removed => self.addresses.remove(&one.engine),
                _ => self.addresses.insert(one.engine, one.address),
            };
        }
    }

    fn heard(&mut self, now: Duration, heard: FromProxy) -> Vec<Do> {
        match heard {
            FromProxy::Asked { asked, line, received } => {
                self.lines.insert(asked.stream, (line, received.elapsed()));
                self.consult.asked(now, asked)
            }
            FromProxy::Answered { stream, outcome } => self.consult.answered(stream, outcome),
            FromProxy::Ended { stream, whole } => {
                self.lines.remove(&stream);
                self.consult.ended(now, stream, whole)
            }
            FromProxy::Measured(trip) => {
                self.consult.measured(trip);
                Vec::new()
            }
        }
    }

    async fn carry_out(&mut self, done: Vec<Do>) {
        for act in done {
            match act {
                Do::Take(asked) => self.take(asked).await,
                Do::Leave(request) => {
                    if let Some(ticket) = self.tickets.remove(&request) {
                        self.answers.requests.borrow_mut().remove(&ticket);
                        let left = RouterEvent::ClientGone { sink: self.answers.clone(), ticket, request };
                        let _ = self.shared.queue.send(left).await;
                    }
                }
                Do::End { token, outcome } => {
                    let _ = self.shared.queue.send(RouterEvent::attempt_ended(token, outcome)).await;
                }
                Do::Tell { stream, verdict } => self.tell(stream, verdict),
            }
        }
    }

    async fn take(&mut self, asked: Asked) {
        self.next += 1;
        let ticket = self.next;
        // Seldom, a request of this id is still on its way out of the owner's tables: the new one has its ticket.
        self.tickets.insert(asked.batch.clone(), ticket);
        self.answers.requests.borrow_mut().insert(ticket, asked.batch.clone());
        let taken = IncomingRequest {
            sink: self.answers.clone(),
            ticket,
            request: asked.batch,
            request_class: asked.service_group,
            table_group: asked.table_group,
            client_timeout: asked.patience,
            client_retry: asked.repeat,
            statement: Rc::from([]),
        };
        let _ = self.shared.queue.send(RouterEvent::Request(taken)).await;
    }

    fn tell(&mut self, stream: StreamId, verdict: Verdict) {
        let Some((line, waited)) = self.lines.get(&stream) else { return };
        let address = match &verdict {
            Verdict::Go { engine, .. } => self.addresses.get(engine).copied(),
            _ => None,
        };
        // A line holds more than one call is ever told; one whose proxy has gone is closed.
        let _ = line.try_send(Told { verdict, address, waited: *waited, at: Instant::now() });
    }
}
