//! Model of an engine. It runs requests up to its slots, queues further ones, and divides its cores and memory
//! among the running requests.

use std::collections::{BTreeMap, VecDeque};

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Remaining work over all its threads, in seconds.
    pub remaining_s: f64,
    /// Number of threads that it runs on.
    pub threads: f64,
    /// Memory that it takes, in megabytes.
    pub memory_mb: f64,
    /// Number of its table group.
    pub table_group: u64,
    /// Whether it is a bulk load, which blocks the requests of its table group that wait for bulk loads.
    pub is_bulk_load: bool,
    /// Whether it makes no progress while a bulk load of its table group runs.
    pub waits_for_bulk_loads: bool,
}

/// Number of a request that has finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finished(pub u64);

/// Model of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Number of cores.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Thrashing loss. If threads exceed what runs without slowdown by the factor `r`, the engine's total work
    /// drops to `1 / (1 + thrashing_loss * (r - 1))`.
    pub thrashing_loss: f64,
    /// Current slowdown factor; 1 for none.
    pub slowdown: f64,
    /// Threads per core up to which requests run without slowdown. It can be above 1 because threads that wait for
    /// disks use no core.
    pub max_threads_per_core: f64,
    /// Share of its time that a running thread uses a core, from 0 to 1.
    pub cpu_share: f64,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue_length: usize,
    running: BTreeMap<u64, Work>,
    waiting: VecDeque<(u64, Work)>,
}

impl Engine {
    /// An engine with no limit on running or waiting requests.
    pub fn new(cores: f64, memory_mb: f64, thrashing_loss: f64) -> Engine {
        Engine {
            cores,
            memory_mb,
            thrashing_loss,
            slowdown: 1.0,
            max_threads_per_core: 1.0,
            cpu_share: 1.0,
            slots: usize::MAX,
            queue_length: usize::MAX,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether it rejects further requests: all slots and the queue are full.
    pub fn is_full(&self) -> bool {
        self.running.len() >= self.slots && self.waiting.len() >= self.queue_length
    }

    /// Runs a request, or queues it if no slot is free. Drops it if the engine is full.
    pub fn offer(&mut self, number: u64, work: Work) {
        if self.running.len() < self.slots {
            self.running.insert(number, work);
        } else if !self.is_full() {
            self.waiting.push_back((number, work));
        }
    }

    /// Runs a request at once, regardless of slots.
    pub fn run_now(&mut self, number: u64, work: Work) {
        self.running.insert(number, work);
    }

    /// Drops a request, and returns whether it was running or waiting.
    pub fn cancel(&mut self, number: u64) -> bool {
        let waited = self.waiting.len();
        self.waiting.retain(|(other, _)| *other != number);
        let found = self.running.remove(&number).is_some() || self.waiting.len() < waited;
        self.fill_slots();
        found
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.slots
            && let Some((number, work)) = self.waiting.pop_front()
        {
            self.running.insert(number, work);
        }
    }

    /// Remaining work of a running request, in seconds.
    pub fn remaining_s(&self, number: u64) -> Option<f64> {
        self.running.get(&number).map(|work| work.remaining_s)
    }

    /// Number of requests that run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops all running and waiting requests.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Share of its cores that is busy, from 0 to 1.
    pub fn cores_busy(&self) -> f64 {
        (self.threads_per_core().min(self.max_threads_per_core) * self.cpu_share).min(1.0)
    }

    /// Memory of the running requests as a share of its memory; above 1 if it pages.
    pub fn memory_granted(&self) -> f64 {
        self.running.values().map(|work| work.memory_mb).sum::<f64>() / self.memory_mb
    }

    /// Threads of all running requests per core.
    pub fn threads_per_core(&self) -> f64 {
        self.running.values().map(|work| work.threads).sum::<f64>() / self.cores
    }

    /// Advances the running requests by `seconds` at `slow_start_factor` of full speed, and returns the ones that
    /// finished.
    pub fn run(&mut self, seconds: f64, slow_start_factor: f64) -> Vec<Finished> {
        let loading: Vec<u64> =
            self.running.values().filter(|w| w.is_bulk_load).map(|w| w.table_group).collect();
        let is_blocked = |work: &Work| work.waits_for_bulk_loads && loading.contains(&work.table_group);
        let moving = self.running.values().filter(|work| !is_blocked(work));
        let threads: f64 = moving.map(|work| work.threads).sum();
        if threads <= 0.0 {
            return Vec::new();
        }
        let threads_per_core = threads / (self.cores * self.max_threads_per_core);
        // Above `max_threads_per_core`, threads share the cores, and part of the work is lost to thrashing.
        let share = if threads_per_core > 1.0 {
            1.0 / (threads_per_core * (1.0 + self.thrashing_loss * (threads_per_core - 1.0)))
        } else {
            1.0
        };
        let wanted: f64 = self.running.values().map(|work| work.memory_mb).sum();
        let paging = if wanted > self.memory_mb { (self.memory_mb / wanted).powi(2) } else { 1.0 };
        let speed = share * paging * slow_start_factor / self.slowdown.max(1e-9);
        let mut finished = Vec::new();
        for (number, work) in &mut self.running {
            if !(work.waits_for_bulk_loads && loading.contains(&work.table_group)) {
                work.remaining_s -= work.threads * speed * seconds;
                if work.remaining_s <= 0.0 {
                    finished.push(Finished(*number));
                }
            }
        }
        for Finished(number) in &finished {
            self.running.remove(number);
        }
        self.fill_slots();
        finished
    }
}
