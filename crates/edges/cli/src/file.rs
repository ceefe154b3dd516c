//! The operator's file: TOML, every key known, every error with its line and what would be right.

use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// An operator's file: what it switches on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub struct ConfigFile {
    /// Where the front's own settings are.
    #[serde(default)]
    pub front: FrontSection,
    /// The log.
    #[serde(default)]
    pub log: LogSection,
    /// Managers' protocols; off if absent.
    pub managed: Option<ManagementSection>,
    /// The external processor; off if absent.
    pub processor: Option<ProcessorSection>,
    /// Messages between fronts; off if absent.
    pub fleet: Option<FleetSection>,
}

/// `[fleet]`: messages between fronts, and leases.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub struct FleetSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// File with the secret that only fronts of this fleet know; 16 bytes at least.
    pub key_file: Spanned<PathBuf>,
    /// The 3, 5 or 7 voters, alike at every front.
    pub voters: Spanned<Vec<SocketAddr>>,
    /// Whether this front is one of them.
    #[serde(rename = "votes", default)]
    pub is_voter: bool,
    /// Which of them, from 0, if the address that it listens at does not tell.
    #[serde(rename = "place")]
    pub voter_index: Option<Spanned<usize>>,
    /// The address by which other fronts reach this one, if it is not the one that it listens at.
    #[serde(rename = "known_as")]
    pub advertised_address: Option<Spanned<SocketAddr>>,
    /// Duration of a lease, in milliseconds.
    #[serde(default = "FleetSection::default_lease_ms")]
    pub lease_ms: Spanned<u64>,
    /// By how many thousandths a clock may run fast or slow.
    #[serde(rename = "drift_thousandths", default = "FleetSection::default_clock_drift_permille")]
    pub clock_drift_permille: Spanned<u32>,
    /// Longest action of a lease holder in milliseconds, where what is acted upon can't refuse an older fencing token.
    #[serde(rename = "act_ms", default = "FleetSection::default_max_action_time_ms")]
    pub max_action_time_ms: u64,
    /// Folder in which the highest fencing token is stored.
    #[serde(rename = "folder")]
    pub state_folder: Option<Spanned<PathBuf>>,
    /// Number of quota slots into which the fronts' common quota is divided; 0 for none.
    #[serde(rename = "seats", default)]
    pub quota_slots: u32,
    /// Number of quota slots that this front asks for.
    #[serde(rename = "wants_seats", default = "FleetSection::default_wanted_slots")]
    pub wanted_slots: usize,
    /// The quota slot for which this front asks first.
    #[serde(rename = "number", default)]
    pub first_slot: u32,
    /// Tasks that this front is willing to hold.
    #[serde(default)]
    pub tasks: Vec<TaskSection>,
    /// Failover of zones; off if absent.
    #[serde(rename = "sites")]
    pub zones: Option<Spanned<ZonesSection>>,
    /// Maintenance of machines; off if absent.
    #[serde(rename = "works")]
    pub maintenance: Option<Spanned<MaintenanceSection>>,
}

/// `[fleet.zones]`: failover of zones; alike at every front. Times are in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Sites")]
pub struct ZonesSection {
    /// Between two reports of a front.
    #[serde(rename = "period_ms")]
    pub report_interval_ms: u64,
    /// A loss must last so long.
    #[serde(rename = "confirm_ms")]
    pub confirmation_time_ms: u64,
    /// A lost zone must answer for so long before it returns.
    #[serde(rename = "steady_ms")]
    pub probation_ms: u64,
    /// Between two steps of a return, at least.
    #[serde(rename = "pace_ms")]
    pub ramp_interval_ms: u64,
    /// A lost zone is left alone for so long; doubles with each loss in a row.
    #[serde(rename = "wait_ms")]
    pub recovery_backoff_ms: u64,
    /// A front that has heard nothing of the plan for so long decides by itself.
    #[serde(rename = "stale_ms")]
    pub plan_timeout_ms: u64,
    /// Share of the remaining capacity that a plan uses at most, from 0 to 1.
    #[serde(rename = "safe_part")]
    pub max_utilization: f64,
    /// Share of each request class that is admitted at least, from 0 to 1.
    #[serde(rename = "floor_part")]
    pub admission_floor: f64,
}

