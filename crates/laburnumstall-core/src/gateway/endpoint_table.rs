//! The endpoints of all services, as their entries in the key-value service tell them.
//!
//! An entry that lapses while the service is out of reach says nothing about the endpoint,
//! which could not renew it. So what lapsed around an outage is used on for a short time
//! after it, in which an endpoint that lives registers anew.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName};
use crate::units::Timestamp;

/// Time after an outage in which an endpoint that lives has registered anew.
pub const REREGISTER_TIME: Duration = Duration::from_secs(2);

domain! {
    /// What an endpoint says of itself.
    pub struct EndpointRecord {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Service that it runs.
        pub service: ServiceName,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
        /// Zone of its VM.
        pub zone: AvailabilityZone,
        /// Calls that it runs at once.
        pub slots: u32,
        /// Whether it takes no new work.
        pub is_leaving: bool,
        /// Whether its VM can be reclaimed.
        pub is_spot: bool,
        /// Start of its process, in milliseconds since the Unix epoch.
        #[serde(rename = "born")]
        pub started_at_ms: u64,
    }
}

/// One endpoint that is known.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// What it says of itself.
    pub record: EndpointRecord,
    /// When its entry lapsed beside an outage.
    lapsed_at: Option<Timestamp>,
}

/// All endpoints that are known.
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

    /// Takes in an entry; returns whether anything but its age changed.
    pub fn on_entry(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
        journal: &mut Journal,
    ) -> bool {
        let known = self.endpoints.get(&record.id);
        if known.is_some_and(|known| known.record == record && known.lapsed_at.is_none()) {
            return false;
        }
        let choice = match known {
            _ if record.is_leaving => "leaving",
            None => "listed",
            Some(_) => "changed",
        };
        journal.record(fact(now, choice, "entry", &record));
        self.endpoints.insert(
            record.id.clone(),
            EndpointEntry {
                record,
                lapsed_at: None,
            },
        );
        true
    }

    /// Takes in that an entry is gone; `is_unsteady` tells that the service was out of
    /// reach lately.
    pub fn on_removed(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        is_unsteady: bool,
        journal: &mut Journal,
    ) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        if is_unsteady && !known.record.is_leaving {
            if known.lapsed_at.is_none() {
                known.lapsed_at = Some(now);
                journal.record(fact(now, "kept", "lapsed-in-outage", &known.record));
            }
            return false;
        }
        journal.record(fact(now, "removed", "entry-gone", &known.record));
        self.endpoints.remove(id);
        true
    }

    /// Takes over a whole list: what it lacks is gone, or lapsed in an outage.
    pub fn on_list(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
        is_unsteady: bool,
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
            is_changed |= self.on_removed(now, id, is_unsteady, journal);
        }
        for record in records {
            is_changed |= self.on_entry(now, record, journal);
        }
        is_changed
    }

    /// Drops what lapsed in an outage that is over since `steady_since` and has not come
    /// back within [`REREGISTER_TIME`].
    pub fn drop_lapsed(
        &mut self,
        now: Timestamp,
        steady_since: Timestamp,
        journal: &mut Journal,
    ) -> bool {
        let is_due = |at: Timestamp| now.since(at.max(steady_since)) >= REREGISTER_TIME;
        let gone: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|listed| listed.lapsed_at.is_some_and(is_due))
            .map(|listed| listed.record.id.clone())
            .collect();
        for id in &gone {
            if let Some(listed) = self.endpoints.remove(id) {
                journal.record(fact(
                    now,
                    "removed",
                    "not-back-after-outage",
                    &listed.record,
                ));
            }
        }
        !gone.is_empty()
    }
}

fn fact(now: Timestamp, choice: &str, reason: &str, record: &EndpointRecord) -> Decision {
    Decision::new(now, DecisionKind::Membership, choice, reason)
        .with("endpoint", &record.id)
        .with("service", &record.service)
        .with("zone", &record.zone)
        .with("address", record.address)
        .with("spot", record.is_spot)
        .with("born", record.started_at_ms)
}
