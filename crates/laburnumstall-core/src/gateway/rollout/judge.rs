//! Decides whether the responses of a version are worse than those of the old one.
//!
//! A finding needs a deviation that chance hardly explains, on one route or on all together, beyond a margin for what
//! differs between sound versions. It has to remain without its worst slices of time, so that a
//! burst that meets the few endpoints of a new version does not count.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use compact_str::CompactString;

use super::evidence::{
    Finding, FindingCause, RouteCounts, RouteHistory, RouteKey, SideCounts, TimeHistogram,
};
use crate::units::Timestamp;

/// Natural logarithm of the odds against chance that a finding needs: one in a million.
const FINDING_STRENGTH: f64 = 13.8;
/// The same without the worst slices: one in a thousand.
const REST_STRENGTH: f64 = 6.9;
/// Fewest bad responses that a finding needs.
const MIN_BAD: u32 = 6;
/// Fewest attempts at old versions that their rates are taken from.
const MIN_OLD_CALLS: u32 = 20;
/// Failure rate that a sound version may have, where the old one's is unknown.
const UNKNOWN_FAILURE_RATE: f64 = 0.14;
/// Worst slices of time that are left out for failures: a crash fails the calls of a moment.
const WORST_FAILURE_SLICES: usize = 1;
/// The same for slow responses: a burst or a disturbance takes up to a second.
const WORST_SLOW_SLICES: usize = 4;
/// Factor and rate by which a sound version may fail more often than the old one.
const FAILURE_MARGIN: (f64, f64) = (1.25, 0.02);
/// Factor and rate by which responses of a sound version may be slow more often. Endpoints differ
/// in speed and are disturbed at times, and few of them get the calls.
const SLOW_MARGIN: (f64, f64) = (1.5, 0.08);
/// Part of the old versions' responses that are faster than a slow one by far.
const USUAL_PART: f64 = 0.9;
/// Buckets between the usual responses and slow ones: a factor of 1.4 to 1.7.
const SLOW_BUCKETS: u8 = 2;
/// Standard deviations that are added to a measured rate.
const RATE_DEVIATIONS: f64 = 2.0;

/// Attempts of both sides, and how many of them were bad.
#[derive(Debug, Clone, Default)]
struct Tally {
    new_calls: u32,
    new_bad: u32,
    old_calls: u32,
    old_bad: u32,
    /// Attempts at the new version by slice of time.
    slices: BTreeMap<u64, (u32, u32)>,
}

/// Counts of one route.
struct Recent<'a> {
    route: RouteKey,
    slices: Vec<(u64, &'a RouteCounts)>,
    /// Sum of the slices.
    sum: RouteCounts,
    total: &'a RouteCounts,
}

impl<'a> Recent<'a> {
    fn new(now: Timestamp, route: RouteKey, history: &'a RouteHistory) -> Self {
        let slices: Vec<(u64, &RouteCounts)> = history.recent(now).collect();
        let mut sum = RouteCounts::default();
        for (_, counts) in &slices {
            sum.add(counts);
        }
        Self {
            route,
            slices,
            sum,
            total: &history.total,
        }
    }
}

/// Returns why the new version is bad, if it is: on a route, whose key comes with it, or on all
/// routes together.
pub(super) fn judge(
    now: Timestamp,
    routes: &BTreeMap<RouteKey, RouteHistory>,
) -> Option<(Option<RouteKey>, Finding)> {
    let causes = [
        FindingCause::Failures,
        FindingCause::FirstOutput,
        FindingCause::Pauses,
    ];
    let recent: Vec<Recent<'_>> = routes
        .iter()
        .map(|(route, history)| Recent::new(now, *route, history))
        .collect();
    causes.into_iter().find_map(|cause| {
        [true, false].into_iter().find_map(|is_recent| {
            let mut all = Tally::default();
            for recent in &recent {
                let tally = Tally::new(cause, recent, is_recent);
                if let Some(finding) = tally.finding(cause) {
                    return Some((Some(recent.route), finding));
                }
                all.add(&tally);
            }
            all.finding(cause).map(|finding| (None, finding))
        })
    })
}

