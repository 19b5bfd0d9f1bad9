//! Rate at which callers request work from a service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::gateway::gossip::ServiceDemand;
use crate::ids::{DaemonId, ServiceName};
use crate::units::Timestamp;

/// Time constant of the average: short compared to a boot, long compared to a burst of calls.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Time for which the highest average is held, so that the endpoints for a wave's peak are
/// kept through its trough.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(25);

/// Time over which work is summed for the median.
const BUCKET_TIME: Duration = Duration::from_secs(1);
/// Part of the mean rate that the highest median has to reach to be used.
const MIN_MEDIAN: f64 = 0.8;
/// Longest time over which a median is taken.
const MAX_MEDIAN_TIME: Duration = Duration::from_secs(20);

/// Time after the first call until the average is meaningful.
const WARMUP_TIME: Duration = Duration::from_secs(8);

/// Standard error of the mean rate, as a part of it, up to which the rate counts as measured before
/// the warm-up ends.
const MAX_ERROR: f64 = 0.05;

/// Rates of the samples since the first call.
#[derive(Debug, Clone, Copy, Default)]
struct Samples {
    count: f64,
    mean: f64,
    /// Sum of the squares of the differences from the mean.
    squares: f64,
}

impl Samples {
    fn add(&mut self, rate: f64) {
        // Welford (1962).
        self.count += 1.0;
        let difference = rate - self.mean;
        self.mean += difference / self.count;
        self.squares += difference * (rate - self.mean);
    }

    /// Returns whether the mean is known to within [`MAX_ERROR`].
    fn is_settled(&self) -> bool {
        if self.count < 2.0 || self.mean <= 0.0 {
            return false;
        }
        let variance = self.squares / (self.count - 1.0);
        (variance / self.count).sqrt() <= MAX_ERROR * self.mean
    }
}

/// Sums the counters of all daemons and tracks their rate.
#[derive(Debug, Clone, Default)]
pub(super) struct DemandMeter {
    counters: BTreeMap<DaemonId, u64>,
    average: f64,
    measured_at: Option<Timestamp>,
    first_call_at: Option<Timestamp>,
    /// Samples after the one with the first call.
    samples: Samples,
    peaks: Vec<(Timestamp, f64)>,
    /// Work in seconds of prefill by [`BUCKET_TIME`], with the start of the bucket, oldest first.
    buckets: VecDeque<(Timestamp, f64)>,
}

impl DemandMeter {
    /// Updates the rate from the counters; the counters of a new daemon count from their first
    /// value.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        demand: &[(DaemonId, Vec<ServiceDemand>)],
    ) {
        let mut added = 0;
        for (daemon, services) in demand {
            let Some(counter) = services.iter().find(|counter| counter.service == *service) else {
                self.counters.entry(daemon.clone()).or_default();
                continue;
            };
            let before = self.counters.insert(daemon.clone(), counter.prefill_ms);
            added += counter
                .prefill_ms
                .saturating_sub(before.unwrap_or(counter.prefill_ms));
        }
        let had_calls = self.has_calls();
        if added > 0 {
            self.first_call_at.get_or_insert(now);
        }
        let Some(before) = self.measured_at.replace(now) else {
            return;
        };
        let span = now.since(before).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let rate = added as f64 / 1_000.0 / span;
        if had_calls {
            self.samples.add(rate);
        }
        let weight = 1.0 - (-span / AVERAGE_TIME.as_secs_f64()).exp();
        self.average += (rate - self.average) * weight;
        self.peaks
            .retain(|(at, peak)| now.since(*at) < PEAK_HOLD_TIME && *peak > self.average);
        self.peaks.push((now, self.average));
        self.add_to_bucket(now, added as f64 / 1_000.0);
    }

    fn add_to_bucket(&mut self, now: Timestamp, work: f64) {
        match self.buckets.back_mut() {
            Some((at, sum)) if now.since(*at) < BUCKET_TIME => *sum += work,
            _ => self.buckets.push_back((now, work)),
        }
        while let Some((at, _)) = self.buckets.front()
            && now.since(*at) > PEAK_HOLD_TIME + MAX_MEDIAN_TIME
        {
            self.buckets.pop_front();
        }
    }

    /// Returns the highest recent median rate of `time`, at most [`MAX_MEDIAN_TIME`]: a burst of
    /// less than half of it does not count. `None` before the first call, until `time` has passed
    /// after the warm-up, and if calls are so few that the median says little about the mean.
    pub(super) fn median_rate(&self, now: Timestamp, time: Duration) -> Option<f64> {
        let first = self.first_call_at?;
        let time = time.min(MAX_MEDIAN_TIME);
        let starts = self.buckets.iter().zip(self.buckets.iter().skip(1));
        // The last bucket is not complete yet.
        let rates: Vec<(Timestamp, f64)> = starts
            .map(|((start, work), (end, _))| (*end, work / end.since(*start).as_secs_f64()))
            .collect();
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / rates.len().max(1) as f64;
        let count = (time.as_secs_f64() / BUCKET_TIME.as_secs_f64())
            .ceil()
            .max(1.0);
        let medians = rates.windows(count as usize).filter_map(|window| {
            let (end, _) = window.last()?;
            let mut sorted: Vec<f64> = window.iter().map(|(_, rate)| *rate).collect();
            sorted.sort_by(f64::total_cmp);
            (now.since(*end) < PEAK_HOLD_TIME).then(|| sorted[(sorted.len() - 1) / 2])
        });
        let highest = medians.fold(0.0, f64::max);
        let is_known = now.since(first) > WARMUP_TIME + time && highest >= MIN_MEDIAN * mean;
        is_known.then_some(highest)
    }

    /// Returns the current average rate.
    pub(super) fn current_rate(&self) -> f64 {
        self.average
    }

    /// Returns whether there were any calls.
    pub(super) fn has_calls(&self) -> bool {
        self.first_call_at.is_some()
    }

    /// Returns the highest recent rate in seconds of prefill per second, which is the number
    /// of engines that would be busy with prefill all the time. `None` before the first call
    /// and during the warm-up after it.
    pub(super) fn rate(&self, now: Timestamp) -> Option<f64> {
        let first = self.first_call_at?;
        let held = self
            .peaks
            .iter()
            .filter(|(at, _)| now.since(*at) < PEAK_HOLD_TIME);
        let highest = held.map(|(_, peak)| *peak).fold(0.0, f64::max);
        (now.since(first) > WARMUP_TIME).then_some(highest)
    }

    /// Returns the mean rate since the first call, if it is known well enough. It is told for twice the
    /// warm-up, until the average no longer falls short of it because it began at zero.
    pub(super) fn early_rate(&self, now: Timestamp) -> Option<f64> {
        let elapsed = now.since(self.first_call_at?);
        let is_known = elapsed >= AVERAGE_TIME && self.samples.is_settled();
        (is_known && elapsed <= 2 * WARMUP_TIME).then_some(self.samples.mean)
    }
}
