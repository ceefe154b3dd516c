//! Maintenance: seven fronts run as processes, with fake engines in three zones and a fake task service that works
//! on a machine after its release. In the first two tests, fronts fail or are partitioned, and the engines' own
//! counts decide: an engine must receive no request between its release and its return. These two tests print
//! their results as lines `proof: NAME figure`. The third tests a request that is split over several registers.

use lemonusher_cluster::{FakeClass, FakeZones, FakeZonesConfig, Faults, LoadClient, Rig, RigConfig};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lemonusher");
const FRONTS: usize = 7;
const ZONES: usize = 3;
const ENGINES_PER_ZONE: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn zone_of(front: usize) -> usize {
    front % ZONES
}

struct TestFleet {
    rig: Rig,
    fake_zones: Arc<FakeZones>,
    load_clients: Vec<LoadClient>,
    task_service: UdpSocket,
    /// By machine: the times of each release and, once reported, of the return.
    outages_by_machine: BTreeMap<u32, Vec<(Instant, Option<Instant>)>>,
    highest_tokens: BTreeMap<u32, u64>,
    requested: Instant,
}

impl TestFleet {
    fn start(seed: u64) -> TestFleet {
        let class = |name, weight, work, runs_once| {
            let (objective, max_time) = (ms(1500), ms(4000));
            FakeClass {
                name,
                priority_weight: weight,
                work,
                threads: 1.0,
                latency_objective: objective,
                deadline: max_time,
                non_idempotent: runs_once,
                allowed_zone: None,
            }
        };
        let classes = vec![class("look-up", 1.0, 0.02, false), class("load", 1.0, 0.1, true)];
        let fake_zones = Arc::new(FakeZones::start(FakeZonesConfig {
            zones: ZONES,
            engines_per_zone: ENGINES_PER_ZONE,
            cores: 4.0,
            classes: classes.clone(),
            cold_share: 0.3,
            warm_up: ms(3000),
            overload_multiple: 3.0,
            overload_window: ms(1000),
        }));
        let task_service = UdpSocket::bind("127.0.0.1:0").unwrap();
        task_service.set_read_timeout(Some(ms(20))).unwrap();
        let (zones_for_start, names) =
            (fake_zones.clone(), (0..FRONTS).map(|n| format!("'n{n}'")).collect::<Vec<_>>().join(", "));
        let rig_config = RigConfig {
            program: PROGRAM,
            fronts: FRONTS,
            voters: 3,
            lease: ms(1200),
            clock_drift_permille: 50,
            act_time: ms(200),
            task_duration: ms(20),
            task_interval: ms(500),
            rejects_stale: true,
            clock_rates: vec![1.0; FRONTS],
            persistent: false,
            quota_slots: 0,
            seed,
            front_start: Some(Arc::new(move |front, channel| {
                zones_for_start.front_start(front, zone_of(front), FRONTS, channel)
            })),
            extra_toml: format!(
                "[fleet.sites]\nperiod_ms = 250\nconfirm_ms = 2500\nsteady_ms = 1000\npace_ms = 1000\nwait_ms = 1500\n\
                 stale_ms = 60000\nsafe_part = 0.6\n[fleet.works]\nfronts = [{names}]\ntell = '{}'\nsteady_ms = 500\n",
                task_service.local_addr().unwrap()
            ),
        };
        let rig = Rig::start(rig_config);
        let load_clients = (0..FRONTS)
            .map(|load_client| LoadClient::start(load_client as u32, classes.clone(), &[10.0, 6.0]))
            .collect();
        let (outages_by_machine, highest_tokens) = (BTreeMap::new(), BTreeMap::new());
        let fleet = TestFleet {
            rig,
            fake_zones,
            load_clients,
            task_service,
            outages_by_machine,
            highest_tokens,
            requested: Instant::now(),
        };
        fleet.connect_clients();
        fleet
    }

    fn connect_clients(&self) {
        for (number, load_client) in self.load_clients.iter().enumerate() {
            let fronts = (0..FRONTS).map(|n| (number + n) % FRONTS);
            load_client.set_fronts(
                fronts.map(|front| self.rig.fronts[front].as_ref().map(|one| one.address)).collect(),
            );
        }
    }

    /// Runs a maintenance command over the links of a front, which is paused meanwhile. Returns the exit code
    /// and the output on stdout and stderr.
    fn run_command(&mut self, arguments: &[&str]) -> (i32, String) {
        let front = FRONTS - 1;
        let stopped = self.rig.paused[front];
        self.rig.pause_front(front, true);
        let file = self.rig.config_file(front);
        let mut all = vec!["works", file.to_str().unwrap()];
        all.extend(arguments);
        let output = Command::new(PROGRAM).args(all).output().unwrap();
        self.rig.pause_front(front, stopped);
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    }

