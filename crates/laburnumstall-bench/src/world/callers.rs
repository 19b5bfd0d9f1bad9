//! Callers and their connections.

use std::time::Duration;

use laburnumstall_core::entry::Event;
use laburnumstall_core::ids::CallerId;
use laburnumstall_core::message::{Delivery, Position};

use super::World;
use crate::caller::{CallerState, LOOK_PERIOD, ToCaller};
use crate::policy::Policy;
use crate::schedule::Item;

/// One-way latency between callers and entries.
const CALLER_LATENCY: Duration = Duration::from_millis(1);

impl<P: Policy> World<P> {
    pub(super) fn deliver(&mut self, number: usize, caller: CallerId, delivery: Delivery) {
        let key = (self.nodes[number].id.clone(), caller);
        let Some(index) = self.connections.get(&key).copied() else {
            return;
        };
        let delivery = ToCaller {
            connection: caller,
            delivery,
        };
        let at = self.now.after(CALLER_LATENCY);
        self.schedule.add(at, Item::ToCaller { index, delivery });
    }

    /// A caller sends, comes back or looks whether it should.
    pub(super) fn step_caller(&mut self, index: usize) {
        let now = self.now;
        self.callers[index].look(now);
        if let CallerState::Connected { to, .. } = &self.callers[index].state
            && self.node_of(to).is_none()
        {
            self.callers[index].state = CallerState::Apart { until: now };
        }
        match &self.callers[index].state {
            CallerState::Over(_) => {
                self.connections.retain(|_, known| *known != index);
                return;
            }
            CallerState::Apart { until } if *until <= now => self.connect(index),
            _ => {}
        }
        let again = now.after(LOOK_PERIOD);
        self.schedule.add(again, Item::Caller { index });
    }

    fn connect(&mut self, index: usize) {
        let is_listed = |number: &usize| self.nodes[*number].is_listed();
        let listed: Vec<usize> = (0..self.nodes.len()).filter(is_listed).collect();
        if listed.is_empty() {
            return;
        }
        let to = self.nodes[listed[self.rng.usize(..listed.len())]]
            .id
            .clone();
        self.next_connection += 1;
        let connection = CallerId(self.next_connection);
        self.connections.insert((to.clone(), connection), index);
        let event = self.opening(index, connection);
        self.callers[index].state = CallerState::Connected {
            to: to.clone(),
            connection,
        };
        self.tell_later(&to, CALLER_LATENCY, event);
    }

    fn opening(&self, index: usize, connection: CallerId) -> Event {
        let caller = &self.callers[index];
        let Some(id) = &caller.id else {
            return Event::Arrived {
                caller: connection,
                request: caller.request.clone(),
            };
        };
        Event::Attach {
            caller: connection,
            id: id.clone(),
            customer: caller.request.customer.clone(),
            position: (caller.position != Position::START).then_some(caller.position),
        }
    }
}
