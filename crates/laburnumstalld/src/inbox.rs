//! The queue from the traffic threads to the control thread.
//!
//! Inputs that arrive while the control thread is busy are taken in one batch, so that a
//! token does not cost a wake-up of its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::metrics::PlacementCounts;
use crate::placement::PlacementEvent;
use laburnumstall_core::entry::{EntryStatus, Event};
use laburnumstall_core::ids::CallerId;
use laburnumstall_core::message::Delivery;
use tokio::sync::{Notify, mpsc, oneshot};

/// An input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A caller connected.
    Open {
        /// Id of the caller.
        caller: CallerId,
        /// Channel for its deliveries.
        tx: mpsc::UnboundedSender<Delivery>,
    },
    /// Request for the status of the entry.
    Status(oneshot::Sender<EntryStatus>),
    /// Applies a configuration.
    Apply {
        /// Event for the core.
        event: Event,
        /// Token that the outcome repeats.
        token: u64,
        /// Channel for the outcome.
        tx: oneshot::Sender<laburnumstall_core::entry::ApplyOutcome>,
    },
    /// Request for the placement counts; `None` without placement.
    PlacementStatus(oneshot::Sender<Option<PlacementCounts>>),
    /// A placement call ended.
    Placement(PlacementEvent),
    /// Stops the control thread at once.
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
    not_empty: Notify,
}

impl Inbox {
    /// Queues an input.
    pub fn push(&self, input: Input) {
        let mut queue = self.queue();
        let was_empty = queue.is_empty();
        queue.push(input);
        drop(queue);
        if was_empty {
            self.shared.not_empty.notify_one();
        }
    }

    /// Queues an event for the core.
    pub fn event(&self, event: Event) {
        self.push(Input::Event(event));
    }

    /// Waits for an input and takes all that are queued.
    pub async fn take(&self) -> Vec<Input> {
        loop {
            let inputs = std::mem::take(&mut *self.queue());
            if !inputs.is_empty() {
                return inputs;
            }
            self.shared.not_empty.notified().await;
        }
    }

    fn queue(&self) -> MutexGuard<'_, Vec<Input>> {
        let queue = self.shared.queue.lock();
        queue.unwrap_or_else(PoisonError::into_inner)
    }
}
