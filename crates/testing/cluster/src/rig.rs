//! Starts, pauses and kills the processes of a test cluster.

use crate::{FakeTaskService, Relays, RigConfig};
use lemonusher_fakes::{DiscoveryServer, Front, start_config, temp_file, temp_path};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

/// A running cluster. Its processes are killed when it is dropped.
pub struct Rig {
    /// Its configuration.
    pub config: RigConfig,
    /// Relays on the links between fronts and voters.
    pub relays: Relays,
    /// The service that the fronts' task acts on.
    pub task_service: FakeTaskService,
    /// Front processes by index; `None` if the process is not running.
    pub fronts: Vec<Option<Front>>,
    /// Whether the process is paused, by front index.
    pub paused: Vec<bool>,
    folder: PathBuf,
    discovery: DiscoveryServer,
}

impl Rig {
    /// Starts all processes.
    pub fn start(config: RigConfig) -> Rig {
        let folder = temp_path("rig");
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), format!("the rig's key of seed {}", config.seed)).unwrap();
        let mut rig = Rig {
            relays: Relays::start(config.fronts, config.voters, config.seed),
            task_service: FakeTaskService::start(config.rejects_stale),
            fronts: (0..config.fronts).map(|_| None).collect(),
            paused: vec![false; config.fronts],
            discovery: DiscoveryServer::start(),
            folder,
            config,
        };
        (0..rig.config.fronts).for_each(|front| rig.start_front(front));
        rig
    }

    /// Path of a front's operator file.
    pub fn config_file(&self, front: usize) -> PathBuf {
        self.folder.join(format!("n{front}.toml"))
    }

    /// Starts a front that is not running, and points the relays at it if it is a voter.
    pub fn start_front(&mut self, front: usize) {
        let start_file = self.write_start_file(front);
        let config_file = self.config_file(front);
        std::fs::write(&config_file, self.operator_toml(front, &start_file)).unwrap();
        let mut command = Command::new(self.config.program);
        let clock_rate = self.config.clock_rates[front].to_string();
        command.arg("run").arg(&config_file).env("LEMONUSHER_TEST_CLOCK", clock_rate);
        let process = Front::spawn(command, start_file);
        if front < self.config.voters {
            let address: SocketAddr = process.startup_log_value("fleet at ").unwrap().parse().unwrap();
            self.relays.set_voter_address(front, address);
        }
        self.fronts[front] = Some(process);
        self.paused[front] = false;
    }

    /// Kills a front's process.
    pub fn kill_front(&mut self, front: usize) {
        self.fronts[front] = None;
        self.paused[front] = false;
    }

    /// Pauses a front's process with SIGSTOP, or resumes it with SIGCONT.
    pub fn pause_front(&mut self, front: usize, paused: bool) {
        if let Some(process) = &self.fronts[front]
            && self.paused[front] != paused
        {
            process.signal(if paused { "STOP" } else { "CONT" });
            self.paused[front] = paused;
        }
    }

    /// Clears all faults, and resumes or starts all fronts.
    pub fn repair(&mut self) {
        self.relays.clear_faults();
        for front in 0..self.config.fronts {
            self.pause_front(front, false);
            if self.fronts[front].is_none() {
                self.start_front(front);
            }
        }
    }

    /// Writes the front's start configuration, and returns its path.
    fn write_start_file(&self, front: usize) -> PathBuf {
        let mut start = match &self.config.front_start {
            Some(front_start) => front_start(front, self.discovery.address),
            None => start_config(&[], self.discovery.address),
        };
        start["name"] = format!("n{front}").into();
        temp_file("json", &start.to_string())
    }

    /// Text of the operator's file. It lists the relays' addresses in place of the voters' own.
    fn operator_toml(&self, front: usize, start_file: &std::path::Path) -> String {
        let config = &self.config;
        let voters: Vec<String> =
            (0..config.voters).map(|voter| format!("'{}'", self.relays.address(front, voter))).collect();
        let folder = if config.persistent { format!("folder = 'state-{front}'\n") } else { String::new() };
        format!(
            "[front]\ntold = '{}'\n[fleet]\nlisten = '127.0.0.1:0'\nkey_file = 'key'\nvoters = [{}]\nvotes = {}\n\
             place = {}\nlease_ms = {}\ndrift_thousandths = {}\nact_ms = {}\nseats = {}\nnumber = {front}\n{folder}\
             [[fleet.tasks]]\nname = 'yard'\ntell = '{}'\nevery_ms = {}\ntakes_ms = {}\nrefuses_older = {}\n{}",
            start_file.display(),
            voters.join(", "),
            front < config.voters,
            front.min(config.voters - 1),
            config.lease.as_millis(),
            config.clock_drift_permille,
            config.act_time.as_millis(),
            config.quota_slots,
            self.task_service.address,
            config.task_interval.as_millis(),
            config.task_duration.as_millis(),
            config.rejects_stale,
            config.extra_toml,
        )
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
