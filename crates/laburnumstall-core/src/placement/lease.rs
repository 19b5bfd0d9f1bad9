//! Who may give orders in a region: a lease in the key-value service, with a fencing token.
//!
//! The holder key is bound to a lease; whoever swaps it in from absent holds it. The
//! token is taken after that, from a counter that only swaps move, so a later holder has
//! a higher token. Each swap carries a nonce, by which a lost reply is resolved: the key
//! is read back, and holds the nonce exactly if the swap took effect. The method is that
//! of Kleppmann, "How to do distributed locking" (2016).

use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{CallId, DaemonId, FencingToken, Region};
use crate::placement::records::{HolderRecord, StoreRequest, TokenRecord, token_in, token_record};
use crate::store::{
    HeldLease, LeaseId, StoreCall, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoredValue,
};
use crate::units::Timestamp;

/// Time that the lease lives without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Time by which the holder stops before the service could end the lease.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(3);

/// Time between two looks at a lease that another daemon holds.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Time after which a call without a reply counts as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time from the check of the lease until an order has arrived or never will:
/// the connection of an order is closed after it.
pub const MAX_ORDER_LIFETIME: Duration = Duration::from_secs(5);

/// Step of the counter after an endpoint knew a higher token: the service was restored.
const TOKEN_JUMP: u64 = 1 << 20;

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time that the lease lives without renewal.
    pub ttl: Duration,
    /// Time by which the holder stops before the service could end the lease.
    pub margin: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time between two looks at a lease that another daemon holds.
    pub poll: Duration,
    /// Time after which a call without a reply counts as lost.
    pub call_timeout: Duration,
    /// Time for which a new holder gives no order to an endpoint that ignores the token,
    /// beside the lease's.
    pub max_order_lifetime: Duration,
    /// Whether an absent token proves that there never was a holder: the service is never
    /// restored to an earlier state.
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

/// What the holder does next; one call is under way at a time.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Look,
    Grant,
    Take,
    ReadToken,
    RaiseToken(Option<StoredValue>),
    Held,
    Renew,
    Revoke(LeaseId),
}

#[derive(Debug, Clone)]
struct Pending {
    id: CallId,
    sent: Timestamp,
}

/// One daemon's part in the lease of a region.
#[derive(Debug, Clone)]
pub struct LeaseClient {
    own: DaemonId,
    timing: LeaseTiming,
    holder_key: StoreKey,
    token_key: StoreKey,
    candidate: bool,
    step: Step,
    pending: Option<Pending>,
    due: Timestamp,
    next_call: u64,
    nonce: u64,
    lease: Option<HeldLease>,
    token: Option<FencingToken>,
    jump: u64,
    /// When orders to endpoints that ignore the token may begin.
    quiet_until: Timestamp,
    /// When this daemon last stopped holding the lease.
    lost_at: Option<Timestamp>,
}

impl LeaseClient {
    /// Starts without the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the region's name is too long for a key.
    pub fn new(own: DaemonId, region: &Region) -> Result<Self, crate::ids::ParseIdError> {
        Self::with_timing(own, region, LeaseTiming::default())
    }

