//! Attempts from sending to their end at the front; load reports, probes and progress reports.

use crate::check::Observation;
use crate::engine::{Finished, Work};
use crate::rng::SeededRng;
use crate::settings::{LoadReports, ReportField, ReportTransport};
use crate::simulation::{Connection, Fault, InFlightAttempt, Probe, Simulation, TICK};
use crate::world::duration_from_secs;
use lemonusher::{
    AttemptEnd, AttemptOutcome, AttemptProgress, EngineState, Event, LoadReport, RequestId, ResourceUsage,
};
use std::time::Duration;

/// Minimum work of a request, as a multiple of its class's mean.
const MIN_WORK_FACTOR: f64 = 0.02;
/// Maximum work of a request, as a multiple of its class's mean; runaway requests may exceed it.
const MAX_WORK_FACTOR: f64 = 8.0;
/// Network round trip of a probe.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Simulation<'_> {
    /// Work of a request, in seconds on one thread; the same for all its attempts.
    fn work_of(&self, request: u64, request_class: usize) -> f64 {
        let mean = self.world.request_classes[request_class].mean_work_s;
        let mut rng = SeededRng::new(self.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ request);
        let work = rng.exponential(mean).clamp(mean * MIN_WORK_FACTOR, mean * MAX_WORK_FACTOR);
        match self.world.runaways {
            Some(runaways) if rng.fraction() < runaways.share => mean * rng.uniform(runaways.times),
            _ => work,
        }
    }

    pub(crate) fn attempt(&mut self, front: usize, name: RequestId, engine: usize, time_out: Duration) {
        let Some(open_request) = self.fronts[front].open_requests.get_mut(&name) else { return };
        let number = open_request.attempts;
        open_request.attempts += 1;
        let open_request = open_request.clone();
        let work = self.work_of(open_request.request, open_request.request_class);
        self.next += 1;
        let attempt_number = self.next;
        self.report.attempts += 1;
        self.interval().attempts += 1;
        let mean = self.world.request_classes[open_request.request_class].mean_work_s;
        self.observe(Observation::AttemptSent { front, id: open_request.id, number, engine, work: mean });
        let times_out_at =
            if time_out.is_zero() { open_request.limit } else { open_request.limit.min(self.now + time_out) };
        let attempt = InFlightAttempt {
            front,
            name,
            attempt: number,
            engine,
            sent_at: self.now,
            times_out_at,
            work,
            request_class: open_request.request_class,
            id: open_request.id,
            request: open_request.request,
            next_progress_report: self.now
                + duration_from_secs(self.world.progress_interval_s.unwrap_or(0.0)),
        };
        self.in_flight.insert(attempt_number, attempt);
        let (after, connection) = self.connect(front, engine);
        if after.is_zero() {
            self.connected(attempt_number, connection);
        } else {
            self.connecting.insert((self.now + after, attempt_number), connection);
        }
    }

    /// Time until a front's connection to an engine is established or fails, and which of the two.
    fn connect(&mut self, front: usize, engine: usize) -> (Duration, Connection) {
        let host = &mut self.engines[engine];
        if host.state == EngineState::Removed {
            return (duration_from_secs(self.world.refusal_delay_s), Connection::Failed);
        }
        let late = self.world.discovery.map_or(0.0, |discovery| discovery.connect_late);
        if host.started.is_zero() || late <= 0.0 {
            return (Duration::ZERO, Connection::Established);
        }
        // A front begins to connect when it is notified of the engine.
        let notified = self.notified.get(&(front, engine)).copied().unwrap_or(self.now);
        let delay = duration_from_secs(self.rng.fraction() * late);
        let ready = *host.connected.entry(front).or_insert(notified + delay);
        let wait = ready.saturating_sub(self.now);
        if wait > CONNECT_TIMEOUT {
            (CONNECT_TIMEOUT, Connection::Failed)
        } else {
            (wait, Connection::Established)
        }
    }

    pub(crate) fn handle_connections(&mut self) {
        while let Some(due) = self.connecting.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, number), connection) = due.remove_entry();
            self.connected(number, connection);
        }
    }

    fn connected(&mut self, number: u64, connection: Connection) {
        let Some(attempt) = self.in_flight.get(&number) else { return };
        let (engine, request, full_work) = (attempt.engine, attempt.request, attempt.work);
        if connection == Connection::Failed || self.engines[engine].state == EngineState::Removed {
            return self.end_attempt(number, AttemptOutcome::ConnectFailed);
        }
        if self.engines[engine].engine.is_full() {
            self.interval().refused_full += 1;
            return self.end_attempt(number, AttemptOutcome::Rejected);
        }
        let (request_class, table_group) = (
            &self.world.request_classes[attempt.request_class],
            self.table_group(request, attempt.request_class),
        );
        let host = &mut self.engines[engine];
        let kind = &self.world.engines[host.kind as usize];
        let saved = if host.use_table_group(table_group, kind.cached_table_groups) {
            kind.cached_work_saving()
        } else {
            0.0
        };
        let remaining_s = full_work * (1.0 - saved);
        if let Some(attempt) = self.in_flight.get_mut(&number) {
            attempt.work = remaining_s;
        }
        let work = Work {
            remaining_s,
            threads: request_class.threads,
            memory_mb: request_class.memory_mb,
            table_group,
            is_bulk_load: request_class.is_bulk_load,
            waits_for_bulk_loads: !request_class.is_bulk_load,
        };
        self.engines[engine].engine.offer(number, work);
        self.interval().work += remaining_s;
        self.observe(Observation::RequestRan { request });
        self.fail_if_overloaded(engine, remaining_s);
    }

    /// Fails an engine that warms up if the work sent to it exceeds its overload limit.
    fn fail_if_overloaded(&mut self, engine: usize, work: f64) {
        let (now, world) = (self.now, self.world);
        let host = &mut self.engines[engine];
        if host.started.is_zero() || now >= host.started + duration_from_secs(world.slow_start_s) {
            return;
        }
        let window = duration_from_secs(world.overload_window_s);
        host.slow_start_work.retain(|(at, _)| *at + window > now);
        host.slow_start_work.push_back((now, work));
        let sent: f64 = host.slow_start_work.iter().map(|(_, work)| work).sum();
        let overload_limit =
            world.overload_factor * world.slow_start_share * host.engine.cores * world.overload_window_s;
        if sent > overload_limit
            && let Some(back) = world.overload_restart_s
        {
            self.report.overloaded += 1;
            self.kill(engine, Some(back));
        }
    }

    pub(crate) fn run_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let host = &mut self.engines[engine];
            let age = self.now.saturating_sub(host.started).as_secs_f64();
            let is_warming_up = !host.started.is_zero() && age < self.world.slow_start_s;
            let from = self.world.slow_start_share;
            let slow_start_factor =
                if is_warming_up { from + (1.0 - from) * age / self.world.slow_start_s } else { 1.0 };
            let finished = host.engine.run(TICK.as_secs_f64(), slow_start_factor);
            let mut reported: Vec<u64> = finished.into_iter().map(|Finished(number)| number).collect();
            if host.silent_until > self.now {
                host.unreported.append(&mut reported);
            } else {
                reported.append(&mut host.unreported);
            }
            for number in reported {
                if self.probes.contains_key(&number) {
                    self.end_probe(number, true);
                } else {
                    self.end_attempt(number, AttemptOutcome::Returned);
                }
            }
        }
    }

    pub(crate) fn handle_timeouts(&mut self) {
        let late: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, attempt)| attempt.times_out_at <= self.now)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            let engine = self.in_flight[&number].engine;
            if self.world.cancel || self.world.engines_drop_expired {
                self.engines[engine].engine.cancel(number);
            }
            self.end_attempt(number, AttemptOutcome::TimedOut);
        }
    }

    /// Ends an attempt for its front, and delivers the outcome.
    pub(crate) fn end_attempt(&mut self, number: u64, outcome: AttemptOutcome) {
        let Some(attempt) = self.in_flight.remove(&number) else { return };
        self.observe(Observation::AttemptEnded { id: attempt.id, may_have_run: !outcome.never_ran() });
        let front = &self.fronts[attempt.front];
        let open_request = front
            .open_requests
            .get(&attempt.name)
            .filter(|open_request| open_request.id == attempt.id)
            .cloned();
        if outcome == AttemptOutcome::Returned {
            let idle = (attempt.work / self.world.request_classes[attempt.request_class].threads)
                .max(TICK.as_secs_f64());
            let slowdown = (self.now - attempt.sent_at).as_secs_f64() / idle;
            let counts = self.interval();
            counts.returned += 1;
            counts.slowdown += slowdown;
        }
        if let Some(open_request) = open_request.filter(|_| outcome == AttemptOutcome::Returned) {
            self.fronts[attempt.front].open_requests.remove(&attempt.name);
            self.report.returned += 1;
            self.count_served(&open_request, attempt.work);
            self.respond(open_request.id);
        }
        let front = &self.fronts[attempt.front];
        let request_is_over =
            front.open_requests.get(&attempt.name).is_none_or(|open_request| open_request.id != attempt.id);
        let cost = ResourceUsage {
            work: duration_from_secs(attempt.work),
            memory_mb: self.world.request_classes[attempt.request_class].memory_mb,
        };
        let has_report = matches!(outcome, AttemptOutcome::Returned | AttemptOutcome::Rejected);
        let reported = has_report && self.reported_with(ReportTransport::Answers);
        let load = self.engines[attempt.engine].report.filter(|_| reported);
        self.fronts[attempt.front].events.push_back(Event::AttemptEnded(AttemptEnd {
            request: attempt.name.clone(),
            attempt: attempt.attempt,
            engine: attempt.engine as u32,
            elapsed: self.now.saturating_sub(attempt.sent_at),
            outcome,
            request_finished: request_is_over,
            usage: (outcome == AttemptOutcome::Returned).then_some(cost),
            load,
        }));
        let is_non_idempotent = self.world.request_classes[attempt.request_class].is_non_idempotent;
        if self.fault == Fault::RetriesNonIdempotent
            && is_non_idempotent
            && outcome == AttemptOutcome::Reset
            && !request_is_over
        {
            let other = (attempt.engine + 1) % self.engines.len();
            self.attempt(attempt.front, attempt.name, other, Duration::ZERO);
        }
    }

    fn reported_with(&self, transport: ReportTransport) -> bool {
        self.world.load_reports.as_ref().is_some_and(|reports| reports.how == transport)
    }

    pub(crate) fn probe(&mut self, front: usize, engine: usize) {
        let Some(probes) = self.world.probes else { return };
        self.next += 1;
        let number = self.next;
        self.interval().work += probes.work;
        self.probes.insert(number, Probe { front, engine, at: self.now });
        let (threads, memory_mb, table_group) = (1.0, 0.0, 0);
        let work = Work {
            remaining_s: probes.work,
            threads,
            memory_mb,
            table_group,
            is_bulk_load: false,
            waits_for_bulk_loads: false,
        };
        self.engines[engine].engine.run_now(number, work);
    }

    fn end_probe(&mut self, number: u64, answered: bool) {
        let Some(Probe { front, engine, at }) = self.probes.remove(&number) else { return };
        let after = self.now.saturating_sub(at) + PROBE_ROUND_TRIP;
        let load =
            self.engines[engine].report.filter(|_| answered && self.reported_with(ReportTransport::Probes));
        let event = Event::ProbeEnded { engine: engine as u32, answered, elapsed: after, load };
        self.fronts[front].events.push_back(event);
    }

    /// Ends probes without a reply within the timeout.
    pub(crate) fn handle_lost_probes(&mut self) {
        let lost = self.probes.iter().filter(|(_, probe)| probe.at + CONNECT_TIMEOUT <= self.now);
        let lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            let engine = self.probes[&number].engine;
            self.engines[engine].engine.cancel(number);
            self.end_probe(number, false);
        }
    }

    /// Samples the engines' load each period; a sample is reported after a delay.
    pub(crate) fn sample_loads(&mut self) {
        let world = self.world;
        let Some(reports) = &world.load_reports else { return };
        for engine in 0..self.engines.len() {
            if self.engines[engine].next_sample <= self.now {
                let load = self.load_of(engine, reports);
                let host = &mut self.engines[engine];
                host.samples
                    .push_back((self.now + duration_from_secs(self.rng.uniform(reports.delay)), load));
                host.next_sample = self.now + duration_from_secs(reports.period);
            }
            let host = &mut self.engines[engine];
            while host.samples.front().is_some_and(|(at, _)| *at <= self.now) {
                host.report = host.samples.pop_front().map(|(_, load)| load);
            }
        }
    }

    fn load_of(&mut self, engine: usize, reports: &LoadReports) -> LoadReport {
        let mut figure = |field: ReportField, figure: f64| {
            let noise = 1.0 + reports.noise * (2.0 * self.rng.fraction() - 1.0);
            reports.fields.contains(&field).then_some(figure * noise)
        };
        let engine = &self.engines[engine].engine;
        LoadReport {
            cores_busy: figure(ReportField::CoresBusy, engine.cores_busy()).map(|busy| busy.min(1.0)),
            memory_granted: figure(ReportField::MemoryGranted, engine.memory_granted()),
            in_flight: figure(ReportField::InFlight, engine.len() as f64),
            ..LoadReport::default()
        }
    }

    /// Delivers the due progress reports of running attempts.
    pub(crate) fn report_progress(&mut self) {
        let Some(period) = self.world.progress_interval_s else { return };
        let now = self.now;
        for (number, attempt) in &mut self.in_flight {
            if attempt.next_progress_report > now {
                continue;
            }
            attempt.next_progress_report = now + duration_from_secs(period);
            if let Some(remaining_s) = self.engines[attempt.engine].engine.remaining_s(*number) {
                self.fronts[attempt.front].events.push_back(Event::Progress {
                    request: attempt.name.clone(),
                    attempt: attempt.attempt,
                    engine: attempt.engine as u32,
                    progress: AttemptProgress::Done(1.0 - remaining_s / attempt.work),
                });
            }
        }
    }
}
