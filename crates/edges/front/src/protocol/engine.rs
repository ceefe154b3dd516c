//! The protocol between a front and an engine. A message is a line of words separated by spaces and terminated
//! by CR LF. The last word of an attempt, and of each reply, is a length: a body of that many bytes and another
//! CR LF follow.

use crate::transport::Parsed;
use std::fmt;
use std::fmt::Write as _;

/// Names of the commands that a front sends, and of their parameters.
mod command {
    /// Sends an attempt.
    pub const ATTEMPT: &str = "serve";
    /// Cancels an attempt.
    pub const CANCEL: &str = "cancel";
    /// Changes an attempt's priority.
    pub const PRIORITY: &str = "weigh";
    /// Requests a page of a result.
    pub const READ_PAGE: &str = "read";
    /// Releases a result with several pages, which the engine keeps until then.
    pub const RELEASE: &str = "release";
    /// Requests a load report.
    pub const LOAD_REPORT: &str = "gauges";
    /// Checks the engine's health, without a load report.
    pub const HEALTH: &str = "health";

    /// Parameter of an attempt: the name of the request class.
    pub const REQUEST_CLASS: &str = "queue";
    /// Parameter of an attempt: the remaining time, in milliseconds.
    pub const BUDGET_MS: &str = "budget";
    /// Parameter of an attempt: the memory grant, in MB.
    pub const MEMORY_MB: &str = "workmem";
    /// Parameter of an attempt: the priority.
    pub const PRIORITY_PARAMETER: &str = "weight";
}

/// Names of the replies that an engine sends, and of their fields.
mod reply {
    /// The result, or its first page.
    pub const COMPLETED: &str = "HIT";
    /// The engine rejected the attempt without starting it.
    pub const REJECTED: &str = "SHED";
    /// The attempt failed.
    pub const FAILED: &str = "FAULT";
    /// The attempt's time expired before the engine started it.
    pub const NOT_STARTED: &str = "LATE";
    /// A progress report.
    pub const PROGRESS: &str = "INFO";
    /// A further page of a result.
    pub const PAGE: &str = "PART";
    /// The engine is healthy.
    pub const HEALTHY: &str = "PONG";
    /// The engine is unhealthy.
    pub const UNHEALTHY: &str = "SICK";

    /// Field of a reply: the load report.
    pub const LOAD: &str = "use";
    /// Field of a completed attempt: the number of pages of its result.
    pub const PAGES: &str = "fetches";
    /// Field of a page: its number.
    pub const PAGE_NUMBER: &str = "fetch_no";
    /// Field of a completed attempt: its work on one thread, in milliseconds.
    pub const WORK_MS: &str = "effort";
    /// Field of a completed attempt: its peak memory, in MB.
    pub const PEAK_MEMORY_MB: &str = "high";
    /// Field of a progress report: its kind.
    pub const PROGRESS_KIND: &str = "detail";
    /// Field of a progress report: its value.
    pub const PROGRESS_VALUE: &str = "figure";

    /// Kind of progress report: the value is the completed share of the attempt.
    pub const DONE: &str = "advance";
    /// Kind of progress report: the attempt spills to disk.
    pub const SPILLING: &str = "disk";
    /// Kind of progress report: the attempt waits for memory or for a bulk load.
    pub const WAITING: &str = "stall";
    /// An attempt that reports waiting with this value or more waits for a bulk load; with less, it waits for
    /// memory.
    pub const WAITING_FOR_BULK_LOAD: f64 = 2.0;
}

/// Maximum length of a reply's line.
const MAX_LINE_BYTES: usize = 2 * 1024;
/// Maximum length of a reply's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a reply: its line, its body and both line ends.
pub const MAX_REPLY_BYTES: usize = MAX_LINE_BYTES + MAX_BODY_BYTES + 4;

/// Parameters of an attempt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptParameters<'a> {
    /// Name of the request class.
    pub request_class: &'a str,
    /// Remaining time, in milliseconds.
    pub budget_ms: u64,
    /// Priority that the engine runs the attempt with.
    pub priority: u8,
    /// Memory grant in MB. With 0 the parameter is omitted and the engine chooses.
    pub memory_mb: u64,
}

/// Encodes the command that sends an attempt. `id` is the id of the request.
pub fn encode_attempt(id: &str, parameters: &AttemptParameters, statement: &[u8]) -> Vec<u8> {
    use command::{ATTEMPT, BUDGET_MS, MEMORY_MB, PRIORITY_PARAMETER, REQUEST_CLASS};
    let AttemptParameters { request_class, budget_ms, priority, memory_mb } = parameters;
    let mut line = format!("{ATTEMPT} {id} {REQUEST_CLASS}={request_class},{BUDGET_MS}={budget_ms}");
    if *memory_mb > 0 {
        let _ = write!(line, ",{MEMORY_MB}={memory_mb}");
    }
    let _ = write!(line, ",{PRIORITY_PARAMETER}={priority} {}\r\n", statement.len());
    let mut message = line.into_bytes();
    message.extend_from_slice(statement);
    message.extend_from_slice(b"\r\n");
    message
}

