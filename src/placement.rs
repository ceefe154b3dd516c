//! Placement: selects the engines that a request is offered to, and their order.
//!
//! Each table group ranks all engines by rendezvous hashing. The order is the same at every front, so that
//! requests of a group reach the engines that have its tables cached. The first engine of the order is the
//! home engine. The request is offered to the engines in this order until one admits it. Engines are left
//! out if their load, in threads per core, exceeds the lowest load by more than [`MAX_LOAD_ABOVE_LOWEST`] or,
//! in many-front mode ([`Gateway::many_fronts`]), [`MAX_LOAD_ABOVE_LOWEST_MANY_FRONTS`].
//!
//! - In many-front mode a group that receives more traffic than one engine's share has several home engines:
//!   each front rotates the first places of the order by its own index.
//! - A bulk load follows the order from its end, away from the home engines of the group's readers. Each
//!   front starts at another place within [`BULK_LOAD_TAIL_SHARE`] of the order, as otherwise all bulk loads
//!   of a group would be sent to the same engine.
//! - An engine that warms up is skipped at random, less often the higher its slow-start factor. In
//!   many-front mode an engine that warms up and has little load comes first, as an unused slow-start time
//!   slot is lost.
//! - The engine at which the last attempt failed is avoided if there is another one.
//! - If engines report no load and capacity is missing, only the share of the requests that load shedding
//!   admits (`lemonusher-load-shedding`) is sent. Engines that warm up are exempt, as slow start already
//!   limits what they receive.
//!
//! This guards against cold caches, against hot spots on the home engines, and against losing time on a
//! failed engine.

use crate::admission::UNLOADED_THREADS_PER_CORE;
use crate::candidate::Candidate;
use crate::decaying_mean::DecayingMean;
use crate::deployment::LoadReporting;
use crate::endpoint::EngineId;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::preference_order::PreferenceOrder;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An engine is offered a request if its load, in threads per core, exceeds the lowest load by at most this.
const MAX_LOAD_ABOVE_LOWEST: f64 = 0.8;
/// The same limit in many-front mode.
const MAX_LOAD_ABOVE_LOWEST_MANY_FRONTS: f64 = 2.0;
/// The share of the order, counted from its end, within which the fronts' bulk loads start.
const BULK_LOAD_TAIL_SHARE: f64 = 0.5;
/// Arrivals that are added to the total when a group's share of the traffic is computed, so that the share
/// stays low while few requests have arrived.
const TRAFFIC_PRIOR_ARRIVALS: f64 = 10.0;

/// Exponentially decaying counts of arrivals at this front, by table group and in total.
#[derive(Default)]
pub(crate) struct TableGroupTraffic {
    by_group: BTreeMap<u64, DecayingMean>,
    total: DecayingMean,
}

impl TableGroupTraffic {
    /// `time_constant` is in seconds.
    pub(crate) fn new(time_constant: f64) -> TableGroupTraffic {
        TableGroupTraffic { by_group: BTreeMap::new(), total: DecayingMean::new(time_constant, 0.0) }
    }

    /// Counts an arrival, and removes groups without an arrival for `max_age`.
    pub(crate) fn record(&mut self, now: Duration, table_group: u64, max_age: Duration) {
        self.total.add(now, 1.0, 1.0);
        let none = DecayingMean::new(self.total.time_constant, 0.0);
        self.by_group.entry(table_group).or_insert(none).add(now, 1.0, 1.0);
        self.by_group.retain(|_, arrivals| arrivals.at + max_age > now);
    }

    /// The number of home engines for a table group's share of the traffic, at most `engines`.
    fn homes(&self, table_group: u64, engines: f64) -> usize {
        let arrivals = self.by_group.get(&table_group).map_or(0.0, |arrivals| arrivals.sum);
        let share = arrivals / (self.total.sum + TRAFFIC_PRIOR_ARRIVALS);
        (share * engines).ceil().min(engines) as usize
    }
}

/// An engine that a request may be offered to.
#[derive(Clone, Copy)]
pub(crate) struct Choice {
    /// Index in the engine table.
    pub(crate) slot: usize,
    pub(crate) engine: EngineId,
    /// Estimated threads per core.
    pub(crate) load: f64,
    pub(crate) warming_up: bool,
}

impl Choice {
    fn new(slot: usize, candidate: &Candidate) -> Choice {
        let Candidate { engine, load, warming_up, .. } = *candidate;
        Choice { slot, engine, load, warming_up }
    }
}

