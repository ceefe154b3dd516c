//! Messages between lease clients and voters. Between fronts they are encoded with postcard: the order of variants and
//! fields is part of the protocol, their names are not.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// The name of a task of the fleet, such as `account` or `seat.17`; at most
/// [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes.
pub type Task = String;

/// One incarnation of one front. A front that restarts is another incarnation, so it has to wait for the leases
/// that it held before to expire, as all other fronts do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The front's name.
    pub name: String,
    /// A random number, drawn at each start. Commands print it under the key `born`.
    #[serde(rename = "born")]
    pub id: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{:08x}", self.name, self.id as u32)
    }
}

/// The ballot number of an attempt. Ballots are ordered by round, then by proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// A number that each proposer raises with each attempt.
    pub round: u64,
    /// The [`Incarnation::id`] of the proposer. It makes the ballots of different proposers distinct.
    pub proposer: u64,
}

/// A request from a lease client to a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Asks for a promise to accept no lower ballot. A voter gives none while it has granted the task to another
    /// client.
    Prepare {
        /// The task to acquire.
        task: Task,
        /// The ballot of the attempt.
        ballot: Ballot,
        /// The client that would hold the task.
        client: Incarnation,
    },
    /// Asks the voter to grant the lease.
    Accept {
        /// The task to acquire or renew.
        task: Task,
        /// The ballot of the attempt.
        ballot: Ballot,
        /// The client that would hold the task.
        client: Incarnation,
        /// The fencing token under which the client would act.
        fencing_token: u64,
    },
    /// Releases the grants of a client that no longer acts on the task. Has no reply.
    Release {
        /// The task to release.
        task: Task,
        /// The client that held the task.
        client: Incarnation,
        /// The highest token to release; a grant under a higher one stays.
        fencing_token: u64,
    },
}

impl LeaseRequest {
    /// The task that the request is about.
    pub fn task(&self) -> &Task {
        match self {
            LeaseRequest::Prepare { task, .. }
            | LeaseRequest::Accept { task, .. }
            | LeaseRequest::Release { task, .. } => task,
        }
    }
}

/// A reply from a voter to a lease client.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The voter accepts no lower ballot from now on.
    Promise {
        /// The task of the request.
        task: Task,
        /// The ballot of the request.
        ballot: Ballot,
        /// The highest fencing token of the task that this voter knows.
        fencing_token: u64,
    },
    /// The voter has granted the lease.
    Accepted {
        /// The task of the request.
        task: Task,
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// Another client holds the task.
    Held {
        /// The task of the request.
        task: Task,
        /// The ballot of the request.
        ballot: Ballot,
        /// The client that holds the task.
        holder: Incarnation,
        /// The holder's fencing token.
        fencing_token: u64,
        /// Time until the grant expires, on the voter's clock.
        remaining: Duration,
    },
    /// The voter has promised a higher ballot.
    StaleBallot {
        /// The task of the request.
        task: Task,
        /// The ballot of the request.
        ballot: Ballot,
        /// The round of the promised ballot.
        round: u64,
    },
    /// The voter does not vote: it has started recently, has no capacity for another task, or the task's name is
    /// empty or too long.
    Silent {
        /// The task of the request.
        task: Task,
        /// The ballot of the request.
        ballot: Ballot,
        /// Time after which the client may retry, on the voter's clock.
        remaining: Duration,
    },
}

impl LeaseReply {
    /// The task of the request that this replies to.
    pub fn task(&self) -> &Task {
        match self {
            LeaseReply::Promise { task, .. }
            | LeaseReply::Accepted { task, .. }
            | LeaseReply::Held { task, .. }
            | LeaseReply::StaleBallot { task, .. }
            | LeaseReply::Silent { task, .. } => task,
        }
    }

    /// The ballot of the request that this replies to.
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
