//! Deterministic subsetting: which of many engines one front of many keeps to.
//!
//! Where hundreds of fronts spread their requests over all engines, each front sends to one engine only once in many
//! seconds. What it learns of that engine is stale before it sends there again, and while an engine stands still every
//! front loses requests to it one by one, and all of them together keep it full. A front that keeps to a small subset
//! sends to each of its engines about once a second: it learns at once, and few fronts have to.
//!
//! The fronts do not talk about it. Each works its subset out from its own number, the number of fronts and the ids of
//! the engines, so that every engine is in about as many subsets as every other one. Engines stand on several rings, on
//! each in another order; a front begins at its own place on one of the rings and takes the engines that follow. An
//! engine that it knows to be unhealthy stays in its subset, to be tried again, and one more is taken in its stead. As
//! the neighbours of an engine differ from ring to ring, the load of one that fails is spread over many others.
//!
//! Nothing here does input or output, reads a clock or draws by chance.

#![warn(missing_docs)]

use std::num::NonZeroU32;

/// The fewest fronts that should share an engine: the traffic of fronts differs several times over, and the sum of so many
/// differs little from one engine to the next.
const MIN_FRONTS_PER_ENGINE: usize = 32;
/// The fewest engines in a subset, so that there is a choice, and another one to retry on.
const MIN_SIZE: usize = 8;
/// How many times its size a subset may have with its unhealthy members: where nearly all engines are unhealthy, the others
/// can't bear the load of all fronts.
const MAX_GROWTH: usize = 3;
/// Rings on which the engines stand in another order each.
const RINGS: u32 = 16;

/// A front's position among all fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The front's number, from 0; taken modulo the number of fronts.
    pub number: u32,
    /// How many fronts there are.
    pub fronts: NonZeroU32,
}

/// An engine that may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The engine's id, the same at every front.
    pub engine: u32,
    /// Whether this front knows of nothing that speaks against sending to it.
    pub healthy: bool,
}

/// The engines that a front keeps to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Ids in ascending order.
    engines: Vec<u32>,
}

impl Subset {
    /// Whether the front keeps to this engine, among others.
    pub fn contains(&self, engine: u32) -> bool {
        self.engines.binary_search(&engine).is_ok()
    }

    /// The part of its engines of which something holds: a sample of all engines. One where there are none.
    pub fn share(&self, holds: impl Fn(u32) -> bool) -> f64 {
        let found = self.engines.iter().filter(|engine| holds(**engine)).count();
        if self.is_empty() { 1.0 } else { found as f64 / self.len() as f64 }
    }

    /// How many engines the front keeps to.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there is no engine to keep to.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// Healthy engines that a front of so many should keep to, out of so many engines. All of them where that is not fewer.
pub fn size(engines: usize, fronts: NonZeroU32) -> usize {
    let shared = (engines * MIN_FRONTS_PER_ENGINE).div_ceil(fronts.get() as usize);
    shared.max(MIN_SIZE).min(engines)
}

/// The subset of one front: `size` healthy engines, and the unhealthy ones that stand between them.
///
/// The members may come in any order; fronts that are told of the same engines and find them healthy work out subsets
/// that hold each engine equally often, up to rounding.
pub fn subset(place: Place, members: impl Iterator<Item = Member>, size: usize) -> Subset {
    let number = place.number % place.fronts;
    let ring = number % RINGS;
    let mut order: Vec<(u64, Member)> = members.map(|member| (hash(member.engine, ring), member)).collect();
    order.sort_unstable_by_key(|(hash, member)| (*hash, member.engine));
    let first = first_position(number, place.fronts.get(), order.len());
    let (mut engines, mut healthy) = (Vec::new(), 0);
    for (_, member) in order[first..].iter().chain(&order[..first]) {
        if healthy >= size || engines.len() >= size * MAX_GROWTH {
            break;
        }
        healthy += usize::from(member.healthy);
        engines.push(member.engine);
    }
    engines.sort_unstable();
    Subset { engines }
}

/// Where on its ring of so many engines a front begins. The fronts of one ring begin at equal distances.
fn first_position(number: u32, fronts: u32, engines: usize) -> usize {
    let (ring, rank) = (number % RINGS, number / RINGS);
    let on_this_ring = (fronts - ring).div_ceil(RINGS);
    (u64::from(rank) * engines as u64 / u64::from(on_this_ring)) as usize
}

/// Spreads an engine's id over all bits, on each ring otherwise (the finalizer of MurmurHash3).
fn hash(engine: u32, ring: u32) -> u64 {
    let mut bits = (u64::from(ring) << u32::BITS | u64::from(engine)) + 1;
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
