//! Simulates a fleet in virtual time: fronts that observe zones, a coordinator that runs the zones' state machines,
//! and fronts that some plans don't reach.

mod common;

use common::{config, ms, version};
use lemonusher_zone_failover::*;
use std::collections::BTreeMap;
use std::time::Duration;

const ZONES: usize = 3;

/// A transition, with its time.
#[derive(Debug)]
struct Step {
    at: Duration,
    #[expect(dead_code, reason = "printed where an assertion fails")]
    zone: usize,
    transition: Transition,
}

/// The fleet, with the state of its links and zones.
struct World {
    now: Duration,
    /// The share of a zone's engines that answer a front, by front and zone.
    answers: Box<dyn Fn(usize, u32) -> f64>,
    /// Whether nine in ten attempts are slow, by zone.
    slow: Box<dyn Fn(u32) -> bool>,
    /// Whether the front is down, by front.
    dead: Vec<bool>,
    /// Whether no plan reaches the front, by front.
    disconnected: Vec<bool>,
    /// The zone of each front.
    front_zones: Vec<u32>,
    followers: Vec<PlanFollower>,
    effects: Vec<PlanEffect>,
    evaluator: HealthEvaluator,
    state_machines: Vec<ZoneStateMachine>,
    counter: u64,
    plan: FailoverPlan,
    overrides: [OperatorOverride; ZONES],
    steps: Vec<Step>,
    rates: [f32; 3],
}

impl World {
    fn new(fronts: usize) -> World {
        let now = ms(1000);
        let front_zones: Vec<u32> = (0..fronts).map(|front| front as u32 % ZONES as u32).collect();
        World {
            now,
            answers: Box::new(|_, _| 1.0),
            slow: Box::new(|_| false),
            dead: vec![false; fronts],
            disconnected: vec![false; fronts],
            followers: front_zones
                .iter()
                .enumerate()
                .map(|(n, zone)| PlanFollower::new(now, *zone, n as u64))
                .collect(),
            front_zones,
            effects: vec![PlanEffect::default(); fronts],
            evaluator: HealthEvaluator::default(),
            state_machines: vec![ZoneStateMachine::up(now); ZONES],
            counter: 0,
            plan: FailoverPlan::default(),
            overrides: [OperatorOverride::Auto; ZONES],
            steps: Vec::new(),
            rates: [3.0, 1.0, 1.0],
        }
    }

    fn classes(&self, share: f64) -> Vec<ClassLoad> {
        let all = self.front_zones.len() as f64;
        let class = |at: usize, priority_weight, work| ClassLoad {
            priority_weight,
            work,
            rate: f64::from(self.rates[at]) * all * share,
            latency_objective: 1.0,
            deadline: 20.0,
            floor: config().admission_floor,
            allowed_zones: None,
        };
        vec![class(0, 1.0, 0.2), class(1, 10.0, 4.0), class(2, 10.0, 6.0)]
    }

    /// The report of a front. A front observes nothing of a zone that is closed to it.
    fn report(&self, front: usize) -> FrontReport {
        let stats = |zone: u32| {
            let closed = self.effects[front].restrictions.iter().find(|restriction| restriction.zone == zone);
            let open = closed.map_or(FULLY_OPEN, |restriction| restriction.open_permille);
            let tried = if open == 0 { 0 } else { 4 };
            let answering = ((self.answers)(front, zone) * f64::from(tried)).round() as u16;
            let returned = u32::from(answering) * 5;
            let slow = if (self.slow)(zone) { returned * 9 / 10 } else { 0 };
            let failed = u32::from(tried - answering) * 5;
            ZoneStats {
                zone,
                listed: 4,
                cores: 32,
                answering,
                silent: tried - answering,
                returned,
                slow,
                failed,
            }
        };
        let demand = |at: usize, work| Demand { rate: self.rates[at], work };
        FrontReport {
            zone: self.front_zones[front],
            zones: (0..ZONES as u32).map(stats).collect(),
            demand: vec![demand(0, 0.2), demand(1, 4.0), demand(2, 6.0)],
        }
    }

