//! The placement lease: elects one daemon of a region and issues it a fencing token.
//!
//! The holder key in the key-value store is bound to a lease; the daemon whose
//! compare-and-swap creates the key holds the lease. It then increments a counter by
//! compare-and-swap to get its token, so a later holder has a higher token. Each swap writes a
//! nonce that resolves a lost reply: the key is read back, and has the nonce if and only if
//! the swap took effect. The method follows Kleppmann, "How to do distributed locking" (2016).

use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{CallId, DaemonId, FencingToken, Region};
use crate::placement::records::{
    HolderRecord, StoreRequest, TokenRecord, next_token, token_record,
};
use crate::store::{
    HeldLease, LeaseId, StoreCall, StoreEra, StoreFailure, StoreKey, StoreOutcome, StoreReply,
    StoredValue,
};
use crate::units::Timestamp;

/// Time after which a lease that is not renewed expires.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Time before the expiry of the lease at which the holder stops using it.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(3);

/// Time between two polls of a lease that another daemon holds.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Time after which a call without a reply counts as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time from the check of the lease until an order arrives; its connection is
/// closed after that.
pub const MAX_ORDER_LIFETIME: Duration = Duration::from_secs(5);

/// Increment of the token after an endpoint reported a higher one, which means that the
/// key-value store was restored to an earlier state.
const FENCED_TOKEN_INCREMENT: u64 = 1 << 20;

/// Timing of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time after which a lease that is not renewed expires.
    pub ttl: Duration,
    /// Time before the expiry of the lease at which the holder stops using it.
    pub margin: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time between two polls of a lease that another daemon holds.
    pub poll: Duration,
    /// Time after which a call without a reply counts as lost.
    pub call_timeout: Duration,
    /// Maximum time that an order is in flight. A new holder waits for this and `ttl`
    /// before it orders an endpoint that ignores the token.
    pub max_order_lifetime: Duration,
    /// Whether an absent token proves that there was no earlier holder, because the
    /// key-value store is never restored to an earlier state.
    pub trusts_absence: bool,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: LEASE_TTL,
            margin: LEASE_MARGIN,
            renew: RENEW_PERIOD,
            poll: POLL_PERIOD,
            call_timeout: CALL_TIMEOUT,
            max_order_lifetime: MAX_ORDER_LIFETIME,
            trusts_absence: false,
        }
    }
}

/// Next step of the client; one call is in flight at a time.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    ReadHolder,
    Grant,
    WriteHolder,
    ReadToken,
    RaiseToken(Option<StoredValue>),
    Held,
    Renew,
    Revoke(LeaseId),
}

#[derive(Debug, Clone)]
struct PendingCall {
    id: CallId,
    sent: Timestamp,
}

/// One daemon's client of the lease of a region.
#[derive(Debug, Clone)]
pub struct LeaseClient {
    own: DaemonId,
    timing: LeaseTiming,
    holder_key: StoreKey,
    token_key: StoreKey,
    candidate: bool,
    step: Step,
    pending: Option<PendingCall>,
    due: Timestamp,
    next_call: u64,
    nonce: u64,
    lease: Option<HeldLease>,
    token: Option<FencingToken>,
    token_increment: u64,
    /// Era of the store.
    era: StoreEra,
    /// Time from which orders may be sent to endpoints that ignore the token.
    quiet_until: Timestamp,
    /// Time at which this daemon last lost the lease.
    lost_at: Option<Timestamp>,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the region's name is too long for a key.
    pub fn new(own: DaemonId, region: &Region) -> Result<Self, crate::ids::ParseIdError> {
        Self::with_timing(own, region, LeaseTiming::default())
    }

    /// Creates a client with a timing; it does not hold the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the region's name is too long for a key.
    pub fn with_timing(
        own: DaemonId,
        region: &Region,
        timing: LeaseTiming,
    ) -> Result<Self, crate::ids::ParseIdError> {
        let nonce = crate::hash::digest64(&[own.to_string().as_bytes()]);
        Ok(Self {
            own,
            timing,
            holder_key: format!("placement/{region}/holder").parse()?,
            token_key: format!("placement/{region}/token").parse()?,
            candidate: true,
            step: Step::ReadHolder,
            pending: None,
            due: Timestamp::ZERO,
            next_call: 0,
            nonce,
            lease: None,
            token: None,
            token_increment: 1,
            era: StoreEra::default(),
            quiet_until: Timestamp::NEVER,
            lost_at: None,
        })
    }

