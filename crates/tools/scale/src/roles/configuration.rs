//! Configuration changes: no commit is replicated between fronts, so a management client commits at each front's gNMI
//! server. The servers are real; the network delay is drawn at random and added.

use crate::budget::CHANGES_PER_DAY;
use crate::error::MeasureError;
use crate::fleet::{Delays, Network, Place, Run, resident_bytes};
use crate::limits::Limits;
use crate::managed::{Change, FrontCommit, ManagementServer, ManagementServers, Manager, RealFront, Rollout};
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

/// Management clients that share the fronts between them: one for each machine set aside for control.
const MANAGEMENT_CLIENTS: usize = 8;
/// Changes made at once, each by a management client of its own.
const CONCURRENT_CHANGES: usize = 10;
/// Every front whose index is a multiple of this number counts as unreachable while a change is made.
const ABSENT_FRONT_INTERVAL: usize = 20;
/// The lateness of a timer above which a run counts as disturbed.
const MAX_LATENESS: Duration = Duration::from_millis(100);
/// Upper limit of the memory of one server, with its store, log and thread.
const BYTES_PER_SERVER: u64 = 4 << 20;
const DESCRIPTORS_PER_SERVER: u64 = 10;
const REAL_COMMITS: usize = 100;
const SECONDS_PER_DAY: f64 = 86_400.0;

const IN_FORCE_MEDIAN: Metric = Metric::new("in_force_p50", "s");
const IN_FORCE_P99: Metric = Metric::new("in_force_p99", "s");
/// One commit at one front: connection, commit and response, without the network delay.
const COMMIT_MEDIAN: Metric = Metric::new("commit_p50", "ms");
const COMMIT_P99: Metric = Metric::new("commit_p99", "ms");
/// Bytes of one commit at one front, both directions.
const COMMIT_BYTES: Metric = Metric::new("bytes_a_commit", "B");
/// Processor time of the server and the management client together.
const COMMIT_PROCESSOR: Metric = Metric::new("processor_a_commit", "ms");
/// Fronts that were left out of a change as unreachable and still have the configuration version from before it.
const FRONTS_LEFT_BEHIND: Metric = Metric::new("fronts_left_behind", "1");
/// After two opposed changes: fronts whose last commit differs from that of the majority.
const DIFFERING_FRONTS: Metric = Metric::new("fronts_that_differ", "1");

/// Commits changes at many fronts' management servers.
pub struct Configuration {
    options: Options,
    runtime: Runtime,
    servers: ManagementServers,
    /// Resident bytes of this process before any server was started.
    resident: f64,
    changes: u32,
}

/// The gNMI address of a front's management server.
#[derive(Debug, Clone, Copy)]
struct FrontAddress {
    front: usize,
    gnmi: SocketAddr,
}

fn addresses(servers: &[ManagementServer]) -> Vec<FrontAddress> {
    let address = |(front, server): (usize, &ManagementServer)| FrontAddress { front, gnmi: server.gnmi };
    servers.iter().enumerate().map(address).collect()
}

impl Configuration {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Result<Self, MeasureError> {
        let resident = resident_bytes()?;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().map_err(
                |cause| MeasureError::Io { what: "the runtime of the management clients".into(), cause },
            )?;
        let servers = ManagementServers::new(runtime.handle().clone())?;
        Ok(Configuration { options: options.clone(), runtime, servers, resident, changes: 0 })
    }

    /// Drains the pool at every odd call and enables it at every even call, counted over all pools.
    fn next_change(&mut self, pool: u32) -> Change {
        self.changes += 1;
        Change::Drain { pool, drained: self.changes % 2 == 1 }
    }

    fn run(&mut self, size: u32, seed: u64, fresh: bool) -> Result<Vec<Sample>, MeasureError> {
        let servers = self.servers.open(size as usize)?;
        let fronts = addresses(servers);
        if fresh {
            self.runtime.block_on(roll_out_all(
                &fronts,
                MANAGEMENT_CLIENTS,
                &Change::Pools,
                &Manager::default(),
            ))?;
        }
        let mut samples = Vec::new();
        for (way, client_count) in [("one-manager", 1), ("8-managers", MANAGEMENT_CLIENTS)] {
            samples.extend(self.roll_out_divided(size, way, client_count, &fronts, seed)?);
        }
        samples.extend(self.roll_out_concurrently(size, &fronts, seed)?);
        samples.extend(self.roll_out_to_present(size)?);
        samples.extend(self.roll_out_opposed(size, &fronts)?);
        Ok(samples)
    }

