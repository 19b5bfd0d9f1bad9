//! Endpoints of all services, from their entries in the key-value store.
//!
//! An endpoint cannot renew its entry while the store is unreachable, so an entry that expires
//! around an outage does not show that its endpoint has failed. Such endpoints stay in use for
//! a short time after the outage, so that live ones can register again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName, SoftwareVersion};
use crate::units::Timestamp;

/// Time after an outage within which a live endpoint registers again.
pub const REREGISTER_TIME: Duration = Duration::from_secs(2);

domain! {
    /// Entry that an endpoint registers for itself.
    pub struct EndpointRecord {
        /// Identifier of the endpoint.
        pub id: EndpointId,
        /// Service that it runs.
        pub service: ServiceName,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
        /// Zone of its VM.
        pub zone: AvailabilityZone,
        /// Maximum number of concurrent calls.
        pub slots: u32,
        /// Whether it is draining and accepts no new work.
        pub is_leaving: bool,
        /// Whether its VM is reclaimable.
        pub is_spot: bool,
        /// Start of its process, in milliseconds since the Unix epoch.
        #[serde(rename = "born")]
        pub started_at_ms: u64,
        /// Version of its software; `None` if unknown. The layout of this type in gossip
        /// messages precedes the field, so it is not encoded.
        #[serde(skip)]
        pub version: Option<SoftwareVersion>,
    }
}

/// Endpoint in the table.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Its latest entry.
    pub record: EndpointRecord,
    /// When this daemon last learned that the endpoint wrote its entry.
    written_at: Timestamp,
    /// Whether its entry expired around an outage.
    is_expired: bool,
}

/// All known endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
}

impl EndpointTable {
    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values()
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointEntry> {
        self.endpoints.get(id)
    }

    /// Adds or updates an entry; returns whether anything changed.
    pub fn on_entry(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
        journal: &mut Journal,
    ) -> bool {
        let known = self.endpoints.get_mut(&record.id);
        let choice = match known {
            Some(known) if known.record == record && !known.is_expired => {
                known.written_at = now;
                return false;
            }
            _ if record.is_leaving => "leaving",
            None => "listed",
            Some(_) => "changed",
        };
        journal.record(endpoint_decision(now, choice, "entry", &record));
        self.endpoints.insert(
            record.id.clone(),
            EndpointEntry {
                record,
                written_at: now,
                is_expired: false,
            },
        );
        true
    }

    /// Applies the removal of an entry; returns whether the endpoint was removed.
    /// `is_after_outage` means that the store was unreachable recently: the endpoint is then
    /// kept unless it is draining.
    pub fn on_removed(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        is_after_outage: bool,
        journal: &mut Journal,
    ) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        if is_after_outage && !known.record.is_leaving {
            if !std::mem::replace(&mut known.is_expired, true) {
                journal.record(removal_decision(now, "kept", "lapsed-in-outage", known));
            }
            return false;
        }
        journal.record(removal_decision(now, "removed", "entry-gone", known));
        self.endpoints.remove(id);
        true
    }

    /// Replaces the table with a complete list; endpoints missing from the list are removed,
    /// or kept if `is_after_outage`. Returns whether anything changed.
    pub fn on_list(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
        is_after_outage: bool,
        journal: &mut Journal,
    ) -> bool {
        let is_missing = |id: &EndpointId| records.iter().all(|record| record.id != *id);
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| is_missing(id))
            .cloned()
            .collect();
        let mut is_changed = false;
        for id in &missing {
            is_changed |= self.on_removed(now, id, is_after_outage, journal);
        }
        for record in records {
            is_changed |= self.on_entry(now, record, journal);
        }
        is_changed
    }

    /// Removes endpoints whose entries expired in an outage that ended at `outage_ended_at` and
    /// that have not registered again within [`REREGISTER_TIME`]; returns whether any were
    /// removed.
    pub fn remove_expired(
        &mut self,
        now: Timestamp,
        outage_ended_at: Timestamp,
        journal: &mut Journal,
    ) -> bool {
        if now.since(outage_ended_at) < REREGISTER_TIME {
            return false;
        }
        let expired: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|entry| entry.is_expired)
            .map(|entry| entry.record.id.clone())
            .collect();
        for id in &expired {
            if let Some(entry) = self.endpoints.remove(id) {
                let reason = "not-back-after-outage";
                journal.record(removal_decision(now, "removed", reason, &entry));
            }
        }
        !expired.is_empty()
    }
}

fn removal_decision(now: Timestamp, choice: &str, reason: &str, entry: &EndpointEntry) -> Decision {
    endpoint_decision(now, choice, reason, &entry.record)
        .with("written_ms_ago", now.since(entry.written_at).as_millis())
}

fn endpoint_decision(
    now: Timestamp,
    choice: &str,
    reason: &str,
    record: &EndpointRecord,
) -> Decision {
    Decision::new(now, DecisionKind::Membership, choice, reason)
        .with("endpoint", &record.id)
        .with("service", &record.service)
        .with("software", SoftwareVersion::text(record.version.as_ref()))
        .with("zone", &record.zone)
        .with("address", record.address)
        .with("spot", record.is_spot)
        .with("born", record.started_at_ms)
}
