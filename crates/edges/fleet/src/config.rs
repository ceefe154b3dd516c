//! The configuration of a front's part in the fleet.

use crate::frame::FleetKey;
use crate::maintenance::MaintenanceSettings;
use crate::zone_failover::ZoneFailoverSettings;
use lemonusher_leases::LeaseConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A task that this front may hold, and the action that it repeats while it holds it.
#[derive(Debug, Clone)]
pub struct TaskConfig {
    /// The task's name.
    pub name: String,
    /// The resource that is notified of the begin and end of each action, and may reject an older fencing token.
    pub notify: Option<SocketAddr>,
    /// From the begin of one action to that of the next.
    pub interval: Duration,
    /// How long an action takes.
    pub action_time: Duration,
    /// Whether the resource rejects an older fencing token.
    pub fenced: bool,
}

/// The configuration of a front's part in the fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// This front's name.
    pub name: String,
    /// The UDP address that it binds.
    pub listen: SocketAddr,
    /// The fleet's key.
    pub key: FleetKey,
    /// Durations of leases; the same at all fronts of the fleet.
    pub leases: LeaseConfig,
    /// The voters' addresses; the same list at all fronts of the fleet.
    pub voters: Vec<SocketAddr>,
    /// Whether this front is a voter.
    pub is_voter: bool,
    /// Its index among the voters, if it is one.
    pub voter_index: Option<usize>,
    /// The address by which other fronts reach it, where that is not the one it binds.
    pub advertised_address: Option<SocketAddr>,
    /// The zone in which it runs.
    pub zone: u32,
    /// Where tokens and registers are stored; none for a voter without memory.
    pub state_folder: Option<PathBuf>,
    /// Tasks that this front may hold.
    pub tasks: Vec<TaskConfig>,
    /// How many quota slots the fleet has; 0 for no quota.
    pub quota_slots: u32,
    /// How many of them this front wants.
    pub wanted_slots: usize,
    /// The slot that it asks for first.
    pub first_slot: u32,
    /// Zone failover, where it is configured.
    pub zone_failover: Option<ZoneFailoverSettings>,
    /// Maintenance of machines, where it is configured; it needs zone failover.
    pub maintenance: Option<MaintenanceSettings>,
}

/// A hash of what all fronts of a fleet must configure alike. It goes with each datagram, so a front with another
/// configuration is ignored.
pub fn config_fingerprint(config: &FleetConfig) -> u64 {
    let leases = &config.leases;
    let text = format!(
        "{} {} {} {}",
        leases.duration.as_nanos(),
        leases.clock_drift_permille,
        leases.max_action_time.as_nanos(),
        config.voters.len()
    );
    u64::from_le_bytes(blake3::hash(text.as_bytes()).as_bytes()[..8].try_into().unwrap_or_default())
}
