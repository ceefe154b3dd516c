//! Which sequence numbers of one sender have been received, as a sliding window (RFC 6479). Datagrams may arrive in any
//! order within the window; each is accepted once.

/// Sequence numbers in one block.
const BLOCK_BITS: u64 = u64::BITS as u64;
/// Blocks in the ring; one of them is always partly ahead of the window.
const BLOCKS: u64 = 16;

/// The received numbers up to the highest one, as far back as [`ReplayWindow::REACH`]; any older number counts as received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// A ring: number `n` is bit `n % 64` of block `n / 64 % 16`.
    received: [u64; BLOCKS as usize],
}

impl ReplayWindow {
    /// How far behind the highest number one may be and still be accepted. A front that watches all registers sends some
    /// 200 datagrams in one burst; this covers several bursts.
    pub const REACH: u64 = (BLOCKS - 1) * BLOCK_BITS;

    /// Records a number; false if it was received before or is too old to tell. Numbers begin at 1.
    pub fn accept(&mut self, number: u64) -> bool {
        if number == 0 || number < self.highest.saturating_sub(Self::REACH) {
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

    /// Clears the blocks that the window moves over.
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
