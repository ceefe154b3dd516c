//! The request router: its state, and how it is put together. Each module below handles one concern.

mod actions;
mod admission;
mod attempts;
mod commands;
mod endpoints;
mod event_loop;
mod management;
mod recovery;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::management::EngineNotification;
use crate::messages::{EngineCommand, ResponseSink, RouterEvent, Token};
use crate::zone_monitor::{ZoneMonitor, ZoneObservation};
use async_channel::Sender;
use async_io::Timer;
use lemonusher::{Deployment, EngineId, Event, Gateway, RequestId};
use lemonusher_membership::{AdmissionLimiter, DesiredState, EndpointTable};
use lemonusher_zone_failover::FailoverConfig;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// What the router may hold, and how long a probe may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests open at once; further ones are rejected unseen.
    pub max_requests: usize,
    /// Bytes of the open requests' statements.
    pub max_statement_bytes: usize,
    /// A probe without an answer in this time has failed.
    pub probe_timeout: Duration,
}

/// A request that is owed a response.
struct OpenRequest {
    sink: Rc<dyn ResponseSink>,
    ticket: u64,
    request_class: usize,
    statement: Rc<[u8]>,
    deadline: Duration,
    priority: u8,
    memory_mb: f64,
    attempts_sent: u32,
    /// Dropped with the request: an attempt that has not been written by then is not written any more.
    open_guard: Rc<()>,
}

/// An attempt that has been handed to the engines' side and has not ended.
struct InFlightAttempt {
    request: RequestId,
    request_class: usize,
    /// Its number among the request's attempts, from 0.
    number: u32,
    engine: EngineId,
    sent_at: Duration,
    deadline: Duration,
    priority: u8,
}

/// A probe that has been handed to the engines' side and has not ended.
struct InFlightProbe {
    engine: EngineId,
    sent_at: Duration,
}

/// When something is due for an attempt or probe; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TokenTimer {
    at: Duration,
    token: Token,
}

/// A desired state that was checked and waits to be activated.
struct PreparedState {
    number: u64,
    desired_state: Arc<DesiredState>,
}

/// Owns the gateway, the clock and the tables of requests and attempts.
pub struct RequestRouter {
    deployment: Deployment,
    gateway: Gateway,
    clock: Clock,
    limits: Limits,
    commands: Sender<EngineCommand>,
    counters: Rc<Counters>,
    /// How many requests are owed a response, shared with the shutdown, which waits for them.
    open_count: Rc<Cell<usize>>,
    requests: BTreeMap<RequestId, OpenRequest>,
    statement_bytes: usize,
    attempts: BTreeMap<Token, InFlightAttempt>,
    probes: BTreeMap<Token, InFlightProbe>,
    /// When attempts and probes time out.
    timeouts: BTreeSet<TokenTimer>,
    /// When attempts may start at the latest, where that is bounded.
    start_deadlines: BTreeSet<TokenTimer>,
    /// When the gateway wants to be asked again.
    wakeups: BTreeSet<Duration>,
    next_token: Token,
    endpoints: EndpointTable,
    admission_limiter: AdmissionLimiter,
    addresses: BTreeMap<EngineId, SocketAddr>,
    prepared: Option<PreparedState>,
    notifications: Option<Sender<EngineNotification>>,
    zone_monitor: Option<ZoneMonitor>,
    /// Notifications for which there was no room.
    dropped_notifications: u64,
    /// Events that executing actions has caused; handled in the next turn.
    pending_events: VecDeque<RouterEvent>,
    /// Commands that the engines' side has no room for yet, in order.
    command_backlog: VecDeque<EngineCommand>,
    last_decision: Duration,
    /// Whether anything has happened since the last decision.
    decision_pending: bool,
    timer: Timer,
    /// What the timer is set to.
    armed_at: Option<Duration>,
}

impl RequestRouter {
    /// A router with no engines yet. `seed` seeds the gateway's random draws.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        clock: Clock,
        limits: Limits,
        commands: Sender<EngineCommand>,
        counters: Rc<Counters>,
    ) -> Self {
        let max_retry_after = if deployment.capabilities.retry_after {
            deployment.capabilities.max_retry_after
        } else {
            Duration::ZERO
        };
        let admission_limiter = AdmissionLimiter::new(deployment.request_classes.len(), max_retry_after);
        let mut gateway = Gateway::new(deployment.clone(), seed);
        // What an engine was sent by a process before this one is not known here.
        gateway.handle_event(clock.process_start(), Event::TimerFired);
        RequestRouter {
            gateway,
            deployment,
            clock,
            limits,
            commands,
            counters,
            open_count: Rc::default(),
            requests: BTreeMap::new(),
            statement_bytes: 0,
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            start_deadlines: BTreeSet::new(),
            wakeups: BTreeSet::new(),
            next_token: 0,
            endpoints: EndpointTable::default(),
            admission_limiter,
            addresses: BTreeMap::new(),
            prepared: None,
            notifications: None,
            zone_monitor: None,
            dropped_notifications: 0,
            pending_events: VecDeque::new(),
            command_backlog: VecDeque::new(),
            last_decision: Duration::ZERO,
            decision_pending: false,
            timer: Timer::never(),
            armed_at: None,
        }
    }

    /// Puts the desired state of the front's last run into effect, before any event; engines' changes are notified.
    pub fn with_desired_state(
        mut self,
        desired_state: Arc<DesiredState>,
        notifications: Sender<EngineNotification>,
    ) -> Self {
        self.admission_limiter.set(desired_state.limits());
        self.endpoints = EndpointTable::new(desired_state);
        self.notifications = Some(notifications);
        self
    }

    /// Reports what this front observes of the zones, and follows the failover plan.
    pub fn with_zone_monitor(
        mut self,
        config: FailoverConfig,
        observations: Sender<ZoneObservation>,
    ) -> Self {
        let now = self.clock.now();
        self.zone_monitor = Some(ZoneMonitor::new(now, &self.deployment, config, observations));
        self.wakeups.insert(now);
        self
    }

    /// How many requests are owed a response, as of the last turn.
    pub fn open_requests(&self) -> Rc<Cell<usize>> {
        self.open_count.clone()
    }
}
