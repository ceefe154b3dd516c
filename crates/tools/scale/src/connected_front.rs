//! A real front that follows a command channel of the rig.

use crate::budget;
use crate::channel::Channel;
use crate::error::MeasureError;
use crate::front::{self, Front, FrontOptions, io};
use crate::measurement::Options;
use std::thread;
use std::time::{Duration, Instant};

/// A front asks for its list of engines within this time, on however busy a machine.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A front of the platform's size, and the channel that it follows.
#[derive(Debug)]
pub struct ConnectedFront {
    /// Where its list of engines comes from.
    pub channel: Channel,
    /// The front.
    pub front: Front,
}

impl ConnectedFront {
    /// Starts both, and waits until the front has asked for the list, looking once in `interval`.
    pub fn start(options: &Options, interval: Duration) -> Result<Self, MeasureError> {
        let channel = Channel::start().map_err(io("the command channel"))?;
        let front_options = FrontOptions {
            channel: channel.address,
            descriptors: budget::FRONT_DESCRIPTORS as u32,
            memory_mb: budget::FRONT_MEMORY_MB as u32,
        };
        let front = Front::start(&front::program(options.front.as_deref())?, &front_options)?;
        let begun = Instant::now();
        while channel.fronts() == 0 {
            if begun.elapsed() > MAX_WAIT {
                return Err(MeasureError::Failed("the front never asked for the list".into()));
            }
            thread::sleep(interval);
        }
        Ok(ConnectedFront { channel, front })
    }
}
