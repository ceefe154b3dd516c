//! Messages between lease clients and voters. Between fronts they are encoded with postcard: the order of variants and
//! fields is part of the protocol, their names are not.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A task of the fleet, such as `account` or `seat.17`; at most [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes.
pub type Task = String;

/// One run of one front. A front that has restarted is another incarnation, so it never takes over what it held before
/// without waiting as all others do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The front's name.
    pub name: String,
    /// Drawn at random at each start; `born` in what commands print.
    #[serde(rename = "born")]
    pub id: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{:08x}", self.name, self.id as u32)
    }
}

/// Orders attempts: by round, then by proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Counted up by each proposer.
    pub round: u64,
    /// The [`Incarnation::id`] of the proposer.
    pub proposer: u64,
}

/// From a lease client to a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Asks for a promise to accept no older ballot. Changes nothing while another client holds the task.
    Prepare {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
        /// Who asks.
        client: Incarnation,
    },
    /// Asks for the lease.
    Accept {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
        /// Who asks.
        client: Incarnation,
        /// The token under which the client would act.
        fencing_token: u64,
    },
    /// The client no longer acts on the task. Has no reply.
    Release {
        /// The task.
        task: Task,
        /// Who held it.
        client: Incarnation,
        /// Grants up to this token are released.
        fencing_token: u64,
    },
}

impl LeaseRequest {
    /// The task that is asked for.
    pub fn task(&self) -> &Task {
        match self {
            LeaseRequest::Prepare { task, .. }
            | LeaseRequest::Accept { task, .. }
            | LeaseRequest::Release { task, .. } => task,
        }
    }
}

/// From a voter to a lease client.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseReply {
    /// No older ballot is accepted from here on.
    Promise {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
        /// The highest token of the task that this voter knows.
        fencing_token: u64,
    },
    /// The voter has granted the lease.
    Accepted {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
    },
    /// Another client holds the task.
    Held {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
        /// Who holds it.
        holder: Incarnation,
        /// The holder's token.
        fencing_token: u64,
        /// How much longer, on the voter's clock.
        remaining: Duration,
    },
    /// A later ballot has been promised.
    StaleBallot {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
        /// The round of the later ballot.
        round: u64,
    },
    /// The voter started lately and does not vote yet, or has no capacity for another task.
    Silent {
        /// The task.
        task: Task,
        /// The attempt.
        ballot: Ballot,
        /// When to try again at the earliest, on the voter's clock.
        remaining: Duration,
    },
}

impl LeaseReply {
    /// The task that was asked for.
    pub fn task(&self) -> &Task {
        match self {
            LeaseReply::Promise { task, .. }
            | LeaseReply::Accepted { task, .. }
            | LeaseReply::Held { task, .. }
            | LeaseReply::StaleBallot { task, .. }
            | LeaseReply::Silent { task, .. } => task,
        }
    }

    /// The ballot of the request that this answers.
    pub fn ballot(&self) -> Ballot {
        match self {
            LeaseReply::Promise { ballot, .. }
            | LeaseReply::Accepted { ballot, .. }
            | LeaseReply::Held { ballot, .. }
            | LeaseReply::StaleBallot { ballot, .. }
            | LeaseReply::Silent { ballot, .. } => *ballot,
        }
    }
}
