//! What the gateway knows of each request, and the table of them. Nothing here decides.

use crate::endpoint::EngineId;
use crate::event::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is to become of a request. [`Gateway::reconcile`](crate::Gateway) turns the difference from what is into actions.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum RequestGoal {
    /// It waits for an attempt.
    #[default]
    Queued,
    /// An attempt at this engine.
    SentTo(EngineId),
    /// Answered as rejected.
    Rejected,
    /// Answered as failed.
    Failed,
}

/// An attempt whose outcome is not known yet.
pub(crate) struct InFlight {
    /// Its number among the request's attempts, from 0.
    pub(crate) attempt: u32,
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Duration,
    pub(crate) cancelled: bool,
}

/// The first attempt that may have run: how long repeats are dropped counts from it.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) sent_at: Duration,
    pub(crate) engine: EngineId,
}

/// What is known of a request.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Index of its request class.
    pub(crate) class: usize,
    pub(crate) table_group: u64,
    pub(crate) key: Option<u64>,
    /// When the client first sent it, as far as its timeout tells.
    pub(crate) first_arrival: Duration,
    /// When this try of the client arrived.
    pub(crate) arrived_at: Duration,
    /// When its last attempt ended; its arrival before any has.
    pub(crate) last_attempt_ended: Duration,
    /// When the client gives up; `Duration::MAX` once the response has begun to flow.
    pub(crate) deadline: Duration,
    /// Attempts begun so far.
    pub(crate) attempts: u32,
    pub(crate) first_possible_run: Option<PossibleRun>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) goal: RequestGoal,
    /// The priority that the engines were last given.
    pub(crate) priority: u8,
    /// The engine at which its last attempt ended without a response.
    pub(crate) last_failed_engine: Option<EngineId>,
    /// When admission is drawn for next.
    pub(crate) next_admission_draw: Duration,
    /// Admission control refused its last draw: it draws again at `next_admission_draw` and no sooner.
    pub(crate) admission_refused: bool,
    /// Drawn once, from 0 to 1: the higher, the sooner load shedding refuses it.
    pub(crate) shed_draw: f64,
    /// Its attempt has been counted in the share of slow attempts.
    pub(crate) counted_slow: bool,
    /// It has its final response; only the outcome of an attempt is awaited.
    pub(crate) finished: bool,
}

impl Request {
    /// Whether it waits for an attempt.
    pub(crate) fn is_queued(&self) -> bool {
        !self.finished && self.in_flight.is_none() && self.goal == RequestGoal::Queued
    }

    /// Whether it is another try than the client's first, or its attempt has failed before.
    pub(crate) fn is_retried(&self) -> bool {
        self.attempts > 0 || self.first_arrival < self.arrived_at
    }
}

/// All open requests, by a sequence number in the order of arrival.
#[derive(Default)]
pub(crate) struct RequestTable {
    by_sequence: BTreeMap<u64, Request>,
    sequences: BTreeMap<RequestId, u64>,
    next_sequence: u64,
}

impl RequestTable {
    /// The sequence number of the next request that arrives.
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

    /// The sequence numbers of all requests that wait for an attempt, in the order of arrival.
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
