//! Wakes one task from another.

use async_channel::{Receiver, Recv, Sender};

/// A flag that a task can wait for. It stays set until a wait consumes it; setting it again has no effect.
pub struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }

    /// Sets the signal.
    pub fn notify(&self) {
        let _ = self.sender.try_send(()); // Fails if the signal is already set.
    }

    /// Waits until the signal is set, and clears it.
    pub fn wait(&self) -> Recv<'_, ()> {
        self.receiver.recv()
    }

    /// Clears the signal.
    pub fn clear(&self) {
        while self.receiver.try_recv().is_ok() {}
    }
}
