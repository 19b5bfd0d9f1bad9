//! What one daemon reads by itself, and whom it asks for news of the rest.
//!
//! The daemon gives the live daemons and the endpoints; the schedule works out its own
//! watches and its subscriptions. An endpoint is read because it is watched, because it
//! failed and may be back, or because no news of it came for too long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{DaemonId, EndpointId, Region};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::watch::assignment::{Watch, WatchRing, read_period};
use crate::watch::reader::LOAD_LIFE;

/// Time in which a new first watcher tells a load.
pub const FIRST_NEWS: Duration = Duration::from_secs(5);

/// Time after which an endpoint that this daemon does not use is read again.
pub const UNUSED_PERIOD: Duration = Duration::from_secs(3_600);

/// Time between two subscriptions for the same endpoints.
pub const SUBSCRIBE_PERIOD: Duration = Duration::from_secs(40);

/// Most endpoints without news that are read at one time.
const MAX_UNHEARD: usize = 64;

/// An endpoint as the schedule is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Its region; `None` if its zone is not configured.
    pub region: Option<Region>,
    /// Whether this daemon needs its load.
    pub is_wanted: bool,
}

/// A live daemon with its region.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchingMember {
    /// The daemon.
    pub member: Member,
    /// Its region; `None` if its zone is not configured.
    pub region: Option<Region>,
}

/// What is read and asked for follows from this alone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchBasis {
    /// Daemons that watch.
    pub members: Vec<WatchingMember>,
    /// Endpoints.
    pub endpoints: Vec<WatchedEndpoint>,
}

#[derive(Debug, Clone)]
struct Look {
    watchers: Vec<DaemonId>,
    watch: Option<Watch>,
    is_wanted: bool,
    read_at: Option<Timestamp>,
    /// Time by which news should come from a watcher.
    news_by: Timestamp,
}

/// One daemon's readings and subscriptions.
#[derive(Debug, Clone, Default)]
pub struct ReadSchedule {
    basis: WatchBasis,
    looks: BTreeMap<EndpointId, Look>,
    subscriptions: BTreeMap<DaemonId, Vec<EndpointId>>,
    told: BTreeMap<DaemonId, Vec<EndpointId>>,
    repeat_at: Timestamp,
    period: Duration,
}

impl ReadSchedule {
    /// Takes over the daemons and endpoints; returns whether anything is new.
    pub fn set_basis(&mut self, now: Timestamp, own: &DaemonId, basis: WatchBasis) -> bool {
        if self.basis == basis {
            return false;
        }
        let rings = Rings::new(&basis);
        let mut looks = BTreeMap::new();
        for endpoint in &basis.endpoints {
            let known = self.looks.remove(&endpoint.id);
            let watchers = rings.watchers(endpoint);
            let look = Look::new(now, own, endpoint, watchers, known);
            looks.insert(endpoint.id.clone(), look);
        }
        self.looks = looks;
        self.basis = basis;
        let watched = self.looks.values().filter(|look| look.watch.is_some());
        self.period = read_period(watched.count());
        self.subscriptions = self.wanted_news(own);
        true
    }

    /// Returns which of an endpoint's watchers this daemon is.
    pub fn watch(&self, endpoint: &EndpointId) -> Option<Watch> {
        self.looks.get(endpoint)?.watch
    }

    /// Returns the watchers of an endpoint.
    pub fn watchers(&self, endpoint: &EndpointId) -> &[DaemonId] {
        let look = self.looks.get(endpoint);
        look.map_or(&[], |look| &look.watchers)
    }

    /// Returns the endpoints whose load this daemon needs and does not watch.
    pub fn heard(&self) -> impl Iterator<Item = &EndpointId> {
        self.looks
            .iter()
            .filter(|(_, look)| look.is_wanted && look.watch.is_none())
            .map(|(id, _)| id)
    }

    /// Returns the time between two readings of a watched endpoint.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Takes in that a watcher told of an endpoint.
    pub fn on_news(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(look) = self.looks.get_mut(endpoint) {
            look.news_by = now.after(match look.is_wanted {
                true => LOAD_LIFE,
                false => UNUSED_PERIOD,
            });
        }
    }

    /// Takes in that an endpoint answered a reading of this daemon.
    pub fn on_answer(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(look) = self.looks.get_mut(endpoint)
            && !look.is_wanted
        {
            look.news_by = now.after(UNUSED_PERIOD);
        }
    }

