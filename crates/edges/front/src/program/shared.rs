//! State shared by the tasks of a front.

use super::descriptor_limits::DescriptorLimits;
use super::discovery::DiscoveryInput;
use crate::transport::{MemoryBudget, StallDetector};
use async_executor::LocalExecutor;
use lemonusher::EngineId;
use lemonusher_deployment::{LoadReportFields, Settings};
use lemonusher_routing::{Counters, RouterEvent};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// State shared by the tasks of a front. All of them run on one thread.
pub struct Shared {
    /// The deployment's settings.
    pub settings: Settings,
    /// Maps the fields of engines' load reports.
    pub load_fields: LoadReportFields,
    /// The front's counters.
    pub counters: Rc<Counters>,
    /// Sends events to the router.
    pub events: async_channel::Sender<RouterEvent>,
    /// Executor of all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Whether the front is shutting down.
    pub shutting_down: Cell<bool>,
    /// Bytes of responses that wait to be written, over all client connections.
    pub unwritten_bytes: Cell<usize>,
    /// Limit of `unwritten_bytes`, above which clients get an error in place of a result.
    pub max_unwritten_bytes: usize,
    /// Memory budget for partial lines of clients.
    pub line_memory: Rc<MemoryBudget>,
    /// Memory budget for partial replies and partial results of engines.
    pub reply_memory: Rc<MemoryBudget>,
    /// What has been read from the discovery channel.
    pub discovery: DiscoveryInput,
    /// Estimates how long input may have waited unread while this process did not run.
    pub stall_detector: StallDetector,
    /// Limits of descriptors for clients and engines.
    pub descriptor_limits: DescriptorLimits,
    /// Timeout for establishing a connection. Other timeouts of connections are multiples of it.
    pub connect_timeout: Duration,
    /// After a start that recovers from a crash, the Unix time from which every engine counts as in slow start,
    /// because it is unknown which attempts are still in flight there.
    pub slow_start_since: Option<Duration>,
}

impl Shared {
    /// Whether an attempt or probe may be written to an engine, by all that has arrived on the discovery channel.
    pub fn may_receive(&self, engine: EngineId) -> bool {
        self.discovery.may_receive(engine, &self.stall_detector)
    }
}