impl Gateway {
    /// The engine that a queued request is sent to now; `None` if it stays queued.
    pub(crate) fn choose_engine(&mut self, now: Duration, sequence: u64) -> Option<EngineId> {
        let order = self.preference_order(sequence);
        let candidates = self.candidates(now, sequence);
        let reserved = self.reserved_engine(sequence);
        if reserved.is_some_and(|engine| !self.is_engine_eligible(now, sequence, engine)) {
            self.starvation_header = None;
            return None;
        }
        let mut choices = self.choices(now, sequence, &order, &candidates, reserved);
        self.avoid_last_failed(sequence, &mut choices);
        self.shed_for_missing_capacity(sequence, &mut choices);
        let least_loaded = choices.iter().copied().min_by(|a, b| a.load.total_cmp(&b.load))?;
        if self.is_shed_for_overload(now, sequence) {
            return None;
        }
        if self.is_admission_forced(now, sequence) {
            return Some(least_loaded.engine);
        }
        let max_above_lowest =
            if self.many_fronts() { MAX_LOAD_ABOVE_LOWEST_MANY_FRONTS } else { MAX_LOAD_ABOVE_LOWEST };
        choices.retain(|choice| choice.load <= least_loaded.load + max_above_lowest);
        if self.many_fronts() {
            choices.sort_by_key(|choice| !(choice.warming_up && choice.load < UNLOADED_THREADS_PER_CORE));
        }
        self.first_admitting_engine(now, sequence, &choices)
    }

    /// The order in which this front offers a request to the engines.
    pub(crate) fn preference_order(&mut self, sequence: u64) -> PreferenceOrder {
        let request = &self.requests[sequence];
        let order = self.preference_orders.of(request.table_group, self.engines.ids());
        let (engines, index) = (order.len() as f64, self.deployment.front_index as usize);
        if self.classes[request.class].config.bulk_load {
            let tail = (engines * BULK_LOAD_TAIL_SHARE).ceil() as usize;
            return PreferenceOrder::new(order, true).rotate_prefix(tail, index);
        }
        if !self.many_fronts() {
            return PreferenceOrder::new(order, false);
        }
        let homes = self.traffic.homes(request.table_group, engines);
        PreferenceOrder::new(order, false).rotate_prefix(homes, index)
    }

    /// All engines by slot, as seen by a request. Cached by class for requests that may be sent to any
    /// engine.
    fn candidates(&mut self, now: Duration, sequence: u64) -> Arc<[Candidate]> {
        let request = &self.requests[sequence];
        let any_engine = request.first_possible_run.is_none();
        if let Some(cached) = self.candidate_cache.get(&request.class).filter(|_| any_engine) {
            return Arc::clone(cached);
        }
        let fleet = self.fleet_means(now);
        let candidate = |engine: &Engine| Candidate {
            engine: engine.entry.engine,
            eligible: self.is_eligible(now, request, engine),
            warming_up: self.is_warming_up(now, engine),
            load: self.threads_per_core(now, engine, &fleet),
        };
        let candidates: Arc<[Candidate]> = self.engines.values().map(candidate).collect();
        if any_engine {
            self.candidate_cache.insert(request.class, Arc::clone(&candidates));
        }
        candidates
    }

    fn is_engine_eligible(&self, now: Duration, sequence: u64, engine: EngineId) -> bool {
        let request = &self.requests[sequence];
        self.engines.get(&engine).is_some_and(|engine| self.is_eligible(now, request, engine))
    }

    /// The eligible engines at which the request conflicts with no other, in the order of preference; only the
    /// `reserved` one if there is one. An engine in slow start has to pass a random draw.
    fn choices(
        &mut self,
        now: Duration,
        sequence: u64,
        order: &PreferenceOrder,
        candidates: &[Candidate],
        reserved: Option<EngineId>,
    ) -> Vec<Choice> {
        let config = &self.classes[self.requests[sequence].class].config;
        let may_conflict = config.bulk_load || config.waits_for_bulk_loads;
        let mut choices = Vec::with_capacity(candidates.len());
        for slot in order.slots() {
            let candidate = &candidates[slot];
            if !candidate.eligible || reserved.is_some_and(|engine| engine != candidate.engine) {
                continue;
            }
            if may_conflict && self.conflicts_at(now, sequence, slot) {
                continue;
            }
            if candidate.warming_up && !self.passes_slow_start_draw(now, candidate.engine) {
                continue;
            }
            choices.push(Choice::new(slot, candidate));
        }
        choices
    }

    fn conflicts_at(&self, now: Duration, sequence: u64, slot: usize) -> bool {
        let request = &self.requests[sequence];
        self.engines.at(slot).is_some_and(|engine| self.conflicts(now, request, engine))
    }

    fn passes_slow_start_draw(&mut self, now: Duration, engine: EngineId) -> bool {
        let slow_start_factor = self.slow_start_factor(now, &self.engines[&engine]);
        self.random.draw() <= slow_start_factor
    }

    fn avoid_last_failed(&self, sequence: u64, choices: &mut Vec<Choice>) {
        if choices.len() > 1 {
            let avoided = self.requests[sequence].last_failed_engine;
            choices.retain(|choice| Some(choice.engine) != avoided);
        }
    }

    fn shed_for_missing_capacity(&self, sequence: u64, choices: &mut Vec<Choice>) {
        let shed_draw = self.requests[sequence].shed_draw;
        if self.deployment.load_reporting == LoadReporting::None
            && shed_draw > self.subsets.shedding.admitted_share()
        {
            choices.retain(|choice| choice.warming_up);
        }
    }
}
