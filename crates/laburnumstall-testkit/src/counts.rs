//! What the daemons of a world asked of endpoints and told each other.

use std::collections::BTreeMap;

use laburnumstall_core::ids::{DaemonId, EndpointId};
use laburnumstall_core::message::Message;

/// Bytes of a message on the wire besides its encoding: IP, UDP and QUIC headers,
/// authentication tag and length.
const FRAME_BYTES: u64 = 60;

/// Counts over all daemons since the beginning.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Polls of endpoints for their load.
    pub polls: u64,
    /// Polls by endpoint and the daemon that polled it.
    pub readers: BTreeMap<(EndpointId, DaemonId), u64>,
    /// Messages between daemons.
    pub messages: u64,
    /// Bytes of those messages by kind, with headers and without acknowledgements.
    pub bytes: BTreeMap<&'static str, u64>,
}

impl Counts {
    /// Returns what was counted after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let grown = |(kind, bytes): (&&'static str, &u64)| {
            let before = earlier.bytes.get(kind).copied().unwrap_or(0);
            (*kind, bytes - before)
        };
        let read = |(pair, polls): (&(EndpointId, DaemonId), &u64)| {
            let before = earlier.readers.get(pair).copied().unwrap_or(0);
            (*polls > before).then(|| (pair.clone(), polls - before))
        };
        Self {
            readers: self.readers.iter().filter_map(read).collect(),
            polls: self.polls - earlier.polls,
            messages: self.messages - earlier.messages,
            bytes: self.bytes.iter().map(grown).collect(),
        }
    }

    pub(crate) fn poll(&mut self, from: &DaemonId, endpoint: &EndpointId) {
        self.polls += 1;
        let pair = (endpoint.clone(), from.clone());
        *self.readers.entry(pair).or_default() += 1;
    }

    pub(crate) fn message(&mut self, message: &Message) {
        let encoded = postcard::to_allocvec(message).expect("a message has no unencodable part");
        self.messages += 1;
        *self.bytes.entry(kind_of(message)).or_default() += encoded.len() as u64 + FRAME_BYTES;
    }
}

fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat { .. } => "heartbeats",
        Message::Limits(_) => "limits",
        Message::Loads(_)
        | Message::LoadDigest(_)
        | Message::Subscribe(_)
        | Message::EndpointRefused { .. } => "loads",
        Message::Suspect(_) => "suspicions",
        _ => "others",
    }
}
