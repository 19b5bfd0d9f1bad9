//! Destinations of runs that move to another endpoint with their KV cache.

use std::time::Duration;

use super::endpoint_state::EndpointState;
use super::{CallAttempt, FIRST_STEP, LoadBalancer};
use crate::gateway::endpoint_limiter::EndpointLimiter;
use crate::gateway::endpoint_model::Sample;
use crate::gateway::endpoint_table::EndpointProcess;
use crate::hash::rendezvous_weight;
use crate::ids::EndpointId;
use crate::units::Timestamp;

/// Run that needs a destination.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct MoveQuery<'a> {
    /// Attempt that runs it.
    pub(in crate::gateway) source: &'a CallAttempt,
    /// Hash of the run.
    pub(in crate::gateway) seed: u64,
    /// Tokens that its KV cache may have.
    pub(in crate::gateway) tokens: u64,
    /// Tokens that fit into the KV cache of an endpoint.
    pub(in crate::gateway) kv_tokens: u64,
    /// Endpoints that must not be selected.
    pub(in crate::gateway) excluded: &'a [EndpointId],
}

/// Endpoint with room for a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::gateway) struct Destination {
    /// Its process.
    pub(in crate::gateway) process: EndpointProcess,
    /// Whether it is in another zone than the source.
    pub(in crate::gateway) is_cross_zone: bool,
}

impl LoadBalancer {
    /// Returns the calls at the endpoint of an attempt, of this daemon and of all.
    pub(in crate::gateway) fn calls_at(&self, attempt: &CallAttempt) -> (u32, u32) {
        let endpoint = self.listed(attempt);
        endpoint.map_or((1, 1), |endpoint| {
            (endpoint.own_work.calls, endpoint.calls())
        })
    }

    /// Returns the destination of a run: the first by rendezvous hash of those with room.
    pub(in crate::gateway) fn destination(
        &self,
        now: Timestamp,
        query: &MoveQuery<'_>,
    ) -> Option<Destination> {
        let source = self.listed(query.source)?;
        let endpoints = self.services.get(&query.source.service)?;
        let selected = endpoints
            .iter()
            .filter(|endpoint| {
                endpoint.version.is_some()
                    && endpoint.version == source.version
                    && endpoint.process != source.process
                    && !query.excluded.contains(&endpoint.process.id)
                    && endpoint.takes_runs(now)
                    && endpoint.has_room(query.tokens, query.kv_tokens)
            })
            .max_by_key(|endpoint| rendezvous_weight(query.seed, endpoint.hash))?;
        Some(Destination {
            process: selected.process.clone(),
            is_cross_zone: selected.zone != source.zone,
        })
    }

    /// Counts a run at its destination from now on; `None` if the endpoint is no longer listed.
    pub(in crate::gateway) fn reserve(
        &mut self,
        now: Timestamp,
        source: &CallAttempt,
        destination: &EndpointProcess,
    ) -> Option<CallAttempt> {
        let endpoints = self.services.get_mut(&source.service)?;
        let endpoint = endpoints
            .iter_mut()
            .find(|endpoint| endpoint.process == *destination)?;
        endpoint.own_work.calls += 1;
        Some(CallAttempt {
            endpoint: endpoint.process.id.clone(),
            address: endpoint.address,
            started_at_ms: endpoint.process.started_at_ms,
            service: source.service.clone(),
            version: endpoint.version.clone(),
            started_at: now,
            expected: FIRST_STEP,
            cached: 0,
            is_owner: false,
            first_output_at: None,
            kv_source: None,
            is_continued: false,
            tracked: None,
            prefill: Duration::ZERO,
            sample: Sample::default(),
            tokens: 0,
            answer_tokens: 0,
            events: (0, now),
        })
    }

    /// Returns whether a reserved destination still takes the run, and counts the request that
    /// sends it there in the endpoint's limit.
    pub(in crate::gateway) fn take_reserved(
        &mut self,
        now: Timestamp,
        reserved: &CallAttempt,
    ) -> bool {
        let endpoints = self.services.get_mut(&reserved.service);
        let process = reserved.process();
        let mut endpoints = endpoints.into_iter().flatten();
        let Some(endpoint) = endpoints.find(|endpoint| endpoint.process == process) else {
            return false;
        };
        let takes_runs = endpoint.address == reserved.address && endpoint.takes_runs(now);
        if let Some(limiter) = endpoint.limiter.as_mut().filter(|_| takes_runs) {
            limiter.take(now);
        }
        takes_runs
    }

    fn listed(&self, attempt: &CallAttempt) -> Option<&EndpointState> {
        let process = attempt.process();
        let mut endpoints = self.services.get(&attempt.service)?.iter();
        endpoints.find(|endpoint| endpoint.process == process)
    }
}

impl EndpointState {
    fn takes_runs(&self, now: Timestamp) -> bool {
        let has_room = |limiter: &EndpointLimiter| limiter.has_room(now);
        !self.is_leaving
            && now >= self.paused_until
            && !self.health.is_in_backoff(now)
            && self.limiter.as_ref().is_none_or(has_room)
    }

    /// Returns whether one more run of `tokens` fits if the calls there are as large.
    fn has_room(&self, tokens: u64, kv_tokens: u64) -> bool {
        let calls = u64::from(self.calls()) + 1;
        calls <= u64::from(self.slots) && calls.saturating_mul(tokens) <= kv_tokens
    }
}