    /// Rolls out one change, with the fronts divided among `client_count` clients.
    fn roll_out_divided(
        &mut self,
        size: u32,
        way: &str,
        client_count: usize,
        fronts: &[FrontAddress],
        seed: u64,
    ) -> Result<Vec<Sample>, MeasureError> {
        let change = self.next_change(0);
        let manager = Manager::default();
        let watch = Watch::start(MAX_LATENESS);
        let processor = crate::process::process_time();
        let parts = self.runtime.block_on(roll_out_all(fronts, client_count, &change, &manager))?;
        let processor = crate::process::process_time().saturating_sub(processor);
        let disturbed = watch.finish().disturbed();
        let mut samples = Vec::new();
        for loss in LOSSES {
            let run = run(format!("way={way},loss={loss}"), size, disturbed);
            samples.extend(in_force_samples(&run, &parts, loss, seed));
        }
        let run = run(format!("way={way}"), size, disturbed);
        let each = f64::from(size);
        let bytes = manager.bytes.get() as f64 / each;
        samples.push(run.sample(COMMIT_BYTES, bytes));
        let commit_ms = processor.as_secs_f64() * 1e3 / each;
        samples.push(run.sample(COMMIT_PROCESSOR, commit_ms));
        let per_second = f64::from(CHANGES_PER_DAY) / SECONDS_PER_DAY;
        samples.push(run.sample(metric::BYTES_CONTROL, bytes * per_second));
        samples.push(run.sample(metric::PROCESSOR, commit_ms / 1e3 * per_second * 100.0));
        let memory = (resident_bytes()? - self.resident).max(0.0) / each / 1e6;
        samples.push(run.sample(metric::MEMORY, memory));
        samples.extend(commit_time_samples(&run, &parts));
        Ok(samples)
    }

    /// Rolls out ten changes at once, each by a management client that commits at all fronts in turn.
    fn roll_out_concurrently(
        &mut self,
        size: u32,
        fronts: &[FrontAddress],
        seed: u64,
    ) -> Result<Vec<Sample>, MeasureError> {
        let changes: Vec<Change> =
            (0..CONCURRENT_CHANGES as u32).map(|pool| self.next_change(pool + 1)).collect();
        let watch = Watch::start(MAX_LATENESS);
        let parts = self.runtime.block_on(async {
            let mut rollouts = JoinSet::new();
            for change in changes {
                let fronts = fronts.to_vec();
                rollouts.spawn(async move { roll_out(fronts, change, Manager::default()).await });
            }
            join_all(rollouts).await
        })?;
        let disturbed = watch.finish().disturbed();
        let case = |loss| run(format!("way=10-changes-at-once,loss={loss}"), size, disturbed);
        Ok(LOSSES.into_iter().flat_map(|loss| in_force_samples(&case(loss), &parts, loss, seed)).collect())
    }

    /// Rolls out a change while some fronts are unreachable. Those fronts never receive the change
    /// unless the management client commits it again.
    fn roll_out_to_present(&mut self, size: u32) -> Result<Vec<Sample>, MeasureError> {
        let change = self.next_change(0);
        let servers = self.servers.open(size as usize)?;
        let is_present = |address: &FrontAddress| !address.front.is_multiple_of(ABSENT_FRONT_INTERVAL);
        let fronts: Vec<FrontAddress> = addresses(servers).into_iter().filter(is_present).collect();
        let before: Vec<u64> = servers.iter().map(version).collect();
        self.runtime.block_on(roll_out_all(&fronts, MANAGEMENT_CLIENTS, &change, &Manager::default()))?;
        let servers = self.servers.open(size as usize)?;
        let left_behind =
            servers.iter().zip(&before).filter(|(server, before)| version(server) == **before).count();
        Ok(vec![run("way=8-managers".into(), size, false).sample(FRONTS_LEFT_BEHIND, left_behind as f64)])
    }

    /// Two management clients commit opposed changes of one pool, and visit the fronts in opposite orders.
    fn roll_out_opposed(&mut self, size: u32, fronts: &[FrontAddress]) -> Result<Vec<Sample>, MeasureError> {
        let backwards: Vec<FrontAddress> = fronts.iter().rev().copied().collect();
        let changes = [(true, fronts.to_vec()), (false, backwards)];
        self.runtime.block_on(async {
            let mut rollouts = JoinSet::new();
            for (drained, fronts) in changes {
                let change = Change::Drain { pool: CONCURRENT_CHANGES as u32 + 1, drained };
                rollouts.spawn(async move { roll_out(fronts, change, Manager::default()).await });
            }
            join_all(rollouts).await
        })?;
        let servers = self.servers.open(size as usize)?;
        let drained =
            servers.iter().filter(|server| is_drained(server, CONCURRENT_CHANGES as u32 + 1)).count();
        let different = drained.min(servers.len() - drained);
        Ok(vec![run("way=2-managers-opposed".into(), size, false).sample(DIFFERING_FRONTS, different as f64)])
    }

    /// Measures commits at a real front process; no samples if its program has not been built.
    fn commit_at_real_front(&mut self, size: u32) -> Result<Vec<Sample>, MeasureError> {
        let Some(front) = RealFront::start()? else { return Ok(Vec::new()) };
        let manager = Manager::default();
        self.runtime.block_on(manager.commit(front.gnmi, &Change::Pools))?;
        let (mut commits, before) = (Vec::new(), manager.bytes.get());
        let watch = Watch::start(MAX_LATENESS);
        for _ in 0..REAL_COMMITS {
            let change = self.next_change(0);
            let commit = self.runtime.block_on(manager.commit(front.gnmi, &change))?;
            commits.push(FrontCommit { front: 0, commit });
        }
        let run = run("door=real".into(), size, watch.finish().disturbed());
        let bytes = (manager.bytes.get() - before) as f64 / REAL_COMMITS as f64;
        let mut samples = vec![run.sample(COMMIT_BYTES, bytes)];
        samples.extend(commit_time_samples(&run, &[commits]));
        Ok(samples)
    }
}

