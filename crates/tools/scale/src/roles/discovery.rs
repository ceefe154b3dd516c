//! Discovery: what the list of engines and its changes take of a real front process, and how long until it acts upon
//! them. Engines of three kinds of address tell where requests go: those that stay, those of a zone that is lost, and
//! those that replace it.

use crate::budget;
use crate::channel::{Channel, Entry, FRAME_HEAD, News, RECORD, State};
use crate::clients::Clients;
use crate::engine::Engines;
use crate::error::MeasureError;
use crate::front::{self, Front, Told, io};
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::process;
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Watch;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes on the wire to one front.
pub const LIST_BYTES: Metric = Metric::new("whole_list", "B");
pub const ZONE_BYTES: Metric = Metric::new("zone_replaced", "B");
/// Processor time of the front for it.
pub const LIST_PROCESSOR: Metric = Metric::new("whole_list_processor", "ms");
pub const ZONE_PROCESSOR: Metric = Metric::new("zone_replaced_processor", "ms");
/// From the writing of the frame until a request has reached an engine of the list.
pub const LIST_USED: Metric = Metric::new("whole_list_used", "ms");
/// From the writing of the frame until the last request has reached an engine that it takes away.
pub const ZONE_LEFT: Metric = Metric::new("zone_left", "ms");
/// From the writing of the frame until a request has reached an engine that it brings.
pub const ZONE_USED: Metric = Metric::new("zone_used", "ms");

/// The zone that is replaced.
const ZONE: u32 = 1;
/// New engines bear ids from here on.
const NEW_IDS: u32 = 1 << 24;
/// The front's own work without clients is watched for so long.
const IDLE: Duration = Duration::from_secs(2);
/// After a change the front has settled.
const SETTLE: Duration = Duration::from_millis(500);
const QUICK: Duration = Duration::from_millis(200);
/// Requests go on for so long after the zone was replaced.
const AFTER_ZONE: Duration = Duration::from_secs(1);
/// What is not acted upon by then never is.
const LONGEST: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(1);
const CLIENTS: u64 = 8;
const REST: Duration = Duration::from_millis(10);
/// How late the rig's own timers may be.
const LATENESS: Duration = Duration::from_millis(50);
const DAY_SECONDS: f64 = 86_400.0;
/// Bytes that an engine takes of the rig and the front at most, and descriptors and memory of all else.
const BYTES_AN_ENGINE: u64 = 8 * 1024;
const DESCRIPTORS: u64 = 1_024;

/// Tells a real front of engines.
pub struct Discovery {
    options: Options,
}

/// Listeners that stand for the engines.
struct Places {
    staying: Engines,
    leaving: Engines,
    coming: Engines,
}

impl Places {
    fn start() -> Result<Self, MeasureError> {
        let engines = || Engines::start().map_err(io("an engine's listener"));
        Ok(Places { staying: engines()?, leaving: engines()?, coming: engines()? })
    }
}

fn zone(engine: u32) -> u32 {
    engine % budget::ZONES
}

fn entry(id: u32, address: SocketAddrV4, state: State) -> Entry {
    Entry { id, address, state, zone: zone(id % NEW_IDS) as u8 }
}

fn whole(engines: u32, places: &Places) -> News {
    let list = (0..engines).map(|id| {
        let place = if zone(id) == ZONE { &places.leaving } else { &places.staying };
        entry(id, place.address, State::Ready)
    });
    News::Whole(list.collect())
}

/// All engines of the zone go, and as many come.
fn replaced(engines: u32, places: &Places) -> News {
    let of_zone = || (0..engines).filter(|id| zone(*id) == ZONE);
    let gone = of_zone().map(|id| entry(id, places.leaving.address, State::Gone));
    let come = of_zone().map(|id| entry(NEW_IDS + id, places.coming.address, State::Ready));
    News::Changes(gone.chain(come).collect())
}

