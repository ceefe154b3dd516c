//! The front's configuration file, which `PROXY_CONFIG` names, and the errors of a start.

use crate::protocol::discovery::{InitialEvents, parse_initial_list};
use lemonusher::RequestClassConfig;
use lemonusher_deployment::{Settings, deployment};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// The configuration file, as JSON.
#[derive(Deserialize)]
pub(super) struct FrontConfig {
    /// The front's name.
    pub name: String,
    /// Address on which the front listens for clients.
    pub listen: SocketAddr,
    /// Seed of the gateway's random draws, in hexadecimal.
    seed: String,
    /// Limits of the process.
    pub limits: ProcessLimits,
    /// Address of the discovery channel.
    pub channel: SocketAddr,
    /// Endpoint list at the start, as JSON.
    known: Box<RawValue>,
    settings: Value,
}

/// Limits of the process.
#[derive(Deserialize, PartialEq)]
pub(super) struct ProcessLimits {
    /// Memory limit in MB.
    pub memory_mb: usize,
    /// Limit of open file descriptors.
    pub sockets: usize,
}

/// Errors that keep a front from starting.
#[derive(Debug)]
pub enum StartError {
    /// The named environment variable is not set.
    Missing(&'static str),
    /// The configuration file can't be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// The system's error.
        error: io::Error,
    },
    /// The configuration file is malformed.
    Malformed {
        /// Path of the file.
        path: String,
        /// Description of the fault.
        reason: String,
    },
    /// The front can't listen for clients.
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The front can't watch for signals.
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Missing(name) => write!(f, "environment variable {name} is not set"),
            StartError::Unreadable { path, error } => write!(f, "can't read {path}: {error}"),
            StartError::Malformed { path, reason } => write!(f, "can't use {path}: {reason}"),
            StartError::Listen { address, error } => write!(f, "can't listen on {address}: {error}"),
            StartError::Signals(error) => write!(f, "can't register signal handlers: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl FrontConfig {
    /// Reads a configuration file.
    pub fn read(path: &str) -> Result<FrontConfig, StartError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| StartError::Unreadable { path: path.to_owned(), error })?;
        serde_json::from_str(&text).map_err(|e| malformed(path, e))
    }

    /// The deployment's settings.
    pub fn settings(&self, path: &str) -> Result<Settings, StartError> {
        Settings::deserialize(&self.settings).map_err(|e| malformed(path, e))
    }

    /// The seed of the gateway's random draws.
    pub fn seed(&self, path: &str) -> Result<u64, StartError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| malformed(path, "'seed' is not a hexadecimal number"))
    }

    /// The endpoint updates that are known at the start, with the number of the last one.
    pub fn initial_events(&self, path: &str, settings: &Settings) -> Result<InitialEvents, StartError> {
        let initial = parse_initial_list(self.known.get(), &settings.zones, &settings.machine_kinds);
        initial.map_err(|e| malformed(path, e))
    }

    /// Names of the keys that differ in a newer file and take effect only at the next start. The endpoint list
    /// (`known`) is not among them, because the discovery channel continues from the last event. A change of
    /// `seed` is not reported.
    pub fn changes_requiring_restart(&self, newer: &FrontConfig) -> String {
        let changed = [
            (self.name != newer.name).then_some("name"),
            (self.listen != newer.listen).then_some("listen"),
            (self.limits != newer.limits).then_some("limits"),
            (self.settings != newer.settings).then_some("settings"),
        ];
        changed.into_iter().flatten().collect::<Vec<_>>().join(", ")
    }
}

fn malformed(path: &str, reason: impl fmt::Display) -> StartError {
    StartError::Malformed { path: path.to_owned(), reason: reason.to_string() }
}

/// The parts of a front's configuration file that the commands need. Each list is in the order of the indices by
/// which other modules refer to its entries.
#[derive(Debug, Clone, Default)]
pub struct DeploymentNames {
    /// Name of this front.
    pub front: String,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub machine_kinds: Vec<String>,
    /// Names of the request classes.
    pub request_classes: Vec<String>,
    /// Number of this front's zone.
    pub zone: u32,
    /// Configuration of each request class.
    pub class_configs: Vec<RequestClassConfig>,
}

/// Reads the names, and the configuration of the request classes, from a front's configuration file.
pub fn read_names(path: &str) -> Result<DeploymentNames, StartError> {
    let config = FrontConfig::read(path)?;
    let settings = config.settings(path)?;
    Ok(DeploymentNames {
        class_configs: deployment(&settings).request_classes,
        front: config.name,
        zone: settings.zone,
        zones: settings.zones,
        machine_kinds: settings.machine_kinds,
        request_classes: settings.request_classes.into_iter().map(|class| class.name).collect(),
    })
}
