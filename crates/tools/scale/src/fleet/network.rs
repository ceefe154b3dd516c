//! Where fronts stand, and how long a datagram takes between them in virtual time.

use crate::budget::{REGIONS, ZONES};
use fastrand::Rng;
use std::time::Duration;

/// A front's zone and region. Fronts are dealt over the zones in turn; zones belong to the regions in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The zone's number.
    pub zone: u32,
    /// The region's number.
    pub region: u32,
}

impl Place {
    /// Where a front stands.
    pub fn of(front: usize) -> Place {
        let zone = front as u32 % ZONES;
        Place { zone, region: zone % REGIONS }
    }
}

/// One way, before jitter.
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
    /// What all figures of the capacity page are measured with.
    pub const STATED: Delays = Delays {
        same_zone: Duration::from_micros(250),
        same_region: Duration::from_millis(1),
        between_regions: Duration::from_millis(35),
    };

    /// The delay between two places, one way.
    pub fn between(&self, a: Place, b: Place) -> Duration {
        match (a.region == b.region, a.zone == b.zone) {
            (false, _) => self.between_regions,
            (true, false) => self.same_region,
            (true, true) => self.same_zone,
        }
    }
}

/// A delay varies by up to this share of itself.
const JITTER: f64 = 0.2;

/// Loses and delays datagrams.
#[derive(Debug, Clone)]
pub struct Network {
    /// One way, before jitter.
    pub delays: Delays,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// Nothing passes between the regions.
    pub partitioned: bool,
}

impl Network {
    /// How long a datagram takes; none if it is lost.
    pub fn delay(&self, from: Place, to: Place, rng: &mut Rng) -> Option<Duration> {
        if (self.partitioned && from.region != to.region) || rng.f64() < self.loss {
            return None;
        }
        Some(self.delays.between(from, to).mul_f64(1.0 + JITTER * rng.f64()))
    }
}
