//! Software versions at which streams begin, as stored in the key-value store.
//!
//! Streams of a service begin only at stored versions, and a version that appears is stored a
//! little later. So a daemon that starts after all others have ended knows at which versions
//! the streams began that callers take up: with a single stored version, at that one, whatever
//! endpoints are listed by then. The delay gives the daemons time to store the origins of the
//! earlier streams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use super::endpoint_table::{EndpointEntry, REREGISTER_TIME};
use super::gossip::{Peer, daemon_hash};
use super::peer_message::PeerProtocol;
use super::requests::MAX_CERTAIN_AGE;
use super::rollout::RolloutScope;
use super::rules::CallKind;
use super::stream_origin::{AttemptDigest, StreamOrigin};
use super::version_history::VersionHistory;
use super::version_shares::{VersionShares, VersionSlots};
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::ids::{ServiceName, SoftwareVersion};
use crate::store::{StoreEra, StoreVersion};
use crate::units::Timestamp;

/// Time for which a further version is listed before streams begin at it. It outlasts the read
/// of the list by all daemons and the storing of origins, and the return of most callers to a
/// fleet that has just started.
const ADMIT_DELAY: Duration = Duration::from_secs(2);
/// The same time while few endpoints of the stored versions are left. It is the maximum age of a view
/// that a daemon may believe without a peer's answer, so that such a view lists the version.
const QUICK_ADMIT_DELAY: Duration = Duration::from_secs(1);
/// Time after the start of a daemon in which it leaves the writes to those that it does not know yet.
const START_DELAY: Duration = Duration::from_secs(1);
/// Time within which a registration is read.
const READ_DELAY: Duration = Duration::from_millis(500);
/// Share of a service's endpoints, in percent, below which the stored versions are too few to
/// wait for the long delay.
const MIN_STORED_PERCENT: usize = 75;

domain! {
    /// Versions at which streams of a service may begin or may have begun.
    #[derive(Eq)]
    pub struct StoredVersions {
        /// The versions.
        pub versions: BTreeSet<SoftwareVersion>,
        /// Era of the store in which they were written.
        pub era: StoreEra,
        /// Tables by which streams begin; `None` if they begin at any of the versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub shares: Option<VersionShares>,
    }

    /// Write of the versions of one service.
    #[derive(Eq)]
    pub struct VersionsWrite {
        /// The service.
        pub service: ServiceName,
        /// Versions to store.
        pub stored: StoredVersions,
        /// Required version of the key; `None` if it must not exist.
        pub expected: Option<StoreVersion>,
    }
}

impl Gateway {
    /// Applies the stored versions of a service, with the version of their key; `None` if they
    /// were removed or are unreadable.
    pub fn on_stored_versions(
        &mut self,
        now: Timestamp,
        service: ServiceName,
        stored: Option<(StoredVersions, StoreVersion)>,
    ) {
        let era = self.store_era().unwrap_or_default();
        let is_of_copy = stored.as_ref().is_none_or(|(read, _)| read.era < era);
        let known = self.versions.stored(&service);
        let known = known.filter(|(known, _)| known.era < era && is_of_copy);
        if known.is_none() {
            let is_listed = stored.is_some() && is_of_copy;
            match is_listed {
                true => self.copied_versions.insert(service.clone()),
                false => self.copied_versions.remove(&service),
            };
        }
        let stored = match (known, stored) {
            // What this daemon knew before the store came back is the later of the two.
            (Some((known, _)), read) => Some((known.clone(), read.map(|(_, version)| version))),
            (None, read) => read.map(|(mut read, version)| {
                read.shares = read.shares.filter(VersionShares::is_whole);
                (read, Some(version))
            }),
        };
        let had_shares = self.versions.shares(&service).cloned();
        self.versions.on_stored(now, service.clone(), stored);
        if had_shares.as_ref() != self.versions.shares(&service) {
            self.on_shares_changed(now, &service);
        }
        self.queue_mixed_origins(now);
    }

