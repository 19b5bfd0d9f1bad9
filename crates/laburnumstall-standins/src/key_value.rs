//! Stand-in for the key-value service: compare-and-swap, leases, long-poll watches.

mod table;

pub use table::{Snapshot, StoreCounts};

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use laburnumstall_core::store::LeaseId;
use laburnumstall_outside::key_value::wire::{STORE_PATH, WireCall, WireReply};
use tokio::sync::watch;

use crate::server::{Server, StandIn, broken_response, count_down, lock};
use table::Table;

/// Longest time between two looks of a watch at expired leases.
const EXPIRY_POLL: Duration = Duration::from_millis(10);

/// State shared by the calls.
pub struct Store {
    table: Mutex<Table>,
    changed: watch::Sender<()>,
}

/// A running key-value service. `crash` and `resume` make an outage; the values stay.
pub type KeyValueStandIn = Server<Store>;

impl KeyValueStandIn {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let store = Store {
            table: Mutex::default(),
            changed: watch::Sender::new(()),
        };
        Self::serve(store, Arc::default())
    }

    /// Answers each call with status 503 and no effect while `is_refusing`.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.state.table().is_refusing = is_refusing;
    }

    /// Loses the replies of the next `writes` writes; they take effect.
    pub fn lose_replies(&self, writes: u32) {
        self.state.table().replies_to_lose = writes;
    }

    /// Makes watches report nothing while `is_silent`.
    pub fn set_watches_silent(&self, is_silent: bool) {
        self.state.table().are_watches_silent = is_silent;
    }

    /// Ends a lease now, as if it had not been renewed.
    pub fn expire(&self, lease: LeaseId) {
        self.state.table().end_lease(lease);
        self.state.changed.send_replace(());
    }

    /// Copies the values, for a later [`Self::restore`].
    pub fn snapshot(&self) -> Snapshot {
        self.state.table().data.clone()
    }

    /// Goes back to older values and versions, as from a backup.
    pub fn restore(&self, snapshot: Snapshot) {
        self.state.table().data = snapshot;
        self.state.changed.send_replace(());
    }

    /// Returns the calls so far by kind.
    pub fn counts(&self) -> StoreCounts {
        self.state.table().counts
    }
}

impl Store {
    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    async fn wait_for_changes(&self, call: &WireCall) -> WireReply {
        let ends = Instant::now() + call.wait();
        let mut changed = self.changed.subscribe();
        loop {
            let reply = self.table().apply(call, Instant::now());
            let has_changes =
                matches!(&reply, WireReply::Changes { values, .. } if !values.is_empty());
            if has_changes || Instant::now() >= ends {
                return reply;
            }
            // Either a change or the time for another look at the leases.
            let _ = tokio::time::timeout(EXPIRY_POLL, changed.changed()).await;
        }
    }
}

impl StandIn for Store {
    fn routes(cfg: &mut web::ServiceConfig) {
        cfg.route(STORE_PATH, web::post().to(answer));
    }
}

async fn answer(store: web::Data<Store>, call: web::Json<WireCall>) -> HttpResponse {
    if store.table().is_refused(&call) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if matches!(*call, WireCall::Watch { .. }) {
        return HttpResponse::Ok().json(store.wait_for_changes(&call).await);
    }
    let reply = store.table().apply(&call, Instant::now());
    if call.is_write() {
        store.changed.send_replace(());
        if count_down(&mut store.table().replies_to_lose) {
            return broken_response();
        }
    }
    HttpResponse::Ok().json(reply)
}
