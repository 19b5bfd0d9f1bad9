//! An accepted configuration as the difference from its predecessor.

use compact_str::CompactString;

use crate::domain;
use crate::ids::Revision;
use crate::message::ConfigurationRecord;
use crate::resources::{Configuration, SystemChange};
use crate::store::StoreKey;
use crate::units::Timestamp;

domain! {
    /// Identifies a configuration record in the key-value service.
    #[derive(Eq)]
    pub struct ConfigurationId {
        /// Revision; two concurrent writes may propose the same one.
        pub revision: Revision,
        /// BLAKE3 digest of the canonical configuration text, in hexadecimal.
        pub digest: CompactString,
        /// Nonce of the write that proposed the record.
        pub nonce: u64,
    }

    /// The difference between a configuration and an earlier one.
    pub struct ConfigurationChange {
        /// Identifier of the earlier configuration.
        pub base: ConfigurationId,
        /// Identifier of the resulting configuration.
        pub id: ConfigurationId,
        /// Sections that differ.
        pub system: SystemChange,
        /// Operator who applied it.
        pub operator: CompactString,
        /// When it was applied.
        pub at: Timestamp,
        /// Reason given by the operator.
        pub reason: CompactString,
    }

    /// A configuration record in the form in which the key-value service stores it.
    #[serde(rename_all = "kebab-case")]
    pub enum StoredConfigurationRecord {
        /// A full configuration.
        Whole {
            /// Identifier of the preceding record; `None` for the first one.
            base: Option<ConfigurationId>,
            /// The record.
            record: Box<ConfigurationRecord>,
        },
        /// The sections that differ from an earlier record.
        Change(Box<ConfigurationChange>),
    }
}

impl ConfigurationId {
    /// Returns the key of the record in the key-value service.
    pub fn record_key(&self) -> StoreKey {
        let (revision, nonce) = (self.revision.0, self.nonce);
        let text = format!("configuration/record/{revision:010}-{nonce:016x}");
        text.parse().expect("a record's key is a valid store key")
    }
}

impl ConfigurationRecord {
    /// Returns the identifier of the record.
    pub fn id(&self) -> ConfigurationId {
        ConfigurationId {
            revision: self.configuration.revision,
            digest: self.configuration.digest.clone(),
            nonce: self.nonce,
        }
    }
}

impl ConfigurationChange {
    /// Returns the change between two records; `None` if `next` can only be stored in full.
    pub fn between(base: &ConfigurationRecord, next: &ConfigurationRecord) -> Option<Self> {
        let system = SystemChange::between(&base.configuration.system, &next.configuration.system)?;
        Some(Self {
            base: base.id(),
            id: next.id(),
            system,
            operator: next.operator.clone(),
            at: next.at,
            reason: next.reason.clone(),
        })
    }

    /// Applies the change to its base record; `None` if `base` is another record.
    pub fn apply(&self, base: &ConfigurationRecord) -> Option<ConfigurationRecord> {
        if base.id() != self.base {
            return None;
        }
        Some(ConfigurationRecord {
            configuration: Configuration {
                revision: self.id.revision,
                digest: self.id.digest.clone(),
                system: self.system.apply(&base.configuration.system),
            },
            operator: self.operator.clone(),
            at: self.at,
            reason: self.reason.clone(),
            nonce: self.id.nonce,
        })
    }
}

impl StoredConfigurationRecord {
    /// Returns the identifier of the record.
    pub fn id(&self) -> ConfigurationId {
        match self {
            Self::Whole { record, .. } => record.id(),
            Self::Change(change) => change.id.clone(),
        }
    }

    /// Returns the identifier of the preceding record; `None` for the first one.
    pub fn base(&self) -> Option<&ConfigurationId> {
        match self {
            Self::Whole { base, .. } => base.as_ref(),
            Self::Change(change) => Some(&change.base),
        }
    }
}
