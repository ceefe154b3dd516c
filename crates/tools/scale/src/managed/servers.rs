//! The management servers of many fronts in one process, each with its own store, log, thread and listener, as in a
//! real front. A stub that accepts every configuration stands in for the request router of a front.

use crate::error::MeasureError;
use lemonusher_managed::{GnmiConfig, Hub, ManagementConfig, Names, Started, Users, start};
use lemonusher_routing::ManagementCall;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;
use tempfile::TempDir;
use tokio::runtime::Handle;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const HISTORY: usize = 10;
const SESSIONS: usize = 16;
const FRESHNESS: Duration = Duration::from_millis(100);
/// The start file of a front on the platform.
const START_CONFIG: &str = include_str!("../../../../../docs/front-example.json");
const PROGRAM: &str = "lemonusher";
const GNMI_LOG_PREFIX: &str = "gNMI at ";
const MAX_START_TIME: Duration = Duration::from_secs(30);

/// One front's management server.
pub struct ManagementServer {
    /// The address of its gNMI server.
    pub gnmi: SocketAddr,
    /// Its configuration store.
    pub hub: Arc<Hub>,
}

/// Management servers; they run until the process ends.
pub struct ManagementServers {
    servers: Vec<ManagementServer>,
    folder: TempDir,
    runtime: Handle,
}

/// The names of a deployment, as in a front's start file.
pub fn names() -> Names {
    Names {
        zones: vec!["east".into(), "west".into()],
        machine_kinds: vec!["std".into()],
        request_classes: vec!["look-up".into()],
    }
}

impl ManagementServers {
    /// Creates an empty set of servers, whose logs will be in a temporary folder.
    pub fn new(runtime: Handle) -> Result<ManagementServers, MeasureError> {
        let folder = TempDir::new().map_err(io("a folder for the fronts' logs"))?;
        Ok(ManagementServers { servers: Vec::new(), folder, runtime })
    }

    /// Starts servers until there are `count`, and returns the first `count` of them.
    pub fn open(&mut self, count: usize) -> Result<&[ManagementServer], MeasureError> {
        while self.servers.len() < count {
            let front = self.servers.len();
            let server = start_server(front, self.folder.path().join(format!("{front}")), &self.runtime)?;
            self.servers.push(server);
        }
        Ok(&self.servers[..count])
    }
}

fn start_server(front: usize, folder: PathBuf, runtime: &Handle) -> Result<ManagementServer, MeasureError> {
    let config = ManagementConfig {
        folder: Some(folder),
        history: HISTORY,
        sessions: SESSIONS,
        subscriptions: 1,
        freshness: FRESHNESS,
        from_startup: false,
        gnmi: Some(GnmiConfig { listen: SocketAddr::from(LOOPBACK), tls: None }),
        netconf: None,
        users: Users::default(),
    };
    let started = start(config, names(), format!("front-{front:04}"), Arc::new(|_| {}), Vec::new())
        .map_err(|cause| MeasureError::Failed(cause.to_string()))?;
    let Started { requests, hub, gnmi, .. } = started;
    runtime.spawn(accept_all(requests));
    let gnmi =
        gnmi.ok_or_else(|| MeasureError::Failed("the gNMI server reported no listening address".into()))?;
    Ok(ManagementServer { gnmi, hub })
}

/// Stands in for a request router: accepts every configuration.
async fn accept_all(requests: async_channel::Receiver<ManagementCall>) {
    while let Ok(request) = requests.recv().await {
        match request {
            ManagementCall::Prepare { reply, .. } | ManagementCall::Activate { reply, .. } => {
                drop(reply.try_send(Ok(())))
            }
            ManagementCall::Discard { .. } | ManagementCall::Read { .. } => {}
        }
    }
}

/// A real front with its management server, as a separate process; killed when dropped.
pub struct RealFront {
    child: Child,
    /// The address of its gNMI server.
    pub gnmi: SocketAddr,
    _folder: TempDir,
}

impl RealFront {
    /// Starts the front's program from the folder of this program; none if it has not been built.
    pub fn start() -> Result<Option<RealFront>, MeasureError> {
        let Some(program) = program()? else { return Ok(None) };
        let folder = TempDir::new().map_err(io("a folder for the front"))?;
        let file = write_files(folder.path()).map_err(io("the front's files"))?;
        let mut child = Command::new(&program)
            .arg("run")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(io(&program.display().to_string()))?;
        let address = child.stderr.take().and_then(|log| read_address(BufReader::new(log)));
        match address {
            Some(gnmi) => Ok(Some(RealFront { child, gnmi, _folder: folder })),
            None => {
                kill_and_wait(&mut child);
                Err(MeasureError::Failed("the front did not log its gNMI address in time".into()))
            }
        }
    }
}

impl Drop for RealFront {
    fn drop(&mut self) {
        kill_and_wait(&mut self.child);
    }
}

fn kill_and_wait(child: &mut Child) {
    let _ = child.kill(); // The process may have exited already.
    let _ = child.wait();
}

/// The address of the gNMI server, as logged. Another thread keeps reading the log, so that the front never blocks.
fn read_address(log: impl BufRead + Send + 'static) -> Option<SocketAddr> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let address = line.split_once(GNMI_LOG_PREFIX).and_then(|(_, rest)| rest.trim().parse().ok());
            if let Some(address) = address {
                let _ = sender.send(address); // The receiver may have timed out.
            }
        }
    });
    receiver.recv_timeout(MAX_START_TIME).ok()
}

/// Writes the start file and the operator's configuration file that refers to it; returns the path of the latter.
fn write_files(folder: &Path) -> std::io::Result<PathBuf> {
    let mut start_config: serde_json::Value = serde_json::from_str(START_CONFIG)?;
    start_config["listen"] = "127.0.0.1:0".into();
    let (start_path, operator_path) = (folder.join("told.json"), folder.join("front.toml"));
    std::fs::write(&start_path, start_config.to_string())?;
    let text = format!(
        "[front]\ntold = {:?}\n[managed]\nhistory = {HISTORY}\nfolder = {:?}\n[managed.gnmi]\nlisten = \"127.0.0.1:0\"\n",
        start_path.display().to_string(),
        folder.join("state").display().to_string(),
    );
    std::fs::write(&operator_path, text)?;
    Ok(operator_path)
}

/// The path of the front's program, in the folder of this program or, since test programs are one folder deeper, in
/// its parent.
fn program() -> Result<Option<PathBuf>, MeasureError> {
    let own = std::env::current_exe().map_err(io("the path of this program"))?;
    Ok(own.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM)).find(|path| path.exists()))
}

fn io(what: &str) -> impl Fn(std::io::Error) -> MeasureError {
    let what = what.to_string();
    move |cause| MeasureError::Io { what: what.clone(), cause }
}
