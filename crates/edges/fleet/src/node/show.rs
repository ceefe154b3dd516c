//! Replies to operators: pages of a front's tables, the failover plan and maintenance requests.

use super::Node;
use crate::body::{Body, LeaseRow, MAX_ROWS, MemberCursor, MemberRow, RegisterRow};
use crate::maintenance;
use lemonusher_leases::Voter;
use lemonusher_registers::{Acceptor, AcceptorState};
use std::time::Duration;

impl Node {
    /// The reply to an operator's request; none if this front does not have the requested state.
    pub(super) fn show(&self, now: Duration, request: Body) -> Option<Body> {
        match request {
            Body::ShowMaintenance { request } => {
                let fencing_token = self.fencing_token(now, maintenance::LEASE);
                Some(self.maintenance.as_ref()?.show(request, fencing_token))
            }
            Body::ShowPlan { without } => self.zone_failover.as_ref()?.show(&without),
            Body::ShowLeases { after } => Some(show_leases(self.voter.as_ref()?, now, &after)),
            Body::ShowMembers { after } => Some(self.show_members(&after)),
            Body::ShowRegisters { after } => Some(show_registers(self.acceptor.as_ref()?, now, &after)),
            _ => None,
        }
    }

    pub(super) fn member_rows(&self) -> impl Iterator<Item = MemberRow> + '_ {
        self.detector.members().map(|member| MemberRow {
            name: member.name.clone(),
            address: member.address,
            zone: member.zone,
            incarnation: member.incarnation,
        })
    }

    fn show_members(&self, after: &MemberCursor) -> Body {
        let is_later = |row: &MemberRow| (&row.name, row.incarnation) > (&after.name, after.incarnation);
        let mut rows: Vec<MemberRow> = self.member_rows().filter(is_later).collect();
        rows.sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
        let more = truncate_page(&mut rows);
        Body::Members { rows, more }
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
    let more = truncate_page(&mut rows);
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
    let more = truncate_page(&mut rows);
    let is_voting = acceptor.state(now) == AcceptorState::Voting;
    Body::Registers { is_voting, epoch: acceptor.epoch(), rows, more }
}

/// Truncates the rows to one page and returns whether there were more.
fn truncate_page<Row>(rows: &mut Vec<Row>) -> bool {
    let more = rows.len() > MAX_ROWS;
    rows.truncate(MAX_ROWS);
    more
}
