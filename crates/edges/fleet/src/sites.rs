//! The plan for lost zones, on the wire: hands on what fronts see, has the register settled that the lease's holder
//! wants, and tells the front what the plan means for it.

use crate::frame::{Body, PlanGroup, PlanSite};
use lemonusher_registers::{Entry, Learner, Operation, ProposalOutcome};
use lemonusher_routing::{ControlUpdate, ZoneObservation};
use lemonusher_zone_failover::{
    ClassLoad, Coordinator, FailoverConfig, FailoverPlan, LocalView, OperatorOverride, PlanEffect,
    PlanFollower, RegisterAction, ZoneState, ZoneTransition,
};
use std::sync::Arc;
use std::time::Duration;

/// The lease's and the register's name; and the register of what operators wish.
pub const NAME: &str = "sites";
pub const WISHES: &str = "sites.wishes";

/// What the operator's file says of zones.
#[derive(Debug, Clone)]
pub struct SitesTerms {
    pub terms: FailoverConfig,
    pub groups: Vec<ClassLoad>,
    /// What the front sees, told each period.
    pub seen: async_channel::Receiver<ZoneObservation>,
}

pub struct Sites {
    terms: FailoverConfig,
    seen: async_channel::Receiver<ZoneObservation>,
    holder: Option<Coordinator>,
    follow: PlanFollower,
    own: LocalView,
    effect: Option<PlanEffect>,
    wishes: Vec<OperatorOverride>,
}

impl Sites {
    /// `votes`: it keeps what others tell, and may hold the lease.
    pub fn new(told: &SitesTerms, location: u32, life: u64, votes: bool) -> Sites {
        Sites {
            terms: told.terms,
            seen: told.seen.clone(),
            holder: votes.then(|| Coordinator::new(life, told.groups.clone())),
            follow: PlanFollower::new(Duration::ZERO, location, life),
            own: LocalView::default(),
            effect: None,
            wishes: Vec::new(),
        }
    }

    /// What is to be told to the voters.
    pub fn told(&mut self) -> Option<(Body, ZoneObservation)> {
        let mut told = None;
        while let Ok(seen) = self.seen.try_recv() {
            self.own = seen.local.clone();
            told = Some((Body::FrontReport(seen.report.clone()), seen));
        }
        told
    }

    /// What works need to know: what is asked for over all fronts, how outcomes are, and whether a zone is not up.
    pub fn load(&self) -> Option<(Vec<ClassLoad>, f64, bool)> {
        let shown = self.holder.as_ref()?.preview(&self.terms, self.follow.plan(), &[]);
        let worse = shown
            .zones
            .iter()
            .filter(|zone| zone.evidence.attempts >= 10)
            .map(|zone| zone.evidence.degraded_share);
        let down = shown.zones.iter().any(|zone| zone.plan.state != ZoneState::Up);
        Some((shown.classes, worse.fold(0.0, f64::max), down))
    }

    pub fn safe(&self) -> f64 {
        self.terms.max_utilization
    }

    pub fn hear(&mut self, now: Duration, front: u64, report: lemonusher_zone_failover::FrontReport) {
        if let Some(holder) = &mut self.holder {
            holder.handle_report(now, front, report);
        }
    }

    /// What is wanted of the register, while the lease is held under this number.
    pub fn wants(&mut self, now: Duration, number: Option<u64>) -> Option<Operation> {
        let holder = self.holder.as_mut()?;
        holder.set_lease(number);
        let want = holder.poll(now, &self.terms, &self.wishes);
        for ZoneTransition { zone: site, transition: step } in holder.take_transitions() {
            tracing::info!(
                site,
                "sites: site {site} from {} to {}, {} in 1000 open: {}",
                step.from,
                step.to,
                step.open_permille,
                step.reason
            );
        }
        want.map(|want| match want {
            RegisterAction::Read => Operation::Read,
            RegisterAction::Write { expected: after, fencing_token: number, plan } => {
                Operation::CompareAndSet { expected: after, fencing_token: number, value: plan.to_bytes() }
            }
        })
    }

    /// What has come of it.
    pub fn outcome(&mut self, now: Duration, outcome: &ProposalOutcome) {
        let Some(holder) = &mut self.holder else { return };
        match outcome {
            ProposalOutcome::Committed { entry, .. } => {
                let plan = entry.as_ref().and_then(|entry| FailoverPlan::from_bytes(&entry.value));
                holder.handle_committed(now, entry.as_ref().map(|entry| entry.version), plan);
            }
            ProposalOutcome::Conflict { .. } | ProposalOutcome::Unknown { .. } => holder.handle_failure(),
        }
    }

    /// What the front is to do from now on, if that has changed.
    pub fn word(&mut self, now: Duration, follower: &Learner) -> Option<ControlUpdate> {
        if let Some((Entry { version: stamp, value, .. }, sure)) = follower.committed(NAME)
            && let Some(plan) = FailoverPlan::from_bytes(value)
        {
            self.follow.handle_plan(sure, *stamp, &plan);
        }
        if let Some((entry, _)) = follower.committed(WISHES) {
            self.wishes = read_wishes(&entry.value);
        }
        let effect = self.follow.effect(now, &self.terms, &self.own);
        if self.effect.as_ref() == Some(&effect) {
            return None;
        }
        self.effect = Some(effect.clone());
        Some(ControlUpdate::ZonePlan(Arc::new(effect)))
    }

    /// The plan as it stands, or as it would be without some zones; none where nothing is known.
    pub fn show(&self, without: &[u32]) -> Option<Body> {
        let shown = self.holder.as_ref()?.preview(&self.terms, self.follow.plan(), without);
        let thousandths = |part: f64| (part * 1000.0).round().clamp(0.0, 65535.0) as u16;
        let sites = shown.zones.iter().map(|zone| PlanSite {
            state: zone.plan.state,
            open: zone.plan.open_permille,
            finding: zone.health.to_string(),
            cores: zone.evidence.cores,
            part: thousandths(zone.evidence.answering_share),
            filled: thousandths(zone.utilization),
        });
        let groups = shown.classes.iter().enumerate().map(|(at, group)| PlanGroup {
            rate: group.rate as f32,
            work: group.work as f32,
            served: thousandths(shown.allocation.served_shares[at]),
            nowhere: shown.allocation.unplaceable_shares[at] > 0.0,
        });
        let refused_first = shown.allocation.shed_order.iter().map(|group| *group as u8);
        Some(Body::PlanShown {
            epoch: self.follow.version().map(|version| (version.epoch, version.counter)),
            sites: sites.collect(),
            groups: groups.collect(),
            refused_first: refused_first.collect(),
        })
    }
}

pub fn read_wishes(bytes: &[u8]) -> Vec<OperatorOverride> {
    let wishes: Vec<OperatorOverride> = postcard::from_bytes(bytes).unwrap_or_default();
    if wishes.len() <= lemonusher_zone_failover::MAX_ZONES { wishes } else { Vec::new() }
}

pub fn write_wishes(wishes: &[OperatorOverride]) -> Vec<u8> {
    postcard::to_allocvec(wishes).unwrap_or_default()
}
