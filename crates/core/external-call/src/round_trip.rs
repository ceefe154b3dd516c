//! Estimates how long a response takes to reach the proxy, so that it is sent early enough to be read in time.
//!
//! The response margin is the mean round-trip time plus four mean deviations, or 1.5 times the longest round
//! trip of the last two windows if that is more. It is limited to a range of shares of the message timeout.
//! The longest round trip matters because requests that wait together get their responses together, and the
//! last response waits for the others. The factor 1.5 allows for the path between the sockets and the proxy,
//! which is not measured. Until there are enough samples, the margin is the largest. The inputs are measured
//! round trips and the times of measurement.

use std::time::Duration;

/// Number of samples before the estimate is used.
const MIN_SAMPLES: u32 = 32;
/// Minimum margin, as a share of the message timeout.
const MIN_MARGIN_SHARE: f64 = 0.05;
/// Maximum margin, as a share of the message timeout; also used until there are enough samples.
const MAX_MARGIN_SHARE: f64 = 0.5;
/// Weight of a new sample in the exponentially weighted mean and deviation, from 0 to 1.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum ratio of the margin to the longest round trip.
const LONGEST_FACTOR: f64 = 1.5;
/// Minimum length of a window of the maximum; a window ends with the first sample after this time. A longest
/// round trip counts until the end of the window after its own.
const WINDOW: Duration = Duration::from_secs(10);

/// The longest round trip of the current and the previous window.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct WindowedMaximum {
    window_start: Duration,
    current: Duration,
    previous: Duration,
}

impl WindowedMaximum {
    fn record(&mut self, now: Duration, round_trip: Duration) {
        if now.saturating_sub(self.window_start) >= WINDOW {
            self.window_start = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current = self.current.max(round_trip);
    }

    fn get(&self) -> Duration {
        self.current.max(self.previous)
    }
}

/// Mean, deviation and recent maximum of the round-trip time to the proxies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct RoundTripEstimate {
    samples: u32,
    mean: Duration,
    deviation: Duration,
    longest: WindowedMaximum,
}

impl RoundTripEstimate {
    pub(crate) fn record(&mut self, now: Duration, round_trip: Duration) {
        self.samples = self.samples.saturating_add(1);
        self.longest.record(now, round_trip);
        if self.samples == 1 {
            self.mean = round_trip;
            return;
        }
        self.deviation = weighted_mean(self.deviation, round_trip.abs_diff(self.mean));
        self.mean = weighted_mean(self.mean, round_trip);
    }

    pub(crate) fn margin(&self, message_timeout: Duration) -> Duration {
        let largest = message_timeout.mul_f64(MAX_MARGIN_SHARE);
        if self.samples < MIN_SAMPLES {
            return largest;
        }
        let usual = self.mean + self.deviation * 4;
        let needed = usual.max(self.longest.get().mul_f64(LONGEST_FACTOR));
        needed.clamp(message_timeout.mul_f64(MIN_MARGIN_SHARE), largest)
    }
}

/// The exponentially weighted mean after a new sample.
fn weighted_mean(mean: Duration, sample: Duration) -> Duration {
    mean.mul_f64(1.0 - NEW_SAMPLE_WEIGHT) + sample.mul_f64(NEW_SAMPLE_WEIGHT)
}
