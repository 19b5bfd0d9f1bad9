//! Timeouts of links, and the transport settings made from them.

use std::sync::Arc;
use std::time::Duration;

use quinn::{TransportConfig, VarInt};
use snafu::ResultExt;

use crate::PeerError;
use crate::error::IdleTimeoutSnafu;

/// Most bytes of one stream that the receiver takes before its reader has read them.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Most unacknowledged bytes of one connection; above the windows of all lanes together,
/// so that the bulk lane cannot block the control lane.
const SEND_WINDOW_BYTES: u64 = 4 * STREAM_WINDOW_BYTES as u64;

/// Round trip assumed before one is measured. Lost packets of a handshake are repeated
/// after three of these, several times within the connect timeout.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Memory for datagrams, which are never read: each only asks for an answer.
const PING_BUFFER_BYTES: usize = 256;

/// Time by which the receiver keeps an unused connection longer than its sender.
const IDLE_MARGIN: Duration = Duration::from_secs(5);

/// Most streams that a peer may have open on one connection: one for each lane.
const MAX_STREAMS: u32 = 2;

/// Timeouts of the links of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// Longest wait for a connection to be accepted.
    pub connect: Duration,
    /// Longest wait for any answer to what was sent before the link counts as lost.
    pub silence: Duration,
    /// Time without a message after which the sender closes a link, without an event.
    /// Until then a link without messages costs nothing: it is not kept alive.
    pub unused: Duration,
    /// Longest wait for queued messages to arrive when the endpoint closes.
    pub close: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_500),
            silence: Duration::from_millis(1_500),
            unused: Duration::from_secs(30),
            close: Duration::from_secs(2),
        }
    }
}

impl PeerTimeouts {
    /// Settings of the accepting side.
    pub(crate) fn accepting(&self) -> Result<Arc<TransportConfig>, PeerError> {
        let mut cfg = self.common()?;
        cfg.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
        Ok(Arc::new(cfg))
    }

    /// Settings of the connecting side.
    pub(crate) fn connecting(&self) -> Result<Arc<TransportConfig>, PeerError> {
        let mut cfg = self.common()?;
        cfg.max_concurrent_bidi_streams(VarInt::from_u32(0));
        Ok(Arc::new(cfg))
    }

    fn common(&self) -> Result<TransportConfig, PeerError> {
        let idle = self.unused + IDLE_MARGIN;
        let idle = idle.try_into().context(IdleTimeoutSnafu)?;
        let mut cfg = TransportConfig::default();
        cfg.max_idle_timeout(Some(idle));
        cfg.initial_rtt(INITIAL_RTT);
        cfg.max_concurrent_uni_streams(VarInt::from_u32(0));
        cfg.datagram_receive_buffer_size(Some(PING_BUFFER_BYTES));
        cfg.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
        cfg.send_window(SEND_WINDOW_BYTES);
        Ok(cfg)
    }
}
