//! One shard of claims: the cached log, the unsettled intents and the call in flight.

use std::time::Duration;

use crate::claims::{
    Claim, ClaimKey, ClaimLog, ClaimLogError, ClaimOutcome, ClaimState, MAX_LOG_BYTES, ShardId,
};
use crate::domain;
use crate::ids::{DaemonId, Fingerprint, RequestId};
use crate::store::{StoreCall, StoreFailure, StoreOutcome, StoreReply, StoreVersion, StoredValue};
use crate::units::Timestamp;

/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

domain! {
    /// Requested change to a claim.
    #[derive(Eq)]
    pub enum ClaimAction {
        /// Acquire the claim.
        Hold,
        /// Acquire the claim from this holder; safe only if endpoints deduplicate by key.
        Seize(DaemonId),
        /// Release the claim: the request was not and will not be dispatched.
        Release,
    }

    /// A change to a claim that this daemon requests.
    pub struct ClaimIntent {
        /// Key of the claim.
        pub key: ClaimKey,
        /// Request that the claim is for.
        pub request: RequestId,
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// When the claim may be removed.
        pub expires: Timestamp,
        /// When the intent times out.
        pub deadline: Timestamp,
        /// Requested change.
        #[serde(rename = "wanted")]
        pub action: ClaimAction,
        /// Whether a read of the log since submission found no holder.
        pub was_free: bool,
    }
}

/// The log and its version at the last read or write.
#[derive(Debug, Clone)]
struct CachedLog {
    version: Option<StoreVersion>,
    log: ClaimLog,
}

/// A call in flight.
#[derive(Debug, Clone)]
enum InFlightCall {
    Read,
    Write(ClaimLog),
}

/// Result of evaluating an intent against the log.
#[derive(Debug, PartialEq)]
enum Evaluation {
    /// The intent has an outcome.
    Settled(ClaimOutcome),
    /// The claim has to be written to the log.
    Put(Claim),
}

/// State of one shard.
#[derive(Debug, Clone)]
pub(super) struct Shard {
    id: ShardId,
    cached: Option<CachedLog>,
    in_flight: Option<InFlightCall>,
    intents: Vec<ClaimIntent>,
    backoff: Duration,
    retry_at: Timestamp,
}

impl Shard {
    pub(super) fn new(id: ShardId) -> Self {
        Self {
            id,
            cached: None,
            in_flight: None,
            intents: Vec::new(),
            backoff: INITIAL_BACKOFF,
            retry_at: Timestamp::ZERO,
        }
    }

    pub(super) fn intents(&self) -> &[ClaimIntent] {
        &self.intents
    }

    /// Adds an intent, replacing an earlier one for the same request.
    pub(super) fn add(&mut self, intent: ClaimIntent) {
        self.intents.retain(|old| old.request != intent.request);
        self.intents.push(intent);
    }

