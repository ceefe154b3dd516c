//! Several processors serve the same requests. What one of them remembers must not outweigh what a message shows
//! about an attempt that another one, or a proxy without a verdict, may have forwarded.

mod common;

use common::{IDEMPOTENT, NON_IDEMPOTENT, call_request, config, grant, ms};
use lemonusher::{AttemptOutcome, DeduplicationScope, Idempotency};
use lemonusher_external_call::{
    CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, FinalResponse, TokenEvidence,
};
use std::time::Duration;

/// The router's number of this processor's first attempt.
const FIRST: u64 = 10;
const HERE: TokenEvidence = TokenEvidence::ForwardedHere(FIRST);
const ELSEWHERE: TokenEvidence = TokenEvidence::ForwardedElsewhere;
const ABSENT: TokenEvidence = TokenEvidence::Absent;

fn responses(actions: &[CallAction]) -> Vec<(u64, CallResponse)> {
    let response = |action: &CallAction| match action {
        CallAction::Respond { stream, response } => Some((*stream, response.clone())),
        _ => None,
    };
    actions.iter().filter_map(response).collect()
}

fn is_submitted(actions: &[CallAction]) -> bool {
    matches!(actions, [CallAction::Submit(_)])
}

fn message(stream: u64, attempt: u32, token: TokenEvidence) -> CallRequest {
    CallRequest { attempt, token, ..call_request(stream, "b", NON_IDEMPOTENT) }
}

/// A processor that has rejected the first attempt of the request, and the time at which it did.
fn after_rejection() -> (ExternalCalls, Duration) {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    let at = calls.next_timeout().unwrap();
    assert_eq!(responses(&calls.poll(at)), [(1, CallResponse::Reject { retry_after: None })]);
    (calls, at)
}

/// A processor whose first attempt of the request was rejected by the engine, so that it waits for the proxy's retry.
fn awaiting_retry(config: CallConfig) -> ExternalCalls {
    let mut calls = ExternalCalls::new(config);
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    calls.handle_attempt(ms(0), &"b".into(), grant(ms(0), FIRST, 7));
    calls.handle_response_headers(1, AttemptOutcome::Rejected);
    calls.handle_stream_end(ms(10), 1, true);
    calls
}

/// Guards against a request that runs twice because this processor's rejection outweighs an attempt that it has not
/// seen.
#[test]
fn rejection_here_does_not_outweigh_an_attempt_elsewhere() {
    let shown = [
        ("another processor's token", 2, ELSEWHERE, ms(100)),
        ("a token and no count", 1, ELSEWHERE, ms(100)),
        ("a count that skips an attempt", 3, ABSENT, ms(100)),
        ("a retry long after the rejection", 2, ABSENT, ms(1000)),
        ("a token of this processor that belongs to no attempt of the call", 2, HERE, ms(100)),
    ];
    for (name, attempt, token, later) in shown {
        let (mut calls, rejected_at) = after_rejection();
        let actions = calls.handle_request(rejected_at + later, message(2, attempt, token));
        assert_eq!(responses(&actions), [(2, CallResponse::Fail)], "{name}");
        // What the message has shown is remembered for messages that do not show it.
        let actions = calls.handle_request(rejected_at + later, message(3, 1, ABSENT));
        assert_eq!(responses(&actions), [(3, CallResponse::Fail)], "{name}");
    }
}

/// Guards against a retry of another proxy's request that is taken for the retry of a rejected one.
#[test]
fn request_that_the_client_sent_again_is_not_the_proxys_retry_of_the_rejected_one() {
    let (mut calls, at) = after_rejection();
    let retry = CallRequest { client_retry: true, ..message(2, 2, ABSENT) };
    assert_eq!(responses(&calls.handle_request(at + ms(100), retry)), [(2, CallResponse::Fail)]);
}

#[test]
fn rejected_request_may_come_back() {
    // The client's, at any time.
    let (mut calls, at) = after_rejection();
    assert!(is_submitted(&calls.handle_request(at + ms(20_000), message(2, 1, ABSENT))));
    // The proxy's next attempt, soon after.
    let (mut calls, at) = after_rejection();
    assert!(is_submitted(&calls.handle_request(at + ms(100), message(2, 2, ABSENT))));
}

