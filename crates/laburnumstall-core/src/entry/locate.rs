//! Lookup of the daemon that owns a request, by request ID or idempotency key.
//!
//! The candidates are the first owner and the top of the ranking by rendezvous hashing on the
//! request's lookup hash. All are queried at once.

use std::sync::Arc;
use std::time::Duration;

use crate::claims::KeyTime;
use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::state::RequestKey;
use crate::error::{ErrorKind, Refusal};
use crate::hash::lookup_hash_of_key;
use crate::ids::{CallerId, CustomerId, DaemonId, RequestId};
use crate::message::{CallerRef, LocateTarget, Located, Message, Position, RequestRecord};
use crate::request::Request;
use crate::units::Timestamp;

/// Ranked daemons that are queried for a request ID.
const REQUEST_FANOUT: usize = 6;

/// Ranked daemons that are queried for an idempotency key.
const KEY_FANOUT: usize = 3;

/// Key age up to which some daemon still retains the key's request, if one was accepted.
const RETAINED_KEY_AGE: Duration = Duration::from_secs(100);

/// Time to wait for the answers to a query.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time to search for a request whose owner was lost.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason for a lookup, which selects how its result is handled.
#[derive(Debug, Clone)]
enum Purpose {
    /// Attach a caller connected to this daemon.
    Attach {
        position: Option<Position>,
        not_found: ErrorKind,
    },
    /// Accept the request unless one with the same key exists.
    Accept { request: Arc<Request> },
}

/// A lookup in progress, which queries other daemons.
#[derive(Debug, Clone)]
pub(super) struct Lookup {
    from: CallerRef,
    customer: CustomerId,
    target: LocateTarget,
    purpose: Purpose,
    /// Daemons that have not answered yet.
    unanswered: Vec<DaemonId>,
    /// Number of daemons that do not have the request.
    denied: usize,
    best: Option<Located>,
    /// When this round of queries ends.
    round_ends_at: Timestamp,
    give_up_at: Timestamp,
}

impl Lookup {
    pub(super) fn is_from_caller(&self, own: &DaemonId, caller: CallerId) -> bool {
        self.from.daemon == *own && self.from.caller == caller
    }

    pub(super) fn targets_request(&self, id: &RequestId) -> bool {
        matches!(&self.target, LocateTarget::Request(wanted) if wanted == id)
    }
}

impl Entry {
    /// Looks up the request of a caller connected to this daemon.
    pub(super) fn locate_for_caller(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        target: LocateTarget,
        customer: CustomerId,
        position: Option<Position>,
        not_found: ErrorKind,
    ) {
        let is_search = not_found == ErrorKind::OwnerLost;
        let timeout = if is_search {
            SEARCH_TIMEOUT
        } else {
            LOCATE_TIMEOUT
        };
        let lookup = Lookup {
            from: self.local_ref(caller),
            customer,
            target,
            purpose: Purpose::Attach {
                position,
                not_found,
            },
            unanswered: Vec::new(),
            denied: 0,
            best: None,
            round_ends_at: now,
            give_up_at: now.after(timeout),
        };
        self.query_candidates(now, lookup);
    }

    /// Looks up a request with the same key before a new one is accepted.
    pub(super) fn locate_key(&mut self, now: Timestamp, from: CallerRef, request: Arc<Request>) {
        let Some(key) = request.key.clone() else {
            return;
        };
        let lookup = Lookup {
            from,
            customer: request.customer.clone(),
            target: LocateTarget::Key {
                customer: request.customer.clone(),
                service: request.service.clone(),
                key,
            },
            purpose: Purpose::Accept { request },
            unanswered: Vec::new(),
            denied: 0,
            best: None,
            round_ends_at: now,
            give_up_at: now.after(LOCATE_TIMEOUT),
        };
        self.query_candidates(now, lookup);
    }