/// `[fleet.maintenance]`: maintenance of machines; alike at every front. Needs `[fleet.zones]`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Works")]
pub struct MaintenanceSection {
    /// Names of the fronts that must confirm that a machine is drained before it is released.
    #[serde(rename = "fronts")]
    pub required_fronts: Vec<String>,
    /// Address that is notified of each released machine by a datagram.
    #[serde(rename = "tell")]
    pub notify: Option<Spanned<SocketAddr>>,
    /// Share that must still be served, of what would be served with a zone lost; from 0 to 1.
    #[serde(rename = "keep_part", default = "MaintenanceSection::default_min_reserve")]
    pub min_reserve: f64,
    /// By what share more demand than now is provided for.
    #[serde(rename = "margin_part", default = "MaintenanceSection::default_demand_margin")]
    pub demand_margin: f64,
    /// A returned machine must answer for so long, in milliseconds.
    #[serde(rename = "steady_ms", default = "MaintenanceSection::default_probation_ms")]
    pub probation_ms: u64,
}

impl MaintenanceSection {
    fn default_min_reserve() -> f64 {
        0.9
    }

    fn default_demand_margin() -> f64 {
        0.1
    }

    fn default_probation_ms() -> u64 {
        10_000
    }

    pub fn config(&self, poll_interval: Duration) -> lemonusher_maintenance::MaintenanceConfig {
        lemonusher_maintenance::MaintenanceConfig {
            poll_interval,
            required_fronts: self.required_fronts.clone(),
            min_reserve: self.min_reserve,
            demand_margin: self.demand_margin,
            probation: Duration::from_millis(self.probation_ms),
        }
    }
}

impl Default for ZonesSection {
    fn default() -> ZonesSection {
        ZonesSection {
            report_interval_ms: 500,
            confirmation_time_ms: 2000,
            probation_ms: 4000,
            ramp_interval_ms: 5000,
            recovery_backoff_ms: 5000,
            plan_timeout_ms: 10_000,
            max_utilization: 0.8,
            admission_floor: 0.05,
        }
    }
}

impl ZonesSection {
    pub fn config(&self) -> lemonusher_zone_failover::FailoverConfig {
        let ms = Duration::from_millis;
        lemonusher_zone_failover::FailoverConfig {
            report_interval: ms(self.report_interval_ms),
            confirmation_time: ms(self.confirmation_time_ms),
            probation: ms(self.probation_ms),
            ramp_interval: ms(self.ramp_interval_ms),
            recovery_backoff: ms(self.recovery_backoff_ms),
            plan_timeout: ms(self.plan_timeout_ms),
            max_utilization: self.max_utilization,
            admission_floor: self.admission_floor,
        }
    }
}

/// `[[fleet.tasks]]`: a task of the fleet that this front is willing to hold.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct FleetTask")]
pub struct TaskSection {
    /// Name of the task and of its lease.
    pub name: Spanned<String>,
    /// Address that is notified of each action by a datagram.
    #[serde(rename = "tell")]
    pub notify: Option<Spanned<SocketAddr>>,
    /// Time between two actions, in milliseconds.
    #[serde(rename = "every_ms", default = "TaskSection::default_interval_ms")]
    pub interval_ms: Spanned<u64>,
    /// Duration of an action, in milliseconds.
    #[serde(rename = "takes_ms", default)]
    pub duration_ms: u64,
    /// Whether what is acted upon refuses an older fencing token.
    #[serde(rename = "refuses_older", default)]
    pub is_fenced: bool,
}

impl FleetSection {
    /// This front's place among the voters.
    pub fn own_voter_index(&self) -> Option<usize> {
        let voters = self.voters.get_ref();
        let stated = self.voter_index.as_ref().map(|place| *place.get_ref());
        stated.or_else(|| voters.iter().position(|voter| voter == self.listen.get_ref()))
    }

    fn default_lease_ms() -> Spanned<u64> {
        Spanned::new(0..0, 3000)
    }

    fn default_clock_drift_permille() -> Spanned<u32> {
        Spanned::new(0..0, 20)
    }

    fn default_max_action_time_ms() -> u64 {
        1000
    }

