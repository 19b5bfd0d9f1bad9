//! Decision records of the table.

use super::{EndpointEntry, EndpointRecord};
use crate::decision::{Decision, DecisionKind};
use crate::ids::SoftwareVersion;
use crate::units::Timestamp;

pub(super) fn removal_decision(
    now: Timestamp,
    choice: &str,
    reason: &str,
    entry: &EndpointEntry,
) -> Decision {
    endpoint_decision(now, choice, reason, &entry.record)
        .with("written_ms_ago", now.since(entry.written_at).as_millis())
}

pub(super) fn limit_decision(now: Timestamp, source: &str, entry: &EndpointEntry) -> Decision {
    let choice = match entry.limit() {
        Some(_) => "limited",
        None => "unlimited",
    };
    let decision = endpoint_decision(now, choice, source, &entry.record);
    match entry.limit() {
        Some(limit) => decision.with("limit", limit),
        None => decision,
    }
}

pub(super) fn endpoint_decision(
    now: Timestamp,
    choice: &str,
    reason: &str,
    record: &EndpointRecord,
) -> Decision {
    Decision::new(now, DecisionKind::Membership, choice, reason)
        .with("endpoint", &record.id)
        .with("service", &record.service)
        .with("software", SoftwareVersion::text(record.version.as_ref()))
        .with("zone", &record.zone)
        .with("address", record.address)
        .with("spot", record.is_spot)
        .with("born", record.started_at_ms)
}
