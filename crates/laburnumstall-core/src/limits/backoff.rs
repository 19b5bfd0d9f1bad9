//! Delays between tries of a call that fails again and again.

use std::time::Duration;

/// Exponential backoff, spread so that daemons that failed together do not try together.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    seed: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff from `first` up to `max`; `seed` differs between daemons.
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self {
            first,
            max,
            seed,
            failures: 0,
        }
    }

    /// Returns the delay after one more failure: between three quarters and five quarters of a
    /// time that doubles with each.
    pub fn next_delay(&mut self) -> Duration {
        const PARTS: u64 = 1 << 16;
        let doubled = self.first * 2_u32.saturating_pow(self.failures.min(16));
        let mean = doubled.min(self.max);
        self.failures += 1;
        let spread = self.seed.rotate_left(self.failures * 16) % PARTS;
        mean.mul_f64(0.75 + 0.5 * spread as f64 / PARTS as f64)
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
