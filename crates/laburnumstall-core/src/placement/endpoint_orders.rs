//! Orders to endpoints: what each should have loaded, one order at a time.
//!
//! An endpoint gets an order that differs from its last one only after every copy of that
//! one was answered or can no longer arrive. A new version is loaded beside the old one
//! before the old one is unloaded; where both do not fit, endpoints change one by one
//! while all others serve. Loads from the weight store are limited.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::cloud::{CallFailure, EndpointOrder, LoadOrder, OrderId, OrderReply};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::hash::digest64;
use crate::ids::{EndpointId, FencingToken, ServiceName, VmId};
use crate::placement::lease::MAX_ORDER_LIFETIME;
use crate::placement::observed::{Observed, ObservedEndpoint};
use crate::placement::plan::{Plan, PlanSlot};
use crate::resources::System;
use crate::units::Timestamp;

/// Time after which an accepted order whose loads are not seen is repeated.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Time after which an order that the endpoint refused is tried again.
pub const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Time within which an order is sent after it was given out, or not at all.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(1);

/// A slot of the plan with the VM that fills it, if one does.
#[derive(Debug, Clone)]
pub(super) struct FilledSlot<'a> {
    pub(super) slot: &'a PlanSlot,
    pub(super) vm: Option<VmId>,
}

/// What the holder may order now, and on which grounds.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderContext<'a> {
    pub(super) plan: &'a Plan,
    pub(super) system: &'a System,
    pub(super) slots: &'a [FilledSlot<'a>],
    pub(super) observed: &'a Observed,
    pub(super) token: FencingToken,
    /// Whether endpoints that ignore the token may be ordered.
    pub(super) unchecked: bool,
    /// Observations before this do not show all orders of earlier holders.
    pub(super) quiet_until: Timestamp,
    /// Most loads from the weight store at a time.
    pub(super) max_concurrent_loads: usize,
}

/// The last order to one endpoint.
#[derive(Debug, Clone)]
struct LastOrder {
    id: OrderId,
    loads: Vec<LoadOrder>,
    sent: Timestamp,
    answer: Option<OrderReply>,
    /// Copies sent and neither answered nor known as not sent.
    copies: u32,
}

impl LastOrder {
    fn is_refused(&self) -> bool {
        self.answer
            .is_some_and(|answer| answer != OrderReply::Accepted)
    }

    /// Returns from when on no copy can arrive any more.
    fn closed_at(&self) -> Timestamp {
        match self.copies {
            0 => self.sent,
            _ => self.sent.after(MAX_ORDER_LIFETIME),
        }
    }
}

/// The orders to all endpoints of a region.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointOrders {
    last: BTreeMap<EndpointId, LastOrder>,
    /// Endpoints that cannot hold two versions at a time.
    single: BTreeSet<EndpointId>,
}

impl EndpointOrders {
    /// Forgets the orders of an earlier holding.
    pub(super) fn reset(&mut self) {
        self.last.clear();
        self.single.clear();
    }

    /// Forgets endpoints that are gone.
    pub(super) fn keep(&mut self, observed: &Observed) {
        self.last
            .retain(|endpoint, _| observed.get(endpoint).is_some());
        self.single
            .retain(|endpoint| observed.get(endpoint).is_some());
    }

