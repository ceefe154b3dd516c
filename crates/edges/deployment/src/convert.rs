//! Conversion of the settings to the types of the `lemonusher` crate.

use crate::settings::{
    CapabilitySettings, EngineSettings, IdempotencySetting, RequestClassSettings, SafetySettings,
    ScopeSetting, Settings,
};
use lemonusher::{
    Capabilities, DeduplicationScope, Deployment, Discovery, Idempotency, LoadReporting, MachineKind,
    RequestClassConfig, RetryBudget, SafetyRules,
};
use std::time::Duration;

/// Converts the settings of a deployment.
pub fn deployment(settings: &Settings) -> Deployment {
    Deployment {
        fronts: settings.fronts,
        front_index: settings.front_index,
        zone: settings.zone,
        request_classes: settings
            .request_classes
            .iter()
            .enumerate()
            .map(|(index, class)| request_class(index, class, &settings.engines))
            .collect(),
        machine_kinds: machine_kinds(&settings.engines),
        tick: Duration::from_micros(settings.tick_us),
        capabilities: capabilities(&settings.capabilities),
        probe_cost: settings.costs.probe,
        safety_rules: safety_rules(&settings.safety_rules),
        discovery: match settings.discovery.as_str() {
            "on_request" => Discovery::Polled,
            _ => Discovery::Pushed,
        },
        load_reporting: match settings.load_report.sent_with.as_str() {
            "inline" => LoadReporting::WithResponses,
            "on_probe" => LoadReporting::WithProbes,
            _ => LoadReporting::None,
        },
        progress_interval: Duration::from_micros(settings.engines.progress_interval_us),
        priorities: settings.engines.priorities,
        memory_grants: settings.engines.memory_grants,
        retries_marked: settings.clients.marks_retries,
    }
}

fn machine_kinds(engines: &EngineSettings) -> Vec<MachineKind> {
    let memory_mb = |index: usize| engines.memory_by_kind_mb.get(index).copied().unwrap_or(0.0);
    let kinds = engines.cores_by_kind.iter().enumerate();
    kinds.map(|(index, &cores)| MachineKind { cores, memory_mb: memory_mb(index) }).collect()
}

fn capabilities(stated: &CapabilitySettings) -> Capabilities {
    Capabilities {
        probes: stated.probes,
        peer_messages: stated.peer_messages,
        cancel: stated.cancel,
        retry_after: stated.retry_after,
        max_retry_after: Duration::from_micros(stated.max_retry_after_us),
        hedging: stated.hedging,
        max_attempts: stated.max_attempts,
        connect_timeout: Duration::from_micros(stated.connect_timeout_us),
    }
}

fn safety_rules(stated: &SafetySettings) -> SafetyRules {
    SafetyRules {
        drain_grace: Duration::from_micros(stated.drain_grace_us),
        slow_start_share: stated.slow_start_share,
        slow_start_window: Duration::from_micros(stated.slow_start_window_us),
        overload_factor: stated.overload_factor,
        overload_window: Duration::from_micros(stated.overload_window_us),
        unknown_outcome_delay: Duration::from_micros(stated.unknown_outcome_delay_us),
        discovery_poll_deadline: Duration::from_micros(stated.discovery_poll_deadline_us),
        retry_budget: stated.retry_budget_window_us.map(|window_us| RetryBudget {
            free_retries: stated.free_retries.unwrap_or(0.0),
            retry_ratio: stated.retry_ratio.unwrap_or(0.0),
            window: Duration::from_micros(window_us),
        }),
    }
}

fn request_class(index: usize, class: &RequestClassSettings, engines: &EngineSettings) -> RequestClassConfig {
    RequestClassConfig {
        latency_objective: Duration::from_micros(class.latency_objective_us),
        objective_work_factor: class.objective_work_factor,
        deadline: Duration::from_micros(class.deadline_us),
        priority_weight: class.priority_weight,
        late_value_share: class.late_value_share,
        idempotency: idempotency(class),
        ordered: class.ordered,
        allowed_zones: class.allowed_zones.clone(),
        allowed_machine_kinds: class.allowed_machine_kinds.clone(),
        threads: engines.threads_by_class.get(index).copied().unwrap_or(1.0),
        bulk_load: engines.bulk_load_by_class.get(index).copied().unwrap_or(false),
        waits_for_bulk_loads: engines.waits_for_bulk_loads_by_class.get(index).copied().unwrap_or(false),
    }
}

fn idempotency(class: &RequestClassSettings) -> Idempotency {
    match class.idempotency {
        IdempotencySetting::Idempotent => Idempotency::Idempotent,
        IdempotencySetting::NonIdempotent => Idempotency::NonIdempotent,
        IdempotencySetting::IdempotencyKeyed => Idempotency::IdempotencyKeyed {
            scope: match class.deduplication_scope {
                ScopeSetting::Everywhere => DeduplicationScope::Everywhere,
                ScopeSetting::Zone => DeduplicationScope::Zone,
                ScopeSetting::Cell => DeduplicationScope::Cell,
            },
            retention: Duration::from_micros(class.key_retention_us),
        },
    }
}
