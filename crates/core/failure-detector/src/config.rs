//! The settings of the failure detector. All periods are derived from the probe interval.

use crate::MAX_MESSAGE_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Minimum probe interval; a shorter configured one is raised to this.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of other members that are asked to probe a member that has not replied to a direct probe.
const INDIRECT_PROBES: usize = 3;
/// The timeout of a direct probe, after which indirect probes are sent, is the probe interval divided by this.
const PROBE_TIMEOUT_DIVISOR: u32 = 3;
/// Suspicion timeout in probe intervals: the time that a suspected member has to refute the suspicion.
const SUSPICION_PERIODS: u32 = 6;
/// Probe intervals after which a member that was declared down or has left is forgotten.
const FORGET_PERIODS: u32 = 60;
/// Maximum number of times that an update is forwarded with other messages.
const MAX_TRANSMISSIONS: u8 = 10;
/// Probe intervals between announcements to a random member.
const ANNOUNCE_PERIODS: u32 = 20;
/// Probe intervals between announcements to a member that was declared down or has left.
const ANNOUNCE_TO_DOWN_PERIODS: u32 = 30;
/// The interval between gossip messages is the probe interval divided by this.
const GOSSIP_DIVISOR: u32 = 3;
/// Number of members that receive a gossip message in each gossip interval.
const GOSSIP_FANOUT: usize = 2;

/// The settings of the failure detector. They must be the same at all fronts of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Interval in which each member probes one other member; one below 20 ms is raised to 20 ms.
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