    fn round(&mut self) {
        let config = config();
        self.now += config.report_interval;
        self.step_zones(&config);
        self.plan(&config);
        self.follow(&config);
    }

    /// Delivers all reports and runs each zone's state machine once.
    fn step_zones(&mut self, config: &FailoverConfig) {
        for front in (0..self.front_zones.len()).filter(|front| !self.dead[*front]) {
            self.evaluator.handle_report(self.now, front as u64, self.report(front));
        }
        self.evaluator.expire(self.now, config.report_interval);
        let degraded: Vec<f64> =
            (0..ZONES).map(|zone| self.evaluator.evidence(zone as u32).degraded_share).collect();
        for zone in 0..ZONES {
            let others = (0..ZONES).filter(|other| *other != zone);
            let input = ZoneInput {
                health: self.evaluator.health(zone as u32),
                evidence: self.evaluator.evidence(zone as u32),
                operator_override: self.overrides[zone],
                others_degraded_share: others.map(|other| degraded[other]).fold(0.0, f64::max),
            };
            if let Some(transition) = self.state_machines[zone].step(self.now, config, &input) {
                self.steps.push(Step { at: self.now, zone, transition });
            }
        }
    }

    /// Builds the plan, and commits it if it changed.
    fn plan(&mut self, config: &FailoverConfig) {
        let supply: Vec<ZoneSupply> = (0..ZONES)
            .map(|zone| {
                let evidence = self.evaluator.evidence(zone as u32);
                ZoneSupply { cores: evidence.cores, answering_share: evidence.answering_share }
            })
            .collect();
        let prober = (0..self.front_zones.len()).find(|front| !self.dead[*front]).unwrap() as u64;
        let PlannedAllocation { plan, .. } =
            build_plan(&self.state_machines, &self.classes(1.0), &supply, config, prober);
        if plan != self.plan {
            (self.counter, self.plan) = (self.counter + 1, plan);
        }
    }

    /// Sends the plan to all connected fronts; every front applies its latest plan.
    fn follow(&mut self, config: &FailoverConfig) {
        let share = 1.0 / self.front_zones.len() as f64;
        for front in 0..self.front_zones.len() {
            if !self.disconnected[front] {
                self.followers[front].handle_plan(self.now, version(1, self.counter), &self.plan);
            }
            let observe = |zone: u32| {
                let stats = self.report(front).zones[zone as usize];
                let tried = stats.answering + stats.silent;
                let health = match tried {
                    0 => ZoneHealth::Unknown,
                    _ if stats.answering * 2 < tried => ZoneHealth::Unreachable,
                    _ => ZoneHealth::Healthy,
                };
                LocalZone { health, cores: stats.cores }
            };
            let local = LocalView {
                zones: (0..ZONES as u32).map(observe).collect(),
                classes: self.classes(share),
                isolated_share: share,
            };
            self.effects[front] = self.followers[front].effect(self.now, config, &local);
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.round();
        }
    }

    fn state(&self, zone: usize) -> ZoneState {
        self.state_machines[zone].plan.state
    }

    fn open(&self, front: usize, zone: u32) -> u16 {
        self.effects[front]
            .restrictions
            .iter()
            .find(|restriction| restriction.zone == zone)
            .map_or(FULLY_OPEN, |one| one.open_permille)
    }

    /// The work a second that all fronts admit, over the capacity of all zones that answer.
    fn utilization(&self) -> f64 {
        let work = [0.2, 4.0, 6.0];
        let admitted: f64 = (self.effects.iter().enumerate())
            .filter(|(front, _)| !self.dead[*front])
            .map(|(_, effect)| {
                let admitted_share = |at: usize| effect.admitted_shares.get(at).copied().unwrap_or(1.0);
                (0..3).map(|at| f64::from(self.rates[at]) * work[at] * admitted_share(at)).sum::<f64>()
            })
            .sum();
        let capacity = (0..ZONES as u32).filter(|zone| (self.answers)(0, *zone) > 0.5).count() as f64 * 32.0;
        admitted / capacity
    }
}

