//! Chooses the entry that an attempt proposes, from the operation and the entry that a majority of voters
//! accepted last.

use super::Operation;
use crate::{Entry, EntryVersion};

/// The entry that an attempt proposes, and the outcome of the change once it is committed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Decision {
    /// None if the register is empty and nothing is to be written.
    pub(super) entry: Option<Entry>,
    /// Whether the operation has succeeded once `entry` is committed. If not, `entry` is the current value, which
    /// conflicts with the operation; none if the register is empty.
    pub(super) is_success: bool,
}

/// `last` is the entry accepted in the highest ballot that a majority reported; `epoch` is the highest reported
/// epoch.
pub(super) fn decide(operation: &Operation, last: Option<Entry>, epoch: u64) -> Decision {
    // After a majority has lost its memory, the current value may be an older one, so its version must have the
    // new epoch.
    let last = last.map(|mut entry| {
        entry.version.epoch = entry.version.epoch.max(epoch);
        entry
    });
    let Operation::CompareAndSet { expected, fencing_token, value } = operation else {
        return Decision { entry: last, is_success: true };
    };
    let current = last.as_ref().map(|entry| entry.version);
    let is_fenced = last.as_ref().is_some_and(|entry| entry.fencing_token > *fencing_token);
    if current == *expected && !is_fenced {
        let version = EntryVersion {
            epoch: current.map_or(epoch, |version| version.epoch),
            counter: current.map_or(0, |version| version.counter) + 1,
        };
        let entry = Entry { version, fencing_token: *fencing_token, value: value.clone() };
        return Decision { entry: Some(entry), is_success: true };
    }
    // An earlier attempt of the same change may have been committed although too few replies arrived.
    let next_counter = expected.map_or(0, |version| version.counter) + 1;
    let is_own = last.as_ref().is_some_and(|entry| {
        entry.version.counter == next_counter
            && entry.fencing_token == *fencing_token
            && entry.value == *value
    });
    Decision { entry: last, is_success: is_own }
}
