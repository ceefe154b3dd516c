//! What an attempt proposes, given what a majority of voters has accepted before.

use super::Operation;
use crate::{Entry, EntryVersion};

/// What is proposed, and what that means for the change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Decision {
    /// None where nothing is there and nothing is to be written.
    pub(super) entry: Option<Entry>,
    /// The change has been made once this is committed; else another value is in its way.
    pub(super) is_success: bool,
}

/// `last`: what was accepted in the latest ballot that a majority knows; `epoch`: the highest that it knows.
pub(super) fn decide(operation: &Operation, last: Option<Entry>, epoch: u64) -> Decision {
    // After a majority has lost its memory an older value may be there: it must show the new epoch.
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
    // An earlier attempt of this change may have been committed although too few replies arrived.
    let next_counter = expected.map_or(0, |version| version.counter) + 1;
    let is_own = last.as_ref().is_some_and(|entry| {
        entry.version.counter == next_counter
            && entry.fencing_token == *fencing_token
            && entry.value == *value
    });
    Decision { entry: last, is_success: is_own }
}
