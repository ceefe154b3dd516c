//! Between the wire's words and the interface's. Nothing here decides.

use crate::wire::{Class, ClassEffect, Cmd, Code, Ended, Entry, Group, Ingress, Settled, State};
use lemonusher::*;
use std::time::Duration;

pub fn span(us: u64) -> Duration {
    Duration::from_micros(us)
}

fn us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// How an instance's load reports and answer notes are to be read.
pub struct Reading {
    fields: Vec<String>,
    says_cost: bool,
}

impl Reading {
    pub fn of(settled: &Settled) -> Self {
        Reading { fields: settled.report.fields.clone(), says_cost: settled.family_info.says_cost }
    }

    pub fn gauge(&self, values: Option<Vec<f64>>) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for (field, value) in self.fields.iter().zip(values?) {
            match field.as_str() {
                "busy" => load.cores_busy = Some(value),
                "rif" => load.held = Some(value),
                "q" => load.waiting = Some(value),
                "x0" => load.memory_granted = Some(value),
                "x1" => load.disks_busy = Some(value),
                _ => {}
            }
        }
        Some(load)
    }

    pub fn ending(&self, ended: Ended) -> Event {
        let cost = (self.says_cost && ended.code == Code::Done && ended.note > 0).then(|| Cost {
            work: Duration::from_millis(ended.note / 4096),
            memory_mb: (ended.note % 4096) as f64 * 4.0,
        });
        Event::Ended(Ending {
            batch: ended.call.into(),
            dispatch: ended.n,
            engine: ended.engine,
            after: span(ended.cost_time_us),
            outcome: outcome(ended.code),
            over: ended.no_more,
            cost,
            load: self.gauge(ended.gauge),
        })
    }
}

fn outcome(code: Code) -> Outcome {
    match code {
        Code::Done => Outcome::Returned,
        Code::Err => Outcome::Errored,
        Code::Busy => Outcome::Full,
        Code::Etimedout => Outcome::TimedOut,
        Code::Econnrefused => Outcome::NoConnection,
        Code::Econnreset => Outcome::Reset,
        Code::Ecanceled => Outcome::Cancelled,
        Code::Skipped => Outcome::NotSent,
    }
}

pub fn entry(entry: &Entry) -> EngineEntry {
    EngineEntry {
        engine: entry.engine,
        location: entry.campus,
        cell: entry.unit_group,
        kind: entry.generation_hw,
        state: match entry.state {
            State::Active => EngineState::Active,
            State::Leaving => EngineState::Leaving,
            State::Left => EngineState::Left,
        },
        started: span(entry.started_at_us),
    }
}

pub fn arrival(ingress: Ingress) -> Event {
    Event::Arrived(Arrival {
        batch: ingress.call.into(),
        service_group: ingress.grade,
        table_group: ingress.tables,
        key: ingress.relation,
        patience: span(ingress.time_budget_us),
        work: ingress.estimate_us.filter(|work| *work > 0).map(span),
        memory_mb: ingress.footprint_mb,
        repeat: ingress.is_retry,
    })
}

pub fn note(what: u32, level: f64) -> Option<Note> {
    match what {
        1 => Some(Note::Progress(level)),
        2 => Some(Note::Spills(level)),
        3 if level >= 2.0 => Some(Note::WaitsForLoad),
        3 => Some(Note::WaitsForMemory),
        _ => None,
    }
}

