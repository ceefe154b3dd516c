//! A version: one state that was in force, who committed it and why.

use lemonusher_model::{Change, Tree};
use std::fmt;

/// A manager's session, of whatever protocol. Zero is the front itself.
pub type SessionId = u32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    Netconf,
    Gnmi,
    /// The front itself.
    Local,
}

impl Protocol {
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
    pub user: String,
    pub protocol: Protocol,
    pub session: SessionId,
}

impl Author {
    pub fn front() -> Author {
        Author { user: "front".to_owned(), protocol: Protocol::Local, session: 0 }
    }
}

/// Why there is a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The first one, or the one that a start began with.
    Start,
    Commit,
    /// A confirmed commit was confirmed.
    Confirmed,
    RolledBack {
        to: u64,
    },
    /// A confirmed commit's time ran out, or who might have confirmed it has gone.
    Expired {
        to: u64,
    },
    Cancelled {
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

/// One state that was in force, and how it came to be.
#[derive(Debug, Clone)]
pub struct Version {
    pub number: u64,
    /// Unix time in milliseconds.
    pub committed_at_ms: u64,
    pub author: Author,
    pub cause: Cause,
    pub tree: Tree,
    /// From the version before.
    pub changes: Vec<Change>,
}
