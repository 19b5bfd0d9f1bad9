//! Value types used only in settings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use laburnumstall_core::ids::ParseIdError;
use spdlog::Level;

/// BLAKE3 digest of an operator's key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Returns whether `key` has this digest; compares in constant time.
    pub fn matches(&self, key: &str) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::hash(key.as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(s)
            .map_err(|_| ParseIdError::new("key digest", s, "64 hexadecimal digits"))?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// An IP address and a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Address(pub(super) SocketAddr);

impl FromStr for Address {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let expected = "an IP number and a port, such as 10.0.0.7:8080";
        s.parse()
            .map(Self)
            .map_err(|_| ParseIdError::new("address", s, expected))
    }
}

/// An address that others connect to; neither IP address nor port may be unspecified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Advertised(pub(super) SocketAddr);

impl FromStr for Advertised {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let Address(address) = s.parse()?;
        if address.ip().is_unspecified() || address.port() == 0 {
            let expected = "an address that others can connect to";
            return Err(ParseIdError::new("address", s, expected));
        }
        Ok(Self(address))
    }
}

/// Least severe log level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LogLevel(pub(super) Level);

impl FromStr for LogLevel {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let expected = "critical, error, warn, info, debug or trace";
        Level::iter()
            .find(|level| level.as_str() == s)
            .map(Self)
            .ok_or_else(|| ParseIdError::new("log level", s, expected))
    }
}
