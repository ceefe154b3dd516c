//! Sections `[fleet]` and `[[fleet.tasks]]`.

use super::maintenance::MaintenanceSection;
use super::zones::ZonesSection;
use super::{Checker, resolve, resolve_optional};
use lemonusher_leases::MAX_NAME_BYTES;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// Prefix of the names of leases on quota slots.
const QUOTA_SLOT_PREFIX: &str = "seat.";

/// `[fleet]`: messages between fronts, and leases.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub struct FleetSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// File with the key that authenticates messages between the fronts of this fleet; at least 16 bytes.
    pub key_file: Spanned<PathBuf>,
    /// Addresses of the 3, 5 or 7 voters; the same list at every front.
    pub voters: Spanned<Vec<SocketAddr>>,
    /// Whether this front is a voter.
    #[serde(rename = "votes", default)]
    pub is_voter: bool,
    /// This front's index among the voters, from 0; needed if its `listen` address is not in `voters`.
    #[serde(rename = "place")]
    pub voter_index: Option<Spanned<usize>>,
    /// Address at which other fronts reach this one, if it differs from `listen`.
    #[serde(rename = "known_as")]
    pub advertised_address: Option<Spanned<SocketAddr>>,
    /// Duration of a lease, in milliseconds.
    #[serde(default = "FleetSection::default_lease_ms")]
    pub lease_ms: Spanned<u64>,
    /// Maximum deviation of a clock's rate from true time, fast or slow, in thousandths; below 500.
    #[serde(rename = "drift_thousandths", default = "FleetSection::default_clock_drift_permille")]
    pub clock_drift_permille: Spanned<u32>,
    /// Longest duration of a lease holder's action, in milliseconds. It matters for resources that can't reject
    /// an older fencing token.
    #[serde(rename = "act_ms", default = "FleetSection::default_max_action_time_ms")]
    pub max_action_time_ms: u64,
    /// Folder in which the highest fencing token and the registers are stored.
    #[serde(rename = "folder")]
    pub state_folder: Option<Spanned<PathBuf>>,
    /// Number of quota slots into which the fronts' common quota is divided; 0 for none.
    #[serde(rename = "seats", default)]
    pub quota_slots: u32,
    /// Number of quota slots that this front requests.
    #[serde(rename = "wants_seats", default = "FleetSection::default_wanted_slots")]
    pub wanted_slots: usize,
    /// The quota slot that this front requests first.
    #[serde(rename = "number", default)]
    pub first_slot: u32,
    /// Tasks whose leases this front may hold.
    #[serde(default)]
    pub tasks: Vec<TaskSection>,
    /// Failover of zones; off if absent.
    #[serde(rename = "sites")]
    pub zones: Option<Spanned<ZonesSection>>,
    /// Maintenance of machines; off if absent.
    #[serde(rename = "works")]
    pub maintenance: Option<Spanned<MaintenanceSection>>,
}

impl FleetSection {
    pub(super) fn resolve_paths(&mut self, folder: &Path) {
        resolve(&mut self.key_file, folder);
        resolve_optional(&mut self.state_folder, folder);
    }

    pub(super) fn check(&self, checker: &mut Checker) {
        self.check_voters(checker);
        self.check_zones_and_maintenance(checker);
        self.check_voter_index(checker);
        checker.check_range(&self.lease_ms, "lease_ms", 100..=600_000);
        if *self.clock_drift_permille.get_ref() >= 500 {
            checker.report(self.clock_drift_permille.span(), "'drift_thousandths' must be below 500");
        }
        let mut names = BTreeSet::new();
        for task in &self.tasks {
            task.check(&mut names, checker);
        }
    }

    fn check_voters(&self, checker: &mut Checker) {
        let voters = self.voters.get_ref();
        if ![3, 5, 7].contains(&voters.len()) {
            checker.report(
                self.voters.span(),
                format!("there are {} 'voters'; there must be 3, 5 or 7", voters.len()),
            );
        }
        let distinct: BTreeSet<&SocketAddr> = voters.iter().collect();
        if distinct.len() < voters.len() {
            checker.report(
                self.voters.span(),
                "'voters' names an address twice; each voter must be listed once",
            );
        }
    }

