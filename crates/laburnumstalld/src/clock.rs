//! The daemon's clock: wall time at the start, carried on by the time since boot.
//!
//! The time since boot goes on while the machine is suspended, as leases and other
//! promises to the outside do, and does not follow steps of the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnumstall_core::units::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A clock that never goes back while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
    started_at: Timestamp,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |time| time.as_micros() as u64);
        Self {
            started: since_boot(),
            started_at: Timestamp(micros),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.started_at
            .after(since_boot().saturating_sub(self.started))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
