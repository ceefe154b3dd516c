//! Sessions, locks, candidates, commits, confirmed commits and history.

mod common;

use common::*;
use lemonusher_model::{Fault, FaultKind, Op, Tree};
use lemonusher_store::*;

#[test]
fn locked_datastore_is_changed_by_the_holder_alone() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Gnmi).unwrap();
    store.lock(a, Datastore::Running).unwrap();
    assert_eq!(store.lock(b, Datastore::Running), Err(StoreError::Locked(a)));
    let change = [set(&store, LEVEL, "warn")];
    let refused = store.edit_running(b, &change, &CommitOptions::default(), secs(0), 0).unwrap_err();
    assert_eq!(refused, StoreError::Locked(a));
    // Closing the holder's session releases the lock.
    store.close_session(a);
    let plan = store.edit_running(b, &change, &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
    store.finish_commit(plan);
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("warn"));
    assert_eq!(store.unlock(b, Datastore::Running), Err(StoreError::NotLocked));
    assert_eq!(store.lock(a, Datastore::Running), Err(StoreError::UnknownSession));
}

#[test]
fn candidate_is_discarded_with_the_session_that_locked_it() {
    let mut store = new_store();
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
    // No session can lock a candidate that holds changes.
    store.edit_candidate(b, &change, ErrorOption::Rollback).unwrap();
    assert_eq!(store.lock(b, Datastore::Candidate), Err(StoreError::Modified));
}

#[test]
fn candidate_is_merged_with_later_commits_and_conflicts_are_refused() {
    let mut store = new_store();
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

    // Conflicts: both sides change one leaf; one side deletes an entry that the other edits.
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
fn stale_expected_version_is_refused() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    let change = [set(&store, LEVEL, "warn")];
    let seen = |expect| CommitOptions { expected_version: Some(expect), ..CommitOptions::default() };
    let plan = store.edit_running(a, &change, &seen(0), secs(0), 0).unwrap().unwrap();
    // No other commit is planned while one is in progress.
    let again = store.edit_running(a, &change, &CommitOptions::default(), secs(0), 0).unwrap_err();
    assert_eq!(again, StoreError::Busy);
    store.finish_commit(plan);
    let stale = store.edit_running(a, &change, &seen(0), secs(0), 0).unwrap_err();
    assert_eq!(stale, StoreError::Stale { expected: 0, running: 1 });
}

#[test]
fn confirmed_commit_is_reverted_unless_confirmed_in_time() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let b = store.open_session("b", Protocol::Gnmi).unwrap();
    let confirmed =
        |seconds| CommitOptions { confirm_timeout: Some(secs(seconds)), ..CommitOptions::default() };
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(0)).unwrap();
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("debug"));
    assert_eq!(store.next_timeout(), Some(secs(10)));
    // While it is pending, no other session may commit or lock running.
    let refused = store.edit_running(b, &change, &CommitOptions::default(), secs(1), 0).unwrap_err();
    assert_eq!(refused, StoreError::Pending(a));
    assert_eq!(store.lock(b, Datastore::Running), Err(StoreError::Pending(a)));
    // A follow-up moves the deadline, counted from its own commit; the revert restores the state before the
    // first commit.
    let more = [set(&store, "/front/pool[name=x]/admin-state", "draining")];
    store.edit_candidate(a, &more, ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(8)).unwrap();
    assert!(store.poll_timeout(secs(17), 0).is_none());
    let plan = store.poll_timeout(secs(18), 0).unwrap();
    store.finish_commit(plan);
    assert_eq!(store.running().tree, Tree::default());
    assert_eq!(store.running().cause, Cause::Expired { to: 0 });
    assert!(store.next_timeout().is_none());

    // A confirmed change stays after the deadline.
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(20)).unwrap();
    commit(&mut store, a, CommitOptions::default(), secs(25)).unwrap();
    assert!(store.poll_timeout(secs(99), 0).is_none());
    assert_eq!(store.running().cause, Cause::Confirmed);

    // A pending commit is reverted at the next poll after its session closes, unless it has a persist id.
    let level = |level| [set(&new_store(), LEVEL, level)];
    store.edit_candidate(a, &level("error"), ErrorOption::Rollback).unwrap();
    commit(&mut store, a, confirmed(10), secs(30)).unwrap();
    store.close_session(a);
    let plan = store.poll_timeout(secs(30), 0).unwrap();
    store.finish_commit(plan);
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("debug"));
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    store.edit_candidate(a, &level("error"), ErrorOption::Rollback).unwrap();
    let persisted = CommitOptions { persist: Some("night".into()), ..confirmed(10) };
    commit(&mut store, a, persisted, secs(40)).unwrap();
    store.close_session(a);
    assert!(store.poll_timeout(secs(45), 0).is_none());
    let named = |id: &str| CommitOptions { persist_id: Some(id.into()), ..CommitOptions::default() };
    assert!(commit(&mut store, b, named("day"), secs(45)).is_err());
    commit(&mut store, b, named("night"), secs(45)).unwrap();
    assert_eq!(leaf(&store, &store.running().tree, LEVEL).as_deref(), Some("error"));
    assert_eq!(commit(&mut store, b, named("night"), secs(46)), Err(StoreError::NothingPending));
}

