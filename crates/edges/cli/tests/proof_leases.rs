//! Leases under faults: seven fronts run as processes with injected faults between them, and a fake task
//! service records which front acts. Guards against two holders that act at once. Each test prints its results
//! as lines `proof: NAME figure`. A failed script prints its seed; `LEASE_SEEDS=17 cargo test ...` runs it
//! again, and `LEASE_SEEDS=1-300` runs many.

use lemonusher_cluster::{Faults, Rig, RigConfig, TaskStep};
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lemonusher");
const LEASE: Duration = Duration::from_millis(1200);
/// Number of rigs that run concurrently.
const AT_ONCE: usize = 3;
/// After all faults are repaired, a front must act within this number of lease durations: restarted voters
/// don't vote for somewhat more than one, an old holder's lease may run for another, and a waiting front
/// retries within a third; the rest is reserve.
const BACK_WITHIN: u32 = 5;

fn plan(seed: u64) -> RigConfig {
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

/// Steps of actions under an older grant after an action under a newer one began. Fronts in `woken` were paused
/// in between: they may try, but must be rejected. Any other front must not try.
fn overlaps(notes: &[TaskStep], woken: &BTreeSet<usize>) -> Vec<String> {
    let mut wrong = Vec::new();
    let (mut highest, mut holder): (u64, String) = (0, String::new());
    for note in notes {
        let older = note.fencing_token < highest || (note.fencing_token == highest && note.holder != holder);
        if older && (!note.rejected || !woken.contains(&note.front())) {
            wrong.push(format!("{note:?} after {highest} of {holder}"));
        }
        if note.fencing_token > highest {
            (highest, holder) = (note.fencing_token, note.holder.clone());
        }
    }
    wrong
}

struct Played {
    wrong: Vec<String>,
    acts: usize,
    holders: usize,
    refused: usize,
    back: Option<Duration>,
}

/// Runs one script of mixed faults, which its seed determines.
fn play(seed: u64) -> Played {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut plan = plan(seed);
    // Clocks within the configured drift of a tenth, some close to its limits.
    plan.clock_rates = (0..7).map(|_| [0.91, 0.95, 1.0, 1.05, 1.09][chance.usize(..5)]).collect();
    let mut rig = Rig::start(plan);
    assert!(rig.task_service.wait_for_begin(0, LEASE * 10).is_some(), "nobody began");
    let mut woken = BTreeSet::new();
    for _ in 0..10 {
        let front = chance.usize(..7);
        // Most faults hit the front that acted last.
        let holder = rig.task_service.steps().last().map_or(front, TaskStep::front);
        let front = if chance.f64() < 0.6 { holder } else { front };
        match chance.u32(..9) {
            0 => {
                rig.kill_front(front);
                if chance.bool() {
                    rig.start_front(front);
                }
            }
            1 => {
                rig.pause_front(front, true);
                woken.insert(front);
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
                let one_way = chance.bool();
                let (to, back) =
                    if one_way { (partition, Faults::default()) } else { (Faults::default(), partition) };
                rig.relays.set_faults(|from, _| from == front, to, back);
            }
            5 => {
                let side: Vec<bool> = (0..7).map(|_| chance.bool()).collect();
                let partition = Faults { blocked: true, ..Faults::default() };
                rig.relays.set_faults(|from, voter| side[from] != side[voter], partition, partition);
            }
            6 => {
                let bad = Faults { blocked: false, loss: 0.3, duplication: 0.2, delay: LEASE * 2 };
                rig.relays.set_faults(|from, _| from == front, bad, bad);
            }
            7 => {
                let bad = Faults { blocked: false, loss: 0.2, duplication: 0.1, delay: ms(50) };
                rig.relays.set_faults(|_, _| true, bad, bad);
            }
            _ => rig.relays.clear_faults(),
        }
        std::thread::sleep(ms(chance.u64(100..900)));
    }
    rig.repair();
    let (before, mended) = (rig.task_service.steps().len(), Instant::now());
    let back =
        rig.task_service.wait_for_begin(before, LEASE * 20).map(|noted| noted.at.duration_since(mended));
    std::thread::sleep(ms(300));
    let notes = rig.task_service.steps();
    let accepted: Vec<&TaskStep> = notes.iter().filter(|noted| noted.is_begin && !noted.rejected).collect();
    Played {
        wrong: overlaps(&notes, &woken),
        acts: accepted.len(),
        holders: accepted.iter().map(|noted| &noted.holder).collect::<BTreeSet<_>>().len(),
        refused: notes.iter().filter(|noted| noted.rejected).count(),
        back,
    }
}

fn seeds() -> Vec<u64> {
    let told = std::env::var("LEASE_SEEDS").unwrap_or_else(|_| "1-20".to_owned());
    let (from, to) = told.split_once('-').unwrap_or((&told, &told));
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

#[test]
fn no_two_holders_act_at_once_in_any_script() {
    let waiting = Mutex::new(seeds());
    let played = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                while let Some(seed) = { waiting.lock().unwrap().pop() } {
                    let one = play(seed);
                    played.lock().unwrap().push((seed, one));
                }
            });
        }
    });
    let played = played.into_inner().unwrap();
    let wrong: Vec<_> =
        played.iter().filter(|(_, one)| !one.wrong.is_empty()).map(|(s, one)| (s, &one.wrong)).collect();
    let late: Vec<_> = (played.iter())
        .filter(|(_, one)| one.back.is_none_or(|back| back > LEASE * BACK_WITHIN))
        .map(|(seed, one)| (seed, one.back))
        .collect();
    let sum = |figure: fn(&Played) -> usize| played.iter().map(|(_, one)| figure(one)).sum::<usize>();
    let slowest = played.iter().filter_map(|(_, one)| one.back).max().unwrap_or_default();
    println!("proof: leases_scripts {}", played.len());
    println!("proof: leases_acts {}", sum(|one| one.acts));
    println!("proof: leases_holders {}", sum(|one| one.holders));
    println!("proof: leases_refused_as_older {}", sum(|one| one.refused));
    println!("proof: leases_scripts_with_two_acting {}", wrong.len());
    println!("proof: leases_back_within_leases {:.2}", slowest.as_secs_f64() / LEASE.as_secs_f64());
    assert!(wrong.is_empty(), "seeds and what was noted: {wrong:?}");
    assert!(late.is_empty(), "seeds and when somebody acted again: {late:?}");
    assert!(sum(|one| one.holders) > played.len(), "the scripts moved nothing");
}

