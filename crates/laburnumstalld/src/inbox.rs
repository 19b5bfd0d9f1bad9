//! The way from the traffic threads to the control thread.
//!
//! Whatever arrives while the control thread is busy is taken in one batch, so that a
//! token never costs a message of its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::metrics::PlacementCounts;
use crate::placement::PlacementEvent;
use laburnumstall_core::entry::{EntryStatus, Event};
use laburnumstall_core::ids::CallerId;
use laburnumstall_core::message::Delivery;
use tokio::sync::{Notify, mpsc, oneshot};

/// Something for the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A caller's connection, with the way to it.
    Open {
        /// Number of the connection.
        caller: CallerId,
        /// Where deliveries go.
        tx: mpsc::UnboundedSender<Delivery>,
    },
    /// A question for the state of the entry.
    Status(oneshot::Sender<EntryStatus>),
    /// The core's answer to an apply goes here.
    Apply {
        /// The event that starts it.
        event: Event,
        /// Number of the apply.
        token: u64,
        /// Where the answer goes.
        tx: oneshot::Sender<laburnumstall_core::entry::ApplyOutcome>,
    },
    /// A question for the plan of placement.
    PlacementStatus(oneshot::Sender<Option<PlacementCounts>>),
    /// A call of placement ended.
    Placement(PlacementEvent),
    /// The control thread ends at once.
    Halt,
}

/// The queue of inputs; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Inbox {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Vec<Input>>,
    filled: Notify,
}

impl Inbox {
    /// Adds an input.
    pub fn push(&self, input: Input) {
        let mut queue = self.queue();
        let was_empty = queue.is_empty();
        queue.push(input);
        drop(queue);
        if was_empty {
            self.shared.filled.notify_one();
        }
    }

    /// Adds an event for the core.
    pub fn event(&self, event: Event) {
        self.push(Input::Event(event));
    }

    /// Waits until there is an input and takes all.
    pub async fn take(&self) -> Vec<Input> {
        loop {
            let inputs = std::mem::take(&mut *self.queue());
            if !inputs.is_empty() {
                return inputs;
            }
            self.shared.filled.notified().await;
        }
    }

    fn queue(&self) -> MutexGuard<'_, Vec<Input>> {
        let queue = self.shared.queue.lock();
        queue.unwrap_or_else(PoisonError::into_inner)
    }
}
