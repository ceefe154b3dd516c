//! The command channel: numbered events on the list of engines, as frames and, for the start, as JSON.

use super::json::{self, Value};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const RECORD_BYTES: usize = 27;
const HEADER_BYTES: usize = 9;
/// Longest frame that is read.
pub const MAX_FRAME_BYTES: usize = 4 + HEADER_BYTES + RECORD_BYTES * 4096;

#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    pub number: u64,
    pub update: EndpointUpdate,
}

#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    Empty,
    /// The whole list.
    Full(Vec<EndpointRecord>),
    Delta(Vec<EndpointRecord>),
}

#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    pub id: u32,
    pub address: SocketAddr,
    pub state: EndpointState,
    /// Places in the lists that the deployment states; `None` for a name that is not there.
    pub zone: Option<u32>,
    pub kind: Option<u32>,
    pub cell: u32,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    Active,
    Draining,
    Removed,
}

#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryError {
    Length(usize),
    Kind(u8),
    State(u8),
    InitialList(&'static str),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiscoveryError::Length(length) => write!(f, "a frame of {length} bytes"),
            DiscoveryError::Kind(kind) => write!(f, "a frame of kind {kind}"),
            DiscoveryError::State(state) => write!(f, "a record of state {state}"),
            DiscoveryError::InitialList(what) => write!(f, "the list of the start has no usable '{what}'"),
        }
    }
}

/// What a front says first: the number of the last event that it has.
pub fn encode_resume(last: u64) -> [u8; 8] {
    last.to_be_bytes()
}

/// Cuts one frame off what has come.
pub fn parse_frame(bytes: &[u8]) -> Result<Option<(usize, Frame)>, DiscoveryError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length < HEADER_BYTES || 4 + length > MAX_FRAME_BYTES {
        return Err(DiscoveryError::Length(length));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (mut left, mut fields) = (&frame[HEADER_BYTES..], BigEndianReader(frame));
    let (number, kind) = (fields.number(8), fields.number(1) as u8);
    if !left.len().is_multiple_of(RECORD_BYTES) || (kind == 0 && !left.is_empty()) {
        return Err(DiscoveryError::Length(length));
    }
    let mut members = Vec::new();
    while let Some((record, more)) =
        left.split_at_checked(RECORD_BYTES).filter(|(r, _)| r.len() == RECORD_BYTES)
    {
        members.push(member(BigEndianReader(record))?);
        left = more;
        if left.is_empty() {
            break;
        }
    }
    let update = match kind {
        0 => EndpointUpdate::Empty,
        1 => EndpointUpdate::Full(members),
        2 => EndpointUpdate::Delta(members),
        _ => return Err(DiscoveryError::Kind(kind)),
    };
    Ok(Some((4 + length, Frame { number, update })))
}

/// Unsigned big-endian numbers, one after the other.
struct BigEndianReader<'a>(&'a [u8]);

impl BigEndianReader<'_> {
    fn number(&mut self, width: usize) -> u64 {
        let (now, rest) = self.0.split_at(width.min(self.0.len()));
        self.0 = rest;
        now.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

fn member(mut record: BigEndianReader) -> Result<EndpointRecord, DiscoveryError> {
    let id = record.number(4) as u32;
    let ip = Ipv4Addr::from(record.number(4) as u32);
    let address = SocketAddr::new(IpAddr::V4(ip), record.number(2) as u16);
    let state = match record.number(1) as u8 {
        0 => EndpointState::Active,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        other => return Err(DiscoveryError::State(other)),
    };
    let (zone, kind) = (Some(record.number(1) as u32), Some(record.number(1) as u32));
    let cell = record.number(2) as u32;
    let _weight = record.number(4);
    Ok(EndpointRecord { id, address, state, zone, kind, cell, started_ms: record.number(8) })
}

/// The events of the start, with the number of the last. `zones` and `kinds` are the names that the
/// deployment states.
pub fn parse_initial_list(
    text: &str,
    zones: &[String],
    kinds: &[String],
) -> Result<(u64, Vec<EndpointUpdate>), DiscoveryError> {
    let value = json::parse(text.as_bytes()).map_err(|_| DiscoveryError::InitialList("known"))?;
    let whole = |value: &Value, name: &'static str| {
        value.get(name).and_then(Value::whole).ok_or(DiscoveryError::InitialList(name))
    };
    let last = whole(&value, "cursor")?;
    let events = value.get("cmds").and_then(Value::list).ok_or(DiscoveryError::InitialList("cmds"))?;
    let mut all = Vec::new();
    for event in events {
        let Some(nodes) = event.get("nodes") else { continue };
        let listed =
            nodes.get("members").and_then(Value::list).ok_or(DiscoveryError::InitialList("members"))?;
        let place = |names: &[String], member: &Value, name| {
            let wanted = member.get(name).and_then(Value::text)?;
            names.iter().position(|parse_initial_list| parse_initial_list == wanted).map(|place| place as u32)
        };
        let mut members = Vec::new();
        for one in listed {
            let text = |name: &'static str| {
                one.get(name).and_then(Value::text).ok_or(DiscoveryError::InitialList(name))
            };
            let id = text("id")?.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok());
            members.push(EndpointRecord {
                id: id.ok_or(DiscoveryError::InitialList("id"))?,
                address: text("host_port")?.parse().map_err(|_| DiscoveryError::InitialList("host_port"))?,
                state: match text("phase")? {
                    "Ready" => EndpointState::Active,
                    "Terminating" => EndpointState::Draining,
                    "Gone" => EndpointState::Removed,
                    _ => return Err(DiscoveryError::InitialList("phase")),
                },
                zone: place(zones, one, "locality"),
                kind: place(kinds, one, "flavor"),
                cell: whole(one, "cell")? as u32,
                started_ms: whole(one, "up_since_ms").unwrap_or(0),
            });
        }
        let complete = nodes.get("complete") == Some(&Value::Bool(true));
        all.push(if complete { EndpointUpdate::Full(members) } else { EndpointUpdate::Delta(members) });
    }
    Ok((last, all))
}

#[cfg(test)]
#[path = "../../tests/unit/discovery.rs"]
mod tests;
