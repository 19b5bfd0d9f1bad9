//! One accepted configuration, as the difference from the one before it.

use compact_str::CompactString;

use crate::domain;
use crate::ids::Revision;
use crate::message::ConfigurationRecord;
use crate::resources::{Configuration, SystemChange};
use crate::store::StoreKey;
use crate::units::Timestamp;

domain! {
    /// Names one configuration that was offered to the key-value service.
    #[derive(Eq)]
    pub struct ConfigurationId {
        /// Revision; two operators who race offer the same one.
        pub revision: Revision,
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// Number of the write that offered it.
        pub nonce: u64,
    }

    /// A configuration as its difference from an earlier one.
    pub struct ConfigurationChange {
        /// The earlier configuration.
        pub base: ConfigurationId,
        /// The configuration that results.
        pub id: ConfigurationId,
        /// What differs.
        pub system: SystemChange,
        /// Who applied it.
        pub operator: CompactString,
        /// When it was applied.
        pub at: Timestamp,
        /// Why it was applied.
        pub reason: CompactString,
    }

    /// A record as the key-value service keeps it.
    #[serde(rename_all = "kebab-case")]
    pub enum StoredConfigurationRecord {
        /// All sections.
        Whole {
            /// What names the record before; `None` for the first one.
            base: Option<ConfigurationId>,
            /// The record.
            record: Box<ConfigurationRecord>,
        },
        /// The sections that differ from an earlier record.
        Change(Box<ConfigurationChange>),
    }
}

impl ConfigurationId {
    /// Returns the key under which the key-value service keeps the record.
    pub fn record_key(&self) -> StoreKey {
        let (revision, nonce) = (self.revision.0, self.nonce);
        let text = format!("configuration/record/{revision:010}-{nonce:016x}");
        text.parse().expect("a record's key is a valid store key")
    }
}

impl ConfigurationRecord {
    /// Returns what names the record.
    pub fn id(&self) -> ConfigurationId {
        ConfigurationId {
            revision: self.configuration.revision,
            digest: self.configuration.digest.clone(),
            nonce: self.nonce,
        }
    }
}

impl ConfigurationChange {
    /// Compares two records; `None` if the later one can only be given whole.
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

    /// Returns the later record, given the earlier one; `None` for any other.
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
    /// Returns what names the record.
    pub fn id(&self) -> ConfigurationId {
        match self {
            Self::Whole { record, .. } => record.id(),
            Self::Change(change) => change.id.clone(),
        }
    }

    /// Returns what names the record before; `None` for the first one.
    pub fn base(&self) -> Option<&ConfigurationId> {
        match self {
            Self::Whole { base, .. } => base.as_ref(),
            Self::Change(change) => Some(&change.base),
        }
    }
}
