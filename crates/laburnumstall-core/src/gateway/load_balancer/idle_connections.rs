//! Connections of this daemon to an endpoint that a call can use at once.

use std::time::Duration;

use crate::units::Timestamp;

/// Time for which a connection without a call surely stays open: the usual keep-alive time of
/// endpoints less a margin.
const KEPT_FOR: Duration = Duration::from_secs(2);
/// Maximum number of idle connections that are kept to an endpoint.
const MAX_IDLE: u32 = 24;

/// Connections to one endpoint that its calls have left open.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct IdleConnections {
    count: u32,
    last_at: Timestamp,
}

impl IdleConnections {
    /// Records that a call takes a connection.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.count = match self.has_any(now) {
            true => self.count - 1,
            false => 0,
        };
    }

    /// Records that a call has left its connection open.
    pub(super) fn put(&mut self, now: Timestamp) {
        let kept = if self.has_any(now) { self.count } else { 0 };
        self.count = (kept + 1).min(MAX_IDLE);
        self.last_at = now;
    }

    /// Returns whether there is a connection without a call.
    pub(super) fn has_any(&self, now: Timestamp) -> bool {
        self.count > 0 && now.since(self.last_at) < KEPT_FOR
    }
}
