//! Tests of compatibility with the version before types and fields were renamed (commit ad164c9). The fixtures
//! are datagrams and files that this earlier version wrote. Each is still decoded, field by field, and the
//! same values are still encoded to the same bytes.

use lemonusher_failure_detector::{DetectorConfig, FailureDetector, GossipRecord, Member};
use lemonusher_fleet::*;
use lemonusher_leases::{Ballot, Incarnation, LeaseReply, LeaseRequest};
use lemonusher_maintenance::DrainConfirmation;
use lemonusher_registers::{
    AcceptedEntry, ChangedRegister, Changes, Entry, EntryVersion, PersistentState, RegisterReply,
    RegisterRequest, RegisterState,
};
use lemonusher_zone_failover::{Demand, FrontReport, OperatorOverride, ZoneState, ZoneStats};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The sender's configuration fingerprint in all datagrams.
const CONFIG_FINGERPRINT: u64 = 0x0123_4567_89ab_cdef;

fn key() -> FleetKey {
    FleetKey::new(b"a key of a fixture")
}

fn front() -> Incarnation {
    Incarnation { name: "front 7".to_owned(), id: 0xfeed_0000_0000_0007 }
}

fn other() -> Incarnation {
    Incarnation { name: "other".to_owned(), id: 300 }
}

fn ballot() -> Ballot {
    Ballot { round: 129, proposer: 0xfeed_0000_0000_0007 }
}

fn entry() -> Entry {
    let version = EntryVersion { epoch: 1_000_001, counter: 200 };
    Entry { version, fencing_token: 70_000, value: vec![0, 1, 2, 253, 254, 255] }
}

fn state(name: &str, accepted: bool) -> RegisterState {
    let promised = Ballot { round: 130, proposer: 5 };
    RegisterState {
        name: name.to_owned(),
        promised,
        accepted: accepted.then(|| AcceptedEntry { ballot: ballot(), entry: entry() }),
    }
}

fn lease_bodies() -> Vec<(&'static str, Body)> {
    let (task, ballot, client) = ("account".to_owned(), ballot(), front());
    let remaining = Duration::new(2, 345_678_901);
    vec![
        (
            "lease prepare",
            Body::LeaseRequest(LeaseRequest::Prepare { task: task.clone(), ballot, client: client.clone() }),
        ),
        (
            "lease accept",
            Body::LeaseRequest(LeaseRequest::Accept {
                task: task.clone(),
                ballot,
                client: client.clone(),
                fencing_token: 1001,
            }),
        ),
        (
            "lease release",
            Body::LeaseRequest(LeaseRequest::Release { task: task.clone(), client, fencing_token: 1002 }),
        ),
        (
            "lease promise",
            Body::LeaseReply(LeaseReply::Promise { task: task.clone(), ballot, fencing_token: 1003 }),
        ),
        ("lease accepted", Body::LeaseReply(LeaseReply::Accepted { task: task.clone(), ballot })),
        (
            "lease held",
            Body::LeaseReply(LeaseReply::Held {
                task: task.clone(),
                ballot,
                holder: other(),
                fencing_token: 1004,
                remaining,
            }),
        ),
        ("lease stale", Body::LeaseReply(LeaseReply::StaleBallot { task: task.clone(), ballot, round: 131 })),
        ("lease silent", Body::LeaseReply(LeaseReply::Silent { task, ballot, remaining })),
    ]
}

fn register_requests() -> Vec<(&'static str, Body)> {
    let (name, ballot) = ("sites".to_owned(), ballot());
    let known = Some(EntryVersion { epoch: 9, counter: 500 });
    vec![
        ("register prepare", Body::RegisterRequest(RegisterRequest::Prepare { name: name.clone(), ballot })),
        (
            "register accept",
            Body::RegisterRequest(RegisterRequest::Accept { name: name.clone(), ballot, entry: entry() }),
        ),
        ("register read", Body::RegisterRequest(RegisterRequest::Read { name: name.clone(), known })),
        ("register copy", Body::RegisterRequest(RegisterRequest::CopyState { round: 3, after: name })),
        (
            "register changes",
            Body::RegisterRequest(RegisterRequest::ChangesSince { incarnation: 777, revision: 888 }),
        ),
    ]
}

