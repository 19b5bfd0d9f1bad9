//! A daemon's endpoint: one UDP socket for all links to other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use laburnumstall_core::ids::DaemonId;
use quinn::{EndpointConfig, TokioRuntime};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::runtime::Handle;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::timeout;

use crate::error::{BindSnafu, RuntimeSnafu};
use crate::inbound::Incumbent;
use crate::link::Link;
use crate::session::CLOSE_DONE;
use crate::tls::TlsContext;
use crate::traffic::Meter;
use crate::{
    CertificateFingerprint, Identity, Lane, PeerError, PeerEvent, PeerTimeouts, Pins, SendError,
    SendFault, Traffic, inbound, link, probe,
};

/// Most outgoing handshakes under way at a time.
const MAX_DIALS: usize = 32;

/// What an endpoint shares with its tasks.
#[derive(Debug)]
pub(crate) struct Shared<M> {
    tls: TlsContext,
    timeouts: PeerTimeouts,
    local: SocketAddr,
    dialer: Mutex<quinn::Endpoint>,
    links: Mutex<BTreeMap<DaemonId, Arc<Link>>>,
    incumbents: Mutex<BTreeMap<DaemonId, Incumbent>>,
    meter: Meter,
    dials: Semaphore,
    retired: Notify,
    is_closing: AtomicBool,
    tx: mpsc::Sender<PeerEvent<M>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<M> Shared<M> {
    pub(crate) fn tls(&self) -> &TlsContext {
        &self.tls
    }

    pub(crate) fn timeouts(&self) -> PeerTimeouts {
        self.timeouts
    }

    pub(crate) fn local(&self) -> SocketAddr {
        self.local
    }

    /// Counts the traffic of connections.
    pub(crate) fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Bounds the handshakes under way at a time.
    pub(crate) fn dials(&self) -> &Semaphore {
        &self.dials
    }

    /// Returns the endpoint from which new connections are made.
    pub(crate) fn dialer(&self) -> quinn::Endpoint {
        lock(&self.dialer).clone()
    }

    /// Reports an event; if nobody listens any more, it is dropped.
    pub(crate) async fn report(&self, event: PeerEvent<M>) {
        self.tx.send(event).await.unwrap_or_default();
    }

    /// Makes a connection the one that `from` sends by, and returns the earlier one.
    pub(crate) fn install(&self, from: DaemonId, incumbent: Incumbent) -> Option<Incumbent> {
        lock(&self.incumbents).insert(from, incumbent)
    }

    /// Forgets a connection that ended, unless another has taken its place.
    pub(crate) fn uninstall(&self, from: &DaemonId, stop: &Arc<Notify>) {
        let mut incumbents = lock(&self.incumbents);
        if incumbents
            .get(from)
            .is_some_and(|incumbent| incumbent.is_stopped_by(stop))
        {
            incumbents.remove(from);
        }
    }

    /// Forgets a link whose queues are empty; returns whether its task is to end.
    pub(crate) fn retire(&self, to: &DaemonId, link: &Arc<Link>) -> bool {
        let mut links = lock(&self.links);
        if !link.is_empty() {
            link.restart();
            if self.is_closing.load(Ordering::Relaxed) {
                link.drain();
            }
            return false;
        }
        if links.get(to).is_some_and(|known| Arc::ptr_eq(known, link)) {
            links.remove(to);
        }
        self.retired.notify_one();
        true
    }
}

/// Links of one daemon to all others.
///
/// Each daemon of a pair keeps a connection of its own for what it sends. A connection is
/// made by the first send and closed after [`PeerTimeouts::unused`].
#[derive(Debug)]
pub struct PeerEndpoint<M> {
    shared: Arc<Shared<M>>,
    server: quinn::Endpoint,
    runtime: Handle,
}

impl<M> PeerEndpoint<M>
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    /// Opens the UDP address `local` and accepts connections of the daemons in `pins`.
    ///
    /// Events go to `tx`; while it is full, received messages wait in the network.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the address cannot be opened, TLS cannot be set up or no tokio
    /// runtime is running.
    pub fn bind(
        identity: Identity,
        local: SocketAddr,
        pins: Pins,
        timeouts: PeerTimeouts,
        tx: mpsc::Sender<PeerEvent<M>>,
    ) -> Result<Self, PeerError> {
        let runtime = Handle::try_current().context(RuntimeSnafu)?;
        let tls = TlsContext::new(identity, pins, timeouts);
        let address = local;
        let socket = std::net::UdpSocket::bind(address).context(BindSnafu { address })?;
        let local = socket.local_addr().context(BindSnafu { address })?;
        let cfg = EndpointConfig::default();
        let server_cfg = Some(tls.accepting()?);
        let server = quinn::Endpoint::new(cfg, server_cfg, socket, Arc::new(TokioRuntime))
            .context(BindSnafu { address })?;
        let shared = Arc::new(Shared {
            tls,
            timeouts,
            local,
            dialer: Mutex::new(server.clone()),
            links: Mutex::default(),
            incumbents: Mutex::default(),
            meter: Meter::default(),
            dials: Semaphore::new(MAX_DIALS),
            retired: Notify::new(),
            is_closing: AtomicBool::new(false),
            tx,
        });
        runtime.spawn(inbound::run(Arc::clone(&shared), server.clone()));
        Ok(Self {
            shared,
            server,
            runtime,
        })
    }

