//! Collects the records of all threads of a run.

use crate::records::{AttemptRecord, DrainRecord, Recording, RequestRecord, ResponseRecord};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Requested sleep time. The driver's scheduling delay is the time by which the sleep exceeds it.
const DELAY_PERIOD: Duration = Duration::from_millis(2);

/// The records of one run.
pub(crate) struct Recorder {
    origin: Instant,
    /// Wall-clock time of `origin`.
    system_origin: SystemTime,
    recording: Mutex<Recording>,
    delay_us: AtomicU64,
    /// Whether the run is over; all threads then end.
    pub(crate) ended: AtomicBool,
}

impl Recorder {
    pub(crate) fn start() -> Arc<Recorder> {
        let recorder = Arc::new(Recorder {
            origin: Instant::now(),
            system_origin: SystemTime::now(),
            recording: Mutex::default(),
            delay_us: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        });
        let measured = recorder.clone();
        thread::spawn(move || measured.measure_delay());
        recorder
    }

    fn measure_delay(&self) {
        while !self.has_ended() {
            let before = Instant::now();
            thread::sleep(DELAY_PERIOD);
            let late = before.elapsed().saturating_sub(DELAY_PERIOD);
            self.delay_us.fetch_max(late.as_micros() as u64, Ordering::Relaxed);
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Converts a wall-clock time that is not in the future.
    pub(crate) fn time_of(&self, at: SystemTime) -> Duration {
        at.duration_since(self.system_origin).unwrap_or_default().min(self.now())
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Recording> {
        self.recording.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request, and returns its index for later updates.
    pub(crate) fn add_request(&self, request: RequestRecord) -> usize {
        let mut recording = self.lock();
        recording.requests.push(request);
        recording.requests.len() - 1
    }

    pub(crate) fn add_response(&self, request: usize, response: ResponseRecord) {
        self.lock().requests[request].responses.push(response);
    }

    /// Records that the client cancelled the request, disconnected or failed to write it, unless one of these is
    /// already recorded.
    pub(crate) fn set_client_left(&self, request: usize) {
        let now = self.now();
        self.lock().requests[request].client_left_at.get_or_insert(now);
    }

    /// Records that the front closed the requests' connection while idle clients filled its descriptors.
    pub(crate) fn set_closed_for_crowd(&self, requests: &[usize]) {
        let now = self.now();
        let mut recording = self.lock();
        for request in requests {
            recording.requests[*request].closed_for_crowd_at = Some(now);
        }
    }

    pub(crate) fn add_attempt(&self, attempt: AttemptRecord) {
        self.lock().attempts.push(attempt);
    }

    pub(crate) fn add_drain(&self, engine: u32) {
        let notified_at = self.now();
        self.lock().drains.push(DrainRecord { engine, notified_at });
    }

    pub(crate) fn finish(&self) -> Recording {
        self.ended.store(true, Ordering::Relaxed);
        let mut recording = self.lock().clone();
        recording.driver_delay = Duration::from_micros(self.delay_us.load(Ordering::Relaxed));
        recording
    }
}
