//! Connections to engines. One task takes the owner's orders; each connection has a session that reads the
//! answers. A pool belongs to an engine's id: a new engine may have the address of one that has gone.

mod link;

use super::shared::Shared;
use crate::protocol::engine::{self, LONGEST_ANSWER, Malformed, Terms};
use crate::transport::{self, Bounds, Broken, Wire};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{AttemptOutcome, EndpointUpdateKind, EngineId, EngineState};
use lemonusher_routing::{Counter, Endpoint, EngineCommand, RouterEvent, Token};
use link::{HowFar, Link, OutKind};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MOST_WAITING: usize = 1024; // Orders that wait for a connection to one engine.
const IDLE_SHARE: u32 = 2; // An idle connection is closed after this part of the time the engine gives it.
const SPARE_SHARE: usize = 4; // A further connection is opened once less than this part of streams is free.
const QUIET_PERIODS: u32 = 3; // Note periods without a byte after which a connection takes nothing new.
const LOOK: Duration = Duration::from_millis(20); // After so long it is looked again whether there is a descriptor.

enum Placed {
    On(Rc<Link>),
    Waits,
    Nowhere,
    /// Its engine takes nothing new.
    Drains,
}

struct Pool {
    address: SocketAddr,
    state: EngineState,
    started: Option<Duration>,
    links: Vec<Rc<Link>>,
    connecting: usize,
    /// Connections that have ended and wait for the engine's end.
    ending: usize,
    /// Whether it is looked again soon for a descriptor for one.
    looks: bool,
    /// What waits for a connection, and since when.
    waiting: Vec<(Instant, EngineCommand)>,
}

/// Where a token is out, and under what id.
type Place = (Rc<Link>, Arc<str>);

struct Engines {
    shared: Rc<Shared>,
    pools: RefCell<BTreeMap<EngineId, Pool>>,
    places: RefCell<BTreeMap<Token, Place>>,
    /// Whether there are more engines than descriptors for connections to them, as the log was told last.
    short: Cell<bool>,
}

/// Carries out the owner's orders for as long as the front runs.
pub async fn run(shared: Rc<Shared>, orders: Receiver<EngineCommand>) {
    let (pools, places) = (RefCell::default(), RefCell::default());
    let engines = Rc::new(Engines { shared, pools, places, short: Cell::new(false) });
    engines.shared.executor.spawn(tend(engines.clone())).detach();
    while let Ok(order) = orders.recv().await {
        if AssertUnwindSafe(engines.take(order)).catch_unwind().await.is_err() {
            engines.shared.counters.add(Counter::Panics, None);
            log::error!("an order for the engines panicked");
        }
    }
}

/// Closes connections that have been idle, well before their engine does, and retires quiet ones.
async fn tend(engines: Rc<Engines>) {
    let ceilings = &engines.shared.settled.capabilities;
    let idle = Duration::from_micros(ceilings.idle_timeout_us) / IDLE_SHARE;
    let period = Duration::from_micros(engines.shared.settled.engines.progress_interval_us);
    let quiet = period * QUIET_PERIODS + engines.shared.connect_timeout;
    loop {
        Timer::after(engines.shared.connect_timeout).await;
        let links: Vec<Rc<Link>> = engines.pools.borrow().values().flat_map(|p| p.links.clone()).collect();
        for link in links {
            for token in link.unconfirmed(engines.shared.connect_timeout) {
                engines.places.borrow_mut().remove(&token);
                let _ = engines
                    .shared
                    .queue
                    .send(RouterEvent::attempt_ended(token, AttemptOutcome::Cancelled))
                    .await;
            }
            let silent = !period.is_zero() && link.silent(quiet);
            if silent || link.unused(idle) {
                link.retire();
            }
        }
        let patience = engines.shared.connect_timeout;
        let late: Vec<EngineCommand> = (engines.pools.borrow_mut().values_mut())
            .flat_map(|pool| {
                pool.waiting.extract_if(.., |(at, _)| at.elapsed() > patience).collect::<Vec<_>>()
            })
            .map(|(_, order)| order)
            .collect();
        for order in late {
            engines.fail(order, HowFar::NotConnected).await;
        }
    }
}

