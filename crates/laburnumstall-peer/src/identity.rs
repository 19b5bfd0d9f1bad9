//! The certificate by which a daemon is known to the others.

use laburnumstall_core::ids::DaemonId;
use laburnumstall_core::membership::CertificateFingerprint;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use snafu::ResultExt;

use crate::PeerError;
use crate::error::CertificateSnafu;

/// Name that every certificate carries; the fingerprint, not the name, tells daemons apart.
pub(crate) const CERTIFICATE_NAME: &str = "laburnumstall";

/// A daemon's identifier with its certificate and private key, kept in memory only.
#[derive(Debug)]
pub struct Identity {
    daemon: DaemonId,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Makes a new key and a self-signed certificate for one life of a daemon.
    ///
    /// # Errors
    ///
    /// [`PeerError::Certificate`] if the key or the certificate cannot be made.
    pub fn generate(daemon: &DaemonId) -> Result<Self, PeerError> {
        let certified = rcgen::generate_simple_self_signed([CERTIFICATE_NAME.to_owned()]).context(
            CertificateSnafu {
                daemon: daemon.to_string(),
            },
        )?;
        let key = PrivatePkcs8KeyDer::from(certified.signing_key.serialize_der());
        Ok(Self {
            daemon: daemon.clone(),
            certificate: certified.cert.der().clone(),
            key: key.into(),
        })
    }

    /// Returns the daemon that this identity belongs to.
    pub fn daemon(&self) -> &DaemonId {
        &self.daemon
    }

    /// Returns the fingerprint to publish, by which others accept this daemon.
    pub fn fingerprint(&self) -> CertificateFingerprint {
        CertificateFingerprint::of(&self.certificate)
    }

    /// Returns the certificate chain for TLS.
    pub(crate) fn chain(&self) -> Vec<CertificateDer<'static>> {
        vec![self.certificate.clone()]
    }

    /// Returns the private key for TLS.
    pub(crate) fn key(&self) -> PrivateKeyDer<'static> {
        self.key.clone_key()
    }
}
