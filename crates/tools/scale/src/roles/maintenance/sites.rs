//! The loss of a zone: one front's watch over all machines, and the holder that hears all fronts.

use super::{CORES, PERIOD, PLANNED_AFTER, REPORT, Shown, Turns, UTILIZATION, bytes_of, zone};
use crate::budget;
use crate::error::MeasureError;
use lemonusher_registers::EntryVersion;
use lemonusher_zone_failover::{
    AttemptResult, ClassLoad, Coordinator, Demand, FailoverConfig, FailoverPlan, FrontReport, Observation,
    Observer, RegisterAction, ZoneState, ZoneStats,
};
use std::time::Duration;

/// Periods before the zone is lost, and at most until the plan closes it.
const STEADY_PERIODS: u32 = 20;
const MOST_PERIODS: u32 = 40;
/// Periods of a front's watch.
const WATCHED_PERIODS: u32 = 40;
const QUICK_PERIODS: u32 = 4;
/// The zone that is lost.
const LOST: u32 = 1;
/// Machines of a zone that a front has tried within a period, at most.
const TRIED: u32 = 64;
/// Seconds of work of one request, by request class.
const WORKS: [f64; 4] = [0.01, 0.05, 0.5, 4.0];
const SPAN: f64 = 0.02;

pub fn terms() -> FailoverConfig {
    FailoverConfig {
        report_interval: PERIOD,
        confirmation_time: PERIOD * 3,
        probation: PERIOD * 4,
        ramp_interval: PERIOD * 4,
        recovery_backoff: PERIOD * 8,
        max_utilization: 0.8,
        admission_floor: 0.1,
        plan_timeout: PERIOD * 12,
    }
}

/// Request classes whose demand fills a part of this many machines, each group alike.
pub fn groups(machines: u32) -> Vec<ClassLoad> {
    let all = f64::from(machines * CORES) * UTILIZATION;
    let each = all / WORKS.len() as f64;
    let group = |work: f64| ClassLoad {
        priority_weight: 1.0,
        work,
        rate: each / work,
        latency_objective: 1.0,
        deadline: 20.0,
        floor: 0.1,
        allowed_zones: None,
    };
    WORKS.into_iter().map(group).collect()
}

/// A front that hears from every machine in every period.
pub fn front(machines: u32, quick: bool) -> Result<Shown, MeasureError> {
    let mut eyes = Observer::new(Duration::ZERO, 0, groups(machines));
    (0..machines).for_each(|machine| eyes.update_engine(machine, zone(machine), CORES, true));
    let share = 1.0 / f64::from(budget::FRONTS);
    let (mut turns, mut now, mut bytes) = (Turns::default(), Duration::ZERO, 0);
    for _ in 0..if quick { QUICK_PERIODS } else { WATCHED_PERIODS } {
        now += PERIOD;
        let Observation { report, .. } = turns.time(|| {
            for machine in 0..machines {
                let group = machine as usize % WORKS.len();
                eyes.request_arrived(group);
                eyes.attempt_sent(now, machine);
                let work = Some(WORKS[group]);
                eyes.attempt_ended(
                    now,
                    machine,
                    group,
                    AttemptResult::Returned { elapsed: SPAN, work, threads: 1.0 },
                );
            }
            eyes.report(now, &terms(), share)
        });
        bytes = postcard::to_allocvec(&report).map_or(0, |encoded| encoded.len());
    }
    Ok(Shown { turns, bytes: bytes_of(eyes), more: vec![(REPORT, bytes as f64)] })
}

/// What a front sees of one zone.
fn sight(site: u32, machines: u32, lost: bool) -> ZoneStats {
    let listed = machines / budget::ZONES;
    let tried = listed.min(TRIED) as u16;
    ZoneStats {
        zone: site,
        listed: listed.min(u32::from(u16::MAX)) as u16,
        cores: listed * CORES,
        answering: if lost { 0 } else { tried },
        silent: if lost { tried } else { 0 },
        returned: if lost { 0 } else { u32::from(tried) },
        slow: 0,
        failed: if lost { u32::from(tried) } else { 0 },
    }
}

fn report(front: u32, machines: u32, lost: Option<u32>) -> FrontReport {
    let share = 1.0 / f64::from(budget::FRONTS);
    let demand = groups(machines)
        .into_iter()
        .map(|group| Demand { rate: (group.rate * share) as f32, work: group.work as f32 });
    FrontReport {
        zone: front % budget::ZONES,
        zones: (0..budget::ZONES).map(|site| sight(site, machines, lost == Some(site))).collect(),
        demand: demand.collect(),
    }
}

/// The holder of the lease over a fleet of the design size, until it has planned the loss of a zone.
pub fn planner(machines: u32) -> Result<Shown, MeasureError> {
    let mut holder = Coordinator::new(1, groups(machines));
    holder.set_lease(Some(1));
    let (mut turns, mut now, mut version) = (Turns::default(), Duration::ZERO, 0);
    for period in 0..STEADY_PERIODS + MOST_PERIODS {
        now += PERIOD;
        let lost = (period >= STEADY_PERIODS).then_some(LOST);
        // Who stood in the lost zone is not heard any more.
        let heard = (0..budget::FRONTS).filter(|front| lost != Some(front % budget::ZONES));
        let reports: Vec<(u32, FrontReport)> =
            heard.map(|front| (front, report(front, machines, lost))).collect();
        let want = turns.time(|| {
            reports
                .into_iter()
                .for_each(|(front, report)| holder.handle_report(now, u64::from(front), report));
            holder.poll(now, &terms(), &[])
        });
        match want {
            Some(RegisterAction::Read) => holder.handle_committed(now, None, None),
            Some(RegisterAction::Write { plan, .. }) => {
                version += 1;
                if closes(&plan) {
                    let after = PERIOD * (period + 1 - STEADY_PERIODS);
                    let more = vec![(PLANNED_AFTER, after.as_secs_f64())];
                    return Ok(Shown { turns, bytes: bytes_of(holder), more });
                }
                holder.handle_committed(now, Some(EntryVersion { epoch: 1, counter: version }), Some(plan));
            }
            None => {}
        }
    }
    Err(MeasureError::Failed("the loss of a zone was never planned".into()))
}

fn closes(plan: &FailoverPlan) -> bool {
    plan.zones.get(LOST as usize).is_some_and(|site| site.state == ZoneState::Lost)
}
