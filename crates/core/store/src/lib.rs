//! Transactional store of a front's configuration: datastores, locks, commits, history, and the write-ahead
//! log. The history, the startup datastore and a pending confirmed commit are recovered from the log; sessions,
//! locks and candidates are not logged. Concurrent management clients and crashes leave no partial change in running.
//! Commits have one total order across all protocols. The crate does no I/O. `now` is a duration since an
//! origin that the caller chooses, dates are Unix times that the caller passes in.
//!
//! A commit has three steps. The [`Store`] plans it and reserves its version number; a [`TwoPhaseCommit`] has
//! every part of the front prepare it, has it logged, and has all parts activate it; the store then finishes
//! it. A commit that fails before it is logged leaves the old state unchanged. Once it is logged, it is
//! durable and is not undone.

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