    fn query_candidates(&mut self, now: Timestamp, mut lookup: Lookup) {
        self.next_lookup_token += 1;
        let token = self.next_lookup_token;
        lookup.unanswered = self.lookup_candidates(&lookup.target);
        lookup.round_ends_at = now.after(LOCATE_TIMEOUT);
        lookup.best = None;
        let target = lookup.target.clone();
        let unanswered = lookup.unanswered.clone();
        let has_no_candidates = unanswered.is_empty();
        self.lookups.insert(token, lookup);
        for daemon in &unanswered {
            let target = target.clone();
            self.send(daemon, Message::Locate { token, target });
        }
        if has_no_candidates {
            self.conclude(now, token);
        }
    }

    fn lookup_candidates(&self, target: &LocateTarget) -> Vec<DaemonId> {
        let (lookup_hash, fanout) = match target {
            LocateTarget::Request(id) => (id.lookup_hash, REQUEST_FANOUT),
            LocateTarget::Key {
                customer,
                service,
                key,
            } => (lookup_hash_of_key(customer, service, key), KEY_FANOUT),
        };
        let mut daemons = self.membership.locate(lookup_hash);
        let ranked = self.membership.rank(lookup_hash);
        daemons.extend(ranked.iter().take(fanout).map(|member| member.id.clone()));
        if let LocateTarget::Request(id) = target
            && self.is_reachable_peer(&id.owner)
        {
            daemons.push(id.owner.clone());
        }
        daemons.sort();
        daemons.dedup();
        daemons.retain(|daemon| *daemon != self.own);
        daemons
    }

    pub(super) fn on_locate(&mut self, from: &DaemonId, token: u64, target: &LocateTarget) {
        let id = match target {
            LocateTarget::Request(id) => Some(id.clone()),
            LocateTarget::Key {
                customer,
                service,
                key,
            } => {
                let request_key = RequestKey {
                    customer: customer.clone(),
                    service: service.clone(),
                    key: key.clone(),
                };
                self.keys.get(&request_key).cloned()
            }
        };
        let found = id.and_then(|id| self.locate_locally(&id));
        self.send(from, Message::LocateAnswer { token, found });
    }

    fn locate_locally(&self, id: &RequestId) -> Option<Located> {
        let locate_record = |record: &RequestRecord, owner: &DaemonId| Located {
            request: id.clone(),
            owner: owner.clone(),
            epoch: record.epoch,
            fingerprint: record.request.fingerprint(),
        };
        if let Some(owned) = self.owned.get(id) {
            return Some(locate_record(&owned.record, &self.own));
        }
        let copy = self.copies.get(id)?;
        let is_finished = copy.record.is_done();
        let owner = if is_finished {
            &self.own
        } else {
            &copy.record.owner
        };
        Some(locate_record(&copy.record, owner))
    }

    pub(super) fn on_locate_answer(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        token: u64,
        found: Option<Located>,
    ) {
        let Some(lookup) = self.lookups.get_mut(&token) else {
            return;
        };
        lookup.unanswered.retain(|daemon| daemon != from);
        if found.is_none() {
            lookup.denied += 1;
        }
        if let Some(found) = found {
            let is_better = lookup
                .best
                .as_ref()
                .is_none_or(|best| found.epoch > best.epoch || found.owner == *from);
            if is_better {
                lookup.best = Some(found);
            }
        }
        let is_answered_by_owner = lookup.best.as_ref().is_some_and(|best| best.owner == *from);
        if lookup.unanswered.is_empty() || is_answered_by_owner {
            self.conclude(now, token);
        }
    }

    fn conclude(&mut self, now: Timestamp, token: u64) {
        let Some(mut lookup) = self.lookups.remove(&token) else {
            return;
        };
        let local_id = match &lookup.target {
            LocateTarget::Request(id) => {
                let has_record = self.owned.contains_key(id) || self.copies.contains_key(id);
                has_record.then(|| id.clone())
            }
            LocateTarget::Key { .. } => None,
        };
        if let Some(id) = local_id
            && self.can_serve_locally(&id)
        {
            self.resolve_locally(now, lookup, &id);
            return;
        }
        if let Some(found) = lookup.best.take() {
            let is_local_owner = found.owner == self.own;
            if is_local_owner || self.is_reachable_peer(&found.owner) {
                self.resolve_found(now, lookup, found);
                return;
            }
            wait_for_takeover(now, &mut lookup);
        }
        self.resolve_missing(now, token, lookup);
    }