impl Tally {
    /// Counts a route's attempts of the last slices or of all time.
    fn new(cause: FindingCause, recent: &Recent<'_>, is_recent: bool) -> Self {
        let sum = match is_recent {
            true => &recent.sum,
            false => recent.total,
        };
        let old = histogram(cause, &sum.old);
        if cause != FindingCause::Failures && old.total() < MIN_OLD_CALLS {
            return Self::default();
        }
        let slow_from = old.quantile_bucket(USUAL_PART) + SLOW_BUCKETS + 1;
        let count = |side: &SideCounts| match cause {
            FindingCause::Failures => (side.calls, side.failures),
            FindingCause::FirstOutput | FindingCause::Pauses => {
                let times = histogram(cause, side);
                (times.total(), times.count_from(slow_from))
            }
        };
        let ((new_calls, new_bad), (old_calls, old_bad)) = (count(&sum.new), count(&sum.old));
        let slices = recent.slices.iter();
        Self {
            new_calls,
            new_bad,
            old_calls,
            old_bad,
            slices: slices
                .map(|(slice, counts)| (*slice, count(&counts.new)))
                .collect(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
        for (slice, (calls, bad)) in &other.slices {
            let sum = self.slices.entry(*slice).or_default();
            *sum = (sum.0 + calls, sum.1 + bad);
        }
    }

    fn finding(&self, cause: FindingCause) -> Option<Finding> {
        if self.new_bad < MIN_BAD {
            return None;
        }
        let rate = sound_rate(cause, self.old_calls, self.old_bad);
        if strength(self.new_calls, self.new_bad, rate) < FINDING_STRENGTH {
            return None;
        }
        let mut worst: Vec<(u32, u32)> = self.slices.values().copied().collect();
        worst.sort_unstable_by_key(|(_, bad)| Reverse(*bad));
        worst.truncate(match cause {
            FindingCause::Failures => WORST_FAILURE_SLICES,
            FindingCause::FirstOutput | FindingCause::Pauses => WORST_SLOW_SLICES,
        });
        let worst_calls: u32 = worst.iter().map(|(calls, _)| calls).sum();
        let worst_bad: u32 = worst.iter().map(|(_, bad)| bad).sum();
        let rest = strength(
            self.new_calls.saturating_sub(worst_calls),
            self.new_bad.saturating_sub(worst_bad),
            rate,
        );
        (rest >= REST_STRENGTH).then(|| Finding {
            cause,
            route: CompactString::const_new("all"),
            new_calls: self.new_calls,
            new_bad: self.new_bad,
            old_calls: self.old_calls,
            old_bad: self.old_bad,
        })
    }
}

fn histogram(cause: FindingCause, side: &SideCounts) -> &TimeHistogram {
    match cause {
        FindingCause::Pauses => &side.rest,
        FindingCause::Failures | FindingCause::FirstOutput => &side.first,
    }
}

/// Returns the highest rate of bad responses that a sound version may have.
fn sound_rate(cause: FindingCause, old_calls: u32, old_bad: u32) -> f64 {
    let calls = f64::from(old_calls.max(1));
    let rate = f64::from(old_bad) / calls;
    let deviation = (rate.max(1.0 / calls) * (1.0 - rate) / calls).sqrt();
    let upper = rate + RATE_DEVIATIONS * deviation;
    match cause {
        FindingCause::Failures => {
            let known = match old_calls < MIN_OLD_CALLS {
                true => upper.max(UNKNOWN_FAILURE_RATE),
                false => upper,
            };
            known * FAILURE_MARGIN.0 + FAILURE_MARGIN.1
        }
        _ => upper * SLOW_MARGIN.0 + SLOW_MARGIN.1,
    }
}

/// Returns the natural logarithm of the odds against `bad` of `calls` by chance at a rate, by the
/// Chernoff bound of the binomial distribution; 0 if the rate explains them.
fn strength(calls: u32, bad: u32, rate: f64) -> f64 {
    if calls == 0 || rate >= 1.0 {
        return 0.0;
    }
    let (calls, measured) = (f64::from(calls), f64::from(bad) / f64::from(calls));
    if measured <= rate {
        return 0.0;
    }
    let sound = match measured >= 1.0 {
        true => 0.0,
        false => (1.0 - measured) * ((1.0 - measured) / (1.0 - rate)).ln(),
    };
    calls * (measured * (measured / rate).ln() + sound)
}
