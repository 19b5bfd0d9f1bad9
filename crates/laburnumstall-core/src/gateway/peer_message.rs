//! Messages between the gateways of a fleet.
//!
//! Daemons of two builds serve side by side during an upgrade, and a daemon closes a link on
//! a message that it cannot decode. So a gossip message is encoded as it always was, and any
//! other message follows the sequence number 0, which no gossip message has. Only peers that
//! announce that they decode these messages receive them.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::endpoint_model::ProcessTimes;
use super::endpoint_notice::SharedNotice;
use super::gossip::GossipMessage;
use super::quarantine_update::QuarantineUpdate;
use super::reclaim::EndpointEnd;
use super::resumption::{OriginQuery, OriginReply};
use super::rollout::RolloutEvidence;
use super::stream_origin::OriginGroup;
use super::view::ViewChange;
use crate::ids::SoftwareVersion;
use crate::quantity;
use crate::store::StoreEra;

quantity! {
    /// Protocol of messages between gateways; 0 for builds that announce none.
    PeerProtocol, "";
}

impl PeerProtocol {
    /// Protocol that adds the era of the store to gossip messages, and notices of endpoints.
    pub const STORE_ERA: Self = Self(1);
    /// Protocol of builds that begin streams at stored software versions only, and store origins
    /// of streams.
    pub const STORED_VERSIONS: Self = Self(2);
    /// Protocol that adds the evidence of roll-outs, the use of services by customers, and the
    /// measured speeds of endpoints.
    pub const SHARED_LOAD: Self = Self(3);
    /// Protocol of builds at which streams begin by the stored tables of versions.
    pub const VERSION_SHARES: Self = Self(4);
    /// Newest protocol of this build.
    pub const NEWEST: Self = Self::VERSION_SHARES;
}

/// Sequence number in place of a gossip message's own, before any other message.
const EXTENSION: u64 = 0;

/// Message to a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Gossip message, which any build decodes; software versions are not encoded.
    Gossip(GossipMessage),
    /// Gossip message with the software versions of the endpoints in it.
    VersionedGossip(GossipMessage),
    /// Gossip message with the software versions and the era of the store.
    EraGossip(GossipMessage),
    /// Origins of streams, for the recipient to keep.
    Origins(Vec<OriginGroup>),
    /// Question about the origin of a stream.
    Lookup(OriginQuery),
    /// Answer to such a question.
    Answer(OriginReply),
    /// Crashes of endpoints, and requests that are quarantined or cleared.
    Quarantine(QuarantineUpdate),
    /// What endpoints say of themselves.
    Notices(Vec<SharedNotice>),
    /// When reclaimed endpoints end.
    EndpointEnds(Vec<EndpointEnd>),
    /// Times of the sender's calls to endpoints.
    EndpointSpeeds(Vec<ProcessTimes>),
    /// What a daemon knows of a rollout.
    RolloutEvidence(RolloutEvidence),
}

