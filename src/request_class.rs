//! Request classes: their configuration, learned means, and the priority of their attempts.
//!
//! Priority: engines that are short of cores divide them by priority. The class with the shortest latency
//! objective has the highest priority, 3; each longer distinct objective is one step lower, down to 0. A
//! bulk load has the highest priority, as all requests that read its table group wait until it has ended. If
//! engines ignore priorities, all classes have priority 1.

use crate::decaying_mean::DecayingMean;
use crate::deployment::{Deployment, RequestClassConfig};
use std::collections::BTreeSet;
use std::time::Duration;

/// The highest priority.
const MAX_PRIORITY: u8 = 3;
/// The priority of all classes if engines ignore priorities.
const UNIFORM_PRIORITY: u8 = 1;
/// The initial mean work of a class, as a share of its latency objective × threads; used until responses
/// report work.
const INITIAL_WORK_SHARE: f64 = 0.5;
/// Lower limit of a latency, in seconds; avoids the logarithm of zero.
const MIN_LATENCY_SECONDS: f64 = 1e-3;

/// The configuration and the learned means of one request class.
pub(crate) struct RequestClass {
    pub(crate) config: RequestClassConfig,
    /// The priority of its attempts: 0 is the lowest.
    pub(crate) priority: u8,
    /// Mean work of a request, in seconds on one thread.
    pub(crate) work: DecayingMean,
    /// Mean natural logarithm of an attempt's latency in seconds.
    log_latency: DecayingMean,
    /// Mean memory that a request uses, in MB, as reported with responses.
    pub(crate) memory: DecayingMean,
    /// The usual client timeout of first tries.
    pub(crate) first_try_timeout: UsualTimeout,
}

/// The usual client timeout, found by a majority vote (Boyer and Moore) in which votes against it have less
/// weight.
#[derive(Clone, Copy, Default)]
pub(crate) struct UsualTimeout {
    pub(crate) timeout: Duration,
    pub(crate) votes: f64,
}

impl RequestClass {
    /// All classes of a deployment. `time_constant` is that of learned means, in seconds.
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
        let latency = (objective * INITIAL_WORK_SHARE).max(MIN_LATENCY_SECONDS);
        RequestClass {
            config: config.clone(),
            priority,
            work: DecayingMean::new(time_constant, work),
            log_latency: DecayingMean::new(time_constant, latency.ln()),
            memory: DecayingMean::new(time_constant, 0.0),
            first_try_timeout: UsualTimeout::default(),
        }
    }

    /// The objective of a request with this much work, counted from its arrival. Work and result are in
    /// seconds.
    pub(crate) fn objective(&self, work: f64) -> f64 {
        self.config.latency_objective.as_secs_f64()
            + self.config.objective_work_factor * work / self.config.threads.max(1.0)
    }

    /// The geometric mean of the latency of attempts, in seconds.
    pub(crate) fn usual_latency(&self) -> f64 {
        self.log_latency.mean().exp()
    }

    /// Records the latency of an attempt that returned, in seconds.
    pub(crate) fn record_latency(&mut self, now: Duration, latency: f64) {
        self.log_latency.add(now, latency.max(MIN_LATENCY_SECONDS).ln(), 1.0);
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
