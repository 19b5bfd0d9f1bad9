//! A daemon's registration, which is stored in the registry and sent to peers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::domain;
use crate::domain_value;
use crate::hash::digest64;
use crate::ids::{AvailabilityZone, DaemonId, ParseIdError};

domain_value! {
    /// BLAKE3 digest of a daemon's DER-encoded TLS certificate; peers accept only this
    /// certificate.
    pub struct CertificateFingerprint(pub [u8; 32]);
}

domain! {
    /// One entry daemon, stored in the registry under `daemons/<vm>`.
    pub struct Member {
        /// VM and incarnation of the process.
        pub id: DaemonId,
        /// Zone of the VM.
        pub zone: AvailabilityZone,
        /// QUIC address for other daemons.
        pub peer_address: SocketAddr,
        /// HTTP address for callers.
        pub caller_address: SocketAddr,
        /// Fingerprint of the certificate, pinned by peers.
        pub certificate: CertificateFingerprint,
        /// Whether the daemon has stopped accepting new work.
        pub leaving: bool,
    }
}

impl Member {
    /// Returns the member's hash for rendezvous hashing.
    pub fn weight_seed(&self) -> u64 {
        let incarnation = self.id.incarnation.get().to_le_bytes();
        digest64(&[self.id.vm.as_str().as_bytes(), &incarnation])
    }
}

impl CertificateFingerprint {
    /// Computes the fingerprint of a DER-encoded certificate.
    pub fn of(certificate: &[u8]) -> Self {
        Self(*blake3::hash(certificate).as_bytes())
    }
}

impl fmt::Display for CertificateFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for CertificateFingerprint {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("CertificateFingerprint", s, "64 hexadecimal digits");
        if s.len() != 64 || !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (byte, digits) in bytes.iter_mut().zip(s.as_bytes().chunks_exact(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| error())?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}
