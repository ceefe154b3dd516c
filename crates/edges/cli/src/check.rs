//! `lemonusher check`: validates configuration files.

use crate::error::CommandError;
use crate::fleet::fleet_config;
use crate::inputs::read_inputs;
use std::path::Path;

/// Checks an operator's file, and the start file that it names.
pub fn check(path: &Path, json: bool) -> Result<(), CommandError> {
    let inputs = read_inputs(path)?;
    let names = inputs.names()?;
    let file = inputs.file;
    let fleet = file.fleet.as_ref();
    let fleet = fleet.map(|section| fleet_config(section, &names.front, names.zone)).transpose()?;
    if json {
        println!("{}", serde_json::json!({"file": path, "front": names.front, "ok": true}));
    } else {
        println!("{}: can be used; it runs front {}", path.display(), names.front);
        if let Some(fleet) = &fleet {
            let (voters, hold_time) = (fleet.voters.len(), fleet.leases.voter_hold_time());
            println!("{voters} fronts vote; after a crash of its holder a task is free within {hold_time:?}");
        }
        if let Some(managed) = &file.managed {
            println!("managers' counters are at most {:?} old", managed.max_counter_age());
            for user in &managed.users {
                println!("user {} may {}", user.name.get_ref(), user.access);
            }
        }
    }
    Ok(())
}
