//! What the events of streams tell of the speed of their endpoints.
//!
//! The time between two events depends little on what waits before a prompt, so that a few streams
//! tell fast endpoints from slow ones soon after their start.

use std::time::Duration;

use super::{CallAttempt, CallOutcome, LoadBalancer};
use crate::units::Timestamp;

/// Events of an attempt below which their times are not used.
const MIN_EVENTS: u32 = 3;
/// Pauses between events that count as one call.
const PAUSES_PER_CALL: f64 = 4.0;
/// Calls that an attempt counts as at most, so that one disturbed stream does not decide.
const MAX_CALLS: f64 = 4.0;
/// Expected time of each of these calls; the measured one is in proportion to the pauses.
const CALL_TIME: Duration = Duration::from_millis(100);
/// Bounds of the measured time relative to the expected one.
const RANGE: (f64, f64) = (0.2, 5.0);

impl CallAttempt {
    /// Records an event that was received.
    pub fn on_event(&mut self, now: Timestamp) {
        let (count, _) = self.events;
        self.events = (count.saturating_add(1), now);
    }
}

impl LoadBalancer {
    /// Learns from the times of an attempt's output, after its end.
    pub(super) fn on_output_ended(
        &mut self,
        now: Timestamp,
        attempt: &CallAttempt,
        outcome: Option<CallOutcome>,
    ) {
        let Some(first) = attempt.first_output_at else {
            return;
        };
        let Some(endpoint) = self.find(attempt) else {
            return;
        };
        let (owner_time, relative) = (endpoint.speed.owner_time(), endpoint.speed.relative());
        if outcome == Some(CallOutcome::Good) && attempt.tokens > 0 {
            let (output_time, tokens) = (now.since(first), attempt.answer_tokens);
            self.usage
                .on_ended(&attempt.service, output_time, tokens, owner_time);
        }
        let (events, newest_at) = attempt.events;
        if events < MIN_EVENTS || !self.speeds.is_enabled() {
            return;
        }
        let pauses = f64::from(events - 1);
        let pause = newest_at.since(first).as_secs_f64() / pauses;
        let typical = self.usage.on_pauses(&attempt.service, pause, relative);
        if pause <= 0.0 || typical <= 0.0 {
            return;
        }
        let ratio = (pause / typical).clamp(RANGE.0, RANGE.1);
        let calls = (pauses / PAUSES_PER_CALL).min(MAX_CALLS);
        if let Some(endpoint) = self.find(attempt) {
            let measured = CALL_TIME.mul_f64(ratio);
            endpoint.speed.on_pauses(now, CALL_TIME, measured, calls);
        }
    }
}