impl Engines {
    async fn take(self: &Rc<Self>, order: EngineCommand) {
        match order {
            EngineCommand::Endpoints(kind, listed) => self.list(kind, listed).await,
            EngineCommand::Cancel(token) => self.cancel(token).await,
            EngineCommand::Withdraw(token) => drop(self.withdraw(token).await),
            EngineCommand::SetPriority { token, priority } => {
                let place = self.places.borrow().get(&token).cloned();
                if let Some((link, id)) = place {
                    let _ = link.outbox.push(engine::weigh(&id, priority).as_bytes());
                }
            }
            EngineCommand::Send { engine, .. } | EngineCommand::Probe { engine, .. } => {
                self.send(engine, order).await
            }
        }
    }

    /// Pools follow the list: one is made for each new engine, and one that has gone opens nothing further. What waits
    /// for a connection to one that drains or has gone is not sent: it would begin after that was known.
    async fn list(self: &Rc<Self>, kind: EndpointUpdateKind, listed: Vec<Endpoint>) {
        let (mut opened, mut unsent) = (Vec::new(), Vec::new());
        {
            let mut pools = self.pools.borrow_mut();
            if kind != EndpointUpdateKind::Delta {
                pools.values_mut().for_each(|pool| pool.state = EngineState::Removed);
            }
            for one in listed {
                let pool = pools.entry(one.engine).or_insert_with(|| Pool::new(&one));
                if pool.address != one.address || pool.started != one.started_at {
                    pool.links.iter().for_each(|link| link.retire());
                }
                (pool.address, pool.state, pool.started) = (one.address, one.state, one.started_at);
                // Where connections cost, hundreds of fronts that all open one to each engine at once are what engines
                // that hold few can't bear: each is opened when it is first wanted.
                let free = self.shared.settled.costs.handshake == 0.0;
                if free && one.state == EngineState::Active && pool.links.iter().all(|l| l.retired.get()) {
                    opened.push(one.engine);
                }
            }
            pools.values().filter(|p| p.state == EngineState::Removed).for_each(|pool| {
                pool.links.iter().for_each(|link| link.retire());
            });
            pools.values_mut().filter(|p| p.state != EngineState::Active).for_each(|pool| {
                unsent.extend(std::mem::take(&mut pool.waiting).into_iter().map(|(_, order)| order));
            });
            pools.retain(|_, p| p.state != EngineState::Removed || p.holds() > 0);
        }
        for order in unsent {
            self.end_of(&order, AttemptOutcome::NotSent).await;
        }
        // Where there are more engines than descriptors, those opened ahead would only be in the way of wanted ones.
        if self.is_short() {
            return;
        }
        for engine in opened {
            self.open(engine, false);
        }
    }

    /// Whether not every engine that may be used can have a connection; the log is told when that changes.
    fn is_short(&self) -> bool {
        let active = self.pools.borrow().values().filter(|pool| pool.state == EngineState::Active).count();
        let room = self.shared.descriptors.engines;
        let short = active > room;
        if self.short.replace(short) != short {
            if short {
                log::warn!(
                    "{active} engines, and descriptors for {room} connections to them: none is opened ahead, the one \
                     idle longest ends for each that is wanted"
                );
            } else {
                log::info!(
                    "{active} engines, and descriptors for {room} connections to them: each can have one"
                );
            }
        }
        short
    }

    /// Whether all descriptors for connections to engines are taken.
    fn is_full(&self) -> bool {
        let held: usize = self.pools.borrow().values().map(Pool::holds).sum();
        held >= self.shared.descriptors.engines
    }

    async fn send(self: &Rc<Self>, engine: EngineId, order: EngineCommand) {
        let (link, opens) = self.place(engine, &order);
        if opens {
            self.open(engine, true);
        }
        match link {
            Placed::On(link) => self.hand_over(&link, order).await,
            Placed::Waits => {}
            Placed::Nowhere => self.fail(order, HowFar::NotConnected).await,
            Placed::Drains => self.end_of(&order, AttemptOutcome::NotSent).await,
        }
    }

