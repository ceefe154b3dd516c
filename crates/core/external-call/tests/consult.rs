//! Proxies, engines and processors that fail in any order: nothing that must run once runs twice, every stream has
//! one answer, every dispatch one outcome.

use lemonusher::{AttemptOutcome, Idempotency, RequestId};
use lemonusher_external_call::{CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ONCE: usize = 0;
const OFTEN: usize = 1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms(fails_open: bool, more: u64) -> CallConfig {
    CallConfig {
        message_timeout: ms(200),
        failure_mode_allow: fails_open,
        max_timeout_extension: ms(more),
        retry_window: ms(300),
        unknown_outcome_retention: ms(60_000),
        idempotency: vec![Idempotency::NonIdempotent, Idempotency::Idempotent],
        max_calls: 100,
        max_remembered: 1000,
    }
}

fn ask(stream: u64, batch: &str, group: usize) -> CallRequest {
    CallRequest {
        stream,
        request: batch.into(),
        request_class: group,
        table_group: 0,
        client_timeout: ms(5000),
        client_retry: false,
        attempt: 1,
        has_valid_token: false,
    }
}

fn told(done: &[CallAction]) -> Vec<(u64, CallResponse)> {
    let tell = |act: &CallAction| match act {
        CallAction::Respond { stream, response: verdict } => Some((*stream, verdict.clone())),
        _ => None,
    };
    done.iter().filter_map(tell).collect()
}

fn ended(done: &[CallAction]) -> Vec<(u64, AttemptOutcome)> {
    let end = |act: &CallAction| match act {
        CallAction::EndAttempt { token, outcome } => Some((*token, *outcome)),
        _ => None,
    };
    done.iter().filter_map(end).collect()
}

fn go(stream: u64, engine: u32, attempt: u32) -> Vec<(u64, CallResponse)> {
    vec![(stream, CallResponse::Forward { engine, upstream_timeout: ms(900), attempt })]
}

#[test]
fn a_call_goes_from_its_headers_to_its_end() {
    let mut consult = ExternalCalls::new(terms(false, 0));
    let batch: RequestId = "b".into();
    assert!(matches!(consult.handle_request(ms(0), ask(1, "b", ONCE)).as_slice(), [CallAction::Submit(_)]));
    assert_eq!(told(&consult.handle_attempt(&batch, 10, 7, ms(900))), go(1, 7, 0));
    consult.handle_response_headers(1, AttemptOutcome::Returned);
    assert_eq!(ended(&consult.handle_stream_end(ms(50), 1, true)), [(10, AttemptOutcome::Returned)]);
    assert_eq!((consult.open_calls(), consult.next_timeout()), (0, None));
    // What ran is not let out again, whatever the proxy thinks of it.
    assert_eq!(told(&consult.handle_request(ms(60), ask(2, "b", ONCE))), [(2, CallResponse::Fail)]);
    assert!(matches!(consult.handle_request(ms(60), ask(3, "c", OFTEN)).as_slice(), [CallAction::Submit(_)]));
}

#[test]
fn a_verdict_that_would_come_too_late_is_not_given() {
    let mut consult = ExternalCalls::new(terms(false, 0));
    consult.handle_request(ms(0), ask(1, "b", ONCE));
    let due = consult.next_timeout().unwrap();
    assert!(due < ms(200) && due >= ms(100), "{due:?}");
    let done = consult.poll(due);
    assert!(matches!(done[0], CallAction::Cancel(_)));
    assert_eq!(told(&done), [(1, CallResponse::Reject(None))]);
    // The owner's dispatch comes behind it: it was not sent, and the batch may be asked for again.
    assert_eq!(ended(&consult.handle_attempt(&"b".into(), 10, 7, ms(900))), [(10, AttemptOutcome::NotSent)]);
    let again = CallRequest { attempt: 2, ..ask(2, "b", ONCE) };
    assert!(matches!(consult.handle_request(ms(300), again).as_slice(), [CallAction::Submit(_)]));
    // A proxy that allows it is asked for more time first.
    let mut consult = ExternalCalls::new(terms(false, 300));
    consult.handle_request(ms(0), ask(1, "b", ONCE));
    let mut verdicts = Vec::new();
    while let Some(due) = consult.next_timeout() {
        verdicts.extend(told(&consult.poll(due)).into_iter().map(|(_, verdict)| verdict));
    }
    assert_eq!(
        verdicts,
        [
            CallResponse::ExtendTimeout(ms(200)),
            CallResponse::ExtendTimeout(ms(100)),
            CallResponse::Reject(None)
        ]
    );
}

#[test]
fn a_retry_gets_what_the_gateway_grants_and_nothing_else() {
    let mut consult = ExternalCalls::new(terms(false, 0));
    let batch: RequestId = "b".into();
    consult.handle_request(ms(0), ask(1, "b", OFTEN));
    consult.handle_attempt(&batch, 10, 7, ms(900));
    // While the first is out, a second is never let out beside it.
    assert_eq!(told(&consult.handle_request(ms(5), ask(9, "b", OFTEN))), [(9, CallResponse::Fail)]);
    consult.handle_response_headers(1, AttemptOutcome::Rejected);
    assert_eq!(ended(&consult.handle_stream_end(ms(10), 1, true)), [(10, AttemptOutcome::Rejected)]);
    // Granted before the retry comes, it lies ready.
    assert!(consult.handle_attempt(&batch, 11, 8, ms(900)).is_empty());
    let retry = |stream| CallRequest { attempt: 2, has_valid_token: true, ..ask(stream, "b", OFTEN) };
    assert_eq!(told(&consult.handle_request(ms(20), retry(2))), go(2, 8, 1));
    consult.handle_response_headers(2, AttemptOutcome::Errored);
    consult.handle_stream_end(ms(30), 2, true);
    // Not granted, the retry is answered at once by what the gateway says.
    assert!(consult.handle_request(ms(40), retry(3)).is_empty());
    assert_eq!(
        told(&consult.handle_final_response(ms(41), &batch, true, Some(ms(500)))),
        [(3, CallResponse::Reject(Some(ms(500))))]
    );
    // Ready, but nobody comes: it was not sent.
    consult.handle_request(ms(50), ask(4, "d", OFTEN));
    consult.handle_attempt(&"d".into(), 12, 7, ms(900));
    consult.handle_response_headers(4, AttemptOutcome::ConnectFailed);
    consult.handle_stream_end(ms(60), 4, true);
    consult.handle_attempt(&"d".into(), 13, 8, ms(900));
    let done = consult.poll(ms(60 + 300));
    assert_eq!(ended(&done), [(13, AttemptOutcome::NotSent)]);
    assert!(matches!(done[0], CallAction::Cancel(_)) && consult.open_calls() == 0);
}

#[test]
fn what_a_fresh_processor_is_told_by_ticket_or_count_is_in_doubt() {
    for (attempt, ticket) in [(2, false), (1, true)] {
        let mut consult = ExternalCalls::new(terms(false, 0));
        let retry = |group| CallRequest { attempt, has_valid_token: ticket, ..ask(1, "b", group) };
        assert_eq!(told(&consult.handle_request(ms(0), retry(ONCE))), [(1, CallResponse::Fail)]);
        assert!(matches!(
            consult.handle_request(ms(0), retry(OFTEN)).as_slice(),
            [CallAction::Submit(CallRequest { client_retry: true, .. })]
        ));
    }
}

#[test]
fn a_response_that_breaks_off_is_no_answer() {
    let mut consult = ExternalCalls::new(terms(false, 0));
    consult.handle_request(ms(0), ask(1, "b", ONCE));
    consult.handle_attempt(&"b".into(), 10, 7, ms(900));
    consult.handle_response_headers(1, AttemptOutcome::Returned);
    assert_eq!(ended(&consult.handle_stream_end(ms(10), 1, false)), [(10, AttemptOutcome::Reset)]);
}

#[test]
fn all_that_is_held_has_a_bound() {
    let mut consult = ExternalCalls::new(CallConfig { max_calls: 10, max_remembered: 50, ..terms(false, 0) });
    for n in 0..1000 {
        consult.handle_request(ms(0), ask(n, &format!("b{n}"), ONCE));
    }
    assert_eq!(consult.open_calls(), 10);
    // Pushed back for want of room, it may come again.
    consult.poll(ms(1000));
    assert!(matches!(
        consult.handle_request(ms(1001), ask(5000, "b999", ONCE)).as_slice(),
        [CallAction::Submit(_)]
    ));
}

#[test]
fn the_margin_follows_the_trips() {
    let mut consult = ExternalCalls::new(terms(false, 0));
    (0..200).for_each(|_| consult.record_round_trip(ms(1)));
    assert_eq!(consult.response_margin(), ms(10)); // The least.
    (0..200).for_each(|_| consult.record_round_trip(ms(30)));
    assert!(consult.response_margin() >= ms(30) && consult.response_margin() < ms(60));
    (0..200).for_each(|_| consult.record_round_trip(ms(5000)));
    assert_eq!(consult.response_margin(), ms(100)); // The most.
}

// Any order of failures.

#[derive(Debug, Clone)]
enum Step {
    Ask(u8),
    Grant(u8),
    Deliver,
    Answer(u8, u8),
    Break(u8),
    GiveUp(u8, bool),
    Wait(u16),
    Restart,
}

fn a_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u8).prop_map(Step::Ask),
        4 => (0..4u8).prop_map(Step::Grant),
        4 => Just(Step::Deliver),
        3 => (0..4u8, 0..4u8).prop_map(|(batch, how)| Step::Answer(batch, how)),
        1 => (0..4u8).prop_map(Step::Break),
        1 => (0..4u8, any::<bool>()).prop_map(|(batch, push)| Step::GiveUp(batch, push)),
        2 => (0..250u16).prop_map(Step::Wait),
        1 => Just(Step::Restart),
    ]
}