fn run(case: String, size: u32, disturbed: bool) -> Run {
    Run { role: Role::Configuration, case, size, disturbed }
}

fn version(server: &ManagementServer) -> u64 {
    server.hub.with_store(|store| store.running().number)
}

fn is_drained(server: &ManagementServer, pool: u32) -> bool {
    let schema = server.hub.schema();
    let steps = lemonusher_model::parse_path(&format!("/front/pool[name=p{pool}]/admin-state"));
    let place = steps.ok().and_then(|steps| schema.place(&steps).ok());
    let running = server.hub.with_store(|store| store.running().clone());
    place.is_some_and(|place| running.tree.leaf(schema, &place) == Some("draining"))
}

/// Rolls out a change; each management client takes every `client_count`-th front.
async fn roll_out_all(
    fronts: &[FrontAddress],
    client_count: usize,
    change: &Change,
    manager: &Manager,
) -> Result<Vec<Vec<FrontCommit>>, MeasureError> {
    let mut rollouts = JoinSet::new();
    for first in 0..client_count {
        let part: Vec<FrontAddress> = fronts.iter().skip(first).step_by(client_count).copied().collect();
        let (change, manager) = (change.clone(), manager.clone());
        rollouts.spawn(async move { roll_out(part, change, manager).await });
    }
    join_all(rollouts).await
}

async fn roll_out(
    fronts: Vec<FrontAddress>,
    change: Change,
    manager: Manager,
) -> Result<Vec<FrontCommit>, MeasureError> {
    let mut commits = Vec::new();
    for FrontAddress { front, gnmi } in fronts {
        let commit = manager.commit(gnmi, &change).await?;
        commits.push(FrontCommit { front, commit });
    }
    Ok(commits)
}

async fn join_all(
    mut rollouts: JoinSet<Result<Vec<FrontCommit>, MeasureError>>,
) -> Result<Vec<Vec<FrontCommit>>, MeasureError> {
    let mut parts = Vec::new();
    while let Some(part) = rollouts.join_next().await {
        parts.push(part.map_err(|cause| MeasureError::Failed(cause.to_string()))??);
    }
    Ok(parts)
}

/// Samples of the time until a change is in force at the fronts, including network delays. Management client number n
/// is placed where front number n is.
fn in_force_samples(run: &Run, parts: &[Vec<FrontCommit>], loss: u32, seed: u64) -> Vec<Sample> {
    let network = Network { delays: Delays::STATED, loss: f64::from(loss) / 100.0, partitioned: false };
    let roll_out = |(number, commits): (usize, &Vec<FrontCommit>)| {
        Rollout::over(commits, &network, Place::of(number), seed + number as u64).in_force
    };
    let mut all: Vec<f64> =
        parts.iter().enumerate().flat_map(roll_out).map(|span| span.as_secs_f64()).collect();
    all.sort_by(f64::total_cmp);
    vec![
        run.sample(IN_FORCE_MEDIAN, quantile(&all, 0.5)),
        run.sample(IN_FORCE_P99, quantile(&all, 0.99)),
        run.sample(metric::IN_FORCE, quantile(&all, 1.0)),
    ]
}

fn commit_time_samples(run: &Run, parts: &[Vec<FrontCommit>]) -> Vec<Sample> {
    let mut all: Vec<f64> = parts.iter().flatten().map(|one| one.commit.local.as_secs_f64() * 1e3).collect();
    all.sort_by(f64::total_cmp);
    vec![run.sample(COMMIT_MEDIAN, quantile(&all, 0.5)), run.sample(COMMIT_P99, quantile(&all, 0.99))]
}

/// A quantile of sorted values; zero for none.
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
        check_limits(size)?;
        let mut samples = Vec::new();
        for repeat in 0..self.options.repeats {
            progress.step(format!("{size} fronts, run {}", repeat + 1));
            samples.extend(self.run(size, self.options.seed + u64::from(repeat), repeat == 0)?);
        }
        samples.extend(self.commit_at_real_front(size)?);
        Ok(samples)
    }
}

fn check_limits(size: u32) -> Result<(), MeasureError> {
    let servers = u64::from(size);
    let need = Need {
        memory_bytes: servers * BYTES_PER_SERVER,
        descriptors: servers * DESCRIPTORS_PER_SERVER,
        ..Need::default()
    };
    let limits = Limits::of_this_machine().map_err(|cause| MeasureError::Figures(cause.to_string()))?;
    if limits.hold(&need) { Ok(()) } else { Err(MeasureError::DoesNotFit { size, need }) }
}