    fn default_wanted_slots() -> usize {
        1
    }
}

impl TaskSection {
    fn default_interval_ms() -> Spanned<u64> {
        Spanned::new(0..0, 1000)
    }
}

/// `[front]`: where the front's settings are.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Front")]
pub struct FrontSection {
    /// The front's start file, from the folder of this one; if absent, the one that `PROXY_CONFIG` names.
    #[serde(rename = "told")]
    pub start_file: Option<Spanned<PathBuf>>,
}

/// `[log]`: the log on standard error.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Log")]
pub struct LogSection {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// How lines are written.
    #[serde(rename = "form")]
    pub format: LogFormat,
}

/// Severity of log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Level")]
pub enum LogLevel {
    /// Errors alone.
    Error,
    /// Warnings too.
    Warn,
    /// What operators usually want.
    #[default]
    Info,
    /// Details for finding faults.
    Debug,
    /// Everything.
    Trace,
}

/// How log lines are written.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Form")]
pub enum LogFormat {
    /// As text.
    #[default]
    Text,
    /// As one JSON object a line.
    Json,
}

/// `[managed]`: managers' protocols and the store behind them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Managed")]
pub struct ManagementSection {
    /// Folder in which commits are stored; without it they end with the process.
    #[serde(rename = "folder")]
    pub state_folder: Option<Spanned<PathBuf>>,
    /// Number of commits that can be rolled back to.
    #[serde(rename = "history", default = "ManagementSection::default_max_commits")]
    pub max_commits: Spanned<usize>,
    /// Maximum number of sessions, over both protocols.
    #[serde(rename = "sessions", default = "ManagementSection::default_max_sessions")]
    pub max_sessions: Spanned<usize>,
    /// Maximum number of subscriptions.
    #[serde(rename = "subscriptions", default = "ManagementSection::default_max_subscriptions")]
    pub max_subscriptions: Spanned<usize>,
    /// Maximum age of the counters that managers read, in milliseconds.
    #[serde(rename = "freshness_ms", default = "ManagementSection::default_max_counter_age_ms")]
    pub max_counter_age_ms: Spanned<u64>,
    /// Whether a start begins with the startup datastore, if there is one.
    #[serde(rename = "from_startup", default)]
    pub starts_from_startup: bool,
    /// The gNMI server; off if absent.
    pub gnmi: Option<GnmiSection>,
    /// The NETCONF server; off if absent.
    pub netconf: Option<NetconfSection>,
    /// Users. If there are none, whoever reaches a loopback address may read and write.
    #[serde(default)]
    pub users: Vec<UserSection>,
}

/// `[managed.gnmi]`: the gNMI server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Gnmi")]
pub struct GnmiSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// File with the certificate, PEM; TLS if there is one.
    pub certificate: Option<Spanned<PathBuf>>,
    /// File with its private key, PEM.
    pub key: Option<Spanned<PathBuf>>,
}

/// `[managed.netconf]`: the NETCONF server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Netconf")]
pub struct NetconfSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// File with the host's private key, in OpenSSH's form; without it a new one is made at each start.
    pub host_key: Option<Spanned<PathBuf>>,
}

/// `[[managed.users]]`: a manager.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct User")]
pub struct UserSection {
    /// Name to log in by.
    pub name: Spanned<String>,
    /// What the user may do.
    #[serde(rename = "may", default)]
    pub access: Access,
    /// Public key for NETCONF, as a line of OpenSSH's.
    pub ssh_key: Option<Spanned<String>>,
    /// File with the password for gNMI.
    pub password_file: Option<Spanned<PathBuf>>,
}

/// What a user may do.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum May")]
pub enum Access {
    /// Read.
    #[default]
    Read,
    /// Read and write.
    Write,
}

impl fmt::Display for Access {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Access::Read => "read",
            Access::Write => "read and write",
        })
    }
}

impl ManagementSection {
    fn default_max_commits() -> Spanned<usize> {
        Spanned::new(0..0, 100)
    }

    fn default_max_sessions() -> Spanned<usize> {
        Spanned::new(0..0, 64)
    }

    fn default_max_subscriptions() -> Spanned<usize> {
        Spanned::new(0..0, 256)
    }

