//! Measures the management protocols: `cargo bench --bench managed`. Takes about a minute; not part of CI.

#[path = "../tests/managers/mod.rs"]
#[allow(dead_code)]
mod managers;

use hdrhistogram::Histogram;
use lemonusher_fakes::{CountingEngine, EngineBehavior};
use lemonusher_managed::Disk;
use lemonusher_managed::gnmi::proto::gnmi::SubscriptionMode;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use lemonusher_model::{Node, Op, Schema, from_json, parse_path};
use lemonusher_store::{Bounds, CommitOptions, Edit, Protocol, Record};
use managers::*;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REQUESTS: u64 = 4000;

fn main() {
    let runtime = runtime();
    let engine = CountingEngine::start(|_| EngineBehavior::Result);
    let managed = run(&[&engine], None, "");
    let mut id = 0;
    let mut send_requests = |histogram: &mut Histogram<u64>, client: &mut lemonusher_fakes::Client| {
        for _ in 0..REQUESTS / 8 {
            id += 1;
            let from = Instant::now();
            client.send_request(id, "look-up");
            client.next_response().unwrap();
            histogram.record(from.elapsed().as_nanos() as u64).unwrap();
        }
    };
    // Alternate rounds without and with ten subscribers.
    let mut client = managed.front.client();
    let new = || Histogram::<u64>::new_with_bounds(1000, 60_000_000_000, 3).unwrap();
    let (mut unwatched, mut watched) = (new(), new());
    send_requests(&mut new(), &mut client);
    for _ in 0..8 {
        send_requests(&mut unwatched, &mut client);
        let subscribers = runtime.block_on(async {
            let mut open = Vec::new();
            for _ in 0..10 {
                let mut gnmi = Gnmi::connect(managed.gnmi).await;
                let mut stream =
                    gnmi.subscribe(&["/front/state/counter"], SubscriptionMode::Sample, 100).await.unwrap();
                open.push(tokio::spawn(async move {
                    loop {
                        updates(&mut stream).await;
                    }
                }));
            }
            open
        });
        send_requests(&mut watched, &mut client);
        subscribers.iter().for_each(|subscriber| subscriber.abort());
    }
    let us = |histogram: &Histogram<u64>, share: f64| histogram.value_at_quantile(share) as f64 / 1000.0;
    for (name, histogram) in [("none", &unwatched), ("ten at 10 Hz", &watched)] {
        println!(
            "ordinary path, subscribers {name}: median {:.1} us, 99th {:.1} us, mean {:.1} us",
            us(histogram, 0.5),
            us(histogram, 0.99),
            histogram.mean() / 1000.0
        );
    }
    println!(
        "ordinary path, ten to none: median {:.3}, mean {:.3}",
        us(&watched, 0.5) / us(&unwatched, 0.5),
        watched.mean() / unwatched.mean()
    );

    // Memory per subscriber.
    runtime.block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let resident = async |gnmi: &mut Gnmi| -> f64 {
            let value = gnmi.get("/front/state/resident-bytes", DataType::State).await.unwrap();
            value.as_str().unwrap().parse().unwrap()
        };
        let before = resident(&mut gnmi).await;
        let mut open = Vec::new();
        for _ in 0..50 {
            let mut stream =
                gnmi.subscribe(&["/front/state/counter"], SubscriptionMode::Sample, 1000).await.unwrap();
            updates(&mut stream).await;
            open.push(stream);
        }
        println!("memory a subscriber: {:.1} KB", (resident(&mut gnmi).await - before) / 50.0 / 1024.0);
    });
    drop(managed);

    // Commits with 1,000 pools of 10 engines each, synced to disk.
    let folder = Folder::new();
    let managed = run(&[&engine], Some(&folder.0), "history = 100");
    runtime.block_on(async {
        let mut gnmi = Gnmi::connect(managed.gnmi).await;
        let pools: Vec<_> = (0..1000u32)
            .map(|pool| {
                let engines: Vec<String> = (0..10).map(|n| format!("{:08x}", pool * 10 + n)).collect();
                json!({"name": format!("p{pool}"), "engine": engines})
            })
            .collect();
        gnmi.set(vec![update("/front", &json!({"pool": pools}))]).await.unwrap();
        let mut commits = new();
        for round in 0..500u32 {
            let state = if round % 2 == 0 { "draining" } else { "enabled" };
            let path = format!("/front/pool[name=p{}]/admin-state", round % 1000);
            let from = Instant::now();
            gnmi.set(vec![update(&path, &json!(state))]).await.unwrap();
            commits.record(from.elapsed().as_nanos() as u64).unwrap();
        }
        println!(
            "commit with 1,000 pools and 10,000 engines: median {:.2} ms, 99th {:.2} ms",
            us(&commits, 0.5) / 1000.0,
            us(&commits, 0.99) / 1000.0
        );
    });
    drop(managed);

    // Recovery of the store from 10,000 commits, in this process.
    let folder = Folder::new();
    let schema = Arc::new(Schema::front().unwrap());
    let bounds = Bounds { history: 10_000, sessions: 4 };
    let (mut disk, mut store) =
        Disk::open(&folder.0, schema.clone(), bounds).map_err(|e| e.to_string()).unwrap();
    let session = store.open_session("x", Protocol::Local).unwrap();
    let place = schema.place(&parse_path("/front").unwrap()).unwrap();
    for round in 0..10_000u32 {
        let value = json!({"pool": [{"name": format!("p{}", round % 100), "cell": [round]}]});
        let value: Node = from_json(&schema, place.last().map(|seg| seg.node), false, &value).unwrap();
        let edit = Edit { op: Op::Merge, place: place.clone(), value: Some(value) };
        let plan = store
            .edit_running(session, &[edit], &CommitOptions::default(), Duration::ZERO, 0)
            .unwrap()
            .unwrap();
        disk.append(&store, &Record::commit(&schema, &plan)).unwrap();
        store.finish_commit(plan);
    }
    let length = disk.length();
    drop((disk, store));
    let from = Instant::now();
    let (_disk, store) = Disk::open(&folder.0, schema, bounds).map_err(|e| e.to_string()).unwrap();
    println!(
        "recovery from {} commits ({:.1} MB): {:.0} ms",
        store.running().number,
        length as f64 / 1e6,
        from.elapsed().as_secs_f64() * 1e3
    );
}
