//! The event loop: handles events, fires timers and asks the gateway for decisions.
//!
//! The gateway decides at most once per tick, because one decision on all events that arrive close together
//! is better than a separate decision on each. The actions of a decision are executed at once.

use super::RequestRouter;
use crate::counters::TableSizes;
use crate::messages::{ControlUpdate, EngineCommand, QuotaShare, RouterEvent};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use lemonusher::{AttemptOutcome, Event};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

/// An iteration that has this many events takes no more from the queue, so that decisions are not delayed.
const MAX_EVENTS_PER_ITERATION: usize = 1024;

/// The reason why the event loop wakes up.
enum Wakeup {
    Event(RouterEvent),
    Timer,
    /// The event queue is closed.
    Closed,
}

impl RequestRouter {
    /// Runs the event loop until the queue is closed.
    pub async fn run(mut self, queue: Receiver<RouterEvent>) {
        loop {
            let mut first = None;
            if self.pending_events.is_empty() {
                match self.wait_for_event(&queue).await {
                    Wakeup::Event(event) => first = Some(event),
                    Wakeup::Timer => {}
                    Wakeup::Closed => return,
                }
            }
            let mut events: Vec<RouterEvent> = self.pending_events.drain(..).chain(first).collect();
            while events.len() < MAX_EVENTS_PER_ITERATION
                && let Ok(event) = queue.try_recv()
            {
                events.push(event);
            }
            let now = self.clock.now();
            if catch_unwind(AssertUnwindSafe(|| self.run_iteration(now, events))).is_err() {
                self.restart_after_panic(now);
            }
            self.publish_table_sizes();
        }
    }

    fn publish_table_sizes(&self) {
        self.open_count.set(self.requests.len());
        self.counters.set_table_sizes(TableSizes {
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            engines: self.endpoints.len(),
        });
    }

    /// Waits for the next event or the next timer, whichever comes first.
    async fn wait_for_event(&mut self, queue: &Receiver<RouterEvent>) -> Wakeup {
        let next_timeout = self.next_timeout();
        // The timer is reused and set only when the time changes, because each change may cost an iteration
        // of the I/O reactor.
        if next_timeout != self.armed_at {
            self.armed_at = next_timeout;
            match next_timeout {
                Some(at) => self.timer.set_at(self.clock.instant(at)),
                None => self.timer = Timer::never(),
            }
        }
        let received = async { queue.recv().await.map_or(Wakeup::Closed, Wakeup::Event) };
        let fired = async {
            (&mut self.timer).await;
            Wakeup::Timer
        };
        let wakeup = received.or(fired).await;
        if matches!(wakeup, Wakeup::Timer) {
            self.armed_at = None;
        }
        wakeup
    }

    /// Returns the time of the earliest timer or of the next decision, whichever is first; none if there is
    /// nothing to wait for.
    fn next_timeout(&self) -> Option<Duration> {
        let decision = self.decision_pending.then_some(self.last_decision + self.deployment.tick);
        let wakeup = self.wakeups.first().copied();
        let timeout = self.timeouts.first().map(|timer| timer.at);
        let start_deadline = self.start_deadlines.first().map(|timer| timer.at);
        [decision, wakeup, timeout, start_deadline].into_iter().flatten().min()
    }

    /// Runs one iteration: sends the command backlog, handles the events, fires the timers that are due, polls
    /// the zone monitor, and asks the gateway for a decision if one is pending and a tick has passed since the
    /// last one.
    fn run_iteration(&mut self, now: Duration, events: Vec<RouterEvent>) {
        self.flush_commands();
        self.decision_pending |= !events.is_empty();
        for event in events {
            self.handle_event(now, event);
        }
        self.fire_timeouts(now);
        self.fire_start_deadlines(now);
        self.fire_wakeups(now);
        self.poll_zone_monitor(now);
        if self.decision_pending && now >= self.last_decision + self.deployment.tick {
            self.decide(now);
        }
    }

