//! The one task that owns the gateway. What sockets have heard reaches it by a bounded queue; it tells the
//! gateway, lets it decide, and carries out what it wants. It decides nothing itself and names no protocol.

mod clock;
mod counters;
mod managed;
mod owner;
mod watched;

pub use clock::Clock;
pub use counters::{Counters, Kind};
pub use managed::{Engine, Managed, Noticed, Snapshot};
pub use owner::{Limits, Owner};
pub use watched::{Seen, groups};

use lemonusher::{
    AttemptOutcome, AttemptProgress, EndpointUpdateKind, EngineId, EngineState, LoadReport, RequestId,
    ResourceUsage,
};
use lemonusher_zone_failover::Effect;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of an attempt or probe, new for each.
pub type Token = u64;

/// Where the answer to a request goes.
pub trait Asker {
    /// Gives the one final answer to what came under this ticket.
    fn answer(&self, ticket: u64, answer: Answer);
}

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Returned(Vec<u8>),
    PushedBack(Option<Duration>),
    Errored,
}

/// A request as its client sent it.
pub struct Taken {
    pub asker: Rc<dyn Asker>,
    pub ticket: u64,
    pub request: RequestId,
    pub service_group: usize,
    pub table_group: u64,
    pub patience: Duration,
    pub repeat: bool,
    pub statement: Rc<[u8]>,
}

/// An engine as the list names it.
#[derive(Debug, Clone)]
pub struct Listed {
    pub engine: EngineId,
    pub address: SocketAddr,
    pub location: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: EngineState,
    /// Unix time of a late start.
    pub started: Option<Duration>,
}

/// What the owner hears.
pub enum Heard {
    Taken(Taken),
    /// Who asked for this request under this ticket no longer waits.
    Left {
        asker: Rc<dyn Asker>,
        ticket: u64,
        request: RequestId,
    },
    Roster(EndpointUpdateKind, Vec<Listed>),
    /// The one outcome of an attempt; what it returned, if it did.
    Ended {
        token: Token,
        outcome: AttemptOutcome,
        cost: Option<ResourceUsage>,
        load: Option<LoadReport>,
        rows: Vec<u8>,
    },
    Noted {
        token: Token,
        note: AttemptProgress,
    },
    /// The one outcome of a probe.
    Probed {
        token: Token,
        answered: bool,
        load: Option<LoadReport>,
    },
    /// The fleet says.
    Fleet(Word),
    /// A manager's part asks.
    Managed(Managed),
    /// The front has been told to end: all is to be answered within this time.
    Closing(Duration),
}

/// What the fleet, where there is one, tells its front.
#[derive(Debug, Clone, PartialEq)]
pub enum Word {
    /// The part of what all fronts share that this one may use from now on.
    Share(f64),
    /// What the plan for lost sites means here from now on.
    Sites(Arc<Effect>),
    /// Engines that are out for work, up to this version; unless it is sure of all works, all count as out.
    Works { version: u64, sure: bool, closed: Arc<BTreeSet<EngineId>> },
}

/// What the owner wants of the engines' side.
#[derive(Debug, Clone)]
pub enum Order {
    Roster(EndpointUpdateKind, Vec<Listed>),
    Attempt {
        token: Token,
        engine: EngineId,
        request: RequestId,
        service_group: usize,
        statement: Rc<[u8]>,
        terms: Terms,
        priority: u8,
        memory_mb: f64,
    },
    /// Takes an attempt back if none of it has been written yet; else it goes on.
    Withdraw(Token),
    Weigh {
        token: Token,
        priority: u8,
    },
    /// Gives an attempt or probe up.
    Cancel(Token),
    Probe {
        token: Token,
        engine: EngineId,
    },
}

/// What has to hold at the very moment in which an attempt is written: it may have waited for a connection.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Its request is over by then.
    pub until: Instant,
    /// It may not begin later than this.
    pub begin_by: Option<Instant>,
    /// Alive for as long as somebody waits for its request.
    wanted: Weak<()>,
}

impl Terms {
    /// Whether it may still be written.
    pub fn hold(&self, now: Instant) -> bool {
        self.wanted.strong_count() > 0 && now < self.until && self.begin_by.is_none_or(|by| now < by)
    }
}

impl Heard {
    /// An attempt that ended without rows.
    pub fn ended(token: Token, outcome: AttemptOutcome) -> Self {
        Heard::Ended { token, outcome, cost: None, load: None, rows: Vec::new() }
    }
}

impl Order {
    /// Of an attempt or probe.
    pub fn token(&self) -> Option<Token> {
        match self {
            Order::Attempt { token, .. } | Order::Probe { token, .. } => Some(*token),
            _ => None,
        }
    }

    /// The id that it would go under, where that may have been out before.
    pub fn request(&self) -> Option<&RequestId> {
        if let Order::Attempt { request, .. } = self { Some(request) } else { None }
    }
}
