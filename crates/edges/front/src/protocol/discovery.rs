//! The protocol of the discovery channel: numbered updates of the endpoint list. They arrive as binary frames;
//! the events known at start-up are part of the front's configuration, as JSON.
//!
//! A frame consists of its length (4 bytes, which the length itself does not count), the event number (8
//! bytes), the kind of the event (1 byte) and records of 27 bytes each. All numbers are unsigned and
//! big-endian.

use super::json::{self, Value};
use crate::transport::Parsed;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Numbers and names on the wire.
mod wire {
    use super::EndpointState;

    /// Kind of event: no change.
    pub const KIND_EMPTY: u8 = 0;
    /// Kind of event: the whole endpoint list.
    pub const KIND_FULL: u8 = 1;
    /// Kind of event: the engines that changed.
    pub const KIND_DELTA: u8 = 2;

    /// Decodes the state of an engine in a binary record.
    pub fn record_state(state: u8) -> Option<EndpointState> {
        match state {
            0 => Some(EndpointState::Active),
            1 => Some(EndpointState::Draining),
            2 => Some(EndpointState::Removed),
            _ => None,
        }
    }

    /// Decodes the state of an engine in the JSON of the initial events.
    pub fn json_state(name: &str) -> Option<EndpointState> {
        match name {
            "Ready" => Some(EndpointState::Active),
            "Terminating" => Some(EndpointState::Draining),
            "Gone" => Some(EndpointState::Removed),
            _ => None,
        }
    }

    /// Key of the initial events: the number of the last event.
    pub const LAST_EVENT: &str = "cursor";
    /// Key of the initial events: the list of events.
    pub const EVENTS: &str = "cmds";
    /// Key of an event: its update of the endpoint list.
    pub const UPDATE: &str = "nodes";
    /// Key of an update: whether it is the whole endpoint list.
    pub const IS_FULL: &str = "complete";
    /// Key of an update: its records.
    pub const RECORDS: &str = "members";
    /// Key of a record: the engine's id, in hexadecimal after `ENGINE_PREFIX`.
    pub const ENGINE: &str = "id";
    /// The prefix of an engine's id.
    pub const ENGINE_PREFIX: &str = "s-";
    /// Key of a record: the address that the engine listens on.
    pub const ADDRESS: &str = "host_port";
    /// Key of a record: the engine's state.
    pub const STATE: &str = "phase";
    /// Key of a record: the name of the engine's zone.
    pub const ZONE: &str = "locality";
    /// Key of a record: the name of the engine's machine kind.
    pub const MACHINE_KIND: &str = "flavor";
    /// Key of a record: the number of the engine's cell.
    pub const CELL: &str = "cell";
    /// Key of a record: when the engine started, if it started late, in Unix milliseconds.
    pub const STARTED_MS: &str = "up_since_ms";
}

/// Length of a record.
const RECORD_BYTES: usize = 27;
/// Length of a frame's event number and kind.
const HEADER_BYTES: usize = 9;
/// Maximum length of a frame, its length field included: 4096 records.
pub const MAX_FRAME_BYTES: usize = 4 + HEADER_BYTES + RECORD_BYTES * 4096;

/// An event with its number.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// Number of the event. An empty frame repeats the number of the last event.
    pub number: u64,
    /// The event itself.
    pub update: EndpointUpdate,
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// No change. The frame only shows that the channel is alive.
    Empty,
    /// The whole endpoint list.
    Full(Vec<EndpointRecord>),
    /// The engines that changed.
    Delta(Vec<EndpointRecord>),
}

/// An engine in an endpoint update.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The engine's id.
    pub engine: u32,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// The engine's state.
    pub state: EndpointState,
    /// Index of the zone; `None` for a name that the deployment's settings don't list.
    pub zone: Option<u32>,
    /// Index of the machine kind; `None` for a name that the deployment's settings don't list.
    pub machine_kind: Option<u32>,
    /// Number of the cell.
    pub cell: u32,
    /// When the engine started, if it started late, in Unix milliseconds; otherwise 0.
    pub started_ms: u64,
}

/// State of an engine in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The engine accepts requests.
    Active,
    /// The engine finishes its requests and accepts no new ones.
    Draining,
    /// The engine was removed.
    Removed,
}

/// The events known at start-up, from the front's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct InitialEvents {
    /// Number of the last event.
    pub last_event: u64,
    /// The updates, in order.
    pub updates: Vec<EndpointUpdate>,
}

/// Reason why a frame or the initial events can't be parsed.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryError {
    /// A frame has an invalid length.
    Length(usize),
    /// A frame has an unknown kind.
    Kind(u8),
    /// A record has an unknown state.
    State(u8),
    /// The initial events lack this key, or its value is invalid.
    InitialList(&'static str),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiscoveryError::Length(length) => write!(f, "a frame of {length} bytes: invalid length"),
            DiscoveryError::Kind(kind) => write!(f, "a frame of unknown kind {kind}"),
            DiscoveryError::State(state) => write!(f, "a record of unknown state {state}"),
            DiscoveryError::InitialList(key) => {
                write!(f, "missing or invalid '{key}' in the initial endpoint list")
            }
        }
    }
}

/// Encodes the first message of a front: the number of the last event that it has applied.
pub fn encode_resume(last_event: u64) -> [u8; 8] {
    last_event.to_be_bytes()
}

