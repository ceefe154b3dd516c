//! Compares the store with a reference model of plain maps of leaves, under random sequences of edits,
//! commits, closed sessions and crashes.

mod common;

use common::*;
use lemonusher_model::{Op, Schema};
use lemonusher_store::*;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

#[derive(Debug, Clone)]
enum Step {
    Edit { session: u8, target: u8, value: u8 },
    Set { session: u8, target: u8, value: u8, fails: bool },
    Commit { session: u8, confirmed: bool, fails: bool },
    Discard(u8),
    Lock(u8),
    Unlock(u8),
    CloseSession(u8),
    Wait(u8),
    RollBack(u8),
    Crash { length: u16 },
    Compact,
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let some = (0..3u8, 0..4u8, 0..3u8);
    prop_oneof![
        4 => some.prop_map(|(session, target, value)| Step::Edit { session, target, value }),
        3 => (0..3u8, 0..4u8, 0..3u8, prop::bool::weighted(0.2))
            .prop_map(|(session, target, value, fails)| Step::Set { session, target, value, fails }),
        3 => (0..3u8, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(session, confirmed, fails)| Step::Commit { session, confirmed, fails }),
        1 => (0..3u8).prop_map(Step::Discard),
        1 => (0..3u8).prop_map(Step::Lock),
        1 => (0..3u8).prop_map(Step::Unlock),
        1 => (0..3u8).prop_map(Step::CloseSession),
        1 => (0..8u8).prop_map(Step::Wait),
        1 => (0..6u8).prop_map(Step::RollBack),
        1 => (0..400u16).prop_map(|length| Step::Crash { length }),
        1 => Just(Step::Compact),
    ]
}

fn change(target: u8, value: u8) -> (Op, String, Option<String>) {
    match target {
        0 => (Op::Merge, LEVEL.to_owned(), Some(["warn", "debug", "error"][value as usize].to_owned())),
        1 => (Op::Merge, format!("/front/pool[name=p{value}]/admin-state"), Some("draining".to_owned())),
        2 => (Op::Merge, format!("/front/pool[name=p0]/cell[.={value}]"), Some(value.to_string())),
        _ => (Op::Remove, format!("/front/pool[name=p{value}]"), None),
    }
}

/// The reference model's edit.
fn reference_edit(map: &mut Leaves, target: u8, value: u8) {
    let (op, path, text) = change(target, value);
    if op == Op::Remove {
        map.retain(|leaf, _| !leaf.starts_with(&format!("{path}/")));
        return;
    }
    if let Some(end) = path.find(']') {
        let name = format!("p{}", if target == 2 { 0 } else { value });
        map.insert(format!("{}/name", &path[..=end]), name);
    }
    map.insert(path, text.unwrap());
}

/// The reference model's three-way merge, which compares paths and path prefixes as text; `None` for a
/// conflict.
fn reference_merge(base: &Leaves, ours: &Leaves, theirs: &Leaves) -> Option<Leaves> {
    let all: BTreeSet<&String> = base.keys().chain(ours.keys()).chain(theirs.keys()).collect();
    let deleted_entries = |map: &Leaves| -> Vec<String> {
        base.keys()
            .filter(|path| path.ends_with("/name") && !map.contains_key(*path))
            .map(|path| path.trim_end_matches("name").to_owned())
            .collect()
    };
    let (our_deletions, their_deletions) = (deleted_entries(ours), deleted_entries(theirs));
    let mut merged = Leaves::new();
    for path in all {
        let (b, o, t) = (base.get(path), ours.get(path), theirs.get(path));
        let below = |deleted_entries: &[String]| deleted_entries.iter().any(|entry| path.starts_with(entry));
        if (o != b && t != b && o != t)
            || (o != b && o.is_some() && below(&their_deletions))
            || (t != b && t.is_some() && below(&our_deletions))
        {
            return None;
        }
        if let Some(value) = if o != b { o } else { t } {
            merged.insert(path.clone(), value.clone());
        }
    }
    Some(merged)
}

#[derive(Default)]
struct Reference {
    versions: Vec<Leaves>,
    candidate: Option<(Leaves, Leaves)>,
    locked: Option<u8>,
    pending: Option<(u8, usize, u64)>,
}

impl Reference {
    fn running(&self) -> &Leaves {
        self.versions.last().unwrap()
    }

