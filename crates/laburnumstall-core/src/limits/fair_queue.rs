//! Weighted fair queueing between customers.
//!
//! Self-clocked fair queueing (Golestani, 1994): each customer's next item has a virtual
//! finish time, the start plus its cost over the customer's weight; the least goes first,
//! and the virtual time of the service is the finish time of the item last taken. Within
//! one customer the higher priority goes first, then the earlier deadline, then arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::{CustomerId, ServiceName};
use crate::units::{Priority, Timestamp};

/// Steps of virtual time in one unit of cost at weight one.
const VIRTUAL_SCALE: u128 = 1 << 20;

type ItemOrder = (Reverse<Priority>, Timestamp, u64);

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
struct ServiceQueue<T> {
    virtual_time: u128,
    flows: BTreeMap<CustomerId, Flow<T>>,
}

/// Queues of items, one for each service, shared fairly by the customers.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    queues: BTreeMap<ServiceName, ServiceQueue<T>>,
    arrivals: u64,
    len: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            queues: BTreeMap::new(),
            arrivals: 0,
            len: 0,
        }
    }

    /// Returns the number of items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item of `cost` and of the least priority for a customer of `weight`.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a separate property of one item, and callers have them separately"
    )]
    pub fn push(
        &mut self,
        _now: Timestamp,
        service: &ServiceName,
        customer: &CustomerId,
        weight: u32,
        cost: u64,
        deadline: Timestamp,
        item: T,
    ) {
        self.push_with_priority(service, customer, weight, cost, deadline, Priority(0), item);
    }

    /// Adds an item that goes before the customer's items of a lower priority.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a separate property of one item, and callers have them separately"
    )]
    pub fn push_with_priority(
        &mut self,
        service: &ServiceName,
        customer: &CustomerId,
        weight: u32,
        cost: u64,
        deadline: Timestamp,
        priority: Priority,
        item: T,
    ) {
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
    }

    /// Returns the services that have had items.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.queues.keys()
    }

    /// Returns the item that [`pop`](Self::pop) would take.
    pub fn peek(&self, now: Timestamp, service: &ServiceName) -> Option<&T> {
        let queue = self.queues.get(service)?;
        let (customer, _) = queue.next(now)?;
        let flow = queue.flows.get(customer)?;
        flow.items.get(&flow.next(now)?).map(|queued| &queued.item)
    }

    /// Takes the next item of a service whose deadline has not passed.
    pub fn pop(&mut self, now: Timestamp, service: &ServiceName) -> Option<T> {
        let queue = self.queues.get_mut(service)?;
        let (customer, finish) = queue.next(now)?;
        let customer = customer.clone();
        let flow = queue.flows.get_mut(&customer)?;
        let order = flow.next(now)?;
        let queued = flow.items.remove(&order)?;
        flow.start = finish;
        queue.virtual_time = finish;
        self.len -= 1;
        Some(queued.item)
    }

    /// Takes out all items whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        self.drain_where(|(_, deadline, _), _| *deadline <= now)
    }

    /// Takes out the first item for which `is_wanted` holds.
    pub fn remove(&mut self, is_wanted: impl Fn(&T) -> bool) -> Option<T> {
        let mut is_found = false;
        let mut taken = self.drain_where(|_, item| {
            let take = !is_found && is_wanted(item);
            is_found |= take;
            take
        });
        taken.pop()
    }

    fn drain_where(&mut self, mut is_taken: impl FnMut(&ItemOrder, &T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            for flow in queue.flows.values_mut() {
                let out = flow
                    .items
                    .extract_if(.., |order, queued| is_taken(order, &queued.item));
                taken.extend(out.map(|(_, queued)| queued.item));
            }
        }
        self.len -= taken.len();
        taken
    }
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> ServiceQueue<T> {
    /// Returns the customer whose next item goes first, with its virtual finish time.
    fn next(&self, now: Timestamp) -> Option<(&CustomerId, u128)> {
        self.flows
            .iter()
            .filter_map(|(customer, flow)| Some((customer, flow.finish(now)?)))
            .min_by_key(|(_, finish)| *finish)
    }
}

impl<T> Flow<T> {
    fn next(&self, now: Timestamp) -> Option<ItemOrder> {
        self.items
            .keys()
            .find(|(_, deadline, _)| *deadline > now)
            .copied()
    }

    fn finish(&self, now: Timestamp) -> Option<u128> {
        let queued = self.items.get(&self.next(now)?)?;
        let cost = u128::from(queued.cost.max(1)) * VIRTUAL_SCALE;
        Some(self.start + cost / u128::from(self.weight))
    }
}
