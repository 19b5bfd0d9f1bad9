//! The fewest replicas with which the latency target is met, and what they cost.

use laburnumstall_core::domain;
use laburnumstall_core::resources::System;

use crate::figures::{Figures, RunSpec};
use crate::policy::Policy;
use crate::world::World;

/// Most replicas that are tried.
const MOST_REPLICAS: usize = 24;

/// Fewest replicas that are tried: one in each zone.
const FEWEST_REPLICAS: usize = 3;

/// Millionths of the currency unit.
const MICROS: f64 = 1_000_000.0;

domain! {
    /// What it costs to meet the latency target.
    pub struct TargetCost {
        /// Replicas that are needed.
        pub replicas: usize,
        /// Price of the replicas in units an hour.
        pub hourly: f64,
        /// Price of a thousand requests in units.
        pub per_thousand: f64,
    }
}

/// Runs one workload with one policy.
pub fn run<P: Policy>(spec: &RunSpec) -> Figures {
    World::<P>::new(spec).run(spec)
}

/// Finds the fewest replicas by halving, beginning with the figures at `spec`'s number.
///
/// Returns `None` if the target is not met with the most replicas.
pub(crate) fn search<P: Policy>(spec: &RunSpec, present: &Figures) -> Option<TargetCost> {
    let mut failing = FEWEST_REPLICAS - 1;
    let mut meeting = MOST_REPLICAS + 1;
    let mut requests = present.requests;
    match present.meets_target() {
        true => meeting = spec.replicas,
        false => failing = spec.replicas,
    }
    while meeting - failing > 1 {
        let replicas = (failing + meeting) / 2;
        let spec = RunSpec {
            replicas,
            ..spec.clone()
        };
        let figures = run::<P>(&spec);
        requests = figures.requests;
        match figures.meets_target() {
            true => meeting = replicas,
            false => failing = replicas,
        }
    }
    (meeting <= MOST_REPLICAS).then(|| cost(spec, meeting, requests))
}

fn cost(spec: &RunSpec, replicas: usize, requests: u64) -> TargetCost {
    let hourly = price(&spec.workload.system(), replicas);
    let hours = spec.time.as_secs_f64() / 3_600.0;
    TargetCost {
        replicas,
        hourly,
        per_thousand: hourly * hours * 1_000.0 / requests.max(1) as f64,
    }
}

/// Returns the price of reclaimable replicas spread over the zones, in units an hour.
fn price(system: &System, replicas: usize) -> f64 {
    let class = &system.classes[0];
    let zones = system.zones.iter().cycle().take(replicas);
    let permille: u64 = zones.map(|zone| u64::from(zone.price_permille)).sum();
    class.reclaimable.get() as f64 * permille as f64 / 1_000.0 / MICROS
}