#[test]
fn retry_of_an_attempt_that_never_ran_may_come_late() {
    for (attempt, token, is_safe) in
        [(2, HERE, true), (3, HERE, false), (2, ABSENT, false), (2, ELSEWHERE, false)]
    {
        let mut calls = awaiting_retry(config(false, 0));
        calls.poll(ms(10 + 300));
        assert_eq!(calls.open_calls(), 0);
        let actions = calls.handle_request(ms(5000), message(2, attempt, token));
        assert_eq!(is_submitted(&actions), is_safe, "{attempt} {token:?}");
        assert_eq!(responses(&actions) == [(2, CallResponse::Fail)], !is_safe, "{attempt} {token:?}");
    }
}

/// Guards against a second run by an attempt that is reserved for the proxy's retry, when an attempt elsewhere may have run.
#[test]
fn attempt_reserved_for_a_retry_is_not_given_to_a_request_that_may_have_run_elsewhere() {
    let keyed =
        Idempotency::IdempotencyKeyed { scope: DeduplicationScope::Everywhere, retention: ms(10_000) };
    for idempotency in [Idempotency::NonIdempotent, keyed] {
        for (attempt, token) in [(2, ELSEWHERE), (2, ABSENT), (3, HERE)] {
            let mut calls = awaiting_retry(CallConfig { idempotency: vec![idempotency], ..config(false, 0) });
            assert!(calls.handle_attempt(ms(10), &"b".into(), grant(ms(10), 11, 8)).is_empty());
            let actions = calls.handle_request(ms(20), message(2, attempt, token));
            assert_eq!(responses(&actions), [(2, CallResponse::Fail)], "{attempt} {token:?}");
            assert!(
                actions.iter().any(|action| matches!(
                    action,
                    CallAction::EndAttempt { token: 11, outcome: AttemptOutcome::NotSent }
                )),
                "{actions:?}"
            );
            assert!(matches!(actions[0], CallAction::Cancel(_)) && calls.open_calls() == 0);
        }
    }
}

#[test]
fn call_that_waits_for_a_verdict_fails_when_an_attempt_elsewhere_shows() {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    let actions = calls.handle_request(ms(5), message(2, 2, ELSEWHERE));
    assert_eq!(responses(&actions), [(1, CallResponse::Fail), (2, CallResponse::Fail)]);
    assert_eq!((calls.open_calls(), calls.next_timeout()), (0, None));
}

#[test]
fn attempt_in_flight_is_the_last_when_an_attempt_elsewhere_shows() {
    let mut calls = ExternalCalls::new(config(false, 0));
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    calls.handle_attempt(ms(0), &"b".into(), grant(ms(0), FIRST, 7));
    assert_eq!(responses(&calls.handle_request(ms(5), message(2, 2, ELSEWHERE))), [(2, CallResponse::Fail)]);
    calls.handle_response_headers(1, AttemptOutcome::Rejected);
    let actions = calls.handle_stream_end(ms(10), 1, true);
    assert!(matches!(
        actions.as_slice(),
        [CallAction::EndAttempt { token: FIRST, outcome: AttemptOutcome::Rejected }, CallAction::Cancel(_)]
    ));
    assert_eq!(responses(&calls.handle_request(ms(20), message(3, 2, HERE))), [(3, CallResponse::Fail)]);
}

#[test]
fn proxys_retry_with_the_expected_token_is_given_the_next_attempt() {
    let mut calls = awaiting_retry(config(false, 0));
    assert!(calls.handle_request(ms(20), message(2, 2, HERE)).is_empty());
    assert_eq!(
        responses(&calls.handle_final_response(
            ms(30),
            &"b".into(),
            FinalResponse::Rejected { retry_after: None }
        )),
        [(2, CallResponse::Reject { retry_after: None })]
    );
    // The token is still that of the last attempt that was forwarded.
    assert!(is_submitted(&calls.handle_request(ms(40), message(3, 3, HERE))));
}

#[test]
fn idempotent_request_is_forwarded_again_whatever_its_messages_show() {
    let mut calls = ExternalCalls::new(config(false, 0));
    let idempotent =
        |stream, attempt, token| CallRequest { attempt, token, ..call_request(stream, "b", IDEMPOTENT) };
    assert!(is_submitted(&calls.handle_request(ms(0), idempotent(1, 2, ELSEWHERE))));
    calls.handle_attempt(ms(0), &"b".into(), grant(ms(0), FIRST, 7));
    calls.handle_stream_end(ms(10), 1, false);
    assert!(calls.handle_attempt(ms(10), &"b".into(), grant(ms(20), 11, 8)).is_empty());
    let actions = calls.handle_request(ms(20), idempotent(2, 3, ELSEWHERE));
    let forward = CallResponse::Forward { engine: 8, token: 11, upstream_timeout: ms(900), attempt: 1 };
    assert_eq!(responses(&actions), [(2, forward)]);
}

