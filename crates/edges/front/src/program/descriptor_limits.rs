//! How the descriptors that a front may hold are shared out, so that no side takes what another needs.

/// Limits of descriptors, by use; their sum stays below the limit of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// Client connections that are served.
    pub clients: usize,
    /// Client connections that only wait for their client's end.
    pub lingering: usize,
    /// Connections to all engines, also those that come up or end.
    pub engines: usize,
    /// Connections to one engine.
    pub per_engine: usize,
}

/// Descriptors for what the process itself holds, the listener, discovery (an old connection and a new one) and a file
/// that is read again; a quarter of all where there are very few.
const RESERVED_DESCRIPTORS: usize = 20;
const RESERVED_DIVISOR: usize = 4;
/// Part of the engines' descriptors that goes to one engine: one in so many.
const PER_ENGINE_DIVISOR: usize = 32;

impl DescriptorLimits {
    /// The limits for a process that may hold so many descriptors.
    pub fn of(limit: usize) -> DescriptorLimits {
        let rest = limit - RESERVED_DESCRIPTORS.min(limit / RESERVED_DIVISOR);
        let third = rest / 3;
        DescriptorLimits {
            // Clients hold a third of the limit at most, as the platform states.
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
