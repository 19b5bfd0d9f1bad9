//! The receiving side: accepts connections of known daemons and reads their messages.

use std::sync::Arc;

use laburnumstall_core::ids::DaemonId;
use quinn::{Connection, Incoming, RecvStream, SendStream};
use rustls::pki_types::CertificateDer;
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, oneshot};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

use crate::endpoint::Shared;
use crate::frame::{FrameDecoder, FrameError};
use crate::lane::LinkLane;
use crate::session::CLOSE_BAD_FRAME;
use crate::{CertificateFingerprint, Lane, PeerEvent, STREAM_VERSION};

/// Most connections, incoming and outgoing, that an endpoint serves at a time.
const MAX_CONNECTIONS: usize = 4096;

/// Most bytes read from a stream at a time.
const READ_BYTES: usize = 64 << 10;

/// Accepts connections until the endpoint is closed.
pub(crate) async fn run<M>(shared: Arc<Shared<M>>, endpoint: quinn::Endpoint)
where
    M: DeserializeOwned + Send + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        if endpoint.open_connections() >= MAX_CONNECTIONS {
            incoming.refuse();
            continue;
        }
        tokio::spawn(serve(Arc::clone(&shared), incoming));
    }
}

/// The connection by which a daemon sends to this one at present.
#[derive(Debug)]
pub(crate) struct Incumbent {
    stop: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Incumbent {
    /// Tells whether `stop` is what stops this connection.
    pub(crate) fn is_stopped_by(&self, stop: &Arc<Notify>) -> bool {
        Arc::ptr_eq(&self.stop, stop)
    }

    /// Stops the connection's readers and waits until they report nothing more.
    async fn stop(self) {
        self.stop.notify_one();
        self.task.await.unwrap_or_default();
    }
}

/// Reads a connection; its first stream takes the place of the daemon's earlier connection.
///
/// A probe opens no stream, so it replaces nothing.
async fn serve<M>(shared: Arc<Shared<M>>, incoming: Incoming)
where
    M: DeserializeOwned + Send + 'static,
{
    let handshake = timeout(shared.timeouts().connect, incoming);
    let Ok(Ok(conn)) = handshake.await else {
        return;
    };
    let Some(from) = daemon_at(&shared, &conn) else {
        return;
    };
    let Ok(first) = conn.accept_bi().await else {
        return;
    };
    let stop = Arc::new(Notify::new());
    let (start, started) = oneshot::channel();
    let task = tokio::spawn(read_connection(
        Arc::clone(&shared),
        conn,
        from.clone(),
        first,
        started,
        Arc::clone(&stop),
    ));
    let earlier = shared.install(from, Incumbent { stop, task });
    if let Some(earlier) = earlier {
        earlier.stop().await;
    }
    start.send(()).unwrap_or_default();
}

/// Reads the streams of a connection until it ends or is told to stop.
async fn read_connection<M>(
    shared: Arc<Shared<M>>,
    conn: Connection,
    from: DaemonId,
    first: (SendStream, RecvStream),
    started: oneshot::Receiver<()>,
    stop: Arc<Notify>,
) where
    M: DeserializeOwned + Send + 'static,
{
    if started.await.is_err() {
        return;
    }
    let _counted = shared.meter().count(&conn);
    let mut readers = JoinSet::new();
    let mut next = Some(first);
    while let Some((tx, rx)) = next {
        let reader = read_stream(Arc::clone(&shared), conn.clone(), from.clone(), tx, rx);
        readers.spawn(reader);
        next = tokio::select! {
            stream = conn.accept_bi() => stream.ok(),
            () = stop.notified() => {
                readers.abort_all();
                None
            }
        };
    }
    tokio::select! {
        () = join(&mut readers) => {}
        () = stop.notified() => readers.shutdown().await,
    }
    shared.uninstall(&from, &stop);
}

async fn join(readers: &mut JoinSet<()>) {
    while readers.join_next().await.is_some() {}
}

/// Returns the daemon that the certificate of a connection belongs to.
fn daemon_at<M>(shared: &Shared<M>, conn: &Connection) -> Option<DaemonId> {
    let identity = conn.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = chain.first()?;
    let fingerprint = CertificateFingerprint::of(certificate);
    shared.tls().pins().daemon_of(&fingerprint)
}

/// Reads one stream; a bad frame ends its connection.
async fn read_stream<M>(
    shared: Arc<Shared<M>>,
    conn: Connection,
    from: DaemonId,
    mut tx: SendStream,
    rx: RecvStream,
) where
    M: DeserializeOwned,
{
    let outcome = read_frames(&shared, &from, &mut tx, rx).await;
    if let Err(fault) = outcome {
        conn.close(CLOSE_BAD_FRAME.into(), b"bad frame");
        shared.report(PeerEvent::BadFrame { from, fault }).await;
    }
}

/// Passes on the messages of a stream until it or its connection ends.
async fn read_frames<M>(
    shared: &Shared<M>,
    from: &DaemonId,
    tx: &mut SendStream,
    mut rx: RecvStream,
) -> Result<(), FrameError>
where
    M: DeserializeOwned,
{
    let mut header = [0; 2];
    if rx.read_exact(&mut header).await.is_err() {
        return Ok(());
    }
    check_header(header)?;
    if tx.write_all(&[STREAM_VERSION]).await.is_err() {
        return Ok(());
    }
    let mut decoder = FrameDecoder::default();
    while let Ok(chunk) = rx.read_chunk(READ_BYTES, true).await {
        let Some(chunk) = chunk else {
            decoder.finish()?;
            // The sender takes the end of this stream as the receipt for the whole lane.
            tx.finish().unwrap_or_default();
            return Ok(());
        };
        decoder.push(&chunk.bytes);
        while let Some(message) = decoder.next_frame()? {
            let from = from.clone();
            shared.report(PeerEvent::Message { from, message }).await;
        }
    }
    Ok(())
}

fn check_header([version, lane]: [u8; 2]) -> Result<(), FrameError> {
    let is_lane = Lane::ALL.iter().any(|known| known.code() == lane);
    if version != STREAM_VERSION || !is_lane {
        return Err(FrameError::Header { version, lane });
    }
    Ok(())
}
