//! Why the store refuses a call.

use crate::SessionId;
use lemonusher_model::Fault;
use std::fmt;

/// Why a call is refused. Nothing has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// There is no session of this id.
    UnknownSession,
    /// There are as many sessions as there may be.
    TooManySessions,
    /// This session holds a lock.
    Locked(SessionId),
    /// The session holds no such lock.
    NotLocked,
    /// The candidate holds changes that are not committed.
    Modified,
    /// A confirmed commit of this session waits to be confirmed.
    Pending(SessionId),
    /// No commit of this session or id waits to be confirmed.
    NothingPending,
    /// More follow-ups to a confirmed commit than the history holds.
    TooManyFollowUps,
    /// Another version is running than the writer expected.
    Stale {
        /// The version that the writer has seen.
        expected: u64,
        /// The version that is running.
        running: u64,
    },
    /// The candidate and what is running changed the same places, which these paths name.
    Conflict(Vec<String>),
    /// Another commit is in progress.
    Busy,
    /// The edit or the tree does not fit the model.
    Faults(Vec<Fault>),
    /// The history holds no version of this number.
    NoVersion(u64),
    /// There is no startup datastore.
    NoStartup,
    /// A part declined the commit, or the log could not be written; its message.
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
