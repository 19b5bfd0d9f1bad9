//! Which endpoint runs a call.
//!
//! Answers the load of long prompts with shared parts. Each shared part has homes: the
//! first few endpoints in the order of rendezvous hashing, on which all daemons agree
//! without talking, so that a part is read once and then found in memory. Among the homes
//! the one with the earliest expected first token is taken. It counts the prompts that
//! this daemon and, by their news, the others have waiting there; a home that is behind by
//! more than reading the part again costs gives way to the next (rendezvous hashing with
//! bounded load: Mirrokni, Thorup and Zadimoghaddam, 2018).

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::call::Prompt;
use super::endpoint_table::{EndpointRecord, EndpointTable};
use super::gossip::{EndpointKey, EndpointLoad, Peer};
use super::health::{CallOutcome, Health};
use super::prefill::prefill_time;
use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{AvailabilityZone, EndpointId, ServiceName};
use crate::units::Timestamp;

/// Homes of a shared part, and endpoints weighed for a call without one.
const HOMES: usize = 4;
/// Parts known of one endpoint before the oldest half is forgotten.
const MAX_PARTS: usize = 4_096;
/// Time after which a part that was not used is no longer expected in memory: engines
/// evict the least recently used part within about a minute at full load.
const PART_TTL: Duration = Duration::from_secs(40);
/// Cost of another zone: the way there and back, and bytes between zones, which are paid.
const OTHER_ZONE_COST: Duration = Duration::from_millis(5);
/// Time to a first token beside waiting and reading: one step and the way.
const FIRST_STEP: Duration = Duration::from_millis(15);
/// Cost of each running call, whose tokens come between the chunks of a prompt.
const RUNNING_CALL_COST: Duration = Duration::from_micros(300);
/// Weight of the time to read a prompt beside the time until its first token: what is read
/// again holds up the calls behind it as well.
const READING_WEIGHT: u32 = 1;
/// Weight of a new measurement in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bounds of an endpoint's pace.
const PACE_RANGE: (f64, f64) = (0.5, 6.0);
/// Time of a plain call before any has been measured.
const FIRST_DURATION: Duration = Duration::from_millis(60);

/// A call that is under way on an endpoint. [`LoadBalancer::end`] takes it back.
#[derive(Debug)]
pub struct CallAttempt {
    /// Where it runs.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Service that it runs for.
    pub service: ServiceName,
    /// When it was placed.
    pub started_at: Timestamp,
    /// Time in which the first token or the answer is expected.
    pub expected: Duration,
    /// Tokens of the prompt expected in the endpoint's memory.
    pub cached: u32,
    /// Whether the endpoint is the first home of the prompt's shared parts.
    pub is_owner: bool,
    reading: Duration,
    has_first: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Work {
    reading: Duration,
    calls: u32,
}

#[derive(Debug, Clone)]
struct Place {
    id: EndpointId,
    address: SocketAddr,
    zone: AvailabilityZone,
    slots: u32,
    is_leaving: bool,
    started_at_ms: u64,
    key: EndpointKey,
    hash: u64,
    own: Work,
    peers: Work,
    /// Time that first tokens take, relative to what is expected.
    pace: f64,
    /// Time of a plain call.
    duration: Duration,
    health: Health,
    parts: HashMap<u64, Timestamp>,
}

/// The endpoints as places for calls.
#[derive(Debug, Clone)]
pub struct LoadBalancer {
    zone: AvailabilityZone,
    services: BTreeMap<ServiceName, Vec<Place>>,
}

/// A call that looks for a place.
#[derive(Debug, Clone, Copy)]
pub struct EndpointQuery<'a> {
    /// Service that is asked.
    pub service: &'a ServiceName,
    /// Prompt, for services that generate.
    pub prompt: Option<&'a Prompt>,
    /// Spreads calls without shared parts.
    pub seed: u64,
    /// Endpoints not to be used.
    pub excluded: &'a [EndpointId],
}

struct Scored {
    index: usize,
    is_owner: bool,
    cached: u32,
    reading: Duration,
    expected: Duration,
    cost: Duration,
}

