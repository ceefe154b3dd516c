//! What the gateway wants done. Nothing here decides.

use crate::endpoint::EngineId;
use crate::event::RequestId;
use std::time::Duration;

/// What the gateway wants done, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sets the priority and memory of a request, also of an attempt in flight.
    SetPriority {
        /// The request.
        request: RequestId,
        /// From 0, the lowest, to 3.
        priority: u8,
        /// Memory grant in MB; 0 leaves it to the engine.
        memory_mb: f64,
    },
    /// Begins an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to send it.
        engine: EngineId,
        /// After this time the attempt has timed out; zero leaves it to the client's timeout.
        timeout: Duration,
        /// If none of it has been written by then, since the clock's origin, it must not be written any more.
        start_by: Option<Duration>,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Answers that the request was rejected without effect, and when to come back.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client may come back.
        retry_after: Option<Duration>,
    },
    /// Answers that the request failed; it may have had its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Asks for [`Event::TimerFired`](crate::Event::TimerFired) at this time; timers that were asked for before stay.
    SetTimer {
        /// When it is to fire, since the clock's origin.
        at: Duration,
    },
    /// Probes an engine's load.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Asks discovery for changes from now on.
    WatchEndpoints,
}
