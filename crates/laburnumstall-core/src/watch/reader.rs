//! The hearing side: the loads of the endpoints in a daemon's subset, as peers tell them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::domain;
use crate::ids::EndpointId;
use crate::resources::LoadReport;
use crate::units::Timestamp;
use crate::watch::load::{EndpointTag, LoadDigest, LoadUpdate, QuantisedLoad, ReadingAge};

/// Time after which a load that was not told again counts as unknown: two refreshes and some.
pub const LOAD_TTL: Duration = Duration::from_secs(75);

domain! {
    /// A load with the time when it was heard.
    pub struct ReceivedLoad {
        /// The load.
        pub load: QuantisedLoad,
        /// When the report was taken, by this daemon's clock.
        pub taken_at: Timestamp,
        /// When it was heard.
        #[serde(rename = "at")]
        pub received_at: Timestamp,
    }
}

/// The loads heard from watchers.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    subset: BTreeSet<EndpointTag>,
    loads: BTreeMap<EndpointTag, ReceivedLoad>,
}

impl LoadView {
    /// Sets the endpoints of interest, and forgets all others.
    pub fn set_subset(&mut self, subset: &[EndpointId]) {
        self.subset = subset.iter().map(EndpointTag::of).collect();
        self.loads.retain(|tag, _| self.subset.contains(tag));
    }

    /// Takes in a digest; a word about an older reading than the one known, or about an
    /// endpoint outside the subset, changes nothing.
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

    /// Takes in a whole report that a watcher passed on, like a word about it.
    pub fn on_report(&mut self, now: Timestamp, report: &LoadReport) {
        let load = LoadUpdate {
            endpoint: EndpointTag::of(&report.endpoint),
            age: ReadingAge::at(now, report.taken_at),
            load: QuantisedLoad::of(report),
        };
        self.on_digest(now, &LoadDigest { loads: vec![load] });
    }

    /// Forgets the load of an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.loads.remove(&EndpointTag::of(endpoint));
    }

    /// Returns the load of an endpoint, if it was heard lately.
    pub fn load(&self, now: Timestamp, endpoint: &EndpointId) -> Option<&ReceivedLoad> {
        self.loads
            .get(&EndpointTag::of(endpoint))
            .filter(|received| now.since(received.received_at) < LOAD_TTL)
    }
}
