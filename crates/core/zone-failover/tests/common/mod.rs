//! Helpers shared by several tests.
#![allow(dead_code, reason = "each test program uses a part of it")]

use lemonusher_registers::EntryVersion;
use lemonusher_zone_failover::{ClassLoad, FailoverConfig};
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn version(epoch: u64, counter: u64) -> EntryVersion {
    EntryVersion { epoch, counter }
}

pub fn config() -> FailoverConfig {
    FailoverConfig {
        report_interval: ms(500),
        confirmation_time: ms(1500),
        probation: ms(2000),
        ramp_interval: ms(2000),
        recovery_backoff: ms(4000),
        max_utilization: 0.8,
        admission_floor: 0.1,
        plan_timeout: ms(6000),
    }
}

pub fn class(priority_weight: f64, work: f64, rate: f64, floor: f64) -> ClassLoad {
    ClassLoad {
        priority_weight,
        work,
        rate,
        latency_objective: 1.0,
        deadline: 20.0,
        floor,
        allowed_zones: None,
    }
}
