//! Mutation tests: repeats checks of the other tests with settings or inputs that break a rule on purpose. The check
//! must fail for each of them.

mod common;

use common::{class, config, ms, version};
use lemonusher_zone_failover::*;
use std::time::Duration;

fn classes(rate: f64, floor: f64) -> Vec<ClassLoad> {
    vec![class(1.0, 0.2, rate, floor), class(1.0, 2.0, rate, floor)]
}

fn zone(health: ZoneHealth, cores: u32) -> LocalZone {
    LocalZone { health, cores }
}

/// Whether every class is served at least its floor of 0.1.
fn floors_hold(floor: f64) -> bool {
    let plan = allocate(&classes(10.0, floor), &[ZoneCapacity { zone: 0, work: 2.5 }]);
    plan.served_shares.iter().all(|served_share| *served_share >= 0.1 - 1e-9)
}

/// Whether the steps of a recovery are at least the tests' ramp interval of 2 seconds apart.
fn is_paced(config: &FailoverConfig) -> bool {
    let mut state_machine = ZoneStateMachine::new(
        ms(0),
        ZonePlan { state: ZoneState::Probing, open_permille: 0, blocked_classes: 0, consecutive_losses: 1 },
    );
    let input = ZoneInput {
        health: ZoneHealth::Healthy,
        evidence: Evidence { healthy_remote: 3, answering_share: 1.0, ..Evidence::default() },
        operator_override: OperatorOverride::Auto,
        others_degraded_share: 0.0,
    };
    let (mut now, mut times) = (ms(0), Vec::new());
    while state_machine.plan.state != ZoneState::Up && now < ms(60_000) {
        now += ms(500);
        let step = state_machine.step(now, config, &input);
        times.extend(step.filter(|step| step.to == ZoneState::Recovering).map(|_| now));
    }
    times.len() >= 3 && times.windows(2).all(|pair| pair[1] - pair[0] >= ms(2000))
}

/// The work a second that this number of isolated fronts admit together, over the capacity of the remaining zone.
fn isolated_utilization(fronts: usize, share: f64) -> f64 {
    let local = LocalView {
        zones: vec![zone(ZoneHealth::Unreachable, 16), zone(ZoneHealth::Healthy, 16)],
        classes: classes(8.0, 0.1),
        isolated_share: share,
    };
    let mut follower = PlanFollower::new(ms(0), 1, 1);
    let mut effect = PlanEffect::default();
    for iteration in 0..40 {
        effect = follower.effect(ms(500) * iteration, &config(), &local);
    }
    assert!(effect.isolated);
    let admitted_work: f64 = local
        .classes
        .iter()
        .zip(&effect.admitted_shares)
        .map(|(class, admitted_share)| class.demand() * admitted_share)
        .sum();
    admitted_work * fronts as f64 / (16.0 * 0.8)
}

/// Whether a front that follows a newer plan keeps a zone closed after it receives an older plan. With `ordered`
/// false the older plan carries a greater version, as for a front that does not compare versions.
fn keeps_newer_plan(ordered: bool) -> bool {
    let plan = |state, open| FailoverPlan {
        zones: vec![ZonePlan { state, open_permille: open, ..ZonePlan::default() }],
        ..FailoverPlan::default()
    };
    let mut follower = PlanFollower::new(ms(0), 1, 1);
    follower.handle_plan(ms(1), version(3, 7), &plan(ZoneState::Lost, 0));
    let older = if ordered { version(3, 6) } else { version(3, 8) };
    follower.handle_plan(ms(2), older, &plan(ZoneState::Up, FULLY_OPEN));
    let local = LocalView { zones: vec![zone(ZoneHealth::Unknown, 8)], ..LocalView::default() };
    !follower.effect(ms(3), &config(), &local).restrictions.is_empty()
}

#[test]
fn each_broken_rule_is_detected() {
    assert!(floors_hold(0.1) && !floors_hold(0.0), "no floor");
    let without_ramp_interval = FailoverConfig { ramp_interval: Duration::ZERO, ..config() };
    assert!(is_paced(&config()) && !is_paced(&without_ramp_interval), "no ramp interval");
    assert!(isolated_utilization(20, 1.0 / 20.0) <= 1.0 + 1e-6, "{}", isolated_utilization(20, 1.0 / 20.0));
    assert!(isolated_utilization(20, 1.0) > 1.5, "an unbounded isolated-front rule");
    assert!(keeps_newer_plan(true) && !keeps_newer_plan(false), "a stale plan followed");
    println!("proof: sites_mutants_caught 4 of 4");
}