    /// Returns the versions to write: those that differ from the stored ones, at the ready daemon
    /// that ranks first; and those whose tables contradict where streams began, at each daemon.
    pub fn versions_to_store(&self, now: Timestamp) -> Vec<VersionsWrite> {
        let mut writes = self.due_versions(now);
        for service in &self.share_contradictions {
            let Some((current, version)) = self.versions.stored(service) else {
                continue;
            };
            if writes.iter().all(|write| write.service != *service) {
                let shares = current.shares.as_ref().map(VersionShares::restarted);
                writes.push(VersionsWrite {
                    service: service.clone(),
                    stored: StoredVersions {
                        shares,
                        ..current.clone()
                    },
                    expected: *version,
                });
            }
        }
        writes
    }

    fn due_versions(&self, now: Timestamp) -> Vec<VersionsWrite> {
        let own = daemon_hash(&self.own);
        // A daemon of an earlier build does not write tables.
        let ranks_before =
            |peer: &Peer| begins_by_shares(peer) && daemon_hash(&peer.member.id) < own;
        let is_settled = self
            .first_listed_at
            .is_some_and(|at| now.since(at) >= START_DELAY);
        if !is_settled || !self.is_ready(now) || self.peer_table.ready(now).any(ranks_before) {
            return Vec::new();
        }
        let mut services: BTreeSet<&ServiceName> = BTreeSet::new();
        if let Some(table) = &self.routing_table {
            let routes = table.rules().routes.iter();
            let resumable =
                routes.filter(|route| route.kind == CallKind::Stream && route.is_resumable);
            let targets = resumable.flat_map(|route| &route.targets);
            services.extend(targets.map(|target| &target.service));
        }
        let writes = services.into_iter().filter_map(|service| {
            let current = self.versions.stored(service);
            let mut versions = self.versions_of(now, service);
            let shares = self.shares_of(now, service, &versions);
            if let (Some(shares), Some((current, _))) = (&shares, current) {
                // A further version is admitted when streams begin there.
                let is_used = |version: &SoftwareVersion| shares.versions().any(|v| v == version);
                versions.retain(|version| current.versions.contains(version) || is_used(version));
            }
            let stored = StoredVersions {
                shares,
                versions,
                era: self.store_era().unwrap_or_default(),
            };
            let is_due = !stored.versions.is_empty()
                && current.is_none_or(|(current, _)| *current != stored);
            is_due.then(|| VersionsWrite {
                service: service.clone(),
                stored,
                expected: current.and_then(|(_, version)| *version),
            })
        });
        writes.collect()
    }

    /// Returns the versions at which streams of a service may begin or may have begun.
    fn versions_of(&self, now: Timestamp, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let recent = self.versions.recent(now, service);
        let Some((stored, _)) = self.versions.stored(service) else {
            return recent.cloned().collect();
        };
        let mut versions: BTreeSet<SoftwareVersion> = recent
            .filter(|version| stored.versions.contains(*version))
            .cloned()
            .collect();
        let is_further = |version: &SoftwareVersion| !stored.versions.contains(version);
        let further = self.versions.listed(service);
        let mut further = further
            .filter(|(version, _)| is_further(version))
            .peekable();
        if further.peek().is_some() {
            let delay = self.admit_delay(service, &stored.versions);
            versions.extend(
                further
                    .filter(|(_, since)| now.since(*since) >= delay)
                    .map(|(version, _)| version.clone()),
            );
        }
        versions
    }

