//! The store against a plain reference, through any order of edits, commits, lost sessions and crashes; its log
//! cut at every byte; a round through every order of what may happen.

use lemonusher_model::{Fault, FaultKind, Found, Node, Op, Schema, Tree, parse_path};
use lemonusher_store::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const BOUNDS: Bounds = Bounds { history: 5, sessions: 8 };

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn a_store() -> Store {
    Store::new(Arc::new(Schema::front().unwrap()), BOUNDS)
}

fn edit(schema: &Schema, op: Op, path: &str, value: Option<&str>) -> Edit {
    let place = schema.place(&parse_path(path).unwrap()).unwrap();
    Edit { op, place, value: value.map(|value| Node::Leaf(value.into())) }
}

fn set(store: &Store, path: &str, value: &str) -> Edit {
    edit(store.schema(), Op::Merge, path, Some(value))
}

fn leaf(store: &Store, tree: &Tree, path: &str) -> Option<String> {
    let place = store.schema().place(&parse_path(path).unwrap()).unwrap();
    match tree.get(&place) {
        Some(Found::Leaf(value)) => Some(value.to_string()),
        _ => None,
    }
}

fn leaves(store: &Store, tree: &Tree) -> Leaves {
    let mut found = BTreeMap::new();
    tree.each(|place, value| drop(found.insert(store.schema().text(place), value.to_string())));
    found
}

/// Commits what the session has in its candidate.
fn commit(
    store: &mut Store,
    session: SessionId,
    terms: CommitOptions,
    now: Duration,
) -> Result<(), StoreError> {
    if let Some(plan) = store.commit(session, &terms, now, 0)? {
        store.finish_commit(plan);
    }
    Ok(())
}

const LEVEL: &str = "/front/log-level";

#[test]
fn what_one_manager_locked_another_may_not_change() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Gnmi).unwrap();
    store.lock(a, Datastore::Running).unwrap();
    assert_eq!(store.lock(b, Datastore::Running), Err(StoreError::Locked(a)));
    let change = [set(&store, LEVEL, "warn")];
    let refused = store.edit_running(b, &change, &CommitOptions::default(), secs(0), 0).unwrap_err();
    assert_eq!(refused, StoreError::Locked(a));
    // A holder that dies lets go.
    store.close_session(a);
    let plan = store.edit_running(b, &change, &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
    store.finish_commit(plan);
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("warn"));
    assert_eq!(store.unlock(b, Datastore::Running), Err(StoreError::NotLocked));
    assert_eq!(store.lock(a, Datastore::Running), Err(StoreError::UnknownSession));
}

#[test]
fn a_candidate_dies_with_the_session_that_locked_it() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Netconf).unwrap();
    store.lock(a, Datastore::Candidate).unwrap();
    let change = [set(&store, LEVEL, "warn")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    assert_eq!(store.edit_candidate(b, &change, ErrorOption::Rollback), Err(StoreError::Locked(a)));
    assert_eq!(commit(&mut store, b, CommitOptions::default(), secs(0)), Err(StoreError::Locked(a)));
    store.close_session(a);
    commit(&mut store, b, CommitOptions::default(), secs(0)).unwrap();
    assert_eq!(store.running().number, 0);
    // A candidate that holds changes can't be locked by anybody.
    store.edit_candidate(b, &change, ErrorOption::Rollback).unwrap();
    assert_eq!(store.lock(b, Datastore::Candidate), Err(StoreError::Modified));
}

