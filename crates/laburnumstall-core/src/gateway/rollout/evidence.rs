//! Counts of attempts by route and side of a rollout, and how daemons add up those of the fleet.
//!
//! The counts that daemons send are sums since the order. The differences are kept by slices of time,
//! so that both sides are compared at the same time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use super::order::RolloutPhase;
use crate::hash::digest64;
use crate::ids::{DaemonId, ServiceName};
use crate::store::StorePosition;
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Length of a slice of time, in which counts of both sides are kept together.
const SLICE: Duration = Duration::from_millis(250);
/// Slices that are kept; earlier ones take part in the sum of all time only.
const KEPT_SLICES: usize = 16;
/// Number of buckets in a histogram: from one millisecond to 16 seconds.
const BUCKETS: u8 = 56;

domain_value! {
    /// Hash of a route's name, which keeps messages short.
    pub struct RouteKey(pub u32);

    /// What a finding was made from.
    #[serde(rename_all = "kebab-case")]
    pub enum FindingCause {
        /// Failed responses.
        Failures,
        /// Late first outputs or responses.
        FirstOutput,
        /// Slow streams after their first event.
        Pauses,
    }
}

domain! {
    /// Number of times by length, in buckets of a quarter of an octave.
    #[derive(Eq, Default)]
    pub struct TimeHistogram {
        counts: BTreeMap<u8, u32>,
    }

    /// Counts of one side on one route.
    #[derive(Eq, Default)]
    pub struct SideCounts {
        /// Attempts that the endpoint ran.
        pub calls: u32,
        /// Those of them that failed.
        pub failures: u32,
        /// Time to the first event or to the response.
        pub first: TimeHistogram,
        /// Time from the first event to the end.
        pub rest: TimeHistogram,
    }

    /// Counts of one route.
    #[derive(Eq, Default)]
    pub struct RouteCounts {
        /// The versions before the rollout.
        pub old: SideCounts,
        /// The version that is rolled out.
        pub new: SideCounts,
    }

    /// Why a version is bad.
    #[derive(Eq)]
    pub struct Finding {
        /// What shows it.
        pub cause: FindingCause,
        /// Route on which it was seen.
        pub route: CompactString,
        /// Attempts at the new version.
        pub new_calls: u32,
        /// Those of them that were bad.
        pub new_bad: u32,
        /// Attempts at the old versions in the same time.
        pub old_calls: u32,
        /// Those of them that were bad.
        pub old_bad: u32,
    }

    /// What a daemon tells its peers of a rollout. Counts are sums since it learned of the order.
    #[derive(Eq)]
    pub struct RolloutEvidence {
        /// The service.
        pub service: ServiceName,
        /// The order.
        pub order: StorePosition,
        /// Time since the first daemon saw the order, in milliseconds.
        pub elapsed_ms: u64,
        /// State of the order that the sender has read; `None` if it has read none.
        pub phase: Option<RolloutPhase>,
        /// Why the sender stopped to send new calls to the version; `None` if it did not.
        pub finding: Option<Finding>,
        /// Calls that the sender has in flight at old versions.
        pub old_in_flight: u32,
        /// Counts by route.
        pub routes: BTreeMap<RouteKey, RouteCounts>,
    }
}

impl RouteKey {
    /// Returns the key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(digest64(&[name.as_bytes()]) as u32)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} against {} of {}",
            self.new_bad, self.new_calls, self.old_bad, self.old_calls
        )
    }
}

impl FindingCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::FirstOutput => "first-output",
            Self::Pauses => "pauses",
        }
    }
}

impl TimeHistogram {
    /// Counts a time.
    pub fn record(&mut self, time: Duration) {
        let quarters = (time.as_secs_f64() * 1_000.0).max(1.0).log2() * 4.0;
        // The conversion saturates.
        let bucket = (quarters as u8).min(BUCKETS - 1);
        *self.counts.entry(bucket).or_default() += 1;
    }

    /// Returns the number of times.
    pub(super) fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Returns the number of times in buckets from `first` on.
    pub(super) fn count_from(&self, first: u8) -> u32 {
        self.counts.range(first..).map(|(_, count)| count).sum()
    }