    /// Returns the tables to store of a service; `None` while streams may begin at any version.
    fn shares_of(
        &self,
        now: Timestamp,
        service: &ServiceName,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> Option<VersionShares> {
        let scope = self.rollout_scope(service);
        let is_rolled_out = scope.is_some_and(|scope| scope.is_open);
        if is_rolled_out || !self.peer_table.peers().all(begins_by_shares) {
            return None;
        }
        let slots = self.version_slots(service, scope)?;
        let Some((current, _)) = self.versions.stored(service) else {
            // Nothing has begun yet, unless the store has lost what was there.
            let is_new = self.versions.share_clock(service).is_none();
            let is_complete = is_new && self.store_restored_at().is_none();
            let admitted = slots.into_iter().filter(|(v, _)| versions.contains(v));
            return VersionShares::first(&admitted.collect(), is_complete);
        };
        let era = self.store_era().unwrap_or_default();
        let clock = self.versions.share_clock(service);
        match (&current.shares, clock) {
            (Some(shares), _)
                if self.copied_versions.contains(service)
                    || self.share_contradictions.contains(service) =>
            {
                Some(shares.restarted())
            }
            // The tables that this daemon knew before the store came back.
            (Some(shares), _) if current.era != era => Some(shares.clone()),
            (Some(shares), Some(clock)) => {
                Some(clock.next(now, shares, &slots, versions, self.versions.retention()))
            }
            _ => {
                let admitted = slots.into_iter().filter(|(v, _)| versions.contains(v));
                VersionShares::first(&admitted.collect(), false)
            }
        }
    }

    /// Returns the slots of a service's endpoints at which streams may begin, by version; `None`
    /// if the version of one is unknown.
    fn version_slots(
        &self,
        service: &ServiceName,
        scope: Option<RolloutScope<'_>>,
    ) -> Option<VersionSlots> {
        let mut slots = VersionSlots::new();
        let entries = self.endpoints.iter();
        let entries = entries.filter(|entry| entry.record.service == *service);
        for entry in entries.filter(|entry| !entry.is_leaving()) {
            let version = entry.record.version.clone()?;
            let is_in_scope =
                |scope: RolloutScope<'_>| (*scope.version == version) == scope.is_in_use;
            if scope.is_none_or(is_in_scope) {
                *slots.entry(version).or_default() += u64::from(entry.record.slots.max(1));
            }
        }
        Some(slots)
    }

    /// Returns the version at which a new stream has to begin; `None` if it may begin at any that is
    /// admitted, or is none that callers can take up.
    pub(super) fn begin_version(&self, call: &AdmittedCall) -> Option<SoftwareVersion> {
        let is_new = call.route.kind == CallKind::Stream && call.origin.is_none();
        if !is_new || !call.route.is_resumable {
            return None;
        }
        let begins_at = |shares: &VersionShares| shares.begins_at(call.stream).cloned();
        if let Some((stored, _)) = self.versions.stored(&call.service) {
            return begins_at(stored.shares.as_ref()?);
        }
        // The first table is stored a moment after the first start, and is the same in most cases.
        let is_open = |scope: RolloutScope<'_>| scope.is_open;
        let scope = self.rollout_scope(&call.service);
        if scope.is_some_and(is_open) || !self.peer_table.peers().all(begins_by_shares) {
            return None;
        }
        let slots = self.version_slots(&call.service, scope)?;
        begins_at(&VersionShares::first(&slots, false)?)
    }

    /// Returns the version at which a stream that a caller takes up began, computed from the stored
    /// tables, if that is certain.
    pub(super) fn computed_origin(
        &self,
        now: Timestamp,
        service: &ServiceName,
        attempt: AttemptDigest,
    ) -> Option<&SoftwareVersion> {
        let (stored, _) = self.versions.stored(service)?;
        let is_valid = self.freshness.is_within(now, MAX_CERTAIN_AGE)
            && Some(stored.era) == self.versions_era()
            && self.peer_table.peers().all(begins_by_shares)
            && !self.share_contradictions.contains(service);
        let origin = stored.shares.as_ref()?.origin(attempt);
        origin.filter(|_| is_valid)
    }

    /// Records that the tables of a service differ from where a stream began, if they do.
    pub(super) fn check_shares(
        &mut self,
        now: Timestamp,
        attempt: AttemptDigest,
        origin: &StreamOrigin,
    ) {
        let shares = self.versions.shares(&origin.service);
        let computed = shares.and_then(|shares| shares.origin(attempt));
        if computed.is_none_or(|computed| *computed == origin.version)
            || !self.share_contradictions.insert(origin.service.clone())
        {
            return;
        }
        self.journal.record(
            Decision::new(now, DecisionKind::Connection, "shares", "contradicted")
                .with("service", &origin.service)
                .with("software", &origin.version)
                .with("computed", SoftwareVersion::text(computed)),
        );
    }

    fn on_shares_changed(&mut self, now: Timestamp, service: &ServiceName) {
        self.share_contradictions.remove(service);
        let Some(shares) = self.versions.shares(service) else {
            return;
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Connection, "shares", "stored")
                .with("service", service)
                .with("table", shares.in_use)
                .with("tables", shares.tables.len())
                .with("complete", shares.is_complete)
                .with("versions", shares.versions().count()),
        );
        let is_of_service = |origin: &StreamOrigin| origin.service == *service;
        let contradiction = self.origins.iter().find(|(attempt, origin, _)| {
            let computed = shares.origin(*attempt);
            is_of_service(origin) && computed.is_some_and(|version| *version != origin.version)
        });
        if let Some((attempt, origin, _)) = contradiction {
            let origin = Arc::clone(origin);
            self.check_shares(now, attempt, &origin);
        }
    }