    /// Sets whether this daemon competes for the lease; a holder that no longer competes
    /// releases the lease.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Sets the era of the store. In a new one the lease and the token may be given out again.
    pub fn set_era(&mut self, now: Timestamp, era: StoreEra, journal: &mut Journal) {
        if std::mem::replace(&mut self.era, era) == era {
            return;
        }
        // An absent token no longer shows that there was no earlier holder.
        self.timing.trusts_absence &= era <= StoreEra(1);
        if self.lease.is_some() {
            journal.record(self.decision(now, "lost", "store-restored"));
        }
        if self.token.is_some() {
            self.lost_at = Some(now);
        }
        self.pending = None;
        self.clear();
        self.set_step(Step::ReadHolder, now);
    }

    /// Returns the fencing token for orders while the lease is held.
    pub fn token(&self, now: Timestamp) -> Option<FencingToken> {
        self.token.filter(|_| self.may_order(now))
    }

    /// Returns whether an order may be sent now to an endpoint that checks the token.
    ///
    /// Must be checked immediately before each order is sent.
    pub fn may_order(&self, now: Timestamp) -> bool {
        let is_valid = self
            .lease
            .as_ref()
            .is_some_and(|held| now < held.valid_until);
        is_valid && self.token.is_some()
    }

    /// Returns whether an order may be sent now to a receiver that checks the token but
    /// does not allow holders to alternate within the lease TTL.
    pub fn may_order_after_cooldown(&self, now: Timestamp) -> bool {
        let is_cooled_down = self
            .lost_at
            .is_none_or(|at| now.since(at) >= self.timing.ttl);
        self.may_order(now) && is_cooled_down
    }

    /// Returns whether an order may be sent now to an endpoint that ignores the token: orders
    /// of earlier holders can no longer arrive.
    pub fn may_order_unfenced(&self, now: Timestamp) -> bool {
        self.may_order(now) && now >= self.quiet_until
    }

    /// Returns the time from which observations reflect all orders of earlier holders.
    pub fn quiet_until(&self) -> Timestamp {
        self.quiet_until
    }

    /// Handles an endpoint's report of a higher token by acquiring a much higher one.
    pub fn on_fenced(&mut self, now: Timestamp, journal: &mut Journal) {
        if !self.may_order(now) {
            return;
        }
        self.token = None;
        self.token_increment = FENCED_TOKEN_INCREMENT;
        self.quiet_until = self
            .quiet_until
            .max(now.after(self.timing.max_order_lifetime));
        if self.pending.is_none() {
            self.step = Step::ReadToken;
            self.due = now;
        }
        journal.record(self.decision(now, "raise-token", "fenced"));
    }

    /// Returns the calls to make now.
    pub fn tick(&mut self, now: Timestamp, journal: &mut Journal) -> Vec<StoreRequest> {
        self.drop_expired(now, journal);
        if let Some(pending) = &self.pending {
            if now.since(pending.sent) < self.timing.call_timeout {
                return Vec::new();
            }
            self.pending = None;
            self.on_failure(now, StoreFailure::Unknown, journal);
        }
        if !self.candidate && self.lease.is_some() {
            self.give_up(now, "not-a-candidate", journal);
        }
        if now < self.due {
            return Vec::new();
        }
        if self.step == Step::Held {
            self.step = match self.token {
                Some(_) => Step::Renew,
                None => Step::ReadToken,
            };
        }
        let Some(call) = self.call_for_step() else {
            return Vec::new();
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.pending = Some(PendingCall { id, sent: now });
        vec![StoreRequest { id, call }]
    }

    /// Handles the result of a call; ignores results of calls that already timed out.
    pub fn on_store(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: StoreOutcome,
        journal: &mut Journal,
    ) {
        if self.pending.as_ref().is_none_or(|pending| pending.id != id) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return;
        };
        match outcome {
            Ok(reply) => self.on_reply(now, pending.sent, reply, journal),
            Err(failure) => self.on_failure(now, failure, journal),
        }
        self.drop_expired(now, journal);
    }

