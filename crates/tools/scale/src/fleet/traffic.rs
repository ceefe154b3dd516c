//! Messages and bytes of one front, by the part that they belong to.

use lemonusher_fleet::MessageKind;
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// Messages and their bytes. Bytes are those of whole sealed datagrams, without the headers of UDP and IP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

impl Flow {
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

impl Add for Flow {
    type Output = Flow;

    fn add(self, other: Flow) -> Flow {
        Flow { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }
}

impl Sub for Flow {
    type Output = Flow;

    fn sub(self, other: Flow) -> Flow {
        Flow { messages: self.messages - other.messages, bytes: self.bytes - other.bytes }
    }
}

/// What one front has sent and heard so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Traffic {
    heard: BTreeMap<MessageKind, Flow>,
    sent: BTreeMap<MessageKind, Flow>,
}

impl Traffic {
    pub fn count_heard(&mut self, kind: MessageKind, bytes: usize) {
        self.heard.entry(kind).or_default().count(bytes);
    }

    pub fn count_sent(&mut self, kind: MessageKind, bytes: usize) {
        self.sent.entry(kind).or_default().count(bytes);
    }

    /// What was heard of these kinds.
    pub fn heard(&self, kinds: &[MessageKind]) -> Flow {
        sum(&self.heard, kinds)
    }

    pub fn sent(&self, kinds: &[MessageKind]) -> Flow {
        sum(&self.sent, kinds)
    }
}

fn sum(flows: &BTreeMap<MessageKind, Flow>, kinds: &[MessageKind]) -> Flow {
    kinds.iter().filter_map(|kind| flows.get(kind)).fold(Flow::default(), |sum, flow| sum + *flow)
}
