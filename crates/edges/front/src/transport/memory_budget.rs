//! A limit on the bytes that many holders reserve together.

use std::cell::Cell;
use std::rc::Rc;

/// A limit in bytes.
pub struct MemoryBudget {
    max_bytes: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { max_bytes, reserved: Cell::new(0) })
    }
}

/// What one holder has reserved; given back when it is dropped.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// A reservation of nothing.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        Reservation { budget, bytes: 0 }
    }

    /// Reserves so many bytes from now on; false, and as many as before, if the budget has no room for more.
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
