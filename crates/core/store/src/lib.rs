//! What operators want of a front, as state that several managers and crashes can't tear: datastores, locks, commits in one
//! total order whatever protocol they come by, history, and the log from which all of it is recovered. Nothing here does
//! input or output; times count from the caller's origin, dates are Unix times that it passes in.
//!
//! A commit has three steps. The [`Store`] plans it and reserves its place in the order; a [`TwoPhaseCommit`] has every part
//! that it touches prepare, has it logged, and has all parts activate it; the store then finishes it. Until it is logged,
//! any failure leaves the old state as it was. Once it is logged it stands.

#![warn(missing_docs)]

mod error;
mod log;
mod merge;
mod recover;
mod store;
mod two_phase;
mod version;

pub use error::StoreError;
pub use log::{
    Corruption, HEADER, LeafChange, LogContents, LogCorruption, PendingMeta, Record, RecordError,
    VersionMeta, encode_record, read_log,
};
pub use merge::merge;
pub use recover::{Recovered, RecoveryError, compact, recover};
pub use store::{
    Bounds, CommitOptions, CommitPlan, Edit, ErrorOption, PendingConfirmation, Session, StartupPlan, Store,
};
pub use two_phase::{CommitAction, CommitEvent, CommitFailure, TwoPhaseCommit};
pub use version::{Author, Cause, Datastore, Protocol, SessionId, Version};