    fn default_max_counter_age_ms() -> Spanned<u64> {
        Spanned::new(0..0, 50)
    }

    pub fn max_counter_age(&self) -> Duration {
        Duration::from_millis(*self.max_counter_age_ms.get_ref())
    }
}

/// `[processor]`: the external processor. With it the front serves proxies alone: no listener for clients, no
/// connections to engines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Processor")]
pub struct ProcessorSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// The proxies' `message_timeout`, in milliseconds.
    #[serde(default = "ProcessorSection::default_message_timeout_ms")]
    pub message_timeout_ms: Spanned<u64>,
    /// What the proxies do when they get no response in time.
    #[serde(rename = "fails", default)]
    pub failure_mode: FailureMode,
    /// How much longer in all the proxies may be asked to wait (their `max_message_timeout`), in milliseconds.
    #[serde(rename = "more_time_ms", default)]
    pub max_timeout_extension_ms: u64,
    /// How long a proxy's retry is waited for, in milliseconds.
    #[serde(rename = "retry_within_ms", default = "ProcessorSection::default_retry_window_ms")]
    pub retry_window_ms: u64,
    /// File with the key that signs continuation tokens, the same for all processors of a deployment; without it
    /// tokens are valid for one process.
    pub key_file: Option<Spanned<PathBuf>>,
    /// Maximum number of open streams, over all proxies.
    #[serde(rename = "streams", default = "ProcessorSection::default_max_streams")]
    pub max_streams: Spanned<usize>,
    /// Maximum number of finished calls that are remembered.
    #[serde(rename = "remembered", default = "ProcessorSection::default_max_remembered")]
    pub max_remembered: usize,
    /// Whether the request's body holds the statement, from which its table group is read.
    #[serde(rename = "statement", default)]
    pub body_is_statement: bool,
    /// Whether engines count as just started at the start, as it is not known what proxies have in flight.
    #[serde(default = "ProcessorSection::default_recovers")]
    pub recovers: bool,
    /// Time between two decisions, in microseconds.
    #[serde(default = "ProcessorSection::default_tick_us")]
    pub tick_us: Spanned<u64>,
    /// Names of headers that are not the usual ones.
    #[serde(default)]
    pub headers: HeadersSection,
    /// Request classes by path prefix.
    #[serde(rename = "paths", default)]
    pub class_by_path: std::collections::BTreeMap<String, String>,
    /// Client timeout of a request that states none, in milliseconds.
    #[serde(rename = "patience_ms", default = "ProcessorSection::default_client_timeout_ms")]
    pub client_timeout_ms: u64,
}

/// What proxies do when they get no response in time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Fails")]
pub enum FailureMode {
    /// They forward the request (`failure_mode_allow`).
    Open,
    /// They answer with an error.
    #[default]
    Closed,
}

/// `[processor.headers]`: names of headers, if they are not the usual ones; `HeaderNames` says what each holds.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Headers")]
pub struct HeadersSection {
    #[serde(rename = "batch")]
    pub request_id: Option<String>,
    #[serde(rename = "service_group")]
    pub request_class: Option<String>,
    pub table_group: Option<String>,
    #[serde(rename = "patience")]
    pub client_timeout: Option<String>,
    #[serde(rename = "repeat")]
    pub client_retry: Option<String>,
    #[serde(rename = "attempt")]
    pub attempt_count: Option<String>,
    #[serde(rename = "ticket")]
    pub continuation_token: Option<String>,
    #[serde(rename = "engine")]
    pub engine_address: Option<String>,
    #[serde(rename = "time_limit")]
    pub upstream_timeout: Option<String>,
    pub outcome: Option<String>,
}

impl ProcessorSection {
    fn default_message_timeout_ms() -> Spanned<u64> {
        Spanned::new(0..0, 200)
    }

    fn default_tick_us() -> Spanned<u64> {
        Spanned::new(0..0, 250)
    }

    fn default_retry_window_ms() -> u64 {
        500
    }

    fn default_max_streams() -> Spanned<usize> {
        Spanned::new(0..0, 10_000)
    }

    fn default_max_remembered() -> usize {
        100_000
    }

    fn default_recovers() -> bool {
        true
    }

    fn default_client_timeout_ms() -> u64 {
        5000
    }

