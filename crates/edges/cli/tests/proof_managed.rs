//! Tests of the management protocols: the front runs as a process, with fake engines that count requests and with
//! clients of gNMI and NETCONF. Each test prints its results as lines `proof: NAME figure`.

mod managers;

use lemonusher_fakes::{CountingEngine, DiscoveryServer, EngineBehavior, TEST_TIMEOUT, start_config};
use lemonusher_managed::gnmi::proto::gnmi::SetRequest;
use lemonusher_managed::gnmi::proto::gnmi::SubscriptionMode;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use lemonusher_managed::gnmi::proto::gnmi_ext::commit::Action;
use lemonusher_managed::gnmi::proto::gnmi_ext::{CommitCancel, CommitConfirm};
use lemonusher_model::{Node, Schema, Tree, from_json, parse_path};
use lemonusher_netconf::{parse, tree_of};
use managers::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tonic::Code;

const POOL: &str = "/front/pool[name=a]";

fn start_engine() -> CountingEngine {
    CountingEngine::start(|_| EngineBehavior::Result)
}

/// The configuration in force, as read over both protocols: NETCONF's bytes and gNMI's JSON.
async fn config(managed: &ManagedFront) -> (String, Value) {
    let mut netconf = Netconf::connect(managed.netconf).await;
    let bytes = netconf.bytes(RUNNING).await;
    let json = Gnmi::connect(managed.gnmi).await.get("/", DataType::Config).await.unwrap();
    (bytes, json)
}

#[test]
fn a_failed_change_leaves_the_old_state_byte_for_byte() {
    let engine = start_engine();
    let managed = run(&[&engine], None, "");
    runtime().block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let first =
            json!({"name": "a", "location": ["east"], "admin-state": "draining", "drained-for": "a disk"});
        gnmi.set(vec![update(POOL, &first)]).await.unwrap();
        let old = config(&managed).await;
        let mut watcher = Netconf::connect(managed.netconf).await;
        let subscribe = "<create-subscription xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"/>";
        watcher.ok(subscribe).await;

        let good = edit("candidate", "<pool><name>a</name><cell>4</cell></pool>");
        let unknown = edit("candidate", "<pool><name>a</name><location>north</location></pool>");
        let confirmed = "<commit><confirmed/><confirm-timeout>600</confirm-timeout></commit>";
        let lock = "<lock><target><candidate/></target></lock>";
        let validate = "<validate><source><candidate/></source></validate>";
        // The connection is closed after each list of steps. A step that begins with `!` must be refused.
        let step_lists: Vec<Vec<String>> = vec![
            vec![lock.into()],
            vec![lock.into(), good.clone()],
            vec![lock.into(), good.clone(), validate.into()],
            vec![lock.into(), good.clone(), validate.into(), confirmed.into()],
            vec![lock.into(), unknown.clone(), "!<commit/>".into()],
            vec![format!(
                "!{}",
                edit(
                    "running",
                    "<pool><name>b</name></pool><pool><name>a</name><location>north</location></pool>"
                )
            )],
            vec![format!("!{}", edit("running", "<pool><name>b</name></pool><nothing/>"))],
            vec![format!("!{}", edit("running", "<pool><name>b</name><serves>none</serves></pool>"))],
        ];
        let mut steps_done = 0;
        for steps in &step_lists {
            let mut manager = Netconf::connect(managed.netconf).await;
            for step in steps {
                match step.strip_prefix('!') {
                    Some(refused) => drop(manager.error(refused).await),
                    None => manager.ok(step).await,
                }
                steps_done += 1;
            }
            drop(manager);
            if steps.iter().any(|step| step == confirmed) {
                // The commit can no longer be confirmed, so it is rolled back, and the subscriber is notified.
                while !watcher.receive().await.unwrap().contains("rolled-back") {}
            }
            assert_eq!(config(&managed).await, old, "{steps:?}");
            // The closed session leaves no lock and no changed candidate.
            let mut next = Netconf::connect(managed.netconf).await;
            while next.ask(lock).await.child("ok").is_none() {}
        }
        // Half of a message, and a Set request with one invalid update.
        let mut manager = Netconf::connect(managed.netconf).await;
        let whole = edit("running", "<log-level>debug</log-level>");
        assert!(manager.send_raw(&whole.as_bytes()[..whole.len() / 2]).await);
        drop(manager);
        let set = vec![update("/front/log-level", &json!("debug")), update(POOL, &json!({"kind": ["none"]}))];
        assert!(gnmi.set(set).await.is_err());
        assert_eq!(config(&managed).await, old);
        println!(
            "proof: failed changes {} ways, {steps_done} steps, old state byte for byte",
            step_lists.len() + 2
        );
    });
}

