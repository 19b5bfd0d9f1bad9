//! The certificate by which a daemon is known to the others.

use std::fmt;
use std::str::FromStr;

use laburnumstall_core::ids::{DaemonId, ParseIdError};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::PeerError;
use crate::error::CertificateSnafu;

/// Name that every certificate carries; the digest, not the name, tells daemons apart.
pub(crate) const CERTIFICATE_NAME: &str = "laburnumstall";

/// BLAKE3 digest of a certificate in DER form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CertificateDigest(pub [u8; 32]);

impl CertificateDigest {
    /// Computes the digest of a certificate in DER form.
    pub fn of(certificate: &[u8]) -> Self {
        Self(*blake3::hash(certificate).as_bytes())
    }
}

impl fmt::Display for CertificateDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl FromStr for CertificateDigest {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(s)
            .map_err(|_| ParseIdError::new("CertificateDigest", s, "64 hexadecimal digits"))?;
        Ok(Self(*hash.as_bytes()))
    }
}

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

    /// Returns the digest to publish, by which others accept this daemon.
    pub fn fingerprint(&self) -> CertificateDigest {
        CertificateDigest::of(&self.certificate)
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
