//! Orders endpoints to load the models that the plan assigns to them, one order at a time per
//! endpoint.
//!
//! An endpoint gets a different order only after every copy of its last one was answered
//! or can no longer arrive. A new version is loaded beside the old one before the old one
//! is unloaded; where both do not fit, endpoints change one by one while all others serve.
//! The number of concurrent loads from the weight store is limited.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::cloud::{CallFailure, EndpointOrder, LoadOrder, OrderId, OrderReply};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::hash::digest64;
use crate::ids::{EndpointId, FencingToken, ServiceName, VmId};
use crate::placement::lease::MAX_ORDER_LIFETIME;
use crate::placement::observations::{Observations, ObservedEndpoint};
use crate::placement::plan::{Plan, PlanSlot};
use crate::resources::System;
use crate::units::Timestamp;

/// Time after which an accepted order is repeated if its loads were not observed.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Time after which an order that the endpoint refused is retried.
pub const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Maximum time from issuing an order to sending it; it is dropped after that.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(1);

/// A slot of the plan with the VM that fills it, if any.
#[derive(Debug, Clone)]
pub(super) struct FilledSlot<'a> {
    pub(super) slot: &'a PlanSlot,
    pub(super) vm: Option<VmId>,
}

/// State from which the lease holder derives its orders.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderContext<'a> {
    pub(super) plan: &'a Plan,
    pub(super) system: &'a System,
    pub(super) slots: &'a [FilledSlot<'a>],
    pub(super) observations: &'a Observations,
    pub(super) token: FencingToken,
    /// Whether orders may be sent to endpoints that ignore the fencing token.
    pub(super) unfenced: bool,
    /// Time before which observations may not reflect orders of earlier holders.
    pub(super) quiet_until: Timestamp,
    /// Maximum number of concurrent loads from the weight store.
    pub(super) max_concurrent_loads: usize,
}

/// The last order to one endpoint.
#[derive(Debug, Clone)]
struct LastOrder {
    id: OrderId,
    loads: Vec<LoadOrder>,
    sent: Timestamp,
    reply: Option<OrderReply>,
    /// Copies that were neither answered nor reported as not sent.
    copies: u32,
}

impl LastOrder {
    fn is_refused(&self) -> bool {
        self.reply
            .is_some_and(|reply| reply != OrderReply::Accepted)
    }

    /// Returns the time from which copies can no longer arrive.
    fn settled_at(&self) -> Timestamp {
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
    /// Endpoints that cannot hold two versions at the same time.
    single_version: BTreeSet<EndpointId>,
}

impl EndpointOrders {
    /// Discards the orders sent under an earlier lease.
    pub(super) fn reset(&mut self) {
        self.last.clear();
        self.single_version.clear();
    }

    /// Removes endpoints that are no longer observed.
    pub(super) fn retain_observed(&mut self, observations: &Observations) {
        self.last
            .retain(|endpoint, _| observations.get(endpoint).is_some());
        self.single_version
            .retain(|endpoint| observations.get(endpoint).is_some());
    }

    /// Returns the orders to send now, and records them as sent.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        cx: &OrderContext<'_>,
        journal: &mut Journal,
    ) -> Vec<EndpointOrder> {
        let mut loading = self.loading(now, cx.observations);
        let mut orders = Vec::new();
        for (slot, observed) in self.by_served_share(cx) {
            let Some(loads) = self.next_loads(slot, observed, cx) else {
                continue;
            };
            let adds_loads = !observed.has_all(&loads);
            let is_at_limit = loading.len() >= cx.max_concurrent_loads;
            if adds_loads && is_at_limit && !loading.contains(&observed.endpoint) {
                continue;
            }
            if !self.may_send(now, observed, &loads, cx) {
                continue;
            }
            if adds_loads {
                loading.insert(observed.endpoint.clone());
            }
            orders.push(self.issue(now, observed, loads, cx, journal));
        }
        orders
    }

    /// Returns whether an order is still the last one to its endpoint and may still be sent.
    pub(super) fn is_current(&self, now: Timestamp, order: &EndpointOrder) -> bool {
        self.last
            .get(&order.endpoint)
            .is_some_and(|last| last.id == order.id && now.since(last.sent) < MAX_SEND_DELAY)
    }

