//! Software versions that the endpoints of each service have had recently.
//!
//! A stream of unknown origin may go on only if a single version was there for as long as any
//! stream that a caller may still take up. A daemon that has just started knows that from the
//! versions in the key-value store at which streams begin (see
//! [`stored_versions`](super::stored_versions)), or else from the marks there: a service with
//! several versions has one, under a lease that lasts for that time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::endpoint_table::EndpointTable;
use super::stored_versions::StoredVersions;
use super::stream_origin::RETURN_TIME;
use super::version_shares::{ShareClock, VersionShares};
use crate::ids::{ServiceName, SoftwareVersion};
use crate::store::{StoreEra, StoreVersion};
use crate::units::Timestamp;

#[derive(Debug, Clone, Copy)]
struct Sighting {
    is_listed: bool,
    first_listed_at: Timestamp,
    last_listed_at: Timestamp,
}

/// Versions of all services within the retention time.
#[derive(Debug, Clone)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Sighting>>,
    /// Services that the key-value store marks as having several versions.
    marks: BTreeSet<ServiceName>,
    /// Versions at which streams begin, as stored, with the version of the key; without one if the
    /// store has lost it.
    stored: BTreeMap<ServiceName, (StoredVersions, Option<StoreVersion>)>,
    share_clocks: BTreeMap<ServiceName, ShareClock>,
    /// Time since which no version can have been missed.
    complete_since: Option<Timestamp>,
    retention: Duration,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self {
            services: BTreeMap::new(),
            marks: BTreeSet::new(),
            stored: BTreeMap::new(),
            share_clocks: BTreeMap::new(),
            complete_since: None,
            retention: RETURN_TIME,
        }
    }
}

impl VersionHistory {
    /// Returns the time for which a version that is no longer listed counts: longer than any
    /// stream that it began can be taken up.
    pub fn retention(&self) -> Duration {
        self.retention
    }

    /// Sets the retention to outlast streams that run for up to `longest_stream`.
    pub fn set_longest_stream(&mut self, longest_stream: Duration) {
        self.retention = longest_stream + RETURN_TIME;
    }

