//! Lets each file operation of a start and of writes fail, ends the process at each step, and crashes the machine. What
//! was stored before a reply is there afterwards, and nothing is torn.

use super::*;
use lemonusher_fakes::{Effect, Fault, FaultyFileSystem};
use std::collections::BTreeMap;

const FOLDER: &str = "/state";
/// A fault may last for this many operations: one, a whole write, and longer than that.
const FAULT_LENGTHS: [usize; 3] = [1, 5, 11];
/// More operations than a write after a fault needs.
const OPERATIONS_AFTER_FAULT: usize = 11;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Stores a fencing token that is so much above the last one.
    Token(u64),
    /// Stores registers that have changed.
    Registers,
    /// Asks for what has been asked for last, as when a request is repeated after an error.
    Repeat,
    /// The process ends and starts again.
    Restart,
}

const STEPS: [Step; 14] = [
    Step::Token(1),
    Step::Registers,
    Step::Repeat,
    Step::Token(1),
    Step::Restart,
    Step::Repeat,
    Step::Registers,
    Step::Token(2 * TOKEN_RESERVE),
    Step::Repeat,
    Step::Restart,
    Step::Repeat,
    Step::Token(2 * TOKEN_RESERVE),
    Step::Registers,
    Step::Repeat,
];

/// What a run has asked for, and what has been acknowledged of that.
struct Run {
    file_system: FaultyFileSystem,
    token: u64,
    epoch: u64,
    stored_token: Option<u64>,
    stored_epoch: Option<u64>,
}

fn open(file_system: &FaultyFileSystem) -> io::Result<StateFolder<FaultyFileSystem>> {
    StateFolder::open_on(file_system.clone(), Path::new(FOLDER))
}

fn registers(epoch: u64) -> PersistentState {
    PersistentState { epoch, registers: Vec::new() }
}

impl Run {
    fn store_token(&mut self, folder: &mut StateFolder<FaultyFileSystem>) {
        if folder.store_token(self.token).is_ok() {
            self.stored_token = Some(self.token);
        }
    }

    fn store_registers(&mut self, folder: &mut StateFolder<FaultyFileSystem>) {
        if folder.store_registers(registers(self.epoch)).is_ok() {
            self.stored_epoch = Some(self.epoch);
        }
    }

    fn check(&self, folder: &StateFolder<FaultyFileSystem>, name: &str) {
        assert!(folder.token_floor() >= self.stored_token, "{name}: {:?}", folder.token_floor());
        let found = folder.registers().map(|state| state.epoch);
        assert!(found >= self.stored_epoch && found <= Some(self.epoch), "{name}: {found:?}");
    }

    /// Checks what a start finds after the process was killed, and after the machine has crashed.
    fn check_recovery(&self, name: &str) {
        for (names_durable, contents_durable) in [(false, false), (false, true), (true, false), (true, true)]
        {
            let found = self.file_system.after_crash(names_durable, contents_durable);
            let name =
                format!("{name}, names durable: {names_durable}, contents durable: {contents_durable}");
            let opened = open(&found).unwrap_or_else(|error| panic!("{name}: {error}"));
            self.check(&opened, &name);
        }
    }
}

/// Plays the steps until they end, the process is killed, or a start fails.
fn play(fault: Option<Fault>, killed_at: Option<usize>) -> Run {
    let file_system = FaultyFileSystem::new(fault, killed_at);
    let mut run = Run { file_system, token: 0, epoch: 0, stored_token: None, stored_epoch: None };
    let mut opened = open(&run.file_system);
    for step in STEPS {
        let Ok(folder) = &mut opened else { return run };
        match step {
            Step::Token(increase) => {
                run.token += increase;
                run.store_token(folder);
            }
            Step::Registers => {
                run.epoch += 1;
                run.store_registers(folder);
            }
            Step::Repeat => {
                run.store_token(folder);
                run.store_registers(folder);
            }
            Step::Restart => {
                drop(opened);
                opened = open(&run.file_system);
                if let Ok(folder) = &opened {
                    run.check(folder, &format!("{fault:?}, restart"));
                }
            }
        }
        if run.file_system.is_killed() {
            return run;
        }
    }
    run
}

fn faults() -> impl Iterator<Item = (usize, Effect)> {
    let effects = [Effect::None, Effect::Half, Effect::Whole];
    FAULT_LENGTHS.into_iter().flat_map(move |count| effects.into_iter().map(move |effect| (count, effect)))
}

/// Guards against fencing tokens and registers that a front has replied with and that are gone after a crash, because
/// an operation on their files had failed.
#[test]
fn stored_state_survives_each_failed_operation_and_each_kill() {
    let undisturbed = play(None, None);
    let operations = undisturbed.file_system.operations();
    undisturbed.check_recovery("undisturbed");
    let (mut points, mut kills) = (0, 0);
    for first in 0..operations.len() {
        for (count, effect) in faults() {
            let fault = Fault { first, count, effect };
            let name = format!("{fault:?}, operation {}", operations[first]);
            let run = play(Some(fault), None);
            run.check_recovery(&name);
            points += 1;
            // After the fault, everything is stored again, unless a start has failed.
            let is_started = run.file_system.operations().len() >= operations.len();
            let is_over = first + count + OPERATIONS_AFTER_FAULT <= operations.len();
            let is_stored = (run.stored_token, run.stored_epoch) == (Some(run.token), Some(run.epoch));
            assert!(!is_started || !is_over || is_stored, "{name}");
            for killed_at in first..(first + count + OPERATIONS_AFTER_FAULT).min(operations.len()) {
                play(Some(fault), Some(killed_at)).check_recovery(&format!("{name}, killed at {killed_at}"));
                kills += 1;
            }
        }
    }
    for killed_at in 0..operations.len() {
        play(None, Some(killed_at)).check_recovery(&format!("killed at {killed_at}"));
        kills += 1;
    }
    let mut by_operation: BTreeMap<&str, u32> = BTreeMap::new();
    operations.iter().for_each(|operation| *by_operation.entry(operation).or_default() += 1);
    println!(
        "proof: state folder under faults: {points} faults, {kills} kills, by operation {by_operation:?}"
    );
}
