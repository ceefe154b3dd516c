//! Whoever holds the lease: it settles what goes next, releases what all have let go, and takes back what returns.

use crate::{Fleet, LetGo, MOST_WORKS, Machine, Phase, Reserve, Terms, Work};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Attempts elsewhere that fail or are slow beyond this part stop the queue.
const WORSE: f64 = 0.2;
/// Moves settled at once, so that one change stays small.
const STEPS: usize = 4;

/// What is to be settled: this request's register, if what stands there is still of this stamp.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub work: u8,
    pub after: (u64, u64),
    pub value: Work,
}

/// What is wanted of the registers.
#[derive(Debug, Clone, PartialEq)]
pub enum Want {
    /// What stands there, by a whole round, which also ends whatever an earlier foreman may still have under way.
    Read(u8),
    Settle(Change),
}

/// What the foreman is told of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub fleet: Fleet,
    /// The part of attempts that fail or are slow.
    pub worse: f64,
    /// Sites that are not up by the plan for lost sites.
    pub sites_down: bool,
}

/// Why a request waits, for its operator; or who is to be told that a machine is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Waits { work: u8, machine: Machine, why: String },
    Released { work: u8, machine: Machine, number: u64 },
}

#[derive(Debug, Clone, Default)]
pub struct Foreman {
    works: BTreeMap<u8, ((u64, u64), Work)>,
    /// By machine and request: the fronts that have let go, and under which stamp.
    gone: BTreeMap<(u8, Machine), BTreeMap<String, (u64, u64)>>,
    /// Since when each machine is in its phase, as this foreman has seen; a new one counts anew.
    since: BTreeMap<(u8, Machine), (Phase, Duration)>,
    asked: BTreeMap<u8, Duration>,
    next: Duration,
    waits: Vec<Told>,
    /// The number of the lease under which it acts.
    held: Option<u64>,
    /// Requests of which it does not know for sure what stands there: nothing is drained before it does, as what an
    /// earlier foreman has out, or a change of its own with an unknown end, would not be counted.
    unread: BTreeSet<u8>,
    /// A round is under way.
    busy: bool,
}

impl Foreman {
    /// A majority shows this request.
    pub fn hear(&mut self, now: Duration, number: u8, stamp: (u64, u64), work: Work) {
        if usize::from(number) >= MOST_WORKS
            || self.works.get(&number).is_some_and(|(known, _)| *known >= stamp)
        {
            return;
        }
        for (machine, phase) in &work.machines {
            let at = (number, *machine);
            if self.since.get(&at).is_none_or(|(known, _)| known != phase) {
                self.since.insert(at, (*phase, now));
                if *phase == Phase::Draining {
                    self.gone.remove(&at);
                }
            }
        }
        self.since.retain(|(other, machine), _| *other != number || work.phase(*machine).is_some());
        self.asked.entry(number).or_insert(now);
        self.works.insert(number, (stamp, work));
    }

    /// The lease is held under this number, or not held.
    pub fn holds(&mut self, number: Option<u64>) {
        if self.held != number {
            self.held = number;
            self.unread = (0..MOST_WORKS as u8).collect();
            self.busy = false;
        }
    }

    pub fn acts(&self) -> bool {
        self.held.is_some()
    }

    /// A whole round has shown what stands there.
    pub fn settled(&mut self, now: Duration, number: u8, stands: Option<((u64, u64), Work)>) {
        self.busy = false;
        self.unread.remove(&number);
        match stands {
            Some((stamp, work)) => self.hear(now, number, stamp, work),
            None => _ = self.works.remove(&number),
        }
    }

    /// A round came to no known end.
    pub fn failed(&mut self, number: u8) {
        self.busy = false;
        self.unread.insert(number);
    }

    /// A front that counts says that it has let go.
    pub fn let_go(&mut self, front: &str, told: &[LetGo]) {
        for LetGo { work, stamp, machine } in told {
            let known = self.works.get(work).and_then(|(_, work)| work.phase(*machine));
            if known == Some(Phase::Draining) {
                self.gone.entry((*work, *machine)).or_default().insert(front.to_owned(), *stamp);
            }
        }
    }

    /// Machines that are out, over all requests.
    pub fn out(&self) -> BTreeSet<Machine> {
        let all = self.works.values().flat_map(|(_, work)| &work.machines);
        all.filter(|(_, phase)| phase.out()).map(|(machine, _)| *machine).collect()
    }

    /// Why requests wait, as of the last turn.
    pub fn waits(&self) -> &[Told] {
        &self.waits
    }

    /// Machines that are released: whoever works on them is told again and again until they are back.
    pub fn released(&self) -> Vec<Told> {
        let mut all = Vec::new();
        for (number, (_, work)) in &self.works {
            for (machine, phase) in &work.machines {
                if let Phase::Released { number: under } = phase {
                    all.push(Told::Released { work: *number, machine: *machine, number: *under });
                }
            }
        }
        all
    }

    /// What is wanted next, one thing at a time; nothing while the lease is not held.
    pub fn turn(&mut self, now: Duration, terms: &Terms, seen: &Seen) -> Option<Want> {
        let number = self.held.filter(|_| !self.busy)?;
        if let Some(unread) = self.unread.first().copied() {
            self.busy = true;
            return Some(Want::Read(unread));
        }
        if now < self.next {
            return None;
        }
        self.next = now + terms.period;
        self.waits.clear();
        let change = self.returns(now, terms, seen).or_else(|| self.releases(terms, number));
        let change = change.or_else(|| self.drains(now, terms, seen))?;
        self.busy = true;
        Some(Want::Settle(change))
    }

