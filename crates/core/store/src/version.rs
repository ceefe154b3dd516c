//! Versions of the running configuration, each with its author and cause.

use lemonusher_model::{Change, Tree};
use std::fmt;

/// Id of a management client's session, of any protocol. 0 stands for the front itself.
pub type SessionId = u32;

/// The configuration datastores (RFC 8342, section 5).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    /// The configuration that the front currently uses.
    Running,
    /// A working copy that clients edit and then commit to running.
    Candidate,
    /// The configuration that is loaded into running at the start of a front that is set to do so.
    Startup,
}

/// The protocol over which a commit was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// NETCONF over SSH.
    Netconf,
    /// gNMI.
    Gnmi,
    /// No protocol: the front itself committed.
    Local,
}

impl Protocol {
    /// The name in the log and in the model's state data.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Netconf => "netconf",
            Protocol::Gnmi => "gnmi",
            Protocol::Local => "local",
        }
    }
}

/// The author of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// The management client's user name.
    pub user: String,
    /// The protocol of the session.
    pub protocol: Protocol,
    /// The management client's session.
    pub session: SessionId,
}

impl Author {
    /// The front itself as author, with session 0.
    pub fn front() -> Author {
        Author { user: "front".to_owned(), protocol: Protocol::Local, session: 0 }
    }
}

/// The reason for which a version was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It is the initial version, or the startup datastore was loaded into running.
    Start,
    /// A management client committed a change, or extended the timeout of a confirmed commit.
    Commit,
    /// A confirmed commit was confirmed.
    Confirmed,
    /// A management client rolled back to an older version.
    RolledBack {
        /// The older version's number.
        to: u64,
    },
    /// A confirmed commit was reverted because it was not confirmed before its deadline, or because no client
    /// remained that could confirm it.
    Expired {
        /// The number of the version that was restored.
        to: u64,
    },
    /// A management client cancelled a confirmed commit.
    Cancelled {
        /// The number of the version that was restored.
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

/// One state that is or was the running configuration.
#[derive(Debug, Clone)]
pub struct Version {
    /// The version number; it grows by one with each commit.
    pub number: u64,
    /// Unix time in milliseconds.
    pub committed_at_ms: u64,
    /// The author of the commit.
    pub author: Author,
    /// The reason for which the version was created.
    pub cause: Cause,
    /// The complete configuration, without defaults.
    pub tree: Tree,
    /// The differences from the previous version.
    pub changes: Vec<Change>,
}
