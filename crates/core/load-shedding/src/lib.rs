//! Load shedding by capacity: which part of the requests a front admits while engines are missing.
//!
//! Where engines do not tell their load, a front learns that they are overloaded only when they have stopped returning
//! anything, and an engine that far gone needs many seconds without new requests to come back. That engines are
//! missing, or have just started, is known much earlier: the list says so. A front therefore compares the capacity that
//! the list shows with the capacity that it usually showed, and the requests that arrive with those that usually
//! arrived, and admits only as many as load the engines that are left as usual.
//!
//! Only ratios of a front's own figures count, so fronts that see much and little traffic shed alike. While no capacity
//! is missing nothing is shed, however many requests arrive: how much the engines bear is not known here.
//!
//! Nothing here does input or output, reads a clock or draws by chance.

#![warn(missing_docs)]

use std::time::Duration;

/// The part of the usual capacity that may be missing before anything is shed: a front judges the health of all engines by
/// the ten or so of its subset, and one of these is no loss.
const MAX_UNNOTICED_LOSS: f64 = 0.15;
/// The part by which time counts towards the usual while capacity is missing: a loss is not soon taken for usual.
const LEARNING_RATE_WHILE_MISSING: f64 = 0.1;
/// The time constant of the usual, as a multiple of the span over which the present is averaged.
const USUAL_WINDOW_SPANS: f64 = 10.0;

/// An exponentially weighted average: a decaying sum and the decaying time over which it was gathered.
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

    /// Lets a span pass in which a value held.
    fn advance(&mut self, seconds: f64, value: f64) {
        let decay = (-seconds / self.time_constant_seconds).exp();
        let gained = self.time_constant_seconds * (1.0 - decay);
        self.sum = self.sum * decay + value * gained;
        self.seconds = self.seconds * decay + gained;
    }

    /// The mean value, or events a second where events were added to the sum; none before any time has passed.
    fn mean(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.sum / self.seconds)
    }
}

/// One front's view of capacity and arrivals, now and usually.
#[derive(Debug, Clone)]
pub struct LoadShedding {
    arrivals: Average,
    usual_arrivals: Average,
    usual_capacity: Average,
    /// Cores that the list shows now, those of engines that warm up in part.
    capacity_cores: f64,
    /// Requests that have arrived since `observed_at`.
    arrived: f64,
    observed_at: Option<Duration>,
}

impl Default for LoadShedding {
    fn default() -> Self {
        LoadShedding::new(Duration::from_secs(1))
    }
}

impl LoadShedding {
    /// Begins without any observation. `span` is the time constant over which arrivals are averaged.
    pub fn new(span: Duration) -> Self {
        let span = span.as_secs_f64().max(f64::MIN_POSITIVE);
        LoadShedding {
            arrivals: Average::new(span),
            usual_arrivals: Average::new(span * USUAL_WINDOW_SPANS),
            usual_capacity: Average::new(span * USUAL_WINDOW_SPANS),
            capacity_cores: 0.0,
            arrived: 0.0,
            observed_at: None,
        }
    }

    /// Takes note of a request that arrived, first tries and retries alike.
    pub fn arrived(&mut self) {
        self.arrivals.sum += 1.0;
        self.arrived += 1.0;
    }

    /// Takes note of the capacity from now on, in cores. Times must not go backwards; one that does counts as the last.
    pub fn observe(&mut self, now: Duration, capacity: f64) {
        let seconds = self.observed_at.map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        self.arrivals.advance(seconds, 0.0);
        if self.capacity_left() >= 1.0 - MAX_UNNOTICED_LOSS {
            self.usual_arrivals.sum += self.arrived;
            self.usual_arrivals.advance(seconds, 0.0);
            self.usual_capacity.advance(seconds, self.capacity_cores);
        } else {
            self.usual_capacity.advance(seconds * LEARNING_RATE_WHILE_MISSING, self.capacity_cores);
        }
        self.arrived = 0.0;
        self.capacity_cores = capacity;
        self.observed_at = Some(self.observed_at.map_or(now, |at| at.max(now)));
    }

    /// Capacity now, as a part of the usual.
    fn capacity_left(&self) -> f64 {
        match self.usual_capacity.mean() {
            Some(usual) if usual > 0.0 => self.capacity_cores / usual,
            _ => 1.0,
        }
    }

    /// The part of all requests that is to be admitted, from 0 to 1.
    pub fn admitted(&self) -> f64 {
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