    /// Notes that an endpoint is read now.
    pub fn on_read(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(look) = self.looks.get_mut(endpoint) {
            look.read_at = Some(now);
        }
    }

    /// Returns the endpoints to read now, and notes that they are read.
    pub fn due(
        &mut self,
        now: Timestamp,
        is_failed: impl Fn(&EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        let (mut watched, mut failed, mut unheard) = (Vec::new(), Vec::new(), Vec::new());
        for (id, look) in &self.looks {
            if is_failed(id) {
                failed.push(id);
            } else if look.watch.is_some() {
                watched.push(id);
            } else if look.news_by <= now {
                unheard.push(id);
            }
        }
        let mut due: Vec<EndpointId> = self.due_among(now, &watched, self.period).collect();
        due.extend(self.due_among(now, &failed, read_period(failed.len())));
        let unheard = self.due_among(now, &unheard, read_period(unheard.len()));
        due.extend(unheard.take(MAX_UNHEARD));
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
            let read_at = self.looks.get(**id).and_then(|look| look.read_at);
            read_at.is_none_or(|at| now.since(at) >= period)
        };
        ids.iter().filter(is_due).map(|id| (*id).clone())
    }

    /// Returns the subscriptions to send now; an empty one ends a subscription.
    pub fn subscriptions_due(&mut self, now: Timestamp) -> Vec<(DaemonId, Vec<EndpointId>)> {
        let is_repeated = self.repeat_at <= now;
        if is_repeated {
            self.repeat_at = now.after(SUBSCRIBE_PERIOD);
        }
        let ended: Vec<DaemonId> = self
            .told
            .keys()
            .filter(|watcher| !self.subscriptions.contains_key(*watcher))
            .cloned()
            .collect();
        let mut due: Vec<_> = ended.into_iter().map(|to| (to, Vec::new())).collect();
        for (watcher, endpoints) in &self.subscriptions {
            if is_repeated || self.told.get(watcher) != Some(endpoints) {
                due.push((watcher.clone(), endpoints.clone()));
            }
        }
        self.told.clone_from(&self.subscriptions);
        due
    }

    fn wanted_news(&self, own: &DaemonId) -> BTreeMap<DaemonId, Vec<EndpointId>> {
        let mut news: BTreeMap<DaemonId, Vec<EndpointId>> = BTreeMap::new();
        for endpoint in self.heard() {
            for watcher in self.watchers(endpoint).iter().filter(|id| *id != own) {
                let endpoints = news.entry(watcher.clone()).or_default();
                endpoints.push(endpoint.clone());
            }
        }
        news
    }
}

impl Look {
    fn new(
        now: Timestamp,
        own: &DaemonId,
        endpoint: &WatchedEndpoint,
        watchers: Vec<DaemonId>,
        known: Option<Self>,
    ) -> Self {
        let place = watchers.iter().position(|id| id == own);
        let watch = place.map(|place| match place {
            0 => Watch::First,
            _ => Watch::Second,
        });
        let news_by = match &known {
            None => Timestamp::ZERO,
            Some(known) if known.is_wanted != endpoint.is_wanted => now.after(FIRST_NEWS),
            Some(known) if known.watchers.first() != watchers.first() => {
                known.news_by.min(now.after(FIRST_NEWS))
            }
            Some(known) => known.news_by,
        };
        let news_by = match endpoint.is_wanted {
            true => news_by,
            false => news_by.max(now.after(UNUSED_PERIOD)),
        };
        Self {
            watchers,
            watch,
            is_wanted: endpoint.is_wanted,
            read_at: known.and_then(|known| known.read_at),
            news_by,
        }
    }
}

/// The live daemons of each region.
struct Rings {
    by_region: BTreeMap<Region, WatchRing>,
    all: WatchRing,
}

impl Rings {
    fn new(basis: &WatchBasis) -> Self {
        let regions: BTreeSet<&Region> = basis
            .members
            .iter()
            .filter_map(|member| member.region.as_ref())
            .collect();
        let ring_of = |region: &Region| {
            let is_near =
                |member: &&WatchingMember| member.region.as_ref().is_none_or(|own| own == region);
            let near = basis.members.iter().filter(is_near);
            let near: Vec<&Member> = near.map(|near| &near.member).collect();
            WatchRing::new(&near)
        };
        let all: Vec<&Member> = basis.members.iter().map(|known| &known.member).collect();
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
