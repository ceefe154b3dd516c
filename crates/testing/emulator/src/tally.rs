//! Counts what became of requests, by class and by the span in which they were first asked.

/// What became of the requests of one class that were first asked in one span.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCount {
    pub asked: u64,
    pub served: u64,
    /// Served within the latency objective, counted from the first try.
    pub in_goal: u64,
}

/// One span of the run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SpanCount {
    /// By class, in the order of the world.
    pub classes: Vec<ClassCount>,
    /// Tries that came, tries that were rejected, attempts sent and attempts refused by full engines.
    pub tries: u64,
    pub rejected: u64,
    pub attempts: u64,
    pub refused_full: u64,
    /// Attempts that returned, and how many times the time that an idle engine takes they took, summed.
    pub returned: u64,
    pub slowdown: f64,
    /// Work that engines took in, in seconds on one thread.
    pub work: f64,
}

impl SpanCount {
    pub fn asked(&self) -> u64 {
        self.classes.iter().map(|class| class.asked).sum()
    }

    pub fn served(&self) -> u64 {
        self.classes.iter().map(|class| class.served).sum()
    }
}

/// The spans of a run, each of the same length.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    pub spans: Vec<SpanCount>,
    classes: usize,
}

/// Length of a span, in seconds.
pub const SPAN_SECONDS: f64 = 5.0;

impl Tally {
    pub fn new(classes: usize) -> Tally {
        Tally { spans: Vec::new(), classes }
    }

    /// The span that holds this second of the run.
    pub fn at(&mut self, second: f64) -> &mut SpanCount {
        let number = (second.max(0.0) / SPAN_SECONDS) as usize;
        while self.spans.len() <= number {
            self.spans.push(SpanCount {
                classes: vec![ClassCount::default(); self.classes],
                ..SpanCount::default()
            });
        }
        &mut self.spans[number]
    }

    /// Share of a class's requests that were served, of those first asked from one second to another.
    pub fn served_share(&self, class: usize, from: f64, to: f64) -> f64 {
        let (first, last) = ((from / SPAN_SECONDS) as usize, (to / SPAN_SECONDS) as usize);
        let counts = self.spans.iter().take(last).skip(first).map(|span| span.classes[class]);
        let (asked, served) =
            counts.fold((0, 0), |(asked, served), count| (asked + count.asked, served + count.served));
        served as f64 / (asked as f64).max(1.0)
    }
}