    /// Returns the time for which a further version is listed before it is stored: none if no endpoint
    /// of the stored versions is left.
    fn admit_delay(&self, service: &ServiceName, stored: &BTreeSet<SoftwareVersion>) -> Duration {
        let is_usable =
            |entry: &&EndpointEntry| entry.record.service == *service && !entry.is_leaving();
        let is_stored = |entry: &&EndpointEntry| {
            let version = entry.record.version.as_ref();
            version.is_none_or(|version| stored.contains(version))
        };
        let usable = self.endpoints.iter().filter(is_usable).count();
        let of_stored = self.endpoints.iter().filter(is_usable).filter(is_stored);
        match of_stored.count() {
            0 => Duration::ZERO,
            count if count * 100 < usable * MIN_STORED_PERCENT => QUICK_ADMIT_DELAY,
            _ => ADMIT_DELAY,
        }
    }

    /// Returns the only version at which streams of a service can have begun, by a recent view.
    pub(super) fn sole_version(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<&SoftwareVersion> {
        let is_fresh = self.freshness.is_within(now, MAX_CERTAIN_AGE);
        let sole = self.versions.sole(now, service, self.versions_era());
        let is_mixed = self.is_restored_recently(now) && self.versions.is_mixed(now, service);
        sole.filter(|_| is_fresh && !is_mixed && !self.awaits_registrations(now))
    }

    /// Returns whether the store came back from a copy so recently that streams which began at a
    /// version that the copy lacks can be taken up.
    fn is_restored_recently(&self, now: Timestamp) -> bool {
        let restored_at = self.store_restored_at();
        restored_at.is_some_and(|at| now.since(at) < self.versions.retention())
    }

    /// Returns whether endpoints that the copy lacks may not have registered again yet.
    pub(super) fn awaits_registrations(&self, now: Timestamp) -> bool {
        let restored_at = self.store_restored_at();
        restored_at.is_some_and(|at| now.since(at) < REREGISTER_TIME + READ_DELAY)
    }

    /// Returns whether a service has one version only, also if another one was stored since the view
    /// was confirmed: that one would be listed in the view.
    pub(super) fn lists_all_versions(&self, now: Timestamp, service: &ServiceName) -> bool {
        let is_recent = self.freshness.is_within(now, QUICK_ADMIT_DELAY);
        is_recent && self.versions.listed(service).nth(1).is_none()
    }

    /// Returns the era in which the stored versions tell where streams began; `None` while daemons
    /// of builds that do not follow them are known.
    pub(super) fn versions_era(&self) -> Option<StoreEra> {
        let all_follow = self.peer_table.peers().all(follows_stored_versions);
        all_follow.then(|| self.store_era().unwrap_or_default())
    }
}

/// Returns the versions at which a call may begin; `None` if it may begin at any.
pub(super) fn admitted_versions<'a>(
    history: &'a VersionHistory,
    call: &AdmittedCall,
) -> Option<&'a BTreeSet<SoftwareVersion>> {
    let is_resumable = call.route.kind == CallKind::Stream && call.route.is_resumable;
    let (stored, _) = history.stored(&call.service)?;
    (is_resumable && call.origin.is_none()).then_some(&stored.versions)
}

fn begins_by_shares(peer: &Peer) -> bool {
    peer.protocol >= PeerProtocol::VERSION_SHARES
}

fn follows_stored_versions(peer: &Peer) -> bool {
    peer.protocol >= PeerProtocol::STORED_VERSIONS
}
