//! Times, sizes, rates and prices.
//!
//! The core never reads a clock: callers pass the current [`Timestamp`].

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quantity;

quantity! {
    /// A number of tokens.
    Tokens, "tok";
    /// A size in bytes.
    Bytes, "B";
    /// A rate in tokens per second.
    TokenRate, "tok/s";
    /// A rate in requests per second.
    RequestRate, "req/s";
    /// A price in millionths of the currency unit per hour.
    HourlyPrice, "u/h";
    /// Priority passed to an engine; higher numbers run first.
    Priority, "";
}

/// A point in time, in microseconds since the Unix epoch or the start of a session.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The earliest point in time.
    pub const ZERO: Self = Self(0);
    /// The latest point in time; stands for "never".
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a timestamp from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `delay` later, saturating at [`Timestamp::NEVER`].
    pub const fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay.as_micros() as u64))
    }

    /// Returns the timestamp `duration` earlier, saturating at [`Timestamp::ZERO`].
    pub const fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
