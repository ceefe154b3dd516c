//! The state of each open request, and the table of all of them. No decisions are made here.

use crate::endpoint::EngineId;
use crate::event::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The desired state of a request. [`Gateway::reconcile`](crate::Gateway) turns the difference from the
/// actual state into actions.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum RequestGoal {
    /// It waits for an attempt.
    #[default]
    Queued,
    /// It is sent to this engine.
    SentTo(EngineId),
    /// Its client gets a rejection.
    Rejected,
    /// Its client gets a failure.
    Failed,
}

/// An attempt without an outcome yet.
pub(crate) struct InFlight {
    /// Its number among the request's attempts, from 0.
    pub(crate) attempt: u32,
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Duration,
    pub(crate) cancelled: bool,
}

/// The first attempt that may have run. The retention time of idempotency keys counts from it.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) sent_at: Duration,
    pub(crate) engine: EngineId,
}

/// The state of an open request.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Index of its request class.
    pub(crate) class: usize,
    pub(crate) table_group: u64,
    pub(crate) key: Option<u64>,
    /// When the client first sent it, as estimated from its client timeout (`arrival`).
    pub(crate) first_arrival: Duration,
    /// When this try of the client arrived.
    pub(crate) arrived_at: Duration,
    /// When its last attempt ended; the time of its arrival before that.
    pub(crate) last_attempt_ended: Duration,
    /// When the client gives up; `Duration::MAX` once the response has started.
    pub(crate) deadline: Duration,
    /// Attempts begun so far.
    pub(crate) attempts: u32,
    pub(crate) first_possible_run: Option<PossibleRun>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) goal: RequestGoal,
    /// The priority that was last set at the engines.
    pub(crate) priority: u8,
    /// The engine at which its last attempt ended without a result, a rejection included.
    pub(crate) last_failed_engine: Option<EngineId>,
    /// Time of the next admission draw.
    pub(crate) next_admission_draw: Duration,
    /// Whether admission control refused its last draw. If so, it does not draw again before
    /// `next_admission_draw`.
    pub(crate) admission_refused: bool,
    /// Drawn on arrival, from 0 to 1. Requests with a higher draw are shed first.
    pub(crate) shed_draw: f64,
    /// Whether its attempt in flight has been counted in the slow share.
    pub(crate) counted_slow: bool,
    /// Whether it has its final response. It is then kept until the outcome of its attempt is known.
    pub(crate) finished: bool,
}

impl Request {
    /// Whether it waits for an attempt.
    pub(crate) fn is_queued(&self) -> bool {
        !self.finished && self.in_flight.is_none() && self.goal == RequestGoal::Queued
    }

    /// Whether it is a retry of its client, or has had an attempt before.
    pub(crate) fn is_retried(&self) -> bool {
        self.attempts > 0 || self.first_arrival < self.arrived_at
    }
}

/// All open requests, by sequence number. The numbers ascend in the order of arrival.
#[derive(Default)]
pub(crate) struct RequestTable {
    by_sequence: BTreeMap<u64, Request>,
    sequences: BTreeMap<RequestId, u64>,
    next_sequence: u64,
}

impl RequestTable {
    /// Allocates the sequence number of a request that has just arrived.
    pub(crate) fn allocate(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    /// Adds a request under a sequence number that was allocated for it.
    pub(crate) fn insert(&mut self, sequence: u64, request: Request) {
        self.sequences.insert(request.id.clone(), sequence);
        self.by_sequence.insert(sequence, request);
    }

    pub(crate) fn remove(&mut self, sequence: u64) -> Option<Request> {
        let request = self.by_sequence.remove(&sequence)?;
        self.sequences.remove(&request.id);
        Some(request)
    }

    pub(crate) fn sequence_of(&self, id: &RequestId) -> Option<u64> {
        self.sequences.get(id).copied()
    }

    pub(crate) fn get(&self, sequence: u64) -> Option<&Request> {
        self.by_sequence.get(&sequence)
    }

    pub(crate) fn get_mut(&mut self, sequence: u64) -> Option<&mut Request> {
        self.by_sequence.get_mut(&sequence)
    }

    /// All requests with their sequence numbers, in the order of arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Request)> {
        self.by_sequence.iter().map(|(sequence, request)| (*sequence, request))
    }

    /// The sequence numbers of all queued requests, in the order of arrival.
    pub(crate) fn queued(&self) -> Vec<u64> {
        self.iter().filter(|(_, request)| request.is_queued()).map(|(sequence, _)| sequence).collect()
    }
}

impl std::ops::Index<u64> for RequestTable {
    type Output = Request;

    /// Panics if there is no such request, like any map.
    fn index(&self, sequence: u64) -> &Request {
        &self.by_sequence[&sequence]
    }
}
