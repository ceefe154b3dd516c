//! Messages and bytes of one front, by message kind.

use lemonusher_fleet::MessageKind;
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// A count of messages and their bytes. Bytes are those of whole sealed datagrams, without UDP and IP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// The number of messages.
    pub messages: u64,
    /// The total size of the datagrams, in bytes.
    pub bytes: u64,
}

impl Flow {
    /// Counts one message.
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

/// The traffic of one front so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Traffic {
    received: BTreeMap<MessageKind, Flow>,
    sent: BTreeMap<MessageKind, Flow>,
}

impl Traffic {
    /// Counts a message received.
    pub fn count_received(&mut self, kind: MessageKind, bytes: usize) {
        self.received.entry(kind).or_default().count(bytes);
    }

    /// Counts a message sent.
    pub fn count_sent(&mut self, kind: MessageKind, bytes: usize) {
        self.sent.entry(kind).or_default().count(bytes);
    }

    /// The messages received of these kinds.
    pub fn received(&self, kinds: &[MessageKind]) -> Flow {
        sum(&self.received, kinds)
    }

    /// The messages sent of these kinds.
    pub fn sent(&self, kinds: &[MessageKind]) -> Flow {
        sum(&self.sent, kinds)
    }
}

fn sum(flows: &BTreeMap<MessageKind, Flow>, kinds: &[MessageKind]) -> Flow {
    kinds.iter().filter_map(|kind| flows.get(kind)).fold(Flow::default(), |sum, flow| sum + *flow)
}
