//! State of an entry and the dispatch of its events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::adoption::Adoption;
use crate::budget::{CallBudget, DelayedCalls};
use crate::claims::{Claims, ShardId};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::entry::action::{Action, Output};
use crate::entry::attach::LocalCaller;
use crate::entry::calls::TaggedCall;
use crate::entry::configuration::ConfigurationSync;
use crate::entry::copies::StandbyCopy;
use crate::entry::deferred_attach::DeferredAttach;
use crate::entry::endpoint_table::EndpointTable;
use crate::entry::event::Event;
use crate::entry::locate::Lookup;
use crate::entry::owned::OwnedRequest;
use crate::entry::registry::Registry;
use crate::entry::stop::Stopping;
use crate::entry::watching::Watching;
use crate::ids::{
    CallId, CallerId, CustomerId, DaemonId, EndpointId, IdempotencyKey, RequestId, ServiceName,
};
use crate::limits::{FairQueue, Limits, RetryBudget};
use crate::membership::{Member, Membership};
use crate::message::{Message, RequestRecord};
use crate::quarantine::Quarantine;
use crate::resources::System;
use crate::routing::Router;
use crate::units::Timestamp;

domain! {
    /// Settings of an entry that do not change while it runs.
    pub struct EntrySettings {
        /// Registration record of this daemon.
        pub member: Member,
        /// Time for which callers may cache the directory's answer.
        pub directory_max_age: Duration,
    }
}

/// Idempotency key within its customer and service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestKey {
    pub(super) customer: CustomerId,
    pub(super) service: ServiceName,
    pub(super) key: IdempotencyKey,
}

impl RequestKey {
    pub(super) fn of(record: &RequestRecord) -> Option<Self> {
        let request = &record.request;
        Some(Self {
            customer: request.customer.clone(),
            service: request.service.clone(),
            key: request.key.clone()?,
        })
    }
}

/// Why a call to the key-value service was made, which selects the handler of its outcome.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum CallPurpose {
    Claims(ShardId),
    Registry,
    Members,
    ConfigurationHeadRead,
    ConfigurationHeadWatch,
    ConfigurationHeadSwap,
    ConfigurationRecordRead,
    ConfigurationRecordWrite,
    Deregister,
}

/// Control state of one entry daemon.
#[derive(Debug)]
pub struct Entry {
    pub(super) settings: EntrySettings,
    pub(super) own: DaemonId,
    pub(super) system: Arc<System>,
    pub(super) adoption: Adoption,
    pub(super) membership: Membership,
    pub(super) router: Router,
    pub(super) limits: Limits,
    pub(super) retry_budget: RetryBudget,
    /// Budget for offering requests to peers when a local limit is reached.
    pub(super) offer_budget: RetryBudget,
    pub(super) quarantine: Quarantine,
    pub(super) claims: Claims,
    pub(super) owned: BTreeMap<RequestId, OwnedRequest>,
    /// Requests that each tick processes: those that are unfinished or not fully copied.
    pub(super) active: BTreeSet<RequestId>,
    /// Finished, fully copied requests, ordered by when their retention ends.
    pub(super) settled: BTreeSet<(Timestamp, RequestId)>,
    pub(super) copies: BTreeMap<RequestId, StandbyCopy>,
    pub(super) keys: BTreeMap<RequestKey, RequestId>,
    pub(super) callers: BTreeMap<CallerId, LocalCaller>,
    pub(super) deferred_attaches: Vec<DeferredAttach>,
    /// Non-idempotent requests that this incarnation dispatched before a peer took them over,
    /// with their deadlines.
    pub(super) dispatched: BTreeMap<RequestId, Timestamp>,
    pub(super) lookups: BTreeMap<u64, Lookup>,
    pub(super) endpoint_table: EndpointTable,
    pub(super) watching: Watching,
    pub(super) leaving_endpoints: BTreeMap<EndpointId, Timestamp>,
    pub(super) registry: Registry,
    pub(super) configuration_sync: ConfigurationSync,
    pub(super) stopping: Option<Stopping>,
    pub(super) store_calls: BTreeMap<CallId, CallPurpose>,
    pub(super) next_store_call: u64,
    pub(super) budget: Option<CallBudget>,
    pub(super) delayed_calls: DelayedCalls<TaggedCall>,
    pub(super) is_store_reachable: bool,
    pub(super) next_sequence: u64,
    pub(super) next_lookup_token: u64,
    pub(super) heartbeat_at: Timestamp,
    pub(super) limits_share_at: Timestamp,
    pub(super) copies_check_at: Timestamp,
    /// Requests that wait for capacity on an endpoint.
    pub(super) queue: FairQueue<RequestId>,
    /// When the queue is processed next.
    pub(super) queue_check_at: Timestamp,
    pub(super) actions: Vec<Action>,
    pub(super) journal: Journal,
}

