//! Single calls: the response to the proxy in each state, and the outcome of each attempt.

mod common;

use common::{IDEMPOTENT, NON_IDEMPOTENT, call_request, config, grant, ms};
use lemonusher::{AttemptOutcome, RequestId};
use lemonusher_external_call::{
    CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, FinalResponse, GrantedAttempt,
    TokenEvidence,
};

fn responses(actions: &[CallAction]) -> Vec<(u64, CallResponse)> {
    let response = |action: &CallAction| match action {
        CallAction::Respond { stream, response } => Some((*stream, response.clone())),
        _ => None,
    };
    actions.iter().filter_map(response).collect()
}

fn outcomes(actions: &[CallAction]) -> Vec<(u64, AttemptOutcome)> {
    let outcome = |action: &CallAction| match action {
        CallAction::EndAttempt { token, outcome } => Some((*token, *outcome)),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

fn forward(stream: u64, engine: u32, token: u64, attempt: u32) -> Vec<(u64, CallResponse)> {
    vec![(stream, CallResponse::Forward { engine, token, upstream_timeout: ms(900), attempt })]
}

#[test]
fn call_is_forwarded_and_ends_with_the_engines_response() {
    let mut calls = ExternalCalls::new(config(false, 0));
    let request: RequestId = "b".into();
    assert!(matches!(
        calls.handle_request(ms(0), call_request(1, "b", NON_IDEMPOTENT)).as_slice(),
        [CallAction::Submit(_)]
    ));
    assert_eq!(responses(&calls.handle_attempt(ms(0), &request, grant(ms(0), 10, 7))), forward(1, 7, 10, 0));
    calls.handle_response_headers(1, AttemptOutcome::Returned);
    assert_eq!(outcomes(&calls.handle_stream_end(ms(50), 1, true)), [(10, AttemptOutcome::Returned)]);
    assert_eq!((calls.open_calls(), calls.next_timeout()), (0, None));
    // A non-idempotent request that ran is not forwarded again, even if the proxy counts it as a first attempt.
    assert_eq!(
        responses(&calls.handle_request(ms(60), call_request(2, "b", NON_IDEMPOTENT))),
        [(2, CallResponse::Fail)]
    );
    assert!(matches!(
        calls.handle_request(ms(60), call_request(3, "c", IDEMPOTENT)).as_slice(),
        [CallAction::Submit(_)]
    ));
}

#[test]
fn response_that_would_come_too_late_is_not_given() {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), call_request(1, "b", NON_IDEMPOTENT));
    let timeout = calls.next_timeout().unwrap();
    assert!(timeout < ms(200) && timeout >= ms(100), "{timeout:?}");
    let actions = calls.poll(timeout);
    assert!(matches!(actions[0], CallAction::Cancel(_)));
    assert_eq!(responses(&actions), [(1, CallResponse::Reject { retry_after: None })]);
    // An attempt granted after this ends as not sent, and the proxy may call again for the request.
    assert_eq!(
        outcomes(&calls.handle_attempt(timeout, &"b".into(), grant(timeout, 10, 7))),
        [(10, AttemptOutcome::NotSent)]
    );
    let again = CallRequest { attempt: 2, ..call_request(2, "b", NON_IDEMPOTENT) };
    assert!(matches!(calls.handle_request(ms(300), again).as_slice(), [CallAction::Submit(_)]));
    // If the proxy allows extensions, its timeout is extended first.
    let mut calls = ExternalCalls::new(config(false, 300));
    calls.handle_request(ms(0), call_request(1, "b", NON_IDEMPOTENT));
    let mut sent = Vec::new();
    while let Some(timeout) = calls.next_timeout() {
        sent.extend(responses(&calls.poll(timeout)).into_iter().map(|(_, response)| response));
    }
    assert_eq!(
        sent,
        [
            CallResponse::ExtendTimeout(ms(200)),
            CallResponse::ExtendTimeout(ms(100)),
            CallResponse::Reject { retry_after: None }
        ]
    );
}

