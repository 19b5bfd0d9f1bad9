//! Endpoints that may serve a call.

use std::cmp::Reverse;

use super::endpoint_state::EndpointState;
use super::{EndpointQuery, OWNERS};
use crate::hash::rendezvous_weight;
use crate::units::Timestamp;

/// Returns the endpoints to score, the first owner first.
pub(super) fn candidates(
    now: Timestamp,
    endpoints: &[EndpointState],
    query: &EndpointQuery<'_>,
) -> Vec<usize> {
    let is_version = |endpoint: &EndpointState| {
        query.version.is_none() || query.version == endpoint.version.as_ref()
    };
    let is_admitted = |endpoint: &EndpointState| {
        let (admitted, version) = (query.admitted, endpoint.version.as_ref());
        admitted
            .zip(version)
            .is_none_or(|(admitted, version)| admitted.contains(version))
    };
    // A call begins elsewhere only once the admitted versions have left.
    let has_admitted = endpoints
        .iter()
        .any(|endpoint| !endpoint.is_leaving && is_admitted(endpoint));
    let is_eligible = |endpoint: &EndpointState| {
        !endpoint.is_leaving
            && now >= endpoint.paused_until
            && is_version(endpoint)
            && (!has_admitted || is_admitted(endpoint))
            && query.gate.admits(endpoint, endpoints)
            && !query.excluded.contains(&endpoint.process.id)
            && endpoint
                .limiter
                .as_ref()
                .is_none_or(|limiter| limiter.has_room(now))
    };
    let mut usable: Vec<usize> = (0..endpoints.len())
        .filter(|index| {
            is_eligible(&endpoints[*index]) && !endpoints[*index].health.is_in_backoff(now)
        })
        .collect();
    if usable.is_empty() && query.gate.may_use_backoff() {
        usable = (0..endpoints.len())
            .filter(|index| is_eligible(&endpoints[*index]))
            .collect();
    }
    query.gate.limit(&mut usable, endpoints);
    let Some(prompt) = query.prompt else {
        // Calls without a prompt gain nothing from an owner; equal costs are split at random.
        usable.sort_unstable_by_key(|index| rendezvous_weight(query.seed, endpoints[*index].hash));
        return usable;
    };
    let key = prompt.hash_key().unwrap_or(query.seed);
    let hash = |index: &usize| rendezvous_weight(key, endpoints[*index].hash);
    if endpoints.iter().all(|e| e.speed.owner_time() == 1.0) {
        usable.sort_unstable_by_key(|index| Reverse(hash(index)));
    } else {
        let score =
            |index: &usize| weighted_score(hash(index), endpoints[*index].speed.owner_time());
        usable.sort_by_cached_key(score);
    }
    usable.truncate(OWNERS);
    usable
}

/// Returns the score of an owner with the weight 1 / `time`; the lowest scores own a part. The
/// bits of a positive float are ordered as the float.
fn weighted_score(hash: u64, time: f64) -> u64 {
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    (-uniform.ln() * time).to_bits()
}
