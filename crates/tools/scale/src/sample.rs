//! Samples and their CSV files.

use crate::role::Role;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::path::Path;

/// A measured quantity, with its unit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Metric {
    /// The name, as written in CSV files.
    #[serde(rename = "metric")]
    pub name: Cow<'static, str>,
    /// The unit, as written in CSV files; `1` for a plain count.
    pub unit: Cow<'static, str>,
}

impl Metric {
    /// Creates a metric from constants.
    pub const fn new(name: &'static str, unit: &'static str) -> Self {
        Metric { name: Cow::Borrowed(name), unit: Cow::Borrowed(unit) }
    }

    /// Combines this metric with a value.
    pub fn of(self, value: f64) -> MetricValue {
        MetricValue { metric: self, value }
    }

    /// The name and unit. A plain count has the unit `1`, which is omitted.
    pub fn title(&self) -> String {
        if self.unit == "1" { self.name.to_string() } else { format!("{}, {}", self.name, self.unit) }
    }
}

/// A value of a metric, not yet assigned to a role and size.
#[derive(Debug, Clone, PartialEq)]
pub struct MetricValue {
    /// The metric.
    pub metric: Metric,
    /// The value, in the metric's unit.
    pub value: f64,
}

/// The metrics that more than one role uses or that have a budget.
pub mod metric {
    use super::Metric;

    /// Processor time.
    pub const PROCESSOR: Metric = Metric::new("processor", "% of a core");
    /// Resident or allocated memory.
    pub const MEMORY: Metric = Metric::new("memory", "MB");
    /// Bytes of a state machine's state.
    pub const STATE: Metric = Metric::new("state", "B");
    /// Messages received.
    pub const MESSAGES_IN: Metric = Metric::new("messages_in", "1/s");
    /// Messages sent.
    pub const MESSAGES_OUT: Metric = Metric::new("messages_out", "1/s");
    /// Bytes received.
    pub const BYTES_IN: Metric = Metric::new("bytes_in", "B/s");
    /// Bytes sent.
    pub const BYTES_OUT: Metric = Metric::new("bytes_out", "B/s");
    /// Bytes a second received and sent in total; compared with the budget for control.
    pub const BYTES_CONTROL: Metric = Metric::new("bytes_control", "B/s");
    /// Time from the start of a rollout until the change is in force at every front.
    pub const IN_FORCE: Metric = Metric::new("in_force_slowest", "s");
    /// Time from the loss of a task's holder until another one may act.
    pub const REPLACEMENT: Metric = Metric::new("replacement", "s");
    /// Open descriptors.
    pub const DESCRIPTORS: Metric = Metric::new("descriptors", "1");
    /// A duration.
    pub const TIME: Metric = Metric::new("time", "ms");
}

/// One measured value.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// The role that was measured.
    pub role: Role,
    /// The other fixed conditions, such as `loss=20`; empty if there is only one case.
    pub case: String,
    /// The size along the role's [`crate::role::Axis`].
    pub size: u32,
    /// The measured metric.
    pub metric: Metric,
    /// The value, in the metric's unit.
    pub value: f64,
    /// True if the lateness of the harness exceeded its limit; the sample is then not used for a fit.
    pub disturbed: bool,
}

/// The error of reading or writing a CSV file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file can't be parsed as samples, or can't be opened or written.
    #[error("{path}: {cause}")]
    Csv {
        /// The path of the file.
        path: String,
        /// The underlying error.
        cause: csv::Error,
    },
    /// The file can't be flushed.
    #[error("{path}: {cause}")]
    Io {
        /// The path of the file.
        path: String,
        /// The underlying error.
        cause: std::io::Error,
    },
    /// A value is infinite or NaN.
    #[error("{path}: line {line}: the value is not a finite number")]
    NotFinite {
        /// The path of the file.
        path: String,
        /// The line number, from 1, where the header is line 1.
        line: usize,
    },
}

/// A line of a CSV file. It is flat, since CSV has no nested values.
#[derive(Serialize, Deserialize)]
struct Line {
    role: Role,
    case: String,
    size: u32,
    metric: String,
    unit: String,
    value: f64,
    disturbed: bool,
}

impl From<&Sample> for Line {
    fn from(sample: &Sample) -> Self {
        Line {
            role: sample.role,
            case: sample.case.clone(),
            size: sample.size,
            metric: sample.metric.name.to_string(),
            unit: sample.metric.unit.to_string(),
            value: sample.value,
            disturbed: sample.disturbed,
        }
    }
}

impl From<Line> for Sample {
    fn from(line: Line) -> Self {
        Sample {
            role: line.role,
            case: line.case,
            size: line.size,
            metric: Metric { name: line.metric.into(), unit: line.unit.into() },
            value: line.value,
            disturbed: line.disturbed,
        }
    }
}

/// Reads all samples of a file.
pub fn read(path: &Path) -> Result<Vec<Sample>, FileError> {
    let failed = |cause| FileError::Csv { path: path.display().to_string(), cause };
    let mut reader = csv::Reader::from_path(path).map_err(failed)?;
    let mut samples = Vec::new();
    for (index, line) in reader.deserialize::<Line>().enumerate() {
        let sample = Sample::from(line.map_err(failed)?);
        if !sample.value.is_finite() {
            return Err(FileError::NotFinite { path: path.display().to_string(), line: index + 2 });
        }
        samples.push(sample);
    }
    Ok(samples)
}

/// Writes samples to a file, and replaces its previous content.
pub fn write(path: &Path, samples: &[Sample]) -> Result<(), FileError> {
    let failed = |cause| FileError::Csv { path: path.display().to_string(), cause };
    let mut writer = csv::Writer::from_path(path).map_err(failed)?;
    for sample in samples {
        writer.serialize(Line::from(sample)).map_err(failed)?;
    }
    writer.flush().map_err(|cause| FileError::Io { path: path.display().to_string(), cause })
}
