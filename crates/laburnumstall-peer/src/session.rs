//! One outgoing connection, from the handshake to its end.

use std::convert::Infallible;
use std::future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use laburnumstall_core::ids::DaemonId;
use quinn::{Connection, ConnectionError, ReadError, ReadExactError, RecvStream, SendStream};
use quinn::{TransportErrorCode, WriteError};
use tokio::time::{sleep, timeout};

use crate::endpoint::Shared;
use crate::identity::CERTIFICATE_NAME;
use crate::lane::LinkLane;
use crate::link::{LaneStep, Link};
use crate::{Lane, LostReason, PeerEvent, Pins, STREAM_VERSION, liveness, probe};

/// Code of a connection that ends in good order.
pub(crate) const CLOSE_DONE: u32 = 0;

/// Code of a connection that is closed for a frame that cannot be read.
pub(crate) const CLOSE_BAD_FRAME: u32 = 1;

/// Longest time for which a handshake keeps others waiting.
const DIAL_TURN: Duration = Duration::from_millis(200);

/// TLS alert raised here when the certificate of the other side is not the pinned one.
const ALERT_ACCESS_DENIED: u8 = 49;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SessionEnd {
    /// Everything arrived and nothing is queued.
    Drained,
    /// The connection was lost or not made.
    Lost(LostReason),
}

/// A lane's stream, accepted by the other side.
struct LaneStream {
    tx: SendStream,
    rx: RecvStream,
}

/// Connects, writes what is queued, and returns when the connection ends.
pub(crate) async fn run<M>(shared: &Shared<M>, to: &DaemonId, link: &Link) -> SessionEnd {
    tokio::select! {
        outcome = connect_and_write(shared, to, link) => match outcome {
            Ok(()) => SessionEnd::Drained,
            Err(reason) => SessionEnd::Lost(reason),
        },
        () = link.replaced() => SessionEnd::Lost(LostReason::Closed),
    }
}

async fn connect_and_write<M>(
    shared: &Shared<M>,
    to: &DaemonId,
    link: &Link,
) -> Result<(), LostReason> {
    let endpoint = shared.dialer();
    let address = link.address();
    let conn = dial_in_turn(shared, &endpoint, to, address).await?;
    let _counted = shared.meter().count(&conn);
    let greeting = timeout(shared.timeouts().connect, open(&conn, Lane::Control));
    let control = greeting.await.map_err(|_| LostReason::TimedOut)??;
    shared.report(PeerEvent::Connected { to: to.clone() }).await;
    let lanes = async {
        tokio::try_join!(
            write_lane(link, Lane::Control, control),
            write_bulk(link, &conn)
        )
    };
    tokio::select! {
        outcome = lanes => outcome.map(|_| ())?,
        error = conn.closed() => return Err(reason_of(&error)),
        reason = liveness::watch(shared, link, &conn) => return Err(reason),
        never = drain_unused(link, shared.timeouts().unused) => match never {},
    }
    conn.close(CLOSE_DONE.into(), b"done");
    Ok(())
}

/// Makes a connection when few others are being made.
///
/// The answers to many handshakes at once would overflow the socket's buffer. A daemon
/// that doesn't answer soon gives way to the others, and is waited for beside them.
async fn dial_in_turn<M>(
    shared: &Shared<M>,
    endpoint: &quinn::Endpoint,
    to: &DaemonId,
    address: SocketAddr,
) -> Result<Connection, LostReason> {
    let turn = shared.dials().acquire().await;
    let dialed = dial(shared, endpoint, to, address);
    tokio::pin!(dialed);
    tokio::select! {
        outcome = &mut dialed => return outcome,
        () = sleep(DIAL_TURN) => drop(turn),
    }
    dialed.await
}

/// Makes a connection to the daemon `to`.
pub(crate) async fn dial<M>(
    shared: &Shared<M>,
    endpoint: &quinn::Endpoint,
    to: &DaemonId,
    address: SocketAddr,
) -> Result<Connection, LostReason> {
    let cfg = shared.tls().connecting(to);
    let cfg = cfg.map_err(|_| LostReason::BadPeer)?;
    let connecting = endpoint
        .connect_with(cfg, address, CERTIFICATE_NAME)
        .map_err(|_| LostReason::Closed)?;
    let handshake = timeout(shared.timeouts().connect, connecting);
    tokio::select! {
        outcome = handshake => match outcome {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(error)) => Err(reason_of_handshake(shared.tls().pins(), to, &error)),
            Err(_) => Err(LostReason::TimedOut),
        },
        () = probe::refused(shared.local(), address) => Err(LostReason::Refused),
    }
}

