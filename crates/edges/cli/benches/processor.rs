//! Measures the external processor: `cargo bench --bench processor`. Takes about half a minute; not part of CI.

#[path = "../tests/proxies/mod.rs"]
#[allow(dead_code)]
mod proxies;

use envoy_types::pb::envoy::config::core::v3::HeaderValue;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as MessageBody;
use hdrhistogram::Histogram;
use proxies::*;
use std::time::{Duration, Instant};

fn new() -> Histogram<u64> {
    Histogram::new_with_bounds(1000, 60_000_000_000, 3).unwrap()
}

fn print_latencies(what: &str, histogram: &Histogram<u64>) {
    let us = |share| histogram.value_at_quantile(share) as f64 / 1000.0;
    println!("{what}: median {:.0} us, 99th {:.0} us, 99.9th {:.0} us", us(0.5), us(0.99), us(0.999));
}

fn header(key: &str, value: &str) -> HeaderValue {
    HeaderValue { key: key.into(), raw_value: value.as_bytes().to_vec(), ..Default::default() }
}

/// CPU time that a process has used, in seconds, and its memory in KB.
fn process_usage(id: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let rest: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks: f64 = rest[11].parse::<f64>().unwrap() + rest[12].parse::<f64>().unwrap();
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap();
    let pages: f64 = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
    (ticks / 100.0, pages * 4.0)
}

/// Measures verdicts without engines: one stream per request, ended immediately by a response. Runs `at_once`
/// workers for this duration. Returns the latencies and the number of verdicts.
async fn verdicts(proxy: &Proxy, at_once: usize, duration: Duration, from: u64) -> (Histogram<u64>, u64) {
    let mut tasks = Vec::new();
    for worker in 0..at_once {
        let proxy = proxy.clone();
        tasks.push(tokio::spawn(async move {
            let mut histogram = new();
            let until = Instant::now() + duration;
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let id = format!("v-{from}-{worker}-{number}");
                let Some((send, mut call_responses, _)) = proxy.open(proxy.processors[0]).await else {
                    continue;
                };
                let list = vec![
                    header("x-service-group", "look-up"),
                    header("x-request-id", &id),
                    header("x-table-group", &format!("t{}", worker % 8)),
                ];
                let sent_at = Instant::now();
                let _ = send.send(message(MessageBody::RequestHeaders(headers(list)))).await;
                if call_responses.message().await.is_ok_and(|call_response| call_response.is_some()) {
                    histogram.record(sent_at.elapsed().as_nanos() as u64).unwrap();
                }
                let response = headers(vec![header(":status", "200")]);
                let _ = send.send(message(MessageBody::ResponseHeaders(response))).await;
                let _ = call_responses.message().await;
            }
            histogram
        }));
    }
    let mut all = new();
    for task in tasks {
        all.add(task.await.unwrap()).unwrap();
    }
    let count = all.len();
    (all, count)
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build().unwrap();
    runtime.block_on(async {
        let mut engines = Vec::new();
        for _ in 0..8 {
            engines.push(HttpEngine::start(|_| HttpEngineBehavior::Serve).await);
        }
        let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
        let mut processor = Processor::new(&addresses, "recovers = false\nmessage_timeout_ms = 1000");
        let id = processor.front.as_ref().unwrap().id();
        let mut proxy = Proxy::new(&[processor.address], None);
        proxy.attempts = 1;
        verdicts(&proxy, 8, Duration::from_millis(500), 0).await;
        for at_once in [1, 16, 64] {
            let before = process_usage(id).0;
            let duration = Duration::from_secs(3);
            let (histogram, count) = verdicts(&proxy, at_once, duration, at_once as u64).await;
            let cpu = process_usage(id).0 - before;
            println!(
                "{at_once} at once: {:.0} verdicts/s; {:.2} s of processor time in {duration:?}, {:.0} verdicts a second of it",
                count as f64 / duration.as_secs_f64(),
                cpu,
                count as f64 / cpu.max(0.01)
            );
            print_latencies("  verdict", &histogram);
        }
        // Whole requests, alternately with the processor and without.
        let mut direct = proxy.clone();
        direct.processors = vec!["127.0.0.1:1".parse().unwrap()];
        direct.fallback_engine = Some(engines[0].address);
        let (mut with, mut without) = (new(), new());
        for round in 0..2000u32 {
            let from = Instant::now();
            proxy.request(&format!("w{round}"), "look-up").await;
            with.record(from.elapsed().as_nanos() as u64).unwrap();
            let from = Instant::now();
            direct.request(&format!("d{round}"), "look-up").await;
            without.record(from.elapsed().as_nanos() as u64).unwrap();
        }
        print_latencies("whole request with the processor", &with);
        print_latencies("whole request without", &without);
        // Memory per waiting stream.
        let before = process_usage(id).1;
        let mut open_streams = Vec::new();
        for number in 0..2000 {
            if let Some((send, call_responses, _)) = proxy.open(processor.address).await {
                let list = vec![header("x-service-group", "look-up"), header("x-request-id", &format!("m{number}"))];
                let _ = send.send(message(MessageBody::RequestHeaders(headers(list)))).await;
                open_streams.push((send, call_responses));
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        println!("memory a stream: {:.1} KB over {}", (process_usage(id).1 - before) / open_streams.len() as f64, open_streams.len());
        drop(open_streams);
        // After a restart with recovery: time until nine in ten requests of a quarter of a second are served.
        processor.kill();
        let mut processor = Processor::new(&addresses, "message_timeout_ms = 1000");
        let mut proxy = Proxy::new(&[processor.address], None);
        proxy.attempts = 1;
        let from = Instant::now();
        let mut round = 0;
        loop {
            let quarter = Instant::now();
            let (mut sent, mut served) = (0, 0);
            while quarter.elapsed() < Duration::from_millis(250) {
                round += 1;
                sent += 1;
                served += u32::from(proxy.request(&format!("r{round}"), "look-up").await.status == 200);
            }
            if served * 10 >= sent * 9 || from.elapsed() > Duration::from_secs(20) {
                println!("after a restart: nine in ten served {:.1} s after the start", quarter.duration_since(from).as_secs_f64());
                break;
            }
        }
        processor.kill();
    });
}
