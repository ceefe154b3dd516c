//! A datagram: what is said, by whom, in which order, and a tag that only who has the key can make.

use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_registers as registers;
use lemonusher_zone_failover as sites;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A datagram's bytes at most.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const TAG_BYTES: usize = 16;
/// Rows that fit a datagram.
pub const MAX_ROWS: usize = 8;

#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key")
    }
}

impl FleetKey {
    /// Of whatever a key file holds, which must be hard to guess.
    pub fn new(secret: &[u8]) -> FleetKey {
        FleetKey(blake3::derive_key("lemonusher 2026-12 talk between fronts", secret))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// A line of the table that a voter shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    pub task: String,
    #[serde(rename = "who")]
    pub holder: Incarnation,
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// How much longer the voter counts it as held.
    #[serde(rename = "left")]
    pub remaining: Duration,
}

/// A front that one sees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    pub name: String,
    pub address: SocketAddr,
    #[serde(rename = "location")]
    pub zone: u32,
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// A register as a voter has accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterRow {
    pub name: String,
    #[serde(rename = "stamp")]
    pub version: registers::EntryVersion,
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// The value's bytes.
    #[serde(rename = "long")]
    pub value_bytes: u32,
}

/// A zone in the plan that is shown; parts in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    pub state: sites::ZoneState,
    pub open_permille: u16,
    pub health: String,
    pub cores: u32,
    /// The part of its engines that answer, slow ones counted for less.
    pub answering_permille: u16,
    /// The part of what it may take that the plan fills.
    pub filled_permille: u16,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    pub requests_per_second: f32,
    pub work_seconds: f32,
    pub served_permille: u16,
    pub is_unplaceable: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    LeaseRequest(LeaseRequest),
    LeaseReply(LeaseReply),
    RegisterRequest(registers::RegisterRequest),
    RegisterReply(registers::RegisterReply),
    /// A message of the failure detector.
    FailureDetector(Vec<u8>),
    /// What a front sees of the zones.
    FrontReport(sites::FrontReport),
    /// Asks a voter for the plan, as it stands or without these zones.
    ShowPlan {
        without: Vec<u32>,
    },
    PlanShown {
        version: Option<(u64, u64)>,
        zones: Vec<ZoneRow>,
        classes: Vec<ClassRow>,
        /// Groups by number, in the order in which they are refused.
        shed_order: Vec<u8>,
    },
    /// What a front has let go of machines that are to be worked on.
    DrainConfirmations(Vec<lemonusher_maintenance::DrainConfirmation>),
    ShowMaintenance {
        request: u8,
    },
    /// A request as a front follows it (stamp, value), and why it waits, as far as the coordinator tells.
    MaintenanceShown {
        request: u8,
        stored: Option<((u64, u64), Vec<u8>)>,
        is_coordinator: bool,
        blocked_reason: Option<String>,
    },
    ShowMembers {
        after: (String, u64),
    },
    Members {
        rows: Vec<MemberRow>,
        more: bool,
    },
    ShowRegisters {
        after: String,
    },
    Registers {
        is_voting: bool,
        epoch: u64,
        rows: Vec<RegisterRow>,
        more: bool,
    },
    /// Asks a voter for what it knows to be held, after this task.
    ShowLeases {
        after: String,
    },
    Leases {
        is_silent: bool,
        rows: Vec<LeaseRow>,
        more: bool,
    },
    /// Asks that a task be handed over: by an operator of a voter, and by that of the holder.
    HandOver {
        task: String,
    },
}

/// Which part of a front a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    FailureDetector,
    Leases,
    Registers,
    /// What fronts report of zones and works.
    Reports,
    /// What operators ask, and the answers.
    Operators,
}

impl Body {
    pub fn kind(&self) -> MessageKind {
        match self {
            Body::FailureDetector(_) => MessageKind::FailureDetector,
            Body::LeaseRequest(_) | Body::LeaseReply(_) => MessageKind::Leases,
            Body::RegisterRequest(_) | Body::RegisterReply(_) => MessageKind::Registers,
            Body::FrontReport(_) | Body::DrainConfirmations(_) => MessageKind::Reports,
            _ => MessageKind::Operators,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub from: Incarnation,
    /// Counts up within an incarnation.
    pub sequence: u64,
    /// What the sender states of leases, as one number: who states other terms is not listened to.
    pub config_fingerprint: u64,
    pub body: Body,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// Not of this fleet: too short or long, or its tag is wrong.
    Unauthenticated,
    /// Of this fleet's key, but it can't be read.
    Malformed,
}

impl Frame {
    /// None if it is too long, which nothing that is sent here ever is.
    pub fn seal(&self, key: &FleetKey) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self).ok()?;
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    pub fn open(bytes: &[u8], key: &FleetKey) -> Result<Frame, OpenError> {
        let at = bytes
            .len()
            .checked_sub(TAG_BYTES)
            .filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES)
            .ok_or(OpenError::Unauthenticated)?;
        let (payload, tag) = bytes.split_at(at);
        // The comparison of two hashes takes as long wherever they differ.
        if blake3::Hash::from_bytes(padded(&key.tag(payload))) != blake3::Hash::from_bytes(padded(tag)) {
            return Err(OpenError::Unauthenticated);
        }
        postcard::from_bytes(payload).map_err(|_| OpenError::Malformed)
    }
}

