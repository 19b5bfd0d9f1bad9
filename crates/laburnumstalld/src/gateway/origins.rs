//! Exchanges the origins of streams with peers, and marks services with several versions in
//! the key-value store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::error::Refusal;
use laburnumstall_core::gateway::{
    AdmittedCall, OriginAnswer, OriginQuery, OriginReply, PeerMessage,
};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at};

use super::context::Context;

/// Time to wait for the answers of peers: some round trips between regions.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which origins are collected before they are sent.
const SEND_DELAY: Duration = Duration::from_millis(10);

/// Lookups that wait for answers, by the number of the question.
#[derive(Default)]
pub(super) struct PendingLookups {
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, mpsc::UnboundedSender<OriginAnswer>>>,
}

impl PendingLookups {
    fn open(&self) -> (u64, mpsc::UnboundedReceiver<OriginAnswer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (tx, rx) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(id, tx);
        (id, rx)
    }

    fn close(&self, id: u64) {
        self.waiting.borrow_mut().remove(&id);
    }

    /// Passes an answer to its lookup, unless that has ended.
    pub(super) fn on_reply(&self, reply: OriginReply) {
        if let Some(tx) = self.waiting.borrow().get(&reply.id) {
            tx.send(reply.answer).unwrap_or_default();
        }
    }
}

/// Determines at which software version a stream goes on that the caller takes up.
///
/// # Errors
///
/// [`Refusal`] if the stream cannot go on; nothing has run.
pub(super) async fn resume(cx: &Context, call: &mut AdmittedCall) -> Result<(), Refusal> {
    let begun = cx.with_gateway(|gateway, now| gateway.begin_resumption(now, call));
    let Some(mut lookup) = begun? else {
        return Ok(());
    };
    if !lookup.is_decided() {
        let (id, mut rx) = cx.lookups.open();
        for (peer, address) in &lookup.peers {
            let query = OriginQuery {
                id,
                attempt: lookup.attempt,
                service: lookup.service.clone(),
            };
            cx.send_to_peer(peer, *address, PeerMessage::Lookup(query));
        }
        let wait = LOOKUP_TIMEOUT.min(call.remaining(cx.now()));
        let deadline = tokio::time::Instant::now() + wait;
        while !lookup.is_decided()
            && let Ok(Some(answer)) = timeout_at(deadline, rx.recv()).await
        {
            lookup.on_answer(answer);
        }
        cx.lookups.close(id);
    }
    cx.with_gateway(|gateway, now| gateway.end_resumption(now, call, &lookup))
}

/// Sends the origins of own streams to the peers that keep a copy.
pub(super) async fn replicate(cx: Rc<Context>) {
    loop {
        cx.origin_signal.notified().await;
        sleep(SEND_DELAY).await;
        for (peer, address, groups) in cx.with_gateway(|gateway, now| gateway.take_origins(now)) {
            cx.send_to_peer(&peer, address, PeerMessage::Origins(groups));
        }
    }
}