    /// The headers' names, the usual ones where none is given.
    pub fn header_names(&self) -> lemonusher_processor::HeaderNames {
        let mut names = lemonusher_processor::HeaderNames::default();
        let given = &self.headers;
        for (given, name) in [
            (&given.request_id, &mut names.request_id),
            (&given.request_class, &mut names.request_class),
            (&given.table_group, &mut names.table_group),
            (&given.client_timeout, &mut names.client_timeout),
            (&given.client_retry, &mut names.client_retry),
            (&given.attempt_count, &mut names.attempt_count),
            (&given.continuation_token, &mut names.continuation_token),
            (&given.engine_address, &mut names.engine_address),
            (&given.upstream_timeout, &mut names.upstream_timeout),
            (&given.outcome, &mut names.outcome),
        ] {
            if let Some(given) = given {
                *name = given.to_ascii_lowercase();
            }
        }
        // The longest prefix speaks first.
        let class = |(prefix, class): (&String, &String)| lemonusher_processor::PathClass {
            prefix: prefix.clone(),
            request_class: class.clone(),
        };
        names.paths = self.class_by_path.iter().map(class).collect();
        names.paths.sort_by_key(|class| std::cmp::Reverse(class.prefix.len()));
        names.default_client_timeout = Duration::from_millis(self.client_timeout_ms.max(1));
        names
    }
}

/// What is wrong in a file, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: PathBuf,
    /// From 1; none where the whole file is meant.
    pub line: Option<usize>,
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        write!(f, " {}", self.message)
    }
}

/// Reads and checks a file.
pub fn read(path: &Path) -> Result<ConfigFile, Vec<ConfigError>> {
    let whole = |message: String| vec![ConfigError { file: path.to_owned(), line: None, message }];
    let text = std::fs::read_to_string(path).map_err(|error| whole(format!("can't be read: {error}")))?;
    parse(path, &text)
}

/// Checks a file's text. Paths in it start from the file's folder.
pub fn parse(path: &Path, text: &str) -> Result<ConfigFile, Vec<ConfigError>> {
    let error = |span: Option<Range<usize>>, message: String| ConfigError {
        file: path.to_owned(),
        line: span.map(|span| line_of(text, span.start)),
        message,
    };
    let mut file: ConfigFile =
        toml::from_str(text).map_err(|cause| vec![error(cause.span(), one_line(cause.message()))])?;
    let folder = path.parent().unwrap_or(Path::new(""));
    resolve_paths(&mut file, folder);
    let mut found = Vec::new();
    let mut report = |span: Range<usize>, what: String| found.push(error(Some(span), what));
    if let Some(managed) = &file.managed {
        check_managed(managed, &mut report);
    }
    if let Some(processor) = &file.processor {
        if !processor.listen.get_ref().ip().is_loopback() && processor.key_file.is_none() {
            let what =
                "beyond loopback a 'key_file' is needed, the same for all processors of the deployment";
            report(processor.listen.span(), what.to_owned());
        }
        if !(5..=60_000).contains(processor.message_timeout_ms.get_ref()) {
            let what = "'message_timeout_ms' goes from 5 to 60000, as the proxies have it";
            report(processor.message_timeout_ms.span(), what.to_owned());
        }
        if !(50..=50_000).contains(processor.tick_us.get_ref()) {
            report(processor.tick_us.span(), "'tick_us' goes from 50 to 50000".to_owned());
        }
        if !(1..=1_000_000).contains(processor.max_streams.get_ref()) {
            report(processor.max_streams.span(), "'streams' goes from 1 to 1000000".to_owned());
        }
    }
    if let Some(fleet) = &file.fleet {
        check_fleet(fleet, &mut report);
    }
    if found.is_empty() { Ok(file) } else { Err(found) }
}

