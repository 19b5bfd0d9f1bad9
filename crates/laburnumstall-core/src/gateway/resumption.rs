//! Resumes streams that callers take up at the software version that began them.
//!
//! The daemon that began a stream may be gone, so while a service has several versions the
//! origin of each of its streams is sent to a few peers, ranked by rendezvous hashing of the
//! caller's attempt. A daemon that does not know a stream asks those peers, or all in a small
//! fleet. A stream whose origin nobody knows goes on only if a single version was there all
//! the time; otherwise it is refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use super::gossip::{GossipMessage, Peer, daemon_hash, rank_peers};
use super::peer_message::{PeerMessage, PeerProtocol};
use super::recovery::RETRY_AFTER;
use super::send_budget::{FULL_RATE_DAEMONS, MESSAGE_BYTES};
use super::stored_origins::kept_seconds;
use super::stream_origin::{AttemptDigest, OriginGroup, OriginSource, StreamOrigin};
use super::version_history::VersionHistory;
use super::view::{ViewBatch, ViewChange};
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::error::{ErrorKind, Refusal};
use crate::ids::{DaemonId, ServiceName, SoftwareVersion};
use crate::units::Timestamp;

/// Number of peers that keep the origin of a stream: two may fail at once.
pub const COPIES: usize = 3;
/// Bytes of one origin in a message.
const ORIGIN_BYTES: f64 = 9.0;

domain! {
    /// Question to a peer: which version began a stream.
    #[derive(Eq)]
    pub struct OriginQuery {
        /// Number that matches the answer to the question.
        pub id: u64,
        /// Attempt that brought the first event.
        pub attempt: AttemptDigest,
        /// Service that the route selects for it.
        pub service: ServiceName,
    }

    /// Answer to an [`OriginQuery`].
    #[derive(Eq)]
    pub struct OriginReply {
        /// Number of the question.
        pub id: u64,
        /// What the peer knows.
        pub answer: OriginAnswer,
    }

    /// What a daemon knows about the origin of a stream.
    #[derive(Eq)]
    pub enum OriginAnswer {
        /// The stream began there.
        Known(StreamOrigin),
        /// The stream is unknown; the service had only this version as long as streams last.
        Sole(SoftwareVersion),
        /// The stream is unknown; the service had several versions.
        Mixed,
        /// Neither the stream nor the versions are known.
        Unknown,
    }
}

