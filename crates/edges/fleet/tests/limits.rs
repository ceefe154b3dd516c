//! Tests of the limits of datagrams and tables: 1,025 members, a maintenance request of maximum size, and one
//! register per maintenance request.

use lemonusher_failure_detector::{DetectorConfig, FailureDetector, Member};
use lemonusher_fleet::*;
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig};
use lemonusher_maintenance::{
    MAX_CONCURRENT, MAX_FRONTS, MAX_MACHINES, MAX_NAME_BYTES, MAX_REQUESTS, MaintenanceRequest, Phase,
};
use lemonusher_registers::{
    Changes, Entry, EntryVersion, MAX_REGISTERS, MAX_VALUE_BYTES, RegisterReply, RegisterRequest,
};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(300);
/// Number of members that are announced before a reply is awaited.
const MEMBERS_PER_REPLY: usize = 64;
/// Maximum number of times that a request is sent, as datagrams may be lost.
const MAX_SENDS: usize = 20;
const LOCAL: &str = "127.0.0.1:0";

/// Starts three voters on this machine.
fn voters() -> Vec<FleetHandle> {
    let sockets: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind(LOCAL).unwrap()).collect();
    let addresses: Vec<SocketAddr> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    drop(sockets);
    (0..3).map(|index| start(config(index, &addresses)).unwrap()).collect()
}

fn config(index: usize, voters: &[SocketAddr]) -> FleetConfig {
    let leases =
        LeaseConfig { duration: LEASE, clock_drift_permille: 20, max_action_time: Duration::from_millis(10) };
    FleetConfig {
        name: format!("voter {index}"),
        listen: voters[index],
        key: FleetKey::new(b"a key of a test"),
        leases,
        voters: voters.to_vec(),
        is_voter: true,
        voter_index: Some(index),
        advertised_address: None,
        zone: 0,
        state_folder: None,
        tasks: Vec::new(),
        quota_slots: 0,
        wanted_slots: 0,
        first_slot: 0,
        zone_failover: None,
        maintenance: None,
    }
}

/// A client that has the fleet's key.
struct Client {
    socket: UdpSocket,
    sequence: u64,
    config_fingerprint: u64,
}

impl Client {
    fn new() -> Client {
        let socket = UdpSocket::bind(LOCAL).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let address = socket.local_addr().unwrap();
        Client { socket, sequence: 0, config_fingerprint: config_fingerprint(&config(0, &[address; 3])) }
    }

    fn send(&mut self, body: Body, to: SocketAddr) {
        self.sequence += 1;
        let from = Incarnation { name: "speaker".to_owned(), id: 5 };
        let frame =
            Frame { from, sequence: self.sequence, config_fingerprint: self.config_fingerprint, body };
        let sealed = frame.seal(&FleetKey::new(b"a key of a test")).expect("too long for a datagram");
        self.socket.send_to(&sealed, to).unwrap();
    }

    /// Requests a page of members after a cursor. Returns the rows and whether there are more. Sends the
    /// request again if a voter on a busy machine does not reply in time.
    fn members(&mut self, after: MemberCursor, voter: SocketAddr) -> (Vec<MemberRow>, bool) {
        for _ in 0..MAX_SENDS {
            self.send(Body::ShowMembers { after: after.clone() }, voter);
            if let Some(Body::Members { rows, more }) = self.receive() {
                return (rows, more);
            }
        }
        panic!("no reply with the members after {after:?}")
    }

    /// Requests what a voter has accepted since a revision of an incarnation. Sends the request again if a
    /// voter on a busy machine does not reply in time.
    fn changes(&mut self, (incarnation, since): (u64, u64), voter: SocketAddr) -> Changes {
        for _ in 0..MAX_SENDS {
            self.send(
                Body::RegisterRequest(RegisterRequest::ChangesSince { incarnation, revision: since }),
                voter,
            );
            if let Some(Body::RegisterReply(RegisterReply::Changes(changes))) = self.receive() {
                return changes;
            }
        }
        panic!("no reply with the changes since {since}")
    }

    fn receive(&self) -> Option<Body> {
        let mut bytes = [0; 2048];
        let (value_bytes, _) = self.socket.recv_from(&mut bytes).ok()?;
        Frame::open(&bytes[..value_bytes], &FleetKey::new(b"a key of a test")).ok().map(|frame| frame.body)
    }
}

