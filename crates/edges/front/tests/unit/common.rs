//! The shared state of a front whose tasks a test runs itself, in the order that it wants.

use crate::program::descriptor_limits::DescriptorLimits;
use crate::program::discovery::DiscoveryInput;
use crate::program::shared::Shared;
use crate::transport::{MemoryBudget, StallDetector};
use async_channel::Sender;
use lemonusher_deployment::{LoadReportFields, Settings};
use lemonusher_routing::{Counters, RouterEvent};
use std::rc::Rc;
use std::time::Duration;

/// Capacity of an event queue of which a test reads nothing.
pub const QUEUE_LENGTH: usize = 64;

/// The state of a front that sends its router's events to this queue. No task polls its stall detector, so the process
/// counts as one that did not run.
pub fn stalled(events: Sender<RouterEvent>) -> Rc<Shared> {
    let settings: Settings = serde_json::from_value(lemonusher_fakes::settings()).unwrap();
    let class_names = settings.request_classes.iter().map(|class| class.name.clone()).collect();
    Rc::new(Shared {
        load_fields: LoadReportFields::new(&settings),
        counters: Rc::new(Counters::new(class_names)),
        events,
        executor: Rc::default(),
        shutting_down: false.into(),
        unwritten_bytes: 0.into(),
        max_unwritten_bytes: 1 << 20,
        line_memory: MemoryBudget::new(1 << 20),
        reply_memory: MemoryBudget::new(1 << 20),
        descriptor_limits: DescriptorLimits::of(1024),
        discovery: DiscoveryInput::new(),
        stall_detector: StallDetector::new(Duration::ZERO),
        connect_timeout: Duration::from_secs(1),
        slow_start_since: None,
        settings,
    })
}
