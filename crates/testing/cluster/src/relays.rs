//! UDP relays between fronts and voters. Each pair of front and voter has its own relay, whose address the front
//! uses in place of the voter's, so that each link can fail independently and in either direction. Like a NAT, a
//! link opens one socket towards the voter per sender, so that a reply reaches the sender that it belongs to: the
//! front, or an operator's command that uses the front's configuration.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time between two polls of all links.
const ROUND_INTERVAL: Duration = Duration::from_millis(1);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Limit of the senders that a link keeps. Above it, the one that has sent nothing for the longest time is dropped.
const MAX_SENDERS: usize = 16;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Default, Debug)]
pub struct Faults {
    /// Whether all datagrams are dropped.
    pub blocked: bool,
    /// Share of datagrams that is dropped, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that is forwarded twice, from 0 to 1.
    pub duplication: f64,
    /// Longest delay. Each datagram's delay is drawn uniformly from zero to this, so that datagrams are reordered.
    pub delay: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    ToVoter,
    ToFront,
}

/// A datagram that is held until its delay is over.
struct Delayed {
    due: Instant,
    direction: Direction,
    /// Address on the front's side of the link: the source, or the destination of a reply.
    sender: SocketAddr,
    bytes: Vec<u8>,
}

/// A front's process or an operator's command that sends over a link.
struct Sender {
    address: SocketAddr,
    /// Socket from which its datagrams are sent to the voter.
    voter_side: UdpSocket,
}

struct Link {
    front: usize,
    voter: usize,
    /// Socket that receives from the front.
    front_side: UdpSocket,
    /// Known senders, ordered by when they last sent; the most recent is last.
    senders: Vec<Sender>,
    to_voter: Faults,
    to_front: Faults,
    delayed: Vec<Delayed>,
}

impl Link {
    fn start(front: usize, voter: usize) -> Link {
        Link {
            front,
            voter,
            front_side: socket(),
            senders: Vec::new(),
            to_voter: Faults::default(),
            to_front: Faults::default(),
            delayed: Vec::new(),
        }
    }

