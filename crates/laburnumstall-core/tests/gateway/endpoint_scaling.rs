//! How many endpoints are ordered, played against a platform that takes zones away.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, daemon, endpoint, scaling};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::gateway::{
    EndpointTable, ScaleOutcome, Scaler, ScalingRule, ServiceDemand,
};
use laburnumstall_core::prelude::*;

const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
const BOOT_MS: u64 = 4_000;
const STEP_MS: u64 = 250;

/// A platform that boots what is ordered, and a load in engines that read all the time.
struct World {
    rule: ScalingRule,
    scaler: Scaler,
    endpoints: EndpointTable,
    now_ms: u64,
    read_ms: u64,
    ordered: BTreeMap<(String, bool), u32>,
    /// Endpoints by zone and kind, with the time from which they serve.
    there: BTreeMap<(String, bool), Vec<u64>>,
    /// Until when zones have no reclaimable ones.
    dry_until: BTreeMap<String, u64>,
    cost: f64,
    orders: u32,
    next: u32,
}

impl World {
    /// Starts with four lasting engines in each zone.
    fn new() -> Self {
        Self::with(scaling(), 4)
    }

    /// Starts with `count` lasting engines in each zone.
    fn with(rule: ScalingRule, count: usize) -> Self {
        let there = ZONES
            .iter()
            .map(|zone| (((*zone).to_owned(), false), vec![0; count]));
        Self {
            rule,
            scaler: Scaler::default(),
            endpoints: EndpointTable::default(),
            now_ms: 0,
            read_ms: 0,
            ordered: BTreeMap::new(),
            there: there.collect(),
            dry_until: BTreeMap::new(),
            cost: 0.0,
            orders: 0,
            next: 0,
        }
    }

    fn serving(&self) -> usize {
        let serves = |from: &&u64| **from <= self.now_ms;
        self.there.values().flatten().filter(serves).count()
    }

    fn lasting(&self) -> usize {
        let lasting = self.there.iter().filter(|((_, is_spot), _)| !is_spot);
        lasting.map(|(_, there)| there.len()).sum()
    }

    /// Takes a zone's reclaimable endpoints; no zone has any for a time.
    fn take_zone(&mut self, zone: &str, dry: Duration) {
        for other in ZONES {
            self.dry_out(other, dry);
        }
        self.lose(zone);
    }

    /// Takes a zone's reclaimable endpoints; only that zone has none for a time.
    fn take_zone_alone(&mut self, zone: &str, dry: Duration) {
        self.dry_out(zone, dry);
        self.lose(zone);
    }

    fn dry_out(&mut self, zone: &str, dry: Duration) {
        let until = self.now_ms + dry.as_millis() as u64;
        self.dry_until.insert(zone.to_owned(), until);
    }

    fn lose(&mut self, zone: &str) {
        self.there.remove(&(zone.to_owned(), true));
        self.ordered.remove(&(zone.to_owned(), true));
    }

    /// Lets a quarter of a second pass at a load.
    fn step(&mut self, load: f64) {
        self.now_ms += STEP_MS;
        self.read_ms += (load * STEP_MS as f64) as u64;
        let now = at(self.now_ms);
        let demand = ServiceDemand {
            service: "model".parse().unwrap(),
            prefill_ms: self.read_ms,
        };
        let service = demand.service.clone();
        self.list();
        self.scaler
            .observe(now, &service, &[(daemon(1), vec![demand])]);
        let mut journal = Journal::default();
        let orders = self
            .scaler
            .plan(now, &service, &self.rule, &self.endpoints, &mut journal);
        for order in orders {
            self.orders += 1;
            let key = (order.zone.to_string(), order.is_spot);
            let is_dry = order.is_spot
                && self
                    .dry_until
                    .get(&key.0)
                    .is_some_and(|until| self.now_ms < *until);
            let have = self.there.entry(key.clone()).or_default();
            let outcome = match is_dry && order.desired as usize > have.len() {
                true => ScaleOutcome::NoneAvailable,
                false => ScaleOutcome::Accepted,
            };
            if outcome == ScaleOutcome::Accepted {
                have.resize(order.desired as usize, self.now_ms + BOOT_MS);
                self.ordered.insert(key, order.desired);
            }
            self.scaler.on_outcome(now, &order, outcome, &mut journal);
        }
        for ((zone, is_spot), there) in &self.there {
            let price = scaling().zone_prices[&zone.parse::<AvailabilityZone>().unwrap()];
            let part = if *is_spot { 0.18 } else { 1.0 };
            self.cost += there.len() as f64 * price * part * STEP_MS as f64 / 1_000.0;
        }
    }

