//! What a front shows of itself: pages of tables for operators, and how much it holds.

use super::{Census, Node};
use crate::frame::{Body, MemberRow, ROWS, RegisterRow, Row};
use lemonusher_leases::Voter;
use lemonusher_registers::{Acceptor, AcceptorState, Entry};
use std::time::Duration;

/// Bytes of a lease's times and numbers beside its names.
const LEASE_FIXED: usize = 40;
/// Bytes of a register's stamp and number beside its name and value.
const REGISTER_FIXED: usize = 24;
/// Bytes that are remembered of an incarnation beside its name: its number, its last datagram's, its address and time.
const LIFE_FIXED: usize = 46;

impl Node {
    /// The page that is asked for, if this front has it.
    pub(super) fn show(&self, now: Duration, asked: Body) -> Option<Body> {
        match asked {
            Body::ShowMaintenance { number } => self.works.as_ref().map(|works| works.show(number)),
            Body::ShowPlan { without } => self.sites.as_ref().and_then(|sites| sites.show(&without)),
            Body::ShowLeases { after } => self.voter.as_ref().map(|voter| show_leases(voter, now, &after)),
            Body::ShowMembers { after } => Some(self.show_members(&after)),
            Body::ShowRegisters { after } => {
                self.keeper.as_ref().map(|keeper| show_registers(keeper, now, &after))
            }
            _ => None,
        }
    }

    fn member_rows(&self) -> impl Iterator<Item = MemberRow> + '_ {
        self.detector.members().map(|member| MemberRow {
            name: member.name.clone(),
            address: member.address,
            location: member.zone,
            born: member.incarnation,
        })
    }

    fn show_members(&self, after: &(String, u64)) -> Body {
        let mut rows: Vec<MemberRow> =
            self.member_rows().filter(|row| (&row.name, row.born) > (&after.0, after.1)).collect();
        rows.sort_by(|a, b| (&a.name, a.born).cmp(&(&b.name, b.born)));
        let more = rows.len() > ROWS;
        rows.truncate(ROWS);
        Body::Members { rows, more }
    }

    /// How much it holds of the fleet.
    pub fn census(&self, now: Duration) -> Census {
        let (members, member_bytes) = tally(self.member_rows().map(|row| encoded_bytes(&row)));
        let (lives, life_bytes) = tally(self.wire.lives().map(|life| life.name.len() + LIFE_FIXED));
        let held = self.asker.tasks().filter(|task| self.asker.active_lease(now, task).is_some());
        let (leases_held, held_bytes) = tally(held.map(|task| task.len() + LEASE_FIXED));
        let granted = self.voter.iter().flat_map(|voter| voter.grants(now));
        let (leases_granted, granted_bytes) =
            tally(granted.map(|(task, held)| task.len() + held.holder.name.len() + LEASE_FIXED));
        let register = |name: &str, entry: &Entry| name.len() + entry.value.len() + REGISTER_FIXED;
        let accepted = self.keeper.iter().flat_map(Acceptor::accepted);
        let (accepted, accepted_bytes) = tally(accepted.map(|(name, entry)| register(name, entry)));
        let (followed, followed_bytes) =
            tally(self.follower.all_committed().map(|(name, entry)| register(name, entry)));
        Census {
            members,
            members_lost: self.members_lost,
            lives,
            leases_held,
            leases_granted,
            registers: accepted + followed,
            bytes: member_bytes + life_bytes + held_bytes + granted_bytes + accepted_bytes + followed_bytes,
        }
    }
}

fn show_leases(voter: &Voter, now: Duration, after: &str) -> Body {
    let later = voter.grants(now).filter(|(task, _)| task.as_str() > after).take(ROWS + 1);
    let mut rows: Vec<Row> = later
        .map(|(task, held)| Row {
            task: task.clone(),
            who: held.holder.clone(),
            number: held.fencing_token,
            left: held.until.saturating_sub(now),
        })
        .collect();
    let more = rows.len() > ROWS;
    rows.truncate(ROWS);
    Body::Leases { mute: voter.is_silent(now), rows, more }
}

fn show_registers(keeper: &Acceptor, now: Duration, after: &str) -> Body {
    let later = keeper.accepted().filter(|(name, _)| name.as_str() > after).take(ROWS + 1);
    let mut rows: Vec<RegisterRow> = later
        .map(|(name, entry)| RegisterRow {
            name: name.clone(),
            stamp: entry.version,
            number: entry.fencing_token,
            long: entry.value.len() as u32,
        })
        .collect();
    let more = rows.len() > ROWS;
    rows.truncate(ROWS);
    Body::Registers { votes: keeper.state(now) == AcceptorState::Voting, era: keeper.epoch(), rows, more }
}

/// How many there are, and the sum of their bytes.
fn tally(bytes: impl Iterator<Item = usize>) -> (usize, usize) {
    bytes.fold((0, 0), |(count, sum), bytes| (count + 1, sum + bytes))
}

fn encoded_bytes(row: &MemberRow) -> usize {
    postcard::to_allocvec(row).map_or(0, |bytes| bytes.len())
}
