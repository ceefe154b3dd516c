//! The scenario of a run, drawn from a seed.

use std::time::Duration;

/// How reliably an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHealth {
    /// Serves nearly all attempts.
    Good,
    /// Often fails, rejects, resets the connection or does not reply.
    Faulty,
    /// Accepts connections, and never replies.
    Silent,
}

/// A signal to the front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP, after the configuration file was given a new discovery address.
    Reload,
    /// SIGTERM.
    Terminate,
    /// SIGSTOP: the front stands still until `Continue`.
    Stop,
    /// SIGCONT.
    Continue,
}

/// A signal and the time at which it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SignalAt {
    /// Time since the front was ready.
    pub after: Duration,
    /// The signal.
    pub signal: Signal,
}

/// A change of discovery, and its time since the front was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DiscoveryEvent {
    pub(crate) after: Duration,
    pub(crate) change: DiscoveryChange,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DiscoveryChange {
    /// An engine, by index, begins to drain.
    Drain(usize),
    /// The last event is sent again.
    Repeat,
    /// Half of the next event is sent, then the connection is closed.
    CutNext,
    /// Open connections stay open, but nothing more is sent on them.
    FallSilent,
    /// For this time, all connections are closed: open ones, and new ones after their first message.
    GoDown(Duration),
}

/// Number of times that the front is stopped in a scenario with stand-stills.
const STAND_STILLS: u64 = 3;
/// Time since the front was ready from which it may be stopped, in milliseconds.
const FIRST_STAND_STILL_MS: u64 = 200;
/// Time from the earliest start of one stand-still to that of the next, in milliseconds.
const STAND_STILL_INTERVAL_MS: u64 = 400;
/// Length of a stand-still, in milliseconds: longer than the time for which a client that left may still get an
/// attempt, and short enough that responses which it delays are still on time.
const STAND_STILL_MS: std::ops::RangeInclusive<u64> = 120..=280;

/// All that is drawn for one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Seed from which everything else is drawn.
    pub seed: u64,
    /// Deadline of all request classes.
    pub deadline: Duration,
    /// Time after the notification of a drain during which attempts may still begin at the engine.
    pub drain_grace: Duration,
    /// Whether the deployment allows the front to cancel attempts.
    pub cancels: bool,
    /// Whether the deployment allows probes, by which engines report their load.
    pub probes: bool,
    /// The front's tick: time between two decisions.
    pub tick: Duration,
    /// Health of each engine.
    pub engines: Vec<EngineHealth>,
    /// Number of clients that start with each front process; a client has one connection at a time.
    pub connections: usize,
    /// Mean time between two requests of a connection.
    pub request_interval: Duration,
    /// Number of idle clients that fill the descriptors in the middle of the run; 0 unless the seed is a
    /// multiple of four.
    pub crowd: usize,
    /// Limit of open descriptors in the front's configuration.
    pub descriptors: usize,
    /// Signals to the first process, in order. The last one is SIGTERM or its repetition.
    pub signals: Vec<SignalAt>,
    /// Time after SIGTERM during which new clients connect.
    pub new_connections_for: Duration,
    pub(crate) discovery: Vec<DiscoveryEvent>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Scenario {
    /// The scenario of a seed.
    pub fn draw(seed: u64) -> Scenario {
        let mut rng = fastrand::Rng::with_seed(seed);
        let crowd = seed.is_multiple_of(4);
        let engine_count = rng.usize(3..=8);
        let mut engines: Vec<EngineHealth> = (0..engine_count).map(|_| draw_health(&mut rng)).collect();
        engines[0] = EngineHealth::Good;
        Scenario {
            seed,
            deadline: ms([1000, 2000, 20_000][rng.usize(..3)]),
            drain_grace: ms([500, 2000][rng.usize(..2)]),
            cancels: rng.u8(..4) > 0,
            probes: rng.bool(),
            tick: ms([1, 5][rng.usize(..2)]),
            connections: rng.usize(6..=14),
            request_interval: ms(rng.u64(8..=40)),
            crowd: if crowd { 400 } else { 0 },
            descriptors: if crowd { 128 } else { 1024 },
            signals: draw_signals(&mut rng),
            new_connections_for: ms(rng.u64(200..=400)),
            discovery: draw_discovery(&mut rng, engine_count, crowd),
            engines,
        }
    }

    /// The scenario of a seed, and stand-stills of its first front process besides.
    pub fn draw_with_stand_stills(seed: u64) -> Scenario {
        let mut scenario = Scenario::draw(seed);
        let mut rng = fastrand::Rng::with_seed(!seed);
        for number in 0..STAND_STILLS {
            let from = ms(FIRST_STAND_STILL_MS + number * STAND_STILL_INTERVAL_MS + rng.u64(..100));
            let until = from + ms(rng.u64(STAND_STILL_MS));
            scenario.signals.push(SignalAt { after: from, signal: Signal::Stop });
            scenario.signals.push(SignalAt { after: until, signal: Signal::Continue });
        }
        scenario.signals.sort_by_key(|signal| signal.after);
        scenario
    }

    /// Time of the first SIGTERM since the front was ready.
    pub fn terminate_after(&self) -> Duration {
        let first = self.signals.iter().find(|signal| signal.signal == Signal::Terminate);
        first.map_or(ms(2000), |signal| signal.after)
    }
}

fn draw_health(rng: &mut fastrand::Rng) -> EngineHealth {
    match rng.u8(..10) {
        0..=5 => EngineHealth::Good,
        6..=8 => EngineHealth::Faulty,
        _ => EngineHealth::Silent,
    }
}

/// Draws up to three reloads in quick succession, then the end: one SIGTERM, one directly after a reload, or two.
fn draw_signals(rng: &mut fastrand::Rng) -> Vec<SignalAt> {
    let mut signals = Vec::new();
    let mut push = |after: Duration, signal: Signal| signals.push(SignalAt { after, signal });
    let reload_at = ms(rng.u64(1000..1500));
    for number in 0..rng.u64(..4) {
        push(reload_at + ms(number * rng.u64(0..=4)), Signal::Reload);
    }
    let terminate_at = ms(rng.u64(1600..2600));
    match rng.u8(..3) {
        0 => push(terminate_at, Signal::Terminate),
        1 => {
            push(terminate_at, Signal::Reload);
            push(terminate_at, Signal::Terminate);
        }
        _ => {
            push(terminate_at, Signal::Terminate);
            push(terminate_at + ms(rng.u64(0..300)), Signal::Terminate);
        }
    }
    signals
}

fn draw_discovery(rng: &mut fastrand::Rng, engines: usize, crowd: bool) -> Vec<DiscoveryEvent> {
    let mut events = Vec::new();
    if crowd {
        events.push(DiscoveryEvent { after: ms(400), change: DiscoveryChange::GoDown(ms(1000)) });
    }
    for _ in 0..rng.usize(1..=4) {
        let change = match rng.u8(..6) {
            0..=2 => DiscoveryChange::Drain(rng.usize(1..engines)),
            3 => DiscoveryChange::Repeat,
            4 => DiscoveryChange::CutNext,
            _ => DiscoveryChange::FallSilent,
        };
        events.push(DiscoveryEvent { after: ms(rng.u64(100..2600)), change });
    }
    events.sort_by_key(|event| event.after);
    events
}
