//! Statistics on the amount of fleet state that a front holds.

use super::Node;
use crate::body::MemberRow;
use lemonusher_registers::{Acceptor, Entry};
use std::time::Duration;

/// Size in bytes of a lease's times and token, without its names.
const LEASE_OVERHEAD_BYTES: usize = 40;
/// Size in bytes of a register's version and token, without its name and value.
const REGISTER_OVERHEAD_BYTES: usize = 24;
/// Size in bytes counted for a remembered sender without its name: incarnation, sequence number, address and time. Its
/// replay window is not counted.
const SENDER_OVERHEAD_BYTES: usize = 46;

/// Amount of fleet state that a front holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClusterStats {
    /// Number of other members that the failure detector sees.
    pub members: usize,
    /// Number of members that the failure detector has reported as left so far, rightly or not.
    pub members_lost: u64,
    /// Number of incarnations that are remembered as senders of datagrams.
    pub incarnations: usize,
    /// Number of leases that this front holds and may act under.
    pub leases_held: usize,
    /// Number of unexpired leases that this front has granted as a voter.
    pub leases_granted: usize,
    /// Number of registers that this front knows to be committed, plus those that it has accepted as a voter. A
    /// register that is both counts twice.
    pub registers: usize,
    /// Approximate size in bytes of all of these in encoded form.
    pub bytes: usize,
}

/// A number of items and the sum of their sizes in bytes.
#[derive(Default)]
struct Tally {
    count: usize,
    bytes: usize,
}

impl FromIterator<usize> for Tally {
    fn from_iter<I: IntoIterator<Item = usize>>(bytes: I) -> Tally {
        bytes.into_iter().fold(Tally::default(), |tally, bytes| Tally {
            count: tally.count + 1,
            bytes: tally.bytes + bytes,
        })
    }
}

impl Node {
    /// The amount of fleet state that this front holds.
    pub fn stats(&self, now: Duration) -> ClusterStats {
        let members: Tally = self.member_rows().map(|row| encoded_bytes(&row)).collect();
        let senders: Tally =
            self.channel.senders().map(|sender| sender.name.len() + SENDER_OVERHEAD_BYTES).collect();
        let held: Tally = self.held_tasks(now).map(|task| task.len() + LEASE_OVERHEAD_BYTES).collect();
        let granted = self.voter.iter().flat_map(|voter| voter.grants(now));
        let granted: Tally = granted
            .map(|(task, grant)| task.len() + grant.holder.name.len() + LEASE_OVERHEAD_BYTES)
            .collect();
        let accepted = self.acceptor.iter().flat_map(Acceptor::accepted);
        let accepted: Tally = accepted.map(|(name, entry)| register_bytes(name, entry)).collect();
        let committed = self.learner.all_committed();
        let committed: Tally = committed.map(|(name, entry)| register_bytes(name, entry)).collect();
        let tallies = [&members, &senders, &held, &granted, &accepted, &committed];
        ClusterStats {
            members: members.count,
            members_lost: self.members_lost,
            incarnations: senders.count,
            leases_held: held.count,
            leases_granted: granted.count,
            registers: accepted.count + committed.count,
            bytes: tallies.iter().map(|tally| tally.bytes).sum(),
        }
    }

    /// Number of leases that this front holds and may act under.
    pub fn leases_held(&self, now: Duration) -> usize {
        self.held_tasks(now).count()
    }

    /// Number of other members that the failure detector sees.
    pub fn member_count(&self) -> usize {
        self.detector.members().count()
    }

    fn held_tasks(&self, now: Duration) -> impl Iterator<Item = &String> {
        self.lease_client.tasks().filter(move |task| self.fencing_token(now, task).is_some())
    }
}

fn register_bytes(name: &str, entry: &Entry) -> usize {
    name.len() + entry.value.len() + REGISTER_OVERHEAD_BYTES
}

fn encoded_bytes(row: &MemberRow) -> usize {
    postcard::to_allocvec(row).map_or(0, |bytes| bytes.len())
}
