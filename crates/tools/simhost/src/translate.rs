//! Translates between the simulator's messages and the decision module's events and actions. Nothing here decides.

use crate::wire::{AttemptCode, AttemptEnded, Command, EndpointEntry, EndpointState, RequestArrived};
use lemonusher::*;
use lemonusher_deployment::{LoadReportFields, Settings};
use std::time::Duration;

/// What the simulator gives back with a timer.
const TIMER_CONTEXT: &str = "due";
/// Packed usage: milliseconds of work times this, plus the memory.
const USAGE_WORK_FACTOR: u64 = 4096;
/// Packed usage: megabytes of one unit of memory.
const USAGE_MEMORY_UNIT_MB: f64 = 4.0;

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// How load reports and usage are to be read, by a front's settings.
pub struct ReportReader {
    fields: LoadReportFields,
    reports_usage: bool,
}

impl ReportReader {
    /// A translator for one front with these settings.
    pub fn new(settings: &Settings) -> Self {
        ReportReader {
            fields: LoadReportFields::new(settings),
            reports_usage: settings.engines.reports_usage,
        }
    }

    /// A load report from the values on the wire, in the order that the settings state.
    pub fn load(&self, values: Option<Vec<f64>>) -> Option<LoadReport> {
        values.map(|values| self.fields.read_ordered(&values))
    }

    /// The end of an attempt, as the gateway's event.
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

/// An engine of the endpoint list.
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

/// A request that has arrived.
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

/// Reads a progress report; none if it is of a kind that is not known.
pub fn progress(what: u32, level: f64) -> Option<AttemptProgress> {
    match what {
        1 => Some(AttemptProgress::Done(level)),
        2 => Some(AttemptProgress::Spilling(level)),
        3 if level >= 2.0 => Some(AttemptProgress::WaitingForBulkLoad),
        3 => Some(AttemptProgress::WaitingForMemory),
        _ => None,
    }
}

/// What the gateway wants done, as a command of the wire for one front.
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
