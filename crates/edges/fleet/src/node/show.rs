//! What a front shows of itself: pages of tables for operators, and how much it holds.

use super::{ClusterStats, Node};
use crate::frame::{Body, LeaseRow, MAX_ROWS, MemberRow, RegisterRow};
use lemonusher_leases::Voter;
use lemonusher_registers::{Acceptor, AcceptorState, Entry};
use std::time::Duration;

/// Bytes of a lease's times and numbers beside its names.
const LEASE_OVERHEAD_BYTES: usize = 40;
/// Bytes of a register's stamp and number beside its name and value.
const REGISTER_OVERHEAD_BYTES: usize = 24;
/// Bytes that are remembered of an incarnation beside its name: its number, its last datagram's, its address and time.
const INCARNATION_OVERHEAD_BYTES: usize = 46;

impl Node {
    /// The page that is asked for, if this front has it.
    pub(super) fn show(&self, now: Duration, asked: Body) -> Option<Body> {
        match asked {
            Body::ShowMaintenance { request: number } => {
                self.maintenance.as_ref().map(|maintenance| maintenance.show(number))
            }
            Body::ShowPlan { without } => {
                self.zone_failover.as_ref().and_then(|zone_failover| zone_failover.show(&without))
            }
            Body::ShowLeases { after } => self.voter.as_ref().map(|voter| show_leases(voter, now, &after)),
            Body::ShowMembers { after } => Some(self.show_members(&after)),
            Body::ShowRegisters { after } => {
                self.acceptor.as_ref().map(|acceptor| show_registers(acceptor, now, &after))
            }
            _ => None,
        }
    }

    fn member_rows(&self) -> impl Iterator<Item = MemberRow> + '_ {
        self.detector.members().map(|member| MemberRow {
            name: member.name.clone(),
            address: member.address,
            zone: member.zone,
            incarnation: member.incarnation,
        })
    }

    fn show_members(&self, after: &(String, u64)) -> Body {
        let mut rows: Vec<MemberRow> =
            self.member_rows().filter(|row| (&row.name, row.incarnation) > (&after.0, after.1)).collect();
        rows.sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
        let more = rows.len() > MAX_ROWS;
        rows.truncate(MAX_ROWS);
        Body::Members { rows, more }
    }

    /// How much it holds of the fleet.
    pub fn stats(&self, now: Duration) -> ClusterStats {
        let (members, member_bytes) = tally(self.member_rows().map(|row| encoded_bytes(&row)));
        let (incarnations, incarnation_bytes) = tally(
            self.channel.senders().map(|incarnation| incarnation.name.len() + INCARNATION_OVERHEAD_BYTES),
        );
        let grant =
            self.lease_client.tasks().filter(|task| self.lease_client.active_lease(now, task).is_some());
        let (leases_held, held_bytes) = tally(grant.map(|task| task.len() + LEASE_OVERHEAD_BYTES));
        let granted = self.voter.iter().flat_map(|voter| voter.grants(now));
        let (leases_granted, granted_bytes) =
            tally(granted.map(|(task, grant)| task.len() + grant.holder.name.len() + LEASE_OVERHEAD_BYTES));
        let register = |name: &str, entry: &Entry| name.len() + entry.value.len() + REGISTER_OVERHEAD_BYTES;
        let accepted = self.acceptor.iter().flat_map(Acceptor::accepted);
        let (accepted, accepted_bytes) = tally(accepted.map(|(name, entry)| register(name, entry)));
        let (watched, watched_bytes) =
            tally(self.learner.all_committed().map(|(name, entry)| register(name, entry)));
        ClusterStats {
            members,
            members_lost: self.members_lost,
            incarnations,
            leases_held,
            leases_granted,
            registers: accepted + watched,
            bytes: member_bytes
                + incarnation_bytes
                + held_bytes
                + granted_bytes
                + accepted_bytes
                + watched_bytes,
        }
    }
}

fn show_leases(voter: &Voter, now: Duration, after: &str) -> Body {
    let later = voter.grants(now).filter(|(task, _)| task.as_str() > after).take(MAX_ROWS + 1);
    let mut rows: Vec<LeaseRow> = later
        .map(|(task, grant)| LeaseRow {
            task: task.clone(),
            holder: grant.holder.clone(),
            fencing_token: grant.fencing_token,
            remaining: grant.until.saturating_sub(now),
        })
        .collect();
    let more = rows.len() > MAX_ROWS;
    rows.truncate(MAX_ROWS);
    Body::Leases { is_silent: voter.is_silent(now), rows, more }
}

fn show_registers(acceptor: &Acceptor, now: Duration, after: &str) -> Body {
    let later = acceptor.accepted().filter(|(name, _)| name.as_str() > after).take(MAX_ROWS + 1);
    let mut rows: Vec<RegisterRow> = later
        .map(|(name, entry)| RegisterRow {
            name: name.clone(),
            version: entry.version,
            fencing_token: entry.fencing_token,
            value_bytes: entry.value.len() as u32,
        })
        .collect();
    let more = rows.len() > MAX_ROWS;
    rows.truncate(MAX_ROWS);
    Body::Registers {
        is_voting: acceptor.state(now) == AcceptorState::Voting,
        epoch: acceptor.epoch(),
        rows,
        more,
    }
}

/// How many there are, and the sum of their bytes.
fn tally(bytes: impl Iterator<Item = usize>) -> (usize, usize) {
    bytes.fold((0, 0), |(count, sum), bytes| (count + 1, sum + bytes))
}

fn encoded_bytes(row: &MemberRow) -> usize {
    postcard::to_allocvec(row).map_or(0, |bytes| bytes.len())
}
