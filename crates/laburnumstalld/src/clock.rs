//! The daemon's clock: wall time at the start, carried on by the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use laburnumstall_core::units::Timestamp;

/// A clock that never goes back while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |time| time.as_micros() as u64);
        Self {
            started: Instant::now(),
            started_at: Timestamp(micros),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.started_at.after(self.started.elapsed())
    }
}
