//! An engine of the run: the model with its state, its load reports and its connections.

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
    /// How many times slower it works when nothing fails.
    pub usual_slowdown: f64,
    pub restarts_at: Option<Duration>,
    pub removed_at: Option<Duration>,
    /// Finished while it was silent.
    pub unreported: Vec<u64>,
    /// Load samples that are not reported yet.
    pub samples: VecDeque<(Duration, LoadReport)>,
    pub report: Option<LoadReport>,
    pub next_sample: Duration,
    /// When each front's connection is made, by front.
    pub connected: BTreeMap<usize, Duration>,
    /// Table groups that are warm, the one used last at the end.
    pub warm: VecDeque<u64>,
    /// Work that it was sent lately while it warms up.
    pub slow_start_work: VecDeque<(Duration, f64)>,
}

impl EngineHost {
    /// An engine of a kind; `draw`, from 0 to 1, places its speed within the kind's spread.
    pub fn new(world: &SimulatedDeployment, kind: u32, draw: f64) -> EngineHost {
        let machine = &world.engines[kind as usize];
        let usual_slowdown = 1.0 / (1.0 + machine.speed_spread * (2.0 * draw - 1.0));
        let mut engine = Engine::new(machine.cores, machine.memory_mb, machine.thrashing_loss);
        (engine.knee, engine.on_cores, engine.slow) =
            (machine.max_threads_per_core, machine.cpu_share, usual_slowdown);
        engine.slots = machine.slots.unwrap_or(usize::MAX);
        engine.queue = machine.queue_length.unwrap_or(usize::MAX);
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
            warm: VecDeque::new(),
            slow_start_work: VecDeque::new(),
        }
    }

    /// Notes the use of a table group; whether it was warm.
    pub fn use_table_group(&mut self, tables: u64, most: usize) -> bool {
        let warmed = self.warm.len();
        self.warm.retain(|other| *other != tables);
        let was_warm = self.warm.len() < warmed;
        self.warm.push_back(tables);
        while self.warm.len() > most {
            self.warm.pop_front();
        }
        was_warm
    }
}
