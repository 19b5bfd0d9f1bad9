//! Minimizes the cost of a pool over zones so that it meets its target after any zone loss.
//!
//! Each zone has a Pareto frontier: the cheapest set of VMs for each capacity. If `zone_cap`
//! is the largest capacity of a zone, the target is met after any loss if and only if the
//! total is at least the target plus `zone_cap`. So each capacity on a frontier is tried as
//! `zone_cap`: the zones are combined with no zone above it, and the cheapest result is
//! selected. This is exact while no frontier has more than [`MAX_POINTS`] points; beyond that,
//! a local search recovers most of the loss from downsampling.

use super::capacity::FULL_TARGET;
use super::local_search::LocalSearch;

/// Maximum number of points of a frontier before it is downsampled.
const MAX_POINTS: usize = 64;

/// Fixed-point scale for comparing costs per unit of capacity.
const UNIT_COST_SCALE: u128 = 1 << 40;

/// One kind of VM that is available in one zone.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct VmKind {
    /// Index of the zone.
    pub(super) zone: usize,
    /// Share of [`FULL_TARGET`] that one VM serves.
    pub(super) capacity: u64,
    /// Hourly cost of one VM, including reclaim risk and hysteresis.
    pub(super) cost: u64,
    /// Maximum number of VMs; `None` if unlimited.
    pub(super) max_count: Option<u32>,
}

/// A number of VMs of each kind, with their total capacity and cost.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Point {
    pub(super) capacity: u64,
    pub(super) cost: u64,
    /// Number of VMs of each kind, by index.
    pub(super) counts: Vec<u32>,
}

impl Point {
    fn plus(&self, other: &Self) -> Self {
        let pairs = self.counts.iter().zip(&other.counts);
        Self {
            capacity: self.capacity + other.capacity,
            cost: self.cost + other.cost,
            counts: pairs.map(|(a, b)| a + b).collect(),
        }
    }
}

/// Result of [`solve`].
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Solution {
    pub(super) best: Point,
    /// Share of the target that is served after the loss of any one zone.
    pub(super) after_loss: u64,
}

/// Number of steps in which the share required after a zone loss is relaxed.
const RELAX_STEPS: u64 = 16;

/// Finds the cheapest solution; if too few VMs are available for the full target after a zone
/// loss, finds the cheapest one that serves the largest share after a loss.
pub(super) fn solve(zones: usize, kinds: &[VmKind]) -> Option<Solution> {
    (0..=RELAX_STEPS).rev().find_map(|step| {
        let after_loss = FULL_TARGET / RELAX_STEPS * step;
        let best = cheapest(zones, kinds, FULL_TARGET, after_loss)?;
        Some(Solution { best, after_loss })
    })
}

/// Finds the cheapest point with at least the capacity `target`, and at least `after_loss`
/// after the loss of any one zone.
pub(super) fn cheapest(
    zones: usize,
    kinds: &[VmKind],
    target: u64,
    after_loss: u64,
) -> Option<Point> {
    let frontiers: Vec<Vec<Point>> = (0..zones)
        .map(|zone| frontier(zone, kinds, target.max(after_loss)))
        .collect();
    if after_loss == 0 {
        let best = combine(&frontiers, u64::MAX, target, kinds.len())?;
        return Some(LocalSearch::new(zones, kinds, target, after_loss).improve(best));
    }
    let mut zone_caps: Vec<u64> = frontiers
        .iter()
        .flatten()
        .map(|point| point.capacity)
        .filter(|zone_cap| *zone_cap * (zones as u64).saturating_sub(1) >= after_loss)
        .collect();
    zone_caps.sort_unstable();
    zone_caps.dedup();
    let unit_cost = lowest_unit_cost(kinds);
    let mut best: Option<Point> = None;
    for zone_cap in zone_caps {
        let needed = target.max(after_loss + zone_cap);
        let lower_bound = (needed as f64 * unit_cost) as u64;
        if best.as_ref().is_some_and(|best| best.cost <= lower_bound) {
            break;
        }
        let found = combine(&frontiers, zone_cap, needed, kinds.len());
        best = match (best, found) {
            (Some(best), Some(found)) if found.cost < best.cost => Some(found),
            (None, found) => found,
            (best, _) => best,
        };
    }
    best.map(|best| LocalSearch::new(zones, kinds, target, after_loss).improve(best))
}

