//! Seeded random walks over the router: delayed, duplicate and reordered reports, endpoints
//! that leave, fail and recover, attempts that end twice or never start.

#[path = "support/attempt.rs"]
mod attempt;
#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/request.rs"]
mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::routing::{Route, RouteQuery, Router};
use quickcheck::{Gen, QuickCheck};

use attempt::{attempt, load};
use endpoint::{daemon, endpoint};
use request::request;

const CASES: u64 = 1_000;
const STEPS: usize = 120;
const ENDPOINTS: u64 = 6;

/// The walk's own record of one endpoint, independent of the router.
#[derive(Default)]
struct EndpointRecord {
    is_listed: bool,
    is_leaving: bool,
    failed_at: Option<Timestamp>,
    last_report: Option<LoadReport>,
    last_end: Timestamp,
}

struct Walk {
    rng: fastrand::Rng,
    router: Router,
    now: Timestamp,
    known: BTreeMap<EndpointId, EndpointRecord>,
    reports: Vec<LoadReport>,
    in_flight: BTreeMap<AttemptId, (EndpointId, bool)>,
    attempts: u64,
    journal: Journal,
}

impl Walk {
    fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            router: Router::new(&daemon(1), "zone-0".parse().unwrap()),
            now: Timestamp::ZERO,
            known: BTreeMap::new(),
            reports: Vec::new(),
            in_flight: BTreeMap::new(),
            attempts: 0,
            journal: Journal::default(),
        }
    }

    fn any_endpoint(&mut self) -> EndpointId {
        endpoint(self.rng.u64(..ENDPOINTS)).id
    }

    fn list(&mut self) {
        let listed: BTreeSet<u64> = (0..ENDPOINTS).filter(|_| self.rng.u8(..4) > 0).collect();
        for number in 0..ENDPOINTS {
            let known = self.known.entry(endpoint(number).id).or_default();
            if !listed.contains(&number) {
                *known = EndpointRecord::default();
            }
            known.is_listed = listed.contains(&number);
        }
        let list = listed.into_iter().map(endpoint).collect();
        self.router.set_endpoints(self.now, list);
    }

    fn report(&mut self) {
        let taken_at = Timestamp(self.now.0.saturating_sub(self.rng.u64(..2_000_000)));
        let report = LoadReport {
            waiting: self.rng.u32(..2),
            batch: 4,
            prefill_backlog: Tokens(self.rng.u64(..4_000)),
            ..load(
                self.rng.u64(..ENDPOINTS),
                self.rng.u64(..50),
                taken_at,
                self.rng.u32(..5),
            )
        };
        self.reports.push(report);
        let index = self.rng.usize(..self.reports.len());
        let delivered = self.reports[index].clone();
        self.router.on_load(self.now, &delivered);
        let known = self.known.entry(delivered.endpoint.clone()).or_default();
        let order = |report: &LoadReport| (report.taken_at, report.sequence);
        let is_newer = known
            .last_report
            .as_ref()
            .is_none_or(|last| order(last) < order(&delivered));
        if known.is_listed && is_newer {
            known.failed_at = known.failed_at.filter(|at| delivered.taken_at <= *at);
            known.last_report = Some(delivered);
        }
    }

    fn choose(&mut self) -> bool {
        self.attempts += 1;
        let attempt = attempt(self.attempts);
        let excluded = [self.any_endpoint()];
        let isolated = self.rng.u8(..4) == 0;
        let mut request = request(&[7; 800]);
        request.idempotent = self.rng.bool();
        let query = RouteQuery {
            attempt: &attempt,
            request: &request,
            generated: Tokens(0),
            excluded: &excluded,
            isolated,
        };
        let Ok(route) = self.router.choose(self.now, &query, &mut self.journal) else {
            return true;
        };
        let is_allowed = self.is_allowed(&route, &query);
        if self.rng.u8(..5) > 0 {
            self.router.started(self.now, &attempt, &route, &request);
            self.in_flight.insert(attempt, (route.endpoint, isolated));
        } else {
            self.router.finished(self.now, &attempt);
        }
        is_allowed
    }

    fn is_allowed(&self, route: &Route, query: &RouteQuery<'_>) -> bool {
        let known = &self.known[&route.endpoint];
        let is_full = known.last_report.as_ref().is_some_and(|report| {
            let own = self
                .in_flight
                .values()
                .filter(|(on, _)| *on == route.endpoint)
                .count();
            let is_sole = own == 0 && report.taken_at > known.last_end;
            is_sole && report.running + report.waiting >= report.batch
        });
        let is_apart = !self
            .in_flight
            .values()
            .any(|(on, is_suspect)| *is_suspect && query.isolated && *on == route.endpoint);
        let may_probe = |at: Timestamp| {
            query.request.idempotent
                && !query.isolated
                && self.now.since(at) >= Duration::from_secs(1)
        };
        known.is_listed
            && !known.is_leaving
            && known.failed_at.is_none_or(may_probe)
            && !query.excluded.contains(&route.endpoint)
            && !is_full
            && is_apart
    }

    fn end(&mut self) {
        let Some((attempt, (on, _))) = self.in_flight.pop_first() else {
            return;
        };
        self.known.entry(on).or_default().last_end = self.now;
        self.router.finished(self.now, &attempt);
        self.router.finished(self.now, &attempt);
    }

    fn mark(&mut self) {
        let id = self.any_endpoint();
        let known = self.known.entry(id.clone()).or_default();
        if self.rng.bool() {
            self.router
                .mark_leaving(self.now, &id, None, &mut self.journal);
            known.is_leaving |= known.is_listed;
        } else {
            self.router.mark_failed(self.now, &id, &mut self.journal);
            known.failed_at = known.is_listed.then_some(self.now);
        }
    }

    fn step(&mut self) -> bool {
        self.now = self.now.after(Duration::from_millis(self.rng.u64(1..400)));
        match self.rng.u8(..20) {
            0 => self.list(),
            1 => self.mark(),
            2..8 => self.report(),
            8..12 => self.end(),
            _ => return self.choose(),
        }
        true
    }

    /// Returns whether the router's in-flight attempts are those that the walk started and did
    /// not end.
    fn counts_agree(&self) -> bool {
        (0..ENDPOINTS).map(|number| endpoint(number).id).all(|id| {
            let on = |(_, (on, _)): &(&AttemptId, &(EndpointId, bool))| *on == id;
            let known: Vec<&AttemptId> = self.in_flight.iter().filter(on).map(|(a, _)| a).collect();
            self.router.in_flight(&id).collect::<Vec<_>>() == known
        })
    }
}

/// Fails if any condition of `usable_among` or `usable_for_suspect` is removed.
#[test]
fn unusable_endpoints_are_not_chosen() {
    fn holds(seed: u64) -> bool {
        let mut walk = Walk::new(seed);
        walk.list();
        (0..STEPS).all(|_| walk.step() && walk.counts_agree())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Fails if a choice draws from anything but the router's own generator.
#[test]
fn same_events_give_same_decisions() {
    for seed in 0..100 {
        let mut walks = [Walk::new(seed), Walk::new(seed)];
        let lines = walks.each_mut().map(|walk| {
            walk.list();
            (0..STEPS).for_each(|_| {
                walk.step();
            });
            let lines: Vec<String> = walk
                .journal
                .take()
                .iter()
                .map(ToString::to_string)
                .collect();
            lines
        });
        assert_eq!(lines[0], lines[1]);
    }
}
