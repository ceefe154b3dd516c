//! Several real `lemonusher` processes, a relay on each link between them whose faults one script sets, and a yard that
//! notes on the machine's one clock who acts on it. Everything random comes from one seed.

mod desk;
mod halls;
mod relay;
mod yard;

pub use desk::{Desk, Tally};
pub use halls::{Came, GroupTerms, Halls, HallsTerms};
pub use relay::{Faults, Relays};
pub use yard::{Noted, Yard};

use lemonusher_fakes::{DiscoveryServer, Front, start_config, temp_file, temp_path};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// How a fleet of the rig is made.
#[derive(Clone)]
pub struct Plan {
    pub program: &'static str,
    pub fronts: usize,
    /// The first so many fronts vote.
    pub voters: usize,
    pub lease: Duration,
    pub drift: u32,
    pub act: Duration,
    pub takes: Duration,
    pub every: Duration,
    /// Whether the yard refuses older numbers, and is said to.
    pub refuses: bool,
    /// How fast each front's clock runs.
    pub clocks: Vec<f64>,
    /// Whether each front has a folder that lasts.
    pub folders: bool,
    pub seats: u32,
    pub seed: u64,
    /// What each front is told, by its number and the address of its command channel; else a front without engines.
    pub told: Option<Told>,
    /// Further tables of the operator's file.
    pub more: String,
}

pub type Told = Arc<dyn Fn(usize, SocketAddr) -> Value + Send + Sync>;

pub struct Rig {
    pub plan: Plan,
    pub relays: Relays,
    pub yard: Yard,
    pub fronts: Vec<Option<Front>>,
    pub stopped: Vec<bool>,
    folder: PathBuf,
    commands: DiscoveryServer,
}

impl Rig {
    pub fn start(plan: Plan) -> Rig {
        let folder = temp_path("rig");
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), format!("the rig's key of seed {}", plan.seed)).unwrap();
        let mut rig = Rig {
            relays: Relays::start(plan.fronts, plan.voters, plan.seed),
            yard: Yard::start(plan.refuses),
            fronts: (0..plan.fronts).map(|_| None).collect(),
            stopped: vec![false; plan.fronts],
            commands: DiscoveryServer::start(),
            folder,
            plan,
        };
        (0..rig.plan.fronts).for_each(|front| rig.begin(front));
        rig
    }

    /// The operator's file of a front.
    pub fn file(&self, front: usize) -> PathBuf {
        self.folder.join(format!("n{front}.toml"))
    }

    /// Starts a front that is not there.
    pub fn begin(&mut self, front: usize) {
        let mut tells = match &self.plan.told {
            Some(told) => told(front, self.commands.address),
            None => start_config(&[], self.commands.address),
        };
        tells["name"] = format!("n{front}").into();
        let told_file = temp_file("json", &tells.to_string());
        let plan = &self.plan;
        let voters: Vec<String> =
            (0..plan.voters).map(|voter| format!("'{}'", self.relays.way(front, voter))).collect();
        let ms = |span: Duration| span.as_millis();
        let lasting = if plan.folders { format!("folder = 'state-{front}'\n") } else { String::new() };
        let text = format!(
            "[front]\ntold = '{}'\n[fleet]\nlisten = '127.0.0.1:0'\nkey_file = 'key'\nvoters = [{}]\nvotes = {}\n\
             place = {}\nlease_ms = {}\ndrift_thousandths = {}\nact_ms = {}\nseats = {}\nnumber = {front}\n{lasting}\
             [[fleet.tasks]]\nname = 'yard'\ntell = '{}'\nevery_ms = {}\ntakes_ms = {}\nrefuses_older = {}\n{}",
            told_file.display(),
            voters.join(", "),
            front < plan.voters,
            front.min(plan.voters - 1),
            ms(plan.lease),
            plan.drift,
            ms(plan.act),
            plan.seats,
            self.yard.address,
            ms(plan.every),
            ms(plan.takes),
            plan.refuses,
            plan.more,
        );
        let path = self.file(front);
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(plan.program);
        command.arg("run").arg(&path).env("LEMONUSHER_TEST_CLOCK", plan.clocks[front].to_string());
        let started = Front::spawn(command, told_file);
        if front < plan.voters {
            self.relays.leads_to(front, started.startup_log_value("fleet at ").unwrap().parse().unwrap());
        }
        self.fronts[front] = Some(started);
        self.stopped[front] = false;
    }

    pub fn kill(&mut self, front: usize) {
        self.fronts[front] = None;
        self.stopped[front] = false;
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn stop(&mut self, front: usize, stop: bool) {
        if let Some(process) = &self.fronts[front]
            && self.stopped[front] != stop
        {
            process.signal(if stop { "STOP" } else { "CONT" });
            self.stopped[front] = stop;
        }
    }

    /// All links and fronts as they should be.
    pub fn mend(&mut self) {
        self.relays.mend();
        for front in 0..self.plan.fronts {
            self.stop(front, false);
            if self.fronts[front].is_none() {
                self.begin(front);
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
