//! Which configuration is in force: the highest revision ever offered, never a lower one.

use std::sync::Arc;

use crate::domain_value;
use crate::ids::Revision;
use crate::message::ConfigurationRecord;

domain_value! {
    /// What became of an offered configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum Offer {
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
}

impl Adoption {
    /// Takes in a configuration, whoever it comes from.
    pub fn offer(&mut self, record: &Arc<ConfigurationRecord>) -> Offer {
        let offered = &record.configuration;
        if let Some(current) = &self.current {
            let current = &current.configuration;
            if offered.revision < current.revision {
                return Offer::Older;
            }
            if offered.revision == current.revision {
                let is_same = offered.digest == current.digest;
                return if is_same { Offer::Known } else { Offer::Forked };
            }
        }
        self.current = Some(record.clone());
        Offer::Adopted
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.current.as_ref()
    }

    /// Returns the revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or(Revision(0), |record| record.configuration.revision)
    }
}

impl Offer {
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
