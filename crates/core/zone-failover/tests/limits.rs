//! The limits of the tables of engines and of reports: 1,024 entries, a full table, and one entry more.

use lemonusher_zone_failover::*;
use std::time::Duration;

const CAPACITY: u32 = 4096;

#[test]
fn repeated_full_list_keeps_all_known_engines() {
    for (engines, listed) in [(1024, 1024), (CAPACITY, CAPACITY), (CAPACITY + 1, CAPACITY)] {
        let mut observer = Observer::new(Duration::ZERO, 0, Vec::new());
        for _ in 0..2 {
            observer.begin_full_list();
            (0..engines).for_each(|engine| observer.update_engine(engine, 1, 8, true));
            observer.end_full_list();
        }
        let report = observer.report(Duration::from_secs(1), &config(), 1.0).report;
        let stats = report.zones.iter().find(|stats| stats.zone == 1).map(|stats| u32::from(stats.listed));
        assert_eq!(stats, (listed > 0).then_some(listed), "{engines} engines");
    }
}

#[test]
fn reports_of_many_fronts_count() {
    for (fronts, counted) in
        [(1024, 1024), (u64::from(CAPACITY), CAPACITY), (u64::from(CAPACITY) + 1, CAPACITY)]
    {
        let mut evaluator = HealthEvaluator::default();
        for _ in 0..2 {
            (0..fronts)
                .for_each(|front| evaluator.handle_report(Duration::ZERO, front, FrontReport::default()));
        }
        assert_eq!(evaluator.front_count(), counted as usize);
    }
}

fn config() -> FailoverConfig {
    let ms = Duration::from_millis;
    FailoverConfig {
        report_interval: ms(500),
        confirmation_time: ms(2000),
        probation: ms(4000),
        ramp_interval: ms(5000),
        recovery_backoff: ms(5000),
        plan_timeout: ms(10_000),
        max_utilization: 0.8,
        admission_floor: 0.05,
    }
}
