//! Clients: what they ask for, where, how long they wait, and when they leave or ask again.

use crate::Dice;
use crate::check::Seen;
use crate::run::{BEGIN, Fault, Held, Run};
use crate::world::span;
use lemonusher::{Arrival, Event, RequestId};
use std::time::Duration;

/// A client's request, over all its tries.
#[derive(Clone, Copy)]
pub(crate) struct Request {
    pub group: usize,
    pub first: Duration,
    pub tries: u32,
}

/// Running sums, of which the last is the whole.
pub(crate) fn running_sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    parts
        .scan(0.0, |sum, part| {
            *sum += part;
            Some(*sum)
        })
        .collect()
}

/// Where a share of the whole falls.
fn falls_on(sums: &[f64], share: f64) -> usize {
    let whole = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= share * whole).min(sums.len().saturating_sub(1))
}

impl Run<'_> {
    /// First tries and repeats that are due.
    pub(crate) fn arrive(&mut self, begin: Duration, end: Duration) {
        while self.next_arrival <= self.now && self.next_arrival < end {
            let at = (self.next_arrival - begin).as_secs_f64();
            let surge = self.world.surge.filter(|surge| surge.from <= at && at < surge.to);
            let rate = self.world.per_second * surge.map_or(1.0, |surge| surge.times);
            self.next_arrival += span(self.dice.wait(1.0 / rate));
            self.asked += 1;
            let (request, group) = (self.asked, self.group());
            self.requests.insert(request, Request { group, first: self.now, tries: 0 });
            self.span().classes[group].asked += 1;
            self.ask(request);
        }
        while let Some((_, request)) = self.again.first().copied().filter(|(at, _)| *at <= self.now) {
            self.again.pop_first();
            self.ask(request);
        }
    }

    fn group(&mut self) -> usize {
        let mut drawn = self.dice.share();
        for (number, group) in self.world.groups.iter().enumerate() {
            drawn -= group.share;
            if drawn < 0.0 {
                return number;
            }
        }
        self.world.groups.len() - 1
    }

    pub(crate) fn tables_of(&self, request: u64, group: usize) -> u64 {
        let tables = &self.tables[group];
        if self.world.groups[group].zipf == 0.0 {
            return request % tables.len() as u64;
        }
        falls_on(tables, Dice::new(request ^ self.seed.rotate_left(32)).share()) as u64
    }

    /// A client asks a front, for the first time or again.
    fn ask(&mut self, request: u64) {
        let front = falls_on(&self.traffic, self.dice.share());
        let repeats = self.requests.get(&request).map_or(0, |known| known.tries);
        let name: RequestId = match self.world.clients {
            Some(_) if repeats > 0 => format!("b{request}.{repeats}").into(),
            _ => format!("b{request}").into(),
        };
        if self.fronts[front].held.contains_key(&name) {
            return;
        }
        let Some(known) = self.requests.get_mut(&request) else { return };
        known.tries += 1;
        let Request { group, first, tries } = *known;
        let limit = self.limit(group, first);
        let keys = self.world.groups[group].keys;
        let key = (keys > 0).then(|| request % keys);
        self.next += 1;
        let id = self.next;
        self.report.asked += 1;
        self.span().tries += 1;
        self.see(Seen::Asked { front, id, request, group, key, limit });
        let held = Held { id, request, group, asked: self.now, limit, attempts: 0 };
        self.fronts[front].held.insert(name.clone(), held);
        self.may_leave(front, &name, group, id);
        let marked = self.world.clients.is_none_or(|clients| clients.marked);
        let table_group = self.tables_of(request, group);
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
        let whole = span(self.world.groups[group].limit);
        match self.world.clients {
            Some(clients) => (first + whole).min(self.now + whole.mul_f64(clients.try_share)),
            None => self.now + whole,
        }
    }

    /// Some clients leave before their time is over.
    fn may_leave(&mut self, front: usize, name: &RequestId, group: usize, id: u64) {
        let Some(clients) = self.world.clients else { return };
        if self.dice.share() < clients.impatient {
            let after = span(self.world.groups[group].limit * 0.5 * self.dice.share());
            self.leaving.insert((self.now + after, id), (front, name.clone()));
        }
    }

    pub(crate) fn leave(&mut self) {
        while let Some(due) = self.leaving.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, id), (front, name)) = due.remove_entry();
            let front = &mut self.fronts[front];
            if front.held.get(&name).is_some_and(|held| held.id == id) {
                front.held.remove(&name);
                front.events.push_back(Event::ClientGone(name));
                self.see(Seen::Left { id });
            }
        }
    }

    /// A rejected client may ask again after a while.
    pub(crate) fn rejected(&mut self, held: &Held, come_back: Option<Duration>) {
        self.report.pushed_back += 1;
        self.span().rejected += 1;
        self.answered(held.id);
        let Some(clients) = self.world.clients else {
            if self.dice.share() < self.world.ask_again {
                let wait = come_back.unwrap_or(Duration::from_millis(500));
                self.again.insert((self.now + wait, held.request));
            }
            return;
        };
        let Some(request) = self.requests.get(&held.request).copied() else { return };
        let doubled = f64::from(1 << (request.tries - 1).min(16));
        let own = span(self.dice.between(clients.back_off) * doubled);
        let honours = self.dice.share() < clients.honour;
        let at = self.now + come_back.filter(|_| honours).unwrap_or(own);
        if request.tries < clients.tries && at < request.first + span(self.world.groups[held.group].limit) {
            self.again.insert((at, held.request));
        }
    }

    /// Counts a request that was served.
    pub(crate) fn served(&mut self, held: &Held, work: f64) {
        let goal = span(self.world.groups[held.group].goal) + span(work * 1.5);
        self.report.in_goal += u64::from(self.now - held.asked <= goal);
        let Some(request) = self.requests.remove(&held.request) else { return };
        let in_goal = self.now - request.first <= goal;
        let count = &mut self.report.tally.at((request.first - BEGIN).as_secs_f64()).classes[held.group];
        count.served += 1;
        count.in_goal += u64::from(in_goal);
    }
}
