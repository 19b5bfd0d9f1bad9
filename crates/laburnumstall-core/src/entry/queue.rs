//! Queueing of requests that have not run and wait for a slot on an endpoint.
//!
//! A request that finds no endpoint enters the [`FairQueue`](crate::limits::FairQueue), and so
//! does each later request for its service. When a slot may be free, the queue's order decides
//! which request gets it. Requests that have started, and suspects, do not queue: they retry
//! on their own.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::dispatch::RETRY_PERIOD;
use crate::entry::owned::{OwnedRequest, Phase};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{RequestId, ServiceName};
use crate::units::Timestamp;

/// Time before the deadline from which a queued request is checked on each tick.
const NEAR_DEADLINE: Duration = Duration::from_secs(2);

impl Entry {
    /// Queues a request if others wait for its service already; returns whether it is queued.
    pub(super) fn join_queue(&mut self, now: Timestamp, id: &RequestId) -> bool {
        let Some(owned) = self.owned.get(id) else {
            return false;
        };
        let service = &owned.record.request.service;
        let others_wait = self.queue.peek(now, service).is_some();
        others_wait && self.enqueue(now, id, ErrorKind::NoEndpoint)
    }

    /// Queues a request that has not run; returns whether it is queued.
    pub(super) fn enqueue(&mut self, now: Timestamp, id: &RequestId, kind: ErrorKind) -> bool {
        let Some(owned) = self.owned.get_mut(id) else {
            return false;
        };
        if owned.record.attempts > 0 {
            return false;
        }
        if owned.phase == Phase::Queued {
            return true;
        }
        owned.phase = Phase::Queued;
        let request = owned.record.request.clone();
        let customer = self.system.customer(&request.customer);
        let weight = customer.map_or(1, |customer| customer.contract.weight);
        self.queue.push_with_priority(
            &request.service,
            &request.customer,
            weight,
            request.prompt.plus(request.answer).get(),
            request.deadline,
            request.priority,
            id.clone(),
        );
        let decision = self
            .decision(now, DecisionKind::Route, "wait", kind.name())
            .with("request", id)
            .with("queued", self.queue.len());
        self.journal.record(decision);
        self.fail_if_late(now, id);
        true
    }

    /// Dispatches queued requests to free slots, in the queue's order.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp) {
        if self.queue.is_empty() || self.queue_check_at > now {
            return;
        }
        self.queue_check_at = now.after(RETRY_PERIOD);
        self.queue.expire(now);
        let services: Vec<ServiceName> = self.queue.services().cloned().collect();
        for service in services {
            self.dispatch_queued_for(now, &service);
        }
    }

    fn dispatch_queued_for(&mut self, now: Timestamp, service: &ServiceName) {
        while let Some(id) = self.queue.peek(now, service).cloned() {
            if !self.is_queued(&id) {
                // A request answered or handed over meanwhile is not charged to its customer.
                self.queue.remove(|other| *other == id);
                continue;
            }
            self.try_dispatch(now, &id);
            if self.is_queued(&id) {
                return;
            }
            self.queue.pop(now, service);
        }
    }

    fn is_queued(&self, id: &RequestId) -> bool {
        let is_queued = |owned: &OwnedRequest| owned.phase == Phase::Queued;
        self.owned.get(id).is_some_and(is_queued)
    }

    /// Checks whether a queued request close to its deadline can still meet it.
    pub(super) fn check_queued(&mut self, now: Timestamp, id: &RequestId) {
        let is_near =
            |owned: &OwnedRequest| owned.record.request.deadline.since(now) < NEAR_DEADLINE;
        if self.owned.get(id).is_some_and(is_near) {
            self.fail_if_late(now, id);
        }
    }

    /// Fails a queued request at once if no endpoint can start its answer in time.
    fn fail_if_late(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let request = &owned.record.request;
        let expected = self.router.expected_first_token(now, request);
        let is_late = expected.is_some_and(|expected| now.after(expected) >= request.deadline);
        if is_late {
            let detail = "the deadline cannot be met";
            self.fail(now, id, Refusal::new(ErrorKind::NoEndpoint, detail));
        }
    }
}
