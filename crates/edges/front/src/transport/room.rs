//! A bound on bytes that many hold together.

use std::cell::Cell;
use std::rc::Rc;

pub struct Room {
    most: usize,
    held: Cell<usize>,
}

impl Room {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Room { most, held: Cell::new(0) })
    }
}

/// What one of them holds; given back when it is dropped.
pub struct Place {
    room: Rc<Room>,
    bytes: usize,
}

impl Place {
    pub fn new(room: Rc<Room>) -> Self {
        Place { room, bytes: 0 }
    }

    /// Holds so many bytes from now on; false, and as many as before, if there is no room for more.
    pub fn set(&mut self, bytes: usize) -> bool {
        let held = self.room.held.get() - self.bytes + bytes;
        let fits = bytes <= self.bytes || held <= self.room.most;
        if fits {
            self.room.held.set(held);
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/room.rs"]
mod tests;
