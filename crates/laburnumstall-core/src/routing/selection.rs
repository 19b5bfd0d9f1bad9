//! Selects and scores the candidates for a query, and records the choice.

use std::time::Duration;

use super::candidates::{self, CandidateSource};
use super::health::Health;
use super::pool::Pool;
use super::score::{self, Alternatives, Candidate, Score};
use super::{RouteQuery, Router, peers};
use crate::decision::{Decision, DecisionKind};
use crate::error::{ErrorKind, Refusal};
use crate::units::Timestamp;

/// Time after which a caller may retry if no endpoint is usable and no wait is known.
const NO_ENDPOINT_WAIT: Duration = Duration::from_secs(2);
/// Maximum number of endpoints of a plain service that a decision lists.
const MAX_ALTERNATIVES: usize = 8;

impl Router {
    /// Returns the endpoints that may run the attempt: those in the subset, else in the region,
    /// else in the whole service.
    pub(super) fn usable(&self, now: Timestamp, query: &RouteQuery<'_>) -> Vec<usize> {
        let Some(pool) = self.pools.get(&query.request.service) else {
            return Vec::new();
        };
        if query.isolated {
            return self.usable_for_suspect(now, query, pool);
        }
        let mut groups = pool
            .groups()
            .into_iter()
            .map(|group| self.usable_among(now, query, group));
        let usable = groups.find(|usable| !usable.is_empty()).unwrap_or_default();
        let has_no_suspect = |index: &usize| !self.states[*index].has_suspect(now);
        let without_suspects: Vec<usize> = usable.iter().copied().filter(has_no_suspect).collect();
        if without_suspects.is_empty() {
            usable
        } else {
            without_suspects
        }
    }

    /// Scores the candidates among the usable endpoints, in a fixed order.
    pub(super) fn scores(
        &mut self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        usable: &[usize],
    ) -> Vec<Score> {
        if self.is_plain(&query.request.service) {
            return self.plain_scores(usable);
        }
        let source = CandidateSource {
            usable,
            states: &self.states,
            popularity: &self.popularity,
            daemons: self.peers.len() as u64 + 1,
        };
        candidates::pick(&query.request.prefix, &source, &mut self.rng)
            .into_iter()
            .map(|candidate| score::model(now, query, candidate, &self.states[candidate.index]))
            .collect()
    }

    /// Returns the refusal of an attempt that no endpoint can run.
    pub(super) fn no_endpoint(&self, now: Timestamp, query: &RouteQuery<'_>) -> Refusal {
        let pool = self.pools.get(&query.request.service);
        let indices = pool.map_or(&[][..], |pool| &pool.region);
        let wait = indices
            .iter()
            .filter_map(|index| self.states[*index].usable_in(now))
            .filter(|wait| !wait.is_zero())
            .min()
            .unwrap_or(NO_ENDPOINT_WAIT);
        Refusal::new(ErrorKind::NoEndpoint, "no endpoint takes new work").with_retry_after(wait)
    }

    /// Returns the decision that records a choice with its alternatives.
    pub(super) fn choice_decision(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        best: &Score,
        scores: &[Score],
        usable: usize,
    ) -> Decision {
        let state = &self.states[best.candidate.index];
        let alternatives = Alternatives {
            scores,
            states: &self.states,
        };
        Decision::new(
            now,
            DecisionKind::Route,
            state.endpoint.id.as_str(),
            reason(query, best),
        )
        .with("attempt", query.attempt)
        .with("service", &query.request.service)
        .with("prompt", query.request.prompt)
        .with("generated", query.generated)
        .with("excluded", query.excluded.len())
        .with("usable", usable)
        .with("occupancy", state.occupancy())
        .with("batch", state.batch())
        .with("cached", best.cached)
        .with("first_token_us", best.first_token.as_micros())
        .with("alternatives", alternatives)
    }

    fn usable_among(&self, now: Timestamp, query: &RouteQuery<'_>, group: &[usize]) -> Vec<usize> {
        let is_plain = self.is_plain(&query.request.service);
        let is_usable = |index: &usize| {
            let state = &self.states[*index];
            let is_probe = || query.request.idempotent && state.health.is_probe_due(now);
            (state.health == Health::Usable || is_probe())
                && !state.is_full(is_plain)
                && !query.excluded.contains(&state.endpoint.id)
        };
        group.iter().copied().filter(is_usable).collect()
    }

    /// Returns the endpoints that are assigned to this daemon for the retry of suspects, except
    /// those that already have a suspect.
    fn usable_for_suspect(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        pool: &Pool,
    ) -> Vec<usize> {
        let is_healthy = |index: &usize| self.states[*index].health == Health::Usable;
        let healthy: Vec<usize> = pool.region.iter().copied().filter(is_healthy).collect();
        let own_endpoints = peers::trial_endpoints(self.hash, &self.peers, &self.states, &healthy);
        let mut usable = self.usable_among(now, query, &healthy);
        usable
            .retain(|index| own_endpoints.contains(index) && !self.states[*index].has_suspect(now));
        usable
    }

    fn plain_scores(&mut self, usable: &[usize]) -> Vec<Score> {
        let start = self.rng.usize(..usable.len().max(1));
        let (before, after) = usable.split_at(start.min(usable.len()));
        let score = |index: &usize| {
            let candidate = Candidate {
                index: *index,
                hashed_blocks: 0,
            };
            score::plain(candidate, &self.states[*index])
        };
        let mut scores: Vec<Score> = after.iter().chain(before).map(score).collect();
        scores.sort_by_key(|score| score.cost);
        scores.truncate(MAX_ALTERNATIVES);
        scores
    }
}

fn reason(query: &RouteQuery<'_>, best: &Score) -> &'static str {
    match (best.cached.get(), best.candidate.hashed_blocks) {
        _ if query.isolated => "isolated",
        (1.., _) => "cached-prefix",
        (0, 1..) => "prefix-hash",
        _ => "least-cost",
    }
}

/// Returns the decision that records that no endpoint was usable.
pub(super) fn refusal_decision(
    now: Timestamp,
    query: &RouteQuery<'_>,
    refusal: &Refusal,
) -> Decision {
    let wait = refusal.retry_after.unwrap_or(NO_ENDPOINT_WAIT);
    Decision::new(now, DecisionKind::Route, "refuse", refusal.kind.name())
        .with("attempt", query.attempt)
        .with("service", &query.request.service)
        .with("excluded", query.excluded.len())
        .with("isolated", query.isolated)
        .with("retry_after_us", wait.as_micros())
}
