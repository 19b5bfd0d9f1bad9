//! Weighted fair queueing among customers, or other sources of items.
//!
//! Implements self-clocked fair queueing (Golestani, 1994): each customer's next item has a
//! virtual finish time, its start time plus its cost divided by the customer's weight. The
//! item with the lowest finish time is dequeued first, and the service's virtual time is the
//! finish time of the last dequeued item. A customer's own items are ordered by priority
//! (highest first), then by deadline, then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::{CustomerId, ServiceName};
use crate::units::{Priority, Timestamp};

/// Virtual time units per unit of cost at weight one.
const VIRTUAL_SCALE: u128 = 1 << 20;

type ItemOrder = (Reverse<Priority>, Timestamp, u64);

/// Place of a queued item among the items of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuePlace<C = CustomerId> {
    customer: C,
    order: ItemOrder,
}

#[derive(Debug, Clone)]
struct QueuedItem<T> {
    cost: u64,
    item: T,
}

#[derive(Debug, Clone)]
struct Flow<T> {
    weight: u32,
    start: u128,
    items: BTreeMap<ItemOrder, QueuedItem<T>>,
}

#[derive(Debug, Clone)]
struct ServiceQueue<T, C> {
    virtual_time: u128,
    flows: BTreeMap<C, Flow<T>>,
}

/// Per-service queues of items, shared fairly among customers.
#[derive(Debug, Clone)]
pub struct FairQueue<T, C = CustomerId> {
    queues: BTreeMap<ServiceName, ServiceQueue<T, C>>,
    arrivals: u64,
    len: usize,
}

