//! Translates between the simulator's messages and the gateway's events and actions. No decisions are made here.

use crate::wire::{AttemptCode, AttemptEnded, Command, EndpointEntry, EndpointState, RequestArrived};
use lemonusher::*;
use lemonusher_deployment::{LoadReportFields, Settings};
use std::time::Duration;

/// Context string of a timer, which the simulator returns when the timer fires.
const TIMER_CONTEXT: &str = "due";
/// Packed usage is milliseconds of work times this factor, plus memory units.
const USAGE_WORK_FACTOR: u64 = 4096;
/// Megabytes of one memory unit in packed usage.
const USAGE_MEMORY_UNIT_MB: f64 = 4.0;

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Reads load reports and resource usage in the form that a front's settings state.
pub struct ReportReader {
    fields: LoadReportFields,
    reports_usage: bool,
}

impl ReportReader {
    /// A reader for a front with these settings.
    pub fn new(settings: &Settings) -> Self {
        ReportReader {
            fields: LoadReportFields::new(settings),
            reports_usage: settings.engines.reports_usage,
        }
    }

    /// Reads a load report, whose values are in the order that the settings state.
    pub fn load(&self, values: Option<Vec<f64>>) -> Option<LoadReport> {
        values.map(|values| self.fields.read_ordered(&values))
    }

    /// Converts the end of an attempt.
    pub fn attempt_ended(&self, ended: AttemptEnded) -> Event {
        let has_usage =
            self.reports_usage && ended.outcome == AttemptCode::Returned && ended.packed_usage > 0;
        Event::AttemptEnded(AttemptEnd {
            request: ended.request.into(),
            attempt: ended.attempt,
            engine: ended.engine,
            elapsed: Duration::from_micros(ended.elapsed_us),
            outcome: outcome(ended.outcome),
            request_finished: ended.request_finished,
            usage: has_usage.then(|| usage(ended.packed_usage)),
            load: self.load(ended.load),
        })
    }
}

fn usage(packed: u64) -> ResourceUsage {
    ResourceUsage {
        work: Duration::from_millis(packed / USAGE_WORK_FACTOR),
        memory_mb: (packed % USAGE_WORK_FACTOR) as f64 * USAGE_MEMORY_UNIT_MB,
    }
}

fn outcome(code: AttemptCode) -> AttemptOutcome {
    match code {
        AttemptCode::Returned => AttemptOutcome::Returned,
        AttemptCode::Failed => AttemptOutcome::Errored,
        AttemptCode::Rejected => AttemptOutcome::Rejected,
        AttemptCode::TimedOut => AttemptOutcome::TimedOut,
        AttemptCode::ConnectFailed => AttemptOutcome::ConnectFailed,
        AttemptCode::Reset => AttemptOutcome::Reset,
        AttemptCode::Cancelled => AttemptOutcome::Cancelled,
        AttemptCode::NotSent => AttemptOutcome::NotSent,
    }
}

/// Converts an entry of an endpoint list.
pub fn engine_entry(entry: &EndpointEntry) -> EngineEntry {
    EngineEntry {
        engine: entry.engine,
        zone: entry.zone,
        cell: entry.cell,
        machine_kind: entry.machine_kind,
        state: match entry.state {
            EndpointState::Active => EngineState::Active,
            EndpointState::Draining => EngineState::Draining,
            EndpointState::Removed => EngineState::Removed,
        },
        started_at: Duration::from_micros(entry.started_at_us),
        blocked_classes: 0,
    }
}

/// Converts the arrival of a request.
pub fn arrival(arrived: RequestArrived) -> Event {
    Event::Arrived(Arrival {
        request: arrived.request.into(),
        request_class: arrived.request_class,
        table_group: arrived.table_group,
        key: arrived.key,
        client_timeout: Duration::from_micros(arrived.client_timeout_us),
        work: arrived.work_us.filter(|work_us| *work_us > 0).map(Duration::from_micros),
        memory_mb: arrived.memory_mb,
        client_retry: arrived.client_retry,
    })
}

/// Converts a progress report. `None` for an unknown kind.
pub fn progress(what: u32, level: f64) -> Option<AttemptProgress> {
    match what {
        1 => Some(AttemptProgress::Done(level)),
        2 => Some(AttemptProgress::Spilling(level)),
        3 if level >= 2.0 => Some(AttemptProgress::WaitingForBulkLoad),
        3 => Some(AttemptProgress::WaitingForMemory),
        _ => None,
    }
}

/// Converts an action of a front's gateway to a command.
pub fn command(front: u32, action: Action) -> Command {
    match action {
        Action::SetPriority { request, priority, memory_mb } => {
            Command::SetPriority { front, request: request.to_string(), priority, memory_mb }
        }
        Action::Send { request, engine, timeout, .. } => {
            Command::Send { front, request: request.to_string(), timeout_us: micros(timeout), engine }
        }
        Action::Cancel { request, attempt } => {
            Command::Cancel { front, request: request.to_string(), attempt }
        }
        Action::Reject { request, retry_after } => Command::Reject {
            front,
            request: request.to_string(),
            retry_after_us: retry_after.map_or(0, micros),
        },
        Action::Fail { request } => Command::Fail { front, request: request.to_string() },
        Action::SetTimer { at } => Command::SetTimer { front, at_us: micros(at), context: TIMER_CONTEXT },
        Action::Probe { engine } => Command::Probe { front, engine },
        Action::WatchEndpoints => Command::WatchEndpoints { front, want: true },
    }
}
