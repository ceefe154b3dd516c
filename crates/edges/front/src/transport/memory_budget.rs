//! A memory limit that several connections share.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the sum of all reservations.
pub struct MemoryBudget {
    max_bytes: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { max_bytes, reserved: Cell::new(0) })
    }
}

/// Bytes reserved from a budget. Dropping the reservation releases them.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of 0 bytes.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        Reservation { budget, bytes: 0 }
    }

    /// Changes the reservation to `bytes`. Returns false, and leaves it unchanged, if the budget would be
    /// exceeded. Shrinking always succeeds.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let reserved = self.budget.reserved.get() - self.bytes + bytes;
        let fits = bytes <= self.bytes || reserved <= self.budget.max_bytes;
        if fits {
            self.budget.reserved.set(reserved);
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/memory_budget.rs"]
mod tests;