/// Returns the lowest cost per unit of capacity of any kind.
fn lowest_unit_cost(kinds: &[VmKind]) -> f64 {
    kinds
        .iter()
        .filter(|kind| kind.capacity > 0)
        .map(|kind| kind.cost as f64 / kind.capacity as f64)
        .fold(f64::INFINITY, f64::min)
}

/// Returns the Pareto frontier of one zone, up to the first point that reaches `max_capacity`.
fn frontier(zone: usize, kinds: &[VmKind], max_capacity: u64) -> Vec<Point> {
    let empty = Point {
        counts: vec![0; kinds.len()],
        ..Point::default()
    };
    let mut points = vec![empty];
    for (index, kind) in kinds.iter().enumerate() {
        if kind.zone != zone || kind.capacity == 0 {
            continue;
        }
        let mut extended = Vec::new();
        for point in &points {
            let mut point = point.clone();
            let mut count = 0;
            loop {
                extended.push(point.clone());
                let is_at_limit = kind.max_count.is_some_and(|max_count| count >= max_count);
                if is_at_limit || point.capacity >= max_capacity {
                    break;
                }
                point.capacity += kind.capacity;
                point.cost += kind.cost;
                point.counts[index] += 1;
                count += 1;
            }
        }
        points = downsample(prune(extended, max_capacity));
    }
    points
}

/// Removes dominated points and sorts the others by ascending capacity.
fn prune(mut points: Vec<Point>, max_capacity: u64) -> Vec<Point> {
    points.sort_by(|a, b| {
        let capacity = |point: &Point| point.capacity.min(max_capacity);
        (capacity(b), a.cost, &b.counts).cmp(&(capacity(a), b.cost, &a.counts))
    });
    let mut frontier: Vec<Point> = Vec::new();
    for point in points {
        if frontier.last().is_none_or(|last| point.cost < last.cost) {
            frontier.push(point);
        }
    }
    frontier.reverse();
    frontier
}

/// Downsamples to about [`MAX_POINTS`]: keeps the first and the last point, and of each
/// group of neighbors the one with the lowest cost per unit of capacity.
fn downsample(points: Vec<Point>) -> Vec<Point> {
    if points.len() <= MAX_POINTS {
        return points;
    }
    let unit_cost =
        |point: &Point| u128::from(point.cost) * UNIT_COST_SCALE / u128::from(point.capacity);
    let last = points.len() - 1;
    let inner = points[1..last].chunks(points.len().div_ceil(MAX_POINTS));
    let best = inner.filter_map(|chunk| chunk.iter().min_by_key(|point| unit_cost(point)));
    let ends = [points.first(), points.last()];
    ends[0]
        .into_iter()
        .chain(best)
        .chain(ends[1])
        .cloned()
        .collect()
}

/// Finds the cheapest sum of one point from each frontier, none above `zone_cap`.
fn combine(frontiers: &[Vec<Point>], zone_cap: u64, needed: u64, kinds: usize) -> Option<Point> {
    let mut sums = vec![Point {
        counts: vec![0; kinds],
        ..Point::default()
    }];
    let (last, first) = frontiers.split_last()?;
    for frontier in first {
        let allowed = || frontier.iter().filter(|point| point.capacity <= zone_cap);
        let extended = sums
            .iter()
            .flat_map(|sum| allowed().map(|point| sum.plus(point)))
            .collect();
        sums = downsample(prune(extended, needed));
    }
    let last: Vec<&Point> = last
        .iter()
        .filter(|point| point.capacity <= zone_cap)
        .collect();
    let complete = |sum: &Point| {
        let missing = needed.saturating_sub(sum.capacity);
        let index = last.partition_point(|point| point.capacity < missing);
        last.get(index).map(|point| sum.plus(point))
    };
    sums.iter()
        .filter_map(complete)
        .min_by(|a, b| (a.cost, &a.counts).cmp(&(b.cost, &b.counts)))
}
