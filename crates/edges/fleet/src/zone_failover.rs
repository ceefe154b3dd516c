//! Zone failover at a front. Connects the coordinator and the plan follower of `lemonusher-zone-failover` to
//! the lease, the registers, the other fronts' reports and this front's router.

use crate::body::{Body, ClassRow, ZoneRow};
use lemonusher_registers::{Learner, Operation, ProposalOutcome};
use lemonusher_routing::{ControlUpdate, ZoneObservation};
use lemonusher_zone_failover::{
    ClassLoad, Coordinator, FailoverConfig, FailoverPlan, FrontReport, LocalView, MAX_ZONES,
    OperatorOverride, PlanEffect, PlanFollower, RegisterAction, ZoneState, ZoneTransition,
};
use std::sync::Arc;
use std::time::Duration;

/// Name of the coordinator's lease and of the register that holds the failover plan.
pub const NAME: &str = "sites";
/// Name of the register that holds the operator overrides.
pub const OVERRIDES_REGISTER: &str = "sites.wishes";
/// Minimum number of attempts in a zone for its share of degraded attempts to count.
const MIN_ATTEMPTS: u32 = 10;

/// Configuration of zone failover at a front.
#[derive(Debug, Clone)]
pub struct ZoneFailoverSettings {
    /// Durations and limits.
    pub config: FailoverConfig,
    /// The request classes, in the order of their numbers.
    pub classes: Vec<ClassLoad>,
    /// Observations of this front's router, one per report interval.
    pub observations: async_channel::Receiver<ZoneObservation>,
}

/// The load of all fronts together, as reported to a voter.
pub(crate) struct FleetLoad {
    /// The request classes with the demand of all fronts.
    pub(crate) classes: Vec<ClassLoad>,
    /// The highest share of degraded attempts of any zone, from 0 to 1; 0 if no zone has enough attempts.
    pub(crate) degraded_share: f64,
    /// Whether any zone is in a state other than up.
    pub(crate) zones_down: bool,
}

pub(crate) struct ZoneFailover {
    config: FailoverConfig,
    observations: async_channel::Receiver<ZoneObservation>,
    /// None at a front that is not a voter.
    coordinator: Option<Coordinator>,
    plan_follower: PlanFollower,
    /// The zones and demand in the latest observation of this front's router.
    local_view: LocalView,
    /// The effect that was last sent to the router.
    effect: Option<PlanEffect>,
    /// Committed operator overrides, by zone.
    overrides: Vec<OperatorOverride>,
}

impl ZoneFailover {
    /// A voter has a coordinator, which collects reports and acts while this front holds the coordinator's
    /// lease.
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

    /// Takes the latest observation of this front's router, if there is a new one. The caller sends its report
    /// to the voters.
    pub(crate) fn take_observation(&mut self) -> Option<ZoneObservation> {
        let mut latest = None;
        while let Ok(observation) = self.observations.try_recv() {
            self.local_view = observation.local.clone();
            latest = Some(observation);
        }
        latest
    }

    /// The load of all fronts, for maintenance; none at a front that is not a voter.
    pub(crate) fn fleet_load(&self) -> Option<FleetLoad> {
        let preview = self.coordinator.as_ref()?.preview(&self.config, self.plan_follower.plan(), &[]);
        let measured = preview.zones.iter().filter(|zone| zone.evidence.attempts >= MIN_ATTEMPTS);
        let degraded_share = measured.map(|zone| zone.evidence.degraded_share).fold(0.0, f64::max);
        let zones_down = preview.zones.iter().any(|zone| zone.plan.state != ZoneState::Up);
        Some(FleetLoad { classes: preview.classes, degraded_share, zones_down })
    }

    /// The maximum share of an engine's capacity that a plan may use, from 0 to 1.
    pub(crate) fn max_utilization(&self) -> f64 {
        self.config.max_utilization
    }

    pub(crate) fn handle_report(&mut self, now: Duration, front: u64, report: FrontReport) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.handle_report(now, front, report);
        }
    }

    /// Returns the coordinator's next operation on the plan's register. `fencing_token` is that of the
    /// coordinator's lease; none while this front does not hold it.
    pub(crate) fn poll(&mut self, now: Duration, fencing_token: Option<u64>) -> Option<Operation> {
        let coordinator = self.coordinator.as_mut()?;
        coordinator.set_lease(fencing_token);
        let action = coordinator.poll(now, &self.config, &self.overrides);
        for ZoneTransition { zone: site, transition } in coordinator.take_transitions() {
            tracing::info!(
                site,
                "zone failover: plan for zone {site}: from {} to {}, {} in 1000 engines of the zone are open: {}",
                transition.from,
                transition.to,
                transition.open_permille,
                transition.reason
            );
        }
        action.map(|action| match action {
            RegisterAction::Read => Operation::Read,
            RegisterAction::Write { expected, fencing_token, plan } => {
                Operation::CompareAndSet { expected, fencing_token, value: plan.to_bytes() }
            }
        })
    }

    /// Handles the outcome of an operation that [`ZoneFailover::poll`] returned.
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

    /// Reads the committed plan and overrides from the learner. Returns the plan's effect on this front's
    /// router if it has changed.
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

    /// The plan as it is, or as it would be with the zones `without` lost; none at a front that is not a voter.
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

/// Decodes the operator overrides by zone from the value of their register; empty if the value is malformed.
pub fn decode_overrides(bytes: &[u8]) -> Vec<OperatorOverride> {
    let overrides: Vec<OperatorOverride> = postcard::from_bytes(bytes).unwrap_or_default();
    if overrides.len() <= MAX_ZONES { overrides } else { Vec::new() }
}

/// Encodes the operator overrides by zone as the value of their register.
pub fn encode_overrides(overrides: &[OperatorOverride]) -> Vec<u8> {
    postcard::to_allocvec(overrides).unwrap_or_default()
}