#[test]
fn retry_is_given_only_what_the_router_grants() {
    let mut calls = ExternalCalls::new(config(false, 0));
    let request: RequestId = "b".into();
    calls.handle_request(ms(0), call_request(1, "b", IDEMPOTENT));
    calls.handle_attempt(ms(0), &request, grant(ms(0), 10, 7));
    // While the first attempt is in flight, a second one is never forwarded.
    assert_eq!(
        responses(&calls.handle_request(ms(5), call_request(9, "b", IDEMPOTENT))),
        [(9, CallResponse::Fail)]
    );
    calls.handle_response_headers(1, AttemptOutcome::Rejected);
    assert_eq!(outcomes(&calls.handle_stream_end(ms(10), 1, true)), [(10, AttemptOutcome::Rejected)]);
    // An attempt granted before the retry arrives is reserved for it.
    assert!(calls.handle_attempt(ms(10), &request, grant(ms(20), 11, 8)).is_empty());
    let retry = |stream| CallRequest {
        attempt: 2,
        token: TokenEvidence::ForwardedHere(10),
        ..call_request(stream, "b", IDEMPOTENT)
    };
    assert_eq!(responses(&calls.handle_request(ms(20), retry(2))), forward(2, 8, 11, 1));
    calls.handle_response_headers(2, AttemptOutcome::Errored);
    calls.handle_stream_end(ms(30), 2, true);
    // If no attempt is granted, the retry gets the router's final response.
    assert!(calls.handle_request(ms(40), retry(3)).is_empty());
    assert_eq!(
        responses(&calls.handle_final_response(
            ms(41),
            &request,
            FinalResponse::Rejected { retry_after: Some(ms(500)) }
        )),
        [(3, CallResponse::Reject { retry_after: Some(ms(500)) })]
    );
    // An attempt that is granted without a retry arriving ends as not sent.
    calls.handle_request(ms(50), call_request(4, "d", IDEMPOTENT));
    calls.handle_attempt(ms(50), &"d".into(), grant(ms(50), 12, 7));
    calls.handle_response_headers(4, AttemptOutcome::ConnectFailed);
    calls.handle_stream_end(ms(60), 4, true);
    calls.handle_attempt(ms(60), &"d".into(), grant(ms(60), 13, 8));
    let actions = calls.poll(ms(60 + 300));
    assert_eq!(outcomes(&actions), [(13, AttemptOutcome::NotSent)]);
    assert!(matches!(actions[0], CallAction::Cancel(_)) && calls.open_calls() == 0);
}

#[test]
fn outcome_is_unknown_to_a_restarted_processor_by_token_or_attempt_count() {
    for (attempt, token) in [(2, TokenEvidence::Absent), (1, TokenEvidence::ForwardedElsewhere)] {
        let mut calls = ExternalCalls::new(config(false, 0));
        let retry = |request_class| CallRequest { attempt, token, ..call_request(1, "b", request_class) };
        assert_eq!(responses(&calls.handle_request(ms(0), retry(NON_IDEMPOTENT))), [(1, CallResponse::Fail)]);
        assert!(matches!(
            calls.handle_request(ms(0), retry(IDEMPOTENT)).as_slice(),
            [CallAction::Submit(CallRequest { client_retry: true, .. })]
        ));
    }
}

#[test]
fn response_that_breaks_off_counts_as_reset() {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), call_request(1, "b", NON_IDEMPOTENT));
    calls.handle_attempt(ms(0), &"b".into(), grant(ms(0), 10, 7));
    calls.handle_response_headers(1, AttemptOutcome::Returned);
    assert_eq!(outcomes(&calls.handle_stream_end(ms(10), 1, false)), [(10, AttemptOutcome::Reset)]);
}

#[test]
fn open_and_remembered_calls_are_bounded() {
    let mut calls =
        ExternalCalls::new(CallConfig { max_calls: 10, max_finished_calls: 50, ..config(false, 0) });
    for n in 0..1000 {
        calls.handle_request(ms(0), call_request(n, &format!("b{n}"), NON_IDEMPOTENT));
    }
    assert_eq!(calls.open_calls(), 10);
    // A request that was rejected for lack of capacity may be retried.
    calls.poll(ms(1000));
    assert!(matches!(
        calls.handle_request(ms(1001), call_request(5000, "b999", NON_IDEMPOTENT)).as_slice(),
        [CallAction::Submit(_)]
    ));
}

#[test]
fn response_margin_follows_round_trips() {
    let mut calls = ExternalCalls::new(config(false, 0));
    (0..200).for_each(|_| calls.record_round_trip(ms(0), ms(1)));
    assert_eq!(calls.response_margin(), ms(10)); // The minimum.
    (0..200).for_each(|_| calls.record_round_trip(ms(0), ms(30)));
    assert!(calls.response_margin() >= ms(30) && calls.response_margin() < ms(60));
    (0..200).for_each(|_| calls.record_round_trip(ms(0), ms(5000)));
    assert_eq!(calls.response_margin(), ms(100)); // The maximum.
}

/// Guards against responses sent after the proxy's timeout because the proxy's message had waited in a queue.
#[test]
fn response_is_due_by_when_the_message_was_received() {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(1000), call_request(1, "b", NON_IDEMPOTENT));
    let unqueued = calls.next_timeout().unwrap();
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(1000), CallRequest { queued: ms(70), ..call_request(1, "b", NON_IDEMPOTENT) });
    assert_eq!(calls.next_timeout(), Some(unqueued - ms(70)));
}