    fn push_version(&mut self, next: Leaves) {
        self.versions.push(next);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn any_order_of_steps_agrees_with_the_reference(steps in prop::collection::vec(step_strategy(), 1..60)) {
        let schema = Arc::new(Schema::front().unwrap());
        let bounds = Bounds { history: 1000, sessions: 8 };
        let mut store = Store::new(schema.clone(), bounds);
        let open = |store: &mut Store| -> Vec<SessionId> {
            (0..3).map(|_| store.open_session("x", Protocol::Netconf).unwrap()).collect()
        };
        let mut ids = open(&mut store);
        let mut log = HEADER.to_vec();
        let mut reference = Reference { versions: vec![Leaves::new()], ..Reference::default() };
        let mut now = 0u64;
        for step in steps {
            let at = secs(now);
            // Logs and finishes a plan, or abandons it. Returns whether it was finished.
            let mut complete = |store: &mut Store, plan: CommitPlan, fails: bool| {
                if fails {
                    store.abandon_commit(&plan);
                } else {
                    log.extend(encode_record(&Record::commit(store.schema(), &plan)));
                    store.finish_commit(plan);
                }
                !fails
            };
            match step.clone() {
                Step::Edit { session, target, value } => {
                    let (op, path, text) = change(target, value);
                    let edits = [edit(&schema, op, &path, text.as_deref())];
                    let accepted = store.edit_candidate(ids[session as usize], &edits, ErrorOption::Rollback).is_ok();
                    let allowed = reference.locked.is_none_or(|by| by == session);
                    prop_assert_eq!(accepted, allowed);
                    if allowed {
                        let running = reference.running().clone();
                        let (base, mut tree) = reference.candidate.take().unwrap_or((running.clone(), running));
                        reference_edit(&mut tree, target, value);
                        reference.candidate = Some((base, tree)).filter(|(base, tree)| base != tree);
                    }
                }
                Step::Set { session, target, value, fails } => {
                    let (op, path, text) = change(target, value);
                    let edits = [edit(&schema, op, &path, text.as_deref())];
                    let planned = store.edit_running(ids[session as usize], &edits, &CommitOptions::default(), at, 0);
                    let allowed = reference.pending.is_none_or(|(by, ..)| by == session);
                    prop_assert_eq!(planned.is_ok(), allowed, "{:?}", step);
                    if let Ok(Some(plan)) = planned
                        && complete(&mut store, plan, fails)
                    {
                        let mut next = reference.running().clone();
                        reference_edit(&mut next, target, value);
                        reference.push_version(next);
                        reference.pending = None;
                    }
                }
                Step::Commit { session, confirmed, fails } => {
                    let options = CommitOptions { confirm_timeout: confirmed.then_some(secs(5)), ..CommitOptions::default() };
                    let planned = store.commit(ids[session as usize], &options, at, 0);
                    let merged = match &reference.candidate {
                        None => Some(reference.running().clone()),
                        Some((base, tree)) => reference_merge(base, tree, reference.running()),
                    };
                    let allowed = reference.locked.is_none_or(|by| by == session)
                        && reference.pending.is_none_or(|(by, ..)| by == session)
                        && merged.is_some();
                    prop_assert_eq!(planned.is_ok(), allowed, "{:?} {:?}", step, planned);
                    if let Ok(Some(plan)) = planned
                        && complete(&mut store, plan, fails)
                    {
                        let revert = reference.pending.map_or(reference.versions.len() - 1, |(_, to, _)| to);
                        reference.push_version(merged.unwrap());
                        reference.candidate = None;
                        reference.pending = confirmed.then_some((session, revert, now + 5));
                    }
                }
                Step::Discard(session) => {
                    let accepted = store.discard_candidate(ids[session as usize]).is_ok();
                    prop_assert_eq!(accepted, reference.locked.is_none_or(|by| by == session));
                    if accepted {
                        reference.candidate = None;
                    }
                }
                Step::Lock(session) => {
                    let accepted = store.lock(ids[session as usize], Datastore::Candidate).is_ok();
                    prop_assert_eq!(accepted, reference.locked.is_none() && reference.candidate.is_none());
                    if accepted {
                        reference.locked = Some(session);
                    }
                }
                Step::Unlock(session) => {
                    let accepted = store.unlock(ids[session as usize], Datastore::Candidate).is_ok();
                    prop_assert_eq!(accepted, reference.locked == Some(session));
                    if accepted {
                        (reference.locked, reference.candidate) = (None, None);
                    }
                }
                Step::CloseSession(session) => {
                    store.close_session(ids[session as usize]);
                    ids[session as usize] = store.open_session("x", Protocol::Netconf).unwrap();
                    if reference.locked == Some(session) {
                        (reference.locked, reference.candidate) = (None, None);
                    }
                    if let Some((by, to, _)) = reference.pending && by == session {
                        let plan = store.poll_timeout(at, 0).unwrap();
                        complete(&mut store, plan, false);
                        reference.push_version(reference.versions[to].clone());
                        reference.pending = None;
                    }
                }
                Step::Wait(seconds) => {
                    now += u64::from(seconds);
                    let due = store.poll_timeout(secs(now), 0);
                    let expired = reference.pending.filter(|(.., until)| *until <= now);
                    prop_assert_eq!(due.is_some(), expired.is_some());
                    if let (Some(plan), Some((_, to, _))) = (due, expired) {
                        complete(&mut store, plan, false);
                        reference.push_version(reference.versions[to].clone());
                        reference.pending = None;
                    }
                }
                Step::RollBack(versions_back) => {
                    let last = reference.versions.len() - 1;
                    let to = last.saturating_sub(versions_back as usize);
                    let oldest = store.history().next().unwrap().number;
                    let planned = store.roll_back(ids[0], to as u64, &CommitOptions::default(), at, 0);
                    let allowed = reference.pending.is_none_or(|(by, ..)| by == 0) && to as u64 >= oldest;
                    prop_assert_eq!(planned.is_ok(), allowed);
                    if let Ok(Some(plan)) = planned {
                        complete(&mut store, plan, false);
                        reference.push_version(reference.versions[to].clone());
                        reference.pending = None;
                    }
                }
                Step::Crash { length } => {
                    // The crash happens while a commit is written to the log: only its first bytes are in the log,
                    // or it is complete but not yet acknowledged. While a confirmed commit is pending, the crash
                    // happens between commits.
                    let edits = [edit(&schema, Op::Merge, LEVEL, Some("trace"))];
                    let planned = match reference.pending {
                        None => store.edit_running(ids[0], &edits, &CommitOptions::default(), at, 0),
                        Some(_) => Ok(None),
                    };
                    if let Ok(Some(plan)) = planned {
                        let bytes = encode_record(&Record::commit(&schema, &plan));
                        let written = (length as usize).min(bytes.len());
                        log.extend(&bytes[..written]);
                        if written == bytes.len() {
                            let mut next = reference.running().clone();
                            next.insert(LEVEL.to_owned(), "trace".to_owned());
                            reference.push_version(next);
                        }
                    }
                    let recovered = recover(schema.clone(), bounds, &log).unwrap();
                    log.truncate(recovered.valid_length.max(HEADER.len()));
                    store = recovered.store;
                    ids = open(&mut store);
                    (reference.candidate, reference.locked) = (None, None);
                    let due = store.poll_timeout(at, 0);
                    prop_assert_eq!(due.is_some(), reference.pending.is_some());
                    if let (Some(plan), Some((_, to, _))) = (due, reference.pending.take()) {
                        log.extend(encode_record(&Record::commit(&schema, &plan)));
                        store.finish_commit(plan);
                        reference.push_version(reference.versions[to].clone());
                    }
                }
                Step::Compact => {
                    log = compact(&store);
                    let recovered = recover(schema.clone(), bounds, &log).unwrap().store;
                    prop_assert_eq!(&recovered.running().tree, &store.running().tree);
                    prop_assert_eq!(recovered.history().count(), store.history().count());
                    prop_assert_eq!(recovered.pending().is_some(), store.pending().is_some());
                }
            }
            prop_assert_eq!(&leaves(&store, &store.running().tree), reference.running(), "{:?}", step);
            let candidate = leaves(&store, store.tree(ids[0], Datastore::Candidate).unwrap());
            let expected = reference.candidate.as_ref().map_or(reference.running(), |(_, tree)| tree);
            prop_assert_eq!(&candidate, expected, "{:?}", step);
        }
    }
}