#[test]
fn both_protocols_read_the_same_state() {
    let engines = [start_engine(), start_engine()];
    let managed = run(&[&engines[0], &engines[1]], None, "");
    let mut client = managed.front.client();
    for id in 1..=50 {
        client.send_request(id, if id % 5 == 0 { "load" } else { "look-up" });
        client.next_response().unwrap();
    }
    runtime().block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let pool = json!({"name": "a", "engine": ["00000002"], "admin-state": "disabled"});
        gnmi.set(vec![update(POOL, &pool)]).await.unwrap();
        let schema = Schema::front().unwrap();
        let mut netconf = Netconf::connect(managed.netconf).await;
        let mut leaves = 0;
        // Time and memory change all the time, so they are not compared. The rest is stable once no request is open.
        for path in ["/front/pool", "/front/state/counter", "/front/state/engine", "/front/state/commit"] {
            let names: Vec<String> = parse_path(path).unwrap().into_iter().map(|step| step.name).collect();
            let open: String = names[1..].iter().map(|name| format!("<{name}>")).collect();
            let close: String = names[1..].iter().rev().map(|name| format!("</{name}>")).collect();
            let filter = format!(
                "<get><filter type=\"subtree\"><front xmlns=\"urn:lemonusher:front\">{open}{close}</front></filter></get>"
            );
            // Probes continue and are counted. The reads of both protocols are compared only if a read before
            // and a read after show the same state.
            let mut stable_reads = None;
            for _ in 0..MAX_READS {
                let before = netconf.read(&schema, &filter).await;
                let gnmi_tree = gnmi.read(&schema, &names).await;
                if same(&schema, path, &before, &netconf.read(&schema, &filter).await) {
                    stable_reads = Some((before, gnmi_tree));
                    break;
                }
            }
            let (netconf_tree, gnmi_tree) = stable_reads.unwrap_or_else(|| panic!("{path} never stood still"));
            assert!(same(&schema, path, &netconf_tree, &gnmi_tree), "{path}: {netconf_tree:?} {gnmi_tree:?}");
            assert!(netconf_tree.count() > 2, "{path}");
            leaves += netconf_tree.count();
        }
        println!("proof: same state {leaves} leaves equal over NETCONF and gNMI");
    });
}

/// Maximum number of reads of a state that keeps changing.
const MAX_READS: usize = 50;

impl Netconf {
    async fn read(&mut self, schema: &Schema, filter: &str) -> Tree {
        let reply = self.ask(filter).await;
        tree_of(schema, reply.child("data").unwrap()).unwrap()
    }
}

impl Gnmi {
    /// The subtree at a path of the whole tree. A path to a list selects all of its entries.
    async fn read(&mut self, schema: &Schema, names: &[String]) -> Tree {
        let all = self.get("/", DataType::All).await.unwrap();
        let node = names[1..].iter().fold(&all["lemonusher-front:front"], |at, name| &at[name]);
        let (last, above) = names.split_last().unwrap();
        let mut nested = json!({ last: node });
        for name in above.iter().rev() {
            nested = json!({ name: nested });
        }
        let Node::Container(fields) = from_json(schema, None, false, &nested).unwrap() else { panic!() };
        Tree::of((*fields).clone())
    }
}

/// Whether two reads show the same state, apart from the age of the engines' data.
fn same(schema: &Schema, path: &str, one: &Tree, other: &Tree) -> bool {
    match path.ends_with("engine") {
        true => without_age(schema, one) == without_age(schema, other),
        false => one == other,
    }
}

