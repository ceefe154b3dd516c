//! Seals messages and queues them for sending.

use super::{Datagram, Message, Node};
use crate::body::Body;
use lemonusher_failure_detector as detector;
use lemonusher_leases as leases;
use lemonusher_registers as registers;
use std::net::SocketAddr;

impl Node {
    pub(super) fn send(&mut self, body: Body, to: SocketAddr) {
        let kind = body.kind();
        if let Some(bytes) = self.channel.seal(body) {
            self.outgoing.push(Message { kind, datagram: Datagram { to, bytes } });
        }
    }

    pub(super) fn send_to_voters(&mut self, body: &Body) {
        for voter in self.config.voters.clone() {
            self.send(body.clone(), voter);
        }
    }

    pub(super) fn send_detector_messages(&mut self) {
        for detector::Datagram { to, bytes } in self.detector.take_outgoing() {
            self.send(Body::FailureDetector(bytes), to);
        }
    }

    pub(super) fn send_lease_requests(&mut self, messages: Vec<leases::OutboundMessage>) {
        for leases::OutboundMessage { voter, request } in messages {
            if let Some(address) = self.config.voters.get(voter).copied() {
                self.send(Body::LeaseRequest(request), address);
            }
        }
    }

    pub(super) fn send_register_requests(&mut self, messages: Vec<registers::OutboundMessage>) {
        for registers::OutboundMessage { voter, request } in messages {
            if let Some(address) = self.config.voters.get(voter).copied() {
                self.send(Body::RegisterRequest(request), address);
            }
        }
    }

    /// The index of a voter by its address.
    pub(super) fn voter_index(&self, address: SocketAddr) -> Option<usize> {
        self.config.voters.iter().position(|voter| *voter == address)
    }
}
