//! Times, sizes, rates and prices.
//!
//! The core never reads a clock: every call is given a [`Timestamp`].

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quantity;

quantity! {
    /// A number of tokens.
    Tokens, "tok";
    /// A size in bytes.
    Bytes, "B";
    /// A rate of tokens a second.
    TokenRate, "tok/s";
    /// A rate of requests a second.
    RequestRate, "req/s";
    /// A price in millionths of the currency unit an hour.
    HourlyPrice, "u/h";
    /// Priority passed to an engine; a higher number goes first.
    Priority, "";
}

/// A point in time, in microseconds since the Unix epoch or since a session's start.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The earliest point in time.
    pub const ZERO: Self = Self(0);
    /// A point in time that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Builds a timestamp from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `wait` later.
    pub const fn after(self, wait: Duration) -> Self {
        Self(self.0.saturating_add(wait.as_micros() as u64))
    }

    /// Returns the timestamp `time` earlier, or zero.
    pub const fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time.as_micros() as u64))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
