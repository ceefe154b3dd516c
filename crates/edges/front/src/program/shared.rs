//! What the sessions share. It knows none of them, nor the start that makes it.

use super::descriptor_limits::DescriptorLimits;
use crate::transport::{MemoryBudget, StallDetector};
use async_executor::LocalExecutor;
use lemonusher_deployment::{LoadReportFields, Settings};
use lemonusher_routing::{Counters, RouterEvent};
use std::rc::Rc;
use std::time::Duration;

/// What all parts share.
pub struct Shared {
    pub settings: Settings,
    pub load_fields: LoadReportFields,
    pub counters: Rc<Counters>,
    pub events: async_channel::Sender<RouterEvent>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub shutting_down: std::cell::Cell<bool>,
    /// Bytes of answers that wait for clients to read them, and how many may.
    pub unwritten_bytes: std::cell::Cell<usize>,
    pub max_unwritten_bytes: usize,
    /// What has come in part, from clients and from engines.
    pub line_memory: Rc<MemoryBudget>,
    pub reply_memory: Rc<MemoryBudget>,
    pub stall_detector: StallDetector,
    pub descriptor_limits: DescriptorLimits,
    pub connect_timeout: Duration,
    /// Unix time since when engines count as cold, where it is not known what they hold.
    pub slow_start_since: Option<Duration>,
}
