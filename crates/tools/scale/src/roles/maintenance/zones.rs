//! The loss of a zone: one front's observation of all machines, and the coordinator that receives all reports.

use super::{CORES, CaseResult, PERIOD, PLANNED_AFTER, PollTimes, REPORT, UTILIZATION, freed_bytes, zone};
use crate::budget;
use crate::error::MeasureError;
use lemonusher_registers::EntryVersion;
use lemonusher_zone_failover::{
    AttemptResult, ClassLoad, Coordinator, Demand, FailoverConfig, FailoverPlan, FrontReport, Observation,
    Observer, RegisterAction, ZoneState, ZoneStats,
};
use std::time::Duration;

/// Number of periods before the zone is lost.
const STEADY_PERIODS: u32 = 20;
/// Limit of the periods from the loss of the zone until the plan closes it.
const MAX_PERIODS: u32 = 40;
/// Number of periods over which a front is measured.
const MEASURED_PERIODS: u32 = 40;
const QUICK_PERIODS: u32 = 4;
/// The zone that is lost.
const LOST_ZONE: u32 = 1;
/// The most machines of a zone to which a front has sent attempts within a period.
const MAX_TRIED_MACHINES: u32 = 64;
/// Seconds of work of one request, by request class.
const WORK_S: [f64; 4] = [0.01, 0.05, 0.5, 4.0];
const ELAPSED_S: f64 = 0.02;

/// The zone failover configuration of the measurement.
pub fn config() -> FailoverConfig {
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

/// Request classes whose demand together uses the share `UTILIZATION` of the cores of all machines, in equal parts.
pub fn classes(machines: u32) -> Vec<ClassLoad> {
    let all = f64::from(machines * CORES) * UTILIZATION;
    let each = all / WORK_S.len() as f64;
    let class = |work: f64| ClassLoad {
        priority_weight: 1.0,
        work,
        rate: each / work,
        latency_objective: 1.0,
        deadline: 20.0,
        floor: 0.1,
        allowed_zones: None,
    };
    WORK_S.into_iter().map(class).collect()
}

/// Measures a front to which every machine replies in every period.
pub fn front(machines: u32, quick: bool) -> Result<CaseResult, MeasureError> {
    let mut observer = Observer::new(Duration::ZERO, 0, classes(machines));
    (0..machines).for_each(|machine| observer.update_engine(machine, zone(machine), CORES, true));
    let share = 1.0 / f64::from(budget::FRONTS);
    let (mut poll_times, mut now, mut bytes) = (PollTimes::default(), Duration::ZERO, 0);
    for _ in 0..if quick { QUICK_PERIODS } else { MEASURED_PERIODS } {
        now += PERIOD;
        let Observation { report, .. } = poll_times.time(|| {
            for machine in 0..machines {
                let class = machine as usize % WORK_S.len();
                observer.request_arrived(class);
                observer.attempt_sent(now, machine);
                let work = Some(WORK_S[class]);
                observer.attempt_ended(
                    now,
                    machine,
                    class,
                    AttemptResult::Returned { elapsed: ELAPSED_S, work, threads: 1.0 },
                );
            }
            observer.report(now, &config(), share)
        });
        bytes = postcard::to_allocvec(&report).map_or(0, |encoded| encoded.len());
    }
    Ok(CaseResult { poll_times, bytes: freed_bytes(observer), more: vec![REPORT.of(bytes as f64)] })
}

/// A front's statistics of one zone.
fn zone_stats(zone: u32, machines: u32, lost: bool) -> ZoneStats {
    let listed = machines / budget::ZONES;
    let tried = listed.min(MAX_TRIED_MACHINES) as u16;
    ZoneStats {
        zone,
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
    let demand = classes(machines)
        .into_iter()
        .map(|class| Demand { rate: (class.rate * share) as f32, work: class.work as f32 });
    FrontReport {
        zone: front % budget::ZONES,
        zones: (0..budget::ZONES).map(|zone| zone_stats(zone, machines, lost == Some(zone))).collect(),
        demand: demand.collect(),
    }
}

/// Measures the coordinator of a fleet of the design size, until its plan closes the lost zone.
pub fn planner(machines: u32) -> Result<CaseResult, MeasureError> {
    let mut coordinator = Coordinator::new(1, classes(machines));
    coordinator.set_lease(Some(1));
    let (mut poll_times, mut now, mut version) = (PollTimes::default(), Duration::ZERO, 0);
    for period in 0..STEADY_PERIODS + MAX_PERIODS {
        now += PERIOD;
        let lost = (period >= STEADY_PERIODS).then_some(LOST_ZONE);
        // The fronts of the lost zone no longer report.
        let reporting = (0..budget::FRONTS).filter(|front| lost != Some(front % budget::ZONES));
        let reports: Vec<(u32, FrontReport)> =
            reporting.map(|front| (front, report(front, machines, lost))).collect();
        let action = poll_times.time(|| {
            reports
                .into_iter()
                .for_each(|(front, report)| coordinator.handle_report(now, u64::from(front), report));
            coordinator.poll(now, &config(), &[])
        });
        match action {
            Some(RegisterAction::Read) => coordinator.handle_committed(now, None, None),
            Some(RegisterAction::Write { plan, .. }) => {
                version += 1;
                if closes_lost_zone(&plan) {
                    let after = PERIOD * (period + 1 - STEADY_PERIODS);
                    let more = vec![PLANNED_AFTER.of(after.as_secs_f64())];
                    return Ok(CaseResult { poll_times, bytes: freed_bytes(coordinator), more });
                }
                coordinator.handle_committed(
                    now,
                    Some(EntryVersion { epoch: 1, counter: version }),
                    Some(plan),
                );
            }
            None => {}
        }
    }
    Err(MeasureError::Failed("no plan closed the lost zone within the limit of periods".into()))
}

fn closes_lost_zone(plan: &FailoverPlan) -> bool {
    plan.zones.get(LOST_ZONE as usize).is_some_and(|zone| zone.state == ZoneState::Lost)
}
