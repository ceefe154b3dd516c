//! The same arrivals and outcomes, once to the gateway alone and once through consulted calls, give the same
//! verdicts one for one: in virtual time, over seeds, with failures of all kinds.

use lemonusher::*;
use lemonusher_external_call::{CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Dice(u64);

impl Dice {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most
    }
}

fn stated() -> Deployment {
    let group = |goal, limit, effect, load| RequestClassConfig {
        latency_objective: ms(goal),
        objective_work_factor: 1.5,
        deadline: ms(limit),
        priority_weight: 1.0,
        idempotency: effect,
        threads: if load { 2.0 } else { 1.0 },
        bulk_load: load,
        waits_for_bulk_loads: !load,
        ..RequestClassConfig::default()
    };
    Deployment {
        fronts: 1,
        request_classes: vec![
            group(1000, 5000, Idempotency::Idempotent, false),
            group(4000, 20_000, Idempotency::NonIdempotent, true),
        ],
        machine_kinds: vec![MachineKind { cores: 2.0, memory_mb: 4096.0 }],
        tick: ms(5),
        capabilities: Capabilities {
            retry_after: true,
            max_retry_after: ms(2000),
            max_attempts: 4,
            connect_timeout: ms(250),
            ..Capabilities::default()
        },
        safety_rules: SafetyRules {
            drain_grace: ms(2000),
            slow_start_share: 0.34,
            slow_start_window: ms(14_000),
            overload_factor: 3.0,
            overload_window: ms(1500),
            discovery_poll_deadline: ms(10_000),
            ..SafetyRules::default()
        },
        ..Deployment::default()
    }
}

/// How the dispatch of this number of a batch ends, and after how long: the same in both runs.
fn fate(seed: u64, batch: usize, attempt: u32) -> (AttemptOutcome, Duration) {
    let mut dice = Dice(seed ^ ((batch as u64) << 20) ^ u64::from(attempt) << 50 | 1);
    dice.below(10);
    let outcome = match dice.below(20) {
        0 => AttemptOutcome::Errored,
        1 => AttemptOutcome::Rejected,
        2 => AttemptOutcome::ConnectFailed,
        3 => AttemptOutcome::Reset,
        4 => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::Returned,
    };
    (outcome, ms(5 + dice.below(400)))
}

#[derive(Debug, Clone, PartialEq)]
enum Seen {
    Dispatched(Duration, usize, EngineId),
    PushedBack(Duration, usize, Option<Duration>),
    Errored(Duration, usize),
    Returned(Duration, usize),
}

enum Due {
    Arrives(usize),
    /// A dispatch ends: batch, number, engine, token.
    Ends(usize, u32, EngineId, u64),
    Woke,
    Roster(u32, bool),
}