    fn can_serve_locally(&self, id: &RequestId) -> bool {
        let is_done_copy = self
            .copies
            .get(id)
            .is_some_and(|copy| copy.record.is_done());
        self.owned.contains_key(id) || is_done_copy
    }

    pub(super) fn resolve_locally(&mut self, now: Timestamp, lookup: Lookup, id: &RequestId) {
        let position = match lookup.purpose {
            Purpose::Attach { position, .. } => position,
            Purpose::Accept { .. } => None,
        };
        self.attach_caller(now, lookup.from, id.clone(), lookup.customer, position);
    }

    fn resolve_found(&mut self, now: Timestamp, lookup: Lookup, found: Located) {
        let position = match lookup.purpose {
            Purpose::Attach { position, .. } => position,
            Purpose::Accept { request } => {
                if found.fingerprint != request.fingerprint() {
                    let detail = format!("used for {}", found.request);
                    let refusal = Refusal::new(ErrorKind::KeyConflict, detail);
                    self.refuse(now, &lookup.from, &request, refusal);
                    return;
                }
                let decision = self
                    .decision(now, DecisionKind::Admit, "joined", "same-key-elsewhere")
                    .with("request", &found.request)
                    .with("owner", &found.owner);
                self.journal.record(decision);
                None
            }
        };
        if lookup.from.daemon == self.own {
            let caller = lookup.from.caller;
            let id = found.request;
            self.attach_at_owner(now, caller, id, &found.owner, lookup.customer, position);
            return;
        }
        self.attach_caller(now, lookup.from, found.request, lookup.customer, position);
    }

    fn resolve_missing(&mut self, now: Timestamp, token: u64, mut lookup: Lookup) {
        match &lookup.purpose {
            Purpose::Accept { request } => {
                let request = request.clone();
                let is_new_key = is_new_key(now, &request, &lookup);
                let from = lookup.from;
                let admitted = self.admit(now, from.clone(), request.clone(), is_new_key);
                if let Err(refusal) = admitted {
                    self.refuse_or_offer(now, &from, &request, refusal);
                }
            }
            Purpose::Attach { not_found, .. } => {
                if *not_found == ErrorKind::OwnerLost && now < lookup.give_up_at {
                    // The takeover may still be in progress.
                    lookup.unanswered = Vec::new();
                    lookup.round_ends_at = now.after(LOCATE_TIMEOUT);
                    self.lookups.insert(token, lookup);
                    return;
                }
                let refusal = Refusal::new(*not_found, "no entry knows the request");
                self.refuse_caller(now, &lookup.from, refusal);
            }
        }
    }

    /// Concludes lookups whose answers are late, and retries those that may still succeed.
    pub(super) fn tick_lookups(&mut self, now: Timestamp) {
        let due: Vec<u64> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.round_ends_at <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in due {
            let Some(lookup) = self.lookups.get(&token) else {
                continue;
            };
            let is_between_rounds = lookup.unanswered.is_empty() && lookup.best.is_none();
            if is_between_rounds && now < lookup.give_up_at {
                if let Some(lookup) = self.lookups.remove(&token) {
                    self.query_candidates(now, lookup);
                }
            } else {
                self.conclude(now, token);
            }
        }
    }
}

/// Extends the lookup until a standby takes over: a copy of the request exists, but its owner
/// is lost.
fn wait_for_takeover(now: Timestamp, lookup: &mut Lookup) {
    if let Purpose::Attach { not_found, .. } = &mut lookup.purpose
        && *not_found != ErrorKind::OwnerLost
    {
        *not_found = ErrorKind::OwnerLost;
        lookup.give_up_at = now.after(SEARCH_TIMEOUT);
    }
}

/// Returns whether no request with the same key can have been accepted: the key is recent,
/// and every daemon that would retain such a request denied having one.
fn is_new_key(now: Timestamp, request: &Request, lookup: &Lookup) -> bool {
    let Some(key) = &request.key else {
        return true;
    };
    let is_recent = KeyTime::check(now, key, RETAINED_KEY_AGE).is_ok();
    is_recent && lookup.unanswered.is_empty() && lookup.denied > 0
}
