//! Relays: a front knows each voter by the address of a relay of its own, so that each link fails by itself, in either
//! direction.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a direction of a link does to what goes over it.
#[derive(Clone, Copy, Default, Debug)]
pub struct Faults {
    pub blocked: bool,
    /// Shares, from 0 to 1.
    pub loss: f64,
    pub duplication: f64,
    /// Each is held up for up to so long, so that some overtake others.
    pub delay: Duration,
}

struct Link {
    front: usize,
    voter: usize,
    /// Where the front sends to, and where the voter hears from.
    near: UdpSocket,
    far: UdpSocket,
    front_at: Option<SocketAddr>,
    faults: [Faults; 2], // Towards the voter, and back.
    held: Vec<(Instant, bool, Vec<u8>)>,
}

struct Shared {
    links: Vec<Link>,
    voters: Vec<Option<SocketAddr>>,
    chance: fastrand::Rng,
    carried: u64,
}

pub struct Relays {
    shared: Arc<Mutex<Shared>>,
    ways: Vec<Vec<SocketAddr>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

impl Relays {
    pub fn start(fronts: usize, voters: usize, seed: u64) -> Relays {
        let mut links = Vec::new();
        for front in 0..fronts {
            for voter in 0..voters {
                let faults = [Faults::default(); 2];
                let (near, far) = (socket(), socket());
                links.push(Link { front, voter, near, far, front_at: None, faults, held: Vec::new() });
            }
        }
        let way = |front: usize, voter: usize| links[front * voters + voter].near.local_addr().unwrap();
        let ways = (0..fronts).map(|front| (0..voters).map(|voter| way(front, voter)).collect()).collect();
        let chance = fastrand::Rng::with_seed(seed);
        let shared = Arc::new(Mutex::new(Shared { links, voters: vec![None; voters], chance, carried: 0 }));
        let ending = Arc::new(AtomicBool::new(false));
        let (all, ends) = (shared.clone(), ending.clone());
        let thread = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                all.lock().unwrap().round();
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        Relays { shared, ways, ending, thread: Some(thread) }
    }

    /// The address by which a front knows a voter.
    pub fn address(&self, front: usize, voter: usize) -> SocketAddr {
        self.ways[front][voter]
    }

    /// Where a voter really listens, in its present life.
    pub fn set_voter_address(&self, voter: usize, address: SocketAddr) {
        self.shared.lock().unwrap().voters[voter] = Some(address);
    }

    /// Sets the faults of all links for which this holds, towards the voter and back.
    pub fn set_faults(&self, which: impl Fn(usize, usize) -> bool, to: Faults, back: Faults) {
        for link in &mut self.shared.lock().unwrap().links {
            if which(link.front, link.voter) {
                link.faults = [to, back];
            }
        }
    }

    pub fn clear_faults(&self) {
        self.set_faults(|_, _| true, Faults::default(), Faults::default());
    }

    /// Datagrams carried so far.
    pub fn forwarded(&self) -> u64 {
        self.shared.lock().unwrap().carried
    }
}

impl Shared {
    fn round(&mut self) {
        let Shared { links, voters, chance, carried } = self;
        let mut bytes = [0; 2048];
        for link in links {
            for back in [false, true] {
                loop {
                    let from = if back { &link.far } else { &link.near };
                    let Ok((long, who)) = from.recv_from(&mut bytes) else { break };
                    if !back {
                        link.front_at = Some(who);
                    }
                    let faults = link.faults[usize::from(back)];
                    if faults.blocked || chance.f64() < faults.loss {
                        continue;
                    }
                    let times = 1 + usize::from(chance.f64() < faults.duplication);
                    for _ in 0..times {
                        let at = Instant::now() + faults.delay.mul_f64(chance.f64());
                        link.held.push((at, back, bytes[..long].to_vec()));
                    }
                }
            }
            let now = Instant::now();
            for (_, back, said) in link.held.extract_if(.., |(at, ..)| *at <= now) {
                *carried += 1;
                let sent = match (back, link.front_at, voters[link.voter]) {
                    (true, Some(front), _) => link.near.send_to(&said, front),
                    (false, _, Some(voter)) => link.far.send_to(&said, voter),
                    _ => continue,
                };
                drop(sent); // Who is not there hears nothing.
            }
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
