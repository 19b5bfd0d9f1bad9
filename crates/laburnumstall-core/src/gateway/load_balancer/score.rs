//! Expected time to the first output, and cost, of a call at an endpoint.

use std::time::Duration;

use super::endpoint_state::EndpointState;
use super::room::needed_tokens;
use super::{
    CONNECTION_COST, CROSS_ZONE_COST, EndpointQuery, FIRST_STEP, INITIAL_DURATION, LoadBalancer,
    PREFILL_WEIGHT, RUNNING_CALL_COST, ScoredEndpoint,
};
use crate::gateway::call::sum_tokens;
use crate::gateway::endpoint_model::Sample;
use crate::gateway::prefill::prefill_time;
use crate::units::Timestamp;

/// Part of the time that an answer takes which counts as cost, where endpoints differ in speed. The
/// longer a stream lasts, the more likely one of its pauses exceeds the target of its route.
const ANSWER_COST_DIVISOR: u32 = 6;

impl LoadBalancer {
    pub(super) fn score(
        &self,
        now: Timestamp,
        endpoint: &EndpointState,
        index: usize,
        is_owner: bool,
        query: &EndpointQuery<'_>,
    ) -> ScoredEndpoint {
        let zone_cost = match endpoint.zone == self.zone {
            true => Duration::ZERO,
            false => CROSS_ZONE_COST,
        };
        let needs_connection = self.speeds.is_enabled() && !endpoint.connections.has_any(now);
        let connection_cost = match needs_connection {
            true => CONNECTION_COST,
            false => Duration::ZERO,
        };
        let fixed_cost = zone_cost + connection_cost + endpoint.health.cost(now);
        let calls = endpoint.calls();
        let missing_slots = calls.saturating_add(1).saturating_sub(endpoint.slots);
        let factor = endpoint.speed.current(now);
        let Some(prompt) = query.prompt else {
            let mean = factor.map_or(endpoint.mean_duration, |f| INITIAL_DURATION.mul_f64(f));
            let expected = mean * missing_slots / endpoint.slots + mean;
            let busy_cost = mean * calls / endpoint.slots;
            let sample_expected =
                INITIAL_DURATION + INITIAL_DURATION * missing_slots / endpoint.slots;
            return ScoredEndpoint {
                index,
                is_owner,
                cached: 0,
                prefill: Duration::ZERO,
                expected,
                cost: expected + busy_cost + fixed_cost,
                sample: Sample {
                    own: INITIAL_DURATION,
                    expected: sample_expected,
                    is_usable: missing_slots == 0,
                    is_by_speed: factor.is_some(),
                },
                tokens: 0,
            };
        };
        let cached = endpoint.cached(now, prompt, is_owner);
        let prefill = prefill_time(prompt.tokens, cached);
        let (mut slot_wait, mut preempted_prefill) = (
            endpoint.mean_duration * missing_slots / endpoint.slots,
            Duration::ZERO,
        );
        let mut tokens = 0;
        if let Some(backend) = self.speeds.backend(query.service) {
            tokens = needed_tokens(prompt, cached);
            let wait = self.usage.wait(query.service, backend, endpoint, tokens);
            if let Some((wait, preempts)) = wait {
                slot_wait = wait.mul_f64(factor.unwrap_or(1.0));
                preempted_prefill = if preempts { prefill } else { Duration::ZERO };
            }
        }
        let waiting = endpoint.own_work.prefill + endpoint.peer_work.prefill;
        let ahead = waiting + prefill + RUNNING_CALL_COST * calls;
        let (expected, prefill_cost) = match factor {
            Some(factor) => (
                (ahead + FIRST_STEP).mul_f64(factor),
                (prefill * PREFILL_WEIGHT).mul_f64(factor),
            ),
            None => (
                ahead.mul_f64(endpoint.latency_factor) + FIRST_STEP,
                prefill * PREFILL_WEIGHT,
            ),
        };
        let answer_cost = match factor {
            Some(_) => {
                let (tokens, time) = (prompt.max_answer_tokens, endpoint.speed.owner_time());
                self.usage.answer_time(query.service, tokens, time) / ANSWER_COST_DIVISOR
            }
            None => Duration::ZERO,
        };
        // Other daemons may have sent the shared parts here as well.
        let is_cache_known = cached >= sum_tokens(prompt.shared().iter()).min(prompt.tokens);
        let sample = Sample {
            own: prefill + FIRST_STEP,
            expected: ahead + FIRST_STEP,
            is_usable: missing_slots == 0 && is_cache_known,
            is_by_speed: factor.is_some(),
        };
        ScoredEndpoint {
            index,
            is_owner,
            cached,
            prefill,
            expected: expected + slot_wait,
            cost: expected
                + slot_wait
                + prefill_cost
                + preempted_prefill
                + answer_cost
                + fixed_cost,
            sample,
            tokens,
        }
    }
}
