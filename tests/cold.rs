//! Slow start of one engine across all fronts: together they never exceed the engine's overload limit, even
//! when fronts restart, and they still use the engine. Runs in virtual time; each front has its own clock
//! and endpoint list. All fronts start with the same seed.

#[allow(dead_code)]
mod host;

use host::*;
use lemonusher::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The actual work of a request by class, in seconds on one thread.
const WORK: [f64; 3] = [0.2, 2.4, 6.0];
const STEP: u64 = 50;
const STEPS: u64 = 120;

struct Random(u64);

impl Random {
    fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }
}

/// The result of a run in which a fleet has only one engine, which warms up.
struct Run {
    sent: Vec<f64>,
    requests: usize,
    overload_limit: f64,
}

fn simulate(fronts: u32, seed: u64, work_reported: bool, full_restarts: &[u64]) -> Run {
    let mut random = Random(seed.wrapping_mul(7919) + u64::from(fronts));
    let front_deployment = |number| Deployment { fronts, front_index: number, ..deployment() };
    let safety_rules = deployment().safety_rules;
    let overload_limit = safety_rules.overload_factor
        * safety_rules.slow_start_share
        * 8.0
        * safety_rules.overload_window.as_secs_f64();
    // The fronts' clocks run at the same rate from different origins. The engine starts at time zero of the
    // simulation.
    let origins: Vec<u64> = (0..fronts).map(|_| 60_000 + random.draw() % 50_000).collect();
    let engine = |number: usize| EngineEntry { started_at: ms(origins[number]), ..entry(9) };
    let start = |number: usize, at: u64, seed| {
        Host::starting(front_deployment(number as u32), seed, ms(origins[number] + at), vec![engine(number)])
    };
    // These fronts have run for a second when the engine starts; those that restart later start after the
    // engine.
    let mut hosts: Vec<Host> = (0..fronts as usize)
        .map(|number| {
            let mut host =
                Host::starting(front_deployment(number as u32), seed, ms(origins[number] - 1000), vec![]);
            host.now = ms(origins[number]);
            host.handle(Event::Endpoints(EndpointUpdateKind::Delta, vec![engine(number)]));
            host
        })
        .collect();
    // Each front restarts with a probability of 0.8 at a random step from 10 to 19, and likewise at one from
    // 60 to 79.
    let mut restarts: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for number in 0..fronts as usize {
        for (from, count) in [(10, 10), (60, 20)] {
            if random.draw() % 10 < 8 {
                restarts.entry(from + random.draw() % count).or_default().push(number);
            }
        }
    }
    for step in full_restarts {
        restarts.insert(*step, (0..fronts as usize).collect());
    }
    let mut run = Run { sent: vec![0.0; STEPS as usize], requests: 0, overload_limit };
    for step in 0..STEPS {
        for number in restarts.remove(&step).unwrap_or_default() {
            hosts[number] = start(number, step * STEP, seed ^ step);
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            host.now = ms(origins[number] + step * STEP);
            for arrival in 0..2 {
                let class = [SHORT, SHORT, SHORT, REPORT][random.draw() as usize % 4];
                let actions = host.arrive(&format!("{class}-{step}-{arrival}"), class, random.draw() % 40);
                for (request, engine) in sent(&actions).collect::<Vec<_>>() {
                    // The request that is sent may be one that was queued before.
                    let class = usize::from(request.as_bytes()[0] - b'0');
                    run.sent[step as usize] += WORK[class];
                    run.requests += 1;
                    // With `work_reported`, responses report the work; otherwise the fronts learn it from
                    // the latency.
                    let work = Duration::from_secs_f64(WORK[class]);
                    host.end_attempt_with(&request, 0, engine, AttemptOutcome::Returned, |end| {
                        end.usage = work_reported.then_some(ResourceUsage { work, memory_mb: 1.0 });
                        end.elapsed = work.div_f64([1.0, 4.0, 2.0][class]);
                    });
                }
            }
        }
    }
    run
}

#[test]
fn all_fronts_together_stay_within_the_overload_limit_in_slow_start_through_restarts() {
    let window = (deployment().safety_rules.overload_window.as_millis() as u64 / STEP) as usize;
    for (fronts, seeds) in [(2, 8), (5, 8), (20, 12), (30, 12), (300, 2)] {
        let (mut windows, mut exceeding, mut used, mut largest) = (0, 0, 0.0, 0.0f64);
        for seed in 1..=seeds {
            let run = simulate(fronts, seed, seed % 2 == 0, &[]);
            let mean = run.sent.iter().sum::<f64>() / (run.requests as f64).max(1.0);
            let allowed = run.overload_limit / mean.max(1e-9);
            for window_sent in run.sent.windows(window) {
                let sent = window_sent.iter().sum::<f64>() / mean.max(1e-9);
                windows += 1;
                // The slack here does not loosen the test: `largest` below must not exceed the limit at all.
                exceeding += u32::from(sent > allowed + 2.0 * allowed.sqrt() + 2.0);
                used += sent / allowed;
                largest = largest.max(sent / allowed);
            }
        }
        let used = used / f64::from(windows);
        println!(
            "{fronts} fronts, seeds 1 to {seeds}: {exceeding} of {windows} windows exceed the limit; used {used:.2}, at most {largest:.2}"
        );
        assert_eq!(exceeding, 0, "{fronts} fronts");
        assert!(largest <= 1.0, "{fronts} fronts: {largest}");
        assert!(used > 0.1, "{fronts} fronts: {used}");
    }
}

/// Guards against a quota that is spent twice because a restart discards the record of sent work. All fronts
/// are restarted once they may have spent their quotas, and repeatedly before the window has passed in which
/// that work counts.
#[test]
fn fronts_that_restart_again_and_again_do_not_spend_their_quota_twice() {
    for (fronts, seed) in [(2, 1), (5, 2), (20, 3), (30, 4), (300, 5)] {
        let run = simulate(fronts, seed, true, &[34, 39, 44, 49, 54, 90, 94, 98]);
        let worst =
            run.sent.windows(30).map(|window_sent| window_sent.iter().sum::<f64>()).fold(0.0, f64::max);
        println!("{fronts} fronts, seed {seed}: {worst:.1} s of {:.1} s", run.overload_limit);
        assert!(worst <= run.overload_limit, "{fronts} fronts: {worst:.1} s of {:.1} s", run.overload_limit);
        assert!(run.requests > 0);
    }
}

/// Work that was sent after an engine's restart but before the endpoint update counts towards the quota.
#[test]
fn work_sent_before_a_start_was_listed_counts() {
    let mut host = Host::of(1);
    let started = host.now + ms(10);
    host.now = started;
    let before = host.arrive_many(8, SHORT, 3).len();
    assert!(before >= 6, "{before}");
    host.now = started + ms(500);
    host.handle(Event::Endpoints(
        EndpointUpdateKind::Delta,
        vec![EngineEntry { started_at: started, ..entry(1) }],
    ));
    // The quota of this front allows six requests of half a second. If the earlier work did not count, six
    // more would be allowed, twelve or more in total.
    let after = host.arrive_many(40, SHORT, 3).len();
    assert!(after + before <= 10, "{before} and {after}");
}
