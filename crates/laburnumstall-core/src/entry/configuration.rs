//! Distribution and application of configurations.
//!
//! The key-value service stores the identifier of the active configuration under
//! `configuration/head`, and a record of every proposed one under `configuration/record/`,
//! mostly as the sections that differ from its predecessor. A watch reports a new head, with
//! slow polling as a fallback; a higher revision of a peer is pulled from that peer.
//!
//! `fetch` follows the head to the records; `apply` writes a new record and then swaps the
//! head.

mod apply;
mod fetch;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apply::PendingApply;
use fetch::Fetch;

pub use apply::ApplyOutcome;

use crate::adoption::{ConfigurationChange, ConfigurationId, OfferOutcome};
use crate::decision::{Decision, DecisionKind};
use crate::entry::Entry;
use crate::ids::{DaemonId, Revision};
use crate::message::{ConfigurationRecord, Message};
use crate::store::{StoreKey, StoreVersion};
use crate::units::Timestamp;

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The head last read from the key-value service.
#[derive(Debug, Clone)]
struct Head {
    version: StoreVersion,
    /// `None` if it could not be decoded.
    id: Option<ConfigurationId>,
}

/// State of configuration reads and writes in the key-value service.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfigurationSync {
    head: Option<Head>,
    is_reading: bool,
    is_watching: bool,
    next_read_at: Timestamp,
    next_watch_at: Timestamp,
    watch_after: StoreVersion,
    fetch: Option<Fetch>,
    peer_revisions: BTreeMap<DaemonId, Revision>,
    pending: Vec<PendingApply>,
    /// Record whose write or head swap is in flight.
    writing: Option<ConfigurationId>,
}

impl ConfigurationSync {
    pub(super) fn record_peer_revision(&mut self, daemon: &DaemonId, revision: Revision) {
        self.peer_revisions.insert(daemon.clone(), revision);
    }

    pub(super) fn remove_peer(&mut self, daemon: &DaemonId) {
        self.peer_revisions.remove(daemon);
    }

    pub(super) fn peer_revision(&self, daemon: &DaemonId) -> Option<Revision> {
        self.peer_revisions.get(daemon).copied()
    }

    fn head_version(&self) -> Option<StoreVersion> {
        self.head.as_ref().map(|head| head.version)
    }

    fn head_id(&self) -> Option<&ConfigurationId> {
        self.head.as_ref()?.id.as_ref()
    }
}

impl Entry {
    pub(super) fn tick_configuration(&mut self, now: Timestamp) {
        self.read_head(now);
        self.watch_head(now);
        self.write_pending(now);
        self.settle_pending(now);
    }

    /// Activates a configuration unless the active revision is at least as high.
    pub(super) fn adopt(&mut self, now: Timestamp, record: ConfigurationRecord, source: &str) {
        let record = Arc::new(record);
        self.confirm_written(now, &record.id());
        let offer = self.adoption.offer(&record);
        if offer == OfferOutcome::Known {
            return;
        }
        let decision = self
            .offer_decision(now, offer, &record.id(), source)
            .with("operator", &record.operator);
        self.journal.record(decision);
        if offer != OfferOutcome::Adopted {
            return;
        }
        self.system = Arc::new(record.configuration.system.clone());
        self.limits.set_system(&self.system);
        self.router.set_system(&self.system);
        self.refresh_endpoints(now);
        self.watching.check_soon();
        // Peers learn of the revision from the next heartbeat and pull it.
        self.heartbeat_at = now;
    }

    fn offer_decision(
        &self,
        now: Timestamp,
        offer: OfferOutcome,
        offered: &ConfigurationId,
        source: &str,
    ) -> Decision {
        self.decision(now, DecisionKind::Configuration, offer.name(), source)
            .with("offered", offered.revision)
            .with("digest", &offered.digest)
    }

    /// Sends the changes since `base`, or the full record if the changes are not retained.
    pub(super) fn push_configuration(&mut self, to: &DaemonId, base: Option<&ConfigurationId>) {
        let changes = base.and_then(|base| self.adoption.changes_since(base));
        if let Some(changes) = changes {
            self.send(to, Message::PushChanges(changes));
        } else if let Some(record) = self.adoption.current() {
            let record = Box::new(ConfigurationRecord::clone(record));
            self.send(to, Message::PushConfiguration(record));
        }
    }

    /// Applies a peer's changes, or pulls the full record if no change has the active
    /// configuration as its base.
    pub(super) fn on_pushed_changes(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        changes: &[ConfigurationChange],
    ) {
        let Some(last) = changes.last() else {
            return;
        };
        if last.id.revision <= self.adoption.revision() {
            return;
        }
        match self.apply_changes(now, changes) {
            Some(record) => self.adopt(now, record, from.vm.as_str()),
            None => self.send(from, Message::PullConfiguration { known: None }),
        }
    }

    /// Applies `changes`, oldest first, to the active configuration.
    fn apply_changes(
        &mut self,
        now: Timestamp,
        changes: &[ConfigurationChange],
    ) -> Option<ConfigurationRecord> {
        let current = self.adoption.current()?;
        let id = current.id();
        let start = changes.iter().position(|change| change.base == id)?;
        let mut record = ConfigurationRecord::clone(current);
        for change in &changes[start..] {
            record = change.apply(&record)?;
            self.confirm_written(now, &change.id);
        }
        Some(record)
    }
}

/// Returns the store key that holds the active configuration's identifier.
pub fn configuration_head_key() -> StoreKey {
    "configuration/head"
        .parse()
        .expect("the head's key is a valid store key")
}

/// Returns the store key prefix of all configuration records.
pub fn configuration_record_prefix() -> StoreKey {
    "configuration/record/"
        .parse()
        .expect("the records' prefix is a valid store key")
}
