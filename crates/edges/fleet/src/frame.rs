//! A datagram: what is said, by whom, in which order, and a tag that only who has the key can make.

use lemonusher_leases::{Incarnation, LeaseReply, LeaseRequest};
use lemonusher_registers as registers;
use lemonusher_zone_failover as sites;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A datagram's bytes at most.
pub const LONGEST: usize = 1200;
const TAG: usize = 16;
/// Rows that fit a datagram.
pub const ROWS: usize = 8;

#[derive(Clone)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Of whatever a key file holds, which must be hard to guess.
    pub fn new(secret: &[u8]) -> Key {
        Key(blake3::derive_key("lemonusher 2026-12 talk between fronts", secret))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..TAG]);
        tag
    }
}

/// A line of the table that a voter shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub task: String,
    pub who: Incarnation,
    pub number: u64,
    /// How much longer the voter counts it as held.
    pub left: Duration,
}

/// A front that one sees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    pub name: String,
    pub address: SocketAddr,
    pub location: u32,
    pub born: u64,
}

/// A register as a voter has accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterRow {
    pub name: String,
    pub stamp: registers::EntryVersion,
    pub number: u64,
    /// The value's bytes.
    pub long: u32,
}

/// A zone in the plan that is shown; parts in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanSite {
    pub state: sites::ZoneState,
    pub open: u16,
    pub finding: String,
    pub cores: u32,
    /// The part of its engines that answer, slow ones counted for less.
    pub part: u16,
    /// The part of what it may take that the plan fills.
    pub filled: u16,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanGroup {
    pub rate: f32,
    pub work: f32,
    pub served: u16,
    pub nowhere: bool,
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
        epoch: Option<(u64, u64)>,
        sites: Vec<PlanSite>,
        groups: Vec<PlanGroup>,
        /// Groups by number, in the order in which they are refused.
        refused_first: Vec<u8>,
    },
    /// What a front has let go of machines that are to be worked on.
    DrainConfirmations(Vec<lemonusher_maintenance::DrainConfirmation>),
    ShowMaintenance {
        number: u8,
    },
    /// A request as a front follows it (stamp, value), and why it waits, as far as the coordinator tells.
    MaintenanceShown {
        number: u8,
        work: Option<((u64, u64), Vec<u8>)>,
        foreman: bool,
        why: Option<String>,
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
        votes: bool,
        era: u64,
        rows: Vec<RegisterRow>,
        more: bool,
    },
    /// Asks a voter for what it knows to be held, after this task.
    ShowLeases {
        after: String,
    },
    Leases {
        mute: bool,
        rows: Vec<Row>,
        more: bool,
    },
    /// Asks that a task be handed over: by an operator of a voter, and by that of the holder.
    HandOver {
        task: String,
    },
}

/// Which part of a front a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    FailureDetector,
    Leases,
    Registers,
    /// What fronts report of zones and works.
    Reports,
    /// What operators ask, and the answers.
    Operators,
}

