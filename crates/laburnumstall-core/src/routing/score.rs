//! The expected cost of running a request on an endpoint.

use std::fmt;
use std::time::Duration;

use super::endpoint_state::{EndpointState, tokens_per_block};
use super::query::RouteQuery;
use crate::units::{Timestamp, Tokens};

/// Percentage of a prefix that is assumed cached at the endpoint that its hash picks, without
/// a report: another daemon may have sent the prefix to that endpoint.
const HASHED_CACHE_PERCENT: u64 = 50;
/// Cost added for a full batch; a partly filled batch adds a proportional part.
const FULL_BATCH_COST: Duration = Duration::from_millis(100);

/// One endpoint to be scored.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Index of the endpoint's state.
    pub(super) index: usize,
    /// Leading blocks whose hash picked the endpoint; zero if it was picked otherwise.
    pub(super) hashed_blocks: usize,
}

/// Expected performance of one candidate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Score {
    pub(super) candidate: Candidate,
    pub(super) first_token: Duration,
    pub(super) cached: Tokens,
    /// Expected cost; the candidate with the lowest is chosen.
    pub(super) cost: Duration,
}

/// Scores an endpoint of a model service.
pub(super) fn model(
    now: Timestamp,
    query: &RouteQuery<'_>,
    candidate: Candidate,
    state: &EndpointState,
) -> Score {
    let cached = state.cached(query.request);
    let resumed = state.prefill_time(query.generated.get());
    let first_token = state.expected_first_token(now, query.request, false) + resumed;
    let hashed = tokens_per_block(query.request) * candidate.hashed_blocks as u64;
    let likely_cached = Tokens(hashed).minus(cached).get() * HASHED_CACHE_PERCENT / 100;
    let batch_cost = FULL_BATCH_COST * state.occupancy() / state.batch();
    Score {
        candidate,
        first_token,
        cached,
        cost: (first_token + batch_cost).saturating_sub(state.prefill_time(likely_cached)),
    }
}

/// Scores an endpoint of a plain service.
pub(super) fn plain(candidate: Candidate, state: &EndpointState) -> Score {
    let outstanding = state.occupancy();
    Score {
        candidate,
        first_token: state.duration() * outstanding / state.batch() + state.round_trip,
        cached: Tokens(0),
        cost: state.duration() * outstanding + state.round_trip,
    }
}

/// Displays scores as `endpoint:cost_us:cached`, separated by commas.
pub(super) struct Alternatives<'a> {
    pub(super) scores: &'a [Score],
    pub(super) states: &'a [EndpointState],
}

impl fmt::Display for Alternatives<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, score) in self.scores.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            let id = &self.states[score.candidate.index].endpoint.id;
            write!(f, "{id}:{}:{}", score.cost.as_micros(), score.cached.get())?;
        }
        Ok(())
    }
}
