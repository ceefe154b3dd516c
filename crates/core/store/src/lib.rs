//! What operators want of a front, as state that several managers and crashes can't tear: datastores, locks,
//! commits in one total order whatever door they come by, history, and the log from which all of it comes back.
//! Nothing here does input or output; spans count from the caller's origin, dates are Unix times it hands in.
//!
//! A commit goes through three hands. The [`Store`] plans it and holds the place in the order; a [`Round`] asks
//! every part that it touches to prepare, has it logged, and has all parts switch; the store then takes it as
//! done. Until it is logged, whatever fails leaves the old state whole. Once it is logged it stands.

mod error;
mod log;
mod merge;
mod recover;
mod store;
mod two_phase;
mod version;

pub use error::StoreError;
pub use log::{HEADER, LogContents, LogCorruption, Record, encode_record, read_log};
pub use merge::merge;
pub use recover::{Recovered, RecoveryError, compact, recover};
pub use store::{
    Bounds, CommitOptions, CommitPlan, Edit, ErrorOption, PendingConfirmation, Session, StartupPlan, Store,
};
pub use two_phase::{CommitAction, CommitEvent, TwoPhaseCommit};
pub use version::{Author, Cause, Datastore, Protocol, SessionId, Version};
