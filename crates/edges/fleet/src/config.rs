//! Configuration of a front's part in the fleet.

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
    /// The resource that is notified of the begin and end of each action, and may reject an older fencing token;
    /// none for a task without actions.
    pub notify: Option<SocketAddr>,
    /// Minimum time from the begin of one action to the begin of the next.
    pub interval: Duration,
    /// Duration of an action.
    pub action_time: Duration,
    /// Whether the resource rejects an older fencing token.
    pub fenced: bool,
}

/// The configuration of a front's part in the fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// This front's name.
    pub name: String,
    /// The UDP address that this front binds.
    pub listen: SocketAddr,
    /// The key shared by all fronts of the fleet.
    pub key: FleetKey,
    /// Durations and clock drift of leases; must be the same at all fronts of the fleet.
    pub leases: LeaseConfig,
    /// The voters' addresses; must be the same list at all fronts of the fleet.
    pub voters: Vec<SocketAddr>,
    /// Whether this front is a voter.
    pub is_voter: bool,
    /// This front's index in `voters`, if it is a voter.
    pub voter_index: Option<usize>,
    /// The address at which other fronts reach this front, if it differs from the bound one.
    pub advertised_address: Option<SocketAddr>,
    /// Number of the zone in which this front runs.
    pub zone: u32,
    /// Folder in which fencing tokens and registers are stored; none for a voter that keeps its state in
    /// memory only.
    pub state_folder: Option<PathBuf>,
    /// Tasks that this front may hold.
    pub tasks: Vec<TaskConfig>,
    /// Total number of quota slots of the fleet; 0 for no quota.
    pub quota_slots: u32,
    /// Number of quota slots that this front tries to hold.
    pub wanted_slots: usize,
    /// Number of the quota slot that this front tries to acquire first.
    pub first_slot: u32,
    /// Zone failover; none if it is not configured.
    pub zone_failover: Option<ZoneFailoverSettings>,
    /// Maintenance of machines; none if it is not configured. It requires zone failover.
    pub maintenance: Option<MaintenanceSettings>,
}

/// A hash of the settings that must be the same at all fronts of a fleet: the lease durations, the clock drift
/// and the number of voters. Each datagram carries it, and a datagram with another fingerprint is dropped.
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
