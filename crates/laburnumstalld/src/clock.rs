//! The daemon's clock: wall-clock time at start, advanced by the boot-time clock.
//!
//! The boot-time clock keeps running while the machine is suspended, as leases and other
//! external deadlines do, and ignores steps of the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnumstall_core::units::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts at the wall-clock time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    boot_time_at_start: Duration,
    started_at: Timestamp,
}

impl Clock {
    /// Starts the clock at the current wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |time| time.as_micros() as u64);
        Self {
            boot_time_at_start: since_boot(),
            started_at: Timestamp(micros),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.started_at
            .after(since_boot().saturating_sub(self.boot_time_at_start))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
