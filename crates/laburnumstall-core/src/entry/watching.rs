//! Endpoint loads: this daemon polls some endpoints and receives the loads of the others.
//!
//! Each endpoint is polled by its two watchers. The first of them sends its load to the
//! subscribed daemons. A daemon whose connection is refused notifies the watchers, and they
//! notify the subscribers. A peer's message never changes whether an endpoint is in service: it
//! only makes this daemon poll the endpoint itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::event::PollOutcome;
use crate::ids::{DaemonId, EndpointId};
use crate::message::Message;
use crate::resources::{Endpoint, LoadReport};
use crate::units::Timestamp;
use crate::watch::{
    DigestSender, EndpointTag, LoadDigest, LoadView, MIN_SEND_PERIOD, ReadSchedule, WatchInput,
    WatchedEndpoint, WatcherRole, WatchingMember,
};

/// Interval between checks for due polls and messages.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// State of endpoint watching.
#[derive(Debug, Clone, Default)]
pub(super) struct Watching {
    schedule: ReadSchedule,
    sender: DigestSender,
    view: LoadView,
    /// Last full report of each endpoint, to which the entries of load digests are applied.
    reports: BTreeMap<EndpointId, LoadReport>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    tags: BTreeMap<EndpointTag, EndpointId>,
    check_at: Timestamp,
}

impl Watching {
    /// Makes the next tick check for changes.
    pub(super) fn check_soon(&mut self) {
        self.check_at = Timestamp::ZERO;
    }

    pub(super) fn on_gone(&mut self, daemon: &DaemonId) {
        self.sender.on_gone(daemon);
    }

    fn set_endpoints(&mut self, endpoints: &[Endpoint]) {
        self.addresses = endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint.address))
            .collect();
        let addresses = &self.addresses;
        self.reports.retain(|id, _| addresses.contains_key(id));
        self.tags = addresses
            .keys()
            .map(|id| (EndpointTag::of(id), id.clone()))
            .collect();
        let received: Vec<EndpointId> = self.schedule.subscribed().cloned().collect();
        self.view.set_subset(&received);
    }
}

impl Entry {
    pub(super) fn tick_watching(&mut self, now: Timestamp) {
        if self.watching.check_at > now {
            return;
        }
        self.watching.check_at = now.after(CHECK_PERIOD);
        self.refresh_watches(now);
        self.refresh_received_loads(now);
        let router = &self.router;
        let due = self
            .watching
            .schedule
            .due(now, |endpoint| router.is_failed(endpoint));
        for endpoint in due {
            self.poll(endpoint);
        }
        for (to, endpoints) in self.watching.schedule.subscriptions_due(now) {
            self.send(&to, Message::Subscribe(endpoints));
        }
        self.send_loads(now);
    }

    fn poll(&mut self, endpoint: EndpointId) {
        if let Some(address) = self.watching.addresses.get(&endpoint).copied() {
            self.actions.push(Action::Poll { endpoint, address });
        }
    }

    /// Recomputes the watches if a daemon or an endpoint was added or removed.
    fn refresh_watches(&mut self, now: Timestamp) {
        let endpoints = self.endpoint_table.pollable(&self.system);
        let used: BTreeSet<&EndpointId> = self.router.used_endpoints().collect();
        let endpoint = |endpoint: &Endpoint| WatchedEndpoint {
            region: self.system.region_of(&endpoint.zone).cloned(),
            // The services that an endpoint has loaded are unknown until its first report.
            is_wanted: endpoint.services.is_empty() || used.contains(&endpoint.id),
            id: endpoint.id.clone(),
        };
        let member = |member: &crate::membership::Member| WatchingMember {
            region: self.system.region_of(&member.zone).cloned(),
            member: member.clone(),
        };
        let input = WatchInput {
            members: self.membership.live().map(member).collect(),
            endpoints: endpoints.iter().map(endpoint).collect(),
        };
        let own = self.own.clone();
        let is_changed = self.watching.schedule.set_input(now, &own, input);
        let is_moved = endpoints
            .iter()
            .any(|current| self.watching.addresses.get(&current.id) != Some(&current.address));
        if is_changed || is_moved {
            self.watching.set_endpoints(&endpoints);
            self.forget_unwatched();
        }
    }

    fn forget_unwatched(&mut self) {
        let watching = &mut self.watching;
        let is_first = |id: &EndpointId| watching.schedule.role(id) == Some(WatcherRole::First);
        let others: Vec<EndpointId> = watching
            .sender
            .endpoints()
            .filter(|id| !is_first(id))
            .cloned()
            .collect();
        for id in others {
            watching.sender.forget(&id);
        }
    }

    /// Refreshes received loads: a load counts as current until its watcher sends another.
    fn refresh_received_loads(&mut self, now: Timestamp) {
        let lag = self.watching.schedule.period() + MIN_SEND_PERIOD;
        let received: Vec<EndpointId> = self.watching.schedule.subscribed().cloned().collect();
        for endpoint in received {
            if self.router.is_failed(&endpoint) {
                self.watching.view.forget(&endpoint);
                continue;
            }
            self.apply_received_load(now, &endpoint, now.before(lag));
        }
    }

