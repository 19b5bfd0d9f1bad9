//! All that a daemon knows of one endpoint, and what it expects of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cache::{CacheView, FULL_TRUST};
use super::health::Health;
use crate::hash;
use crate::ids::AttemptId;
use crate::request::{MAX_PREFIX_BLOCKS, Request};
use crate::units::{Timestamp, Tokens};
use crate::world::{Endpoint, LoadReport};

/// Places in the batch of an endpoint that has not reported.
const DEFAULT_BATCH: u32 = 8;
/// Prompt tokens a second of an endpoint that has not reported.
const DEFAULT_PREFILL: u64 = 8_000;
/// Time that a request takes before any has been measured.
const DEFAULT_DURATION: Duration = Duration::from_secs(1);
/// Tokens of one prefix block of a prompt that is longer than its hashes.
const TOKENS_PER_BLOCK: u64 = 64;
/// Weight of a new duration in the moving average, as a divisor.
const AVERAGE_WEIGHT: u32 = 8;

/// One attempt that runs on an endpoint.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) started_at: Timestamp,
    pub(super) uncached: Tokens,
    pub(super) has_first_token: bool,
    pub(super) is_suspect: bool,
}

/// One endpoint as this daemon sees it.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) endpoint: Endpoint,
    pub(super) hash: u64,
    pub(super) health: Health,
    pub(super) load: Option<LoadReport>,
    pub(super) cache: CacheView,
    pub(super) in_flight: BTreeMap<AttemptId, InFlight>,
    /// Round trip to the endpoint's zone.
    pub(super) round_trip: Duration,
    duration: Duration,
    /// Ends of attempts that the last report may still count.
    departures: Vec<Timestamp>,
}

