//! Checks a recording against the rules that a front must keep. The timing rules, except those on readiness and on
//! clients that left, allow for the driver's own delay.

use crate::records::{ProcessRecord, Recording, RequestClass, RequestRecord, ResponseKind};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Time after a request's client timeout within which its response is still on time.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Requests sent within this time after SIGTERM must be answered. It is a little less than the platform's shutdown
/// grace of 0.7 s, because a request takes time to arrive.
const ANSWERED_AFTER_SIGNAL: Duration = Duration::from_millis(600);
/// Time after a client has left within which an attempt of its request may still begin.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// Race between a request and the close of its connection: a request sent at most this long before the client
/// noticed the close may not have reached the front.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// Time within which a started front must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Descriptors per engine that an idle front may have open in addition to those at its start.
const DESCRIPTORS_PER_ENGINE: usize = 4;
/// Further descriptors that an idle front may have open, regardless of the number of engines.
const SPARE_DESCRIPTORS: usize = 8;
/// Allowed growth of resident memory since the start, in kB.
const MAX_MEMORY_GROWTH_KB: u64 = 24 * 1024;

/// A rule that a front must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request sent before SIGTERM or shortly after it receives its response in time, unless its client has left
    /// or the front may close its connection during a crowd of idle clients.
    Answered,
    /// No request receives two responses.
    AnsweredOnce,
    /// A non-idempotent request runs at most once, and not at all if it was rejected.
    NoEffectTwice,
    /// No attempt begins at a draining engine after the drain grace.
    DrainGrace,
    /// No attempt begins for a client that has left.
    ClientDisconnected,
    /// A started front becomes ready in time.
    Ready,
    /// After SIGTERM, a front exits by itself before the kill, with exit code 0.
    Ended,
    /// When no clients are left, descriptors and memory are at most a fixed allowance above those at the start.
    ReturnedToRest,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::Answered => "answered",
            Rule::AnsweredOnce => "answered once",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainGrace => "drain grace",
            Rule::ClientDisconnected => "client left",
            Rule::Ready => "ready",
            Rule::Ended => "ended",
            Rule::ReturnedToRest => "returned to rest",
        })
    }
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What broke it.
    pub detail: String,
}

fn violation(rule: Rule, detail: String) -> Violation {
    Violation { rule, detail }
}

/// Returns all violations of the rules in a recording.
pub fn find_violations(recording: &Recording) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &recording.requests {
        violations.extend(judge_answer(recording, request));
    }
    violations.extend(judge_effects(recording));
    violations.extend(judge_drains(recording));
    violations.extend(judge_client_left(recording));
    for (number, process) in recording.processes.iter().enumerate() {
        violations.extend(judge_process(recording, number, process));
    }
    violations
}

fn judge_answer(recording: &Recording, request: &RequestRecord) -> Option<Violation> {
    let process = &recording.processes[request.process];
    let (call, sent_at) = (&request.call, request.sent_at);
    if request.responses.len() > 1 {
        return Some(violation(Rule::AnsweredOnce, format!("{call}: {:?}", request.responses)));
    }
    let due = sent_at + request.timeout + RESPONSE_SLACK + recording.driver_delay;
    if let Some(response) = request.responses.first() {
        let is_late = response.at > due && request.client_left_at.is_none();
        return is_late.then(|| {
            violation(
                Rule::Answered,
                format!(
                    "{call}: {:?} sent at {sent_at:?} for {:?}, {:?} at {:?}",
                    request.class, request.timeout, response.kind, response.at
                ),
            )
        });
    }
    let sent_in_time = sent_at + recording.driver_delay <= process.terminated_at + ANSWERED_AFTER_SIGNAL;
    // The front may close a connection to free descriptors while a request is in transit on it. Such a request needs
    // no response, because a client can safely retry it on another connection.
    let raced_with_close = request
        .closed_for_crowd_at
        .is_some_and(|at| sent_at + CLOSE_RACE_WINDOW + recording.driver_delay >= at);
    let is_excused = request.client_left_at.is_some() || request.in_crowd || raced_with_close;
    let must_be_answered = sent_in_time && !is_excused;
    must_be_answered.then(|| {
        let after_signal = sent_at.checked_sub(process.terminated_at);
        violation(
            Rule::Answered,
            format!(
                "{call}: never, connected at {:?}, sent at {sent_at:?}, after the signal {after_signal:?}",
                request.connected_at
            ),
        )
    })
}