#[test]
fn lost_zone_is_closed_and_recovers_in_steps_with_short_work_first() {
    let mut world = World::new(12);
    world.run(ms(5000));
    assert!((0..ZONES).all(|zone| world.state(zone) == ZoneState::Up) && world.steps.is_empty());
    world.answers = Box::new(|_, zone| if zone == 1 { 0.0 } else { 1.0 });
    world
        .front_zones
        .iter()
        .zip(&mut world.dead)
        .filter(|(zone, _)| **zone == 1)
        .for_each(|(_, dead)| *dead = true);
    world.run(ms(3500));
    assert_eq!(world.state(1), ZoneState::Lost);
    assert!((0..12).filter(|front| world.front_zones[*front] != 1).all(|front| world.open(front, 1) == 0));
    // The maximum utilization is 0.8, and the plan rounds the admitted shares to thousandths.
    assert!(world.utilization() <= 0.801, "{}", world.utilization());
    world.answers = Box::new(|_, _| 1.0);
    world.dead.fill(false);
    let mut opened = Vec::new();
    for _ in 0..60 {
        world.round();
        let plan = world.plan.zones[1];
        if plan.state == ZoneState::Recovering
            && opened.last() != Some(&(plan.open_permille, plan.blocked_classes))
        {
            opened.push((plan.open_permille, plan.blocked_classes));
        }
    }
    assert_eq!(world.state(1), ZoneState::Up);
    // The class with the longest work is admitted last.
    assert_eq!(opened, [(125, 0b100), (250, 0), (500, 0), (750, 0), (1000, 0)]);
    let times: Vec<Duration> = world
        .steps
        .iter()
        .filter(|step| step.transition.to == ZoneState::Recovering)
        .map(|step| step.at)
        .collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= config().ramp_interval));
}

#[test]
fn one_bad_link_slow_engines_and_a_stale_list_lose_no_zone() {
    let mut world = World::new(9);
    world.answers = Box::new(|front, _| if front == 3 { 0.0 } else { 1.0 });
    world.run(ms(30_000));
    assert!(world.steps.is_empty(), "{:?}", world.steps);
    world.answers = Box::new(|_, zone| if zone == 2 { 0.75 } else { 1.0 });
    world.run(ms(30_000));
    assert!(world.steps.is_empty(), "{:?}", world.steps);
    // Nine in ten attempts are slow: the zone stays up, but its capacity is counted lower, so more is rejected.
    let before = world.plan.admitted_permille.clone();
    world.answers = Box::new(|_, _| 1.0);
    world.slow = Box::new(|zone| zone == 2);
    world.rates = [30.0, 2.5, 1.5];
    world.run(ms(5000));
    assert_eq!(world.state(2), ZoneState::Up);
    assert!(world.plan.admitted_permille.iter().sum::<u16>() < before.iter().sum::<u16>());
}

#[test]
fn partition_is_distinguished_from_a_loss() {
    let mut world = World::new(9);
    let front_zones = world.front_zones.clone();
    world.answers = Box::new(move |front, zone| {
        let inside = front_zones[front] == 2;
        if (zone == 2) == inside { 1.0 } else { 0.0 }
    });
    world.run(ms(4000));
    assert_eq!(world.state(2), ZoneState::Partitioned);
    for front in 0..9 {
        let here = world.front_zones[front] == 2;
        assert_eq!(world.open(front, 2), if here { FULLY_OPEN } else { 0 });
    }
    assert!((0..2).all(|zone| world.state(zone) == ZoneState::Up));
    world.answers = Box::new(|_, _| 1.0);
    world.run(ms(30_000));
    assert_eq!(world.state(2), ZoneState::Up);
}

