//! Configuration as it stands: nothing spreads a commit between fronts, so a manager commits at each front's gNMI door.
//! The doors are real; the time that the network takes is drawn and added.

use crate::budget::CHANGES_A_DAY;
use crate::error::MeasureError;
use crate::fleet::{Delays, Network, Place, Run, resident_bytes};
use crate::limits::Limits;
use crate::managed::{Change, Commit, Door, Doors, Manager, RealFront, Walk};
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::progress::Progress;
use crate::role::Role;
use crate::roles::failure_detector::LOSSES;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Watch;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

/// Managers that share the fronts between them: one a machine set aside for control.
const MANAGERS: usize = 8;
/// Changes that come at once, each with a manager of its own.
const AT_ONCE: usize = 10;
/// One front in so many is away while a change is made.
const AWAY: usize = 20;
/// How late the rig may wake.
const LATEST: Duration = Duration::from_millis(100);
/// What a door takes: its store, its log, its thread.
const BYTES_A_DOOR: u64 = 4 << 20;
const DESCRIPTORS_A_DOOR: u64 = 10;
const REAL_COMMITS: usize = 100;
const SECONDS_A_DAY: f64 = 86_400.0;

const IN_FORCE_MEDIAN: Metric = Metric::new("in_force_p50", "s");
const IN_FORCE_P99: Metric = Metric::new("in_force_p99", "s");
/// One commit at one front: connecting, committing, and the answer, without the network.
const COMMIT_MEDIAN: Metric = Metric::new("commit_p50", "ms");
const COMMIT_P99: Metric = Metric::new("commit_p99", "ms");
/// At one front, both ways.
const COMMIT_BYTES: Metric = Metric::new("bytes_a_commit", "B");
/// Of the door's thread and the manager's together.
const COMMIT_PROCESSOR: Metric = Metric::new("processor_a_commit", "ms");
/// Fronts that were away and have not got the change after they are back.
const LEFT_BEHIND: Metric = Metric::new("fronts_left_behind", "1");
/// Fronts at which the later of two opposed changes is another than at most.
const DIFFERENT: Metric = Metric::new("fronts_that_differ", "1");

pub struct Configuration {
    options: Options,
    runtime: Runtime,
    doors: Doors,
    /// What this process held before any door was opened.
    resident: f64,
    changes: u32,
}

/// Doors with their places in the fleet.
type Fronts = Vec<(usize, SocketAddr)>;

