//! The coordinator: its reads and writes of the plan's register, and its preview of a lost zone.

mod common;

use common::{class, config, ms, version};
use lemonusher_zone_failover::*;
use std::time::Duration;

fn report(zone: u32, good: [bool; 2]) -> FrontReport {
    let stats = |zone: usize| ZoneStats {
        zone: zone as u32,
        listed: 2,
        cores: 16,
        answering: if good[zone] { 2 } else { 0 },
        silent: if good[zone] { 0 } else { 2 },
        ..ZoneStats::default()
    };
    let zone_stats = (0..2).map(stats).collect();
    FrontReport { zone, zones: zone_stats, demand: vec![Demand { rate: 10.0, work: 0.5 }] }
}

fn coordinator(incarnation: u64) -> Coordinator {
    Coordinator::new(incarnation, vec![class(1.0, 0.5, 0.0, 0.1)])
}

fn round(coordinator: &mut Coordinator, now: &mut Duration, good: [bool; 2]) -> Option<RegisterAction> {
    *now += ms(500);
    (0..4).for_each(|front| coordinator.handle_report(*now, front, report(0, good)));
    coordinator.poll(*now, &config(), &[])
}

#[test]
fn coordinator_reads_first_and_writes_only_changed_plans() {
    let (mut coordinator, mut now) = (coordinator(7), ms(0));
    assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None, "the coordinator holds no lease");
    coordinator.set_lease(Some(5));
    assert_eq!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Read));
    assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None, "the coordinator's read is in progress");
    coordinator.handle_committed(now, None, None);
    let Some(RegisterAction::Write { expected: None, fencing_token: 5, plan }) =
        round(&mut coordinator, &mut now, [true; 2])
    else {
        panic!("no plan is committed at first");
    };
    assert_eq!((plan.zones.len(), plan.prober, plan.zones[1].open_permille), (2, 7, FULLY_OPEN));
    coordinator.handle_committed(now, Some(version(1, 1)), Some(plan));
    for _ in 0..20 {
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None);
    }
    // A zone is lost, and the next coordinator continues from the committed plan.
    let mut wanted = None;
    while !matches!(&wanted, Some(RegisterAction::Write { plan, .. }) if plan.zones[1].state == ZoneState::Lost)
    {
        wanted = round(&mut coordinator, &mut now, [true, false]);
        if let Some(RegisterAction::Write { plan, .. }) = &wanted {
            coordinator.handle_committed(now, Some(version(1, 2)), Some(plan.clone()));
        }
    }
    let Some(RegisterAction::Write { plan, .. }) = wanted else { unreachable!() };
    let (mut next, mut later) = (self::coordinator(8), now);
    next.set_lease(Some(6));
    assert_eq!(round(&mut next, &mut later, [true, false]), Some(RegisterAction::Read));
    next.handle_committed(later, Some(version(1, 3)), Some(plan));
    let Some(RegisterAction::Write { expected, fencing_token: 6, plan }) =
        round(&mut next, &mut later, [true, false])
    else {
        panic!("the new coordinator names itself as the prober");
    };
    assert_eq!(expected, Some(version(1, 3)));
    assert_eq!(plan.zones[1].state, ZoneState::Lost);
}

#[test]
fn coordinator_rereads_after_a_failure_or_a_lost_lease() {
    let (mut coordinator, mut now) = (coordinator(7), ms(0));
    coordinator.set_lease(Some(5));
    round(&mut coordinator, &mut now, [true; 2]);
    coordinator.handle_committed(now, None, None);
    assert!(matches!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Write { .. })));
    coordinator.handle_failure();
    assert_eq!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Read));
    coordinator.set_lease(None);
    assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None);
    coordinator.handle_committed(now, Some(version(1, 9)), None);
    coordinator.set_lease(Some(8));
    assert_eq!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Read));
}

#[test]
fn preview_shows_demand_that_the_remaining_zones_cannot_serve() {
    let (mut coordinator, mut now) = (coordinator(7), ms(0));
    for _ in 0..10 {
        round(&mut coordinator, &mut now, [true; 2]);
    }
    let plan = FailoverPlan::default();
    let now_served = coordinator.preview(&config(), &plan, &[]).allocation.served_shares[0];
    let then = coordinator.preview(&config(), &plan, &[1]);
    assert!(
        now_served > 0.99 && then.allocation.served_shares[0] < 0.7,
        "{now_served} {:?}",
        then.allocation
    );
    assert_eq!((then.zones[1].plan.state, then.zones[1].utilization), (ZoneState::Lost, 0.0));
    assert_eq!(coordinator.preview(&config(), &plan, &[0, 1]).allocation.unplaceable_shares, [1.0]);
}