/// Encodes the command that cancels an attempt.
pub fn encode_cancel(id: &str) -> String {
    format!("{} {id}\r\n", command::CANCEL)
}

/// Encodes the command that changes the priority of an attempt.
pub fn encode_priority(id: &str, priority: u8) -> String {
    format!("{} {id} {priority}\r\n", command::PRIORITY)
}

/// Encodes the command that requests a page of a result. Page 0 comes with the first reply.
pub fn encode_read_page(id: &str, page: usize) -> String {
    format!("{} {id} {page}\r\n", command::READ_PAGE)
}

/// Encodes the command that releases a result with several pages.
pub fn encode_release(id: &str) -> String {
    format!("{} {id}\r\n", command::RELEASE)
}

/// Encodes a probe: a request for a load report, or a health check without one.
pub fn encode_probe(id: &str, load_report: bool) -> String {
    format!("{} {id}\r\n", if load_report { command::LOAD_REPORT } else { command::HEALTH })
}

/// An engine's reply to an attempt, a page request or a probe.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReply {
    /// The id of the request or probe.
    pub id: String,
    /// Kind of the reply, with the fields that belong to it.
    pub kind: ReplyKind,
    /// The load report; `None` if the reply has none.
    pub load: Option<Vec<LoadField>>,
    /// The rows of the page.
    pub body: Vec<u8>,
}

/// One value of a load report.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadField {
    /// Name on the wire.
    pub name: String,
    /// Finite and not negative.
    pub value: f64,
}

/// Kind of a reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplyKind {
    /// The attempt completed. The body is page 0 of the result.
    Completed {
        /// Number of pages of the result, page 0 included; at least 1.
        pages: usize,
        /// Resources that the attempt used; `None` if the engine does not report them.
        usage: Option<ReportedUsage>,
    },
    /// The engine rejected the attempt without starting it.
    Rejected,
    /// The attempt failed, or the engine has no attempt with this id.
    Failed,
    /// The attempt's time expired before the engine started it.
    NotStarted,
    /// The attempt is running. `None` if the kind of the progress report is missing or unknown.
    Progress(Option<ProgressNote>),
    /// A page after the first.
    Page {
        /// Page number, from 1.
        page: usize,
    },
    /// The engine is healthy.
    Healthy,
    /// The engine is unhealthy.
    Unhealthy,
}

/// Resources that an attempt used, as reported by the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedUsage {
    /// Work on one thread, in milliseconds.
    pub work_ms: f64,
    /// Peak memory in MB.
    pub memory_mb: f64,
}

/// A progress report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProgressNote {
    /// Completed share of the attempt, from 0 to 1.
    Done(f64),
    /// The attempt spills to disk. The value is the memory that it would need, in MB.
    Spilling(f64),
    /// The attempt waits for memory.
    WaitingForMemory,
    /// The attempt waits for a bulk load to end.
    WaitingForBulkLoad,
}

/// Reason why bytes can't be parsed as a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyError {
    /// The line is too long, not UTF-8, or not four words.
    Line,
    /// The kind of the reply is unknown.
    UnknownReply,
    /// A field is missing or malformed.
    Field,
    /// A length is malformed, exceeds the limit or does not match the body.
    Length,
    /// The body does not consist of complete rows.
    Rows,
}

/// The texts say "answer" for a reply and "word" for its kind, because log lines with them are matched elsewhere.
impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ReplyError::Line => "an answer does not start with a line of four words",
            ReplyError::UnknownReply => "an answer has an unknown word",
            ReplyError::Field => "an answer has a missing or malformed field",
            ReplyError::Length => "an answer has a wrong length",
            ReplyError::Rows => "an answer has a body with incomplete rows",
        })
    }
}

