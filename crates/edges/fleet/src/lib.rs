//! Talk between fronts: datagrams under a shared key, a [`Node`] that runs the voter, the lease client and the acts, and the
//! thread that drives it. It decides nothing: who may hold and act what is settled in `lemonusher-leases`, what is agreed on in
//! `lemonusher-registers`, who is there in `lemonusher-failure-detector`.

mod actions;
mod channel;
mod frame;
mod maintenance;
mod node;
mod replay_window;
mod state_folder;
mod thread;
mod zone_failover;

pub use actions::TokenRejection;
pub use channel::TrafficCounters;
pub use frame::{
    Body, ClassRow, FleetKey, Frame, LeaseRow, MemberRow, MessageKind, OpenError, RegisterRow, ZoneRow,
};
pub use maintenance::{
    LEASE as MAINTENANCE_LEASE, MaintenanceSettings, register_name as maintenance_register,
};
pub use node::{ClusterStats, Datagram, Message, Node, StartParameters};
pub use replay_window::ReplayWindow;
pub use state_folder::StateFolder;
pub use thread::{FleetHandle, start};
pub use zone_failover::{
    NAME as ZONE_PLAN_REGISTER, OVERRIDES_REGISTER, ZoneFailoverSettings, decode_overrides, encode_overrides,
};

use lemonusher_leases::LeaseConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A task that this front may hold, and what it does with it.
#[derive(Debug, Clone)]
pub struct TaskConfig {
    pub name: String,
    /// Who is told of each act, and refuses older numbers.
    pub notify: Option<SocketAddr>,
    pub interval: Duration,
    /// How long an act takes.
    pub action_time: Duration,
    /// Whether what is acted upon refuses an older number.
    pub fenced: bool,
}

/// What the operator's file says of the fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub key: FleetKey,
    pub leases: LeaseConfig,
    pub voters: Vec<SocketAddr>,
    /// Whether this front votes, and its place among the voters.
    pub is_voter: bool,
    pub voter_index: Option<usize>,
    /// The address by which other fronts reach it, where that is not the one it listens at.
    pub advertised_address: Option<SocketAddr>,
    /// Where this front stands.
    pub zone: u32,
    /// Where the highest number lasts.
    pub state_folder: Option<PathBuf>,
    pub tasks: Vec<TaskConfig>,
    /// Into how many quota slots what fronts share is cut; none for no quota slots.
    pub quota_slots: u32,
    /// How many of them this front wants, and where it begins to look.
    pub wanted_slots: usize,
    pub first_slot: u32,
    /// The plan for lost zones, where there is one.
    pub zone_failover: Option<ZoneFailoverSettings>,
    /// Works on machines, where there are any; they need the plan's sight.
    pub maintenance: Option<MaintenanceSettings>,
}

/// What a fleet must state alike, as one number.
pub fn config_fingerprint(terms: &FleetConfig) -> u64 {
    let lease = &terms.leases;
    let text = format!(
        "{} {} {} {}",
        lease.duration.as_nanos(),
        lease.clock_drift_permille,
        lease.max_action_time.as_nanos(),
        terms.voters.len()
    );
    u64::from_le_bytes(blake3::hash(text.as_bytes()).as_bytes()[..8].try_into().unwrap_or_default())
}
