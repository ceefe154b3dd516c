//! Sends the request rate of one front to a real front process, with engines and clients over loopback, and measures
//! the rate that is served.

use crate::budget;
use crate::channel::{Entry, ListUpdate, State};
use crate::clients::Clients;
use crate::connected_front::ConnectedFront;
use crate::engine::Engines;
use crate::error::MeasureError;
use crate::front::io;
use crate::measurement::Options;
use crate::process;
use crate::role::Role;
use crate::sample::{Metric, MetricValue, Sample, metric};
use crate::watch::Watch;
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second that were answered with a result.
pub const SERVED: Metric = Metric::new("served", "1/s");

/// The name of the case.
pub const CASE: &str = "real front, reports=when-probed";
/// Number of clients. With `CLIENT_PAUSE`, they send at least the 2,885 requests a second of the design size if each
/// is answered within 2 ms.
const CLIENTS: u64 = 64;
/// The pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
/// Warm-up before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const QUICK_WINDOW: Duration = Duration::from_millis(300);
/// The lateness of the harness's own timers above which a run counts as disturbed.
const MAX_LATENESS: Duration = Duration::from_millis(50);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn list(engines: u32, engines_listener: &Engines) -> ListUpdate {
    let entry = |id: u32| Entry {
        id,
        address: engines_listener.address,
        state: State::Ready,
        zone: (id % budget::ZONES) as u8,
    };
    ListUpdate::Full((0..engines).map(entry).collect())
}

/// Runs once at a front with the limits of the platform.
pub fn run(engines: u32, options: &Options) -> Result<Vec<Sample>, MeasureError> {
    let ConnectedFront { channel, front } = ConnectedFront::start(options, POLL_INTERVAL)?;
    let engines_listener = Engines::start().map_err(io("an engine's listener"))?;
    channel.publish(&list(engines, &engines_listener));
    let clients = Clients::start(front.address, CLIENTS, CLIENT_PAUSE);
    thread::sleep(if options.quick { QUICK_WINDOW } else { SETTLE_TIME });
    let watch = Watch::start(MAX_LATENESS);
    let (begun, before, returned) = (Instant::now(), process::of(front.pid())?, clients.returned());
    thread::sleep(if options.quick { QUICK_WINDOW } else { WINDOW });
    let (span, after) = (begun.elapsed().as_secs_f64(), process::of(front.pid())?);
    let served = (clients.returned() - returned) as f64 / span;
    let disturbed = watch.finish().disturbed();
    drop(clients);
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
    let values = [
        SERVED.of(served),
        metric::PROCESSOR.of(processor / span * 100.0),
        metric::MEMORY.of(after.resident_bytes as f64 / f64::from(1 << 20)),
        metric::DESCRIPTORS.of(after.descriptors as f64),
    ];
    let sample = |MetricValue { metric, value }| Sample {
        role: Role::Decision,
        case: CASE.to_string(),
        size: engines,
        metric,
        value,
        disturbed,
    };
    Ok(values.into_iter().map(sample).collect())
}
