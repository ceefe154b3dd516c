//! Fronts that an operator has declared dead, as a bit set of positions in the sorted list of the required fronts.
//!
//! The names would not fit a register, but one bit for each front does. The set stores a checksum of the list to
//! which its positions refer, and matches no front of any other list, so that a position is never applied to
//! another front.

use serde::{Deserialize, Serialize};

/// The maximum number of required fronts that can be declared dead, one bit each.
pub const MAX_FRONTS: usize = 2048;

/// A set of fronts of one list of required fronts. It is stored in postcard, so the order and types of its fields
/// must stay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadFronts {
    /// The checksum of the list to which the positions refer.
    list_checksum: u64,
    /// Eight positions a byte, up to the last one set.
    bits: Vec<u8>,
}

impl DeadFronts {
    /// Adds a front; false if it is not in the list, or at a position of [`MAX_FRONTS`] or more. Positions that
    /// refer to another list are removed.
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

    /// Whether the front is in the set; false if the set refers to another list.
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

/// The 64-bit FNV-1a hash of the names, each terminated by 0xff, a byte that no UTF-8 name contains.
fn checksum(sorted: &[&str]) -> u64 {
    let bytes = sorted.iter().flat_map(|name| name.bytes().chain([0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