    /// Returns the bucket below which at most `part` of the times are.
    pub(super) fn quantile_bucket(&self, part: f64) -> u8 {
        let limit = f64::from(self.total()) * part;
        let mut sum = 0.0;
        for (bucket, count) in &self.counts {
            sum += f64::from(*count);
            if sum >= limit {
                return *bucket;
            }
        }
        BUCKETS - 1
    }

    fn add(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            let sum = self.counts.entry(*bucket).or_default();
            *sum = sum.saturating_add(*count);
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let difference = self.counts.iter().filter_map(|(bucket, count)| {
            let earlier = earlier.counts.get(bucket).copied().unwrap_or(0);
            let added = count.saturating_sub(earlier);
            (added > 0 && *bucket < BUCKETS).then_some((*bucket, added))
        });
        Self {
            counts: difference.collect(),
        }
    }
}

impl SideCounts {
    fn add(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failures = self.failures.saturating_add(other.failures);
        self.first.add(&other.first);
        self.rest.add(&other.rest);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            first: self.first.since(&earlier.first),
            rest: self.rest.since(&earlier.rest),
        }
    }
}

impl RouteCounts {
    /// Returns the counts of a side.
    pub(super) fn side(&mut self, is_new: bool) -> &mut SideCounts {
        match is_new {
            true => &mut self.new,
            false => &mut self.old,
        }
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }
}

/// Counts of one route in the whole fleet.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteHistory {
    /// Counts by slice, the newest last.
    slices: VecDeque<(u64, RouteCounts)>,
    /// Counts of all time.
    pub(super) total: RouteCounts,
}

impl RouteHistory {
    fn add(&mut self, now: Timestamp, counts: &RouteCounts) {
        let slice = slice_at(now);
        if self.slices.back().is_none_or(|(last, _)| *last < slice) {
            self.slices.push_back((slice, RouteCounts::default()));
        }
        if let Some((_, sum)) = self.slices.back_mut() {
            sum.add(counts);
        }
        self.total.add(counts);
        if self.slices.len() > KEPT_SLICES {
            self.slices.pop_front();
        }
    }

    /// Returns the counts of the last slices with their numbers.
    pub(super) fn recent(&self, now: Timestamp) -> impl Iterator<Item = (u64, &RouteCounts)> {
        let slice = slice_at(now);
        let is_recent = move |at: u64| at + KEPT_SLICES as u64 > slice;
        let recent = self.slices.iter();
        recent.filter_map(move |(at, counts)| is_recent(*at).then_some((*at, counts)))
    }
}

/// Returns the number of the slice that a time is in.
fn slice_at(now: Timestamp) -> u64 {
    now.0 / SLICE.as_micros() as u64
}

/// Counts of the fleet as far as this daemon knows them, with what each peer said last.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetEvidence {
    pub(super) routes: BTreeMap<RouteKey, RouteHistory>,
    peers: BTreeMap<DaemonId, PeerEvidence>,
}

/// What a peer said last.
#[derive(Debug, Clone)]
pub(super) struct PeerEvidence {
    pub(super) heard_at: Timestamp,
    pub(super) last: RolloutEvidence,
}

impl FleetEvidence {
    /// Adds counts of this daemon.
    pub(super) fn add_own(&mut self, now: Timestamp, route: RouteKey, counts: &RouteCounts) {
        self.routes.entry(route).or_default().add(now, counts);
    }

    /// Adds what a peer's counts have grown by.
    pub(super) fn on_peer(&mut self, now: Timestamp, from: &DaemonId, update: RolloutEvidence) {
        let known = self.peers.get(from).map(|known| &known.last.routes);
        for (route, counts) in &update.routes {
            let added = match known.and_then(|known| known.get(route)) {
                Some(known) => counts.since(known),
                None => counts.clone(),
            };
            self.routes.entry(*route).or_default().add(now, &added);
        }
        let heard = PeerEvidence {
            heard_at: now,
            last: update,
        };
        self.peers.insert(from.clone(), heard);
    }

    /// Returns what a peer said last.
    pub(super) fn peer(&self, id: &DaemonId) -> Option<&PeerEvidence> {
        self.peers.get(id)
    }

    /// Returns when a peer was heard last; `None` if none was.
    pub(super) fn heard_at(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.heard_at).max()
    }
}
