//! Clients: what they ask for, where, how long they wait, and when they leave or ask again.

use crate::check::Observation;
use crate::dice::Dice;
use crate::shares::falls_on;
use crate::simulation::{BEGIN, ClientRequest, Fault, OpenRequest, Simulation};
use crate::world::span;
use lemonusher::{Arrival, Event, RequestId};
use std::time::Duration;

impl Simulation<'_> {
    /// First tries and repeats that are due.
    pub(crate) fn handle_arrivals(&mut self, begin: Duration, end: Duration) {
        while self.next_arrival <= self.now && self.next_arrival < end {
            let at = (self.next_arrival - begin).as_secs_f64();
            let surge = self.world.surge.filter(|surge| surge.from <= at && at < surge.to);
            let rate = self.world.requests_per_second * surge.map_or(1.0, |surge| surge.times);
            self.next_arrival += span(self.dice.wait(1.0 / rate));
            self.requests_started += 1;
            let (request, group) = (self.requests_started, self.draw_class());
            self.requests.insert(request, ClientRequest { group, first: self.now, tries: 0 });
            self.interval().classes[group].requests += 1;
            self.send_try(request);
        }
        while let Some((_, request)) = self.retries.first().copied().filter(|(at, _)| *at <= self.now) {
            self.retries.pop_first();
            self.send_try(request);
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut drawn = self.dice.share();
        for (number, group) in self.world.request_classes.iter().enumerate() {
            drawn -= group.share;
            if drawn < 0.0 {
                return number;
            }
        }
        self.world.request_classes.len() - 1
    }

    pub(crate) fn table_group(&self, request: u64, group: usize) -> u64 {
        let tables = &self.tables[group];
        if self.world.request_classes[group].zipf_exponent == 0.0 {
            return request % tables.len() as u64;
        }
        falls_on(tables, Dice::new(request ^ self.seed.rotate_left(32)).share()) as u64
    }

    /// A client asks a front, for the first time or again.
    fn send_try(&mut self, request: u64) {
        let front = falls_on(&self.traffic, self.dice.share());
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
        let ClientRequest { group, first, tries } = *known;
        let limit = self.limit(group, first);
        let keys = self.world.request_classes[group].keys;
        let key = (keys > 0).then(|| request % keys);
        self.next += 1;
        let id = self.next;
        self.report.tries += 1;
        self.interval().tries += 1;
        self.observe(Observation::TryArrived { front, id, request, group, key, limit });
        let held = OpenRequest { id, request, group, arrived: self.now, limit, attempts: 0 };
        self.fronts[front].open_requests.insert(name.clone(), held);
        self.may_depart(front, &name, group, id);
        let marked = self.world.clients.is_none_or(|clients| clients.marked);
        let table_group = self.table_group(request, group);
        self.fronts[front].events.push_back(Event::Arrived(Arrival {
            request: name,
            request_class: group,
            table_group,
            key: key.filter(|_| self.fault != Fault::ForgetsKeys),
            client_timeout: limit - self.now,
            work: None,
            memory_mb: 0.0,
            client_retry: tries > 1 && marked,
        }));
    }

    /// Until when a try that comes now is waited for.
    fn limit(&self, group: usize, first: Duration) -> Duration {
        let whole = span(self.world.request_classes[group].deadline_s);
        match self.world.clients {
            Some(clients) => (first + whole).min(self.now + whole.mul_f64(clients.try_share)),
            None => self.now + whole,
        }
    }

    /// Some clients leave before their time is over.
    fn may_depart(&mut self, front: usize, name: &RequestId, group: usize, id: u64) {
        let Some(clients) = self.world.clients else { return };
        if self.dice.share() < clients.impatient {
            let after = span(self.world.request_classes[group].deadline_s * 0.5 * self.dice.share());
            self.departures.insert((self.now + after, id), (front, name.clone()));
        }
    }

    pub(crate) fn handle_departures(&mut self) {
        while let Some(due) = self.departures.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, id), (front, name)) = due.remove_entry();
            let front = &mut self.fronts[front];
            if front.open_requests.get(&name).is_some_and(|held| held.id == id) {
                front.open_requests.remove(&name);
                front.events.push_back(Event::ClientGone(name));
                self.observe(Observation::ClientGone { id });
            }
        }
    }

    /// A rejected client may ask again after a while.
    pub(crate) fn reject(&mut self, held: &OpenRequest, come_back: Option<Duration>) {
        self.report.rejected += 1;
        self.interval().rejected += 1;
        self.answer(held.id);
        let Some(clients) = self.world.clients else {
            if self.dice.share() < self.world.retry_share {
                let wait = come_back.unwrap_or(Duration::from_millis(500));
                self.retries.insert((self.now + wait, held.request));
            }
            return;
        };
        let Some(request) = self.requests.get(&held.request).copied() else { return };
        let doubled = f64::from(1 << (request.tries - 1).min(16));
        let own = span(self.dice.between(clients.back_off) * doubled);
        let honours = self.dice.share() < clients.honour;
        let at = self.now + come_back.filter(|_| honours).unwrap_or(own);
        if request.tries < clients.tries
            && at < request.first + span(self.world.request_classes[held.group].deadline_s)
        {
            self.retries.insert((at, held.request));
        }
    }

    /// Counts a request that was served.
    pub(crate) fn count_served(&mut self, held: &OpenRequest, work: f64) {
        let goal = span(self.world.request_classes[held.group].latency_objective_s) + span(work * 1.5);
        self.report.in_objective += u64::from(self.now - held.arrived <= goal);
        let Some(request) = self.requests.remove(&held.request) else { return };
        let in_objective = self.now - request.first <= goal;
        let count = &mut self.report.statistics.at((request.first - BEGIN).as_secs_f64()).classes[held.group];
        count.served += 1;
        count.in_objective += u64::from(in_objective);
    }
}
