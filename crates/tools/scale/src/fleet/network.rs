//! The zones and regions of fronts, and the delay of a datagram between them in virtual time.

use crate::budget::{REGIONS, ZONES};
use fastrand::Rng;
use std::time::Duration;

/// A front's zone and region. Fronts are assigned to zones round-robin, and zones to regions likewise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The zone's number.
    pub zone: u32,
    /// The region's number.
    pub region: u32,
}

impl Place {
    /// The zone and region of a front, by its index.
    pub fn of(front: usize) -> Place {
        let zone = front as u32 % ZONES;
        Place { zone, region: zone % REGIONS }
    }
}

/// One-way delays before jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delays {
    /// Within a zone.
    pub same_zone: Duration,
    /// Between zones of a region.
    pub same_region: Duration,
    /// Between regions.
    pub between_regions: Duration,
}

impl Delays {
    /// The delays with which all figures of the capacity page are measured.
    pub const STATED: Delays = Delays {
        same_zone: Duration::from_micros(250),
        same_region: Duration::from_millis(1),
        between_regions: Duration::from_millis(35),
    };

    /// The one-way delay between two places.
    pub fn between(&self, a: Place, b: Place) -> Duration {
        match (a.region == b.region, a.zone == b.zone) {
            (false, _) => self.between_regions,
            (true, false) => self.same_region,
            (true, true) => self.same_zone,
        }
    }
}

/// Maximum jitter, as a share of the delay from 0 to 1; jitter only adds to the delay.
const JITTER: f64 = 0.2;

/// A network that loses and delays datagrams.
#[derive(Debug, Clone)]
pub struct Network {
    /// One-way delays before jitter.
    pub delays: Delays,
    /// The probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// If true, no datagram passes between the regions.
    pub partitioned: bool,
}

impl Network {
    /// The delay of a datagram; none if it is lost or would cross a partition.
    pub fn delay(&self, from: Place, to: Place, rng: &mut Rng) -> Option<Duration> {
        if (self.partitioned && from.region != to.region) || rng.f64() < self.loss {
            return None;
        }
        Some(self.delays.between(from, to).mul_f64(1.0 + JITTER * rng.f64()))
    }
}
