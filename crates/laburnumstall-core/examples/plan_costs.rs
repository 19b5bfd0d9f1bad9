//! Cost of a placement plan compared with baselines, and the time to compute it.
//!
//! `cargo run --release --example plan_costs -p laburnumstall-core`
//!
//! Every row provisions the target load with all zones and after the loss of any one zone.
//! The baseline spreads one machine class evenly over the zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use laburnumstall_core::ids::Region;
use laburnumstall_core::placement::{Offer, Plan, PlanInput, plan};
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::{ModelSpec, TargetLoad, VmClassSpec};
use laburnumstall_core::units::HourlyPrice;

fn main() {
    println!(
        "{:<24} {:>5} {:>12} {:>12} {:>12} {:>10}",
        "workload", "VMs", "plan u/h", "even u/h", "on demand", "compute"
    );
    row("three zones, small", 30, [1_000, 1_080, 1_200], 3_000);
    row("three zones, unequal", 24, [1_000, 1_500, 2_200], 2_000);
    row("three zones, large", 1_000, [1_000, 1_080, 1_200], 3_000);
}

fn row(name: &str, requests: u64, prices: [u32; 3], prompt: u64) {
    let system = system(requests, prices, prompt);
    let started = Instant::now();
    let planned = compute(&system, &BTreeSet::new());
    let time = started.elapsed();
    let on_demand = planned
        .alternatives
        .iter()
        .find(|a| a.name == "on-demand-only");
    let on_demand = on_demand
        .and_then(|alternative| alternative.hourly)
        .unwrap_or_default();
    println!(
        "{name:<24} {:>5} {:>12} {:>12} {:>12} {:>7.1} ms",
        planned.slots.len(),
        planned.hourly.get(),
        even(&system).get(),
        on_demand.get(),
        time.as_secs_f64() * 1_000.0
    );
}

/// Returns the price of the cheapest machine class spread evenly over the zones.
fn even(system: &System) -> HourlyPrice {
    let costs = system.classes.iter().map(|class| even_cost(system, class));
    HourlyPrice(costs.min().unwrap_or(0))
}

fn even_cost(system: &System, class: &VmClassSpec) -> u64 {
    let single_class = System {
        classes: vec![class.clone()],
        zones: system.zones.iter().map(at_list_price).collect(),
        ..system.clone()
    };
    // With equal prices, the minimum number of VMs is an even spread.
    let slots = compute(&single_class, &BTreeSet::new()).slots;
    let mut by_zone: BTreeMap<AvailabilityZone, u64> = BTreeMap::new();
    for slot in &slots {
        *by_zone.entry(slot.offer.zone.clone()).or_default() += 1;
    }
    let max_per_zone = by_zone.values().max().copied().unwrap_or(0);
    let price = |zone: &Zone| class.reclaimable.get() * u64::from(zone.price_permille) / 1_000;
    system
        .zones
        .iter()
        .map(|zone| max_per_zone * price(zone))
        .sum()
}

fn at_list_price(zone: &Zone) -> Zone {
    Zone {
        price_permille: 1_000,
        ..zone.clone()
    }
}

fn compute(system: &System, refused: &BTreeSet<Offer>) -> Plan {
    let region: Region = "north".parse().expect("a valid name");
    plan(&PlanInput {
        system,
        configuration: Revision(1),
        region: &region,
        share_permille: 1_000,
        fleet: &[],
        serving: &BTreeMap::new(),
        previous: None,
        refused,
        used_tokens: &BTreeSet::new(),
    })
}

fn system(requests: u64, prices: [u32; 3], prompt: u64) -> System {
    let zone = |(name, price_permille): (&str, u32)| Zone {
        name: name.parse().expect("a valid name"),
        region: "north".parse().expect("a valid name"),
        price_permille,
        reclaim_permille_day: 300,
    };
    let class = |name: &str, on_demand: u64, reclaimable: u64, scale: u64| VmClassSpec {
        name: name.parse().expect("a valid name"),
        on_demand: HourlyPrice(on_demand),
        reclaimable: HourlyPrice(reclaimable),
        accelerators: scale as u32,
        decode: TokenRate(1_500 * scale),
        prefill: TokenRate(9_000 * scale),
        cache: Tokens(200_000 * scale),
    };
    let classes = vec![
        class("one", 3_000_000, 1_100_000, 1),
        class("two", 5_800_000, 2_050_000, 2),
        class("eight", 22_000_000, 8_000_000, 8),
    ];
    let service = Service {
        name: "answers".parse().expect("a valid name"),
        kind: ServiceKind::Model,
        depends_on: Vec::new(),
        model: Some(ModelSpec {
            model: "model".parse().expect("a valid name"),
            adapter: None,
            version: "v1".parse().expect("a valid name"),
            classes: classes.iter().map(|class| class.name.clone()).collect(),
        }),
        idempotent: true,
        calls: Vec::new(),
        checks_keys: false,
        checks_fencing: true,
        key_window: Duration::from_secs(3_600),
        deadline: Duration::from_secs(60),
        endpoints: Vec::new(),
        target: Some(TargetLoad {
            requests: RequestRate(requests),
            prompt: Tokens(prompt),
            answer: Tokens(300),
        }),
    };
    System {
        zones: ["a", "b", "c"].into_iter().zip(prices).map(zone).collect(),
        classes,
        services: vec![service],
        ..System::default()
    }
}