    /// Receives released machines for this duration, works on each for `work_time`, and then reports its return.
    /// Returns whether no request has pending machines or machines that are out.
    fn run_maintenance(&mut self, duration: Duration, work_time: Duration) -> bool {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let mut bytes = [0; 512];
            if let Ok((length, _)) = self.task_service.recv_from(&mut bytes) {
                let message: Value = serde_json::from_slice(&bytes[..length]).unwrap();
                let machine = u32::from_str_radix(message["machine"].as_str().unwrap(), 16).unwrap();
                let number = message["number"].as_u64().unwrap();
                let highest = self.highest_tokens.entry(machine).or_default();
                assert!(number >= *highest, "{machine:08x} was released under an older number");
                *highest = number;
                let outages = self.outages_by_machine.entry(machine).or_default();
                if outages.last().is_none_or(|(_, back)| back.is_some_and(|back| back.elapsed() > ms(3000))) {
                    outages.push((Instant::now(), None));
                }
            }
            let done: Vec<u32> = (self.outages_by_machine.iter())
                .filter(|(_, outages)| {
                    outages.last().is_some_and(|(at, back)| back.is_none() && at.elapsed() > work_time)
                })
                .map(|(machine, _)| *machine)
                .collect();
            for machine in done {
                // The time is taken before the return is reported, so requests received up to then count as sent to a
                // released machine.
                let at = Instant::now();
                let (code, text) = self.run_command(&["back", &format!("{machine:08x}")]);
                if code == 0 {
                    self.outages_by_machine.get_mut(&machine).unwrap().last_mut().unwrap().1 = Some(at);
                } else {
                    assert!(text.contains("too few voters") || text.contains("not released"), "{text}");
                }
            }
        }
        let (code, text) = self.run_command(&["list"]);
        code == 0
            && text
                .lines()
                .filter(|line| line.starts_with("request"))
                .all(|line| line.contains("0 asked, 0 out"))
    }

    /// Number of requests that an engine received while it was released.
    fn requests_while_released(&self) -> usize {
        let mut all = 0;
        for zone in 0..ZONES {
            for (at, received) in self.fake_zones.received(zone).into_iter().enumerate() {
                let machine = (zone * ENGINES_PER_ZONE + at + 1) as u32;
                for (from, to) in self.outages_by_machine.get(&machine).into_iter().flatten() {
                    let to = to.unwrap_or_else(Instant::now);
                    all += received.iter().filter(|received| received.at > *from && received.at < to).count();
                }
            }
        }
        all
    }

    fn max_released_at_once(&self) -> usize {
        let outages: Vec<_> = self
            .outages_by_machine
            .values()
            .flatten()
            .map(|(from, to)| (*from, to.unwrap_or_else(Instant::now)))
            .collect();
        outages
            .iter()
            .map(|(at, _)| outages.iter().filter(|(from, to)| from <= at && at < to).count())
            .max()
            .unwrap_or(0)
    }

    fn duplicate_runs(&self) -> usize {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for zone in 0..ZONES {
            for received in
                self.fake_zones.received(zone).into_iter().flatten().filter(|received| received.class == 1)
            {
                *runs.entry(received.id).or_default() += 1;
            }
        }
        runs.values().filter(|times| **times > 1).count()
    }
}

#[test]
fn a_night_of_maintenance_with_its_coordinator_killed_fronts_restarted_and_links_partitioned() {
    let mut fleet = TestFleet::start(1);
    fleet.run_maintenance(ms(5000), ms(500));
    let (code, text) = fleet.run_command(&["ask", "1", "2", "5", "6", "9", "--who", "ann", "--at-once", "3"]);
    assert!(code == 0 && text.contains("request 0"), "{code} {text}");
    let (code, text) = fleet.run_command(&["ask", "6", "a", "--who", "bob", "--urgency", "5"]);
    assert!(code == 0 && text.contains("request 1"), "{code} {text}");
    fleet.requested = Instant::now();
    let mut rng = fastrand::Rng::with_seed(9);
    let partition = Faults { blocked: true, ..Faults::default() };
    let mut over = false;
    for round in 0..40 {
        over = fleet.run_maintenance(ms(1200), ms(600));
        if over {
            break;
        }
        match round {
            1 => {
                // Kills the coordinator, if it is this voter; its successor reads all registers first.
                let voter = rng.usize(..3);
                fleet.rig.kill_front(voter);
                fleet.rig.start_front(voter);
            }
            3 => {
                let front = 3 + rng.usize(..3);
                fleet.rig.kill_front(front);
                fleet.rig.start_front(front);
            }
            5 => fleet.rig.relays.set_faults(|front, _| front == 4, partition, partition),
            7 => fleet.rig.relays.clear_faults(),
            8 => {
                fleet.rig.pause_front(1, true);
            }
            10 => fleet.rig.pause_front(1, false),
            _ => {}
        }
        fleet.connect_clients();
    }
    fleet.rig.repair();
    for _ in 0..20 {
        over = over || fleet.run_maintenance(ms(1500), ms(600));
    }
    let (_, text) = fleet.run_command(&["list"]);
    assert!(over, "not all is over: {text}");
    let machines: BTreeSet<u32> = fleet.outages_by_machine.keys().copied().collect();
    println!(
        "proof: works_machines_released {} in {} releases",
        machines.len(),
        fleet.outages_by_machine.values().map(Vec::len).sum::<usize>()
    );
    println!("proof: works_most_out_at_once {}", fleet.max_released_at_once());
    println!("proof: works_batches_that_came_to_released_machines {}", fleet.requests_while_released());
    assert_eq!(machines, BTreeSet::from([1, 2, 5, 6, 9, 10]));
    assert_eq!(fleet.requests_while_released(), 0);
    assert_eq!(fleet.duplicate_runs(), 0, "once-only work was sent twice");
    assert!(fleet.max_released_at_once() <= 4);
}

