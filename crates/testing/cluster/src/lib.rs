//! Several real `lemonusher` processes, a relay on each link between them whose faults one script sets, and a yard that
//! notes on the machine's one clock who acts on it. Everything random comes from one seed.

mod fake_zones;
mod load_client;
mod relays;
mod task_service;

pub use fake_zones::{FakeClass, FakeZones, FakeZonesConfig, ReceivedRequest};
pub use load_client::{LoadClient, RequestCounts};
pub use relays::{Faults, Relays};
pub use task_service::{FakeTaskService, TaskStep};

use lemonusher_fakes::{DiscoveryServer, Front, start_config, temp_file, temp_path};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// How a fleet of the rig is made.
#[derive(Clone)]
pub struct RigConfig {
    pub program: &'static str,
    pub fronts: usize,
    /// The first so many fronts vote.
    pub voters: usize,
    pub lease: Duration,
    pub clock_drift_permille: u32,
    pub act_time: Duration,
    pub task_duration: Duration,
    pub task_interval: Duration,
    /// Whether the yard refuses older numbers, and is said to.
    pub rejects_stale: bool,
    /// How fast each front's clock runs.
    pub clock_rates: Vec<f64>,
    /// Whether each front has a folder that lasts.
    pub persistent: bool,
    pub quota_slots: u32,
    pub seed: u64,
    /// What each front is told, by its number and the address of its command channel; else a front without engines.
    pub front_start: Option<FrontStart>,
    /// Further tables of the operator's file.
    pub extra_toml: String,
}

pub type FrontStart = Arc<dyn Fn(usize, SocketAddr) -> Value + Send + Sync>;

pub struct Rig {
    pub config: RigConfig,
    pub relays: Relays,
    pub task_service: FakeTaskService,
    pub fronts: Vec<Option<Front>>,
    pub paused: Vec<bool>,
    folder: PathBuf,
    commands: DiscoveryServer,
}

impl Rig {
    pub fn start(plan: RigConfig) -> Rig {
        let folder = temp_path("rig");
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), format!("the rig's key of seed {}", plan.seed)).unwrap();
        let mut rig = Rig {
            relays: Relays::start(plan.fronts, plan.voters, plan.seed),
            task_service: FakeTaskService::start(plan.rejects_stale),
            fronts: (0..plan.fronts).map(|_| None).collect(),
            paused: vec![false; plan.fronts],
            commands: DiscoveryServer::start(),
            folder,
            config: plan,
        };
        (0..rig.config.fronts).for_each(|front| rig.start_front(front));
        rig
    }

    /// The operator's file of a front.
    pub fn config_file(&self, front: usize) -> PathBuf {
        self.folder.join(format!("n{front}.toml"))
    }

    /// Starts a front that is not there.
    pub fn start_front(&mut self, front: usize) {
        let mut tells = match &self.config.front_start {
            Some(told) => told(front, self.commands.address),
            None => start_config(&[], self.commands.address),
        };
        tells["name"] = format!("n{front}").into();
        let told_file = temp_file("json", &tells.to_string());
        let plan = &self.config;
        let voters: Vec<String> =
            (0..plan.voters).map(|voter| format!("'{}'", self.relays.address(front, voter))).collect();
        let ms = |span: Duration| span.as_millis();
        let lasting = if plan.persistent { format!("folder = 'state-{front}'\n") } else { String::new() };
        let text = format!(
            "[front]\ntold = '{}'\n[fleet]\nlisten = '127.0.0.1:0'\nkey_file = 'key'\nvoters = [{}]\nvotes = {}\n\
             place = {}\nlease_ms = {}\ndrift_thousandths = {}\nact_ms = {}\nseats = {}\nnumber = {front}\n{lasting}\
             [[fleet.tasks]]\nname = 'yard'\ntell = '{}'\nevery_ms = {}\ntakes_ms = {}\nrefuses_older = {}\n{}",
            told_file.display(),
            voters.join(", "),
            front < plan.voters,
            front.min(plan.voters - 1),
            ms(plan.lease),
            plan.clock_drift_permille,
            ms(plan.act_time),
            plan.quota_slots,
            self.task_service.address,
            ms(plan.task_interval),
            ms(plan.task_duration),
            plan.rejects_stale,
            plan.extra_toml,
        );
        let path = self.config_file(front);
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(plan.program);
        command.arg("run").arg(&path).env("LEMONUSHER_TEST_CLOCK", plan.clock_rates[front].to_string());
        let started = Front::spawn(command, told_file);
        if front < plan.voters {
            self.relays
                .set_voter_address(front, started.startup_log_value("fleet at ").unwrap().parse().unwrap());
        }
        self.fronts[front] = Some(started);
        self.paused[front] = false;
    }

    pub fn kill_front(&mut self, front: usize) {
        self.fronts[front] = None;
        self.paused[front] = false;
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn pause_front(&mut self, front: usize, stop: bool) {
        if let Some(process) = &self.fronts[front]
            && self.paused[front] != stop
        {
            process.signal(if stop { "STOP" } else { "CONT" });
            self.paused[front] = stop;
        }
    }

    /// All links and fronts as they should be.
    pub fn repair(&mut self) {
        self.relays.clear_faults();
        for front in 0..self.config.fronts {
            self.pause_front(front, false);
            if self.fronts[front].is_none() {
                self.start_front(front);
            }
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
