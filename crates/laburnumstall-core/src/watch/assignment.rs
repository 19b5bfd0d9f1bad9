//! Selection of the daemons that watch an endpoint, and their polling interval.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain;
use crate::domain_value;
use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{AvailabilityZone, DaemonId, EndpointId};
use crate::membership::Member;

/// Number of watchers per endpoint.
pub const WATCHERS: usize = 2;

/// Bytes on the wire to poll one load report over an open connection, including headers.
pub const REPORT_BYTES: u64 = 512;

/// Maximum bytes per second that a daemon uses for polling load reports.
pub const READ_BYTES_PER_SECOND: u64 = 1_024;

/// Minimum interval between two polls of one endpoint.
pub const MIN_READ_PERIOD: Duration = Duration::from_millis(500);

/// Maximum interval between two polls of one endpoint.
pub const MAX_READ_PERIOD: Duration = Duration::from_secs(30);

domain_value! {
    /// Role of a watcher of an endpoint.
    #[serde(rename_all = "kebab-case")]
    pub enum WatcherRole {
        /// Polls the load and sends it to subscribers.
        First,
        /// Polls the load too, and sends it to subscribers once the first watcher is not live.
        Second,
    }
}

domain! {
    /// Assignment of an endpoint to a watching daemon.
    pub struct Assignment {
        /// Endpoint to watch.
        pub endpoint: EndpointId,
        /// Role of the daemon among the endpoint's watchers.
        #[serde(rename = "watch")]
        pub role: WatcherRole,
    }

    /// Endpoints whose load a daemon requests from one watcher.
    pub struct Subscription {
        /// Daemon that watches the endpoints.
        pub watcher: DaemonId,
        /// Endpoints in the subscriber's subset.
        pub endpoints: Vec<EndpointId>,
    }
}

struct HashedMember {
    id: DaemonId,
    zone: AvailabilityZone,
    seed: u64,
}

/// The live daemons of one region with their hashes, for selecting watchers.
pub struct WatchRing {
    members: Vec<HashedMember>,
}

impl WatchRing {
    /// Creates a ring of `members`, the live daemons of the endpoints' region.
    pub fn new(members: &[&Member]) -> Self {
        let member = |member: &&Member| HashedMember {
            id: member.id.clone(),
            zone: member.zone.clone(),
            seed: member.weight_seed(),
        };
        Self {
            members: members.iter().map(member).collect(),
        }
    }

    /// Returns the watchers of an endpoint, the first watcher first.
    ///
    /// The second watcher is in a different zone than the first if any daemon is in one.
    pub fn watchers(&self, endpoint: &EndpointId) -> Vec<&DaemonId> {
        let key = digest64(&[endpoint.as_str().as_bytes()]);
        let Some(first) = self.heaviest(key, |_| true) else {
            return Vec::new();
        };
        let second = self
            .heaviest(key, |member| member.zone != first.zone)
            .or_else(|| self.heaviest(key, |member| member.id != first.id));
        std::iter::once(first)
            .chain(second)
            .map(|member| &member.id)
            .collect()
    }

    /// Returns the endpoints among `endpoints` that `own` watches.
    pub fn assignments<'a>(
        &self,
        own: &DaemonId,
        endpoints: impl IntoIterator<Item = &'a EndpointId>,
    ) -> Vec<Assignment> {
        endpoints
            .into_iter()
            .filter_map(|endpoint| {
                let rank = self.watchers(endpoint).iter().position(|id| *id == own)?;
                Some(Assignment {
                    endpoint: endpoint.clone(),
                    role: match rank {
                        0 => WatcherRole::First,
                        _ => WatcherRole::Second,
                    },
                })
            })
            .collect()
    }

    fn heaviest(
        &self,
        key: u64,
        is_suitable: impl Fn(&HashedMember) -> bool,
    ) -> Option<&HashedMember> {
        self.members
            .iter()
            .filter(|member| is_suitable(member))
            .max_by_key(|member| (rendezvous_weight(key, member.seed), &member.id))
    }
}

/// Returns the watchers of an endpoint among `members`, the first watcher first.
pub fn watchers_of(endpoint: &EndpointId, members: &[&Member]) -> Vec<DaemonId> {
    let ring = WatchRing::new(members);
    ring.watchers(endpoint).into_iter().cloned().collect()
}

/// Returns the endpoints among `endpoints` that `own` watches.
pub fn own_assignments<'a>(
    own: &DaemonId,
    endpoints: impl IntoIterator<Item = &'a EndpointId>,
    members: &[&Member],
) -> Vec<Assignment> {
    WatchRing::new(members).assignments(own, endpoints)
}

/// Returns the subscriptions of a daemon for the endpoints in its subset.
pub fn subscriptions(subset: &[EndpointId], members: &[&Member]) -> Vec<Subscription> {
    let ring = WatchRing::new(members);
    let mut by_watcher: BTreeMap<DaemonId, Vec<EndpointId>> = BTreeMap::new();
    for endpoint in subset {
        for watcher in ring.watchers(endpoint) {
            let endpoints = by_watcher.entry(watcher.clone()).or_default();
            endpoints.push(endpoint.clone());
        }
    }
    by_watcher
        .into_iter()
        .map(|(watcher, endpoints)| Subscription { watcher, endpoints })
        .collect()
}

/// Returns the polling interval of an endpoint for a daemon that watches `watched` endpoints.
pub fn read_period(watched: usize) -> Duration {
    let bytes = (watched as u64).saturating_mul(REPORT_BYTES);
    let period = Duration::from_millis(bytes.saturating_mul(1_000) / READ_BYTES_PER_SECOND);
    period.clamp(MIN_READ_PERIOD, MAX_READ_PERIOD)
}
