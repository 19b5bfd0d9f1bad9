//! Software versions that the endpoints of each service have had recently.
//!
//! A stream of unknown origin may go on only if a single version was there for as long as any
//! stream that a caller may still take up. A daemon that has just started knows that from the
//! marks in the key-value store: a service with several versions has one, under a lease that
//! lasts for that time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::endpoint_table::EndpointTable;
use super::stream_origin::RETURN_TIME;
use crate::ids::{ServiceName, SoftwareVersion};
use crate::units::Timestamp;

#[derive(Debug, Clone, Copy)]
struct Sighting {
    is_listed: bool,
    last_listed_at: Timestamp,
}

/// Versions of all services within the retention time.
#[derive(Debug, Clone)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Sighting>>,
    /// Services that the key-value store marks as having several versions.
    marks: BTreeSet<ServiceName>,
    /// Time since which no version can have been missed.
    complete_since: Option<Timestamp>,
    retention: Duration,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self {
            services: BTreeMap::new(),
            marks: BTreeSet::new(),
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
            let listed = Sighting {
                is_listed: true,
                last_listed_at: now,
            };
            match self.services.get_mut(&entry.record.service) {
                Some(versions) if versions.contains_key(version) => {
                    versions.insert(version.clone(), listed);
                }
                _ => {
                    let versions = self.services.entry(entry.record.service.clone());
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

    /// Returns whether a service had several versions within the retention time.
    pub fn is_mixed(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.marks.contains(service) || self.recent(now, service).nth(1).is_some()
    }

    /// Returns the only version that a service had within the retention time.
    pub fn sole(&self, now: Timestamp, service: &ServiceName) -> Option<&SoftwareVersion> {
        let is_complete = self
            .complete_since
            .is_some_and(|since| now.since(since) >= self.retention);
        if !is_complete || self.is_mixed(now, service) {
            return None;
        }
        self.recent(now, service).next()
    }

    fn recent(
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
    fn counts(&self, now: Timestamp, retention: Duration) -> bool {
        self.is_listed || now.since(self.last_listed_at) < retention
    }
}
