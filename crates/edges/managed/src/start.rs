//! Starts the management plane: recovers the store from its folder, then runs the servers on a thread of their own.

use crate::disk::{Disk, DiskError};
use crate::hub::{Hub, HubSetup, unix_ms};
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

/// Calls that may be queued for the request router.
const MAX_QUEUED_REQUESTS: usize = 256;
/// Notifications that may be queued from the request router.
const MAX_QUEUED_NOTIFICATIONS: usize = 4096;

/// The settings of the management plane, from the operator's configuration file.
#[derive(Debug, Clone)]
pub struct ManagementConfig {
    /// The folder of the log; None keeps the store in memory only.
    pub folder: Option<PathBuf>,
    /// The number of versions that are kept for rollback.
    pub history: usize,
    /// Maximum number of sessions open at once, over both protocols.
    pub sessions: usize,
    /// Maximum number of subscriptions open at once, for each protocol.
    pub subscriptions: usize,
    /// Maximum age of the cached router snapshot that management clients read.
    pub freshness: Duration,
    /// Whether the startup datastore, if there is one, replaces the running configuration at the start.
    pub from_startup: bool,
    /// The gNMI server; None if it is disabled.
    pub gnmi: Option<GnmiConfig>,
    /// The NETCONF server; None if it is disabled.
    pub netconf: Option<NetconfConfig>,
    /// The users of both servers; if there are none, every client may read and write.
    pub users: Users,
}

/// The settings of the gNMI server.
#[derive(Debug, Clone)]
pub struct GnmiConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// None for plain text.
    pub tls: Option<Tls>,
}

/// A certificate and its key, as PEM.
#[derive(Debug, Clone)]
pub struct Tls {
    /// The certificate chain.
    pub certificate: Vec<u8>,
    /// The private key.
    pub key: Vec<u8>,
}

/// The settings of the NETCONF server.
#[derive(Debug, Clone)]
pub struct NetconfConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The SSH host key, in OpenSSH private key format; None generates one for this run.
    pub host_key: Option<String>,
}

/// The running management plane, with its connections to the request router.
pub struct Started {
    /// Calls for the request router to handle.
    pub requests: async_channel::Receiver<ManagementCall>,
    /// The desired state from the running configuration at the start.
    pub desired_state: Arc<DesiredState>,
    /// The queue on which the request router sends its notifications.
    pub notifications: async_channel::Sender<EngineNotification>,
    /// The address that the gNMI server listens on.
    pub gnmi: Option<SocketAddr>,
    /// The address that the NETCONF server listens on.
    pub netconf: Option<SocketAddr>,
    /// The store and its commits.
    pub hub: Arc<Hub>,
}

/// The management plane can't be started.
#[derive(Debug)]
pub enum StartError {
    /// The front's model can't be used.
    Model(String),
    /// The log can't be opened.
    Disk(DiskError),
    /// A commit at the start could not be written to the log.
    Log(io::Error),
    /// An address can't be listened on.
    Listen(SocketAddr, io::Error),
    /// The running configuration names something that the deployment no longer defines.
    DesiredState(String),
    /// The host key can't be used.
    Key(String),
    /// The thread or its runtime can't be started.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Model(what) => write!(f, "the front's YANG model is invalid: {what}"),
            StartError::Disk(error) => write!(f, "can't open the log: {error}"),
            StartError::Log(error) => write!(f, "can't write to the log: {error}"),
            StartError::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            StartError::DesiredState(what) => {
                write!(f, "the stored configuration does not match the deployment: {what}")
            }
            StartError::Key(what) => write!(f, "NETCONF host key: {what}"),
            StartError::Thread(error) => write!(f, "can't start a thread: {error}"),
        }
    }
}

