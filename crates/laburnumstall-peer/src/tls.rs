//! Mutual TLS 1.3 in which a certificate is accepted by its pinned fingerprint.
//!
//! The fingerprint stands in for a chain of trust; the signature over the handshake is checked
//! as usual, so that only the holder of the private key can present the certificate.
//! Sessions are never resumed: each connection checks the pins again.

use std::sync::Arc;

use laburnumstall_core::ids::DaemonId;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, SignatureScheme, version,
};
use snafu::ResultExt;

use crate::error::{CipherSnafu, TlsSnafu};
use crate::{CertificateFingerprint, Identity, PROTOCOL, PeerError, PeerTimeouts, Pins};

/// Accepts the certificates of one daemon, or of all known ones.
#[derive(Debug)]
struct PinVerifier {
    pins: Pins,
    expected: Option<DaemonId>,
    provider: Arc<CryptoProvider>,
}

impl PinVerifier {
    fn check(&self, certificate: &CertificateDer<'_>) -> Result<(), Error> {
        let fingerprint = CertificateFingerprint::of(certificate);
        let is_pinned = match &self.expected {
            Some(daemon) => self.pins.matches(&fingerprint, daemon),
            None => self.pins.daemon_of(&fingerprint).is_some(),
        };
        if is_pinned {
            Ok(())
        } else {
            Err(CertificateError::ApplicationVerificationFailure.into())
        }
    }
}

/// The checks of a handshake's signature, which the verifiers of both sides have to give.
macro_rules! signature_checks {
    () => {
        fn verify_tls12_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            let algorithms = &self.provider.signature_verification_algorithms;
            verify_tls12_signature(message, cert, dss, algorithms)
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            let algorithms = &self.provider.signature_verification_algorithms;
            verify_tls13_signature(message, cert, dss, algorithms)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            let algorithms = &self.provider.signature_verification_algorithms;
            algorithms.supported_schemes()
        }
    };
}

impl ServerCertVerifier for PinVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.check(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    signature_checks!();
}

impl ClientCertVerifier for PinVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    signature_checks!();
}

/// What is needed to make the TLS settings of connections.
#[derive(Debug)]
pub(crate) struct TlsContext {
    identity: Identity,
    pins: Pins,
    timeouts: PeerTimeouts,
    provider: Arc<CryptoProvider>,
}

impl TlsContext {
    pub(crate) fn new(identity: Identity, pins: Pins, timeouts: PeerTimeouts) -> Self {
        Self {
            identity,
            pins,
            timeouts,
            provider: Arc::new(rustls::crypto::ring::default_provider()),
        }
    }

    pub(crate) fn identity(&self) -> &Identity {
        &self.identity
    }

    pub(crate) fn pins(&self) -> &Pins {
        &self.pins
    }

    fn verifier(&self, expected: Option<DaemonId>) -> Arc<PinVerifier> {
        Arc::new(PinVerifier {
            pins: self.pins.clone(),
            expected,
            provider: Arc::clone(&self.provider),
        })
    }

    /// Settings that accept every daemon with a pinned certificate.
    pub(crate) fn accepting(&self) -> Result<quinn::ServerConfig, PeerError> {
        let mut tls = rustls::ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&version::TLS13])
            .context(TlsSnafu)?
            .with_client_cert_verifier(self.verifier(None))
            .with_single_cert(self.identity.chain(), self.identity.key())
            .context(TlsSnafu)?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        tls.send_tls13_tickets = 0;
        let crypto = QuicServerConfig::try_from(tls).context(CipherSnafu)?;
        let mut cfg = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        cfg.transport_config(self.timeouts.accepting()?);
        cfg.migration(false);
        Ok(cfg)
    }

    /// Settings that accept only the pinned certificate of `daemon`.
    pub(crate) fn connecting(&self, daemon: &DaemonId) -> Result<quinn::ClientConfig, PeerError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&version::TLS13])
            .context(TlsSnafu)?
            .dangerous()
            .with_custom_certificate_verifier(self.verifier(Some(daemon.clone())))
            .with_client_auth_cert(self.identity.chain(), self.identity.key())
            .context(TlsSnafu)?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        tls.resumption = rustls::client::Resumption::disabled();
        let crypto = QuicClientConfig::try_from(tls).context(CipherSnafu)?;
        let mut cfg = quinn::ClientConfig::new(Arc::new(crypto));
        cfg.transport_config(self.timeouts.connecting()?);
        Ok(cfg)
    }
}
