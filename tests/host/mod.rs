//! A test host of one gateway: sends it events in virtual time and returns its actions.

use lemonusher::*;
use std::time::Duration;

pub const SHORT: usize = 0;
pub const REPORT: usize = 1;
pub const LOAD: usize = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn deployment() -> Deployment {
    let short = RequestClassConfig {
        latency_objective: ms(1000),
        objective_work_factor: 1.5,
        deadline: ms(5000),
        priority_weight: 1.0,
        threads: 1.0,
        waits_for_bulk_loads: true,
        ..RequestClassConfig::default()
    };
    let report = RequestClassConfig {
        latency_objective: ms(3000),
        deadline: ms(20_000),
        threads: 4.0,
        priority_weight: 10.0,
        ..short.clone()
    };
    let load = RequestClassConfig {
        latency_objective: ms(4000),
        threads: 2.0,
        bulk_load: true,
        waits_for_bulk_loads: false,
        idempotency: Idempotency::NonIdempotent,
        ..report.clone()
    };
    Deployment {
        fronts: 2,
        request_classes: vec![short, report, load],
        machine_kinds: vec![
            MachineKind { cores: 8.0, memory_mb: 16_000.0 },
            MachineKind { cores: 8.0, memory_mb: 16_000.0 },
        ],
        tick: ms(5),
        capabilities: Capabilities {
            cancel: true,
            retry_after: true,
            max_retry_after: ms(2000),
            max_attempts: 4,
            connect_timeout: ms(250),
            ..Capabilities::default()
        },
        safety_rules: SafetyRules {
            drain_grace: ms(1000),
            slow_start_share: 0.3,
            slow_start_window: ms(14_000),
            overload_factor: 3.0,
            overload_window: ms(1500),
            unknown_outcome_delay: ms(700),
            discovery_poll_deadline: ms(10_000),
            retry_budget: None,
        },
        progress_interval: ms(1000),
        priorities: true,
        ..Deployment::default()
    }
}

pub fn entry(engine: EngineId) -> EngineEntry {
    EngineEntry { engine, ..EngineEntry::default() }
}

pub struct Host {
    gateway: Gateway,
    pub now: Duration,
    count: u32,
}

impl Host {
    pub fn with(deployment: Deployment, entries: Vec<EngineEntry>) -> Host {
        Host::starting(deployment, 7, ms(60_000), entries)
    }

    /// A front that starts at `now` of its own clock.
    pub fn starting(deployment: Deployment, seed: u64, now: Duration, entries: Vec<EngineEntry>) -> Host {
        let mut host = Host { gateway: Gateway::new(deployment, seed), now, count: 0 };
        host.handle(Event::Endpoints(EndpointUpdateKind::Restored, entries));
        host
    }

    pub fn of(engines: u32) -> Host {
        Host::with(deployment(), (1..=engines).map(entry).collect())
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.gateway.handle_event(self.now, event);
        self.gateway.decide(self.now)
    }

    pub fn advance(&mut self, duration: Duration) -> Vec<Action> {
        self.now += duration;
        self.handle(Event::TimerFired)
    }

    /// Sends an arrival; returns the actions of the decision that follows at once.
    pub fn arrive(&mut self, id: &str, class: usize, table_group: u64) -> Vec<Action> {
        let client_timeout = [5000, 20_000, 20_000][class];
        self.arrive_with(id, class, table_group, |arrival| arrival.client_timeout = ms(client_timeout))
    }

    pub fn arrive_with(
        &mut self,
        id: &str,
        class: usize,
        table_group: u64,
        modify: impl Fn(&mut Arrival),
    ) -> Vec<Action> {
        let mut arrival = Arrival {
            request: id.into(),
            request_class: class,
            table_group,
            key: None,
            client_timeout: ms(4000),
            work: None,
            memory_mb: 0.0,
            client_retry: false,
        };
        modify(&mut arrival);
        self.handle(Event::Arrived(arrival))
    }

    /// Sends `count` arrivals; returns the engine of each request that was sent at once.
    pub fn arrive_many(&mut self, count: u32, class: usize, table_group: u64) -> Vec<EngineId> {
        let mut engines = Vec::new();
        for _ in 0..count {
            self.count += 1;
            let id = format!("flood-{}", self.count);
            engines.extend(sent(&self.arrive(&id, class, table_group)).map(|(_, engine)| engine));
        }
        engines
    }

    pub fn end_attempt(
        &mut self,
        id: &str,
        attempt: u32,
        engine: EngineId,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.end_attempt_with(id, attempt, engine, outcome, |_| {})
    }

    pub fn end_attempt_with(
        &mut self,
        id: &str,
        attempt: u32,
        engine: EngineId,
        outcome: AttemptOutcome,
        modify: impl Fn(&mut AttemptEnd),
    ) -> Vec<Action> {
        let request_finished = outcome == AttemptOutcome::Returned;
        let request: RequestId = id.into();
        let elapsed = ms(100);
        let mut end = AttemptEnd {
            request,
            attempt,
            engine,
            elapsed,
            outcome,
            request_finished,
            usage: None,
            load: None,
        };
        modify(&mut end);
        self.handle(Event::AttemptEnded(end))
    }

    pub fn report_progress(
        &mut self,
        id: &str,
        attempt: u32,
        engine: EngineId,
        progress: AttemptProgress,
    ) -> Vec<Action> {
        self.handle(Event::Progress { request: id.into(), attempt, engine, progress })
    }
}

pub fn sent(actions: &[Action]) -> impl Iterator<Item = (String, EngineId)> + '_ {
    actions.iter().filter_map(|action| match action {
        Action::Send { request, engine, .. } => Some((request.to_string(), *engine)),
        _ => None,
    })
}

/// The engine that the request was sent to.
pub fn engine_of(actions: &[Action], id: &str) -> Option<EngineId> {
    sent(actions).find(|(request, _)| request == id).map(|(_, engine)| engine)
}

pub fn rejected(actions: &[Action], id: &str) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if &**request == id))
}

pub fn failed(actions: &[Action], id: &str) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if &**request == id))
}
