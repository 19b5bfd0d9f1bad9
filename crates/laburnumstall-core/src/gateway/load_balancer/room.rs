//! Room of endpoints for further calls: slots, and tokens in the KV cache.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_state::EndpointState;
use crate::gateway::call::Prompt;
use crate::gateway::rules::BackendRule;
use crate::ids::ServiceName;

/// Weight of a new call in the moving averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// What calls of a service take of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// Mean time from a call's first output to its end.
    output_time: Option<Duration>,
    /// Mean number of tokens that a call needs in the KV cache.
    tokens: f64,
    /// Mean seconds per token of the maximum answer, at an endpoint of the typical speed.
    pace: Option<f64>,
    /// Mean seconds between two events, at an endpoint of the typical speed.
    pause: Option<f64>,
}

/// What calls take of the endpoints of services with an engine.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceUsage {
    services: BTreeMap<ServiceName, Usage>,
}

/// Returns the tokens that a call needs in the KV cache beside those that it shares.
pub(super) fn needed_tokens(prompt: &Prompt, cached: u32) -> u64 {
    u64::from(prompt.tokens.saturating_sub(cached)) + u64::from(prompt.max_answer_tokens)
}

impl ServiceUsage {
    /// Records the tokens that a call needs.
    pub(super) fn on_selected(&mut self, service: &ServiceName, tokens: u64) {
        let usage = self.services.entry(service.clone()).or_default();
        let newest = if usage.tokens > 0.0 {
            NEWEST_WEIGHT
        } else {
            1.0
        };
        usage.tokens += (tokens as f64 - usage.tokens) * newest;
    }

    /// Records the time from a call's first output to its end, at an endpoint that takes `time`
    /// relative to the typical one.
    pub(super) fn on_ended(
        &mut self,
        service: &ServiceName,
        output_time: Duration,
        answer_tokens: u32,
        time: f64,
    ) {
        let usage = self.services.entry(service.clone()).or_default();
        if answer_tokens > 0 {
            let newest = output_time.as_secs_f64() / f64::from(answer_tokens) / time;
            let pace = usage.pace.unwrap_or(newest);
            usage.pace = Some(pace * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT);
        }
        let mean = usage.output_time.unwrap_or(output_time);
        let kept = mean.mul_f64(1.0 - NEWEST_WEIGHT);
        usage.output_time = Some(kept + output_time.mul_f64(NEWEST_WEIGHT));
    }

    /// Records the mean pause between the events of a stream, at an endpoint that takes `time` relative
    /// to the typical one; returns the typical pause.
    pub(super) fn on_pauses(&mut self, service: &ServiceName, pause: f64, time: f64) -> f64 {
        let usage = self.services.entry(service.clone()).or_default();
        let newest = pause / time;
        let typical = usage.pause.unwrap_or(newest);
        let typical = typical * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT;
        usage.pause = Some(typical);
        typical
    }

    /// Returns the time that an answer takes at an endpoint that takes `time` relative to the
    /// typical one; zero before any has ended.
    pub(super) fn answer_time(&self, service: &ServiceName, tokens: u32, time: f64) -> Duration {
        let usage = self.services.get(service);
        let pace = usage.and_then(|usage| usage.pace).unwrap_or_default();
        Duration::try_from_secs_f64(pace * f64::from(tokens) * time).unwrap_or_default()
    }

    /// Returns the time until an endpoint has a slot and memory for a call, and whether the call
    /// would preempt others without that wait. Calls end evenly spread over their mean time.
    pub(super) fn wait(
        &self,
        service: &ServiceName,
        backend: &BackendRule,
        endpoint: &EndpointState,
        needed: u64,
    ) -> Option<(Duration, bool)> {
        let usage = self.services.get(service)?;
        let output_time = usage.output_time?;
        let calls = endpoint.calls();
        let missing_slots = calls.saturating_add(1).saturating_sub(endpoint.slots);
        let slot_wait = output_time * missing_slots / endpoint.slots;
        let peer_tokens = f64::from(endpoint.peer_work.calls) * usage.tokens;
        let used = endpoint.own_work.tokens + peer_tokens as u64;
        let missing_tokens = (used + needed).saturating_sub(backend.kv_tokens);
        if backend.kv_tokens == 0 || missing_tokens == 0 || calls == 0 {
            return Some((slot_wait, false));
        }
        let part = (missing_tokens as f64 / used.max(1) as f64).min(1.0);
        Some((slot_wait.max(output_time.mul_f64(part)), true))
    }
}
