//! The optional parts of a world: load reports, probes, clients, discovery and runaway requests.

use serde::Deserialize;

/// A figure drawn evenly between these two, in the unit of its key.
pub type Range = [f64; 2];

/// How engines report their load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReports {
    /// What reports come with.
    pub how: ReportTransport,
    /// The values that they have.
    pub fields: Vec<ReportField>,
    /// Seconds between two samples of an engine's load.
    pub period: f64,
    /// Seconds from a sample until it can be reported.
    pub delay: Range,
    /// Each figure is off by up to this share of itself.
    #[serde(default)]
    pub noise: f64,
}

/// What load reports come with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportTransport {
    /// There are none.
    Nothing,
    /// Responses of engines.
    Answers,
    /// Responses to probes.
    Probes,
}

/// A value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportField {
    /// Share of the cores that are busy.
    CoresBusy,
    /// Share of the memory that requests have been granted.
    MemoryGranted,
    /// Requests that run or wait.
    #[serde(rename = "held")]
    InFlight,
}

/// Fronts may probe engines, and each probe costs the engine this work.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Probes {
    /// Seconds on one thread.
    pub work: f64,
    /// What one probe a request costs, as a share of the priority weight.
    pub price: f64,
}

/// Clients that stay within one deadline over several tries.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBehavior {
    /// Tries of a request at most, the first among them.
    pub tries: u32,
    /// A try is given this share of the deadline, or what is left of it.
    pub try_share: f64,
    /// Seconds to the first repeat; doubled with each further.
    pub back_off: Range,
    /// Share that waits for the time that a rejection states instead.
    pub honour: f64,
    /// Share that gives up early, within half of the deadline.
    #[serde(default)]
    pub impatient: f64,
    /// Whether repeats are marked as such.
    pub marked: bool,
}

/// How fronts learn of engines; each front learns of each change after a time of its own.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryDelays {
    /// Seconds until a new engine is known.
    #[serde(rename = "told")]
    pub join_delay: Range,
    /// Seconds until it is known that an engine was removed or drains.
    #[serde(rename = "gone")]
    pub leave_delay: Range,
    /// Each front's watch is silent once for so many seconds; missed changes arrive at the end.
    #[serde(default)]
    pub silent_for: Option<Range>,
    /// Seconds that a front's connection to a new engine takes at most, from when it is notified.
    #[serde(default)]
    pub connect_late: f64,
}

/// Requests of many times the usual work.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runaways {
    /// Share of the requests.
    pub share: f64,
    /// How many times the usual work they take.
    pub times: Range,
}
