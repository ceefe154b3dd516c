//! Handles the messages that a front receives.

use super::Node;
use crate::body::Body;
use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_registers::{RegisterReply, RegisterRequest};
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Handles a datagram. A datagram that the channel drops is counted and not handled.
    pub fn handle_datagram(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) {
        let Some(frame) = self.channel.open(now, bytes, from) else { return };
        self.handle_body(now, from, &frame.from, frame.body);
        self.send_detector_messages();
    }

    fn handle_body(&mut self, now: Duration, from: SocketAddr, sender: &Incarnation, body: Body) {
        match body {
            Body::LeaseRequest(request) => self.handle_lease_request(now, from, request),
            Body::LeaseReply(reply) => self.handle_lease_reply(now, from, reply),
            Body::RegisterRequest(request) => self.handle_register_request(now, from, request),
            Body::RegisterReply(reply) => self.handle_register_reply(now, from, reply),
            Body::FailureDetector(bytes) => self.detector.handle_datagram(now, &bytes),
            Body::FrontReport(report) => {
                if let Some(zone_failover) = &mut self.zone_failover {
                    zone_failover.handle_report(now, sender.id, report);
                }
            }
            Body::DrainConfirmations(confirmations) => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.handle_confirmations(&sender.name, &confirmations);
                }
            }
            Body::HandOver { task } => self.handle_hand_over(now, from, task),
            Body::ShowMaintenance { .. }
            | Body::ShowPlan { .. }
            | Body::ShowLeases { .. }
            | Body::ShowMembers { .. }
            | Body::ShowRegisters { .. } => {
                if let Some(shown) = self.show(now, body) {
                    self.send(shown, from);
                }
            }
            // Replies to operators, which no front expects.
            Body::Leases { .. } | Body::Members { .. } | Body::Registers { .. } => {}
            Body::PlanShown { .. } | Body::MaintenanceShown { .. } => {}
        }
    }

    fn handle_lease_request(&mut self, now: Duration, from: SocketAddr, request: LeaseRequest) {
        let Some(voter) = &mut self.voter else { return };
        let before = voter.clone();
        let Some(reply) = voter.handle_request(now, &self.config.leases, request) else { return };
        // A token must be stored before a reply lets any front act under it. What was not replied is forgotten, so
        // that requests which need no write are still answered, and no other front waits for a grant that nobody has.
        if let Some(state_folder) = &mut self.state_folder
            && let Err(error) = state_folder.store_token(voter.highest_token())
        {
            *voter = before;
            return tracing::error!("fleet: can't store the fencing token, so no reply is sent: {error}");
        }
        self.send(Body::LeaseReply(reply), from);
    }

    fn handle_lease_reply(&mut self, now: Duration, from: SocketAddr, reply: LeaseReply) {
        let Some(voter) = self.voter_index(from) else { return };
        let random = &mut self.rng;
        let leases = &self.config.leases;
        let messages = self.lease_client.handle_reply(now, leases, voter, reply, &mut || random.f64());
        self.send_lease_requests(messages);
    }

    fn handle_register_request(&mut self, now: Duration, from: SocketAddr, request: RegisterRequest) {
        let Some(acceptor) = &mut self.acceptor else { return };
        let before = acceptor.clone();
        let Some(reply) = acceptor.handle_request(now, request) else { return };
        // As with tokens, what could not be stored is forgotten.
        if let Some(state_folder) = &mut self.state_folder
            && let Err(error) = state_folder.store_registers(acceptor.persistent_state())
        {
            *acceptor = before;
            return tracing::error!("fleet: can't store the registers, so no reply is sent: {error}");
        }
        self.send(Body::RegisterReply(reply), from);
    }

    /// Passes a reply to the acceptor's recovery, the learner and the proposer; each ignores replies to the
    /// others.
    fn handle_register_reply(&mut self, now: Duration, from: SocketAddr, reply: RegisterReply) {
        let Some(voter) = self.voter_index(from) else { return };
        if let Some(acceptor) = &mut self.acceptor {
            let messages = acceptor.handle_copy(now, voter, reply.clone());
            self.send_register_requests(messages);
        }
        let messages = self.learner.handle_reply(now, voter, reply.clone());
        self.send_register_requests(messages);
        let random = &mut self.rng;
        let leases = &self.config.leases;
        let messages = self.proposer.handle_reply(now, leases, voter, reply, &mut || random.f64());
        self.send_register_requests(messages);
    }

    /// Releases a task that this front holds. Otherwise, a voter forwards the request to the front to which it
    /// has granted the task.
    fn handle_hand_over(&mut self, now: Duration, from: SocketAddr, task: String) {
        if self.fencing_token(now, &task).is_some() {
            tracing::info!(task, "fleet: this front releases a task because of a hand-over request");
            let messages = self.lease_client.release(now, &self.config.leases, &task, true);
            self.send_lease_requests(messages);
        } else if let Some(voter) = &self.voter {
            let grant = voter.grants(now).find(|(granted, _)| **granted == task);
            let holder = grant.and_then(|(_, grant)| self.channel.address_of(&grant.holder));
            // A request that came from the holder itself is not sent back to it. Otherwise two voters that have
            // each granted the task to the other would forward the request to each other without end.
            if let Some(address) = holder.filter(|address| *address != from) {
                self.send(Body::HandOver { task }, address);
            }
        }
    }
}
