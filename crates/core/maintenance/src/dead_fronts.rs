//! Fronts that an operator has declared dead, as a set of positions in the sorted list of the required fronts.
//!
//! Names would not fit a register; a bit a front does. The set states a checksum of the list that its positions are
//! counted in, and is void against any other list, so that a position is never taken for another front.

use serde::{Deserialize, Serialize};

/// Fronts that can be declared dead: a bit each.
pub const MAX_FRONTS: usize = 2048;

/// A set of fronts, void against any other list of required fronts. In postcard: order and types of fields must stay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadFronts {
    /// A checksum of the list that the positions are counted in.
    list_checksum: u64,
    /// Eight positions a byte, up to the last that is set.
    bits: Vec<u8>,
}

impl DeadFronts {
    /// Adds a front; false if it is not in the list, or beyond [`MAX_FRONTS`]. Positions counted in another list are
    /// dropped.
    pub fn add(&mut self, required_fronts: &[String], front: &str) -> bool {
        let sorted = sorted(required_fronts);
        let Ok(position) = sorted.binary_search(&front) else { return false };
        if position >= MAX_FRONTS {
            return false;
        }
        let list_checksum = checksum(&sorted);
        if self.list_checksum != list_checksum {
            *self = DeadFronts { list_checksum, bits: Vec::new() };
        }
        if self.bits.len() <= position / 8 {
            self.bits.resize(position / 8 + 1, 0);
        }
        self.bits[position / 8] |= 1 << (position % 8);
        true
    }

    /// Whether the front is in the set, counted in this list.
    pub fn contains(&self, required_fronts: &[String], front: &str) -> bool {
        if self.bits.is_empty() {
            return false;
        }
        let sorted = sorted(required_fronts);
        let position = sorted.binary_search(&front).ok();
        let set = position.and_then(|position| Some(self.bits.get(position / 8)? >> (position % 8) & 1 == 1));
        set.unwrap_or(false) && self.list_checksum == checksum(&sorted)
    }
}

fn sorted(fronts: &[String]) -> Vec<&str> {
    let mut sorted: Vec<&str> = fronts.iter().map(String::as_str).collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}

/// FNV-1a over the names, each ended by a byte that no name contains.
fn checksum(sorted: &[&str]) -> u64 {
    let bytes = sorted.iter().flat_map(|name| name.bytes().chain([0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