#[test]
fn a_candidate_and_a_set_meet_where_they_do_not_touch_and_else_the_later_is_refused() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Gnmi).unwrap();
    let first = [set(&store, "/front/pool[name=x]/admin-state", "draining")];
    store.edit_candidate(a, &first, ErrorOption::Rollback).unwrap();
    let other = [set(&store, LEVEL, "warn")];
    let plan = store.edit_running(b, &other, &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
    store.finish_commit(plan);
    commit(&mut store, a, CommitOptions::default(), secs(0)).unwrap();
    let running = store.running().tree.clone();
    assert_eq!(leaf(&store, &running, LEVEL).as_deref(), Some("warn"));
    assert_eq!(leaf(&store, &running, "/front/pool[name=x]/admin-state").as_deref(), Some("draining"));

    // Both change one leaf; one deletes an entry that the other edits.
    for (ours, theirs) in [
        (set(&store, LEVEL, "debug"), set(&store, LEVEL, "error")),
        (
            edit(store.schema(), Op::Delete, "/front/pool[name=x]", None),
            set(&store, "/front/pool[name=x]/cell[.=4]", "4"),
        ),
        (
            set(&store, "/front/pool[name=x]/cell[.=5]", "5"),
            edit(store.schema(), Op::Delete, "/front/pool[name=x]", None),
        ),
    ] {
        store.edit_candidate(a, &[ours], ErrorOption::Rollback).unwrap();
        let plan = store.edit_running(b, &[theirs], &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
        store.finish_commit(plan);
        let before = store.running().number;
        assert!(matches!(
            commit(&mut store, a, CommitOptions::default(), secs(0)),
            Err(StoreError::Conflict(_))
        ));
        assert_eq!(store.running().number, before);
        store.discard_candidate(a).unwrap();
    }
}

#[test]
fn a_writer_that_has_seen_an_older_version_is_refused() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    let change = [set(&store, LEVEL, "warn")];
    let seen = |expect| CommitOptions { expected_version: Some(expect), ..CommitOptions::default() };
    let plan = store.edit_running(a, &change, &seen(0), secs(0), 0).unwrap().unwrap();
    // While it is on its way no other is planned.
    let again = store.edit_running(a, &change, &CommitOptions::default(), secs(0), 0).unwrap_err();
    assert_eq!(again, StoreError::Busy);
    store.finish_commit(plan);
    let stale = store.edit_running(a, &change, &seen(0), secs(0), 0).unwrap_err();
    assert_eq!(stale, StoreError::Stale { expected: 0, running: 1 });
}

#[test]
fn what_is_not_confirmed_in_time_is_taken_back() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Gnmi).unwrap();
    let confirmed =
        |seconds| CommitOptions { confirm_timeout: Some(secs(seconds)), ..CommitOptions::default() };
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(0)).unwrap();
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("debug"));
    assert_eq!(store.next_timeout(), Some(secs(10)));
    // Nobody else writes meanwhile, nor locks.
    let refused = store.edit_running(b, &change, &CommitOptions::default(), secs(1), 0).unwrap_err();
    assert_eq!(refused, StoreError::Pending(a));
    assert_eq!(store.lock(b, Datastore::Running), Err(StoreError::Pending(a)));
    // A follow-up gives more time, from when it is told; it all goes back to the first state.
    let more = [set(&store, "/front/pool[name=x]/admin-state", "draining")];
    store.edit_candidate(a, &more, ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(8)).unwrap();
    assert!(store.poll_timeout(secs(17), 0).is_none());
    let plan = store.poll_timeout(secs(18), 0).unwrap();
    store.finish_commit(plan);
    assert_eq!(store.running().tree, Tree::default());
    assert_eq!(store.running().cause, Cause::Expired { to: 0 });
    assert!(store.next_timeout().is_none());

    // Confirmed, it stays.
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(20)).unwrap();
    commit(&mut store, a, CommitOptions::default(), secs(25)).unwrap();
    assert!(store.poll_timeout(secs(99), 0).is_none());
    assert_eq!(store.running().cause, Cause::Confirmed);

    // Its session lost, it goes back at once; but not if it was to outlive the session.
    let level = |level| [set(&a_store(), LEVEL, level)];
    store.edit_candidate(a, &level("error"), ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(30)).unwrap();
    store.close_session(a);
    let plan = store.poll_timeout(secs(30), 0).unwrap();
    store.finish_commit(plan);
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("debug"));
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    store.edit_candidate(a, &level("error"), ErrorOption::Rollback).unwrap();
    let kept = CommitOptions { persist: Some("night".into()), ..confirmed(10) };
    commit(&mut store, a, kept, secs(40)).unwrap();
    store.close_session(a);
    assert!(store.poll_timeout(secs(45), 0).is_none());
    let named = |id: &str| CommitOptions { persist_id: Some(id.into()), ..CommitOptions::default() };
    assert!(commit(&mut store, b, named("day"), secs(45)).is_err());
    commit(&mut store, b, named("night"), secs(45)).unwrap();
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("error"));
    assert_eq!(commit(&mut store, b, named("night"), secs(46)), Err(StoreError::NothingPending));
}

