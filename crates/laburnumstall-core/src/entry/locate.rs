//! Finding the daemon that owns a request, by its name or by its idempotency key.
//!
//! The daemons that may know are the first owner and the first few of the ranking by
//! rendezvous hashing on the request's home. All are asked at once.

use std::sync::Arc;
use std::time::Duration;

use crate::claims::KeyTime;
use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::state::RequestKey;
use crate::error::{ErrorKind, Refusal};
use crate::hash::home_of_key;
use crate::ids::{CallerId, CustomerId, DaemonId, RequestId};
use crate::message::{CallerRef, LocateTarget, Located, Message, Position, RequestRecord};
use crate::request::Request;
use crate::units::Timestamp;

/// Daemons of the ranking that are asked.
const LOCATE_WIDTH: usize = 6;

/// Daemons of the ranking that are asked for an idempotency key.
const KEY_WIDTH: usize = 3;

/// Age of a key up to which its request, if there was one, is still kept by some daemon.
const KEPT_KEY_AGE: Duration = Duration::from_secs(100);

/// Time that an answer is waited for.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that a request whose owner was lost is looked for.
const SEARCH_TIME: Duration = Duration::from_secs(10);

/// What follows when the owner is found or known not to exist.
#[derive(Debug, Clone)]
enum Purpose {
    /// Attach a caller connected here.
    Attach {
        position: Option<Position>,
        missing: ErrorKind,
    },
    /// Accept the request unless it runs already.
    Accept { request: Arc<Request> },
}

/// A question to other daemons.
#[derive(Debug, Clone)]
pub(super) struct Lookup {
    from: CallerRef,
    customer: CustomerId,
    target: LocateTarget,
    purpose: Purpose,
    asked: Vec<DaemonId>,
    /// Daemons that do not have the request.
    denied: usize,
    best: Option<Located>,
    until: Timestamp,
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
    /// Looks for the request of a caller connected here.
    pub(super) fn locate_for_caller(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        target: LocateTarget,
        customer: CustomerId,
        position: Option<Position>,
        missing: ErrorKind,
    ) {
        let is_search = missing == ErrorKind::OwnerLost;
        let time = if is_search {
            SEARCH_TIME
        } else {
            LOCATE_TIMEOUT
        };
        let question = Lookup {
            from: self.local_ref(caller),
            customer,
            target,
            purpose: Purpose::Attach { position, missing },
            asked: Vec::new(),
            denied: 0,
            best: None,
            until: now,
            give_up_at: now.after(time),
        };
        self.ask(now, question);
    }

    /// Looks for a request that runs under the same key before one is accepted.
    pub(super) fn locate_key(&mut self, now: Timestamp, from: CallerRef, request: Arc<Request>) {
        let Some(key) = request.key.clone() else {
            return;
        };
        let question = Lookup {
            from,
            customer: request.customer.clone(),
            target: LocateTarget::Key {
                customer: request.customer.clone(),
                service: request.service.clone(),
                key,
            },
            purpose: Purpose::Accept { request },
            asked: Vec::new(),
            denied: 0,
            best: None,
            until: now,
            give_up_at: now.after(LOCATE_TIMEOUT),
        };
        self.ask(now, question);
    }

    fn ask(&mut self, now: Timestamp, mut question: Lookup) {
        self.next_token += 1;
        let token = self.next_token;
        question.asked = self.who_may_know(&question.target);
        question.until = now.after(LOCATE_TIMEOUT);
        question.best = None;
        let target = question.target.clone();
        let asked = question.asked.clone();
        let is_alone = asked.is_empty();
        self.questions.insert(token, question);
        for daemon in &asked {
            let target = target.clone();
            self.send(daemon, Message::Locate { token, target });
        }
        if is_alone {
            self.conclude(now, token);
        }
    }

