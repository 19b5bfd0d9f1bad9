//! The hearing side: the loads of the endpoints in a daemon's subset, as peers tell them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::domain;
use crate::ids::EndpointId;
use crate::units::Timestamp;
use crate::watch::load::{EndpointTag, LoadDigest, LoadWord, QuantisedLoad};

/// Time after which a load that was not told again counts as unknown: two refreshes and some.
pub const LOAD_LIFE: Duration = Duration::from_secs(75);

domain! {
    /// A load with the time when it was heard.
    pub struct HeardLoad {
        /// The load.
        pub load: QuantisedLoad,
        /// Low byte of the number of the report.
        pub sequence: u8,
        /// When it was heard.
        pub at: Timestamp,
    }
}

/// The loads heard from watchers.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    subset: BTreeSet<EndpointTag>,
    loads: BTreeMap<EndpointTag, HeardLoad>,
}

impl LoadView {
    /// Sets the endpoints of interest, and forgets all others.
    pub fn set_subset(&mut self, subset: &[EndpointId]) {
        self.subset = subset.iter().map(EndpointTag::of).collect();
        self.loads.retain(|tag, _| self.subset.contains(tag));
    }

    /// Takes in a digest; a word older than the one known, or about an endpoint outside
    /// the subset, changes nothing.
    pub fn on_digest(&mut self, now: Timestamp, digest: &LoadDigest) {
        let wanted = |word: &&LoadWord| self.subset.contains(&word.endpoint);
        for word in digest.words.iter().filter(wanted) {
            let known = self.loads.get(&word.endpoint);
            let is_late = known.is_some_and(|known| {
                let is_fresh = now.since(known.at) < LOAD_LIFE;
                is_fresh && is_before(word.sequence, known.sequence)
            });
            if !is_late {
                let heard = HeardLoad {
                    load: word.load,
                    sequence: word.sequence,
                    at: now,
                };
                self.loads.insert(word.endpoint, heard);
            }
        }
    }

    /// Returns the load of an endpoint, if it was heard lately.
    pub fn load(&self, now: Timestamp, endpoint: &EndpointId) -> Option<&HeardLoad> {
        self.loads
            .get(&EndpointTag::of(endpoint))
            .filter(|heard| now.since(heard.at) < LOAD_LIFE)
    }
}

/// Tells whether `a` was counted before `b` on a circle of 256 numbers (RFC 1982).
fn is_before(a: u8, b: u8) -> bool {
    let distance = b.wrapping_sub(a);
    distance != 0 && distance < 128
}
