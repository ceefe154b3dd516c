//! The coordinator, run by the voter that holds the lease. It drains machines, releases machines whose drain all
//! required fronts have confirmed, and completes returned machines.
//!
//! The coordinator changes one register at a time, each by a compare-and-set against the version from which the new
//! value was computed. It writes nothing before it has read all registers by full rounds. A read also completes or
//! supersedes a write that an earlier coordinator has left in progress; without the read, the machines that such a
//! write drains would not be counted as unavailable.
//!
//! A confirmation counts only if the version that its front followed belongs to the present drain of the machine,
//! as a front that confirmed an earlier drain may have sent there since. If the coordinator has not seen every
//! version since the drain began, that drain may have ended and another begun, so only the latest version certainly
//! belongs to the present drain.

mod drains;

use crate::{
    BlockReason, DrainConfirmation, FleetCapacity, MAX_REQUESTS, Machine, MaintenanceConfig,
    MaintenanceRequest, Notice, Phase, VersionedRequest,
};
use lemonusher_registers::EntryVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A compare-and-set of one register.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisterWrite {
    /// The register of the request.
    pub request: u8,
    /// The version that must still be committed.
    pub expected: EntryVersion,
    /// The new value.
    pub value: MaintenanceRequest,
}

/// An operation on a register.
#[derive(Debug, Clone, PartialEq)]
pub enum RegisterAction {
    /// Reads the committed value of this register by a full round.
    Read(u8),
    /// Changes a register.
    Write(RegisterWrite),
}

/// The coordinator's view of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The capacity of the machines, and the demand.
    pub capacity: FleetCapacity,
    /// The share of attempts that fail or are slow, from 0 to 1.
    pub degraded_share: f64,
    /// Whether a zone is not up by the failover plan.
    pub zones_down: bool,
}

/// A machine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineKey {
    request: u8,
    machine: Machine,
}

/// A machine's phase, as this coordinator has observed it.
#[derive(Debug, Clone, Copy)]
struct PhaseSince {
    phase: Phase,
    /// The time at which this coordinator first observed the phase. For a returned machine, each decision that finds
    /// it not answering resets this time, so that the probation starts anew.
    since: Duration,
    /// The earliest version since which the machine has certainly been in this phase without interruption.
    first_version: EntryVersion,
}

/// A change of a machine's phase.
#[derive(Debug, Clone, Copy)]
struct PhaseChange {
    machine: Machine,
    phase: Phase,
}

/// Decides on drains and releases while its front holds the lease.
#[derive(Debug, Clone, Default)]
pub struct MaintenanceCoordinator {
    /// The latest known request, by register.
    requests: BTreeMap<u8, VersionedRequest>,
    /// The latest version that each front followed when it confirmed the drain, by machine and front.
    confirmed: BTreeMap<MachineKey, BTreeMap<String, EntryVersion>>,
    /// The machines' phases; each coordinator measures their times anew.
    phases: BTreeMap<MachineKey, PhaseSince>,
    /// The time at which a request was first seen, by register.
    first_seen: BTreeMap<u8, Duration>,
    next_poll: Duration,
    /// The reasons why requests could not proceed at the last decision.
    blocked: Vec<Notice>,
    /// The fencing token of the lease; none while it is not held.
    fencing_token: Option<u64>,
    /// Registers that must be read before anything is written: those not yet read under this lease, and those whose
    /// last read or write failed or has an unknown outcome.
    unread: BTreeSet<u8>,
    /// Whether a read or a write is in progress.
    is_busy: bool,
}

impl MaintenanceCoordinator {
    /// Handles a request that a majority of the voters has committed; one that is not newer is ignored.
    pub fn handle_request(
        &mut self,
        now: Duration,
        register: u8,
        version: EntryVersion,
        request: MaintenanceRequest,
    ) {
        let is_known = self.requests.get(&register).is_some_and(|known| known.version >= version);
        if usize::from(register) >= MAX_REQUESTS || is_known {
            return;
        }
        let known_version = self.requests.get(&register).map(|known| known.version);
        let is_next = known_version.is_some_and(|known| is_next_version(known, version));
        for status in &request.machines {
            let key = MachineKey { request: register, machine: status.machine };
            let begun = PhaseSince { phase: status.phase, since: now, first_version: version };
            let known = self.phases.entry(key).or_insert(begun);
            if known.phase != status.phase {
                *known = begun;
            } else if !is_next {
                known.first_version = version;
            }
            if status.phase != Phase::Draining {
                self.confirmed.remove(&key);
            }
        }
        self.phases.retain(|key, _| key.request != register || request.phase(key.machine).is_some());
        self.first_seen.entry(register).or_insert(now);
        self.requests.insert(register, VersionedRequest { version, request });
    }

    /// Sets the fencing token under which this front holds the lease; none if it does not hold the lease.
    pub fn set_lease(&mut self, fencing_token: Option<u64>) {
        if self.fencing_token != fencing_token {
            self.fencing_token = fencing_token;
            self.unread = (0..MAX_REQUESTS as u8).collect();
            self.is_busy = false;
        }
    }

    /// Whether this coordinator acts under the lease with this fencing token, which is the one that its front holds
    /// now; none if it holds none.
    pub fn is_active_under(&self, fencing_token: Option<u64>) -> bool {
        self.fencing_token.is_some() && self.fencing_token == fencing_token
    }

    /// Handles the committed value of a register, as a full round has shown it; none if the register is empty.
    pub fn handle_committed(&mut self, now: Duration, register: u8, committed: Option<VersionedRequest>) {
        self.is_busy = false;
        self.unread.remove(&register);
        match committed {
            Some(VersionedRequest { version, request }) => {
                self.handle_request(now, register, version, request);
            }
            None => _ = self.requests.remove(&register),
        }
    }

