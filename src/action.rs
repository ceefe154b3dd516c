//! The actions that the gateway returns. This module holds data only.

use crate::endpoint::EngineId;
use crate::event::RequestId;
use std::time::Duration;

/// An action that the gateway's caller has to carry out. Actions are carried out in the order in which they
/// are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sets the priority and memory grant of a request, including its attempt in flight.
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
        /// The engine that it is sent to.
        engine: EngineId,
        /// The attempt times out after this duration; if zero, it has no timeout but the client's.
        timeout: Duration,
        /// Time since the clock's origin by which the attempt has to start: if nothing of it has been
        /// written by then, it must not be written. `None` for no limit.
        start_by: Option<Duration>,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Answers the client that the request was rejected without any effect.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client may retry; `None` if none is given.
        retry_after: Option<Duration>,
    },
    /// Answers the client that the request failed. It may have had its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Requests an [`Event::TimerFired`](crate::Event::TimerFired) at this time. Timers that were set before
    /// stay.
    SetTimer {
        /// When it fires, since the clock's origin.
        at: Duration,
    },
    /// Sends a load probe to an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Requests the changes of the endpoint list from discovery, from now on.
    WatchEndpoints,
}
