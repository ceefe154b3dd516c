//! The external processor's door: Envoy's `ext_proc` v3 over gRPC. Streams and headers are translated here; what a
//! call may do is `lemonusher-external-call`'s to say, and which engine it goes to the decision module's. The door runs on a
//! thread of its own and reaches the front by one bounded queue; each stream hears back by a bounded line of its own.

mod door;
mod names;

pub use door::{Started, Terms, start};
pub use names::{Fault, Group, Names, outcome_of};

use lemonusher::AttemptOutcome;
use lemonusher_external_call::{Asked, StreamId, Verdict};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What proxies tell, as the front hears it.
pub enum FromProxy {
    Asked {
        asked: Asked,
        line: async_channel::Sender<Told>,
        received: Instant,
    },
    /// The engine has answered.
    Answered {
        stream: StreamId,
        outcome: AttemptOutcome,
    },
    /// A stream is over, whole or broken.
    Ended {
        stream: StreamId,
        whole: bool,
    },
    /// What a message took on its way here and back, without the time that the decision took.
    Measured(Duration),
}

/// What a proxy is told.
#[derive(Debug, Clone)]
pub struct Told {
    pub verdict: Verdict,
    /// Where the engine of a verdict is.
    pub address: Option<SocketAddr>,
    /// From the message's receipt until the front took it up, and when it answered.
    pub waited: Duration,
    pub at: Instant,
}