    /// Gives up the lease; returns the call that revokes it.
    pub fn close(mut self) -> Option<StoreRequest> {
        let held = self.lease.take()?;
        Some(StoreRequest {
            id: CallId(self.next_call + 1),
            call: StoreCall::Revoke { lease: held.lease },
        })
    }

    fn call_for_step(&mut self) -> Option<StoreCall> {
        let lease = self.lease.as_ref().map(|held| held.lease);
        match &self.step {
            Step::ReadHolder => self.candidate.then(|| StoreCall::Get {
                key: self.holder_key.clone(),
            }),
            Step::Grant => Some(StoreCall::Grant {
                ttl: self.timing.ttl,
            }),
            Step::WriteHolder => {
                let record = HolderRecord {
                    holder: self.own.clone(),
                    nonce: self.nonce,
                };
                Some(StoreCall::Swap {
                    key: self.holder_key.clone(),
                    expected: None,
                    value: serde_json::to_vec(&record).ok(),
                    lease,
                })
            }
            Step::ReadToken => Some(StoreCall::Get {
                key: self.token_key.clone(),
            }),
            Step::RaiseToken(current) => {
                let record = TokenRecord {
                    token: next_token(current, self.era, self.token_increment),
                    nonce: self.nonce,
                };
                Some(StoreCall::Swap {
                    key: self.token_key.clone(),
                    expected: current.as_ref().map(|stored| stored.version),
                    value: serde_json::to_vec(&record).ok(),
                    lease: None,
                })
            }
            Step::Renew => lease.map(|lease| StoreCall::Renew { lease }),
            Step::Revoke(lease) => Some(StoreCall::Revoke { lease: *lease }),
            Step::Held => None,
        }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        reply: StoreReply,
        journal: &mut Journal,
    ) {
        match (self.step.clone(), reply) {
            (Step::ReadHolder, StoreReply::Value(None)) => self.set_step(Step::Grant, now),
            (Step::ReadHolder, StoreReply::Value(Some(stored))) if stored.value.is_none() => {
                self.set_step(Step::Grant, now);
            }
            (Step::ReadHolder, StoreReply::Value(_)) => {
                self.set_step(Step::ReadHolder, now.after(self.timing.poll))
            }
            (Step::Grant, StoreReply::Lease { lease, ttl }) => {
                self.nonce = crate::hash::rendezvous_weight(self.nonce, lease.get());
                self.set_lease(sent, lease, ttl);
                self.set_step(Step::WriteHolder, now);
            }
            (Step::WriteHolder, StoreReply::Swapped { .. }) => self.on_acquired(now, journal),
            (Step::WriteHolder, StoreReply::Conflict { current }) => {
                match self.is_own_holder(&current) {
                    true => self.on_acquired(now, journal),
                    false => self.give_up(now, "taken-by-another", journal),
                }
            }
            (Step::ReadToken, StoreReply::Value(current)) => self.on_token(now, current, journal),
            (Step::RaiseToken(before), StoreReply::Swapped { .. }) => {
                if before.is_none() && self.timing.trusts_absence {
                    // There was no token before, so no order of an earlier holder is in flight.
                    self.quiet_until = now;
                }
                let token = next_token(&before, self.era, self.token_increment);
                self.on_token_raised(now, token, journal);
            }
            (Step::RaiseToken(_), StoreReply::Conflict { current }) => {
                self.on_token(now, current, journal);
            }
            (Step::Renew, StoreReply::Lease { lease, ttl }) => {
                self.set_lease(sent, lease, ttl);
                let due = match self.token {
                    Some(_) => sent.after(self.timing.renew),
                    None => now,
                };
                self.set_step(Step::Held, due);
            }
            (Step::Revoke(_), _) => self.set_step(Step::ReadHolder, now.after(self.timing.poll)),
            (_, StoreReply::LeaseGone) => self.give_up(now, "lease-gone", journal),
            _ => self.give_up(now, "unexpected-reply", journal),
        }
    }

