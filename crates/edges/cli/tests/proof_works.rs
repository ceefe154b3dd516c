//! Maintenance under faults: seven fronts run as processes, with fake engines in three zones and a fake task
//! service that works on a machine after its release. The engines' own counts decide: an engine must receive no
//! request between its release and its return. Each test prints its results as lines `proof: NAME figure`.

use lemonusher_cluster::{FakeClass, FakeZones, FakeZonesConfig, Faults, LoadClient, Rig, RigConfig};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lemonusher");
const FRONTS: usize = 7;
const SITES: usize = 3;
const EACH: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stands(front: usize) -> usize {
    front % SITES
}

struct Night {
    rig: Rig,
    fake_zones: Arc<FakeZones>,
    load_clients: Vec<LoadClient>,
    task_service: UdpSocket,
    /// By machine: the times of each release and, once reported, of the return.
    out: BTreeMap<u32, Vec<(Instant, Option<Instant>)>>,
    numbers: BTreeMap<u32, u64>,
    requested: Instant,
}

impl Night {
    fn start(seed: u64) -> Night {
        let group = |name, utility, work, once_only| {
            let (goal, limit) = (ms(1500), ms(4000));
            FakeClass {
                name,
                priority_weight: utility,
                work,
                threads: 1.0,
                latency_objective: goal,
                deadline: limit,
                non_idempotent: once_only,
                allowed_zone: None,
            }
        };
        let groups = vec![group("look-up", 1.0, 0.02, false), group("load", 1.0, 0.1, true)];
        let fake_zones = Arc::new(FakeZones::start(FakeZonesConfig {
            zones: SITES,
            engines_per_zone: EACH,
            cores: 4.0,
            classes: groups.clone(),
            cold_share: 0.3,
            warm_up: ms(3000),
            overload_multiple: 3.0,
            overload_window: ms(1000),
        }));
        let task_service = UdpSocket::bind("127.0.0.1:0").unwrap();
        task_service.set_read_timeout(Some(ms(20))).unwrap();
        let (told, names) =
            (fake_zones.clone(), (0..FRONTS).map(|n| format!("'n{n}'")).collect::<Vec<_>>().join(", "));
        let plan = RigConfig {
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
                told.front_start(front, stands(front), FRONTS, channel)
            })),
            extra_toml: format!(
                "[fleet.sites]\nperiod_ms = 250\nconfirm_ms = 2500\nsteady_ms = 1000\npace_ms = 1000\nwait_ms = 1500\n\
                 stale_ms = 60000\nsafe_part = 0.6\n[fleet.works]\nfronts = [{names}]\ntell = '{}'\nsteady_ms = 500\n",
                task_service.local_addr().unwrap()
            ),
        };
        let rig = Rig::start(plan);
        let load_clients = (0..FRONTS)
            .map(|load_client| LoadClient::start(load_client as u32, groups.clone(), &[10.0, 6.0]))
            .collect();
        let (out, numbers) = (BTreeMap::new(), BTreeMap::new());
        let night =
            Night { rig, fake_zones, load_clients, task_service, out, numbers, requested: Instant::now() };
        night.reach();
        night
    }

    fn reach(&self) {
        for (number, load_client) in self.load_clients.iter().enumerate() {
            let fronts = (0..FRONTS).map(|n| (number + n) % FRONTS);
            load_client.set_fronts(
                fronts.map(|front| self.rig.fronts[front].as_ref().map(|one| one.address)).collect(),
            );
        }
    }

    /// Runs a maintenance command over the links of a front, which is paused meanwhile. Returns the exit code
    /// and the output on stdout and stderr.
    fn say(&mut self, words: &[&str]) -> (i32, String) {
        let front = FRONTS - 1;
        let stopped = self.rig.paused[front];
        self.rig.pause_front(front, true);
        let file = self.rig.config_file(front);
        let mut all = vec!["works", file.to_str().unwrap()];
        all.extend(words);
        let output = Command::new(PROGRAM).args(all).output().unwrap();
        self.rig.pause_front(front, stopped);
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    }

    /// Receives released machines for this duration, works on each for `takes`, and then reports its return.
    /// Returns whether no request has pending machines or machines that are out.
    fn work(&mut self, span: Duration, takes: Duration) -> bool {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let mut bytes = [0; 512];
            if let Ok((long, _)) = self.task_service.recv_from(&mut bytes) {
                let said: Value = serde_json::from_slice(&bytes[..long]).unwrap();
                let machine = u32::from_str_radix(said["machine"].as_str().unwrap(), 16).unwrap();
                let number = said["number"].as_u64().unwrap();
                let highest = self.numbers.entry(machine).or_default();
                assert!(number >= *highest, "{machine:08x} was released under an older number");
                *highest = number;
                let spans = self.out.entry(machine).or_default();
                if spans.last().is_none_or(|(_, back)| back.is_some_and(|back| back.elapsed() > ms(3000))) {
                    spans.push((Instant::now(), None));
                }
            }
            let done: Vec<u32> = (self.out.iter())
                .filter(|(_, spans)| {
                    spans.last().is_some_and(|(at, back)| back.is_none() && at.elapsed() > takes)
                })
                .map(|(machine, _)| *machine)
                .collect();
            for machine in done {
                // The time is taken before the return is reported, so requests received up to then count as sent to a
                // released machine.
                let at = Instant::now();
                let (code, text) = self.say(&["back", &format!("{machine:08x}")]);
                if code == 0 {
                    self.out.get_mut(&machine).unwrap().last_mut().unwrap().1 = Some(at);
                } else {
                    assert!(text.contains("too few voters") || text.contains("not released"), "{text}");
                }
            }
        }
        let (code, text) = self.say(&["list"]);
        code == 0
            && text
                .lines()
                .filter(|line| line.starts_with("request"))
                .all(|line| line.contains("0 asked, 0 out"))
    }

    /// Number of requests that an engine received while it was released.
    fn disturbed(&self) -> usize {
        let mut all = 0;
        for site in 0..SITES {
            for (at, received) in self.fake_zones.received(site).into_iter().enumerate() {
                let machine = (site * EACH + at + 1) as u32;
                for (from, to) in self.out.get(&machine).into_iter().flatten() {
                    let to = to.unwrap_or_else(Instant::now);
                    all += received.iter().filter(|received| received.at > *from && received.at < to).count();
                }
            }
        }
        all
    }

    fn most_at_once(&self) -> usize {
        let spans: Vec<_> =
            self.out.values().flatten().map(|(from, to)| (*from, to.unwrap_or_else(Instant::now))).collect();
        spans
            .iter()
            .map(|(at, _)| spans.iter().filter(|(from, to)| from <= at && at < to).count())
            .max()
            .unwrap_or(0)
    }

    fn twice_run(&self) -> usize {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for site in 0..SITES {
            for received in
                self.fake_zones.received(site).into_iter().flatten().filter(|received| received.class == 1)
            {
                *runs.entry(received.id).or_default() += 1;
            }
        }
        runs.values().filter(|times| **times > 1).count()
    }
}

