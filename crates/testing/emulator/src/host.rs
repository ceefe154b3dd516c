//! An engine in a simulation: the engine model with its discovery state, load reports and connections.

use crate::engine::Engine;
use crate::world::SimulatedDeployment;
use lemonusher::{EngineState, LoadReport};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub(crate) struct EngineHost {
    pub engine: Engine,
    pub kind: u32,
    pub zone: u32,
    pub state: EngineState,
    pub started: Duration,
    pub silent_until: Duration,
    pub slow_until: Duration,
    /// Slowdown factor while no failure affects it.
    pub usual_slowdown: f64,
    pub restarts_at: Option<Duration>,
    pub removed_at: Option<Duration>,
    /// Requests that finished while it sent no replies.
    pub unreported: Vec<u64>,
    /// Load samples that are not reported yet, with the time from which they are.
    pub samples: VecDeque<(Duration, LoadReport)>,
    pub report: Option<LoadReport>,
    pub next_sample: Duration,
    /// Time at which each front's connection is established, by front.
    pub connected: BTreeMap<usize, Duration>,
    /// Cached table groups; the most recently used one is last.
    pub cached_table_groups: VecDeque<u64>,
    /// Work that it was sent within the overload window while it warms up, with the time of sending.
    pub slow_start_work: VecDeque<(Duration, f64)>,
}

impl EngineHost {
    /// An engine of a kind. `draw`, from 0 to 1, selects its speed within the kind's spread.
    pub fn new(world: &SimulatedDeployment, kind: u32, draw: f64) -> EngineHost {
        let machine = &world.engines[kind as usize];
        let usual_slowdown = 1.0 / (1.0 + machine.speed_spread * (2.0 * draw - 1.0));
        let mut engine = Engine::new(machine.cores, machine.memory_mb, machine.thrashing_loss);
        (engine.max_threads_per_core, engine.cpu_share, engine.slowdown) =
            (machine.max_threads_per_core, machine.cpu_share, usual_slowdown);
        engine.slots = machine.slots.unwrap_or(usize::MAX);
        engine.queue_length = machine.queue_length.unwrap_or(usize::MAX);
        EngineHost {
            engine,
            kind,
            zone: machine.zone,
            state: EngineState::Active,
            started: Duration::ZERO,
            silent_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            usual_slowdown,
            restarts_at: None,
            removed_at: None,
            unreported: Vec::new(),
            samples: VecDeque::new(),
            report: None,
            next_sample: Duration::ZERO,
            connected: BTreeMap::new(),
            cached_table_groups: VecDeque::new(),
            slow_start_work: VecDeque::new(),
        }
    }

    /// Records the use of a table group, and returns whether it was cached. The `capacity` most recently used table
    /// groups are cached.
    pub fn use_table_group(&mut self, table_group: u64, capacity: usize) -> bool {
        let count_before = self.cached_table_groups.len();
        self.cached_table_groups.retain(|other| *other != table_group);
        let was_cached = self.cached_table_groups.len() < count_before;
        self.cached_table_groups.push_back(table_group);
        while self.cached_table_groups.len() > capacity {
            self.cached_table_groups.pop_front();
        }
        was_cached
    }
}
