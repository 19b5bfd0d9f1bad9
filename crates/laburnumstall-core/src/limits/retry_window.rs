//! A limit on retries over a sliding window.
//!
//! [`RetryBudget`](super::RetryBudget) accumulates unused retries, which a limit over every
//! window does not permit; here retries are limited by the requests of the same window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Timestamp;

/// Bins per window in which requests and retries are counted.
const BINS: u32 = 20;
/// Percentage of the limit that is used: other daemons' windows start at other times, and
/// retries arrive later than they are counted.
const USED_PERCENT: f64 = 80.0;

#[derive(Debug, Clone, Copy, Default)]
struct Bin {
    started_at: Timestamp,
    requests: u32,
    retries: u32,
}

/// Keeps one daemon's retries within its share of a limit: a fraction of its requests in
/// the window, plus a share of a fixed allowance.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    length: Duration,
    ratio: f64,
    allowance: f64,
    bins: VecDeque<Bin>,
}

impl RetryWindow {
    /// Creates a window of `length` that allows `ratio` retries per request, plus
    /// `allowance` retries regardless of load.
    pub fn new(length: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            length,
            ratio,
            allowance,
            bins: VecDeque::new(),
        }
    }

    /// Changes the limit; what was counted stays counted.
    pub fn set_limit(&mut self, length: Duration, ratio: f64) {
        self.length = length;
        self.ratio = ratio;
    }

    /// Sets this daemon's share of the fixed allowance.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Counts one request towards the window.
    pub fn on_request(&mut self, now: Timestamp) {
        self.bin(now).requests += 1;
    }

    /// Counts one retry if the limit allows it; returns whether it does.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let (retries, allowed) = self.usage(now);
        let is_allowed = retries < allowed;
        if is_allowed {
            self.bin(now).retries += 1;
        }
        is_allowed
    }

    /// Returns the retries in the window, and how many it allows.
    pub fn usage(&mut self, now: Timestamp) -> (u32, u32) {
        let last = self.bin(now).started_at;
        let counted = self.bins.iter().filter(|bin| bin.started_at <= last);
        let (requests, retries) = counted.fold((0, 0), |(requests, retries), bin| {
            (requests + bin.requests, retries + bin.retries)
        });
        let limit = (f64::from(requests) * self.ratio + self.allowance) * USED_PERCENT / 100.0;
        // The conversion saturates.
        (retries, limit as u32)
    }

    fn bin(&mut self, now: Timestamp) -> &mut Bin {
        let length = (self.length / BINS).max(Duration::from_millis(1));
        let micros = length.as_micros() as u64;
        let started_at = Timestamp(now.0 - now.0 % micros);
        let oldest = started_at.before(length * BINS);
        while self.bins.front().is_some_and(|bin| bin.started_at < oldest) {
            self.bins.pop_front();
        }
        if self
            .bins
            .back()
            .is_none_or(|bin| bin.started_at < started_at)
        {
            self.bins.push_back(Bin {
                started_at,
                ..Bin::default()
            });
        }
        let last = self.bins.len() - 1;
        &mut self.bins[last]
    }
}