#[test]
fn a_night_of_maintenance_with_its_coordinator_killed_fronts_restarted_and_links_partitioned() {
    let mut night = Night::start(1);
    night.work(ms(5000), ms(500));
    let (code, text) = night.say(&["ask", "1", "2", "5", "6", "9", "--who", "ann", "--at-once", "3"]);
    assert!(code == 0 && text.contains("request 0"), "{code} {text}");
    let (code, text) = night.say(&["ask", "6", "a", "--who", "bob", "--urgency", "5"]);
    assert!(code == 0 && text.contains("request 1"), "{code} {text}");
    night.requested = Instant::now();
    let mut chance = fastrand::Rng::with_seed(9);
    let partition = Faults { blocked: true, ..Faults::default() };
    let mut over = false;
    for turn in 0..40 {
        over = night.work(ms(1200), ms(600));
        if over {
            break;
        }
        match turn {
            1 => {
                // Kills the coordinator, if it is this voter; its successor reads all registers first.
                let voter = chance.usize(..3);
                night.rig.kill_front(voter);
                night.rig.start_front(voter);
            }
            3 => {
                let front = 3 + chance.usize(..3);
                night.rig.kill_front(front);
                night.rig.start_front(front);
            }
            5 => night.rig.relays.set_faults(|front, _| front == 4, partition, partition),
            7 => night.rig.relays.clear_faults(),
            8 => {
                night.rig.pause_front(1, true);
            }
            10 => night.rig.pause_front(1, false),
            _ => {}
        }
        night.reach();
    }
    night.rig.repair();
    for _ in 0..20 {
        over = over || night.work(ms(1500), ms(600));
    }
    let (_, text) = night.say(&["list"]);
    assert!(over, "not all is over: {text}");
    let machines: BTreeSet<u32> = night.out.keys().copied().collect();
    println!(
        "proof: works_machines_released {} in {} releases",
        machines.len(),
        night.out.values().map(Vec::len).sum::<usize>()
    );
    println!("proof: works_most_out_at_once {}", night.most_at_once());
    println!("proof: works_batches_that_came_to_released_machines {}", night.disturbed());
    assert_eq!(machines, BTreeSet::from([1, 2, 5, 6, 9, 10]));
    assert_eq!(night.disturbed(), 0);
    assert_eq!(night.twice_run(), 0, "once-only work was sent twice");
    assert!(night.most_at_once() <= 4);
}

