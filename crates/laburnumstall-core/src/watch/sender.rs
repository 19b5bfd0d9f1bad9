//! The telling side: changed loads go to their subscribers, within a byte rate.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::domain;
use crate::ids::{DaemonId, EndpointId};
use crate::units::Timestamp;
use crate::watch::load::{EndpointTag, LoadDigest, LoadWord, QuantisedLoad};
use crate::world::LoadReport;

/// Bytes a second that a daemon spends on telling loads.
pub const DIGEST_BYTES_PER_SECOND: u64 = 1_024;

/// Shortest time between two digests to one daemon.
pub const MIN_SEND_PERIOD: Duration = Duration::from_secs(1);

/// Time after which an unchanged load is told again.
pub const REFRESH_PERIOD: Duration = Duration::from_secs(30);

/// Time that a subscription lives without being repeated.
pub const SUBSCRIPTION_LIFE: Duration = Duration::from_secs(120);

/// Bytes that may be sent at once after a quiet time.
const BURST_BYTES: u64 = 4 * DIGEST_BYTES_PER_SECOND;

domain! {
    /// A digest with the daemon that it is for.
    pub struct LoadMessage {
        /// Daemon to send it to.
        pub to: DaemonId,
        /// The loads.
        pub digest: LoadDigest,
    }
}

#[derive(Debug, Clone)]
struct Latest {
    sequence: u64,
    load: QuantisedLoad,
}

#[derive(Debug, Clone)]
struct Told {
    load: QuantisedLoad,
    at: Timestamp,
}

#[derive(Debug, Clone, Default)]
struct Subscriber {
    wants: BTreeSet<EndpointId>,
    told: BTreeMap<EndpointId, Told>,
    heard: Timestamp,
    sent: Option<Timestamp>,
}

/// What one watcher tells its subscribers.
#[derive(Debug, Clone, Default)]
pub struct DigestSender {
    latest: BTreeMap<EndpointId, Latest>,
    subscribers: BTreeMap<DaemonId, Subscriber>,
    /// Bytes that may be sent now, in millionths.
    allowance: u64,
    refilled: Timestamp,
    bytes_sent: u64,
}

impl DigestSender {
    /// Takes in what a daemon wants to hear of; an empty list ends the subscription.
    pub fn on_subscription(&mut self, now: Timestamp, from: &DaemonId, endpoints: &[EndpointId]) {
        if endpoints.is_empty() {
            self.subscribers.remove(from);
            return;
        }
        let subscriber = self.subscribers.entry(from.clone()).or_default();
        subscriber.wants = endpoints.iter().cloned().collect();
        subscriber.heard = now;
        let wants = &subscriber.wants;
        subscriber
            .told
            .retain(|endpoint, _| wants.contains(endpoint));
    }

    /// Forgets a daemon that is gone.
    pub fn on_gone(&mut self, daemon: &DaemonId) {
        self.subscribers.remove(daemon);
    }

    /// Takes in a load report of a watched endpoint; a late one changes nothing.
    pub fn on_report(&mut self, report: &LoadReport) {
        let newer = Latest {
            sequence: report.sequence,
            load: QuantisedLoad::of(report),
        };
        match self.latest.get_mut(&report.endpoint) {
            Some(latest) if latest.sequence >= report.sequence => {}
            Some(latest) => *latest = newer,
            None => {
                self.latest.insert(report.endpoint.clone(), newer);
            }
        }
    }

    /// Forgets an endpoint that this daemon no longer watches or that restarted.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.latest.remove(endpoint);
    }

    /// Returns the digests to send now: those waiting longest first, within the byte rate.
    pub fn due(&mut self, now: Timestamp) -> Vec<LoadMessage> {
        self.refill(now);
        self.subscribers
            .retain(|_, subscriber| now.since(subscriber.heard) < SUBSCRIPTION_LIFE);
        let mut order: Vec<(Option<Timestamp>, DaemonId)> = self
            .subscribers
            .iter()
            .filter(|(_, s)| s.sent.is_none_or(|at| now.since(at) >= MIN_SEND_PERIOD))
            .map(|(id, subscriber)| (subscriber.sent, id.clone()))
            .collect();
        order.sort();
        let mut messages = Vec::new();
        for (_, to) in order {
            let Some(digest) = self.digest_for(now, &to) else {
                continue;
            };
            let cost = digest.max_bytes();
            if self.allowance < cost * MICRO {
                break;
            }
            self.allowance -= cost * MICRO;
            self.bytes_sent += cost;
            self.note_told(now, &to, &digest);
            messages.push(LoadMessage { to, digest });
        }
        messages
    }

    /// Returns the bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled).as_micros() as u64;
        let gained = gained.saturating_mul(DIGEST_BYTES_PER_SECOND);
        self.allowance = self
            .allowance
            .saturating_add(gained)
            .min(BURST_BYTES * MICRO);
        self.refilled = now;
    }

    fn digest_for(&self, now: Timestamp, to: &DaemonId) -> Option<LoadDigest> {
        let subscriber = self.subscribers.get(to)?;
        let words: Vec<LoadWord> = subscriber
            .wants
            .iter()
            .filter_map(|endpoint| {
                let latest = self.latest.get(endpoint)?;
                let is_known = subscriber.told.get(endpoint).is_some_and(|told| {
                    told.load == latest.load && now.since(told.at) < REFRESH_PERIOD
                });
                (!is_known).then(|| LoadWord {
                    endpoint: EndpointTag::of(endpoint),
                    sequence: latest.sequence as u8,
                    load: latest.load,
                })
            })
            .collect();
        (!words.is_empty()).then_some(LoadDigest { words })
    }

    fn note_told(&mut self, now: Timestamp, to: &DaemonId, digest: &LoadDigest) {
        let Some(subscriber) = self.subscribers.get_mut(to) else {
            return;
        };
        subscriber.sent = Some(now);
        for endpoint in &subscriber.wants {
            let tag = EndpointTag::of(endpoint);
            let word = digest.words.iter().find(|word| word.endpoint == tag);
            if let Some(word) = word {
                let told = Told {
                    load: word.load,
                    at: now,
                };
                subscriber.told.insert(endpoint.clone(), told);
            }
        }
    }
}

/// Millionths in a whole.
const MICRO: u64 = 1_000_000;
