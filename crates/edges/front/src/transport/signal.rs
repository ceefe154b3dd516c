//! A wake-up from one task to another.

use async_channel::{Receiver, Recv, Sender};

/// A wake-up that stays set until it is waited for. Setting it twice is setting it once.
pub struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// A signal that is not set.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }

    /// Sets it.
    pub fn notify(&self) {
        let _ = self.sender.try_send(()); // Full: it is set already.
    }

    /// Waits until it is set, and clears it.
    pub fn wait(&self) -> Recv<'_, ()> {
        self.receiver.recv()
    }

    /// Clears it.
    pub fn clear(&self) {
        while self.receiver.try_recv().is_ok() {}
    }
}
