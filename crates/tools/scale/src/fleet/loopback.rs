//! A fleet of simulated fronts that exchange real UDP datagrams over loopback, driven by one thread.

use super::hollow::{Hollow, Start};
use super::network::Place;
use super::setup::{Setup, key};
use super::traffic::Traffic;
use lemonusher_fleet::{ClusterStats, FleetKey, Frame, Message};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two sweeps over all sockets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1);
const MAX_DATAGRAM_BYTES: usize = 2048;

struct Member {
    hollow: Hollow,
    socket: UdpSocket,
    next_timeout: Duration,
}

/// Simulated fronts with sockets on loopback.
pub struct Loopback {
    members: Vec<Member>,
    clock: Instant,
    key: FleetKey,
}

impl Loopback {
    /// Starts the first `hollow` fronts of a fleet. Its other fronts may run elsewhere, with the same voters.
    pub fn start(setup: &Setup, hollow: usize) -> io::Result<Loopback> {
        let sockets: Vec<UdpSocket> =
            (0..hollow).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let voters: Vec<SocketAddr> = addresses.iter().take(setup.voters).copied().collect();
        let mut members = Vec::new();
        for (front, (socket, address)) in sockets.into_iter().zip(addresses).enumerate() {
            socket.set_nonblocking(true)?;
            let start = Start {
                setup,
                front,
                address,
                voters: voters.clone(),
                location: Place::of(front).zone,
                now: Duration::ZERO,
                incarnation: fastrand::u64(1..),
                seed: fastrand::u64(..),
            };
            members.push(Member { hollow: Hollow::new(start), socket, next_timeout: Duration::ZERO });
        }
        Ok(Loopback { members, clock: Instant::now(), key: key() })
    }

    /// The voters' addresses.
    pub fn voters(&self, voters: usize) -> Vec<SocketAddr> {
        self.members.iter().take(voters).map(|member| member.hollow.address()).collect()
    }

    /// Drives all fronts for `span`; returns the greatest lateness of a sweep.
    pub fn run_for(&mut self, span: Duration) -> Duration {
        let until = self.clock.elapsed() + span;
        let (mut last, mut latest) = (self.clock.elapsed(), Duration::ZERO);
        while self.clock.elapsed() < until {
            for member in &mut self.members {
                member.drive(self.clock, &self.key);
            }
            thread::sleep(SWEEP_INTERVAL);
            let now = self.clock.elapsed();
            latest = latest.max(now.saturating_sub(last + SWEEP_INTERVAL));
            last = now;
        }
        latest
    }

    /// The number of simulated fronts.
    pub fn fronts(&self) -> usize {
        self.members.len()
    }

    /// Passes all fronts the zone observations that requests would have produced.
    pub fn observe_zones(&self) {
        self.members.iter().for_each(|member| member.hollow.observe_zones());
    }

    /// Messages and bytes that a front has sent and received.
    pub fn traffic(&self, front: usize) -> &Traffic {
        &self.members[front].hollow.traffic
    }

    /// Returns whether a front may act on a task now.
    pub fn may_act(&self, front: usize, task: &str) -> bool {
        self.members[front].hollow.may_act(self.clock.elapsed(), task)
    }

    /// Processor time of a front's state machine.
    pub fn processor(&self, front: usize) -> Duration {
        self.members[front].hollow.processor
    }

    /// The amount of fleet state that a front holds.
    pub fn census(&self, front: usize) -> ClusterStats {
        self.members[front].hollow.census(self.clock.elapsed())
    }
}

impl Member {
    fn drive(&mut self, clock: Instant, key: &FleetKey) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
            let received = &bytes[..length];
            if let Ok(frame) = Frame::open(received, key) {
                self.hollow.traffic.count_received(frame.body.kind(), length);
            }
            let sent = self.hollow.handle_datagram(clock.elapsed(), from, received);
            self.send(sent);
            self.next_timeout = self.hollow.next_timeout(clock.elapsed());
        }
        let now = clock.elapsed();
        if self.next_timeout <= now {
            let sent = self.hollow.poll(now);
            self.send(sent);
            self.next_timeout = self.hollow.next_timeout(now);
        }
    }

    fn send(&self, sent: Vec<Message>) {
        for message in sent {
            // A datagram that the socket refuses counts as lost, as on a network.
            let _ = self.socket.send_to(&message.datagram.bytes, message.datagram.to);
        }
    }
}
