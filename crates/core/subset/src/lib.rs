//! Deterministic subsetting: selects the engines that one of many fronts sends to.
//!
//! If hundreds of fronts spread their requests over all engines, each front sends to one engine only once in
//! many seconds. Its knowledge of that engine is stale before it sends there again. While an engine hangs,
//! every front loses requests to it one by one, and all of them together keep it full. A front with a small
//! subset sends to each of its engines about once a second: it detects a hung engine soon, and only few
//! fronts send to that engine.
//!
//! Inputs: the index of the front, the number of fronts, and the ids of the engines. The fronts do not
//! communicate, and yet every engine is in about as many subsets as any other. For this, the engines are
//! placed on `RINGS` rings, in a different order on each. A front starts at its own position on one of the
//! rings and takes the engines that follow. An engine that it knows to be unhealthy stays in the subset, so
//! that it is retried, and one more engine is added for it. As an engine has different neighbours on each
//! ring, the load of a failed engine is spread over many others.
//!
//! This crate does no input or output, reads no clock and draws no random numbers.

#![warn(missing_docs)]

use std::num::NonZeroU32;

/// The minimum number of fronts per engine. The traffic of single fronts differs by several times; the sum
/// over this many differs little between engines.
const MIN_FRONTS_PER_ENGINE: usize = 32;
/// The minimum number of engines in a subset, so that there is a choice and another engine for a retry.
const MIN_SUBSET_SIZE: usize = 8;
/// The maximum number of engines in a subset including unhealthy ones, as a multiple of its size. If nearly
/// all engines are unhealthy, the others can't take the load of all fronts.
const MAX_GROWTH_FACTOR: usize = 3;
/// The number of rings. Each has the engines in a different order.
const RINGS: u32 = 16;

/// A front's position among all fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontPosition {
    /// The index of the front, from 0; taken modulo the number of fronts.
    pub index: u32,
    /// The number of fronts.
    pub fronts: NonZeroU32,
}

/// An engine that requests may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The engine's id, the same at every front.
    pub engine: u32,
    /// Whether this front has seen no failure and no congestion of the engine.
    pub healthy: bool,
}

/// The engines that a front uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Ids in ascending order.
    engines: Vec<u32>,
}

impl Subset {
    /// Whether an engine is in the subset.
    pub fn contains(&self, engine: u32) -> bool {
        self.engines.binary_search(&engine).is_ok()
    }

    /// The share of the subset's engines for which `holds` is true, as an estimate of the share of all
    /// engines; 1 if the subset is empty.
    pub fn share(&self, holds: impl Fn(u32) -> bool) -> f64 {
        let found = self.engines.iter().filter(|engine| holds(**engine)).count();
        if self.is_empty() { 1.0 } else { found as f64 / self.len() as f64 }
    }

    /// The number of engines in the subset.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether the subset has no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// The number of healthy engines in a subset, for a number of engines and of fronts; at most all engines.
pub fn size(engines: usize, fronts: NonZeroU32) -> usize {
    let shared = (engines * MIN_FRONTS_PER_ENGINE).div_ceil(fronts.get() as usize);
    shared.max(MIN_SUBSET_SIZE).min(engines)
}

/// The subset of one front: `size` healthy engines, and the unhealthy ones between them on the ring. It has
/// at most three times `size` engines.
///
/// The order of the members does not matter. If all fronts have the same engines and find all of them
/// healthy, each engine is in equally many subsets, up to rounding on each ring.
pub fn subset(position: FrontPosition, members: impl Iterator<Item = Member>, size: usize) -> Subset {
    let index = position.index % position.fronts;
    let ring = index % RINGS;
    let mut order: Vec<(u64, Member)> = members.map(|member| (hash(member.engine, ring), member)).collect();
    order.sort_unstable_by_key(|(hash, member)| (*hash, member.engine));
    let first = first_position(index, position.fronts.get(), order.len());
    let (mut engines, mut healthy) = (Vec::new(), 0);
    for (_, member) in order[first..].iter().chain(&order[..first]) {
        if healthy >= size || engines.len() >= size * MAX_GROWTH_FACTOR {
            break;
        }
        healthy += usize::from(member.healthy);
        engines.push(member.engine);
    }
    engines.sort_unstable();
    Subset { engines }
}

/// The position at which a front starts on its ring. The fronts of one ring start at equal distances.
fn first_position(index: u32, fronts: u32, engines: usize) -> usize {
    let (ring, rank) = (index % RINGS, index / RINGS);
    let on_this_ring = (fronts - ring).div_ceil(RINGS);
    (u64::from(rank) * engines as u64 / u64::from(on_this_ring)) as usize
}

/// Hashes an engine's id, differently on each ring (the finalizer of MurmurHash3).
fn hash(engine: u32, ring: u32) -> u64 {
    let mut bits = (u64::from(ring) << u32::BITS | u64::from(engine)) + 1;
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
