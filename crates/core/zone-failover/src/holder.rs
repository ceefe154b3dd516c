//! What a voter does for the plan: it keeps what fronts tell, so that it can take the lease over at any time, and while it
//! holds the lease it moves the sites and says which plan is to be settled.

use crate::{
    Allocation, Course, Evidence, Finding, Group, Judge, MOST_SITES, Plan, Report, SitePlan, State, Step,
    Terms, Wish, planned, with,
};
use std::time::Duration;

/// Plans that differ by less in what they let in (in thousandths) are not worth an epoch.
const ALIKE: u16 = 20;
/// Periods between two plans that differ in nothing but what they let in.
const APART: u32 = 4;
/// Attempts that must have ended elsewhere before outcomes there are judged.
const ENOUGH: u32 = 10;

/// Where a holder stands with the register.
#[derive(Debug, Clone, PartialEq)]
enum Base {
    /// It has to learn what is settled first.
    Unknown,
    Reading,
    /// It builds on this epoch (none: nothing was ever settled) and plan.
    On(Option<(u64, u64)>, Option<Plan>),
    Writing(Plan),
}

/// What is to be done about the register.
#[derive(Debug, Clone, PartialEq)]
pub enum Want {
    Read,
    /// Settle this, if what stands there is still of this epoch, under this fencing number.
    Settle {
        after: Option<(u64, u64)>,
        number: u64,
        plan: Plan,
    },
}

/// A site as it is now, and in the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Shown {
    pub sites: Vec<(SitePlan, Finding, Evidence, f64)>,
    pub groups: Vec<Group>,
    pub allocation: Allocation,
}

#[derive(Debug, Clone)]
pub struct Holder {
    life: u64,
    stated: Vec<Group>,
    judge: Judge,
    /// By the fencing number of the lease that it holds.
    held: Option<(u64, Base, Vec<Course>)>,
    next: Duration,
    settled_at: Duration,
    steps: Vec<(usize, Step)>,
}

impl Holder {
    pub fn new(life: u64, stated: Vec<Group>) -> Holder {
        Holder {
            life,
            stated,
            judge: Judge::default(),
            held: None,
            next: Duration::ZERO,
            settled_at: Duration::ZERO,
            steps: Vec::new(),
        }
    }

    pub fn hear(&mut self, now: Duration, front: u64, report: Report) {
        self.judge.hear(now, front, report);
    }

    /// The lease is held under this number, or not held.
    pub fn holds(&mut self, number: Option<u64>) {
        let kept = self.held.as_ref().map(|(held, ..)| *held);
        if kept != number {
            self.held = number.map(|number| (number, Base::Unknown, Vec::new()));
        }
    }

    /// What is settled, as a whole round of the register has shown; this holder builds on it.
    pub fn settled(&mut self, now: Duration, epoch: Option<(u64, u64)>, plan: Option<Plan>) {
        let Some((_, base, courses)) = &mut self.held else { return };
        let own = matches!(&base, Base::Writing(wanted) if Some(wanted) == plan.as_ref());
        if !own {
            let known = plan.iter().flat_map(|plan| plan.sites.iter());
            *courses = known.map(|site| Course::new(now, *site)).collect();
        }
        self.settled_at = now;
        *base = Base::On(epoch, plan);
    }

    /// It could not be settled, or not be found out whether it was.
    pub fn failed(&mut self) {
        if let Some((_, base, _)) = &mut self.held {
            *base = Base::Unknown;
        }
    }

    /// What has been done to which site since this was last asked.
    pub fn steps(&mut self) -> Vec<(usize, Step)> {
        std::mem::take(&mut self.steps)
    }

