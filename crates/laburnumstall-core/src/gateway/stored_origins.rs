//! Origins of streams in the key-value store, which outlive all daemons.
//!
//! While a service has several software versions, the origin of each of its streams is stored a
//! moment after its first event. A few daemons write for the whole fleet, so that the number of
//! writes does not grow with it: the others send them their origins. Origins are collected in
//! segments, each of which has a key of its own under a lease that outlasts its streams. A
//! daemon that starts reads all segments with its snapshot of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{Snafu, ensure};

use super::Gateway;
use super::call::AdmittedCall;
use super::gossip::{Peer, daemon_hash, rank_peers};
use super::load_balancer::CallAttempt;
use super::peer_message::PeerProtocol;
use super::rules::CallKind;
use super::stream_origin::{AttemptDigest, OriginGroup, OriginSource, RETURN_TIME, StreamOrigin};
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{DaemonId, ServiceName};
use crate::store::StoreEra;
use crate::units::Timestamp;

/// Largest fleet in which all daemons store their own origins.
const SMALL_FLEET: usize = 6;
/// Daemons that write in a larger fleet.
const WRITERS: usize = 4;
/// Key by which daemons rank as writers.
const WRITERS_KEY: u64 = 0;
/// Time for which origins are added to one segment: each write repeats the whole segment.
const SEGMENT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of origins in a segment.
const MAX_SEGMENT: usize = 4_096;
/// Maximum size of a stored segment: names of services and versions beside the origins.
const MAX_SEGMENT_BYTES: usize = 128 << 10;
/// Number of the format of stored segments.
const FORMAT: u8 = 1;

domain! {
    /// Origins of streams, as stored under one key.
    #[derive(Eq)]
    pub struct OriginSegment {
        /// Era of the store in which it was written.
        pub era: StoreEra,
        /// The origins.
        pub groups: Vec<OriginGroup>,
    }
}

/// Reason why stored origins are not believed.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum SegmentFault {
    /// The value is larger than any that a daemon writes.
    #[snafu(display("it is too large"))]
    TooLarge,
    /// Another format, of a later build or of another writer.
    #[snafu(display("its format is unknown"))]
    UnknownFormat,
    /// The checksum differs: a part is missing or changed.
    #[snafu(display("its checksum is wrong"))]
    Checksum,
    /// The contents cannot be decoded.
    #[snafu(display("it cannot be decoded"))]
    Undecodable,
}

impl OriginSegment {
    /// Encodes the segment, after the number of the format and a checksum.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut value = vec![FORMAT];
        value.extend_from_slice(&digest64(&[&body]).to_le_bytes());
        value.extend_from_slice(&body);
        value
    }

    /// Decodes a stored segment.
    ///
    /// # Errors
    ///
    /// [`SegmentFault`] if the value is not a whole segment of this format.
    pub fn decode(value: &[u8]) -> Result<Self, SegmentFault> {
        ensure!(value.len() <= MAX_SEGMENT_BYTES, TooLargeSnafu);
        ensure!(value.first() == Some(&FORMAT), UnknownFormatSnafu);
        let (checksum, body) = value[1..]
            .split_at_checked(8)
            .ok_or(SegmentFault::Checksum)?;
        let is_whole = digest64(&[body]).to_le_bytes() == checksum;
        ensure!(is_whole, ChecksumSnafu);
        postcard::from_bytes(body).map_err(|_| SegmentFault::Undecodable)
    }
}

/// Segment to write, with its number among those of this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct SegmentWrite {
    /// Number of the segment, which is part of its key.
    pub number: u64,
    /// Value of the key.
    pub segment: OriginSegment,
    /// Lifetime of the key.
    pub lifetime: Duration,
}

type Streams = Vec<(AttemptDigest, Timestamp)>;

/// Origins that this daemon has to store.
#[derive(Debug, Clone, Default)]
pub(super) struct OriginStore {
    number: u64,
    started_at: Timestamp,
    era: StoreEra,
    streams: BTreeMap<Arc<StreamOrigin>, Streams>,
    len: usize,
    is_changed: bool,
}

impl OriginStore {
    /// Adds an origin that is kept until `expires_at`.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        attempt: AttemptDigest,
        origin: &Arc<StreamOrigin>,
        expires_at: Timestamp,
    ) {
        let is_old = now.since(self.started_at) >= SEGMENT_TIME && !self.is_changed;
        if is_old || self.len >= MAX_SEGMENT {
            self.next(now);
            self.streams.clear();
            self.len = 0;
        }
        let streams = self.streams.entry(Arc::clone(origin)).or_default();
        streams.push((attempt, expires_at));
        self.len += 1;
        self.is_changed = true;
    }

    fn next(&mut self, now: Timestamp) {
        self.number += 1;
        self.started_at = now;
    }

    fn groups(&self, now: Timestamp) -> Vec<OriginGroup> {
        let to_group = |(origin, streams): (&Arc<StreamOrigin>, &Streams)| OriginGroup {
            origin: (**origin).clone(),
            streams: streams
                .iter()
                .map(|(attempt, expires_at)| (*attempt, kept_seconds(expires_at.since(now))))
                .collect(),
        };
        self.streams.iter().map(to_group).collect()
    }
}

/// Returns the time for which an origin is kept, as messages and segments state it.
pub(super) fn kept_seconds(kept: Duration) -> u8 {
    u8::try_from(kept.as_secs() + 1).unwrap_or(u8::MAX)
}