fn judge_effects(recording: &Recording) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for attempt in recording.attempts.iter().filter(|attempt| attempt.ran) {
        *runs.entry(&attempt.call).or_default() += 1;
    }
    let non_idempotent =
        recording.requests.iter().filter(|request| request.class == RequestClass::NonIdempotent);
    non_idempotent
        .filter_map(|request| {
            let count = runs.get(request.call.as_str()).copied().unwrap_or_default();
            let is_rejected =
                request.responses.iter().any(|response| response.kind == ResponseKind::Rejected);
            let is_broken = count > 1 || (is_rejected && count > 0);
            let detail = format!("{}: ran {count} times, rejected: {is_rejected}", request.call);
            is_broken.then(|| violation(Rule::NoEffectTwice, detail))
        })
        .collect()
}

fn judge_drains(recording: &Recording) -> Vec<Violation> {
    let mut notified: BTreeMap<u32, Duration> = BTreeMap::new();
    for drain in &recording.drains {
        notified.entry(drain.engine).or_insert(drain.notified_at);
    }
    let late = recording.attempts.iter().filter_map(|attempt| {
        let allowed = *notified.get(&attempt.engine)? + recording.drain_grace + recording.driver_delay;
        let detail = format!(
            "{} at engine {}, {:?} too late",
            attempt.call,
            attempt.engine,
            attempt.at.saturating_sub(allowed)
        );
        (attempt.at > allowed).then(|| violation(Rule::DrainGrace, detail))
    });
    late.collect()
}

fn judge_client_left(recording: &Recording) -> Vec<Violation> {
    let left: BTreeMap<&str, Duration> = recording
        .requests
        .iter()
        .filter_map(|request| Some((request.call.as_str(), request.client_left_at?)))
        .collect();
    let late = recording.attempts.iter().filter_map(|attempt| {
        // Neither time can be late to the front's disadvantage: the driver's own delay makes the client's later, and the
        // attempt's is a lower bound.
        let allowed = *left.get(attempt.call.as_str())? + DISCONNECT_SLACK;
        let detail = format!(
            "{} at engine {}, {:?} too late",
            attempt.call,
            attempt.engine,
            attempt.at.saturating_sub(allowed)
        );
        (attempt.at > allowed).then(|| violation(Rule::ClientDisconnected, detail))
    });
    late.collect()
}

fn judge_process(recording: &Recording, number: usize, process: &ProcessRecord) -> Vec<Violation> {
    let mut violations = Vec::new();
    let ready_after = process.ready_at.map(|at| at.saturating_sub(process.started_at));
    if ready_after.is_none_or(|after| after > READY_WITHIN) {
        violations.push(violation(Rule::Ready, format!("process {number}: ready after {ready_after:?}")));
    }
    let ended_in_time = process.exited_at.is_some_and(|at| at <= process.kill_at + recording.driver_delay);
    if !ended_in_time || process.exit_code != Some(0) {
        let detail = format!(
            "process {number}: exit code {:?}, at {:?} of {:?}",
            process.exit_code, process.exited_at, process.kill_at
        );
        violations.push(violation(Rule::Ended, detail));
    }
    let max_descriptors =
        process.descriptors_at_start + recording.engines * DESCRIPTORS_PER_ENGINE + SPARE_DESCRIPTORS;
    if let Some(descriptors) = process.descriptors_at_rest.filter(|count| *count > max_descriptors) {
        let detail = format!(
            "process {number}: {descriptors} descriptors, {} at the start",
            process.descriptors_at_start
        );
        violations.push(violation(Rule::ReturnedToRest, detail));
    }
    let max_memory = process.memory_at_start_kb + MAX_MEMORY_GROWTH_KB;
    if let Some(memory) = process.memory_at_rest_kb.filter(|memory| *memory > max_memory) {
        let detail = format!("process {number}: {memory} kB, {} at the start", process.memory_at_start_kb);
        violations.push(violation(Rule::ReturnedToRest, detail));
    }
    violations
}
