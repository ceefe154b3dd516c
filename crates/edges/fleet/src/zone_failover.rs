//! Zone failover at a front: connects the coordinator and the plan follower of `lemonusher-zone-failover` to the lease,
//! the registers, the other fronts' reports and this front's router.

use crate::body::{Body, ClassRow, ZoneRow};
use lemonusher_registers::{Learner, Operation, ProposalOutcome};
use lemonusher_routing::{ControlUpdate, ZoneObservation};
use lemonusher_zone_failover::{
    ClassLoad, Coordinator, FailoverConfig, FailoverPlan, FrontReport, LocalView, MAX_ZONES,
    OperatorOverride, PlanEffect, PlanFollower, RegisterAction, ZoneState, ZoneTransition,
};
use std::sync::Arc;
use std::time::Duration;

/// The name of the coordinator's lease and of the plan's register.
pub const NAME: &str = "sites";
/// The name of the register of operator overrides.
pub const OVERRIDES_REGISTER: &str = "sites.wishes";
/// Zones with fewer attempts than this say nothing about the share of degraded ones.
const MIN_ATTEMPTS: u32 = 10;

/// How zone failover is configured.
#[derive(Debug, Clone)]
pub struct ZoneFailoverSettings {
    /// Durations and bounds.
    pub config: FailoverConfig,
    /// The request classes.
    pub classes: Vec<ClassLoad>,
    /// What this front's router observes, once a report interval.
    pub observations: async_channel::Receiver<ZoneObservation>,
}

/// What a voter knows of the load of all fronts.
pub(crate) struct FleetLoad {
    pub(crate) classes: Vec<ClassLoad>,
    /// The highest share of degraded attempts of any zone, from 0 to 1.
    pub(crate) degraded_share: f64,
    /// Some zone is not up.
    pub(crate) zones_down: bool,
}

pub(crate) struct ZoneFailover {
    config: FailoverConfig,
    observations: async_channel::Receiver<ZoneObservation>,
    /// Only at voters.
    coordinator: Option<Coordinator>,
    plan_follower: PlanFollower,
    /// What this front's router observed last.
    local_view: LocalView,
    /// What was last sent to the router.
    effect: Option<PlanEffect>,
    overrides: Vec<OperatorOverride>,
}

impl ZoneFailover {
    /// A voter collects reports and may hold the coordinator's lease.
    pub(crate) fn new(
        settings: &ZoneFailoverSettings,
        zone: u32,
        incarnation: u64,
        is_voter: bool,
    ) -> ZoneFailover {
        ZoneFailover {
            config: settings.config,
            observations: settings.observations.clone(),
            coordinator: is_voter.then(|| Coordinator::new(incarnation, settings.classes.clone())),
            plan_follower: PlanFollower::new(Duration::ZERO, zone, incarnation),
            local_view: LocalView::default(),
            effect: None,
            overrides: Vec::new(),
        }
    }

    /// The latest observation of this front's router, if there is a new one; its report is for the voters.
    pub(crate) fn take_observation(&mut self) -> Option<ZoneObservation> {
        let mut latest = None;
        while let Ok(observation) = self.observations.try_recv() {
            self.local_view = observation.local.clone();
            latest = Some(observation);
        }
        latest
    }

    /// What maintenance needs to know of all fronts; none at a front that is no voter.
    pub(crate) fn fleet_load(&self) -> Option<FleetLoad> {
        let preview = self.coordinator.as_ref()?.preview(&self.config, self.plan_follower.plan(), &[]);
        let measured = preview.zones.iter().filter(|zone| zone.evidence.attempts >= MIN_ATTEMPTS);
        let degraded_share = measured.map(|zone| zone.evidence.degraded_share).fold(0.0, f64::max);
        let zones_down = preview.zones.iter().any(|zone| zone.plan.state != ZoneState::Up);
        Some(FleetLoad { classes: preview.classes, degraded_share, zones_down })
    }

    /// The part of an engine's capacity that may be planned for.
    pub(crate) fn max_utilization(&self) -> f64 {
        self.config.max_utilization
    }

