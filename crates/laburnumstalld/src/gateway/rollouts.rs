//! Sends the evidence of rollouts to peers, and writes their states while this daemon holds the
//! lease of the duties.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{OrderEntry, PeerMessage, RolloutWrite, StoredRollout};
use laburnumstall_core::ids::ServiceName;
use laburnumstall_core::store::{StoreReply, StoreVersion, StoredValue};
use laburnumstall_platform::store::Store;
use tokio::time::sleep;

use super::context::Context;
use super::log::Event;

/// Prefix of the keys of states.
pub(super) const PREFIX: &str = "rollouts/";
/// Interval of the check for messages that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Stored state of a rollout with the version of its key; `None` if there is none, and `None` within
/// if it is unreadable.
pub(super) type State = Option<(Option<StoredRollout>, StoreVersion)>;

/// Returns the service of a key, and its state; `None` for other keys.
pub(super) fn stored_state(value: &StoredValue) -> Option<(ServiceName, State)> {
    let service = value.key.as_str().strip_prefix(PREFIX)?.parse().ok()?;
    let Some(text) = &value.value else {
        return Some((service, None));
    };
    let stored = serde_json::from_slice(text).ok();
    Some((service, Some((stored, value.version))))
}

/// Applies the orders and states of a snapshot; those that it lacks were removed.
pub(super) fn apply_snapshot(
    cx: &Context,
    mut orders: BTreeMap<ServiceName, OrderEntry>,
    mut states: BTreeMap<ServiceName, State>,
) {
    cx.with_gateway(|gateway, now| {
        for service in gateway.rollout_services().cloned().collect::<Vec<_>>() {
            let is_ordered = orders.contains_key(&service);
            states.entry(service.clone()).or_default();
            if !is_ordered {
                orders.insert(service, OrderEntry::Removed);
            }
        }
        for (service, entry) in orders {
            gateway.on_rollout_order(now, &service, entry);
        }
        for (service, stored) in states {
            gateway.on_stored_rollout(now, &service, stored);
        }
    });
}

/// Sends what is due to peers, until the gateway ends.
pub(super) async fn send(cx: Rc<Context>) {
    while !cx.is_ended() {
        sleep(CHECK_INTERVAL).await;
        let (broadcasts, summaries) = cx.with_gateway(|gateway, now| {
            let broadcasts = gateway.take_rollout_evidence(now);
            let summaries: Vec<_> = gateway.rollout_summaries().collect();
            (broadcasts, summaries)
        });
        for broadcast in broadcasts {
            for (peer, address) in broadcast.peers {
                let message = PeerMessage::RolloutEvidence(broadcast.evidence.clone());
                cx.send_to_peer(&peer, address, message);
            }
        }
        for summary in &summaries {
            cx.metrics.rollout(summary);
        }
    }
}

/// Writes states, one at a time for each service.
pub(super) struct StateWriter {
    cx: Rc<Context>,
    store: Rc<Store>,
    in_flight: RefCell<BTreeSet<ServiceName>>,
}

impl StateWriter {
    /// Creates a writer without writes in flight.
    pub(super) fn new(cx: Rc<Context>, store: Rc<Store>) -> Rc<Self> {
        Rc::new(Self {
            cx,
            store,
            in_flight: RefCell::default(),
        })
    }

    /// Starts the writes that are due.
    pub(super) fn write_due(self: &Rc<Self>) {
        let due = self
            .cx
            .with_gateway(|gateway, now| gateway.rollouts_to_store(now));
        for write in due {
            if self.in_flight.borrow_mut().insert(write.service.clone()) {
                let this = Rc::clone(self);
                actix_rt::spawn(async move {
                    this.write(&write).await;
                    this.in_flight.borrow_mut().remove(&write.service);
                });
            }
        }
    }

    async fn write(&self, write: &RolloutWrite) {
        let cause = match self.store.swap_rollout(write).await {
            Ok(StoreReply::Swapped { version }) => {
                let stored = Some((Some(write.stored.clone()), version));
                return self.apply(&write.service, stored);
            }
            // Another holder came first, or the reply to an earlier write was lost.
            Ok(StoreReply::Conflict { current }) => {
                let stored = current.as_ref().and_then(stored_state);
                self.apply(&write.service, stored.and_then(|(_, stored)| stored));
                "conflict"
            }
            Ok(_) => "no-reply",
            Err(_) => "store",
        };
        self.cx.event(
            Event::new("rollout-not-stored")
                .with("service", &write.service)
                .with("state", write.stored.phase)
                .with("cause", cause),
        );
    }

    fn apply(&self, service: &ServiceName, stored: State) {
        self.cx
            .with_gateway(|gateway, now| gateway.on_stored_rollout(now, service, stored));
    }
}