#[test]
fn a_confirmed_commit_may_be_extended_and_cancelled_by_its_name_alone() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    let terms = CommitOptions {
        confirm_timeout: Some(secs(10)),
        persist: Some("x".into()),
        ..CommitOptions::default()
    };
    let change = [set(&store, LEVEL, "debug")];
    let plan = store.edit_running(a, &change, &terms, secs(0), 0).unwrap().unwrap();
    store.finish_commit(plan);
    assert_eq!(store.extend(a, Some("y"), secs(10), secs(5), 0).unwrap_err(), StoreError::NothingPending);
    let plan = store.extend(a, Some("x"), secs(10), secs(5), 0).unwrap();
    store.finish_commit(plan);
    assert_eq!(store.next_timeout(), Some(secs(15)));
    assert_eq!(store.cancel(a, None, 0).unwrap_err(), StoreError::NothingPending);
    let plan = store.cancel(a, Some("x"), 0).unwrap();
    assert_eq!(plan.version.cause, Cause::Cancelled { to: 0 });
    store.finish_commit(plan);
    assert_eq!(store.running().tree, Tree::default());
    // There is an end to extending.
    let plan = store.edit_running(a, &change, &terms, secs(0), 0).unwrap().unwrap();
    store.finish_commit(plan);
    let ends = (0..BOUNDS.history + 1).any(|_| match store.extend(a, Some("x"), secs(10), secs(5), 0) {
        Ok(plan) => {
            store.finish_commit(plan);
            false
        }
        Err(refused) => refused == StoreError::TooManyFollowUps,
    });
    assert!(ends && store.cancel(a, Some("x"), 0).is_ok());
}

#[test]
fn a_session_that_ends_while_its_commit_is_on_its_way_can_not_confirm_it() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    let terms = CommitOptions { confirm_timeout: Some(secs(10)), ..CommitOptions::default() };
    let plan = store.commit(a, &terms, secs(0), 0).unwrap().unwrap();
    store.close_session(a);
    store.finish_commit(plan);
    assert!(store.poll_timeout(secs(0), 0).is_some());
}

#[test]
fn any_version_of_the_history_can_be_gone_back_to_and_older_ones_cannot() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    for number in 0..10 {
        let change = [set(&store, &format!("/front/pool[name=x]/cell[.={number}]"), &number.to_string())];
        let plan = store.edit_running(a, &change, &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
        store.finish_commit(plan);
    }
    assert_eq!(store.history().count(), BOUNDS.history + 1);
    let terms = CommitOptions::default();
    assert_eq!(store.roll_back(a, 4, &terms, secs(0), 0).unwrap_err(), StoreError::NoVersion(4));
    let plan = store.roll_back(a, 5, &terms, secs(0), 0).unwrap().unwrap();
    let old = store.history().find(|version| version.number == 5).unwrap().tree.clone();
    store.finish_commit(plan);
    assert_eq!(store.running().tree, old);
    assert_eq!(store.running().number, 11);
}

#[test]
fn each_session_may_have_a_candidate_of_its_own() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Netconf).unwrap();
    store.use_private_candidate(a).unwrap();
    store.lock(b, Datastore::Candidate).unwrap();
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    assert_eq!(store.tree(b, Datastore::Candidate), Some(&Tree::default()));
    commit(&mut store, a, CommitOptions::default(), secs(0)).unwrap();
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("debug"));
}

