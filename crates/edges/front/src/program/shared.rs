//! What the sessions share. It knows none of them, nor the start that makes it.

use super::descriptors::Descriptors;
use crate::transport::{Pulse, Room};
use async_executor::LocalExecutor;
use lemonusher_deployment::{LoadReportFields, Settings};
use lemonusher_routing::{Counters, RouterEvent};
use std::rc::Rc;
use std::time::Duration;

/// What all parts share.
pub struct Shared {
    pub settled: Settings,
    pub fields: LoadReportFields,
    pub counters: Rc<Counters>,
    pub queue: async_channel::Sender<RouterEvent>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub closing: std::cell::Cell<bool>,
    /// Bytes of answers that wait for clients to read them, and how many may.
    pub unwritten: std::cell::Cell<usize>,
    pub most_unwritten: usize,
    /// What has come in part, from clients and from engines.
    pub lines: Rc<Room>,
    pub answers: Rc<Room>,
    pub pulse: Pulse,
    pub descriptors: Descriptors,
    pub connect_timeout: Duration,
    /// Unix time since when engines count as cold, where it is not known what they hold.
    pub cold_since: Option<Duration>,
}
