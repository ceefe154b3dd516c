//! A front's part: what it may not use, and what it says of having let go.

use crate::{MAX_REQUESTS, Machine, MaintenanceRequest, Phase};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a front says of one machine that is to be let go: it follows this version of the request (the register's stamp, epoch
/// and version), and has nothing out there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DrainConfirmation {
    pub request: u8,
    pub version: (u64, u64),
    pub machine: Machine,
}

#[derive(Debug, Clone, Default)]
pub struct Participant {
    requests: BTreeMap<u8, ((u64, u64), MaintenanceRequest)>,
    /// Requests of which it is sure what stands there, also that nothing does.
    known: BTreeSet<u8>,
    /// Counts up whenever what is closed changes.
    revision: u64,
    /// The last of what was said in pages.
    last_confirmed: Option<(u8, Machine)>,
}

impl Participant {
    /// A majority shows this request; an older one changes nothing.
    pub fn handle_request(&mut self, number: u8, version: (u64, u64), work: MaintenanceRequest) {
        if usize::from(number) >= MAX_REQUESTS {
            return;
        }
        let first = self.known.insert(number);
        let known = self.requests.get(&number).map(|(known, _)| *known);
        if known >= Some(version) {
            self.revision += u64::from(first);
            return;
        }
        self.requests.insert(number, (version, work));
        self.revision += 1;
    }

    /// A whole round has shown that nothing stands there.
    pub fn handle_no_request(&mut self, number: u8) {
        if self.known.insert(number) {
            self.revision += 1;
        }
    }

    /// Whether it knows of all requests; until then it may use nothing.
    pub fn is_complete(&self) -> bool {
        self.known.len() >= MAX_REQUESTS
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn works(&self) -> impl Iterator<Item = (u8, &(u64, u64), &MaintenanceRequest)> {
        self.requests.iter().map(|(number, (version, work))| (*number, version, work))
    }

    /// Machines that it may not send to.
    pub fn closed_machines(&self) -> BTreeSet<Machine> {
        let all = self.requests.values().flat_map(|(_, work)| &work.machines);
        all.filter(|(_, phase)| phase.is_closed()).map(|(machine, _)| *machine).collect()
    }

    /// What it can say of machines that are to be let go, given what the front has out on machines that are closed to it (none named: nothing), and up to
    /// which version the front had closed them when it counted.
    pub fn confirmations(&self, closed_by: u64, out: &BTreeMap<Machine, u32>) -> Vec<DrainConfirmation> {
        // Guards against a count from before the front had stopped sending.
        if !self.is_complete() || closed_by < self.revision {
            return Vec::new();
        }
        let mut all = Vec::new();
        for (number, (version, work)) in &self.requests {
            for (machine, phase) in &work.machines {
                if *phase == Phase::Draining && out.get(machine).copied().unwrap_or_default() == 0 {
                    all.push(DrainConfirmation { request: *number, version: *version, machine: *machine });
                }
            }
        }
        all
    }

    /// The next `most` of what it can say, from behind the last that was said and round again, so that each is said in
    /// its turn however many there are.
    pub fn next_confirmations(
        &mut self,
        closed_by: u64,
        out: &BTreeMap<Machine, u32>,
        most: usize,
    ) -> Vec<DrainConfirmation> {
        let mut all = self.confirmations(closed_by, out);
        let key = |one: &DrainConfirmation| (one.request, one.machine);
        all.sort_by_key(key);
        let from = all.partition_point(|one| Some(key(one)) <= self.last_confirmed);
        all.rotate_left(from);
        all.truncate(most);
        self.last_confirmed = all.last().map(key);
        all
    }
}
