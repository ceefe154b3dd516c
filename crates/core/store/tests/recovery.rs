//! Recovery from logs that are truncated or corrupted at any byte, out of order, or compacted.

mod common;

use common::*;
use lemonusher_model::Tree;
use lemonusher_store::*;

/// A log of four commits, with the length of the log and the running tree after each record, and its store.
fn sample_log() -> (Vec<u8>, Vec<(usize, Tree)>, Store) {
    let mut store = new_store();
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
fn log_truncated_at_any_byte_recovers_the_last_complete_commit() {
    let (bytes, states, store) = sample_log();
    for length in 0..=bytes.len() {
        let recovered = recover(store.schema().clone(), BOUNDS, &bytes[..length]).unwrap();
        let (valid_length, tree) = states.iter().rev().find(|(end, _)| *end <= length).unwrap_or(&states[0]);
        assert_eq!(&recovered.store.running().tree, tree, "truncated at {length}");
        assert_eq!(recovered.valid_length, if length < HEADER.len() { 0 } else { *valid_length });
    }
}

#[test]
fn log_corrupt_before_its_end_is_not_used() {
    let (bytes, states, store) = sample_log();
    let last = states[states.len() - 2].0;
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 0x20;
        let recovered = recover(store.schema().clone(), BOUNDS, &corrupt);
        if at < last {
            assert!(recovered.is_err(), "byte {at}");
        } else {
            // A corrupt last record can't be distinguished from one that was truncated.
            let tree = recovered.unwrap().store.running().tree.clone();
            assert_eq!(tree, states[states.len() - 2].1, "byte {at}");
        }
    }
    // Space that the file system has allocated but that was never written reads as zeros.
    let mut padded = bytes.clone();
    padded.extend([0; 512]);
    assert_eq!(recover(store.schema().clone(), BOUNDS, &padded).unwrap().valid_length, bytes.len());
    assert!(recover(store.schema().clone(), BOUNDS, b"something else entirely").is_err());
}

#[test]
fn log_with_a_record_out_of_order_is_not_used() {
    let (bytes, states, store) = sample_log();
    let mut twice = bytes.clone();
    twice.extend(&bytes[states[0].0..states[1].0]);
    assert!(matches!(
        recover(store.schema().clone(), BOUNDS, &twice),
        Err(RecoveryError::Record { number: 4, .. })
    ));
}

#[test]
fn pending_commit_is_reverted_at_the_next_start() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    let change = [set(&store, LEVEL, "debug")];
    let options = CommitOptions {
        confirm_timeout: Some(secs(600)),
        persist: Some("x".into()),
        ..CommitOptions::default()
    };
    let plan = store.edit_running(a, &change, &options, secs(0), 0).unwrap().unwrap();
    let mut bytes = HEADER.to_vec();
    bytes.extend(encode_record(&Record::commit(store.schema(), &plan)));
    store.finish_commit(plan);
    for log in [bytes, compact(&store)] {
        let mut recovered = recover(store.schema().clone(), BOUNDS, &log).unwrap().store;
        assert_eq!(leaf(&recovered, &recovered.running().tree, LEVEL).as_deref(), Some("debug"));
        let plan = recovered.poll_timeout(secs(0), 0).unwrap();
        recovered.finish_commit(plan);
        assert_eq!(recovered.running().tree, Tree::default());
    }
}

#[test]
fn startup_datastore_is_recovered_and_put_in_force() {
    let mut store = new_store();
    let a = store.open_session("a", Protocol::Netconf).unwrap();
    assert_eq!(store.plan_startup(a, None).unwrap_err(), StoreError::NoStartup);
    let change = [set(&store, LEVEL, "debug")];
    store.edit_candidate(a, &change, ErrorOption::Rollback).unwrap();
    let plan = store.plan_startup(a, Some(Datastore::Candidate)).unwrap();
    store.finish_startup(plan);
    let mut recovered = recover(store.schema().clone(), BOUNDS, &compact(&store)).unwrap().store;
    assert_eq!(leaf(&recovered, &recovered.running().tree, LEVEL), None);
    let plan = recovered.plan_start_from_startup(0).unwrap();
    recovered.finish_commit(plan);
    assert_eq!(leaf(&recovered, &recovered.running().tree, LEVEL).as_deref(), Some("debug"));
    assert!(recovered.plan_start_from_startup(0).is_none());
}
