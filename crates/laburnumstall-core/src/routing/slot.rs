//! All that a daemon knows of one endpoint, and what it expects of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cache::{CacheView, FULL_TRUST};
use super::health::Health;
use crate::hash;
use crate::ids::AttemptId;
use crate::request::{BlockHash, MAX_PREFIX_BLOCKS, Request};
use crate::resources::{Endpoint, LoadReport};
use crate::units::{Timestamp, Tokens};

/// Places in the batch of an endpoint that has not reported.
const DEFAULT_BATCH: u32 = 8;
/// Prompt tokens a second of an endpoint that has not reported.
const DEFAULT_PREFILL: u64 = 8_000;
/// Time that a request takes before any has been measured.
const DEFAULT_DURATION: Duration = Duration::from_secs(1);
/// Tokens of one prefix block of a prompt that is longer than its hashes.
const TOKENS_PER_BLOCK: u64 = 64;
/// Time that an endpoint is kept for a suspect that was routed to it but not yet sent.
const HOLD_TIME: Duration = Duration::from_secs(10);
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
    load: Option<LoadReport>,
    /// When the last report was taken, or came if the endpoint's clock is ahead.
    reported_at: Timestamp,
    pub(super) cache: CacheView,
    pub(super) in_flight: BTreeMap<AttemptId, InFlight>,
    /// Round trip to the endpoint's zone.
    pub(super) round_trip: Duration,
    /// Suspect that was routed here and not yet sent.
    held: Option<(AttemptId, Timestamp)>,
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
            reported_at: Timestamp::ZERO,
            cache: CacheView::default(),
            in_flight: BTreeMap::new(),
            round_trip: Duration::ZERO,
            held: None,
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
        if self
            .load
            .as_ref()
            .is_some_and(|known| known.sequence > report.sequence)
        {
            // The endpoint counts anew: it restarted, and its cache is empty.
            self.cache = CacheView::default();
        }
        self.reported_at = report.taken_at.min(now);
        self.departures.retain(|at| *at > self.reported_at);
        self.load = Some(report.clone());
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
        self.health.on_first_token(attempt);
    }

    /// Takes in that an attempt was routed here.
    pub(super) fn on_chosen(&mut self, now: Timestamp, attempt: &AttemptId, is_suspect: bool) {
        self.health.on_chosen(now, attempt);
        if is_suspect {
            self.held = Some((attempt.clone(), now));
        }
    }

    /// Takes in that an attempt was sent here.
    pub(super) fn on_started(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        uncached: Tokens,
        prefix: &[BlockHash],
    ) {
        let in_flight = InFlight {
            started_at: now,
            uncached,
            has_first_token: false,
            is_suspect: self.release(attempt),
        };
        self.in_flight.insert(attempt.clone(), in_flight);
        self.cache.on_sent(now, prefix);
    }

    /// Ends the holding of the endpoint for an attempt; returns whether it was held.
    pub(super) fn release(&mut self, attempt: &AttemptId) -> bool {
        self.held.take_if(|(held, _)| held == attempt).is_some()
    }

    /// Takes in that the endpoint's process is gone or silent.
    pub(super) fn on_failed(&mut self, now: Timestamp) {
        self.health = self.health.failed(now);
        self.cache = CacheView::default();
    }

    /// Ends an attempt.
    pub(super) fn on_finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        self.health.on_finished(now, attempt);
        let Some(ended) = self.in_flight.remove(attempt) else {
            return;
        };
        if !self.is_unreported(&ended) {
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
        let started = self.in_flight.values().filter(|a| self.is_unreported(a));
        let reported = self
            .load
            .as_ref()
            .map_or(0, |load| load.running + load.waiting);
        let left = reported.saturating_sub(self.departures.len() as u32);
        left + started.count() as u32
    }

    pub(super) fn batch(&self) -> u32 {
        let reported = self.load.as_ref().map(|load| load.batch.max(1));
        reported.unwrap_or(DEFAULT_BATCH)
    }

    /// Returns the places of the batch that are expected to be free.
    pub(super) fn free_places(&self) -> u32 {
        self.batch().saturating_sub(self.occupancy())
    }

    /// Tells whether the batch is known to be full; one more would slow every token in it.
    ///
    /// A plain service that has not reported takes any number.
    pub(super) fn is_full(&self, is_plain: bool) -> bool {
        let is_unlimited = is_plain && self.load.is_none();
        !is_unlimited && self.occupancy() >= self.batch()
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
        let since = self.reported_at;
        let reported = self
            .load
            .as_ref()
            .map_or(0, |load| load.prefill_backlog.get());
        let left = self.prefill_time(reported).saturating_sub(now.since(since));
        let added = self
            .in_flight
            .values()
            .filter(|a| self.is_unreported(a) && !a.has_first_token)
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

    /// Tells whether a suspect of this daemon runs here or is about to.
    pub(super) fn has_suspect(&self, now: Timestamp) -> bool {
        let is_held = |(_, at): &(AttemptId, Timestamp)| now.since(*at) < HOLD_TIME;
        self.held.as_ref().is_some_and(is_held) || self.in_flight.values().any(|a| a.is_suspect)
    }

    /// Tells whether an attempt reached the endpoint after its last report.
    fn is_unreported(&self, attempt: &InFlight) -> bool {
        attempt.started_at.after(self.round_trip / 2) >= self.reported_at
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
