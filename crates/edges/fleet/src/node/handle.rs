//! What a front does with each message.

use super::Node;
use crate::frame::Body;
use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_registers as registers;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Takes in a datagram. What is not of this fleet, or not to be listened to, changes nothing and is counted.
    pub fn handle_datagram(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) {
        let Some(frame) = self.channel.open(now, bytes, from) else { return };
        self.handle_body(now, from, &frame.from, frame.body);
        self.send_detector();
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
            Body::DrainConfirmations(report) => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.handle_confirmations(&sender.name, &report);
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
            Body::Leases { .. } | Body::Members { .. } | Body::Registers { .. } => {}
            Body::PlanShown { .. } | Body::MaintenanceShown { .. } => {}
        }
    }

    fn handle_lease_request(&mut self, now: Duration, from: SocketAddr, request: LeaseRequest) {
        let Some(voter) = &mut self.voter else { return };
        let Some(reply) = voter.handle_request(now, &self.config.leases, request) else { return };
        // A number must last before anybody acts under it.
        if let Some(state_folder) = &mut self.state_folder
            && let Err(error) = state_folder.store_token(voter.highest_token())
        {
            return tracing::error!("fleet: a number can't be kept, so nothing is granted: {error}");
        }
        self.send(Body::LeaseReply(reply), from);
    }

    fn handle_lease_reply(&mut self, now: Duration, from: SocketAddr, reply: LeaseReply) {
        let Some(voter) = self.voter_index(from) else { return };
        let random = &mut self.chance;
        let messages =
            self.lease_client.handle_reply(now, &self.config.leases, voter, reply, &mut || random.f64());
        self.send_lease_requests(messages);
    }

    fn handle_register_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: registers::RegisterRequest,
    ) {
        let Some(acceptor) = &mut self.acceptor else { return };
        let Some(reply) = acceptor.handle_request(now, request) else { return };
        if self.store_registers() {
            self.send(Body::RegisterReply(reply), from);
        }
    }

    fn handle_register_reply(&mut self, now: Duration, from: SocketAddr, reply: registers::RegisterReply) {
        let Some(voter) = self.voter_index(from) else { return };
        if let Some(acceptor) = &mut self.acceptor {
            let messages = acceptor.handle_copy(now, voter, reply.clone());
            self.send_register_requests(messages);
        }
        let messages = self.learner.handle_reply(now, voter, reply.clone());
        self.send_register_requests(messages);
        let random = &mut self.chance;
        let messages =
            self.proposer.handle_reply(now, &self.config.leases, voter, reply, &mut || random.f64());
        self.send_register_requests(messages);
    }

    /// Lets a task go that it holds; as a voter it passes the wish on to whom it has granted the task.
    fn handle_hand_over(&mut self, now: Duration, from: SocketAddr, task: String) {
        if self.lease_client.active_lease(now, &task).is_some() {
            tracing::info!(task, "fleet: asked to hand a task over");
            let messages = self.lease_client.release(now, &self.config.leases, &task, true);
            self.send_lease_requests(messages);
        } else if let Some(voter) = &self.voter {
            let holder = voter.grants(now).find(|(grant, _)| **grant == task);
            let address = holder.and_then(|(_, grant)| self.channel.address_of(&grant.holder));
            // Only a voter passes it on, and only to whom it has granted the task, so it goes no further.
            if let Some(address) = address.filter(|address| *address != from) {
                self.send(Body::HandOver { task }, address);
            }
        }
    }

    /// What a voter says of registers must last first; false if it can't be kept, and then nothing is said.
    fn store_registers(&mut self) -> bool {
        let (Some(state_folder), Some(acceptor)) = (&mut self.state_folder, &self.acceptor) else {
            return true;
        };
        match state_folder.store_registers(acceptor.persistent_state()) {
            Ok(()) => true,
            Err(error) => {
                tracing::error!("fleet: registers can't be kept, so it does not vote: {error}");
                false
            }
        }
    }

    /// The place of a voter in the list, by its address.
    fn voter_index(&self, from: SocketAddr) -> Option<usize> {
        self.config.voters.iter().position(|address| *address == from)
    }
}
