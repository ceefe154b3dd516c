//! What the tasks of a front share.

use super::descriptor_limits::DescriptorLimits;
use crate::transport::{MemoryBudget, StallDetector};
use async_executor::LocalExecutor;
use lemonusher_deployment::{LoadReportFields, Settings};
use lemonusher_routing::{Counters, RouterEvent};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What the tasks of a front share.
pub struct Shared {
    /// The deployment's settings.
    pub settings: Settings,
    /// How load reports are read.
    pub load_fields: LoadReportFields,
    /// The front's counters.
    pub counters: Rc<Counters>,
    /// The router's queue of events.
    pub events: async_channel::Sender<RouterEvent>,
    /// Runs all tasks, on one thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Whether the front shuts down.
    pub shutting_down: Cell<bool>,
    /// Bytes of responses that wait for clients to read them, over all connections.
    pub unwritten_bytes: Cell<usize>,
    /// Above so many unwritten bytes, results give way to errors.
    pub max_unwritten_bytes: usize,
    /// Memory for partial lines of clients.
    pub line_memory: Rc<MemoryBudget>,
    /// Memory for partial replies and results of engines.
    pub reply_memory: Rc<MemoryBudget>,
    /// How long what is read may have waited unread.
    pub stall_detector: StallDetector,
    /// How the descriptors are shared out.
    pub descriptor_limits: DescriptorLimits,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// Unix time since when every engine counts as in slow start, where it is not known what they hold.
    pub slow_start_since: Option<Duration>,
}
