//! The resources of the machine that the harness may use: at most half of the memory, 200 processes, and the
//! descriptors of the soft limit less 64 for the harness itself.

use crate::error::MeasureError;
use crate::need::Need;
use procfs::Current;

/// The most processes that one run starts.
pub const MAX_PROCESSES: u32 = 200;
/// The share of the machine's memory that the harness may use, from 0 to 1.
pub const MEMORY_SHARE: f64 = 0.5;
/// Descriptors kept for the harness itself: standard streams, files, timers.
pub const SPARE_DESCRIPTORS: u64 = 64;

/// The resources that a run may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Descriptors of the harness's own process.
    pub descriptors: u64,
    /// Processes that the harness starts.
    pub processes: u32,
}

impl Limits {
    /// The current limits on this machine.
    pub fn of_this_machine() -> Result<Self, MeasureError> {
        let unreadable = |cause: procfs::ProcError| MeasureError::Figures(cause.to_string());
        let total = procfs::Meminfo::current().map_err(unreadable)?.mem_total;
        let soft = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Ok(Limits {
            memory_bytes: (total as f64 * MEMORY_SHARE) as u64,
            descriptors: soft.unwrap_or(u64::MAX).saturating_sub(SPARE_DESCRIPTORS),
            processes: MAX_PROCESSES,
        })
    }

    /// Rejects a size that needs more than these limits.
    pub fn check(&self, size: u32, need: &Need) -> Result<(), MeasureError> {
        if self.hold(need) { Ok(()) } else { Err(MeasureError::DoesNotFit { size, need: *need }) }
    }

    /// Returns whether a run with this need stays within the limits.
    pub fn hold(&self, need: &Need) -> bool {
        need.memory_bytes <= self.memory_bytes
            && need.descriptors <= self.descriptors
            && need.processes <= self.processes
    }
}
