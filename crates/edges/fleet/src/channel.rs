//! The authenticated channel to all other fronts. It numbers and seals outgoing bodies. It accepts an incoming
//! datagram only if it is within the rate limit, sealed with this fleet's key, from a sender with the same
//! configuration, and neither a replay nor superseded. It opens no socket.

use crate::body::Body;
use crate::counters::{TrafficCounters, add, increment};
use crate::frame::{FleetKey, Frame, OpenError};
use crate::replay_window::ReplayWindow;
use lemonusher_leases::{Incarnation, LeaseRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of senders that are remembered; a further one replaces the one that has sent nothing for longest.
const MAX_SENDERS: usize = 4096;
/// Maximum number of datagrams opened per second; further ones are dropped without being decoded.
const MAX_DATAGRAMS_PER_SECOND: u32 = 20_000;

/// State of an incarnation from which datagrams were received.
struct Sender {
    window: ReplayWindow,
    /// Highest sequence number of a lease release.
    last_release: u64,
    /// Highest sequence number of a front report.
    last_report: u64,
    /// Source address of the latest accepted datagram.
    address: SocketAddr,
    last_received: Duration,
}

impl Sender {
    fn new(address: SocketAddr, last_received: Duration) -> Sender {
        Sender { window: ReplayWindow::default(), last_release: 0, last_report: 0, address, last_received }
    }

    /// Whether a message is new and not superseded by a later one that arrived first. Requests and replies
    /// carry ballots and versions, so most may arrive in any order. There are two exceptions: a lease request
    /// that was sent before a release would grant a lease that no front holds, and an older report would
    /// replace a newer one.
    fn accept(&mut self, frame: &Frame) -> bool {
        if !self.window.accept(frame.sequence) {
            return false;
        }
        match &frame.body {
            Body::LeaseRequest(LeaseRequest::Release { .. }) => {
                self.last_release = self.last_release.max(frame.sequence);
                true
            }
            Body::LeaseRequest(_) => frame.sequence > self.last_release,
            Body::FrontReport(_) if frame.sequence < self.last_report => false,
            Body::FrontReport(_) => {
                self.last_report = frame.sequence;
                true
            }
            _ => true,
        }
    }
}

/// Counts datagrams in the current second.
#[derive(Default)]
struct RateLimit {
    second: u64,
    datagrams: u32,
}

impl RateLimit {
    /// Counts a datagram and returns whether it is within the limit.
    fn admit(&mut self, now: Duration) -> bool {
        if self.second != now.as_secs() {
            *self = RateLimit { second: now.as_secs(), datagrams: 0 };
        }
        self.datagrams += 1;
        self.datagrams <= MAX_DATAGRAMS_PER_SECOND
    }
}

pub(crate) struct AuthenticatedChannel {
    key: FleetKey,
    incarnation: Incarnation,
    config_fingerprint: u64,
    /// Sequence number of the latest datagram that was sealed.
    sequence: u64,
    counters: Arc<TrafficCounters>,
    senders: BTreeMap<Incarnation, Sender>,
    rate_limit: RateLimit,
}

impl AuthenticatedChannel {
    pub(crate) fn new(
        key: FleetKey,
        incarnation: Incarnation,
        config_fingerprint: u64,
        counters: Arc<TrafficCounters>,
    ) -> AuthenticatedChannel {
        AuthenticatedChannel {
            key,
            incarnation,
            config_fingerprint,
            sequence: 0,
            counters,
            senders: BTreeMap::new(),
            rate_limit: RateLimit::default(),
        }
    }

    /// Seals a body into a datagram; none if the datagram would be too long.
    pub(crate) fn seal(&mut self, body: Body) -> Option<Vec<u8>> {
        self.sequence += 1;
        let frame = Frame {
            from: self.incarnation.clone(),
            sequence: self.sequence,
            config_fingerprint: self.config_fingerprint,
            body,
        };
        frame.seal(&self.key)
    }

    /// The source address of an incarnation's latest accepted datagram.
    pub(crate) fn address_of(&self, incarnation: &Incarnation) -> Option<SocketAddr> {
        self.senders.get(incarnation).map(|sender| sender.address)
    }

    /// The incarnations of all senders that are remembered.
    pub(crate) fn senders(&self) -> impl Iterator<Item = &Incarnation> {
        self.senders.keys()
    }

    /// Opens a datagram; none if it is dropped. Each drop is counted by its reason.
    pub(crate) fn open(&mut self, now: Duration, bytes: &[u8], from: SocketAddr) -> Option<Frame> {
        if !self.rate_limit.admit(now) {
            increment(&self.counters.rate_limited);
            return None;
        }
        let frame = match Frame::open(bytes, &self.key) {
            Ok(frame) => frame,
            Err(OpenError::Unauthenticated) => {
                increment(&self.counters.unauthenticated);
                return None;
            }
            Err(OpenError::Malformed) => {
                increment(&self.counters.malformed);
                return None;
            }
        };
        if frame.config_fingerprint != self.config_fingerprint {
            increment(&self.counters.other_config);
            return None;
        }
        if !self.accept(&frame, from, now) {
            increment(&self.counters.replayed);
            return None;
        }
        increment(&self.counters.received);
        add(&self.counters.received_bytes, bytes.len());
        Some(frame)
    }

    /// Whether the frame is accepted: it is new and not superseded by a later one from its sender
    /// (`Sender::accept`). If so, updates the sender's address and its time of last receipt.
    fn accept(&mut self, frame: &Frame, from: SocketAddr, now: Duration) -> bool {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&frame.from) {
            self.remove_oldest_sender();
        }
        let sender = self.senders.entry(frame.from.clone()).or_insert_with(|| Sender::new(from, now));
        if !sender.accept(frame) {
            return false;
        }
        sender.address = from;
        sender.last_received = now;
        true
    }

    fn remove_oldest_sender(&mut self) {
        let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.last_received);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| incarnation.clone()) {
            self.senders.remove(&incarnation);
        }
    }
}
