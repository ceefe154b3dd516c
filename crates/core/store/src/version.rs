//! A version: one state that was in force, who committed it and why.

use lemonusher_model::{Change, Tree};
use std::fmt;

/// A manager's session, of any protocol. Zero is the front itself.
pub type SessionId = u32;

/// The datastores of RFC 8342.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    /// What is in force.
    Running,
    /// What is being edited.
    Candidate,
    /// What the front begins with.
    Startup,
}

/// What a commit came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// NETCONF over SSH.
    Netconf,
    /// gNMI.
    Gnmi,
    /// The front itself.
    Local,
}

impl Protocol {
    /// The name in the log and in the model's state.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Netconf => "netconf",
            Protocol::Gnmi => "gnmi",
            Protocol::Local => "local",
        }
    }
}

/// Who commits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// The manager's name.
    pub user: String,
    /// What the commit came by.
    pub protocol: Protocol,
    /// The manager's session.
    pub session: SessionId,
}

impl Author {
    /// The front itself.
    pub fn front() -> Author {
        Author { user: "front".to_owned(), protocol: Protocol::Local, session: 0 }
    }
}

/// Why there is a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It is the first one, or the startup datastore was put in force.
    Start,
    /// A manager committed a change.
    Commit,
    /// A confirmed commit was confirmed.
    Confirmed,
    /// A manager put an older version in force again.
    RolledBack {
        /// That version's number.
        to: u64,
    },
    /// A confirmed commit was not confirmed in time, or nobody is left who could confirm it.
    Expired {
        /// The version that was gone back to.
        to: u64,
    },
    /// A manager cancelled a confirmed commit.
    Cancelled {
        /// The version that was gone back to.
        to: u64,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Start => f.write_str("start"),
            Cause::Commit => f.write_str("commit"),
            Cause::Confirmed => f.write_str("confirmed"),
            Cause::RolledBack { to } => write!(f, "rolled back to {to}"),
            Cause::Expired { to } => write!(f, "not confirmed, back to {to}"),
            Cause::Cancelled { to } => write!(f, "cancelled, back to {to}"),
        }
    }
}

/// One state that is or was in force, and why.
#[derive(Debug, Clone)]
pub struct Version {
    /// Grows by one with each commit.
    pub number: u64,
    /// Unix time in milliseconds.
    pub committed_at_ms: u64,
    /// Who committed it.
    pub author: Author,
    /// Why there is the version.
    pub cause: Cause,
    /// All that was set.
    pub tree: Tree,
    /// From the version before.
    pub changes: Vec<Change>,
}
