//! Communication between fronts: datagrams authenticated with a shared key, a [`Node`] that runs one front's
//! part in the fleet as a state machine, and the thread that drives the node.
//!
//! This package makes no decisions of its own. `lemonusher-leases` decides which front holds a lease,
//! `lemonusher-registers` which values are committed, `lemonusher-failure-detector` which fronts are members,
//! `lemonusher-zone-failover` the states of zones and `lemonusher-maintenance` the states of machines.

#![warn(missing_docs)]

mod actions;
mod body;
mod channel;
mod config;
mod counters;
mod frame;
mod maintenance;
mod node;
mod pending_updates;
mod replay_window;
mod state_folder;
mod thread;
mod zone_failover;

pub use actions::TokenRejection;
pub use body::{
    Body, ClassRow, LeaseRow, MemberCursor, MemberRow, MessageKind, RegisterRow, StoredRequest, ZoneRow,
};
pub use config::{FleetConfig, TaskConfig, config_fingerprint};
pub use counters::TrafficCounters;
pub use frame::{FleetKey, Frame, OpenError};
pub use maintenance::{
    LEASE as MAINTENANCE_LEASE, MaintenanceSettings, register_name as maintenance_register,
};
pub use node::{ClusterStats, Datagram, LeasedShare, Message, Node, StartParameters};
pub use replay_window::ReplayWindow;
pub use state_folder::StateFolder;
pub use thread::{FleetHandle, start};
pub use zone_failover::{
    NAME as ZONE_PLAN_REGISTER, OVERRIDES_REGISTER, ZoneFailoverSettings, decode_overrides, encode_overrides,
};
