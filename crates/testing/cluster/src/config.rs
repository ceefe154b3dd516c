//! How a cluster is made.

use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A front's start configuration, by the front's index and the address of its command channel.
pub type FrontStart = Arc<dyn Fn(usize, SocketAddr) -> Value + Send + Sync>;

/// How a cluster is made.
#[derive(Clone)]
pub struct RigConfig {
    /// Path of the program.
    pub program: &'static str,
    /// Processes.
    pub fronts: usize,
    /// The first so many fronts vote.
    pub voters: usize,
    /// How long a lease lasts.
    pub lease: Duration,
    /// How far a clock may be off, in thousandths.
    pub clock_drift_permille: u32,
    /// How long an act may take where the task service can't reject a stale fencing token.
    pub act_time: Duration,
    /// How long an act of the task takes.
    pub task_duration: Duration,
    /// From one act of the task to the next.
    pub task_interval: Duration,
    /// Whether the task service rejects stale fencing tokens; the fronts are told so.
    pub rejects_stale: bool,
    /// By front: how fast its clock runs.
    pub clock_rates: Vec<f64>,
    /// Whether each front has a folder that outlasts its process.
    pub persistent: bool,
    /// Quota slots that the fronts share; 0 for none.
    pub quota_slots: u32,
    /// Of everything random.
    pub seed: u64,
    /// The fronts' start configurations; none: fronts without engines.
    pub front_start: Option<FrontStart>,
    /// Further tables of the operator's file, as TOML.
    pub extra_toml: String,
}
