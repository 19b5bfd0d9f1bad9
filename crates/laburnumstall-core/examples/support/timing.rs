//! Measures the mean time of a call.

use std::time::{Duration, Instant};

/// Measurement time of each figure.
const MEASUREMENT_TIME: Duration = Duration::from_millis(200);

/// Returns the mean time of one call in microseconds.
pub(crate) fn micros(mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut calls = 0_u32;
    while started.elapsed() < MEASUREMENT_TIME {
        call();
        calls += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}
