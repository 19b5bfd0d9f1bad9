//! Local search: exchanges one VM for cheaper ones of its zone while the target holds.

use super::solver::{Choosable, Point};

/// Most VMs that one is exchanged for.
const MOST_FOR_ONE: u32 = 8;

/// What the numbers must keep to.
pub(super) struct LocalSearch<'a> {
    zones: usize,
    kinds: &'a [Choosable],
    all: u64,
    after_loss: u64,
}

impl<'a> LocalSearch<'a> {
    pub(super) fn new(zones: usize, kinds: &'a [Choosable], all: u64, after_loss: u64) -> Self {
        Self {
            zones,
            kinds,
            all,
            after_loss,
        }
    }

    /// Exchanges until nothing gets cheaper.
    pub(super) fn improve(&self, mut point: Point) -> Point {
        while let Some(better) = self.step(&point) {
            point = better;
        }
        point
    }

    /// Returns the cheapest point that one exchange away holds and costs less.
    fn step(&self, point: &Point) -> Option<Point> {
        let indices = 0..self.kinds.len();
        let given = indices.clone().filter(|given| point.counts[*given] > 0);
        given
            .flat_map(|given| indices.clone().map(move |taken| [given, taken]))
            .filter(|[given, taken]| self.kinds[*given].zone == self.kinds[*taken].zone)
            .flat_map(|pair| (0..=MOST_FOR_ONE).map(move |count| (pair, count)))
            .filter_map(|(pair, count)| self.exchange(point, pair, count))
            .min_by(|a, b| (a.cost, &a.counts).cmp(&(b.cost, &b.counts)))
    }

    /// Gives one VM of a kind away for `count` of another, if that is cheaper and holds.
    fn exchange(&self, point: &Point, [given, taken]: [usize; 2], count: u32) -> Option<Point> {
        let (out, into) = (&self.kinds[given], &self.kinds[taken]);
        let cost = (point.cost - out.cost).checked_add(into.cost * u64::from(count))?;
        if cost >= point.cost {
            return None;
        }
        let mut counts = point.counts.clone();
        counts[given] -= 1;
        counts[taken] += count;
        let is_had = into.most.is_none_or(|most| counts[taken] <= most);
        let capacity = self.holding(&counts)?;
        is_had.then_some(Point {
            capacity,
            cost,
            counts,
        })
    }

    /// Returns the capacity of all zones, if the target holds.
    fn holding(&self, counts: &[u32]) -> Option<u64> {
        let mut by_zone = vec![0_u64; self.zones];
        for (kind, count) in self.kinds.iter().zip(counts) {
            by_zone[kind.zone] += kind.capacity * u64::from(*count);
        }
        let sum: u64 = by_zone.iter().sum();
        let top = by_zone.iter().max().copied().unwrap_or(0);
        let survives = self.after_loss == 0 || sum - top >= self.after_loss;
        (sum >= self.all && survives).then_some(sum)
    }
}