impl Gateway {
    /// Records the origin of a stream whose first event arrived.
    pub(super) fn record_origin(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        attempt: &CallAttempt,
    ) {
        if call.route.kind != CallKind::Stream || !call.route.is_resumable {
            return;
        }
        if call.origin.is_none() {
            let Some(version) = attempt.version.clone() else {
                return;
            };
            let service = attempt.service.clone();
            call.origin = Some(Arc::new(StreamOrigin { service, version }));
        }
        let Some(origin) = &call.origin else {
            return;
        };
        let expires_at = call.deadline.after(RETURN_TIME);
        self.origins
            .record_own(now, call.stream, origin, expires_at);
        self.has_origins_to_send |= self.versions.is_mixed(now, &origin.service);
        let origin = Arc::clone(origin);
        self.check_shares(now, call.stream, &origin);
    }

    /// Returns whether origins wait to be stored.
    pub fn has_segment_to_store(&self) -> bool {
        self.origin_store.is_changed
    }

    /// Returns the segment to write now; `None` if all origins are stored.
    pub fn segment_to_store(&mut self, now: Timestamp) -> Option<SegmentWrite> {
        let era = self.store_era().unwrap_or_default();
        let lifetime = self.versions.retention() + SEGMENT_TIME;
        let store = &mut self.origin_store;
        if !std::mem::take(&mut store.is_changed) {
            return None;
        }
        if std::mem::replace(&mut store.era, era) != era {
            store.next(now);
        }
        Some(SegmentWrite {
            number: store.number,
            segment: OriginSegment {
                era,
                groups: store.groups(now),
            },
            lifetime,
        })
    }

    /// Records that a segment was not written, or not certainly; its origins are written again
    /// under another key.
    pub fn on_segment_failed(&mut self, now: Timestamp, number: u64) {
        if self.origin_store.number == number {
            self.origin_store.next(now);
            self.origin_store.is_changed = true;
        }
    }

    /// Applies stored origins; those of an earlier era of the store are not believed.
    pub fn on_stored_origins(&mut self, now: Timestamp, segments: Vec<OriginSegment>) {
        let era = self.store_era().unwrap_or_default();
        let (current, earlier): (Vec<_>, Vec<_>) =
            segments.into_iter().partition(|segment| segment.era == era);
        for (segments, reason) in [(&current, "stored"), (&earlier, "earlier-era")] {
            let groups = segments.iter().flat_map(|segment| &segment.groups);
            let streams: usize = groups.map(|group| group.streams.len()).sum();
            if segments.is_empty() {
                continue;
            }
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "origins", reason)
                    .with("segments", segments.len())
                    .with("streams", streams)
                    .with("era", era),
            );
        }
        for segment in current {
            self.record_origins(now, segment.groups, OriginSource::Stored);
        }
    }

    /// Queues the origins of services that have several versions by now.
    pub(super) fn queue_mixed_origins(&mut self, now: Timestamp) {
        self.has_origins_to_send |= self
            .origins
            .unsent_services()
            .any(|service| self.versions.is_mixed(now, service));
    }

    /// Queues the own streams of services to be stored by this daemon.
    pub(super) fn store_origins(&mut self, now: Timestamp, services: &[ServiceName]) {
        for service in services {
            for (attempt, origin, expires_at) in self.origins.take_unstored(service) {
                self.origin_store.add(now, attempt, &origin, expires_at);
            }
        }
    }

    /// Queues all origins of services with several versions to be stored again: the store came
    /// back from a copy, which may lack them.
    pub(super) fn store_origins_again(&mut self, now: Timestamp) {
        if !self.stores_for_others(now) && self.peer_table.len() >= SMALL_FLEET {
            return;
        }
        let versions = &self.versions;
        let is_mixed = |service: &ServiceName| versions.is_mixed(now, service);
        let again: Vec<_> = self
            .origins
            .iter()
            .filter(|(_, origin, _)| is_mixed(&origin.service))
            .map(|(attempt, origin, expires_at)| (attempt, Arc::clone(origin), expires_at))
            .collect();
        for (attempt, origin, expires_at) in again {
            self.origin_store.add(now, attempt, &origin, expires_at);
        }
    }

    /// Returns whether this daemon writes the origins of others.
    pub(super) fn stores_for_others(&self, now: Timestamp) -> bool {
        self.peer_table.len() >= SMALL_FLEET && self.origin_writer(now).is_none()
    }

    /// Returns the peer that stores the origins of this daemon; `None` if it does so itself.
    pub(super) fn origin_writer(&self, now: Timestamp) -> Option<(DaemonId, SocketAddr)> {
        if self.peer_table.len() < SMALL_FLEET {
            return None;
        }
        let writes = |peer: &&Peer| peer.protocol >= PeerProtocol::STORED_VERSIONS;
        let peers = self.peer_table.ready(now).filter(writes);
        let mut writers = rank_peers(peers, WRITERS_KEY, WRITERS);
        let weight = |id: &DaemonId| rendezvous_weight(WRITERS_KEY, daemon_hash(id));
        let own = weight(&self.own);
        let ranked_before = writers.iter().filter(|(id, _)| weight(id) > own);
        if ranked_before.count() < WRITERS {
            return None;
        }
        let share = daemon_hash(&self.own) % writers.len() as u64;
        Some(writers.swap_remove(share as usize))
    }
}
