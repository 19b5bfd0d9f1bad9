//! The gate that every call to a stand-in passes: delays, silence and crashes.

use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::dev::{ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, body::MessageBody};

use crate::server::lock;

/// Time between two looks at whether a silent connection may go on.
const SILENCE_POLL: Duration = Duration::from_millis(5);

/// Number of a connection, in the order of acceptance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// Faults of a server's connections.
#[derive(Default)]
pub struct Gate {
    delay_micros: AtomicU64,
    silent_below: AtomicU64,
    accepted: AtomicU64,
    pub(crate) handle: Mutex<Option<ServerHandle>>,
}

impl Gate {
    /// Delays each call.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_micros.store(delay.as_micros() as u64, SeqCst);
    }

    /// Silences the connections that are open now; new ones work.
    pub fn silence_existing(&self) {
        self.silent_below.store(self.accepted(), SeqCst);
    }

    /// Silences all connections, also new ones.
    pub fn silence_all(&self) {
        self.silent_below.store(u64::MAX, SeqCst);
    }

    /// Lets all connections speak again.
    pub fn end_silence(&self) {
        self.silent_below.store(0, SeqCst);
    }

    /// Tells whether all connections are silent.
    pub fn is_frozen(&self) -> bool {
        self.silent_below.load(SeqCst) == u64::MAX
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(SeqCst)
    }

    /// Tells whether the server runs.
    pub fn is_serving(&self) -> bool {
        lock(&self.handle).is_some()
    }

    /// Breaks all connections and refuses new ones. Returns without waiting for the end.
    pub fn crash(&self) {
        if let Some(handle) = lock(&self.handle).take() {
            drop(handle.stop(false));
        }
    }

    /// Tells whether a connection is silent.
    pub fn is_silent(&self, connection: ConnectionNumber) -> bool {
        connection.0 < self.silent_below.load(SeqCst)
    }

    /// Waits until the connection may speak.
    pub async fn wait_for_turn(&self, connection: ConnectionNumber) {
        while self.is_silent(connection) {
            tokio::time::sleep(SILENCE_POLL).await;
        }
    }

    /// Waits for the delay; does not yield without one.
    pub(crate) async fn pause(&self) {
        let micros = self.delay_micros.load(SeqCst);
        if micros > 0 {
            tokio::time::sleep(Duration::from_micros(micros)).await;
        }
    }

    pub(crate) fn next_connection(&self) -> ConnectionNumber {
        ConnectionNumber(self.accepted.fetch_add(1, SeqCst))
    }
}

/// Holds a call up as the faults demand, then passes it on.
pub(crate) async fn pass<B: MessageBody>(
    gate: Arc<Gate>,
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error> {
    let connection = req.conn_data().copied().unwrap_or_default();
    gate.pause().await;
    gate.wait_for_turn(connection).await;
    let response = next.call(req).await;
    gate.wait_for_turn(connection).await;
    response
}