fn padded(tag: &[u8]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
    padded
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_the_key_has_sealed_whole_is_opened() {
        let (key, other) = (FleetKey::new(b"a secret"), FleetKey::new(b"another"));
        let from = Incarnation { name: "n1".into(), id: 5 };
        let frame = Frame {
            from,
            sequence: 1,
            config_fingerprint: 9,
            body: Body::HandOver { task: "account".into() },
        };
        let sealed = frame.seal(&key).unwrap();
        assert_eq!(Frame::open(&sealed, &key), Ok(frame));
        assert_eq!(Frame::open(&sealed, &other), Err(OpenError::Unauthenticated));
        for place in 0..sealed.len() {
            let mut spoilt = sealed.clone();
            spoilt[place] ^= 1;
            assert_eq!(Frame::open(&spoilt, &key), Err(OpenError::Unauthenticated));
        }
        assert_eq!(Frame::open(&sealed[..3], &key), Err(OpenError::Unauthenticated));
        assert_eq!(Frame::open(&[0; 4000], &key), Err(OpenError::Unauthenticated));
    }

    #[test]
    fn a_full_table_fits_a_datagram() {
        let life = Incarnation { name: "n".repeat(40), id: u64::MAX };
        let row = LeaseRow {
            task: "t".repeat(48),
            holder: life.clone(),
            fencing_token: u64::MAX,
            remaining: Duration::MAX,
        };
        let fits = |body| {
            let frame = Frame { from: life.clone(), sequence: u64::MAX, config_fingerprint: u64::MAX, body };
            assert!(frame.seal(&FleetKey::new(b"k")).is_some());
        };
        fits(Body::Leases { is_silent: false, rows: vec![row; MAX_ROWS], more: true });
        let stamp = registers::EntryVersion { epoch: u64::MAX, counter: u64::MAX };
        let row = RegisterRow {
            name: "r".repeat(48),
            version: stamp,
            fencing_token: u64::MAX,
            value_bytes: u32::MAX,
        };
        fits(Body::Registers { is_voting: true, epoch: u64::MAX, rows: vec![row; MAX_ROWS], more: true });
        let address = "[ffff:ffff::ffff]:65535".parse().unwrap();
        let row = MemberRow { name: "n".repeat(64), address, zone: u32::MAX, incarnation: u64::MAX };
        fits(Body::Members { rows: vec![row; MAX_ROWS], more: true });
        let ballot = lemonusher_leases::Ballot { round: u64::MAX, proposer: u64::MAX };
        let entry = registers::Entry {
            version: stamp,
            fencing_token: u64::MAX,
            value: vec![1; registers::MAX_VALUE_BYTES],
        };
        let row = registers::RegisterState {
            name: "r".repeat(48),
            promised: ballot,
            accepted: Some(registers::AcceptedEntry { ballot, entry }),
        };
        fits(Body::RegisterReply(registers::RegisterReply::StateCopy {
            round: u64::MAX,
            incarnation: u64::MAX,
            without_memory: false,
            epoch: u64::MAX,
            registers: vec![row],
            more: true,
        }));
        let entry = registers::Entry {
            version: stamp,
            fencing_token: u64::MAX,
            value: vec![1; registers::MAX_VALUE_BYTES],
        };
        let row = registers::ChangedRegister { name: "r".repeat(48), ballot, entry };
        fits(Body::RegisterReply(registers::RegisterReply::Changes(registers::Changes {
            incarnation: u64::MAX,
            since: u64::MAX,
            revision: u64::MAX,
            registers: vec![row],
            more: true,
        })));
        fits(Body::FailureDetector(vec![1; lemonusher_failure_detector::MAX_MESSAGE_BYTES]));
        let sight = sites::ZoneStats {
            zone: 15,
            listed: u16::MAX,
            cores: u32::MAX,
            answering: u16::MAX,
            silent: u16::MAX,
            returned: 1 << 20,
            slow: 1 << 20,
            failed: 1 << 20,
        };
        let demand = sites::Demand { rate: 1e9, work: 1e9 };
        fits(Body::FrontReport(sites::FrontReport {
            zone: 15,
            zones: vec![sight; sites::MAX_ZONES],
            demand: vec![demand; sites::MAX_CLASSES],
        }));
        let let_go =
            lemonusher_maintenance::DrainConfirmation { request: 15, version: stamp, machine: u32::MAX };
        fits(Body::DrainConfirmations(vec![let_go; 32]));
        let work = Some(((u64::MAX, u64::MAX), vec![1; registers::MAX_VALUE_BYTES]));
        fits(Body::MaintenanceShown {
            request: 15,
            stored: work,
            is_coordinator: true,
            blocked_reason: Some("w".repeat(160)),
        });
        let (state, finding) = (sites::ZoneState::Recovering, "CutOff".to_owned());
        let site = ZoneRow {
            state,
            open_permille: 1000,
            health: finding,
            cores: u32::MAX,
            answering_permille: 1000,
            filled_permille: 1000,
        };
        let group = ClassRow {
            requests_per_second: 1e9,
            work_seconds: 1e9,
            served_permille: 1000,
            is_unplaceable: true,
        };
        fits(Body::PlanShown {
            version: Some((u64::MAX, u64::MAX)),
            zones: vec![site; sites::MAX_ZONES],
            classes: vec![group; sites::MAX_CLASSES],
            shed_order: vec![63; sites::MAX_CLASSES],
        });
    }
}
