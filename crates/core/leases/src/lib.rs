//! Leases on fleet-wide tasks. A majority of a few stated voters grants a task to one front for a while; no clock is
//! trusted but for its rate, and no voter needs a disk. docs/leases.md gives the options and the proof.
//!
//! Nothing here opens sockets or reads clocks: time is a span since any origin of the process, chance is an argument.
//! [`Voter`] answers asks, [`Asker`] asks and holds, [`Quota slots`] says which tasks a front wants.

mod client;
mod quota;
mod voter;

pub use client::{LeaseChange, LeaseClient, LeaseState, OutboundMessage};
pub use quota::{QuotaSlots, quota};
pub use voter::{Grant, Voter};

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A task of the fleet, such as `account` or `quota slot.17`; at most [`LONGEST_NAME`] bytes.
pub type Task = String;
/// A task's name in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Tasks that a voter keeps at most; what is asked beyond is refused.
pub const MAX_TASKS: usize = 4096;

/// One incarnation of one front: its name, and a number drawn anew at each start. A front that has restarted is another,
/// so that it never takes over what it held before without waiting as everybody does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    pub name: String,
    pub id: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{:08x}", self.name, self.id as u32)
    }
}

/// The order of attempts: by round, then by who attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: u64,
}

/// What all fronts and voters of a fleet must state alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// For how long a lease is granted.
    pub duration: Duration,
    /// By how many thousandths a clock may run fast or slow against true time; under 500.
    pub clock_drift_permille: u32,
    /// How long an act may take where what is acted upon can't refuse an older number.
    pub max_action_time: Duration,
}

impl LeaseConfig {
    /// For how long a voter counts what it has granted as held, on its own clock: however fast that runs, and however
    /// slow the holder's, the holder's lease has ended by then.
    pub fn voter_hold_time(&self) -> Duration {
        self.with_drift(self.duration)
    }

    /// A span on one clock that is sure to be as long as `span` on any other.
    pub fn with_drift(&self, span: Duration) -> Duration {
        span * (1000 + self.clock_drift_permille) / (1000 - self.clock_drift_permille).max(1)
    }

    /// What is wrong with them, if anything.
    pub fn wrong(&self) -> Option<&'static str> {
        if self.duration < Duration::from_millis(100) || self.duration > Duration::from_secs(600) {
            return Some("a lease lasts from 100 ms to 10 minutes");
        }
        (self.clock_drift_permille >= 500).then_some("a clock's drift is under 500 thousandths")
    }
}

/// What a lease client sends to a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// May I attempt this? Changes nothing while another holds it.
    Prepare { task: Task, ballot: Ballot, client: Incarnation },
    /// Grant it, under this number.
    Accept { task: Task, ballot: Ballot, client: Incarnation, fencing_token: u64 },
    /// I no longer act on it.
    Release { task: Task, client: Incarnation, fencing_token: u64 },
}

/// What a voter answers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseReply {
    /// No older attempt is let in from here on. The highest number known of the task goes with it.
    Promise {
        task: Task,
        ballot: Ballot,
        fencing_token: u64,
    },
    Accepted {
        task: Task,
        ballot: Ballot,
    },
    /// Another holds it, for so much longer by the voter's clock.
    Held {
        task: Task,
        ballot: Ballot,
        holder: Incarnation,
        fencing_token: u64,
        remaining: Duration,
    },
    /// A later attempt is under way, of this round.
    StaleBallot {
        task: Task,
        ballot: Ballot,
        round: u64,
    },
    /// It has started lately and does not vote yet, or has no room.
    Silent {
        task: Task,
        ballot: Ballot,
        remaining: Duration,
    },
}

impl LeaseReply {
    pub fn task(&self) -> (&Task, Ballot) {
        match self {
            LeaseReply::Promise { task, ballot, .. }
            | LeaseReply::Accepted { task, ballot }
            | LeaseReply::Held { task, ballot, .. }
            | LeaseReply::StaleBallot { task, ballot, .. }
            | LeaseReply::Silent { task, ballot, .. } => (task, *ballot),
        }
    }
}

impl LeaseRequest {
    pub fn task(&self) -> &Task {
        match self {
            LeaseRequest::Prepare { task, .. }
            | LeaseRequest::Accept { task, .. }
            | LeaseRequest::Release { task, .. } => task,
        }
    }
}
