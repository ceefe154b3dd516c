//! What a datagram says. Bodies are encoded with postcard: the order of variants and fields is part of the protocol, their
//! names are not. The rows that commands print as JSON carry the names printed there beside the fields.

use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_maintenance::DrainConfirmation;
use lemonusher_registers::{EntryVersion, RegisterReply, RegisterRequest};
use lemonusher_zone_failover::{FrontReport, ZoneState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Rows of a table in one datagram at most.
pub const MAX_ROWS: usize = 8;

/// A lease as a voter has granted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The task.
    pub task: String,
    /// Who holds it.
    #[serde(rename = "who")]
    pub holder: Incarnation,
    /// The holder's token.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// How much longer the voter counts it as held.
    #[serde(rename = "left")]
    pub remaining: Duration,
}

/// A member of the fleet as a front's failure detector sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The front's name.
    pub name: String,
    /// Where other fronts reach it.
    pub address: SocketAddr,
    /// The zone in which it runs.
    #[serde(rename = "location")]
    pub zone: u32,
    /// Its incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// The last member of a page of members; the default is before all.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberCursor {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
}

impl MemberRow {
    /// Where the next page begins if this is the last row of one.
    pub fn cursor(&self) -> MemberCursor {
        MemberCursor { name: self.name.clone(), incarnation: self.incarnation }
    }
}

/// A register as a voter has accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterRow {
    /// The register.
    pub name: String,
    /// The version of its value.
    #[serde(rename = "stamp")]
    pub version: EntryVersion,
    /// The token under which the value was written.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Bytes of the value.
    #[serde(rename = "long")]
    pub value_bytes: u32,
}

/// A zone in the failover plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Its state in the plan.
    pub state: ZoneState,
    /// The part of its engines that may be used, in thousandths.
    pub open_permille: u16,
    /// Its health, by the name that operators are shown.
    pub health: String,
    /// Cores of its engines.
    pub cores: u32,
    /// The part of its engines that reply, slow ones counted for less, in thousandths.
    pub answering_permille: u16,
    /// The part of its capacity that the plan uses, in thousandths.
    pub filled_permille: u16,
}

/// A request class in the failover plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// Requests per second over all fronts.
    pub requests_per_second: f32,
    /// Work of one request, in seconds on one thread.
    pub work_seconds: f32,
    /// The part that is admitted, in thousandths.
    pub served_permille: u16,
    /// Some of it has no zone left that it may run in.
    pub is_unplaceable: bool,
}

/// A register's value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// The register's version.
    pub version: EntryVersion,
    /// The encoded maintenance request.
    pub value: Vec<u8>,
}

/// What a datagram says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// To a voter, on a lease.
    LeaseRequest(LeaseRequest),
    /// From a voter, on a lease.
    LeaseReply(LeaseReply),
    /// To a voter, on a register.
    RegisterRequest(RegisterRequest),
    /// From a voter, on a register.
    RegisterReply(RegisterReply),
    /// A message of the failure detector.
    FailureDetector(Vec<u8>),
    /// To the voters: what a front sees of the zones.
    FrontReport(FrontReport),
    /// From an operator: asks a voter for the failover plan.
    ShowPlan {
        /// Shows the plan as it would be without these zones.
        without: Vec<u32>,
    },
    /// The failover plan.
    PlanShown {
        /// Its version; none where no plan is committed.
        version: Option<EntryVersion>,
        /// Its zones, by number.
        zones: Vec<ZoneRow>,
        /// Its request classes, by number.
        classes: Vec<ClassRow>,
        /// Classes by number, in the order in which they are shed.
        shed_order: Vec<u8>,
    },
    /// To the voters: machines that a front has drained.
    DrainConfirmations(Vec<DrainConfirmation>),
    /// From an operator: asks for a maintenance request.
    ShowMaintenance {
        /// The request's number.
        request: u8,
    },
    /// A maintenance request.
    MaintenanceShown {
        /// The request's number.
        request: u8,
        /// As this front follows it; none where it knows none.
        stored: Option<StoredRequest>,
        /// This front is the maintenance coordinator.
        is_coordinator: bool,
        /// Why it does not go on, as far as the coordinator knows.
        blocked_reason: Option<String>,
    },
    /// From an operator: asks for a page of members.
    ShowMembers {
        /// The page begins after this member.
        after: MemberCursor,
    },
    /// A page of members, by name and incarnation.
    Members {
        /// At most `MAX_ROWS`.
        rows: Vec<MemberRow>,
        /// There are more after these.
        more: bool,
    },
    /// From an operator: asks a voter for a page of registers.
    ShowRegisters {
        /// The page begins after this name.
        after: String,
    },
    /// A page of registers, by name.
    Registers {
        /// The voter has its memory and votes.
        is_voting: bool,
        /// The voter's epoch.
        epoch: u64,
        /// At most `MAX_ROWS`.
        rows: Vec<RegisterRow>,
        /// There are more after these.
        more: bool,
    },
    /// From an operator: asks a voter for a page of the leases that it has granted.
    ShowLeases {
        /// The page begins after this task.
        after: String,
    },
    /// A page of leases, by task.
    Leases {
        /// The voter started lately and does not vote yet.
        is_silent: bool,
        /// At most `MAX_ROWS`.
        rows: Vec<LeaseRow>,
        /// There are more after these.
        more: bool,
    },
    /// Asks that a task be handed over: an operator asks a voter, and the voter the holder.
    HandOver {
        /// The task.
        task: String,
    },
}

/// Which part of a front a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Of the failure detector.
    FailureDetector,
    /// On leases.
    Leases,
    /// On registers.
    Registers,
    /// What fronts report of zones and machines.
    Reports,
    /// Between operators and fronts.
    Operators,
}

impl Body {
    /// Which part of a front it belongs to.
    pub fn kind(&self) -> MessageKind {
        match self {
            Body::FailureDetector(_) => MessageKind::FailureDetector,
            Body::LeaseRequest(_) | Body::LeaseReply(_) => MessageKind::Leases,
            Body::RegisterRequest(_) | Body::RegisterReply(_) => MessageKind::Registers,
            Body::FrontReport(_) | Body::DrainConfirmations(_) => MessageKind::Reports,
            _ => MessageKind::Operators,
        }
    }
}