fn register_replies() -> Vec<(&'static str, Body)> {
    let (name, ballot) = ("sites".to_owned(), ballot());
    let version = entry().version;
    let changed = ChangedRegister { name: "works.3".to_owned(), ballot, entry: entry() };
    let changes =
        Changes { incarnation: 777, since: 888, revision: 999, registers: vec![changed], more: true };
    let copy = RegisterReply::StateCopy {
        round: 3,
        incarnation: 777,
        without_memory: false,
        epoch: 1_000_001,
        registers: vec![state("a", true), state("b", false)],
        more: true,
    };
    vec![
        (
            "register promise",
            Body::RegisterReply(RegisterReply::Promise {
                name: name.clone(),
                ballot,
                epoch: 1_000_001,
                accepted: Some(AcceptedEntry { ballot, entry: entry() }),
            }),
        ),
        ("register accepted", Body::RegisterReply(RegisterReply::Accepted { name: name.clone(), ballot })),
        (
            "register stale",
            Body::RegisterReply(RegisterReply::StaleBallot { name: name.clone(), ballot, round: 132 }),
        ),
        ("register silent", Body::RegisterReply(RegisterReply::Silent { name: name.clone(), ballot })),
        (
            "register value",
            Body::RegisterReply(RegisterReply::Value {
                name: name.clone(),
                ballot,
                version,
                entry: Some(entry()),
            }),
        ),
        ("register not found", Body::RegisterReply(RegisterReply::NotFound { name })),
        ("register state copy", Body::RegisterReply(copy)),
        ("register changed", Body::RegisterReply(RegisterReply::Changes(changes))),
    ]
}

fn report_bodies() -> Vec<(&'static str, Body)> {
    let stats = ZoneStats {
        zone: 2,
        listed: 300,
        cores: 70_000,
        answering: 290,
        silent: 10,
        returned: 100_001,
        slow: 201,
        failed: 202,
    };
    let report = FrontReport { zone: 1, zones: vec![stats], demand: vec![Demand { rate: 12.5, work: 0.25 }] };
    let confirmation = DrainConfirmation {
        request: 3,
        version: EntryVersion { epoch: 1_000_001, counter: 200 },
        machine: 0x0a00_0007,
    };
    vec![
        ("failure detector", Body::FailureDetector(vec![9, 8, 7, 255])),
        ("front report", Body::FrontReport(report)),
        ("drain confirmations", Body::DrainConfirmations(vec![confirmation])),
    ]
}

fn plan_shown() -> Body {
    let states = [
        ZoneState::Up,
        ZoneState::Suspected,
        ZoneState::Lost,
        ZoneState::Partitioned,
        ZoneState::Probing,
        ZoneState::Recovering,
        ZoneState::Disabled,
    ];
    let zone = |state| ZoneRow {
        state,
        open_permille: 501,
        health: "CutOff".to_owned(),
        cores: 70_001,
        answering_permille: 502,
        filled_permille: 503,
    };
    Body::PlanShown {
        version: Some(entry().version),
        zones: states.into_iter().map(zone).collect(),
        classes: vec![ClassRow {
            requests_per_second: 1.5,
            work_seconds: 2.5,
            served_permille: 504,
            is_unplaceable: true,
        }],
        shed_order: vec![2, 0, 1],
    }
}

fn operator_bodies() -> Vec<(&'static str, Body)> {
    let address: SocketAddr = "[2001:db8::1]:65535".parse().expect("an address");
    let member = MemberRow { name: "front 8".to_owned(), address, zone: 301, incarnation: 0xabcd_ef01 };
    let register = RegisterRow {
        name: "sites".to_owned(),
        version: entry().version,
        fencing_token: 70_000,
        value_bytes: 859,
    };
    let lease = LeaseRow {
        task: "account".to_owned(),
        holder: other(),
        fencing_token: 1005,
        remaining: Duration::new(1, 999),
    };
    let shown = Body::MaintenanceShown {
        request: 4,
        stored: Some(StoredRequest { version: entry().version, value: vec![1, 2, 3] }),
        is_coordinator: true,
        blocked_reason: Some("0a000007: a reason".to_owned()),
    };
    vec![
        ("show plan", Body::ShowPlan { without: vec![1, 300] }),
        ("plan shown", plan_shown()),
        ("show maintenance", Body::ShowMaintenance { request: 4 }),
        ("maintenance shown", shown),
        (
            "show members",
            Body::ShowMembers { after: MemberCursor { name: "front 6".to_owned(), incarnation: 299 } },
        ),
        ("members", Body::Members { rows: vec![member], more: true }),
        ("show registers", Body::ShowRegisters { after: "a".to_owned() }),
        (
            "registers",
            Body::Registers { is_voting: true, epoch: 1_000_001, rows: vec![register], more: false },
        ),
        ("show leases", Body::ShowLeases { after: "b".to_owned() }),
        ("leases", Body::Leases { is_silent: false, rows: vec![lease], more: true }),
        ("hand over", Body::HandOver { task: "account".to_owned() }),
    ]
}

/// One frame for each kind of body, requests and replies.
fn frames() -> Vec<(&'static str, Frame)> {
    let bodies =
        [lease_bodies(), register_requests(), register_replies(), report_bodies(), operator_bodies()];
    let numbered = bodies.into_iter().flatten().zip(1000..);
    numbered
        .map(|((name, body), sequence)| {
            (name, Frame { from: front(), sequence, config_fingerprint: CONFIG_FINGERPRINT, body })
        })
        .collect()
}