impl Slot {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        let hash = hash::digest64(&[endpoint.id.as_str().as_bytes()]);
        Self {
            endpoint,
            hash,
            health: Health::Usable,
            load: None,
            cache: CacheView::default(),
            in_flight: BTreeMap::new(),
            round_trip: Duration::ZERO,
            duration: DEFAULT_DURATION,
            departures: Vec::new(),
        }
    }

    /// Takes over the list's entry for an endpoint that is known.
    pub(super) fn listed_again(mut self, endpoint: Endpoint) -> Self {
        if self.endpoint.address != endpoint.address || self.health == Health::Gone {
            let in_flight = std::mem::take(&mut self.in_flight);
            return Self {
                in_flight,
                ..Self::new(endpoint)
            };
        }
        let reported = self.load.as_ref().map(|load| load.services.clone());
        self.endpoint = endpoint;
        if let Some(services) = reported {
            self.endpoint.services = services;
        }
        self
    }

    /// Takes in a load report unless a later one is known; returns whether it was taken.
    pub(super) fn on_load(&mut self, now: Timestamp, report: &LoadReport) -> bool {
        let order = |load: &LoadReport| (load.taken_at, load.sequence);
        if self
            .load
            .as_ref()
            .is_some_and(|known| order(known) >= order(report))
        {
            return false;
        }
        let taken_at = report.taken_at.min(now);
        self.departures.retain(|at| *at > taken_at);
        self.load = Some(LoadReport {
            taken_at,
            ..report.clone()
        });
        if matches!(self.health, Health::Failed { since, .. } if report.taken_at > since) {
            self.health = Health::Usable;
        }
        true
    }

    /// Takes in the first token of an attempt; it ends the failed state if this was the trial.
    pub(super) fn on_first_token(&mut self, attempt: &AttemptId) {
        if let Some(in_flight) = self.in_flight.get_mut(attempt) {
            in_flight.has_first_token = true;
        }
        if matches!(&self.health, Health::Failed { probe: Some(trial), .. } if trial == attempt) {
            self.health = Health::Usable;
        }
    }

    /// Ends an attempt.
    pub(super) fn on_finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        let Some(ended) = self.in_flight.remove(attempt) else {
            return;
        };
        if ended.started_at <= self.reported_at() {
            self.departures.push(now);
        }
        if ended.has_first_token {
            let kept = self.duration * (AVERAGE_WEIGHT - 1);
            self.duration = (kept + now.since(ended.started_at)) / AVERAGE_WEIGHT;
        }
    }

    /// Returns the requests on the endpoint: the last report, corrected by what this
    /// daemon has started and ended since.
    pub(super) fn occupancy(&self) -> u32 {
        let since = self.reported_at();
        let started = self.in_flight.values().filter(|a| a.started_at > since);
        let reported = self
            .load
            .as_ref()
            .map_or(0, |load| load.running + load.waiting);
        let left = reported.saturating_sub(self.departures.len() as u32);
        left + started.count() as u32
    }

    pub(super) fn batch(&self) -> u32 {
        self.load
            .as_ref()
            .map_or(DEFAULT_BATCH, |load| load.batch.max(1))
    }

    /// Returns the time until a place in the batch is expected; zero if there is one.
    pub(super) fn place_wait(&self) -> Duration {
        let missing = (self.occupancy() + 1).saturating_sub(self.batch());
        self.duration * missing / self.batch()
    }

    /// Returns the prompt tokens expected in the prefix cache.
    pub(super) fn cached(&self, request: &Request) -> Tokens {
        let matched = self.cache.matched(&request.prefix);
        Tokens(matched * tokens_per_block(request) / u64::from(FULL_TRUST)).min(request.prompt)
    }

    /// Returns the time to process prompt tokens.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.load.as_ref().map_or(0, |load| load.prefill.get());
        let rate = if rate == 0 { DEFAULT_PREFILL } else { rate };
        Duration::from_micros(tokens.saturating_mul(1_000_000) / rate)
    }

    /// Returns the time until the engine has worked off the prompts that it has.
    pub(super) fn backlog_time(&self, now: Timestamp) -> Duration {
        let since = self.reported_at();
        let reported = self
            .load
            .as_ref()
            .map_or(0, |load| load.prefill_backlog.get());
        let left = self.prefill_time(reported).saturating_sub(now.since(since));
        let added = self
            .in_flight
            .values()
            .filter(|a| a.started_at > since && !a.has_first_token)
            .map(|a| a.uncached.get())
            .sum();
        left + self.prefill_time(added)
    }

    /// Returns the expected time of one request of a plain service.
    pub(super) fn duration(&self) -> Duration {
        self.duration
    }

    /// Returns the time to the first token of a request that is sent now.
    pub(super) fn expected_first_token(
        &self,
        now: Timestamp,
        request: &Request,
        is_plain: bool,
    ) -> Duration {
        if is_plain {
            return self.duration * self.occupancy() / self.batch() + self.round_trip;
        }
        let uncached = request.prompt.minus(self.cached(request));
        self.place_wait()
            + self.backlog_time(now)
            + self.prefill_time(uncached.get())
            + self.round_trip
    }

    /// Returns the time until the endpoint may take a request; `None` if it never will.
    pub(super) fn usable_in(&self, now: Timestamp) -> Option<Duration> {
        match &self.health {
            Health::Usable => Some(self.place_wait()),
            Health::Failed { probe_at, .. } => Some(probe_at.since(now)),
            Health::Leaving | Health::Gone => None,
        }
    }

    pub(super) fn has_suspect(&self) -> bool {
        self.in_flight.values().any(|a| a.is_suspect)
    }

    fn reported_at(&self) -> Timestamp {
        self.load
            .as_ref()
            .map_or(Timestamp::ZERO, |load| load.taken_at)
    }
}

/// Returns the prompt tokens of one prefix block.
pub(super) fn tokens_per_block(request: &Request) -> u64 {
    match request.prefix.len() as u64 {
        0 => 0,
        blocks if blocks < MAX_PREFIX_BLOCKS as u64 => request.prompt.get() / blocks,
        _ => TOKENS_PER_BLOCK,
    }
}
