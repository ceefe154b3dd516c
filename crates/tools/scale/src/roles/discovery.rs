//! Discovery: the cost of the endpoint list and its updates for a real front process, and the time until requests
//! follow them. Three listeners show which engines receive requests: those that stay, those of a zone that is removed,
//! and those that replace it.

use crate::budget;
use crate::channel::{Entry, FRAME_HEADER_BYTES, ListUpdate, RECORD_BYTES, State};
use crate::clients::Clients;
use crate::connected_front::ConnectedFront;
use crate::engine::Engines;
use crate::error::MeasureError;
use crate::front::io;
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::process;
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, MetricValue, Sample, metric};
use crate::watch::Watch;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes on the wire of the full endpoint list to one front.
pub const LIST_BYTES: Metric = Metric::new("whole_list", "B");
/// The same for the update that replaces a zone.
pub const ZONE_BYTES: Metric = Metric::new("zone_replaced", "B");
/// Processor time of the front for the full endpoint list.
pub const LIST_PROCESSOR: Metric = Metric::new("whole_list_processor", "ms");
/// The same for the update that replaces a zone.
pub const ZONE_PROCESSOR: Metric = Metric::new("zone_replaced_processor", "ms");
/// Time from the sending of the full list until a request has reached an engine of the list.
pub const LIST_USED: Metric = Metric::new("whole_list_used", "ms");
/// Time from the sending of the update until the last request has reached an engine that it removes.
pub const ZONE_LEFT: Metric = Metric::new("zone_left", "ms");
/// Time from the sending of the update until a request has reached an engine that it adds.
pub const ZONE_USED: Metric = Metric::new("zone_used", "ms");

/// The zone that is replaced.
const REPLACED_ZONE: u32 = 1;
/// Offset of the ids of new engines.
const NEW_IDS: u32 = 1 << 24;
/// The time over which the front's background work without clients is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(2);
/// Time for the front to apply a list or an update.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const QUICK_TIME: Duration = Duration::from_millis(200);
/// Time for which requests continue after the replacement of the zone.
const AFTER_REPLACEMENT: Duration = Duration::from_secs(1);
/// Timeout after which a list or an update counts as ignored.
const MAX_WAIT: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(1);
const CLIENTS: u64 = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
/// The lateness of the harness's own timers above which a run counts as disturbed.
const MAX_LATENESS: Duration = Duration::from_millis(50);
const DAY_SECONDS: f64 = 86_400.0;
/// Upper limit of the memory of an engine in the harness and the front, in bytes.
const BYTES_PER_ENGINE: u64 = 8 * 1024;
/// Upper limit of the descriptors of a run.
const DESCRIPTORS: u64 = 1_024;

/// Measures how a real front follows the endpoint list.
pub struct Discovery {
    options: Options,
}

/// Listeners that stand in for the engines.
struct Listeners {
    staying: Engines,
    leaving: Engines,
    joining: Engines,
}

impl Listeners {
    fn start() -> Result<Self, MeasureError> {
        let engines = || Engines::start().map_err(io("an engine's listener"));
        Ok(Listeners { staying: engines()?, leaving: engines()?, joining: engines()? })
    }
}

fn zone(engine: u32) -> u32 {
    engine % budget::ZONES
}

fn entry(id: u32, address: SocketAddrV4, state: State) -> Entry {
    Entry { id, address, state, zone: zone(id % NEW_IDS) as u8 }
}

fn full_list(engines: u32, listeners: &Listeners) -> ListUpdate {
    let list = (0..engines).map(|id| {
        let place = if zone(id) == REPLACED_ZONE { &listeners.leaving } else { &listeners.staying };
        entry(id, place.address, State::Ready)
    });
    ListUpdate::Full(list.collect())
}

/// An update that replaces all engines of the zone by as many new ones.
fn zone_replacement(engines: u32, listeners: &Listeners) -> ListUpdate {
    let of_zone = || (0..engines).filter(|id| zone(*id) == REPLACED_ZONE);
    let removed = of_zone().map(|id| entry(id, listeners.leaving.address, State::Removed));
    let added = of_zone().map(|id| entry(NEW_IDS + id, listeners.joining.address, State::Ready));
    ListUpdate::Delta(removed.chain(added).collect())
}