impl Configuration {
    pub fn new(options: &Options) -> Result<Self, MeasureError> {
        let resident = resident_bytes()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|cause| MeasureError::Io { what: "the managers' runtime".into(), cause })?;
        let doors = Doors::new(runtime.handle().clone())?;
        Ok(Configuration { options: options.clone(), runtime, doors, resident, changes: 0 })
    }

    /// A change that differs from what stands.
    fn next_change(&mut self, pool: u32) -> Change {
        self.changes += 1;
        Change::Drain { pool, drained: self.changes % 2 == 1 }
    }

    fn run(&mut self, size: u32, seed: u64, fresh: bool) -> Result<Vec<Sample>, MeasureError> {
        let doors = self.doors.open(size as usize)?;
        let fronts: Fronts = doors.iter().map(|door| door.gnmi).enumerate().collect();
        if fresh {
            self.runtime.block_on(walks(&fronts, MANAGERS, &Change::Pools, &Manager::default()))?;
        }
        let mut samples = Vec::new();
        for (way, managers) in [("one-manager", 1), ("8-managers", MANAGERS)] {
            samples.extend(self.shared(size, way, managers, &fronts, seed)?);
        }
        samples.extend(self.at_once(size, &fronts, seed)?);
        samples.extend(self.away(size)?);
        samples.extend(self.opposed(size, &fronts)?);
        Ok(samples)
    }

    /// One change, the fronts shared out among so many managers.
    fn shared(
        &mut self,
        size: u32,
        way: &str,
        managers: usize,
        fronts: &Fronts,
        seed: u64,
    ) -> Result<Vec<Sample>, MeasureError> {
        let change = self.next_change(0);
        let manager = Manager::default();
        let watch = Watch::start(LATEST);
        let processor = crate::process::process_time();
        let parts = self.runtime.block_on(walks(fronts, managers, &change, &manager))?;
        let processor = crate::process::process_time().saturating_sub(processor);
        let disturbed = watch.finish().disturbed();
        let mut samples = Vec::new();
        for loss in LOSSES {
            let run = run(format!("way={way},loss={loss}"), size, disturbed);
            samples.extend(in_force(&run, &parts, loss, seed));
        }
        let run = run(format!("way={way}"), size, disturbed);
        let each = f64::from(size);
        let bytes = manager.bytes.get() as f64 / each;
        samples.push(run.sample(COMMIT_BYTES, bytes));
        let commit_ms = processor.as_secs_f64() * 1e3 / each;
        samples.push(run.sample(COMMIT_PROCESSOR, commit_ms));
        let a_second = f64::from(CHANGES_A_DAY) / SECONDS_A_DAY;
        samples.push(run.sample(metric::BYTES_CONTROL, bytes * a_second));
        samples.push(run.sample(metric::PROCESSOR, commit_ms / 1e3 * a_second * 100.0));
        let memory = (resident_bytes()? - self.resident).max(0.0) / each / 1e6;
        samples.push(run.sample(metric::MEMORY, memory));
        samples.extend(local(&run, &parts));
        Ok(samples)
    }

    /// Ten changes at once, each by a manager that goes to all fronts in turn.
    fn at_once(&mut self, size: u32, fronts: &Fronts, seed: u64) -> Result<Vec<Sample>, MeasureError> {
        let changes: Vec<Change> = (0..AT_ONCE as u32).map(|pool| self.next_change(pool + 1)).collect();
        let watch = Watch::start(LATEST);
        let parts = self.runtime.block_on(async {
            let mut walking = JoinSet::new();
            for change in changes {
                let fronts = fronts.clone();
                walking.spawn(async move { walk(fronts, change, Manager::default()).await });
            }
            joined(walking).await
        })?;
        let disturbed = watch.finish().disturbed();
        let case = |loss| run(format!("way=10-changes-at-once,loss={loss}"), size, disturbed);
        Ok(LOSSES.into_iter().flat_map(|loss| in_force(&case(loss), &parts, loss, seed)).collect())
    }

    /// Some fronts are away while a change is made. Nothing brings it to them later: whoever made it would have to.
    fn away(&mut self, size: u32) -> Result<Vec<Sample>, MeasureError> {
        let change = self.next_change(0);
        let doors = self.doors.open(size as usize)?;
        let there = |front: &usize| !front.is_multiple_of(AWAY);
        let fronts: Fronts =
            doors.iter().map(|door| door.gnmi).enumerate().filter(|(front, _)| there(front)).collect();
        let before: Vec<u64> = doors.iter().map(version).collect();
        self.runtime.block_on(walks(&fronts, MANAGERS, &change, &Manager::default()))?;
        let doors = self.doors.open(size as usize)?;
        let left = doors.iter().zip(&before).filter(|(door, before)| version(door) == **before).count();
        Ok(vec![run("way=8-managers".into(), size, false).sample(LEFT_BEHIND, left as f64)])
    }

    /// Two managers want opposed things of one pool, and go round the fronts in opposed directions.
    fn opposed(&mut self, size: u32, fronts: &Fronts) -> Result<Vec<Sample>, MeasureError> {
        let backwards: Fronts = fronts.iter().rev().copied().collect();
        let changes = [(true, fronts.clone()), (false, backwards)];
        self.runtime.block_on(async {
            let mut walking = JoinSet::new();
            for (drained, fronts) in changes {
                let change = Change::Drain { pool: AT_ONCE as u32 + 1, drained };
                walking.spawn(async move { walk(fronts, change, Manager::default()).await });
            }
            joined(walking).await
        })?;
        let doors = self.doors.open(size as usize)?;
        let drained = doors.iter().filter(|door| is_drained(door, AT_ONCE as u32 + 1)).count();
        let different = drained.min(doors.len() - drained);
        Ok(vec![run("way=2-managers-opposed".into(), size, false).sample(DIFFERENT, different as f64)])
    }

    /// What a commit takes at a real front, where its program has been built.
    fn real(&mut self, size: u32) -> Result<Vec<Sample>, MeasureError> {
        let Some(front) = RealFront::start()? else { return Ok(Vec::new()) };
        let manager = Manager::default();
        self.runtime.block_on(manager.commit(front.gnmi, &Change::Pools))?;
        let (mut commits, before) = (Vec::new(), manager.bytes.get());
        let watch = Watch::start(LATEST);
        for _ in 0..REAL_COMMITS {
            let change = self.next_change(0);
            commits.push((0, self.runtime.block_on(manager.commit(front.gnmi, &change))?));
        }
        let run = run("door=real".into(), size, watch.finish().disturbed());
        let bytes = (manager.bytes.get() - before) as f64 / REAL_COMMITS as f64;
        let mut samples = vec![run.sample(COMMIT_BYTES, bytes)];
        samples.extend(local(&run, &[commits]));
        Ok(samples)
    }
}