/// What the proxy does with one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AtProxy {
    Idle,
    Waits { stream: u64, until: Duration },
    Upstream { stream: u64, over: bool },
}

struct Request {
    id: RequestId,
    at: AtProxy,
    attempts: u32,
    ticket: bool,
    runs: u32,
}

/// What the owner knows of a batch that it took.
#[derive(Default, Clone)]
struct Owned {
    out: Option<u64>,
    may_have_run: bool,
}

struct Run {
    consult: ExternalCalls,
    requests: Vec<Request>,
    owned: BTreeMap<RequestId, Owned>,
    tokens: BTreeMap<u64, (RequestId, bool)>,
    inbox: Vec<(u64, CallResponse)>,
    answered: BTreeSet<u64>,
    next: u64,
    now: Duration,
    fails_open: bool,
}

impl Run {
    fn group(batch: usize) -> usize {
        if batch < 2 { ONCE } else { OFTEN }
    }

    fn carry(&mut self, done: Vec<CallAction>) {
        for act in done {
            match act {
                CallAction::Submit(asked) => {
                    assert!(self.owned.insert(asked.request, Owned::default()).is_none(), "taken twice");
                }
                CallAction::Cancel(batch) => drop(self.owned.remove(&batch)),
                CallAction::EndAttempt { token, outcome } => {
                    let (batch, over) = self.tokens.get_mut(&token).expect("a token that was given");
                    assert!(!std::mem::replace(over, true), "one outcome a dispatch");
                    let batch = batch.clone();
                    if let Some(owned) = self.owned.get_mut(&batch).filter(|owned| owned.out == Some(token)) {
                        owned.out = None;
                        owned.may_have_run |= !outcome.never_ran();
                        if outcome == AttemptOutcome::Returned {
                            self.owned.remove(&batch);
                        }
                    }
                }
                CallAction::Respond { stream, response: verdict } => {
                    if !matches!(verdict, CallResponse::ExtendTimeout(_)) {
                        assert!(self.answered.insert(stream), "one verdict a stream");
                    }
                    self.inbox.push((stream, verdict));
                }
            }
        }
    }

