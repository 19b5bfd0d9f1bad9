//! Platform that boots ordered endpoints and reclaims whole zones, for tests of scaling.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, daemon, endpoint, scaled_service, scaling};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::gateway::{
    BackendRule, EndpointTable, ScaleOutcome, Scaler, ScalingRule, ServiceDemand, ServiceRule,
};
use laburnumstall_core::prelude::*;

pub(crate) const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
pub(crate) const BOOT_MS: u64 = 4_000;
pub(crate) const STEP_MS: u64 = 250;

/// Platform that boots ordered endpoints. The load is the number of engines that would be busy
/// with prefill.
pub(crate) struct World {
    pub(crate) rule: ServiceRule,
    pub(crate) scaler: Scaler,
    pub(crate) endpoints: EndpointTable,
    pub(crate) now_ms: u64,
    pub(crate) requested_prefill_ms: u64,
    pub(crate) ordered: BTreeMap<(String, bool), u32>,
    /// Endpoints by zone and kind, as the times from which they serve.
    pub(crate) present: BTreeMap<(String, bool), Vec<u64>>,
    /// End of the time in which a zone has no reclaimable capacity.
    pub(crate) no_spot_until: BTreeMap<String, u64>,
    pub(crate) cost: f64,
    pub(crate) orders: u32,
    pub(crate) lists: u32,
    /// Time that an endpoint takes relative to the typical one, by its number in its pool.
    pub(crate) speed: fn(usize) -> f64,
    /// Reclaimable endpoints of zones with a notice, with the end of the notice.
    pub(crate) leaving: BTreeMap<String, (usize, u64)>,
    /// Changes of the number of endpoints by orders, with their times and pools.
    pub(crate) changes: Vec<(u64, (String, bool), i64)>,
    /// Calls that run or wait.
    pub(crate) calls: u64,
    /// End of the time in which orders are executed without an answer.
    pub(crate) no_answer_until: u64,
}

impl World {
    /// Starts with four on-demand engines in each zone.
    pub(crate) fn new() -> Self {
        Self::with(scaling(), 4)
    }

    /// Starts with `count` on-demand engines in each zone.
    pub(crate) fn with(rule: ScalingRule, count: usize) -> Self {
        let present = ZONES
            .iter()
            .map(|zone| (((*zone).to_owned(), false), vec![0; count]));
        Self {
            rule: scaled_service(rule),
            scaler: Scaler::default(),
            endpoints: EndpointTable::default(),
            now_ms: 0,
            requested_prefill_ms: 0,
            ordered: BTreeMap::new(),
            present: present.collect(),
            no_spot_until: BTreeMap::new(),
            cost: 0.0,
            orders: 0,
            lists: 0,
            speed: |_| 1.0,
            leaving: BTreeMap::new(),
            changes: Vec::new(),
            calls: 0,
            no_answer_until: 0,
        }
    }

    /// Gives the endpoints an engine.
    pub(crate) fn with_engine(mut self) -> Self {
        self.rule.backend = Some(BackendRule {
            batch: 48,
            kv_tokens: 636_076,
            token_size: Bytes(163_840),
            link_rate: 137_500_000_000,
            can_move: true,
            move_ttl: Duration::from_secs(30),
        });
        self
    }

    pub(crate) fn serving(&self) -> usize {
        let serves = |from: &&u64| **from <= self.now_ms;
        self.present.values().flatten().filter(serves).count()
    }

    /// Returns what the endpoints carry that serve, in typical ones.
    pub(crate) fn carried(&self) -> f64 {
        let serving = self.present.values().flat_map(|pool| {
            let numbered = pool.iter().enumerate();
            numbered.filter(|(_, from)| **from <= self.now_ms)
        });
        let serving = serving.map(|(n, _)| 1.0 / (self.speed)(n));
        let leaving = self.leaving.values().filter(|(_, end)| self.now_ms < *end);
        serving.sum::<f64>() + leaving.map(|(count, _)| *count as f64).sum::<f64>()
    }

    /// Returns the endpoints that are paid for.
    pub(crate) fn ordered_count(&self) -> usize {
        self.present.values().map(Vec::len).sum()
    }

    /// Returns the endpoints ordered within ten seconds of a release of the same kind and zone.
    pub(crate) fn ordered_again(&self) -> i64 {
        let is_pair = |index: usize| {
            let (at, pool, added) = &self.changes[index];
            let earlier = &self.changes[..index];
            *added > 0
                && earlier
                    .iter()
                    .any(|(before, of, n)| of == pool && *n < 0 && at - before < 10_000)
        };
        let indices = (0..self.changes.len()).filter(|index| is_pair(*index));
        indices.map(|index| self.changes[index].2).sum()
    }

