//! The observer: its view of engines, zones and demand.

mod common;

use common::{class, config, ms};
use lemonusher_zone_failover::*;

fn observer() -> Observer {
    let mut observer = Observer::new(ms(0), 0, vec![class(1.0, 0.5, 0.0, 0.1)]);
    for engine in 0..4 {
        observer.update_engine(engine, engine / 2, 8, true);
    }
    observer
}

#[test]
fn answering_failing_and_silent_engines_are_distinguished() {
    let mut observer = observer();
    observer.attempt_sent(ms(100), 0);
    observer.attempt_ended(
        ms(300),
        0,
        0,
        AttemptResult::Returned { elapsed: 0.2, work: Some(0.2), threads: 1.0 },
    );
    observer.attempt_sent(ms(100), 2);
    observer.attempt_ended(ms(300), 2, 0, AttemptResult::Failed);
    observer.attempt_sent(ms(100), 3); // Engine 3 answers only at 1,800 ms.
    let Observation { report, .. } = observer.report(ms(500), &config(), 1.0);
    let seen = |report: &FrontReport, zone: usize| (report.zones[zone].answering, report.zones[zone].silent);
    assert_eq!((seen(&report, 0), seen(&report, 1)), ((1, 0), (0, 1)));
    let Observation { report, local } = observer.report(ms(1700), &config(), 1.0);
    assert_eq!(seen(&report, 1), (0, 2));
    assert_eq!((local.zones[1].health, local.zones[0].cores), (ZoneHealth::Unreachable, 16));
    observer.engine_answered(ms(1800), 3);
    observer.update_engine(2, 1, 8, false);
    let Observation { report, local } = observer.report(ms(2000), &config(), 1.0);
    assert_eq!((seen(&report, 1), report.zones[1].listed), ((1, 0), 1));
    assert_eq!(local.zones[1].health, ZoneHealth::Healthy);
}

/// An attempt and how it ended, in milliseconds.
struct EndedAttempt {
    sent_at: u64,
    ended_at: u64,
    result: AttemptResult,
}

fn cancelled(sent_at: u64, ended_at: u64) -> EndedAttempt {
    EndedAttempt { sent_at, ended_at, result: AttemptResult::Cancelled { sent_at: ms(sent_at) } }
}

/// What engine 0 counts as at `now`, after these attempts.
fn answers_after(now: u64, attempts: &[EndedAttempt]) -> Option<bool> {
    let mut observer = observer();
    for EndedAttempt { sent_at, ended_at, result } in attempts {
        observer.attempt_sent(ms(*sent_at), 0);
        observer.attempt_ended(ms(*ended_at), 0, 0, *result);
    }
    observer.engines(ms(now), &config())[0].answers
}

/// Guards against a healthy engine that counts as silent, long after its one attempt was cancelled or never sent.
#[test]
fn engine_without_anything_in_flight_is_not_silent() {
    assert_eq!(answers_after(9000, &[cancelled(100, 150)]), None);
    let not_sent =
        EndedAttempt { sent_at: 100, ended_at: 2900, result: AttemptResult::NotSent { sent_at: ms(100) } };
    assert_eq!(answers_after(9000, &[not_sent]), None);
    // An engine that leaves everything unanswered until it is cancelled is silent, however short each wait is.
    let confirmation = config().confirmation_time.as_millis() as u64;
    let waits: Vec<EndedAttempt> =
        (0..=confirmation / 50).map(|n| cancelled(n * 100, n * 100 + 50)).collect();
    assert_eq!(answers_after(9000, &waits), Some(false));
    // A failure counts on, whatever is cancelled after it.
    let failed = EndedAttempt { sent_at: 100, ended_at: 150, result: AttemptResult::Failed };
    assert_eq!(answers_after(9000, &[failed, cancelled(200, 250)]), Some(false));
    // One that was sent before the last answer says nothing of those after it.
    let mut observer = observer();
    observer.attempt_sent(ms(100), 0);
    observer.engine_answered(ms(200), 0);
    observer.attempt_sent(ms(300), 0);
    observer.attempt_ended(ms(400), 0, 0, AttemptResult::Cancelled { sent_at: ms(100) });
    assert_eq!(observer.engines(ms(9000), &config())[0].answers, Some(false));
}

#[test]
fn demand_counts_arrivals_and_work_is_learned_from_responses() {
    let mut observer = observer();
    (0..50).for_each(|_| observer.request_arrived(0));
    (0..40).for_each(|_| {
        observer.attempt_ended(
            ms(400),
            0,
            0,
            AttemptResult::Returned { elapsed: 9.0, work: Some(2.0), threads: 1.0 },
        );
    });
    let Observation { report, local } = observer.report(ms(500), &config(), 0.5);
    assert_eq!(report.demand[0].rate, 20.0); // The smoothed rate: a fifth of the 100 a second over this interval.
    assert!((report.demand[0].work - 2.0).abs() < 0.2, "{:?}", report.demand);
    assert_eq!((report.zones[0].returned, report.zones[0].slow), (40, 40));
    assert_eq!(local.classes[0].rate, 20.0);
    let Observation { report, .. } = observer.report(ms(1000), &config(), 0.5);
    assert_eq!((report.zones[0].returned, report.demand[0].rate), (0, 16.0));
}