/// What a decision about a resumption rests on, and how old that is.
type Basis = (&'static str, Duration);

/// Lookup of a stream's origin among peers.
#[derive(Debug)]
pub struct OriginLookup {
    /// Peers to ask, with their addresses.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// Attempt that brought the first event.
    pub attempt: AttemptDigest,
    /// Service that the route selects for it.
    pub service: ServiceName,
    started_at: Timestamp,
    answers: Vec<OriginAnswer>,
}

impl OriginLookup {
    /// Records the answer of a peer.
    pub fn on_answer(&mut self, answer: OriginAnswer) {
        self.answers.push(answer);
    }

    /// Returns whether no further answer is needed.
    pub fn is_decided(&self) -> bool {
        self.answers.len() >= self.peers.len() || self.known().is_some()
    }

    fn known(&self) -> Option<&StreamOrigin> {
        self.answers.iter().find_map(|answer| match answer {
            OriginAnswer::Known(origin) => Some(origin),
            _ => None,
        })
    }

    fn has_mixed(&self) -> bool {
        self.answers.contains(&OriginAnswer::Mixed)
    }

    fn soles(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.answers.iter().filter_map(|answer| match answer {
            OriginAnswer::Sole(version) => Some(version),
            _ => None,
        })
    }
}

impl Gateway {
    /// Finds the origin of a stream that the caller takes up; returns a lookup if peers have to
    /// be asked, which [`Gateway::end_resumption`] ends.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the stream cannot go on; nothing has run.
    pub fn begin_resumption(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
    ) -> Result<Option<OriginLookup>, Refusal> {
        if !call.is_resumed {
            return Ok(None);
        }
        let lookup = OriginLookup {
            peers: Vec::new(),
            attempt: call.stream,
            service: call.service.clone(),
            started_at: now,
            answers: Vec::new(),
        };
        if let Some(known) = self.origins.get(now, call.stream).cloned() {
            let basis = (known.source.name(), now.since(known.recorded_at));
            self.pin(now, call, known.origin, basis, &lookup)?;
            return Ok(None);
        }
        let asked = match self.peer_table.len() < FULL_RATE_DAEMONS {
            // The daemon that began the stream may not have sent its origin.
            true => usize::MAX,
            false => COPIES + 1,
        };
        let peers = self.holders(now, call.stream, asked);
        Ok(Some(OriginLookup { peers, ..lookup }))
    }

    /// Decides about a stream that the caller takes up, by the answers so far.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the stream cannot go on; nothing has run.
    pub fn end_resumption(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        lookup: &OriginLookup,
    ) -> Result<(), Refusal> {
        if let Some(origin) = lookup.known() {
            let basis = ("peer", now.since(lookup.started_at));
            return self.pin(now, call, Arc::new(origin.clone()), basis, lookup);
        }
        // A daemon that has lost the others may have missed that streams begin at a further version.
        let has_heard = |peer: &Peer| peer.last_gossip_at.is_some();
        let is_cut_off = lookup.answers.is_empty() && self.peer_table.peers().any(has_heard);
        let computed = self.computed_origin(now, &lookup.service, lookup.attempt);
        let is_agreed = |own: &&SoftwareVersion| lookup.soles().all(|sole| sole == *own);
        if let Some(version) = computed.filter(is_agreed).filter(|_| !is_cut_off) {
            let origin = StreamOrigin {
                service: lookup.service.clone(),
                version: version.clone(),
            };
            let basis = ("computed", self.freshness.age(now).unwrap_or_default());
            return self.pin(now, call, Arc::new(origin), basis, lookup);
        }
        let own = self.sole_version(now, &lookup.service).cloned();
        let is_unconfirmed = is_cut_off
            && (own.is_some() || computed.is_some())
            && !self.lists_all_versions(now, &lookup.service);
        let own = own.filter(|_| !is_unconfirmed);
        let is_mixed =
            lookup.has_mixed() || own.is_none() && self.versions.is_mixed(now, &lookup.service);
        let mut soles = own.iter().chain(lookup.soles());
        if let Some(version) = soles.next().filter(|_| !is_mixed)
            && soles.all(|other| other == version)
        {
            let origin = StreamOrigin {
                service: lookup.service.clone(),
                version: version.clone(),
            };
            let basis = ("sole", self.freshness.age(now).unwrap_or_default());
            return self.pin(now, call, Arc::new(origin), basis, lookup);
        }
        let age = now.since(lookup.started_at);
        let reason = match is_unconfirmed {
            true => "unconfirmed",
            false => "unknown",
        };
        self.record_resumption(now, call, "refuse", (reason, age), lookup);
        let refusal = Refusal::new(ErrorKind::NoEndpoint, "the stream's version is unknown");
        let may_be_known_later = is_unconfirmed
            || self.awaits_registrations(now)
            || lookup.answers.len() < lookup.peers.len();
        Err(Refusal {
            retry_after: may_be_known_later.then_some(RETRY_AFTER),
            ..refusal
        })
    }

    fn pin(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        origin: Arc<StreamOrigin>,
        basis: Basis,
        lookup: &OriginLookup,
    ) -> Result<(), Refusal> {
        let mut targets = call.route.targets.iter();
        if !targets.any(|target| target.service == origin.service) {
            self.record_resumption(now, call, "refuse", ("moved", basis.1), lookup);
            let detail = "the route has left the stream's service";
            return Err(Refusal {
                retry_after: None,
                ..Refusal::new(ErrorKind::NoEndpoint, detail)
            });
        }
        call.service.clone_from(&origin.service);
        self.record_resumption(now, call, origin.version.as_str(), basis, lookup);
        call.origin = Some(origin);
        Ok(())
    }

    fn record_resumption(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        choice: &str,
        (reason, age): Basis,
        lookup: &OriginLookup,
    ) {
        let shares = self.versions.shares(&call.service);
        let tables = shares.map_or(0, |shares| shares.tables.len());
        let is_complete = shares.is_some_and(|shares| shares.is_complete);
        self.journal.record(
            Decision::new(now, DecisionKind::Resume, choice, reason)
                .with("request", &call.id)
                .with("service", &call.service)
                .with("asked", lookup.peers.len())
                .with("answered", lookup.answers.len())
                .with("age_ms", age.as_millis())
                .with("took_ms", now.since(lookup.started_at).as_millis())
                .with("tables", tables)
                .with("complete", is_complete),
        );
    }

    /// Records that no endpoint of its version is left for a stream that the caller takes up.
    pub(super) fn record_version_gone(&mut self, now: Timestamp, call: &AdmittedCall) {
        if !call.is_resumed || call.sends > 0 {
            return;
        }
        self.journal.record(
            Decision::new(now, DecisionKind::Resume, "refuse", "no-endpoint")
                .with("request", &call.id)
                .with("service", &call.service)
                .with("software", call.pinned_version()),
        );
    }

    /// Returns whether origins wait to be sent to peers.
    pub fn has_origins_to_send(&self) -> bool {
        self.has_origins_to_send
    }

    /// Returns the origins to send to each peer. Origins beyond the budget stay with this
    /// daemon alone.
    pub fn take_origins(
        &mut self,
        now: Timestamp,
    ) -> Vec<(DaemonId, SocketAddr, Vec<OriginGroup>)> {
        self.has_origins_to_send = false;
        let mixed: Vec<ServiceName> = self
            .origins
            .unsent_services()
            .filter(|service| self.versions.is_mixed(now, service))
            .cloned()
            .collect();
        if mixed.is_empty() {
            return Vec::new();
        }
        let writer = self.origin_writer(now);
        if writer.is_none() {
            self.store_origins(now, &mixed);
        }
        if self.supporting_peers(now).next().is_none() {
            return Vec::new();
        }
        let mut left = self.send_budget.left(now, 1 + self.peer_table.len());
        type Groups = BTreeMap<Arc<StreamOrigin>, Vec<(AttemptDigest, u8)>>;
        let mut messages: BTreeMap<(DaemonId, SocketAddr), Groups> = BTreeMap::new();
        let mut skipped = 0;
        for (attempt, origin, expires_at) in mixed
            .iter()
            .flat_map(|service| self.origins.take_unsent(service))
            .collect::<Vec<_>>()
        {
            if left <= 0.0 {
                skipped += 1;
                continue;
            }
            let seconds = kept_seconds(expires_at.since(now));
            let mut peers = self.holders(now, attempt, COPIES);
            peers.extend(writer.clone().filter(|writer| !peers.contains(writer)));
            for peer in peers {
                let groups = messages.entry(peer).or_insert_with(|| {
                    self.send_budget.spend(MESSAGE_BYTES);
                    left -= MESSAGE_BYTES;
                    Groups::new()
                });
                let streams = groups.entry(Arc::clone(&origin)).or_default();
                streams.push((attempt, seconds));
                self.send_budget.spend(ORIGIN_BYTES);
                left -= ORIGIN_BYTES;
            }
        }
        if skipped > 0 {
            self.journal.record(
                Decision::new(now, DecisionKind::Budget, "not-sent", "stream-origins")
                    .with("streams", skipped),
            );
        }
        let to_group = |(origin, streams): (Arc<StreamOrigin>, _)| OriginGroup {
            origin: (*origin).clone(),
            streams,
        };
        messages
            .into_iter()
            .map(|((id, address), groups)| {
                (id, address, groups.into_iter().map(to_group).collect())
            })
            .collect()
    }

    /// Applies origins from a peer.
    pub fn on_origins(&mut self, now: Timestamp, groups: Vec<OriginGroup>) {
        self.record_origins(now, groups, OriginSource::Peer);
    }

    pub(super) fn record_origins(
        &mut self,
        now: Timestamp,
        groups: Vec<OriginGroup>,
        source: OriginSource,
    ) {
        let is_to_store = source == OriginSource::Peer && self.stores_for_others(now);
        for group in groups {
            let origin = Arc::new(group.origin);
            for (attempt, seconds) in group.streams {
                let expires_at = now.after(Duration::from_secs(seconds.into()));
                self.origins
                    .record(now, attempt, &origin, source, expires_at);
                self.check_shares(now, attempt, &origin);
                if is_to_store {
                    self.origin_store.add(now, attempt, &origin, expires_at);
                }
            }
        }
    }

    /// Answers a peer's question about the origin of a stream.
    pub fn on_origin_query(&mut self, now: Timestamp, query: &OriginQuery) -> OriginReply {
        let answer = if let Some(known) = self.origins.get(now, query.attempt) {
            OriginAnswer::Known((*known.origin).clone())
        } else {
            match self.sole_version(now, &query.service) {
                Some(version) => OriginAnswer::Sole(version.clone()),
                None if self.versions.is_mixed(now, &query.service) => OriginAnswer::Mixed,
                None => OriginAnswer::Unknown,
            }
        };
        OriginReply {
            id: query.id,
            answer,
        }
    }

    /// Records whether a peer decodes all variants of [`PeerMessage`].
    pub fn set_extension_support(&mut self, id: &DaemonId, is_supported: bool) {
        self.peer_table.set_extension_support(id, is_supported);
    }

    /// Completes a gossip message for one peer, in the form that the peer decodes.
    pub fn peer_gossip(&self, to: &DaemonId, message: &GossipMessage) -> PeerMessage {
        let message = self.gossip_for(to, message);
        if self.peer_table.protocol(to) >= PeerProtocol::STORE_ERA {
            return PeerMessage::EraGossip(message);
        }
        match self.peer_table.supports_extensions(to) && !message.view.batches.is_empty() {
            true => PeerMessage::VersionedGossip(message),
            false => PeerMessage::Gossip(message),
        }
    }

    /// Records whether the key-value store marks a service as having several versions.
    pub fn on_version_mark(&mut self, service: ServiceName, is_marked: bool) {
        self.versions.on_mark(service, is_marked);
        self.has_origins_to_send |= is_marked;
    }

    /// Returns the software versions of all services, and the marks.
    pub fn version_history(&self) -> &VersionHistory {
        &self.versions
    }

    /// Returns the services that this daemon has to mark: all with several versions, at the
    /// ready daemon that ranks first.
    pub fn services_to_mark(&self, now: Timestamp) -> Vec<ServiceName> {
        let own = daemon_hash(&self.own);
        let ranks_before =
            |peer: &Peer| peer.supports_extensions && daemon_hash(&peer.member.id) < own;
        if !self.is_ready(now) || self.peer_table.ready(now).any(ranks_before) {
            return Vec::new();
        }
        self.versions.mixed_services(now).cloned().collect()
    }

    /// Records the software versions that are listed now.
    pub(super) fn observe_versions(&mut self, now: Timestamp) {
        self.versions.observe(now, &self.endpoints);
        self.queue_mixed_origins(now);
    }

    /// Returns batches from a peer with the software version of each endpoint. A build that
    /// does not send versions leaves those of known processes as they were; any other endpoint
    /// without a version has to be read from the store.
    pub(super) fn with_versions(&self, batches: &[ViewBatch]) -> Vec<ViewBatch> {
        let mut batches = batches.to_vec();
        let changes = batches.iter_mut().flat_map(|batch| &mut batch.changes);
        for change in changes {
            let ViewChange::Endpoint(record) = change else {
                continue;
            };
            if record.version.is_some() {
                continue;
            }
            let known = self.endpoints.get(&record.id).map(|known| &known.record);
            let same = known.filter(|known| {
                known.started_at_ms == record.started_at_ms && known.address == record.address
            });
            match same.and_then(|known| known.version.clone()) {
                Some(version) => record.version = Some(version),
                None => *change = ViewChange::Other,
            }
        }
        batches
    }

    /// Returns whether all known daemons mark services with several versions.
    pub(super) fn are_marks_complete(&self) -> bool {
        let mut peers = self.peer_table.peers();
        peers.all(|peer| peer.supports_extensions)
    }

    fn supporting_peers(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let peers = self.peer_table.reachable(now);
        peers.filter(|peer| peer.supports_extensions)
    }

    /// Returns the reachable peers that rank first for a stream.
    fn holders(
        &self,
        now: Timestamp,
        stream: AttemptDigest,
        count: usize,
    ) -> Vec<(DaemonId, SocketAddr)> {
        rank_peers(self.supporting_peers(now), stream.0, count)
    }
}
