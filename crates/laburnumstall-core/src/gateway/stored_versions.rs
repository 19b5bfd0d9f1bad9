//! Software versions at which streams begin, as stored in the key-value store.
//!
//! Streams of a service begin only at stored versions, and a version that appears is stored a
//! little later. So a daemon that starts after all others have ended knows at which versions
//! the streams began that callers take up: with a single stored version, at that one, whatever
//! endpoints are listed by then. The delay gives the daemons time to store the origins of the
//! earlier streams.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use super::endpoint_table::EndpointEntry;
use super::gossip::{Peer, daemon_hash};
use super::load_balancer::EndpointQuery;
use super::peer_message::PeerProtocol;
use super::requests::MAX_CERTAIN_AGE;
use super::rules::CallKind;
use super::version_history::VersionHistory;
use crate::domain;
use crate::hash::digest64;
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
        self.versions.on_stored(now, service, stored);
        self.queue_mixed_origins(now);
    }

    /// Returns the versions to write: those that differ from the stored ones, at the ready daemon
    /// that ranks first.
    pub fn versions_to_store(&self, now: Timestamp) -> Vec<VersionsWrite> {
        let own = daemon_hash(&self.own);
        let ranks_before =
            |peer: &Peer| follows_stored_versions(peer) && daemon_hash(&peer.member.id) < own;
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
            let stored = StoredVersions {
                versions: self.versions_of(now, service),
                era: self.store_era().unwrap_or_default(),
            };
            let current = self.versions.stored(service);
            let is_due = !stored.versions.is_empty()
                && current.is_none_or(|(current, _)| *current != stored);
            is_due.then(|| VersionsWrite {
                service: service.clone(),
                stored,
                expected: current.map(|(_, version)| *version),
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
        sole.filter(|_| is_fresh)
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

/// Returns what a call needs of its endpoint.
pub(super) fn endpoint_query<'a>(
    versions: &'a VersionHistory,
    call: &'a AdmittedCall,
) -> EndpointQuery<'a> {
    EndpointQuery {
        service: &call.service,
        prompt: call.prompt.as_ref(),
        seed: digest64(&[call.id.as_bytes()]),
        version: call.origin.as_ref().map(|origin| &origin.version),
        admitted: admitted_versions(versions, call),
        excluded: &call.tried,
    }
}

/// Returns the versions at which a call may begin; `None` if it may begin at any.
fn admitted_versions<'a>(
    history: &'a VersionHistory,
    call: &AdmittedCall,
) -> Option<&'a BTreeSet<SoftwareVersion>> {
    let is_resumable = call.route.kind == CallKind::Stream && call.route.is_resumable;
    let (stored, _) = history.stored(&call.service)?;
    (is_resumable && call.origin.is_none()).then_some(&stored.versions)
}

fn follows_stored_versions(peer: &Peer) -> bool {
    peer.protocol >= PeerProtocol::STORED_VERSIONS
}
