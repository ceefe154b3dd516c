//! The network delay of one commit over TCP. It is drawn at random, not waited for.

use crate::fleet::{Network, Place};
use fastrand::Rng;
use std::time::Duration;

/// Retransmission timeout of the first segment of a connection; doubled with each attempt.
const CONNECT_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);
/// Least retransmission timeout of a data segment; doubled with each attempt.
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of attempts after which a segment is no longer retransmitted.
const ATTEMPTS: u32 = 6;

/// The network delays of the connection and request of one commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exchange {
    /// Time until the request has arrived.
    pub there: Duration,
    /// Time from then until the response has arrived, without the time at the server.
    pub back: Duration,
}

/// Draws the delays of a handshake of one round trip, a request and its response. There is no TLS, as at the servers
/// on loopback.
pub fn exchange(network: &Network, manager: Place, front: Place, rng: &mut Rng) -> Exchange {
    let handshake = round_trip(network, manager, front, CONNECT_RETRANSMISSION_TIMEOUT, rng);
    let retransmission_timeout = MIN_RETRANSMISSION_TIMEOUT.max(network.delays.between(manager, front) * 2);
    let request = delivery(network, manager, front, retransmission_timeout, rng);
    let response = delivery(network, front, manager, retransmission_timeout, rng);
    Exchange { there: handshake + request, back: response }
}

fn round_trip(
    network: &Network,
    from: Place,
    to: Place,
    retransmission_timeout: Duration,
    rng: &mut Rng,
) -> Duration {
    let mut waited = Duration::ZERO;
    for attempt in 0..ATTEMPTS {
        let there = network.delay(from, to, rng);
        if let Some((there, back)) = there.zip(network.delay(to, from, rng)) {
            return waited + there + back;
        }
        waited += retransmission_timeout * (1 << attempt);
    }
    waited
}

fn delivery(
    network: &Network,
    from: Place,
    to: Place,
    retransmission_timeout: Duration,
    rng: &mut Rng,
) -> Duration {
    let mut waited = Duration::ZERO;
    for attempt in 0..ATTEMPTS {
        if let Some(delay) = network.delay(from, to, rng) {
            return waited + delay;
        }
        waited += retransmission_timeout * (1 << attempt);
    }
    waited
}
