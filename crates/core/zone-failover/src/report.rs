//! The report of a front to the voters, and the front's local view. Fronts send [`FrontReport`] in postcard, so the
//! order and types of its fields must stay.

use crate::{ClassLoad, Zone, ZoneHealth};
use serde::{Deserialize, Serialize};

/// One front's observations of one zone over the last report interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStats {
    /// The zone.
    pub zone: Zone,
    /// The number of engines that the endpoint list names as ready.
    pub listed: u16,
    /// The cores of the listed engines.
    pub cores: u32,
    /// The number of engines that were tried recently and answer.
    pub answering: u16,
    /// The number of engines that were tried recently and don't answer.
    pub silent: u16,
    /// Attempts that returned a reply.
    pub returned: u32,
    /// Attempts that returned a reply, but took far longer than their work.
    pub slow: u32,
    /// Attempts that failed.
    pub failed: u32,
}

/// The demand for a request class, at one front or summed over all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Arrivals in requests a second, rejected requests included.
    pub rate: f32,
    /// The mean work of one request, in seconds on one thread; zero before any reply has stated it.
    pub work: f32,
}

/// The report that a front sends to the voters each report interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FrontReport {
    /// The zone of the front itself.
    pub zone: Zone,
    /// The observations, by zone.
    pub zones: Vec<ZoneStats>,
    /// The demand, by request class.
    pub demand: Vec<Demand>,
}

/// One front's view of a zone, from its own observations alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalZone {
    /// Unknown, unreachable or healthy; one front can't distinguish more.
    pub health: ZoneHealth,
    /// The cores of the engines that the endpoint list names there.
    pub cores: u32,
}

/// One front's view of the zones and its demand, from its own observations alone.
#[derive(Debug, Clone, Default)]
pub struct LocalView {
    /// The zones, by number.
    pub zones: Vec<LocalZone>,
    /// The demand at this front, by request class.
    pub classes: Vec<ClassLoad>,
    /// The share of the zones' capacity that this front may use while it is isolated, from 0 to 1: one over the
    /// configured number of fronts. It is independent of the quota that fronts share by leases.
    pub isolated_share: f64,
}
