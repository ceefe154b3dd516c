//! Between the wire's words and the interface's. Nothing here decides.

use crate::wire::{Cmd, Code, Ended, Entry, Ingress, State};
use lemonusher::*;
use lemonusher_deployment::{LoadReportFields, Settings};
use std::time::Duration;

fn us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// How an instance's load reports and answer notes are to be read.
pub struct Reading {
    fields: LoadReportFields,
    says_cost: bool,
}

impl Reading {
    pub fn of(settled: &Settings) -> Self {
        Reading { fields: LoadReportFields::new(settled), says_cost: settled.engines.reports_usage }
    }

    pub fn gauge(&self, values: Option<Vec<f64>>) -> Option<LoadReport> {
        values.map(|values| self.fields.read_ordered(&values))
    }

    pub fn ending(&self, ended: Ended) -> Event {
        let cost = (self.says_cost && ended.code == Code::Done && ended.note > 0).then(|| ResourceUsage {
            work: Duration::from_millis(ended.note / 4096),
            memory_mb: (ended.note % 4096) as f64 * 4.0,
        });
        Event::AttemptEnded(AttemptEnd {
            request: ended.call.into(),
            attempt: ended.n,
            engine: ended.engine,
            elapsed: Duration::from_micros(ended.cost_time_us),
            outcome: outcome(ended.code),
            request_finished: ended.no_more,
            usage: cost,
            load: self.gauge(ended.gauge),
        })
    }
}

fn outcome(code: Code) -> AttemptOutcome {
    match code {
        Code::Done => AttemptOutcome::Returned,
        Code::Err => AttemptOutcome::Errored,
        Code::Busy => AttemptOutcome::Rejected,
        Code::Etimedout => AttemptOutcome::TimedOut,
        Code::Econnrefused => AttemptOutcome::ConnectFailed,
        Code::Econnreset => AttemptOutcome::Reset,
        Code::Ecanceled => AttemptOutcome::Cancelled,
        Code::Skipped => AttemptOutcome::NotSent,
    }
}

pub fn entry(entry: &Entry) -> EngineEntry {
    EngineEntry {
        engine: entry.engine,
        zone: entry.campus,
        cell: entry.unit_group,
        machine_kind: entry.generation_hw,
        state: match entry.state {
            State::Active => EngineState::Active,
            State::Leaving => EngineState::Draining,
            State::Left => EngineState::Removed,
        },
        started_at: Duration::from_micros(entry.started_at_us),
        blocked_classes: 0,
    }
}

pub fn arrival(ingress: Ingress) -> Event {
    Event::Arrived(Arrival {
        request: ingress.call.into(),
        request_class: ingress.grade,
        table_group: ingress.tables,
        key: ingress.relation,
        client_timeout: Duration::from_micros(ingress.time_budget_us),
        work: ingress.estimate_us.filter(|work| *work > 0).map(Duration::from_micros),
        memory_mb: ingress.footprint_mb,
        client_retry: ingress.is_retry,
    })
}

pub fn note(what: u32, level: f64) -> Option<AttemptProgress> {
    match what {
        1 => Some(AttemptProgress::Done(level)),
        2 => Some(AttemptProgress::Spilling(level)),
        3 if level >= 2.0 => Some(AttemptProgress::WaitingForBulkLoad),
        3 => Some(AttemptProgress::WaitingForMemory),
        _ => None,
    }
}

pub fn command(front_id: u32, action: Action) -> Cmd {
    match action {
        Action::SetPriority { request, priority, memory_mb } => {
            Cmd::ASSIGN_TERMS { front_id, call: request.to_string(), prio: priority, workspace_mb: memory_mb }
        }
        Action::Send { request, engine, timeout: time_out, .. } => {
            Cmd::RELAY { front_id, call: request.to_string(), try_for_us: us(time_out), engine }
        }
        Action::Cancel { request, attempt } => {
            Cmd::DROP_ATTEMPT { front_id, call: request.to_string(), n: attempt }
        }
        Action::Reject { request, retry_after: come_back } => {
            Cmd::DECLINE { front_id, call: request.to_string(), stay_away_us: come_back.map_or(0, us) }
        }
        Action::Fail { request } => Cmd::DROP_REQUEST { front_id, call: request.to_string() },
        Action::SetTimer { at } => Cmd::ARM { front_id, fire_at_us: us(at), ctx: "due" },
        Action::Probe { engine } => Cmd::TEST { front_id, engine },
        Action::WatchEndpoints => Cmd::KEEP_INFORMED { front_id, want: true },
    }
}
