//! What a world's callers do: they connect, come back, and close when they have all.

use std::sync::Arc;

use laburnumstall_core::entry::Event;
use laburnumstall_core::ids::CallerId;
use laburnumstall_core::message::Delivery;
use laburnumstall_core::request::Request;

use crate::caller::{CallerState, FakeCaller, RETRY};
use crate::schedule::Item;
use crate::world::World;

impl World {
    /// Adds a caller that sends its request now, to the given entry or to a listed one.
    pub fn call(&mut self, request: Request, first: Option<usize>) -> usize {
        let index = self.callers.len();
        self.callers.push(FakeCaller::new(Arc::new(request), first));
        self.schedule.add(self.now, Item::Caller { index });
        index
    }

    /// Adds a caller that reads another's request from its beginning, through an entry.
    pub fn read_again(&mut self, caller: usize, entry: usize) -> usize {
        let request = self.callers[caller].request.as_ref().clone();
        let reader = self.call(request, Some(entry));
        self.callers[reader].id = self.callers[caller].id.clone();
        reader
    }

    pub(crate) fn deliver(&mut self, number: usize, caller: CallerId, delivery: Delivery) {
        let id = self.nodes[number].id.clone();
        let now = self.now;
        let found = self.callers.iter_mut().find(|c| c.is_at(&id, caller));
        let Some(found) = found else {
            return;
        };
        found.take_in(now, delivery);
        if found.outcome().is_some() {
            let event = Box::new(Event::CallerGone { caller });
            self.schedule.add(now, Item::Tell { to: id, event });
        }
    }

    /// A caller sends, comes back or looks whether it should.
    pub(crate) fn step_caller(&mut self, index: usize) {
        let again = self.now.after(RETRY);
        let caller = &self.callers[index];
        if caller.outcome().is_some() {
            return;
        }
        self.schedule.add(again, Item::Caller { index });
        if let CallerState::Connected { to, .. } = &caller.state {
            if self.node_of(to).is_some() {
                return;
            }
            self.callers[index].state = CallerState::Disconnected;
        }
        let Some(number) = self.pick_entry(index) else {
            return;
        };
        self.connect(index, number);
    }

    fn pick_entry(&mut self, index: usize) -> Option<usize> {
        if let Some(first) = self.callers[index].first.take()
            && self.nodes[first].is_running()
        {
            return Some(first);
        }
        let listed: Vec<usize> = (0..self.nodes.len())
            .filter(|number| self.nodes[*number].is_listed())
            .collect();
        if listed.is_empty() {
            return None;
        }
        Some(listed[self.rng.usize(..listed.len())])
    }

    /// Connects a caller to an entry, with a new request or to go on with one.
    pub fn connect(&mut self, index: usize, number: usize) {
        self.next_caller += 1;
        let number_of_connection = CallerId(self.next_caller);
        let to = self.nodes[number].id.clone();
        let caller = &mut self.callers[index];
        caller.came_back += u32::from(caller.id.is_some());
        let event = match &caller.id {
            Some(id) => Event::Attach {
                caller: number_of_connection,
                id: id.clone(),
                customer: caller.request.customer.clone(),
                position: (!caller.events.is_empty()).then_some(caller.position),
            },
            None if caller.sent > 0 && !caller.sends_again => return,
            None => {
                caller.sent += 1;
                Event::Arrived {
                    caller: number_of_connection,
                    request: caller.request.clone(),
                }
            }
        };
        caller.state = CallerState::Connected {
            to: to.clone(),
            caller: number_of_connection,
        };
        self.tell_daemon(&to, event);
    }

    /// Breaks a caller's connection; it comes back at its next step.
    pub fn disconnect(&mut self, index: usize) {
        let CallerState::Connected { to, caller } = self.callers[index].state.clone() else {
            return;
        };
        self.callers[index].state = CallerState::Disconnected;
        self.tell_daemon(&to, Event::CallerGone { caller });
    }
}