#[test]
fn zone_without_fronts_keeps_serving() {
    let mut world = World::new(9);
    world.run(ms(3000));
    for front in 0..9 {
        world.dead[front] = world.front_zones[front] == 1;
    }
    world.run(ms(5000));
    assert_eq!(world.evaluator.health(1), ZoneHealth::FrontsLost);
    assert!(world.steps.is_empty());
}

#[test]
fn flapping_zone_backs_off_and_changes_rarely() {
    let mut world = World::new(6);
    let mut losses = Vec::new();
    for iteration in 0..240 {
        let up = iteration % 2 == 0;
        world.answers = Box::new(move |_, zone| if zone == 0 && !up { 0.0 } else { 1.0 });
        world.run(ms(5000));
        let lost = world
            .steps
            .iter()
            .filter(|step| step.transition.to == ZoneState::Lost && step.transition.from != ZoneState::Lost)
            .count();
        losses.push(lost);
    }
    // The zone fails 120 times in 1,200 seconds. Without a growing backoff each failure could cause several changes.
    let changes = world.steps.iter().filter(|step| step.transition.from != step.transition.to).count();
    println!("proof: sites_changes_in_20_minutes_of_flapping {changes}, losses {}", losses.last().unwrap());
    assert!(changes <= 150, "{changes}");
    let backoffs: Vec<Duration> = world
        .steps
        .windows(2)
        .filter(|pair| {
            pair[0].transition.to == ZoneState::Lost && pair[1].transition.to == ZoneState::Probing
        })
        .map(|pair| pair[1].at - pair[0].at)
        .collect();
    assert!(backoffs.iter().max().unwrap() >= &(config().recovery_backoff * 16), "{backoffs:?}");
}

#[test]
fn isolated_fronts_stay_within_their_quotas() {
    let mut world = World::new(30);
    world.rates = [12.0, 1.0, 0.5];
    world.run(ms(5000));
    for front in 0..30 {
        world.disconnected[front] = front % 3 != 0; // Disconnects two thirds of all fronts.
    }
    world.answers = Box::new(|_, zone| if zone == 1 { 0.0 } else { 1.0 });
    world.run(ms(15_000));
    assert_eq!(world.state(1), ZoneState::Lost);
    let isolated = world.effects.iter().filter(|effect| effect.isolated).count();
    assert_eq!(isolated, 20);
    assert!(world.utilization() <= 0.81, "{}", world.utilization());
    println!("proof: sites_filled_with_two_thirds_deaf {:.3}", world.utilization());
    for front in (0..30).filter(|front| world.effects[*front].isolated && world.front_zones[*front] != 1) {
        assert_eq!(world.open(front, 1), 0);
    }
    // The zone recovers, but an isolated front opens no zone by itself.
    world.answers = Box::new(|_, _| 1.0);
    world.run(ms(40_000));
    assert_eq!(world.state(1), ZoneState::Up);
    for front in 0..30 {
        let isolated = world.effects[front].isolated && world.front_zones[front] != 1;
        assert_eq!(world.open(front, 1), if isolated { 0 } else { FULLY_OPEN });
    }
    world.disconnected.fill(false);
    world.run(ms(2000));
    assert!((0..30).all(|front| world.open(front, 1) == FULLY_OPEN));
}

#[test]
fn stale_plan_version_is_ignored() {
    let mut follower = PlanFollower::new(ms(0), 0, 1);
    let plan = |state, open| FailoverPlan {
        zones: vec![ZonePlan { state, open_permille: open, ..ZonePlan::default() }; 2],
        ..FailoverPlan::default()
    };
    follower.handle_plan(ms(10), version(1, 5), &plan(ZoneState::Lost, 0));
    follower.handle_plan(ms(20), version(1, 4), &plan(ZoneState::Up, FULLY_OPEN));
    assert_eq!(follower.version(), Some(version(1, 5)));
    let local = LocalView {
        zones: vec![LocalZone { health: ZoneHealth::Healthy, cores: 8 }; 2],
        ..LocalView::default()
    };
    let effect = follower.effect(ms(30), &config(), &local);
    assert_eq!(effect.restrictions.iter().find(|one| one.zone == 1).map(|one| one.open_permille), Some(0));
    follower.handle_plan(ms(40), version(2, 1), &plan(ZoneState::Up, FULLY_OPEN));
    assert!(follower.effect(ms(50), &config(), &local).restrictions.is_empty());
}

