//! Configuration of the fronts of a simulated deployment.

use crate::settings::ReportTransport;
use crate::world::{EngineKind, RequestClass, SimulatedDeployment, duration_from_secs};
use lemonusher::{
    Capabilities, Deployment, Idempotency, LoadReporting, MachineKind, RequestClassConfig, RetryBudget,
    SafetyRules,
};
use std::time::Duration;

impl SimulatedDeployment {
    /// Configuration of a front; `number` is its index.
    pub fn deployment(&self, number: u32) -> Deployment {
        let machine = |kind: &EngineKind| MachineKind { cores: kind.cores, memory_mb: kind.memory_mb };
        Deployment {
            fronts: self.fronts,
            front_index: number,
            request_classes: self.request_classes.iter().map(RequestClass::config).collect(),
            machine_kinds: self.engines.iter().map(machine).collect(),
            tick: Duration::from_millis(5),
            capabilities: self.capabilities(),
            safety_rules: self.safety_rules(),
            probe_cost: self.probes.map_or(0.0, |probes| probes.price),
            load_reporting: self.load_reporting(),
            progress_interval: duration_from_secs(self.progress_interval_s.unwrap_or(1.0)),
            retries_marked: self.clients.is_none_or(|clients| clients.marked),
            ..Deployment::default()
        }
    }

    fn capabilities(&self) -> Capabilities {
        Capabilities {
            cancel: self.cancel,
            probes: self.probes.is_some(),
            retry_after: true,
            max_retry_after: Duration::from_secs(2),
            max_attempts: 4,
            connect_timeout: Duration::from_millis(250),
            ..Capabilities::default()
        }
    }

    fn safety_rules(&self) -> SafetyRules {
        SafetyRules {
            drain_grace: duration_from_secs(self.drain_grace_s),
            slow_start_share: self.slow_start_share,
            slow_start_window: duration_from_secs(self.slow_start_s),
            overload_factor: self.overload_factor,
            overload_window: duration_from_secs(self.overload_window_s),
            unknown_outcome_delay: Duration::from_millis(700),
            discovery_poll_deadline: Duration::from_secs(10),
            retry_budget: self.retry_budget.map(|(free_retries, retry_ratio)| RetryBudget {
                free_retries,
                retry_ratio,
                window: Duration::from_secs(10),
            }),
        }
    }

    fn load_reporting(&self) -> LoadReporting {
        match self.load_reports.as_ref().map(|reports| reports.how) {
            None | Some(ReportTransport::Nothing) => LoadReporting::None,
            Some(ReportTransport::Answers) => LoadReporting::WithResponses,
            Some(ReportTransport::Probes) => LoadReporting::WithProbes,
        }
    }
}

impl RequestClass {
    fn config(&self) -> RequestClassConfig {
        let idempotency = match self.is_non_idempotent {
            true => Idempotency::NonIdempotent,
            false => Idempotency::Idempotent,
        };
        RequestClassConfig {
            latency_objective: duration_from_secs(self.latency_objective_s),
            objective_work_factor: 1.5,
            deadline: duration_from_secs(self.deadline_s),
            priority_weight: 1.0,
            late_value_share: 0.5,
            idempotency,
            ordered: self.keys > 0,
            allowed_zones: self.allowed_zones.clone(),
            threads: self.threads,
            bulk_load: self.is_bulk_load,
            waits_for_bulk_loads: !self.is_bulk_load,
            ..RequestClassConfig::default()
        }
    }
}