#[test]
fn a_holder_resumed_long_after_its_lease_ended_is_rejected_and_acquires_anew() {
    let mut rig = Rig::start(plan(2));
    let first = rig.task_service.wait_for_begin(0, LEASE * 10).unwrap();
    rig.pause_front(first.front(), true);
    let second = loop {
        let before = rig.task_service.steps().len();
        let noted = rig.task_service.wait_for_begin(before, LEASE * 10).expect("nobody took over");
        if noted.holder != first.holder {
            break noted;
        }
    };
    assert!(second.fencing_token > first.fencing_token);
    std::thread::sleep(LEASE * 3);
    rig.pause_front(first.front(), false);
    std::thread::sleep(LEASE);
    let notes = rig.task_service.steps();
    let woken = BTreeSet::from([first.front()]);
    assert!(overlaps(&notes, &woken).is_empty());
    // The action that it had half done, or one that it began in the belief that it still holds the lease, must
    // be rejected.
    let late = notes
        .iter()
        .filter(|noted| noted.holder == first.holder && noted.at > second.at && !noted.rejected)
        .count();
    println!("proof: leases_acts_of_a_woken_holder_let_in {late}");
    assert_eq!(late, 0);
}

#[test]
fn what_can_not_refuse_is_left_alone_until_an_act_must_be_over() {
    let mut plan = plan(4);
    (plan.rejects_stale, plan.act_time, plan.task_duration) = (false, ms(900), ms(500));
    let mut rig = Rig::start(plan);
    for _ in 0..3 {
        let before = rig.task_service.steps().len();
        let first = rig.task_service.wait_for_begin(before, LEASE * 10).unwrap();
        rig.pause_front(first.front(), true); // During an action, for less than the configured action time.
        let partition = Faults { blocked: true, ..Faults::default() };
        rig.relays.set_faults(|from, _| from == first.front(), partition, partition); // After it resumes, it can't renew its lease.
        std::thread::sleep(LEASE + ms(200));
        rig.pause_front(first.front(), false);
        std::thread::sleep(LEASE * 4);
        rig.relays.clear_faults();
    }
    let notes = rig.task_service.steps();
    let wrong = overlaps(&notes, &BTreeSet::new());
    println!("proof: leases_overlaps_where_nothing_refuses {}", wrong.len());
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(notes.iter().map(|noted| &noted.holder).collect::<BTreeSet<_>>().len() > 1, "nobody took over");
}

