//! The accepted configurations, rebuilt from the records in the key-value service.
//!
//! The head names the last accepted record and each record names the one before it. A record
//! that no chain from the head reaches was offered and lost a race; it is left out.

use std::collections::BTreeMap;

use crate::adoption::{ConfigurationId, StoredConfigurationRecord};
use crate::ids::Revision;
use crate::message::ConfigurationRecord;

/// Returns the accepted records that can be rebuilt, the oldest first.
///
/// Where a record is missing, as in a store that was restored, history goes on with the next
/// lower revision that only one record was offered for.
pub fn accepted_records(
    stored: Vec<StoredConfigurationRecord>,
    head: &ConfigurationId,
) -> Vec<ConfigurationRecord> {
    let mut by_revision: BTreeMap<Revision, Vec<StoredConfigurationRecord>> = BTreeMap::new();
    for record in stored {
        let revision = record.id().revision;
        by_revision.entry(revision).or_default().push(record);
    }
    let mut chain = Vec::new();
    let mut wanted = Some(head.clone());
    while let Some(id) = wanted {
        let record = take(&mut by_revision, &id).or_else(|| {
            let other = only_below(&by_revision, id.revision)?;
            take(&mut by_revision, &other)
        });
        let Some(record) = record else {
            break;
        };
        wanted = record.base().cloned();
        chain.push(record);
    }
    chain.reverse();
    rebuild(chain)
}

fn take(
    by_revision: &mut BTreeMap<Revision, Vec<StoredConfigurationRecord>>,
    id: &ConfigurationId,
) -> Option<StoredConfigurationRecord> {
    let records = by_revision.get_mut(&id.revision)?;
    let at = records.iter().position(|record| record.id() == *id)?;
    Some(records.swap_remove(at))
}

fn only_below(
    by_revision: &BTreeMap<Revision, Vec<StoredConfigurationRecord>>,
    revision: Revision,
) -> Option<ConfigurationId> {
    let below = by_revision.range(..revision).rev();
    let mut only = below.filter_map(|(_, records)| match records.as_slice() {
        [record] => Some(record.id()),
        _ => None,
    });
    only.next()
}

fn rebuild(chain: Vec<StoredConfigurationRecord>) -> Vec<ConfigurationRecord> {
    let mut records: Vec<ConfigurationRecord> = Vec::new();
    for record in chain {
        let next = match record {
            StoredConfigurationRecord::Whole { record, .. } => Some(*record),
            StoredConfigurationRecord::Change(change) => {
                records.last().and_then(|base| change.apply(base))
            }
        };
        records.extend(next);
    }
    records
}
