//! Counts what became of requests, by class and by the interval in which they first arrived.

/// What became of the requests of one class that first arrived in one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests that came.
    pub requests: u64,
    /// Those that were served.
    pub served: u64,
    /// Served within the latency objective, counted from the first try.
    pub in_objective: u64,
}

/// One span of the run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IntervalCounts {
    /// By class, in the order of the world.
    pub classes: Vec<ClassCounts>,
    /// Tries that came, tries that were rejected, attempts sent and attempts refused by full engines.
    pub tries: u64,
    /// Tries that were rejected.
    pub rejected: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that full engines rejected.
    pub refused_full: u64,
    /// Attempts that returned, and how many times the time that an idle engine takes they took, summed.
    pub returned: u64,
    /// How many times longer than on an idle engine they took, summed.
    pub slowdown: f64,
    /// Work that engines took in, in seconds on one thread.
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

/// The spans of a run, each of the same length.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Statistics {
    /// The intervals, in order.
    pub intervals: Vec<IntervalCounts>,
    classes: usize,
}

/// Length of a span, in seconds.
pub const INTERVAL_SECONDS: f64 = 5.0;

impl Statistics {
    /// Begins empty, for this number of classes.
    pub fn new(classes: usize) -> Statistics {
        Statistics { intervals: Vec::new(), classes }
    }

    /// The span that holds this second of the run.
    pub fn at(&mut self, second: f64) -> &mut IntervalCounts {
        let number = (second.max(0.0) / INTERVAL_SECONDS) as usize;
        while self.intervals.len() <= number {
            self.intervals.push(IntervalCounts {
                classes: vec![ClassCounts::default(); self.classes],
                ..IntervalCounts::default()
            });
        }
        &mut self.intervals[number]
    }

    /// Share of a class's requests that were served, of those that first arrived between these seconds.
    pub fn served_share(&self, class: usize, from: f64, to: f64) -> f64 {
        let (first, last) = ((from / INTERVAL_SECONDS) as usize, (to / INTERVAL_SECONDS) as usize);
        let counts = self.intervals.iter().take(last).skip(first).map(|span| span.classes[class]);
        let (requests, served) = counts
            .fold((0, 0), |(requests, served), count| (requests + count.requests, served + count.served));
        served as f64 / (requests as f64).max(1.0)
    }
}
