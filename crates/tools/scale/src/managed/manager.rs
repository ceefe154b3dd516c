//! A manager: connects to a front's gNMI door, commits one change, and goes on to the next front.

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

/// Engines of one pool of the configuration that all fronts begin with.
const ENGINES_A_POOL: u32 = 10;
/// A commit that came while another was under way is tried again after this.
const AGAIN: Duration = Duration::from_millis(20);
const TRIES: u32 = 100;

/// One change of configuration.
#[derive(Debug, Clone)]
pub enum Change {
    /// All pools of the design size.
    Pools,
    /// Withdraws a pool, or takes it up again.
    Drain { pool: u32, drained: bool },
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
        let first = pool * ENGINES_A_POOL;
        let engines: Vec<String> = (first..first + ENGINES_A_POOL).map(|id| format!("{id:08x}")).collect();
        serde_json::json!({"name": format!("p{pool}"), "engine": engines})
    };
    (0..budget::ENGINES / ENGINES_A_POOL).map(pool).collect()
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

/// What one commit at one front took.
#[derive(Debug, Clone, Copy, Default)]
pub struct Commit {
    /// Connecting, the commit, and its answer, over loopback.
    pub local: Duration,
    /// How often another commit was in the way.
    pub refused: u32,
}

/// What a manager has spent on a walk over fronts, and when the change came into force at each.
#[derive(Debug, Clone, Default)]
pub struct Walk {
    /// By front of the walk: since the walk began, with the network's time.
    pub in_force: Vec<Duration>,
    pub commits: Vec<Commit>,
}

impl Walk {
    /// The walk as it would go over this network: at each front in turn.
    pub fn over(commits: &[(usize, Commit)], network: &Network, manager: Place, seed: u64) -> Walk {
        let mut chance = Rng::with_seed(seed);
        let (mut clock, mut walk) = (Duration::ZERO, Walk::default());
        for (front, commit) in commits {
            let way = exchange(network, manager, Place::of(*front), &mut chance);
            clock += way.there + commit.local;
            walk.in_force.push(clock);
            walk.commits.push(*commit);
            clock += way.back;
        }
        walk
    }
}

/// Commits over real connections, whose bytes it counts.
#[derive(Debug, Clone, Default)]
pub struct Manager {
    pub bytes: ByteCount,
}

impl Manager {
    /// Connects, commits and goes.
    pub async fn commit(&self, door: SocketAddr, change: &Change) -> Result<Commit, MeasureError> {
        let began = Instant::now();
        let mut client = self.connect(door).await?;
        for refused in 0..TRIES {
            let request = SetRequest { update: vec![change.update()], ..SetRequest::default() };
            match client.set(request).await {
                Ok(_) => return Ok(Commit { local: began.elapsed(), refused }),
                Err(status) if status.code() == Code::Aborted => tokio::time::sleep(AGAIN).await,
                Err(status) => return Err(failed(door, &status)),
            }
        }
        Err(MeasureError::Failed(format!("{door}: another commit was in the way {TRIES} times")))
    }

    async fn connect(&self, door: SocketAddr) -> Result<GNmiClient<Channel>, MeasureError> {
        let unreachable = |cause: tonic::transport::Error| MeasureError::Failed(format!("{door}: {cause}"));
        let endpoint = Endpoint::from_shared(format!("http://{door}")).map_err(unreachable)?;
        let bytes = self.bytes.clone();
        let connector = tower::service_fn(move |_| {
            let bytes = bytes.clone();
            async move {
                let stream = tokio::net::TcpStream::connect(door).await?;
                stream.set_nodelay(true)?;
                Ok::<TokioIo<Counted>, std::io::Error>(TokioIo::new(bytes.counted(stream)))
            }
        });
        let channel = endpoint.connect_with_connector(connector).await.map_err(unreachable)?;
        Ok(GNmiClient::new(channel))
    }
}

fn failed(door: SocketAddr, status: &Status) -> MeasureError {
    MeasureError::Failed(format!("{door}: {status}"))
}
