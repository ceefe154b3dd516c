//! The plan for lost zones, on the wire: hands on what fronts see, has the register settled that the lease's holder
//! wants, and tells the front what the plan means for it.

use crate::frame::{Body, ClassRow, ZoneRow};
use lemonusher_registers::{Learner, Operation, ProposalOutcome};
use lemonusher_routing::{ControlUpdate, ZoneObservation};
use lemonusher_zone_failover::{
    ClassLoad, Coordinator, FailoverConfig, FailoverPlan, LocalView, OperatorOverride, PlanEffect,
    PlanFollower, RegisterAction, ZoneState, ZoneTransition,
};
use std::sync::Arc;
use std::time::Duration;

/// The lease's and the register's name; and the register of what operators wish.
pub const NAME: &str = "sites";
pub const OVERRIDES_REGISTER: &str = "sites.wishes";

/// What the operator's file says of zones.
#[derive(Debug, Clone)]
pub struct ZoneFailoverSettings {
    pub config: FailoverConfig,
    pub classes: Vec<ClassLoad>,
    /// What the front sees, told each period.
    pub observations: async_channel::Receiver<ZoneObservation>,
}

pub struct ZoneFailover {
    config: FailoverConfig,
    observations: async_channel::Receiver<ZoneObservation>,
    coordinator: Option<Coordinator>,
    plan_follower: PlanFollower,
    local_view: LocalView,
    effect: Option<PlanEffect>,
    overrides: Vec<OperatorOverride>,
}

impl ZoneFailover {
    /// `votes`: it keeps what others tell, and may hold the lease.
    pub fn new(
        take_report: &ZoneFailoverSettings,
        zone: u32,
        incarnation: u64,
        is_voter: bool,
    ) -> ZoneFailover {
        ZoneFailover {
            config: take_report.config,
            observations: take_report.observations.clone(),
            coordinator: is_voter.then(|| Coordinator::new(incarnation, take_report.classes.clone())),
            plan_follower: PlanFollower::new(Duration::ZERO, zone, incarnation),
            local_view: LocalView::default(),
            effect: None,
            overrides: Vec::new(),
        }
    }

    /// What is to be told to the voters.
    pub fn take_report(&mut self) -> Option<(Body, ZoneObservation)> {
        let mut take_report = None;
        while let Ok(observations) = self.observations.try_recv() {
            self.local_view = observations.local.clone();
            take_report = Some((Body::FrontReport(observations.report.clone()), observations));
        }
        take_report
    }

    /// What works need to know: what is asked for over all fronts, how outcomes are, and whether a zone is not up.
    pub fn fleet_load(&self) -> Option<(Vec<ClassLoad>, f64, bool)> {
        let shown = self.coordinator.as_ref()?.preview(&self.config, self.plan_follower.plan(), &[]);
        let degraded_share = shown
            .zones
            .iter()
            .filter(|zone| zone.evidence.attempts >= 10)
            .map(|zone| zone.evidence.degraded_share);
        let zones_down = shown.zones.iter().any(|zone| zone.plan.state != ZoneState::Up);
        Some((shown.classes, degraded_share.fold(0.0, f64::max), zones_down))
    }

    pub fn max_utilization(&self) -> f64 {
        self.config.max_utilization
    }

    pub fn handle_report(
        &mut self,
        now: Duration,
        front: u64,
        report: lemonusher_zone_failover::FrontReport,
    ) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.handle_report(now, front, report);
        }
    }

    /// What is wanted of the register, while the lease is held under this number.
    pub fn poll(&mut self, now: Duration, number: Option<u64>) -> Option<Operation> {
        let coordinator = self.coordinator.as_mut()?;
        coordinator.set_lease(number);
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
            RegisterAction::Write { expected: after, fencing_token: number, plan } => {
                Operation::CompareAndSet { expected: after, fencing_token: number, value: plan.to_bytes() }
            }
        })
    }

    /// What has come of it.
    pub fn handle_outcome(&mut self, now: Duration, handle_outcome: &ProposalOutcome) {
        let Some(coordinator) = &mut self.coordinator else { return };
        match handle_outcome {
            ProposalOutcome::Committed { entry, .. } => {
                let plan = entry.as_ref().and_then(|entry| FailoverPlan::from_bytes(&entry.value));
                coordinator.handle_committed(now, entry.as_ref().map(|entry| entry.version), plan);
            }
            ProposalOutcome::Conflict { .. } | ProposalOutcome::Unknown { .. } => {
                coordinator.handle_failure()
            }
        }
    }

    /// What the front is to do from now on, if that has changed.
    pub fn poll_effect(&mut self, now: Duration, learner: &Learner) -> Option<ControlUpdate> {
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

    /// The plan as it stands, or as it would be without some zones; none where nothing is known.
    pub fn show(&self, without: &[u32]) -> Option<Body> {
        let shown = self.coordinator.as_ref()?.preview(&self.config, self.plan_follower.plan(), without);
        let thousandths = |part: f64| (part * 1000.0).round().clamp(0.0, 65535.0) as u16;
        let sites = shown.zones.iter().map(|zone| ZoneRow {
            state: zone.plan.state,
            open_permille: zone.plan.open_permille,
            health: zone.health.to_string(),
            cores: zone.evidence.cores,
            answering_permille: thousandths(zone.evidence.answering_share),
            filled_permille: thousandths(zone.utilization),
        });
        let classes = shown.classes.iter().enumerate().map(|(at, group)| ClassRow {
            requests_per_second: group.rate as f32,
            work_seconds: group.work as f32,
            served_permille: thousandths(shown.allocation.served_shares[at]),
            is_unplaceable: shown.allocation.unplaceable_shares[at] > 0.0,
        });
        let refused_first = shown.allocation.shed_order.iter().map(|group| *group as u8);
        Some(Body::PlanShown {
            version: self.plan_follower.version().map(|version| (version.epoch, version.counter)),
            zones: sites.collect(),
            classes: classes.collect(),
            shed_order: refused_first.collect(),
        })
    }
}

pub fn decode_overrides(bytes: &[u8]) -> Vec<OperatorOverride> {
    let overrides: Vec<OperatorOverride> = postcard::from_bytes(bytes).unwrap_or_default();
    if overrides.len() <= lemonusher_zone_failover::MAX_ZONES { overrides } else { Vec::new() }
}

pub fn encode_overrides(overrides: &[OperatorOverride]) -> Vec<u8> {
    postcard::to_allocvec(overrides).unwrap_or_default()
}
