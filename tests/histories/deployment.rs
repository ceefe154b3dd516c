//! Random deployments.

use super::TICK;
use super::random::Random;
use lemonusher::*;
use std::time::Duration;

const FRONT_COUNTS: [u64; 5] = [1, 5, 16, 17, 300];

/// A random deployment; its kind of load reporting is determined by the seed.
pub fn deployment(random: &mut Random, seed: u64) -> Deployment {
    let fronts = random.pick(&FRONT_COUNTS) as u32;
    Deployment {
        fronts,
        front_index: random.below(u64::from(fronts)) as u32,
        zone: 0,
        request_classes: request_classes(random),
        machine_kinds: vec![
            MachineKind { cores: 8.0, memory_mb: 16_000.0 },
            MachineKind { cores: 3.3, memory_mb: 0.0 },
            MachineKind { cores: 48.0, memory_mb: 64_000.0 },
        ],
        tick: TICK,
        capabilities: capabilities(random),
        probe_cost: random.pick(&[0.0, 0.002, 0.05]),
        safety_rules: safety_rules(random),
        discovery: random.pick(&[Discovery::Pushed, Discovery::Polled]),
        load_reporting: [LoadReporting::None, LoadReporting::WithResponses, LoadReporting::WithProbes]
            [(seed % 3) as usize],
        progress_interval: random.pick(&[Duration::ZERO, Duration::from_millis(400)]),
        priorities: random.one_in(2),
        memory_grants: false,
        retries_marked: random.one_in(2),
    }
}

fn request_classes(random: &mut Random) -> Vec<RequestClassConfig> {
    let mut short = request_class(random, 600, 3_000, 1.0);
    short.ordered = random.one_in(2);
    let mut long = request_class(random, 4_000, 12_000, 4.0);
    long.waits_for_bulk_loads = true;
    long.allowed_zones = random.one_in(3).then(|| vec![0]);
    let mut load = request_class(random, 3_000, 9_000, 3.0);
    load.bulk_load = true;
    load.allowed_machine_kinds = random.one_in(3).then(|| vec![0, 2]);
    vec![short, long, load]
}

fn request_class(
    random: &mut Random,
    latency_objective: u64,
    deadline: u64,
    threads: f64,
) -> RequestClassConfig {
    let scope =
        random.pick(&[DeduplicationScope::Everywhere, DeduplicationScope::Zone, DeduplicationScope::Cell]);
    let retention = random.millis(300, 5_000);
    let keyed = Idempotency::IdempotencyKeyed { scope, retention };
    RequestClassConfig {
        latency_objective: Duration::from_millis(latency_objective),
        objective_work_factor: random.pick(&[0.0, 2.0]),
        deadline: Duration::from_millis(deadline),
        priority_weight: 1.0,
        idempotency: random.pick(&[
            Idempotency::Idempotent,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            keyed,
        ]),
        threads,
        ..RequestClassConfig::default()
    }
}

fn capabilities(random: &mut Random) -> Capabilities {
    Capabilities {
        probes: !random.one_in(4),
        cancel: !random.one_in(3),
        retry_after: random.one_in(2),
        max_retry_after: Duration::from_millis(700),
        max_attempts: 1 + random.below(4) as u32,
        connect_timeout: Duration::from_millis(200),
        ..Capabilities::default()
    }
}

fn safety_rules(random: &mut Random) -> SafetyRules {
    let budget = RetryBudget { free_retries: 5.0, retry_ratio: 0.2, window: Duration::from_secs(2) };
    SafetyRules {
        drain_grace: Duration::from_secs(2),
        slow_start_share: 0.25,
        slow_start_window: random.millis(500, 5_000),
        overload_factor: 2.0,
        overload_window: random.millis(500, 2_000),
        unknown_outcome_delay: Duration::from_millis(300),
        discovery_poll_deadline: Duration::from_millis(900),
        retry_budget: random.one_in(2).then_some(budget),
    }
}
