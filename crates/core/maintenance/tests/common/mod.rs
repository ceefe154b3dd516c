//! Helpers shared by several tests.
#![allow(dead_code, reason = "each test program uses a part of it")]

use lemonusher_registers::EntryVersion;
use lemonusher_zone_failover::ClassLoad;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn version(epoch: u64, counter: u64) -> EntryVersion {
    EntryVersion { epoch, counter }
}

/// A class of requests with one second of work each.
pub fn class(rate: f64) -> ClassLoad {
    ClassLoad {
        priority_weight: 1.0,
        work: 1.0,
        rate,
        latency_objective: 1.0,
        deadline: 20.0,
        floor: 0.0,
        allowed_zones: None,
    }
}