#[test]
fn operator_overrides_hold_or_speed_up_recovery_and_drill() {
    let mut world = World::new(9);
    world.run(ms(2000));
    world.overrides[1] = OperatorOverride::Drill;
    world.run(ms(12_000));
    assert_eq!((world.state(1), world.plan.zones[1].open_permille), (ZoneState::Disabled, 0));
    let opened: Vec<u16> = world.steps.iter().map(|step| step.transition.open_permille).collect();
    assert_eq!(opened, [750, 500, 250, 125, 0]);
    // Outcomes in the other zones degrade, so the drill ends by itself and does not start again.
    world.slow = Box::new(|zone| zone != 1);
    world.run(ms(20_000));
    assert_eq!(world.state(1), ZoneState::Up);
    world.slow = Box::new(|_| false);
    world.run(ms(5000));
    assert_eq!(world.state(1), ZoneState::Up);
    world.overrides[1] = OperatorOverride::Auto;
    world.answers = Box::new(|_, zone| if zone == 0 { 0.0 } else { 1.0 });
    world.run(ms(5000));
    assert_eq!(world.state(0), ZoneState::Lost);
    world.overrides[0] = OperatorOverride::HoldRecovery;
    world.answers = Box::new(|_, _| 1.0);
    world.run(ms(60_000));
    assert_eq!(world.state(0), ZoneState::Lost);
    world.overrides[0] = OperatorOverride::FastRecovery;
    let from = world.now;
    while world.state(0) != ZoneState::Up {
        world.round();
    }
    assert!(world.now - from < config().probation + config().ramp_interval * 5);
}

#[test]
fn plan_admission_admits_its_share_and_spreads_retry_after() {
    let mut admission = PlanAdmission::new(2);
    admission.apply(&PlanEffect {
        admitted_shares: vec![0.3, 1.0],
        retry_after: ms(1000),
        ..PlanEffect::default()
    });
    let decisions: Vec<Result<(), Duration>> = (0..1000).map(|_| admission.admit(0)).collect();
    let admitted = decisions.iter().filter(|decision| decision.is_ok()).count();
    assert!((295..=305).contains(&admitted), "{admitted}");
    let mut tenths: BTreeMap<u128, usize> = BTreeMap::new();
    for retry_after in decisions.iter().filter_map(|decision| decision.err()) {
        assert!(retry_after >= ms(1000) && retry_after <= ms(2000));
        *tenths.entry(retry_after.as_millis() / 100).or_default() += 1;
    }
    assert!(tenths.values().all(|count| *count < 120), "{tenths:?}");
    assert!((0..100).all(|_| admission.admit(1).is_ok()));
    assert_eq!(admission.rejected(0), 1000 - admitted as u64);
}

#[test]
fn plan_fits_a_register_and_invalid_bytes_are_rejected() {
    let zone = ZonePlan {
        state: ZoneState::Recovering,
        open_permille: FULLY_OPEN,
        blocked_classes: u64::MAX,
        consecutive_losses: u8::MAX,
    };
    let plan = FailoverPlan {
        zones: vec![zone; MAX_ZONES],
        admitted_permille: vec![FULLY_OPEN; MAX_CLASSES],
        retry_after_ms: u32::MAX,
        prober: u64::MAX,
    };
    let bytes = plan.to_bytes();
    assert!(bytes.len() <= 640, "{}", bytes.len());
    assert_eq!(FailoverPlan::from_bytes(&bytes), Some(plan));
    assert_eq!(FailoverPlan::from_bytes(b"\xff\xff\xff"), None);
}