    /// Passes a received load to the router, dated `at` if it was taken earlier.
    fn apply_received_load(&mut self, now: Timestamp, endpoint: &EndpointId, at: Timestamp) {
        let Some(received) = self.watching.view.load(now, endpoint) else {
            return;
        };
        let Some(last_report) = self.watching.reports.get(endpoint) else {
            return;
        };
        let report = received
            .load
            .to_report(last_report, received.taken_at.max(at));
        self.apply_load(now, &report);
    }

    /// Passes a load to the router, and schedules a check of the queue.
    fn apply_load(&mut self, now: Timestamp, report: &LoadReport) {
        let was_failed = self.router.is_failed(&report.endpoint);
        self.router.on_load(now, report);
        self.queue_check_at = now;
        if was_failed && !self.router.is_failed(&report.endpoint) {
            self.quarantine
                .on_returned(now, &report.endpoint, &mut self.journal);
        }
    }

    fn send_loads(&mut self, now: Timestamp) {
        for message in self.watching.sender.due(now) {
            if !message.reports.is_empty() {
                self.send(&message.to, Message::Loads(message.reports));
            }
            if !message.digest.loads.is_empty() {
                self.send(&message.to, Message::LoadDigest(message.digest));
            }
        }
    }

    pub(super) fn on_polled(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        outcome: PollOutcome,
    ) {
        match outcome {
            PollOutcome::Report(report) => self.on_report(now, report),
            // Each crash is reported once: repeated reports would look like a wave of crashes.
            PollOutcome::Refused if !self.router.is_failed(endpoint) => {
                self.watching.sender.forget(endpoint);
                self.on_endpoint_lost(now, endpoint, true);
            }
            PollOutcome::Refused | PollOutcome::Silent => {
                self.watching.sender.forget(endpoint);
            }
        }
    }

    /// Applies a report that this daemon polled.
    fn on_report(&mut self, now: Timestamp, report: LoadReport) {
        let taken_at = report.taken_at.min(now);
        let report = LoadReport { taken_at, ..report };
        let endpoint = report.endpoint.clone();
        self.watching.schedule.on_answer(now, &endpoint);
        if self.watching.schedule.role(&endpoint) == Some(WatcherRole::First) {
            self.watching.sender.on_report(&report);
            self.broadcast_services(&report);
        }
        self.apply_services(now, &report);
        self.apply_load(now, &report);
        self.watching.reports.insert(endpoint, report);
    }

    /// Records the services that an endpoint has loaded.
    fn apply_services(&mut self, now: Timestamp, report: &LoadReport) {
        if self
            .endpoint_table
            .set_loaded_services(&report.endpoint, &report.services)
        {
            self.refresh_endpoints(now);
            self.watching.check_soon();
        }
    }

    /// Broadcasts the services that an endpoint has loaded if they changed, also to daemons that
    /// do not use the endpoint.
    fn broadcast_services(&mut self, report: &LoadReport) {
        let last_report = self.watching.reports.get(&report.endpoint);
        if last_report.is_some_and(|last_report| last_report.services != report.services) {
            self.send_to_all(&Message::Loads(vec![report.clone()]));
        }
    }

    /// Applies reports that another daemon polled.
    pub(super) fn on_loads(&mut self, now: Timestamp, reports: Vec<LoadReport>) {
        for report in reports {
            let taken_at = report.taken_at.min(now);
            let report = LoadReport { taken_at, ..report };
            let endpoint = report.endpoint.clone();
            self.watching.schedule.on_update(now, &endpoint);
            self.apply_services(now, &report);
            if !self.router.is_failed(&endpoint) {
                self.apply_load(now, &report);
            }
            self.watching.view.on_report(now, &report);
            self.watching.reports.insert(endpoint, report);
        }
    }

    /// Applies a load digest from a watcher.
    pub(super) fn on_load_digest(&mut self, now: Timestamp, digest: &LoadDigest) {
        self.watching.view.on_digest(now, digest);
        for load in &digest.loads {
            let Some(endpoint) = self.watching.tags.get(&load.endpoint).cloned() else {
                continue;
            };
            // Without a full report the digest cannot be applied, and the endpoint is polled.
            if !self.watching.reports.contains_key(&endpoint) {
                continue;
            }
            self.watching.schedule.on_update(now, &endpoint);
            if !self.router.is_failed(&endpoint) {
                self.apply_received_load(now, &endpoint, Timestamp::ZERO);
            }
        }
    }

    pub(super) fn on_subscribe(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        endpoints: &[EndpointId],
    ) {
        self.watching.sender.on_subscription(now, from, endpoints);
    }

    /// Reports that an endpoint refused a connection of this daemon: a watcher notifies the
    /// subscribers, any other daemon the watchers.
    pub(super) fn notify_refused(&mut self, endpoint: &EndpointId) {
        let watching = &self.watching;
        let to: Vec<DaemonId> = match watching.schedule.role(endpoint) {
            Some(_) => watching.sender.subscribers_of(endpoint).cloned().collect(),
            None => watching.schedule.watchers(endpoint).to_vec(),
        };
        for to in to {
            let endpoint = endpoint.clone();
            self.send(&to, Message::EndpointRefused { endpoint });
        }
    }

    /// Polls an endpoint at once after it refused a connection of another daemon.
    pub(super) fn on_endpoint_refused(&mut self, now: Timestamp, endpoint: EndpointId) {
        if !self.router.is_failed(&endpoint) && !self.router.is_leaving(&endpoint) {
            self.watching.schedule.on_read(now, &endpoint);
            self.poll(endpoint);
        }
    }
}
