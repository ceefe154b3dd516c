//! Clients: each asks at its own pace whichever front it reaches, its own site's first, and notes how each request ended.

use lemonusher_fakes::base64;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How requests of a request class ended, since this was last asked.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestCounts {
    pub sent: u32,
    pub returned: u32,
    pub on_time: u32,
    pub rejected: u32,
    pub failed: u32,
    /// The front ended, or hung up, before it answered.
    pub aborted: u32,
    /// Answers beyond the one that was owed.
    pub duplicates: u32,
    /// Sum of the times to come back, in seconds.
    pub retry_after_s: f64,
}

impl RequestCounts {
    pub fn returned_share(&self) -> f64 {
        f64::from(self.returned) / f64::from(self.sent.max(1))
    }
}

struct Open {
    group: usize,
    at: Instant,
}

type Tallies = Arc<Mutex<Vec<RequestCounts>>>;

/// One client.
pub struct LoadClient {
    take_counts: Tallies,
    /// Requests a second, in thousandths, by request class.
    rates: Arc<Vec<AtomicU64>>,
    fronts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl LoadClient {
    /// `groups`: name, goal and limit. `fronts` in the order in which they are tried.
    pub fn start(number: u32, groups: Vec<(&'static str, Duration, Duration)>, rates: &[f64]) -> LoadClient {
        let tallies: Tallies = Arc::new(Mutex::new(vec![RequestCounts::default(); groups.len()]));
        let rates: Arc<Vec<AtomicU64>> =
            Arc::new(rates.iter().map(|rate| AtomicU64::new((rate * 1000.0) as u64)).collect());
        let fronts: Arc<Mutex<Vec<Option<SocketAddr>>>> = Arc::default();
        let ending = Arc::new(AtomicBool::new(false));
        let (noted, paced, known, ends) = (tallies.clone(), rates.clone(), fronts.clone(), ending.clone());
        let thread = std::thread::spawn(move || {
            let mut next = 0;
            while !ends.load(Ordering::Relaxed) {
                let reached =
                    known.lock().unwrap().iter().flatten().find_map(|front| TcpStream::connect(front).ok());
                match reached {
                    Some(wire) => ask(number, &mut next, wire, &groups, &paced, &noted, &ends),
                    None => std::thread::sleep(Duration::from_millis(20)),
                }
            }
        });
        LoadClient { take_counts: tallies, rates, fronts, ending, thread: Some(thread) }
    }

    /// The fronts that it may reach from now on, the first first.
    pub fn set_fronts(&self, fronts: Vec<Option<SocketAddr>>) {
        *self.fronts.lock().unwrap() = fronts;
    }

    pub fn scale_rates(&self, times: f64) {
        for rate in self.rates.iter() {
            rate.store((rate.load(Ordering::Relaxed) as f64 * times) as u64, Ordering::Relaxed);
        }
    }

    pub fn tallies(&self) -> Vec<RequestCounts> {
        let mut all = self.take_counts.lock().unwrap();
        let fresh = vec![RequestCounts::default(); all.len()];
        std::mem::replace(&mut *all, fresh)
    }
}

/// Asks one front for as long as the connection lasts.
fn ask(
    number: u32,
    next: &mut u64,
    mut wire: TcpStream,
    groups: &[(&'static str, Duration, Duration)],
    rates: &[AtomicU64],
    tallies: &Tallies,
    ending: &AtomicBool,
) {
    let open: Arc<Mutex<BTreeMap<u64, Open>>> = Arc::default();
    let (reading, waits, noted) = (wire.try_clone().unwrap(), open.clone(), tallies.clone());
    let goals: Vec<Duration> = groups.iter().map(|(_, goal, _)| *goal).collect();
    let gone = Arc::new(AtomicBool::new(false));
    let over = gone.clone();
    let reader = std::thread::spawn(move || {
        let mut lines = BufReader::new(reading).lines();
        while let Some(Ok(line)) = lines.next() {
            let answer: Value = serde_json::from_str(&line).unwrap();
            let id = answer["id"].as_u64().unwrap_or_default();
            let Some(Open { group, at }) = waits.lock().unwrap().remove(&id) else {
                noted.lock().unwrap()[0].duplicates += 1;
                continue;
            };
            let tally = &mut noted.lock().unwrap()[group];
            match answer["error"]["code"].as_i64() {
                None => {
                    tally.returned += 1;
                    tally.on_time += u32::from(at.elapsed() <= goals[group]);
                }
                Some(-32002) => {
                    tally.rejected += 1;
                    tally.retry_after_s +=
                        answer["error"]["data"]["pushback"].as_f64().unwrap_or_default() / 1e3;
                }
                Some(_) => tally.failed += 1,
            }
        }
        over.store(true, Ordering::Relaxed);
    });
    let mut credit = vec![0.0; groups.len()];
    let mut last = Instant::now();
    while !gone.load(Ordering::Relaxed) && !ending.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(4));
        let span = last.elapsed().as_secs_f64();
        last = Instant::now();
        for (group, (name, _, limit)) in groups.iter().enumerate() {
            credit[group] += span * rates[group].load(Ordering::Relaxed) as f64 / 1e3;
            while credit[group] >= 1.0 {
                credit[group] -= 1.0;
                *next += 1;
                let call = format!("{number:08x}{next:08x}");
                let data = base64(format!("select * from sales_{}.orders", *next % 23).as_bytes());
                let params = json!({"call": call, "ttl": limit.as_millis() as u64, "data": data});
                let message = json!({"jsonrpc": "2.0", "id": *next, "method": name, "params": params});
                open.lock().unwrap().insert(*next, Open { group, at: Instant::now() });
                tallies.lock().unwrap()[group].sent += 1;
                if wire.write_all(format!("{message}\n").as_bytes()).is_err() {
                    gone.store(true, Ordering::Relaxed);
                }
            }
        }
    }
    let _ = wire.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    let left = std::mem::take(&mut *open.lock().unwrap());
    left.into_values().for_each(|open| tallies.lock().unwrap()[open.group].aborted += 1);
}

impl Drop for LoadClient {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