fn without_age(schema: &Schema, tree: &Tree) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    tree.for_each_leaf(|place, value| {
        let path = schema.text(place);
        if !path.ends_with("/age") {
            leaves.insert(path, value.to_string());
        }
    });
    leaves
}

/// Parses the counters of a log line such as `taken look-up=12 load=3; probes 4`, by kind and request class.
fn counts(line: &str) -> BTreeMap<(String, String), u64> {
    let (_, line) = line.split_once("counts: ").unwrap();
    let (line, _) = line.split_once("; holds").unwrap();
    let mut found = BTreeMap::new();
    for part in line.split("; ") {
        let words: Vec<&str> = part.split(' ').collect();
        let named = words.iter().position(|word| word.contains('=')).unwrap_or(words.len() - 1);
        for word in &words[named..] {
            let (group, count) = word.split_once('=').unwrap_or(("-", word));
            found.insert((words[..named].join(" "), group.to_owned()), count.parse().unwrap());
        }
    }
    found
}

#[test]
fn subscribed_counters_are_those_of_the_log() {
    const REQUESTS: u64 = 10_000;
    const CLIENTS: u64 = 8;
    let engines = [
        CountingEngine::start(|n| match n {
            n if n % 97 == 5 => EngineBehavior::Fail,
            n if n % 211 == 7 => EngineBehavior::CloseConnection,
            _ => EngineBehavior::Result,
        }),
        CountingEngine::start(|n| if n % 53 == 3 { EngineBehavior::Reject } else { EngineBehavior::Result }),
        start_engine(),
    ];
    let managed = run(&[&engines[0], &engines[1], &engines[2]], None, "");
    let managed = &managed;
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(move || {
                let mut client = managed.front.client();
                let (mut sent, mut open) = (0, 0);
                while sent < REQUESTS / CLIENTS || open > 0 {
                    if sent < REQUESTS / CLIENTS && open < 16 {
                        client.send_request(sent + 1, if sent % 10 == 0 { "load" } else { "look-up" });
                        (sent, open) = (sent + 1, open + 1);
                    } else {
                        client.next_response().expect("one answer a batch");
                        open -= 1;
                    }
                }
            });
        }
    });
    runtime().block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let mut stream =
            gnmi.subscribe(&["/front/state/counter"], SubscriptionMode::Sample, 50).await.unwrap();
        let counted = || {
            managed.front.signal("USR1");
            counts(&managed.front.wait_for_log("counts: "))
        };
        for _ in 0..100 {
            let before = counted();
            let mut sample = BTreeMap::new();
            let mut samples = 0;
            while samples < 3 {
                let Some(updates) = updates(&mut stream).await else { continue };
                samples += 1;
                for update in updates {
                    let elem = &update.path.as_ref().unwrap().elem;
                    let (entry, leaf) = (&elem[elem.len() - 2], &elem[elem.len() - 1]);
                    if leaf.name == "count" {
                        let key = (entry.key["name"].clone(), entry.key["service-group"].clone());
                        let count: u64 = value_of(&update).as_str().unwrap().parse().unwrap();
                        sample.insert(key, count);
                    }
                }
            }
            // If the counters were the same before and after the sample, the sample must show them.
            if before != counted() {
                continue;
            }
            assert_eq!(sample, before);
            let of = |kind: &str| -> u64 {
                before.iter().filter(|((name, _), _)| name == kind).map(|(_, count)| count).sum()
            };
            assert_eq!(of("taken"), REQUESTS);
            assert_eq!(of("returned") + of("pushed back") + of("errored"), REQUESTS);
            let tallied: u64 = engines.iter().map(|engine| engine.requests().len() as u64).sum();
            assert!(of("dispatched") >= tallied);
            let failed = of("dispatch ended errored") + of("dispatch ended full") + of("dispatch ended reset");
            assert!(of("returned") > REQUESTS / 2, "{before:?}");
            assert!(failed > 50, "{before:?}");
            println!(
                "proof: counters {} of {REQUESTS} batches, {failed} failed dispatches, equal to the log's line",
                sample.len()
            );
            return;
        }
        panic!("the counters never stood still");
    });
}

struct SetOnDrop(Arc<AtomicBool>);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

