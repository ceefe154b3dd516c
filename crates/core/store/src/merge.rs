//! Three-way merge of a candidate with the commits made since the candidate's base version.
//!
//! A leaf that both sides changed to different values is a conflict, and so is a list entry that one side
//! deleted and the other changed. Everything else is merged.

use lemonusher_model::{Change, Place, Schema, Segment, Tree, diff};
use std::collections::{BTreeMap, BTreeSet};

/// The most conflicting paths that one error lists.
const MAX_NAMED_CONFLICTS: usize = 8;

/// Applies the changes from `base` to `ours` on top of `theirs`. Fails with the paths of the conflicts, at most
/// `MAX_NAMED_CONFLICTS` of them.
pub fn merge(schema: &Schema, base: &Tree, ours: &Tree, theirs: &Tree) -> Result<Tree, Vec<String>> {
    if theirs.is_same(base) || theirs == base {
        return Ok(ours.clone());
    }
    let our_changes = diff(base, ours);
    let their_changes = diff(base, theirs);
    let theirs_by_place: BTreeMap<&Place, &Change> =
        their_changes.iter().map(|change| (&change.place, change)).collect();
    let our_deletions = deleted_entries(schema, &our_changes);
    let their_deletions = deleted_entries(schema, &their_changes);
    let mut conflicts = BTreeSet::new();
    for change in &our_changes {
        let differs = theirs_by_place.get(&change.place).is_some_and(|theirs| theirs.new != change.new);
        if differs || (change.new.is_some() && is_within(&their_deletions, &change.place)) {
            conflicts.insert(&change.place);
        }
    }
    for change in &their_changes {
        if change.new.is_some() && is_within(&our_deletions, &change.place) {
            conflicts.insert(&change.place);
        }
    }
    if !conflicts.is_empty() {
        let named = conflicts.into_iter().take(MAX_NAMED_CONFLICTS);
        return Err(named.map(|place| schema.text(place)).collect());
    }
    let only_ours: Vec<Change> =
        our_changes.into_iter().filter(|change| !theirs_by_place.contains_key(&change.place)).collect();
    let mut merged = theirs.clone();
    merged.apply_changes(schema, &only_ours).map_err(|message| vec![message])?;
    Ok(merged)
}

/// The list entries that the changes delete: those whose key leaf is no longer set.
fn deleted_entries<'a>(schema: &Schema, changes: &'a [Change]) -> BTreeSet<&'a [Segment]> {
    let deletes_key = |change: &&Change| {
        change.new.is_none() && change.place.last().is_some_and(|last| schema.is_key(last.node))
    };
    changes.iter().filter(deletes_key).map(|change| &change.place[..change.place.len() - 1]).collect()
}

fn is_within(entries: &BTreeSet<&[Segment]>, place: &Place) -> bool {
    (1..=place.len()).any(|length| entries.contains(&place[..length]))
}
