//! Expected start of a call at the endpoint that would be selected for it.

use std::time::Duration;

use super::{CallAttempt, EndpointQuery, LoadBalancer};
use crate::units::Timestamp;

/// When an endpoint is expected to start a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedStart {
    /// Time before the prefill or the call begins.
    pub wait: Duration,
    /// Time to the first token or to the response, with the wait.
    pub first_output: Duration,
}

/// Expected start of an attempt, given the rank of its call.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct RankedStart {
    /// Rank of the call.
    pub(in crate::gateway) rank: u8,
    /// Expected time to the first event, without the learned factor of the rank.
    pub(in crate::gateway) modelled: Duration,
    /// Whether the service was short of capacity, and the call waits longer than it is worked on.
    pub(in crate::gateway) is_queued: bool,
}

impl CallAttempt {
    /// Returns the expected time to the first event. An engine with more work than it can do runs
    /// urgent calls first, so the wait depends on the ranks.
    pub(super) fn expected_by_rank(&self) -> Duration {
        let ranked = self.ranked.filter(|ranked| ranked.is_queued);
        ranked.map_or(self.expected, |ranked| ranked.modelled)
    }

    /// Returns the expected time of the endpoint's work for the prompt.
    pub(in crate::gateway) fn prefill(&self) -> Duration {
        self.prefill
    }
}

impl LoadBalancer {
    /// Returns whether as many calls as an attempt's endpoint has slots are known to be there.
    pub(in crate::gateway) fn is_busy(&self, attempt: &CallAttempt) -> bool {
        let mut endpoints = self.services.get(&attempt.service).into_iter().flatten();
        let endpoint = endpoints.find(|endpoint| endpoint.process == attempt.process());
        endpoint.is_some_and(|endpoint| endpoint.calls() >= endpoint.slots)
    }

    /// Returns the expected start of a call at the endpoint that [`select`](Self::select) takes;
    /// `None` if no endpoint can take it. Each of `unheard` daemons, whose work is not known, is
    /// taken to have as many prompts at the service as this one.
    pub fn best_expected(
        &self,
        now: Timestamp,
        query: &EndpointQuery<'_>,
        unheard: u32,
    ) -> Option<ExpectedStart> {
        let best = self.best(now, query)?;
        let endpoints = self.services.get(query.service)?;
        let endpoint = endpoints.get(best.index)?;
        let unheard_wait = match (unheard, query.prompt) {
            (0, _) | (_, None) => Duration::ZERO,
            (_, Some(_)) => {
                let own = endpoints.iter().map(|endpoint| endpoint.own_work.prefill);
                let work = own.sum::<Duration>().mul_f64(endpoint.latency_factor);
                work.mul_f64(f64::from(unheard) / endpoints.len() as f64)
            }
        };
        Some(ExpectedStart {
            wait: best.wait + unheard_wait,
            first_output: best.expected + unheard_wait,
        })
    }
}
