//! The operator's file: TOML, every key known, every error with its line and what would be right.

use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// What an operator's file switches on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    #[serde(default)]
    pub front: Front,
    #[serde(default)]
    pub log: Log,
    pub managed: Option<Managed>,
    pub processor: Option<Processor>,
    pub fleet: Option<Fleet>,
}

/// Talk between fronts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub listen: Spanned<SocketAddr>,
    /// What only fronts of this fleet know.
    pub key_file: Spanned<PathBuf>,
    /// The 3, 5 or 7 that vote, alike at every front.
    pub voters: Spanned<Vec<SocketAddr>>,
    /// Whether this front is one of them.
    #[serde(default)]
    pub votes: bool,
    /// Which of them, from 0, where that is not told by the address it listens at.
    pub place: Option<Spanned<usize>>,
    /// By what other fronts reach this one, where that is not the address it listens at.
    pub known_as: Option<Spanned<SocketAddr>>,
    #[serde(default = "Fleet::lease")]
    pub lease_ms: Spanned<u64>,
    /// By how many thousandths a clock may run fast or slow.
    #[serde(default = "Fleet::drift")]
    pub drift_thousandths: Spanned<u32>,
    /// How long an act may take where what is acted upon can't refuse an older number.
    #[serde(default = "Fleet::act")]
    pub act_ms: u64,
    /// Where the highest number lasts.
    pub folder: Option<Spanned<PathBuf>>,
    /// Into how many seats what fronts share is cut; 0 for no seats.
    #[serde(default)]
    pub seats: u32,
    /// How many of them this front wants, and where it begins to look.
    #[serde(default = "Fleet::wants")]
    pub wants_seats: usize,
    #[serde(default)]
    pub number: u32,
    #[serde(default)]
    pub tasks: Vec<FleetTask>,
    pub sites: Option<Spanned<Sites>>,
    pub works: Option<Spanned<Works>>,
}

/// The plan for lost sites; alike at every front.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sites {
    pub period_ms: u64,
    pub confirm_ms: u64,
    pub steady_ms: u64,
    pub pace_ms: u64,
    pub wait_ms: u64,
    pub stale_ms: u64,
    pub safe_part: f64,
    pub floor_part: f64,
}

/// Works on machines; alike at every front. They need `[fleet.sites]`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Works {
    /// The fronts that count, by name: each must have let a machine go before it is released.
    pub fronts: Vec<String>,
    /// Who is told of each machine that is released, by a datagram.
    pub tell: Option<Spanned<SocketAddr>>,
    #[serde(default = "Works::keep")]
    pub keep_part: f64,
    #[serde(default = "Works::margin")]
    pub margin_part: f64,
    #[serde(default = "Works::steady")]
    pub steady_ms: u64,
}

impl Works {
    fn keep() -> f64 {
        0.9
    }

    fn margin() -> f64 {
        0.1
    }

    fn steady() -> u64 {
        10_000
    }

    pub fn terms(&self, period: Duration) -> lemonusher_maintenance::MaintenanceConfig {
        lemonusher_maintenance::MaintenanceConfig {
            poll_interval: period,
            required_fronts: self.fronts.clone(),
            min_reserve: self.keep_part,
            demand_margin: self.margin_part,
            probation: Duration::from_millis(self.steady_ms),
        }
    }
}

impl Default for Sites {
    fn default() -> Sites {
        Sites {
            period_ms: 500,
            confirm_ms: 2000,
            steady_ms: 4000,
            pace_ms: 5000,
            wait_ms: 5000,
            stale_ms: 10_000,
            safe_part: 0.8,
            floor_part: 0.05,
        }
    }
}

impl Sites {
    pub fn terms(&self) -> lemonusher_zone_failover::FailoverConfig {
        let ms = Duration::from_millis;
        lemonusher_zone_failover::FailoverConfig {
            report_interval: ms(self.period_ms),
            confirmation_time: ms(self.confirm_ms),
            probation: ms(self.steady_ms),
            ramp_interval: ms(self.pace_ms),
            recovery_backoff: ms(self.wait_ms),
            plan_timeout: ms(self.stale_ms),
            max_utilization: self.safe_part,
            admission_floor: self.floor_part,
        }
    }
}