    /// Records the versions that are listed now.
    pub fn observe(&mut self, now: Timestamp, endpoints: &EndpointTable) {
        for sighting in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            if std::mem::replace(&mut sighting.is_listed, false) {
                sighting.last_listed_at = now;
            }
        }
        for entry in endpoints.iter() {
            let Some(version) = &entry.record.version else {
                continue;
            };
            let versions = self.services.get_mut(&entry.record.service);
            match versions.and_then(|versions| versions.get_mut(version)) {
                Some(sighting) => sighting.on_listed(now),
                None => {
                    let versions = self.services.entry(entry.record.service.clone());
                    let listed = Sighting {
                        is_listed: true,
                        first_listed_at: now,
                        last_listed_at: now,
                    };
                    versions.or_default().insert(version.clone(), listed);
                }
            }
        }
        let retention = self.retention;
        self.services.retain(|_, versions| {
            versions.retain(|_, sighting| sighting.counts(now, retention));
            !versions.is_empty()
        });
    }

    /// Records that all endpoints and marks were read. Without marks by all daemons, versions
    /// from before the read may be missing.
    pub fn on_snapshot(&mut self, now: Timestamp, are_marks_complete: bool) {
        self.complete_since = Some(match are_marks_complete {
            true => Timestamp::ZERO,
            false => now,
        });
    }

    /// Records whether the key-value store marks a service as having several versions.
    pub fn on_mark(&mut self, service: ServiceName, is_marked: bool) {
        match is_marked {
            true => self.marks.insert(service),
            false => self.marks.remove(&service),
        };
    }

    /// Returns the services with a mark.
    pub fn marks(&self) -> impl Iterator<Item = &ServiceName> {
        self.marks.iter()
    }

    /// Returns the services that had several versions within the retention time, by this
    /// daemon's own view.
    pub fn mixed_services(&self, now: Timestamp) -> impl Iterator<Item = &ServiceName> {
        self.services
            .keys()
            .filter(move |service| self.recent(now, service).nth(1).is_some())
    }

    /// Records the stored versions of a service, with the version of their key; `None` if they
    /// were removed. Those that are not listed count as if they had just left.
    pub fn on_stored(
        &mut self,
        now: Timestamp,
        service: ServiceName,
        stored: Option<(StoredVersions, Option<StoreVersion>)>,
    ) {
        let clock = self.share_clocks.entry(service.clone()).or_default();
        let Some(stored) = stored else {
            clock.on_stored(now, None);
            self.stored.remove(&service);
            return;
        };
        clock.on_stored(now, stored.0.shares.as_ref());
        let sightings = self.services.entry(service.clone()).or_default();
        for version in &stored.0.versions {
            sightings.entry(version.clone()).or_insert(Sighting {
                is_listed: false,
                first_listed_at: now,
                last_listed_at: now,
            });
        }
        self.stored.insert(service, stored);
    }

    /// Returns the stored versions of a service, with the version of their key.
    pub fn stored(&self, service: &ServiceName) -> Option<&(StoredVersions, Option<StoreVersion>)> {
        self.stored.get(service)
    }

    /// Returns the stored tables of a service by which its streams begin.
    pub fn shares(&self, service: &ServiceName) -> Option<&VersionShares> {
        self.stored.get(service)?.0.shares.as_ref()
    }

    /// Returns when the stored tables of a service were first seen; `None` if it has had no stored
    /// versions.
    pub(super) fn share_clock(&self, service: &ServiceName) -> Option<&ShareClock> {
        self.share_clocks.get(service)
    }

    /// Returns the services with stored versions.
    pub fn stored_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.stored.keys()
    }

    /// Returns the listed versions of a service with the time since which each one is listed.
    pub(super) fn listed(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&SoftwareVersion, Timestamp)> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(|(_, sighting)| sighting.is_listed)
            .map(|(version, sighting)| (version, sighting.first_listed_at))
    }

    /// Returns whether a service had several versions within the retention time.
    pub fn is_mixed(&self, now: Timestamp, service: &ServiceName) -> bool {
        let mut recent = self.recent(now, service);
        let first = recent.next();
        let stored = self.stored.get(service).map(|(stored, _)| &stored.versions);
        let mut stored = stored.into_iter().flatten();
        let first = first.or_else(|| stored.next());
        self.marks.contains(service)
            || recent.next().is_some()
            || stored.any(|version| Some(version) != first)
    }

    /// Returns the only version at which streams of a service can have begun within the
    /// retention time. The stored versions decide if they are of the `era` in which all daemons
    /// follow them.
    pub fn sole(
        &self,
        now: Timestamp,
        service: &ServiceName,
        era: Option<StoreEra>,
    ) -> Option<&SoftwareVersion> {
        if let Some((stored, _)) = self.stored.get(service)
            && Some(stored.era) == era
        {
            let mut versions = stored.versions.iter();
            let only = versions.next().filter(|_| versions.next().is_none())?;
            // Streams begin at any version once those that are stored have left.
            let mut listed = self.listed(service);
            return listed.any(|(version, _)| version == only).then_some(only);
        }
        let is_complete = self
            .complete_since
            .is_some_and(|since| now.since(since) >= self.retention);
        if !is_complete || self.is_mixed(now, service) {
            return None;
        }
        self.recent(now, service).next()
    }

    /// Returns the versions that a service had within the retention time.
    pub(super) fn recent(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(move |(_, sighting)| sighting.counts(now, self.retention))
            .map(|(version, _)| version)
    }
}

impl Sighting {
    fn on_listed(&mut self, now: Timestamp) {
        if !self.is_listed && self.last_listed_at < now {
            self.first_listed_at = now;
        }
        self.is_listed = true;
        self.last_listed_at = now;
    }

    fn counts(&self, now: Timestamp, retention: Duration) -> bool {
        self.is_listed || now.since(self.last_listed_at) < retention
    }
}