/// Mean bytes a second from the discovery channel to one front: an empty frame each second, and the daily
/// replacements of engines.
fn bytes_per_second() -> f64 {
    let replacement = (FRAME_HEADER_BYTES + 2 * RECORD_BYTES) as f64;
    FRAME_HEADER_BYTES as f64 + f64::from(budget::REPLACEMENTS_PER_DAY) * replacement / DAY_SECONDS
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl Discovery {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Self {
        Discovery { options: options.clone() }
    }

    fn span(&self, usual: Duration) -> Duration {
        if self.options.quick { usual.min(QUICK_TIME) } else { usual }
    }

    /// Measures the front without clients: its background work, and the cost of a list and an update.
    fn measure_idle(&self, engines: u32) -> Result<Vec<MetricValue>, MeasureError> {
        let ConnectedFront { channel, front } = ConnectedFront::start(&self.options, STEP)?;
        let listeners = Listeners::start()?;
        let span = self.span(SETTLE_TIME);
        thread::sleep(span);
        let empty = process::of(front.pid())?;
        let spent = |update: ListUpdate| -> Result<(usize, f64), MeasureError> {
            let before = process::of(front.pid())?.processor;
            let bytes = channel.publish(&update);
            thread::sleep(span);
            let after = process::of(front.pid())?.processor;
            Ok((bytes, milliseconds(after.saturating_sub(before))))
        };
        let (list_bytes, list_processor) = spent(full_list(engines, &listeners))?;
        let full = process::of(front.pid())?;
        let (zone_bytes, zone_processor) = spent(zone_replacement(engines, &listeners))?;
        let before = (Instant::now(), process::of(front.pid())?.processor);
        thread::sleep(self.span(IDLE_WINDOW));
        let idle_processor = process::of(front.pid())?.processor.saturating_sub(before.1).as_secs_f64();
        let rate = idle_processor / before.0.elapsed().as_secs_f64();
        // The background work continues while the front applies a list, and is subtracted.
        let background = rate * milliseconds(span);
        let grown = full.resident_bytes.saturating_sub(empty.resident_bytes) as f64;
        Ok(vec![
            metric::PROCESSOR.of(rate * 100.0),
            metric::MEMORY.of(full.resident_bytes as f64 / f64::from(1 << 20)),
            metric::STATE.of(grown),
            metric::BYTES_CONTROL.of(bytes_per_second()),
            LIST_BYTES.of(list_bytes as f64),
            LIST_PROCESSOR.of((list_processor - background).max(0.0)),
            ZONE_BYTES.of(zone_bytes as f64),
            ZONE_PROCESSOR.of((zone_processor - background).max(0.0)),
        ])
    }

    /// Measures, with clients that send requests continuously, the time until requests follow the list.
    fn measure_reaction(&self, engines: u32) -> Result<Vec<MetricValue>, MeasureError> {
        let ConnectedFront { channel, front } = ConnectedFront::start(&self.options, STEP)?;
        let listeners = Listeners::start()?;
        let clients = Clients::start(front.address, CLIENTS, CLIENT_PAUSE);
        thread::sleep(self.span(SETTLE_TIME));
        let published_at = Instant::now();
        channel.publish(&full_list(engines, &listeners));
        let used =
            || listeners.staying.received().first.into_iter().chain(listeners.leaving.received().first).min();
        wait_until(|| used().is_some(), "no request reached an engine of the list in time")?;
        let list_used = used().unwrap_or(published_at).saturating_duration_since(published_at);
        wait_until(
            || listeners.leaving.received().requests > 0,
            "no request reached an engine of the zone to be replaced in time",
        )?;
        thread::sleep(self.span(SETTLE_TIME));
        let published_at = Instant::now();
        channel.publish(&zone_replacement(engines, &listeners));
        wait_until(
            || listeners.joining.received().requests > 0,
            "no request reached an engine that replaces the zone in time",
        )?;
        thread::sleep(self.span(AFTER_REPLACEMENT));
        let since = |at: Option<Instant>| at.unwrap_or(published_at).saturating_duration_since(published_at);
        let (left, used) =
            (since(listeners.leaving.received().last), since(listeners.joining.received().first));
        drop(clients);
        Ok(vec![
            LIST_USED.of(milliseconds(list_used)),
            ZONE_LEFT.of(milliseconds(left)),
            ZONE_USED.of(milliseconds(used)),
        ])
    }

    fn run(&self, size: u32) -> Result<Vec<Sample>, MeasureError> {
        let watch = Watch::start(MAX_LATENESS);
        let mut values = self.measure_idle(size)?;
        values.extend(self.measure_reaction(size)?);
        let disturbed = watch.finish().disturbed();
        let samples = values.into_iter().map(|MetricValue { metric, value }| Sample {
            role: Role::Discovery,
            case: String::new(),
            size,
            metric,
            value,
            disturbed,
        });
        Ok(samples.collect())
    }
}

fn wait_until(done: impl Fn() -> bool, failure: &str) -> Result<(), MeasureError> {
    let begun = Instant::now();
    while !done() {
        if begun.elapsed() > MAX_WAIT {
            return Err(MeasureError::Failed(failure.into()));
        }
        thread::sleep(STEP);
    }
    Ok(())
}

impl Measurement for Discovery {
    fn role(&self) -> Role {
        Role::Discovery
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![80, 320, 1_300, 2_600]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        let memory_bytes = u64::from(size) * BYTES_PER_ENGINE;
        let need = Need { memory_bytes, descriptors: DESCRIPTORS, processes: 1 };
        Limits::of_this_machine()?.check(size, &need)?;
        let mut samples = Vec::new();
        for repeat in 0..self.options.repeats {
            progress.step(format!("{size} engines, run {}", repeat + 1));
            samples.extend(self.run(size)?);
        }
        Ok(samples)
    }
}
