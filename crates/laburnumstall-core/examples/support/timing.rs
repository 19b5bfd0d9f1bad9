//! Times a call by many repetitions.

use std::time::{Duration, Instant};

/// Time spent on each figure.
const EFFORT: Duration = Duration::from_millis(200);

/// Returns the mean time of one call in microseconds.
pub(crate) fn micros(mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut calls = 0_u32;
    while started.elapsed() < EFFORT {
        call();
        calls += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}
