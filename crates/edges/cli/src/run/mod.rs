//! `lemonusher run`: starts the parts that the operator's file enables, then the front.

mod management;
mod processor;

use crate::error::CommandError;
use crate::file::FleetSection;
use crate::fleet::fleet_config;
use crate::inputs::read_inputs;
use crate::log_output::{self, LogLevelHandle};
use lemonusher_front::{
    DeploymentNames, ExternalProcessing, FleetChannels, ManagementChannels, ZoneFailover,
};
use lemonusher_managed::{Hub, Names, Started};
use management::management_config;
use processor::{ProcessorConfig, processor_config};
use std::path::Path;
use std::sync::Arc;

/// Runs a front until SIGTERM.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let inputs = read_inputs(path)?;
    let names = inputs.names()?;
    let file = inputs.file;
    let management = file.managed.as_ref().map(management_config).transpose()?;
    let processor = file.processor.as_ref().map(|section| processor_config(section, &names)).transpose()?;
    let log_level = log_output::start(file.log.level, file.log.format);
    let management = management.map(|config| start_management(config, &names, log_level)).transpose()?;
    let (_hub, management) = management.unzip();
    let processing = processor.map(start_processor).transpose()?;
    let fleet = file.fleet.as_ref().map(|section| start_fleet(section, &names)).transpose()?;
    let (fleet, fleet_channels) = fleet.unzip();
    let result = lemonusher_front::serve(inputs.start_file, management, processing, fleet_channels);
    drop(fleet); // Releases this front's leases.
    result.map_err(failed)
}

fn failed(error: impl ToString) -> CommandError {
    CommandError::Failed(error.to_string())
}

/// Starts the management servers, which run on a thread of their own until the process ends. Also returns their hub.
fn start_management(
    config: lemonusher_managed::ManagementConfig,
    names: &DeploymentNames,
    log_level: LogLevelHandle,
) -> Result<(Arc<Hub>, ManagementChannels), CommandError> {
    let deployment_names = Names {
        zones: names.zones.clone(),
        machine_kinds: names.machine_kinds.clone(),
        request_classes: names.request_classes.clone(),
    };
    let set_level = Arc::new(move |level: &str| log_level.set(level));
    let started =
        lemonusher_managed::start(config, deployment_names, names.front.clone(), set_level, Vec::new())
            .map_err(failed)?;
    let Started { requests, desired_state: last_state, notifications: engine_events, gnmi, netconf, hub } =
        started;
    if let Some(address) = gnmi {
        tracing::info!("gNMI at {address}");
    }
    if let Some(address) = netconf {
        tracing::info!("NETCONF at {address}");
    }
    Ok((hub, ManagementChannels { calls: requests, desired_state: last_state, notifications: engine_events }))
}

fn start_processor(config: ProcessorConfig) -> Result<ExternalProcessing, CommandError> {
    let ProcessorConfig { server, calls, recovers, tick } = config;
    let listen = server.listen;
    let started = lemonusher_processor::start(server)
        .map_err(|error| failed(format!("can't listen on {listen}: {error}")))?;
    tracing::info!("external processor at {}", started.address);
    Ok(ExternalProcessing { config: calls, events: started.events, is_recovery: recovers, tick })
}

/// Starts this front's participation in the fleet. It runs until the returned handle is dropped.
fn start_fleet(
    section: &FleetSection,
    names: &DeploymentNames,
) -> Result<(lemonusher_fleet::FleetHandle, FleetChannels), CommandError> {
    let mut config = fleet_config(section, &names.front, names.zone)?;
    let mut zone_failover = None;
    if let Some(zones) = &section.zones {
        let failover = zones.get_ref().config();
        let (observations, observations_receiver) = async_channel::bounded(1);
        let class_loads = lemonusher_routing::class_loads(&names.class_configs, failover.admission_floor);
        config.zone_failover = Some(lemonusher_fleet::ZoneFailoverSettings {
            config: failover,
            classes: class_loads,
            observations: observations_receiver,
        });
        zone_failover = Some(ZoneFailover { config: failover, observations });
        let maintenance = section.maintenance.as_ref().map(|maintenance| maintenance.get_ref());
        config.maintenance = maintenance.map(|maintenance| lemonusher_fleet::MaintenanceSettings {
            config: maintenance.config(failover.report_interval),
            notify: maintenance.notify.as_ref().map(|to| *to.get_ref()),
        });
    }
    let listen = config.listen;
    let started = lemonusher_fleet::start(config)
        .map_err(|error| failed(format!("fleet: can't start at {listen}: {error}")))?;
    tracing::info!("fleet at {}", started.address);
    let channels = FleetChannels {
        control_updates: started.control_updates.clone(),
        shares_quota: section.quota_slots > 0,
        zone_failover,
        maintenance: section.maintenance.is_some(),
    };
    Ok((started, channels))
}
