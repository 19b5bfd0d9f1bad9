//! Selects the endpoint for a call.
//!
//! Long prompts have parts in common. Each shared part has a few consistent-hash owners: the
//! first endpoints in the order of rendezvous hashing, which all daemons compute alike without
//! communication. A part is thus prefilled once and then found in the prefix cache. The owner
//! with the earliest expected first token is selected, counting the prompts that this daemon
//! and its peers (known by gossip) have queued at it. The next owner is selected instead when
//! the wait is longer by more than the cost of prefilling the part again (rendezvous hashing
//! with bounded load: Mirrokni, Thorup and Zadimoghaddam, 2018).

mod candidates;
mod destinations;
mod endpoint_state;
mod idle_connections;
mod pace;
mod room;
mod score;
mod speeds;
mod version_gate;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::call::Prompt;
use super::endpoint_limiter::EndpointLimiter;
use super::endpoint_model::Sample;
use super::endpoint_notice::EndpointLimit;
use super::endpoint_table::{EndpointProcess, EndpointTable};
use super::gossip::{EndpointKey, EndpointLoad, Peer};
use super::health::CallOutcome;
use super::reclaim::KvSource;
use super::rollout::TrackedCall;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName, SoftwareVersion};
use crate::units::Timestamp;
use candidates::candidates;
pub(super) use destinations::MoveQuery;
use endpoint_state::{AbsentProcesses, EndpointState, Work};
use room::ServiceUsage;
use speeds::ServiceSpeeds;

pub use version_gate::VersionGate;

/// Number of owners of a shared part, and of endpoints scored for a prompt without shared
/// parts.
const OWNERS: usize = 4;
/// Number of recorded parts per endpoint above which parts unused for half of [`PART_TTL`] are
/// removed.
const MAX_RECORDED_PARTS: usize = 4_096;
/// Time without use after which a part is no longer expected in the prefix cache: engines
/// evict the least recently used part within about a minute at full load.
const PART_TTL: Duration = Duration::from_secs(40);
/// Cost of an endpoint in another zone: the round trip, and the price of traffic between
/// zones.
const CROSS_ZONE_COST: Duration = Duration::from_millis(5);
/// Cost of a new connection to an endpoint: a round trip within a region.
const CONNECTION_COST: Duration = Duration::from_millis(3);
/// Time to the first token without queueing and prefill: one decode step and the network.
const FIRST_STEP: Duration = Duration::from_millis(15);
/// Cost of each running call, whose decode steps come between the chunks of a prefill.
const RUNNING_CALL_COST: Duration = Duration::from_micros(300);
/// Weight of the prefill time in addition to the time to the first token: a repeated prefill
/// also delays the calls behind it.
const PREFILL_WEIGHT: u32 = 1;
/// Weight of a new measurement in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bounds of an endpoint's latency factor.
const LATENCY_FACTOR_RANGE: (f64, f64) = (0.5, 6.0);
/// Duration of a call without a prompt before any has been measured.
const INITIAL_DURATION: Duration = Duration::from_millis(60);

/// In-flight attempt of a call on an endpoint; ended by [`LoadBalancer::end`].
#[derive(Debug)]
pub struct CallAttempt {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Start of the endpoint's process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Service that is called.
    pub service: ServiceName,
    /// Version of the endpoint's software; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// When the endpoint was selected.
    pub started_at: Timestamp,
    /// Expected time to the first token or to the response.
    pub expected: Duration,
    /// Prompt tokens expected in the endpoint's prefix cache.
    pub cached: u32,
    /// Whether the endpoint is the first owner of the prompt's shared parts.
    pub is_owner: bool,
    /// When the first token or the response arrived.
    pub first_output_at: Option<Timestamp>,
    /// Where the KV cache of the run is that the attempt goes on with; `None` for one that
    /// prefills its prompt.
    pub kv_source: Option<KvSource>,
    /// Whether it goes on with a run that was stopped at the same endpoint.
    pub is_continued: bool,
    /// What a rollout counts it as; `None` without one.
    pub(super) tracked: Option<TrackedCall>,
    prefill: Duration,
    sample: Sample,
    /// Tokens that the call needs in the KV cache.
    tokens: u64,
    /// Maximum length of the answer in tokens.
    answer_tokens: u32,
    /// Number of events received, and when the newest one was.
    events: (u32, Timestamp),
}

