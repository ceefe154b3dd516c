//! Why the store refuses a call.

use crate::SessionId;
use lemonusher_model::Fault;
use std::fmt;

/// Why something is not done. Nothing has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    UnknownSession,
    TooManySessions,
    /// A lock of this session's stands against it.
    Locked(SessionId),
    NotLocked,
    /// The candidate holds changes that are not committed.
    Modified,
    /// A confirmed commit of this session's, or of an id, waits.
    Pending(SessionId),
    NothingPending,
    /// More follow-ups to a confirmed commit than there is history.
    TooManyFollowUps,
    Stale {
        expected: u64,
        running: u64,
    },
    /// Both sides changed these.
    Conflict(Vec<String>),
    /// Another commit is on its way.
    Busy,
    Faults(Vec<Fault>),
    NoVersion(u64),
    NoStartup,
    /// A part declined, or the log failed.
    Failed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::UnknownSession => f.write_str("there is no such session"),
            StoreError::TooManySessions => f.write_str("there are as many sessions as there may be"),
            StoreError::Locked(by) => write!(f, "locked by session {by}"),
            StoreError::NotLocked => f.write_str("the session holds no such lock"),
            StoreError::Modified => f.write_str("the candidate holds changes that are not committed"),
            StoreError::Pending(by) => write!(f, "a confirmed commit of session {by} waits to be confirmed"),
            StoreError::NothingPending => f.write_str("no such commit waits to be confirmed"),
            StoreError::TooManyFollowUps => f.write_str("confirm or cancel first: no more may follow"),
            StoreError::Stale { expected: seen, running: now } => {
                write!(f, "version {now} is in force, not {seen}")
            }
            StoreError::Conflict(places) => write!(f, "changed meanwhile: {}", places.join(", ")),
            StoreError::Busy => f.write_str("another commit is on its way"),
            StoreError::Faults(faults) => {
                let all: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
                f.write_str(&all.join("; "))
            }
            StoreError::NoVersion(number) => write!(f, "there is no version {number} to go back to"),
            StoreError::NoStartup => f.write_str("there is no startup datastore"),
            StoreError::Failed(why) => f.write_str(why),
        }
    }
}

impl From<Fault> for StoreError {
    fn from(fault: Fault) -> Self {
        StoreError::Faults(vec![fault])
    }
}
