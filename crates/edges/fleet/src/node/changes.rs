//! Logs changes of leases and of membership.

use super::Node;
use lemonusher_failure_detector::MembershipChange;
use lemonusher_leases::{LeaseChange, MAX_TASKS};

impl Node {
    pub(super) fn handle_changes(&mut self) {
        for change in self.lease_client.take_changes() {
            log_lease_change(change);
        }
        for change in self.detector.take_changes() {
            self.handle_membership_change(change);
        }
        debug_assert!(self.lease_client.tasks().count() <= MAX_TASKS);
    }

    fn handle_membership_change(&mut self, change: MembershipChange) {
        match change {
            MembershipChange::Joined(member) => {
                tracing::info!(name = member.name, "fleet: a member joined");
            }
            MembershipChange::Left(member) => {
                self.members_lost += 1;
                tracing::info!(name = member.name, "fleet: a member left or was declared failed");
            }
            MembershipChange::Refuted => tracing::info!("fleet: this front refuted a report that it left"),
        }
    }
}

fn log_lease_change(change: LeaseChange) {
    match change {
        LeaseChange::Acquired { task, fencing_token: number } => {
            tracing::info!(task, number, "fleet: holds a task");
        }
        LeaseChange::Expired { task, fencing_token: number } => {
            tracing::warn!(task, number, "fleet: a lease expired because too few voters renewed it in time");
        }
        LeaseChange::Released { task, fencing_token: number } => {
            tracing::info!(task, number, "fleet: this front released a task");
        }
    }
}