pub fn deployment(settled: &Settled) -> Deployment {
    let family = &settled.family_info;
    let ceilings = &settled.ceilings;
    let rules = &settled.obligations;
    Deployment {
        fronts: settled.balancers,
        number: settled.my_number,
        location: settled.zone,
        service_groups: settled.classes.iter().enumerate().map(|(i, c)| terms(i, c, settled)).collect(),
        machines: (family.cpu_of_kind.iter().enumerate())
            .map(|(i, &cores)| Machine {
                cores,
                memory_mb: family.memory_by_kind_mb.get(i).copied().unwrap_or(0.0),
            })
            .collect(),
        tick: span(settled.tick_us),
        permits: Permits {
            probes: ceilings.probes,
            messages: ceilings.peers,
            cancel: ceilings.cancel,
            come_back: ceilings.retry_after,
            longest_come_back: span(ceilings.max_retry_after_us),
            second_copies: ceilings.second_copies,
            most_dispatches: ceilings.max_attempts,
            connect_timeout: span(ceilings.connect_timeout_us),
        },
        duties: Duties {
            drain_grace: span(rules.drain_grace_us),
            cold_from: rules.cold_from,
            cold_for: span(rules.cold_us),
            fall_multiple: rules.fall_multiple,
            fall_after: span(rules.tip_after_us),
            settle_after_doubt: span(rules.settle_after_doubt_us),
            ask_within: span(rules.ask_within_us),
            budget: rules.resend_span_us.map(|window| DispatchBudget {
                free: rules.min_extra.unwrap_or(0.0),
                share: rules.extra_ratio.unwrap_or(0.0),
                span: span(window),
            }),
        },
        discovery: match settled.discovery.as_str() {
            "on_request" => Discovery::OnRequest,
            _ => Discovery::Pushed,
        },
        reports: match settled.report.via.as_str() {
            "inline" => Reports::WithAnswers,
            "on_probe" => Reports::WhenProbed,
            _ => Reports::None,
        },
        note_period: span(family.note_period_us),
        priorities: family.lanes_count,
        grants: family.takes_grants,
        repeats_marked: settled.client_habits.marks_retry,
    }
}

fn terms(index: usize, class: &Class, settled: &Settled) -> ServiceTerms {
    let family = &settled.family_info;
    ServiceTerms {
        response_goal: span(class.aim_us),
        stretch: class.aim_stretch,
        time_limit: span(class.hard_limit_us),
        utility: class.points,
        late_share: class.late_value,
        effect: match class.effect {
            ClassEffect::Safe => Effect::Repeatable,
            ClassEffect::Unsafe => Effect::OnceOnly,
            ClassEffect::Keyed => Effect::Referenced {
                reach: match class.group {
                    Group::All => Reach::Everywhere,
                    Group::Zone => Reach::Location,
                    Group::Cell => Reach::Cell,
                },
                remembered: span(class.key_ttl_us),
            },
        },
        ordered: class.by_arrival,
        locations: class.areas_open.clone(),
        kinds: class.kinds_open.clone(),
        threads: family.class_threads.get(index).copied().unwrap_or(1.0),
        load: family.class_load.get(index).copied().unwrap_or(false),
        waits_for_loads: family.yields_to_loads.get(index).copied().unwrap_or(false),
    }
}

pub fn command(front_id: u32, action: Action) -> Cmd {
    match action {
        Action::Rank { batch, priority, memory_mb } => {
            Cmd::ASSIGN_TERMS { front_id, call: batch.to_string(), prio: priority, workspace_mb: memory_mb }
        }
        Action::Dispatch { batch, engine, time_out } => {
            Cmd::RELAY { front_id, call: batch.to_string(), try_for_us: us(time_out), engine }
        }
        Action::Cancel { batch, dispatch } => {
            Cmd::DROP_ATTEMPT { front_id, call: batch.to_string(), n: dispatch }
        }
        Action::PushBack { batch, come_back } => {
            Cmd::DECLINE { front_id, call: batch.to_string(), stay_away_us: come_back.map_or(0, us) }
        }
        Action::Error { batch } => Cmd::DROP_REQUEST { front_id, call: batch.to_string() },
        Action::Wake { at } => Cmd::ARM { front_id, fire_at_us: us(at), ctx: "due" },
        Action::Probe { engine } => Cmd::TEST { front_id, engine },
        Action::Follow => Cmd::KEEP_INFORMED { front_id, want: true },
    }
}
