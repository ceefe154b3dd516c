//! A bound on bytes that many hold together.

use std::cell::Cell;
use std::rc::Rc;

pub struct MemoryBudget {
    max_bytes: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { max_bytes, reserved: Cell::new(0) })
    }
}

/// What one of them holds; given back when it is dropped.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        Reservation { budget, bytes: 0 }
    }

    /// Holds so many bytes from now on; false, and as many as before, if there is no room for more.
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
