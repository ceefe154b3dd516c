//! Resource use of processes: processor time, memory, descriptors and wake-ups, from `/proc`.

use crate::error::MeasureError;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// The resource use of one process so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// User and system time of its current threads.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// The greatest resident size so far.
    pub peak_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Voluntary context switches of its current threads, each of which ends with a wake-up.
    pub wakeups: u64,
}

/// The resource use of this process so far.
pub fn own() -> Result<Figures, MeasureError> {
    figures(std::process::id())
}

/// The figures of a process by its id.
pub fn of(pid: u32) -> Result<Figures, MeasureError> {
    figures(pid)
}

fn figures(pid: u32) -> Result<Figures, MeasureError> {
    let unreadable = |cause: procfs::ProcError| MeasureError::Figures(cause.to_string());
    let process = procfs::process::Process::new(pid as i32).map_err(unreadable)?;
    let status = process.status().map_err(unreadable)?;
    let threads = threads(&process).map_err(unreadable)?;
    Ok(Figures {
        processor: threads.processor,
        resident_bytes: status.vmrss.unwrap_or_default() * 1024,
        peak_bytes: status.vmhwm.unwrap_or_default() * 1024,
        descriptors: process.fd_count().map_err(unreadable)?,
        wakeups: threads.wakeups,
    })
}

/// Sums over the current threads of a process.
#[derive(Default)]
struct Threads {
    processor: Duration,
    wakeups: u64,
}

/// Sums over the threads of a process. Processor time is from `schedstat`, which counts nanoseconds;
/// `stat` counts only hundredths of a second.
fn threads(process: &procfs::process::Process) -> Result<Threads, procfs::ProcError> {
    let mut all = Threads::default();
    for task in process.tasks()? {
        let task = task?;
        all.processor += Duration::from_nanos(task.schedstat()?.sum_exec_runtime);
        all.wakeups += task.status()?.voluntary_ctxt_switches.unwrap_or_default();
    }
    Ok(all)
}

/// Processor time of the calling thread, to the nanosecond.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Processor time of all threads of this process with a name; zero if it can't be read.
pub fn thread_time_of(name: &str) -> Duration {
    let tasks = procfs::process::Process::myself().and_then(|own| own.tasks());
    let named = tasks.into_iter().flatten().flatten().filter(|task| {
        task.stat().is_ok_and(|stat| stat.comm == name) // The thread may have ended since.
    });
    let nanoseconds = named.filter_map(|task| task.schedstat().ok()).map(|stat| stat.sum_exec_runtime);
    Duration::from_nanos(nanoseconds.sum())
}

/// Processor time of all threads of this process, to the nanosecond.
pub fn process_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Counts the bytes allocated on the heap.
#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// Bytes that this process has allocated and not freed.
pub fn allocated_bytes() -> usize {
    HEAP.current_usage()
}
