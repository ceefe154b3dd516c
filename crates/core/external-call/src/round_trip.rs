//! Estimates how long a response takes to reach the proxy, so that it is sent early enough to be read in time.
//! The margin is the mean round trip plus four mean deviations, within shares of the message timeout. Inputs are
//! measured round trips.

use std::time::Duration;

/// Margin as a share of the message timeout while no round trip has been measured.
const INITIAL_MARGIN_SHARE: f64 = 0.2;
/// Smallest margin, as a share of the message timeout.
const MIN_MARGIN_SHARE: f64 = 0.05;
/// Largest margin, as a share of the message timeout.
const MAX_MARGIN_SHARE: f64 = 0.5;
/// Share of a new sample in the decaying mean and deviation.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;

/// Decaying mean and deviation of the time to a proxy and back.
#[derive(Debug)]
pub(crate) struct RoundTripEstimate {
    mean_seconds: f64,
    deviation_seconds: f64,
}

impl RoundTripEstimate {
    pub(crate) fn new(message_timeout: Duration) -> RoundTripEstimate {
        let mean_seconds = message_timeout.as_secs_f64() * INITIAL_MARGIN_SHARE / 2.0;
        RoundTripEstimate { mean_seconds, deviation_seconds: mean_seconds / 4.0 }
    }

    pub(crate) fn record(&mut self, round_trip: Duration) {
        let round_trip = round_trip.as_secs_f64();
        let deviation = (round_trip - self.mean_seconds).abs();
        self.deviation_seconds += NEW_SAMPLE_WEIGHT * (deviation - self.deviation_seconds);
        self.mean_seconds += NEW_SAMPLE_WEIGHT * (round_trip - self.mean_seconds);
    }

    pub(crate) fn margin(&self, message_timeout: Duration) -> Duration {
        let timeout = message_timeout.as_secs_f64();
        let needed = self.mean_seconds + 4.0 * self.deviation_seconds;
        Duration::from_secs_f64(needed.clamp(timeout * MIN_MARGIN_SHARE, timeout * MAX_MARGIN_SHARE))
    }
}
