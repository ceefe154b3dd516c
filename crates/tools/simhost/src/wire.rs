//! The bench wire as serde types, in the wire's own words.

use lemonusher_deployment::Settings;
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
        settings: Box<Settings>,
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
