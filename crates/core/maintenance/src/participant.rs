//! The participant, which each front runs: it determines which machines the front may not use, and which drains it
//! can confirm.
//!
//! A drain is confirmed only by a count of attempts in flight that was taken after the front closed the machine. Each
//! change of the closed machines has a revision, and each count states the revision that the front had applied.

use crate::{MAX_REQUESTS, Machine, MaintenanceRequest, Phase, VersionedRequest};
use lemonusher_registers::EntryVersion;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// States that a front follows this version of the request and has nothing in flight on the draining machine. Fronts
/// send it in postcard, so the order and types of its fields must stay.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DrainConfirmation {
    /// The register of the request.
    pub request: u8,
    /// The version of the request that the front follows.
    pub version: EntryVersion,
    /// The machine.
    pub machine: Machine,
}

impl DrainConfirmation {
    fn key(&self) -> ConfirmationKey {
        ConfirmationKey { request: self.request, machine: self.machine }
    }
}

/// The key by which confirmations are ordered for sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConfirmationKey {
    request: u8,
    machine: Machine,
}

/// Follows the maintenance requests at one front.
#[derive(Debug, Clone, Default)]
pub struct Participant {
    /// The latest known request, by register.
    requests: BTreeMap<u8, VersionedRequest>,
    /// Registers whose committed value is known, including that a register is empty.
    known: BTreeSet<u8>,
    /// Increases whenever the closed machines may have changed.
    revision: u64,
    /// The key of the last confirmation sent.
    last_confirmed: Option<ConfirmationKey>,
}

impl Participant {
    /// Handles a request that a majority of the voters has committed; one that is not newer is ignored.
    pub fn handle_request(&mut self, register: u8, version: EntryVersion, request: MaintenanceRequest) {
        if usize::from(register) >= MAX_REQUESTS {
            return;
        }
        let is_first = self.known.insert(register);
        let known_version = self.requests.get(&register).map(|known| known.version);
        if known_version >= Some(version) {
            self.revision += u64::from(is_first);
            return;
        }
        self.requests.insert(register, VersionedRequest { version, request });
        self.revision += 1;
    }

    /// Handles the report of a majority of the voters that the register is empty.
    pub fn handle_no_request(&mut self, register: u8) {
        if self.known.insert(register) {
            self.revision += 1;
        }
    }

    /// Whether all registers are known; until then the front may use no machine.
    pub fn is_complete(&self) -> bool {
        self.known.len() >= MAX_REQUESTS
    }

    /// A number that increases whenever the closed machines may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The latest known request in a register.
    pub fn request(&self, register: u8) -> Option<&VersionedRequest> {
        self.requests.get(&register)
    }

    /// Machines that the front may not send to.
    pub fn closed_machines(&self) -> BTreeSet<Machine> {
        self.requests.values().flat_map(|known| known.request.machines_in(Phase::is_closed)).collect()
    }

    /// All drains that the front can confirm. `in_flight` are the numbers of attempts on closed machines, counted
    /// when the front had applied `applied_revision`; a machine without an entry has none.
    pub fn confirmations(
        &self,
        applied_revision: u64,
        in_flight: &BTreeMap<Machine, u32>,
    ) -> Vec<DrainConfirmation> {
        if !self.is_complete() || applied_revision < self.revision {
            return Vec::new();
        }
        let is_idle = |machine: &Machine| in_flight.get(machine).copied().unwrap_or_default() == 0;
        let mut confirmations = Vec::new();
        for (register, known) in &self.requests {
            let draining = known.request.machines_in(|phase| phase == Phase::Draining);
            confirmations.extend(draining.filter(is_idle).map(|machine| DrainConfirmation {
                request: *register,
                version: known.version,
                machine,
            }));
        }
        confirmations
    }

    /// Up to `max` confirmations, starting after the last one sent (round robin), so that each is sent in turn.
    pub fn next_confirmations(
        &mut self,
        applied_revision: u64,
        in_flight: &BTreeMap<Machine, u32>,
        max: usize,
    ) -> Vec<DrainConfirmation> {
        let mut confirmations = self.confirmations(applied_revision, in_flight);
        confirmations.sort_by_key(DrainConfirmation::key);
        let first = confirmations.partition_point(|one| Some(one.key()) <= self.last_confirmed);
        confirmations.rotate_left(first);
        confirmations.truncate(max);
        self.last_confirmed = confirmations.last().map(DrainConfirmation::key);
        confirmations
    }
}
