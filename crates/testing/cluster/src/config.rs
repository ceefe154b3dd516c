//! Configuration of a test cluster.

use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Builds a front's start configuration from the front's index and the address of its discovery channel.
pub type FrontStart = Arc<dyn Fn(usize, SocketAddr) -> Value + Send + Sync>;

/// Configuration of a test cluster.
#[derive(Clone)]
pub struct RigConfig {
    /// Path of the `lemonusher` program.
    pub program: &'static str,
    /// Number of front processes.
    pub fronts: usize,
    /// Number of voters: the fronts with an index below it vote.
    pub voters: usize,
    /// Duration of a lease.
    pub lease: Duration,
    /// Largest rate error of a clock that the leases allow for, in thousandths.
    pub clock_drift_permille: u32,
    /// Longest duration of an act if the task service can't reject a stale fencing token.
    pub act_time: Duration,
    /// Duration of an act of the task.
    pub task_duration: Duration,
    /// Time between two acts of the task.
    pub task_interval: Duration,
    /// Whether the task service rejects stale fencing tokens. The fronts' configuration states the same.
    pub rejects_stale: bool,
    /// Rate of each front's clock relative to real time, by front index.
    pub clock_rates: Vec<f64>,
    /// Whether each front has a state folder that persists when its process ends.
    pub persistent: bool,
    /// Number of quota slots that the fronts share; 0 for no quota.
    pub quota_slots: u32,
    /// Seed of the relays' random faults. The key in the fleet's key file contains it too.
    pub seed: u64,
    /// Builds the fronts' start configurations. If `None`, fronts have no engines.
    pub front_start: Option<FrontStart>,
    /// Further tables of the operator's file, in TOML.
    pub extra_toml: String,
}