#[test]
fn errors_within_an_edit_do_what_the_manager_asked_for() {
    let store = a_store();
    let edits = [
        set(&store, LEVEL, "debug"),
        edit(store.schema(), Op::Delete, "/front/pool[name=x]", None),
        set(&store, "/front/pool[name=y]/admin-state", "draining"),
    ];
    for (on_error, level, pool) in [
        (ErrorOption::Rollback, false, false),
        (ErrorOption::Stop, true, false),
        (ErrorOption::Continue, true, true),
    ] {
        let mut store = a_store();
        let a = store.open_session("a", Protocol::Netconf).unwrap();
        let Err(StoreError::Faults(faults)) = store.edit_candidate(a, &edits, on_error) else {
            panic!("{on_error:?}")
        };
        assert!(matches!(faults.as_slice(), [Fault { kind: FaultKind::DataMissing, .. }]));
        let tree = store.tree(a, Datastore::Candidate).unwrap().clone();
        assert_eq!(leaf(&store, &tree, LEVEL).is_some(), level, "{on_error:?}");
        assert_eq!(leaf(&store, &tree, "/front/pool[name=y]/admin-state").is_some(), pool, "{on_error:?}");
    }
}

// The log.

/// A log of some commits, and what was in force after each record.
fn a_log() -> (Vec<u8>, Vec<(usize, Tree)>, Store) {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    let mut bytes = HEADER.to_vec();
    let mut states = vec![(bytes.len(), Tree::default())];
    for number in 0..4 {
        let change =
            [set(&store, &format!("/front/pool[name=x{number}]/cell[.={number}]"), &number.to_string())];
        let plan = store.edit_running(a, &change, &CommitOptions::default(), secs(0), 7).unwrap().unwrap();
        bytes.extend(encode_record(&Record::commit(store.schema(), &plan)));
        store.finish_commit(plan);
        states.push((bytes.len(), store.running().tree.clone()));
    }
    (bytes, states, store)
}

#[test]
fn a_tail_cut_at_any_byte_leaves_the_last_whole_commit() {
    let (bytes, states, store) = a_log();
    for cut in 0..=bytes.len() {
        let back = recover(store.schema().clone(), BOUNDS, &bytes[..cut]).unwrap();
        let (whole, tree) = states.iter().rev().find(|(end, _)| *end <= cut).unwrap_or(&states[0]);
        assert_eq!(&back.store.running().tree, tree, "cut at {cut}");
        assert_eq!(back.valid_length, if cut < HEADER.len() { 0 } else { *whole });
    }
}

#[test]
fn a_log_spoilt_before_its_end_is_not_used() {
    let (bytes, states, store) = a_log();
    let last = states[states.len() - 2].0;
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x20;
        let back = recover(store.schema().clone(), BOUNDS, &spoilt);
        if at < last {
            assert!(back.is_err(), "byte {at}");
        } else {
            // The last record can't be told from one that was cut short.
            let tree = back.unwrap().store.running().tree.clone();
            assert_eq!(tree, states[states.len() - 2].1, "byte {at}");
        }
    }
    // Space that was kept free by the file system reads as zeros.
    let mut padded = bytes.clone();
    padded.extend([0; 512]);
    assert_eq!(recover(store.schema().clone(), BOUNDS, &padded).unwrap().valid_length, bytes.len());
    assert!(recover(store.schema().clone(), BOUNDS, b"something else entirely").is_err());
}

#[test]
fn a_log_that_does_not_follow_is_not_used() {
    let (bytes, states, store) = a_log();
    let mut twice = bytes.clone();
    twice.extend(&bytes[states[0].0..states[1].0]);
    assert!(matches!(
        recover(store.schema().clone(), BOUNDS, &twice),
        Err(RecoveryError::Record { number: 4, .. })
    ));
}

#[test]
fn what_waited_to_be_confirmed_falls_due_at_the_next_start() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let change = [set(&store, LEVEL, "debug")];
    let terms = CommitOptions {
        confirm_timeout: Some(secs(600)),
        persist: Some("x".into()),
        ..CommitOptions::default()
    };
    let plan = store.edit_running(a, &change, &terms, secs(0), 0).unwrap().unwrap();
    let mut bytes = HEADER.to_vec();
    bytes.extend(encode_record(&Record::commit(store.schema(), &plan)));
    store.finish_commit(plan);
    for log in [bytes, compact(&store)] {
        let mut back = recover(store.schema().clone(), BOUNDS, &log).unwrap().store;
        assert_eq!(leaf(&back, &back.running().tree, LEVEL).as_deref(), Some("debug"));
        let plan = back.poll_timeout(secs(0), 0).unwrap();
        back.finish_commit(plan);
        assert_eq!(back.running().tree, Tree::default());
    }
}

