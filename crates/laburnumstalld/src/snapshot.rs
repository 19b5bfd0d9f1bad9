//! Read-only view of the control state, published for the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use laburnumstall_core::ids::{AvailabilityZone, Revision};
use laburnumstall_core::resources::System;
use serde::Serialize;

/// Directory entry of one entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DirectoryEntry {
    /// HTTP address for callers.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: AvailabilityZone,
}

/// The control state that traffic threads read.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Revision of the current configuration; zero if there is none.
    pub revision: Revision,
    /// The configured system.
    pub system: Arc<System>,
    /// Entry daemons for callers, best first.
    pub directory: Vec<DirectoryEntry>,
    /// Time for which callers may cache the directory.
    pub max_age: Duration,
    /// Whether this daemon is leaving.
    pub is_leaving: bool,
    /// Id of this daemon.
    pub daemon: CompactString,
}

/// The latest snapshot; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Published {
    latest: Arc<ArcSwap<Snapshot>>,
}

impl Published {
    /// Returns the latest snapshot.
    pub fn read(&self) -> Arc<Snapshot> {
        self.latest.load_full()
    }

    /// Replaces the snapshot.
    pub fn publish(&self, snapshot: Snapshot) {
        self.latest.store(Arc::new(snapshot));
    }
}
