//! Tests that a router which reads slowly misses no kind of update.

use super::*;
use lemonusher_routing::QuotaShare;
use std::sync::Arc;

fn quota(share: u32) -> ControlUpdate {
    ControlUpdate::SlowStartQuota(QuotaShare { share: f64::from(share), valid_until: None })
}

fn maintenance(version: u64) -> ControlUpdate {
    ControlUpdate::Maintenance { version, complete: true, closed: Arc::default() }
}

/// Guards against an update that is dropped because newer ones of another kind filled the queue.
#[test]
fn slow_router_gets_the_latest_update_of_each_kind() {
    let (queue, received) = async_channel::bounded(2);
    let mut pending = PendingUpdates::default();
    pending.add(maintenance(1));
    pending.add(quota(0));
    pending.send(&queue);
    pending.add(maintenance(2));
    for share in 1..=100 {
        pending.add(quota(share));
        pending.send(&queue);
    }
    let mut all = Vec::new();
    for _ in 0..3 {
        all.extend(std::iter::from_fn(|| received.try_recv().ok()));
        pending.send(&queue);
    }
    assert_eq!(all, [maintenance(1), quota(0), maintenance(2), quota(100)]);
}