/// A processor whose proxies fail open and that has rejected the first attempt of the request `delay` after it was
/// due, with its response.
fn after_rejection_with_failure_mode_allow(delay: Duration) -> (ExternalCalls, Duration, CallResponse) {
    let mut calls = ExternalCalls::new(config(true, 0));
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    let at = calls.next_timeout().unwrap() + delay;
    let (_, response) = responses(&calls.poll(at)).remove(0);
    (calls, at, response)
}

/// Guards against a rejection that may have come too late and is remembered as proof that nothing ran.
#[test]
fn rejection_that_may_have_come_too_late_proves_nothing() {
    let (mut calls, at, response) = after_rejection_with_failure_mode_allow(ms(150));
    assert_eq!(response, CallResponse::Fail);
    for (stream, attempt) in [(2, 2), (3, 1)] {
        let actions = calls.handle_request(at + ms(10), message(stream, attempt, ABSENT));
        assert_eq!(responses(&actions), [(stream, CallResponse::Fail)]);
    }
    // A proxy that fails closed has answered its client by then, and has forwarded nothing.
    let mut calls = ExternalCalls::new(config(false, 300));
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    assert_eq!(responses(&calls.poll(ms(250))), [(1, CallResponse::Reject { retry_after: None })]);
    assert!(is_submitted(&calls.handle_request(ms(300), message(2, 2, ABSENT))));
}

/// Guards against a retry that is forwarded because the attempt before it was rejected, when the proxy may have
/// forwarded that attempt without having read the rejection.
#[test]
fn rejection_in_time_explains_no_retry_of_a_proxy_that_fails_open() {
    let (mut calls, at, response) = after_rejection_with_failure_mode_allow(ms(0));
    assert_eq!(response, CallResponse::Reject { retry_after: None });
    // The client sends the request again, because it was invited to retry.
    assert!(is_submitted(&calls.handle_request(at + ms(200), message(2, 1, ABSENT))));
    let (mut calls, at, _) = after_rejection_with_failure_mode_allow(ms(0));
    let actions = calls.handle_request(at + ms(110), message(2, 2, ABSENT));
    assert_eq!(responses(&actions), [(2, CallResponse::Fail)]);
}

/// Guards against a rejection that was decided in time and never written.
#[test]
fn rejection_that_was_not_written_before_the_stream_was_reset_proves_nothing() {
    for (complete, is_safe) in [(true, true), (false, false)] {
        let (mut calls, at, _) = after_rejection_with_failure_mode_allow(ms(0));
        assert!(calls.handle_stream_end(at + ms(100), 1, complete).is_empty());
        let actions = calls.handle_request(at + ms(110), message(2, 1, ABSENT));
        assert_eq!(is_submitted(&actions), is_safe);
    }
    // A request that came back meanwhile is not forwarded any more.
    let (mut calls, at, _) = after_rejection_with_failure_mode_allow(ms(0));
    assert!(is_submitted(&calls.handle_request(at + ms(10), message(2, 1, ABSENT))));
    let actions = calls.handle_stream_end(at + ms(100), 1, false);
    assert_eq!(responses(&actions), [(2, CallResponse::Fail)]);
    assert_eq!(calls.open_calls(), 0);
}

/// Guards against a proxy's timeout that is extended after it has expired.
#[test]
fn expired_timeout_is_not_extended() {
    let mut calls = ExternalCalls::new(config(true, 300));
    calls.handle_request(ms(0), message(1, 1, ABSENT));
    assert_eq!(responses(&calls.poll(ms(200))), [(1, CallResponse::Fail)]);
}

#[test]
fn rejection_for_lack_of_capacity_proves_as_little() {
    let full = CallConfig { max_calls: 0, ..config(true, 0) };
    for (queued, response) in
        [(ms(0), CallResponse::Reject { retry_after: None }), (ms(200), CallResponse::Fail)]
    {
        let mut calls = ExternalCalls::new(full.clone());
        let late = CallRequest { queued, ..message(1, 1, ABSENT) };
        assert_eq!(responses(&calls.handle_request(ms(1000), late)), [(1, response)]);
        let actions = calls.handle_request(ms(1010), message(2, 2, ABSENT));
        assert_eq!(responses(&actions), [(2, CallResponse::Fail)]);
    }
}
