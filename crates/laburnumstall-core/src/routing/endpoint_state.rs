//! A daemon's state of one endpoint, and the load and latency that it expects of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cache::{CacheView, FULL_CONFIDENCE};
use super::health::Health;
use crate::hash;
use crate::ids::AttemptId;
use crate::request::{BlockHash, MAX_PREFIX_BLOCKS, Request};
use crate::resources::{Endpoint, LoadReport};
use crate::units::{Timestamp, Tokens};

/// Batch size of an endpoint that has not reported.
const DEFAULT_BATCH: u32 = 8;
/// Prefill rate of an endpoint that has not reported, in prompt tokens per second.
const DEFAULT_PREFILL_RATE: u64 = 8_000;
/// Duration of a request before any has been measured.
const DEFAULT_DURATION: Duration = Duration::from_secs(1);
/// Tokens in one prefix block, for prompts that have more blocks than hashes.
const TOKENS_PER_BLOCK: u64 = 64;
/// Time for which an endpoint is reserved for a suspect that was routed but not yet sent.
const RESERVATION_TTL: Duration = Duration::from_secs(10);
/// Inverse weight of a new duration in the moving average.
const AVERAGE_WEIGHT: u32 = 8;

/// One in-flight attempt on an endpoint.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) started_at: Timestamp,
    pub(super) uncached: Tokens,
    pub(super) has_first_token: bool,
    pub(super) is_suspect: bool,
}

/// One daemon's state of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointState {
    pub(super) endpoint: Endpoint,
    pub(super) hash: u64,
    pub(super) health: Health,
    load: Option<LoadReport>,
    /// When the last report was taken, or received if the endpoint's clock is ahead.
    reported_at: Timestamp,
    pub(super) cache: CacheView,
    pub(super) in_flight: BTreeMap<AttemptId, InFlight>,
    /// Round trip to the endpoint's zone.
    pub(super) round_trip: Duration,
    /// Suspect that was routed to the endpoint but not yet sent, and when it was routed.
    reserved_for: Option<(AttemptId, Timestamp)>,
    duration: Duration,
    /// End times of attempts that the last report may still count.
    unreported_ends: Vec<Timestamp>,
}