    pub(super) fn handle_event(&mut self, now: Duration, event: RouterEvent) {
        match event {
            RouterEvent::Request(incoming) => self.handle_request(now, incoming),
            RouterEvent::ClientDisconnected { sink, ticket, request } => {
                self.handle_client_disconnected(now, &sink, ticket, request);
            }
            RouterEvent::Endpoints(kind, listed) => self.handle_endpoints(now, kind, listed),
            RouterEvent::AttemptEnded { token, outcome, usage, load, body } => {
                self.handle_attempt_ended(now, token, outcome, usage, load, body);
            }
            RouterEvent::Progress { token, progress } => self.handle_progress(now, token, progress),
            RouterEvent::ProbeEnded { token, answered, load } => {
                self.handle_probe_ended(now, token, answered, load);
            }
            RouterEvent::Management(call) => self.handle_management(now, call),
            RouterEvent::Control(ControlUpdate::SlowStartQuota(quota)) => {
                self.quota_valid_until = quota.valid_until;
                self.gateway.handle_event(now, Event::SlowStartQuota(quota.share));
            }
            RouterEvent::Control(ControlUpdate::ZonePlan(effect)) => self.handle_zone_plan(now, &effect),
            RouterEvent::Control(ControlUpdate::Maintenance { version, complete, closed }) => {
                self.handle_maintenance(now, version, complete, closed);
            }
            RouterEvent::ShutDown(within) => {
                log::info!("closing: {} open requests must end within {within:?}", self.requests.len());
                self.gateway.handle_event(now, Event::ShuttingDown { deadline: now + within });
            }
        }
    }

    pub(super) fn fire_timeouts(&mut self, now: Duration) {
        while let Some(timer) = self.timeouts.first().copied().filter(|timer| timer.at <= now) {
            self.timeouts.remove(&timer);
            self.decision_pending = true;
            let token = timer.token;
            if self.end_unsent(now, token) {
                continue;
            }
            self.queue_command(EngineCommand::Cancel(token));
            // The token belongs either to an attempt or to a probe; the event of the other kind is ignored.
            self.handle_event(now, RouterEvent::attempt_ended(token, AttemptOutcome::TimedOut));
            self.handle_event(now, RouterEvent::ProbeEnded { token, answered: false, load: None });
        }
    }

    fn fire_start_deadlines(&mut self, now: Duration) {
        while let Some(timer) = self.start_deadlines.first().copied().filter(|timer| timer.at <= now) {
            self.start_deadlines.remove(&timer);
            self.queue_command(EngineCommand::Withdraw(timer.token));
        }
    }

    fn fire_wakeups(&mut self, now: Duration) {
        if self.wakeups.first().is_some_and(|at| *at <= now) {
            self.wakeups = self.wakeups.split_off(&(now + Duration::from_nanos(1)));
            self.gateway.handle_event(now, Event::TimerFired);
            self.decision_pending = true;
        }
    }

    fn poll_zone_monitor(&mut self, now: Duration) {
        let Some(zone_monitor) = &mut self.zone_monitor else { return };
        zone_monitor.poll(now, || {
            let mut in_flight = BTreeMap::new();
            self.attempts.values().for_each(|attempt| *in_flight.entry(attempt.engine).or_default() += 1);
            in_flight
        });
        self.wakeups.insert(zone_monitor.next_timeout());
    }

    /// Ends this front's share of the quota once its lease has expired. The fleet says so, too, but after a stall the
    /// router may run first.
    fn expire_quota(&mut self, now: Duration) {
        let now_instant = self.clock.instant(now);
        if self.quota_valid_until.take_if(|valid_until| *valid_until <= now_instant).is_some() {
            self.gateway.handle_event(now, Event::SlowStartQuota(QuotaShare::NONE.share));
        }
    }

    fn decide(&mut self, now: Duration) {
        self.expire_quota(now);
        (self.last_decision, self.decision_pending) = (now, false);
        let started = Instant::now();
        let actions = self.gateway.decide(now);
        self.counters.add_decision_time(started.elapsed());
        for action in actions {
            self.execute(now, action);
        }
    }
}
