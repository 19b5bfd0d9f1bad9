//! Which configuration is in force: the highest revision ever offered, never a lower one.
//!
//! [`Adoption`] also keeps the last changes, so that a daemon that is a few revisions behind
//! is sent what differs and not the whole.

mod change;
mod history;

use std::collections::VecDeque;
use std::sync::Arc;

pub use change::{ConfigurationChange, ConfigurationId, StoredConfigurationRecord};
pub use history::accepted_records;

use crate::domain_value;
use crate::ids::Revision;
use crate::message::ConfigurationRecord;

/// Number of changes kept for daemons that are behind.
const RECENT_CHANGES: usize = 64;

domain_value! {
    /// What became of an offered configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum OfferOutcome {
        /// It is in force now.
        Adopted,
        /// It was in force already.
        Known,
        /// A higher revision is in force.
        Older,
        /// Another text is in force under the same revision.
        Forked,
    }
}

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Adoption {
    current: Option<Arc<ConfigurationRecord>>,
    recent: VecDeque<ConfigurationChange>,
}

impl Adoption {
    /// Tells what would become of a configuration with this name.
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

    /// Takes in a configuration, whoever it comes from.
    pub fn offer(&mut self, record: &Arc<ConfigurationRecord>) -> OfferOutcome {
        let offer = self.evaluate(&record.id());
        if offer == OfferOutcome::Adopted {
            self.remember_change(record);
            self.current = Some(record.clone());
        }
        offer
    }

    fn remember_change(&mut self, next: &ConfigurationRecord) {
        let current = self.current.as_ref();
        let change = current.and_then(|base| ConfigurationChange::between(base, next));
        match change {
            Some(change) => self.recent.push_back(change),
            None => self.recent.clear(),
        }
        if self.recent.len() > RECENT_CHANGES {
            self.recent.pop_front();
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.current.as_ref()
    }

    /// Returns what names the configuration in force.
    pub fn current_id(&self) -> Option<ConfigurationId> {
        self.current.as_ref().map(|record| record.id())
    }

    /// Returns the changes from `known` to the configuration in force, the oldest first;
    /// `None` if they are not kept.
    pub fn changes_since(&self, known: &ConfigurationId) -> Option<Vec<ConfigurationChange>> {
        let at = self
            .recent
            .iter()
            .position(|change| change.base == *known)?;
        Some(self.recent.iter().skip(at).cloned().collect())
    }

    /// Returns the revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or(Revision(0), |record| record.configuration.revision)
    }
}

impl OfferOutcome {
    /// Returns the name written in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Adopted => "adopted",
            Self::Known => "known",
            Self::Older => "older",
            Self::Forked => "forked",
        }
    }
}
