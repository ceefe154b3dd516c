//! What goes round each datagram: what goes out is sealed and numbered, and what comes in is looked at only if it is of
//! this fleet, of its terms, new, and not too much. No socket is opened here.

use crate::frame::{Body, FleetKey, Frame, OpenError};
use crate::replay_window::ReplayWindow;
use lemonusher_leases::{Incarnation, LeaseRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const MAX_SENDERS: usize = 4096; // Fronts' incarnations that are remembered.
const MAX_DATAGRAMS_PER_SECOND: u32 = 20_000; // Datagrams that are looked at; the rest are dropped unread.

/// What was dropped, and what went well; for the log and for managers.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    pub received: AtomicU64,
    pub received_bytes: AtomicU64,
    pub sent: AtomicU64,
    /// Bytes that were sent.
    pub sent_bytes: AtomicU64,
    pub unauthenticated: AtomicU64,
    pub malformed: AtomicU64,
    /// Heard before, too old to tell, or made void by what overtook it.
    pub replayed: AtomicU64,
    pub other_config: AtomicU64,
    pub rate_limited: AtomicU64,
}

pub(crate) fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// What is known of the incarnation that a datagram came from.
struct Sender {
    window: ReplayWindow,
    /// The number of the last message of each stream that others of it must not follow.
    last_release: u64,
    last_report: u64,
    address: SocketAddr,
    last_received: Duration,
}

impl Sender {
    fn new(address: SocketAddr, last_received: Duration) -> Sender {
        Sender { window: ReplayWindow::default(), last_release: 0, last_report: 0, address, last_received }
    }

    /// Whether a message is new and not made void by one that overtook it. What is asked or replied carries ballots and
    /// stamps of its own and may come in any order. But a lease asked for before it was released would be granted to
    /// nobody, and an older report would take the place of a newer one.
    fn accept(&mut self, frame: &Frame) -> bool {
        if !self.window.accept(frame.sequence) {
            return false;
        }
        match &frame.body {
            Body::LeaseRequest(LeaseRequest::Release { .. }) => {
                self.last_release = self.last_release.max(frame.sequence)
            }
            Body::LeaseRequest(_) => return frame.sequence > self.last_release,
            Body::FrontReport(_) if frame.sequence < self.last_report => return false,
            Body::FrontReport(_) => self.last_report = frame.sequence,
            _ => {}
        }
        true
    }
}

pub(crate) struct AuthenticatedChannel {
    key: FleetKey,
    incarnation: Incarnation,
    config_fingerprint: u64,
    sequence: u64,
    counters: Arc<TrafficCounters>,
    senders: BTreeMap<Incarnation, Sender>,
    /// The second that is under way, and the datagrams that were looked at in it.
    current_second: (u64, u32),
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
            current_second: (0, 0),
        }
    }

    /// The datagram that says this; none if it is too long.
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

    /// Where an incarnation was last heard from.
    pub(crate) fn address_of(&self, incarnation: &Incarnation) -> Option<SocketAddr> {
        self.senders.get(incarnation).map(|sender| sender.address)
    }

    /// Lives that are remembered.
    pub(crate) fn senders(&self) -> impl Iterator<Item = &Incarnation> {
        self.senders.keys()
    }

    /// What a datagram says, if it is one to listen to.
    pub(crate) fn open(&mut self, now: Duration, bytes: &[u8], from: SocketAddr) -> Option<Frame> {
        let counters = self.counters.clone();
        if self.current_second.0 != now.as_secs() {
            self.current_second = (now.as_secs(), 0);
        }
        self.current_second.1 += 1;
        if self.current_second.1 > MAX_DATAGRAMS_PER_SECOND {
            add(&counters.rate_limited);
            return None;
        }
        let frame = match Frame::open(bytes, &self.key) {
            Ok(frame) => frame,
            Err(error) => {
                add(if error == OpenError::Unauthenticated {
                    &counters.unauthenticated
                } else {
                    &counters.malformed
                });
                return None;
            }
        };
        if frame.config_fingerprint != self.config_fingerprint {
            add(&counters.other_config);
            return None;
        }
        if !self.remember(&frame, from, now) {
            add(&counters.replayed);
            return None;
        }
        add(&counters.received);
        counters.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Some(frame)
    }

    /// Notes that an incarnation was heard from; false if the message is to be dropped, as if it had been lost.
    fn remember(&mut self, frame: &Frame, from: SocketAddr, now: Duration) -> bool {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&frame.from) {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(_, sender)| sender.last_received)
                .map(|(incarnation, _)| incarnation.clone());
            oldest.and_then(|incarnation| self.senders.remove(&incarnation));
        }
        let sender = self.senders.entry(frame.from.clone()).or_insert_with(|| Sender::new(from, now));
        if !sender.accept(frame) {
            return false;
        }
        (sender.address, sender.last_received) = (from, now);
        true
    }
}
