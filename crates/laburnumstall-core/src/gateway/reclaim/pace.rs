//! How many events streams have, and how fast they come.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::call::AdmittedCall;
use crate::gateway::load_balancer::CallAttempt;
use crate::units::Timestamp;

/// Events of a stream per token that its answer may have, before any stream has ended.
const INITIAL_EVENTS_PER_TOKEN: f64 = 1.0;
/// Weight of a stream with fewer events than those before it.
const NEWEST_WEIGHT: f64 = 0.05;
/// Events from which on the pace of a run is known.
const MIN_EVENTS: u32 = 4;

/// Number of events of streams, by route.
#[derive(Debug, Clone, Default)]
pub(super) struct StreamLengths {
    events_per_token: BTreeMap<CompactString, f64>,
}

impl StreamLengths {
    /// Records that a stream has ended with its last event.
    pub(super) fn on_ended(&mut self, call: &AdmittedCall) {
        let tokens = call.prompt.as_ref().map_or(0, |p| p.max_answer_tokens);
        if call.is_resumed || call.events == 0 || tokens == 0 {
            return;
        }
        let newest = f64::from(call.events) / f64::from(tokens);
        let known = self.events_per_token.get_mut(&call.route.name);
        match known {
            // A longer stream counts at once, so that few runs last longer than expected.
            Some(known) => *known = newest.max(*known + (newest - *known) * NEWEST_WEIGHT),
            None => {
                self.events_per_token
                    .insert(call.route.name.clone(), newest);
            }
        }
    }

    /// Returns the time until a run is expected to end, and the part of its events that have come.
    /// `earlier_events` is the number that other runs of the call wrote.
    pub(super) fn outlook(
        &self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
        earlier_events: u32,
    ) -> (Duration, f64) {
        let tokens = call.prompt.as_ref().map_or(0, |p| p.max_answer_tokens);
        let known = self.events_per_token.get(&call.route.name);
        let all = f64::from(tokens) * known.copied().unwrap_or(INITIAL_EVENTS_PER_TOKEN);
        let events = f64::from(call.events);
        let done = match events < all {
            true => events / all,
            false => 1.0,
        };
        let own_events = call.events.saturating_sub(earlier_events);
        let deadline = call.remaining(now);
        let (Some(first), MIN_EVENTS..) = (attempt.first_output_at, own_events) else {
            return (deadline, done);
        };
        let pace = now.since(first).as_secs_f64() / f64::from(own_events - 1);
        // One event more than expected may come in any case.
        let remaining = pace * (all - events).max(1.0);
        let remaining = Duration::try_from_secs_f64(remaining).unwrap_or(Duration::MAX);
        (remaining.min(deadline), done)
    }
}
