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
