//! Selects the machines to drain next.
//!
//! Requests are considered by urgency, then by the time since which they are known, then by register. Of a
//! request's pending machines the one whose loss leaves the most headroom is selected, repeatedly while the
//! headroom stays at 1 or more. The number is limited by the machines that the request allows to be unavailable
//! at once, over all its parts, and to four in one change. Nothing is drained while a zone is not up, outcomes are
//! degraded, or any machine has been released for longer than its requested outage.

use super::{FleetView, MaintenanceCoordinator, PhaseChange, RegisterWrite};
use crate::coordinator::MachineKey;
use crate::{BlockReason, CapacityReserve, Machine, MaintenanceConfig, MaintenanceRequest, Phase};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// The share of failed or slow attempts above which nothing is drained; from 0 to 1.
const MAX_DEGRADED_SHARE: f64 = 0.2;
/// The maximum number of machines drained by one change, so that the change stays small.
const MAX_DRAINS_PER_CHANGE: usize = 4;
/// The least headroom that must be left, as the value served over the value required.
const MIN_HEADROOM: f64 = 1.0;

impl MaintenanceCoordinator {
    /// Drains the next machines of the first request that can proceed.
    pub(super) fn start_drains(
        &mut self,
        now: Duration,
        config: &MaintenanceConfig,
        fleet: &FleetView,
    ) -> Option<RegisterWrite> {
        let stop_reason = self.stop_reason(now, fleet);
        // The reserve is costly, so it is computed only for a request that nothing else blocks.
        let mut reserve = None;
        for register in self.requests_by_urgency(now) {
            let request = &self.requests[&register].request;
            let pending: Vec<Machine> = request.machines_in(|phase| phase == Phase::Pending).collect();
            let Some(first) = pending.first().copied() else { continue };
            let key = MachineKey { request: register, machine: first };
            if let Some(reason) = stop_reason.clone().or_else(|| self.request_block_reason(request)) {
                self.block(key, reason);
                continue;
            }
            let max_drains = self.drains_allowed(request);
            let reserve = reserve.get_or_insert_with(|| {
                CapacityReserve::new(fleet.capacity.clone(), config.min_reserve, config.demand_margin)
            });
            let unavailable = self.unavailable_machines();
            let is_available =
                |machine: &Machine| reserve.has_machine(*machine) && !unavailable.contains(machine);
            let available: Vec<Machine> = pending.into_iter().filter(is_available).collect();
            if available.is_empty() {
                self.block(key, BlockReason::MachineUnavailable);
                continue;
            }
            let drains = select_drains(reserve, unavailable, available, max_drains);
            if drains.is_empty() {
                self.block(key, BlockReason::NoHeadroom);
                continue;
            }
            return self.write(register, &drains);
        }
        None
    }

    fn requests_by_urgency(&self, now: Duration) -> Vec<u8> {
        let mut registers: Vec<u8> = self.requests.keys().copied().collect();
        registers.sort_by_key(|register| {
            let urgency = self.requests[register].request.urgency;
            (Reverse(urgency), self.first_seen.get(register).copied().unwrap_or(now), *register)
        });
        registers
    }

    /// The reason why no machine of any request may be drained now.
    fn stop_reason(&self, now: Duration, fleet: &FleetView) -> Option<BlockReason> {
        if fleet.zones_down {
            return Some(BlockReason::ZoneNotUp);
        }
        if fleet.degraded_share > MAX_DEGRADED_SHARE {
            return Some(BlockReason::OutcomesDegraded);
        }
        let is_overdue = |key: &MachineKey, since: Duration| {
            let max_outage_s = self.requests.get(&key.request).map_or(0, |known| known.request.max_outage_s);
            now >= since + Duration::from_secs(u64::from(max_outage_s.max(1)))
        };
        self.phases
            .iter()
            .filter(|(_, known)| matches!(known.phase, Phase::Released { .. }))
            .find(|(key, known)| is_overdue(key, known.since))
            .map(|(key, _)| BlockReason::OutageExceeded(key.machine))
    }

    /// The reason why this request can't proceed, by its own settings.
    fn request_block_reason(&self, request: &MaintenanceRequest) -> Option<BlockReason> {
        if request.on_hold {
            return Some(BlockReason::OnHold);
        }
        let is_full = self.drains_allowed(request) == 0;
        is_full.then(|| BlockReason::MaxConcurrent(self.unavailable_in_request(request)))
    }

    /// The number of machines of the request that one change may drain.
    fn drains_allowed(&self, request: &MaintenanceRequest) -> usize {
        let left = usize::from(request.max_concurrent).saturating_sub(self.unavailable_in_request(request));
        left.min(MAX_DRAINS_PER_CHANGE)
    }

    /// The number of unavailable machines of the whole request, of which `request` may be a part.
    fn unavailable_in_request(&self, request: &MaintenanceRequest) -> usize {
        let count_unavailable =
            |request: &MaintenanceRequest| request.machines_in(Phase::is_unavailable).count();
        if request.extension.request_group == 0 {
            return count_unavailable(request);
        }
        let known = self.requests.values().map(|known| &known.request);
        known.filter(|other| other.is_same_request(request)).map(count_unavailable).sum()
    }
}

/// Selects machines one by one, each the one that leaves the most headroom; among equals the first.
fn select_drains(
    reserve: &CapacityReserve,
    mut unavailable: BTreeSet<Machine>,
    mut available: Vec<Machine>,
    max_drains: usize,
) -> Vec<PhaseChange> {
    let mut drains = Vec::new();
    while drains.len() < max_drains && !available.is_empty() {
        let headroom_without = |machine: &Machine| {
            let mut unavailable = unavailable.clone();
            unavailable.insert(*machine);
            reserve.headroom(&unavailable)
        };
        let headrooms: Vec<f64> = available.iter().map(headroom_without).collect();
        let best = (0..available.len()).max_by(|a, b| headrooms[*a].total_cmp(&headrooms[*b]).then(b.cmp(a)));
        let Some(best) = best.filter(|best| headrooms[*best] >= MIN_HEADROOM) else { break };
        let machine = available.remove(best);
        unavailable.insert(machine);
        drains.push(PhaseChange { machine, phase: Phase::Draining });
    }
    drains
}