impl EndpointState {
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
            reserved_for: None,
            duration: DEFAULT_DURATION,
            unreported_ends: Vec::new(),
        }
    }

    /// Applies a new list entry for the endpoint; a changed address resets the state.
    pub(super) fn with_endpoint(mut self, endpoint: Endpoint) -> Self {
        if self.endpoint.address != endpoint.address || self.health == Health::Removed {
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

    /// Applies a load report unless a newer one was applied; returns whether it was applied.
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
            // The sequence was reset: the endpoint restarted, and its cache is empty.
            self.cache = CacheView::default();
        }
        self.reported_at = report.taken_at.min(now);
        self.unreported_ends.retain(|at| *at > self.reported_at);
        self.load = Some(report.clone());
        if matches!(self.health, Health::Failed { since, .. } if report.taken_at > since) {
            self.health = Health::Usable;
        }
        true
    }

    /// Records the first token of an attempt, which ends the failed state.
    pub(super) fn on_first_token(&mut self, attempt: &AttemptId) {
        if let Some(in_flight) = self.in_flight.get_mut(attempt) {
            in_flight.has_first_token = true;
            self.health.on_first_token();
        }
    }

    /// Records that an attempt was routed to the endpoint.
    pub(super) fn on_chosen(&mut self, now: Timestamp, attempt: &AttemptId, is_suspect: bool) {
        self.health.on_chosen(now, attempt);
        if is_suspect {
            self.reserved_for = Some((attempt.clone(), now));
        }
    }

    /// Records that an attempt was sent to the endpoint.
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
            is_suspect: self.release_reservation(attempt),
        };
        self.in_flight.insert(attempt.clone(), in_flight);
        self.cache.on_sent(now, prefix);
    }

    /// Releases the reservation for an attempt; returns whether there was one.
    pub(super) fn release_reservation(&mut self, attempt: &AttemptId) -> bool {
        self.reserved_for
            .take_if(|(reserved_for, _)| reserved_for == attempt)
            .is_some()
    }

    /// Records that the endpoint's process exited or does not respond.
    pub(super) fn on_failed(&mut self, now: Timestamp) {
        self.health = self.health.failed(now);
        self.cache = CacheView::default();
    }

    /// Records that an attempt has ended.
    pub(super) fn on_finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        self.health.on_finished(now, attempt);
        let Some(ended) = self.in_flight.remove(attempt) else {
            return;
        };
        if !self.is_unreported(&ended) {
            self.unreported_ends.push(now);
        }
        if ended.has_first_token {
            let kept = self.duration * (AVERAGE_WEIGHT - 1);
            self.duration = (kept + now.since(ended.started_at)) / AVERAGE_WEIGHT;
        }
    }

    /// Returns the number of requests on the endpoint: the number in the last report, corrected by
    /// the attempts that this daemon has started and ended since.
    pub(super) fn occupancy(&self) -> u32 {
        let started = self.in_flight.values().filter(|a| self.is_unreported(a));
        let reported = self
            .load
            .as_ref()
            .map_or(0, |load| load.running + load.waiting);
        let left = reported.saturating_sub(self.unreported_ends.len() as u32);
        left + started.count() as u32
    }

    pub(super) fn batch(&self) -> u32 {
        let reported = self.load.as_ref().map(|load| load.batch.max(1));
        reported.unwrap_or(DEFAULT_BATCH)
    }

    /// Returns the expected free capacity of the batch, in requests.
    pub(super) fn free_capacity(&self) -> u32 {
        self.batch().saturating_sub(self.occupancy())
    }

    /// Returns whether the batch is full; one more request would slow every token in it.
    ///
    /// An endpoint of a plain service that has not reported is never full.
    pub(super) fn is_full(&self, is_plain: bool) -> bool {
        let is_unlimited = is_plain && self.load.is_none();
        !is_unlimited && self.occupancy() >= self.batch()
    }

    /// Returns the expected time until the batch has free capacity; zero if it has some.
    pub(super) fn batch_wait(&self) -> Duration {
        let missing = (self.occupancy() + 1).saturating_sub(self.batch());
        self.duration * missing / self.batch()
    }

    /// Returns the number of prompt tokens expected in the prefix cache.
    pub(super) fn cached(&self, request: &Request) -> Tokens {
        let matched = self.cache.matched(&request.prefix);
        Tokens(matched * tokens_per_block(request) / u64::from(FULL_CONFIDENCE)).min(request.prompt)
    }

    /// Returns the time to prefill a number of tokens.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.load.as_ref().map_or(0, |load| load.prefill.get());
        let rate = if rate == 0 {
            DEFAULT_PREFILL_RATE
        } else {
            rate
        };
        Duration::from_micros(tokens.saturating_mul(1_000_000) / rate)
    }

    /// Returns the expected time until the engine has finished its prefill backlog.
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

    /// Returns the expected duration of one request.
    pub(super) fn duration(&self) -> Duration {
        self.duration
    }

    /// Returns the expected time to the first token of a request that is sent now.
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
        self.batch_wait()
            + self.backlog_time(now)
            + self.prefill_time(uncached.get())
            + self.round_trip
    }

    /// Returns the time until the endpoint may run a request; `None` if it never will.
    pub(super) fn usable_in(&self, now: Timestamp) -> Option<Duration> {
        match &self.health {
            Health::Usable => Some(self.batch_wait()),
            Health::Failed { probe_at, .. } => Some(probe_at.since(now)),
            Health::Leaving | Health::Removed => None,
        }
    }

    /// Returns whether a suspect of this daemon runs on the endpoint or is about to.
    pub(super) fn has_suspect(&self, now: Timestamp) -> bool {
        let is_reserved = |(_, at): &(AttemptId, Timestamp)| now.since(*at) < RESERVATION_TTL;
        self.reserved_for.as_ref().is_some_and(is_reserved)
            || self.in_flight.values().any(|a| a.is_suspect)
    }

    /// Returns whether an attempt reached the endpoint after its last report.
    fn is_unreported(&self, attempt: &InFlight) -> bool {
        attempt.started_at.after(self.round_trip / 2) >= self.reported_at
    }
}

/// Returns the number of prompt tokens in one prefix block.
pub(super) fn tokens_per_block(request: &Request) -> u64 {
    match request.prefix.len() as u64 {
        0 => 0,
        blocks if blocks < MAX_PREFIX_BLOCKS as u64 => request.prompt.get() / blocks,
        _ => TOKENS_PER_BLOCK,
    }
}