    pub(crate) fn handle_report(&mut self, now: Duration, front: u64, report: FrontReport) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.handle_report(now, front, report);
        }
    }

    /// What to do with the plan's register. `fencing_token`: of the coordinator's lease, while this front holds it.
    pub(crate) fn poll(&mut self, now: Duration, fencing_token: Option<u64>) -> Option<Operation> {
        let coordinator = self.coordinator.as_mut()?;
        coordinator.set_lease(fencing_token);
        let action = coordinator.poll(now, &self.config, &self.overrides);
        for ZoneTransition { zone: site, transition: step } in coordinator.take_transitions() {
            tracing::info!(
                site,
                "sites: site {site} from {} to {}, {} in 1000 open: {}",
                step.from,
                step.to,
                step.open_permille,
                step.reason
            );
        }
        action.map(|action| match action {
            RegisterAction::Read => Operation::Read,
            RegisterAction::Write { expected, fencing_token, plan } => {
                Operation::CompareAndSet { expected, fencing_token, value: plan.to_bytes() }
            }
        })
    }

    /// The outcome of what [`ZoneFailover::poll`] returned.
    pub(crate) fn handle_outcome(&mut self, now: Duration, outcome: &ProposalOutcome) {
        let Some(coordinator) = &mut self.coordinator else { return };
        match outcome {
            ProposalOutcome::Committed { entry, .. } => {
                let plan = entry.as_ref().and_then(|entry| FailoverPlan::from_bytes(&entry.value));
                coordinator.handle_committed(now, entry.as_ref().map(|entry| entry.version), plan);
            }
            ProposalOutcome::Conflict { .. } | ProposalOutcome::Unknown { .. } => {
                coordinator.handle_failure()
            }
        }
    }

    /// What the plan means for this front's router, if that has changed.
    pub(crate) fn poll_effect(&mut self, now: Duration, learner: &Learner) -> Option<ControlUpdate> {
        if let Some(committed) = learner.committed(NAME)
            && let Some(plan) = FailoverPlan::from_bytes(&committed.entry.value)
        {
            self.plan_follower.handle_plan(committed.confirmed_at, committed.entry.version, &plan);
        }
        if let Some(committed) = learner.committed(OVERRIDES_REGISTER) {
            self.overrides = decode_overrides(&committed.entry.value);
        }
        let effect = self.plan_follower.effect(now, &self.config, &self.local_view);
        if self.effect.as_ref() == Some(&effect) {
            return None;
        }
        self.effect = Some(effect.clone());
        Some(ControlUpdate::ZonePlan(Arc::new(effect)))
    }

    /// The plan as it is, or as it would be without some zones; none at a front that is no voter.
    pub(crate) fn show(&self, without: &[u32]) -> Option<Body> {
        let preview = self.coordinator.as_ref()?.preview(&self.config, self.plan_follower.plan(), without);
        let zones = preview.zones.iter().map(|zone| ZoneRow {
            state: zone.plan.state,
            open_permille: zone.plan.open_permille,
            health: zone.health.to_string(),
            cores: zone.evidence.cores,
            answering_permille: permille(zone.evidence.answering_share),
            filled_permille: permille(zone.utilization),
        });
        let allocation = &preview.allocation;
        let classes = preview.classes.iter().enumerate().map(|(index, class)| ClassRow {
            requests_per_second: class.rate as f32,
            work_seconds: class.work as f32,
            served_permille: permille(allocation.served_shares[index]),
            is_unplaceable: allocation.unplaceable_shares[index] > 0.0,
        });
        Some(Body::PlanShown {
            version: self.plan_follower.version(),
            zones: zones.collect(),
            classes: classes.collect(),
            shed_order: allocation.shed_order.iter().map(|class| *class as u8).collect(),
        })
    }
}

fn permille(share: f64) -> u16 {
    (share * 1000.0).round().clamp(0.0, 65535.0) as u16
}

/// The operator overrides by zone, from the value of their register; none where it can't be read.
pub fn decode_overrides(bytes: &[u8]) -> Vec<OperatorOverride> {
    let overrides: Vec<OperatorOverride> = postcard::from_bytes(bytes).unwrap_or_default();
    if overrides.len() <= MAX_ZONES { overrides } else { Vec::new() }
}

/// The value of the overrides' register.
pub fn encode_overrides(overrides: &[OperatorOverride]) -> Vec<u8> {
    postcard::to_allocvec(overrides).unwrap_or_default()
}
