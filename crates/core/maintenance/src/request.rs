//! A maintenance request, as stored in a register in postcard. The order and types of its fields must stay. New
//! fields go to [`Extension`], which is encoded behind the bytes that earlier versions of the program
//! read.

use crate::{DeadFronts, MAX_CONCURRENT, MAX_MACHINES, MAX_NAME_BYTES, Machine, Phase};
use lemonusher_registers::EntryVersion;
use serde::{Deserialize, Serialize};

/// The maximum number of machines accepted when a register is read. An earlier version of the program may have written
/// more than [`MAX_MACHINES`].
const MAX_MACHINES_READ: usize = 60;

/// A machine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The machine.
    pub machine: Machine,
    /// The machine's phase.
    pub phase: Phase,
}

/// A request, or the part of a request that is stored in one register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    /// The name of the requester; [`MAX_NAME_BYTES`] at most.
    pub requester: String,
    /// The priority of the request: the greater value goes first, among equal ones the request known longer.
    pub urgency: u8,
    /// The maximum number of machines of the whole request, over all its parts, that are unavailable at once.
    pub max_concurrent: u16,
    /// How long a machine may stay released, in seconds. A machine that is released for longer stops all further
    /// drains.
    pub max_outage_s: u32,
    /// Whether the request is on hold: no further machine is drained.
    pub on_hold: bool,
    /// The machines, sorted by id.
    pub machines: Vec<MachineStatus>,
    /// The names of fronts that an operator has declared dead; written only by earlier versions of the program.
    pub excluded_fronts: Vec<String>,
    /// The fields that later versions of the program have added; encoded after all other fields.
    #[serde(skip)]
    pub extension: Extension,
}

/// The fields that later versions of the program have added to the encoding of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// Identifies the request: equal in all its parts; 0 if it has only one part.
    pub request_group: u64,
    /// The fronts that an operator has declared dead, for this request only.
    pub dead_fronts: DeadFronts,
}

/// A request, with the version of its register's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRequest {
    /// The version of the entry.
    pub version: EntryVersion,
    /// The value of the entry.
    pub request: MaintenanceRequest,
}

impl MaintenanceRequest {
    /// A request for these machines, which are sorted and deduplicated. `max_concurrent` is clamped to the range
    /// from 1 to [`MAX_CONCURRENT`].
    pub fn new(
        requester: &str,
        urgency: u8,
        max_concurrent: u16,
        max_outage_s: u32,
        machines: &[Machine],
    ) -> MaintenanceRequest {
        let mut machines: Vec<Machine> = machines.to_vec();
        machines.sort_unstable();
        machines.dedup();
        let pending = |machine| MachineStatus { machine, phase: Phase::Pending };
        MaintenanceRequest {
            requester: requester.to_owned(),
            urgency,
            max_concurrent: max_concurrent.clamp(1, MAX_CONCURRENT),
            max_outage_s,
            on_hold: false,
            machines: machines.into_iter().map(pending).collect(),
            excluded_fronts: Vec::new(),
            extension: Extension::default(),
        }
    }

    /// Splits a request into parts of up to [`MAX_MACHINES`] machines, each for one register; a request without
    /// machines has no part. `request_group` identifies the parts as one request.
    pub fn split(&self, request_group: u64) -> Vec<MaintenanceRequest> {
        let request_group = if self.machines.len() > MAX_MACHINES { request_group.max(1) } else { 0 };
        let part = |machines: &[MachineStatus]| MaintenanceRequest {
            machines: machines.to_vec(),
            extension: Extension { request_group, ..self.extension.clone() },
            ..self.clone()
        };
        self.machines.chunks(MAX_MACHINES).map(part).collect()
    }

    /// Whether `other` is a part of the same request; false for requests of one part.
    pub fn is_same_request(&self, other: &MaintenanceRequest) -> bool {
        self.extension.request_group != 0 && self.extension.request_group == other.extension.request_group
    }

    /// Whether the request does not wait for this front's confirmations. `required_fronts` is the configured list.
    pub fn excludes(&self, required_fronts: &[String], front: &str) -> bool {
        self.excluded_fronts.iter().any(|name| name == front)
            || self.extension.dead_fronts.contains(required_fronts, front)
    }

    /// Whether all machines are done or withdrawn.
    pub fn is_over(&self) -> bool {
        self.machines.iter().all(|status| status.phase.is_over())
    }

    /// A machine's phase; none if the request does not name the machine.
    pub fn phase(&self, machine: Machine) -> Option<Phase> {
        self.machines.iter().find(|status| status.machine == machine).map(|status| status.phase)
    }

    /// The machines in phases that satisfy the condition.
    pub(crate) fn machines_in(&self, condition: impl Fn(Phase) -> bool) -> impl Iterator<Item = Machine> {
        self.machines.iter().filter(move |status| condition(status.phase)).map(|status| status.machine)
    }

    pub(crate) fn set_phase(&mut self, machine: Machine, phase: Phase) {
        if let Some(status) = self.machines.iter_mut().find(|status| status.machine == machine) {
            status.phase = phase;
        }
    }

    /// Withdraws the machines that are not released yet. A released machine stays released until it is returned.
    pub fn withdraw(&mut self) {
        for status in &mut self.machines {
            if matches!(status.phase, Phase::Pending | Phase::Draining) {
                status.phase = Phase::Withdrawn;
            }
        }
    }

    /// Marks a released machine as returned; false if it is not released, for example because it is reported twice.
    pub fn mark_returned(&mut self, machine: Machine) -> bool {
        let is_released = matches!(self.phase(machine), Some(Phase::Released { .. }));
        if is_released {
            self.set_phase(machine, Phase::Returned);
        }
        is_released
    }

    /// Encodes the request as the register's value.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        if self.extension != Extension::default() {
            bytes.extend(postcard::to_allocvec(&self.extension).unwrap_or_default());
        }
        bytes
    }

    /// Decodes the register's value; none if it is corrupt or exceeds the limits.
    pub fn from_bytes(bytes: &[u8]) -> Option<MaintenanceRequest> {
        let (mut request, rest) = postcard::take_from_bytes::<MaintenanceRequest>(bytes).ok()?;
        if !rest.is_empty() {
            request.extension = postcard::from_bytes(rest).ok()?;
        }
        let fits = request.machines.len() <= MAX_MACHINES_READ
            && request.requester.len() <= MAX_NAME_BYTES
            && request.excluded_fronts.iter().all(|name| name.len() <= MAX_NAME_BYTES);
        fits.then_some(request)
    }
}