fn play(seed: u64, consulted: bool) -> Vec<Seen> {
    let mut gateway = Gateway::new(stated(), seed);
    let mut consult = ExternalCalls::new(CallConfig {
        message_timeout: ms(60_000),
        failure_mode_allow: false,
        max_timeout_extension: ms(0),
        retry_window: ms(60_000),
        unknown_outcome_retention: ms(60_000),
        idempotency: vec![Idempotency::Idempotent, Idempotency::NonIdempotent],
        max_calls: 10_000,
        max_remembered: 10_000,
    });
    let mut dice = Dice(seed);
    let mut agenda: BTreeMap<(Duration, u64), Due> = BTreeMap::new();
    let mut next = 0;
    let mut plan = |agenda: &mut BTreeMap<_, _>, at: Duration, due: Due| {
        next += 1;
        agenda.insert((at, next), due);
    };
    let mut at = ms(1000);
    for batch in 0..400 {
        at += ms(dice.below(30));
        plan(&mut agenda, at, Due::Arrives(batch));
    }
    // An engine drains and comes back while it goes on.
    plan(&mut agenda, ms(2500), Due::Roster(2, false));
    plan(&mut agenda, ms(4500), Due::Roster(2, true));
    let entry = |engine, state| EngineEntry { engine, state, ..EngineEntry::default() };
    let all = (1..=3).map(|engine| entry(engine, EngineState::Active)).collect();
    gateway.handle_event(ms(0), Event::Endpoints(EndpointUpdateKind::Full, all));

    let id = |batch: usize| -> RequestId { format!("b{batch}").into() };
    let number = |id: &RequestId| -> usize { id[1..].parse().unwrap() };
    let mut seen = Vec::new();
    let mut open: BTreeSet<usize> = BTreeSet::new();
    let mut sent: BTreeMap<usize, u32> = BTreeMap::new();
    // Of the consulted run: the stream that each batch is asked under, and the tokens that are out.
    let (mut streams, mut out) = (BTreeMap::new(), BTreeMap::new());
    let (mut stream, mut token) = (0u64, 0u64);
    while let Some(((now, _), due)) = agenda.pop_first() {
        let mut done: Vec<CallAction> = Vec::new();
        match due {
            Due::Woke => gateway.handle_event(now, Event::TimerFired),
            Due::Roster(engine, active) => {
                let state = if active { EngineState::Active } else { EngineState::Draining };
                gateway.handle_event(
                    now,
                    Event::Endpoints(EndpointUpdateKind::Delta, vec![entry(engine, state)]),
                );
            }
            Due::Arrives(batch) => {
                let group = usize::from(batch % 7 == 0);
                let client_timeout = stated().request_classes[group].deadline;
                let asked = CallRequest {
                    stream: {
                        stream += 1;
                        stream
                    },
                    request: id(batch),
                    request_class: group,
                    table_group: batch as u64 % 5,
                    client_timeout,
                    client_retry: false,
                    attempt: 1,
                    has_valid_token: false,
                };
                streams.insert(batch, stream);
                match consulted {
                    true => done.extend(consult.handle_request(now, asked)),
                    false => done.push(CallAction::Submit(asked)),
                }
            }
            Due::Ends(batch, attempt, engine, token) => {
                let (outcome, after) = fate(seed, batch, attempt);
                if consulted {
                    let held: u64 = streams[&batch];
                    consult.handle_response_headers(held, outcome);
                    done.extend(consult.handle_stream_end(now, held, outcome != AttemptOutcome::Reset));
                    out.insert(token, (batch, attempt, engine, after));
                } else {
                    out.insert(token, (batch, attempt, engine, after));
                    done.push(CallAction::EndAttempt { token, outcome });
                }
            }
        }
        let mut retries = Vec::new();
        for act in done {
            match act {
                CallAction::Submit(asked) => {
                    open.insert(number(&asked.request));
                    gateway.handle_event(
                        now,
                        Event::Arrived(Arrival {
                            request: asked.request,
                            request_class: asked.request_class,
                            table_group: asked.table_group,
                            key: None,
                            client_timeout: asked.client_timeout,
                            work: None,
                            memory_mb: 0.0,
                            client_retry: asked.client_retry,
                        }),
                    );
                }
                CallAction::EndAttempt { token, outcome } => {
                    let (batch, attempt, engine, after) = out.remove(&token).expect("a dispatch that is out");
                    let returned = outcome == AttemptOutcome::Returned;
                    if returned {
                        open.remove(&batch);
                        seen.push(Seen::Returned(now, batch));
                    } else {
                        retries.push(batch);
                    }
                    let over = !open.contains(&batch);
                    gateway.handle_event(
                        now,
                        Event::AttemptEnded(AttemptEnd {
                            request: id(batch),
                            attempt,
                            engine,
                            elapsed: after,
                            outcome,
                            request_finished: over,
                            usage: None,
                            load: None,
                        }),
                    );
                }
                CallAction::Cancel(_) | CallAction::Respond { .. } => panic!("nothing is late here"),
            }
        }
        // The proxy tries again at once, under a new stream.
        let mut done = Vec::new();
        if consulted {
            for batch in retries {
                stream += 1;
                streams.insert(batch, stream);
                let asked = CallRequest {
                    stream,
                    request: id(batch),
                    request_class: usize::from(batch % 7 == 0),
                    table_group: 0,
                    client_timeout: ms(1),
                    client_retry: false,
                    attempt: 2,
                    has_valid_token: true,
                };
                done.extend(consult.handle_request(now, asked));
            }
        }
        let actions = gateway.decide(now);
        for action in actions {
            match action {
                Action::Send { request: batch, engine, .. } => {
                    let batch_number = number(&batch);
                    token += 1;
                    if consulted {
                        // The outcome of what could not be given would be told under this token.
                        done.extend(consult.handle_attempt(&batch, token, engine, ms(1000)));
                    } else {
                        done.push(CallAction::Respond {
                            stream: 0,
                            response: CallResponse::Forward {
                                engine,
                                upstream_timeout: ms(1000),
                                attempt: 0,
                            },
                        });
                    }
                    let told = done.iter().any(|act| {
                        matches!(act, CallAction::Respond { response: CallResponse::Forward { .. }, .. })
                    });
                    assert!(told, "a verdict lies ready although the proxy waits");
                    done.clear();
                    let attempt = sent.entry(batch_number).or_default();
                    let (_, after) = fate(seed, batch_number, *attempt);
                    plan(&mut agenda, now + after, Due::Ends(batch_number, *attempt, engine, token));
                    *attempt += 1;
                    seen.push(Seen::Dispatched(now, batch_number, engine));
                }
                Action::Reject { request: batch, retry_after: come_back } => {
                    open.remove(&number(&batch));
                    if consulted {
                        let told = consult.handle_final_response(now, &batch, true, come_back);
                        assert!(told.iter().any(|act| matches!(act, CallAction::Respond { .. })), "{told:?}");
                    }
                    seen.push(Seen::PushedBack(now, number(&batch), come_back));
                }
                Action::Fail { request: batch } => {
                    open.remove(&number(&batch));
                    if consulted {
                        consult.handle_final_response(now, &batch, false, None);
                    }
                    seen.push(Seen::Errored(now, number(&batch)));
                }
                Action::SetTimer { at } => plan(&mut agenda, at, Due::Woke),
                _ => {}
            }
        }
    }
    assert!(!consulted || consult.open_calls() == 0);
    seen
}

#[test]
fn consulted_calls_get_the_verdicts_that_the_gateway_gives_alone() {
    let (mut verdicts, mut further, mut refused) = (0, 0, 0);
    for seed in 1..=24 {
        let (alone, consulted) = (play(seed, false), play(seed, true));
        assert_eq!(alone.len(), consulted.len(), "seed {seed}");
        for (a, b) in alone.iter().zip(&consulted) {
            assert_eq!(a, b, "seed {seed}");
        }
        verdicts += alone.len();
        let sent = alone.iter().filter(|seen| matches!(seen, Seen::Dispatched(..))).count();
        further += sent.saturating_sub(400);
        refused += alone.iter().filter(|s| matches!(s, Seen::PushedBack(..) | Seen::Errored(..))).count();
    }
    assert!(verdicts > 10_000 && further > 100 && refused > 50, "{verdicts} {further} {refused}");
    println!("proof: same verdicts {verdicts} over 24 seeds, {refused} pushed back or errored");
}
