//! Registration of this daemon in the key-value service, and listing of its peers.

use std::time::Duration;

use crate::entry::Entry;
use crate::entry::state::CallPurpose;
use crate::membership::Member;
use crate::store::{
    LeaseId, StoreCall, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue,
};
use crate::units::Timestamp;

/// Lifetime of a registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);

/// Interval between renewals.
const RENEW_PERIOD: Duration = Duration::from_secs(3);

/// Interval between listings of the registry.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Key prefix of the registrations.
const REGISTRATION_PREFIX: &str = "daemons/";

/// Call that the registration is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Step {
    /// No call is in flight.
    #[default]
    Idle,
    /// Requesting a lease.
    Granting,
    /// Reading the key before it is written.
    Reading,
    /// Writing the key.
    Writing,
    /// Renewing the lease.
    Renewing,
}

/// State of the registration and of the listing.
#[derive(Debug, Clone, Default)]
pub(super) struct Registry {
    step: Step,
    lease: Option<LeaseId>,
    version: Option<StoreVersion>,
    written: Option<Member>,
    is_read: bool,
    next_at: Timestamp,
    list_at: Timestamp,
    is_listing: bool,
}

impl Registry {
    pub(super) fn lease(&self) -> Option<LeaseId> {
        self.lease
    }

    /// Returns the next call, if one is due.
    fn next_call(&mut self, now: Timestamp, own: &Member) -> Option<StoreCall> {
        if self.step != Step::Idle || self.next_at > now {
            return None;
        }
        let Some(lease) = self.lease else {
            self.step = Step::Granting;
            let ttl = REGISTRATION_TTL;
            return Some(StoreCall::Grant { ttl });
        };
        if !self.is_read {
            self.step = Step::Reading;
            let key = key_of(own);
            return Some(StoreCall::Get { key });
        }
        if self.written.as_ref() != Some(own) {
            self.step = Step::Writing;
            return Some(StoreCall::Swap {
                key: key_of(own),
                expected: self.version,
                value: Some(encode(own)),
                lease: Some(lease),
            });
        }
        self.step = Step::Renewing;
        Some(StoreCall::Renew { lease })
    }

    fn on_outcome(&mut self, now: Timestamp, own: &Member, outcome: &StoreOutcome) {
        let step = std::mem::take(&mut self.step);
        match (step, outcome) {
            (Step::Granting, Ok(StoreReply::Lease { lease, .. })) => {
                self.lease = Some(*lease);
                self.is_read = false;
                self.written = None;
            }
            (Step::Reading, Ok(StoreReply::Value(value))) => self.on_stored(own, value.as_ref()),
            (Step::Writing, Ok(StoreReply::Swapped { version })) => {
                self.version = Some(*version);
                self.written = Some(own.clone());
                self.next_at = now.after(RENEW_PERIOD);
            }
            (Step::Writing, Ok(StoreReply::Conflict { current })) => {
                self.on_stored(own, current.as_ref());
            }
            (Step::Renewing, Ok(StoreReply::Lease { .. })) => {
                self.next_at = now.after(RENEW_PERIOD);
            }
            (_, Ok(StoreReply::LeaseGone)) => self.lease = None,
            (Step::Writing, _) => {
                self.is_read = false;
                self.next_at = now.after(RETRY_DELAY);
            }
            _ => self.next_at = now.after(RETRY_DELAY),
        }
    }

    fn on_stored(&mut self, own: &Member, value: Option<&StoredValue>) {
        self.is_read = true;
        self.version = value.map(|value| value.version);
        let stored = value.and_then(decode);
        // A later incarnation's registration is not overwritten: this process is outdated.
        let is_superseded = stored.as_ref().is_some_and(|stored| {
            stored.id.vm == own.id.vm && stored.id.incarnation > own.id.incarnation
        });
        self.written = is_superseded.then(|| own.clone());
    }
}

impl Entry {
    pub(super) fn tick_registry(&mut self, now: Timestamp) {
        let own = self.membership.own().clone();
        if let Some(call) = self.registry.next_call(now, &own) {
            self.call_store(now, CallPurpose::Registry, call);
        }
        if !self.registry.is_listing && self.registry.list_at <= now {
            self.registry.is_listing = true;
            let prefix = prefix();
            self.call_store(now, CallPurpose::Members, StoreCall::List { prefix });
        }
    }

    pub(super) fn on_registered(&mut self, now: Timestamp, outcome: &StoreOutcome) {
        let own = self.membership.own().clone();
        self.registry.on_outcome(now, &own, outcome);
    }

    pub(super) fn on_members(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.registry.is_listing = false;
        self.registry.list_at = now.after(LIST_PERIOD);
        match outcome {
            Ok(StoreReply::Listing { values, .. }) => {
                let members: Vec<Member> = values.iter().filter_map(decode).collect();
                self.membership
                    .on_registry(now, &members, &mut self.journal);
            }
            _ => self.membership.on_registry_unreadable(now),
        }
    }

    /// Updates the registration on the next tick, for example when this daemon starts to leave.
    pub(super) fn register_soon(&mut self) {
        self.registry.next_at = Timestamp::ZERO;
    }
}

fn prefix() -> StoreKey {
    REGISTRATION_PREFIX
        .parse()
        .expect("the prefix is a valid store key")
}

fn key_of(member: &Member) -> StoreKey {
    let text = format!("{REGISTRATION_PREFIX}{}", member.id.vm);
    text.parse().unwrap_or_else(|_| prefix())
}

fn encode(member: &Member) -> Vec<u8> {
    serde_json::to_vec(member).expect("a member can be encoded as JSON")
}

fn decode(value: &StoredValue) -> Option<Member> {
    serde_json::from_slice(value.value.as_ref()?).ok()
}
