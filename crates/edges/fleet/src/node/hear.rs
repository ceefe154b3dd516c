//! What a front does with each message.

use super::Node;
use crate::frame::Body;
use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_registers as registers;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Takes in a datagram. What is not of this fleet, or not to be listened to, changes nothing and is counted.
    pub fn hear(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) {
        let Some(frame) = self.wire.open(now, bytes, from) else { return };
        self.hear_body(now, from, &frame.from, frame.body);
        self.send_detector();
    }

    fn hear_body(&mut self, now: Duration, from: SocketAddr, sender: &Incarnation, body: Body) {
        match body {
            Body::LeaseRequest(ask) => self.hear_ask(now, from, ask),
            Body::LeaseReply(reply) => self.hear_reply(now, from, reply),
            Body::RegisterRequest(ask) => self.hear_register(now, from, ask),
            Body::RegisterReply(reply) => self.hear_registered(now, from, reply),
            Body::FailureDetector(bytes) => self.detector.handle_datagram(now, &bytes),
            Body::FrontReport(report) => {
                if let Some(sites) = &mut self.sites {
                    sites.hear(now, sender.id, report);
                }
            }
            Body::DrainConfirmations(told) => {
                if let Some(works) = &mut self.works {
                    works.hear(&sender.name, &told);
                }
            }
            Body::HandOver { task } => self.hear_hand_over(now, from, task),
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

    fn hear_ask(&mut self, now: Duration, from: SocketAddr, ask: LeaseRequest) {
        let Some(voter) = &mut self.voter else { return };
        let Some(reply) = voter.handle_request(now, &self.terms.leases, ask) else { return };
        // A number must last before anybody acts under it.
        if let Some(disk) = &mut self.disk
            && let Err(error) = disk.keep_number(voter.highest_token())
        {
            return tracing::error!("fleet: a number can't be kept, so nothing is granted: {error}");
        }
        self.send(Body::LeaseReply(reply), from);
    }

    fn hear_reply(&mut self, now: Duration, from: SocketAddr, reply: LeaseReply) {
        let Some(voter) = self.place_of(from) else { return };
        let rng = &mut self.chance;
        let posts = self.asker.handle_reply(now, &self.terms.leases, voter, reply, &mut || rng.f64());
        self.post(posts);
    }

    fn hear_register(&mut self, now: Duration, from: SocketAddr, ask: registers::RegisterRequest) {
        let Some(keeper) = &mut self.keeper else { return };
        let Some(reply) = keeper.handle_request(now, ask) else { return };
        if self.keep_registers() {
            self.send(Body::RegisterReply(reply), from);
        }
    }

    fn hear_registered(&mut self, now: Duration, from: SocketAddr, reply: registers::RegisterReply) {
        let Some(voter) = self.place_of(from) else { return };
        if let Some(keeper) = &mut self.keeper {
            let posts = keeper.handle_copy(now, voter, reply.clone());
            self.post_registers(posts);
        }
        let posts = self.follower.handle_reply(now, voter, reply.clone());
        self.post_registers(posts);
        let rng = &mut self.chance;
        let posts = self.proposer.handle_reply(now, &self.terms.leases, voter, reply, &mut || rng.f64());
        self.post_registers(posts);
    }

    /// Lets a task go that it holds; as a voter it passes the wish on to whom it has granted the task.
    fn hear_hand_over(&mut self, now: Duration, from: SocketAddr, task: String) {
        if self.asker.active_lease(now, &task).is_some() {
            tracing::info!(task, "fleet: asked to hand a task over");
            let posts = self.asker.release(now, &self.terms.leases, &task, true);
            self.post(posts);
        } else if let Some(voter) = &self.voter {
            let holder = voter.grants(now).find(|(held, _)| **held == task);
            let address = holder.and_then(|(_, held)| self.wire.address_of(&held.holder));
            // Only a voter passes it on, and only to whom it has granted the task, so it goes no further.
            if let Some(address) = address.filter(|address| *address != from) {
                self.send(Body::HandOver { task }, address);
            }
        }
    }

    /// What a voter says of registers must last first; false if it can't be kept, and then nothing is said.
    fn keep_registers(&mut self) -> bool {
        let (Some(disk), Some(keeper)) = (&mut self.disk, &self.keeper) else { return true };
        match disk.keep_registers(keeper.persistent_state()) {
            Ok(()) => true,
            Err(error) => {
                tracing::error!("fleet: registers can't be kept, so it does not vote: {error}");
                false
            }
        }
    }

    /// The place of a voter in the list, by its address.
    fn place_of(&self, from: SocketAddr) -> Option<usize> {
        self.terms.voters.iter().position(|address| *address == from)
    }
}
