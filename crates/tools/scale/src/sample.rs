//! Samples and the CSV files that keep them.

use crate::role::Role;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::path::Path;

/// A quantity that roles are measured in, with its unit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Metric {
    /// As it stands in CSV files.
    #[serde(rename = "metric")]
    pub name: Cow<'static, str>,
    /// As it stands in CSV files.
    pub unit: Cow<'static, str>,
}

impl Metric {
    /// A metric known when the program is built.
    pub const fn new(name: &'static str, unit: &'static str) -> Self {
        Metric { name: Cow::Borrowed(name), unit: Cow::Borrowed(unit) }
    }

    /// A value of this metric.
    pub fn of(self, value: f64) -> MetricValue {
        MetricValue { metric: self, value }
    }

    /// Name and unit; a plain count has the unit `1`, which is left out.
    pub fn title(&self) -> String {
        if self.unit == "1" { self.name.to_string() } else { format!("{}, {}", self.name, self.unit) }
    }
}

/// A value of a metric, before it is known of which role and size.
#[derive(Debug, Clone, PartialEq)]
pub struct MetricValue {
    /// The metric.
    pub metric: Metric,
    /// In the metric's unit.
    pub value: f64,
}

/// The metrics that more than one role uses, or that a budget names.
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
    /// Bytes a second in and out together; what the budget for control names.
    pub const BYTES_CONTROL: Metric = Metric::new("bytes_control", "B/s");
    /// From the commit at one front until the change is in force at every front.
    pub const IN_FORCE: Metric = Metric::new("in_force_slowest", "s");
    /// From the loss of a task's holder until another one works.
    pub const REPLACEMENT: Metric = Metric::new("replacement", "s");
    /// Open descriptors.
    pub const DESCRIPTORS: Metric = Metric::new("descriptors", "1");
    /// A span of time.
    pub const TIME: Metric = Metric::new("time", "ms");
}

/// One measured value.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// The role that was measured.
    pub role: Role,
    /// What else was held fixed, such as `loss=20`; empty if there is only one case.
    pub case: String,
    /// The size along the role's [`crate::role::Axis`].
    pub size: u32,
    /// What was measured.
    pub metric: Metric,
    /// In the metric's unit.
    pub value: f64,
    /// The measurement's own lateness passed its bound: not used for a fit.
    pub disturbed: bool,
}

/// A CSV file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It is no CSV file of samples.
    #[error("{path}: {cause}")]
    Csv {
        /// The file.
        path: String,
        /// What failed.
        cause: csv::Error,
    },
    /// It can't be written.
    #[error("{path}: {cause}")]
    Io {
        /// The file.
        path: String,
        /// What failed.
        cause: std::io::Error,
    },
    /// A value is infinite or no number.
    #[error("{path}: line {line}: the value is not a finite number")]
    NotFinite {
        /// The file.
        path: String,
        /// Counted from 1, the header among them.
        line: usize,
    },
}

/// A line of a CSV file. Flat, since the format knows no nested values.
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

/// Writes samples over whatever the file held.
pub fn write(path: &Path, samples: &[Sample]) -> Result<(), FileError> {
    let failed = |cause| FileError::Csv { path: path.display().to_string(), cause };
    let mut writer = csv::Writer::from_path(path).map_err(failed)?;
    for sample in samples {
        writer.serialize(Line::from(sample)).map_err(failed)?;
    }
    writer.flush().map_err(|cause| FileError::Io { path: path.display().to_string(), cause })
}