/// Opens a lane's stream and waits until the other side accepts it.
async fn open(conn: &Connection, lane: Lane) -> Result<LaneStream, LostReason> {
    let (mut tx, mut rx) = conn.open_bi().await.map_err(|error| reason_of(&error))?;
    tx.set_priority(lane.priority())
        .map_err(|_| LostReason::Closed)?;
    tx.write_all(&[STREAM_VERSION, lane.code()])
        .await
        .map_err(|error| reason_of_write(&error))?;
    let mut version = [0];
    rx.read_exact(&mut version)
        .await
        .map_err(|error| reason_of_greeting(&error))?;
    if version != [STREAM_VERSION] {
        return Err(LostReason::BadPeer);
    }
    Ok(LaneStream { tx, rx })
}

/// Opens the bulk lane when there is something for it, and writes it.
async fn write_bulk(link: &Link, conn: &Connection) -> Result<(), LostReason> {
    while link.is_lane_empty(Lane::Bulk) {
        if link.is_draining() {
            return Ok(());
        }
        link.woken(Lane::Bulk).await;
    }
    link.begin_write(0);
    let stream = open(conn, Lane::Bulk).await?;
    link.end_write();
    write_lane(link, Lane::Bulk, stream).await
}

/// Writes a lane: all that was queued while one write was under way goes into the next.
async fn write_lane(link: &Link, lane: Lane, mut stream: LaneStream) -> Result<(), LostReason> {
    loop {
        match link.step(lane) {
            LaneStep::Write(batch) => {
                link.begin_write(batch.bytes.len());
                let written = stream.tx.write_chunk(Bytes::from(batch.bytes)).await;
                written.map_err(|error| reason_of_write(&error))?;
                link.end_write();
            }
            LaneStep::Wait => link.woken(lane).await,
            LaneStep::Finish => {
                link.begin_write(0);
                finish(stream).await?;
                link.end_write();
                return Ok(());
            }
        }
    }
}

/// Ends a stream and waits until the other side has taken all of it.
async fn finish(mut stream: LaneStream) -> Result<(), LostReason> {
    stream.tx.finish().map_err(|_| LostReason::Closed)?;
    match stream.rx.read_to_end(0).await {
        Ok(_) => Ok(()),
        Err(quinn::ReadToEndError::Read(error)) => Err(reason_of_read(&error)),
        Err(quinn::ReadToEndError::TooLong) => Err(LostReason::BadPeer),
    }
}

/// Drains the link after a time without messages; never returns.
async fn drain_unused(link: &Link, unused: Duration) -> Infallible {
    let mut pushed = None;
    while pushed != Some(link.pushed()) {
        pushed = Some(link.pushed());
        sleep(unused).await;
    }
    link.drain();
    future::pending().await
}

/// Says why a connection was not made.
///
/// If the certificate of `to` is known and the listener has another one, the process that
/// listened there before is gone.
fn reason_of_handshake(pins: &Pins, to: &DaemonId, error: &ConnectionError) -> LostReason {
    match error {
        ConnectionError::TransportError(error)
            if error.code == TransportErrorCode::crypto(ALERT_ACCESS_DENIED)
                && pins.has_daemon(to) =>
        {
            LostReason::Refused
        }
        error => reason_of(error),
    }
}

/// Says why a connection ended.
pub(crate) fn reason_of(error: &ConnectionError) -> LostReason {
    match error {
        ConnectionError::VersionMismatch => LostReason::BadPeer,
        ConnectionError::TransportError(_) => LostReason::BadPeer,
        ConnectionError::ConnectionClosed(close) => reason_of_code(close.error_code),
        ConnectionError::ApplicationClosed(close) => {
            let is_bad_frame = close.error_code == CLOSE_BAD_FRAME.into();
            if is_bad_frame {
                LostReason::BadPeer
            } else {
                LostReason::Closed
            }
        }
        ConnectionError::Reset => LostReason::Reset,
        ConnectionError::TimedOut => LostReason::TimedOut,
        ConnectionError::LocallyClosed => LostReason::Closed,
        ConnectionError::CidsExhausted => LostReason::Closed,
    }
}

fn reason_of_code(code: TransportErrorCode) -> LostReason {
    match code {
        TransportErrorCode::NO_ERROR => LostReason::Closed,
        TransportErrorCode::CONNECTION_REFUSED => LostReason::Refused,
        _ => LostReason::BadPeer,
    }
}

fn reason_of_write(error: &WriteError) -> LostReason {
    match error {
        WriteError::ConnectionLost(error) => reason_of(error),
        WriteError::Stopped(_) => LostReason::BadPeer,
        WriteError::ClosedStream | WriteError::ZeroRttRejected => LostReason::Closed,
    }
}

fn reason_of_read(error: &ReadError) -> LostReason {
    match error {
        ReadError::ConnectionLost(error) => reason_of(error),
        ReadError::Reset(_) => LostReason::BadPeer,
        _ => LostReason::Closed,
    }
}

fn reason_of_greeting(error: &ReadExactError) -> LostReason {
    match error {
        ReadExactError::FinishedEarly(_) => LostReason::BadPeer,
        ReadExactError::ReadError(error) => reason_of_read(error),
    }
}
