//! Conversion of the section `[fleet]`, and the commands that send requests to the fleet.

mod leases;
mod maintenance;
mod operator;
mod zones;

pub use leases::{hand_over, show};
pub use maintenance::{MaintenanceCommand, run as run_maintenance};
pub use zones::{ZoneOverride, override_zone, plan};

use crate::error::{CommandError, read_bytes};
use crate::file::{FleetSection, TaskSection};
use lemonusher_fleet::{FleetConfig, FleetKey, TaskConfig};
use lemonusher_leases::LeaseConfig;
use std::time::Duration;

/// Minimum length of the key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Converts the section, for a front of this name in this zone, and reads the key file.
pub fn fleet_config(section: &FleetSection, front: &str, zone: u32) -> Result<FleetConfig, CommandError> {
    let path = section.key_file.get_ref();
    let key = read_bytes(path)?;
    if key.trim_ascii().len() < MIN_KEY_BYTES {
        let message = format!("{}: the key must have at least {MIN_KEY_BYTES} bytes", path.display());
        return Err(CommandError::File(vec![message]));
    }
    Ok(FleetConfig {
        name: front.to_owned(),
        listen: *section.listen.get_ref(),
        key: FleetKey::new(key.trim_ascii()),
        leases: LeaseConfig {
            duration: Duration::from_millis(*section.lease_ms.get_ref()),
            clock_drift_permille: *section.clock_drift_permille.get_ref(),
            max_action_time: Duration::from_millis(section.max_action_time_ms),
        },
        voters: section.voters.get_ref().clone(),
        is_voter: section.is_voter,
        voter_index: section.own_voter_index(),
        advertised_address: section.advertised_address.as_ref().map(|address| *address.get_ref()),
        zone,
        state_folder: section.state_folder.as_ref().map(|folder| folder.get_ref().clone()),
        tasks: section.tasks.iter().map(task).collect(),
        quota_slots: section.quota_slots,
        wanted_slots: section.wanted_slots,
        first_slot: section.first_slot,
        zone_failover: None,
        maintenance: None,
    })
}

fn task(section: &TaskSection) -> TaskConfig {
    TaskConfig {
        name: section.name.get_ref().clone(),
        notify: section.notify.as_ref().map(|to| *to.get_ref()),
        interval: Duration::from_millis(*section.interval_ms.get_ref()),
        action_time: Duration::from_millis(section.duration_ms),
        fenced: section.is_fenced,
    }
}