/// Guards against responses that arrive after the proxy's timeout because many are due at the same time.
#[test]
fn response_margin_covers_the_longest_round_trip_of_late() {
    let mut calls = ExternalCalls::new(config(false, 0));
    assert_eq!(calls.response_margin(), ms(100), "nothing is known yet: the most");
    (0..40).for_each(|_| calls.record_round_trip(ms(0), ms(1)));
    assert_eq!(calls.response_margin(), ms(10));
    calls.record_round_trip(ms(100), ms(60));
    (0..1000).for_each(|n| calls.record_round_trip(ms(101 + n), ms(1)));
    assert!(calls.response_margin() >= ms(60), "{:?}", calls.response_margin());
    // The longest round trip is dropped after two windows.
    [12_000, 24_000].into_iter().for_each(|at| calls.record_round_trip(ms(at), ms(1)));
    assert_eq!(calls.response_margin(), ms(10));
}

/// A processor that keeps an attempt for the proxy's retry at 10 ms; the attempt must start by 100 ms.
fn keeping_an_attempt() -> ExternalCalls {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), call_request(1, "b", IDEMPOTENT));
    calls.handle_attempt(ms(0), &"b".into(), grant(ms(0), 10, 7));
    calls.handle_response_headers(1, AttemptOutcome::Errored);
    calls.handle_stream_end(ms(10), 1, true);
    let granted = GrantedAttempt { start_by: Some(ms(100)), ..grant(ms(10), 11, 8) };
    assert!(calls.handle_attempt(ms(10), &"b".into(), granted).is_empty());
    calls
}

fn retry_of_the_reserved(stream: u64) -> CallRequest {
    let token = TokenEvidence::ForwardedHere(10);
    CallRequest { attempt: 2, token, ..call_request(stream, "b", IDEMPOTENT) }
}

/// Guards against an attempt that was granted ahead for a retry and is forwarded when it may no longer start.
#[test]
fn reserved_attempt_is_forwarded_only_while_it_may_start() {
    let mut calls = keeping_an_attempt();
    let forwarded =
        CallResponse::Forward { engine: 8, token: 11, upstream_timeout: ms(900 - 89), attempt: 1 };
    assert_eq!(responses(&calls.handle_request(ms(99), retry_of_the_reserved(2))), [(2, forwarded)]);
    let mut calls = keeping_an_attempt();
    let actions = calls.handle_request(ms(100), retry_of_the_reserved(2));
    assert_eq!(outcomes(&actions), [(11, AttemptOutcome::NotSent)]);
    assert_eq!(responses(&actions), []);
    // The retry waits, and gets what the router grants next.
    assert_eq!(
        responses(&calls.handle_attempt(ms(110), &"b".into(), grant(ms(110), 12, 9))),
        forward(2, 9, 12, 1)
    );
    // An attempt whose deadline has passed is not forwarded either.
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), call_request(1, "b", IDEMPOTENT));
    let granted = GrantedAttempt { until: ms(20), ..grant(ms(0), 10, 7) };
    assert_eq!(
        outcomes(&calls.handle_attempt(ms(20), &"b".into(), granted)),
        [(10, AttemptOutcome::NotSent)]
    );
}

/// Guards against an attempt that was granted ahead for a retry and is forwarded after the router has withdrawn it.
#[test]
fn withdrawn_attempt_is_not_forwarded() {
    let mut calls = keeping_an_attempt();
    assert_eq!(outcomes(&calls.handle_withdrawal(11)), [(11, AttemptOutcome::NotSent)]);
    assert!(calls.handle_withdrawal(11).is_empty());
    assert!(calls.handle_request(ms(20), retry_of_the_reserved(2)).is_empty());
    // An attempt that the proxy was instructed to forward can't be withdrawn.
    assert_eq!(
        responses(&calls.handle_attempt(ms(20), &"b".into(), grant(ms(20), 12, 9))),
        forward(2, 9, 12, 1)
    );
    assert!(calls.handle_withdrawal(12).is_empty());
    // Nor is anything left of one whose call has ended.
    let mut calls = keeping_an_attempt();
    assert_eq!(outcomes(&calls.poll(ms(10 + 300))), [(11, AttemptOutcome::NotSent)]);
    assert!(calls.handle_withdrawal(11).is_empty());
}

/// Guards against a verdict that is given when the proxy's timer may have expired.
#[test]
fn attempt_granted_after_the_proxys_timeout_is_not_forwarded() {
    for (failure_mode_allow, response) in
        [(false, CallResponse::Reject { retry_after: None }), (true, CallResponse::Fail)]
    {
        let mut calls = ExternalCalls::new(config(failure_mode_allow, 0));
        calls.handle_request(ms(0), call_request(1, "b", NON_IDEMPOTENT));
        let actions = calls.handle_attempt(ms(200), &"b".into(), grant(ms(200), 10, 7));
        assert_eq!(outcomes(&actions), [(10, AttemptOutcome::NotSent)]);
        assert_eq!(responses(&actions), [(1, response)]);
        assert_eq!((calls.open_calls(), calls.next_timeout()), (0, None));
    }
}
