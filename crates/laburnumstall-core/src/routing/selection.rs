//! From a question to its scored candidates, and the record of the choice.

use std::time::Duration;

use super::candidates::{self, Choice};
use super::health::Health;
use super::pool::Pool;
use super::score::{self, Alternatives, Candidate, Score};
use super::{RouteQuery, Router, peers};
use crate::decision::{Decision, DecisionKind};
use crate::error::{ErrorKind, Refusal};
use crate::units::Timestamp;

/// Time after which a caller can come back when no endpoint can be used.
const NO_ENDPOINT_WAIT: Duration = Duration::from_secs(2);
/// Most endpoints of a plain service that a decision names.
const MAX_ALTERNATIVES: usize = 8;

impl Router {
    /// Returns the endpoints that may run the attempt: of the subset, or else of the region,
    /// or else of all.
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
        let has_no_suspect = |index: &usize| !self.slots[*index].has_suspect(now);
        let apart: Vec<usize> = usable.iter().copied().filter(has_no_suspect).collect();
        if apart.is_empty() { usable } else { apart }
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
        let choice = Choice {
            usable,
            slots: &self.slots,
            popularity: &self.popularity,
            daemons: self.peers.len() as u64 + 1,
        };
        candidates::pick(&query.request.prefix, &choice, &mut self.rng)
            .into_iter()
            .map(|candidate| score::model(now, query, candidate, &self.slots[candidate.slot]))
            .collect()
    }

    /// Builds the refusal of an attempt that no endpoint can take.
    pub(super) fn no_endpoint(&self, now: Timestamp, query: &RouteQuery<'_>) -> Refusal {
        let pool = self.pools.get(&query.request.service);
        let indices = pool.map_or(&[][..], |pool| &pool.near);
        let wait = indices
            .iter()
            .filter_map(|index| self.slots[*index].usable_in(now))
            .filter(|wait| !wait.is_zero())
            .min()
            .unwrap_or(NO_ENDPOINT_WAIT);
        Refusal::new(ErrorKind::NoEndpoint, "no endpoint takes new work").with_retry_after(wait)
    }

    /// Records a choice with its alternatives.
    pub(super) fn chosen(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        best: &Score,
        scores: &[Score],
        usable: usize,
    ) -> Decision {
        let slot = &self.slots[best.candidate.slot];
        let alternatives = Alternatives {
            scores,
            slots: &self.slots,
        };
        Decision::new(
            now,
            DecisionKind::Route,
            slot.endpoint.id.as_str(),
            reason(query, best),
        )
        .with("attempt", query.attempt)
        .with("service", &query.request.service)
        .with("prompt", query.request.prompt)
        .with("generated", query.generated)
        .with("excluded", query.excluded.len())
        .with("usable", usable)
        .with("occupancy", slot.occupancy())
        .with("batch", slot.batch())
        .with("cached", best.cached)
        .with("first_token_us", best.first_token.as_micros())
        .with("alternatives", alternatives)
    }

    fn usable_among(&self, now: Timestamp, query: &RouteQuery<'_>, group: &[usize]) -> Vec<usize> {
        let is_plain = self.is_plain(&query.request.service);
        let is_usable = |index: &usize| {
            let slot = &self.slots[*index];
            let is_probe = || query.request.idempotent && slot.health.is_probe_due(now);
            (slot.health == Health::Usable || is_probe())
                && !slot.is_full(is_plain)
                && !query.excluded.contains(&slot.endpoint.id)
        };
        group.iter().copied().filter(is_usable).collect()
    }

    /// Returns the endpoints on which this daemon alone retries suspects, one on each.
    fn usable_for_suspect(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        pool: &Pool,
    ) -> Vec<usize> {
        let is_healthy = |index: &usize| self.slots[*index].health == Health::Usable;
        let healthy: Vec<usize> = pool.near.iter().copied().filter(is_healthy).collect();
        let mine = peers::trial_endpoints(self.hash, &self.peers, &self.slots, &healthy);
        let mut usable = self.usable_among(now, query, &healthy);
        usable.retain(|index| mine.contains(index) && !self.slots[*index].has_suspect(now));
        usable
    }

    fn plain_scores(&mut self, usable: &[usize]) -> Vec<Score> {
        let start = self.rng.usize(..usable.len().max(1));
        let (before, after) = usable.split_at(start.min(usable.len()));
        let score = |slot: &usize| {
            let candidate = Candidate {
                slot: *slot,
                hashed_blocks: 0,
            };
            score::plain(candidate, &self.slots[*slot])
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

/// Records that no endpoint could be chosen.
pub(super) fn refused(now: Timestamp, query: &RouteQuery<'_>, refusal: &Refusal) -> Decision {
    let wait = refusal.retry_after.unwrap_or(NO_ENDPOINT_WAIT);
    Decision::new(now, DecisionKind::Route, "refuse", refusal.kind.name())
        .with("attempt", query.attempt)
        .with("service", &query.request.service)
        .with("excluded", query.excluded.len())
        .with("isolated", query.isolated)
        .with("retry_after_us", wait.as_micros())
}