    fn who_may_know(&self, target: &LocateTarget) -> Vec<DaemonId> {
        let (home, width) = match target {
            LocateTarget::Request(id) => (id.home, LOCATE_WIDTH),
            LocateTarget::Key {
                customer,
                service,
                key,
            } => (home_of_key(customer, service, key), KEY_WIDTH),
        };
        let mut daemons = self.membership.locate(home);
        let ranked = self.membership.rank(home);
        daemons.extend(ranked.iter().take(width).map(|member| member.id.clone()));
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
                let name = RequestKey {
                    customer: customer.clone(),
                    service: service.clone(),
                    key: key.clone(),
                };
                self.keys.get(&name).cloned()
            }
        };
        let found = id.and_then(|id| self.located(&id));
        self.send(from, Message::LocateAnswer { token, found });
    }

    fn located(&self, id: &RequestId) -> Option<Located> {
        let tell = |record: &RequestRecord, owner: &DaemonId| Located {
            request: id.clone(),
            owner: owner.clone(),
            epoch: record.epoch,
            fingerprint: record.request.fingerprint(),
        };
        if let Some(owned) = self.owned.get(id) {
            return Some(tell(&owned.record, &self.own));
        }
        let copy = self.copies.get(id)?;
        let is_held_here = copy.record.is_done();
        let owner = if is_held_here {
            &self.own
        } else {
            &copy.record.owner
        };
        Some(tell(&copy.record, owner))
    }

    pub(super) fn on_locate_answer(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        token: u64,
        found: Option<Located>,
    ) {
        let Some(question) = self.questions.get_mut(&token) else {
            return;
        };
        question.asked.retain(|daemon| daemon != from);
        if found.is_none() {
            question.denied += 1;
        }
        if let Some(found) = found {
            let is_better = question
                .best
                .as_ref()
                .is_none_or(|best| found.epoch > best.epoch || found.owner == *from);
            if is_better {
                question.best = Some(found);
            }
        }
        let is_answered_by_owner = question
            .best
            .as_ref()
            .is_some_and(|best| best.owner == *from);
        if question.asked.is_empty() || is_answered_by_owner {
            self.conclude(now, token);
        }
    }

    fn conclude(&mut self, now: Timestamp, token: u64) {
        let Some(mut question) = self.questions.remove(&token) else {
            return;
        };
        let is_here = match &question.target {
            LocateTarget::Request(id) => {
                let is_known = self.owned.contains_key(id) || self.copies.contains_key(id);
                is_known.then(|| id.clone())
            }
            LocateTarget::Key { .. } => None,
        };
        if let Some(id) = is_here
            && self.is_served_here(&id)
        {
            self.resolve_locally(now, question, &id);
            return;
        }
        if let Some(found) = question.best.take() {
            let is_owner_here = found.owner == self.own;
            if is_owner_here || self.is_reachable_peer(&found.owner) {
                self.resolve_found(now, question, found);
                return;
            }
            expect_take_over(now, &mut question);
        }
        self.resolve_missing(now, token, question);
    }

    fn is_served_here(&self, id: &RequestId) -> bool {
        let is_done_copy = self
            .copies
            .get(id)
            .is_some_and(|copy| copy.record.is_done());
        self.owned.contains_key(id) || is_done_copy
    }

    pub(super) fn resolve_locally(&mut self, now: Timestamp, question: Lookup, id: &RequestId) {
        let position = match question.purpose {
            Purpose::Attach { position, .. } => position,
            Purpose::Accept { .. } => None,
        };
        self.attach_caller(now, question.from, id.clone(), question.customer, position);
    }

    fn resolve_found(&mut self, now: Timestamp, question: Lookup, found: Located) {
        let position = match question.purpose {
            Purpose::Attach { position, .. } => position,
            Purpose::Accept { request } => {
                if found.fingerprint != request.fingerprint() {
                    let detail = format!("used for {}", found.request);
                    let refusal = Refusal::new(ErrorKind::KeyConflict, detail);
                    self.refuse(now, &question.from, &request, refusal);
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
        if question.from.daemon == self.own {
            let caller = question.from.caller;
            let id = found.request;
            self.attach_at_owner(now, caller, id, &found.owner, question.customer, position);
            return;
        }
        self.attach_caller(
            now,
            question.from,
            found.request,
            question.customer,
            position,
        );
    }

    fn resolve_missing(&mut self, now: Timestamp, token: u64, mut question: Lookup) {
        match &question.purpose {
            Purpose::Accept { request } => {
                let request = request.clone();
                let is_new_key = is_new_key(now, &request, &question);
                let from = question.from;
                let admitted = self.admit(now, from.clone(), request.clone(), is_new_key);
                if let Err(refusal) = admitted {
                    self.refuse_or_offer(now, &from, &request, refusal);
                }
            }
            Purpose::Attach { missing, .. } => {
                if *missing == ErrorKind::OwnerLost && now < question.give_up_at {
                    // The take-over may still be under way.
                    question.asked = Vec::new();
                    question.until = now.after(LOCATE_TIMEOUT);
                    self.questions.insert(token, question);
                    return;
                }
                let refusal = Refusal::new(*missing, "no entry knows the request");
                self.refuse_caller(now, &question.from, refusal);
            }
        }
    }

    /// Concludes questions whose answers are late, and asks again where it can help.
    pub(super) fn tick_lookups(&mut self, now: Timestamp) {
        let due: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, question)| question.until <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in due {
            let Some(question) = self.questions.get(&token) else {
                continue;
            };
            let is_pause = question.asked.is_empty() && question.best.is_none();
            if is_pause && now < question.give_up_at {
                if let Some(question) = self.questions.remove(&token) {
                    self.ask(now, question);
                }
            } else {
                self.conclude(now, token);
            }
        }
    }
}

/// Lets a caller wait on: somebody holds a copy of its request, and its owner is gone.
fn expect_take_over(now: Timestamp, question: &mut Lookup) {
    if let Purpose::Attach { missing, .. } = &mut question.purpose
        && *missing != ErrorKind::OwnerLost
    {
        *missing = ErrorKind::OwnerLost;
        question.give_up_at = now.after(SEARCH_TIME);
    }
}

/// Tells whether no request with the same key can have been accepted: the key is young,
/// and every daemon that would keep such a request has denied having one.
fn is_new_key(now: Timestamp, request: &Request, question: &Lookup) -> bool {
    let Some(key) = &request.key else {
        return true;
    };
    let is_young = KeyTime::check(now, key, KEPT_KEY_AGE).is_ok();
    is_young && question.asked.is_empty() && question.denied > 0
}