#[test]
fn a_front_partitioned_before_the_drain_that_still_sends_blocks_the_release() {
    let mut night = Night::start(2);
    night.work(ms(5000), ms(500));
    let partition = Faults { blocked: true, ..Faults::default() };
    night.rig.relays.set_faults(|front, _| front == 4, partition, partition);
    let (code, text) = night.say(&["ask", "3", "--who", "ann"]);
    assert_eq!(code, 0, "{text}");
    night.work(ms(4000), ms(500));
    assert!(night.out.is_empty(), "released though a front still sends");
    let (_, text) = night.say(&["list"]);
    assert!(text.contains("n4"), "{text}");
    let before = night.fake_zones.received(0)[2].len();
    night.work(ms(1500), ms(500));
    println!(
        "proof: works_batches_by_a_front_that_is_cut_off {}",
        night.fake_zones.received(0)[2].len() - before
    );
    // The operator knows that the front is dead, so it may be excluded.
    night.rig.kill_front(4);
    let (code, text) = night.say(&["without", "0", "n4"]);
    assert_eq!(code, 0, "{text}");
    night.reach();
    night.work(ms(4000), ms(1500));
    assert!(night.out.contains_key(&3), "not released: {:?}", night.say(&["list"]));
    let (code, text) = night.say(&["withdraw", "0"]);
    assert_eq!(code, 0, "{text}");
    assert!((0..12).any(|_| night.work(ms(1500), ms(600))), "{:?}", night.say(&["list"]));
    assert_eq!(night.disturbed(), 0);
    let (code, text) = night.say(&["back", "3"]);
    assert!(code == 1 && text.contains("nobody expects it"), "told twice: {code} {text}");
}

#[test]
fn a_request_of_many_machines_takes_several_registers_and_is_edited_as_one() {
    let mut night = Night::start(3);
    night.work(ms(5000), ms(500));
    // More machines than two registers hold; all ids but one are unknown to the fronts.
    let ids: Vec<String> = (0..70).map(|id| format!("{:x}", 0x1000 + id)).chain(["1".to_owned()]).collect();
    let mut words = vec!["ask", "--who", "ann", "--at-once", "200"];
    words.extend(ids.iter().map(String::as_str));
    let (code, text) = night.say(&words);
    assert_eq!((code, text.matches("is asked for").count()), (0, 3), "{text}");
    let (code, text) = night.say(&["hold", "1"]);
    assert_eq!((code, text.matches("is held").count()), (0, 3), "{text}");
    let (code, text) = night.say(&["without", "0", "n4"]);
    assert_eq!((code, text.matches("does not wait").count()), (0, 3), "{text}");
    let (code, text) = night.say(&["without", "0", "nobody"]);
    assert_eq!(code, 1, "{text}");
    let (_, text) = night.say(&["list"]);
    assert_eq!(text.matches("part of request 0").count(), 2, "{text}");
    let (code, text) = night.say(&["withdraw", "2"]);
    assert_eq!((code, text.matches("is withdrawn").count()), (0, 3), "{text}");
    let many: Vec<String> = (0..2049).map(|id| format!("{id:x}")).collect();
    let mut words = vec!["ask"];
    words.extend(many.iter().map(String::as_str));
    let (code, text) = night.say(&words);
    assert!(code == 1 && text.contains("2048 machines at most"), "{code} {text}");
    let (code, text) = night.say(&words[..2049]);
    assert_eq!((code, text.matches("is asked for").count()), (0, 64), "{text}");
    let (code, text) = night.say(&["ask", "5"]);
    assert!(code == 1 && text.contains("under way"), "{code} {text}");
}
