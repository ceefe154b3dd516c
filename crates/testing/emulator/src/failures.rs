//! Failures of engines and fronts, engines that go and come, and how fronts hear of them.

use crate::check::Seen;
use crate::host::Host;
use crate::run::{News, Run};
use crate::settings::Between;
use crate::world::{Manner, What, span};
use lemonusher::{AttemptOutcome, EndpointUpdateKind, EngineState, Event};
use std::time::Duration;

/// A list's news reaches the fronts so late, where the world states no watch.
const TOLD_AFTER: Duration = Duration::from_millis(200);

/// An engine that will be replaced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Replacement {
    at: Duration,
    engine: usize,
    manner: Manner,
}

impl Run<'_> {
    pub(crate) fn fail(&mut self, what: What, seed: u64) {
        let now = self.now;
        match what {
            What::Kill { engine, back } => self.kill(engine, Some(back)),
            What::Hall { location, back } => {
                let there: Vec<usize> =
                    (0..self.engines.len()).filter(|n| self.engines[*n].location == location).collect();
                there.into_iter().for_each(|engine| self.kill(engine, Some(back)));
            }
            What::Silent { engine, back } => self.engines[engine].silent_until = now + span(back),
            What::Slow { engine, times, back } => {
                self.engines[engine].engine.slow = times.max(1.0);
                self.engines[engine].slow_until = now + span(back);
            }
            What::Drain { engine, back } => self.drain(engine, Some(back)),
            What::Replace { share, over, manner } => self.plan_replacements(share, over, manner),
            What::Restart { front } => {
                self.see(Seen::Forgot { front });
                self.flights.retain(|_, flight| flight.front != front);
                let silence = self.fronts[front].silence;
                self.fronts[front] = self.front(front as u32, seed ^ self.now.as_nanos() as u64);
                self.fronts[front].silence = silence;
            }
        }
    }

    /// Draws which engines are replaced and when.
    fn plan_replacements(&mut self, share: f64, over: f64, manner: Manner) {
        let mut active: Vec<usize> =
            (0..self.engines.len()).filter(|n| self.engines[*n].state == EngineState::Active).collect();
        let count = (active.len() as f64 * share).round() as usize;
        for _ in 0..count {
            let engine = active.swap_remove(self.dice.below(active.len()));
            let at = self.now + span(self.dice.share() * over);
            self.replacements.push(Replacement { at, engine, manner });
        }
    }

    fn replace_due(&mut self) {
        let now = self.now;
        let (due, later) = self.replacements.iter().partition(|replacement| replacement.at <= now);
        self.replacements = later;
        let due: Vec<Replacement> = due;
        for Replacement { engine, manner, .. } in due {
            match manner {
                Manner::Vanish => self.kill(engine, None),
                Manner::Drain => self.drain(engine, None),
            }
            let (kind, spread) = (self.engines[engine].kind, self.dice.share());
            self.engines.push(Host::new(self.world, kind, spread));
            let joined = self.engines.len() - 1;
            self.start(joined);
        }
    }

    fn drain(&mut self, engine: usize, back: Option<f64>) {
        let grace = span(self.world.drain_grace) * 2;
        let host = &mut self.engines[engine];
        host.state = EngineState::Draining;
        host.gone_at = Some(self.now + grace);
        host.back_at = back.map(|back| self.now + grace + span(back));
        // Where each front is told in its own time, it is held to the rule from then on.
        if self.world.watch.is_none() {
            self.see(Seen::Draining { engine, front: None });
        }
        self.tell(engine);
    }

    pub(crate) fn kill(&mut self, engine: usize, back: Option<f64>) {
        let host = &mut self.engines[engine];
        host.engine.clear();
        host.unsaid.clear();
        (host.state, host.gone_at) = (EngineState::Removed, None);
        host.back_at = back.map(|back| self.now + span(back));
        (host.report, host.samples, host.connected, host.warm) = Default::default();
        self.tell(engine);
        let lost: Vec<u64> =
            self.flights.iter().filter(|(_, flight)| flight.engine == engine).map(|(n, _)| *n).collect();
        lost.into_iter().for_each(|number| self.over(number, AttemptOutcome::Reset));
    }

    /// The engine starts, cold.
    fn start(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        (host.state, host.started, host.back_at) = (EngineState::Active, self.now, None);
        host.cold_work.clear();
        let (cores, location) = (host.engine.cores, host.location);
        self.see(Seen::Started { engine, cores, location });
        self.tell(engine);
    }

    /// Engines that go and come, and news that has arrived.
    pub(crate) fn tend(&mut self) {
        self.replace_due();
        for engine in 0..self.engines.len() {
            let host = &mut self.engines[engine];
            if host.slow_until <= self.now {
                host.engine.slow = host.usually_slow;
            }
            if host.gone_at.is_some_and(|at| at <= self.now) {
                let back = host.back_at;
                self.kill(engine, None);
                self.engines[engine].back_at = back;
            }
            let host = &mut self.engines[engine];
            if host.back_at.is_some_and(|at| at <= self.now) && host.state == EngineState::Removed {
                self.start(engine);
            }
        }
        while let Some(news) = self.news.first_entry().filter(|news| news.key().0 <= self.now) {
            let News { front, entry } = news.remove();
            if self.world.watch.is_some() && entry.state == EngineState::Draining {
                self.see(Seen::Draining { engine: entry.engine as usize, front: Some(front) });
            }
            let event = Event::Endpoints(EndpointUpdateKind::Delta, vec![entry]);
            self.fronts[front].events.push_back(event);
        }
    }

    /// Tells every front of an engine, each after a time of its own where the world states a watch.
    fn tell(&mut self, engine: usize) {
        let entry = self.entry(engine);
        for front in 0..self.fronts.len() {
            let at = self.now + self.told_after(front, entry.state);
            // What is told later is never heard earlier.
            let last = self.told.entry((front, engine)).or_default();
            *last = at.max(*last);
            let key = (*last, self.next_news);
            self.next_news += 1;
            self.news.insert(key, News { front, entry: entry.clone() });
        }
    }

    fn told_after(&mut self, front: usize, state: EngineState) -> Duration {
        let Some(watch) = self.world.watch else { return TOLD_AFTER };
        let delay = if state == EngineState::Active { watch.told } else { watch.gone };
        let delay = span(self.dice.between(delay));
        let (from, to) = self.fronts[front].silence;
        let at = self.now + delay;
        if from <= at && at < to { to - self.now } else { delay }
    }

    /// When a front's watch falls silent, once in the run, and until when.
    pub(crate) fn draw_silence(&mut self) -> (Duration, Duration) {
        let Some(silent) = self.world.watch.and_then(|watch| watch.silent_for) else {
            return Default::default();
        };
        let whole: Between = [0.0, self.world.seconds];
        let from = self.now + span(self.dice.between(whole));
        (from, from + span(self.dice.between(silent)))
    }
}
