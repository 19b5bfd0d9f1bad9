//! Probes: whether a daemon answers on a new connection, and whether an address refuses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::{future, io};

use laburnumstall_core::ids::DaemonId;
use quinn::{EndpointConfig, TokioRuntime};
use snafu::ResultExt;
use tokio::net::UdpSocket;

use crate::endpoint::Shared;
use crate::error::BindSnafu;
use crate::session::dial;
use crate::{LostReason, PeerError, PeerEvent};

/// Datagram that a QUIC endpoint drops unread, sent to see whether the port is open.
const KNOCK: [u8; 1] = [0];

/// Opens an endpoint for outgoing connections on a new local port.
pub(crate) fn new_local_port(local: SocketAddr) -> Result<quinn::Endpoint, PeerError> {
    let address = SocketAddr::new(local.ip(), 0);
    let socket = std::net::UdpSocket::bind(address).context(BindSnafu { address })?;
    let cfg = EndpointConfig::default();
    quinn::Endpoint::new(cfg, None, socket, Arc::new(TokioRuntime)).context(BindSnafu { address })
}

/// Connects to `to` from a new local port and reports whether it answered.
pub(crate) async fn run<M>(shared: Arc<Shared<M>>, to: DaemonId, address: SocketAddr) {
    let outcome = match new_local_port(shared.local()) {
        Ok(endpoint) => dial(&shared, &endpoint, &to, address).await,
        Err(_) => Err(LostReason::Closed),
    };
    let event = PeerEvent::Probed {
        to,
        alive: outcome.is_ok(),
        refused: matches!(outcome, Err(LostReason::Refused)),
    };
    if let Ok(conn) = outcome {
        conn.close(0_u32.into(), b"probed");
    }
    shared.report(event).await;
}

/// Waits until the system says that nothing listens at `address`; forever if it doesn't.
///
/// Only a datagram socket that is connected to the address is told; QUIC's own is not.
pub(crate) async fn refused(local: SocketAddr, address: SocketAddr) {
    let outcome = knock(local, address).await;
    match outcome {
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
        _ => future::pending().await,
    }
}

async fn knock(local: SocketAddr, address: SocketAddr) -> io::Result<usize> {
    let socket = UdpSocket::bind(SocketAddr::new(local.ip(), 0)).await?;
    socket.connect(address).await?;
    socket.send(&KNOCK).await?;
    let mut buf = KNOCK;
    socket.recv(&mut buf).await
}
