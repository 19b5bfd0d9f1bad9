//! The gate that every call to a stand-in passes: delays, silence and crashes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::dev::{ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, body::MessageBody};

/// Time between two looks at whether a silent connection may go on.
const SILENCE_POLL: Duration = Duration::from_millis(5);

/// Number of a connection, in the order of acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// Faults of a server's connections.
#[derive(Default)]
pub struct Gate {
    delay_micros: AtomicU64,
    silent_below: AtomicU64,
    accepted: AtomicU64,
    handle: Mutex<Option<ServerHandle>>,
}

impl Gate {
    /// Delays each call.
    pub fn set_delay(&self, delay: Duration) {
        let micros = delay.as_micros() as u64;
        self.delay_micros.store(micros, Ordering::SeqCst);
    }

    /// Silences the connections that are open now; new ones work.
    pub fn silence_existing(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Silences all connections, also new ones.
    pub fn silence_all(&self) {
        self.silent_below.store(u64::MAX, Ordering::SeqCst);
    }

    /// Lets all connections speak again.
    pub fn end_silence(&self) {
        self.silent_below.store(0, Ordering::SeqCst);
    }

    /// Tells whether all connections are silent.
    pub fn is_frozen(&self) -> bool {
        self.silent_below.load(Ordering::SeqCst) == u64::MAX
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Breaks all connections and refuses new ones. Returns without waiting for the end.
    pub fn crash(&self) {
        if let Some(handle) = self.take_handle() {
            drop(handle.stop(false));
        }
    }

    /// Tells whether the server runs.
    pub fn is_serving(&self) -> bool {
        let held = self.handle.lock().expect("no holder of the lock panics");
        held.is_some()
    }

    /// Waits until the connection may speak.
    pub async fn wait_for_turn(&self, connection: ConnectionNumber) {
        while connection.0 < self.silent_below.load(Ordering::SeqCst) {
            tokio::time::sleep(SILENCE_POLL).await;
        }
    }

    pub(crate) fn next_connection(&self) -> ConnectionNumber {
        ConnectionNumber(self.accepted.fetch_add(1, Ordering::SeqCst))
    }

    pub(crate) fn set_handle(&self, handle: ServerHandle) {
        let mut held = self.handle.lock().expect("no holder of the lock panics");
        *held = Some(handle);
    }

    pub(crate) fn take_handle(&self) -> Option<ServerHandle> {
        let mut held = self.handle.lock().expect("no holder of the lock panics");
        held.take()
    }

    fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_micros.load(Ordering::SeqCst))
    }
}

/// Holds a call up as the faults demand, then passes it on.
pub(crate) async fn pass<B: MessageBody>(
    gate: Arc<Gate>,
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error> {
    let connection = req.conn_data::<ConnectionNumber>().copied();
    let delay = gate.delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let connection = connection.unwrap_or(ConnectionNumber(0));
    gate.wait_for_turn(connection).await;
    let response = next.call(req).await;
    gate.wait_for_turn(connection).await;
    response
}