    /// Announces the loss of a zone's reclaimable endpoints; that zone has no reclaimable
    /// capacity for a time.
    pub(crate) fn announce_loss(&mut self, zone: &str, notice_ms: u64, duration: Duration) {
        self.exhaust_spot(zone, duration);
        let pool = self.present.get(&(zone.to_owned(), true));
        let serving = pool
            .into_iter()
            .flatten()
            .filter(|from| **from <= self.now_ms);
        let end = self.now_ms + notice_ms;
        self.leaving.insert(zone.to_owned(), (serving.count(), end));
        self.lose(zone);
    }

    pub(crate) fn on_demand(&self) -> usize {
        let on_demand = self.present.iter().filter(|((_, is_spot), _)| !is_spot);
        on_demand.map(|(_, present)| present.len()).sum()
    }

    /// Reclaims a zone's endpoints; no zone has reclaimable capacity for a time.
    pub(crate) fn reclaim_zone(&mut self, zone: &str, duration: Duration) {
        for other in ZONES {
            self.exhaust_spot(other, duration);
        }
        self.lose(zone);
    }

    /// Reclaims a zone's endpoints; only that zone has no reclaimable capacity for a time.
    pub(crate) fn reclaim_only_zone(&mut self, zone: &str, duration: Duration) {
        self.exhaust_spot(zone, duration);
        self.lose(zone);
    }

    pub(crate) fn exhaust_spot(&mut self, zone: &str, duration: Duration) {
        let until = self.now_ms + duration.as_millis() as u64;
        self.no_spot_until.insert(zone.to_owned(), until);
    }

    pub(crate) fn lose(&mut self, zone: &str) {
        self.present.remove(&(zone.to_owned(), true));
        self.ordered.remove(&(zone.to_owned(), true));
    }

    /// Advances the time by a quarter of a second under a load.
    pub(crate) fn step(&mut self, load: f64) {
        self.now_ms += STEP_MS;
        self.requested_prefill_ms += (load * STEP_MS as f64) as u64;
        let now = at(self.now_ms);
        let demand = ServiceDemand {
            service: "model".parse().unwrap(),
            prefill_ms: self.requested_prefill_ms,
        };
        let service = demand.service.clone();
        self.list();
        let occupancy = (self.calls, self.serving() as u64 * 48);
        self.scaler
            .observe(now, &service, &[(daemon(1), vec![demand])], occupancy);
        let mut journal = Journal::default();
        let speed_by_number = self.speed;
        let speed = |id: &EndpointId| {
            let number = id.as_str().rsplit('-').next().unwrap();
            speed_by_number(number.parse().unwrap())
        };
        let orders = self
            .scaler
            .plan(now, &self.rule, &self.endpoints, speed, &mut journal);
        for order in orders {
            self.orders += 1;
            let key = (order.zone.to_string(), order.is_spot);
            let is_exhausted = order.is_spot
                && self
                    .no_spot_until
                    .get(&key.0)
                    .is_some_and(|until| self.now_ms < *until);
            let have = self.present.entry(key.clone()).or_default();
            let outcome = match is_exhausted && order.desired as usize > have.len() {
                true => ScaleOutcome::NoneAvailable,
                false => ScaleOutcome::Accepted,
            };
            if outcome == ScaleOutcome::Accepted {
                let change = i64::from(order.desired) - have.len() as i64;
                self.changes.push((self.now_ms, key.clone(), change));
                have.resize(order.desired as usize, self.now_ms + BOOT_MS);
                self.ordered.insert(key, order.desired);
            }
            let outcome = match self.now_ms < self.no_answer_until {
                true => ScaleOutcome::Unclear,
                false => outcome,
            };
            self.scaler.on_outcome(now, &order, outcome, &mut journal);
        }
        for ((zone, is_spot), present) in &self.present {
            let price = scaling().zone_prices[&zone.parse::<AvailabilityZone>().unwrap()];
            let price_ratio = if *is_spot { 0.18 } else { 1.0 };
            self.cost += present.len() as f64 * price * price_ratio * STEP_MS as f64 / 1_000.0;
        }
    }

    /// Lists the endpoints that serve.
    pub(crate) fn list(&mut self) {
        let mut records = Vec::new();
        for ((zone, is_spot), present) in &self.present {
            let serving = present.iter().filter(|from| **from <= self.now_ms).count();
            for n in 0..serving {
                let mut record = endpoint(&format!("{zone}-{is_spot}-{n}"), "model", zone);
                record.is_spot = *is_spot;
                records.push(record);
            }
        }
        for (zone, (count, _)) in self
            .leaving
            .iter()
            .filter(|(_, (_, end))| self.now_ms < *end)
        {
            for n in 0..*count {
                let mut record = endpoint(&format!("{zone}-old-{n}"), "model", zone);
                record.is_spot = true;
                record.is_leaving = true;
                records.push(record);
            }
        }
        self.lists += 1;
        self.endpoints
            .on_list(at(self.now_ms), records, false, &mut Journal::default());
    }

    pub(crate) fn run(&mut self, seconds: u64, load: f64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.step(load);
        }
    }
}
