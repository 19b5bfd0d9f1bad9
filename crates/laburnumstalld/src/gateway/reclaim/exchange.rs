//! Requests to endpoints to copy the KV cache of a run, or to free a copy.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumstall_core::gateway::{KvHandle, MoveReply};
use laburnumstall_platform::moves;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::http1::{BodyReader, Conn};

/// Timeout to open a connection or to free a copy.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response head.
const MAX_HEAD: usize = 16 << 10;
/// Maximum size of a response body.
const MAX_BODY: usize = 4 << 10;

/// Response to a request for a copy, and the connection if it can be used again.
pub(super) type Replied = (MoveReply, Option<Conn>);

/// Requests a copy in a task of its own, which frees the copy if nobody waits for it any longer.
/// `conn` is a connection to the endpoint at `source`, if there is one.
pub(super) fn request_copy(
    conn: Option<Conn>,
    source: SocketAddr,
    to: SocketAddr,
    message: Vec<u8>,
    limit: Duration,
) -> oneshot::Receiver<Replied> {
    let (tx, rx) = oneshot::channel();
    actix_rt::spawn(async move {
        let replied = match timeout(limit, exchange(conn, source, &message)).await {
            Ok(Some((status, body, conn))) => (moves::read_reply(status, &body), conn),
            Ok(None) | Err(_) => (MoveReply::Unclear, None),
        };
        if let Err((MoveReply::Copied(handle), _)) = tx.send(replied) {
            release(to, &handle).await;
        }
    });
    rx
}

/// Frees a copy in a task of its own.
pub(super) fn spawn_release(address: SocketAddr, handle: KvHandle) {
    actix_rt::spawn(async move { release(address, &handle).await });
}

/// Frees a copy; one that cannot be reached is freed by its endpoint after a time.
async fn release(address: SocketAddr, handle: &KvHandle) {
    let message = moves::encode_release(address, handle);
    let _ = timeout(SHORT_TIMEOUT, exchange(None, address, &message)).await;
}

async fn exchange(
    conn: Option<Conn>,
    address: SocketAddr,
    message: &[u8],
) -> Option<(u16, Vec<u8>, Option<Conn>)> {
    let open = conn.and_then(|mut conn| conn.is_open_and_idle().then_some(conn));
    let mut conn = match open {
        Some(conn) => conn,
        None => Conn::connect(address, SHORT_TIMEOUT).await.ok()?,
    };
    conn.send(message, SHORT_TIMEOUT).await.ok()?;
    let head = conn.final_response_head("POST", MAX_HEAD).await.ok()??;
    let mut reader = BodyReader::new(head.framing);
    let mut body = Vec::new();
    while body.len() <= MAX_BODY
        && let Some(part) = conn.body_part(&mut reader).await.ok()?
    {
        body.extend_from_slice(&part);
    }
    let is_reusable = reader.is_done() && conn.is_between_messages() && !head.should_close;
    Some((head.status, body, is_reusable.then_some(conn)))
}
