//! A management client: connects to a front's gNMI server, commits one change, and continues with the next front.

use super::count::{ByteCount, Counted};
use super::wire::exchange;
use crate::budget;
use crate::error::MeasureError;
use crate::fleet::{Network, Place};
use fastrand::Rng;
use hyper_util::rt::TokioIo;
use lemonusher_managed::gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use lemonusher_managed::gnmi::proto::gnmi::typed_value::Value;
use lemonusher_managed::gnmi::proto::gnmi::{Path, PathElem, SetRequest, TypedValue, Update};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Engines in each pool of the initial configuration of all fronts.
const ENGINES_PER_POOL: u32 = 10;
/// Delay before a commit that conflicted with another one is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const MAX_TRIES: u32 = 100;

/// One configuration change.
#[derive(Debug, Clone)]
pub enum Change {
    /// Creates all pools of a fleet of the design size.
    Pools,
    /// Drains a pool, or enables it again.
    Drain {
        /// The pool's number.
        pool: u32,
        /// True to drain the pool, false to enable it.
        drained: bool,
    },
}

impl Change {
    fn update(&self) -> Update {
        match self {
            Change::Pools => update("/front", &serde_json::json!({"pool": pools()})),
            Change::Drain { pool, drained } => {
                let state = if *drained { "draining" } else { "enabled" };
                let path = format!("/front/pool[name=p{pool}]/admin-state");
                update(&path, &serde_json::json!(state))
            }
        }
    }
}

fn pools() -> Vec<serde_json::Value> {
    let pool = |pool: u32| {
        let first = pool * ENGINES_PER_POOL;
        let engines: Vec<String> = (first..first + ENGINES_PER_POOL).map(|id| format!("{id:08x}")).collect();
        serde_json::json!({"name": format!("p{pool}"), "engine": engines})
    };
    (0..budget::ENGINES / ENGINES_PER_POOL).map(pool).collect()
}

fn update(path: &str, value: &serde_json::Value) -> Update {
    let steps = lemonusher_model::parse_path(path).unwrap_or_default().into_iter();
    let elem = steps.map(|step| PathElem { name: step.name, key: step.keys.into_iter().collect() }).collect();
    let val = Value::JsonIetfVal(value.to_string().into_bytes());
    Update {
        path: Some(Path { elem, ..Path::default() }),
        val: Some(TypedValue { value: Some(val) }),
        duplicates: 0,
    }
}

/// The cost of one commit at one front.
#[derive(Debug, Clone, Copy, Default)]
pub struct Commit {
    /// Time for connection, commit and response over loopback, including retries after conflicts.
    pub local: Duration,
    /// Number of conflicts with other commits before it succeeded.
    pub conflicts: u32,
}

/// A commit at one front.
#[derive(Debug, Clone, Copy)]
pub struct FrontCommit {
    /// The front's index.
    pub front: usize,
    /// The cost of the commit.
    pub commit: Commit,
}

/// The commits of one change at one front after the other, and the time when it was in force at each.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// Time from the start of the rollout, including network delays, one entry a front in the order of commits.
    pub in_force: Vec<Duration>,
    /// The cost of each commit, in the same order.
    pub commits: Vec<Commit>,
}

impl Rollout {
    /// Calculates the rollout over a network: at each front in turn, the network delays are added to the measured
    /// commit.
    pub fn over(commits: &[FrontCommit], network: &Network, manager: Place, seed: u64) -> Rollout {
        let mut rng = Rng::with_seed(seed);
        let (mut clock, mut rollout) = (Duration::ZERO, Rollout::default());
        for FrontCommit { front, commit } in commits {
            let delays = exchange(network, manager, Place::of(*front), &mut rng);
            clock += delays.there + commit.local;
            rollout.in_force.push(clock);
            rollout.commits.push(*commit);
            clock += delays.back;
        }
        rollout
    }
}

/// Commits over real connections and counts their bytes.
#[derive(Debug, Clone, Default)]
pub struct Manager {
    /// Bytes of all its connections.
    pub bytes: ByteCount,
}

impl Manager {
    /// Connects, commits and disconnects.
    pub async fn commit(&self, server: SocketAddr, change: &Change) -> Result<Commit, MeasureError> {
        let began = Instant::now();
        let mut client = self.connect(server).await?;
        for conflicts in 0..MAX_TRIES {
            let request = SetRequest { update: vec![change.update()], ..SetRequest::default() };
            match client.set(request).await {
                Ok(_) => return Ok(Commit { local: began.elapsed(), conflicts }),
                Err(status) if status.code() == Code::Aborted => tokio::time::sleep(RETRY_INTERVAL).await,
                Err(status) => return Err(failed(server, &status)),
            }
        }
        Err(MeasureError::Failed(format!(
            "{server}: the commit conflicted with other commits {MAX_TRIES} times"
        )))
    }

    async fn connect(&self, server: SocketAddr) -> Result<GNmiClient<Channel>, MeasureError> {
        let unreachable = |cause: tonic::transport::Error| MeasureError::Failed(format!("{server}: {cause}"));
        let endpoint = Endpoint::from_shared(format!("http://{server}")).map_err(unreachable)?;
        let bytes = self.bytes.clone();
        let connector = tower::service_fn(move |_| {
            let bytes = bytes.clone();
            async move {
                let stream = tokio::net::TcpStream::connect(server).await?;
                stream.set_nodelay(true)?;
                Ok::<TokioIo<Counted>, std::io::Error>(TokioIo::new(bytes.counted(stream)))
            }
        });
        let channel = endpoint.connect_with_connector(connector).await.map_err(unreachable)?;
        Ok(GNmiClient::new(channel))
    }
}

fn failed(server: SocketAddr, status: &Status) -> MeasureError {
    MeasureError::Failed(format!("{server}: {status}"))
}
