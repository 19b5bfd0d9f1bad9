//! Least cost of a pool over zones, such that the target holds after the loss of any zone.
//!
//! For each zone the frontier lists the cheapest way to each capacity. If `top` is the
//! greatest capacity in one zone, the target holds after any loss exactly when the sum is
//! at least the target plus `top`. So for each `top` on a frontier the zones are combined
//! with no zone above it, and the cheapest of all wins. This is exact as long as no
//! frontier has more than [`MAX_POINTS`] points; beyond, exchanges of single VMs make up
//! for most of what was thinned out.

use super::capacity::WHOLE;
use super::local_search::LocalSearch;

/// Most points of a frontier before it is thinned out.
const MAX_POINTS: usize = 64;

/// Scale in which costs for a unit of capacity are compared.
const RATE_SCALE: u128 = 1 << 40;

/// One kind of VM that can be had in one zone.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choosable {
    /// Index of the zone.
    pub(super) zone: usize,
    /// Part of [`WHOLE`] that one carries.
    pub(super) capacity: u64,
    /// Price that counts, risk and hysteresis included.
    pub(super) cost: u64,
    /// Most that can be had.
    pub(super) most: Option<u32>,
}

/// A number of VMs of each kind, with what they carry and cost.
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

/// What the solver found.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Solution {
    pub(super) best: Point,
    /// Part of the target that holds after the loss of any one zone.
    pub(super) after_loss: u64,
}

/// Steps in which the part that must survive a loss is lowered when it cannot be had.
const RELAX_STEPS: u64 = 16;

/// Finds the cheapest numbers; without enough VMs to be had, the most that survives a loss.
pub(super) fn solve(zones: usize, kinds: &[Choosable]) -> Option<Solution> {
    (0..=RELAX_STEPS).rev().find_map(|step| {
        let after_loss = WHOLE / RELAX_STEPS * step;
        let best = cheapest(zones, kinds, WHOLE, after_loss)?;
        Some(Solution { best, after_loss })
    })
}

/// Finds the cheapest numbers that carry `all`, and `after_loss` without any one zone.
pub(super) fn cheapest(
    zones: usize,
    kinds: &[Choosable],
    all: u64,
    after_loss: u64,
) -> Option<Point> {
    let frontiers: Vec<Vec<Point>> = (0..zones)
        .map(|zone| frontier(zone, kinds, all.max(after_loss)))
        .collect();
    if after_loss == 0 {
        let best = combine(&frontiers, u64::MAX, all, kinds.len())?;
        return Some(LocalSearch::new(zones, kinds, all, after_loss).improve(best));
    }
    let mut tops: Vec<u64> = frontiers
        .iter()
        .flatten()
        .map(|point| point.capacity)
        .filter(|top| *top * (zones as u64).saturating_sub(1) >= after_loss)
        .collect();
    tops.sort_unstable();
    tops.dedup();
    let rate = best_rate(kinds);
    let mut best: Option<Point> = None;
    for top in tops {
        let needed = all.max(after_loss + top);
        let lower_bound = (needed as f64 * rate) as u64;
        if best.as_ref().is_some_and(|best| best.cost <= lower_bound) {
            break;
        }
        let found = combine(&frontiers, top, needed, kinds.len());
        best = match (best, found) {
            (Some(best), Some(found)) if found.cost < best.cost => Some(found),
            (None, found) => found,
            (best, _) => best,
        };
    }
    best.map(|best| LocalSearch::new(zones, kinds, all, after_loss).improve(best))
}

/// Returns the least cost of a unit of capacity.
fn best_rate(kinds: &[Choosable]) -> f64 {
    kinds
        .iter()
        .filter(|kind| kind.capacity > 0)
        .map(|kind| kind.cost as f64 / kind.capacity as f64)
        .fold(f64::INFINITY, f64::min)
}

/// Returns the cheapest points of one zone by capacity, up to the first that carries `most`.
fn frontier(zone: usize, kinds: &[Choosable], most: u64) -> Vec<Point> {
    let empty = Point {
        counts: vec![0; kinds.len()],
        ..Point::default()
    };
    let mut points = vec![empty];
    for (index, kind) in kinds.iter().enumerate() {
        if kind.zone != zone || kind.capacity == 0 {
            continue;
        }
        let mut grown = Vec::new();
        for point in &points {
            let mut point = point.clone();
            let mut count = 0;
            loop {
                grown.push(point.clone());
                let is_exhausted = kind.most.is_some_and(|most| count >= most);
                if is_exhausted || point.capacity >= most {
                    break;
                }
                point.capacity += kind.capacity;
                point.cost += kind.cost;
                point.counts[index] += 1;
                count += 1;
            }
        }
        points = thin(prune(grown, most));
    }
    points
}

/// Keeps the points that no other beats in both capacity and cost, by rising capacity.
fn prune(mut points: Vec<Point>, most: u64) -> Vec<Point> {
    points.sort_by(|a, b| {
        let capacity = |point: &Point| point.capacity.min(most);
        (capacity(b), a.cost, &b.counts).cmp(&(capacity(a), b.cost, &a.counts))
    });
    let mut kept: Vec<Point> = Vec::new();
    for point in points {
        if kept.last().is_none_or(|last| point.cost < last.cost) {
            kept.push(point);
        }
    }
    kept.reverse();
    kept
}

/// Thins out to about [`MAX_POINTS`]: of neighbouring points the one that costs least for
/// its capacity stays, and so do the first and the last.
fn thin(points: Vec<Point>) -> Vec<Point> {
    if points.len() <= MAX_POINTS {
        return points;
    }
    let rate = |point: &Point| u128::from(point.cost) * RATE_SCALE / u128::from(point.capacity);
    let last = points.len() - 1;
    let inner = points[1..last].chunks(points.len().div_ceil(MAX_POINTS));
    let best = inner.filter_map(|chunk| chunk.iter().min_by_key(|point| rate(point)));
    let ends = [points.first(), points.last()];
    ends[0]
        .into_iter()
        .chain(best)
        .chain(ends[1])
        .cloned()
        .collect()
}

/// Finds the cheapest sum of one point from each frontier with no point above `top`.
fn combine(frontiers: &[Vec<Point>], top: u64, needed: u64, kinds: usize) -> Option<Point> {
    let mut sums = vec![Point {
        counts: vec![0; kinds],
        ..Point::default()
    }];
    let (last, first) = frontiers.split_last()?;
    for frontier in first {
        let allowed = || frontier.iter().filter(|point| point.capacity <= top);
        let grown = sums
            .iter()
            .flat_map(|sum| allowed().map(|point| sum.plus(point)))
            .collect();
        sums = thin(prune(grown, needed));
    }
    let last: Vec<&Point> = last.iter().filter(|point| point.capacity <= top).collect();
    let complete = |sum: &Point| {
        let missing = needed.saturating_sub(sum.capacity);
        let index = last.partition_point(|point| point.capacity < missing);
        last.get(index).map(|point| sum.plus(point))
    };
    sums.iter()
        .filter_map(complete)
        .min_by(|a, b| (a.cost, &a.counts).cmp(&(b.cost, &b.counts)))
}
