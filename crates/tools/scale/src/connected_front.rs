//! A real front that is connected to a discovery channel of the harness.

use crate::budget;
use crate::channel::Channel;
use crate::error::MeasureError;
use crate::front::{self, Front, FrontOptions, io};
use crate::measurement::Options;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for a front to connect to the discovery channel; long enough for a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A front with the limits of the platform, and the discovery channel that it follows.
#[derive(Debug)]
pub struct ConnectedFront {
    /// The discovery channel that sends its endpoint list.
    pub channel: Channel,
    /// The front.
    pub front: Front,
}

impl ConnectedFront {
    /// Starts the channel and the front, and waits until the front has connected to the channel. Checks once every
    /// `interval`.
    pub fn start(options: &Options, interval: Duration) -> Result<Self, MeasureError> {
        let channel = Channel::start().map_err(io("the discovery channel"))?;
        let front_options = FrontOptions {
            channel: channel.address,
            descriptors: budget::FRONT_DESCRIPTORS as u32,
            memory_mb: budget::FRONT_MEMORY_MB as u32,
        };
        let front = Front::start(&front::program(options.front.as_deref())?, &front_options)?;
        let begun = Instant::now();
        while channel.fronts() == 0 {
            if begun.elapsed() > MAX_WAIT {
                return Err(MeasureError::Failed(
                    "the front did not connect to the discovery channel in time".into(),
                ));
            }
            thread::sleep(interval);
        }
        Ok(ConnectedFront { channel, front })
    }
}