impl LoadBalancer {
    /// Creates a view from a daemon in `zone`, without endpoints.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            services: BTreeMap::new(),
        }
    }

    /// Takes over the endpoints; what is known of those that stay is kept.
    pub fn set_endpoints(&mut self, endpoints: &EndpointTable) {
        let mut known: HashMap<EndpointId, Place> = std::mem::take(&mut self.services)
            .into_values()
            .flatten()
            .map(|place| (place.id.clone(), place))
            .collect();
        for listed in endpoints.iter() {
            let record = &listed.record;
            let mut place = match known.remove(&record.id) {
                Some(place)
                    if place.started_at_ms == record.started_at_ms
                        && place.address == record.address =>
                {
                    place
                }
                _ => Place::new(record),
            };
            place.zone = record.zone.clone();
            place.slots = record.slots.max(1);
            place.is_leaving = record.is_leaving;
            self.services
                .entry(record.service.clone())
                .or_default()
                .push(place);
        }
    }

    /// Takes over the work of the other daemons.
    pub fn set_peer_work<'a>(&mut self, peers: impl Iterator<Item = &'a Peer>) {
        let mut work: HashMap<EndpointKey, Work> = HashMap::new();
        for load in peers
            .filter_map(|peer| peer.last_message.as_ref())
            .flat_map(|message| &message.loads)
        {
            let sum = work.entry(load.endpoint).or_default();
            sum.reading += Duration::from_micros(load.prefill_us.into());
            sum.calls += load.calls;
        }
        for place in self.services.values_mut().flatten() {
            place.peers = work.get(&place.key).copied().unwrap_or_default();
        }
    }

    /// Returns this daemon's work under way, for the others.
    pub fn own_work(&self) -> Vec<EndpointLoad> {
        let places = self.services.values().flatten();
        places
            .filter(|place| place.own.calls > 0)
            .map(|place| EndpointLoad {
                endpoint: place.key,
                prefill_us: u32::try_from(place.own.reading.as_micros()).unwrap_or(u32::MAX),
                calls: place.own.calls,
            })
            .collect()
    }

    /// Returns the calls under way and the places of a service that takes new work.
    pub fn occupancy(&self, service: &ServiceName) -> (u32, u32) {
        let places = self.services.get(service).into_iter().flatten();
        places
            .filter(|place| !place.is_leaving)
            .fold((0, 0), |(calls, slots), place| {
                (
                    calls + place.own.calls + place.peers.calls,
                    slots + place.slots,
                )
            })
    }

    /// Selects an endpoint for a call; `None` if no endpoint can take it.
    pub fn select(&mut self, now: Timestamp, search: &EndpointQuery<'_>) -> Option<CallAttempt> {
        let places = self.services.get(search.service)?;
        let candidates = candidates(now, places, search);
        let best = candidates
            .iter()
            .enumerate()
            .map(|(rank, index)| self.score(now, &places[*index], *index, rank == 0, search))
            .min_by_key(|scored| scored.cost)?;
        let place = self.services.get_mut(search.service)?.get_mut(best.index)?;
        place.own.calls += 1;
        place.own.reading += best.reading;
        if let Some(prompt) = search.prompt {
            place.remember(now, prompt);
        }
        Some(CallAttempt {
            endpoint: place.id.clone(),
            address: place.address,
            service: search.service.clone(),
            started_at: now,
            expected: best.expected,
            cached: best.cached,
            is_owner: best.is_owner,
            reading: best.reading,
            has_first: false,
        })
    }

    /// Takes in that a call has given its first token or its whole answer.
    pub fn on_first(&mut self, now: Timestamp, run: &mut CallAttempt) {
        if std::mem::replace(&mut run.has_first, true) {
            return;
        }
        let taken = now.since(run.started_at);
        let Some(place) = self.find(run) else {
            return;
        };
        place.own.reading = place.own.reading.saturating_sub(run.reading);
        if run.reading.is_zero() {
            place.duration =
                place.duration.mul_f64(1.0 - NEWEST_WEIGHT) + taken.mul_f64(NEWEST_WEIGHT);
        } else {
            let pace = place.pace * taken.as_secs_f64() / run.expected.as_secs_f64().max(0.001);
            let pace = place.pace * (1.0 - NEWEST_WEIGHT) + pace * NEWEST_WEIGHT;
            place.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        }
    }

    /// Ends a call; returns whether the endpoint is left alone from now on.
    pub fn end(&mut self, now: Timestamp, run: CallAttempt, outcome: Option<CallOutcome>) -> bool {
        let Some(place) = self.find(&run) else {
            return false;
        };
        place.own.calls = place.own.calls.saturating_sub(1);
        if !run.has_first {
            place.own.reading = place.own.reading.saturating_sub(run.reading);
        }
        outcome.is_some_and(|outcome| place.health.on_outcome(now, outcome))
    }

    fn find(&mut self, run: &CallAttempt) -> Option<&mut Place> {
        let places = self.services.get_mut(&run.service)?;
        places
            .iter_mut()
            .find(|place| place.id == run.endpoint && place.address == run.address)
    }

    fn score(
        &self,
        now: Timestamp,
        place: &Place,
        index: usize,
        is_owner: bool,
        search: &EndpointQuery<'_>,
    ) -> Scored {
        let zone = match place.zone == self.zone {
            true => Duration::ZERO,
            false => OTHER_ZONE_COST,
        };
        let calls = place.own.calls + place.peers.calls;
        let slot_wait = place.duration * (calls + 1).saturating_sub(place.slots) / place.slots;
        let Some(prompt) = search.prompt else {
            let expected = slot_wait + place.duration;
            let busy = place.duration * calls / place.slots;
            return Scored {
                index,
                is_owner,
                cached: 0,
                reading: Duration::ZERO,
                expected,
                cost: expected + busy + zone + place.health.cost(now),
            };
        };
        let cached = place.cached(now, prompt, is_owner);
        let reading = prefill_time(prompt.tokens, cached);
        let waiting = place.own.reading + place.peers.reading;
        let expected =
            (waiting + reading + RUNNING_CALL_COST * calls).mul_f64(place.pace) + FIRST_STEP;
        Scored {
            index,
            is_owner,
            cached,
            reading,
            expected: expected + slot_wait,
            cost: expected + slot_wait + reading * READING_WEIGHT + zone + place.health.cost(now),
        }
    }
}

