//! What a daemon says of itself: stored in the registry and told to peers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::domain;
use crate::domain_value;
use crate::hash::digest64;
use crate::ids::{AvailabilityZone, DaemonId, ParseIdError};

domain_value! {
    /// BLAKE3 digest of a daemon's TLS certificate in DER form; peers accept this
    /// certificate alone.
    pub struct CertificateFingerprint(pub [u8; 32]);
}

domain! {
    /// One entry daemon, as the registry holds it under `daemons/<vm>`.
    pub struct Member {
        /// VM and process life.
        pub id: DaemonId,
        /// Zone of the VM.
        pub zone: AvailabilityZone,
        /// Address for the other daemons, over QUIC.
        pub peer_address: SocketAddr,
        /// Address for callers, over HTTP.
        pub caller_address: SocketAddr,
        /// Certificate that peers pin.
        pub certificate: CertificateFingerprint,
        /// Whether the daemon accepts no new work.
        pub leaving: bool,
    }
}

impl Member {
    /// Returns the hash by which the member takes part in rendezvous hashing.
    pub fn weight_seed(&self) -> u64 {
        let incarnation = self.id.incarnation.get().to_le_bytes();
        digest64(&[self.id.vm.as_str().as_bytes(), &incarnation])
    }
}

impl CertificateFingerprint {
    /// Computes the fingerprint of a certificate in DER form.
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
