//! The judge reports the rule that a recording breaks, and reports nothing for a recording that breaks none.

use lemonusher_soak::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn response(at: u64, kind: ResponseKind) -> ResponseRecord {
    ResponseRecord { at: ms(at), kind }
}

fn request(call: &str, class: RequestClass, sent_at: u64) -> RequestRecord {
    RequestRecord {
        call: call.to_owned(),
        class,
        process: 0,
        connected_at: ms(100),
        sent_at: ms(sent_at),
        timeout: ms(1000),
        client_left_at: None,
        in_crowd: false,
        closed_for_crowd_at: None,
        responses: vec![response(sent_at + 50, ResponseKind::Result)],
    }
}

fn attempt(call: &str, engine: u32, at: u64) -> AttemptRecord {
    AttemptRecord { engine, call: call.to_owned(), at: ms(at), ran: true }
}

/// A process that starts at 0 s, gets SIGTERM at 3 s and would be killed at 5 s, and two requests that ran.
fn clean() -> Recording {
    let process = ProcessRecord {
        started_at: ms(0),
        ready_at: Some(ms(40)),
        terminated_at: ms(3000),
        kill_at: ms(5000),
        exited_at: Some(ms(4200)),
        exit_code: Some(0),
        descriptors_at_start: 12,
        descriptors_at_rest: Some(14),
        memory_at_start_kb: 6000,
        memory_at_rest_kb: Some(7000),
    };
    Recording {
        requests: vec![
            request("a", RequestClass::Idempotent, 500),
            request("b", RequestClass::NonIdempotent, 600),
        ],
        attempts: vec![attempt("a", 1, 510), attempt("a", 2, 530), attempt("b", 1, 610)],
        drains: vec![DrainRecord { engine: 2, notified_at: ms(400) }],
        processes: vec![process],
        drain_grace: ms(500),
        engines: 2,
        driver_delay: ms(5),
    }
}

fn rules(change: impl FnOnce(&mut Recording)) -> Vec<Rule> {
    let mut recording = clean();
    change(&mut recording);
    find_violations(&recording).iter().map(|violation| violation.rule).collect()
}

#[test]
fn clean_recording_breaks_no_rule() {
    assert_eq!(find_violations(&clean()), []);
}

type Change = fn(&mut Recording);

#[test]
fn each_fault_is_named() {
    let cases: [(&str, Rule, Change); 14] = [
        ("no response", Rule::Answered, |r| r.requests[0].responses.clear()),
        ("late response", Rule::Answered, |r| r.requests[0].responses[0].at = ms(2010)),
        ("no response, shortly after the signal", Rule::Answered, |r| {
            r.requests.push(request("c", RequestClass::Idempotent, 3550));
            r.requests[2].responses.clear();
        }),
        ("no response, sent long before its connection was closed in a crowd", Rule::Answered, |r| {
            r.requests[0].responses.clear();
            r.requests[0].closed_for_crowd_at = Some(ms(700));
        }),
        ("two responses", Rule::AnsweredOnce, |r| {
            r.requests[0].responses.push(response(560, ResponseKind::Failed));
        }),
        ("non-idempotent request ran twice", Rule::NoEffectTwice, |r| {
            r.attempts.push(attempt("b", 2, 700));
        }),
        ("rejected request ran", Rule::NoEffectTwice, |r| {
            r.requests[1].responses[0].kind = ResponseKind::Rejected;
        }),
        ("attempt after the drain grace", Rule::DrainGrace, |r| r.attempts[1].at = ms(910)),
        ("attempt for a client that has left", Rule::ClientDisconnected, |r| {
            r.requests[0].client_left_at = Some(ms(420));
        }),
        ("never ready", Rule::Ready, |r| r.processes[0].ready_at = None),
        ("ready late", Rule::Ready, |r| r.processes[0].ready_at = Some(ms(10_001))),
        ("killed", Rule::Ended, |r| r.processes[0].exited_at = None),
        ("crashed", Rule::Ended, |r| r.processes[0].exit_code = None),
        ("descriptors kept", Rule::ReturnedToRest, |r| r.processes[0].descriptors_at_rest = Some(40)),
    ];
    for (case, rule, change) in cases {
        assert_eq!(rules(change), [rule], "{case}");
    }
}

#[test]
fn what_is_allowed_is_not_a_fault() {
    let cases: [(&str, Change); 6] = [
        ("no response, but its client has left", |r| {
            r.requests[0].responses.clear();
            r.requests[0].client_left_at = Some(ms(600));
        }),
        ("no response, long after the signal", |r| {
            r.requests.push(request("c", RequestClass::Idempotent, 3700));
            r.requests[2].responses.clear();
        }),
        ("no response, sent just before its connection was closed in a crowd", |r| {
            r.requests[0].responses.clear();
            r.requests[0].closed_for_crowd_at = Some(ms(520));
        }),
        ("a second attempt after a rejection by the engine", |r| {
            r.attempts[2].ran = false;
            r.attempts.push(attempt("b", 1, 650));
        }),
        ("attempt within the drain grace", |r| r.attempts[1].at = ms(900)),
        ("failed, and it ran", |r| r.requests[1].responses[0].kind = ResponseKind::Failed),
    ];
    for (case, change) in cases {
        assert_eq!(rules(change), [], "{case}");
    }
}
