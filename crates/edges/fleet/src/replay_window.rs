//! Replay protection: a sliding window over the sequence numbers received from one sender (RFC 6479). Within
//! the window datagrams may arrive in any order, and each is accepted once.

/// Number of sequence numbers in one block.
const BLOCK_BITS: u64 = u64::BITS as u64;
/// Number of blocks in the ring. The window is one block shorter, because its oldest and its newest block need not lie
/// in it completely.
const BLOCKS: u64 = 16;

/// The sequence numbers received, from [`ReplayWindow::MAX_LAG`] below the highest one up to it. An older number
/// counts as received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// A ring of bits: sequence number `n` is bit `n % 64` of block `n / 64 % 16`.
    received: [u64; BLOCKS as usize],
}

impl ReplayWindow {
    /// How far a sequence number may be behind the highest one and still be accepted. A front that watches all
    /// registers sends about 200 datagrams in one burst if the voters run an earlier version, because each of them is
    /// then sent a read of each register. The window covers several bursts.
    pub const MAX_LAG: u64 = (BLOCKS - 1) * BLOCK_BITS;

    /// Records a sequence number. Returns false if it was received before or is older than the window. Numbers
    /// start at 1.
    pub fn accept(&mut self, number: u64) -> bool {
        if number == 0 || number < self.highest.saturating_sub(Self::MAX_LAG) {
            return false;
        }
        if number > self.highest {
            self.advance(number);
        }
        let block = Self::block(number);
        let bit = 1 << (number % BLOCK_BITS);
        let is_new = self.received[block] & bit == 0;
        self.received[block] |= bit;
        is_new
    }

    /// Moves the window up to `number` and clears the blocks that it reuses.
    fn advance(&mut self, number: u64) {
        let blocks = (number / BLOCK_BITS - self.highest / BLOCK_BITS).min(BLOCKS);
        for ahead in 0..blocks {
            let block = Self::block(number - ahead * BLOCK_BITS);
            self.received[block] = 0;
        }
        self.highest = number;
    }

    fn block(number: u64) -> usize {
        (number / BLOCK_BITS % BLOCKS) as usize
    }
}