impl Entry {
    /// Creates an entry without a configuration and without peers.
    pub fn new(settings: EntrySettings) -> Self {
        let own = settings.member.id.clone();
        let zone = settings.member.zone.clone();
        Self {
            system: Arc::new(System::default()),
            adoption: Adoption::default(),
            membership: Membership::new(settings.member.clone()),
            router: Router::new(&own, zone),
            limits: Limits::new(&own),
            retry_budget: RetryBudget::default(),
            offer_budget: RetryBudget::default(),
            quarantine: Quarantine::new(&own),
            claims: Claims::new(own.clone()),
            owned: BTreeMap::new(),
            active: BTreeSet::new(),
            settled: BTreeSet::new(),
            copies: BTreeMap::new(),
            keys: BTreeMap::new(),
            callers: BTreeMap::new(),
            deferred_attaches: Vec::new(),
            dispatched: BTreeMap::new(),
            lookups: BTreeMap::new(),
            endpoint_table: EndpointTable::default(),
            watching: Watching::default(),
            leaving_endpoints: BTreeMap::new(),
            registry: Registry::default(),
            configuration_sync: ConfigurationSync::default(),
            stopping: None,
            store_calls: BTreeMap::new(),
            next_store_call: 0,
            budget: None,
            delayed_calls: DelayedCalls::default(),
            is_store_reachable: true,
            next_sequence: 0,
            next_lookup_token: 0,
            heartbeat_at: Timestamp::ZERO,
            limits_share_at: Timestamp::ZERO,
            copies_check_at: Timestamp::ZERO,
            queue: FairQueue::new(),
            queue_check_at: Timestamp::ZERO,
            actions: Vec::new(),
            journal: Journal::default(),
            own,
            settings,
        }
    }

    /// Handles an event and returns the resulting actions and decision records.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Output {
        let may_affect_members = may_affect_membership(&event);
        self.apply_event(now, event);
        self.process_claims(now);
        if may_affect_members {
            self.apply_membership_changes(now);
        }
        self.dispatch_queued(now);
        self.broadcast_suspicions();
        Output {
            actions: std::mem::take(&mut self.actions),
            decisions: self.journal.take(),
        }
    }

    fn apply_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Arrived { caller, request } => self.on_arrived(now, caller, request),
            Event::Attach {
                caller,
                id,
                customer,
                position,
            } => self.on_attach(now, caller, id, customer, position),
            Event::CallerGone { caller } => self.on_caller_gone(caller),
            Event::Peer { from, message } => self.on_message(now, from, *message),
            Event::Link { daemon, event } => self.on_link(now, &daemon, &event),
            Event::Store { call, outcome } => self.on_store(now, call, outcome),
            Event::Attempt { attempt, event } => self.on_attempt(now, &attempt, event),
            Event::Probed { endpoint, outcome } => self.on_probed(now, &endpoint, outcome),
            Event::Polled { endpoint, outcome } => self.on_polled(now, &endpoint, outcome),
            Event::Cache(report) => self.router.on_cache(now, &report),
            Event::Notice(notice) => self.on_notice(now, &notice),
            Event::Vms(vms) => self.on_vms(now, &vms),
            Event::Apply(apply) => self.on_apply(now, apply),
            Event::Drain { vm } => self.on_drain(now, &vm),
            Event::Stop { deadline } => self.on_stop(now, deadline),
        }
    }

    pub(super) fn send(&mut self, to: &DaemonId, message: Message) {
        let Some(member) = self.membership.member(to) else {
            return;
        };
        let action = Action::Send {
            to: to.clone(),
            address: member.peer_address,
            message: Box::new(message),
        };
        self.actions.push(action);
    }

    pub(super) fn send_to_all(&mut self, message: &Message) {
        let others: Vec<DaemonId> = self
            .membership
            .reachable()
            .map(|member| member.id.clone())
            .collect();
        for to in others {
            self.send(&to, message.clone());
        }
    }

    /// Creates a decision record that names the active configuration's revision.
    pub(super) fn decision(
        &self,
        now: Timestamp,
        kind: DecisionKind,
        choice: &str,
        reason: &str,
    ) -> Decision {
        Decision::new(now, kind, choice, reason).with("revision", self.adoption.revision())
    }
}

/// Returns whether an event can change the membership view.
fn may_affect_membership(event: &Event) -> bool {
    match event {
        Event::Tick
        | Event::Link { .. }
        | Event::Store { .. }
        | Event::Notice(_)
        | Event::Vms(_) => true,
        Event::Peer { message, .. } => {
            matches!(**message, Message::Heartbeat { .. } | Message::Goodbye)
        }
        _ => false,
    }
}
