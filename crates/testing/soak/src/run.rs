//! Runs a scenario. The first front process serves clients until it exits or is killed. The second one serves
//! clients for a short time and is then left idle, to check that it releases what it holds.

use crate::clients::{ClientContext, open_idle, start_late, start_steady};
use crate::discovery::Discovery;
use crate::engine;
use crate::process::FrontProcess;
use crate::recorder::Recorder;
use crate::records::Recording;
use crate::relay::{self, RelayFault};
use crate::scenario::{DiscoveryEvent, Scenario, Signal, SignalAt};
use lemonusher_fakes::start_config;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two checks of the driver for steps that are due.
const STEP: Duration = Duration::from_millis(1);
/// Time between two new clients after SIGTERM.
const LATE_CLIENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time since the front was ready at which the crowd of idle clients connects.
const CROWD_FROM: Duration = Duration::from_millis(500);
/// Time since the front was ready at which the crowd disconnects.
const CROWD_UNTIL: Duration = Duration::from_millis(1300);
/// Time for which the second process has clients.
const SECOND_LOAD_TIME: Duration = Duration::from_millis(700);
/// Time from the end of its clients until the second process's descriptors and memory are measured.
const IDLE_TIME: Duration = Duration::from_millis(600);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Path of the front program.
    pub program: PathBuf,
    /// Fault injected between clients and the front, to test the judge.
    pub fault: Option<RelayFault>,
    /// Whether the front logs at debug level, with several lines for each request, and its log is printed on standard
    /// error.
    pub log: bool,
}

struct Run<'a> {
    scenario: &'a Scenario,
    options: &'a RunOptions,
    recorder: Arc<Recorder>,
    discovery: Discovery,
    next_call: Arc<AtomicU64>,
    rng: fastrand::Rng,
}

/// Progress of the run of the first process: steps still to do, connected crowd, and started clients.
struct Progress {
    config: Value,
    signals: Vec<SignalAt>,
    events: Vec<DiscoveryEvent>,
    crowd: Vec<TcpStream>,
    clients: Vec<JoinHandle<()>>,
    next_late_client: Duration,
}

/// Runs a scenario, and returns what was recorded.
pub fn run(scenario: &Scenario, options: &RunOptions) -> Recording {
    let recorder = Recorder::start();
    let engines: Vec<SocketAddr> = (1..)
        .zip(&scenario.engines)
        .map(|(engine, health)| engine::start(&recorder, engine, *health, scenario.seed))
        .collect();
    {
        let mut recording = recorder.lock();
        recording.drain_grace = scenario.drain_grace;
        recording.engines = engines.len();
    }
    let discovery = Discovery::start(recorder.clone(), &engines);
    let mut run = Run {
        scenario,
        options,
        recorder: recorder.clone(),
        discovery,
        next_call: Arc::new(AtomicU64::new(scenario.seed << 32)),
        rng: fastrand::Rng::with_seed(scenario.seed ^ 0x5eed),
    };
    run.first_process();
    run.second_process();
    recorder.finish()
}

