//! The resources of the machine that a run would use.

use std::fmt;

/// The resources that a run would use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Need {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Descriptors of the harness's own process.
    pub descriptors: u64,
    /// Processes that the harness starts.
    pub processes: u32,
}

impl fmt::Display for Need {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let megabytes = self.memory_bytes.div_ceil(1 << 20);
        write!(f, "{megabytes} MB of memory, {} descriptors, {} processes", self.descriptors, self.processes)
    }
}