    /// Starts without the lease, with times of its own.
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
            step: Step::Look,
            pending: None,
            due: Timestamp::ZERO,
            next_call: 0,
            nonce,
            lease: None,
            token: None,
            jump: 1,
            quiet_until: Timestamp::NEVER,
            lost_at: None,
        })
    }

    /// Sets whether this daemon tries for the lease; one that is leaving does
    /// not, and gives it up.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Returns the token of orders, while the lease is held.
    pub fn token(&self, now: Timestamp) -> Option<FencingToken> {
        self.token.filter(|_| self.may_order(now))
    }

    /// Tells whether an order may go out now to an endpoint that checks the token.
    ///
    /// It is asked right before each order.
    pub fn may_order(&self, now: Timestamp) -> bool {
        let is_valid = self
            .lease
            .as_ref()
            .is_some_and(|held| now < held.valid_until);
        is_valid && self.token.is_some()
    }

    /// Tells whether an order may go out now to a receiver that checks the token and for
    /// which holders must not alternate within the lease's time.
    pub fn may_order_after_cooldown(&self, now: Timestamp) -> bool {
        let is_in_turn = self
            .lost_at
            .is_none_or(|at| now.since(at) >= self.timing.ttl);
        self.may_order(now) && is_in_turn
    }

    /// Tells whether an order may go out now to an endpoint that ignores the token: every
    /// order of an earlier holder has arrived by then, or never will.
    pub fn may_order_unfenced(&self, now: Timestamp) -> bool {
        self.may_order(now) && now >= self.quiet_until
    }

    /// Returns the time from which on an observation shows all of earlier holders' orders.
    pub fn quiet_until(&self) -> Timestamp {
        self.quiet_until
    }

    /// Takes in that an endpoint knows a higher token: a new, much higher one is taken.
    pub fn on_fenced(&mut self, now: Timestamp, journal: &mut Journal) {
        if !self.may_order(now) {
            return;
        }
        self.token = None;
        self.jump = TOKEN_JUMP;
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
        self.drop_lapsed(now, journal);
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
        let Some(call) = self.next() else {
            return Vec::new();
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.pending = Some(Pending { id, sent: now });
        vec![StoreRequest { id, call }]
    }

    /// Takes in the result of a call; one that comes too late changes nothing.
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
        self.drop_lapsed(now, journal);
    }

    /// Gives the lease up; returns the call that ends it at once.
    pub fn close(mut self) -> Option<StoreRequest> {
        let held = self.lease.take()?;
        Some(StoreRequest {
            id: CallId(self.next_call + 1),
            call: StoreCall::Revoke { lease: held.lease },
        })
    }

    fn next(&mut self) -> Option<StoreCall> {
        let lease = self.lease.as_ref().map(|held| held.lease);
        match &self.step {
            Step::Look => self.candidate.then(|| StoreCall::Get {
                key: self.holder_key.clone(),
            }),
            Step::Grant => Some(StoreCall::Grant {
                ttl: self.timing.ttl,
            }),
            Step::Take => {
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
                    token: FencingToken(token_in(current).0.saturating_add(self.jump)),
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
            (Step::Look, StoreReply::Value(None)) => self.go(Step::Grant, now),
            (Step::Look, StoreReply::Value(Some(stored))) if stored.value.is_none() => {
                self.go(Step::Grant, now);
            }
            (Step::Look, StoreReply::Value(_)) => self.go(Step::Look, now.after(self.timing.poll)),
            (Step::Grant, StoreReply::Lease { lease, ttl }) => {
                self.nonce = crate::hash::rendezvous_weight(self.nonce, lease.get());
                self.hold(sent, lease, ttl);
                self.go(Step::Take, now);
            }
            (Step::Take, StoreReply::Swapped { .. }) => self.on_taken(now, journal),
            (Step::Take, StoreReply::Conflict { current }) => match self.is_own_holder(&current) {
                true => self.on_taken(now, journal),
                false => self.give_up(now, "taken-by-another", journal),
            },
            (Step::ReadToken, StoreReply::Value(current)) => self.on_token(now, current, journal),
            (Step::RaiseToken(before), StoreReply::Swapped { .. }) => {
                if before.is_none() && self.timing.trusts_absence {
                    // There never was a token, so no earlier holder's order is under way.
                    self.quiet_until = now;
                }
                let token = FencingToken(token_in(&before).0.saturating_add(self.jump));
                self.on_raised(now, token, journal);
            }
            (Step::RaiseToken(_), StoreReply::Conflict { current }) => {
                self.on_token(now, current, journal);
            }
            (Step::Renew, StoreReply::Lease { lease, ttl }) => {
                self.hold(sent, lease, ttl);
                let due = match self.token {
                    Some(_) => sent.after(self.timing.renew),
                    None => now,
                };
                self.go(Step::Held, due);
            }
            (Step::Revoke(_), _) => self.go(Step::Look, now.after(self.timing.poll)),
            (_, StoreReply::LeaseGone) => self.give_up(now, "lease-gone", journal),
            _ => self.give_up(now, "unexpected-reply", journal),
        }
    }

    /// Goes on after a failed call: the same step again, or a reading back.
    fn on_failure(&mut self, now: Timestamp, failure: StoreFailure, journal: &mut Journal) {
        let later = now.after(self.timing.call_timeout / 2);
        let step = match (&self.step, failure) {
            // A granted lease of unknown name expires by itself.
            (Step::Grant, _) => Step::Look,
            // The swap is repeated: a conflict then shows whether the first took effect.
            (Step::Take, _) => Step::Take,
            (Step::RaiseToken(_), StoreFailure::Unknown) => Step::ReadToken,
            (step, _) => step.clone(),
        };
        journal.record(self.decision(now, "retry", failure_name(failure)));
        self.go(step, later);
    }

    fn on_taken(&mut self, now: Timestamp, journal: &mut Journal) {
        self.quiet_until = now
            .after(self.timing.ttl)
            .after(self.timing.max_order_lifetime);
        journal.record(self.decision(now, "took", "absent"));
        self.go(Step::ReadToken, now);
    }

    /// Takes the token read if a swap of this lease wrote it; raises it otherwise.
    fn on_token(&mut self, now: Timestamp, current: Option<StoredValue>, journal: &mut Journal) {
        match token_record(&current) {
            Some(record) if record.nonce == self.nonce && self.jump == 1 => {
                self.on_raised(now, record.token, journal);
            }
            _ => self.go(Step::RaiseToken(current), now),
        }
    }

    fn on_raised(&mut self, now: Timestamp, token: FencingToken, journal: &mut Journal) {
        self.token = Some(token);
        self.jump = 1;
        self.go(Step::Renew, now);
        journal.record(self.decision(now, "held", "token-raised"));
    }

    fn is_own_holder(&self, current: &Option<StoredValue>) -> bool {
        let value = current.as_ref().and_then(|stored| stored.value.as_ref());
        let record = value.and_then(|value| serde_json::from_slice::<HolderRecord>(value).ok());
        record.is_some_and(|record| record.holder == self.own && record.nonce == self.nonce)
    }

    fn hold(&mut self, sent: Timestamp, lease: LeaseId, ttl: Duration) {
        self.lease = Some(HeldLease {
            lease,
            valid_until: sent.after(ttl.saturating_sub(self.timing.margin)),
        });
    }

    /// Stops relying on a lease whose time is up.
    fn drop_lapsed(&mut self, now: Timestamp, journal: &mut Journal) {
        let is_lapsed = |held: &HeldLease| now >= held.valid_until;
        if self.lease.as_ref().is_some_and(is_lapsed) {
            self.pending = None;
            self.give_up(now, "lapsed", journal);
        }
    }

    fn give_up(&mut self, now: Timestamp, reason: &'static str, journal: &mut Journal) {
        journal.record(self.decision(now, "lost", reason));
        let step = match &self.lease {
            Some(held) => Step::Revoke(held.lease),
            None => Step::Look,
        };
        if self.token.is_some() {
            self.lost_at = Some(now);
        }
        self.forget();
        self.go(step, now);
    }

    fn forget(&mut self) {
        self.lease = None;
        self.token = None;
        self.jump = 1;
        self.quiet_until = Timestamp::NEVER;
    }

    fn go(&mut self, step: Step, due: Timestamp) {
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