/// Parses the first frame in `bytes`; `None` while it is incomplete.
pub fn parse_frame(bytes: &[u8]) -> Result<Option<Parsed<Frame>>, DiscoveryError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length < HEADER_BYTES || 4 + length > MAX_FRAME_BYTES {
        return Err(DiscoveryError::Length(length));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let mut header = BigEndianReader(frame);
    let (number, kind) = (header.number(8), header.number(1) as u8);
    let records = &frame[HEADER_BYTES..];
    if !records.len().is_multiple_of(RECORD_BYTES) || (kind == wire::KIND_EMPTY && !records.is_empty()) {
        return Err(DiscoveryError::Length(length));
    }
    let records = records
        .chunks_exact(RECORD_BYTES)
        .map(|record| parse_record(BigEndianReader(record)))
        .collect::<Result<Vec<EndpointRecord>, DiscoveryError>>()?;
    let update = match kind {
        wire::KIND_EMPTY => EndpointUpdate::Empty,
        wire::KIND_FULL => EndpointUpdate::Full(records),
        wire::KIND_DELTA => EndpointUpdate::Delta(records),
        _ => return Err(DiscoveryError::Kind(kind)),
    };
    Ok(Some(Parsed { length: 4 + length, message: Frame { number, update } }))
}

/// Reads consecutive unsigned big-endian numbers.
struct BigEndianReader<'a>(&'a [u8]);

impl BigEndianReader<'_> {
    /// Reads the next number, of `width` bytes.
    fn number(&mut self, width: usize) -> u64 {
        let (bytes, rest) = self.0.split_at(width.min(self.0.len()));
        self.0 = rest;
        bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

fn parse_record(mut record: BigEndianReader) -> Result<EndpointRecord, DiscoveryError> {
    let engine = record.number(4) as u32;
    let ip = Ipv4Addr::from(record.number(4) as u32);
    let address = SocketAddr::new(IpAddr::V4(ip), record.number(2) as u16);
    let state = record.number(1) as u8;
    let state = wire::record_state(state).ok_or(DiscoveryError::State(state))?;
    let zone = Some(record.number(1) as u32);
    let machine_kind = Some(record.number(1) as u32);
    let cell = record.number(2) as u32;
    let _weight = record.number(4);
    let started_ms = record.number(8);
    Ok(EndpointRecord { engine, address, state, zone, machine_kind, cell, started_ms })
}

/// Parses the initial events. `zones` and `machine_kinds` are the names in the deployment's settings, in the
/// order of their indices.
pub fn parse_initial_list(
    text: &str,
    zones: &[String],
    machine_kinds: &[String],
) -> Result<InitialEvents, DiscoveryError> {
    let value = json::parse(text.as_bytes()).map_err(|_| DiscoveryError::InitialList("known"))?;
    let last_event = integer(&value, wire::LAST_EVENT)?;
    let mut updates = Vec::new();
    for event in list(&value, wire::EVENTS)? {
        let Some(update) = event.get(wire::UPDATE) else { continue };
        let records = list(update, wire::RECORDS)?
            .iter()
            .map(|record| parse_json_record(record, zones, machine_kinds))
            .collect::<Result<Vec<EndpointRecord>, DiscoveryError>>()?;
        let is_full = update.get(wire::IS_FULL) == Some(&Value::Bool(true));
        updates.push(if is_full { EndpointUpdate::Full(records) } else { EndpointUpdate::Delta(records) });
    }
    Ok(InitialEvents { last_event, updates })
}

fn parse_json_record(
    record: &Value,
    zones: &[String],
    machine_kinds: &[String],
) -> Result<EndpointRecord, DiscoveryError> {
    let engine = text(record, wire::ENGINE)?
        .strip_prefix(wire::ENGINE_PREFIX)
        .and_then(|hex| u32::from_str_radix(hex, 16).ok())
        .ok_or(DiscoveryError::InitialList(wire::ENGINE))?;
    let address =
        text(record, wire::ADDRESS)?.parse().map_err(|_| DiscoveryError::InitialList(wire::ADDRESS))?;
    let state =
        wire::json_state(text(record, wire::STATE)?).ok_or(DiscoveryError::InitialList(wire::STATE))?;
    Ok(EndpointRecord {
        engine,
        address,
        state,
        zone: index_of_name(zones, record, wire::ZONE),
        machine_kind: index_of_name(machine_kinds, record, wire::MACHINE_KIND),
        cell: integer(record, wire::CELL)? as u32,
        started_ms: integer(record, wire::STARTED_MS).unwrap_or(0),
    })
}

fn integer(value: &Value, key: &'static str) -> Result<u64, DiscoveryError> {
    value.get(key).and_then(Value::integer).ok_or(DiscoveryError::InitialList(key))
}

fn list<'a>(value: &'a Value, key: &'static str) -> Result<&'a [Value], DiscoveryError> {
    value.get(key).and_then(Value::list).ok_or(DiscoveryError::InitialList(key))
}

fn text<'a>(value: &'a Value, key: &'static str) -> Result<&'a str, DiscoveryError> {
    value.get(key).and_then(Value::text).ok_or(DiscoveryError::InitialList(key))
}

/// Index of the name under this key among `names`; `None` if it is missing or not listed.
fn index_of_name(names: &[String], record: &Value, key: &str) -> Option<u32> {
    let wanted = record.get(key).and_then(Value::text)?;
    names.iter().position(|name| name == wanted).map(|index| index as u32)
}

#[cfg(test)]
#[path = "../../tests/unit/discovery.rs"]
mod tests;
