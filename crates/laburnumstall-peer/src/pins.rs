//! The certificates that are accepted, as the membership registry gives them.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use laburnumstall_core::ids::DaemonId;

use crate::CertificateFingerprint;

/// A shared map from certificate fingerprint to daemon; clones show the same map.
///
/// It is read when a connection is made. A connection that stands when its pin is
/// removed stays until it is closed.
#[derive(Debug, Clone, Default)]
pub struct Pins {
    map: Arc<ArcSwap<BTreeMap<CertificateFingerprint, DaemonId>>>,
}

impl Pins {
    /// Replaces the whole map.
    pub fn set(&self, pins: impl IntoIterator<Item = (CertificateFingerprint, DaemonId)>) {
        self.map.store(Arc::new(pins.into_iter().collect()));
    }

    /// Returns the daemon that a fingerprint belongs to.
    pub fn daemon_of(&self, fingerprint: &CertificateFingerprint) -> Option<DaemonId> {
        self.map.load().get(fingerprint).cloned()
    }

    /// Tells whether a fingerprint belongs to `daemon`.
    pub fn matches(&self, fingerprint: &CertificateFingerprint, daemon: &DaemonId) -> bool {
        self.map.load().get(fingerprint) == Some(daemon)
    }

    /// Tells whether any fingerprint belongs to `daemon`.
    pub fn has_daemon(&self, daemon: &DaemonId) -> bool {
        self.map.load().values().any(|known| known == daemon)
    }
}