#[test]
fn confirmed_commit_is_extended_and_cancelled_by_its_id_only() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    let options = CommitOptions {
        confirm_timeout: Some(secs(10)),
        persist: Some("x".into()),
        ..CommitOptions::default()
    };
    let change = [set(&store, LEVEL, "debug")];
    let plan = store.edit_running(a, &change, &options, secs(0), 0).unwrap().unwrap();
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
    // The number of extensions is limited.
    let plan = store.edit_running(a, &change, &options, secs(0), 0).unwrap().unwrap();
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
fn session_that_ends_during_its_commit_cannot_confirm_it() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    let options = CommitOptions { confirm_timeout: Some(secs(10)), ..CommitOptions::default() };
    let plan = store.commit(a, &options, secs(0), 0).unwrap().unwrap();
    store.close_session(a);
    store.finish_commit(plan);
    assert!(store.poll_timeout(secs(0), 0).is_some());
}

#[test]
fn versions_in_the_history_are_rolled_back_to_and_older_ones_are_not() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Gnmi).unwrap();
    for number in 0..10 {
        let change = [set(&store, &format!("/front/pool[name=x]/cell[.={number}]"), &number.to_string())];
        let plan = store.edit_running(a, &change, &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
        store.finish_commit(plan);
    }
    assert_eq!(store.history().count(), BOUNDS.history + 1);
    let options = CommitOptions::default();
    assert_eq!(store.roll_back(a, 4, &options, secs(0), 0).unwrap_err(), StoreError::NoVersion(4));
    let plan = store.roll_back(a, 5, &options, secs(0), 0).unwrap().unwrap();
    let old = store.history().find(|version| version.number == 5).unwrap().tree.clone();
    store.finish_commit(plan);
    assert_eq!(store.running().tree, old);
    assert_eq!(store.running().number, 11);
}

#[test]
fn private_candidate_is_independent_of_the_shared_one() {
    let mut store = new_store();
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
fn error_option_decides_what_a_failed_edit_leaves() {
    let store = new_store();
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
        let mut store = new_store();
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

/// Guards against losing another session's candidate: when a session closes while its commit is in progress,
/// finishing the commit must not clear changes that another session has made since.
#[test]
fn commit_of_a_session_that_has_closed_clears_no_other_candidate() {
    for is_private in [true, false] {
        let mut store = new_store();
        let a = store.open_session("a", Protocol::Netconf).unwrap();
        let b = store.open_session("b", Protocol::Netconf).unwrap();
        match is_private {
            true => store.use_private_candidate(a).unwrap(),
            false => store.lock(a, Datastore::Candidate).unwrap(),
        }
        let change = [set(&store, LEVEL, "warn")];
        store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
        let plan = store.commit(a, &CommitOptions::default(), secs(0), 0).unwrap().unwrap();
        store.close_session(a);
        let others = [set(&store, "/front/pool[name=x]/admin-state", "draining")];
        store.edit_candidate(b, &others, ErrorOption::Rollback).unwrap();
        store.finish_commit(plan);
        commit(&mut store, b, CommitOptions::default(), secs(0)).unwrap();
        let running = store.running().tree.clone();
        assert_eq!(leaf(&store, &running, LEVEL).as_deref(), Some("warn"), "private: {is_private}");
        let state = leaf(&store, &running, "/front/pool[name=x]/admin-state");
        assert_eq!(state.as_deref(), Some("draining"), "private: {is_private}");
    }
}
