//! The discovery channel: numbered events on the list of engines, as binary frames and, for the start, as JSON.
//!
//! A frame is its length (4 bytes, without themselves), the event's number (8), the kind of the event (1), and records of
//! 27 bytes. All numbers are unsigned and big-endian.

use super::json::{self, Value};
use crate::transport::Parsed;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The wire's numbers and names, and the code's terms for them.
mod wire {
    use super::EndpointState;

    /// Kinds of events in frames. Nothing has changed.
    pub const KIND_EMPTY: u8 = 0;
    /// The whole list.
    pub const KIND_FULL: u8 = 1;
    /// The engines that changed.
    pub const KIND_DELTA: u8 = 2;

    /// An engine's state in a record.
    pub fn record_state(state: u8) -> Option<EndpointState> {
        match state {
            0 => Some(EndpointState::Active),
            1 => Some(EndpointState::Draining),
            2 => Some(EndpointState::Removed),
            _ => None,
        }
    }

    /// An engine's state in the JSON of the start.
    pub fn phase(name: &str) -> Option<EndpointState> {
        match name {
            "Ready" => Some(EndpointState::Active),
            "Terminating" => Some(EndpointState::Draining),
            "Gone" => Some(EndpointState::Removed),
            _ => None,
        }
    }

    /// Keys of the JSON of the start: the number of the last event.
    pub const LAST_EVENT: &str = "cursor";
    /// The events.
    pub const EVENTS: &str = "cmds";
    /// The update of an event.
    pub const UPDATE: &str = "nodes";
    /// Whether the update is the whole list.
    pub const IS_FULL: &str = "complete";
    /// The records of an update.
    pub const RECORDS: &str = "members";
    /// An engine's id, in hexadecimal behind the prefix.
    pub const ENGINE: &str = "id";
    /// The prefix of an engine's id.
    pub const ENGINE_PREFIX: &str = "s-";
    /// Where the engine listens.
    pub const ADDRESS: &str = "host_port";
    /// The engine's state.
    pub const STATE: &str = "phase";
    /// The name of its zone.
    pub const ZONE: &str = "locality";
    /// The name of its machine kind.
    pub const MACHINE_KIND: &str = "flavor";
    /// The number of its cell.
    pub const CELL: &str = "cell";
    /// Unix milliseconds of a late start.
    pub const STARTED_MS: &str = "up_since_ms";
}

/// Length of a record.
const RECORD_BYTES: usize = 27;
/// Length of a frame's number and kind.
const HEADER_BYTES: usize = 9;
/// Longest frame that is read: 4096 records.
pub const MAX_FRAME_BYTES: usize = 4 + HEADER_BYTES + RECORD_BYTES * 4096;

/// An event with its number.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// Number of the event; an empty frame repeats the last one.
    pub number: u64,
    /// What the event says.
    pub update: EndpointUpdate,
}

/// What an event says of the engines.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Nothing: the frame only shows that the channel is alive.
    Empty,
    /// The whole list.
    Full(Vec<EndpointRecord>),
    /// The engines that changed.
    Delta(Vec<EndpointRecord>),
}

/// One engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The engine's id.
    pub engine: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: EndpointState,
    /// The number of its zone; `None` for a name that the deployment does not state.
    pub zone: Option<u32>,
    /// The number of its machine kind; `None` for a name that the deployment does not state.
    pub machine_kind: Option<u32>,
    /// The number of its cell.
    pub cell: u32,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// An engine's state as the channel names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Active,
    /// It takes no new requests.
    Draining,
    /// It is no longer there.
    Removed,
}

/// The events that are known at the start.
#[derive(Debug, Clone, PartialEq)]
pub struct InitialEvents {
    /// Number of the last event.
    pub last_event: u64,
    /// What the events say, in order.
    pub updates: Vec<EndpointUpdate>,
}

/// Why bytes are no frame, or JSON no list of the start.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryError {
    /// A frame has a length that can't be.
    Length(usize),
    /// A frame has an unknown kind.
    Kind(u8),
    /// A record has an unknown state.
    State(u8),
    /// The list of the start lacks this key, or has it with a value that can't be used.
    InitialList(&'static str),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiscoveryError::Length(length) => write!(f, "a frame of {length} bytes"),
            DiscoveryError::Kind(kind) => write!(f, "a frame of kind {kind}"),
            DiscoveryError::State(state) => write!(f, "a record of state {state}"),
            DiscoveryError::InitialList(key) => write!(f, "the list of the start has no usable '{key}'"),
        }
    }
}

/// What a front sends first: the number of the last event that it has.
pub fn encode_resume(last_event: u64) -> [u8; 8] {
    last_event.to_be_bytes()
}

/// Reads the first complete frame.
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

/// Unsigned big-endian numbers, one after the other.
struct BigEndianReader<'a>(&'a [u8]);

impl BigEndianReader<'_> {
    /// The next number, of so many bytes.
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

/// Reads the events of the start. `zones` and `machine_kinds` are the names that the deployment states.
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
    let state = wire::phase(text(record, wire::STATE)?).ok_or(DiscoveryError::InitialList(wire::STATE))?;
    Ok(EndpointRecord {
        engine,
        address,
        state,
        zone: position(zones, record, wire::ZONE),
        machine_kind: position(machine_kinds, record, wire::MACHINE_KIND),
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

/// The number of a name among those that the deployment states.
fn position(names: &[String], record: &Value, key: &str) -> Option<u32> {
    let wanted = record.get(key).and_then(Value::text)?;
    names.iter().position(|name| name == wanted).map(|position| position as u32)
}

#[cfg(test)]
#[path = "../../tests/unit/discovery.rs"]
mod tests;