    fn change(&self, work: u8, moves: &[(Machine, Phase)]) -> Option<Change> {
        let (after, value) = self.works.get(&work)?;
        let mut value = value.clone();
        moves.iter().for_each(|(machine, phase)| value.set(*machine, *phase));
        Some(Change { work, after: *after, value })
    }

    /// What is back and has answered for long enough is done.
    fn returns(&mut self, now: Duration, terms: &Terms, seen: &Seen) -> Option<Change> {
        for (number, (_, work)) in &self.works {
            for (machine, phase) in work.machines.iter().filter(|(_, phase)| *phase == Phase::Back) {
                let answers = seen.fleet.machines.get(machine).is_some_and(|(_, _, answers)| *answers);
                let at = self.since.entry((*number, *machine)).or_insert((*phase, now));
                if !answers {
                    at.1 = now;
                    let why = "it was told as back, but does not answer".to_owned();
                    self.waits.push(Told::Waits { work: *number, machine: *machine, why });
                } else if now >= at.1 + terms.steady {
                    let (work, machine) = (*number, *machine);
                    return self.change(work, &[(machine, Phase::Done)]);
                }
            }
        }
        None
    }

    /// What all who count have let go is released.
    fn releases(&mut self, terms: &Terms, number: u64) -> Option<Change> {
        for (work, (_, value)) in &self.works {
            for (machine, _) in value.machines.iter().filter(|(_, phase)| *phase == Phase::Draining) {
                let gone = self.gone.get(&(*work, *machine));
                let missing: Vec<&str> = (terms.fronts.iter())
                    .filter(|front| !value.leaves_out(&terms.fronts, front))
                    .filter(|front| gone.is_none_or(|gone| !gone.contains_key(*front)))
                    .map(String::as_str)
                    .collect();
                if missing.is_empty() {
                    return self.change(*work, &[(*machine, Phase::Released { number })]);
                }
                let why = format!("draining; {} have not let go: {}", missing.len(), missing.join(", "));
                self.waits.push(Told::Waits { work: *work, machine: *machine, why });
            }
        }
        None
    }

    /// What goes next: the most urgent request, then who has waited longest; of its machines those whose loss leaves
    /// most to spare.
    fn drains(&mut self, now: Duration, terms: &Terms, seen: &Seen) -> Option<Change> {
        let stop = self.stopped(now, seen);
        let mut order: Vec<u8> = self.works.keys().copied().collect();
        order.sort_by_key(|number| {
            let urgency = self.works[number].1.urgency;
            (std::cmp::Reverse(urgency), self.asked.get(number).copied().unwrap_or(now), *number)
        });
        let mut reserve = None;
        for number in order {
            let (_, work) = &self.works[&number];
            let asked: Vec<Machine> = (work.machines.iter())
                .filter(|(_, phase)| *phase == Phase::Asked)
                .map(|(machine, _)| *machine)
                .collect();
            let Some(first) = asked.first().copied() else { continue };
            let here = self.out_of(work);
            let room = usize::from(work.at_once).saturating_sub(here).min(STEPS);
            let wait = |why: &str| Told::Waits { work: number, machine: first, why: why.to_owned() };
            let why = match &stop {
                Some(why) => Some(why.clone()),
                None if work.held => Some("held by an operator".to_owned()),
                None if room == 0 => Some(format!("{here} of it are out, as many as asked for")),
                None => None,
            };
            if let Some(why) = why {
                self.waits.push(wait(&why));
                continue;
            }
            let reserve =
                reserve.get_or_insert_with(|| Reserve::new(seen.fleet.clone(), terms.keep, terms.margin));
            let mut out = self.out();
            let mut moves = Vec::new();
            let mut left: Vec<Machine> = asked
                .into_iter()
                .filter(|machine| reserve.knows(*machine) && !out.contains(machine))
                .collect();
            if left.is_empty() {
                self.waits.push(wait("it is not among the engines, or out for another"));
            }
            while moves.len() < room && !left.is_empty() {
                let spare = |machine: &Machine| {
                    let mut with = out.clone();
                    with.insert(*machine);
                    reserve.spare(&with)
                };
                let spares: Vec<f64> = left.iter().map(spare).collect();
                let best = (0..left.len()).max_by(|a, b| spares[*a].total_cmp(&spares[*b]).then(b.cmp(a)));
                let Some(best) = best.filter(|best| spares[*best] >= 1.0) else { break };
                let machine = left.remove(best);
                out.insert(machine);
                moves.push((machine, Phase::Draining));
            }
            if !moves.is_empty() {
                return self.change(number, &moves);
            }
            if !left.is_empty() {
                self.waits.push(wait("the rest could not carry it, or the loss of a site besides"));
            }
        }
        None
    }

    /// How many machines of the whole request are out, of which this may be a part.
    fn out_of(&self, work: &Work) -> usize {
        let out = |work: &Work| work.machines.iter().filter(|(_, phase)| phase.out()).count();
        if work.added.request == 0 {
            return out(work);
        }
        let parts = self.works.values().map(|(_, other)| other).filter(|other| other.is_part_with(work));
        parts.map(out).sum()
    }

    /// Why nothing further may be begun at all.
    fn stopped(&self, now: Duration, seen: &Seen) -> Option<String> {
        if seen.sites_down {
            return Some("a site is not up".to_owned());
        }
        if seen.worse > WORSE {
            return Some("outcomes have worsened".to_owned());
        }
        for ((number, machine), (phase, since)) in &self.since {
            let out = self.works.get(number).map_or(0, |(_, work)| work.out_s);
            let late = now >= *since + Duration::from_secs(u64::from(out.max(1)));
            if matches!(phase, Phase::Released { .. }) && late {
                return Some(format!("machine {machine:08x} has been out for longer than was asked"));
            }
        }
        None
    }
}