fn run(case: String, size: u32, disturbed: bool) -> Run {
    Run { role: Role::Configuration, case, size, disturbed }
}

fn version(door: &Door) -> u64 {
    door.hub.with_store(|store| store.running().number)
}

fn is_drained(door: &Door, pool: u32) -> bool {
    let schema = door.hub.schema();
    let steps = lemonusher_model::parse_path(&format!("/front/pool[name=p{pool}]/admin-state"));
    let place = steps.ok().and_then(|steps| schema.place(&steps).ok());
    let running = door.hub.with_store(|store| store.running().clone());
    place.is_some_and(|place| running.tree.leaf(schema, &place) == Some("draining"))
}

/// Each manager takes every so-many-th front.
async fn walks(
    fronts: &Fronts,
    managers: usize,
    change: &Change,
    manager: &Manager,
) -> Result<Vec<Vec<(usize, Commit)>>, MeasureError> {
    let mut walking = JoinSet::new();
    for first in 0..managers {
        let part: Fronts = fronts.iter().skip(first).step_by(managers).copied().collect();
        let (change, manager) = (change.clone(), manager.clone());
        walking.spawn(async move { walk(part, change, manager).await });
    }
    joined(walking).await
}

async fn walk(
    fronts: Fronts,
    change: Change,
    manager: Manager,
) -> Result<Vec<(usize, Commit)>, MeasureError> {
    let mut commits = Vec::new();
    for (front, door) in fronts {
        commits.push((front, manager.commit(door, &change).await?));
    }
    Ok(commits)
}

async fn joined(
    mut walking: JoinSet<Result<Vec<(usize, Commit)>, MeasureError>>,
) -> Result<Vec<Vec<(usize, Commit)>>, MeasureError> {
    let mut parts = Vec::new();
    while let Some(part) = walking.join_next().await {
        parts.push(part.map_err(|cause| MeasureError::Failed(cause.to_string()))??);
    }
    Ok(parts)
}

/// When a change is in force at the fronts, with the network's time; the managers are in the first zones.
fn in_force(run: &Run, parts: &[Vec<(usize, Commit)>], loss: u32, seed: u64) -> Vec<Sample> {
    let network = Network { delays: Delays::STATED, loss: f64::from(loss) / 100.0, cut: false };
    let walk = |(number, commits): (usize, &Vec<(usize, Commit)>)| {
        Walk::over(commits, &network, Place::of(number), seed + number as u64).in_force
    };
    let mut all: Vec<f64> = parts.iter().enumerate().flat_map(walk).map(|span| span.as_secs_f64()).collect();
    all.sort_by(f64::total_cmp);
    vec![
        run.sample(IN_FORCE_MEDIAN, quantile(&all, 0.5)),
        run.sample(IN_FORCE_P99, quantile(&all, 0.99)),
        run.sample(metric::IN_FORCE, quantile(&all, 1.0)),
    ]
}

fn local(run: &Run, parts: &[Vec<(usize, Commit)>]) -> Vec<Sample> {
    let mut all: Vec<f64> =
        parts.iter().flatten().map(|(_, commit)| commit.local.as_secs_f64() * 1e3).collect();
    all.sort_by(f64::total_cmp);
    vec![run.sample(COMMIT_MEDIAN, quantile(&all, 0.5)), run.sample(COMMIT_P99, quantile(&all, 0.99))]
}

/// Of sorted values; zero for none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(place.saturating_sub(1)).copied().unwrap_or_default()
}

impl Measurement for Configuration {
    fn role(&self) -> Role {
        Role::Configuration
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![40, 130, 260, 520, 1_040]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        fits(size)?;
        let mut samples = Vec::new();
        for repeat in 0..self.options.repeats {
            progress.step(format!("{size} fronts, run {}", repeat + 1));
            samples.extend(self.run(size, self.options.seed + u64::from(repeat), repeat == 0)?);
        }
        samples.extend(self.real(size)?);
        Ok(samples)
    }
}

fn fits(size: u32) -> Result<(), MeasureError> {
    let doors = u64::from(size);
    let need = Need {
        memory_bytes: doors * BYTES_A_DOOR,
        descriptors: doors * DESCRIPTORS_A_DOOR,
        ..Need::default()
    };
    let limits = Limits::of_this_machine().map_err(|cause| MeasureError::Figures(cause.to_string()))?;
    if limits.hold(&need) { Ok(()) } else { Err(MeasureError::DoesNotFit { size, need }) }
}
