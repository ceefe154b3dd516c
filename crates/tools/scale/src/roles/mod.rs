//! The measurements, one module for each role, and their registry.

mod configuration;
mod connections;
mod control_machines;
mod decision;
mod discovery;
mod failure_detector;
mod leases;
mod maintenance;

use crate::error::MeasureError;
use crate::measurement::{Measurement, Options};
use crate::role::Role;

/// Creates the measurement of a role.
pub fn measurement(role: Role, options: &Options) -> Result<Box<dyn Measurement>, MeasureError> {
    match role {
        Role::Decision => Ok(Box::new(decision::Decision::new(options))),
        Role::Connections => Ok(Box::new(connections::Connections::new(options))),
        Role::Maintenance => Ok(Box::new(maintenance::Maintenance::new(options))),
        Role::Discovery => Ok(Box::new(discovery::Discovery::new(options))),
        Role::Configuration => Ok(Box::new(configuration::Configuration::new(options)?)),
        Role::Leases => Ok(Box::new(leases::Leases::new(options)?)),
        Role::ControlMachines => Ok(Box::new(control_machines::ControlMachines::new(options)?)),
        Role::FailureDetector => Ok(Box::new(failure_detector::FailureDetector::new(options)?)),
    }
}
