//! The checks that other tests make are made here on plans and fronts that are spoilt on purpose: each must be caught.

use lemonusher_zone_failover::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config() -> FailoverConfig {
    let (period, confirm, steady, pace) = (ms(500), ms(1500), ms(2000), ms(2000));
    let (wait, stale) = (ms(4000), ms(6000));
    FailoverConfig {
        report_interval: period,
        confirmation_time: confirm,
        probation: steady,
        ramp_interval: pace,
        recovery_backoff: wait,
        max_utilization: 0.8,
        admission_floor: 0.1,
        plan_timeout: stale,
    }
}

fn classes(rate: f64, floor: f64) -> Vec<ClassLoad> {
    let class = |utility, work| ClassLoad {
        priority_weight: utility,
        work,
        rate,
        latency_objective: 1.0,
        deadline: 20.0,
        floor,
        allowed_zones: None,
    };
    vec![class(1.0, 0.2), class(1.0, 2.0)]
}

/// Whether all are served to their floor at least.
fn floors_hold(floor: f64) -> bool {
    let plan = allocate(&classes(10.0, floor), &[ZoneCapacity { zone: 0, work: 2.5 }]);
    plan.served_shares.iter().all(|part| *part >= 0.1 - 1e-9)
}

/// Whether no two steps of a return lie closer than the stated pace.
fn paced(config: &FailoverConfig) -> bool {
    let mut state_machine = ZoneStateMachine::new(
        ms(0),
        ZonePlan { state: ZoneState::Probing, open_permille: 0, blocked_classes: 0, consecutive_losses: 1 },
    );
    let seen = Evidence { healthy_remote: 3, answering_share: 1.0, ..Evidence::default() };
    let (mut now, mut dates) = (ms(0), Vec::new());
    while state_machine.plan.state != ZoneState::Up && now < ms(60_000) {
        now += ms(500);
        let step = state_machine.step(now, config, ZoneHealth::Healthy, &seen, OperatorOverride::Auto, 0.0);
        dates.extend(step.filter(|step| step.to == ZoneState::Recovering).map(|_| now));
    }
    dates.len() >= 3 && dates.windows(2).all(|two| two[1] - two[0] >= ms(2000))
}

/// Work a second that so many fronts let in that all go by themselves, over what is left and safe.
fn alone(fronts: usize, share: f64) -> f64 {
    let local = LocalView {
        zones: vec![(ZoneHealth::Unreachable, 16), (ZoneHealth::Healthy, 16)],
        classes: classes(8.0, 0.1),
        quota: share,
    };
    let mut follower = PlanFollower::new(ms(0), 1, 1);
    let mut effect = PlanEffect::default();
    for turn in 0..40 {
        effect = follower.effect(ms(500) * turn, &config(), &local);
    }
    assert!(effect.isolated);
    let works: f64 =
        local.classes.iter().zip(&effect.admitted_shares).map(|(class, part)| class.demand() * part).sum();
    works * fronts as f64 / (16.0 * 0.8)
}

/// Whether a front that has followed a newer epoch stays closed when an older one is shown.
fn keeps_epoch(ordered: bool) -> bool {
    let plan = |state, open| FailoverPlan {
        zones: vec![ZonePlan { state, open_permille: open, ..ZonePlan::default() }],
        ..FailoverPlan::default()
    };
    let mut follower = PlanFollower::new(ms(0), 1, 1);
    follower.handle_plan(ms(1), (3, 7), &plan(ZoneState::Lost, 0));
    let older = if ordered { (3, 6) } else { (3, 8) }; // A front that does not compare takes any for newer.
    follower.handle_plan(ms(2), older, &plan(ZoneState::Up, FULLY_OPEN));
    let local = LocalView { zones: vec![(ZoneHealth::Unknown, 8)], ..LocalView::default() };
    !follower.effect(ms(3), &config(), &local).restrictions.is_empty()
}

#[test]
fn each_spoilt_rule_is_caught() {
    assert!(floors_hold(0.1) && !floors_hold(0.0), "no floor");
    let hasty = FailoverConfig { ramp_interval: Duration::ZERO, ..config() };
    assert!(paced(&config()) && !paced(&hasty), "no pace");
    assert!(alone(20, 1.0 / 20.0) <= 1.0 + 1e-6, "{}", alone(20, 1.0 / 20.0));
    assert!(alone(20, 1.0) > 1.5, "an unbounded solitary rule");
    assert!(keeps_epoch(true) && !keeps_epoch(false), "an old epoch believed");
    println!("proof: sites_mutants_caught 4 of 4");
}