#[test]
fn nothing_new_goes_to_a_drained_pool() {
    const GRACE: Duration = Duration::from_secs(2); // The drain grace in the fake start file.
    let engines = [start_engine(), start_engine()];
    let managed = run(&[&engines[0], &engines[1]], None, "");
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let (drained, opened, home) = std::thread::scope(|scope| {
        for _ in 0..4 {
            let (stop, sent, front) = (stop.clone(), sent.clone(), &managed.front);
            scope.spawn(move || {
                let mut client = front.client();
                for id in 1.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    client.send_request(id, "look-up");
                    client.next_response().expect("an answer");
                    sent.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        // Stops the clients also if the test fails.
        let _stop_on_drop = SetOnDrop(stop.clone());
        let wait_for = |engine: &CountingEngine, more: usize| {
            let from = engine.requests().len();
            let until = Instant::now() + TEST_TIMEOUT;
            while engine.requests().len() < from + more {
                assert!(Instant::now() < until, "no batch came");
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        runtime().block_on(async {
            let mut gnmi = Gnmi::connect(managed.gnmi).await;
            // Find the home engine of the statements' table group.
            let until = Instant::now() + TEST_TIMEOUT;
            while engines.iter().all(|engine| engine.requests().len() < 20) {
                assert!(Instant::now() < until, "no batch came");
                std::thread::sleep(Duration::from_millis(5));
            }
            let home = usize::from(engines[1].requests().len() >= 20);
            let id = format!("{:08x}", home + 1);
            let pool =
                |state: &str| update(POOL, &json!({"name": "a", "engine": [id], "admin-state": state}));
            gnmi.set(vec![pool("draining")]).await.unwrap();
            let drained = Instant::now();
            // The other engine continues to receive requests until well after the drain grace.
            while drained.elapsed() < GRACE + Duration::from_millis(500) {
                wait_for(&engines[1 - home], 20);
            }
            let opened = Instant::now();
            gnmi.set(vec![pool("enabled")]).await.unwrap();
            wait_for(&engines[home], 20);
            stop.store(true, Ordering::SeqCst);
            (drained, opened, home)
        })
    });
    let tally = engines[home].requests();
    let late: Vec<Duration> = (tally.iter())
        .filter(|request| request.at > drained && request.at < opened)
        .map(|request| request.at.duration_since(drained))
        .collect();
    assert!(late.iter().all(|late| *late <= GRACE), "{late:?}");
    let last = late.iter().max().copied().unwrap_or_default();
    println!(
        "proof: drained pool {} batches in all, {} after the commit, the last {last:?} after it (grace {GRACE:?})",
        sent.load(Ordering::SeqCst),
        late.len()
    );
}

#[test]
fn nothing_acknowledged_is_lost_in_two_hundred_kills() {
    const KILLS: u32 = 200;
    let folder = Folder::new();
    let (mut acknowledged, mut in_flight_kept) = (0u64, 0);
    let runtime = runtime();
    let path = "/front/service-group[name=look-up]/most-open";
    let mut rng_state = 0x9e37_79b9_7f4a_7c15u64;
    for kill in 0..KILLS {
        let mut managed = run(&[], Some(&folder.0), "");
        runtime.block_on(async {
            let mut gnmi = Gnmi::connect(managed.gnmi).await;
            let held_version = match gnmi.get(path, DataType::Config).await {
                Ok(value) => value.as_u64().unwrap(),
                Err(status) if status.code() == Code::NotFound => 0,
                Err(status) => panic!("{status}"),
            };
            assert!(
                held_version == acknowledged || held_version == acknowledged + 1,
                "kill {kill}: {held_version}, {acknowledged}"
            );
            in_flight_kept += u32::from(held_version > acknowledged);
            acknowledged = held_version;
            rng_state = rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(kill.into());
            for _ in 0..(rng_state >> 60) % 3 {
                gnmi.set(vec![update(path, &json!(acknowledged + 1))]).await.unwrap();
                acknowledged += 1;
            }
            // One more commit is in flight when the process is killed.
            let mut other = gnmi.clone();
            let next = acknowledged + 1;
            let last = tokio::spawn(async move { other.set(vec![update(path, &json!(next))]).await });
            tokio::time::sleep(Duration::from_micros((rng_state >> 40) % 3000)).await;
            managed.front.kill();
            if last.await.unwrap().is_ok() {
                acknowledged = next;
            }
        });
    }
    println!(
        "proof: kills {KILLS}, {acknowledged} commits acknowledged, none lost, {in_flight_kept} in flight kept"
    );
}

#[test]
fn a_confirmed_commit_is_taken_back_when_its_time_runs_out_across_a_restart() {
    let folder = Folder::new();
    let runtime = runtime();
    let mut managed = run(&[], Some(&folder.0), "");
    runtime.block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let set = SetRequest {
            update: vec![update("/front/log-level", &json!("debug"))],
            extension: vec![confirm_within("x", 1)],
            ..SetRequest::default()
        };
        gnmi.change(set).await.unwrap();
        assert_eq!(gnmi.get("/front/log-level", DataType::Config).await.unwrap(), json!("debug"));
    });
    managed.front.kill();
    let managed = run(&[], Some(&folder.0), "");
    runtime.block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        assert_eq!(gnmi.get("/front/log-level", DataType::Config).await.unwrap(), json!("info"));
        let commits = gnmi.get("/", DataType::State).await.unwrap();
        let commits = &commits["lemonusher-front:front"]["state"]["commit"];
        assert_eq!(commits[2]["cause"], json!("not confirmed, back to 0"));
    });
    println!("proof: confirmed commit 1 taken back at the next start");
}

#[test]
fn two_managers_writing_at_once_never_tear_the_state() {
    let managed = run(&[], None, "");
    runtime().block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let mut netconf = Netconf::connect(managed.netconf).await;
        let level = |level: &str| vec![update("/front/log-level", &json!(level))];

        // A lock blocks a Set, and is released when its owner's session ends.
        netconf.ok("<lock><target><running/></target></lock>").await;
        assert_eq!(gnmi.set(level("warn")).await.unwrap_err().code(), Code::Aborted);
        drop(netconf);
        let mut netconf = Netconf::connect(managed.netconf).await;
        while gnmi.set(level("warn")).await.is_err() {}

        // A candidate and a Set: changes of different nodes are both committed; if they conflict, the later is
        // refused.
        netconf.ok(&edit("candidate", "<pool><name>a</name><cell>4</cell></pool>")).await;
        gnmi.set(level("info")).await.unwrap();
        netconf.ok("<commit/>").await;
        netconf.ok(&edit("candidate", "<log-level>error</log-level>")).await;
        gnmi.set(level("warn")).await.unwrap();
        assert_eq!(netconf.error("<commit/>").await, "operation-failed");
        netconf.ok("<discard-changes/>").await;
        let now = gnmi.get("/", DataType::Config).await.unwrap();
        let wanted = json!({"log-level": "warn", "pool": [{"name": "a", "cell": [4]}]});
        assert_eq!(now["lemonusher-front:front"], wanted);

        // A commit of the other protocol that awaits confirmation.
        netconf.ok(&edit("candidate", "<log-level>error</log-level>")).await;
        netconf.ok("<commit><confirmed/><persist>night</persist></commit>").await;
        assert_eq!(gnmi.set(level("info")).await.unwrap_err().code(), Code::FailedPrecondition);
        let act =
            |id: &str, act: Action| SetRequest { extension: vec![action(id, act)], ..SetRequest::default() };
        let wrong = gnmi.change(act("day", Action::Confirm(CommitConfirm {}))).await.unwrap_err();
        assert_eq!(wrong.code(), Code::FailedPrecondition);
        gnmi.change(act("night", Action::Cancel(CommitCancel {}))).await.unwrap();
        assert_eq!(gnmi.get("/", DataType::Config).await.unwrap(), now);

        // Concurrent writers: each Set is applied completely or not at all.
        let mut tasks = Vec::new();
        for writer in 0..8u32 {
            let mut gnmi = Gnmi::connect(managed.gnmi).await;
            tasks.push(tokio::spawn(async move {
                let mut done = 0;
                for round in 0..20u32 {
                    let cells = json!({"name": "w", "cell": [writer, 100 + writer, 200 + round]});
                    let replace = vec![update("/front/pool[name=w]", &cells)];
                    let set = SetRequest { replace, ..SetRequest::default() };
                    done += u32::from(gnmi.change(set).await.is_ok());
                }
                done
            }));
        }
        let mut reads = 0;
        while tasks.iter().any(|task| !task.is_finished()) {
            let pool = gnmi.get("/front/pool[name=w]", DataType::Config).await;
            if let Ok(pool) = pool {
                let cells: Vec<u64> =
                    pool["cell"].as_array().unwrap().iter().filter_map(Value::as_u64).collect();
                let writer = cells.iter().find(|cell| **cell < 100).unwrap();
                assert!(cells.len() == 3 && cells.contains(&(writer + 100)), "{cells:?}");
                reads += 1;
            }
        }
        let mut done = 0;
        for task in tasks {
            done += task.await.unwrap();
        }
        assert_eq!(done, 160);
        println!("proof: two managers {done} commits of 8 writers, {reads} reads, none torn");
    });
}

