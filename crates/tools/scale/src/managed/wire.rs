//! What a network adds to one commit over TCP, drawn and not waited for.

use crate::fleet::{Network, Place};
use fastrand::Rng;
use std::time::Duration;

/// After these a segment is sent again: the first of a connection, and one of data at least; doubled each time.
const CONNECT_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection is given up after so many attempts of its first segment.
const ATTEMPTS: u32 = 6;

/// What one commit's connection and request take on the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exchange {
    /// Until the request has arrived.
    pub there: Duration,
    /// From then, without the time at the server, until the answer has arrived.
    pub back: Duration,
}

/// A handshake of one round trip, then a request and its answer; without TLS, as the servers on loopback.
pub fn exchange(network: &Network, manager: Place, front: Place, rng: &mut Rng) -> Exchange {
    let handshake = round_trip(network, manager, front, CONNECT_RETRANSMISSION_TIMEOUT, rng);
    let resend = MIN_RETRANSMISSION_TIMEOUT.max(network.delays.between(manager, front) * 2);
    let request = delivery(network, manager, front, resend, rng);
    let answer = delivery(network, front, manager, resend, rng);
    Exchange { there: handshake + request, back: answer }
}

fn round_trip(network: &Network, from: Place, to: Place, resend: Duration, rng: &mut Rng) -> Duration {
    let mut waited = Duration::ZERO;
    for attempt in 0..ATTEMPTS {
        let there = network.delay(from, to, rng);
        if let Some((there, back)) = there.zip(network.delay(to, from, rng)) {
            return waited + there + back;
        }
        waited += resend * (1 << attempt);
    }
    waited
}

fn delivery(network: &Network, from: Place, to: Place, resend: Duration, rng: &mut Rng) -> Duration {
    let mut waited = Duration::ZERO;
    for attempt in 0..ATTEMPTS {
        if let Some(delay) = network.delay(from, to, rng) {
            return waited + delay;
        }
        waited += resend * (1 << attempt);
    }
    waited
}
