//! Contact with the key-value service: how old the view of it may be.
//!
//! Keys can be withdrawn at any time, so a daemon without contact refuses requests with
//! keys before a withdrawal that it has not seen could be due (fail closed). The age is
//! counted from before the call that confirmed the view was sent.

use std::time::Duration;

use crate::units::Timestamp;

/// Parts in a hundred of the withdrawal bound after which keys are refused; the rest is
/// for the way to the endpoint and for clocks.
const TRUST_PERCENT: u32 = 70;

/// Shortest time without an answer that an endpoint's entry can lapse in: it takes some
/// missed heartbeats, and a single call that fails is none.
const OUTAGE: Duration = Duration::from_secs(1);

/// What a daemon knows of its contact with the key-value service.
#[derive(Debug, Clone)]
pub struct StoreFreshness {
    confirmed: Option<Timestamp>,
    /// First failure since the last answer.
    failing_since: Option<Timestamp>,
    /// When the last outage ended.
    outage_over: Option<Timestamp>,
    trust: Duration,
}

impl StoreFreshness {
    /// Creates a contact that has never been; `revocation` is the time within which a
    /// withdrawn key must be refused, if the daemon must fail closed.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self {
            confirmed: None,
            failing_since: None,
            outage_over: None,
            trust: trust(revocation),
        }
    }

    /// Changes the time within which a withdrawn key must be refused.
    pub fn set_revocation(&mut self, revocation: Option<Duration>) {
        self.trust = trust(revocation);
    }

    /// Takes in that a call sent at `sent` has shown the service's present state.
    pub fn on_confirmed(&mut self, now: Timestamp, sent: Timestamp) {
        let failing_since = self.failing_since.take();
        if failing_since.is_some_and(|since| now.since(since) >= OUTAGE) {
            self.outage_over = Some(now);
        }
        self.confirmed = Some(self.confirmed.map_or(sent, |known| known.max(sent)));
    }

    /// Takes in that another daemon has confirmed the state as of `as_of`; calls of this daemon
    /// may fail meanwhile.
    pub(super) fn on_peer_confirmed(&mut self, as_of: Timestamp) {
        self.confirmed = Some(self.confirmed.map_or(as_of, |known| known.max(as_of)));
    }

    /// Takes in that a call has failed.
    pub fn on_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns the age of the view; `None` if there is no view.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Tells whether keys may still be relied on.
    pub fn may_trust_keys(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.trust)
    }

    /// Tells whether the view is younger than `limit`.
    pub fn is_within(&self, now: Timestamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Tells whether an outage ended within the last `span`.
    pub fn had_outage(&self, now: Timestamp, span: Duration) -> bool {
        self.outage_over.is_some_and(|at| now.since(at) < span)
    }
}

fn trust(revocation: Option<Duration>) -> Duration {
    revocation.map_or(Duration::MAX, |limit| limit * TRUST_PERCENT / 100)
}
