//! Errors of setting up an endpoint.

use std::net::SocketAddr;

use snafu::Snafu;

/// An endpoint that could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The certificate could not be made.
    #[snafu(display("cannot make the certificate of daemon {daemon}"))]
    Certificate {
        /// Daemon that the certificate is for.
        daemon: String,
        /// What the library said.
        source: rcgen::Error,
    },
    /// The TLS settings were refused.
    #[snafu(display("cannot set up TLS for the peer links"))]
    Tls {
        /// What the library said.
        source: rustls::Error,
    },
    /// The TLS settings lack the cipher that QUIC starts with.
    #[snafu(display("cannot set up TLS for the peer links: no initial cipher suite"))]
    Cipher {
        /// What the library said.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The UDP socket could not be opened.
    #[snafu(display("cannot open the UDP address {address} for peer links"))]
    Bind {
        /// Address asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The idle timeout is longer than QUIC can state.
    #[snafu(display("the idle timeout of the peer links is too long"))]
    IdleTimeout {
        /// What the library said.
        source: quinn::VarIntBoundsExceeded,
    },
    /// No tokio runtime is running on this thread.
    #[snafu(display("peer links need a running tokio runtime"))]
    Runtime {
        /// What the library said.
        source: tokio::runtime::TryCurrentError,
    },
}
