//! Compatibility with the log of an earlier version of the program (commit ad164c9): it is read completely,
//! and the same steps write the same bytes. That version wrote `fixtures/state.log`, and `fixtures/state.txt`
//! is its description of what it read from that log.

use lemonusher_model::{Node, Op, Schema, Tree, parse_path};
use lemonusher_store::*;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

const LOG: &[u8] = include_bytes!("fixtures/state.log");
const CONTENT: &str = include_str!("fixtures/state.txt");
const SHORT: Bounds = Bounds { history: 3, sessions: 8 };
const LONG: Bounds = Bounds { history: 64, sessions: 8 };
const LEVEL: &str = "/front/log-level";
const DRAINING: &str = "/front/pool[name=nightly.b]/admin-state";

fn edit(store: &Store, op: Op, path: &str, value: Option<&str>) -> Edit {
    let place = store.schema().place(&parse_path(path).unwrap()).unwrap();
    Edit { op, place, value: value.map(|value| Node::Leaf(value.into())) }
}

fn merge(store: &Store, path: &str, value: &str) -> Edit {
    edit(store, Op::Merge, path, Some(value))
}

fn log_commit(bytes: &mut Vec<u8>, store: &mut Store, plan: CommitPlan) {
    bytes.extend(encode_record(&Record::commit(store.schema(), &plan)));
    store.finish_commit(plan);
}

fn set(
    bytes: &mut Vec<u8>,
    store: &mut Store,
    session: SessionId,
    edits: &[Edit],
    options: &CommitOptions,
    at: u64,
) {
    let plan = store.edit_running(session, edits, options, Duration::ZERO, at).unwrap().unwrap();
    log_commit(bytes, store, plan);
}

fn log_startup(bytes: &mut Vec<u8>, store: &mut Store, session: SessionId, from: Option<Datastore>) {
    let plan = store.plan_startup(session, from).unwrap();
    bytes.extend(encode_record(&Record::startup(store.schema(), plan.tree.as_ref())));
    store.finish_startup(plan);
}

fn confirmed(persist: Option<&str>) -> CommitOptions {
    let confirmed = Some(Duration::from_secs(600));
    CommitOptions {
        confirm_timeout: confirmed,
        persist: persist.map(str::to_owned),
        ..CommitOptions::default()
    }
}

/// A compacted log: a base record, and the commits after it.
fn compacted_log() -> Vec<u8> {
    let mut store = Store::new(Arc::new(Schema::front().unwrap()), SHORT);
    let session = store.open_session("before", Protocol::Gnmi).unwrap();
    let mut unused = Vec::new();
    for number in 0..6u64 {
        let path = format!("/front/pool[name=x{}]/cell[.={number}]", number % 2);
        let change = [merge(&store, &path, &number.to_string())];
        set(&mut unused, &mut store, session, &change, &CommitOptions::default(), 1000 + number);
    }
    compact(&store)
}