    /// Handles an endpoint's reply; returns whether the endpoint reported a higher token.
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
        last.reply = Some(reply);
        last.copies = last.copies.saturating_sub(1);
        if reply == OrderReply::Refused && last.loads.len() > 1 {
            self.single_version.insert(endpoint.clone());
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

    /// Returns the endpoints that are still loading from the weight store.
    fn loading(&self, now: Timestamp, observations: &Observations) -> BTreeSet<EndpointId> {
        let is_loading = |endpoint: &EndpointId, last: &LastOrder| {
            let observed = observations.get(endpoint);
            let is_missing = observed.is_none_or(|observed| !observed.has_all(&last.loads));
            is_missing && !last.is_refused() && now.since(last.sent) < LOAD_TIMEOUT
        };
        self.last
            .iter()
            .filter(|(endpoint, last)| is_loading(endpoint, last))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// Returns the endpoints of all slots; those of the pool with the smallest share of
    /// serving slots come first.
    fn by_served_share<'a>(
        &self,
        cx: &OrderContext<'a>,
    ) -> Vec<(&'a PlanSlot, &'a ObservedEndpoint)> {
        let mut served: BTreeMap<&ServiceName, [usize; 2]> = BTreeMap::new();
        for filled in cx.slots {
            let services: Vec<&ServiceName> =
                filled.slot.loads.iter().map(|load| &load.service).collect();
            let counts = served.entry(&filled.slot.pool).or_default();
            counts[0] += usize::from(self.serves_all(filled, &services, cx.observations));
            counts[1] += 1;
        }
        let served_permille = |slot: &PlanSlot| {
            let [serving, all] = served.get(&slot.pool).copied().unwrap_or([0, 1]);
            serving * 1_000 / all
        };
        let mut endpoints: Vec<(&PlanSlot, &ObservedEndpoint)> = Vec::new();
        for filled in cx.slots {
            let Some(vm) = &filled.vm else { continue };
            let on_vm = cx.observations.on_vm(vm);
            endpoints.extend(on_vm.map(|observed| (filled.slot, observed)));
        }
        endpoints.sort_by_key(|(slot, observed)| (served_permille(slot), &observed.endpoint));
        endpoints
    }

    /// Returns the loads to order next from the endpoint, if they differ from its current
    /// ones.
    fn next_loads(
        &self,
        slot: &PlanSlot,
        observed: &ObservedEndpoint,
        cx: &OrderContext<'_>,
    ) -> Option<Vec<LoadOrder>> {
        // Ordered loads count as loaded, so that they are not dropped before they are observed.
        let ordered = self
            .last
            .get(&observed.endpoint)
            .filter(|last| !last.is_refused());
        let ordered = ordered.map_or(&[][..], |last| &last.loads);
        let unobserved = ordered.iter().filter(|load| !observed.loads.contains(load));
        let extra: Vec<&LoadOrder> = observed
            .loads
            .iter()
            .chain(unobserved)
            .filter(|load| !slot.loads.contains(load))
            .collect();
        match (observed.has_all(&slot.loads), extra.is_empty()) {
            (true, true) => None,
            (true, false) | (false, true) => Some(slot.loads.clone()),
            (false, false) if !self.single_version.contains(&observed.endpoint) => {
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
                    .all(|other| self.serves_all(other, &dropped, cx.observations));
                others_serve.then(|| slot.loads.clone())
            }
        }
    }

    /// Returns whether an endpoint of the slot serves all of `services` and keeps doing so.
    fn serves_all(
        &self,
        filled: &FilledSlot<'_>,
        services: &[&ServiceName],
        observations: &Observations,
    ) -> bool {
        let Some(vm) = &filled.vm else { return false };
        observations.on_vm(vm).any(|endpoint| {
            let serves = services.iter().all(|service| endpoint.serves(service));
            serves && !self.is_replacing(endpoint)
        })
    }

    /// Returns whether the endpoint was ordered to drop an observed load and its
    /// replacement was not observed yet.
    fn is_replacing(&self, observed: &ObservedEndpoint) -> bool {
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
        let all_check_token = services.all(|load| {
            let service = cx.system.service(&load.service);
            service.is_some_and(|service| service.checks_fencing)
        });
        let is_past_quiet_period = cx.unfenced && observed.taken_at >= cx.quiet_until;
        if !all_check_token && !is_past_quiet_period {
            return false;
        }
        let Some(last) = self.last.get(&observed.endpoint) else {
            return true;
        };
        if last.loads != loads {
            let settled_at = last.settled_at();
            return now >= settled_at && observed.taken_at >= settled_at;
        }
        let retry_delay = match last.reply {
            None | Some(OrderReply::Fenced) => MAX_ORDER_LIFETIME,
            Some(OrderReply::Refused) => REFUSED_RETRY_DELAY,
            Some(OrderReply::Accepted) => LOAD_TIMEOUT,
        };
        now.since(last.sent) >= retry_delay
    }

    fn issue(
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
        let in_flight = earlier.filter(|last| now < last.settled_at());
        let last = LastOrder {
            id: id.clone(),
            loads: loads.clone(),
            sent: now,
            reply: None,
            copies: 1 + in_flight.map_or(0, |last| last.copies),
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

/// Returns the ID of an order, which is equal for a retry under the same plan and token.
fn order_id(cx: &OrderContext<'_>, endpoint: &EndpointId, loads: &[LoadOrder]) -> OrderId {
    let loads = serde_json::to_vec(loads).unwrap_or_default();
    let digest = digest64(&[endpoint.as_str().as_bytes(), &loads]);
    let text = format!("o-{}-{}-{digest:016x}", cx.plan.revision, cx.token);
    text.parse()
        .expect("order IDs are short and have only visible ASCII characters")
}
