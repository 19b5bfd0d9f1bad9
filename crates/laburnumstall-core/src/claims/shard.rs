//! One shard of the claims: its log as last seen, the wishes on it and the call under way.

use std::time::Duration;

use crate::claims::{
    Claim, ClaimKey, ClaimLog, ClaimLogError, ClaimOutcome, ClaimState, MAX_LOG_BYTES, ShardId,
};
use crate::domain;
use crate::ids::{DaemonId, Fingerprint, RequestId};
use crate::store::{StoreCall, StoreFailure, StoreOutcome, StoreReply, StoreVersion, StoredValue};
use crate::units::Timestamp;

/// First wait after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

domain! {
    /// What a daemon wants of a claim.
    #[derive(Eq)]
    pub enum ClaimAction {
        /// To hold it.
        Hold,
        /// To hold it in place of the given daemon, which the endpoint's check of keys makes safe.
        Seize(DaemonId),
        /// To let others have it; the request was not dispatched and never will be.
        Release,
    }

    /// A wish of this daemon on one claim.
    pub struct ClaimIntent {
        /// Name of the claim.
        pub key: ClaimKey,
        /// Request that the claim is for.
        pub request: RequestId,
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// When the claim can be forgotten.
        pub expires: Timestamp,
        /// When the wish is given up.
        pub deadline: Timestamp,
        /// What is action.
        #[serde(rename = "wanted")]
        pub action: ClaimAction,
        /// Whether the log was read since and nobody held the claim.
        pub was_free: bool,
    }
}

/// The log as last seen, with its version.
#[derive(Debug, Clone)]
struct Seen {
    version: Option<StoreVersion>,
    log: ClaimLog,
}

/// The call under way.
#[derive(Debug, Clone)]
enum UnderWay {
    Read,
    Write(ClaimLog),
}

/// What the log says about a wish.
#[derive(Debug, PartialEq)]
enum Verdict {
    /// The wish is fulfilled or cannot be.
    Settled(ClaimOutcome),
    /// The log has to be changed.
    Put(Claim),
}

/// State of one shard.
#[derive(Debug, Clone)]
pub(super) struct Shard {
    id: ShardId,
    seen: Option<Seen>,
    under_way: Option<UnderWay>,
    intents: Vec<ClaimIntent>,
    backoff: Duration,
    retry_at: Timestamp,
}

impl Shard {
    pub(super) fn new(id: ShardId) -> Self {
        Self {
            id,
            seen: None,
            under_way: None,
            intents: Vec::new(),
            backoff: FIRST_BACKOFF,
            retry_at: Timestamp::ZERO,
        }
    }

    pub(super) fn intents(&self) -> &[ClaimIntent] {
        &self.intents
    }

    /// Adds a wish; a later wish for the same request replaces an earlier one.
    pub(super) fn add(&mut self, intent: ClaimIntent) {
        self.intents.retain(|old| old.request != intent.request);
        self.intents.push(intent);
    }