fn check_fleet(fleet: &FleetSection, report: &mut impl FnMut(Range<usize>, String)) {
    let voters = fleet.voters.get_ref();
    if ![3, 5, 7].contains(&voters.len()) {
        report(fleet.voters.span(), format!("there are {} 'voters'; 3, 5 or 7 vote", voters.len()));
    }
    let different: std::collections::BTreeSet<&SocketAddr> = voters.iter().collect();
    if different.len() < voters.len() {
        report(fleet.voters.span(), "a voter stands twice; give each one place".to_owned());
    }
    if let Some(what) = fleet.zones.as_ref().and_then(|sites| sites.get_ref().config().wrong()) {
        report(fleet.zones.as_ref().map_or(0..0, Spanned::span), what.to_owned());
    }
    if let Some(works) = &fleet.maintenance {
        if fleet.zones.is_none() {
            report(works.span(), "works need [fleet.zones], which says what fronts see".to_owned());
        }
        if works.get_ref().required_fronts.is_empty() {
            report(works.span(), "'fronts' names every front that counts".to_owned());
        }
    }
    match &fleet.voter_index {
        Some(place) if *place.get_ref() >= voters.len() => {
            report(place.span(), format!("'place' goes from 0 to {}", voters.len().saturating_sub(1)));
        }
        None if fleet.is_voter && fleet.own_voter_index().is_none() => {
            let what = "this front votes but listens at none of 'voters'; report which it is with 'place'";
            report(fleet.voters.span(), what.to_owned());
        }
        _ => {}
    }
    if !(100..=600_000).contains(fleet.lease_ms.get_ref()) {
        report(fleet.lease_ms.span(), "'lease_ms' goes from 100 to 600000".to_owned());
    }
    if *fleet.clock_drift_permille.get_ref() >= 500 {
        report(fleet.clock_drift_permille.span(), "'drift_thousandths' is under 500".to_owned());
    }
    let mut names = std::collections::BTreeSet::new();
    for task in &fleet.tasks {
        let name = task.name.get_ref();
        if name.is_empty() || name.len() > lemonusher_leases::MAX_NAME_BYTES || name.starts_with("seat.") {
            let most = lemonusher_leases::MAX_NAME_BYTES;
            report(
                task.name.span(),
                format!("a task's 'name' has 1 to {most} bytes and does not begin with 'seat.'"),
            );
        }
        if !names.insert(name) {
            report(task.name.span(), format!("task '{name}' stands twice; give each one entry"));
        }
        if !(10..=3_600_000).contains(task.interval_ms.get_ref()) {
            report(task.interval_ms.span(), "'every_ms' goes from 10 to 3600000".to_owned());
        }
        if task.notify.as_ref().is_some_and(|to| !to.get_ref().ip().is_loopback()) {
            report(
                task.name.span(),
                "only a loopback address is told, as what is told is not sealed".to_owned(),
            );
        }
    }
}

fn check_managed(managed: &ManagementSection, report: &mut impl FnMut(Range<usize>, String)) {
    let bounds = [
        (&managed.max_commits, "history", 1..=10_000),
        (&managed.max_sessions, "sessions", 1..=1024),
        (&managed.max_subscriptions, "subscriptions", 1..=4096),
    ];
    for (value, name, allowed) in bounds {
        if !allowed.contains(value.get_ref()) {
            let (least, most) = (allowed.start(), allowed.end());
            report(value.span(), format!("'{name}' is {}; it goes from {least} to {most}", value.get_ref()));
        }
    }
    if !(1..=10_000).contains(managed.max_counter_age_ms.get_ref()) {
        let value = managed.max_counter_age_ms.get_ref();
        report(
            managed.max_counter_age_ms.span(),
            format!("'freshness_ms' is {value}; it goes from 1 to 10000"),
        );
    }
    if let Some(gnmi) = &managed.gnmi {
        let keyed = gnmi.certificate.is_some() && gnmi.key.is_some();
        if let (Some(alone), None) | (None, Some(alone)) = (&gnmi.certificate, &gnmi.key) {
            report(alone.span(), "'certificate' and 'key' go together; name both or neither".to_owned());
        }
        if !keyed && !gnmi.listen.get_ref().ip().is_loopback() {
            let what =
                "without 'certificate' and 'key' only a loopback address such as 127.0.0.1:9339 is taken";
            report(gnmi.listen.span(), what.to_owned());
        }
        let secret = managed.users.iter().any(|user| user.password_file.is_some());
        if !secret && !gnmi.listen.get_ref().ip().is_loopback() {
            let what = "beyond loopback at least one of 'users' needs a 'password_file'";
            report(gnmi.listen.span(), what.to_owned());
        }
    }
    if let Some(netconf) = &managed.netconf {
        let keyed = managed.users.iter().any(|user| user.ssh_key.is_some());
        if !keyed && !netconf.listen.get_ref().ip().is_loopback() {
            let what = "without a user's 'ssh_key' only a loopback address such as 127.0.0.1:8300 is taken";
            report(netconf.listen.span(), what.to_owned());
        }
    }
    let mut names = std::collections::BTreeSet::new();
    for user in &managed.users {
        let name = user.name.get_ref();
        if name.is_empty() || name.len() > 64 {
            report(user.name.span(), "a user's 'name' has 1 to 64 characters".to_owned());
        }
        if !names.insert(name) {
            report(user.name.span(), format!("user '{name}' stands twice; give each one entry"));
        }
    }
    if managed.gnmi.is_none() && managed.netconf.is_none() {
        let span = managed.max_commits.span();
        report(span, "[managed] opens no door; add [managed.gnmi] or [managed.netconf]".to_owned());
    }
}

