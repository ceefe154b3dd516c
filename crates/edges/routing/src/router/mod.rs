//! The request router's state and constructors. Each submodule handles one concern.

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
use crate::messages::{EngineCommand, Requester, RouterEvent, Token};
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
use std::time::{Duration, Instant};

/// The router's limits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open requests; further requests are rejected without a decision of the gateway.
    pub max_requests: usize,
    /// Maximum total size of the open requests' statements, in bytes; a request beyond it is rejected likewise.
    pub max_statement_bytes: usize,
    /// A probe without a reply after this time has failed.
    pub probe_timeout: Duration,
}

/// A request that was admitted and has no final response yet.
struct OpenRequest {
    /// The write conditions of the request's attempts hold weak references to this value. It is dropped with
    /// the request, after which attempts that are not written yet are never written.
    requester: Rc<Requester>,
    request_class: usize,
    statement: Rc<[u8]>,
    deadline: Duration,
    priority: u8,
    memory_mb: f64,
    attempts_sent: u32,
}

/// An attempt that was passed to the engine driver, or waits in the command backlog, and has not ended.
struct InFlightAttempt {
    request: RequestId,
    request_class: usize,
    /// Index among the request's attempts, from 0.
    number: u32,
    engine: EngineId,
    sent_at: Duration,
    deadline: Duration,
    priority: u8,
}

/// A probe that was passed to the engine driver, or waits in the command backlog, and has not ended.
struct InFlightProbe {
    engine: EngineId,
    sent_at: Duration,
}

/// A timer of an attempt or probe. Ordered by time, then by token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TokenTimer {
    at: Duration,
    token: Token,
}

/// A desired state that was validated and is not activated yet.
struct PreparedState {
    number: u64,
    desired_state: Arc<DesiredState>,
}

/// The request router. Owns the gateway, the clock and the tables of requests and attempts.
pub struct RequestRouter {
    deployment: Deployment,
    gateway: Gateway,
    clock: Clock,
    limits: Limits,
    commands: Sender<EngineCommand>,
    counters: Rc<Counters>,
    /// Number of open requests, updated after each iteration. Shared with the shutdown, which waits for zero.
    open_count: Rc<Cell<usize>>,
    requests: BTreeMap<RequestId, OpenRequest>,
    statement_bytes: usize,
    attempts: BTreeMap<Token, InFlightAttempt>,
    probes: BTreeMap<Token, InFlightProbe>,
    /// Timeouts of attempts and probes.
    timeouts: BTreeSet<TokenTimer>,
    /// Latest start times of the attempts that have one.
    start_deadlines: BTreeSet<TokenTimer>,
    /// Times at which the event loop has to run: the gateway's timers, retries of the command backlog and
    /// reports of the zone monitor.
    wakeups: BTreeSet<Duration>,
    next_token: Token,
    endpoints: EndpointTable,
    admission_limiter: AdmissionLimiter,
    addresses: BTreeMap<EngineId, SocketAddr>,
    prepared: Option<PreparedState>,
    notifications: Option<Sender<EngineNotification>>,
    zone_monitor: Option<ZoneMonitor>,
    /// Number of notifications dropped because their queue was full.
    dropped_notifications: u64,
    /// Ends of attempts that were not sent because the backlog was full; handled in the next iteration.
    pending_events: VecDeque<RouterEvent>,
    /// Commands that did not fit into the engine driver's queue yet, in order.
    command_backlog: VecDeque<EngineCommand>,
    last_decision: Duration,
    /// When this front's share of the quota for engines in slow start expires; none if it does not.
    quota_valid_until: Option<Instant>,
    /// Whether an event was handled or a timer fired since the last decision.
    decision_pending: bool,
    timer: Timer,
    /// Time that `timer` is set to; none if it is not set or has fired.
    armed_at: Option<Duration>,
}

impl RequestRouter {
    /// Creates a router without engines. `seed` seeds the gateway's random number generator.
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
        // Sets the gateway's start time. The gateway needs it because attempts that a previous process sent
        // to the engines are unknown.
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
            quota_valid_until: None,
            last_decision: Duration::ZERO,
            decision_pending: false,
            timer: Timer::never(),
            armed_at: None,
        }
    }

    /// Applies the desired state stored by the front's previous run, before any event. Changes of engines are
    /// sent to `notifications`.
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

    /// Enables zone failover: the router reports its observations of the zones and applies the failover plan.
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

    /// Returns the shared number of open requests, which is updated after each iteration.
    pub fn open_requests(&self) -> Rc<Cell<usize>> {
        self.open_count.clone()
    }
}
