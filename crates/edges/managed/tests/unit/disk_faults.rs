//! Lets each file operation of a start, of commits and of compactions fail, and kills the process before each. What
//! was acknowledged is recovered, with at most a commit after it that was not, and commits are accepted again after the fault.

use super::*;
use lemonusher_fakes::{Effect, Fault, FaultyFileSystem};
use lemonusher_model::{Node, Op, Tree, parse_path};
use lemonusher_store::{CommitOptions, Edit, Protocol};
use std::collections::BTreeMap;
use std::time::Duration;

const BOUNDS: Bounds = Bounds { history: 3, sessions: 4 };
const FOLDER: &str = "/state";
/// A fault may last for this many operations: one, a whole commit or compaction, and longer than that.
const FAULT_LENGTHS: [usize; 3] = [1, 4, 9];

type FaultyDisk = Disk<FaultyFileSystem>;

#[derive(Debug, Clone, Copy)]
enum Step {
    Commit,
    Compact,
    /// The process ends and starts again.
    Restart,
}

const STEPS: [Step; 11] = [
    Step::Commit,
    Step::Commit,
    Step::Compact,
    Step::Commit,
    Step::Commit,
    Step::Restart,
    Step::Commit,
    Step::Compact,
    Step::Compact,
    Step::Commit,
    Step::Commit,
];

/// What a run has acknowledged.
struct Run {
    file_system: FaultyFileSystem,
    acknowledged: Tree,
    /// The commits that have not been acknowledged, since the last one that has. Where neither the write of one can be
    /// undone nor the log be written anew, it may come back.
    unacknowledged: Vec<Tree>,
    was_last_commit_acknowledged: bool,
}

impl Run {
    fn may_recover(&self, tree: &Tree) -> bool {
        *tree == self.acknowledged || self.unacknowledged.contains(tree)
    }
}

fn open(schema: &Arc<Schema>, file_system: &FaultyFileSystem) -> Result<(FaultyDisk, Store), DiskError> {
    Disk::open_on(file_system.clone(), Path::new(FOLDER), schema.clone(), BOUNDS)
}

/// Plays the steps until they end, the process is killed, or a start fails.
fn play(schema: &Arc<Schema>, fault: Option<Fault>, killed_at: Option<usize>) -> Run {
    let file_system = FaultyFileSystem::new(fault, killed_at);
    let empty = Store::new(schema.clone(), BOUNDS).running().tree.clone();
    let mut run = Run {
        file_system,
        acknowledged: empty,
        unacknowledged: Vec::new(),
        was_last_commit_acknowledged: false,
    };
    let mut opened = open(schema, &run.file_system);
    for (number, step) in STEPS.into_iter().enumerate() {
        let Ok((disk, store)) = &mut opened else { return run };
        match step {
            Step::Commit => commit(&mut run, disk, store, number),
            Step::Compact => drop(disk.compact(store)),
            Step::Restart => {
                drop(opened);
                opened = open(schema, &run.file_system);
                if let Ok((_, store)) = &opened {
                    assert!(run.may_recover(&store.running().tree), "{fault:?}, restart");
                    // A commit that was in flight may have come back, and stands then.
                    run.acknowledged = store.running().tree.clone();
                    run.unacknowledged.clear();
                }
            }
        }
        if run.file_system.is_killed() {
            return run;
        }
    }
    run
}

fn commit(run: &mut Run, disk: &mut FaultyDisk, store: &mut Store, number: usize) {
    let session = store.open_session("x", Protocol::Local).unwrap();
    let path = format!("/front/pool[name=a]/cell[.={number}]");
    let place = store.schema().place(&parse_path(&path).unwrap()).unwrap();
    let edit = Edit { op: Op::Merge, place, value: Some(Node::Leaf(number.to_string().into())) };
    let plan = store.edit_running(session, &[edit], &CommitOptions::default(), Duration::ZERO, 0);
    let plan = plan.unwrap().unwrap();
    let appended = disk.append(store, &Record::commit(store.schema(), &plan));
    run.was_last_commit_acknowledged = appended.is_ok();
    match appended {
        Ok(()) => {
            store.finish_commit(plan);
            run.acknowledged = store.running().tree.clone();
            run.unacknowledged.clear();
        }
        Err(_) => {
            run.unacknowledged.push(plan.version.tree.clone());
            store.abandon_commit(&plan);
        }
    }
    store.close_session(session);
}