impl Run<'_> {
    fn config(&self, channel: SocketAddr) -> Value {
        let scenario = self.scenario;
        let mut config = start_config(&[], channel);
        config["known"] = self.discovery.known();
        config["limits"]["sockets"] = json!(scenario.descriptors);
        let settings = &mut config["settings"];
        settings["tick_us"] = json!(scenario.tick.as_micros() as u64);
        settings["ceilings"]["cancel"] = json!(scenario.cancels);
        settings["ceilings"]["probes"] = json!(scenario.probes);
        settings["obligations"]["drain_grace_us"] = json!(scenario.drain_grace.as_micros() as u64);
        if !scenario.probes {
            settings["report"] = json!({"fields": [], "via": "none"});
        }
        let deadline_us = scenario.deadline.as_micros() as u64;
        for class in settings["classes"].as_array_mut().into_iter().flatten() {
            class["hard_limit_us"] = json!(deadline_us);
            class["aim_us"] = json!(class["aim_us"].as_u64().unwrap_or(deadline_us).min(deadline_us / 2));
        }
        config
    }

    fn start_clients(
        &mut self,
        process: usize,
        front: SocketAddr,
    ) -> (Arc<ClientContext>, Vec<JoinHandle<()>>) {
        let address = self.options.fault.map_or(front, |fault| relay::start(front, fault));
        let context = Arc::new(ClientContext {
            recorder: self.recorder.clone(),
            process,
            address,
            deadline: self.scenario.deadline,
            request_interval: self.scenario.request_interval,
            terminated: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            crowd: AtomicBool::new(false),
            next_call: self.next_call.clone(),
        });
        let clients =
            (0..self.scenario.connections).map(|_| start_steady(&context, self.rng.fork())).collect();
        (context, clients)
    }

    /// Runs the first process with signals, changes of discovery and the crowd, until it exits or is killed.
    fn first_process(&mut self) {
        let channel = self.discovery.open_address();
        let config = self.config(channel);
        let mut process = FrontProcess::start(&self.recorder, self.options, &config);
        let ready_at = self.recorder.now();
        process.set_terminated(ready_at + self.scenario.terminate_after(), self.scenario.deadline);
        // Requests refer to their process by index, so its record is added before any client starts.
        self.recorder.lock().processes.push(process.record.clone());
        let (context, clients) = self.start_clients(0, process.front.address);
        let mut progress = Progress {
            config,
            signals: self.scenario.signals.clone(),
            events: self.scenario.discovery.clone(),
            crowd: Vec::new(),
            clients,
            next_late_client: Duration::MAX,
        };
        while !progress.signals.is_empty() || self.recorder.now() < self.last_late_client(&process) {
            thread::sleep(STEP);
            let since_ready = self.recorder.now().saturating_sub(ready_at);
            self.step_crowd(&context, since_ready, &mut progress.crowd);
            self.step_discovery(since_ready, &mut progress.events);
            self.step_signals(since_ready, &context, &mut process, &mut progress);
            self.step_late_clients(&context, &process, &mut progress);
        }
        let record = process.finish(&self.recorder, self.options);
        context.ended.store(true, Ordering::SeqCst);
        progress.clients.into_iter().for_each(|client| drop(client.join()));
        self.recorder.lock().processes[0] = record;
    }

    fn last_late_client(&self, process: &FrontProcess) -> Duration {
        process.record.terminated_at + self.scenario.new_connections_for
    }

    fn step_discovery(&self, since_ready: Duration, events: &mut Vec<DiscoveryEvent>) {
        while let Some(event) = events.first().filter(|event| event.after <= since_ready) {
            self.discovery.apply(event.change);
            events.remove(0);
        }
    }

    fn step_signals(
        &self,
        since_ready: Duration,
        context: &ClientContext,
        process: &mut FrontProcess,
        progress: &mut Progress,
    ) {
        while let Some(signal) = progress.signals.first().copied().filter(|one| one.after <= since_ready) {
            progress.signals.remove(0);
            match signal.signal {
                Signal::Reload => {
                    progress.config["channel"] = json!(self.discovery.open_address().to_string());
                    process.front.reload(&progress.config.to_string());
                }
                Signal::Stop => process.front.signal("STOP"),
                Signal::Continue => process.front.signal("CONT"),
                Signal::Terminate => {
                    process.front.signal("TERM");
                    if !context.terminated.swap(true, Ordering::SeqCst) {
                        let now = self.recorder.now();
                        process.set_terminated(now, self.scenario.deadline);
                        progress.next_late_client = now;
                    }
                }
            }
        }
    }

    /// Starts the clients that connect after SIGTERM.
    fn step_late_clients(
        &mut self,
        context: &Arc<ClientContext>,
        process: &FrontProcess,
        progress: &mut Progress,
    ) {
        let now = self.recorder.now();
        if now >= progress.next_late_client && now < self.last_late_client(process) {
            progress.next_late_client = now + LATE_CLIENT_INTERVAL;
            progress.clients.push(start_late(context, self.rng.fork()));
        }
    }

    fn step_crowd(&self, context: &ClientContext, since_ready: Duration, crowd: &mut Vec<TcpStream>) {
        if self.scenario.crowd == 0 {
            return;
        }
        let is_due = since_ready >= CROWD_FROM && since_ready < CROWD_UNTIL;
        if is_due && crowd.is_empty() {
            context.crowd.store(true, Ordering::SeqCst);
            *crowd = open_idle(context.address, self.scenario.crowd);
        }
        if since_ready >= CROWD_UNTIL && !crowd.is_empty() {
            crowd.clear();
            // Gives the front time to notice that the idle clients disconnected.
            thread::sleep(Duration::from_millis(50));
            context.crowd.store(false, Ordering::SeqCst);
        }
    }

    /// Runs the second process with clients for `SECOND_LOAD_TIME`, then measures its descriptors and memory after
    /// `IDLE_TIME`.
    fn second_process(&mut self) {
        let channel = self.discovery.open_address();
        let config = self.config(channel);
        let mut process = FrontProcess::start(&self.recorder, self.options, &config);
        process.record.terminated_at = self.recorder.now() + SECOND_LOAD_TIME + IDLE_TIME;
        self.recorder.lock().processes.push(process.record.clone());
        let (context, clients) = self.start_clients(1, process.front.address);
        thread::sleep(SECOND_LOAD_TIME);
        context.ended.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(IDLE_TIME);
        process.measure_at_rest();
        process.front.signal("TERM");
        process.set_terminated(self.recorder.now(), self.scenario.deadline);
        let record = process.finish(&self.recorder, self.options);
        self.recorder.lock().processes[1] = record;
    }
}
