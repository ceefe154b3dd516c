//! Fronts that an operator has declared dead, as a set of places in the sorted list of the fronts that count.

use serde::{Deserialize, Serialize};

/// Fronts that can be declared dead: a bit each.
pub const MAX_FRONTS: usize = 2048;

/// Names would not fit a register; a set of bits does. It is void against any other list of fronts, so that a place is
/// never taken for another front's.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadFronts {
    /// A checksum of the list that the places are counted in.
    list: u64,
    /// Eight places a byte, up to the last that is set.
    bits: Vec<u8>,
}

impl DeadFronts {
    /// Adds a front; false if it is none of those that count, or stands beyond what the set holds. Places that were
    /// counted in another list are dropped.
    pub fn add(&mut self, fronts: &[String], front: &str) -> bool {
        let sorted = sorted(fronts);
        let Ok(place) = sorted.binary_search(&front) else { return false };
        if place >= MAX_FRONTS {
            return false;
        }
        let list = checksum(&sorted);
        if self.list != list {
            *self = DeadFronts { list, bits: Vec::new() };
        }
        if self.bits.len() <= place / 8 {
            self.bits.resize(place / 8 + 1, 0);
        }
        self.bits[place / 8] |= 1 << (place % 8);
        true
    }

    /// Whether this front is in the set, counted in this list.
    pub fn contains(&self, fronts: &[String], front: &str) -> bool {
        if self.bits.is_empty() {
            return false;
        }
        let sorted = sorted(fronts);
        let place = sorted.binary_search(&front).ok();
        let set = place.and_then(|place| Some(self.bits.get(place / 8)? >> (place % 8) & 1 == 1));
        set.unwrap_or(false) && self.list == checksum(&sorted)
    }
}

fn sorted(fronts: &[String]) -> Vec<&str> {
    let mut sorted: Vec<&str> = fronts.iter().map(String::as_str).collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}

/// FNV-1a over the names, each ended by a byte that no name holds.
fn checksum(sorted: &[&str]) -> u64 {
    let bytes = sorted.iter().flat_map(|name| name.bytes().chain([0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
