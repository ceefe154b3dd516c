//! How the descriptors that a front may hold are shared out, so that no side takes what another needs.

/// Bounds that all together stay below the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// Connections of clients that are served.
    pub clients: usize,
    /// Those that have ended and only wait for their client's end.
    pub lingering: usize,
    /// Connections to engines, also those that come up or end.
    pub engines: usize,
    /// Connections to one engine.
    pub per_engine: usize,
}

/// Kept for what the process itself holds, the listener, discovery (an old connection and a new one) and a file that is
/// read anew; a quarter where there are very few.
const RESERVE: usize = 20;
const RESERVE_SHARE: usize = 4;
/// Part of a third of the rest that goes to one engine.
const ENGINE_SHARE: usize = 32;

impl Descriptors {
    pub fn of(limit: usize) -> Descriptors {
        let rest = limit - RESERVE.min(limit / RESERVE_SHARE);
        let third = rest / 3;
        Descriptors {
            // Clients hold a third of the limit at most, as the platform states.
            clients: (limit / 3 + 1).max(1),
            lingering: (rest / 12).max(1),
            engines: third.max(1),
            per_engine: (third / ENGINE_SHARE).max(1),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptors.rs"]
mod tests;
