//! The command channel: numbered events on the list of engines, as frames and, for the start, as JSON.

use super::json::{self, Value};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const RECORD: usize = 27;
const HEAD: usize = 9;
/// Longest frame that is read.
pub const LONGEST_FRAME: usize = 4 + HEAD + RECORD * 4096;

#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    pub number: u64,
    pub news: News,
}

#[derive(Debug, Clone, PartialEq)]
pub enum News {
    Nothing,
    /// The whole list.
    All(Vec<Member>),
    Changes(Vec<Member>),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    pub id: u32,
    pub address: SocketAddr,
    pub state: State,
    /// Places in the lists that the deployment states; `None` for a name that is not there.
    pub zone: Option<u32>,
    pub kind: Option<u32>,
    pub cell: u32,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Malformed {
    Length(usize),
    Kind(u8),
    State(u8),
    Known(&'static str),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Malformed::Length(length) => write!(f, "a frame of {length} bytes"),
            Malformed::Kind(kind) => write!(f, "a frame of kind {kind}"),
            Malformed::State(state) => write!(f, "a record of state {state}"),
            Malformed::Known(what) => write!(f, "the list of the start has no usable '{what}'"),
        }
    }
}

/// What a front says first: the number of the last event that it has.
pub fn hello(last: u64) -> [u8; 8] {
    last.to_be_bytes()
}

/// Cuts one frame off what has come.
pub fn cut(bytes: &[u8]) -> Result<Option<(usize, Frame)>, Malformed> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length < HEAD || 4 + length > LONGEST_FRAME {
        return Err(Malformed::Length(length));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (mut left, mut fields) = (&frame[HEAD..], Bytes(frame));
    let (number, kind) = (fields.number(8), fields.number(1) as u8);
    if !left.len().is_multiple_of(RECORD) || (kind == 0 && !left.is_empty()) {
        return Err(Malformed::Length(length));
    }
    let mut members = Vec::new();
    while let Some((record, more)) = left.split_at_checked(RECORD).filter(|(r, _)| r.len() == RECORD) {
        members.push(member(Bytes(record))?);
        left = more;
        if left.is_empty() {
            break;
        }
    }
    let news = match kind {
        0 => News::Nothing,
        1 => News::All(members),
        2 => News::Changes(members),
        _ => return Err(Malformed::Kind(kind)),
    };
    Ok(Some((4 + length, Frame { number, news })))
}

/// Unsigned big-endian numbers, one after the other.
struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn number(&mut self, width: usize) -> u64 {
        let (now, rest) = self.0.split_at(width.min(self.0.len()));
        self.0 = rest;
        now.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

fn member(mut record: Bytes) -> Result<Member, Malformed> {
    let id = record.number(4) as u32;
    let ip = Ipv4Addr::from(record.number(4) as u32);
    let address = SocketAddr::new(IpAddr::V4(ip), record.number(2) as u16);
    let state = match record.number(1) as u8 {
        0 => State::Ready,
        1 => State::Draining,
        2 => State::Gone,
        other => return Err(Malformed::State(other)),
    };
    let (zone, kind) = (Some(record.number(1) as u32), Some(record.number(1) as u32));
    let cell = record.number(2) as u32;
    let _weight = record.number(4);
    Ok(Member { id, address, state, zone, kind, cell, started_ms: record.number(8) })
}

/// The events of the start, with the number of the last. `zones` and `kinds` are the names that the
/// deployment states.
pub fn known(text: &str, zones: &[String], kinds: &[String]) -> Result<(u64, Vec<News>), Malformed> {
    let value = json::parse(text.as_bytes()).map_err(|_| Malformed::Known("known"))?;
    let whole = |value: &Value, name: &'static str| {
        value.get(name).and_then(Value::whole).ok_or(Malformed::Known(name))
    };
    let last = whole(&value, "cursor")?;
    let events = value.get("cmds").and_then(Value::list).ok_or(Malformed::Known("cmds"))?;
    let mut all = Vec::new();
    for event in events {
        let Some(nodes) = event.get("nodes") else { continue };
        let listed = nodes.get("members").and_then(Value::list).ok_or(Malformed::Known("members"))?;
        let place = |names: &[String], member: &Value, name| {
            let wanted = member.get(name).and_then(Value::text)?;
            names.iter().position(|known| known == wanted).map(|place| place as u32)
        };
        let mut members = Vec::new();
        for one in listed {
            let text = |name: &'static str| one.get(name).and_then(Value::text).ok_or(Malformed::Known(name));
            let id = text("id")?.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok());
            members.push(Member {
                id: id.ok_or(Malformed::Known("id"))?,
                address: text("host_port")?.parse().map_err(|_| Malformed::Known("host_port"))?,
                state: match text("phase")? {
                    "Ready" => State::Ready,
                    "Terminating" => State::Draining,
                    "Gone" => State::Gone,
                    _ => return Err(Malformed::Known("phase")),
                },
                zone: place(zones, one, "locality"),
                kind: place(kinds, one, "flavor"),
                cell: whole(one, "cell")? as u32,
                started_ms: whole(one, "up_since_ms").unwrap_or(0),
            });
        }
        let complete = nodes.get("complete") == Some(&Value::Bool(true));
        all.push(if complete { News::All(members) } else { News::Changes(members) });
    }
    Ok((last, all))
}

#[cfg(test)]
#[path = "../../tests/unit/discovery.rs"]
mod tests;