    /// Handles a failed call: retries the step, or reads back whether it took effect.
    fn on_failure(&mut self, now: Timestamp, failure: StoreFailure, journal: &mut Journal) {
        let retry_at = now.after(self.timing.call_timeout / 2);
        let step = match (&self.step, failure) {
            // A granted lease whose ID is unknown expires on its own.
            (Step::Grant, _) => Step::ReadHolder,
            // The swap is retried; a conflict then shows whether the first one took effect.
            (Step::WriteHolder, _) => Step::WriteHolder,
            (Step::RaiseToken(_), StoreFailure::Unknown) => Step::ReadToken,
            (step, _) => step.clone(),
        };
        journal.record(self.decision(now, "retry", failure_name(failure)));
        self.set_step(step, retry_at);
    }

    fn on_acquired(&mut self, now: Timestamp, journal: &mut Journal) {
        self.quiet_until = now
            .after(self.timing.ttl)
            .after(self.timing.max_order_lifetime);
        journal.record(self.decision(now, "took", "absent"));
        self.set_step(Step::ReadToken, now);
    }

    /// Uses the current token if a swap under this lease wrote it; raises it otherwise.
    fn on_token(&mut self, now: Timestamp, current: Option<StoredValue>, journal: &mut Journal) {
        match token_record(&current) {
            Some(record) if record.nonce == self.nonce && self.token_increment == 1 => {
                self.on_token_raised(now, record.token, journal);
            }
            _ => self.set_step(Step::RaiseToken(current), now),
        }
    }

    fn on_token_raised(&mut self, now: Timestamp, token: FencingToken, journal: &mut Journal) {
        self.token = Some(token);
        self.token_increment = 1;
        self.set_step(Step::Renew, now);
        journal.record(self.decision(now, "held", "token-raised"));
    }

    fn is_own_holder(&self, current: &Option<StoredValue>) -> bool {
        let value = current.as_ref().and_then(|stored| stored.value.as_ref());
        let record = value.and_then(|value| serde_json::from_slice::<HolderRecord>(value).ok());
        record.is_some_and(|record| record.holder == self.own && record.nonce == self.nonce)
    }

    fn set_lease(&mut self, sent: Timestamp, lease: LeaseId, ttl: Duration) {
        self.lease = Some(HeldLease {
            lease,
            valid_until: sent.after(ttl.saturating_sub(self.timing.margin)),
        });
    }

    /// Drops an expired lease.
    fn drop_expired(&mut self, now: Timestamp, journal: &mut Journal) {
        let is_expired = |held: &HeldLease| now >= held.valid_until;
        if self.lease.as_ref().is_some_and(is_expired) {
            self.pending = None;
            self.give_up(now, "lapsed", journal);
        }
    }

    fn give_up(&mut self, now: Timestamp, reason: &'static str, journal: &mut Journal) {
        journal.record(self.decision(now, "lost", reason));
        let step = match &self.lease {
            Some(held) => Step::Revoke(held.lease),
            None => Step::ReadHolder,
        };
        if self.token.is_some() {
            self.lost_at = Some(now);
        }
        self.clear();
        self.set_step(step, now);
    }

    fn clear(&mut self) {
        self.lease = None;
        self.token = None;
        self.token_increment = 1;
        self.quiet_until = Timestamp::NEVER;
    }

    fn set_step(&mut self, step: Step, due: Timestamp) {
        self.step = step;
        self.due = due;
    }

    fn decision(&self, now: Timestamp, choice: &str, reason: &str) -> Decision {
        let valid_until = self.lease.as_ref().map_or(now, |held| held.valid_until);
        Decision::new(now, DecisionKind::Lease, choice, reason)
            .with("daemon", &self.own)
            .with("key", &self.holder_key)
            .with("token", self.token.unwrap_or_default())
            .with("valid_ms", valid_until.since(now).as_millis())
    }
}

fn failure_name(failure: StoreFailure) -> &'static str {
    match failure {
        StoreFailure::Unavailable => "store-unavailable",
        StoreFailure::Unknown => "reply-lost",
    }
}
