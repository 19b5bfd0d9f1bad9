//! What will happen in a world, ordered by time.

use std::collections::BTreeMap;

use laburnumstall_core::entry::Event;
use laburnumstall_core::ids::{AttemptId, CallId, DaemonId, EndpointId};
use laburnumstall_core::store::StoreCall;
use laburnumstall_core::units::Timestamp;

/// Something that will happen.
#[derive(Debug, Clone)]
pub enum Item {
    /// A daemon is told something.
    Tell {
        /// The daemon; nothing happens if it has ended.
        to: DaemonId,
        /// What it is told.
        event: Box<Event>,
    },
    /// A call reaches the key-value service.
    Store {
        /// The daemon that calls.
        from: DaemonId,
        /// The call.
        id: CallId,
        /// What is called.
        call: StoreCall,
    },
    /// An endpoint gives the next event of an attempt.
    Produce {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt.
        attempt: AttemptId,
        /// Process life of the endpoint in which the attempt began.
        life: u32,
    },
    /// A caller does its next step.
    Caller {
        /// Number of the caller.
        index: usize,
    },
}

/// Items ordered by time, and by order of insertion at the same time.
#[derive(Debug)]
pub struct Schedule<I> {
    items: BTreeMap<(Timestamp, u64), I>,
    inserted: u64,
}

impl<I> Default for Schedule<I> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            inserted: 0,
        }
    }
}

impl<I> Schedule<I> {
    /// Adds an item.
    pub fn add(&mut self, at: Timestamp, item: I) {
        self.inserted += 1;
        self.items.insert((at, self.inserted), item);
    }

    /// Takes the next item if it is due by `until`.
    pub fn next(&mut self, until: Timestamp) -> Option<(Timestamp, I)> {
        let ((at, _), _) = self.items.first_key_value()?;
        if *at > until {
            return None;
        }
        let ((at, _), item) = self.items.pop_first()?;
        Some((at, item))
    }
}

impl Schedule<Item> {
    /// Loses the messages of a daemon that are under way.
    pub(crate) fn lose_messages(&mut self, sender: &DaemonId) {
        let is_lost = |item: &Item| match item {
            Item::Tell { event, .. } => {
                matches!(&**event, Event::Peer { from, .. } if from == sender)
            }
            _ => false,
        };
        self.items.retain(|_, item| !is_lost(item));
    }
}
