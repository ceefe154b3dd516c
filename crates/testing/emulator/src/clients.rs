//! Clients: which requests they send to which front, how long they wait, and when they give up or retry.

use crate::check::Observation;
use crate::rng::SeededRng;
use crate::shares::index_at_share;
use crate::simulation::{BEGIN, ClientRequest, Fault, OpenRequest, Simulation};
use crate::world::duration_from_secs;
use lemonusher::{Arrival, Event, RequestId};
use std::time::Duration;

impl Simulation<'_> {
    /// Sends the first tries and the retries that are due.
    pub(crate) fn handle_arrivals(&mut self, begin: Duration, end: Duration) {
        while self.next_arrival <= self.now && self.next_arrival < end {
            let at = (self.next_arrival - begin).as_secs_f64();
            let surge = self.world.surge.filter(|surge| surge.from <= at && at < surge.to);
            let rate = self.world.requests_per_second * surge.map_or(1.0, |surge| surge.times);
            self.next_arrival += duration_from_secs(self.rng.exponential(1.0 / rate));
            self.requests_started += 1;
            let (request, request_class) = (self.requests_started, self.draw_class());
            self.requests.insert(request, ClientRequest { request_class, first: self.now, tries: 0 });
            self.interval().classes[request_class].requests += 1;
            self.send_try(request);
        }
        while let Some((_, request)) = self.retries.first().copied().filter(|(at, _)| *at <= self.now) {
            self.retries.pop_first();
            self.send_try(request);
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut drawn = self.rng.fraction();
        for (number, request_class) in self.world.request_classes.iter().enumerate() {
            drawn -= request_class.share;
            if drawn < 0.0 {
                return number;
            }
        }
        self.world.request_classes.len() - 1
    }

    pub(crate) fn table_group(&self, request: u64, request_class: usize) -> u64 {
        let sums = &self.table_group_sums[request_class];
        if self.world.request_classes[request_class].zipf_exponent == 0.0 {
            return request % sums.len() as u64;
        }
        index_at_share(sums, SeededRng::new(request ^ self.seed.rotate_left(32)).fraction()) as u64
    }

    /// Sends a try of a request, the first or a retry, to a random front.
    fn send_try(&mut self, request: u64) {
        let front = index_at_share(&self.traffic, self.rng.fraction());
        let repeats = self.requests.get(&request).map_or(0, |known| known.tries);
        let name: RequestId = match self.world.clients {
            Some(_) if repeats > 0 => format!("b{request}.{repeats}").into(),
            _ => format!("b{request}").into(),
        };
        if self.fronts[front].open_requests.contains_key(&name) {
            return;
        }
        let Some(known) = self.requests.get_mut(&request) else { return };
        known.tries += 1;
        let ClientRequest { request_class, first, tries } = *known;
        let limit = self.limit(request_class, first);
        let keys = self.world.request_classes[request_class].keys;
        let key = (keys > 0).then(|| request % keys);
        self.next += 1;
        let id = self.next;
        self.report.tries += 1;
        self.interval().tries += 1;
        self.observe(Observation::TryArrived { front, id, request, request_class, key, limit });
        let open_request = OpenRequest { id, request, request_class, arrived: self.now, limit, attempts: 0 };
        self.fronts[front].open_requests.insert(name.clone(), open_request);
        self.draw_early_give_up(front, &name, request_class, id);
        let marked = self.world.clients.is_none_or(|clients| clients.marked);
        let table_group = self.table_group(request, request_class);
        self.fronts[front].events.push_back(Event::Arrived(Arrival {
            request: name,
            request_class,
            table_group,
            key: key.filter(|_| self.fault != Fault::HidesKeys),
            client_timeout: limit - self.now,
            work: None,
            memory_mb: 0.0,
            client_retry: tries > 1 && marked,
        }));
    }

    /// Time until which the client waits for a try that is sent now.
    fn limit(&self, request_class: usize, first: Duration) -> Duration {
        let whole = duration_from_secs(self.world.request_classes[request_class].deadline_s);
        match self.world.clients {
            Some(clients) => (first + whole).min(self.now + whole.mul_f64(clients.try_share)),
            None => self.now + whole,
        }
    }

    /// Draws whether the client will give up the try early, and when.
    fn draw_early_give_up(&mut self, front: usize, name: &RequestId, request_class: usize, id: u64) {
        let Some(clients) = self.world.clients else { return };
        if self.rng.fraction() < clients.impatient {
            let after = duration_from_secs(
                self.world.request_classes[request_class].deadline_s * 0.5 * self.rng.fraction(),
            );
            self.give_ups.insert((self.now + after, id), (front, name.clone()));
        }
    }

    pub(crate) fn handle_give_ups(&mut self) {
        while let Some(due) = self.give_ups.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, id), (front, name)) = due.remove_entry();
            let front = &mut self.fronts[front];
            if front.open_requests.get(&name).is_some_and(|open_request| open_request.id == id) {
                front.open_requests.remove(&name);
                front.events.push_back(Event::ClientDisconnected(name));
                self.observe(Observation::ClientDisconnected { id });
            }
        }
    }

    /// Counts a rejection, and schedules the client's retry if there is one.
    pub(crate) fn reject(&mut self, open_request: &OpenRequest, retry_after: Option<Duration>) {
        self.report.rejected += 1;
        self.interval().rejected += 1;
        self.respond(open_request.id);
        let Some(clients) = self.world.clients else {
            if self.rng.fraction() < self.world.retry_share {
                let wait = retry_after.unwrap_or(Duration::from_millis(500));
                self.retries.insert((self.now + wait, open_request.request));
            }
            return;
        };
        let Some(request) = self.requests.get(&open_request.request).copied() else { return };
        let doubled = f64::from(1 << (request.tries - 1).min(16));
        let backoff = duration_from_secs(self.rng.uniform(clients.back_off) * doubled);
        let uses_retry_after = self.rng.fraction() < clients.honour;
        let at = self.now + retry_after.filter(|_| uses_retry_after).unwrap_or(backoff);
        if request.tries < clients.tries
            && at
                < request.first
                    + duration_from_secs(self.world.request_classes[open_request.request_class].deadline_s)
        {
            self.retries.insert((at, open_request.request));
        }
    }

    /// Counts a request that was served, in the interval of its first try.
    pub(crate) fn count_served(&mut self, open_request: &OpenRequest, work: f64) {
        let latency_objective =
            duration_from_secs(self.world.request_classes[open_request.request_class].latency_objective_s)
                + duration_from_secs(work * 1.5);
        self.report.in_objective += u64::from(self.now - open_request.arrived <= latency_objective);
        let Some(request) = self.requests.remove(&open_request.request) else { return };
        let in_objective = self.now - request.first <= latency_objective;
        let count = &mut self.report.statistics.interval_at((request.first - BEGIN).as_secs_f64()).classes
            [open_request.request_class];
        count.served += 1;
        count.in_objective += u64::from(in_objective);
    }
}
