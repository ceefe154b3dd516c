//! Counts the outcomes of requests, by class and by the interval of their first try; tries, attempts and work are
//! counted in the interval in which they occur.

/// Outcomes of the requests of one class whose first try arrived in one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within the latency objective, measured from the first try.
    pub in_objective: u64,
}

/// Counts of one interval of the run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IntervalCounts {
    /// Counts by request class, in the order of the deployment's file.
    pub classes: Vec<ClassCounts>,
    /// Tries that arrived.
    pub tries: u64,
    /// Tries that were rejected.
    pub rejected: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that full engines rejected.
    pub refused_full: u64,
    /// Attempts that returned.
    pub returned: u64,
    /// Sum over the returned attempts of their time relative to that on an idle engine.
    pub slowdown: f64,
    /// Work that engines accepted, probes included, in seconds on one thread.
    pub work: f64,
}

impl IntervalCounts {
    /// Requests of all classes.
    pub fn requests(&self) -> u64 {
        self.classes.iter().map(|class| class.requests).sum()
    }

    /// Served requests of all classes.
    pub fn served(&self) -> u64 {
        self.classes.iter().map(|class| class.served).sum()
    }
}

/// Counts of a run by interval; all intervals have the same length.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Statistics {
    /// The intervals, in order.
    pub intervals: Vec<IntervalCounts>,
    classes: usize,
}

/// Length of an interval, in seconds.
pub const INTERVAL_SECONDS: f64 = 5.0;

impl Statistics {
    /// Empty counts for this number of request classes.
    pub fn new(classes: usize) -> Statistics {
        Statistics { intervals: Vec::new(), classes }
    }

    /// Counts of the interval that contains this second of the run.
    pub fn interval_at(&mut self, second: f64) -> &mut IntervalCounts {
        let number = (second.max(0.0) / INTERVAL_SECONDS) as usize;
        while self.intervals.len() <= number {
            self.intervals.push(IntervalCounts {
                classes: vec![ClassCounts::default(); self.classes],
                ..IntervalCounts::default()
            });
        }
        &mut self.intervals[number]
    }

    /// Share of a class's requests that were served, among those whose first try arrived in the intervals between
    /// these seconds.
    pub fn served_share(&self, class: usize, from: f64, to: f64) -> f64 {
        let (first, last) = ((from / INTERVAL_SECONDS) as usize, (to / INTERVAL_SECONDS) as usize);
        let counts = self.intervals.iter().take(last).skip(first).map(|span| span.classes[class]);
        let (requests, served) = counts
            .fold((0, 0), |(requests, served), count| (requests + count.requests, served + count.served));
        served as f64 / (requests as f64).max(1.0)
    }
}
