//! Attempts on their way to engines, at work there and back at their fronts; load reports, probes and notes.

use crate::Dice;
use crate::check::Seen;
use crate::engine::{Finished, Work};
use crate::run::{Fault, Run, TICK};
use crate::settings::{ReportField, ReportedWith, Reports};
use crate::world::span;
use lemonusher::{
    AttemptEnd, AttemptOutcome, AttemptProgress, EngineState, Event, LoadReport, RequestId, ResourceUsage,
};
use std::time::Duration;

/// An attempt that is out.
pub(crate) struct Flight {
    pub front: usize,
    pub name: RequestId,
    pub attempt: u32,
    pub engine: usize,
    pub at: Duration,
    pub until: Duration,
    pub work: f64,
    pub group: usize,
    pub id: u64,
    pub request: u64,
    pub next_note: Duration,
}

/// A probe that is out.
pub(crate) struct Probe {
    front: usize,
    engine: usize,
    at: Duration,
}

/// What becomes of an attempt once its connection is made or has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    Made,
    Failed,
}

/// Bounds of a request's work, in means of its class.
const LEAST_WORK: f64 = 0.02;
const MOST_WORK: f64 = 8.0;
/// A probe's way there and back.
const PROBE_WAY: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Run<'_> {
    /// Work of a request: the same for each attempt at it.
    fn work_of(&self, request: u64, group: usize) -> f64 {
        let mean = self.world.groups[group].work;
        let mut dice = Dice::new(self.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ request);
        let work = dice.wait(mean).clamp(mean * LEAST_WORK, mean * MOST_WORK);
        match self.world.runaways {
            Some(runaways) if dice.share() < runaways.share => mean * dice.between(runaways.times),
            _ => work,
        }
    }

    pub(crate) fn attempt(&mut self, front: usize, name: RequestId, engine: usize, time_out: Duration) {
        let Some(held) = self.fronts[front].held.get_mut(&name) else { return };
        let number = held.attempts;
        held.attempts += 1;
        let held = held.clone();
        let work = self.work_of(held.request, held.group);
        self.next += 1;
        let flight_number = self.next;
        self.report.attempts += 1;
        self.span().attempts += 1;
        let mean = self.world.groups[held.group].work;
        self.see(Seen::Sent { front, id: held.id, number, engine, work: mean });
        let until = if time_out.is_zero() { held.limit } else { held.limit.min(self.now + time_out) };
        let flight = Flight {
            front,
            name,
            attempt: number,
            engine,
            at: self.now,
            until,
            work,
            group: held.group,
            id: held.id,
            request: held.request,
            next_note: self.now + span(self.world.notes.unwrap_or(0.0)),
        };
        self.flights.insert(flight_number, flight);
        let (after, connection) = self.connect(front, engine);
        if after.is_zero() {
            self.connected(flight_number, connection);
        } else {
            self.connecting.insert((self.now + after, flight_number), connection);
        }
    }

    /// How long a front's connection to an engine takes from now, and what becomes of it.
    fn connect(&mut self, front: usize, engine: usize) -> (Duration, Connection) {
        let host = &mut self.engines[engine];
        if host.state == EngineState::Removed {
            return (span(self.world.refused_after), Connection::Failed);
        }
        let late = self.world.watch.map_or(0.0, |watch| watch.connect_late);
        if host.started.is_zero() || late <= 0.0 {
            return (Duration::ZERO, Connection::Made);
        }
        // A front begins to connect when it is told of the engine.
        let told = self.told.get(&(front, engine)).copied().unwrap_or(self.now);
        let delay = span(self.dice.share() * late);
        let ready = *host.connected.entry(front).or_insert(told + delay);
        let wait = ready.saturating_sub(self.now);
        if wait > CONNECT_TIMEOUT { (CONNECT_TIMEOUT, Connection::Failed) } else { (wait, Connection::Made) }
    }

    pub(crate) fn connect_due(&mut self) {
        while let Some(due) = self.connecting.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, number), connection) = due.remove_entry();
            self.connected(number, connection);
        }
    }

    fn connected(&mut self, number: u64, connection: Connection) {
        let Some(flight) = self.flights.get(&number) else { return };
        let (engine, request, stated) = (flight.engine, flight.request, flight.work);
        if connection == Connection::Failed || self.engines[engine].state == EngineState::Removed {
            return self.over(number, AttemptOutcome::ConnectFailed);
        }
        if self.engines[engine].engine.is_full() {
            self.span().refused_full += 1;
            return self.over(number, AttemptOutcome::Rejected);
        }
        let (group, tables) = (&self.world.groups[flight.group], self.tables_of(request, flight.group));
        let host = &mut self.engines[engine];
        let kind = &self.world.engines[host.kind as usize];
        let saved = if host.warm_up(tables, kind.warm_groups) { kind.warm_saves() } else { 0.0 };
        let left = stated * (1.0 - saved);
        if let Some(flight) = self.flights.get_mut(&number) {
            flight.work = left;
        }
        let work = Work {
            left,
            threads: group.threads,
            memory_mb: group.memory_mb,
            tables,
            load: group.load,
            waits_for_loads: !group.load,
        };
        self.engines[engine].engine.offer(number, work);
        self.span().work += left;
        self.see(Seen::Ran { request });
        self.push_over(engine, left);
    }

    /// A cold engine that was sent more work than it bears falls over.
    fn push_over(&mut self, engine: usize, work: f64) {
        let (now, world) = (self.now, self.world);
        let host = &mut self.engines[engine];
        if host.started.is_zero() || now >= host.started + span(world.cold_for) {
            return;
        }
        let window = span(world.fall_after);
        host.cold_work.retain(|(at, _)| *at + window > now);
        host.cold_work.push_back((now, work));
        let sent: f64 = host.cold_work.iter().map(|(_, work)| work).sum();
        let bears = world.fall_multiple * world.cold_from * host.engine.cores * world.fall_after;
        if sent > bears
            && let Some(back) = world.fallen_for
        {
            self.report.fallen += 1;
            self.kill(engine, Some(back));
        }
    }

    pub(crate) fn work(&mut self) {
        for engine in 0..self.engines.len() {
            let host = &mut self.engines[engine];
            let age = self.now.saturating_sub(host.started).as_secs_f64();
            let fresh = !host.started.is_zero() && age < self.world.cold_for;
            let from = self.world.cold_from;
            let warmth = if fresh { from + (1.0 - from) * age / self.world.cold_for } else { 1.0 };
            let finished = host.engine.run(TICK.as_secs_f64(), warmth);
            let mut said: Vec<u64> = finished.into_iter().map(|Finished(number)| number).collect();
            if host.silent_until > self.now {
                host.unsaid.append(&mut said);
            } else {
                said.append(&mut host.unsaid);
            }
            for number in said {
                if self.probes.contains_key(&number) {
                    self.probed(number, true);
                } else {
                    self.over(number, AttemptOutcome::Returned);
                }
            }
        }
    }

    pub(crate) fn time_out(&mut self) {
        let late: Vec<u64> =
            self.flights.iter().filter(|(_, flight)| flight.until <= self.now).map(|(n, _)| *n).collect();
        for number in late {
            let engine = self.flights[&number].engine;
            if self.world.cancel || self.world.drops_expired {
                self.engines[engine].engine.cancel(number);
            }
            self.over(number, AttemptOutcome::TimedOut);
        }
    }

    /// An attempt is over for its front.
    pub(crate) fn over(&mut self, number: u64, outcome: AttemptOutcome) {
        let Some(flight) = self.flights.remove(&number) else { return };
        self.see(Seen::Over { id: flight.id, may_have_run: !outcome.never_ran() });
        let front = &self.fronts[flight.front];
        let held = front.held.get(&flight.name).filter(|held| held.id == flight.id).cloned();
        if outcome == AttemptOutcome::Returned {
            let idle = (flight.work / self.world.groups[flight.group].threads).max(TICK.as_secs_f64());
            let slowdown = (self.now - flight.at).as_secs_f64() / idle;
            let span = self.span();
            span.returned += 1;
            span.slowdown += slowdown;
        }
        if let Some(held) = held.filter(|_| outcome == AttemptOutcome::Returned) {
            self.fronts[flight.front].held.remove(&flight.name);
            self.report.returned += 1;
            self.served(&held, flight.work);
            self.answered(held.id);
        }
        let front = &self.fronts[flight.front];
        let over = front.held.get(&flight.name).is_none_or(|held| held.id != flight.id);
        let cost =
            ResourceUsage { work: span(flight.work), memory_mb: self.world.groups[flight.group].memory_mb };
        let told = matches!(outcome, AttemptOutcome::Returned | AttemptOutcome::Rejected);
        let reported = told && self.reported_with(ReportedWith::Answers);
        let load = self.engines[flight.engine].report.filter(|_| reported);
        self.fronts[flight.front].events.push_back(Event::AttemptEnded(AttemptEnd {
            request: flight.name.clone(),
            attempt: flight.attempt,
            engine: flight.engine as u32,
            elapsed: self.now.saturating_sub(flight.at),
            outcome,
            request_finished: over,
            usage: (outcome == AttemptOutcome::Returned).then_some(cost),
            load,
        }));
        let once = self.world.groups[flight.group].once_only;
        if self.fault == Fault::SendsAgain && once && outcome == AttemptOutcome::Reset && !over {
            let other = (flight.engine + 1) % self.engines.len();
            self.attempt(flight.front, flight.name, other, Duration::ZERO);
        }
    }

    fn reported_with(&self, how: ReportedWith) -> bool {
        self.world.reports.as_ref().is_some_and(|reports| reports.how == how)
    }

    pub(crate) fn probe(&mut self, front: usize, engine: usize) {
        let Some(probes) = self.world.probes else { return };
        self.next += 1;
        let number = self.next;
        self.span().work += probes.work;
        self.probes.insert(number, Probe { front, engine, at: self.now });
        let (threads, memory_mb, tables) = (1.0, 0.0, 0);
        let work =
            Work { left: probes.work, threads, memory_mb, tables, load: false, waits_for_loads: false };
        self.engines[engine].engine.put(number, work);
    }

    fn probed(&mut self, number: u64, answered: bool) {
        let Some(Probe { front, engine, at }) = self.probes.remove(&number) else { return };
        let after = self.now.saturating_sub(at) + PROBE_WAY;
        let load =
            self.engines[engine].report.filter(|_| answered && self.reported_with(ReportedWith::Probes));
        let event = Event::ProbeEnded { engine: engine as u32, answered, elapsed: after, load };
        self.fronts[front].events.push_back(event);
    }

    /// Probes without an answer in time.
    pub(crate) fn probes_lost(&mut self) {
        let lost = self.probes.iter().filter(|(_, probe)| probe.at + CONNECT_TIMEOUT <= self.now);
        let lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            let engine = self.probes[&number].engine;
            self.engines[engine].engine.cancel(number);
            self.probed(number, false);
        }
    }

    /// Engines sample their load each period, and tell it after a delay.
    pub(crate) fn sample(&mut self) {
        let world = self.world;
        let Some(terms) = &world.reports else { return };
        for engine in 0..self.engines.len() {
            if self.engines[engine].next_sample <= self.now {
                let load = self.load_of(engine, terms);
                let host = &mut self.engines[engine];
                host.samples.push_back((self.now + span(self.dice.between(terms.delay)), load));
                host.next_sample = self.now + span(terms.period);
            }
            let host = &mut self.engines[engine];
            while host.samples.front().is_some_and(|(at, _)| *at <= self.now) {
                host.report = host.samples.pop_front().map(|(_, load)| load);
            }
        }
    }

    fn load_of(&mut self, engine: usize, terms: &Reports) -> LoadReport {
        let mut figure = |field: ReportField, figure: f64| {
            let noise = 1.0 + terms.noise * (2.0 * self.dice.share() - 1.0);
            terms.fields.contains(&field).then_some(figure * noise)
        };
        let engine = &self.engines[engine].engine;
        LoadReport {
            cores_busy: figure(ReportField::CoresBusy, engine.cores_busy()).map(|busy| busy.min(1.0)),
            memory_granted: figure(ReportField::MemoryGranted, engine.memory_granted()),
            in_flight: figure(ReportField::Held, engine.len() as f64),
            ..LoadReport::default()
        }
    }

    /// Progress notes of what runs.
    pub(crate) fn note(&mut self) {
        let Some(period) = self.world.notes else { return };
        let now = self.now;
        for (number, flight) in &mut self.flights {
            if flight.next_note > now {
                continue;
            }
            flight.next_note = now + span(period);
            if let Some(left) = self.engines[flight.engine].engine.left(*number) {
                self.fronts[flight.front].events.push_back(Event::Progress {
                    request: flight.name.clone(),
                    attempt: flight.attempt,
                    engine: flight.engine as u32,
                    progress: AttemptProgress::Done(1.0 - left / flight.work),
                });
            }
        }
    }
}
