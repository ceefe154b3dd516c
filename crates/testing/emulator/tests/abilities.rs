//! Tests of optional settings of a deployment's file. Slots and queues, replaced engines, overload, expired requests,
//! retries, runaways, probes and load reports affect a run as stated, and unknown keys are rejected.

use lemonusher_emulator::{Engine, Fault, Finished, Report, SimulatedDeployment, Work, simulate};

/// A small deployment with load reports, probes, retries of clients, discovery delays, runaways and a replacement.
const SMALL: &str = r#"
seconds = 20
fronts = 20
per_second = 60
uneven = 0.5
cold_for = 5
fall_after = 1
fallen_for = 1
cancel = false
drops_expired = true
refused_after = 0.25
notes = 0.5
runaways = { share = 0.01, times = [15, 24] }

[reports]
how = "answers"
fields = ["cores-busy", "memory-granted", "held"]
period = 0.2
delay = [0.01, 0.1]
noise = 0.05

[probes]
work = 0.001
price = 0.01

[clients]
tries = 3
try_share = 0.9
back_off = [0.1, 0.3]
honour = 0.5
impatient = 0.02
marked = false

[watch]
told = [0.1, 0.5]
gone = [0.2, 0.8]
silent_for = [1, 2]
connect_late = 1

[[engines]]
count = 6
cores = 4
memory_mb = 8192
knee = 1.5
on_cores = 0.5
slots = 12
queue = 6
spread = 0.1
warm_groups = 3
warm_gain = 0.4

[[groups]]
name = "query"
share = 1
work = 0.3
threads = 1
memory_mb = 64
goal = 1
limit = 3
tables = 12
zipf = 0.6

[[failures]]
at = 8
what = "replace"
share = 0.5
over = 2
manner = "vanish"
"#;

fn run(text: &str) -> Report {
    simulate(&SimulatedDeployment::parse(text).unwrap(), 3, Fault::None)
}

fn work(remaining_s: f64) -> Work {
    Work {
        remaining_s,
        threads: 1.0,
        memory_mb: 1.0,
        table_group: 1,
        is_bulk_load: false,
        waits_for_bulk_loads: false,
    }
}

#[test]
fn engine_runs_its_slots_queues_the_next_and_rejects_beyond() {
    let mut engine = Engine::new(4.0, 1000.0, 0.2);
    (engine.slots, engine.queue_length, engine.max_threads_per_core, engine.cpu_share) = (2, 1, 2.0, 0.5);
    (1..=3).for_each(|number| engine.offer(number, work(0.1 * number as f64)));
    assert!(engine.is_full() && engine.len() == 3 && engine.remaining_s(3).is_none());
    assert!((engine.cores_busy() - 0.25).abs() < 1e-9, "{}", engine.cores_busy());
    let first = (1..).find(|_| engine.run(0.01, 1.0).contains(&Finished(1))).unwrap();
    assert!((9..=11).contains(&first) && !engine.is_full() && engine.remaining_s(3).is_some());
    assert!(engine.cancel(3) && engine.len() == 1);
    // With a limit of two threads per core, twice as many threads as cores run without slowdown.
    let mut engine = Engine::new(4.0, 1000.0, 0.2);
    engine.max_threads_per_core = 2.0;
    (0..8).for_each(|number| engine.run_now(number, work(0.1)));
    let all = (1..).find(|_| engine.run(0.01, 1.0).len() == 8).unwrap();
    assert!((9..=11).contains(&all), "{all}");
}

#[test]
fn replaced_engines_join_under_new_ids_and_no_rule_is_broken() {
    // A single runaway request may exceed a cold engine's overload limit, which no front can prevent.
    let without_runaways = SMALL.replace("share = 0.01", "share = 0");
    for (manner, seed) in ["vanish", "drain"].into_iter().flat_map(|manner| [1, 2, 3, 4].map(|s| (manner, s)))
    {
        let world = SimulatedDeployment::parse(&without_runaways.replace("vanish", manner)).unwrap();
        let (first, again) = (simulate(&world, seed, Fault::None), simulate(&world, seed, Fault::None));
        assert_eq!(first, again);
        assert!(first.violations.is_empty(), "{manner} seed {seed}: {:?}", first.violations.first());
        let served = first.statistics.served_share(0, 15.0, 20.0);
        assert!(served > 0.8, "{manner} seed {seed}: {served}");
        assert_eq!(first.overloaded, 0);
    }
}

#[test]
fn started_engine_fails_when_its_start_is_hidden() {
    let world = SimulatedDeployment::parse(&SMALL.replace("fall_after = 1", "fall_after = 0.2")).unwrap();
    let overloaded: u64 = (1..=3).map(|seed| simulate(&world, seed, Fault::HidesStarts).overloaded).sum();
    assert!(overloaded > 0);
}

#[test]
fn expired_work_that_is_not_dropped_slows_other_work() {
    let crowded = SMALL.replace("per_second = 60", "per_second = 220");
    let served = |text: &str| run(text).statistics.intervals.iter().map(|span| span.served()).sum::<u64>();
    let (dropped, kept) =
        (served(&crowded), served(&crowded.replace("drops_expired = true", "drops_expired = false")));
    assert!(kept < dropped, "{kept} {dropped}");
}

#[test]
fn rejected_clients_retry_at_most_as_often_as_configured() {
    let crowded = SMALL.replace("per_second = 60", "per_second = 300");
    let (once, thrice) = (run(&crowded.replace("tries = 3", "tries = 1")), run(&crowded));
    let counts = |report: &Report| {
        let spans = &report.statistics.intervals;
        (spans.iter().map(|s| s.requests()).sum::<u64>(), spans.iter().map(|s| s.tries).sum::<u64>())
    };
    let ((requests, tries), (requests_thrice, tries_thrice)) = (counts(&once), counts(&thrice));
    assert_eq!(requests, tries);
    assert!(
        requests_thrice < tries_thrice && tries_thrice <= 3 * requests_thrice,
        "{requests_thrice} {tries_thrice}"
    );
}

#[test]
fn runaways_and_probes_are_work_for_the_engines() {
    let accepted_work = |text: &str| run(text).statistics.intervals.iter().map(|span| span.work).sum::<f64>();
    let (few, many) = (accepted_work(SMALL), accepted_work(&SMALL.replace("share = 0.01", "share = 0.1")));
    assert!(many > few * 1.5, "{few} {many}");
    let probed = SMALL.replace("\"answers\"", "\"probes\"");
    let (cheap, costly) =
        (accepted_work(&probed), accepted_work(&probed.replace("work = 0.001", "work = 0.1")));
    assert!(costly > cheap * 1.1, "{cheap} {costly}");
}

#[test]
fn load_reports_reach_the_fronts_as_configured() {
    let digests = ["nothing", "answers", "probes"].map(|transport| {
        let stated = format!("how = \"{transport}\"");
        run(&SMALL.replace("how = \"answers\"", &stated)).digest
    });
    assert!(digests[0] != digests[1] && digests[1] != digests[2] && digests[0] != digests[2]);
}

#[test]
fn unknown_keys_are_refused_in_every_section() {
    for key in ["told", "tries", "noise", "price", "knee", "zipf", "over", "uneven"] {
        let wrong = SMALL.replacen(&format!("\n{key} = "), &format!("\n{key}x = "), 1);
        let error = SimulatedDeployment::parse(&wrong).unwrap_err();
        assert!(error.message.contains(&format!("`{key}x`")), "{key}: {error}");
    }
}
