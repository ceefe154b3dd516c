//! What is stated and learned of one request class, and the priority that its attempts are given.
//!
//! Priority: engines that are short of cores share them by priority. The shorter a class's latency objective, the higher
//! its priority, from 3 down to 0, one step for each distinct objective. A bulk load gets the highest, as all requests that read
//! its table group stand still until it has ended. Where engines don't heed priorities, all get 1.

use crate::decaying_mean::DecayingMean;
use crate::deployment::{Deployment, RequestClassConfig};
use std::collections::BTreeSet;
use std::time::Duration;

/// The highest priority.
const MAX_PRIORITY: u8 = 3;
/// The priority of all where engines don't heed it.
const UNIFORM_PRIORITY: u8 = 1;
/// Until responses tell, a request's work is taken for this share of its latency objective times its threads.
const INITIAL_WORK_SHARE: f64 = 0.5;
/// The shortest latency that is told apart, in seconds.
const MIN_LATENCY: f64 = 1e-3;

/// What is stated and learned of one request class.
pub(crate) struct RequestClass {
    pub(crate) config: RequestClassConfig,
    /// The priority its attempts are given: 0 is the lowest.
    pub(crate) priority: u8,
    /// Work of a request, in seconds on one thread.
    pub(crate) work: DecayingMean,
    /// Natural logarithm of the seconds from an attempt to its response.
    log_latency: DecayingMean,
    /// Memory that a request needs, in MB, as responses tell.
    pub(crate) memory: DecayingMean,
    /// The timeout that clients usually give a first try.
    pub(crate) first_try_timeout: UsualTimeout,
}

/// The timeout that clients usually give, found by a majority vote (Boyer and Moore) whose votes against count less.
#[derive(Clone, Copy, Default)]
pub(crate) struct UsualTimeout {
    pub(crate) timeout: Duration,
    pub(crate) votes: f64,
}

impl RequestClass {
    /// All classes of a deployment. `time_constant` is that of what is learned, in seconds.
    pub(crate) fn all(deployment: &Deployment, time_constant: f64) -> Vec<RequestClass> {
        let objectives: BTreeSet<Duration> =
            deployment.request_classes.iter().map(|config| config.latency_objective).collect();
        let class = |config: &RequestClassConfig| {
            let priority = priority(deployment, config, &objectives);
            RequestClass::new(config, priority, time_constant)
        };
        deployment.request_classes.iter().map(class).collect()
    }

    fn new(config: &RequestClassConfig, priority: u8, time_constant: f64) -> RequestClass {
        let objective = config.latency_objective.as_secs_f64();
        let work = objective * config.threads * INITIAL_WORK_SHARE;
        let latency = (objective * INITIAL_WORK_SHARE).max(MIN_LATENCY);
        RequestClass {
            config: config.clone(),
            priority,
            work: DecayingMean::new(time_constant, work),
            log_latency: DecayingMean::new(time_constant, latency.ln()),
            memory: DecayingMean::new(time_constant, 0.0),
            first_try_timeout: UsualTimeout::default(),
        }
    }

    /// How far the latency objective lies after arrival, for so much work; all in seconds.
    pub(crate) fn objective(&self, work: f64) -> f64 {
        self.config.latency_objective.as_secs_f64()
            + self.config.objective_work_factor * work / self.config.threads.max(1.0)
    }

    /// The geometric mean of the latency of attempts, in seconds.
    pub(crate) fn usual_latency(&self) -> f64 {
        self.log_latency.mean().exp()
    }

    /// Takes in the latency of an attempt that returned, in seconds.
    pub(crate) fn record_latency(&mut self, now: Duration, latency: f64) {
        self.log_latency.add(now, latency.max(MIN_LATENCY).ln(), 1.0);
    }
}

fn priority(deployment: &Deployment, config: &RequestClassConfig, objectives: &BTreeSet<Duration>) -> u8 {
    if !deployment.priorities {
        return UNIFORM_PRIORITY;
    }
    let shorter = |objective: &&Duration| **objective < config.latency_objective && !config.bulk_load;
    let rank = objectives.iter().filter(shorter).count();
    MAX_PRIORITY.saturating_sub(rank as u8)
}
