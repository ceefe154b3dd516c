//! Brings the managed side up: state from its folder, then the doors, on a thread of their own.

use crate::disk::{Disk, DiskError};
use crate::hub::{Hub, unix_ms};
use crate::parts::{LogLevelPart, Part, RouterPart};
use crate::users::Users;
use crate::{gnmi, netconf};
use lemonusher_desired_state::{DesiredStateReader, Names};
use lemonusher_membership::DesiredState;
use lemonusher_model::Schema;
use lemonusher_routing::{EngineNotification, ManagementCall};
use lemonusher_store::{Bounds, Record, Store};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Requests and notices that may wait between the managed side and the owner.
const MAX_QUEUED_REQUESTS: usize = 256;
const MAX_QUEUED_NOTIFICATIONS: usize = 4096;

/// What the operator's file says of the managed side.
#[derive(Debug, Clone)]
pub struct ManagementConfig {
    /// Where commits last.
    pub folder: Option<PathBuf>,
    pub history: usize,
    pub sessions: usize,
    pub subscriptions: usize,
    /// How old the state that a manager reads may be.
    pub freshness: Duration,
    /// The startup datastore, where there is one, is what a start begins with.
    pub from_startup: bool,
    pub gnmi: Option<GnmiConfig>,
    pub netconf: Option<NetconfConfig>,
    pub users: Users,
}

#[derive(Debug, Clone)]
pub struct GnmiConfig {
    pub listen: SocketAddr,
    pub tls: Option<Tls>,
}

/// A certificate and its key, as PEM.
#[derive(Debug, Clone)]
pub struct Tls {
    pub certificate: Vec<u8>,
    pub key: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct NetconfConfig {
    pub listen: SocketAddr,
    /// The host's private key, in OpenSSH's form.
    pub host_key: Option<String>,
}

/// What the front needs of the managed side.
pub struct Started {
    pub requests: async_channel::Receiver<ManagementCall>,
    pub desired_state: Arc<DesiredState>,
    pub notifications: async_channel::Sender<EngineNotification>,
    pub gnmi: Option<SocketAddr>,
    pub netconf: Option<SocketAddr>,
    pub hub: Arc<Hub>,
}

/// Why the managed side can't start.
#[derive(Debug)]
pub enum StartError {
    Model(String),
    Disk(DiskError),
    Log(io::Error),
    Listen(SocketAddr, io::Error),
    /// What was wanted when the front last ran names what the deployment no longer states.
    DesiredState(String),
    Key(String),
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Model(what) => write!(f, "the front's model: {what}"),
            StartError::Disk(error) => write!(f, "state: {error}"),
            StartError::Log(error) => write!(f, "the state's log: {error}"),
            StartError::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            StartError::DesiredState(what) => {
                write!(f, "the state that was kept does not fit the deployment: {what}")
            }
            StartError::Key(what) => write!(f, "key: {what}"),
            StartError::Thread(error) => write!(f, "can't start a thread: {error}"),
        }
    }
}

/// Starts the managed side. `level` sets the log's level; `more` are parts that a commit moves besides the
/// front's own.
pub fn start(
    terms: ManagementConfig,
    names: Names,
    front: String,
    level: Arc<dyn Fn(&str) + Send + Sync>,
    more: Vec<Arc<dyn Part>>,
) -> Result<Started, StartError> {
    let schema = Arc::new(Schema::front().map_err(|wrong| StartError::Model(wrong.to_string()))?);
    let reader = DesiredStateReader::new(&schema, names.clone())
        .ok_or_else(|| StartError::Model("it lacks pools or service groups".to_owned()))?;
    let bounds = Bounds { history: terms.history, sessions: terms.sessions };
    let (mut disk, mut store) = match &terms.folder {
        None => (None, Store::new(schema.clone(), bounds)),
        Some(folder) => {
            let (disk, store) = Disk::open(folder, schema.clone(), bounds).map_err(StartError::Disk)?;
            (Some(disk), store)
        }
    };
    // What nobody can confirm any more is taken back before anything is served.
    let mut first = vec![store.poll_timeout(Duration::ZERO, unix_ms())];
    if terms.from_startup && first[0].is_none() {
        first.push(store.plan_start_from_startup(unix_ms()));
    }
    for plan in first.into_iter().flatten() {
        if let Some(disk) = &mut disk {
            disk.append(&Record::commit(&schema, &plan)).map_err(StartError::Log)?;
        }
        tracing::info!(commit = plan.version.number, "at the start: {}", plan.version.cause);
        store.finish_commit(plan);
    }
    let wishes = reader.read(&schema, &store.running().tree).map_err(|faults| {
        StartError::DesiredState(faults.iter().map(|fault| fault.to_string()).collect::<Vec<_>>().join("; "))
    })?;
    if store.running().number > 0 {
        level(&wishes.log_level);
    }

    let (requests, asked) = async_channel::bounded(MAX_QUEUED_REQUESTS);
    let (notices, noticed) = async_channel::bounded(MAX_QUEUED_NOTIFICATIONS);
    let mut parts: Vec<Arc<dyn Part>> = vec![
        Arc::new(RouterPart { schema: schema.clone(), reader: reader.clone(), requests: requests.clone() }),
        Arc::new(LogLevelPart { schema: schema.clone(), reader, set: level, ready: Mutex::new(None) }),
    ];
    parts.extend(more);
    let hub = Hub::new(schema, names, front, store, disk, parts, requests, terms.freshness);

    let bind = |address: SocketAddr| {
        let listener = TcpListener::bind(address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            Ok(listener)
        });
        listener.map_err(|error| StartError::Listen(address, error))
    };
    let gnmi_listener = terms.gnmi.as_ref().map(|gnmi| bind(gnmi.listen)).transpose()?;
    let netconf_listener = terms.netconf.as_ref().map(|netconf| bind(netconf.listen)).transpose()?;
    let address = |listener: &Option<TcpListener>| listener.as_ref().and_then(|l| l.local_addr().ok());
    let started = Started {
        requests: asked,
        desired_state: Arc::new(wishes.desired_state),
        notifications: notices,
        gnmi: address(&gnmi_listener),
        netconf: address(&netconf_listener),
        hub: hub.clone(),
    };
    let netconf_keys = match &terms.netconf {
        Some(netconf) => Some(netconf::host_key(netconf.host_key.as_deref()).map_err(StartError::Key)?),
        None => None,
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Thread)?;
    let serve = async move {
        tokio::spawn(hub.clone().revert_expired_commits());
        tokio::spawn(hub.clone().forward_notifications(noticed));
        if let (Some(listener), Some(gnmi)) = (gnmi_listener, terms.gnmi) {
            let serve =
                gnmi::serve(hub.clone(), listener, gnmi.tls, terms.users.clone(), terms.subscriptions);
            tokio::spawn(async move {
                if let Err(error) = serve.await {
                    tracing::error!("gNMI ends: {error}");
                }
            });
        }
        if let (Some(listener), Some(key)) = (netconf_listener, netconf_keys) {
            let serve = netconf::serve(hub.clone(), listener, key, terms.users, terms.subscriptions);
            tokio::spawn(async move {
                if let Err(error) = serve.await {
                    tracing::error!("NETCONF ends: {error}");
                }
            });
        }
        std::future::pending::<()>().await
    };
    let run = move || runtime.block_on(serve);
    std::thread::Builder::new().name("managed".to_owned()).spawn(run).map_err(StartError::Thread)?;
    Ok(started)
}
