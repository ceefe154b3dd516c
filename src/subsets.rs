//! Subsets: in many-front mode ([`Gateway::many_fronts`]) a front sends to only a few of the engines of each
//! class (`lemonusher-subset`).
//!
//! If a front used all engines, it would send to each only once in several seconds. Its estimates would be
//! stale, and a hung engine would be sent requests by all fronts. Inputs: the engines that a class may be
//! sent to and that are warmed up, and which of these are healthy: neither failed nor congested. A table group
//! has its home engine within each subset.
//!
//! Two kinds of requests may leave the subset: those sent to engines that warm up, which slow start divides
//! among the fronts, and repeats of a request that may have run, which are limited to a deduplication scope.
//!
//! The subset of the first class also serves as a sample of all engines for load shedding: the healthy share
//! of the subset is the estimate for all engines that are warmed up.

use crate::admission::UNLOADED_THREADS_PER_CORE;
use crate::endpoint::EngineState;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::request_class::RequestClass;
use lemonusher_load_shedding::LoadShedding;
use lemonusher_subset::{FrontPosition, Member, Subset, size, subset};
use std::num::NonZeroU32;
use std::time::Duration;

/// The refresh interval of subsets, as a share of the shortest latency objective.
const SUBSET_REFRESH: f64 = 0.2;

/// The engines that this front uses, and load shedding, which receives the capacity of all engines as
/// estimated from them.
#[derive(Default)]
pub(crate) struct EngineSubsets {
    /// By request class; empty before the first refresh in many-front mode.
    by_class: Vec<Subset>,
    refresh_at: Duration,
    pub(crate) shedding: LoadShedding,
}

impl EngineSubsets {
    /// `time_constant` is that of the mean of arrivals in load shedding.
    pub(crate) fn new(time_constant: Duration) -> EngineSubsets {
        EngineSubsets { shedding: LoadShedding::new(time_constant), ..EngineSubsets::default() }
    }

    /// Makes a refresh due, as the endpoint list has changed.
    pub(crate) fn invalidate(&mut self) {
        self.refresh_at = Duration::ZERO;
    }
}

impl Gateway {
    /// Recomputes the subsets if that is due, and reports the capacity to load shedding.
    pub(crate) fn refresh_subsets(&mut self, now: Duration) {
        let due = self.many_fronts() && now >= self.subsets.refresh_at;
        let Some(fronts) = NonZeroU32::new(self.deployment.fronts).filter(|_| due) else { return };
        self.subsets.refresh_at = now + self.derived_times.min_objective.mul_f64(SUBSET_REFRESH);
        let classes = self.classes.iter().enumerate();
        self.subsets.by_class =
            classes.map(|(index, class)| self.subset_of(now, index, class, fronts)).collect();
        let capacity = self.capacity(now);
        self.subsets.shedding.observe(now, capacity);
    }

    fn subset_of(&self, now: Duration, index: usize, class: &RequestClass, fronts: NonZeroU32) -> Subset {
        let allowed = |engine: &&Engine| {
            let entry = &engine.entry;
            let accepts_class = entry.state == EngineState::Active && !entry.blocks(index);
            accepts_class && class.config.allows(entry) && !self.is_warming_up(now, engine)
        };
        let member = |engine: &Engine| Member {
            engine: engine.entry.engine,
            healthy: engine.has_no_failure(now) && self.congestion(now, engine) < UNLOADED_THREADS_PER_CORE,
        };
        let members: Vec<Member> = self.engines.values().filter(allowed).map(member).collect();
        let position = FrontPosition { index: self.deployment.front_index, fronts };
        subset(position, members.iter().copied(), size(members.len(), fronts))
    }

    /// The available capacity in cores: of all active engines that are warmed up the share that is healthy
    /// in the subset, of those that warm up the share `slow_start_share`.
    fn capacity(&self, now: Duration) -> f64 {
        let is_healthy = |engine: &Engine| {
            let congested =
                engine.congestion_was_observed() && self.congestion(now, engine) >= UNLOADED_THREADS_PER_CORE;
            engine.consecutive_failures == 0 && !congested
        };
        let sample = self.subsets.by_class.first().cloned().unwrap_or_default();
        let healthy = sample.share(|id| self.engines.get(&id).is_none_or(is_healthy));
        let available_share = |engine: &Engine| {
            if self.is_warming_up(now, engine) {
                self.deployment.safety_rules.slow_start_share
            } else {
                healthy
            }
        };
        let active = self.engines.values().filter(|engine| engine.entry.state == EngineState::Active);
        active.map(|engine| available_share(engine) * self.deployment.cores(&engine.entry)).sum()
    }

    /// Whether this front's subset allows a request to be sent to an engine.
    pub(crate) fn is_in_subset(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let subset = self.subsets.by_class.get(request.class);
        subset.is_none_or(|subset| subset.contains(engine.entry.engine))
            || self.is_warming_up(now, engine)
            || (self.deduplicated_until(request).is_some() && request.first_possible_run.is_some())
    }

    /// The number of engines in the largest subset, or of all engines if there is no subset; at least 1.
    pub(crate) fn engines_used(&self) -> f64 {
        let largest = self.subsets.by_class.iter().map(Subset::len).max().filter(|largest| *largest > 0);
        largest.unwrap_or(self.engines.len()).max(1) as f64
    }
}