/// Selects endpoints, and tracks their load and health.
#[derive(Debug, Clone)]
pub struct LoadBalancer {
    zone: AvailabilityZone,
    services: BTreeMap<ServiceName, Vec<EndpointState>>,
    absent: AbsentProcesses,
    has_limits: bool,
    speeds: ServiceSpeeds,
    usage: ServiceUsage,
}

/// Call that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointQuery<'a> {
    /// Service to call.
    pub service: &'a ServiceName,
    /// Prompt, for services that generate tokens.
    pub prompt: Option<&'a Prompt>,
    /// Seed that spreads calls without shared parts.
    pub seed: u64,
    /// Only version that may be selected.
    pub version: Option<&'a SoftwareVersion>,
    /// Versions that are selected while an endpoint of any of them is there; `None` for all.
    pub admitted: Option<&'a BTreeSet<SoftwareVersion>>,
    /// Versions at which a rollout lets the call run.
    pub gate: VersionGate<'a>,
    /// Endpoints that must not be selected.
    pub excluded: &'a [EndpointId],
}

struct ScoredEndpoint {
    index: usize,
    is_owner: bool,
    cached: u32,
    prefill: Duration,
    expected: Duration,
    cost: Duration,
    sample: Sample,
    tokens: u64,
}

impl LoadBalancer {
    /// Creates a load balancer for a daemon in `zone`, without endpoints.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            services: BTreeMap::new(),
            absent: AbsentProcesses::default(),
            has_limits: false,
            speeds: ServiceSpeeds::default(),
            usage: ServiceUsage::default(),
        }
    }

    /// Replaces the endpoints. What is known of a process outlives its entry, which may lapse, name
    /// another address, or be overwritten by another writer, and come back.
    pub fn set_endpoints(&mut self, now: Timestamp, endpoints: &EndpointTable) {
        for endpoint in std::mem::take(&mut self.services).into_values().flatten() {
            self.absent.insert(now, endpoint);
        }
        for entry in endpoints.iter() {
            let known = self.absent.remove(&entry.record.process());
            let mut endpoint = known.unwrap_or_else(|| EndpointState::new(entry));
            endpoint.update(entry);
            self.services
                .entry(entry.record.service.clone())
                .or_default()
                .push(endpoint);
        }
    }

    /// Forgets processes that have not been listed for a long time.
    pub(super) fn forget_absent(&mut self, now: Timestamp) {
        self.absent.forget(now);
    }

    /// Sets this daemon's shares of the limits that endpoints name, as the daemon with the hash
    /// `own` beside `peers`.
    pub(super) fn set_limits(
        &mut self,
        now: Timestamp,
        limits: &BTreeMap<&EndpointId, EndpointLimit>,
        own: u64,
        peers: &[u64],
    ) {
        for endpoint in self.services.values_mut().flatten() {
            let hash = endpoint.hash;
            match (limits.get(&endpoint.process.id), &mut endpoint.limiter) {
                (Some(limit), Some(limiter)) => limiter.update(now, *limit, hash, own, peers),
                (Some(limit), limiter) => {
                    *limiter = Some(EndpointLimiter::new(now, *limit, hash, own, peers));
                }
                (None, limiter) => *limiter = None,
            }
        }
        self.has_limits = !limits.is_empty();
    }

    /// Pauses the calls to an endpoint until a time; returns whether that is later than known.
    pub(super) fn pause(&mut self, process: &EndpointProcess, until: Timestamp) -> bool {
        let mut listed = self.services.values_mut().flatten();
        let listed = listed.find(|endpoint| endpoint.process == *process);
        let endpoint = listed.or_else(|| self.absent.get_mut(process));
        endpoint.is_some_and(|endpoint| {
            let is_later = until > endpoint.paused_until;
            endpoint.paused_until = endpoint.paused_until.max(until);
            is_later
        })
    }

    /// Returns when the first endpoint of a service takes calls again, and its slots; `None` unless
    /// all of them are paused.
    pub(super) fn pause_end(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<(Duration, u32)> {
        let endpoints = self.services.get(service)?.iter();
        let usable = endpoints.filter(|endpoint| !endpoint.is_leaving);
        let first = usable.min_by_key(|endpoint| endpoint.paused_until)?;
        let is_paused = now < first.paused_until;
        is_paused.then(|| (first.paused_until.since(now), first.slots))
    }

    /// Returns whether any endpoint had a limit when they were last set.
    pub(super) fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Returns when a service's endpoints have room, `None` if that is left to other daemons, and
    /// how many requests per second this daemon may send them, in millionths; `None` unless all of
    /// them name limits.
    pub(super) fn limited_room(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<(Option<Duration>, i64)> {
        let endpoints = self.services.get(service).into_iter().flatten();
        let usable = endpoints.filter(|endpoint| !endpoint.is_leaving);
        let limiters: Option<Vec<&EndpointLimiter>> =
            usable.map(|endpoint| endpoint.limiter.as_ref()).collect();
        let limiters = limiters.filter(|limiters| !limiters.is_empty())?;
        let rooms = limiters.iter().filter_map(|limiter| limiter.room_in(now));
        let rate = limiters.iter().map(|limiter| limiter.rate()).sum();
        Some((rooms.min(), rate))
    }

    /// Replaces the in-flight work of the peers.
    pub fn set_peer_work<'a>(&mut self, peers: impl Iterator<Item = &'a Peer>) {
        let mut work: HashMap<EndpointKey, Work> = HashMap::new();
        for load in peers
            .filter_map(|peer| peer.last_message.as_ref())
            .flat_map(|message| &message.loads)
        {
            let sum = work.entry(load.endpoint).or_default();
            sum.prefill += Duration::from_micros(load.prefill_us.into());
            sum.calls = sum.calls.saturating_add(load.calls);
        }
        for endpoint in self.services.values_mut().flatten() {
            endpoint.peer_work = work.get(&endpoint.key).copied().unwrap_or_default();
        }
    }

    /// Returns this daemon's in-flight work, for gossip.
    pub fn own_work(&self) -> Vec<EndpointLoad> {
        let endpoints = self.services.values().flatten();
        endpoints
            .filter(|endpoint| endpoint.own_work.calls > 0)
            .map(|endpoint| EndpointLoad {
                endpoint: endpoint.key,
                prefill_us: u32::try_from(endpoint.own_work.prefill.as_micros())
                    .unwrap_or(u32::MAX),
                calls: endpoint.own_work.calls,
            })
            .collect()
    }

    /// Returns the in-flight calls and the slots of a service's endpoints that take new work.
    pub fn occupancy(&self, service: &ServiceName) -> (u64, u64) {
        let endpoints = self.services.get(service).into_iter().flatten();
        endpoints.filter(|endpoint| !endpoint.is_leaving).fold(
            (0, 0),
            |(calls, slots), endpoint| {
                let in_flight = u64::from(endpoint.calls());
                (calls + in_flight, slots + u64::from(endpoint.slots))
            },
        )
    }

    /// Selects an endpoint for a call; `None` if no endpoint can take it.
    pub fn select(&mut self, now: Timestamp, query: &EndpointQuery<'_>) -> Option<CallAttempt> {
        let endpoints = self.services.get(query.service)?;
        let candidates = candidates(now, endpoints, query);
        let best = candidates
            .iter()
            .enumerate()
            .map(|(rank, index)| self.score(now, &endpoints[*index], *index, rank == 0, query))
            .min_by_key(|scored| scored.cost)?;
        let endpoint = self.services.get_mut(query.service)?.get_mut(best.index)?;
        endpoint.own_work.calls += 1;
        endpoint.own_work.prefill += best.prefill;
        endpoint.own_work.tokens += best.tokens;
        endpoint.connections.take(now);
        if best.tokens > 0 {
            self.usage.on_selected(query.service, best.tokens);
        }
        if let Some(limiter) = &mut endpoint.limiter {
            limiter.take(now);
        }
        if let Some(prompt) = query.prompt {
            endpoint.record_parts(now, prompt);
        }
        Some(CallAttempt {
            endpoint: endpoint.process.id.clone(),
            address: endpoint.address,
            started_at_ms: endpoint.process.started_at_ms,
            service: query.service.clone(),
            version: endpoint.version.clone(),
            started_at: now,
            expected: best.expected,
            cached: best.cached,
            is_owner: best.is_owner,
            prefill: best.prefill,
            sample: best.sample,
            tokens: best.tokens,
            answer_tokens: query.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            events: (0, now),
            first_output_at: None,
            kv_source: None,
            is_continued: false,
            tracked: None,
        })
    }

    /// Selects an endpoint like [`LoadBalancer::select`]; if the only version that a rollout lets the
    /// call run at has none, one of another version.
    pub fn select_gated(
        &mut self,
        now: Timestamp,
        query: &EndpointQuery<'_>,
    ) -> Option<CallAttempt> {
        let selected = self.select(now, query);
        match query.gate {
            VersionGate::Only { version, .. } if selected.is_none() => {
                let gate = VersionGate::Without(version);
                self.select(now, &EndpointQuery { gate, ..*query })
            }
            _ => selected,
        }
    }

    /// Records that an attempt has returned its first token or its whole response.
    pub fn on_first_output(&mut self, now: Timestamp, attempt: &mut CallAttempt) {
        if attempt.first_output_at.is_some() {
            return;
        }
        attempt.first_output_at = Some(now);
        // A moved run says nothing of the time that prompts take.
        if attempt.kv_source.is_some() {
            return;
        }
        let elapsed = now.since(attempt.started_at);
        let is_enabled = self.speeds.is_enabled();
        let Some(endpoint) = self.find(attempt) else {
            return;
        };
        endpoint.own_work.prefill = endpoint.own_work.prefill.saturating_sub(attempt.prefill);
        if is_enabled {
            endpoint.speed.on_call(now, &attempt.sample, elapsed);
        }
        if attempt.prefill.is_zero() {
            endpoint.mean_duration = endpoint.mean_duration.mul_f64(1.0 - NEWEST_WEIGHT)
                + elapsed.mul_f64(NEWEST_WEIGHT);
        } else {
            let (factor, expected) = match attempt.sample.is_by_speed {
                true => (1.0, attempt.sample.expected),
                false => (endpoint.latency_factor, attempt.expected),
            };
            let measured_factor =
                factor * elapsed.as_secs_f64() / expected.as_secs_f64().max(0.001);
            let latency_factor =
                endpoint.latency_factor * (1.0 - NEWEST_WEIGHT) + measured_factor * NEWEST_WEIGHT;
            endpoint.latency_factor =
                latency_factor.clamp(LATENCY_FACTOR_RANGE.0, LATENCY_FACTOR_RANGE.1);
        }
    }

    /// Records an outcome of an attempt that goes on; returns whether its endpoint enters
    /// backoff.
    pub fn record(&mut self, now: Timestamp, attempt: &CallAttempt, outcome: CallOutcome) -> bool {
        self.find(attempt)
            .is_some_and(|endpoint| endpoint.health.on_outcome(now, outcome))
    }

    /// Ends the backoff of an attempt's endpoint, which responds again.
    pub fn end_backoff(&mut self, now: Timestamp, attempt: &CallAttempt) {
        if let Some(endpoint) = self.find(attempt) {
            endpoint.health.end_backoff(now);
        }
    }

    /// Ends an attempt; returns whether its endpoint enters backoff.
    pub fn end(
        &mut self,
        now: Timestamp,
        attempt: CallAttempt,
        outcome: Option<CallOutcome>,
    ) -> bool {
        self.on_output_ended(now, &attempt, outcome);
        let Some(endpoint) = self.find(&attempt) else {
            return false;
        };
        if outcome == Some(CallOutcome::Good) {
            endpoint.connections.put(now);
        }
        endpoint.own_work.tokens = endpoint.own_work.tokens.saturating_sub(attempt.tokens);
        endpoint.own_work.calls = endpoint.own_work.calls.saturating_sub(1);
        if attempt.first_output_at.is_none() {
            endpoint.own_work.prefill = endpoint.own_work.prefill.saturating_sub(attempt.prefill);
        }
        outcome.is_some_and(|outcome| endpoint.health.on_outcome(now, outcome))
    }

    fn find(&mut self, attempt: &CallAttempt) -> Option<&mut EndpointState> {
        let process = attempt.process();
        let listed = self.services.get_mut(&attempt.service);
        let mut listed = listed.into_iter().flatten();
        listed
            .find(|endpoint| endpoint.process == process)
            .or_else(|| self.absent.get_mut(&process))
    }
}
