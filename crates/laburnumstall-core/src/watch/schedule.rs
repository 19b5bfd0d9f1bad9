//! Schedule of the endpoints that a daemon polls, and its subscriptions for the others.
//!
//! The schedule derives assignments and subscriptions from the live daemons and the
//! endpoints. An endpoint is polled because the daemon watches it, because it failed and may
//! have recovered, or because no update about it arrived in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{DaemonId, EndpointId, Region};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::watch::assignment::{WatchRing, WatcherRole, read_period};
use crate::watch::reader::LOAD_TTL;

/// Time within which a new first watcher is expected to send a load.
pub const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two polls of an endpoint that this daemon does not use.
pub const UNUSED_PERIOD: Duration = Duration::from_secs(3_600);

/// Interval at which subscriptions are renewed.
pub const SUBSCRIBE_PERIOD: Duration = Duration::from_secs(40);

/// Maximum number of endpoints with overdue updates that are polled at a time.
const MAX_OVERDUE: usize = 64;

/// An endpoint in the input of the schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedEndpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Region; `None` if the zone is not configured.
    pub region: Option<Region>,
    /// Whether this daemon needs its load.
    pub is_wanted: bool,
}

/// A live daemon with its region.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchingMember {
    /// The live daemon.
    pub member: Member,
    /// Region; `None` if the zone is not configured.
    pub region: Option<Region>,
}

/// Input from which the schedule derives all assignments and subscriptions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchInput {
    /// Live daemons, which watch the endpoints.
    pub members: Vec<WatchingMember>,
    /// Endpoints to watch.
    pub endpoints: Vec<WatchedEndpoint>,
}

#[derive(Debug, Clone)]
struct ReadState {
    watchers: Vec<DaemonId>,
    role: Option<WatcherRole>,
    is_wanted: bool,
    read_at: Option<Timestamp>,
    /// Time by which a watcher's update is expected.
    update_due: Timestamp,
}

/// One daemon's polls and subscriptions.
#[derive(Debug, Clone, Default)]
pub struct ReadSchedule {
    input: WatchInput,
    endpoints: BTreeMap<EndpointId, ReadState>,
    subscriptions: BTreeMap<DaemonId, Vec<EndpointId>>,
    sent_subscriptions: BTreeMap<DaemonId, Vec<EndpointId>>,
    renew_at: Timestamp,
    period: Duration,
}

impl ReadSchedule {
    /// Sets the daemons and endpoints; returns whether they changed.
    pub fn set_input(&mut self, now: Timestamp, own: &DaemonId, input: WatchInput) -> bool {
        if self.input == input {
            return false;
        }
        let rings = Rings::new(&input);
        let mut endpoints = BTreeMap::new();
        for endpoint in &input.endpoints {
            let known = self.endpoints.remove(&endpoint.id);
            let watchers = rings.watchers(endpoint);
            let state = ReadState::new(now, own, endpoint, watchers, known);
            endpoints.insert(endpoint.id.clone(), state);
        }
        self.endpoints = endpoints;
        self.input = input;
        let watched = self.endpoints.values().filter(|state| state.role.is_some());
        self.period = read_period(watched.count());
        self.subscriptions = self.wanted_subscriptions(own);
        true
    }

    /// Returns this daemon's role among an endpoint's watchers.
    pub fn role(&self, endpoint: &EndpointId) -> Option<WatcherRole> {
        self.endpoints.get(endpoint)?.role
    }

    /// Returns the watchers of an endpoint.
    pub fn watchers(&self, endpoint: &EndpointId) -> &[DaemonId] {
        let state = self.endpoints.get(endpoint);
        state.map_or(&[], |state| &state.watchers)
    }

    /// Returns the endpoints whose load this daemon needs but does not watch.
    pub fn subscribed(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints
            .iter()
            .filter(|(_, state)| state.is_wanted && state.role.is_none())
            .map(|(id, _)| id)
    }