fn resolve_paths(file: &mut ConfigFile, folder: &Path) {
    let resolve = |path: &mut Option<Spanned<PathBuf>>| {
        if let Some(path) = path {
            let resolved = folder.join(path.get_ref());
            *path.get_mut() = resolved;
        }
    };
    resolve(&mut file.front.start_file);
    if let Some(processor) = &mut file.processor {
        resolve(&mut processor.key_file);
    }
    if let Some(fleet) = &mut file.fleet {
        let resolved = folder.join(fleet.key_file.get_ref());
        *fleet.key_file.get_mut() = resolved;
        resolve(&mut fleet.state_folder);
    }
    let Some(managed) = &mut file.managed else { return };
    resolve(&mut managed.state_folder);
    if let Some(gnmi) = &mut managed.gnmi {
        resolve(&mut gnmi.certificate);
        resolve(&mut gnmi.key);
    }
    if let Some(netconf) = &mut managed.netconf {
        resolve(&mut netconf.host_key);
    }
    for user in &mut managed.users {
        resolve(&mut user.password_file);
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1
}

fn one_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn errors(text: &str) -> Vec<(Option<usize>, String)> {
        let found = parse(Path::new("x.toml"), text).unwrap_err();
        found.into_iter().map(|error| (error.line, error.message)).collect()
    }

    #[test]
    fn errors_name_their_line_and_what_would_be_right() {
        let cases = [
            ("[log]\nlevle = 'info'\n", 2, "expected `level`"),
            ("[log]\n\nlevel = 'loud'\n", 3, "`error`"),
            ("[managed]\nhistory = 0\n[managed.gnmi]\nlisten = '127.0.0.1:1'\n", 2, "from 1 to 10000"),
            ("[managed.gnmi]\nlisten = '10.0.0.1:9339'\n", 2, "loopback"),
            ("[managed.gnmi]\nlisten = '127.0.0.1:1'\nkey = 'k'\n", 3, "name both"),
            ("[managed.netconf]\nlisten = 'here'\n", 2, "socket address"),
            ("[managed.netconf]\nlisten = '10.0.0.1:830'\n", 2, "ssh_key"),
            (
                "[managed.gnmi]\nlisten='127.0.0.1:1'\n[[managed.users]]\nname='a'\n[[managed.users]]\nname='a'\n",
                6,
                "twice",
            ),
            ("[fleet]\nlisten='127.0.0.1:1'\nkey_file='k'\nvoters=['127.0.0.1:1']\n", 4, "3, 5 or 7"),
            ("[managed\n", 1, ""),
        ];
        for (text, line, right) in cases {
            let found = errors(text);
            assert!(
                found.iter().any(|(at, message)| *at == Some(line) && message.contains(right)),
                "{text}: {found:?}"
            );
        }
    }

    #[test]
    fn paths_start_from_the_files_folder_and_an_empty_file_is_valid() {
        let file = parse(Path::new("/a/b.toml"), "[front]\ntold = 'c.json'\n").unwrap();
        assert_eq!(file.front.start_file.unwrap().into_inner(), Path::new("/a/c.json"));
        assert!(parse(Path::new("x"), "").unwrap().managed.is_none());
    }
}
