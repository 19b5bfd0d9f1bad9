//! Calls that wait at this daemon until there is capacity for them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::error::Refusal;
use laburnumstall_core::gateway::{
    AdmissionTicket, AdmittedCall, CallAttempt, Gateway, PeerMessage, Start,
};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::context::Context;
use crate::http1::Conn;

/// Time between two looks at the queues while calls wait: endpoints work off what peers sent them
/// without a notice.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two looks, which bounds their cost.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Wakes calls that wait.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    calls: RefCell<BTreeMap<AdmissionTicket, oneshot::Sender<()>>>,
}

impl Waiters {
    /// Returns a receiver that is ready once the call is woken.
    fn wait(&self, ticket: AdmissionTicket) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.calls.borrow_mut().insert(ticket, tx);
        rx
    }

    /// Wakes calls.
    pub(super) fn wake(&self, tickets: Vec<AdmissionTicket>) {
        let mut calls = self.calls.borrow_mut();
        for tx in tickets.iter().filter_map(|ticket| calls.remove(ticket)) {
            // A call that has left no longer receives.
            let _ = tx.send(());
        }
    }

    fn remove(&self, ticket: AdmissionTicket) {
        self.calls.borrow_mut().remove(&ticket);
    }
}

/// How the wait for an endpoint ended.
pub(super) enum StartResult {
    /// The call is sent.
    Send(CallAttempt),
    /// The call is refused.
    Refuse(Refusal),
    /// The caller disconnected.
    CallerGone,
}

/// Waits until a call is sent or refused.
pub(super) async fn start(cx: &Context, conn: &mut Conn, call: &mut AdmittedCall) -> StartResult {
    loop {
        let limit = match cx.with_gateway(|gateway, now| gateway.try_start(now, call)) {
            Start::Send(attempt) => return StartResult::Send(attempt),
            Start::Refuse(refusal) => return StartResult::Refuse(refusal),
            Start::Wait(limit) => limit,
        };
        let Some(ticket) = call.ticket else {
            sleep(limit).await;
            continue;
        };
        let woken = cx.waiters.wait(ticket);
        let is_gone = tokio::select! {
            _ = timeout(limit, woken) => false,
            () = conn.closed() => true,
        };
        cx.waiters.remove(ticket);
        if is_gone {
            return StartResult::CallerGone;
        }
    }
}

/// Wakes the calls that may be sent or have to be refused.
pub(super) async fn run(cx: Rc<Context>) {
    loop {
        let is_waiting = cx.with_gateway(Gateway::dispatch_waiting);
        sleep(MIN_LOOK_INTERVAL).await;
        let changed = cx.admission_signal.notified();
        match is_waiting {
            true => {
                // Without a change, endpoints may have less work by now.
                let _ = timeout(LOOK_INTERVAL, changed).await;
            }
            false => changed.await,
        }
    }
}

/// Sends peers the use of services that are short of capacity; called once in a gossip period.
pub(super) fn send_customer_use(cx: &Context) {
    let Some(broadcast) = cx.with_gateway(Gateway::next_customer_use) else {
        return;
    };
    for (peer, address) in broadcast.peers {
        let message = PeerMessage::CustomerUse(broadcast.report.clone());
        cx.send_to_peer(&peer, address, message);
    }
}
