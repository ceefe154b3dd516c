//! Slow start: limits the work that all fronts together send to an engine that has started recently (safety
//! rule 4).
//!
//! An engine that warms up runs `slow_start_share` of its usual work. It fails if it is sent
//! `overload_factor` times that work within `overload_window`. This is its overload limit, in seconds of
//! work on one thread:
//!
//! overload limit = overload_factor × slow_start_share × cores × overload_window
//!
//! All fronts together send at most [`SAFE_OVERLOAD_SHARE`] of the overload limit; each front has a quota:
//!
//! quota = overload limit × [`SAFE_OVERLOAD_SHARE`] × share of this front
//!
//! The share of this front is the one that the fronts have agreed on, or else 1 / number of fronts. The
//! engine is not eligible for a request if the mean work of the request's class exceeds what is left of the
//! quota. Such a request is sent to another engine or stays queued.
//!
//! If the quota is less than the mean work of a small request, the fronts take turns by time slots instead,
//! and each front sends one small request in its slot. Slots start at equal distances, counted from the
//! start of the engine. Their order is that of the fronts' indices, shifted by a hash of the engine's id. So
//! nothing is left to chance: at most a known number of requests is sent within any window. That number
//! counts the slots that start within the window and those that are open when it starts.
//!
//! slots per overload window = floor(fronts × quota / (1 + [`SLOT_LENGTH_SHARE`]) / mean small work)
//!
//! A front that has started after the engine may have sent its whole quota before its own restart, and has
//! no record of it. It sends nothing to that engine for one window.
//!
//! In addition, placement skips at random an engine that warms up. The probability of a skip falls as the
//! slow-start factor rises from `slow_start_share` to 1. This is the carry-over rule of the paper
//! (docs/design.md).

use crate::endpoint::EngineId;
use crate::engine::{Engine, SentWork};
use crate::gateway::Gateway;
use crate::random::mix;
use crate::request::Request;
use std::time::Duration;

/// The share of an engine's overload limit that all fronts together may send. It is below 1 because the
/// engine may be slower than others, and because it counts as full before all of its cores are busy.
const SAFE_OVERLOAD_SHARE: f64 = 0.6;
/// How long a slow-start time slot is open, as a share of the overload window.
const SLOT_LENGTH_SHARE: f64 = 0.25;
/// A request is small if its work is at most this share of the overload limit.
const SMALL_REQUEST_SHARE: f64 = 0.05;
/// Modulus of the hash of an engine's id. The result is the number of slots by which the engine's slot order
/// is shifted.
const SLOT_OFFSET_MODULUS: u64 = 0x1_0000_0000;

impl Gateway {
    /// Whether this front may send a request to an engine within slow start; always true for an engine that
    /// is warmed up.
    pub(crate) fn has_slow_start_capacity(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        if !self.is_warming_up(now, engine) {
            return true;
        }
        let window = self.sent_work_window();
        let started = engine.entry.started_at;
        if self.started_at.is_some_and(|own_start| started < own_start && now < own_start + window) {
            return false;
        }
        let overload_limit = self.overload_limit(engine);
        let quota = overload_limit * SAFE_OVERLOAD_SHARE * self.quota.unwrap_or(1.0 / self.fronts());
        let recent = engine.slow_start_work.iter().filter(|sent| sent.at + window > now);
        let sent: f64 = recent.map(|sent| sent.work).sum();
        let work = self.classes[request.class].work.mean();
        let mean_small = self.mean_small_work(overload_limit);
        if mean_small > quota {
            let small = work <= overload_limit * SMALL_REQUEST_SHARE;
            let slots = (self.fronts() * quota / (1.0 + SLOT_LENGTH_SHARE) / mean_small).floor();
            return self.has_slow_start_slot(now, engine, slots) && sent == 0.0 && small;
        }
        sent + work <= quota
    }

    /// Whether an engine is within the slow-start window after its start.
    pub(crate) fn is_warming_up(&self, now: Duration, engine: &Engine) -> bool {
        engine.is_warming_up(now, self.deployment.safety_rules.slow_start_window)
    }

    /// The slow-start factor of an engine that warms up: `slow_start_share` at its start, then linear in
    /// time up to 1.
    pub(crate) fn slow_start_factor(&self, now: Duration, engine: &Engine) -> f64 {
        let rules = &self.deployment.safety_rules;
        let age = now.saturating_sub(engine.entry.started_at).as_secs_f64();
        let initial = rules.slow_start_share;
        initial + (1.0 - initial) * age / rules.slow_start_window.as_secs_f64()
    }

    /// Counts work that was sent to an engine. `work` is in seconds on one thread.
    pub(crate) fn record_slow_start_work(&mut self, now: Duration, engine: EngineId, work: f64) {
        let window = self.sent_work_window();
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.slow_start_work.retain(|sent| sent.at + window > now);
            engine.slow_start_work.push(SentWork { at: now, work });
        }
    }

    /// How long sent work counts against the quota: the overload window and one tick.
    fn sent_work_window(&self) -> Duration {
        self.deployment.safety_rules.overload_window + self.deployment.tick
    }

    /// The overload limit of an engine that has just started: it fails if it is sent this many seconds of
    /// work, on one thread, within the overload window.
    fn overload_limit(&self, engine: &Engine) -> f64 {
        let rules = &self.deployment.safety_rules;
        rules.overload_factor
            * rules.slow_start_share
            * self.deployment.cores(&engine.entry)
            * rules.overload_window.as_secs_f64()
    }

    /// The mean work of small requests, in seconds on one thread; NaN if no class has small requests.
    fn mean_small_work(&self, overload_limit: f64) -> f64 {
        let works = || self.classes.iter().map(|class| class.work);
        let small = || works().filter(|work| work.mean() <= overload_limit * SMALL_REQUEST_SHARE);
        small().map(|work| work.sum).sum::<f64>() / small().map(|work| work.weight).sum::<f64>()
    }

    /// Whether this front's time slot is open. `slots` is the number of slots that start within one overload
    /// window.
    fn has_slow_start_slot(&self, now: Duration, engine: &Engine, slots: f64) -> bool {
        let age = now.saturating_sub(engine.entry.started_at).as_secs_f64();
        let slots_started = age / self.deployment.safety_rules.overload_window.as_secs_f64() * slots;
        let offset = (mix(u64::from(engine.entry.engine)) % SLOT_OFFSET_MODULUS) as f64;
        let slots_since_own =
            (slots_started - offset - f64::from(self.deployment.front_index)).rem_euclid(self.fronts());
        slots_since_own < SLOT_LENGTH_SHARE * slots
    }
}