/// Checks what a start finds after the process was killed, and after the machine has crashed.
fn check_recovery(schema: &Arc<Schema>, run: &Run, name: &str) {
    for (names_durable, contents_durable) in [(false, false), (false, true), (true, false), (true, true)] {
        let found = run.file_system.after_crash(names_durable, contents_durable);
        let opened = open(schema, &found);
        let (_, store) = opened.unwrap_or_else(|error| panic!("{name}: {error}"));
        let tree = &store.running().tree;
        assert!(
            run.may_recover(tree),
            "{name}, names durable: {names_durable}, contents durable: {contents_durable}"
        );
    }
}

/// Guards against commits that were acknowledged and are gone after a kill, because an operation on the log failed.
#[test]
fn acknowledged_commits_survive_each_failed_operation_and_each_kill() {
    let schema = Arc::new(Schema::front().unwrap());
    let undisturbed = play(&schema, None, None);
    let operations = undisturbed.file_system.operations();
    check_recovery(&schema, &undisturbed, "undisturbed");
    let (mut points, mut kills) = (0, 0);
    for first in 0..operations.len() {
        for (count, effect) in faults() {
            let fault = Fault { first, count, effect };
            let name = format!("{fault:?}, operation {}", operations[first]);
            let run = play(&schema, Some(fault), None);
            check_recovery(&schema, &run, &name);
            points += 1;
            // The faults end well before the steps do, unless a start has failed.
            let last = first + count;
            let is_started = run.file_system.operations().len() >= operations.len();
            assert!(!is_started || last + 9 > operations.len() || run.was_last_commit_acknowledged, "{name}");
            for killed_at in first..(first + count + 9).min(operations.len()) {
                let run = play(&schema, Some(fault), Some(killed_at));
                check_recovery(&schema, &run, &format!("{name}, killed at {killed_at}"));
                kills += 1;
            }
        }
    }
    for killed_at in 0..operations.len() {
        check_recovery(&schema, &play(&schema, None, Some(killed_at)), &format!("killed at {killed_at}"));
        kills += 1;
    }
    let mut by_operation: BTreeMap<&str, u32> = BTreeMap::new();
    operations.iter().for_each(|operation| *by_operation.entry(operation).or_default() += 1);
    println!("proof: log under faults: {points} faults, {kills} kills, by operation {by_operation:?}");
}

fn faults() -> impl Iterator<Item = (usize, Effect)> {
    let effects = [Effect::None, Effect::Half, Effect::Whole];
    FAULT_LENGTHS.into_iter().flat_map(move |count| effects.into_iter().map(move |effect| (count, effect)))
}

/// After a failed sync, it is unknown which bytes are on disk, even if a later sync succeeds.
#[test]
fn nothing_is_appended_to_a_log_whose_sync_has_failed() {
    let schema = Arc::new(Schema::front().unwrap());
    let operations = play(&schema, None, None).file_system.operations();
    let write = operations.iter().rposition(|operation| *operation == "create the file").unwrap() + 5;
    assert_eq!(operations[write..write + 2], ["write", "sync"]);
    let fault = Fault { first: write + 1, count: 1, effect: Effect::None };
    let run = play(&schema, Some(fault), None);
    // The record is cut off, and the next one is preceded by a new log.
    let after = [
        "truncate",
        "sync",
        "create the file",
        "write",
        "sync",
        "rename the file",
        "sync the folder",
        "write",
        "sync",
    ];
    assert_eq!(run.file_system.operations()[write + 2..], after);
    assert!(run.was_last_commit_acknowledged);
}
