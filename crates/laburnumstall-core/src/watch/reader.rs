//! Receiver of load digests: the loads of the endpoints in a daemon's subset.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::domain;
use crate::ids::EndpointId;
use crate::resources::LoadReport;
use crate::units::Timestamp;
use crate::watch::load::{EndpointTag, LoadDigest, LoadUpdate, QuantisedLoad, ReadingAge};

/// Time after which a load that was not refreshed expires: two refresh periods plus a margin.
pub const LOAD_TTL: Duration = Duration::from_secs(75);

domain! {
    /// A load with the time at which it was received.
    pub struct ReceivedLoad {
        /// Quantised load.
        pub load: QuantisedLoad,
        /// When the report was taken, by this daemon's clock.
        pub taken_at: Timestamp,
        /// When the load was received.
        #[serde(rename = "at")]
        pub received_at: Timestamp,
    }
}

/// Loads received from watchers.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    subset: BTreeSet<EndpointTag>,
    loads: BTreeMap<EndpointTag, ReceivedLoad>,
}

impl LoadView {
    /// Sets the endpoints of interest, and removes the loads of all others.
    pub fn set_subset(&mut self, subset: &[EndpointId]) {
        self.subset = subset.iter().map(EndpointTag::of).collect();
        self.loads.retain(|tag, _| self.subset.contains(tag));
    }

    /// Applies a digest; ignores updates that are older than the known load or that concern an
    /// endpoint outside the subset.
    pub fn on_digest(&mut self, now: Timestamp, digest: &LoadDigest) {
        let wanted = |load: &&LoadUpdate| self.subset.contains(&load.endpoint);
        for load in digest.loads.iter().filter(wanted) {
            let taken_at = now.before(load.age.duration());
            let known = self.loads.get(&load.endpoint);
            if known.is_some_and(|known| known.taken_at > taken_at) {
                continue;
            }
            let received = ReceivedLoad {
                load: load.load,
                taken_at,
                received_at: now,
            };
            self.loads.insert(load.endpoint, received);
        }
    }

    /// Applies a full report from a watcher like an update in a digest.
    pub fn on_report(&mut self, now: Timestamp, report: &LoadReport) {
        let load = LoadUpdate {
            endpoint: EndpointTag::of(&report.endpoint),
            age: ReadingAge::at(now, report.taken_at),
            load: QuantisedLoad::of(report),
        };
        self.on_digest(now, &LoadDigest { loads: vec![load] });
    }

    /// Removes the load of an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.loads.remove(&EndpointTag::of(endpoint));
    }

    /// Returns the load of an endpoint, unless it has expired.
    pub fn load(&self, now: Timestamp, endpoint: &EndpointId) -> Option<&ReceivedLoad> {
        self.loads
            .get(&EndpointTag::of(endpoint))
            .filter(|received| now.since(received.received_at) < LOAD_TTL)
    }
}
