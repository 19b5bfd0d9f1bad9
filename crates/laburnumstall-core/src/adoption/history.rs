//! History of accepted configurations, rebuilt from the records in the key-value service.
//!
//! The head refers to the last accepted record, and each record to its predecessor. A record
//! that the chain does not reach lost a race between two writes and is left out.

use std::collections::BTreeMap;

use crate::adoption::{ConfigurationId, StoredConfigurationRecord};
use crate::ids::Revision;
use crate::message::ConfigurationRecord;

/// Returns the accepted records that can be rebuilt, oldest first.
///
/// If a record is missing, as in a restored store, the history continues with the next lower
/// revision that has exactly one record.
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
    let mut next = Some(head.clone());
    while let Some(id) = next {
        let record = take_record(&mut by_revision, &id).or_else(|| {
            let other = next_unique_below(&by_revision, id.revision)?;
            take_record(&mut by_revision, &other)
        });
        let Some(record) = record else {
            break;
        };
        next = record.base().cloned();
        chain.push(record);
    }
    chain.reverse();
    rebuild(chain)
}

fn take_record(
    by_revision: &mut BTreeMap<Revision, Vec<StoredConfigurationRecord>>,
    id: &ConfigurationId,
) -> Option<StoredConfigurationRecord> {
    let records = by_revision.get_mut(&id.revision)?;
    let index = records.iter().position(|record| record.id() == *id)?;
    Some(records.swap_remove(index))
}

fn next_unique_below(
    by_revision: &BTreeMap<Revision, Vec<StoredConfigurationRecord>>,
    revision: Revision,
) -> Option<ConfigurationId> {
    let below = by_revision.range(..revision).rev();
    let mut unique = below.filter_map(|(_, records)| match records.as_slice() {
        [record] => Some(record.id()),
        _ => None,
    });
    unique.next()
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
