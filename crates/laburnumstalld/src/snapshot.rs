//! What the control thread publishes for the traffic threads to read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use laburnumstall_core::ids::{AvailabilityZone, Revision};
use laburnumstall_core::resources::System;
use serde::Serialize;

/// An address that callers can use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DirectoryEntry {
    /// Address, to be used over HTTP.
    pub address: SocketAddr,
    /// Zone of the entry.
    pub zone: AvailabilityZone,
}

/// What the traffic threads need of the control state.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Revision in force; zero if there is none.
    pub revision: Revision,
    /// The system in force.
    pub system: Arc<System>,
    /// Entries that callers should use, the best first.
    pub directory: Vec<DirectoryEntry>,
    /// Time that callers keep the directory.
    pub max_age: Duration,
    /// Whether this daemon leaves.
    pub is_leaving: bool,
    /// Name of this daemon.
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
