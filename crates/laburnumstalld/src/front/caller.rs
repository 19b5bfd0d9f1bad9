//! A caller registered with the control thread.

use std::sync::atomic::Ordering;

use laburnumstall_core::entry::Event;
use laburnumstall_core::ids::CallerId;
use laburnumstall_core::message::Delivery;
use tokio::sync::mpsc;

use crate::front::Front;
use crate::inbox::{Inbox, Input};

/// A registered caller; dropping it notifies the control thread.
#[derive(Debug)]
pub(super) struct Caller {
    id: CallerId,
    inbox: Inbox,
    rx: mpsc::UnboundedReceiver<Delivery>,
}

impl Caller {
    /// Registers a caller and pushes the event that `first_event` builds from its id.
    pub(super) fn open(front: &Front, first_event: impl FnOnce(CallerId) -> Event) -> Self {
        let id = CallerId(front.next_caller.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        let inbox = front.inbox.clone();
        inbox.push(Input::Open { caller: id, tx });
        inbox.event(first_event(id));
        Self { id, inbox, rx }
    }

    /// Returns the next delivery; `None` once the daemon has ended.
    pub(super) async fn next(&mut self) -> Option<Delivery> {
        self.rx.recv().await
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let caller = self.id;
        self.inbox.event(Event::CallerGone { caller });
    }
}
