//! Detects disturbed measurements: the harness compares its own lateness with a given limit.

use crate::process::thread_time;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The sleep time of a [`Watch`].
const TICK: Duration = Duration::from_millis(5);

/// The lateness of a measurement and its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lateness {
    /// The greatest lateness observed.
    pub greatest: Duration,
    /// The greatest lateness of an undisturbed measurement.
    pub bound: Duration,
}

impl Lateness {
    /// Returns whether the lateness exceeded its limit.
    pub fn disturbed(&self) -> bool {
        self.greatest > self.bound
    }
}

/// A thread that repeatedly sleeps for a short time and records how late it wakes up. For measurements that depend on
/// timers and sockets.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
    bound: Duration,
}

impl Watch {
    /// Starts the thread.
    pub fn start(bound: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = stop.clone();
        let thread = thread::spawn(move || {
            let mut greatest = Duration::ZERO;
            while !stopping.load(Ordering::Relaxed) {
                let due = Instant::now() + TICK;
                thread::sleep(TICK);
                greatest = greatest.max(Instant::now().saturating_duration_since(due));
            }
            greatest
        });
        Watch { stop, thread, bound }
    }

    /// Stops the thread and returns the lateness. If the thread panicked, the measurement counts as disturbed.
    pub fn finish(self) -> Lateness {
        self.stop.store(true, Ordering::Relaxed);
        let greatest = self.thread.join().unwrap_or(Duration::MAX);
        Lateness { greatest, bound: self.bound }
    }
}

/// The result of a [`Preemption`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptionResult {
    /// Processor time that the thread spent.
    pub processor: Duration,
    /// The time off its core, and its limit.
    pub lateness: Lateness,
}

/// Measures the time for which a computing thread was off its core. For measurements in virtual time, which never
/// wait.
#[derive(Debug)]
pub struct Preemption {
    wall: Instant,
    processor: Duration,
    share: f64,
}

impl Preemption {
    /// Starts to measure the calling thread, which may be off its core for this share of the wall time, from 0 to 1.
    pub fn start(share: f64) -> Self {
        Preemption { wall: Instant::now(), processor: thread_time(), share }
    }

    /// Ends the measurement. It has to be called by the thread that started it.
    pub fn finish(self) -> PreemptionResult {
        let wall = self.wall.elapsed();
        let spent = thread_time().saturating_sub(self.processor);
        let lateness = Lateness { greatest: wall.saturating_sub(spent), bound: wall.mul_f64(self.share) };
        PreemptionResult { processor: spent, lateness }
    }
}