#[test]
fn a_front_partitioned_before_the_drain_that_still_sends_blocks_the_release() {
    let mut fleet = TestFleet::start(2);
    fleet.run_maintenance(ms(5000), ms(500));
    let partition = Faults { blocked: true, ..Faults::default() };
    fleet.rig.relays.set_faults(|front, _| front == 4, partition, partition);
    let (code, text) = fleet.run_command(&["ask", "3", "--who", "ann"]);
    assert_eq!(code, 0, "{text}");
    fleet.run_maintenance(ms(4000), ms(500));
    assert!(fleet.outages_by_machine.is_empty(), "released though a front still sends");
    let (_, text) = fleet.run_command(&["list"]);
    assert!(text.contains("n4"), "{text}");
    let before = fleet.fake_zones.received(0)[2].len();
    fleet.run_maintenance(ms(1500), ms(500));
    println!(
        "proof: works_batches_by_a_front_that_is_cut_off {}",
        fleet.fake_zones.received(0)[2].len() - before
    );
    // The operator knows that the front is dead, so it may be excluded.
    fleet.rig.kill_front(4);
    let (code, text) = fleet.run_command(&["without", "0", "n4"]);
    assert_eq!(code, 0, "{text}");
    fleet.connect_clients();
    fleet.run_maintenance(ms(4000), ms(1500));
    assert!(fleet.outages_by_machine.contains_key(&3), "not released: {:?}", fleet.run_command(&["list"]));
    let (code, text) = fleet.run_command(&["withdraw", "0"]);
    assert_eq!(code, 0, "{text}");
    assert!((0..12).any(|_| fleet.run_maintenance(ms(1500), ms(600))), "{:?}", fleet.run_command(&["list"]));
    assert_eq!(fleet.requests_while_released(), 0);
    let (code, text) = fleet.run_command(&["back", "3"]);
    assert!(code == 1 && text.contains("nobody expects it"), "told twice: {code} {text}");
}

#[test]
fn a_request_of_many_machines_takes_several_registers_and_is_edited_as_one() {
    let mut fleet = TestFleet::start(3);
    fleet.run_maintenance(ms(5000), ms(500));
    // More machines than two registers hold; all ids but one are unknown to the fronts.
    let ids: Vec<String> = (0..70).map(|id| format!("{:x}", 0x1000 + id)).chain(["1".to_owned()]).collect();
    let mut arguments = vec!["ask", "--who", "ann", "--at-once", "200"];
    arguments.extend(ids.iter().map(String::as_str));
    let (code, text) = fleet.run_command(&arguments);
    assert_eq!((code, text.matches("is asked for").count()), (0, 3), "{text}");
    let (code, text) = fleet.run_command(&["hold", "1"]);
    assert_eq!((code, text.matches("is held").count()), (0, 3), "{text}");
    let (code, text) = fleet.run_command(&["without", "0", "n4"]);
    assert_eq!((code, text.matches("does not wait").count()), (0, 3), "{text}");
    let (code, text) = fleet.run_command(&["without", "0", "nobody"]);
    assert_eq!(code, 1, "{text}");
    let (_, text) = fleet.run_command(&["list"]);
    assert_eq!(text.matches("part of request 0").count(), 2, "{text}");
    let (code, text) = fleet.run_command(&["withdraw", "2"]);
    assert_eq!((code, text.matches("is withdrawn").count()), (0, 3), "{text}");
    let many: Vec<String> = (0..2049).map(|id| format!("{id:x}")).collect();
    let mut arguments = vec!["ask"];
    arguments.extend(many.iter().map(String::as_str));
    let (code, text) = fleet.run_command(&arguments);
    assert!(code == 1 && text.contains("2048 machines at most"), "{code} {text}");
    let (code, text) = fleet.run_command(&arguments[..2049]);
    assert_eq!((code, text.matches("is asked for").count()), (0, 64), "{text}");
    let (code, text) = fleet.run_command(&["ask", "5"]);
    assert!(code == 1 && text.contains("under way"), "{code} {text}");
}
