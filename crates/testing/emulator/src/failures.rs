//! Failures of engines and fronts, engines that leave and join, and the endpoint updates to fronts.

use crate::check::Observation;
use crate::host::EngineHost;
use crate::settings::Range;
use crate::simulation::{EndpointUpdate, Replacement, Simulation};
use crate::world::{FailureKind, ReplacementManner, duration_from_secs};
use lemonusher::{AttemptOutcome, EndpointUpdateKind, EngineState, Event};
use std::time::Duration;

/// Delay of endpoint updates, if the deployment states no discovery delays.
const NOTIFICATION_DELAY: Duration = Duration::from_millis(200);

impl Simulation<'_> {
    pub(crate) fn apply_failure(&mut self, what: FailureKind, seed: u64) {
        let now = self.now;
        match what {
            FailureKind::Kill { engine, back } => self.kill(engine, Some(back)),
            FailureKind::KillZone { location: zone, back } => {
                let there: Vec<usize> =
                    (0..self.engines.len()).filter(|n| self.engines[*n].zone == zone).collect();
                there.into_iter().for_each(|engine| self.kill(engine, Some(back)));
            }
            FailureKind::Silent { engine, back } => {
                self.engines[engine].silent_until = now + duration_from_secs(back)
            }
            FailureKind::Slow { engine, times, back } => {
                self.engines[engine].engine.slowdown = times.max(1.0);
                self.engines[engine].slow_until = now + duration_from_secs(back);
            }
            FailureKind::Drain { engine, back } => self.drain(engine, Some(back)),
            FailureKind::Replace { share, over, manner } => self.plan_replacements(share, over, manner),
            FailureKind::Restart { front } => {
                self.observe(Observation::FrontRestarted { front });
                self.in_flight.retain(|_, attempt| attempt.front != front);
                let outage = self.fronts[front].outage;
                self.fronts[front] = self.front(front as u32, seed ^ self.now.as_nanos() as u64);
                self.fronts[front].outage = outage;
            }
        }
    }

    /// Draws which active engines are replaced, and when.
    fn plan_replacements(&mut self, share: f64, over: f64, manner: ReplacementManner) {
        let mut active: Vec<usize> =
            (0..self.engines.len()).filter(|n| self.engines[*n].state == EngineState::Active).collect();
        let count = (active.len() as f64 * share).round() as usize;
        for _ in 0..count {
            let engine = active.swap_remove(self.rng.below(active.len()));
            let at = self.now + duration_from_secs(self.rng.fraction() * over);
            self.replacements.push(Replacement { at, engine, manner });
        }
    }

    fn handle_replacements(&mut self) {
        let now = self.now;
        let (due, later) = self.replacements.iter().partition(|replacement| replacement.at <= now);
        self.replacements = later;
        let due: Vec<Replacement> = due;
        for Replacement { engine, manner, .. } in due {
            match manner {
                ReplacementManner::Vanish => self.kill(engine, None),
                ReplacementManner::Drain => self.drain(engine, None),
            }
            let (kind, spread) = (self.engines[engine].kind, self.rng.fraction());
            self.engines.push(EngineHost::new(self.world, kind, spread));
            let joined = self.engines.len() - 1;
            self.start(joined);
        }
    }

    fn drain(&mut self, engine: usize, back: Option<f64>) {
        let grace = duration_from_secs(self.world.drain_grace_s) * 2;
        let host = &mut self.engines[engine];
        host.state = EngineState::Draining;
        host.removed_at = Some(self.now + grace);
        host.restarts_at = back.map(|back| self.now + grace + duration_from_secs(back));
        // With discovery delays, the drain grace starts for each front when it is notified.
        if self.world.discovery.is_none() {
            self.observe(Observation::EngineDraining { engine, front: None });
        }
        self.notify_fronts(engine);
    }

    pub(crate) fn kill(&mut self, engine: usize, back: Option<f64>) {
        let host = &mut self.engines[engine];
        host.engine.clear();
        host.unreported.clear();
        (host.state, host.removed_at) = (EngineState::Removed, None);
        host.restarts_at = back.map(|back| self.now + duration_from_secs(back));
        (host.report, host.samples, host.connected, host.cached_table_groups) = Default::default();
        self.notify_fronts(engine);
        let lost: Vec<u64> =
            self.in_flight.iter().filter(|(_, attempt)| attempt.engine == engine).map(|(n, _)| *n).collect();
        lost.into_iter().for_each(|number| self.end_attempt(number, AttemptOutcome::Reset));
    }

    /// Starts an engine, which then warms up.
    fn start(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        (host.state, host.started, host.restarts_at) = (EngineState::Active, self.now, None);
        host.slow_start_work.clear();
        let (cores, zone) = (host.engine.cores, host.zone);
        self.observe(Observation::EngineStarted { engine, cores, zone });
        self.notify_fronts(engine);
    }

    /// Ends slowdowns, removes and restarts engines that are due, and delivers endpoint updates to fronts.
    pub(crate) fn update_engines(&mut self) {
        self.handle_replacements();
        for engine in 0..self.engines.len() {
            let host = &mut self.engines[engine];
            if host.slow_until <= self.now {
                host.engine.slowdown = host.usual_slowdown;
            }
            if host.removed_at.is_some_and(|at| at <= self.now) {
                let back = host.restarts_at;
                self.kill(engine, None);
                self.engines[engine].restarts_at = back;
            }
            let host = &mut self.engines[engine];
            if host.restarts_at.is_some_and(|at| at <= self.now) && host.state == EngineState::Removed {
                self.start(engine);
            }
        }
        while let Some(update) = self.updates.first_entry().filter(|update| update.key().0 <= self.now) {
            let EndpointUpdate { front, entry } = update.remove();
            if self.world.discovery.is_some() && entry.state == EngineState::Draining {
                self.observe(Observation::EngineDraining {
                    engine: entry.engine as usize,
                    front: Some(front),
                });
            }
            let event = Event::Endpoints(EndpointUpdateKind::Delta, vec![entry]);
            self.fronts[front].events.push_back(event);
        }
    }

    /// Sends an endpoint update on an engine to every front. Each front has its own delay if the deployment states
    /// discovery delays.
    fn notify_fronts(&mut self, engine: usize) {
        let entry = self.entry(engine);
        for front in 0..self.fronts.len() {
            let at = self.now + self.notification_delay(front, entry.state);
            // Updates on one engine arrive at a front in the order in which they were sent.
            let last = self.notified.entry((front, engine)).or_default();
            *last = at.max(*last);
            let key = (*last, self.next_update);
            self.next_update += 1;
            self.updates.insert(key, EndpointUpdate { front, entry: entry.clone() });
        }
    }

    fn notification_delay(&mut self, front: usize, state: EngineState) -> Duration {
        let Some(discovery) = self.world.discovery else { return NOTIFICATION_DELAY };
        let delay = if state == EngineState::Active { discovery.join_delay } else { discovery.leave_delay };
        let delay = duration_from_secs(self.rng.uniform(delay));
        let (from, to) = self.fronts[front].outage;
        let at = self.now + delay;
        if from <= at && at < to { to - self.now } else { delay }
    }

    /// Draws start and end of a front's outage of discovery, once in the run.
    pub(crate) fn draw_outage(&mut self) -> (Duration, Duration) {
        let Some(silent) = self.world.discovery.and_then(|discovery| discovery.silent_for) else {
            return Default::default();
        };
        let whole: Range = [0.0, self.world.duration_s];
        let from = self.now + duration_from_secs(self.rng.uniform(whole));
        (from, from + duration_from_secs(self.rng.uniform(silent)))
    }
}
