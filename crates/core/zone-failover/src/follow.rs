//! What a front makes of the plan, and what it does when it can't hear of one.
//!
//! The solitary rule: a front that has not been sure of the plan for [`crate::Terms::stale`] keeps to the last one,
//! opens nothing further, closes what it finds dead by itself, and lets in no more work than its own part (its seat's
//! share) of what the sites that are left can take. All parts together are one at most, so the sum over all fronts that
//! hear nothing, and those that do, stays within what the sites bear.

use crate::{
    ALL, Capacity, Course, Finding, Group, MOST_SITES, Plan, Site, SitePlan, State, Terms, allocate, course,
};
use std::time::Duration;

/// A site of which less than this part bears its load is no longer whole.
const WELL: f64 = 0.6;

/// Which of a site's engines may be used by this front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closure {
    pub site: Site,
    /// In thousandths of its engines.
    pub open: u16,
    /// A bit for each request class that may not go there.
    pub barred: u64,
}

/// What holds at this front from now on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Effect {
    /// The register's stamp, era and version, of the plan followed; none of its own rule.
    pub epoch: Option<(u64, u64)>,
    pub closures: Vec<Closure>,
    /// By request class: the part that is let in, from 0 to 1.
    pub admitted: Vec<f64>,
    /// When what is refused may come again at the earliest, spread over as much again.
    pub back: Duration,
    /// It goes by itself.
    pub solitary: bool,
}

/// What a front knows by itself.
#[derive(Debug, Clone, Default)]
pub struct Own {
    /// By site: what it finds, and the cores that the list names there.
    pub found: Vec<(Finding, u32)>,
    /// What it is asked for.
    pub groups: Vec<Group>,
    /// Its part of what is shared.
    pub share: f64,
}

#[derive(Debug, Clone)]
pub struct Follow {
    stands: Site,
    life: u64,
    epoch: Option<(u64, u64)>,
    plan: Plan,
    sure: Duration,
    /// Since when it finds each site dead by itself.
    dead: [Option<Duration>; MOST_SITES],
    /// What it admits by itself, settled anew each period, with when.
    alone: Option<(Duration, Vec<f64>)>,
}

impl Follow {
    pub fn new(now: Duration, stands: Site, life: u64) -> Follow {
        Follow {
            stands,
            life,
            epoch: None,
            plan: Plan::default(),
            sure: now,
            dead: [None; MOST_SITES],
            alone: None,
        }
    }

