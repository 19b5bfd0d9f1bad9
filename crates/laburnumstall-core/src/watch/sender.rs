//! Sender of load digests: sends changed loads to subscribers, within a byte rate.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::domain;
use crate::hash::digest64;
use crate::ids::{DaemonId, EndpointId};
use crate::resources::LoadReport;
use crate::units::Timestamp;
use crate::watch::load::{EndpointTag, LoadDigest, LoadUpdate, QuantisedLoad, ReadingAge};

/// Maximum bytes per second that a daemon uses for sending loads.
pub const DIGEST_BYTES_PER_SECOND: u64 = 1_024;

/// Minimum interval between two digests to one daemon.
pub const MIN_SEND_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which an unchanged load is sent again.
pub const REFRESH_PERIOD: Duration = Duration::from_secs(30);

/// Time after which a subscription expires unless it is renewed.
pub const SUBSCRIPTION_TTL: Duration = Duration::from_secs(120);

/// Maximum size of a full report in bytes, excluding names.
const REPORT_BYTES: u64 = 72;

/// Burst capacity in bytes.
const BURST_BYTES: u64 = 4 * DIGEST_BYTES_PER_SECOND;

domain! {
    /// Loads to send to one daemon.
    pub struct LoadMessage {
        /// Destination daemon.
        pub to: DaemonId,
        /// Full reports of endpoints that are new to the daemon, or whose services or batch
        /// size changed; a digest contains neither.
        pub reports: Vec<LoadReport>,
        /// Loads of the other endpoints.
        pub digest: LoadDigest,
    }
}

#[derive(Debug, Clone)]
struct LatestReport {
    report: LoadReport,
    load: QuantisedLoad,
    /// Hash of the values that a digest does not contain.
    static_hash: u64,
}

#[derive(Debug, Clone)]
struct SentLoad {
    load: QuantisedLoad,
    static_hash: u64,
    at: Timestamp,
}

#[derive(Debug, Clone, Default)]
struct Subscriber {
    endpoints: BTreeSet<EndpointId>,
    sent_loads: BTreeMap<EndpointId, SentLoad>,
    renewed_at: Timestamp,
    last_sent_at: Option<Timestamp>,
}

/// Subscribers of one watcher, and the loads sent to them.
#[derive(Debug, Clone, Default)]
pub struct DigestSender {
    latest: BTreeMap<EndpointId, LatestReport>,
    subscribers: BTreeMap<DaemonId, Subscriber>,
    /// Bytes that can be sent now, in millionths of a byte.
    allowance: u64,
    refilled_at: Timestamp,
    bytes_sent: u64,
}

impl DigestSender {
    /// Sets the endpoints to which a daemon subscribes; an empty list ends the subscription.
    pub fn on_subscription(&mut self, now: Timestamp, from: &DaemonId, endpoints: &[EndpointId]) {
        if endpoints.is_empty() {
            self.subscribers.remove(from);
            return;
        }
        let subscriber = self.subscribers.entry(from.clone()).or_default();
        subscriber.endpoints = endpoints.iter().cloned().collect();
        subscriber.renewed_at = now;
        let wanted = &subscriber.endpoints;
        subscriber
            .sent_loads
            .retain(|endpoint, _| wanted.contains(endpoint));
    }

    /// Removes the subscription of a daemon that is gone.
    pub fn on_gone(&mut self, daemon: &DaemonId) {
        self.subscribers.remove(daemon);
    }

    /// Records a load report of a watched endpoint; ignores outdated reports.
    pub fn on_report(&mut self, report: &LoadReport) {
        let order = |report: &LoadReport| (report.taken_at, report.sequence);
        let known = self.latest.get(&report.endpoint);
        if known.is_some_and(|known| order(&known.report) >= order(report)) {
            return;
        }
        let newer = LatestReport {
            load: QuantisedLoad::of(report),
            static_hash: static_hash_of(report),
            report: report.clone(),
        };
        self.latest.insert(report.endpoint.clone(), newer);
    }