    /// Returns the polling interval of watched endpoints.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Records an update about an endpoint from a watcher.
    pub fn on_update(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.update_due = now.after(match state.is_wanted {
                true => LOAD_TTL,
                false => UNUSED_PERIOD,
            });
        }
    }

    /// Records that an endpoint responded to a poll of this daemon.
    pub fn on_answer(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && !state.is_wanted
        {
            state.update_due = now.after(UNUSED_PERIOD);
        }
    }

    /// Records that an endpoint is polled now.
    pub fn on_read(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.read_at = Some(now);
        }
    }

    /// Returns the endpoints to poll now, and records that they are polled.
    pub fn due(
        &mut self,
        now: Timestamp,
        is_failed: impl Fn(&EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        let (mut watched, mut failed, mut overdue) = (Vec::new(), Vec::new(), Vec::new());
        for (id, state) in &self.endpoints {
            if is_failed(id) {
                failed.push(id);
            } else if state.role.is_some() {
                watched.push(id);
            } else if state.update_due <= now {
                overdue.push(id);
            }
        }
        let mut due: Vec<EndpointId> = self.due_among(now, &watched, self.period).collect();
        due.extend(self.due_among(now, &failed, read_period(failed.len())));
        let overdue = self.due_among(now, &overdue, read_period(overdue.len()));
        due.extend(overdue.take(MAX_OVERDUE));
        for id in &due {
            self.on_read(now, id);
        }
        due
    }

    fn due_among<'a>(
        &'a self,
        now: Timestamp,
        ids: &'a [&EndpointId],
        period: Duration,
    ) -> impl Iterator<Item = EndpointId> + 'a {
        let is_due = move |id: &&&EndpointId| {
            let read_at = self.endpoints.get(**id).and_then(|state| state.read_at);
            read_at.is_none_or(|at| now.since(at) >= period)
        };
        ids.iter().filter(is_due).map(|id| (*id).clone())
    }

    /// Returns the subscriptions to send now; an empty list of endpoints ends a subscription.
    pub fn subscriptions_due(&mut self, now: Timestamp) -> Vec<(DaemonId, Vec<EndpointId>)> {
        let is_renewal = self.renew_at <= now;
        if is_renewal {
            self.renew_at = now.after(SUBSCRIBE_PERIOD);
        }
        let ended: Vec<DaemonId> = self
            .sent_subscriptions
            .keys()
            .filter(|watcher| !self.subscriptions.contains_key(*watcher))
            .cloned()
            .collect();
        let mut due: Vec<_> = ended.into_iter().map(|to| (to, Vec::new())).collect();
        for (watcher, endpoints) in &self.subscriptions {
            if is_renewal || self.sent_subscriptions.get(watcher) != Some(endpoints) {
                due.push((watcher.clone(), endpoints.clone()));
            }
        }
        self.sent_subscriptions.clone_from(&self.subscriptions);
        due
    }

    fn wanted_subscriptions(&self, own: &DaemonId) -> BTreeMap<DaemonId, Vec<EndpointId>> {
        let mut subscriptions: BTreeMap<DaemonId, Vec<EndpointId>> = BTreeMap::new();
        for endpoint in self.subscribed() {
            for watcher in self.watchers(endpoint).iter().filter(|id| *id != own) {
                let endpoints = subscriptions.entry(watcher.clone()).or_default();
                endpoints.push(endpoint.clone());
            }
        }
        subscriptions
    }
}

impl ReadState {
    fn new(
        now: Timestamp,
        own: &DaemonId,
        endpoint: &WatchedEndpoint,
        watchers: Vec<DaemonId>,
        known: Option<Self>,
    ) -> Self {
        let index = watchers.iter().position(|id| id == own);
        let role = index.map(|index| match index {
            0 => WatcherRole::First,
            _ => WatcherRole::Second,
        });
        let update_due = match &known {
            None => Timestamp::ZERO,
            Some(known) if known.is_wanted != endpoint.is_wanted => now.after(FIRST_UPDATE_TIMEOUT),
            Some(known) if known.watchers.first() != watchers.first() => {
                known.update_due.min(now.after(FIRST_UPDATE_TIMEOUT))
            }
            Some(known) => known.update_due,
        };
        let update_due = match endpoint.is_wanted {
            true => update_due,
            false => update_due.max(now.after(UNUSED_PERIOD)),
        };
        Self {
            watchers,
            role,
            is_wanted: endpoint.is_wanted,
            read_at: known.and_then(|known| known.read_at),
            update_due,
        }
    }
}

/// Watch rings of the live daemons, by region.
struct Rings {
    by_region: BTreeMap<Region, WatchRing>,
    all: WatchRing,
}

impl Rings {
    fn new(input: &WatchInput) -> Self {
        let regions: BTreeSet<&Region> = input
            .members
            .iter()
            .filter_map(|member| member.region.as_ref())
            .collect();
        let ring_of = |region: &Region| {
            let is_in_region =
                |member: &&WatchingMember| member.region.as_ref().is_none_or(|own| own == region);
            let in_region = input.members.iter().filter(is_in_region);
            let in_region: Vec<&Member> = in_region.map(|watching| &watching.member).collect();
            WatchRing::new(&in_region)
        };
        let all: Vec<&Member> = input
            .members
            .iter()
            .map(|watching| &watching.member)
            .collect();
        Self {
            by_region: regions
                .into_iter()
                .map(|region| (region.clone(), ring_of(region)))
                .collect(),
            all: WatchRing::new(&all),
        }
    }

    fn watchers(&self, endpoint: &WatchedEndpoint) -> Vec<DaemonId> {
        let region = endpoint.region.as_ref();
        let ring = region.and_then(|region| self.by_region.get(region));
        let watchers = ring.unwrap_or(&self.all).watchers(&endpoint.id);
        watchers.into_iter().cloned().collect()
    }
}