    pub fn epoch(&self) -> Option<(u64, u64)> {
        self.epoch
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// A majority shows this plan, of this epoch. One that is older than what is followed changes nothing.
    pub fn hear(&mut self, now: Duration, epoch: (u64, u64), plan: &Plan) {
        if Some(epoch) < self.epoch {
            return;
        }
        self.sure = self.sure.max(now);
        if self.epoch != Some(epoch) {
            (self.epoch, self.plan) = (Some(epoch), plan.clone());
        }
    }

    /// A majority shows that nothing was ever settled: all is as without a plan.
    pub fn none(&mut self, now: Duration) {
        if self.epoch.is_none() {
            self.sure = self.sure.max(now);
        }
    }

    pub fn solitary(&self, now: Duration, terms: &Terms) -> bool {
        now > self.sure + terms.stale
    }

    /// What holds now.
    pub fn effect(&mut self, now: Duration, terms: &Terms, own: &Own) -> Effect {
        let solitary = self.solitary(now, terms);
        let mut closures = Vec::new();
        for site in 0..own.found.len().max(self.plan.sites.len()).min(MOST_SITES) {
            let planned = self.plan.sites.get(site).copied();
            let planned = planned.unwrap_or(SitePlan { open: ALL, ..SitePlan::default() });
            let mut closure = self.closure(site as Site, &planned);
            let found = own.found.get(site).map_or(Finding::Unseen, |(found, _)| *found);
            let dead = &mut self.dead[site];
            match found {
                Finding::Gone | Finding::CutOff => *dead = dead.or(Some(now)),
                // Once closed nothing is sent there, and nothing is seen: it stays closed until the plan is heard.
                Finding::Unseen => {}
                _ => *dead = None,
            }
            if !solitary {
                *dead = dead.filter(|_| found != Finding::Unseen);
            } else if dead.is_some_and(|from| now >= from + terms.confirm) && site as Site != self.stands {
                closure.open = 0;
            }
            if closure.open < ALL || closure.barred != 0 {
                closures.push(closure);
            }
        }
        let mut admitted: Vec<f64> =
            self.plan.admitted.iter().map(|part| f64::from(*part) / f64::from(ALL)).collect();
        // With nothing closed there is nothing to ration, and an uneven load is no reason to refuse any.
        let narrow = !closures.is_empty() || self.dead.iter().any(Option::is_some);
        if solitary && narrow {
            admitted = self.own_part(now, terms, own, &closures);
        } else {
            self.alone = None;
        }
        let back = Duration::from_millis(u64::from(self.plan.back_ms));
        Effect { epoch: self.epoch, closures, admitted, back, solitary }
    }

    fn closure(&self, site: Site, planned: &SitePlan) -> Closure {
        let here = site == self.stands;
        let open = match planned.state {
            State::Up | State::Doubt => ALL,
            State::Cut if here => ALL,
            // Whoever stands there tells soonest whether it lives; and one front elsewhere.
            State::Trial if here || self.plan.tries == self.life => ALL,
            State::Lost | State::Cut | State::Trial => 0,
            State::Returning | State::Out => planned.open,
        };
        let barred = if planned.state == State::Returning { planned.barred } else { 0 };
        Closure { site, open, barred }
    }

    /// This front's part of what is left, by the same planner; never more than the last plan let in.
    fn own_part(&mut self, now: Duration, terms: &Terms, own: &Own, closures: &[Closure]) -> Vec<f64> {
        if let Some((at, admitted)) = &self.alone
            && now < *at + terms.period
        {
            return admitted.clone();
        }
        let open = |site: usize| {
            // Also its own site, which it goes on trying, bears nothing if it finds it dead.
            if self.dead[site.min(MOST_SITES - 1)].is_some_and(|from| now >= from + terms.confirm) {
                return 0.0;
            }
            let closed = closures.iter().find(|closure| closure.site as usize == site);
            closed.map_or(1.0, |closure| f64::from(closure.open) / f64::from(ALL))
        };
        let capacities = own.found.iter().take(MOST_SITES).enumerate().map(|(site, (_, cores))| Capacity {
            site: site as Site,
            work: f64::from(*cores) * terms.safe * open(site) * own.share.clamp(0.0, 1.0),
        });
        let capacities: Vec<Capacity> = capacities.collect();
        let mut admitted = allocate(&own.groups, &capacities).served;
        for (part, planned) in admitted.iter_mut().zip(&self.plan.admitted) {
            *part = part.min(f64::from(*planned) / f64::from(ALL));
        }
        self.alone = Some((now, admitted.clone()));
        admitted
    }
}

/// The plan for these courses, given what is asked for and what each site can take.
pub fn planned(
    courses: &[Course],
    groups: &[Group],
    cores: &[(u32, f64)],
    terms: &Terms,
    tries: u64,
) -> (Plan, crate::Allocation) {
    let works: Vec<f64> = groups.iter().map(|group| group.work).collect();
    let mut sites: Vec<SitePlan> = courses.iter().map(|course| course.plan).collect();
    for site in sites.iter_mut().filter(|site| site.state == State::Returning) {
        site.barred = course::barred(site.open, &works);
    }
    let capacities: Vec<Capacity> = (sites.iter().zip(cores).enumerate())
        .map(|(number, (site, (cores, part)))| {
            let open = match site.state {
                State::Up | State::Doubt | State::Cut => 1.0,
                State::Lost | State::Trial => 0.0,
                State::Returning | State::Out => f64::from(site.open) / f64::from(ALL),
            };
            let work = f64::from(*cores) * part.clamp(0.0, 1.0) * terms.safe * open;
            Capacity { site: number as Site, work }
        })
        .collect();
    let allocation = allocate(groups, &capacities);
    // With all sites up and well there is nothing to ration: what engines bear is then better known to each front's
    // gateway than to any plan.
    let up = sites.iter().all(|site| matches!(site.state, State::Up | State::Doubt));
    let whole = up && cores.iter().all(|(_, part)| *part >= WELL);
    let admitted =
        allocation.served.iter().map(|part| if whole { ALL } else { (part * f64::from(ALL)).round() as u16 });
    let admitted = admitted.collect();
    let back = if whole { terms.pace / 4 } else { terms.pace };
    let plan = Plan { sites, admitted, back_ms: back.as_millis() as u32, tries };
    (plan, allocation)
}
