//! Local search: replaces single VMs with cheaper ones of the same zone while the target
//! holds.

use super::solver::{Point, VmKind};

/// Maximum number of VMs that replace one VM.
const MAX_REPLACEMENTS: u32 = 8;

/// The search space and the constraints that a solution must meet.
pub(super) struct LocalSearch<'a> {
    zones: usize,
    kinds: &'a [VmKind],
    target: u64,
    after_loss: u64,
}

impl<'a> LocalSearch<'a> {
    pub(super) fn new(zones: usize, kinds: &'a [VmKind], target: u64, after_loss: u64) -> Self {
        Self {
            zones,
            kinds,
            target,
            after_loss,
        }
    }

    /// Replaces VMs until no replacement lowers the cost.
    pub(super) fn improve(&self, mut point: Point) -> Point {
        while let Some(better) = self.best_neighbor(&point) {
            point = better;
        }
        point
    }

    /// Returns the cheapest feasible point that one replacement reaches at a lower cost.
    fn best_neighbor(&self, point: &Point) -> Option<Point> {
        let indices = 0..self.kinds.len();
        let removed = indices.clone().filter(|removed| point.counts[*removed] > 0);
        removed
            .flat_map(|removed| indices.clone().map(move |added| [removed, added]))
            .filter(|[removed, added]| self.kinds[*removed].zone == self.kinds[*added].zone)
            .flat_map(|pair| (0..=MAX_REPLACEMENTS).map(move |count| (pair, count)))
            .filter_map(|(pair, count)| self.replace(point, pair, count))
            .min_by(|a, b| (a.cost, &a.counts).cmp(&(b.cost, &b.counts)))
    }

    /// Replaces one VM of a kind with `count` of another, if that is feasible and cheaper.
    fn replace(&self, point: &Point, [removed, added]: [usize; 2], count: u32) -> Option<Point> {
        let (from, to) = (&self.kinds[removed], &self.kinds[added]);
        let cost = (point.cost - from.cost).checked_add(to.cost * u64::from(count))?;
        if cost >= point.cost {
            return None;
        }
        let mut counts = point.counts.clone();
        counts[removed] -= 1;
        counts[added] += count;
        let is_available = to
            .max_count
            .is_none_or(|max_count| counts[added] <= max_count);
        let capacity = self.feasible_capacity(&counts)?;
        is_available.then_some(Point {
            capacity,
            cost,
            counts,
        })
    }

    /// Returns the capacity of all zones if it meets the target, and the required share after
    /// a zone loss.
    fn feasible_capacity(&self, counts: &[u32]) -> Option<u64> {
        let mut by_zone = vec![0_u64; self.zones];
        for (kind, count) in self.kinds.iter().zip(counts) {
            by_zone[kind.zone] += kind.capacity * u64::from(*count);
        }
        let sum: u64 = by_zone.iter().sum();
        let largest = by_zone.iter().max().copied().unwrap_or(0);
        let survives = self.after_loss == 0 || sum - largest >= self.after_loss;
        (sum >= self.target && survives).then_some(sum)
    }
}
