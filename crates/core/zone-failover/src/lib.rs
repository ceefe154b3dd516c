//! The fleet's plan for the loss of a whole site (docs/site-loss.md).
//!
//! Each front tells what it sees ([`Report`]). Whoever holds the lease weighs it ([`Judge`]), moves each site through
//! its states ([`Course`]), works out who is served where and who is refused ([`allocate`]), and has the [`Plan`]
//! settled in a register. Every front follows it ([`Follow`]); one that hears nothing goes by a rule that is safe if
//! all do the same. Nothing here opens sockets, reads clocks or draws chance.

mod course;
mod door;
mod eyes;
mod follow;
mod holder;
mod judge;
mod plan;

pub use course::{Course, Step};
pub use door::Door;
pub use eyes::{Ended, Eyes, with};
pub use follow::{Closure, Effect, Follow, Own, planned};
pub use holder::{Holder, Shown, Want};
pub use judge::{Evidence, Finding, Judge};
pub use plan::{Allocation, Capacity, Group, allocate};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A site is a zone, by its number in the deployment.
pub type Site = u32;
/// Sites and request classes at most; what lies beyond is no part of any plan.
pub const MOST_SITES: usize = 16;
pub const MOST_GROUPS: usize = 64;
/// All of a site's engines are open.
pub const ALL: u16 = 1000;

/// What an operator states of site loss, alike at every front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// How often a front tells what it sees.
    pub period: Duration,
    /// For how long the evidence must last before a site counts as lost.
    pub confirm: Duration,
    /// For how long a site that is tried out must answer before it returns.
    pub steady: Duration,
    /// The least time between two steps of a return.
    pub pace: Duration,
    /// How long a lost site is left alone before it is tried out; doubled with each loss in a row, 16-fold at most.
    pub wait: Duration,
    /// The part of a site's cores that a plan fills.
    pub safe: f64,
    /// The part of each request class's demand that no plan refuses, as far as it can run at all.
    pub floor: f64,
    /// A front that has not been sure of the plan for so long goes by itself.
    pub stale: Duration,
}

impl Terms {
    /// What is wrong with them, if anything.
    pub fn wrong(&self) -> Option<&'static str> {
        if self.period.is_zero() || self.confirm < self.period * 2 {
            return Some("a loss is confirmed over two periods at least");
        }
        // What is no number lies in no range.
        if !(f64::MIN_POSITIVE..=1.0).contains(&self.safe) || !(0.0..=0.5).contains(&self.floor) {
            return Some("the safe part goes up to 1, the floor up to 0.5");
        }
        (self.stale < self.period * 4).then_some("a plan is stale after four periods at least")
    }
}

/// What one front saw of one site over the last period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    pub site: Site,
    /// Engines that the list names as ready, and the cores of these.
    pub listed: u16,
    pub cores: u32,
    /// Of those that it has tried lately: how many answer, and how many do not.
    pub answering: u16,
    pub silent: u16,
    /// Attempts that returned, that took far longer than their work, and that failed.
    pub returned: u32,
    pub slow: u32,
    pub failed: u32,
}

/// How much of a request class one front is asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second, also those that were refused.
    pub rate: f32,
    /// Work of one, in seconds on one thread; zero where no answer has told any yet.
    pub work: f32,
}

/// What a front tells, each period.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Where the front stands.
    pub stands: Site,
    pub sights: Vec<Sight>,
    /// In the order of the request classes.
    pub demand: Vec<Demand>,
}

/// How a site stands, as the fleet has settled it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    #[default]
    Up,
    /// Evidence speaks against it, not yet for long enough; nothing is moved yet, and no return goes on.
    Doubt,
    /// Nothing is sent there.
    Lost,
    /// Its own fronts use it, the others can't reach it.
    Cut,
    /// One front tries it out.
    Trial,
    /// It is opened step by step.
    Returning,
    /// An operator has it out.
    Out,
}

/// What an operator wants of a site.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Wish {
    #[default]
    Auto,
    /// Taken out in steps, and kept out.
    Out,
    /// The same, and given back by itself if outcomes worsen.
    Drill,
    /// Not returned until told.
    HoldReturn,
    /// Returned at twice the pace.
    Hurry,
}

/// A site in the plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SitePlan {
    pub state: State,
    /// The part of its engines that is open, in thousandths.
    pub open: u16,
    /// A bit for each request class that may not go there yet.
    pub barred: u64,
    /// Losses in a row, which make the next wait longer.
    pub losses: u8,
}

/// What all fronts follow. Its epoch is the stamp of the register that holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub sites: Vec<SitePlan>,
    /// By request class: the part that is let in, in thousandths.
    pub admitted: Vec<u16>,
    /// When what is refused may hope for more, in ms from now.
    pub back_ms: u32,
    /// The front that tries sites out, by its life.
    pub tries: u64,
}

impl Plan {
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// None for what is no plan.
    pub fn from_bytes(bytes: &[u8]) -> Option<Plan> {
        let plan: Plan = postcard::from_bytes(bytes).ok()?;
        let fits = plan.sites.len() <= MOST_SITES && plan.admitted.len() <= MOST_GROUPS;
        (fits && plan.sites.iter().all(|site| site.open <= ALL)).then_some(plan)
    }
}