#[test]
fn without_its_guards_two_would_act_at_once_and_the_rig_sees_it() {
    // A clock outside the configured drift: the holder's clock runs at a fifth of the others' rate, and then
    // its messages are dropped.
    let mut slow = plan(6);
    slow.clock_rates = vec![0.2; 7];
    slow.clock_rates[..3].fill(1.0);
    slow.quota_slots = 0;
    let rig = Rig::start(slow);
    let partition = Faults { blocked: true, ..Faults::default() };
    rig.relays.set_faults(|from, _| from < 3, partition, partition); // At first only slow fronts reach the voters,
    let first = loop {
        let before = rig.task_service.steps().len();
        let noted = rig.task_service.wait_for_begin(before, LEASE * 60).expect("no slow one holds it");
        if noted.front() >= 3 {
            break noted;
        }
    };
    rig.relays.set_faults(|_, _| true, partition, partition);
    rig.relays.set_faults(|from, _| from < 3, Faults::default(), Faults::default()); // and then only the others do.
    let until = Instant::now() + LEASE * 8;
    let mut caught = false;
    while !caught && Instant::now() < until {
        std::thread::sleep(ms(50));
        let notes = rig.task_service.steps();
        caught =
            !overlaps(&notes, &BTreeSet::new()).is_empty() && notes.iter().any(|noted| noted.at > first.at);
    }
    println!("proof: leases_mutant_clock_beyond_drift_caught {caught}");
    assert!(caught);
}

#[test]
fn the_command_line_shows_leases_and_hands_one_over() {
    let rig = Rig::start(plan(8));
    let first = rig.task_service.wait_for_begin(0, LEASE * 10).unwrap();
    let say = |words: &[&str]| {
        let output = Command::new(PROGRAM).args(words).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    };
    // The operator's command uses the links of a front that does not hold the lease.
    let file = rig.config_file((first.front() + 1) % 7);
    let file = file.to_str().unwrap();
    let (code, text) = say(&["fleet", file]);
    assert!(code == 0 && text.contains("yard") && text.contains(&first.holder), "{code} {text}");
    assert!(text.contains("registers: ") && text.contains("sees 6 other fronts: "), "{text}");
    let (code, text) = say(&["hand-over", file, "yard"]);
    assert!(code == 0 && text.starts_with(&format!("yard: from {}", first.holder)), "{code} {text}");
    let before = rig.task_service.steps().len();
    let second = rig.task_service.wait_for_begin(before, LEASE * 10).unwrap();
    assert!(second.holder != first.holder && second.fencing_token > first.fencing_token);
    let (code, text) = say(&["hand-over", file, "nothing"]);
    assert!(code == 1 && text.contains("nobody holds nothing"), "{code} {text}");
}