    /// Returns the address that the endpoint listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local
    }

    /// Returns the fingerprint of the endpoint's certificate.
    pub fn fingerprint(&self) -> CertificateFingerprint {
        self.shared.tls.identity().fingerprint()
    }

    /// Returns what the links have sent and received since the endpoint was bound.
    pub fn traffic(&self) -> Traffic {
        self.shared.meter.total()
    }

    /// Queues a message on the control lane; see [`PeerEndpoint::send_on`].
    ///
    /// # Errors
    ///
    /// [`SendError`] with the message if it was not queued.
    pub fn send(&self, to: &DaemonId, at: SocketAddr, message: M) -> Result<(), SendError<M>> {
        self.send_on(Lane::Control, to, at, message)
    }

    /// Queues a message on a lane and returns at once.
    ///
    /// Messages to one daemon on one lane arrive in order and at most once. If the link is
    /// lost, [`PeerEvent::Lost`] says what was not sent.
    ///
    /// # Errors
    ///
    /// [`SendError`] with the message if it was not queued: the lane's queue is full, the
    /// message is too large or cannot be encoded, or the endpoint is closing.
    pub fn send_on(
        &self,
        lane: Lane,
        to: &DaemonId,
        at: SocketAddr,
        message: M,
    ) -> Result<(), SendError<M>> {
        self.queue(lane, to, at, &message)
            .map_err(|fault| SendError {
                to: to.clone(),
                lane,
                fault,
                message,
            })
    }

    fn queue(
        &self,
        lane: Lane,
        to: &DaemonId,
        at: SocketAddr,
        message: &M,
    ) -> Result<(), SendFault> {
        if self.shared.is_closing.load(Ordering::Relaxed) {
            return Err(SendFault::Closing);
        }
        let mut links = lock(&self.shared.links);
        if let Some(link) = links.get(to) {
            return link.push(lane, message);
        }
        let link = Arc::new(Link::new(at));
        link.push(lane, message)?;
        links.insert(to.clone(), Arc::clone(&link));
        let task = link::run(Arc::clone(&self.shared), to.clone(), link);
        self.runtime.spawn(task);
        Ok(())
    }

    /// Connects to a daemon from a new local port; [`PeerEvent::Probed`] tells the outcome.
    pub fn probe(&self, to: &DaemonId, at: SocketAddr) {
        let task = probe::run(Arc::clone(&self.shared), to.clone(), at);
        self.runtime.spawn(task);
    }

    /// Drops the connection to a daemon; the next send connects from a new local port.
    ///
    /// The old link reports [`PeerEvent::Lost`] with reason `Closed`.
    ///
    /// # Errors
    ///
    /// [`PeerError::Bind`] if no new port could be opened; the old connection then stays.
    pub fn replace(&self, to: &DaemonId) -> Result<(), PeerError> {
        let _guard = self.runtime.enter();
        let dialer = probe::new_local_port(self.shared.local)?;
        *lock(&self.shared.dialer) = dialer;
        if let Some(link) = lock(&self.shared.links).remove(to) {
            link.replace();
        }
        Ok(())
    }

    /// Sends what is queued, waits until it has arrived, and closes all connections.
    ///
    /// Waits [`PeerTimeouts::close`] at most; what has not arrived by then is lost.
    pub async fn close(self) {
        self.shared.is_closing.store(true, Ordering::Relaxed);
        let limit = self.shared.timeouts.close;
        timeout(limit, self.drained()).await.unwrap_or_default();
        let dialer = self.shared.dialer();
        for endpoint in [&self.server, &dialer] {
            endpoint.close(CLOSE_DONE.into(), b"closing");
            timeout(limit, endpoint.wait_idle())
                .await
                .unwrap_or_default();
        }
    }

    async fn drained(&self) {
        for link in lock(&self.shared.links).values() {
            link.drain();
        }
        while !lock(&self.shared.links).is_empty() {
            self.shared.retired.notified().await;
        }
    }
}

impl<M> Drop for PeerEndpoint<M> {
    fn drop(&mut self) {
        self.server.close(CLOSE_DONE.into(), b"closing");
    }
}
