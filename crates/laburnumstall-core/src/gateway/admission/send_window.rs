//! Calls without a prompt that a daemon may have at the endpoints of a service at once.
//!
//! Such calls are short compared with the gossip period, so what peers have reported tells little of
//! the slots that are free now. The window follows the refusals of full endpoints instead: it shrinks
//! with a refusal and grows with each response (additive increase, multiplicative decrease: Chiu
//! and Jain, 1989). There is no window until an endpoint that is known to be busy refuses a call.

use std::time::Duration;

use crate::units::Timestamp;

/// Factor of the window at a refusal.
const DECREASE: f64 = 0.8;
/// Shortest time between two decreases: refusals of calls that were in flight together count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a refusal after which the window ends.
const WINDOW_TIME: Duration = Duration::from_secs(2);

/// Window of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct SendWindow {
    in_flight: u32,
    /// Size and time of the last refusal.
    limit: Option<(f64, Timestamp)>,
}

impl SendWindow {
    /// Returns whether another call may be sent that may use `part` of the window. One call always
    /// may.
    pub(super) fn has_room(&self, now: Timestamp, part: f64) -> bool {
        let limit = self.limit.filter(|_| self.is_limited(now));
        limit.is_none_or(|(size, _)| f64::from(self.in_flight) < (size * part).max(1.0))
    }

    /// Returns whether a busy endpoint has refused a call lately.
    pub(super) fn is_limited(&self, now: Timestamp) -> bool {
        self.limit
            .is_some_and(|(_, refused_at)| now.since(refused_at) <= WINDOW_TIME)
    }

    pub(super) fn on_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn on_response(&mut self) {
        if let Some((size, _)) = &mut self.limit {
            *size += 1.0 / size.max(1.0);
        }
    }

    /// Records that a busy endpoint refused a call.
    pub(super) fn on_refused(&mut self, now: Timestamp) {
        let in_flight = f64::from(self.in_flight);
        let size = match self.limit {
            Some((_, at)) if now.since(at) < DECREASE_INTERVAL => return,
            Some((size, at)) if now.since(at) <= WINDOW_TIME => size.min(in_flight),
            _ => in_flight,
        };
        self.limit = Some(((size * DECREASE).max(1.0), now));
    }
}