    /// Receives all pending datagrams from the front's side.
    fn receive_from_front(&mut self, rng: &mut fastrand::Rng) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Ok((length, sender)) = self.front_side.recv_from(&mut bytes) {
            self.remember(sender);
            self.delay(Direction::ToVoter, sender, &bytes[..length], rng);
        }
    }

    /// Receives all pending datagrams from the voter.
    fn receive_from_voter(&mut self, rng: &mut fastrand::Rng) {
        let mut received = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for sender in &self.senders {
            while let Ok((length, _)) = sender.voter_side.recv_from(&mut bytes) {
                received.push((sender.address, bytes[..length].to_vec()));
            }
        }
        for (sender, bytes) in received {
            self.delay(Direction::ToFront, sender, &bytes, rng);
        }
    }

    fn remember(&mut self, address: SocketAddr) {
        let known = self.senders.iter().position(|sender| sender.address == address);
        let sender = match known {
            Some(index) => self.senders.remove(index),
            None => Sender { address, voter_side: socket() },
        };
        self.senders.push(sender);
        if self.senders.len() > MAX_SENDERS {
            self.senders.remove(0);
        }
    }

    /// Applies the direction's faults: drops the datagram, or queues one or two copies with a random delay.
    fn delay(&mut self, direction: Direction, sender: SocketAddr, bytes: &[u8], rng: &mut fastrand::Rng) {
        let faults = match direction {
            Direction::ToVoter => self.to_voter,
            Direction::ToFront => self.to_front,
        };
        if faults.blocked || rng.f64() < faults.loss {
            return;
        }
        let copies = 1 + usize::from(rng.f64() < faults.duplication);
        for _ in 0..copies {
            let due = Instant::now() + faults.delay.mul_f64(rng.f64());
            self.delayed.push(Delayed { due, direction, sender, bytes: bytes.to_vec() });
        }
    }

    /// Forwards the datagrams that are due, and returns their number. Datagrams without a known receiver are
    /// dropped, but counted too.
    fn forward(&mut self, voter_address: Option<SocketAddr>) -> u64 {
        let now = Instant::now();
        let mut forwarded = 0;
        for datagram in self.delayed.extract_if(.., |datagram| datagram.due <= now) {
            forwarded += 1;
            let sender = self.senders.iter().find(|sender| sender.address == datagram.sender);
            let (socket, receiver) = match datagram.direction {
                Direction::ToVoter => (sender.map(|sender| &sender.voter_side), voter_address),
                Direction::ToFront => (Some(&self.front_side), Some(datagram.sender)),
            };
            if let (Some(socket), Some(receiver)) = (socket, receiver) {
                let _ = socket.send_to(&datagram.bytes, receiver);
            }
        }
        forwarded
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

struct Shared {
    links: Vec<Link>,
    /// Address of each voter's process; `None` before its first start.
    voter_addresses: Vec<Option<SocketAddr>>,
    rng: fastrand::Rng,
    forwarded: u64,
}

impl Shared {
    fn round(&mut self) {
        for link in &mut self.links {
            link.receive_from_front(&mut self.rng);
            link.receive_from_voter(&mut self.rng);
            self.forwarded += link.forward(self.voter_addresses[link.voter]);
        }
    }
}

/// One relay per pair of front and voter. A single thread serves all of them, and ends when this is dropped.
pub struct Relays {
    shared: Arc<Mutex<Shared>>,
    /// Address of the relay, by front and voter.
    addresses: Vec<Vec<SocketAddr>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    /// Starts relays without faults.
    pub fn start(fronts: usize, voters: usize, seed: u64) -> Relays {
        let mut links = Vec::new();
        let mut addresses = Vec::new();
        for front in 0..fronts {
            let of_front: Vec<Link> = (0..voters).map(|voter| Link::start(front, voter)).collect();
            addresses.push(of_front.iter().map(|link| link.front_side.local_addr().unwrap()).collect());
            links.extend(of_front);
        }
        let shared = Arc::new(Mutex::new(Shared {
            links,
            voter_addresses: vec![None; voters],
            rng: fastrand::Rng::with_seed(seed),
            forwarded: 0,
        }));
        let ending = Arc::new(AtomicBool::new(false));
        let (of_thread, is_ending) = (shared.clone(), ending.clone());
        let thread = std::thread::spawn(move || {
            while !is_ending.load(Ordering::Relaxed) {
                of_thread.lock().unwrap().round();
                std::thread::sleep(ROUND_INTERVAL);
            }
        });
        Relays { shared, addresses, ending, thread: Some(thread) }
    }

    /// Address of the relay that a front uses to reach a voter.
    pub fn address(&self, front: usize, voter: usize) -> SocketAddr {
        self.addresses[front][voter]
    }

    /// Sets the address at which a voter's current process listens.
    pub fn set_voter_address(&self, voter: usize, address: SocketAddr) {
        self.shared.lock().unwrap().voter_addresses[voter] = Some(address);
    }

    /// Sets the faults of all links for which `affects(front, voter)` holds.
    pub fn set_faults(&self, affects: impl Fn(usize, usize) -> bool, to_voter: Faults, to_front: Faults) {
        for link in &mut self.shared.lock().unwrap().links {
            if affects(link.front, link.voter) {
                link.to_voter = to_voter;
                link.to_front = to_front;
            }
        }
    }

    /// Clears the faults of all links.
    pub fn clear_faults(&self) {
        self.set_faults(|_, _| true, Faults::default(), Faults::default());
    }

    /// Datagrams forwarded so far, including those that were dropped for lack of a known receiver.
    pub fn forwarded(&self) -> u64 {
        self.shared.lock().unwrap().forwarded
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