fn registers() -> PersistentState {
    PersistentState { epoch: 1_000_001, registers: vec![state("sites", true), state("works.0", false)] }
}

fn overrides() -> Vec<OperatorOverride> {
    vec![
        OperatorOverride::Auto,
        OperatorOverride::Disable,
        OperatorOverride::Drill,
        OperatorOverride::HoldRecovery,
        OperatorOverride::FastRecovery,
    ]
}

fn member(n: u16) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 9000 + n));
    Member { name: format!("front {n}"), address, incarnation: 1000 + u64::from(n), zone: 2, refutations: 0 }
}

/// The messages that two failure detectors with fixed seeds exchange while they discover each other and one
/// publishes a gossip record.
fn detector_messages() -> Vec<Vec<u8>> {
    let config = DetectorConfig { probe_interval: Duration::from_millis(500) };
    let detector = |n: u16| FailureDetector::new(member(n), config, u64::from(n));
    let mut pair = [detector(0), detector(1)];
    pair[0].add_seed(Duration::ZERO, member(1).address);
    pair[0].publish(GossipRecord {
        requests_per_second: 301,
        ejected_engines: vec![5, 700],
        desired_state_version: 70_000,
    });
    let mut messages = Vec::new();
    for step in 0..60 {
        let now = Duration::from_millis(50) * step;
        for from in 0..2 {
            pair[from].poll(now);
            let sent: Vec<Vec<u8>> =
                pair[from].take_outgoing().into_iter().map(|datagram| datagram.bytes).collect();
            sent.iter().for_each(|bytes| pair[1 - from].handle_datagram(now, bytes));
            messages.extend(sent);
        }
    }
    messages
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// The lines of a fixture, each `name: bytes` with the bytes in hexadecimal.
fn lines(name: &str) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(fixture(name)).expect("a fixture");
    let line = |line: &str| {
        let (name, bytes) = line.split_once(": ").expect("a name and its bytes");
        (name.to_owned(), from_hex(bytes))
    };
    text.lines().map(line).collect()
}

#[test]
fn datagrams_of_the_earlier_version_are_read_field_by_field() {
    let stored = lines("datagrams.txt");
    let frames = frames();
    assert_eq!(stored.len(), frames.len());
    for (name, frame) in frames {
        assert_eq!(Frame::open(&stored[name], &key()), Ok(frame), "{name}");
    }
}

#[test]
fn the_same_values_are_sealed_as_the_earlier_version_sealed_them() {
    let stored = lines("datagrams.txt");
    for (name, frame) in frames() {
        assert_eq!(frame.seal(&key()).as_ref(), Some(&stored[name]), "{name}");
    }
}

#[test]
fn files_of_the_earlier_version_are_read_and_written_alike() {
    let folder = std::env::temp_dir().join(format!("lemonusher-earlier-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for file in ["fleet-number", "fleet-registers"] {
        std::fs::copy(fixture(file), folder.join(file)).unwrap();
    }
    let disk = StateFolder::open(&folder).unwrap();
    assert_eq!((disk.token_floor(), disk.registers()), (Some(70_000 + 1000), Some(registers())));
    std::fs::remove_dir_all(&folder).unwrap();
    let mut disk = StateFolder::open(&folder).unwrap();
    disk.store_token(70_000).unwrap();
    disk.store_registers(registers()).unwrap();
    for file in ["fleet-number", "fleet-registers"] {
        assert_eq!(
            std::fs::read(folder.join(file)).unwrap(),
            std::fs::read(fixture(file)).unwrap(),
            "{file}"
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn operator_overrides_of_the_earlier_version_are_read_and_written_alike() {
    let stored = &lines("values.txt")["operator overrides"];
    assert_eq!(decode_overrides(stored), overrides());
    assert_eq!(&encode_overrides(&overrides()), stored);
}

/// The JSON that commands print for a body; none for a body that is not printed as JSON.
fn shown(body: &Body) -> Option<String> {
    let json = match body {
        Body::Members { rows, .. } => serde_json::to_string(rows),
        Body::Registers { rows, .. } => serde_json::to_string(rows),
        Body::Leases { rows, .. } => serde_json::to_string(rows),
        Body::PlanShown { zones, .. } => {
            serde_json::to_string(&zones.iter().map(|zone| zone.state).collect::<Vec<_>>())
        }
        _ => return None,
    };
    json.ok()
}

#[test]
fn rows_are_printed_as_json_as_the_earlier_version_printed_them() {
    let shown =
        frames().into_iter().filter_map(|(name, frame)| Some(format!("{name}: {}\n", shown(&frame.body)?)));
    assert_eq!(shown.collect::<String>(), std::fs::read_to_string(fixture("shown.txt")).unwrap());
}

#[test]
fn the_failure_detector_sends_what_the_earlier_version_sent() {
    let stored: Vec<Vec<u8>> = lines("detector.txt").into_values().collect();
    assert!(stored.len() > 20);
    assert_eq!(detector_messages(), stored);
}
