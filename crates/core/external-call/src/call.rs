use lemonusher::{AttemptOutcome, EngineId, Idempotency, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Number of a stream between a proxy and this processor, new for each.
pub type StreamId = u64;
/// Number of a dispatch, as the owner gives it.
pub type Token = u64;
/// Since the caller's origin.
pub type Span = Duration;

/// How the proxies are set, and what is stated of the work.
#[derive(Debug, Clone)]
pub struct Terms {
    /// A proxy waits so long for an answer to a message.
    pub message_timeout: Duration,
    /// Whether a proxy that gets none sends the request on all the same.
    pub fails_open: bool,
    /// The longest that the proxy may be asked to wait beyond that, in all; zero where it allows none.
    pub more_time: Duration,
    /// After a failure, a proxy's retry is waited for so long.
    pub retry_within: Duration,
    /// What is in doubt is remembered for so long: the longest time limit of any work.
    pub doubt: Duration,
    /// By service group.
    pub effects: Vec<Idempotency>,
    /// Calls at once.
    pub most_calls: usize,
    /// Batches that are remembered after they are over.
    pub most_remembered: usize,
}

/// A request about which a proxy asks.
#[derive(Debug, Clone)]
pub struct Asked {
    pub stream: StreamId,
    pub batch: RequestId,
    pub service_group: usize,
    pub table_group: u64,
    pub patience: Duration,
    pub repeat: bool,
    /// Which attempt of the proxy's this is, from one.
    pub attempt: u32,
    /// Whether it carries a sound ticket: a verdict was given for it before.
    pub ticket: bool,
}

/// What the proxy is to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send it to this engine, and wait so long. `dispatch` counts the batch's verdicts, from zero.
    Go { engine: EngineId, time_limit: Duration, attempt: u32 },
    /// Answer at once that trying again is harmless, and when.
    PushBack(Option<Duration>),
    /// Answer at once, promising nothing.
    Error,
    /// Wait this much longer for the verdict.
    Wait(Duration),
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Do {
    /// The owner takes a batch.
    Take(Asked),
    /// Nobody waits for the batch any more.
    Leave(RequestId),
    /// The one outcome of a dispatch.
    End { token: Token, outcome: AttemptOutcome },
    /// The proxy is told.
    Tell { stream: StreamId, verdict: Verdict },
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Granted {
    token: Token,
    engine: EngineId,
    time_limit: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// The proxy waits for a verdict, until then at most; it has been asked for so much more time.
    Waits { stream: StreamId, until: Span, extended: Duration },
    /// It has its verdict.
    Out { stream: StreamId, granted: Granted },
    /// The response has begun: the engine has answered so.
    Answers { stream: StreamId, granted: Granted, outcome: AttemptOutcome },
    /// A dispatch has failed. The proxy may try again until then, and find a verdict ready.
    Between { ready: Option<Granted>, until: Span },
}

#[derive(Debug)]
struct Call {
    stage: Stage,
    effect: Idempotency,
    verdicts: u32,
    /// A dispatch may have run, and nothing tells that it did not.
    may_have_run: bool,
}

/// What is remembered of a batch that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Memory {
    /// It was pushed back, and none of it ran.
    Clean,
    /// It may have run.
    Doubt,
}

/// All calls of one processor.
#[derive(Debug)]
pub struct Consult {
    terms: Terms,
    calls: BTreeMap<RequestId, Call>,
    streams: BTreeMap<StreamId, RequestId>,
    tokens: BTreeMap<Token, RequestId>,
    due: BTreeSet<(Span, RequestId)>,
    memory: BTreeMap<RequestId, (Memory, Span)>,
    order: VecDeque<(Span, RequestId)>,
    /// How long verdicts take to the proxy and back: a decaying mean and spread, in seconds.
    trip: f64,
    spread: f64,
}

/// Part of a timeout that is kept back before any trip has been measured, and at the least and most.
const FIRST_MARGIN: f64 = 0.2;
const LEAST_MARGIN: f64 = 0.05;
const MOST_MARGIN: f64 = 0.5;
/// Weight of a new measurement.
const NEW: f64 = 0.1;

impl Consult {
    pub fn new(terms: Terms) -> Consult {
        let trip = terms.message_timeout.as_secs_f64() * FIRST_MARGIN / 2.0;
        Consult {
            terms,
            calls: BTreeMap::new(),
            streams: BTreeMap::new(),
            tokens: BTreeMap::new(),
            due: BTreeSet::new(),
            memory: BTreeMap::new(),
            order: VecDeque::new(),
            trip,
            spread: trip / 4.0,
        }
    }

    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// When something falls due.
    pub fn due_at(&self) -> Option<Span> {
        self.due.first().map(|(at, _)| *at)
    }

    /// What is kept back of a message's timeout: a verdict must be read before it is over.
    pub fn margin(&self) -> Duration {
        let timeout = self.terms.message_timeout.as_secs_f64();
        let wanted = self.trip + 4.0 * self.spread;
        Duration::from_secs_f64(wanted.clamp(timeout * LEAST_MARGIN, timeout * MOST_MARGIN))
    }

    /// A message took so long to the proxy and back.
    pub fn measured(&mut self, trip: Duration) {
        let trip = trip.as_secs_f64();
        self.spread += NEW * ((trip - self.trip).abs() - self.spread);
        self.trip += NEW * (trip - self.trip);
    }

    fn effect(&self, service_group: usize) -> Idempotency {
        // What is not stated is taken as what must never run twice.
        self.terms.effects.get(service_group).copied().unwrap_or(Idempotency::NonIdempotent)
    }

    /// A proxy asks about a request.
    pub fn asked(&mut self, now: Span, asked: Asked) -> Vec<Do> {
        self.forget(now);
        let tell = |stream, verdict| vec![Do::Tell { stream, verdict }];
        let (stream, batch) = (asked.stream, asked.batch.clone());
        let until = (now + self.terms.message_timeout).saturating_sub(self.margin());
        if let Some(call) = self.calls.get_mut(&batch) {
            // A retry of a call that is known takes what the gateway grants it, now or while it waits.
            let Stage::Between { ready, until: old } = call.stage else {
                // The first is still with the proxy: a second at once is never let out beside it.
                return tell(stream, Verdict::Error);
            };
            self.due.remove(&(old, batch.clone()));
            self.streams.insert(stream, batch.clone());
            call.stage = Stage::Waits { stream, until, extended: Duration::ZERO };
            self.due.insert((until, batch.clone()));
            return match ready {
                Some(granted) => self.grant(&batch, granted),
                None => Vec::new(),
            };
        }
        let effect = self.effect(asked.service_group);
        let remembered = self.memory.get(&batch).map(|(memory, _)| *memory);
        let doubt = match remembered {
            Some(Memory::Doubt) => true,
            Some(Memory::Clean) => false,
            None => asked.ticket || asked.attempt > 1,
        };
        if doubt && effect != Idempotency::Idempotent {
            return tell(stream, Verdict::Error);
        }
        if self.calls.len() >= self.terms.most_calls {
            self.remember(now, batch, if doubt { Memory::Doubt } else { Memory::Clean });
            return tell(stream, Verdict::PushBack(None));
        }
        let call = Call {
            stage: Stage::Waits { stream, until, extended: Duration::ZERO },
            effect,
            verdicts: 0,
            may_have_run: doubt,
        };
        self.calls.insert(batch.clone(), call);
        self.streams.insert(stream, batch.clone());
        self.due.insert((until, batch));
        let repeat = asked.repeat || asked.attempt > 1 || asked.ticket;
        vec![Do::Take(Asked { repeat, ..asked })]
    }

    /// The owner wants a batch dispatched.
    pub fn attempt(
        &mut self,
        batch: &RequestId,
        token: Token,
        engine: EngineId,
        time_limit: Duration,
    ) -> Vec<Do> {
        let granted = Granted { token, engine, time_limit };
        let not_sent = vec![Do::End { token, outcome: AttemptOutcome::NotSent }];
        let Some(call) = self.calls.get_mut(batch) else { return not_sent };
        match &mut call.stage {
            Stage::Waits { .. } => self.grant(batch, granted),
            Stage::Between { ready, .. } if ready.is_none() => {
                *ready = Some(granted);
                self.tokens.insert(token, batch.clone());
                Vec::new()
            }
            _ => not_sent,
        }
    }

    /// The verdict goes to the proxy that waits.
    fn grant(&mut self, batch: &RequestId, granted: Granted) -> Vec<Do> {
        let Some(call) = self.calls.get_mut(batch) else { return Vec::new() };
        let Stage::Waits { stream, until, .. } = call.stage else { return Vec::new() };
        self.due.remove(&(until, batch.clone()));
        self.tokens.insert(granted.token, batch.clone());
        call.stage = Stage::Out { stream, granted };
        let attempt = call.verdicts;
        call.verdicts += 1;
        let Granted { engine, time_limit, .. } = granted;
        vec![Do::Tell { stream, verdict: Verdict::Go { engine, time_limit, attempt } }]
    }

    /// The owner gives a batch its final answer: pushed back, or errored.
    pub fn answer(
        &mut self,
        now: Span,
        batch: &RequestId,
        push_back: bool,
        wait: Option<Duration>,
    ) -> Vec<Do> {
        let Some(call) = self.calls.get(batch) else { return Vec::new() };
        let verdict = if push_back { Verdict::PushBack(wait) } else { Verdict::Error };
        match call.stage {
            Stage::Waits { stream, .. } => {
                let memory = match (push_back, call.may_have_run) {
                    (true, false) => Memory::Clean,
                    _ => Memory::Doubt,
                };
                let mut done = self.close(now, batch, memory);
                done.push(Do::Tell { stream, verdict });
                done
            }
            Stage::Between { .. } => {
                let memory = if call.may_have_run || !push_back { Memory::Doubt } else { Memory::Clean };
                self.close(now, batch, memory)
            }
            // What is out can't be called back through the proxy: its end is heard, and matters to nobody.
            Stage::Out { .. } | Stage::Answers { .. } => Vec::new(),
        }
    }

    /// The engine has answered through the proxy: with an outcome that the edge read off the response.
    pub fn answered(&mut self, stream: StreamId, outcome: AttemptOutcome) -> Vec<Do> {
        let Some(call) = self.streams.get(&stream).and_then(|batch| self.calls.get_mut(batch)) else {
            return Vec::new();
        };
        if let Stage::Out { stream, granted } = call.stage {
            call.stage = Stage::Answers { stream, granted, outcome };
        }
        Vec::new()
    }

    /// A stream is over: whole, or reset.
    pub fn ended(&mut self, now: Span, stream: StreamId, whole: bool) -> Vec<Do> {
        let Some(batch) = self.streams.remove(&stream) else { return Vec::new() };
        let Some(call) = self.calls.get_mut(&batch) else { return Vec::new() };
        match call.stage {
            // No verdict was given. A proxy that fails open may have sent it on by itself, where nobody counts.
            Stage::Waits { stream: held, .. } if held == stream => {
                let ran = call.may_have_run || self.terms.fails_open;
                let memory = if ran { Memory::Doubt } else { Memory::Clean };
                let mut done = self.close(now, &batch, memory);
                done.insert(0, Do::Leave(batch));
                done
            }
            Stage::Answers { stream: held, granted, outcome } if held == stream => {
                // A response that broke off in the middle is no answer.
                let outcome = if whole || outcome != AttemptOutcome::Returned {
                    outcome
                } else {
                    AttemptOutcome::Reset
                };
                self.over(now, batch, granted, outcome)
            }
            // The verdict crossed the timeout, the client left, or the proxy lost the engine. Nothing tells these
            // apart: the proxy may have read the verdict at the last moment, so the dispatch may have run.
            Stage::Out { stream: held, granted } if held == stream => {
                self.over(now, batch, granted, AttemptOutcome::Reset)
            }
            _ => Vec::new(),
        }
    }

    /// A dispatch has ended: the call is over, or the proxy may try again.
    fn over(&mut self, now: Span, batch: RequestId, granted: Granted, outcome: AttemptOutcome) -> Vec<Do> {
        self.tokens.remove(&granted.token);
        let end = Do::End { token: granted.token, outcome };
        if outcome == AttemptOutcome::Returned {
            let mut done = vec![end];
            done.extend(self.close(now, &batch, Memory::Doubt));
            return done;
        }
        let Some(call) = self.calls.get_mut(&batch) else { return vec![end] };
        call.may_have_run |= !outcome.never_ran();
        call.stage = Stage::Between { ready: None, until: now };
        let mut done = vec![end];
        done.extend(self.wait_for_retry(now, &batch));
        done
    }

    fn wait_for_retry(&mut self, now: Span, batch: &RequestId) -> Vec<Do> {
        let until = now + self.terms.retry_within;
        if let Some(call) = self.calls.get_mut(batch)
            && let Stage::Between { until: old, .. } = &mut call.stage
        {
            self.due.remove(&(*old, batch.clone()));
            *old = until;
            self.due.insert((until, batch.clone()));
        }
        Vec::new()
    }

    /// What has fallen due: a verdict that can wait no longer, a retry that did not come.
    pub fn turn(&mut self, now: Span) -> Vec<Do> {
        self.forget(now);
        let mut done = Vec::new();
        while let Some((at, batch)) = self.due.first().cloned().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, batch.clone()));
            let Some(call) = self.calls.get_mut(&batch) else { continue };
            match call.stage {
                Stage::Waits { stream, extended, .. } => {
                    let more = self.terms.message_timeout.min(self.terms.more_time.saturating_sub(extended));
                    if !more.is_zero() {
                        // The proxy's clock starts anew with the message that asks for more time.
                        let margin = self.margin();
                        let until = (now + more).saturating_sub(margin).max(now + more / 2);
                        if let Some(call) = self.calls.get_mut(&batch) {
                            call.stage = Stage::Waits { stream, until, extended: extended + more };
                        }
                        self.due.insert((until, batch));
                        done.push(Do::Tell { stream, verdict: Verdict::Wait(more) });
                        continue;
                    }
                    // Pushed back in time, nothing of this attempt ran.
                    let clean = !call.may_have_run;
                    let push_back = clean || call.effect == Idempotency::Idempotent;
                    let verdict = if push_back { Verdict::PushBack(None) } else { Verdict::Error };
                    done.push(Do::Leave(batch.clone()));
                    done.extend(self.close(now, &batch, if clean { Memory::Clean } else { Memory::Doubt }));
                    done.push(Do::Tell { stream, verdict });
                }
                Stage::Between { .. } => {
                    let memory = if call.may_have_run { Memory::Doubt } else { Memory::Clean };
                    done.push(Do::Leave(batch.clone()));
                    done.extend(self.close(now, &batch, memory));
                }
                Stage::Out { .. } | Stage::Answers { .. } => {}
            }
        }
        done
    }

    /// The call is over here. A verdict that lay ready was never sent.
    fn close(&mut self, now: Span, batch: &RequestId, memory: Memory) -> Vec<Do> {
        let Some(call) = self.calls.remove(batch) else { return Vec::new() };
        let mut done = Vec::new();
        match call.stage {
            Stage::Waits { stream, until, .. } => {
                self.streams.remove(&stream);
                self.due.remove(&(until, batch.clone()));
            }
            Stage::Between { ready, until } => {
                self.due.remove(&(until, batch.clone()));
                if let Some(granted) = ready {
                    self.tokens.remove(&granted.token);
                    done.push(Do::End { token: granted.token, outcome: AttemptOutcome::NotSent });
                }
            }
            Stage::Out { stream, granted, .. } | Stage::Answers { stream, granted, .. } => {
                self.streams.remove(&stream);
                self.tokens.remove(&granted.token);
            }
        }
        self.remember(now, batch.clone(), memory);
        done
    }

    fn remember(&mut self, now: Span, batch: RequestId, memory: Memory) {
        let until = now + self.terms.doubt;
        self.memory.insert(batch.clone(), (memory, until));
        self.order.push_back((until, batch));
        while self.order.len() > self.terms.most_remembered {
            self.drop_oldest();
        }
    }

    fn forget(&mut self, now: Span) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((until, batch)) = self.order.pop_front()
            && self.memory.get(&batch).is_some_and(|(_, held)| *held == until)
        {
            self.memory.remove(&batch);
        }
    }
}