    /// Once a period: moves the sites on, and says what is wanted of the register.
    pub fn turn(&mut self, now: Duration, terms: &Terms, wishes: &[Wish]) -> Option<Want> {
        if now < self.next {
            return None;
        }
        self.next = now + terms.period;
        self.judge.turn(now, terms.period);
        let all = self.judge.sites();
        let (number, base, courses) = self.held.as_mut()?;
        let (epoch, settled) = match base {
            Base::Unknown => {
                *base = Base::Reading;
                return Some(Want::Read);
            }
            Base::Reading | Base::Writing(_) => return None,
            Base::On(epoch, settled) => (*epoch, settled.clone()),
        };
        while courses.len() < all.max(settled.as_ref().map_or(0, |plan| plan.sites.len())).min(MOST_SITES) {
            courses.push(Course::up(now));
        }
        let seen: Vec<(Finding, Evidence)> = (0..courses.len() as u32)
            .map(|site| (self.judge.finding(site), self.judge.evidence(site)))
            .collect();
        for (site, course) in courses.iter_mut().enumerate() {
            let others =
                seen.iter().enumerate().filter(|(other, (_, one))| *other != site && one.ended >= ENOUGH);
            let worse = others.map(|(_, (_, one))| one.worse).fold(0.0, f64::max);
            let wish = wishes.get(site).copied().unwrap_or_default();
            let step = course.turn(now, terms, seen[site].0, &seen[site].1, wish, worse);
            self.steps.extend(step.map(|step| (site, step)));
        }
        let groups = with(&self.stated, &self.judge.demand(self.stated.len()));
        let cores: Vec<(u32, f64)> = seen.iter().map(|(_, one)| (one.cores, one.part)).collect();
        let (plan, _) = planned(courses, &groups, &cores, terms, self.life);
        let changed = settled.as_ref().is_none_or(|old| {
            let moved = old.sites != plan.sites || old.tries != plan.tries;
            moved || (differs(old, &plan) && now >= self.settled_at + terms.period * APART)
        });
        if !changed {
            return None;
        }
        *base = Base::Writing(plan.clone());
        Some(Want::Settle { after: epoch, number: *number, plan })
    }

    /// The plan as it stands, or as it would be with these sites lost.
    pub fn show(&self, terms: &Terms, plan: &Plan, without: &[u32]) -> Shown {
        let all = self.judge.sites().max(plan.sites.len());
        let site = |number: usize| plan.sites.get(number).copied().unwrap_or(Course::up(Duration::ZERO).plan);
        let lost = SitePlan { state: State::Lost, open: 0, ..SitePlan::default() };
        let courses: Vec<Course> = (0..all)
            .map(|number| {
                let one = if without.contains(&(number as u32)) { lost } else { site(number) };
                Course::new(Duration::ZERO, one)
            })
            .collect();
        let groups = with(&self.stated, &self.judge.demand(self.stated.len()));
        let seen: Vec<(Finding, Evidence)> =
            (0..all as u32).map(|number| (self.judge.finding(number), self.judge.evidence(number))).collect();
        let cores: Vec<(u32, f64)> = seen.iter().map(|(_, one)| (one.cores, one.part)).collect();
        let (_, allocation) = planned(&courses, &groups, &cores, terms, self.life);
        let sites = courses.iter().zip(seen).enumerate().map(|(number, (course, (found, seen)))| {
            (course.plan, found, seen, allocation.filled.get(number).copied().unwrap_or(0.0))
        });
        Shown { sites: sites.collect(), groups, allocation }
    }
}

