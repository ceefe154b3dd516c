//! Bodies of datagrams. They are encoded with postcard, so the order of variants and fields is part of the
//! protocol and their names are not. Rows that commands print as JSON have `serde(rename)` attributes with the
//! names printed there.

use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_maintenance::DrainConfirmation;
use lemonusher_registers::{EntryVersion, RegisterReply, RegisterRequest};
use lemonusher_zone_failover::{FrontReport, ZoneState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of rows of a table in one datagram.
pub const MAX_ROWS: usize = 8;

/// A lease that a voter has granted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the task that the lease is for.
    pub task: String,
    /// The incarnation of the front that holds the lease.
    #[serde(rename = "who")]
    pub holder: Incarnation,
    /// The holder's fencing token.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Time until the grant expires at the voter.
    #[serde(rename = "left")]
    pub remaining: Duration,
}

/// A member of the fleet, as seen by a front's failure detector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The front's name.
    pub name: String,
    /// The UDP address at which other fronts reach it.
    pub address: SocketAddr,
    /// Number of the zone in which it runs.
    #[serde(rename = "location")]
    pub zone: u32,
    /// The random number of its incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// Position in the list of members: the last member of a page. The default is before the first member.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberCursor {
    /// The member's name.
    pub name: String,
    /// The random number of the member's incarnation.
    pub incarnation: u64,
}

impl MemberRow {
    /// The cursor for the page after this row.
    pub fn cursor(&self) -> MemberCursor {
        MemberCursor { name: self.name.clone(), incarnation: self.incarnation }
    }
}

/// A register whose value a voter has accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterRow {
    /// The register's name.
    pub name: String,
    /// The version of its value.
    #[serde(rename = "stamp")]
    pub version: EntryVersion,
    /// The fencing token under which the value was written.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Length of the value in bytes.
    #[serde(rename = "long")]
    pub value_bytes: u32,
}

/// A zone in the failover plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// The zone's state in the plan.
    pub state: ZoneState,
    /// The share of its engines that may be used, in thousandths.
    pub open_permille: u16,
    /// The zone's health, as the name shown to operators.
    pub health: String,
    /// Total number of cores of its engines.
    pub cores: u32,
    /// The share of its engines that reply, in thousandths; slow engines count for less than one.
    pub answering_permille: u16,
    /// The share of its capacity that the plan uses, in thousandths.
    pub filled_permille: u16,
}

/// A request class in the failover plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// Requests per second, summed over all fronts.
    pub requests_per_second: f32,
    /// Work of one request, in seconds on one thread.
    pub work_seconds: f32,
    /// The share of its requests that is admitted, in thousandths.
    pub served_permille: u16,
    /// Whether some of its load has no remaining zone in which it may run.
    pub is_unplaceable: bool,
}

/// A maintenance request as stored in its register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// The version of the register's value.
    pub version: EntryVersion,
    /// The encoded maintenance request.
    pub value: Vec<u8>,
}

/// The message in a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// To a voter: a request for a lease.
    LeaseRequest(LeaseRequest),
    /// From a voter: a reply to a lease request.
    LeaseReply(LeaseReply),
    /// To a voter: a request for a register.
    RegisterRequest(RegisterRequest),
    /// From a voter: a reply to a register request.
    RegisterReply(RegisterReply),
    /// A message of the failure detector, in its own encoding.
    FailureDetector(Vec<u8>),
    /// To the voters: a front's observations of the zones and its demand.
    FrontReport(FrontReport),
    /// From an operator: requests the failover plan from a voter.
    ShowPlan {
        /// Numbers of zones that the plan assumes lost; empty for the plan as it is.
        without: Vec<u32>,
    },
    /// The failover plan.
    PlanShown {
        /// The plan's version; none if no plan is known to be committed.
        version: Option<EntryVersion>,
        /// The zones, in the order of their numbers.
        zones: Vec<ZoneRow>,
        /// The request classes, in the order of their numbers.
        classes: Vec<ClassRow>,
        /// Numbers of the request classes, in the order in which their load is shed.
        shed_order: Vec<u8>,
    },
    /// To the voters: confirmations that a front has drained machines.
    DrainConfirmations(Vec<DrainConfirmation>),
    /// From an operator: requests the state of a maintenance request.
    ShowMaintenance {
        /// Number of the maintenance request.
        request: u8,
    },
    /// The state of a maintenance request.
    MaintenanceShown {
        /// Number of the maintenance request.
        request: u8,
        /// The committed request that this front follows; none if it knows of none.
        stored: Option<StoredRequest>,
        /// Whether this front is the maintenance coordinator.
        is_coordinator: bool,
        /// Why the request makes no progress; none if it does, or if this front is not the coordinator.
        blocked_reason: Option<String>,
    },
    /// From an operator: requests a page of members.
    ShowMembers {
        /// The page starts after this member.
        after: MemberCursor,
    },
    /// A page of members, ordered by name and incarnation.
    Members {
        /// At most `MAX_ROWS` rows.
        rows: Vec<MemberRow>,
        /// Whether more rows follow this page.
        more: bool,
    },
    /// From an operator: requests a page of registers from a voter.
    ShowRegisters {
        /// The page starts after the register of this name.
        after: String,
    },
    /// A page of registers, ordered by name.
    Registers {
        /// Whether the voter has its state and votes.
        is_voting: bool,
        /// The voter's current epoch.
        epoch: u64,
        /// At most `MAX_ROWS` rows.
        rows: Vec<RegisterRow>,
        /// Whether more rows follow this page.
        more: bool,
    },
    /// From an operator: requests a page of the leases that a voter has granted.
    ShowLeases {
        /// The page starts after the lease for this task.
        after: String,
    },
    /// A page of leases, ordered by task.
    Leases {
        /// Whether the voter was started recently and does not vote yet.
        is_silent: bool,
        /// At most `MAX_ROWS` rows.
        rows: Vec<LeaseRow>,
        /// Whether more rows follow this page.
        more: bool,
    },
    /// Requests that the holder of a task releases the task. An operator sends the message to a voter, which
    /// forwards it to the holder.
    HandOver {
        /// The task's name.
        task: String,
    },
}

/// The part of a front that a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Messages of the failure detector.
    FailureDetector,
    /// Lease requests and replies.
    Leases,
    /// Register requests and replies.
    Registers,
    /// Fronts' reports on zones and their drain confirmations.
    Reports,
    /// Messages between operators and fronts, and forwarded hand-over requests.
    Operators,
}

impl Body {
    /// The part of a front that the message belongs to.
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