    /// Handles a read or a write that failed or has an unknown outcome.
    pub fn handle_failure(&mut self, register: u8) {
        self.is_busy = false;
        self.unread.insert(register);
    }

    /// Handles a front's drain confirmations.
    pub fn handle_confirmations(&mut self, front: &str, confirmations: &[DrainConfirmation]) {
        for DrainConfirmation { request, version, machine } in confirmations {
            let phase = self.requests.get(request).and_then(|known| known.request.phase(*machine));
            if phase == Some(Phase::Draining) {
                let key = MachineKey { request: *request, machine: *machine };
                let confirmed = self.confirmed.entry(key).or_default();
                let latest = confirmed.entry(front.to_owned()).or_insert(*version);
                *latest = (*latest).max(*version);
            }
        }
    }

    /// The machines that are unavailable (draining, released or returned), over all requests.
    pub fn unavailable_machines(&self) -> BTreeSet<Machine> {
        self.requests.values().flat_map(|known| known.request.machines_in(Phase::is_unavailable)).collect()
    }

    /// The reasons why requests could not proceed at the last decision.
    pub fn blocked(&self) -> &[Notice] {
        &self.blocked
    }

    /// Notices of the released machines of all registers that have been read under this lease, and whose last write
    /// has a known outcome. The caller sends them repeatedly until the machines are returned.
    pub fn released(&self) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (register, known) in self.requests.iter().filter(|(register, _)| !self.unread.contains(register))
        {
            for status in &known.request.machines {
                if let Phase::Released { fencing_token } = status.phase {
                    notices.push(Notice::Released {
                        request: *register,
                        machine: status.machine,
                        fencing_token,
                    });
                }
            }
        }
        notices
    }

    /// The next operation on a register; none while the lease is not held or another operation is in progress.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &MaintenanceConfig,
        fleet: &FleetView,
    ) -> Option<RegisterAction> {
        let fencing_token = self.fencing_token.filter(|_| !self.is_busy)?;
        if let Some(register) = self.unread.first().copied() {
            self.is_busy = true;
            return Some(RegisterAction::Read(register));
        }
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + config.poll_interval;
        self.blocked.clear();
        let write = self
            .complete_returned(now, config, fleet)
            .or_else(|| self.release_drained(config, fencing_token))
            .or_else(|| self.start_drains(now, config, fleet))?;
        self.is_busy = true;
        Some(RegisterAction::Write(write))
    }

    /// Completes the first returned machine that has answered for the probation.
    fn complete_returned(
        &mut self,
        now: Duration,
        config: &MaintenanceConfig,
        fleet: &FleetView,
    ) -> Option<RegisterWrite> {
        for key in self.machines_in(Phase::Returned) {
            let answers = fleet.capacity.machines.get(&key.machine).is_some_and(|machine| machine.answers);
            let Some(returned) = self.phases.get_mut(&key) else { continue };
            if !answers {
                returned.since = now;
                self.block(key, BlockReason::ReturnedNotAnswering);
            } else if now >= returned.since + config.probation {
                return self.write(key.request, &[PhaseChange { machine: key.machine, phase: Phase::Done }]);
            }
        }
        None
    }

    /// Releases the first draining machine whose drain all required fronts have confirmed.
    fn release_drained(&mut self, config: &MaintenanceConfig, fencing_token: u64) -> Option<RegisterWrite> {
        for key in self.machines_in(Phase::Draining) {
            let missing = self.missing_confirmations(config, key);
            if missing.is_empty() {
                let phase = Phase::Released { fencing_token };
                return self.write(key.request, &[PhaseChange { machine: key.machine, phase }]);
            }
            self.block(key, BlockReason::MissingConfirmations(missing));
        }
        None
    }

    /// The required fronts that have not confirmed the present drain, in the configured order.
    fn missing_confirmations(&self, config: &MaintenanceConfig, key: MachineKey) -> Vec<String> {
        let Some(known) = self.requests.get(&key.request) else { return Vec::new() };
        let first_version = self.phases.get(&key).map_or(known.version, |phase| phase.first_version);
        let confirmed = self.confirmed.get(&key);
        let has_confirmed = |front: &str| {
            let followed = confirmed.and_then(|confirmed| confirmed.get(front));
            followed.is_some_and(|followed| *followed >= first_version)
        };
        config
            .required_fronts
            .iter()
            .filter(|front| !known.request.excludes(&config.required_fronts, front))
            .filter(|front| !has_confirmed(front))
            .cloned()
            .collect()
    }

    /// The machines in a phase, ordered by register and then as in the request.
    fn machines_in(&self, phase: Phase) -> Vec<MachineKey> {
        let mut keys = Vec::new();
        for (register, known) in &self.requests {
            let machines = known.request.machines_in(|other| other == phase);
            keys.extend(machines.map(|machine| MachineKey { request: *register, machine }));
        }
        keys
    }

    fn block(&mut self, key: MachineKey, reason: BlockReason) {
        self.blocked.push(Notice::Blocked { request: key.request, machine: key.machine, reason });
    }

    /// The write that applies these phase changes to a request.
    fn write(&self, register: u8, changes: &[PhaseChange]) -> Option<RegisterWrite> {
        let known = self.requests.get(&register)?;
        let mut value = known.request.clone();
        changes.iter().for_each(|change| value.set_phase(change.machine, change.phase));
        Some(RegisterWrite { request: register, expected: known.version, value })
    }
}

/// Whether one version directly follows another, so no other value was committed in between.
fn is_next_version(earlier: EntryVersion, later: EntryVersion) -> bool {
    later.epoch == earlier.epoch && later.counter == earlier.counter + 1
}
