//! Adoption of configurations: the highest revision offered becomes active.
//!
//! [`Adoption`] also retains recent changes, so that a daemon a few revisions behind
//! receives the difference instead of the full configuration.

mod change;
mod history;

use std::collections::VecDeque;
use std::sync::Arc;

pub use change::{ConfigurationChange, ConfigurationId, StoredConfigurationRecord};
pub use history::accepted_records;

use crate::domain_value;
use crate::ids::Revision;
use crate::message::ConfigurationRecord;

/// Number of changes retained for daemons that are behind.
const RECENT_CHANGES: usize = 64;

domain_value! {
    /// Outcome of offering a configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum OfferOutcome {
        /// The configuration is now active.
        Adopted,
        /// The configuration was already active.
        Known,
        /// A higher revision is active.
        Older,
        /// A different configuration with the same revision is active.
        Forked,
    }
}

/// The active configuration and the changes that led to it.
#[derive(Debug, Clone, Default)]
pub struct Adoption {
    current: Option<Arc<ConfigurationRecord>>,
    recent_changes: VecDeque<ConfigurationChange>,
}

impl Adoption {
    /// Returns the outcome that offering a configuration with this identifier would have.
    pub fn evaluate(&self, offered: &ConfigurationId) -> OfferOutcome {
        let Some(current) = &self.current else {
            return OfferOutcome::Adopted;
        };
        let current = &current.configuration;
        if offered.revision < current.revision {
            return OfferOutcome::Older;
        }
        if offered.revision > current.revision {
            return OfferOutcome::Adopted;
        }
        match offered.digest == current.digest {
            true => OfferOutcome::Known,
            false => OfferOutcome::Forked,
        }
    }

    /// Offers a configuration and adopts it if its revision is higher.
    pub fn offer(&mut self, record: &Arc<ConfigurationRecord>) -> OfferOutcome {
        let outcome = self.evaluate(&record.id());
        if outcome == OfferOutcome::Adopted {
            self.record_change(record);
            self.current = Some(record.clone());
        }
        outcome
    }

    fn record_change(&mut self, next: &ConfigurationRecord) {
        let current = self.current.as_ref();
        let change = current.and_then(|base| ConfigurationChange::between(base, next));
        match change {
            Some(change) => self.recent_changes.push_back(change),
            None => self.recent_changes.clear(),
        }
        if self.recent_changes.len() > RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Returns the active configuration.
    pub fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.current.as_ref()
    }

    /// Returns the identifier of the active configuration.
    pub fn current_id(&self) -> Option<ConfigurationId> {
        self.current.as_ref().map(|record| record.id())
    }

    /// Returns the changes from `base` to the active configuration, oldest first; `None` if they
    /// are not retained.
    pub fn changes_since(&self, base: &ConfigurationId) -> Option<Vec<ConfigurationChange>> {
        let start = self
            .recent_changes
            .iter()
            .position(|change| change.base == *base)?;
        Some(self.recent_changes.iter().skip(start).cloned().collect())
    }

    /// Returns the active revision; zero if there is none.
    pub fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or(Revision(0), |record| record.configuration.revision)
    }
}

impl OfferOutcome {
    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Adopted => "adopted",
            Self::Known => "known",
            Self::Older => "older",
            Self::Forked => "forked",
        }
    }
}
