//! One engine: it runs what it is sent, up to its slots, and everything it runs shares its cores and memory.

use std::collections::{BTreeMap, VecDeque};

/// A request as it runs.
#[derive(Debug, Clone)]
pub struct Work {
    /// Work of all its threads that is left, in seconds.
    pub left: f64,
    /// Threads that it runs on.
    pub threads: f64,
    /// Memory in megabytes that it takes.
    pub memory_mb: f64,
    /// Number of its table group.
    pub tables: u64,
    /// Whether it is a bulk load, which holds its table group.
    pub load: bool,
    /// It stands still while a load holds its table group.
    pub waits_for_loads: bool,
}

/// A request that has finished, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finished(pub u64);

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its cores.
    pub cores: f64,
    /// Its memory in megabytes.
    pub memory_mb: f64,
    /// Share of the work that is lost for each time over that threads outnumber the cores.
    pub loss: f64,
    /// How many times slower it works for now.
    pub slow: f64,
    /// Threads per core up to which nothing slows down: threads that wait for disks use no core.
    pub knee: f64,
    /// Part of its time that a running thread is on a core.
    pub on_cores: f64,
    /// Requests that run at once, and that wait for a slot.
    pub slots: usize,
    /// Requests that wait for a slot at most.
    pub queue: usize,
    running: BTreeMap<u64, Work>,
    waiting: VecDeque<(u64, Work)>,
}

impl Engine {
    /// An engine without limits but its cores and memory.
    pub fn new(cores: f64, memory_mb: f64, loss: f64) -> Engine {
        Engine {
            cores,
            memory_mb,
            loss,
            slow: 1.0,
            knee: 1.0,
            on_cores: 1.0,
            slots: usize::MAX,
            queue: usize::MAX,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether it turns away what it is offered.
    pub fn is_full(&self) -> bool {
        self.running.len() >= self.slots && self.waiting.len() >= self.queue
    }

    /// Takes a request to run, or to wait for a slot; not if it is full.
    pub fn offer(&mut self, number: u64, work: Work) {
        if self.running.len() < self.slots {
            self.running.insert(number, work);
        } else if !self.is_full() {
            self.waiting.push_back((number, work));
        }
    }

    /// Runs this at once, slots or not.
    pub fn put(&mut self, number: u64, work: Work) {
        self.running.insert(number, work);
    }

    /// Drops a request; whether it ran or waited.
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

    /// Work left of what runs, in seconds.
    pub fn left(&self, number: u64) -> Option<f64> {
        self.running.get(&number).map(|work| work.left)
    }

    /// Requests that run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops all that runs or waits.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Share of its cores that are busy.
    pub fn cores_busy(&self) -> f64 {
        (self.threads_per_core().min(self.knee) * self.on_cores).min(1.0)
    }

    /// Share of its memory that requests have been granted.
    pub fn memory_granted(&self) -> f64 {
        self.running.values().map(|work| work.memory_mb).sum::<f64>() / self.memory_mb
    }

    /// Threads that want to run, over the cores.
    pub fn threads_per_core(&self) -> f64 {
        self.running.values().map(|work| work.threads).sum::<f64>() / self.cores
    }

    /// Runs for a while at this part of its full speed, and says what has finished.
    pub fn run(&mut self, seconds: f64, warmth: f64) -> Vec<Finished> {
        let held: Vec<u64> = self.running.values().filter(|w| w.load).map(|w| w.tables).collect();
        let stands = |work: &Work| work.waits_for_loads && held.contains(&work.tables);
        let moving = self.running.values().filter(|work| !stands(work));
        let threads: f64 = moving.map(|work| work.threads).sum();
        if threads <= 0.0 {
            return Vec::new();
        }
        let threads_per_core = threads / (self.cores * self.knee);
        // Past the knee, each shares, and part of the work is lost.
        let share = if threads_per_core > 1.0 {
            1.0 / (threads_per_core * (1.0 + self.loss * (threads_per_core - 1.0)))
        } else {
            1.0
        };
        let wanted: f64 = self.running.values().map(|work| work.memory_mb).sum();
        let paging = if wanted > self.memory_mb { (self.memory_mb / wanted).powi(2) } else { 1.0 };
        let speed = share * paging * warmth / self.slow.max(1e-9);
        let mut finished = Vec::new();
        for (number, work) in &mut self.running {
            if !(work.waits_for_loads && held.contains(&work.tables)) {
                work.left -= work.threads * speed * seconds;
                if work.left <= 0.0 {
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