    /// Time passes at the proxy: what got no verdict is over, or goes on without one.
    fn time_out(&mut self) {
        for number in 0..self.requests.len() {
            let AtProxy::Waits { stream, until } = self.requests[number].at else { continue };
            if until <= self.now {
                self.requests[number].at = AtProxy::Idle;
                if self.fails_open {
                    self.requests[number].runs += 1;
                    self.requests[number].attempts = 99; // It is done with.
                }
                let done = self.consult.handle_stream_end(self.now, stream, false);
                self.carry(done);
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask(n) => {
                let n = n as usize;
                let request = &mut self.requests[n];
                if request.at != AtProxy::Idle || request.attempts >= 5 {
                    return;
                }
                request.attempts += 1;
                self.next += 1;
                let stream = self.next;
                request.at = AtProxy::Waits { stream, until: self.now + ms(200) };
                let asked = CallRequest {
                    attempt: request.attempts,
                    has_valid_token: request.ticket,
                    ..ask(stream, &request.id, Run::group(n))
                };
                let done = self.consult.handle_request(self.now, asked);
                self.carry(done);
            }
            Step::Grant(n) => {
                let id = self.requests[n as usize].id.clone();
                // The gateway's rule: no further dispatch of once-only work that may have run.
                let Some(owned) = self.owned.get_mut(&id) else { return };
                if owned.out.is_some() || (owned.may_have_run && Run::group(n as usize) == ONCE) {
                    return;
                }
                self.next += 1;
                let token = self.next;
                owned.out = Some(token);
                self.tokens.insert(token, (id.clone(), false));
                let done = self.consult.handle_attempt(&id, token, 7, ms(900));
                self.carry(done);
            }
            Step::Deliver => {
                if self.inbox.is_empty() {
                    return;
                }
                let (stream, verdict) = self.inbox.remove(0);
                let waits = |request: &Request| matches!(request.at, AtProxy::Waits { stream: held, .. } if held == stream);
                let Some(number) = self.requests.iter().position(waits) else {
                    return;
                };
                let request = &mut self.requests[number];
                match verdict {
                    CallResponse::Forward { .. } => {
                        request.at = AtProxy::Upstream { stream, over: false };
                        request.ticket = true;
                        // A proxy that fails open may send a retry on by itself, whatever it would have been told;
                        // but no verdict of ours lets out what may have run.
                        assert!(
                            Run::group(number) == OFTEN || request.runs == 0,
                            "{} may have run",
                            request.id
                        );
                        request.runs += 1;
                    }
                    CallResponse::ExtendTimeout(more) => {
                        request.at = AtProxy::Waits { stream, until: self.now + more }
                    }
                    CallResponse::Reject(_) | CallResponse::Fail => {
                        request.at = AtProxy::Idle;
                        let done = self.consult.handle_stream_end(self.now, stream, true);
                        self.carry(done);
                    }
                }
            }
            Step::Answer(n, how) => {
                let AtProxy::Upstream { stream, .. } = self.requests[n as usize].at else { return };
                let outcome = match how {
                    0 | 1 => AttemptOutcome::Returned,
                    2 => AttemptOutcome::Errored,
                    // The engine proves that it never ran.
                    _ => {
                        self.requests[n as usize].runs -= 1;
                        AttemptOutcome::Rejected
                    }
                };
                let done = self.consult.handle_response_headers(stream, outcome);
                self.carry(done);
                self.requests[n as usize].at = AtProxy::Idle;
                let done = self.consult.handle_stream_end(self.now, stream, true);
                self.carry(done);
                if outcome == AttemptOutcome::Returned {
                    self.requests[n as usize].attempts = 99;
                }
            }
            Step::Break(n) => {
                let stream = match self.requests[n as usize].at {
                    AtProxy::Upstream { stream, .. } => stream,
                    _ => return,
                };
                self.requests[n as usize].at = AtProxy::Idle;
                let done = self.consult.handle_stream_end(self.now, stream, false);
                self.carry(done);
            }
            Step::GiveUp(n, push_back) => {
                let id = self.requests[n as usize].id.clone();
                let Some(owned) = self.owned.get(&id).filter(|owned| owned.out.is_none()).cloned() else {
                    return;
                };
                let push_back = push_back && (!owned.may_have_run || Run::group(n as usize) == OFTEN);
                self.owned.remove(&id);
                let done = self.consult.handle_final_response(self.now, &id, push_back, None);
                self.carry(done);
            }
            Step::Wait(span) => {
                let until = self.now + ms(span.into());
                loop {
                    let timeouts = self.requests.iter().filter_map(|request| match request.at {
                        AtProxy::Waits { until, .. } => Some(until),
                        _ => None,
                    });
                    let next = timeouts.chain(self.consult.next_timeout()).min().filter(|at| *at <= until);
                    self.now = next.unwrap_or(until).max(self.now);
                    let done = self.consult.poll(self.now);
                    self.carry(done);
                    self.time_out();
                    if next.is_none() {
                        return;
                    }
                }
            }
            Step::Restart => {
                // All streams break; the fresh processor knows nothing of what is out.
                self.consult = ExternalCalls::new(terms(self.fails_open, 0));
                self.owned.clear();
                self.tokens.clear();
                self.inbox.clear();
                for request in &mut self.requests {
                    match request.at {
                        AtProxy::Waits { .. } => {
                            request.at = AtProxy::Idle;
                            if self.fails_open {
                                request.runs += 1;
                                request.attempts = 99;
                            }
                        }
                        AtProxy::Upstream { .. } => request.at = AtProxy::Idle,
                        AtProxy::Idle => {}
                    }
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]
    #[test]
    fn nothing_that_must_run_once_runs_twice(
        steps in prop::collection::vec(a_step(), 1..80),
        fails_open in any::<bool>(),
        more in 0..2u64,
    ) {
        let request = |n: usize| Request {
            id: format!("b{n}").into(),
            at: AtProxy::Idle,
            attempts: 0,
            ticket: false,
            runs: 0,
        };
        let mut run = Run {
            consult: ExternalCalls::new(terms(fails_open, more * 300)),
            requests: (0..4).map(request).collect(),
            owned: BTreeMap::new(),
            tokens: BTreeMap::new(),
            inbox: Vec::new(),
            answered: BTreeSet::new(),
            next: 0,
            now: ms(0),
            fails_open,
        };
        for step in steps {
            run.step(step);
            for (number, request) in run.requests.iter().enumerate() {
                prop_assert!(Run::group(number) == OFTEN || fails_open || request.runs <= 1, "{} ran {}", request.id, request.runs);
            }
        }
        // All comes to an end: every dispatch has its outcome, and nothing is held.
        for _ in 0..40 {
            run.step(Step::Deliver);
        }
        for n in 0..4 {
            run.step(Step::Break(n));
        }
        run.step(Step::Wait(2000));
        prop_assert_eq!(run.consult.open_calls(), 0);
        prop_assert_eq!(run.consult.next_timeout(), None);
        prop_assert!(run.tokens.values().all(|(_, over)| *over));
    }
}