#[test]
fn a_full_request_fits_a_register_and_one_machine_more_is_split_off() {
    let fronts: Vec<String> = (0..MAX_FRONTS).map(|front| format!("front-{front:06}")).collect();
    let machines: Vec<u32> = (0..=MAX_MACHINES as u32).map(|n| u32::MAX - n).collect();
    let full = |machines: &[u32]| {
        let mut request =
            MaintenanceRequest::new(&"w".repeat(MAX_NAME_BYTES), 9, MAX_CONCURRENT, u32::MAX, machines);
        fronts.iter().for_each(|front| assert!(request.extension.dead_fronts.add(&fronts, front)));
        request
            .machines
            .iter_mut()
            .for_each(|machine| machine.phase = Phase::Released { fencing_token: u64::MAX });
        request.split(u64::MAX)
    };
    let value_bytes: Vec<usize> = full(&machines).iter().map(|part| part.to_bytes().len()).collect();
    assert_eq!(value_bytes.len(), 2, "{value_bytes:?}");
    assert!(value_bytes.iter().all(|value_bytes| *value_bytes <= MAX_VALUE_BYTES), "{value_bytes:?}");
    assert!(full(&machines[1..]).len() == 1 && MAX_REQUESTS < MAX_REGISTERS);
}

#[test]
fn a_front_shows_1025_members_page_by_page() {
    let (voters, mut client) = (voters(), Client::new());
    let voter = voters[0].address;
    for n in 1..=1025 {
        let address = SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 9));
        let local = Member { name: format!("n{n}"), address, incarnation: n as u64, zone: 0, refutations: 0 };
        let mut detector = FailureDetector::new(local, DetectorConfig { probe_interval: LEASE }, n as u64);
        detector.add_seed(Duration::ZERO, voter);
        let messages: Vec<Vec<u8>> =
            detector.take_outgoing().into_iter().map(|datagram| datagram.bytes).collect();
        messages.into_iter().for_each(|bytes| client.send(Body::FailureDetector(bytes), voter));
        if n % MEMBERS_PER_REPLY == 0 {
            // Once this request has a reply, the voter has read all earlier datagrams, so the socket's receive
            // buffer does not overflow.
            client.members(MemberCursor::default(), voter);
        }
    }
    let (mut after, mut seen) = (MemberCursor::default(), BTreeSet::new());
    loop {
        let (rows, more) = client.members(after.clone(), voter);
        seen.extend(rows.iter().map(|row| row.name.clone()));
        let Some(last) = rows.last().filter(|_| more) else { break };
        after = last.cursor();
    }
    // The members never reply to probes, so they are declared as left one after the other, some of them while
    // the pages are read.
    assert!(seen.len() > 1000, "{} of 1025", seen.len());
}

#[test]
fn many_registers_change_in_few_datagrams_and_then_in_one_each_way() {
    let (voters, mut client) = (voters(), Client::new());
    let voter = voters[0].address;
    let is_voting = |client: &mut Client| {
        client.send(Body::ShowRegisters { after: String::new() }, voter);
        matches!(client.receive(), Some(Body::Registers { is_voting: true, .. })) || {
            std::thread::sleep(LEASE / 10);
            false
        }
    };
    assert!((0..200).any(|_| is_voting(&mut client)), "the voter does not begin to vote");
    let names: BTreeSet<String> = (0..MAX_REQUESTS as u8).map(maintenance_register).collect();
    let ballot = Ballot { round: 1, proposer: 5 };
    for name in &names {
        let entry = Entry {
            version: EntryVersion { epoch: u64::MAX, counter: 1 },
            fencing_token: 1,
            value: vec![7; 20],
        };
        client.send(
            Body::RegisterRequest(RegisterRequest::Accept { name: name.clone(), ballot, entry }),
            voter,
        );
        assert!(matches!(client.receive(), Some(Body::RegisterReply(RegisterReply::Accepted { .. }))));
    }
    let (mut known, mut shown, mut datagrams) = ((0, 0), BTreeSet::new(), 0);
    loop {
        let changes = client.changes(known, voter);
        datagrams += 1;
        shown.extend(changes.registers.into_iter().map(|row| row.name));
        known = (changes.incarnation, changes.revision);
        if !changes.more {
            break;
        }
    }
    assert_eq!(shown, names);
    assert!(datagrams <= 8, "{datagrams} datagrams");
    let changes = client.changes(known, voter);
    assert!(changes.registers.is_empty() && !changes.more, "{changes:?}");
}