/// A log with every kind of record, every cause of a version and every protocol.
fn complete_log() -> Vec<u8> {
    let mut bytes = compacted_log();
    let mut store = recover(Arc::new(Schema::front().unwrap()), LONG, &bytes).unwrap().store;
    let log = &mut bytes;
    let netconf = store.open_session("anna", Protocol::Netconf).unwrap();
    let gnmi = store.open_session("b\u{f6}rge", Protocol::Gnmi).unwrap();
    // Several changes in one commit of a candidate; then a changed leaf and a deleted list entry.
    let edits = [merge(&store, LEVEL, "warn"), merge(&store, DRAINING, "draining")];
    store.edit_candidate(netconf, &edits, ErrorOption::Rollback).unwrap();
    let plan = store.commit(netconf, &CommitOptions::default(), Duration::ZERO, 2000).unwrap().unwrap();
    log_commit(log, &mut store, plan);
    let edits = [merge(&store, LEVEL, "debug"), edit(&store, Op::Delete, "/front/pool[name=x1]", None)];
    set(log, &mut store, gnmi, &edits, &CommitOptions::default(), 2001);
    // The startup datastore: set, deleted, set again, and loaded into running.
    log_startup(log, &mut store, netconf, Some(Datastore::Running));
    log_startup(log, &mut store, netconf, None);
    log_startup(log, &mut store, netconf, Some(Datastore::Running));
    let change = [merge(&store, LEVEL, "error")];
    set(log, &mut store, gnmi, &change, &CommitOptions::default(), 2002);
    let plan = store.plan_start_from_startup(2003).unwrap();
    log_commit(log, &mut store, plan);
    // Confirmed commits: one extended and confirmed, one cancelled, one not confirmed before its deadline.
    let change = [merge(&store, LEVEL, "warn")];
    set(log, &mut store, netconf, &change, &confirmed(None), 2004);
    let plan = store.extend(netconf, None, Duration::from_secs(9), Duration::ZERO, 2005).unwrap();
    log_commit(log, &mut store, plan);
    set(log, &mut store, netconf, &[], &CommitOptions::default(), 2006);
    let change = [merge(&store, LEVEL, "info")];
    set(log, &mut store, gnmi, &change, &confirmed(Some("night")), 2007);
    let plan = store.cancel(netconf, Some("night"), 2008).unwrap();
    log_commit(log, &mut store, plan);
    set(log, &mut store, gnmi, &change, &confirmed(None), 2009);
    let plan = store.poll_timeout(Duration::from_secs(601), 2010).unwrap();
    log_commit(log, &mut store, plan);
    let plan = store.roll_back(gnmi, 6, &CommitOptions::default(), Duration::ZERO, 2011).unwrap().unwrap();
    log_commit(log, &mut store, plan);
    // A confirmed commit that is still pending at the end of the log.
    set(log, &mut store, netconf, &change, &confirmed(Some("to be \"seen\"")), 2012);
    bytes
}

fn describe_tree(text: &mut String, schema: &Schema, tree: &Tree) {
    tree.for_each_leaf(|place, value| writeln!(text, "    {} = {value}", schema.text(place)).unwrap());
}

fn describe_version(text: &mut String, schema: &Schema, version: &Version) {
    let Version { number, committed_at_ms: at, author, cause, tree, changes } = version;
    let (user, protocol, session) = (&author.user, author.protocol.name(), author.session);
    writeln!(text, "version {number} at {at} by {user}, {protocol}, session {session}: {cause}").unwrap();
    for change in changes {
        let place = schema.text(&change.place);
        writeln!(text, "  change {place}: {:?} -> {:?}", change.old.as_deref(), change.new.as_deref())
            .unwrap();
    }
    writeln!(text, "  tree").unwrap();
    describe_tree(text, schema, tree);
}

/// Everything that is recovered from a log, as text.
fn describe(bytes: &[u8]) -> String {
    let back = recover(Arc::new(Schema::front().unwrap()), LONG, bytes).unwrap();
    let (store, schema) = (&back.store, back.store.schema());
    let mut text = format!("{} records, {} bytes\n", back.records, back.valid_length);
    for version in store.history() {
        describe_version(&mut text, schema, version);
    }
    writeln!(text, "running {}", store.running().number).unwrap();
    if let Some(tree) = store.startup() {
        writeln!(text, "startup").unwrap();
        describe_tree(&mut text, schema, tree);
    }
    if let Some(PendingConfirmation { session, persist, revert_to, deadline, orphaned }) = store.pending() {
        let revert_to = revert_to.number;
        writeln!(text, "pending: session {session}, persist {persist:?}, revert {revert_to}").unwrap();
        writeln!(text, "  until {deadline:?}, lost {orphaned}").unwrap();
    }
    text
}

#[test]
fn log_of_an_earlier_version_is_read_completely() {
    assert_eq!(describe(LOG), CONTENT);
}

#[test]
fn same_steps_write_the_same_bytes_as_an_earlier_version() {
    assert!(complete_log() == LOG, "{}", describe(&complete_log()));
}

#[test]
fn compacted_log_of_an_earlier_version_has_the_same_content() {
    let store = recover(Arc::new(Schema::front().unwrap()), LONG, LOG).unwrap().store;
    let short = describe(&compact(&store));
    assert_eq!(short.lines().skip(1).collect::<Vec<_>>(), CONTENT.lines().skip(1).collect::<Vec<_>>());
}