    /// Turns intents past their deadline into releases, and returns those that timed out.
    ///
    /// A write in flight may still add the claim to the log; the subsequent release lets the
    /// caller retry the request.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<(ClaimIntent, ClaimOutcome)> {
        let mut timed_out = Vec::new();
        self.intents.retain_mut(|intent| {
            if intent.deadline > now {
                return true;
            }
            if intent.action == ClaimAction::Release {
                return intent.expires > now;
            }
            let was_free = intent.was_free;
            timed_out.push((intent.clone(), ClaimOutcome::TimedOut { was_free }));
            intent.action = ClaimAction::Release;
            true
        });
        timed_out
    }

    /// Settles intents from the cached log, and starts the next call if one is needed.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        own: &DaemonId,
    ) -> (Vec<(ClaimIntent, ClaimOutcome)>, Option<StoreCall>) {
        if self.in_flight.is_some() || self.intents.is_empty() || self.retry_at > now {
            return (Vec::new(), None);
        }
        let Some(cached) = &self.cached else {
            self.in_flight = Some(InFlightCall::Read);
            let key = self.id.store_key();
            return (Vec::new(), Some(StoreCall::Get { key }));
        };
        let mut log = cached.log.clone();
        let version = cached.version;
        log.compact(now);
        let mut settled = Vec::new();
        let mut is_changed = false;
        let mut size = log.encode().len();
        self.intents
            .retain_mut(|intent| match evaluate(&log, intent, own) {
                Evaluation::Settled(outcome) if !is_changed => {
                    settled.push((intent.clone(), outcome));
                    false
                }
                Evaluation::Settled(_) => true,
                Evaluation::Put(claim) => {
                    size += postcard::to_stdvec(&claim).map_or(MAX_LOG_BYTES, |buf| buf.len());
                    if size > MAX_LOG_BYTES && intent.action != ClaimAction::Release {
                        settled.push((intent.clone(), ClaimOutcome::LogFull));
                        return false;
                    }
                    intent.was_free = intent.action == ClaimAction::Hold;
                    log.put(claim);
                    is_changed = true;
                    true
                }
            });
        if !is_changed {
            return (settled, None);
        }
        let call = StoreCall::Swap {
            key: self.id.store_key(),
            expected: version,
            value: Some(log.encode()),
            lease: None,
        };
        self.in_flight = Some(InFlightCall::Write(log));
        (settled, Some(call))
    }

    /// Handles the outcome of the call in flight.
    pub(super) fn on_store(&mut self, now: Timestamp, outcome: StoreOutcome) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        match (in_flight, outcome) {
            (InFlightCall::Read, Ok(StoreReply::Value(value))) => self.on_read(now, value),
            (InFlightCall::Write(log), Ok(StoreReply::Swapped { version })) => {
                self.cached = Some(CachedLog {
                    version: Some(version),
                    log,
                });
                self.backoff = INITIAL_BACKOFF;
            }
            (InFlightCall::Write(_), Ok(StoreReply::Conflict { current })) => {
                self.on_read(now, current)
            }
            (InFlightCall::Write(_), Err(StoreFailure::Unknown)) => {
                // The write may have taken effect: read the log back first.
                self.cached = None;
                self.back_off(now);
            }
            _ => self.back_off(now),
        }
    }

    /// Discards the cached log so that the next step reads it, unless a call in flight will
    /// refresh it.
    pub(super) fn invalidate_unless_calling(&mut self) {
        if self.in_flight.is_none() {
            self.cached = None;
        }
    }

    /// Returns when the shard needs its next step.
    pub(super) fn wake_at(&self) -> Timestamp {
        let deadlines = self.intents.iter().map(|intent| intent.deadline);
        let deadline = deadlines.min().unwrap_or(Timestamp::NEVER);
        match self.in_flight {
            None if !self.intents.is_empty() => deadline.min(self.retry_at),
            _ => deadline,
        }
    }

    fn on_read(&mut self, now: Timestamp, value: Option<StoredValue>) {
        let cached = match value {
            Some(StoredValue {
                value: Some(buf),
                version,
                ..
            }) => ClaimLog::decode(&buf).map(|log| CachedLog {
                version: Some(version),
                log,
            }),
            _ => Ok(CachedLog {
                version: None,
                log: ClaimLog::default(),
            }),
        };
        match cached {
            Ok(cached) => {
                self.cached = Some(cached);
                self.backoff = INITIAL_BACKOFF;
            }
            // An unreadable log is not treated as empty: its intents wait until their deadline.
            Err(ClaimLogError) => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: Timestamp) {
        self.retry_at = now.after(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Evaluates an intent against the log.
fn evaluate(log: &ClaimLog, intent: &ClaimIntent, own: &DaemonId) -> Evaluation {
    let existing = log.find(intent.key);
    if intent.action == ClaimAction::Release {
        return evaluate_release(existing, intent, own);
    }
    let Some(existing) = existing else {
        return Evaluation::Put(held_claim(intent, own));
    };
    if existing.fingerprint != intent.fingerprint {
        return Evaluation::Settled(ClaimOutcome::OtherBody);
    }
    let is_own = existing.holder == *own && existing.request == intent.request;
    match (&existing.state, &intent.action) {
        (ClaimState::Held, action) if is_own => {
            let is_seized = matches!(action, ClaimAction::Seize(_));
            Evaluation::Settled(ClaimOutcome::Granted { is_seized })
        }
        (ClaimState::Held, ClaimAction::Seize(from)) if existing.holder == *from => {
            Evaluation::Put(held_claim(intent, own))
        }
        (ClaimState::Held, _) => Evaluation::Settled(ClaimOutcome::Taken(existing.clone())),
        (ClaimState::Released, _) => Evaluation::Put(held_claim(intent, own)),
    }
}

fn evaluate_release(existing: Option<&Claim>, intent: &ClaimIntent, own: &DaemonId) -> Evaluation {
    let released = Claim {
        state: ClaimState::Released,
        ..held_claim(intent, own)
    };
    match existing {
        // A write whose reply was lost may still arrive. Writing a released claim changes the
        // version of the log, so that the late write conflicts.
        None => Evaluation::Put(released),
        Some(claim) if *claim == held_claim(intent, own) => Evaluation::Put(released),
        Some(_) => Evaluation::Settled(ClaimOutcome::Released),
    }
}

fn held_claim(intent: &ClaimIntent, own: &DaemonId) -> Claim {
    Claim {
        key: intent.key,
        holder: own.clone(),
        request: intent.request.clone(),
        fingerprint: intent.fingerprint,
        state: ClaimState::Held,
        expires: intent.expires,
    }
}
