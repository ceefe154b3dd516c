use std::time::Duration;

/// What may be open of one request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    pub max_open: u32,
    /// The least time after which one that was pushed back is to come again.
    pub retry_after: Duration,
    /// The longest that is named.
    pub max_retry_after: Duration,
}

/// How long a past closing counts, as a multiple of the least time to come back.
const MEMORY: f64 = 8.0;

#[derive(Debug, Clone, Default)]
struct Lane {
    limit: Option<Limit>,
    open: u32,
    /// Closings lately, decaying, and when that was reckoned.
    closed: f64,
    at: Duration,
    /// The latest time that has been promised to one that was pushed back.
    promised: Duration,
}

/// Counts what is open by request class, and says when one that finds no place is to come again: no earlier than
/// places come free at the pace seen lately, one promise after another, so that not all come at once.
#[derive(Debug, Clone, Default)]
pub struct AdmissionLimiter {
    classes: Vec<Lane>,
    max_retry_after: Duration,
}

impl AdmissionLimiter {
    /// `longest` is the longest time to come back that may be named.
    pub fn new(service_groups: usize, longest: Duration) -> AdmissionLimiter {
        AdmissionLimiter { classes: vec![Lane::default(); service_groups], max_retry_after: longest }
    }

    /// Puts other limits in force. What is open stays open, also above a lower limit.
    pub fn set(&mut self, limits: &[Option<Limit>]) {
        for (number, lane) in self.classes.iter_mut().enumerate() {
            let limit = limits.get(number).copied().flatten();
            if lane.limit != limit {
                (lane.limit, lane.promised) = (limit, Duration::ZERO);
            }
        }
    }

    /// A request wants in: it is open from now on, or is to come again after this span.
    pub fn admit(&mut self, now: Duration, service_group: usize) -> Result<(), Duration> {
        let longest = self.max_retry_after;
        let Some(lane) = self.classes.get_mut(service_group) else { return Ok(()) };
        match lane.limit.filter(|limit| lane.open >= limit.max_open) {
            None => {
                lane.open += 1;
                Ok(())
            }
            Some(limit) => Err(lane.promise(now, limit, longest)),
        }
    }

    /// A request that had entered is over.
    pub fn release(&mut self, now: Duration, service_group: usize) {
        let Some(lane) = self.classes.get_mut(service_group) else { return };
        lane.open = lane.open.saturating_sub(1);
        if let Some(limit) = lane.limit {
            lane.fade(now, limit);
            lane.closed += 1.0;
        }
    }

    pub fn open(&self, service_group: usize) -> u32 {
        self.classes.get(service_group).map_or(0, |lane| lane.open)
    }

    /// Nothing is open any more.
    pub fn clear(&mut self) {
        self.classes.iter_mut().for_each(|lane| lane.open = 0);
    }
}

impl Lane {
    fn fade(&mut self, now: Duration, limit: Limit) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        let memory = (limit.retry_after.as_secs_f64() * MEMORY).max(f64::MIN_POSITIVE);
        self.closed *= (-span / memory).exp();
        self.at = now;
    }

    fn promise(&mut self, now: Duration, limit: Limit, longest: Duration) -> Duration {
        self.fade(now, limit);
        let pace = self.closed / (limit.retry_after.as_secs_f64() * MEMORY).max(f64::MIN_POSITIVE);
        let gap = if pace > 0.0 { (1.0 / pace).min(longest.as_secs_f64()) } else { 0.0 };
        let earliest = now + limit.retry_after;
        let next = self.promised + Duration::from_secs_f64(gap);
        let at = earliest.max(next).min(now + longest.min(limit.max_retry_after).max(limit.retry_after));
        self.promised = at;
        at - now
    }
}
