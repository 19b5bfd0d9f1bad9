//! Age of the view of the key-value store.
//!
//! Keys can be revoked at any time, so a daemon without contact to the store refuses requests
//! with keys before a revocation that it has not seen must take effect (fail closed). The age
//! of the view is measured from the time at which the confirming call was sent.

use std::time::Duration;

use crate::units::Timestamp;

/// Percentage of the revocation limit after which keys are refused; the remainder covers the
/// delay to the endpoint and clock errors.
const TRUST_PERCENT: u32 = 70;

/// Shortest outage in which an endpoint's entry can expire: expiry takes several missed
/// heartbeats, so a single failed call is no outage.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Freshness of a daemon's view of the key-value store.
#[derive(Debug, Clone)]
pub struct StoreFreshness {
    confirmed_at: Option<Timestamp>,
    /// First failure since the last successful call.
    failing_since: Option<Timestamp>,
    /// End of the last outage: when the call was sent that succeeded again.
    outage_ended_at: Option<Timestamp>,
    max_trusted_age: Duration,
}

impl StoreFreshness {
    /// Creates the state before the first contact. `revocation` is the time within which a
    /// revoked key must be refused, if the daemon must fail closed.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self {
            confirmed_at: None,
            failing_since: None,
            outage_ended_at: None,
            max_trusted_age: max_trusted_age(revocation),
        }
    }

    /// Changes the time within which a revoked key must be refused.
    pub fn set_revocation(&mut self, revocation: Option<Duration>) {
        self.max_trusted_age = max_trusted_age(revocation);
    }

    /// Records that a call sent at `sent` returned the store's current state.
    pub fn on_confirmed(&mut self, now: Timestamp, sent: Timestamp) {
        if self.is_outage(now) {
            self.outage_ended_at = Some(sent);
        }
        self.failing_since = None;
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Records that a peer confirmed the state as of `as_of`; this daemon's own calls may
    /// still fail. The store served the peer, so that no entry expired for want of it since.
    pub(super) fn on_peer_confirmed(&mut self, now: Timestamp, as_of: Timestamp) {
        match self.failing_since {
            Some(since) if since < as_of => self.on_confirmed(now, as_of),
            _ => self.confirmed_at = self.confirmed_at.max(Some(as_of)),
        }
    }

    /// Records that the store came back from a copy, which counts as the end of an outage.
    pub(super) fn on_restored(&mut self, now: Timestamp) {
        self.failing_since = None;
        self.outage_ended_at = Some(now);
    }

    /// Records a failed call.
    pub fn on_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns the age of the view; `None` before the first contact.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns whether keys may still be trusted.
    pub fn may_trust_keys(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.max_trusted_age)
    }

    /// Returns whether the view is younger than `limit`.
    pub fn is_within(&self, now: Timestamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Returns the end of the last outage; `None` during one.
    pub(super) fn outage_ended_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.outage_ended_at.filter(|_| !self.is_outage(now))
    }

    /// Returns whether there is an outage or one ended within the last `span`.
    pub fn had_outage(&self, now: Timestamp, span: Duration) -> bool {
        let has_ended = |at| now.since(at) < span;
        self.is_outage(now) || self.outage_ended_at.is_some_and(has_ended)
    }

    fn is_outage(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= MIN_OUTAGE)
    }
}

fn max_trusted_age(revocation: Option<Duration>) -> Duration {
    revocation.map_or(Duration::MAX, |limit| limit * TRUST_PERCENT / 100)
}