    /// Removes an endpoint that this daemon no longer watches or that failed; its next report
    /// is sent to all subscribers in full.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.latest.remove(endpoint);
        for subscriber in self.subscribers.values_mut() {
            subscriber.sent_loads.remove(endpoint);
        }
    }

    /// Returns the endpoints whose loads are sent to subscribers.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.latest.keys()
    }

    /// Returns the daemons that subscribe to an endpoint.
    pub fn subscribers_of(&self, endpoint: &EndpointId) -> impl Iterator<Item = &DaemonId> {
        self.subscribers
            .iter()
            .filter(|(_, subscriber)| subscriber.endpoints.contains(endpoint))
            .map(|(id, _)| id)
    }

    /// Returns the messages to send now within the byte rate, longest-waiting subscriber first.
    pub fn due(&mut self, now: Timestamp) -> Vec<LoadMessage> {
        self.refill(now);
        self.subscribers
            .retain(|_, subscriber| now.since(subscriber.renewed_at) < SUBSCRIPTION_TTL);
        let mut order: Vec<(Option<Timestamp>, DaemonId)> = self
            .subscribers
            .iter()
            .filter(|(_, s)| {
                s.last_sent_at
                    .is_none_or(|at| now.since(at) >= MIN_SEND_PERIOD)
            })
            .map(|(id, subscriber)| (subscriber.last_sent_at, id.clone()))
            .collect();
        order.sort();
        let mut messages = Vec::new();
        for (_, to) in order {
            let limit = self.allowance / MICRO;
            let Some((message, cost)) = self.message_for(now, &to, limit) else {
                continue;
            };
            self.allowance -= cost * MICRO;
            self.bytes_sent += cost;
            messages.push(message);
        }
        messages
    }

    /// Returns the total bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    fn refill(&mut self, now: Timestamp) {
        let accrued = now.since(self.refilled_at).as_micros() as u64;
        let accrued = accrued.saturating_mul(DIGEST_BYTES_PER_SECOND);
        self.allowance = self
            .allowance
            .saturating_add(accrued)
            .min(BURST_BYTES * MICRO);
        self.refilled_at = now;
    }

    /// Returns the next message to a subscriber and its maximum size on the wire, which is at
    /// most `limit` bytes; the loads sent longest ago come first.
    fn message_for(
        &mut self,
        now: Timestamp,
        to: &DaemonId,
        limit: u64,
    ) -> Option<(LoadMessage, u64)> {
        let subscriber = self.subscribers.get_mut(to)?;
        let mut message = LoadMessage {
            to: to.clone(),
            reports: Vec::new(),
            digest: LoadDigest::default(),
        };
        let mut cost = LoadDigest::FRAME_BYTES;
        for endpoint in subscriber.pending(now, &self.latest) {
            let Some(latest) = self.latest.get(&endpoint) else {
                continue;
            };
            let sent = subscriber.sent_loads.get(&endpoint);
            let is_static_known = sent.is_some_and(|sent| sent.static_hash == latest.static_hash);
            let bytes = match (is_static_known, message.reports.is_empty()) {
                (true, _) => LoadUpdate::MAX_BYTES,
                (false, false) => report_bytes(&latest.report),
                (false, true) => report_bytes(&latest.report) + LoadDigest::FRAME_BYTES,
            };
            if cost + bytes > limit {
                break;
            }
            cost += bytes;
            match is_static_known {
                true => message.digest.loads.push(latest.update(now, &endpoint)),
                false => message.reports.push(latest.report.clone()),
            }
            let sent = SentLoad {
                load: latest.load,
                static_hash: latest.static_hash,
                at: now,
            };
            subscriber.sent_loads.insert(endpoint, sent);
        }
        let is_empty = message.reports.is_empty() && message.digest.loads.is_empty();
        if is_empty {
            return None;
        }
        subscriber.last_sent_at = Some(now);
        Some((message, cost))
    }
}

impl LoadMessage {
    /// Returns the maximum size of the message on the wire, in bytes.
    pub fn max_bytes(&self) -> u64 {
        let digest = self.digest.max_bytes();
        let reports: u64 = self.reports.iter().map(report_bytes).sum();
        match self.reports.is_empty() {
            true => digest,
            false => digest + LoadDigest::FRAME_BYTES + reports,
        }
    }
}

impl LatestReport {
    fn update(&self, now: Timestamp, endpoint: &EndpointId) -> LoadUpdate {
        LoadUpdate {
            endpoint: EndpointTag::of(endpoint),
            age: ReadingAge::at(now, self.report.taken_at),
            load: self.load,
        }
    }
}

impl Subscriber {
    /// Returns the endpoints whose current load the subscriber lacks, the one sent longest ago
    /// first.
    fn pending(
        &self,
        now: Timestamp,
        latest: &BTreeMap<EndpointId, LatestReport>,
    ) -> Vec<EndpointId> {
        let sent_at = |endpoint: &EndpointId| self.sent_loads.get(endpoint).map(|sent| sent.at);
        let mut pending: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|endpoint| {
                latest
                    .get(*endpoint)
                    .is_some_and(|latest| !self.has_current(now, endpoint, latest))
            })
            .cloned()
            .collect();
        pending.sort_by_key(|endpoint| sent_at(endpoint));
        pending
    }

    fn has_current(&self, now: Timestamp, endpoint: &EndpointId, latest: &LatestReport) -> bool {
        self.sent_loads.get(endpoint).is_some_and(|sent| {
            let is_same = sent.load == latest.load && sent.static_hash == latest.static_hash;
            is_same && now.since(sent.at) < REFRESH_PERIOD
        })
    }
}

fn static_hash_of(report: &LoadReport) -> u64 {
    let batch = report.batch.to_le_bytes();
    let names = report.services.iter().map(|name| name.as_str().as_bytes());
    let parts: Vec<&[u8]> = std::iter::once(&batch[..]).chain(names).collect();
    digest64(&parts)
}

fn report_bytes(report: &LoadReport) -> u64 {
    let names = report.services.iter().map(|name| name.as_str().len() + 1);
    REPORT_BYTES + (report.endpoint.as_str().len() + names.sum::<usize>()) as u64
}

/// Millionths per unit.
const MICRO: u64 = 1_000_000;