/// A task of the fleet that this front is willing to hold.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTask {
    pub name: Spanned<String>,
    /// Who is told of each act by a datagram.
    pub tell: Option<Spanned<SocketAddr>>,
    #[serde(default = "FleetTask::every")]
    pub every_ms: Spanned<u64>,
    #[serde(default)]
    pub takes_ms: u64,
    /// Whether what is acted upon refuses an older number.
    #[serde(default)]
    pub refuses_older: bool,
}

impl Fleet {
    /// This front's place among the voters.
    pub fn place(&self) -> Option<usize> {
        let voters = self.voters.get_ref();
        let stated = self.place.as_ref().map(|place| *place.get_ref());
        stated.or_else(|| voters.iter().position(|voter| voter == self.listen.get_ref()))
    }

    fn lease() -> Spanned<u64> {
        Spanned::new(0..0, 3000)
    }

    fn drift() -> Spanned<u32> {
        Spanned::new(0..0, 20)
    }

    fn act() -> u64 {
        1000
    }

    fn wants() -> usize {
        1
    }
}

impl FleetTask {
    fn every() -> Spanned<u64> {
        Spanned::new(0..0, 1000)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// The file that the front is told by, from the folder of this one; else the one that `PROXY_CONFIG` names.
    pub told: Option<Spanned<PathBuf>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub level: Level,
    pub form: Form,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    #[default]
    Text,
    Json,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Managed {
    /// Where commits last; without it they end with the process.
    pub folder: Option<Spanned<PathBuf>>,
    #[serde(default = "Managed::history")]
    pub history: Spanned<usize>,
    #[serde(default = "Managed::sessions")]
    pub sessions: Spanned<usize>,
    #[serde(default = "Managed::subscriptions")]
    pub subscriptions: Spanned<usize>,
    /// How old the counters that a manager reads may be, in milliseconds.
    #[serde(default = "Managed::freshness")]
    pub freshness_ms: Spanned<u64>,
    /// Begins with what managers kept in the startup datastore, where there is one.
    #[serde(default)]
    pub from_startup: bool,
    pub gnmi: Option<Gnmi>,
    pub netconf: Option<Netconf>,
    #[serde(default)]
    pub users: Vec<User>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gnmi {
    pub listen: Spanned<SocketAddr>,
    pub certificate: Option<Spanned<PathBuf>>,
    pub key: Option<Spanned<PathBuf>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Netconf {
    pub listen: Spanned<SocketAddr>,
    /// The host's private key, in OpenSSH's form; without it a new one is made at each start.
    pub host_key: Option<Spanned<PathBuf>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct User {
    pub name: Spanned<String>,
    #[serde(default)]
    pub may: May,
    /// The public key that NETCONF takes, as a line of OpenSSH's.
    pub ssh_key: Option<Spanned<String>>,
    /// A file that holds the password that gNMI takes.
    pub password_file: Option<Spanned<PathBuf>>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum May {
    #[default]
    Read,
    Write,
}

impl fmt::Display for May {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            May::Read => "read",
            May::Write => "read and write",
        })
    }
}

impl Managed {
    fn history() -> Spanned<usize> {
        Spanned::new(0..0, 100)
    }

    fn sessions() -> Spanned<usize> {
        Spanned::new(0..0, 64)
    }

    fn subscriptions() -> Spanned<usize> {
        Spanned::new(0..0, 256)
    }

    fn freshness() -> Spanned<u64> {
        Spanned::new(0..0, 50)
    }

    pub fn freshness_span(&self) -> Duration {
        Duration::from_millis(*self.freshness_ms.get_ref())
    }
}

/// The external processor. With it the front serves proxies alone: no listener for clients, no connections to
/// engines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    pub listen: Spanned<SocketAddr>,
    /// The proxies' message timeout, and what they do then.
    #[serde(default = "Processor::message_timeout")]
    pub message_timeout_ms: Spanned<u64>,
    #[serde(default)]
    pub fails: Fails,
    /// How much longer in all the proxies may be asked to wait (their max_message_timeout).
    #[serde(default)]
    pub more_time_ms: u64,
    #[serde(default = "Processor::retry_within")]
    pub retry_within_ms: u64,
    /// Shared by all processors of a deployment; without it tickets hold for one process.
    pub key_file: Option<Spanned<PathBuf>>,
    #[serde(default = "Processor::streams")]
    pub streams: Spanned<usize>,
    #[serde(default = "Processor::remembered")]
    pub remembered: usize,
    /// The request's body holds the statement, from which its table group is read.
    #[serde(default)]
    pub statement: bool,
    /// Engines count as cold at the start, as it is not known what proxies still have out there.
    #[serde(default = "Processor::recovers")]
    pub recovers: bool,
    /// Decisions are made this often at most, in microseconds.
    #[serde(default = "Processor::tick")]
    pub tick_us: Spanned<u64>,
    #[serde(default)]
    pub headers: Headers,
    /// Path prefixes that stand for a request class.
    #[serde(default)]
    pub paths: std::collections::BTreeMap<String, String>,
    #[serde(default = "Processor::patience")]
    pub patience_ms: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fails {
    Open,
    #[default]
    Closed,
}

/// Names of headers, where they are not the usual ones.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Headers {
    pub batch: Option<String>,
    pub service_group: Option<String>,
    pub table_group: Option<String>,
    pub patience: Option<String>,
    pub repeat: Option<String>,
    pub attempt: Option<String>,
    pub ticket: Option<String>,
    pub engine: Option<String>,
    pub time_limit: Option<String>,
    pub outcome: Option<String>,
}

impl Processor {
    fn message_timeout() -> Spanned<u64> {
        Spanned::new(0..0, 200)
    }

    fn tick() -> Spanned<u64> {
        Spanned::new(0..0, 250)
    }

    fn retry_within() -> u64 {
        500
    }

    fn streams() -> Spanned<usize> {
        Spanned::new(0..0, 10_000)
    }

    fn remembered() -> usize {
        100_000
    }

    fn recovers() -> bool {
        true
    }

    fn patience() -> u64 {
        5000
    }

    /// The headers' names, the usual ones where none is given.
    pub fn names(&self) -> lemonusher_processor::HeaderNames {
        let mut names = lemonusher_processor::HeaderNames::default();
        let held = &self.headers;
        for (given, name) in [
            (&held.batch, &mut names.request_id),
            (&held.service_group, &mut names.request_class),
            (&held.table_group, &mut names.table_group),
            (&held.patience, &mut names.client_timeout),
            (&held.repeat, &mut names.client_retry),
            (&held.attempt, &mut names.attempt_count),
            (&held.ticket, &mut names.continuation_token),
            (&held.engine, &mut names.engine_address),
            (&held.time_limit, &mut names.upstream_timeout),
            (&held.outcome, &mut names.outcome),
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
        names.paths = self.paths.iter().map(class).collect();
        names.paths.sort_by_key(|class| std::cmp::Reverse(class.prefix.len()));
        names.default_client_timeout = Duration::from_millis(self.patience_ms.max(1));
        names
    }
}

/// What is wrong in a file, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong {
    pub file: PathBuf,
    /// From 1; none where the whole file is meant.
    pub line: Option<usize>,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        write!(f, " {}", self.what)
    }
}

/// Reads and checks a file.
pub fn read(path: &Path) -> Result<File, Vec<Wrong>> {
    let whole = |what: String| vec![Wrong { file: path.to_owned(), line: None, what }];
    let text = std::fs::read_to_string(path).map_err(|error| whole(format!("can't be read: {error}")))?;
    parse(path, &text)
}

/// Checks a file's text. Paths in it start from the file's folder.
pub fn parse(path: &Path, text: &str) -> Result<File, Vec<Wrong>> {
    let wrong = |span: Option<Range<usize>>, what: String| Wrong {
        file: path.to_owned(),
        line: span.map(|span| line_of(text, span.start)),
        what,
    };
    let mut file: File =
        toml::from_str(text).map_err(|error| vec![wrong(error.span(), one_line(error.message()))])?;
    let folder = path.parent().unwrap_or(Path::new(""));
    rebase(&mut file, folder);
    let mut found = Vec::new();
    let mut say = |span: Range<usize>, what: String| found.push(wrong(Some(span), what));
    if let Some(managed) = &file.managed {
        check_managed(managed, &mut say);
    }
    if let Some(processor) = &file.processor {
        if !processor.listen.get_ref().ip().is_loopback() && processor.key_file.is_none() {
            let what =
                "beyond loopback a 'key_file' is needed, the same for all processors of the deployment";
            say(processor.listen.span(), what.to_owned());
        }
        if !(5..=60_000).contains(processor.message_timeout_ms.get_ref()) {
            let what = "'message_timeout_ms' goes from 5 to 60000, as the proxies have it";
            say(processor.message_timeout_ms.span(), what.to_owned());
        }
        if !(50..=50_000).contains(processor.tick_us.get_ref()) {
            say(processor.tick_us.span(), "'tick_us' goes from 50 to 50000".to_owned());
        }
        if !(1..=1_000_000).contains(processor.streams.get_ref()) {
            say(processor.streams.span(), "'streams' goes from 1 to 1000000".to_owned());
        }
    }
    if let Some(fleet) = &file.fleet {
        check_fleet(fleet, &mut say);
    }
    if found.is_empty() { Ok(file) } else { Err(found) }
}

fn check_fleet(fleet: &Fleet, say: &mut impl FnMut(Range<usize>, String)) {
    let voters = fleet.voters.get_ref();
    if ![3, 5, 7].contains(&voters.len()) {
        say(fleet.voters.span(), format!("there are {} 'voters'; 3, 5 or 7 vote", voters.len()));
    }
    let different: std::collections::BTreeSet<&SocketAddr> = voters.iter().collect();
    if different.len() < voters.len() {
        say(fleet.voters.span(), "a voter stands twice; give each one place".to_owned());
    }
    if let Some(what) = fleet.sites.as_ref().and_then(|sites| sites.get_ref().terms().validate().err()) {
        say(fleet.sites.as_ref().map_or(0..0, Spanned::span), what.to_string());
    }
    if let Some(works) = &fleet.works {
        if fleet.sites.is_none() {
            say(works.span(), "works need [fleet.sites], which says what fronts see".to_owned());
        }
        if works.get_ref().fronts.is_empty() {
            say(works.span(), "'fronts' names every front that counts".to_owned());
        }
    }
    match &fleet.place {
        Some(place) if *place.get_ref() >= voters.len() => {
            say(place.span(), format!("'place' goes from 0 to {}", voters.len().saturating_sub(1)));
        }
        None if fleet.votes && fleet.place().is_none() => {
            let what = "this front votes but listens at none of 'voters'; say which it is with 'place'";
            say(fleet.voters.span(), what.to_owned());
        }
        _ => {}
    }
    if !(100..=600_000).contains(fleet.lease_ms.get_ref()) {
        say(fleet.lease_ms.span(), "'lease_ms' goes from 100 to 600000".to_owned());
    }
    if *fleet.drift_thousandths.get_ref() >= 500 {
        say(fleet.drift_thousandths.span(), "'drift_thousandths' is under 500".to_owned());
    }
    let mut names = std::collections::BTreeSet::new();
    for task in &fleet.tasks {
        let name = task.name.get_ref();
        if name.is_empty() || name.len() > lemonusher_leases::MAX_NAME_BYTES || name.starts_with("seat.") {
            let most = lemonusher_leases::MAX_NAME_BYTES;
            say(
                task.name.span(),
                format!("a task's 'name' has 1 to {most} bytes and does not begin with 'seat.'"),
            );
        }
        if !names.insert(name) {
            say(task.name.span(), format!("task '{name}' stands twice; give each one entry"));
        }
        if !(10..=3_600_000).contains(task.every_ms.get_ref()) {
            say(task.every_ms.span(), "'every_ms' goes from 10 to 3600000".to_owned());
        }
        if task.tell.as_ref().is_some_and(|to| !to.get_ref().ip().is_loopback()) {
            say(
                task.name.span(),
                "only a loopback address is told, as what is told is not sealed".to_owned(),
            );
        }
    }
}

fn check_managed(managed: &Managed, say: &mut impl FnMut(Range<usize>, String)) {
    let bounds = [
        (&managed.history, "history", 1..=10_000),
        (&managed.sessions, "sessions", 1..=1024),
        (&managed.subscriptions, "subscriptions", 1..=4096),
    ];
    for (value, name, allowed) in bounds {
        if !allowed.contains(value.get_ref()) {
            let (least, most) = (allowed.start(), allowed.end());
            say(value.span(), format!("'{name}' is {}; it goes from {least} to {most}", value.get_ref()));
        }
    }
    if !(1..=10_000).contains(managed.freshness_ms.get_ref()) {
        let value = managed.freshness_ms.get_ref();
        say(managed.freshness_ms.span(), format!("'freshness_ms' is {value}; it goes from 1 to 10000"));
    }
    if let Some(gnmi) = &managed.gnmi {
        let keyed = gnmi.certificate.is_some() && gnmi.key.is_some();
        if let (Some(alone), None) | (None, Some(alone)) = (&gnmi.certificate, &gnmi.key) {
            say(alone.span(), "'certificate' and 'key' go together; name both or neither".to_owned());
        }
        if !keyed && !gnmi.listen.get_ref().ip().is_loopback() {
            let what =
                "without 'certificate' and 'key' only a loopback address such as 127.0.0.1:9339 is taken";
            say(gnmi.listen.span(), what.to_owned());
        }
        let secret = managed.users.iter().any(|user| user.password_file.is_some());
        if !secret && !gnmi.listen.get_ref().ip().is_loopback() {
            let what = "beyond loopback at least one of 'users' needs a 'password_file'";
            say(gnmi.listen.span(), what.to_owned());
        }
    }
    if let Some(netconf) = &managed.netconf {
        let keyed = managed.users.iter().any(|user| user.ssh_key.is_some());
        if !keyed && !netconf.listen.get_ref().ip().is_loopback() {
            let what = "without a user's 'ssh_key' only a loopback address such as 127.0.0.1:8300 is taken";
            say(netconf.listen.span(), what.to_owned());
        }
    }
    let mut names = std::collections::BTreeSet::new();
    for user in &managed.users {
        let name = user.name.get_ref();
        if name.is_empty() || name.len() > 64 {
            say(user.name.span(), "a user's 'name' has 1 to 64 characters".to_owned());
        }
        if !names.insert(name) {
            say(user.name.span(), format!("user '{name}' stands twice; give each one entry"));
        }
    }
    if managed.gnmi.is_none() && managed.netconf.is_none() {
        let span = managed.history.span();
        say(span, "[managed] opens no door; add [managed.gnmi] or [managed.netconf]".to_owned());
    }
}

fn rebase(file: &mut File, folder: &Path) {
    let rebase = |path: &mut Option<Spanned<PathBuf>>| {
        if let Some(path) = path {
            let whole = folder.join(path.get_ref());
            *path.get_mut() = whole;
        }
    };
    rebase(&mut file.front.told);
    if let Some(processor) = &mut file.processor {
        rebase(&mut processor.key_file);
    }
    if let Some(fleet) = &mut file.fleet {
        let whole = folder.join(fleet.key_file.get_ref());
        *fleet.key_file.get_mut() = whole;
        rebase(&mut fleet.folder);
    }
    let Some(managed) = &mut file.managed else { return };
    rebase(&mut managed.folder);
    if let Some(gnmi) = &mut managed.gnmi {
        rebase(&mut gnmi.certificate);
        rebase(&mut gnmi.key);
    }
    if let Some(netconf) = &mut managed.netconf {
        rebase(&mut netconf.host_key);
    }
    for user in &mut managed.users {
        rebase(&mut user.password_file);
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

    fn wrong(text: &str) -> Vec<(Option<usize>, String)> {
        let found = parse(Path::new("x.toml"), text).unwrap_err();
        found.into_iter().map(|wrong| (wrong.line, wrong.what)).collect()
    }

    #[test]
    fn each_mistake_is_told_with_its_line_and_what_would_be_right() {
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
            let found = wrong(text);
            assert!(
                found.iter().any(|(at, what)| *at == Some(line) && what.contains(right)),
                "{text}: {found:?}"
            );
        }
    }

    #[test]
    fn paths_start_from_the_files_folder_and_an_empty_file_is_one() {
        let file = parse(Path::new("/a/b.toml"), "[front]\ntold = 'c.json'\n").unwrap();
        assert_eq!(file.front.told.unwrap().into_inner(), Path::new("/a/c.json"));
        assert!(parse(Path::new("x"), "").unwrap().managed.is_none());
    }
}