#[test]
fn the_startup_datastore_is_kept_and_begun_with() {
    let mut store = a_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    assert_eq!(store.plan_startup(a, None).unwrap_err(), StoreError::NoStartup);
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    let plan = store.plan_startup(a, Some(Datastore::Candidate)).unwrap();
    store.finish_startup(plan);
    let mut back = recover(store.schema().clone(), BOUNDS, &compact(&store)).unwrap().store;
    assert_eq!(leaf(&back, &back.running().tree, LEVEL), None);
    let plan = back.plan_start_from_startup(0).unwrap();
    back.finish_commit(plan);
    assert_eq!(leaf(&back, &back.running().tree, LEVEL).as_deref(), Some("debug"));
    assert!(back.plan_start_from_startup(0).is_none());
}

// Any order of things, against maps of leaves.

type Leaves = BTreeMap<String, String>;

#[derive(Debug, Clone)]
enum Step {
    Edit { session: u8, what: u8, value: u8 },
    Set { session: u8, what: u8, value: u8, fails: bool },
    Commit { session: u8, confirmed: bool, fails: bool },
    Discard(u8),
    Lock(u8),
    Unlock(u8),
    Drop(u8),
    Wait(u8),
    RollBack(u8),
    Crash { cut: u16 },
    Compact,
}

fn a_step() -> impl Strategy<Value = Step> {
    let some = (0..3u8, 0..4u8, 0..3u8);
    prop_oneof![
        4 => some.prop_map(|(session, what, value)| Step::Edit { session, what, value }),
        3 => (0..3u8, 0..4u8, 0..3u8, prop::bool::weighted(0.2))
            .prop_map(|(session, what, value, fails)| Step::Set { session, what, value, fails }),
        3 => (0..3u8, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(session, confirmed, fails)| Step::Commit { session, confirmed, fails }),
        1 => (0..3u8).prop_map(Step::Discard),
        1 => (0..3u8).prop_map(Step::Lock),
        1 => (0..3u8).prop_map(Step::Unlock),
        1 => (0..3u8).prop_map(Step::Drop),
        1 => (0..8u8).prop_map(Step::Wait),
        1 => (0..6u8).prop_map(Step::RollBack),
        1 => (0..400u16).prop_map(|cut| Step::Crash { cut }),
        1 => Just(Step::Compact),
    ]
}

fn change(what: u8, value: u8) -> (Op, String, Option<String>) {
    match what {
        0 => (Op::Merge, LEVEL.to_owned(), Some(["warn", "debug", "error"][value as usize].to_owned())),
        1 => (Op::Merge, format!("/front/pool[name=p{value}]/admin-state"), Some("draining".to_owned())),
        2 => (Op::Merge, format!("/front/pool[name=p0]/cell[.={value}]"), Some(value.to_string())),
        _ => (Op::Remove, format!("/front/pool[name=p{value}]"), None),
    }
}

/// The reference's edit.
fn do_edit(map: &mut Leaves, what: u8, value: u8) {
    let (op, path, text) = change(what, value);
    if op == Op::Remove {
        map.retain(|held, _| !held.starts_with(&format!("{path}/")));
        return;
    }
    if let Some(end) = path.find(']') {
        let name = format!("p{}", if what == 2 { 0 } else { value });
        map.insert(format!("{}/name", &path[..=end]), name);
    }
    map.insert(path, text.unwrap());
}

