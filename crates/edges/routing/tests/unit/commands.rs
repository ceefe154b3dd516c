use super::*;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::messages::{Endpoint, IncomingRequest, Response, ResponseSink};
use crate::router::Limits;
use async_channel::Receiver;
use lemonusher::{EndpointUpdateKind, EngineId, EngineState};
use std::net::SocketAddr;
use std::rc::Rc;

const ENGINE: EngineId = 1;
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

struct DiscardingSink;

impl ResponseSink for DiscardingSink {
    fn respond(&self, _: u64, _: Response) {}

    fn is_waiting(self: Rc<Self>, _: u64) -> bool {
        true
    }
}

/// Creates a router with one engine. The engine driver's queue stays full, and `backlog` commands wait in the
/// backlog.
fn router(backlog: usize) -> (RequestRouter, Receiver<EngineCommand>) {
    let settings: lemonusher_deployment::Settings =
        serde_json::from_value(lemonusher_fakes::settings()).unwrap();
    let (commands, received) = async_channel::bounded(1);
    let limits = Limits { max_requests: 100, max_statement_bytes: 1000, probe_timeout: PROBE_TIMEOUT };
    let counters = Rc::new(Counters::new(vec!["look-up".to_owned(), "load".to_owned()]));
    let clock = Clock::with_history(Duration::from_secs(1));
    let deployment = lemonusher_deployment::deployment(&settings);
    let mut router = RequestRouter::new(deployment, 1, clock, limits, commands, counters);
    let endpoint = Endpoint {
        engine: ENGINE,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state: EngineState::Active,
        started_at: None,
    };
    let now = router.clock.now();
    router.handle_endpoints(now, EndpointUpdateKind::Full, vec![endpoint]);
    (0..backlog).for_each(|_| router.queue_command(EngineCommand::Cancel(Token::MAX)));
    assert_eq!(router.command_backlog.len(), backlog);
    (router, received)
}

fn handle_request(router: &mut RequestRouter, now: Duration) {
    router.handle_request(
        now,
        IncomingRequest {
            sink: Rc::new(DiscardingSink),
            ticket: 1,
            request: "a".into(),
            request_class: 0,
            table_group: 1,
            client_timeout: Duration::from_secs(1),
            client_retry: false,
            statement: Rc::from([]),
        },
    );
}

/// Guards against a healthy engine being ejected because this front is overloaded and its commands were never sent.
#[test]
fn engine_is_not_ejected_for_what_was_not_sent_to_it() {
    for (case, backlog) in [("no room", MAX_COMMAND_BACKLOG), ("waits until its time is over", 3)] {
        let (mut router, _received) = router(backlog);
        let now = router.clock.now();
        router.send_probe(now, ENGINE);
        router.fire_timeouts(now + PROBE_TIMEOUT * 2);
        assert!(!router.gateway.is_ejected(now + PROBE_TIMEOUT * 2, ENGINE), "probe: {case}");
        assert!(router.probes.is_empty() && router.timeouts.is_empty(), "probe: {case}");

        handle_request(&mut router, now);
        router.send_attempt(now, "a".into(), ENGINE, PROBE_TIMEOUT, None);
        let events: Vec<RouterEvent> = router.pending_events.drain(..).collect();
        events.into_iter().for_each(|event| router.handle_event(now, event));
        router.fire_timeouts(now + PROBE_TIMEOUT * 2);
        assert!(!router.gateway.is_ejected(now + PROBE_TIMEOUT * 2, ENGINE), "attempt: {case}");
        assert!(router.attempts.is_empty() && router.timeouts.is_empty(), "attempt: {case}");
        let is_unsent = |command: &EngineCommand| command.token().is_none();
        assert!(router.command_backlog.iter().all(is_unsent), "nothing is sent later: {case}");
    }
}

/// A probe that was passed to the engine driver may have been sent, so a missing reply counts against the engine.
#[test]
fn engine_that_does_not_answer_a_probe_is_ejected() {
    let (mut router, received) = router(0);
    received.try_recv().unwrap();
    let now = router.clock.now();
    router.send_probe(now, ENGINE);
    router.fire_timeouts(now + PROBE_TIMEOUT * 2);
    assert!(router.gateway.is_ejected(now + PROBE_TIMEOUT * 2, ENGINE));
}

#[test]
fn changes_of_priority_do_not_lengthen_a_full_backlog() {
    let (mut router, _received) = router(MAX_COMMAND_BACKLOG);
    router.queue_command(EngineCommand::SetPriority { token: 1, priority: 2 });
    assert_eq!(router.command_backlog.len(), MAX_COMMAND_BACKLOG);
    router.queue_command(EngineCommand::Withdraw(1));
    assert_eq!(router.command_backlog.len(), MAX_COMMAND_BACKLOG + 1);
}
