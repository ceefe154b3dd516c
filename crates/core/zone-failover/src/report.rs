//! What a front reports to the voters, and what it knows by itself. [`FrontReport`] travels between fronts as postcard:
//! order and types of its fields must stay.

use crate::{ClassLoad, Zone, ZoneHealth};
use serde::{Deserialize, Serialize};

/// What one front observed of one zone over the last report interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStats {
    /// The zone.
    pub zone: Zone,
    /// Engines that the endpoint list names as ready.
    pub listed: u16,
    /// Cores of the listed engines.
    pub cores: u32,
    /// Engines tried lately that answer.
    pub answering: u16,
    /// Engines tried lately that don't.
    pub silent: u16,
    /// Attempts that returned.
    pub returned: u32,
    /// Attempts that returned, but took far longer than their work.
    pub slow: u32,
    /// Attempts that failed.
    pub failed: u32,
}

/// Demand for a request class at one front.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second, rejected ones included.
    pub rate: f32,
    /// Work of a request, in seconds on one thread; zero while no response has shown any.
    pub work: f32,
}

/// What a front reports each report interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FrontReport {
    /// The zone of the front itself.
    pub zone: Zone,
    /// By zone.
    pub zones: Vec<ZoneStats>,
    /// By request class.
    pub demand: Vec<Demand>,
}

/// A zone as one front sees it by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalZone {
    /// Unknown, unreachable or healthy; one front can't tell more.
    pub health: ZoneHealth,
    /// Cores that the endpoint list names there.
    pub cores: u32,
}

/// What a front knows by itself.
#[derive(Debug, Clone, Default)]
pub struct LocalView {
    /// By zone.
    pub zones: Vec<LocalZone>,
    /// The demand at this front, by request class.
    pub classes: Vec<ClassLoad>,
    /// This front's share of the zones where it is isolated, from 0 to 1: one over the number of fronts stated, and not the
    /// quota of leases.
    pub quota: f64,
}