#[test]
fn a_subscriber_that_stops_loses_updates_and_holds_nobody_up() {
    let discovery = DiscoveryServer::start();
    // Many engines without a listener make each sample large.
    let engine = start_engine();
    let mut engine_addresses = vec![(1, engine.address)];
    engine_addresses.extend((2..600).map(|id| (id, discovery.address)));
    let mut text = start_config(&engine_addresses, discovery.address);
    for member in text["known"]["cmds"][0]["nodes"]["members"].as_array_mut().unwrap().iter_mut().skip(1) {
        member["phase"] = json!("Terminating");
    }
    let managed = run_with_start_file(&text, discovery, None, "");
    runtime().block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let mut stalled = Gnmi::connect(managed.gnmi).await;
        let mut stream = stalled.subscribe(&["/front/state"], SubscriptionMode::Sample, 20).await.unwrap();
        let mut reading = Gnmi::connect(managed.gnmi).await;
        let mut fine =
            reading.subscribe(&["/front/state/counter"], SubscriptionMode::Sample, 20).await.unwrap();
        // The stalled stream is not read until the front counts lost updates; requests are served meanwhile.
        let mut client = managed.front.client();
        let (mut requests, mut lost) = (0, 0);
        let until = Instant::now() + TEST_TIMEOUT;
        while lost == 0 || requests < 40 {
            assert!(Instant::now() < until, "{lost} lost, {requests} answered");
            requests += 1;
            client.send_request(requests, "look-up");
            client.expect_result(requests, b"x\ty\tz\n");
            updates(&mut fine).await;
            let state = gnmi.get("/", DataType::State).await.unwrap();
            let sessions = &state["lemonusher-front:front"]["state"]["session"];
            let each = sessions.as_array().unwrap().iter();
            lost = each.filter_map(|s| s["lost-updates"].as_str()?.parse::<u64>().ok()).sum();
        }
        // When the subscriber reads again, it receives the number of lost updates.
        let told = loop {
            let Some(updates) = updates(&mut stream).await else { continue };
            let leaf = |update: &lemonusher_managed::gnmi::proto::gnmi::Update| {
                update.path.as_ref().unwrap().elem.last().unwrap().name == "lost-updates"
                    && value_of(update) != json!("0")
            };
            if let Some(update) = updates.iter().find(|update| leaf(update)) {
                break value_of(update);
            }
        };
        println!("proof: stopped subscriber {lost} updates lost and counted, {told} told, {requests} batches answered meanwhile");
    });
}