    /// Finds a connection for an order or lets it wait for one, and tells whether a further one is wanted.
    fn place(&self, engine: EngineId, order: &EngineCommand) -> (Placed, bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&engine).filter(|p| p.state != EngineState::Removed) else {
            return (Placed::Nowhere, false);
        };
        if pool.state != EngineState::Active {
            return (Placed::Drains, false);
        }
        let streams = self.shared.settled.capabilities.max_streams_per_connection.max(1);
        let placed = match pool.free(order, streams) {
            Some(link) => Placed::On(link),
            None if pool.waiting.len() < MOST_WAITING => {
                pool.waiting.push((Instant::now(), order.clone()));
                Placed::Waits
            }
            None => Placed::Nowhere,
        };
        // What waits may be barred from a connection that has streams left, as it went over it before.
        let coming = pool.connecting * streams;
        let free: usize = pool.links.iter().map(|l| l.free(streams)).sum();
        let opens = (coming < pool.waiting.len() || free + coming < streams / SPARE_SHARE)
            && pool.links.len() + pool.connecting < self.shared.descriptors.per_engine;
        (placed, opens)
    }

    /// What waits for a connection to an engine is tried again.
    async fn send_waiting(self: &Rc<Self>, engine: EngineId) {
        let streams = self.shared.settled.capabilities.max_streams_per_connection.max(1);
        loop {
            let next = {
                let mut pools = self.pools.borrow_mut();
                let Some(pool) = pools.get_mut(&engine) else { return };
                let free = |(_, order): &(Instant, EngineCommand)| pool.free(order, streams).is_some();
                let Some(place) = pool.waiting.iter().position(free) else { return };
                let (_, order) = pool.waiting.remove(place);
                pool.free(&order, streams).map(|link| (link, order))
            };
            if let Some((link, order)) = next {
                self.hand_over(&link, order).await;
            }
        }
    }

    /// Puts an order on a connection that takes it at once, so that this is the moment in which it begins: all that
    /// it rests on is looked at again, as much may have happened while it waited.
    async fn hand_over(self: &Rc<Self>, link: &Rc<Link>, order: EngineCommand) {
        let now = Instant::now();
        let (token, id, message, kind) = match &order {
            EngineCommand::Send { conditions: terms, .. } if !terms.hold(now) => {
                return self.end_of(&order, AttemptOutcome::NotSent).await;
            }
            EngineCommand::Send {
                token,
                request,
                service_group,
                statement,
                conditions: terms,
                priority,
                memory_mb,
                ..
            } => {
                let class = self.shared.settled.request_classes.get(*service_group);
                let left = terms.until.saturating_duration_since(now);
                let terms = Terms {
                    queue: class.map_or("", |class| &class.name),
                    budget_ms: (left.as_millis() as u64).max(1),
                    weight: *priority,
                    workmem: memory_mb.max(0.0) as u64,
                };
                (*token, request.clone(), engine::serve(request, &terms, statement), OutKind::Request(None))
            }
            EngineCommand::Probe { token, .. } => {
                let id: Arc<str> = format!("p{token}").into();
                let report = !self.shared.settled.load_report.fields.is_empty();
                (*token, id.clone(), engine::probe(&id, report).into_bytes(), OutKind::Probe)
            }
            _ => return,
        };
        if !link.put(token, id.clone(), &message, kind) {
            return self.fail(order, HowFar::NotWhollySent).await;
        }
        self.places.borrow_mut().insert(token, (link.clone(), id));
    }

    async fn cancel(&self, token: Token) {
        if self.withdraw(token).await {
            return;
        }
        let Some((link, id)) = self.places.borrow().get(&token).cloned() else { return };
        if let Some(outcome) = link.give_up(&id) {
            self.places.borrow_mut().remove(&token);
            let _ = self.shared.queue.send(RouterEvent::attempt_ended(token, outcome)).await;
        }
        link.settle();
    }

    /// An order that still waits for a connection is over, as nothing was sent; false if it does not wait.
    async fn withdraw(&self, token: Token) -> bool {
        let waited = self.pools.borrow_mut().values_mut().find_map(|pool| {
            let place = pool.waiting.iter().position(|(_, order)| order.token() == Some(token))?;
            Some(pool.waiting.remove(place).1)
        });
        if let Some(order) = &waited {
            self.end_of(order, AttemptOutcome::NotSent).await;
        }
        waited.is_some()
    }

    /// An order that never got on a connection, or not wholly.
    async fn fail(&self, order: EngineCommand, how_far: HowFar) {
        self.end_of(&order, how_far.outcome()).await;
    }

    async fn end_of(&self, order: &EngineCommand, outcome: AttemptOutcome) {
        let heard = match order {
            EngineCommand::Send { token, .. } => RouterEvent::attempt_ended(*token, outcome),
            EngineCommand::Probe { token, .. } => {
                RouterEvent::ProbeEnded { token: *token, answered: false, load: None }
            }
            _ => return,
        };
        let _ = self.shared.queue.send(heard).await;
    }

    /// Opens a further connection to an engine, in a task of its own, if there is a descriptor for it. Where there is
    /// none and it is wanted, the connection that has been idle longest makes room, and soon it is looked again.
    fn open(self: &Rc<Self>, engine: EngineId, wanted: bool) {
        let address = {
            let mut pools = self.pools.borrow_mut();
            let held: usize = pools.values().map(Pool::holds).sum();
            let full = held >= self.shared.descriptors.engines;
            // One that ends already makes room by itself.
            if full && wanted && pools.values().all(|pool| pool.ending == 0) {
                let links = pools.values().flat_map(|pool| &pool.links);
                let idle = links.filter(|link| !link.retired.get()).filter_map(|l| Some((l.idle()?, l)));
                if let Some((_, idlest)) = idle.max_by_key(|(span, _)| *span) {
                    idlest.retire();
                }
            }
            let Some(pool) = pools.get_mut(&engine) else { return };
            if full {
                if wanted && !std::mem::replace(&mut pool.looks, true) {
                    self.shared.executor.spawn(self.clone().look_again(engine)).detach();
                }
                return;
            }
            pool.connecting += 1;
            pool.address
        };
        let engines = self.clone();
        let session = async move {
            let connected = transport::connect(address, engines.shared.connect_timeout).await;
            if let Some(pool) = engines.pools.borrow_mut().get_mut(&engine) {
                pool.connecting -= 1;
            }
            match connected {
                Ok(wire) => engines.serve(engine, address, wire).await,
                Err(error) => {
                    log::debug!("engine {engine:08x}: no connection: {error}");
                    engines.unconnected(engine).await;
                }
            }
        };
        self.shared.executor.spawn(session).detach();
    }

    async fn look_again(self: Rc<Self>, engine: EngineId) {
        Timer::after(LOOK).await;
        let wanted = self.pools.borrow_mut().get_mut(&engine).is_some_and(|pool| {
            pool.looks = false;
            !pool.waiting.is_empty() && pool.connecting == 0 && pool.links.iter().all(|l| l.retired.get())
        });
        if wanted {
            self.open(engine, true);
        }
    }

    /// No connection came up: what waits for one, with none left to wait for, is over.
    async fn unconnected(&self, engine: EngineId) {
        let waiting = match self.pools.borrow_mut().get_mut(&engine) {
            Some(pool) if pool.connecting == 0 && pool.links.iter().all(|l| l.retired.get()) => {
                std::mem::take(&mut pool.waiting)
            }
            _ => Vec::new(),
        };
        for (_, order) in waiting {
            self.fail(order, HowFar::NotConnected).await;
        }
    }

    /// One connection, from when it is up to its end.
    async fn serve(self: &Rc<Self>, engine: EngineId, address: SocketAddr, wire: Wire) {
        self.shared.counters.add(Counter::EngineConnections, None);
        let link = Rc::new(Link::new(self.shared.clone(), engine, wire));
        match self.pools.borrow_mut().get_mut(&engine) {
            Some(pool) if pool.state != EngineState::Removed && pool.address == address => {
                pool.links.push(link.clone());
            }
            // It came up for one that is there no longer; what waits is for the one that is.
            _ => {
                self.shared.executor.spawn(self.clone().look_again(engine)).detach();
                return;
            }
        }
        self.send_waiting(engine).await;
        let end = AssertUnwindSafe(self.converse(&link)).catch_unwind().await;
        let over = link.end();
        // What has nothing out is ended in order; all else is broken, or given up by its end.
        let in_order = matches!(end, Ok(None)) && over.is_empty();
        match end {
            Ok(Some(error)) => log::debug!("engine {engine:08x}: a connection ends: {error}"),
            Ok(None) => {}
            Err(_) => {
                self.shared.counters.add(Counter::Panics, None);
                log::error!("engine {engine:08x}: a connection panicked and ends");
            }
        }
        if let Some(pool) = self.pools.borrow_mut().get_mut(&engine) {
            pool.links.retain(|other| !Rc::ptr_eq(other, &link));
            pool.ending += 1;
        }
        self.unconnected(engine).await;
        for (token, heard) in over {
            self.places.borrow_mut().remove(&token);
            let _ = self.shared.queue.send(heard).await;
        }
        if in_order {
            // An engine that does not end it in turn keeps no descriptor from those that are wanted.
            let patience = if self.is_full() { LOOK } else { self.shared.connect_timeout };
            transport::finish(&link.outbox.wire(), patience).await;
        }
        drop(link);
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&engine) {
            pool.ending -= 1;
            if pool.state == EngineState::Removed && pool.holds() == 0 {
                pools.remove(&engine);
            }
        }
    }

    async fn converse(self: &Rc<Self>, link: &Rc<Link>) -> Option<String> {
        let read = async {
            match self.read(link).await {
                Ok(()) => None,
                Err(error) => Some(error.to_string()),
            }
        };
        let write = async {
            let drained = || {
                // What waits for this connection goes on once all before it has been taken by the system.
                if link.outbox.waiting() == 0 {
                    let (engines, engine) = (self.clone(), link.engine);
                    let send = async move { engines.send_waiting(engine).await };
                    self.shared.executor.spawn(send).detach();
                }
            };
            let end = link.outbox.run(self.shared.connect_timeout * 4, drained).await;
            end.err().map(|e| e.to_string())
        };
        read.or(write).await
    }

    async fn read(self: &Rc<Self>, link: &Rc<Link>) -> Result<(), Broken<Malformed>> {
        // An engine writes an answer in one go: one that stops short keeps all else from this connection.
        let time = self.shared.connect_timeout * 2;
        let bounds = Bounds { bytes: LONGEST_ANSWER, time, room: self.shared.answers.clone() };
        let mut answers = transport::messages(link.outbox.wire(), bounds, engine::cut);
        while let Some(answer) = answers.next().await {
            let answer = answer.inspect_err(|error| {
                if !matches!(error, Broken::Io(_)) {
                    self.shared.counters.add(Counter::SpoiltConnections, None);
                }
            })?;
            if let Some((token, heard)) = link.hear(answer).map_err(Broken::Bad)? {
                if !matches!(heard, RouterEvent::Progress { .. }) {
                    self.places.borrow_mut().remove(&token);
                }
                let _ = self.shared.queue.send(heard).await;
                self.send_waiting(link.engine).await;
            }
            link.settle();
        }
        Ok(())
    }
}

impl Pool {
    fn new(listed: &Endpoint) -> Self {
        Pool {
            address: listed.address,
            state: listed.state,
            started: listed.started_at,
            links: Vec::new(),
            connecting: 0,
            ending: 0,
            looks: false,
            waiting: Vec::new(),
        }
    }

    /// Descriptors that it holds.
    fn holds(&self) -> usize {
        self.links.len() + self.connecting + self.ending
    }

    /// The fullest connection that can take the order, so that others fall idle.
    fn free(&self, order: &EngineCommand, streams: usize) -> Option<Rc<Link>> {
        let fits = |link: &&Rc<Link>| {
            link.free(streams) > 0 && order.request().is_none_or(|id| !link.has_carried(id))
        };
        self.links.iter().filter(fits).min_by_key(|link| link.free(streams)).cloned()
    }
}
