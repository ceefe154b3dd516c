//! What a deployment states of itself when a gateway starts, as the object that holds it names things, and
//! load reports. Both hosts read them here; nothing here decides.

use lemonusher::*;
use serde::Deserialize;
use std::time::Duration;

pub fn span(us: u64) -> Duration {
    Duration::from_micros(us)
}

/// The values of a load report, in the order in which the deployment names them.
pub struct LoadFields(Vec<String>);

impl LoadFields {
    pub fn of(settled: &Settled) -> Self {
        LoadFields(settled.report.fields.clone())
    }

    /// Reads values that stand in the stated order.
    pub fn in_order(&self, values: &[f64]) -> LoadReport {
        let mut load = LoadReport::default();
        for (field, value) in self.0.iter().zip(values) {
            set(&mut load, field, *value);
        }
        load
    }

    /// Reads values that come with their names.
    pub fn named<'a>(&self, values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut load = LoadReport::default();
        for (field, value) in values {
            set(&mut load, field, value);
        }
        load
    }
}

/// A value goes by one name in the simulator and by another on sockets.
fn set(load: &mut LoadReport, field: &str, value: f64) {
    match field {
        "busy" | "util" => load.cores_busy = Some(value),
        "rif" | "inflight" => load.in_flight = Some(value),
        "q" | "queue" => load.waiting_for_memory = Some(value),
        "x0" => load.memory_granted = Some(value),
        "x1" => load.disks_busy = Some(value),
        _ => {}
    }
}

pub fn deployment(settled: &Settled) -> Deployment {
    let family = &settled.family_info;
    let ceilings = &settled.ceilings;
    let rules = &settled.obligations;
    Deployment {
        fronts: settled.balancers,
        front_index: settled.my_number,
        zone: settled.zone,
        request_classes: settled.classes.iter().enumerate().map(|(i, c)| terms(i, c, settled)).collect(),
        machine_kinds: (family.cpu_of_kind.iter().enumerate())
            .map(|(i, &cores)| MachineKind {
                cores,
                memory_mb: family.memory_by_kind_mb.get(i).copied().unwrap_or(0.0),
            })
            .collect(),
        tick: span(settled.tick_us),
        capabilities: Capabilities {
            probes: ceilings.probes,
            peer_messages: ceilings.peers,
            cancel: ceilings.cancel,
            retry_after: ceilings.retry_after,
            max_retry_after: span(ceilings.max_retry_after_us),
            hedging: ceilings.second_copies,
            max_attempts: ceilings.max_attempts,
            connect_timeout: span(ceilings.connect_timeout_us),
        },
        probe_cost: settled.prices.probe,
        safety_rules: SafetyRules {
            drain_grace: span(rules.drain_grace_us),
            slow_start_share: rules.cold_from,
            slow_start_window: span(rules.cold_us),
            overload_factor: rules.fall_multiple,
            overload_window: span(rules.tip_after_us),
            unknown_outcome_delay: span(rules.settle_after_doubt_us),
            discovery_poll_deadline: span(rules.ask_within_us),
            retry_budget: rules.resend_span_us.map(|window| RetryBudget {
                free_retries: rules.min_extra.unwrap_or(0.0),
                retry_ratio: rules.extra_ratio.unwrap_or(0.0),
                window: span(window),
            }),
        },
        discovery: match settled.discovery.as_str() {
            "on_request" => Discovery::Polled,
            _ => Discovery::Pushed,
        },
        load_reporting: match settled.report.via.as_str() {
            "inline" => LoadReporting::WithResponses,
            "on_probe" => LoadReporting::WithProbes,
            _ => LoadReporting::None,
        },
        progress_interval: span(family.note_period_us),
        priorities: family.lanes_count,
        memory_grants: family.takes_grants,
        retries_marked: settled.client_habits.marks_retry,
    }
}

fn terms(index: usize, class: &Class, settled: &Settled) -> RequestClassConfig {
    let family = &settled.family_info;
    RequestClassConfig {
        latency_objective: span(class.aim_us),
        objective_work_factor: class.aim_stretch,
        deadline: span(class.hard_limit_us),
        priority_weight: class.points,
        late_value_share: class.late_value,
        idempotency: match class.effect {
            ClassEffect::Safe => Idempotency::Idempotent,
            ClassEffect::Unsafe => Idempotency::NonIdempotent,
            ClassEffect::Keyed => Idempotency::IdempotencyKeyed {
                scope: match class.group {
                    Group::All => DeduplicationScope::Everywhere,
                    Group::Zone => DeduplicationScope::Zone,
                    Group::Cell => DeduplicationScope::Cell,
                },
                retention: span(class.key_ttl_us),
            },
        },
        ordered: class.by_arrival,
        allowed_zones: class.areas_open.clone(),
        allowed_machine_kinds: class.kinds_open.clone(),
        threads: family.class_threads.get(index).copied().unwrap_or(1.0),
        bulk_load: family.class_load.get(index).copied().unwrap_or(false),
        waits_for_bulk_loads: family.yields_to_loads.get(index).copied().unwrap_or(false),
    }
}

#[derive(Deserialize)]
pub struct Settled {
    pub balancers: u32,
    #[serde(default)]
    pub my_number: u32,
    #[serde(default)]
    pub zone: u32,
    pub tick_us: u64,
    pub ceilings: Ceilings,
    #[serde(default)]
    pub prices: Prices,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub client_habits: Habits,
    pub discovery: String,
    pub family_info: Family,
    pub obligations: Obligations,
    #[serde(default)]
    pub report: Report,
    /// Names of the zones and of the kinds of machine, in the order in which they are numbered.
    #[serde(default)]
    pub areas: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Habits {
    pub marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Ceilings {
    pub cancel: bool,
    pub connect_timeout_us: u64,
    pub max_attempts: u32,
    pub max_retry_after_us: u64,
    pub peers: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
    pub conn_idle_us: u64,
    pub streams_per_conn: usize,
    pub open_cap: usize,
}

/// What things cost, in shares of the priority weight asked for when one comes with each request.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Prices {
    pub probe: f64,
    pub handshake: f64,
}

#[derive(Deserialize)]
pub struct Class {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub aim_stretch: f64,
    pub aim_us: u64,
    pub effect: ClassEffect,
    #[serde(default)]
    pub group: Group,
    pub hard_limit_us: u64,
    #[serde(default)]
    pub key_ttl_us: u64,
    #[serde(default)]
    pub late_value: f64,
    pub points: f64,
    #[serde(default)]
    pub by_arrival: bool,
    pub areas_open: Option<Vec<u32>>,
    pub kinds_open: Option<Vec<u32>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum ClassEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Family {
    pub class_load: Vec<bool>,
    pub class_threads: Vec<f64>,
    pub yields_to_loads: Vec<bool>,
    pub cpu_of_kind: Vec<f64>,
    pub memory_by_kind_mb: Vec<f64>,
    pub lanes_count: bool,
    pub takes_grants: bool,
    pub note_period_us: u64,
    pub says_cost: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Obligations {
    pub ask_within_us: u64,
    pub cold_from: f64,
    pub cold_us: u64,
    pub drain_grace_us: u64,
    pub fall_multiple: f64,
    pub tip_after_us: u64,
    pub settle_after_doubt_us: u64,
    pub min_extra: Option<f64>,
    pub extra_ratio: Option<f64>,
    pub resend_span_us: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Report {
    pub fields: Vec<String>,
    pub via: String,
}
