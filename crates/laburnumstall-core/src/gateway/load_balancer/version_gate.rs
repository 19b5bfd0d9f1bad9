//! Which software versions a call may run at during a rollout.

use super::endpoint_state::EndpointState;
use crate::hash::rendezvous_weight;
use crate::ids::SoftwareVersion;

/// Versions at which a call may run.
#[derive(Debug, Clone, Copy, Default)]
pub enum VersionGate<'a> {
    /// All of them.
    #[default]
    Open,
    /// All but this one, while another one has endpoints.
    Without(&'a SoftwareVersion),
    /// This one alone, at a part of its endpoints.
    Only {
        /// The version.
        version: &'a SoftwareVersion,
        /// Part of the endpoints that are used, from 0 to 1; at least one is.
        share: f64,
        /// Key by which all daemons choose the same endpoints.
        key: u64,
    },
}

impl VersionGate<'_> {
    /// Returns whether an endpoint may be used beside all those of its service.
    pub(super) fn admits(&self, endpoint: &EndpointState, all: &[EndpointState]) -> bool {
        let is_of = |endpoint: &EndpointState, version| endpoint.version.as_ref() == Some(version);
        match self {
            Self::Open => true,
            Self::Without(version) => {
                let mut usable = all.iter().filter(|endpoint| !endpoint.is_leaving);
                !is_of(endpoint, version) || usable.all(|other| is_of(other, version))
            }
            Self::Only { version, .. } => is_of(endpoint, version),
        }
    }

    /// Returns whether endpoints in backoff may be used if there are no others.
    pub(super) fn may_use_backoff(&self) -> bool {
        !matches!(self, Self::Only { .. })
    }

    /// Keeps the endpoints that get the calls of a part of the traffic.
    pub(super) fn limit(&self, usable: &mut Vec<usize>, all: &[EndpointState]) {
        let Self::Only {
            version,
            share,
            key,
        } = self
        else {
            return;
        };
        let mut of_version = all.iter().filter(|endpoint| !endpoint.is_leaving);
        let of_version = of_version
            .by_ref()
            .filter(|endpoint| endpoint.version.as_ref() == Some(version));
        // The conversion saturates.
        let count = (of_version.count() as f64 * share).ceil() as usize;
        if count < usable.len() {
            usable.sort_unstable_by_key(|index| {
                std::cmp::Reverse(rendezvous_weight(*key, all[*index].hash))
            });
            usable.truncate(count.max(1));
        }
    }
}