/// Encoding of what follows [`EXTENSION`]; variants are added at the end.
#[derive(Serialize, Deserialize)]
enum Extension<'a> {
    Gossip(Cow<'a, GossipMessage>, Vec<Option<SoftwareVersion>>),
    Origins(Cow<'a, [OriginGroup]>),
    Lookup(Cow<'a, OriginQuery>),
    Answer(Cow<'a, OriginReply>),
    Quarantine(Cow<'a, QuarantineUpdate>),
    EraGossip(
        Cow<'a, GossipMessage>,
        Vec<Option<SoftwareVersion>>,
        StoreEra,
    ),
    Notices(Cow<'a, [SharedNotice]>),
    EndpointEnds(Cow<'a, [EndpointEnd]>),
    EndpointSpeeds(Cow<'a, [ProcessTimes]>),
    RolloutEvidence(Cow<'a, RolloutEvidence>),
}

impl Serialize for PeerMessage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let extension = match self {
            Self::Gossip(message) => return message.serialize(serializer),
            Self::VersionedGossip(message) => {
                Extension::Gossip(Cow::Borrowed(message), copy_versions(message))
            }
            Self::EraGossip(message) => Extension::EraGossip(
                Cow::Borrowed(message),
                copy_versions(message),
                message.view.era,
            ),
            Self::Origins(groups) => Extension::Origins(Cow::Borrowed(groups)),
            Self::Lookup(query) => Extension::Lookup(Cow::Borrowed(query)),
            Self::Answer(reply) => Extension::Answer(Cow::Borrowed(reply)),
            Self::Quarantine(update) => Extension::Quarantine(Cow::Borrowed(update)),
            Self::Notices(notices) => Extension::Notices(Cow::Borrowed(notices)),
            Self::EndpointEnds(ends) => Extension::EndpointEnds(Cow::Borrowed(ends)),
            Self::EndpointSpeeds(times) => Extension::EndpointSpeeds(Cow::Borrowed(times)),
            Self::RolloutEvidence(evidence) => Extension::RolloutEvidence(Cow::Borrowed(evidence)),
        };
        (EXTENSION, extension).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PeerMessage {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        /// Number of fields of [`GossipMessage`], the longer form.
        const FIELDS: usize = 7;
        deserializer.deserialize_tuple(FIELDS, MessageVisitor)
    }
}

struct MessageVisitor;

impl<'de> Visitor<'de> for MessageVisitor {
    type Value = PeerMessage;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a message between gateways")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let sequence = next(&mut seq)?;
        if sequence == EXTENSION {
            return Ok(match next::<Extension<'static>, _>(&mut seq)? {
                Extension::Gossip(message, versions) => {
                    PeerMessage::VersionedGossip(with_versions(message.into_owned(), versions))
                }
                Extension::EraGossip(message, versions, era) => {
                    let mut message = with_versions(message.into_owned(), versions);
                    message.view.era = era;
                    PeerMessage::EraGossip(message)
                }
                Extension::Origins(groups) => PeerMessage::Origins(groups.into_owned()),
                Extension::Lookup(query) => PeerMessage::Lookup(query.into_owned()),
                Extension::Answer(reply) => PeerMessage::Answer(reply.into_owned()),
                Extension::Quarantine(update) => PeerMessage::Quarantine(update.into_owned()),
                Extension::Notices(notices) => PeerMessage::Notices(notices.into_owned()),
                Extension::EndpointEnds(ends) => PeerMessage::EndpointEnds(ends.into_owned()),
                Extension::EndpointSpeeds(times) => PeerMessage::EndpointSpeeds(times.into_owned()),
                Extension::RolloutEvidence(evidence) => {
                    PeerMessage::RolloutEvidence(evidence.into_owned())
                }
            });
        }
        Ok(PeerMessage::Gossip(GossipMessage {
            sequence,
            is_ready: next(&mut seq)?,
            loads: next(&mut seq)?,
            quota_usage: next(&mut seq)?,
            started_requests: next(&mut seq)?,
            demand: next(&mut seq)?,
            view: next(&mut seq)?,
        }))
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom("the message is too short"))
}

fn copy_versions(message: &GossipMessage) -> Vec<Option<SoftwareVersion>> {
    endpoint_versions(&mut message.clone())
        .map(|version| version.take())
        .collect()
}

fn with_versions(
    mut message: GossipMessage,
    versions: Vec<Option<SoftwareVersion>>,
) -> GossipMessage {
    for (slot, version) in endpoint_versions(&mut message).zip(versions) {
        *slot = version;
    }
    message
}

/// Returns the versions of the endpoints in a gossip message, in its order.
fn endpoint_versions(
    message: &mut GossipMessage,
) -> impl Iterator<Item = &mut Option<SoftwareVersion>> {
    let batches = message.view.batches.iter_mut();
    batches
        .flat_map(|batch| &mut batch.changes)
        .filter_map(|change| match change {
            ViewChange::Endpoint(record) => Some(&mut record.version),
            _ => None,
        })
}
