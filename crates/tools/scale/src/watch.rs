//! Whether a measurement was disturbed: its own lateness against a stated bound.

use crate::process::thread_time;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The time between two ticks of a [`Watch`].
const TICK: Duration = Duration::from_millis(5);

/// How late a measurement was, and how late it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lateness {
    /// How late it was at most.
    pub greatest: Duration,
    /// How late it may be.
    pub bound: Duration,
}

impl Lateness {
    /// Whether the bound was passed.
    pub fn disturbed(&self) -> bool {
        self.greatest > self.bound
    }
}

/// A thread that sleeps for a short time over and over, and notes how late it wakes up. For measurements in which
/// timers and sockets matter.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
    bound: Duration,
}

impl Watch {
    /// Watches from now on.
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

    /// Ends the watch. A watch whose thread failed counts as disturbed.
    pub fn finish(self) -> Lateness {
        self.stop.store(true, Ordering::Relaxed);
        let greatest = self.thread.join().unwrap_or(Duration::MAX);
        Lateness { greatest, bound: self.bound }
    }
}

/// What a [`Preemption`] has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptionResult {
    /// Processor time that the thread spent.
    pub processor: Duration,
    /// The time off its core, against its bound.
    pub lateness: Lateness,
}

/// The time for which a computing thread was kept off its core. For measurements in virtual time, which never wait.
#[derive(Debug)]
pub struct Preemption {
    wall: Instant,
    processor: Duration,
    share: f64,
}

impl Preemption {
    /// Watches the calling thread, which may be off its core for a share of the time.
    pub fn start(share: f64) -> Self {
        Preemption { wall: Instant::now(), processor: thread_time(), share }
    }

    /// Ends the watch; to be called by the same thread. Includes the processor time spent.
    pub fn finish(self) -> PreemptionResult {
        let wall = self.wall.elapsed();
        let spent = thread_time().saturating_sub(self.processor);
        let lateness = Lateness { greatest: wall.saturating_sub(spent), bound: wall.mul_f64(self.share) };
        PreemptionResult { processor: spent, lateness }
    }
}