impl Place {
    fn new(record: &EndpointRecord) -> Self {
        let hash = digest64(&[record.id.as_str().as_bytes()]);
        Self {
            id: record.id.clone(),
            address: record.address,
            zone: record.zone.clone(),
            slots: record.slots.max(1),
            is_leaving: record.is_leaving,
            started_at_ms: record.started_at_ms,
            key: EndpointKey(hash as u32),
            hash,
            own: Work::default(),
            peers: Work::default(),
            pace: 1.0,
            duration: FIRST_DURATION,
            health: Health::default(),
            parts: HashMap::new(),
        }
    }

    /// Returns the tokens of a prompt that are expected in memory: the leading parts that
    /// this daemon sent here lately, and at their first home all that can be shared, since
    /// the other daemons send them there as well.
    fn cached(&self, now: Timestamp, prompt: &Prompt, is_owner: bool) -> u32 {
        let is_fresh = |at: &Timestamp| now.since(*at) < PART_TTL;
        let is_known = |id: &u64| self.parts.get(id).is_some_and(is_fresh);
        let shared = prompt.shared().len();
        let leading = prompt
            .parts
            .iter()
            .enumerate()
            .take_while(|(index, part)| (is_owner && *index < shared) || is_known(&part.id));
        let tokens: u32 = leading.map(|(_, part)| part.tokens).sum();
        tokens.min(prompt.tokens.saturating_sub(1))
    }

    fn remember(&mut self, now: Timestamp, prompt: &Prompt) {
        for part in &prompt.parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, at| now.since(*at) < PART_TTL / 2);
        }
    }
}

/// Returns the endpoints that are weighed, the first home first.
fn candidates(now: Timestamp, places: &[Place], search: &EndpointQuery<'_>) -> Vec<usize> {
    let is_open = |place: &Place| !place.is_leaving && !search.excluded.contains(&place.id);
    let mut usable: Vec<usize> = (0..places.len())
        .filter(|index| is_open(&places[*index]) && !places[*index].health.is_paused(now))
        .collect();
    if usable.is_empty() {
        usable = (0..places.len())
            .filter(|index| is_open(&places[*index]))
            .collect();
    }
    let Some(prompt) = search.prompt else {
        // Plain calls gain nothing from a home; equal costs are split by chance.
        usable.sort_unstable_by_key(|index| rendezvous_weight(search.seed, places[*index].hash));
        return usable;
    };
    let key = prompt.hash_key().unwrap_or(search.seed);
    usable.sort_unstable_by_key(|index| Reverse(rendezvous_weight(key, places[*index].hash)));
    usable.truncate(HOMES);
    usable
}
