//! The same rate at a real front process, with engines and clients over loopback: what of it is served.

use crate::budget;
use crate::channel::{Channel, Entry, News, State};
use crate::clients::Clients;
use crate::engine::Engines;
use crate::error::MeasureError;
use crate::front::{self, Front, Told, io};
use crate::measurement::Options;
use crate::process;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Watch;
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second that were answered with a result.
pub const SERVED: Metric = Metric::new("served", "1/s");

pub const CASE: &str = "real front, reports=when-probed";
/// So many clients that rest for so long offer 2,885 requests a second if each is answered within 2 ms.
const CLIENTS: u64 = 64;
const REST: Duration = Duration::from_millis(20);
/// Before the front is watched.
const SETTLE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const QUICK: Duration = Duration::from_millis(300);
/// How late the rig's own timers may be.
const LATENESS: Duration = Duration::from_millis(50);
const LONGEST_START: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(2);

fn list(engines: u32, place: &Engines) -> News {
    let entry =
        |id: u32| Entry { id, address: place.address, state: State::Ready, zone: (id % budget::ZONES) as u8 };
    News::Whole((0..engines).map(entry).collect())
}

fn start(options: &Options) -> Result<(Channel, Front), MeasureError> {
    let channel = Channel::start().map_err(io("the command channel"))?;
    let told = Told {
        channel: channel.address,
        descriptors: budget::FRONT_DESCRIPTORS as u32,
        memory_mb: budget::FRONT_MEMORY_MB as u32,
    };
    let front = Front::start(&front::program(options.front.as_deref())?, &told)?;
    let begun = Instant::now();
    while channel.fronts() == 0 {
        if begun.elapsed() > LONGEST_START {
            return Err(MeasureError::Failed("the front never asked for the list".into()));
        }
        thread::sleep(STEP);
    }
    Ok((channel, front))
}

/// One run at a front of the platform's size.
pub fn run(engines: u32, options: &Options) -> Result<Vec<Sample>, MeasureError> {
    let (channel, front) = start(options)?;
    let place = Engines::start().map_err(io("an engine's listener"))?;
    channel.tell(&list(engines, &place));
    let clients = Clients::start(front.address, CLIENTS, REST);
    thread::sleep(if options.quick { QUICK } else { SETTLE });
    let watch = Watch::start(LATENESS);
    let (begun, before, returned) = (Instant::now(), process::of(front.pid())?, clients.returned());
    thread::sleep(if options.quick { QUICK } else { WINDOW });
    let (span, after) = (begun.elapsed().as_secs_f64(), process::of(front.pid())?);
    let served = (clients.returned() - returned) as f64 / span;
    let disturbed = watch.finish().disturbed();
    drop(clients);
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
    let values = [
        (SERVED, served),
        (metric::PROCESSOR, processor / span * 100.0),
        (metric::MEMORY, after.resident_bytes as f64 / f64::from(1 << 20)),
        (metric::DESCRIPTORS, after.descriptors as f64),
    ];
    let sample = |(metric, value)| Sample {
        role: Role::Decision,
        case: CASE.to_string(),
        size: engines,
        metric,
        value,
        disturbed,
    };
    Ok(values.into_iter().map(sample).collect())
}
