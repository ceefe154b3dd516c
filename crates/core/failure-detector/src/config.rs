//! The timing of the failure detector; all periods are multiples of the probe interval.

use crate::MAX_MESSAGE_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Probe intervals below this are raised to it.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Members that are asked to probe one that does not reply.
const INDIRECT_PROBES: usize = 3;
/// A probe must be replied to within the probe interval divided by this, or others probe too.
const PROBE_TIMEOUT_DIVISOR: u32 = 3;
/// Probe intervals for which a suspected member may refute.
const SUSPICION_PERIODS: u32 = 6;
/// Probe intervals after which a member that has left is forgotten.
const FORGET_PERIODS: u32 = 60;
/// How many times an update is sent on with other messages.
const MAX_TRANSMISSIONS: u8 = 10;
/// Probe intervals between announcements to a random member.
const ANNOUNCE_PERIODS: u32 = 20;
/// Probe intervals between announcements to a member that has left.
const ANNOUNCE_TO_DOWN_PERIODS: u32 = 30;
/// Gossip is sent each probe interval divided by this.
const GOSSIP_DIVISOR: u32 = 3;
/// Members that gossip is sent to each time.
const GOSSIP_FANOUT: usize = 2;

/// The timing of the failure detector. All fronts of a fleet must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Each member probes one other in this time.
    pub probe_interval: Duration,
}

impl DetectorConfig {
    pub(crate) fn foca_config(&self) -> Config {
        let probe_interval = self.probe_interval.max(MIN_PROBE_INTERVAL);
        let periodic =
            |frequency, members| Some(PeriodicParams { frequency, num_members: non_zero(members) });
        Config {
            probe_period: probe_interval,
            probe_rtt: probe_interval / PROBE_TIMEOUT_DIVISOR,
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: probe_interval * SUSPICION_PERIODS,
            remove_down_after: Some(probe_interval * FORGET_PERIODS),
            max_packet_size: non_zero(MAX_MESSAGE_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(probe_interval * ANNOUNCE_PERIODS, 1),
            periodic_announce_to_down_members: periodic(probe_interval * ANNOUNCE_TO_DOWN_PERIODS, 1),
            periodic_gossip: periodic(probe_interval / GOSSIP_DIVISOR, GOSSIP_FANOUT),
        }
    }
}

fn non_zero(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}