fn differs(old: &Plan, new: &Plan) -> bool {
    old.back_ms != new.back_ms
        || old.admitted.len() != new.admitted.len()
        || old.admitted.iter().zip(&new.admitted).any(|(old, new)| old.abs_diff(*new) > ALIKE)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{ALL, Demand, Sight};

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn terms() -> Terms {
        let (period, confirm, steady, pace) = (ms(500), ms(1500), ms(2000), ms(2000));
        let (wait, stale) = (ms(4000), ms(6000));
        Terms { period, confirm, steady, pace, wait, safe: 0.8, floor: 0.1, stale }
    }

    fn report(stands: u32, good: [bool; 2]) -> Report {
        let sight = |site: usize| Sight {
            site: site as u32,
            listed: 2,
            cores: 16,
            answering: if good[site] { 2 } else { 0 },
            silent: if good[site] { 0 } else { 2 },
            ..Sight::default()
        };
        let sights = (0..2).map(sight).collect();
        Report { stands, sights, demand: vec![Demand { rate: 10.0, work: 0.5 }] }
    }

    fn holder(life: u64) -> Holder {
        let group =
            Group { utility: 1.0, work: 0.5, rate: 0.0, goal: 1.0, limit: 20.0, floor: 0.1, only: None };
        Holder::new(life, vec![group])
    }

    fn round(holder: &mut Holder, now: &mut Duration, good: [bool; 2]) -> Option<Want> {
        *now += ms(500);
        (0..4).for_each(|front| holder.hear(*now, front, report(0, good)));
        holder.turn(*now, &terms(), &[])
    }

    #[test]
    fn a_holder_reads_first_builds_on_what_stands_and_settles_only_what_changes() {
        let (mut holder, mut now) = (holder(7), ms(0));
        assert_eq!(round(&mut holder, &mut now, [true; 2]), None, "it holds nothing");
        holder.holds(Some(5));
        assert_eq!(round(&mut holder, &mut now, [true; 2]), Some(Want::Read));
        assert_eq!(round(&mut holder, &mut now, [true; 2]), None, "it waits for what stands");
        holder.settled(now, None, None);
        let Some(Want::Settle { after: None, number: 5, plan }) = round(&mut holder, &mut now, [true; 2])
        else {
            panic!("nothing is settled at first");
        };
        assert_eq!((plan.sites.len(), plan.tries, plan.sites[1].open), (2, 7, ALL));
        holder.settled(now, Some((1, 1)), Some(plan));
        for _ in 0..20 {
            assert_eq!(round(&mut holder, &mut now, [true; 2]), None);
        }
        // The site is lost, and the next holder goes on from there.
        let mut wanted = None;
        while !matches!(&wanted, Some(Want::Settle { plan, .. }) if plan.sites[1].state == State::Lost) {
            wanted = round(&mut holder, &mut now, [true, false]);
            if let Some(Want::Settle { plan, .. }) = &wanted {
                holder.settled(now, Some((1, 2)), Some(plan.clone()));
            }
        }
        let Some(Want::Settle { plan, .. }) = wanted else { unreachable!() };
        let (mut next, mut later) = (self::holder(8), now);
        next.holds(Some(6));
        assert_eq!(round(&mut next, &mut later, [true, false]), Some(Want::Read));
        next.settled(later, Some((1, 3)), Some(plan));
        let Some(Want::Settle { after: Some((1, 3)), number: 6, plan }) =
            round(&mut next, &mut later, [true, false])
        else {
            panic!("the new holder names itself as the one who tries out");
        };
        assert_eq!(plan.sites[1].state, State::Lost);
    }

    #[test]
    fn one_who_was_overtaken_or_lost_the_lease_starts_from_what_stands() {
        let (mut holder, mut now) = (holder(7), ms(0));
        holder.holds(Some(5));
        round(&mut holder, &mut now, [true; 2]);
        holder.settled(now, None, None);
        assert!(matches!(round(&mut holder, &mut now, [true; 2]), Some(Want::Settle { .. })));
        holder.failed();
        assert_eq!(round(&mut holder, &mut now, [true; 2]), Some(Want::Read));
        holder.holds(None);
        assert_eq!(round(&mut holder, &mut now, [true; 2]), None);
        holder.settled(now, Some((1, 9)), None);
        holder.holds(Some(8));
        assert_eq!(round(&mut holder, &mut now, [true; 2]), Some(Want::Read));
    }

    #[test]
    fn a_loss_that_the_rest_could_not_carry_is_shown_before_it_happens() {
        let (mut holder, mut now) = (holder(7), ms(0));
        for _ in 0..10 {
            round(&mut holder, &mut now, [true; 2]);
        }
        let plan = Plan::default();
        let now_served = holder.show(&terms(), &plan, &[]).allocation.served[0];
        let then = holder.show(&terms(), &plan, &[1]);
        assert!(now_served > 0.99 && then.allocation.served[0] < 0.7, "{now_served} {:?}", then.allocation);
        assert_eq!((then.sites[1].0.state, then.sites[1].3), (State::Lost, 0.0));
        assert_eq!(holder.show(&terms(), &plan, &[0, 1]).allocation.nowhere, [1.0]);
    }
}