impl Body {
    pub fn kind(&self) -> Kind {
        match self {
            Body::FailureDetector(_) => Kind::FailureDetector,
            Body::LeaseRequest(_) | Body::LeaseReply(_) => Kind::Leases,
            Body::RegisterRequest(_) | Body::RegisterReply(_) => Kind::Registers,
            Body::FrontReport(_) | Body::DrainConfirmations(_) => Kind::Reports,
            _ => Kind::Operators,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub from: Incarnation,
    /// Counts up within an incarnation.
    pub seq: u64,
    /// What the sender states of leases, as one number: who states other terms is not listened to.
    pub terms: u64,
    pub body: Body,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfit {
    /// Not of this fleet: too short or long, or its tag is wrong.
    Foreign,
    /// Of this fleet's key, but it can't be read.
    Malformed,
}

impl Frame {
    /// None if it is too long, which nothing that is sent here ever is.
    pub fn seal(&self, key: &Key) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self).ok()?;
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        (bytes.len() <= LONGEST).then_some(bytes)
    }

    pub fn open(bytes: &[u8], key: &Key) -> Result<Frame, Unfit> {
        let at = bytes.len().checked_sub(TAG).filter(|_| bytes.len() <= LONGEST).ok_or(Unfit::Foreign)?;
        let (said, tag) = bytes.split_at(at);
        // The comparison of two hashes takes as long wherever they differ.
        if blake3::Hash::from_bytes(wide(&key.tag(said))) != blake3::Hash::from_bytes(wide(tag)) {
            return Err(Unfit::Foreign);
        }
        postcard::from_bytes(said).map_err(|_| Unfit::Malformed)
    }
}

fn wide(tag: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..TAG].copy_from_slice(&tag[..TAG]);
    wide
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_the_key_has_sealed_whole_is_opened() {
        let (key, other) = (Key::new(b"a secret"), Key::new(b"another"));
        let from = Incarnation { name: "n1".into(), id: 5 };
        let frame = Frame { from, seq: 1, terms: 9, body: Body::HandOver { task: "account".into() } };
        let sealed = frame.seal(&key).unwrap();
        assert_eq!(Frame::open(&sealed, &key), Ok(frame));
        assert_eq!(Frame::open(&sealed, &other), Err(Unfit::Foreign));
        for place in 0..sealed.len() {
            let mut spoilt = sealed.clone();
            spoilt[place] ^= 1;
            assert_eq!(Frame::open(&spoilt, &key), Err(Unfit::Foreign));
        }
        assert_eq!(Frame::open(&sealed[..3], &key), Err(Unfit::Foreign));
        assert_eq!(Frame::open(&[0; 4000], &key), Err(Unfit::Foreign));
    }

    #[test]
    fn a_full_table_fits_a_datagram() {
        let life = Incarnation { name: "n".repeat(40), id: u64::MAX };
        let row = Row { task: "t".repeat(48), who: life.clone(), number: u64::MAX, left: Duration::MAX };
        let fits = |body| {
            let frame = Frame { from: life.clone(), seq: u64::MAX, terms: u64::MAX, body };
            assert!(frame.seal(&Key::new(b"k")).is_some());
        };
        fits(Body::Leases { mute: false, rows: vec![row; ROWS], more: true });
        let stamp = registers::EntryVersion { epoch: u64::MAX, counter: u64::MAX };
        let row = RegisterRow { name: "r".repeat(48), stamp, number: u64::MAX, long: u32::MAX };
        fits(Body::Registers { votes: true, era: u64::MAX, rows: vec![row; ROWS], more: true });
        let address = "[ffff:ffff::ffff]:65535".parse().unwrap();
        let row = MemberRow { name: "n".repeat(64), address, location: u32::MAX, born: u64::MAX };
        fits(Body::Members { rows: vec![row; ROWS], more: true });
        let ballot = lemonusher_leases::Ballot { round: u64::MAX, proposer: u64::MAX };
        let entry = registers::Entry {
            version: stamp,
            fencing_token: u64::MAX,
            value: vec![1; registers::MAX_VALUE_BYTES],
        };
        let row = registers::RegisterState {
            name: "r".repeat(48),
            promised: ballot,
            accepted: Some((ballot, entry)),
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
        fits(Body::MaintenanceShown { number: 15, work, foreman: true, why: Some("w".repeat(160)) });
        let (state, finding) = (sites::ZoneState::Recovering, "CutOff".to_owned());
        let site = PlanSite { state, open: 1000, finding, cores: u32::MAX, part: 1000, filled: 1000 };
        let group = PlanGroup { rate: 1e9, work: 1e9, served: 1000, nowhere: true };
        fits(Body::PlanShown {
            epoch: Some((u64::MAX, u64::MAX)),
            sites: vec![site; sites::MAX_ZONES],
            groups: vec![group; sites::MAX_CLASSES],
            refused_first: vec![63; sites::MAX_CLASSES],
        });
    }
}
