//! Load shedding by capacity: the share of the requests that a front admits while engines are missing.
//!
//! If engines report no load, a front detects their overload only when they have stopped sending responses.
//! An engine in that state needs many seconds without new requests to recover. Missing or just started
//! engines are known much earlier, from the endpoint list. A front therefore compares the current with the
//! usual capacity according to the list, and the current with the usual arrivals. It admits only as many
//! requests as load the remaining engines as usual:
//!
//! admitted share = (capacity / usual capacity) / max(1, arrivals / usual arrivals)
//!
//! Inputs: the capacity in cores, and arrivals at this front. Only ratios of a front's own figures are used,
//! so fronts with much and with little traffic shed the same share. While no capacity is missing nothing is
//! shed, however many requests arrive, as the overload limit of the engines is unknown here.
//!
//! This crate does no input or output, reads no clock and draws no random numbers.

#![warn(missing_docs)]

use std::time::Duration;

/// The share of the usual capacity that may be missing before anything is shed. A front estimates the health
/// of all engines from the ten or so of its subset, and one failed engine among these is no relevant loss.
const MAX_UNNOTICED_LOSS: f64 = 0.15;
/// The weight of time in the usual capacity while capacity is missing, so that a loss is not soon taken for
/// usual.
const TIME_WEIGHT_WHILE_MISSING: f64 = 0.1;
/// The time constant of the usual capacity and arrivals, as a multiple of that of the current arrivals.
const USUAL_TIME_CONSTANT_FACTOR: f64 = 10.0;

/// An exponentially weighted average: a decaying sum, and the decaying time over which it was accumulated.
#[derive(Debug, Clone, Copy)]
struct Average {
    sum: f64,
    seconds: f64,
    /// The time constant of the decay.
    time_constant_seconds: f64,
}

impl Average {
    fn new(time_constant_seconds: f64) -> Self {
        Average { sum: 0.0, seconds: 0.0, time_constant_seconds }
    }

    /// Advances by `seconds`, during which `value` applied.
    fn advance(&mut self, seconds: f64, value: f64) {
        let decay = (-seconds / self.time_constant_seconds).exp();
        let gained = self.time_constant_seconds * (1.0 - decay);
        self.sum = self.sum * decay + value * gained;
        self.seconds = self.seconds * decay + gained;
    }

    /// The mean value, or events per second if events were added to the sum; `None` before any time has
    /// passed.
    fn mean(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.sum / self.seconds)
    }
}

/// The current and the usual capacity and arrivals, as seen by one front.
#[derive(Debug, Clone)]
pub struct LoadShedding {
    arrivals: Average,
    usual_arrivals: Average,
    usual_capacity: Average,
    /// Current capacity in cores, as set by the last call of `observe`.
    capacity_cores: f64,
    /// Requests that have arrived since `observed_at`.
    arrivals_since_observation: f64,
    observed_at: Option<Duration>,
}

impl Default for LoadShedding {
    fn default() -> Self {
        LoadShedding::new(Duration::from_secs(1))
    }
}

impl LoadShedding {
    /// Starts without any observation. `time_constant` is that of the current arrivals.
    pub fn new(time_constant: Duration) -> Self {
        let time_constant = time_constant.as_secs_f64().max(f64::MIN_POSITIVE);
        LoadShedding {
            arrivals: Average::new(time_constant),
            usual_arrivals: Average::new(time_constant * USUAL_TIME_CONSTANT_FACTOR),
            usual_capacity: Average::new(time_constant * USUAL_TIME_CONSTANT_FACTOR),
            capacity_cores: 0.0,
            arrivals_since_observation: 0.0,
            observed_at: None,
        }
    }

    /// Counts an arriving request; first tries and retries count the same.
    pub fn record_arrival(&mut self) {
        self.arrivals.sum += 1.0;
        self.arrivals_since_observation += 1.0;
    }

    /// Sets the capacity from now on, in cores. If `now` is before the last call's time, that time is used.
    pub fn observe(&mut self, now: Duration, capacity: f64) {
        let seconds = self.observed_at.map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        self.arrivals.advance(seconds, 0.0);
        if self.capacity_left() >= 1.0 - MAX_UNNOTICED_LOSS {
            self.usual_arrivals.sum += self.arrivals_since_observation;
            self.usual_arrivals.advance(seconds, 0.0);
            self.usual_capacity.advance(seconds, self.capacity_cores);
        } else {
            self.usual_capacity.advance(seconds * TIME_WEIGHT_WHILE_MISSING, self.capacity_cores);
        }
        self.arrivals_since_observation = 0.0;
        self.capacity_cores = capacity;
        self.observed_at = Some(self.observed_at.map_or(now, |at| at.max(now)));
    }

    /// The current capacity, as a share of the usual one.
    fn capacity_left(&self) -> f64 {
        match self.usual_capacity.mean() {
            Some(usual) if usual > 0.0 => self.capacity_cores / usual,
            _ => 1.0,
        }
    }

    /// The share of all requests that is to be admitted, from 0 to 1.
    pub fn admitted_share(&self) -> f64 {
        let left = self.capacity_left();
        if left >= 1.0 - MAX_UNNOTICED_LOSS {
            return 1.0;
        }
        let arrivals = match (self.arrivals.mean(), self.usual_arrivals.mean()) {
            (Some(now), Some(usual)) if usual > 0.0 => (now / usual).max(1.0),
            _ => 1.0,
        };
        (left / arrivals).clamp(0.0, 1.0)
    }
}