#[test]
fn hostile_input_gets_errors_and_harms_nobody() {
    let managed = run(&[], None, "");
    runtime().block_on(async {
        let old = config(&managed).await;
        let mut noise = Vec::new();
        let mut rng_state = 1u64;
        while noise.len() < 1_000_000 {
            rng_state = rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            noise.extend(rng_state.to_le_bytes());
        }
        let mut refused = 0;
        for address in [managed.gnmi, managed.netconf] {
            let mut stream = TcpStream::connect(address).unwrap();
            // The server closes the connection: after its last bytes, if any, the client sees an end or a
            // reset, and no open connection without data.
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let _ = stream.write_all(&noise);
            let ended = loop {
                match stream.read(&mut [0; 4096]) {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(error) => break error.kind() != std::io::ErrorKind::WouldBlock,
                }
            };
            assert!(ended, "{address} goes on after noise");
            refused += 1;
        }
        // Random bytes within a session end it.
        let mut manager = Netconf::connect(managed.netconf).await;
        // Not more bytes than fit into the SSH window, as nothing is read after the session has ended.
        if manager.send_raw(&noise[..100_000]).await {
            while manager.receive().await.is_some() {}
        }
        refused += 1;
        let mut manager = Netconf::connect(managed.netconf).await;
        let deep = format!("<get>{}", "<filter>".repeat(5000));
        let entity_expansion = "<!DOCTYPE a [<!ENTITY b \"lol\"><!ENTITY c \"&b;&b;&b;\">]><rpc>&c;</rpc>";
        for text in [deep.as_str(), entity_expansion, "<rpc/>", "", "\u{0}"] {
            manager.send(if text.is_empty() { " " } else { text }).await;
            let reply = parse(&manager.receive().await.unwrap()).unwrap();
            assert!(reply.child("rpc-error").is_some(), "{text:.40}");
            refused += 1;
        }
        for (operation, tag) in [
            (edit("candidate", "<pool xmlns=\"urn:x\"><name>a</name></pool>"), "unknown-namespace"),
            (edit("candidate", "<cloud/>"), "unknown-element"),
            (edit("candidate", "<pool><name>a</name><cell>4294967296</cell></pool>"), "invalid-value"),
            (edit("candidate", "<state><name>x</name></state>"), "invalid-value"),
            (edit("candidate", "<pool/>"), "missing-element"),
        ] {
            assert_eq!(manager.error(&operation).await, tag, "{operation}");
            refused += 1;
        }
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        for (path, value, code) in [
            ("/front/nothing", json!(1), Code::NotFound),
            ("/front/pool[name=a]/cell", json!([1e30]), Code::InvalidArgument),
            ("/front/pool[name=a]/cell", json!([-1]), Code::InvalidArgument),
            ("/front/pool[name=a b]", json!({}), Code::InvalidArgument),
            ("/front/state/name", json!("x"), Code::InvalidArgument),
            ("/front/log-level", json!({"a": {"b": []}}), Code::InvalidArgument),
        ] {
            let status = gnmi.set(vec![update(path, &value)]).await.unwrap_err();
            assert_eq!(status.code(), code, "{path} {value}: {status}");
            refused += 1;
        }
        // More sessions than allowed: those above the limit are refused, the others continue.
        let (mut held_sessions, mut refused_sessions) = (Vec::new(), 0);
        for _ in 0..1000 {
            match gnmi.subscribe(&["/front/log-level"], SubscriptionMode::OnChange, 0).await {
                Ok(stream) => held_sessions.push(stream),
                Err(status) => {
                    assert_eq!(status.code(), Code::ResourceExhausted);
                    refused_sessions += 1;
                }
            }
            if held_sessions.len() % 50 == 49 {
                gnmi = Gnmi::connect(managed.gnmi).await;
            }
        }
        assert!(held_sessions.len() >= 32 && refused_sessions > 800, "{} held", held_sessions.len());
        drop(held_sessions);
        let silent: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(managed.netconf).unwrap()).collect();
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        while gnmi.set(vec![update("/front/log-level", &json!("info"))]).await.is_err() {}
        gnmi.change(SetRequest { delete: gnmi_path("/front/log-level").into_iter().collect(), ..SetRequest::default() })
            .await
            .unwrap();
        assert_eq!(config(&managed).await, old);
        drop(silent);
        println!("proof: hostile input {refused} kinds refused, {refused_sessions} sessions beyond the bound, state as before");
    });
}