    /// Returns the orders to send now.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        cx: &OrderContext<'_>,
        journal: &mut Journal,
    ) -> Vec<EndpointOrder> {
        let mut loading = self.loading(now, cx.observed);
        let mut orders = Vec::new();
        for (slot, observed) in self.by_need(cx) {
            let Some(loads) = self.next_loads(slot, observed, cx) else {
                continue;
            };
            let brings_new = !observed.has_all(&loads);
            let is_full = loading.len() >= cx.max_concurrent_loads;
            if brings_new && is_full && !loading.contains(&observed.endpoint) {
                continue;
            }
            if !self.may_send(now, observed, &loads, cx) {
                continue;
            }
            if brings_new {
                loading.insert(observed.endpoint.clone());
            }
            orders.push(self.send(now, observed, loads, cx, journal));
        }
        orders
    }

    /// Tells whether an order is still the one to send: the last to its endpoint, and fresh.
    pub(super) fn is_current(&self, now: Timestamp, order: &EndpointOrder) -> bool {
        self.last
            .get(&order.endpoint)
            .is_some_and(|last| last.id == order.id && now.since(last.sent) < MAX_SEND_DELAY)
    }

    /// Takes in an endpoint's answer; returns whether it knows a higher token.
    pub(super) fn on_reply(
        &mut self,
        now: Timestamp,
        id: &OrderId,
        outcome: Result<OrderReply, CallFailure>,
        journal: &mut Journal,
    ) -> bool {
        let found = self.last.iter_mut().find(|(_, last)| last.id == *id);
        let Some((endpoint, last)) = found else {
            return false;
        };
        let reply = match outcome {
            Ok(reply) => reply,
            Err(CallFailure::NotSent) => {
                last.copies = last.copies.saturating_sub(1);
                return false;
            }
            Err(CallFailure::Unknown) => return false,
        };
        last.answer = Some(reply);
        last.copies = last.copies.saturating_sub(1);
        if reply == OrderReply::Refused && last.loads.len() > 1 {
            self.single.insert(endpoint.clone());
        }
        let choice = match reply {
            OrderReply::Accepted => "accepted",
            OrderReply::Fenced => "fenced",
            OrderReply::Refused => "refused",
        };
        let decision = Decision::new(now, DecisionKind::Placement, choice, "endpoint-answered");
        journal.record(decision.with("order", id).with("endpoint", endpoint));
        reply == OrderReply::Fenced
    }

    /// Returns the endpoints whose loads are still on their way from the weight store.
    fn loading(&self, now: Timestamp, observed: &Observed) -> BTreeSet<EndpointId> {
        let is_loading = |endpoint: &EndpointId, last: &LastOrder| {
            let seen = observed.get(endpoint);
            let is_missing = seen.is_none_or(|seen| !seen.has_all(&last.loads));
            is_missing && !last.is_refused() && now.since(last.sent) < LOAD_TIMEOUT
        };
        self.last
            .iter()
            .filter(|(endpoint, last)| is_loading(endpoint, last))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// Returns the endpoints of all slots, those of the pool with the smallest served
    /// share first.
    fn by_need<'a>(&self, cx: &OrderContext<'a>) -> Vec<(&'a PlanSlot, &'a ObservedEndpoint)> {
        let mut served: BTreeMap<&ServiceName, [usize; 2]> = BTreeMap::new();
        for filled in cx.slots {
            let services: Vec<&ServiceName> =
                filled.slot.loads.iter().map(|load| &load.service).collect();
            let counts = served.entry(&filled.slot.pool).or_default();
            counts[0] += usize::from(self.serves_all(filled, &services, cx.observed));
            counts[1] += 1;
        }
        let share = |slot: &PlanSlot| {
            let [serving, all] = served.get(&slot.pool).copied().unwrap_or([0, 1]);
            serving * 1_000 / all
        };
        let mut endpoints: Vec<(&PlanSlot, &ObservedEndpoint)> = Vec::new();
        for filled in cx.slots {
            let Some(vm) = &filled.vm else { continue };
            let of_vm = cx.observed.on_vm(vm);
            endpoints.extend(of_vm.map(|observed| (filled.slot, observed)));
        }
        endpoints.sort_by_key(|(slot, observed)| (share(slot), &observed.endpoint));
        endpoints
    }

    /// Returns what the endpoint should be told to have next, if that differs from what
    /// it has.
    fn next_loads(
        &self,
        slot: &PlanSlot,
        observed: &ObservedEndpoint,
        cx: &OrderContext<'_>,
    ) -> Option<Vec<LoadOrder>> {
        // What it was told to load counts as there, so that it is not dropped unseen.
        let told = self
            .last
            .get(&observed.endpoint)
            .filter(|last| !last.is_refused());
        let told = told.map_or(&[][..], |last| &last.loads);
        let unseen = told.iter().filter(|load| !observed.loads.contains(load));
        let extra: Vec<&LoadOrder> = observed
            .loads
            .iter()
            .chain(unseen)
            .filter(|load| !slot.loads.contains(load))
            .collect();
        match (observed.has_all(&slot.loads), extra.is_empty()) {
            (true, true) => None,
            (true, false) | (false, true) => Some(slot.loads.clone()),
            (false, false) if !self.single.contains(&observed.endpoint) => {
                let both = slot.loads.iter().chain(extra);
                Some(both.cloned().collect())
            }
            (false, false) => {
                let dropped: Vec<&ServiceName> = extra.iter().map(|load| &load.service).collect();
                let others_serve = cx
                    .slots
                    .iter()
                    .filter(|other| other.slot.pool == slot.pool)
                    .filter(|other| other.vm.as_ref() != Some(&observed.vm))
                    .all(|other| self.serves_all(other, &dropped, cx.observed));
                others_serve.then(|| slot.loads.clone())
            }
        }
    }

    /// Tells whether an endpoint of the slot serves all of `services`, and goes on to.
    fn serves_all(
        &self,
        filled: &FilledSlot<'_>,
        services: &[&ServiceName],
        observed: &Observed,
    ) -> bool {
        let Some(vm) = &filled.vm else { return false };
        observed.on_vm(vm).any(|endpoint| {
            let serves = services.iter().all(|service| endpoint.serves(service));
            serves && !self.is_changing(endpoint)
        })
    }

    /// Tells whether the endpoint was told to drop what it was seen to have, with the
    /// replacement not yet seen.
    fn is_changing(&self, observed: &ObservedEndpoint) -> bool {
        self.last.get(&observed.endpoint).is_some_and(|last| {
            let drops = observed.loads.iter().any(|load| !last.loads.contains(load));
            drops && !observed.has_all(&last.loads) && !last.is_refused()
        })
    }

    fn may_send(
        &self,
        now: Timestamp,
        observed: &ObservedEndpoint,
        loads: &[LoadOrder],
        cx: &OrderContext<'_>,
    ) -> bool {
        let mut services = loads.iter().chain(&observed.loads);
        let is_checked = services.all(|load| {
            let service = cx.system.service(&load.service);
            service.is_some_and(|service| service.checks_fencing)
        });
        let is_quiet = cx.unchecked && observed.taken_at >= cx.quiet_until;
        if !is_checked && !is_quiet {
            return false;
        }
        let Some(last) = self.last.get(&observed.endpoint) else {
            return true;
        };
        if last.loads != loads {
            let closed_at = last.closed_at();
            return now >= closed_at && observed.taken_at >= closed_at;
        }
        let patience = match last.answer {
            None | Some(OrderReply::Fenced) => MAX_ORDER_LIFETIME,
            Some(OrderReply::Refused) => REFUSED_RETRY_DELAY,
            Some(OrderReply::Accepted) => LOAD_TIMEOUT,
        };
        now.since(last.sent) >= patience
    }

    fn send(
        &mut self,
        now: Timestamp,
        observed: &ObservedEndpoint,
        loads: Vec<LoadOrder>,
        cx: &OrderContext<'_>,
        journal: &mut Journal,
    ) -> EndpointOrder {
        let id = order_id(cx, &observed.endpoint, &loads);
        let decision = Decision::new(now, DecisionKind::Placement, "order", "loads-differ")
            .with("order", &id)
            .with("endpoint", &observed.endpoint)
            .with("vm", &observed.vm)
            .with("has", observed.loads.len())
            .with("wants", loads.len())
            .with("token", cx.token)
            .with("plan", cx.plan.revision);
        journal.record(decision);
        let earlier = self.last.remove(&observed.endpoint);
        let open = earlier.filter(|last| now < last.closed_at());
        let last = LastOrder {
            id: id.clone(),
            loads: loads.clone(),
            sent: now,
            answer: None,
            copies: 1 + open.map_or(0, |last| last.copies),
        };
        self.last.insert(observed.endpoint.clone(), last);
        EndpointOrder {
            id,
            endpoint: observed.endpoint.clone(),
            fencing: cx.token,
            loads,
        }
    }
}

/// Returns the name of an order: equal for a repetition under the same plan and token.
fn order_id(cx: &OrderContext<'_>, endpoint: &EndpointId, loads: &[LoadOrder]) -> OrderId {
    let loads = serde_json::to_vec(loads).unwrap_or_default();
    let digest = digest64(&[endpoint.as_str().as_bytes(), &loads]);
    let text = format!("o-{}-{}-{digest:016x}", cx.plan.revision, cx.token);
    text.parse().expect("an order's name is short and visible")
}