    /// Lists the endpoints that serve.
    fn list(&mut self) {
        let mut records = Vec::new();
        for ((zone, is_spot), there) in &self.there {
            let serving = there.iter().filter(|from| **from <= self.now_ms).count();
            for n in 0..serving {
                let mut record = endpoint(&format!("{zone}-{is_spot}-{n}"), "model", zone);
                record.is_spot = *is_spot;
                records.push(record);
            }
        }
        self.next += 1;
        self.endpoints
            .on_list(at(self.now_ms), records, false, &mut Journal::default());
    }

    fn run(&mut self, seconds: u64, load: f64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.step(load);
        }
    }
}

/// Fails if the plan keeps the lasting endpoints, or orders back and forth.
#[test]
fn calm_load_becomes_cheap() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 4.0);
    let (cost, orders) = (world.cost, world.orders);
    world.run(60, 4.0);
    let spent = (world.cost - cost) / 60.0;
    assert!(
        spent < 6.0,
        "{spent} a second; twelve lasting ones cost 12.2"
    );
    assert!(world.serving() >= 14, "{} serve", world.serving());
    assert_eq!(world.orders, orders, "flapping");
}

/// While all zones are taken one after the other and none are to be had, the load still
/// has engines: at most for the boot of replacements are there fewer than carry it.
/// Fails without `is_loss` in `Lane::due`, and if blocked zones count as offers.
#[test]
fn holds_through_reclaims() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 4.0);
    let mut short = 0;
    for zone in ZONES {
        world.take_zone(zone, Duration::from_secs(14));
        for _ in 0..6 * 1_000 / STEP_MS {
            world.step(4.0);
            short += u32::from(world.serving() < 4);
        }
    }
    for _ in 0..10 * 1_000 / STEP_MS {
        world.step(4.0);
        short += u32::from(world.serving() < 6);
    }
    assert!(
        u64::from(short) <= BOOT_MS * 5 / 4 / STEP_MS,
        "short for {short} steps"
    );
    world.run(30, 4.0);
    assert!(
        world.lasting() <= 3,
        "{} lasting ones stay",
        world.lasting()
    );
}

/// A new holder without a measurement gives nothing back. Fails without `is_known`.
#[test]
fn new_holder_takes_nothing_away() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 6.0);
    let serving = world.serving();
    world.scaler = Scaler::default();
    for _ in 0..7 * 1_000 / STEP_MS {
        world.step(6.0);
        assert!(
            world.serving() >= serving,
            "{} of {serving}",
            world.serving()
        );
    }
}

/// Fails if the crest of a wave is forgotten in its trough.
#[test]
fn wave_keeps_its_crest() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(20, 6.0);
    let serving = world.serving();
    world.run(15, 3.0);
    assert!(
        world.serving() + 1 >= serving,
        "{} of {serving}",
        world.serving()
    );
}

/// A zone that is full of reclaimable endpoints hides no need: what they do not carry is
/// ordered as lasting ones in the other zones. Fails if `targets` counts reclaimable ones
/// that are not to be had.
#[test]
fn full_zone_hides_no_need() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 8.0);
    world.take_zone("north-b", Duration::from_secs(30));
    world.take_zone("north-c", Duration::from_secs(30));
    world.run(12, 8.0);
    assert!(
        world.serving() >= 13,
        "{} serve a load of 8",
        world.serving()
    );
}

/// After the first zone's loss the plan expects the others': when the last one goes, the
/// lasting endpoints carry the load at its limit. Fails with `BASE_LOAD` for `WARY_LOAD`,
/// or if endpoints are given back between two losses.
#[test]
fn waves_of_reclaims_are_expected() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 6.0);
    for zone in ZONES {
        world.take_zone(zone, Duration::from_secs(14));
        // The load is a little lower meanwhile.
        world.run(6, 5.0);
        assert!(
            world.serving() >= 6,
            "{} serve after {zone}",
            world.serving()
        );
    }
}

/// A zone that is lost while fewer endpoints are wanted than were ordered is ordered anew.
/// Fails if `Lane::due` looks for losses only where no fewer are wanted.
#[test]
fn loss_after_fall_is_seen() {
    let rule = ScalingRule {
        max: 60,
        ..scaling()
    };
    // The plan assumes a load of 38 until one is measured, while the first zone is lost.
    let mut world = World::with(rule, 30);
    world.run(14, 0.0);
    world.run(6, 21.0);
    for zone in ["north-c", "north-b"] {
        world.take_zone_alone(zone, Duration::from_secs(30));
        world.run(3, 21.0);
    }
    world.take_zone_alone("north-a", Duration::from_secs(2));
    world.run(10, 21.0);
    let back = world.ordered.get(&("north-a".to_owned(), true));
    assert!(back.is_some_and(|count| *count >= 20), "{back:?} ordered");
}
