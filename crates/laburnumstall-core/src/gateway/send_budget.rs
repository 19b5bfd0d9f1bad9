//! Bound of what a daemon sends to peers beside gossip.

use std::time::Duration;

use crate::units::Timestamp;

/// Fleet size up to which messages are sent at the full rate, and a question goes to all peers.
/// Above it the rate shrinks with the fleet, since each message holds less.
pub(super) const FULL_RATE_DAEMONS: usize = 32;
/// Bytes that a daemon sends per second in fleets of up to [`FULL_RATE_DAEMONS`].
const BYTES_PER_SECOND: f64 = 32_768.0;
/// Time for which unused bytes may be saved up.
const BURST: Duration = Duration::from_secs(4);
/// Bytes of the headers of a message.
pub(super) const MESSAGE_BYTES: f64 = 96.0;

/// Token bucket of sent bytes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendBudget {
    spent: f64,
    updated_at: Timestamp,
}

impl SendBudget {
    /// Returns the bytes that may be sent now in a fleet of `daemons`.
    pub(super) fn left(&mut self, now: Timestamp, daemons: usize) -> f64 {
        let share = (FULL_RATE_DAEMONS as f64 / daemons as f64).min(1.0);
        let rate = BYTES_PER_SECOND * share;
        let refilled = now.since(self.updated_at).as_secs_f64() * rate;
        self.spent = (self.spent - refilled).max(0.0);
        self.updated_at = now;
        rate * BURST.as_secs_f64() - self.spent
    }

    /// Records that bytes are sent.
    pub(super) fn spend(&mut self, bytes: f64) {
        self.spent += bytes;
    }
}