    fn check_zones_and_maintenance(&self, checker: &mut Checker) {
        if let Some(zones) = &self.zones
            && let Err(error) = zones.get_ref().config().validate()
        {
            checker.report(zones.span(), error.to_string());
        }
        if let Some(maintenance) = &self.maintenance {
            if self.zones.is_none() {
                checker.report(
                    maintenance.span(),
                    "[fleet.works] requires [fleet.sites], whose reports of the fronts it uses",
                );
            }
            if maintenance.get_ref().required_fronts.is_empty() {
                checker.report(
                    maintenance.span(),
                    "'fronts' is empty; it must name every front whose drain confirmation is required",
                );
            }
        }
    }

    fn check_voter_index(&self, checker: &mut Checker) {
        let voters = self.voters.get_ref().len();
        match &self.voter_index {
            Some(index) if *index.get_ref() >= voters => {
                let message = format!("'place' must be from 0 to {}", voters.saturating_sub(1));
                checker.report(index.span(), message);
            }
            None if self.is_voter && self.own_voter_index().is_none() => {
                let message = "this front votes, but its 'listen' address is not in 'voters'; set its index with 'place'";
                checker.report(self.voters.span(), message);
            }
            _ => {}
        }
    }

    /// This front's index among the voters: the configured one, else the position of `listen` in `voters`.
    pub fn own_voter_index(&self) -> Option<usize> {
        let voters = self.voters.get_ref();
        let stated = self.voter_index.as_ref().map(|index| *index.get_ref());
        stated.or_else(|| voters.iter().position(|voter| voter == self.listen.get_ref()))
    }

    fn default_lease_ms() -> Spanned<u64> {
        Spanned::new(0..0, 3000)
    }

    fn default_clock_drift_permille() -> Spanned<u32> {
        Spanned::new(0..0, 20)
    }

    fn default_max_action_time_ms() -> u64 {
        1000
    }

    fn default_wanted_slots() -> usize {
        1
    }
}

/// `[[fleet.tasks]]`: a task of the fleet whose lease this front may hold.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct FleetTask")]
pub struct TaskSection {
    /// Name of the task and of its lease.
    pub name: Spanned<String>,
    /// Address of the resource, which receives a datagram at the start and the end of each action. Loopback
    /// only, as the datagram is not authenticated.
    #[serde(rename = "tell")]
    pub notify: Option<Spanned<SocketAddr>>,
    /// Time from the start of one action to the start of the next, in milliseconds.
    #[serde(rename = "every_ms", default = "TaskSection::default_interval_ms")]
    pub interval_ms: Spanned<u64>,
    /// Duration of an action, in milliseconds.
    #[serde(rename = "takes_ms", default)]
    pub duration_ms: u64,
    /// Whether the resource rejects an older fencing token.
    #[serde(rename = "refuses_older", default)]
    pub is_fenced: bool,
}

impl TaskSection {
    /// Checks the name, the interval and the notified address. `names` holds the names of the preceding tasks.
    fn check<'a>(&'a self, names: &mut BTreeSet<&'a str>, checker: &mut Checker) {
        let name = self.name.get_ref().as_str();
        if name.is_empty() || name.len() > MAX_NAME_BYTES || name.starts_with(QUOTA_SLOT_PREFIX) {
            checker.report(
                self.name.span(),
                format!(
                    "a task's 'name' must have 1 to {MAX_NAME_BYTES} bytes and must not begin with '{QUOTA_SLOT_PREFIX}'"
                ),
            );
        }
        if !names.insert(name) {
            checker.report(
                self.name.span(),
                format!("task '{name}' is defined twice; each task must have one entry"),
            );
        }
        checker.check_range(&self.interval_ms, "every_ms", 10..=3_600_000);
        if self.notify.as_ref().is_some_and(|to| !to.get_ref().ip().is_loopback()) {
            let message = "'tell' must be a loopback address, because its datagrams are not authenticated";
            checker.report(self.name.span(), message);
        }
    }

    fn default_interval_ms() -> Spanned<u64> {
        Spanned::new(0..0, 1000)
    }
}
