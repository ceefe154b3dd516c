//! Optional sections of a simulated deployment: load reports, probes, clients, discovery and runaway requests.

use serde::Deserialize;

/// Limits of a value that is drawn uniformly, in the unit of its key.
pub type Range = [f64; 2];

/// How engines report their load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReports {
    /// How reports reach the fronts.
    pub how: ReportTransport,
    /// The values that a report has.
    pub fields: Vec<ReportField>,
    /// Seconds between two samples of an engine's load.
    pub period: f64,
    /// Seconds from a sample until it is reported.
    pub delay: Range,
    /// Largest relative error of a value, from 0 to 1.
    #[serde(default)]
    pub noise: f64,
}

/// How load reports reach the fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportTransport {
    /// No reports.
    Nothing,
    /// With the engines' replies.
    Answers,
    /// With the replies to probes.
    Probes,
}

/// A value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportField {
    /// Share of the cores that is busy, from 0 to 1.
    CoresBusy,
    /// Share of the memory that running requests have been granted.
    MemoryGranted,
    /// Number of requests that run or wait.
    #[serde(rename = "held")]
    InFlight,
}

/// Probes of engines by fronts, and their costs.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Probes {
    /// Work of a probe at the engine, in seconds on one thread.
    pub work: f64,
    /// Cost of one probe per request, as a share of the priority weight.
    pub price: f64,
}

/// Retries of clients, which keep one deadline over all tries of a request.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBehavior {
    /// Maximum number of tries of a request, including the first.
    pub tries: u32,
    /// Client timeout of a try as a share of the deadline; less if less of the deadline remains.
    pub try_share: f64,
    /// Seconds until the first retry; doubled with each further one.
    pub back_off: Range,
    /// Share of rejections after which the client waits for the stated retry-after time instead.
    pub honour: f64,
    /// Share of tries that the client gives up early, within half of the deadline.
    #[serde(default)]
    pub impatient: f64,
    /// Whether clients mark retries as such.
    pub marked: bool,
}

/// Delays of endpoint updates. Each front receives each change after its own random delay.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryDelays {
    /// Seconds until a front learns of a new engine.
    #[serde(rename = "told")]
    pub join_delay: Range,
    /// Seconds until a front learns that an engine was removed or drains.
    #[serde(rename = "gone")]
    pub leave_delay: Range,
    /// Duration in seconds of an outage of discovery, once per front at a random time. Changes during the outage
    /// arrive at its end.
    #[serde(default)]
    pub silent_for: Option<Range>,
    /// Maximum number of seconds that a front needs to connect to a new engine after it is notified.
    #[serde(default)]
    pub connect_late: f64,
}

/// Requests with many times the mean work of their class.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runaways {
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// Their work, as a multiple of their class's mean.
    pub times: Range,
}