/// What the channel sends one front in a second: an empty frame each second, and a day's replacements.
fn bytes_a_second() -> f64 {
    let replacement = (FRAME_HEAD + 2 * RECORD) as f64;
    FRAME_HEAD as f64 + f64::from(budget::REPLACEMENTS_A_DAY) * replacement / DAY_SECONDS
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl Discovery {
    pub fn new(options: &Options) -> Self {
        Discovery { options: options.clone() }
    }

    fn span(&self, usual: Duration) -> Duration {
        if self.options.quick { usual.min(QUICK) } else { usual }
    }

    fn start(&self) -> Result<(Channel, Front), MeasureError> {
        let channel = Channel::start().map_err(io("the command channel"))?;
        let told = Told {
            channel: channel.address,
            descriptors: budget::FRONT_DESCRIPTORS as u32,
            memory_mb: budget::FRONT_MEMORY_MB as u32,
        };
        let front = Front::start(&front::program(self.options.front.as_deref())?, &told)?;
        wait(|| channel.fronts() > 0, "the front never asked for the list")?;
        Ok((channel, front))
    }

    /// Without clients: what the front's own work takes.
    fn idle(&self, engines: u32) -> Result<Vec<(Metric, f64)>, MeasureError> {
        let (channel, front) = self.start()?;
        let places = Places::start()?;
        let span = self.span(SETTLE);
        thread::sleep(span);
        let empty = process::of(front.pid())?;
        let spent = |news: News| -> Result<(usize, f64), MeasureError> {
            let before = process::of(front.pid())?.processor;
            let bytes = channel.tell(&news);
            thread::sleep(span);
            let after = process::of(front.pid())?.processor;
            Ok((bytes, milliseconds(after.saturating_sub(before))))
        };
        let (list_bytes, list_processor) = spent(whole(engines, &places))?;
        let full = process::of(front.pid())?;
        let (zone_bytes, zone_processor) = spent(replaced(engines, &places))?;
        let before = (Instant::now(), process::of(front.pid())?.processor);
        thread::sleep(self.span(IDLE));
        let idle = process::of(front.pid())?.processor.saturating_sub(before.1).as_secs_f64();
        let rate = idle / before.0.elapsed().as_secs_f64();
        // The front's own work goes on while it takes a list up.
        let own = rate * milliseconds(span);
        let grown = full.resident_bytes.saturating_sub(empty.resident_bytes) as f64;
        Ok(vec![
            (metric::PROCESSOR, rate * 100.0),
            (metric::MEMORY, full.resident_bytes as f64 / f64::from(1 << 20)),
            (metric::STATE, grown),
            (metric::BYTES_CONTROL, bytes_a_second()),
            (LIST_BYTES, list_bytes as f64),
            (LIST_PROCESSOR, (list_processor - own).max(0.0)),
            (ZONE_BYTES, zone_bytes as f64),
            (ZONE_PROCESSOR, (zone_processor - own).max(0.0)),
        ])
    }

    /// With clients that ask all the time: how long until requests go where the list says.
    fn acted(&self, engines: u32) -> Result<Vec<(Metric, f64)>, MeasureError> {
        let (channel, front) = self.start()?;
        let places = Places::start()?;
        let clients = Clients::start(front.address, CLIENTS, REST);
        thread::sleep(self.span(SETTLE));
        let told = Instant::now();
        channel.tell(&whole(engines, &places));
        let used = || places.staying.tally().first.into_iter().chain(places.leaving.tally().first).min();
        wait(|| used().is_some(), "the list was never used")?;
        let list_used = used().unwrap_or(told).saturating_duration_since(told);
        wait(|| places.leaving.tally().requests > 0, "the zone was never used")?;
        thread::sleep(self.span(SETTLE));
        let told = Instant::now();
        channel.tell(&replaced(engines, &places));
        wait(|| places.coming.tally().requests > 0, "what replaces the zone was never used")?;
        thread::sleep(self.span(AFTER_ZONE));
        let since = |at: Option<Instant>| at.unwrap_or(told).saturating_duration_since(told);
        let (left, used) = (since(places.leaving.tally().last), since(places.coming.tally().first));
        drop(clients);
        Ok(vec![
            (LIST_USED, milliseconds(list_used)),
            (ZONE_LEFT, milliseconds(left)),
            (ZONE_USED, milliseconds(used)),
        ])
    }

    fn run(&self, size: u32) -> Result<Vec<Sample>, MeasureError> {
        let watch = Watch::start(LATENESS);
        let mut values = self.idle(size)?;
        values.extend(self.acted(size)?);
        let disturbed = watch.finish().disturbed();
        let samples = values.into_iter().map(|(metric, value)| Sample {
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

fn wait(done: impl Fn() -> bool, otherwise: &str) -> Result<(), MeasureError> {
    let begun = Instant::now();
    while !done() {
        if begun.elapsed() > LONGEST {
            return Err(MeasureError::Failed(otherwise.into()));
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
        let memory_bytes = u64::from(size) * BYTES_AN_ENGINE;
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
