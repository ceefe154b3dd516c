//! Which numbers of one sender have been heard, as a sliding window (as in RFC 6479): datagrams that overtake each other
//! on their way are listened to, and none is listened to twice.

const BITS: u64 = u64::BITS as u64;
const BLOCKS: u64 = 16;

/// The numbers up to the highest heard one, as far back as the window reaches; what lies further back counts as heard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// A ring: number `n` is bit `n % 64` of block `n / 64 % 16`.
    seen: [u64; BLOCKS as usize],
}

impl ReplayWindow {
    /// How far behind the highest number one may be that is still listened to. A front that follows all registers sends
    /// some 200 datagrams in one burst; this takes in several.
    pub const REACH: u64 = (BLOCKS - 1) * BITS;

    /// Notes a number; false if it was heard before, or lies too far back to tell.
    pub fn accept(&mut self, number: u64) -> bool {
        if number == 0 || number < self.highest.saturating_sub(Self::REACH) {
            return false;
        }
        if number > self.highest {
            self.advance(number);
        }
        let (block, bit) = (Self::block(number), 1 << (number % BITS));
        let is_new = self.seen[block] & bit == 0;
        self.seen[block] |= bit;
        is_new
    }

    /// Empties the blocks that the window moves over.
    fn advance(&mut self, number: u64) {
        let blocks = (number / BITS - self.highest / BITS).min(BLOCKS);
        for ahead in 0..blocks {
            let block = Self::block(number - ahead * BITS);
            self.seen[block] = 0;
        }
        self.highest = number;
    }

    fn block(number: u64) -> usize {
        (number / BITS % BLOCKS) as usize
    }
}