/// The reference's merge: by paths and prefixes of text.
fn do_merge(base: &Leaves, ours: &Leaves, theirs: &Leaves) -> Option<Leaves> {
    let all: BTreeSet<&String> = base.keys().chain(ours.keys()).chain(theirs.keys()).collect();
    let gone = |map: &Leaves| -> Vec<String> {
        base.keys()
            .filter(|path| path.ends_with("/name") && !map.contains_key(*path))
            .map(|path| path.trim_end_matches("name").to_owned())
            .collect()
    };
    let (ours_gone, theirs_gone) = (gone(ours), gone(theirs));
    let mut merged = Leaves::new();
    for path in all {
        let (b, o, t) = (base.get(path), ours.get(path), theirs.get(path));
        let below = |gone: &[String]| gone.iter().any(|entry| path.starts_with(entry));
        if (o != b && t != b && o != t)
            || (o != b && o.is_some() && below(&theirs_gone))
            || (t != b && t.is_some() && below(&ours_gone))
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

    fn takes(&mut self, next: Leaves) {
        self.versions.push(next);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn any_order_of_things_is_as_the_reference_has_it(steps in prop::collection::vec(a_step(), 1..60)) {
        let schema = Arc::new(Schema::front().unwrap());
        let bounds = Bounds { history: 1000, sessions: 8 };
        let mut store = Store::new(schema.clone(), bounds);
        let open = |store: &mut Store| -> Vec<SessionId> {
            (0..3).map(|_| store.open_session("x", Protocol::Netconf).unwrap()).collect()
        };
        let mut ids = open(&mut store);
        let mut log = HEADER.to_vec();
        let mut plain = Reference { versions: vec![Leaves::new()], ..Reference::default() };
        let mut now = 0u64;
        for step in steps {
            let at = secs(now);
            // Logs a plan and finishes it, or fails it.
            let mut carry = |store: &mut Store, plan: CommitPlan, fails: bool| {
                if fails {
                    store.abandon_commit(&plan);
                } else {
                    log.extend(encode_record(&Record::commit(store.schema(), &plan)));
                    store.finish_commit(plan);
                }
                !fails
            };
            match step.clone() {
                Step::Edit { session, what, value } => {
                    let (op, path, text) = change(what, value);
                    let edits = [edit(&schema, op, &path, text.as_deref())];
                    let done = store.edit_candidate(ids[session as usize], &edits, ErrorOption::Rollback).is_ok();
                    let may = plain.locked.is_none_or(|by| by == session);
                    prop_assert_eq!(done, may);
                    if may {
                        let running = plain.running().clone();
                        let (base, mut tree) = plain.candidate.take().unwrap_or((running.clone(), running));
                        do_edit(&mut tree, what, value);
                        plain.candidate = Some((base, tree)).filter(|(base, tree)| base != tree);
                    }
                }
                Step::Set { session, what, value, fails } => {
                    let (op, path, text) = change(what, value);
                    let edits = [edit(&schema, op, &path, text.as_deref())];
                    let planned = store.edit_running(ids[session as usize], &edits, &CommitOptions::default(), at, 0);
                    let may = plain.pending.is_none_or(|(by, ..)| by == session);
                    prop_assert_eq!(planned.is_ok(), may, "{:?}", step);
                    if let Ok(Some(plan)) = planned
                        && carry(&mut store, plan, fails)
                    {
                        let mut next = plain.running().clone();
                        do_edit(&mut next, what, value);
                        plain.takes(next);
                        plain.pending = None;
                    }
                }
                Step::Commit { session, confirmed, fails } => {
                    let terms = CommitOptions { confirm_timeout: confirmed.then_some(secs(5)), ..CommitOptions::default() };
                    let planned = store.commit(ids[session as usize], &terms, at, 0);
                    let merged = match &plain.candidate {
                        None => Some(plain.running().clone()),
                        Some((base, tree)) => do_merge(base, tree, plain.running()),
                    };
                    let may = plain.locked.is_none_or(|by| by == session)
                        && plain.pending.is_none_or(|(by, ..)| by == session)
                        && merged.is_some();
                    prop_assert_eq!(planned.is_ok(), may, "{:?} {:?}", step, planned);
                    if let Ok(Some(plan)) = planned
                        && carry(&mut store, plan, fails)
                    {
                        let revert = plain.pending.map_or(plain.versions.len() - 1, |(_, to, _)| to);
                        plain.takes(merged.unwrap());
                        plain.candidate = None;
                        plain.pending = confirmed.then_some((session, revert, now + 5));
                    }
                }
                Step::Discard(session) => {
                    let done = store.discard_candidate(ids[session as usize]).is_ok();
                    prop_assert_eq!(done, plain.locked.is_none_or(|by| by == session));
                    if done {
                        plain.candidate = None;
                    }
                }
                Step::Lock(session) => {
                    let done = store.lock(ids[session as usize], Datastore::Candidate).is_ok();
                    prop_assert_eq!(done, plain.locked.is_none() && plain.candidate.is_none());
                    if done {
                        plain.locked = Some(session);
                    }
                }
                Step::Unlock(session) => {
                    let done = store.unlock(ids[session as usize], Datastore::Candidate).is_ok();
                    prop_assert_eq!(done, plain.locked == Some(session));
                    if done {
                        (plain.locked, plain.candidate) = (None, None);
                    }
                }
                Step::Drop(session) => {
                    store.close_session(ids[session as usize]);
                    ids[session as usize] = store.open_session("x", Protocol::Netconf).unwrap();
                    if plain.locked == Some(session) {
                        (plain.locked, plain.candidate) = (None, None);
                    }
                    if let Some((by, to, _)) = plain.pending && by == session {
                        let plan = store.poll_timeout(at, 0).unwrap();
                        carry(&mut store, plan, false);
                        plain.takes(plain.versions[to].clone());
                        plain.pending = None;
                    }
                }
                Step::Wait(seconds) => {
                    now += u64::from(seconds);
                    let due = store.poll_timeout(secs(now), 0);
                    let falls = plain.pending.filter(|(.., until)| *until <= now);
                    prop_assert_eq!(due.is_some(), falls.is_some());
                    if let (Some(plan), Some((_, to, _))) = (due, falls) {
                        carry(&mut store, plan, false);
                        plain.takes(plain.versions[to].clone());
                        plain.pending = None;
                    }
                }
                Step::RollBack(back) => {
                    let last = plain.versions.len() - 1;
                    let to = last.saturating_sub(back as usize);
                    let oldest = store.history().next().unwrap().number;
                    let planned = store.roll_back(ids[0], to as u64, &CommitOptions::default(), at, 0);
                    let may = plain.pending.is_none_or(|(by, ..)| by == 0) && to as u64 >= oldest;
                    prop_assert_eq!(planned.is_ok(), may);
                    if let Ok(Some(plan)) = planned {
                        carry(&mut store, plan, false);
                        plain.takes(plain.versions[to].clone());
                        plain.pending = None;
                    }
                }
                Step::Crash { cut } => {
                    // A commit was being written; some bytes of it are there. Or it was whole and not yet known.
                    let edits = [edit(&schema, Op::Merge, LEVEL, Some("trace"))];
                    let planned = match plain.pending {
                        None => store.edit_running(ids[0], &edits, &CommitOptions::default(), at, 0),
                        Some(_) => Ok(None),
                    };
                    if let Ok(Some(plan)) = planned {
                        let bytes = encode_record(&Record::commit(&schema, &plan));
                        let there = (cut as usize).min(bytes.len());
                        log.extend(&bytes[..there]);
                        if there == bytes.len() {
                            let mut next = plain.running().clone();
                            next.insert(LEVEL.to_owned(), "trace".to_owned());
                            plain.takes(next);
                        }
                    }
                    let back = recover(schema.clone(), bounds, &log).unwrap();
                    log.truncate(back.valid_length.max(HEADER.len()));
                    store = back.store;
                    ids = open(&mut store);
                    (plain.candidate, plain.locked) = (None, None);
                    let due = store.poll_timeout(at, 0);
                    prop_assert_eq!(due.is_some(), plain.pending.is_some());
                    if let (Some(plan), Some((_, to, _))) = (due, plain.pending.take()) {
                        log.extend(encode_record(&Record::commit(&schema, &plan)));
                        store.finish_commit(plan);
                        plain.takes(plain.versions[to].clone());
                    }
                }
                Step::Compact => {
                    log = compact(&store);
                    let back = recover(schema.clone(), bounds, &log).unwrap().store;
                    prop_assert_eq!(&back.running().tree, &store.running().tree);
                    prop_assert_eq!(back.history().count(), store.history().count());
                    prop_assert_eq!(back.pending().is_some(), store.pending().is_some());
                }
            }
            prop_assert_eq!(&leaves(&store, &store.running().tree), plain.running(), "{:?}", step);
            let candidate = leaves(&store, store.tree(ids[0], Datastore::Candidate).unwrap());
            let wanted = plain.candidate.as_ref().map_or(plain.running(), |(_, tree)| tree);
            prop_assert_eq!(&candidate, wanted, "{:?}", step);
        }
    }
}

// A round, in every order.

/// Plays all orders of what three parts and the log may do; nothing is ever half applied.
#[test]
fn no_order_of_what_happens_leaves_a_round_half_applied() {
    let names = || vec!["a".to_owned(), "b".to_owned(), "c".to_owned()];
    let mut open: Vec<Vec<CommitEvent>> = vec![Vec::new()];
    let (mut rounds, mut done, mut failed) = (0, 0, 0);
    while let Some(told) = open.pop() {
        let (mut round, mut asks) = TwoPhaseCommit::start(names());
        for told in &told {
            asks.extend(round.handle_event(told.clone()));
        }
        rounds += 1;
        let has = |ask: &CommitAction| asks.contains(ask);
        let switched = (0..3).filter(|part| has(&CommitAction::Activate(*part))).count();
        let logs = asks.iter().filter(|ask| **ask == CommitAction::Log).count();
        let ends =
            asks.iter().filter(|ask| matches!(ask, CommitAction::Done(_) | CommitAction::Failed(_))).count();
        assert!(ends <= 1 && logs <= 1, "{told:?}");
        assert_eq!(round.is_finished(), ends == 1);
        // Nothing is logged before all are ready, nothing switches before it is logged.
        if logs == 1 {
            assert!((0..3).all(|part| told.contains(&CommitEvent::Prepared(part))), "{told:?}");
        }
        if switched > 0 {
            assert!(told.contains(&CommitEvent::Logged), "{told:?}");
        }
        if asks.iter().any(|ask| matches!(ask, CommitAction::Failed(_))) {
            failed += 1;
            assert!(switched == 0 && !told.contains(&CommitEvent::Logged), "{told:?}");
            // All that may hold something prepared are told to forget it.
            for part in 0..3 {
                let spoke = told
                    .iter()
                    .any(|t| matches!(t, CommitEvent::Declined { part: p, .. } | CommitEvent::Lost(p) if *p == part));
                assert!(has(&CommitAction::Discard(part)) || spoke, "{told:?}");
            }
        }
        if asks.iter().any(|ask| matches!(ask, CommitAction::Done(_))) {
            done += 1;
            assert!(told.contains(&CommitEvent::Logged));
        }
        if round.is_finished() {
            continue;
        }
        // Whatever may come next: parts answer once each stage, the log once.
        let count = |told: &[CommitEvent], part: usize| {
            told.iter()
                .filter(|t| {
                    matches!(t,
                CommitEvent::Prepared(p) | CommitEvent::Declined { part: p, .. } | CommitEvent::Lost(p) | CommitEvent::Activated(p) if *p == part)
                })
                .count()
        };
        let answered = told.iter().any(|t| matches!(t, CommitEvent::Logged | CommitEvent::NotLogged(_)));
        let mut next: Vec<CommitEvent> = Vec::new();
        for part in 0..3 {
            match (count(&told, part), has(&CommitAction::Activate(part))) {
                (0, _) => next.extend([
                    CommitEvent::Prepared(part),
                    CommitEvent::Declined { part, reason: "no".into() },
                    CommitEvent::Lost(part),
                ]),
                (1, true) => next.extend([CommitEvent::Activated(part), CommitEvent::Lost(part)]),
                (1, false) if logs == 1 && !answered => next.push(CommitEvent::Lost(part)),
                _ => {}
            }
        }
        if logs == 1 && !answered {
            next.extend([CommitEvent::Logged, CommitEvent::NotLogged("full".into())]);
        }
        assert!(!next.is_empty(), "stuck after {told:?}");
        open.extend(next.into_iter().map(|one| told.iter().cloned().chain([one]).collect()));
    }
    assert!(rounds > 500 && done > 10 && failed > 10, "{rounds} {done} {failed}");
}
