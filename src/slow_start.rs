//! Slow start: an engine that warms up gets little at first, shared out among the fronts (rule 4).
//!
//! An engine that warms up does `slow_start_share` of its work and fails at `overload_factor` times that within
//! `overload_window`. All fronts together send at most [`SAFE_OVERLOAD_SHARE`] of that, each its part:
//!
//! quota = overload_factor × slow_start_share × cores × overload_window × [`SAFE_OVERLOAD_SHARE`] × this front's part,
//!
//! in seconds of work on one thread. The part is the quota that the fronts have agreed on, or one over their number. A request whose
//! class's mean work would exceed the quota finds the engine ineligible: it goes elsewhere or stays queued.
//!
//! Where the quota is less than one small request, small requests go by turns of one request each: turns begin one after the other
//! at equal distances from the engine's start on, one front's after the other's in an order that the engine's id offsets, so that no
//! chance is left in who has one. Requests whose turn begins within a window, and those whose turn is open when it begins, together are
//! what the engine bears.
//!
//! A front that has started after the engine may have sent all of its quota before, and forgotten it: it sends nothing there for a window.
//!
//! Besides, placement passes an engine that warms up over at random, less often the warmer it is (the paper's carry-over).

use crate::endpoint::EngineId;
use crate::engine::{Engine, SentWork};
use crate::gateway::Gateway;
use crate::random::mix;
use crate::request::Request;
use std::time::Duration;

/// Share of what an engine that warms up is stated to bear that all fronts together may send there: it may be slower than
/// others, and counts as full before all of its cores are busy.
const SAFE_OVERLOAD_SHARE: f64 = 0.6;
/// How long a turn is open, as a share of the overload window.
const TURN_LENGTH: f64 = 0.25;
/// Requests of work up to this share of all that the engine bears are small.
const SMALL_REQUEST_SHARE: f64 = 0.05;
/// Modulus of the hash of an engine's id; the result says by how many turns its rotation is shifted.
const TURN_OFFSET_MODULUS: u64 = 0x1_0000_0000;

impl Gateway {
    /// Whether an engine that warms up has room for a request by this front; true for one that is warm.
    pub(crate) fn has_slow_start_room(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        if !self.is_warming_up(now, engine) {
            return true;
        }
        let window = self.slow_start_memory();
        let started = engine.entry.started_at;
        if self.started_at.is_some_and(|own_start| started < own_start && now < own_start + window) {
            return false;
        }
        let bears = self.bearable_work(engine);
        let quota = bears * SAFE_OVERLOAD_SHARE * self.quota.unwrap_or(1.0 / self.fronts());
        let recent = engine.sent_while_warming_up.iter().filter(|sent| sent.at + window > now);
        let sent: f64 = recent.map(|sent| sent.work).sum();
        let work = self.classes[request.class].work.mean();
        let mean_small = self.mean_small_work(bears);
        if mean_small > quota {
            let small = work <= bears * SMALL_REQUEST_SHARE;
            let turns = (self.fronts() * quota / (1.0 + TURN_LENGTH) / mean_small).floor();
            return self.has_turn(now, engine, turns) && sent == 0.0 && small;
        }
        sent + work <= quota
    }

    /// Whether an engine warms up.
    pub(crate) fn is_warming_up(&self, now: Duration, engine: &Engine) -> bool {
        engine.is_warming_up(now, self.deployment.safety_rules.slow_start_window)
    }

    /// How warm an engine that warms up is, from the stated share at its start to 1.
    pub(crate) fn warmth(&self, now: Duration, engine: &Engine) -> f64 {
        let rules = &self.deployment.safety_rules;
        let age = now.saturating_sub(engine.entry.started_at).as_secs_f64();
        let initial = rules.slow_start_share;
        initial + (1.0 - initial) * age / rules.slow_start_window.as_secs_f64()
    }

    /// Counts work that was sent to an engine.
    pub(crate) fn record_slow_start_work(&mut self, now: Duration, engine: EngineId, work: f64) {
        let window = self.slow_start_memory();
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.sent_while_warming_up.retain(|sent| sent.at + window > now);
            engine.sent_while_warming_up.push(SentWork { at: now, work });
        }
    }

    /// For how long work that was sent counts.
    fn slow_start_memory(&self) -> Duration {
        self.deployment.safety_rules.overload_window + self.deployment.tick
    }

    /// Seconds of work within the overload window from which on an engine that has just started fails.
    fn bearable_work(&self, engine: &Engine) -> f64 {
        let rules = &self.deployment.safety_rules;
        rules.overload_factor
            * rules.slow_start_share
            * self.deployment.cores(&engine.entry)
            * rules.overload_window.as_secs_f64()
    }

    /// The mean work of small requests, in seconds; no number where there are none.
    fn mean_small_work(&self, bears: f64) -> f64 {
        let works = || self.classes.iter().map(|class| class.work);
        let small = || works().filter(|work| work.mean() <= bears * SMALL_REQUEST_SHARE);
        small().map(|work| work.sum).sum::<f64>() / small().map(|work| work.weight).sum::<f64>()
    }

    /// Whether it is this front's turn, where so many turns begin within the overload window.
    fn has_turn(&self, now: Duration, engine: &Engine, turns: f64) -> bool {
        let age = now.saturating_sub(engine.entry.started_at).as_secs_f64();
        let begun = age / self.deployment.safety_rules.overload_window.as_secs_f64() * turns;
        let offset = (mix(u64::from(engine.entry.engine)) % TURN_OFFSET_MODULUS) as f64;
        let since = (begun - offset - f64::from(self.deployment.front_index)).rem_euclid(self.fronts());
        since < TURN_LENGTH * turns
    }
}
