//! The errors of the store's operations. Their texts are sent to NETCONF and gNMI clients, so they
//! stay, older words included.

use crate::SessionId;
use lemonusher_model::Fault;
use std::fmt;

/// The reason for which an operation was refused. The store is unchanged, except by an edit of a candidate with
/// [`ErrorOption::Stop`](crate::ErrorOption::Stop) or [`ErrorOption::Continue`](crate::ErrorOption::Continue).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No session with the given id is open.
    UnknownSession,
    /// The limit of open sessions is reached.
    TooManySessions,
    /// This session holds the lock of the datastore.
    Locked(SessionId),
    /// The datastore to unlock is not locked.
    NotLocked,
    /// The shared candidate can't be locked because it holds uncommitted changes.
    Modified,
    /// A confirmed commit of this session has yet to be confirmed.
    Pending(SessionId),
    /// The session or the given `persist` id has no pending confirmed commit.
    NothingPending,
    /// The pending confirmed commit accepts no further follow-up: the history is full, and its oldest version
    /// is the one that the pending commit would revert to.
    TooManyFollowUps,
    /// The running version is not the one that the client expected.
    Stale {
        /// The version number that the client expected.
        expected: u64,
        /// The number of the running version.
        running: u64,
    },
    /// The candidate and later commits to running changed the same nodes; the paths of these nodes.
    Conflict(Vec<String>),
    /// Another commit is in progress.
    Busy,
    /// The edit or the tree is not valid against the YANG model.
    Faults(Vec<Fault>),
    /// The history holds no version with this number.
    NoVersion(u64),
    /// There is no startup datastore.
    NoStartup,
    /// The commit failed: a part of the front declined it or did not answer, or the log could not be written;
    /// the message.
    Failed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::UnknownSession => f.write_str("there is no such session"),
            StoreError::TooManySessions => f.write_str("there are as many sessions as there may be"),
            StoreError::Locked(session) => write!(f, "locked by session {session}"),
            StoreError::NotLocked => f.write_str("the session holds no such lock"),
            StoreError::Modified => f.write_str("the candidate holds changes that are not committed"),
            StoreError::Pending(session) => {
                write!(f, "a confirmed commit of session {session} waits to be confirmed")
            }
            StoreError::NothingPending => f.write_str("no such commit waits to be confirmed"),
            StoreError::TooManyFollowUps => f.write_str("confirm or cancel first: no more may follow"),
            StoreError::Stale { expected, running } => {
                write!(f, "version {running} is in force, not {expected}")
            }
            StoreError::Conflict(places) => write!(f, "changed meanwhile: {}", places.join(", ")),
            StoreError::Busy => f.write_str("another commit is on its way"),
            StoreError::Faults(faults) => {
                let all: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
                f.write_str(&all.join("; "))
            }
            StoreError::NoVersion(number) => write!(f, "there is no version {number} to go back to"),
            StoreError::NoStartup => f.write_str("there is no startup datastore"),
            StoreError::Failed(reason) => f.write_str(reason),
        }
    }
}

impl From<Fault> for StoreError {
    fn from(fault: Fault) -> Self {
        StoreError::Faults(vec![fault])
    }
}
