//! The expected cost of running a request on an endpoint.

use std::fmt;
use std::time::Duration;

use super::query::RouteQuery;
use super::slot::{Slot, tokens_per_block};
use crate::units::{Timestamp, Tokens};

/// Part of a prefix that is believed cached at the endpoint that its hash picks, though
/// nothing is known: another daemon may have sent it there. In hundredths.
const LOCALITY_PERCENT: u64 = 50;
/// Cost of an endpoint whose batch is full to the last place.
const FILL_COST: Duration = Duration::from_millis(100);

/// One endpoint that was weighed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) slot: usize,
    /// Leading blocks whose hash picked the endpoint; zero if chance or the cache view did.
    pub(super) hashed_blocks: usize,
}

/// What is expected of one candidate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Score {
    pub(super) candidate: Candidate,
    pub(super) first_token: Duration,
    pub(super) cached: Tokens,
    /// Expected cost: the least is chosen.
    pub(super) cost: Duration,
}

/// Scores an endpoint of a model service.
pub(super) fn model(
    now: Timestamp,
    query: &RouteQuery<'_>,
    candidate: Candidate,
    slot: &Slot,
) -> Score {
    let cached = slot.cached(query.request);
    let resumed = slot.prefill_time(query.generated.get());
    let first_token = slot.expected_first_token(now, query.request, false) + resumed;
    let hashed = tokens_per_block(query.request) * candidate.hashed_blocks as u64;
    let hoped = Tokens(hashed).minus(cached).get() * LOCALITY_PERCENT / 100;
    let fill = FILL_COST * slot.occupancy() / slot.batch();
    Score {
        candidate,
        first_token,
        cached,
        cost: (first_token + fill).saturating_sub(slot.prefill_time(hoped)),
    }
}

/// Scores an endpoint of a plain service.
pub(super) fn plain(candidate: Candidate, slot: &Slot) -> Score {
    let outstanding = slot.occupancy();
    Score {
        candidate,
        first_token: slot.duration() * outstanding / slot.batch() + slot.round_trip,
        cached: Tokens(0),
        cost: slot.duration() * outstanding + slot.round_trip,
    }
}

/// Writes scores as `endpoint:cost_us:cached`, separated by commas.
pub(super) struct Alternatives<'a> {
    pub(super) scores: &'a [Score],
    pub(super) slots: &'a [Slot],
}

impl fmt::Display for Alternatives<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, score) in self.scores.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            let id = &self.slots[score.candidate.slot].endpoint.id;
            write!(f, "{id}:{}:{}", score.cost.as_micros(), score.cached.get())?;
        }
        Ok(())
    }
}
