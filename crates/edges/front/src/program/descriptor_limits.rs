//! Divides the file descriptors that a front may hold among clients and engines, so that neither uses up those of
//! the other.

/// Limits of descriptors by use. `clients`, `lingering` and `engines` together stay below the limit of the process
/// if that is at least 16.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// Limit of client connections that are served.
    pub clients: usize,
    /// Limit of client connections that accept no more lines and only wait for their last write or for their client
    /// to close.
    pub lingering: usize,
    /// Limit of connections to all engines, including those being opened or closed.
    pub engines: usize,
    /// Limit of connections to one engine.
    pub per_engine: usize,
}

/// Descriptors reserved for the process itself, the listener, discovery (an old and a new connection) and the
/// configuration file during a reload.
const RESERVED_DESCRIPTORS: usize = 20;
/// The process limit divided by this is reserved if that is less than [`RESERVED_DESCRIPTORS`].
const RESERVED_DIVISOR: usize = 4;
/// The limit for one engine is the limit for all engines divided by this, but at least 1.
const PER_ENGINE_DIVISOR: usize = 32;

impl DescriptorLimits {
    /// Divides a process limit of `limit` descriptors.
    pub fn of(limit: usize) -> DescriptorLimits {
        let rest = limit - RESERVED_DESCRIPTORS.min(limit / RESERVED_DIVISOR);
        let third = rest / 3;
        DescriptorLimits {
            // The platform states that clients hold at most a third of the process limit; one more is allowed here.
            clients: (limit / 3 + 1).max(1),
            lingering: (rest / 12).max(1),
            engines: third.max(1),
            per_engine: (third / PER_ENGINE_DIVISOR).max(1),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptor_limits.rs"]
mod tests;