#[test]
fn users_come_in_by_their_keys_over_tls_and_do_what_they_may() {
    use lemonusher_fakes::temp_file;
    use lemonusher_managed::gnmi::proto::gnmi::g_nmi_client::GNmiClient;
    use lemonusher_managed::gnmi::proto::gnmi::{CapabilityRequest, SetRequest};
    use russh::client;
    use russh::keys::{Algorithm, PrivateKey, PrivateKeyWithHashAlg};
    use tonic::transport::{Certificate, ClientTlsConfig, Endpoint};

    let discovery = DiscoveryServer::start();
    let made = rcgen::generate_simple_self_signed(vec!["front.test".to_owned()]).unwrap();
    let (certificate, key) = (made.cert.pem(), made.signing_key.serialize_pem());
    let ssh = Arc::new(PrivateKey::random(&mut rand::rng(), Algorithm::Ed25519).unwrap());
    let stranger = Arc::new(PrivateKey::random(&mut rand::rng(), Algorithm::Ed25519).unwrap());
    let files = [
        temp_file("json", &start_config(&[], discovery.address).to_string()),
        temp_file("pem", &certificate),
        temp_file("key", &key),
        temp_file("password", "open sesame\n"),
    ];
    let [start_file, pem, key, password] =
        files.each_ref().map(|path| format!("{:?}", path.display().to_string()));
    let public = ssh.public_key().to_openssh().unwrap();
    let text = format!(
        "[front]\ntold = {start_file}\n[managed.gnmi]\nlisten = \"127.0.0.1:0\"\ncertificate = {pem}\nkey = {key}\n\
         [managed.netconf]\nlisten = \"127.0.0.1:0\"\n[[managed.users]]\nname = \"ops\"\nmay = \"write\"\n\
         ssh_key = \"{public}\"\npassword_file = {password}\n[[managed.users]]\nname = \"desk\"\npassword_file = {password}\n"
    );
    let managed = run_with_operator_file(&text, discovery);
    files.iter().for_each(|path| drop(std::fs::remove_file(path)));
    runtime().block_on(async {
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(&certificate))
            .domain_name("front.test");
        let endpoint = Endpoint::from_shared(format!("https://{}", managed.gnmi)).unwrap();
        let mut gnmi = GNmiClient::new(endpoint.tls_config(tls).unwrap().connect().await.unwrap());
        let as_user = |user: &str, password: &str| {
            let mut metadata = tonic::metadata::MetadataMap::new();
            metadata.insert("username", user.parse().unwrap());
            metadata.insert("password", password.parse().unwrap());
            metadata
        };
        let mut codes = Vec::new();
        for (user, password) in
            [("ops", "open sesame"), ("desk", "open sesame"), ("ops", "wrong"), ("none", "")]
        {
            let metadata = as_user(user, password);
            let read = tonic::Request::from_parts(
                metadata.clone(),
                Default::default(),
                CapabilityRequest::default(),
            );
            let set =
                SetRequest { update: vec![update("/front/log-level", &json!("warn"))], ..Default::default() };
            let write = tonic::Request::from_parts(metadata, Default::default(), set);
            let code = |status: Option<tonic::Status>| status.map_or(Code::Ok, |status| status.code());
            codes.push((code(gnmi.capabilities(read).await.err()), code(gnmi.set(write).await.err())));
        }
        let refused = (Code::Unauthenticated, Code::Unauthenticated);
        assert_eq!(codes, [(Code::Ok, Code::Ok), (Code::Ok, Code::PermissionDenied), refused, refused]);
        // A connection without TLS gets no response.
        let plain = Endpoint::from_shared(format!("http://{}", managed.gnmi)).unwrap().connect().await;
        if let Ok(channel) = plain {
            assert!(GNmiClient::new(channel).capabilities(CapabilityRequest::default()).await.is_err());
        }
        let mut accepted = Vec::new();
        for (user, key) in [("ops", &ssh), ("ops", &stranger), ("desk", &ssh)] {
            let config = Arc::new(client::Config::default());
            let mut handle = client::connect(config, managed.netconf, AcceptAnyKey).await.unwrap();
            assert!(!handle.authenticate_none(user).await.unwrap().success());
            let key = PrivateKeyWithHashAlg::new(key.clone(), None);
            accepted.push(handle.authenticate_publickey(user, key).await.unwrap().success());
        }
        assert_eq!(accepted, [true, false, false]);
        println!(
            "proof: users {} of gNMI over TLS and {} of NETCONF, each let in and kept out as the file says",
            codes.len(),
            accepted.len()
        );
    });
}