    /// Turns wishes past their deadline into releases and tells that they were given up.
    ///
    /// A write that was sent may still put the claim into the log. The release that
    /// follows lets the caller send the request again.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<(ClaimIntent, ClaimOutcome)> {
        let mut given_up = Vec::new();
        self.intents.retain_mut(|intent| {
            if intent.deadline > now {
                return true;
            }
            if intent.action == ClaimAction::Release {
                return intent.expires > now;
            }
            let was_free = intent.was_free;
            given_up.push((intent.clone(), ClaimOutcome::TimedOut { was_free }));
            intent.action = ClaimAction::Release;
            true
        });
        given_up
    }

    /// Settles what the log already answers and starts the next call if one is needed.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        own: &DaemonId,
    ) -> (Vec<(ClaimIntent, ClaimOutcome)>, Option<StoreCall>) {
        if self.under_way.is_some() || self.intents.is_empty() || self.retry_at > now {
            return (Vec::new(), None);
        }
        let Some(seen) = &self.seen else {
            self.under_way = Some(UnderWay::Read);
            let key = self.id.store_key();
            return (Vec::new(), Some(StoreCall::Get { key }));
        };
        let mut log = seen.log.clone();
        let version = seen.version;
        log.compact(now);
        let mut settled = Vec::new();
        let mut is_changed = false;
        let mut size = log.encode().len();
        self.intents
            .retain_mut(|intent| match judge(&log, intent, own) {
                Verdict::Settled(outcome) if !is_changed => {
                    settled.push((intent.clone(), outcome));
                    false
                }
                Verdict::Settled(_) => true,
                Verdict::Put(claim) => {
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
        self.under_way = Some(UnderWay::Write(log));
        (settled, Some(call))
    }

    /// Takes in the outcome of the call under way.
    pub(super) fn on_store(&mut self, now: Timestamp, outcome: StoreOutcome) {
        let Some(under_way) = self.under_way.take() else {
            return;
        };
        match (under_way, outcome) {
            (UnderWay::Read, Ok(StoreReply::Value(value))) => self.see(now, value),
            (UnderWay::Write(log), Ok(StoreReply::Swapped { version })) => {
                self.seen = Some(Seen {
                    version: Some(version),
                    log,
                });
                self.backoff = FIRST_BACKOFF;
            }
            (UnderWay::Write(_), Ok(StoreReply::Conflict { current })) => self.see(now, current),
            (UnderWay::Write(_), Err(StoreFailure::Unknown)) => {
                // The write may have taken effect; the log is read back before anything else.
                self.seen = None;
                self.back_off(now);
            }
            _ => self.back_off(now),
        }
    }

    /// Forgets the log, so that the next step reads it anew, unless a call brings it anyway.
    pub(super) fn forget_unless_calling(&mut self) {
        if self.under_way.is_none() {
            self.seen = None;
        }
    }

    /// Returns when the shard has to be looked at again.
    pub(super) fn wake_at(&self) -> Timestamp {
        let deadlines = self.intents.iter().map(|intent| intent.deadline);
        let deadline = deadlines.min().unwrap_or(Timestamp::NEVER);
        match self.under_way {
            None if !self.intents.is_empty() => deadline.min(self.retry_at),
            _ => deadline,
        }
    }

    fn see(&mut self, now: Timestamp, value: Option<StoredValue>) {
        let seen = match value {
            Some(StoredValue {
                value: Some(buf),
                version,
                ..
            }) => ClaimLog::decode(&buf).map(|log| Seen {
                version: Some(version),
                log,
            }),
            _ => Ok(Seen {
                version: None,
                log: ClaimLog::default(),
            }),
        };
        match seen {
            Ok(seen) => {
                self.seen = Some(seen);
                self.backoff = FIRST_BACKOFF;
            }
            // An unreadable log is never taken for an empty one: wishes wait for their deadline.
            Err(ClaimLogError) => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: Timestamp) {
        self.retry_at = now.after(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Tells what the log says about a wish.
fn judge(log: &ClaimLog, intent: &ClaimIntent, own: &DaemonId) -> Verdict {
    let standing = log.find(intent.key);
    if intent.action == ClaimAction::Release {
        return judge_release(standing, intent, own);
    }
    let Some(standing) = standing else {
        return Verdict::Put(held(intent, own));
    };
    if standing.fingerprint != intent.fingerprint {
        return Verdict::Settled(ClaimOutcome::OtherBody);
    }
    let is_own = standing.holder == *own && standing.request == intent.request;
    match (&standing.state, &intent.action) {
        (ClaimState::Held, action) if is_own => {
            let is_seized = matches!(action, ClaimAction::Seize(_));
            Verdict::Settled(ClaimOutcome::Granted { is_seized })
        }
        (ClaimState::Held, ClaimAction::Seize(from)) if standing.holder == *from => {
            Verdict::Put(held(intent, own))
        }
        (ClaimState::Held, _) => Verdict::Settled(ClaimOutcome::Taken(standing.clone())),
        (ClaimState::Released, _) => Verdict::Put(held(intent, own)),
    }
}

fn judge_release(standing: Option<&Claim>, intent: &ClaimIntent, own: &DaemonId) -> Verdict {
    let released = Claim {
        state: ClaimState::Released,
        ..held(intent, own)
    };
    match standing {
        // A write whose reply was lost may still arrive. Putting the released claim into the
        // log changes its version, so that the late write conflicts.
        None => Verdict::Put(released),
        Some(claim) if *claim == held(intent, own) => Verdict::Put(released),
        Some(_) => Verdict::Settled(ClaimOutcome::Released),
    }
}

fn held(intent: &ClaimIntent, own: &DaemonId) -> Claim {
    Claim {
        key: intent.key,
        holder: own.clone(),
        request: intent.request.clone(),
        fingerprint: intent.fingerprint,
        state: ClaimState::Held,
        expires: intent.expires,
    }
}
