//! Leases under faults: seven fronts run as processes with injected faults between them, and a fake task
//! service records which front acts. Guards against two holders that act at once. The last test runs the
//! operator's commands without faults; the others print their results as lines `proof: NAME figure`. A failed
//! script prints its seed; `LEASE_SEEDS=17 cargo test ...` runs it again, and `LEASE_SEEDS=1-300` runs many.

use lemonusher_cluster::{Faults, Rig, RigConfig, TaskStep};
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lemonusher");
const LEASE: Duration = Duration::from_millis(1200);
/// Number of rigs that run concurrently.
const CONCURRENT_RIGS: usize = 3;
/// After all faults are repaired, a front must act within this number of lease durations: restarted voters
/// don't vote for somewhat more than one, an old holder's lease may run for another, and a waiting front
/// retries within a third; the rest is reserve.
const MAX_RECOVERY_LEASES: u32 = 5;

fn rig_config(seed: u64) -> RigConfig {
    RigConfig {
        program: PROGRAM,
        fronts: 7,
        voters: 3,
        lease: LEASE,
        clock_drift_permille: 100,
        act_time: Duration::from_millis(300),
        task_duration: Duration::from_millis(40),
        task_interval: Duration::from_millis(60),
        rejects_stale: true,
        clock_rates: vec![1.0; 7],
        persistent: seed.is_multiple_of(2),
        quota_slots: 8,
        seed,
        front_start: None,
        extra_toml: String::new(),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the steps of actions under an older grant after an action under a newer one began. Rejected steps of the
/// fronts in `resumed` are allowed, as these fronts were paused in between.
fn overlaps(steps: &[TaskStep], resumed: &BTreeSet<usize>) -> Vec<String> {
    let mut violations = Vec::new();
    let (mut highest, mut holder): (u64, String) = (0, String::new());
    for step in steps {
        let older = step.fencing_token < highest || (step.fencing_token == highest && step.holder != holder);
        if older && (!step.rejected || !resumed.contains(&step.front())) {
            violations.push(format!("{step:?} after {highest} of {holder}"));
        }
        if step.fencing_token > highest {
            (highest, holder) = (step.fencing_token, step.holder.clone());
        }
    }
    violations
}

struct ScriptResult {
    violations: Vec<String>,
    actions: usize,
    holders: usize,
    rejected_steps: usize,
    recovery_time: Option<Duration>,
}

/// Runs one script of mixed faults, which its seed determines.
fn run_script(seed: u64) -> ScriptResult {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut rig_config = rig_config(seed);
    // Clocks within the configured drift of a tenth, some close to its limits.
    rig_config.clock_rates = (0..7).map(|_| [0.91, 0.95, 1.0, 1.05, 1.09][rng.usize(..5)]).collect();
    let mut rig = Rig::start(rig_config);
    assert!(rig.task_service.wait_for_begin(0, LEASE * 10).is_some(), "nobody began");
    let mut resumed = BTreeSet::new();
    for _ in 0..10 {
        let front = rng.usize(..7);
        // Most faults hit the front that acted last.
        let holder = rig.task_service.steps().last().map_or(front, TaskStep::front);
        let front = if rng.f64() < 0.6 { holder } else { front };
        match rng.u32(..9) {
            0 => {
                rig.kill_front(front);
                if rng.bool() {
                    rig.start_front(front);
                }
            }
            1 => {
                rig.pause_front(front, true);
                resumed.insert(front);
            }
            2 => {
                let front = (0..7).find(|front| rig.paused[*front]).unwrap_or(front);
                rig.pause_front(front, false);
            }
            3 => {
                // A majority of the voters restarts at once, without memory.
                rig.kill_front(0);
                rig.kill_front(1);
                rig.start_front(0);
                rig.start_front(1);
            }
            4 => {
                let partition = Faults { blocked: true, ..Faults::default() };
                let one_way = rng.bool();
                let (to, back) =
                    if one_way { (partition, Faults::default()) } else { (Faults::default(), partition) };
                rig.relays.set_faults(|from, _| from == front, to, back);
            }
            5 => {
                let side: Vec<bool> = (0..7).map(|_| rng.bool()).collect();
                let partition = Faults { blocked: true, ..Faults::default() };
                rig.relays.set_faults(|from, voter| side[from] != side[voter], partition, partition);
            }
            6 => {
                let lossy = Faults { blocked: false, loss: 0.3, duplication: 0.2, delay: LEASE * 2 };
                rig.relays.set_faults(|from, _| from == front, lossy, lossy);
            }
            7 => {
                let lossy = Faults { blocked: false, loss: 0.2, duplication: 0.1, delay: ms(50) };
                rig.relays.set_faults(|_, _| true, lossy, lossy);
            }
            _ => rig.relays.clear_faults(),
        }
        std::thread::sleep(ms(rng.u64(100..900)));
    }
    rig.repair();
    let (before, repaired_at) = (rig.task_service.steps().len(), Instant::now());
    let recovery_time =
        rig.task_service.wait_for_begin(before, LEASE * 20).map(|step| step.at.duration_since(repaired_at));
    std::thread::sleep(ms(300));
    let steps = rig.task_service.steps();
    let accepted: Vec<&TaskStep> = steps.iter().filter(|step| step.is_begin && !step.rejected).collect();
    ScriptResult {
        violations: overlaps(&steps, &resumed),
        actions: accepted.len(),
        holders: accepted.iter().map(|step| &step.holder).collect::<BTreeSet<_>>().len(),
        rejected_steps: steps.iter().filter(|step| step.rejected).count(),
        recovery_time,
    }
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("LEASE_SEEDS").unwrap_or_else(|_| "1-20".to_owned());
    let (from, to) = range.split_once('-').unwrap_or((&range, &range));
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

#[test]
fn no_two_holders_act_at_once_in_any_script() {
    let remaining_seeds = Mutex::new(seeds());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_RIGS {
            scope.spawn(|| {
                while let Some(seed) = { remaining_seeds.lock().unwrap().pop() } {
                    let result = run_script(seed);
                    results.lock().unwrap().push((seed, result));
                }
            });
        }
    });
    let results = results.into_inner().unwrap();
    let violations: Vec<_> = results
        .iter()
        .filter(|(_, result)| !result.violations.is_empty())
        .map(|(s, result)| (s, &result.violations))
        .collect();
    let late: Vec<_> = (results.iter())
        .filter(|(_, result)| result.recovery_time.is_none_or(|time| time > LEASE * MAX_RECOVERY_LEASES))
        .map(|(seed, result)| (seed, result.recovery_time))
        .collect();
    let sum =
        |figure: fn(&ScriptResult) -> usize| results.iter().map(|(_, result)| figure(result)).sum::<usize>();
    let slowest = results.iter().filter_map(|(_, result)| result.recovery_time).max().unwrap_or_default();
    println!("proof: leases_scripts {}", results.len());
    println!("proof: leases_acts {}", sum(|result| result.actions));
    println!("proof: leases_holders {}", sum(|result| result.holders));
    println!("proof: leases_refused_as_older {}", sum(|result| result.rejected_steps));
    println!("proof: leases_scripts_with_two_acting {}", violations.len());
    println!("proof: leases_back_within_leases {:.2}", slowest.as_secs_f64() / LEASE.as_secs_f64());
    assert!(violations.is_empty(), "seeds and what was noted: {violations:?}");
    assert!(late.is_empty(), "seeds and when somebody acted again: {late:?}");
    assert!(sum(|result| result.holders) > results.len(), "the scripts moved nothing");
}

#[test]
fn a_holder_resumed_long_after_its_lease_ended_is_rejected_and_acquires_anew() {
    let mut rig = Rig::start(rig_config(2));
    let first = rig.task_service.wait_for_begin(0, LEASE * 10).unwrap();
    rig.pause_front(first.front(), true);
    let second = loop {
        let before = rig.task_service.steps().len();
        let step = rig.task_service.wait_for_begin(before, LEASE * 10).expect("nobody took over");
        if step.holder != first.holder {
            break step;
        }
    };
    assert!(second.fencing_token > first.fencing_token);
    std::thread::sleep(LEASE * 3);
    rig.pause_front(first.front(), false);
    std::thread::sleep(LEASE);
    let steps = rig.task_service.steps();
    let resumed = BTreeSet::from([first.front()]);
    assert!(overlaps(&steps, &resumed).is_empty());
    // The resumed front may continue its interrupted action, or begin one before it detects that its lease has ended;
    // both must be rejected.
    let late = steps
        .iter()
        .filter(|step| step.holder == first.holder && step.at > second.at && !step.rejected)
        .count();
    println!("proof: leases_acts_of_a_woken_holder_let_in {late}");
    assert_eq!(late, 0);
}

#[test]
fn a_resource_that_can_not_reject_has_no_two_holders_act_at_once() {
    let mut rig_config = rig_config(4);
    (rig_config.rejects_stale, rig_config.act_time, rig_config.task_duration) = (false, ms(900), ms(500));
    let mut rig = Rig::start(rig_config);
    for _ in 0..3 {
        let before = rig.task_service.steps().len();
        let first = rig.task_service.wait_for_begin(before, LEASE * 10).unwrap();
        // During an action. The pause is longer than a lease, by less than the configured action time.
        rig.pause_front(first.front(), true);
        let partition = Faults { blocked: true, ..Faults::default() };
        rig.relays.set_faults(|from, _| from == first.front(), partition, partition); // After it resumes, it can't renew its lease.
        std::thread::sleep(LEASE + ms(200));
        rig.pause_front(first.front(), false);
        std::thread::sleep(LEASE * 4);
        rig.relays.clear_faults();
    }
    let steps = rig.task_service.steps();
    let violations = overlaps(&steps, &BTreeSet::new());
    println!("proof: leases_overlaps_where_nothing_refuses {}", violations.len());
    assert!(violations.is_empty(), "{violations:?}");
    assert!(steps.iter().map(|step| &step.holder).collect::<BTreeSet<_>>().len() > 1, "nobody took over");
}

#[test]
fn two_holders_that_act_at_once_by_a_clock_beyond_the_drift_are_detected() {
    // A clock outside the configured drift: the holder's clock runs at a fifth of the others' rate, and then
    // its messages are dropped.
    let mut slow_config = rig_config(6);
    slow_config.clock_rates = vec![0.2; 7];
    slow_config.clock_rates[..3].fill(1.0);
    slow_config.quota_slots = 0;
    let rig = Rig::start(slow_config);
    let partition = Faults { blocked: true, ..Faults::default() };
    rig.relays.set_faults(|from, _| from < 3, partition, partition); // At first only slow fronts reach the voters,
    let first = loop {
        let before = rig.task_service.steps().len();
        let step = rig.task_service.wait_for_begin(before, LEASE * 60).expect("no slow one holds it");
        if step.front() >= 3 {
            break step;
        }
    };
    rig.relays.set_faults(|_, _| true, partition, partition);
    rig.relays.set_faults(|from, _| from < 3, Faults::default(), Faults::default()); // and then only the others do.
    let until = Instant::now() + LEASE * 8;
    let mut caught = false;
    while !caught && Instant::now() < until {
        std::thread::sleep(ms(50));
        let steps = rig.task_service.steps();
        caught =
            !overlaps(&steps, &BTreeSet::new()).is_empty() && steps.iter().any(|step| step.at > first.at);
    }
    println!("proof: leases_mutant_clock_beyond_drift_caught {caught}");
    assert!(caught);
}

#[test]
fn the_command_line_shows_leases_and_hands_one_over() {
    let rig = Rig::start(rig_config(8));
    let first = rig.task_service.wait_for_begin(0, LEASE * 10).unwrap();
    let run_command = |arguments: &[&str]| {
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    };
    // The operator's command uses the links of a front that does not hold the lease.
    let file = rig.config_file((first.front() + 1) % 7);
    let file = file.to_str().unwrap();
    let (code, text) = run_command(&["fleet", file]);
    assert!(code == 0 && text.contains("yard") && text.contains(&first.holder), "{code} {text}");
    assert!(text.contains("registers: ") && text.contains("sees 6 other fronts: "), "{text}");
    let (code, text) = run_command(&["hand-over", file, "yard"]);
    assert!(code == 0 && text.starts_with(&format!("yard: from {}", first.holder)), "{code} {text}");
    let before = rig.task_service.steps().len();
    let second = rig.task_service.wait_for_begin(before, LEASE * 10).unwrap();
    assert!(second.holder != first.holder && second.fencing_token > first.fencing_token);
    let (code, text) = run_command(&["hand-over", file, "nothing"]);
    assert!(code == 1 && text.contains("nobody holds nothing"), "{code} {text}");
}
