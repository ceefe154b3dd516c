//! The bench wire as serde types, in the wire's own words.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

#[derive(Deserialize)]
pub struct Frame<'a> {
    pub now_us: u64,
    pub serial: u64,
    #[serde(borrow)]
    pub msgs: Vec<&'a RawValue>,
}

#[derive(Serialize)]
pub struct Reply {
    pub serial: u64,
    pub cmds: Vec<Cmd>,
}

#[derive(Deserialize)]
pub enum Msg {
    POWER_ON {
        front_id: u32,
        rng_seed: u64,
        settings: Box<Settled>,
    },
    RETIRE {
        front_id: u32,
    },
    MANIFEST {
        roster_id: u32,
        entries: Vec<Entry>,
    },
    PEERS_KNOWN {
        front_id: u32,
        #[serde(default)]
        roster_id: u32,
        mode: Mode,
    },
    INGRESS(Ingress),
    BEGUN {
        front_id: u32,
        call: String,
    },
    PROGRESS {
        front_id: u32,
        call: String,
        #[serde(default)]
        n: u32,
        engine: u32,
        what: u32,
        #[serde(default)]
        level: f64,
    },
    REPLY(Ended),
    CLIENT_LEFT {
        front_id: u32,
        call: String,
    },
    RING {
        front_id: u32,
    },
    HEALTH {
        front_id: u32,
        #[serde(default)]
        cost_time_us: u64,
        code: Code,
        engine: u32,
        gauge: Option<Vec<f64>>,
    },
    PEER_DATA {
        front_id: u32,
        sender: u32,
        data: String,
    },
}

/// The names of `Msg`, to tell a malformed event from an unknown one.
pub const KNOWN: [&str; 12] = [
    "POWER_ON",
    "RETIRE",
    "MANIFEST",
    "PEERS_KNOWN",
    "INGRESS",
    "BEGUN",
    "PROGRESS",
    "REPLY",
    "CLIENT_LEFT",
    "RING",
    "HEALTH",
    "PEER_DATA",
];

#[derive(Deserialize)]
pub struct Ingress {
    pub front_id: u32,
    pub call: String,
    #[serde(default)]
    pub is_retry: bool,
    pub estimate_us: Option<u64>,
    #[serde(default)]
    pub grade: usize,
    #[serde(default)]
    pub tables: u64,
    pub relation: Option<u64>,
    pub time_budget_us: u64,
    #[serde(default)]
    pub footprint_mb: f64,
}

#[derive(Deserialize)]
pub struct Ended {
    pub front_id: u32,
    pub call: String,
    #[serde(default)]
    pub note: u64,
    #[serde(default)]
    pub no_more: bool,
    pub engine: u32,
    #[serde(default)]
    pub cost_time_us: u64,
    #[serde(default)]
    pub n: u32,
    pub code: Code,
    pub gauge: Option<Vec<f64>>,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Code {
    Done,
    Err,
    Busy,
    Etimedout,
    Econnrefused,
    Econnreset,
    Ecanceled,
    Skipped,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    Update,
    Replace,
    Restored,
    Unavailable,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Active,
    Leaving,
    Left,
}

#[derive(Deserialize, Clone)]
pub struct Entry {
    #[serde(default)]
    pub campus: u32,
    #[serde(default)]
    pub unit_group: u32,
    pub state: State,
    #[serde(default)]
    pub generation_hw: u32,
    #[serde(default)]
    pub started_at_us: u64,
    pub engine: u32,
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
    pub classes: Vec<Class>,
    #[serde(default)]
    pub client_habits: Habits,
    pub discovery: String,
    pub family_info: Family,
    pub obligations: Obligations,
    #[serde(default)]
    pub report: Report,
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
}

#[derive(Deserialize)]
pub struct Class {
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

#[derive(Serialize)]
pub enum Cmd {
    RELAY { front_id: u32, call: String, try_for_us: u64, engine: u32 },
    DROP_ATTEMPT { front_id: u32, call: String, n: u32 },
    DECLINE { front_id: u32, call: String, stay_away_us: u64 },
    DROP_REQUEST { front_id: u32, call: String },
    ARM { front_id: u32, fire_at_us: u64, ctx: &'static str },
    TEST { front_id: u32, engine: u32 },
    KEEP_INFORMED { front_id: u32, want: bool },
    ASSIGN_TERMS { front_id: u32, call: String, prio: u8, workspace_mb: f64 },
    CRASH { front_id: u32, line: String },
}
