//! Links between the daemons: typed messages over QUIC with pinned certificates.
//!
//! [`PeerEndpoint::send`] encodes a message into the queue of its link and lane; the
//! link's task connects on demand and writes whatever is queued in one write. The
//! receiving endpoint decodes the frames of each stream and passes them on as
//! [`PeerEvent::Message`], in order within a lane and at most once. A daemon is known by
//! the fingerprint of its self-signed certificate, which [`Pins`] maps to its identifier.

mod endpoint;
mod error;
mod event;
pub mod frame;
mod identity;
mod inbound;
mod lane;
mod link;
mod liveness;
mod pins;
mod probe;
mod session;
mod timeouts;
mod tls;
mod traffic;

pub use endpoint::PeerEndpoint;
pub use error::PeerError;
pub use event::{LostReason, PeerEvent, SendError, SendFault};
pub use identity::Identity;
pub use laburnumstall_core::membership::CertificateFingerprint;
pub use laburnumstall_core::message::Lane;
pub use pins::Pins;
pub use timeouts::PeerTimeouts;
pub use traffic::Traffic;

/// Name of the protocol that both sides must offer in the TLS handshake.
pub const PROTOCOL: &[u8] = b"laburnumstall/1";

/// Version byte that opens each stream and that the receiver sends back.
pub const STREAM_VERSION: u8 = 2;