/// Parses the first reply in `bytes`; `None` while it is incomplete.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<Parsed<EngineReply>>, ReplyError> {
    let Some(end) = bytes.windows(2).take(MAX_LINE_BYTES).position(|pair| pair == b"\r\n") else {
        return if bytes.len() > MAX_LINE_BYTES { Err(ReplyError::Line) } else { Ok(None) };
    };
    let line = std::str::from_utf8(&bytes[..end]).map_err(|_| ReplyError::Line)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, kind, fields, length] = words[..] else { return Err(ReplyError::Line) };
    if id.is_empty() {
        return Err(ReplyError::Line);
    }
    let length: usize = length.parse().map_err(|_| ReplyError::Length)?;
    if length > MAX_BODY_BYTES {
        return Err(ReplyError::Length);
    }
    let body_start = end + 2;
    let Some(rest) = bytes.get(body_start..body_start + length + 2) else { return Ok(None) };
    let (body, line_end) = rest.split_at(length);
    if line_end != b"\r\n" {
        return Err(ReplyError::Length);
    }
    let fields = Fields::parse(fields)?;
    let message = EngineReply {
        id: id.to_owned(),
        kind: fields.reply_kind(kind)?,
        load: fields.get(reply::LOAD).map(parse_load),
        body: body.to_vec(),
    };
    Ok(Some(Parsed { length: body_start + length + 2, message }))
}

/// Returns whether a page is UTF-8 text of complete rows with three columns each, separated by tabs.
pub fn has_complete_rows(body: &[u8]) -> bool {
    let is_row = |row: &[u8]| row.iter().filter(|b| **b == b'\t').count() == 2;
    let rows = body.strip_suffix(b"\n").map(|rows| rows.split(|b| *b == b'\n').all(is_row));
    std::str::from_utf8(body).is_ok() && rows.unwrap_or(body.is_empty())
}

/// One field of a reply.
struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

struct Fields<'a>(Vec<Field<'a>>);

impl<'a> Fields<'a> {
    fn parse(text: &'a str) -> Result<Self, ReplyError> {
        if text == "-" {
            return Ok(Fields(Vec::new()));
        }
        let parse_field = |field: &'a str| {
            let (name, value) = field.split_once('=').ok_or(ReplyError::Field)?;
            Ok(Field { name, value })
        };
        text.split(',').map(parse_field).collect::<Result<_, _>>().map(Fields)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|field| field.name == name).map(|field| field.value)
    }

    /// The value of a numeric field; `None` if the field is missing.
    fn number(&self, name: &str) -> Result<Option<f64>, ReplyError> {
        self.get(name).map(|text| parse_number(text).ok_or(ReplyError::Field)).transpose()
    }

    /// The value of an integer field; `None` if the field is missing.
    fn integer(&self, name: &str) -> Result<Option<usize>, ReplyError> {
        self.get(name).map(|text| text.parse().map_err(|_| ReplyError::Field)).transpose()
    }

    fn reply_kind(&self, word: &str) -> Result<ReplyKind, ReplyError> {
        Ok(match word {
            reply::COMPLETED => ReplyKind::Completed {
                pages: self.integer(reply::PAGES)?.unwrap_or(1).max(1),
                usage: self.usage()?,
            },
            reply::REJECTED => ReplyKind::Rejected,
            reply::FAILED => ReplyKind::Failed,
            reply::NOT_STARTED => ReplyKind::NotStarted,
            reply::PROGRESS => ReplyKind::Progress(self.progress()?),
            reply::PAGE => {
                ReplyKind::Page { page: self.integer(reply::PAGE_NUMBER)?.ok_or(ReplyError::Field)? }
            }
            reply::HEALTHY => ReplyKind::Healthy,
            reply::UNHEALTHY => ReplyKind::Unhealthy,
            _ => return Err(ReplyError::UnknownReply),
        })
    }

    fn usage(&self) -> Result<Option<ReportedUsage>, ReplyError> {
        let memory_mb = || self.number(reply::PEAK_MEMORY_MB).ok().flatten().unwrap_or(0.0);
        let work_ms = self.number(reply::WORK_MS)?;
        Ok(work_ms.map(|work_ms| ReportedUsage { work_ms, memory_mb: memory_mb() }))
    }

    fn progress(&self) -> Result<Option<ProgressNote>, ReplyError> {
        let value = self.number(reply::PROGRESS_VALUE)?.unwrap_or(0.0);
        Ok(match self.get(reply::PROGRESS_KIND) {
            Some(reply::DONE) => Some(ProgressNote::Done(value)),
            Some(reply::SPILLING) => Some(ProgressNote::Spilling(value)),
            Some(reply::WAITING) if value >= reply::WAITING_FOR_BULK_LOAD => {
                Some(ProgressNote::WaitingForBulkLoad)
            }
            Some(reply::WAITING) => Some(ProgressNote::WaitingForMemory),
            _ => None,
        })
    }
}

/// Parses a finite number that is not negative.
fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}

/// Parses a load report such as `inflight:7;util:0.61`. Malformed entries are skipped.
fn parse_load(text: &str) -> Vec<LoadField> {
    let values = text.split(';').filter_map(|part| part.split_once(':'));
    values
        .filter_map(|(name, value)| Some(LoadField { name: name.to_owned(), value: parse_number(value)? }))
        .collect()
}

#[cfg(test)]
#[path = "../../tests/unit/engine.rs"]
mod tests;
