//! Counts of the calls that a daemon sent to a service since an order, and the share of them that
//! the new version may get.
//!
//! Each daemon keeps to the share of its own calls, so that the sum over all daemons keeps to it
//! without a message.

use std::collections::BTreeMap;

use super::evidence::RouteKey;
use crate::hash::rendezvous_weight;

/// Part of the largest share that a version gets before it moves: the rest is left for the move.
const CANARY_PART: f64 = 0.5;
/// Part of the largest share that a version gets in total until all calls move: the rest is for
/// calls in flight between a decision and its effect.
const MOVING_PART: f64 = 0.9;

#[derive(Debug, Clone, Copy, Default)]
struct RouteCount {
    all: u64,
    /// Those of them for which the new version could have been selected.
    offered: u64,
    new: u64,
}

/// Calls sent to one service since an order, by route.
#[derive(Debug, Clone)]
pub(super) struct TrafficShare {
    seed: u64,
    routes: BTreeMap<RouteKey, RouteCount>,
}

impl TrafficShare {
    /// Starts with no calls; `seed` differs by daemon and order.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            routes: BTreeMap::new(),
        }
    }

    /// Records a call that is about to be sent to an endpoint.
    pub(super) fn on_sent(&mut self, route: RouteKey, is_offered: bool, is_new: bool) {
        let count = self.routes.entry(route).or_default();
        count.all += 1;
        count.offered += u64::from(is_offered);
        count.new += u64::from(is_new);
    }

    /// Returns whether the next call of a route may go to the new version as a canary.
    pub(super) fn allows_canary(&self, route: RouteKey, canary_share: f64) -> bool {
        let count = self.count(route);
        self.allows(route, canary_part(canary_share), count.offered, count.new)
    }

    /// Returns whether the next call of a route may go to the new version while it moves.
    pub(super) fn allows_move(&self, route: RouteKey, canary_share: f64) -> bool {
        let count = self.count(route);
        self.allows(route, canary_share * MOVING_PART, count.all, count.new)
    }

    fn allows(&self, route: RouteKey, share: f64, all: u64, new: u64) -> bool {
        let weight = rendezvous_weight(self.seed, u64::from(route.0));
        // With few calls in each of many daemons, rounding down everywhere would allow none.
        let remainder = weight as f64 / u64::MAX as f64;
        (new + 1) as f64 <= share * (all + 1) as f64 + remainder.min(0.999)
    }

    fn count(&self, route: RouteKey) -> RouteCount {
        self.routes.get(&route).copied().unwrap_or_default()
    }

    /// Returns all calls and those to the new version.
    pub(super) fn totals(&self) -> (u64, u64) {
        let counts = self.routes.values();
        counts.fold((0, 0), |(all, new), count| {
            (all + count.all, new + count.new)
        })
    }
}

/// Returns the share of the calls that a version gets before it moves.
pub(super) fn canary_part(canary_share: f64) -> f64 {
    canary_share * CANARY_PART
}

/// Returns the share of a rollout's duration before its deadline that all calls could be moved in
/// at a steady rate within the limit, after a canary until then.
pub(super) fn move_part(canary_share: f64) -> f64 {
    let left = canary_share * (MOVING_PART - CANARY_PART);
    left / (1.0 - canary_share * CANARY_PART).max(f64::EPSILON)
}
