//! The certificates that are accepted, as the membership registry gives them.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use laburnumstall_core::ids::DaemonId;

use crate::CertificateDigest;

/// A shared map from certificate digest to daemon; clones show the same map.
///
/// It is read when a connection is made. A connection that stands when its pin is
/// removed stays until it is closed.
#[derive(Debug, Clone, Default)]
pub struct Pins {
    map: Arc<ArcSwap<BTreeMap<CertificateDigest, DaemonId>>>,
}

impl Pins {
    /// Replaces the whole map.
    pub fn set(&self, pins: impl IntoIterator<Item = (CertificateDigest, DaemonId)>) {
        self.map.store(Arc::new(pins.into_iter().collect()));
    }

    /// Returns the daemon that a digest belongs to.
    pub fn daemon_of(&self, digest: &CertificateDigest) -> Option<DaemonId> {
        self.map.load().get(digest).cloned()
    }

    /// Tells whether a digest belongs to `daemon`.
    pub fn matches(&self, digest: &CertificateDigest, daemon: &DaemonId) -> bool {
        self.map.load().get(digest) == Some(daemon)
    }

    /// Tells whether any digest belongs to `daemon`.
    pub fn has_daemon(&self, daemon: &DaemonId) -> bool {
        self.map.load().values().any(|known| known == daemon)
    }
}