impl<T, C: Ord + Clone> FairQueue<T, C> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            queues: BTreeMap::new(),
            arrivals: 0,
            len: 0,
        }
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no items are queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Enqueues an item of `cost` with the lowest priority for a customer of `weight`.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a separate property of one item, and callers have them separately"
    )]
    pub fn push(
        &mut self,
        _now: Timestamp,
        service: &ServiceName,
        customer: &C,
        weight: u32,
        cost: u64,
        deadline: Timestamp,
        item: T,
    ) {
        self.push_with_priority(service, customer, weight, cost, deadline, Priority(0), item);
    }

    /// Enqueues an item ahead of the customer's items of lower priority; returns its place.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a separate property of one item, and callers have them separately"
    )]
    pub fn push_with_priority(
        &mut self,
        service: &ServiceName,
        customer: &C,
        weight: u32,
        cost: u64,
        deadline: Timestamp,
        priority: Priority,
        item: T,
    ) -> QueuePlace<C> {
        self.arrivals += 1;
        self.len += 1;
        let queue = self
            .queues
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue {
                virtual_time: 0,
                flows: BTreeMap::new(),
            });
        let virtual_time = queue.virtual_time;
        let flow = queue.flows.entry(customer.clone()).or_insert_with(|| Flow {
            weight,
            start: virtual_time,
            items: BTreeMap::new(),
        });
        flow.weight = weight.max(1);
        if flow.items.is_empty() {
            flow.start = flow.start.max(virtual_time);
        }
        let order = (Reverse(priority), deadline, self.arrivals);
        flow.items.insert(order, QueuedItem { cost, item });
        QueuePlace {
            customer: customer.clone(),
            order,
        }
    }

    /// Returns the services for which items have been queued so far.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.queues.keys()
    }

    /// Returns the item that [`pop`](Self::pop) would dequeue.
    pub fn peek(&self, now: Timestamp, service: &ServiceName) -> Option<&T> {
        let queue = self.queues.get(service)?;
        let (customer, _) = queue.next_customer(now)?;
        let flow = queue.flows.get(customer)?;
        flow.items
            .get(&flow.next_item(now)?)
            .map(|queued| &queued.item)
    }

    /// Dequeues a service's next item whose deadline has not passed.
    pub fn pop(&mut self, now: Timestamp, service: &ServiceName) -> Option<T> {
        let queue = self.queues.get_mut(service)?;
        let (customer, finish) = queue.next_customer(now)?;
        let customer = customer.clone();
        let flow = queue.flows.get_mut(&customer)?;
        let order = flow.next_item(now)?;
        let queued = flow.items.remove(&order)?;
        flow.start = finish;
        queue.virtual_time = finish;
        self.len -= 1;
        Some(queued.item)
    }

    /// Returns the next item of each customer, in the order of their virtual finish times.
    pub fn heads(&self, now: Timestamp, service: &ServiceName) -> Vec<&T> {
        let Some(queue) = self.queues.get(service) else {
            return Vec::new();
        };
        let mut heads: Vec<(u128, &T)> = queue
            .flows
            .values()
            .filter_map(|flow| {
                let queued = flow.items.get(&flow.next_item(now)?)?;
                Some((flow.finish_time(now)?, &queued.item))
            })
            .collect();
        heads.sort_by_key(|(finish, _)| *finish);
        heads.into_iter().map(|(_, item)| item).collect()
    }

    /// Dequeues the item at a place. The customer is charged for it, also if it is not the item
    /// that [`pop`](Self::pop) would dequeue.
    pub fn take(&mut self, service: &ServiceName, place: &QueuePlace<C>) -> Option<T> {
        let queue = self.queues.get_mut(service)?;
        let flow = queue.flows.get_mut(&place.customer)?;
        let queued = flow.items.remove(&place.order)?;
        flow.start += queued.virtual_cost(flow.weight);
        queue.virtual_time = queue.virtual_time.max(flow.start);
        self.len -= 1;
        Some(queued.item)
    }

    /// Removes the item at a place, without a charge for its customer.
    pub fn cancel(&mut self, service: &ServiceName, place: &QueuePlace<C>) -> Option<T> {
        let flow = self
            .queues
            .get_mut(service)?
            .flows
            .get_mut(&place.customer)?;
        let queued = flow.items.remove(&place.order)?;
        self.len -= 1;
        Some(queued.item)
    }

    /// Removes and returns all items whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        self.drain_where(|(_, deadline, _), _| *deadline <= now)
    }

    /// Removes and returns the first item that matches `is_match`.
    pub fn remove(&mut self, is_match: impl Fn(&T) -> bool) -> Option<T> {
        let mut is_found = false;
        let mut removed = self.drain_where(|_, item| {
            let take = !is_found && is_match(item);
            is_found |= take;
            take
        });
        removed.pop()
    }

    fn drain_where(&mut self, mut is_removed: impl FnMut(&ItemOrder, &T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            for flow in queue.flows.values_mut() {
                let extracted = flow
                    .items
                    .extract_if(.., |order, queued| is_removed(order, &queued.item));
                removed.extend(extracted.map(|(_, queued)| queued.item));
            }
        }
        self.len -= removed.len();
        removed
    }
}

impl<T, C: Ord + Clone> Default for FairQueue<T, C> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T, C: Ord> ServiceQueue<T, C> {
    /// Returns the customer whose item is dequeued next, and its virtual finish time.
    fn next_customer(&self, now: Timestamp) -> Option<(&C, u128)> {
        self.flows
            .iter()
            .filter_map(|(customer, flow)| Some((customer, flow.finish_time(now)?)))
            .min_by_key(|(_, finish)| *finish)
    }
}

impl<T> Flow<T> {
    fn next_item(&self, now: Timestamp) -> Option<ItemOrder> {
        self.items
            .keys()
            .find(|(_, deadline, _)| *deadline > now)
            .copied()
    }

    fn finish_time(&self, now: Timestamp) -> Option<u128> {
        let queued = self.items.get(&self.next_item(now)?)?;
        Some(self.start + queued.virtual_cost(self.weight))
    }
}

impl<T> QueuedItem<T> {
    fn virtual_cost(&self, weight: u32) -> u128 {
        u128::from(self.cost.max(1)) * VIRTUAL_SCALE / u128::from(weight)
    }
}
