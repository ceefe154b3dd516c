//! State of a simulation. The modules for clients, attempts, engines and failures implement its steps.

use crate::check::{Checker, Observation, Violation};
use crate::host::EngineHost;
use crate::rng::SeededRng;
use crate::tally::{IntervalCounts, Statistics};
use crate::world::{ReplacementManner, SimulatedDeployment};
use lemonusher::{EndpointUpdateKind, EngineEntry, EngineState, Event, Gateway, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub(crate) const TICK: Duration = Duration::from_millis(5);

/// Start of the simulated clock. It is above zero because an engine's start time of zero means that the engine was
/// warm before the run.
pub(crate) const BEGIN: Duration = Duration::from_secs(60);

/// A fault injected into the simulated fronts. Each one except `None` breaks one rule, which the checker must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Breaks rule 1: some responses are sent twice.
    RespondsTwice,
    /// Breaks rule 2: non-idempotent requests are sent again after a reset.
    RetriesNonIdempotent,
    /// Breaks rule 3: drains are hidden from the gateway.
    HidesDrains,
    /// Breaks rule 4: started engines are shown to the gateway as warm.
    HidesStarts,
    /// Breaks rule 5: keys are hidden from the gateway.
    HidesKeys,
    /// Breaks rule 6: the classes' allowed zones are hidden from the gateway.
    HidesAllowedZones,
    /// Breaks rule 7: the retry budget is hidden from the gateway.
    HidesRetryBudget,
}

/// Results of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Number of tries; a try is one arrival of a client's request at a front, the first or a retry.
    pub tries: u64,
    /// Tries with a result.
    pub returned: u64,
    /// Returned tries within the latency objective, measured from the arrival of the try.
    pub in_objective: u64,
    /// Tries that were rejected.
    pub rejected: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Number of failures of engines by overload while they warmed up.
    pub overloaded: u64,
    /// Counts by request class and interval.
    pub statistics: Statistics,
    /// Violations of the rules; the first hundred.
    pub violations: Vec<Violation>,
    /// Hash of all observations; the same for the same deployment, seed and fault.
    pub digest: u64,
}

/// A try that is open at a front.
#[derive(Clone)]
pub(crate) struct OpenRequest {
    pub id: u64,
    pub request: u64,
    pub request_class: usize,
    pub arrived: Duration,
    pub limit: Duration,
    pub attempts: u32,
}

pub(crate) struct Front {
    pub gateway: Gateway,
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    pub timers: BTreeSet<Duration>,
    pub events: VecDeque<Event>,
    /// Start and end of the outage of its discovery.
    pub outage: (Duration, Duration),
}

/// An endpoint update on its way to a front.
pub(crate) struct EndpointUpdate {
    pub front: usize,
    pub entry: EngineEntry,
}

/// An attempt in flight.
pub(crate) struct InFlightAttempt {
    pub front: usize,
    pub name: RequestId,
    pub attempt: u32,
    pub engine: usize,
    pub sent_at: Duration,
    pub times_out_at: Duration,
    pub work: f64,
    pub request_class: usize,
    pub id: u64,
    pub request: u64,
    pub next_progress_report: Duration,
}

/// A probe in flight.
pub(crate) struct Probe {
    pub front: usize,
    pub engine: usize,
    pub at: Duration,
}

/// Outcome of an attempt's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    Established,
    Failed,
}

/// An engine that will be replaced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Replacement {
    pub at: Duration,
    pub engine: usize,
    pub manner: ReplacementManner,
}

/// A client's request, over all its tries.
#[derive(Clone, Copy)]
pub(crate) struct ClientRequest {
    pub request_class: usize,
    pub first: Duration,
    pub tries: u32,
}

pub(crate) struct Simulation<'a> {
    pub world: &'a SimulatedDeployment,
    pub seed: u64,
    pub fault: Fault,
    pub rng: SeededRng,
    pub now: Duration,
    pub fronts: Vec<Front>,
    /// Running sums of the fronts' shares of the traffic.
    pub traffic: Vec<f64>,
    /// Running sums of the table groups' shares of the requests, by request class.
    pub table_group_sums: Vec<Vec<f64>>,
    pub engines: Vec<EngineHost>,
    pub in_flight: BTreeMap<u64, InFlightAttempt>,
    pub connecting: BTreeMap<(Duration, u64), Connection>,
    pub probes: BTreeMap<u64, Probe>,
    pub next: u64,
    pub next_update: u64,
    pub updates: BTreeMap<(Duration, u64), EndpointUpdate>,
    /// Arrival of the last endpoint update, by front and engine.
    pub notified: BTreeMap<(usize, usize), Duration>,
    pub replacements: Vec<Replacement>,
    pub requests: BTreeMap<u64, ClientRequest>,
    /// Time of the next request's first try.
    pub next_arrival: Duration,
    /// Number of requests so far.
    pub requests_started: u64,
    /// Requests to retry, by time.
    pub retries: BTreeSet<(Duration, u64)>,
    /// Front and name of each try that its client will give up, by time and try.
    pub give_ups: BTreeMap<(Duration, u64), (usize, RequestId)>,
    pub checker: Checker,
    pub report: Report,
}

impl Simulation<'_> {
    pub(crate) fn front(&self, number: u32, seed: u64) -> Front {
        let mut deployment = self.world.deployment(number);
        match self.fault {
            Fault::HidesAllowedZones => {
                deployment.request_classes.iter_mut().for_each(|class| class.allowed_zones = None)
            }
            Fault::HidesRetryBudget => deployment.safety_rules.retry_budget = None,
            _ => {}
        }
        let mut gateway = Gateway::new(deployment, seed ^ u64::from(number) << 32);
        let all = (0..self.engines.len()).map(|n| self.entry(n)).filter(|e| e.state != EngineState::Removed);
        gateway.handle_event(self.now, Event::Endpoints(EndpointUpdateKind::Full, all.collect()));
        Front {
            gateway,
            open_requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            outage: Default::default(),
        }
    }

    pub(crate) fn entry(&self, number: usize) -> EngineEntry {
        let host = &self.engines[number];
        let hidden = self.fault == Fault::HidesDrains && host.state == EngineState::Draining;
        EngineEntry {
            engine: number as u32,
            zone: host.zone,
            machine_kind: host.kind,
            state: if hidden { EngineState::Active } else { host.state },
            started_at: if self.fault == Fault::HidesStarts { Duration::ZERO } else { host.started },
            ..EngineEntry::default()
        }
    }

    pub(crate) fn observe(&mut self, observation: Observation) {
        // FNV-1a hash, starting from zero, over the text of all observations and their times: runs
        // that differ have different digests, except for hash collisions.
        for byte in format!("{:?}{observation:?}", self.now).bytes() {
            self.report.digest = (self.report.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
        self.checker.observe(self.now, observation);
    }

    /// Counts of the current interval.
    pub(crate) fn interval(&mut self) -> &mut IntervalCounts {
        self.report.statistics.interval_at((self.now - BEGIN).as_secs_f64())
    }

    pub(crate) fn respond(&mut self, id: u64) {
        self.observe(Observation::ResponseSent { id });
        if self.fault == Fault::RespondsTwice && id.is_multiple_of(50) {
            self.observe(Observation::ResponseSent { id });
        }
    }
}