/// Starts the management plane. `set_log_level` sets the level of the process's log; `extra_parts` are
/// participants in each commit besides the request router and the log level.
pub fn start(
    config: ManagementConfig,
    names: Names,
    front: String,
    set_log_level: Arc<dyn Fn(&str) + Send + Sync>,
    extra_parts: Vec<Arc<dyn Part>>,
) -> Result<Started, StartError> {
    let schema = Arc::new(Schema::front().map_err(|error| StartError::Model(error.to_string()))?);
    let reader = DesiredStateReader::new(&schema, names.clone())
        .ok_or_else(|| StartError::Model("the nodes of pools or service groups are missing".to_owned()))?;
    let (mut disk, mut store) = open_store(&config, &schema)?;
    commit_at_start(&config, &schema, &mut disk, &mut store)?;
    let desired = reader.read(&schema, &store.running().tree).map_err(|faults| {
        StartError::DesiredState(faults.iter().map(|fault| fault.to_string()).collect::<Vec<_>>().join("; "))
    })?;
    if store.running().number > 0 {
        set_log_level(&desired.log_level);
    }

    let (requests, router_requests) = async_channel::bounded(MAX_QUEUED_REQUESTS);
    let (notifications, from_router) = async_channel::bounded(MAX_QUEUED_NOTIFICATIONS);
    let mut parts: Vec<Arc<dyn Part>> = vec![
        Arc::new(RouterPart { schema: schema.clone(), reader: reader.clone(), requests: requests.clone() }),
        Arc::new(LogLevelPart {
            schema: schema.clone(),
            reader,
            set: set_log_level,
            prepared: Mutex::new(None),
        }),
    ];
    parts.extend(extra_parts);
    let freshness = config.freshness;
    let hub = Hub::new(HubSetup { schema, names, front, store, disk, parts, requests, freshness });

    let servers = Servers::bind(config)?;
    let started = Started {
        requests: router_requests,
        desired_state: Arc::new(desired.desired_state),
        notifications,
        gnmi: servers.gnmi_address(),
        netconf: servers.netconf_address(),
        hub: hub.clone(),
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Thread)?;
    let serve = async move {
        tokio::spawn(hub.clone().revert_expired_commits());
        tokio::spawn(hub.clone().forward_notifications(from_router));
        servers.spawn(&hub);
        std::future::pending::<()>().await
    };
    let run = move || runtime.block_on(serve);
    std::thread::Builder::new().name("managed".to_owned()).spawn(run).map_err(StartError::Thread)?;
    Ok(started)
}

fn open_store(config: &ManagementConfig, schema: &Arc<Schema>) -> Result<(Option<Disk>, Store), StartError> {
    let bounds = Bounds { history: config.history, sessions: config.sessions };
    match &config.folder {
        None => Ok((None, Store::new(schema.clone(), bounds))),
        Some(folder) => {
            let (disk, store) = Disk::open(folder, schema.clone(), bounds).map_err(StartError::Disk)?;
            Ok((Some(disk), store))
        }
    }
}

/// Reverts a commit that was pending when the process ended, as nobody can confirm it any more. If there was none and
/// `from_startup` is set, commits the startup datastore. Runs before the servers start.
fn commit_at_start(
    config: &ManagementConfig,
    schema: &Schema,
    disk: &mut Option<Disk>,
    store: &mut Store,
) -> Result<(), StartError> {
    let mut plans = vec![store.poll_timeout(Duration::ZERO, unix_ms())];
    if config.from_startup && plans[0].is_none() {
        plans.push(store.plan_start_from_startup(unix_ms()));
    }
    for plan in plans.into_iter().flatten() {
        if let Some(disk) = disk {
            disk.append(store, &Record::commit(schema, &plan)).map_err(StartError::Log)?;
        }
        tracing::info!(commit = plan.version.number, "commit at startup, cause: {}", plan.version.cause);
        store.finish_commit(plan);
    }
    Ok(())
}

/// The servers for management clients, bound to their addresses.
struct Servers {
    gnmi: Option<(TcpListener, Option<Tls>)>,
    netconf: Option<(TcpListener, netconf::HostKey)>,
    users: Users,
    subscriptions: usize,
}

impl Servers {
    fn bind(config: ManagementConfig) -> Result<Servers, StartError> {
        let ManagementConfig { gnmi, netconf, users, subscriptions, .. } = config;
        let gnmi = gnmi.map(|gnmi| Ok((bind(gnmi.listen)?, gnmi.tls))).transpose()?;
        let netconf_listener = netconf.as_ref().map(|netconf| bind(netconf.listen)).transpose()?;
        let host_key = netconf.map(|netconf| netconf::host_key(netconf.host_key.as_deref())).transpose();
        let netconf = netconf_listener.zip(host_key.map_err(StartError::Key)?);
        Ok(Servers { gnmi, netconf, users, subscriptions })
    }

    fn gnmi_address(&self) -> Option<SocketAddr> {
        self.gnmi.as_ref().and_then(|(listener, _)| listener.local_addr().ok())
    }

    fn netconf_address(&self) -> Option<SocketAddr> {
        self.netconf.as_ref().and_then(|(listener, _)| listener.local_addr().ok())
    }

    /// Spawns the servers on the current thread's runtime.
    fn spawn(self, hub: &Arc<Hub>) {
        if let Some((listener, tls)) = self.gnmi {
            let serve = gnmi::serve(hub.clone(), listener, tls, self.users.clone(), self.subscriptions);
            tokio::spawn(async move {
                if let Err(error) = serve.await {
                    tracing::error!("gNMI server stopped: {error}");
                }
            });
        }
        if let Some((listener, key)) = self.netconf {
            let serve = netconf::serve(hub.clone(), listener, key, self.users, self.subscriptions);
            tokio::spawn(async move {
                if let Err(error) = serve.await {
                    tracing::error!("NETCONF server stopped: {error}");
                }
            });
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    listener.map_err(|error| StartError::Listen(address, error))
}
