//! Activation of an operator's configuration.
//!
//! The record is written first, under a unique key that nothing references yet. Then a
//! compare-and-swap of the head accepts the configuration. The operator is answered when every
//! live daemon confirms, or on timeout.

use std::sync::Arc;
use std::time::Duration;

use super::configuration_head_key;
use crate::adoption::{ConfigurationChange, ConfigurationId, StoredConfigurationRecord};
use crate::domain;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::event::ApplyRequest;
use crate::entry::state::CallPurpose;
use crate::ids::{DaemonId, Revision};
use crate::message::ConfigurationRecord;
use crate::resources::Configuration;
use crate::store::{StoreCall, StoreFailure, StoreOutcome, StoreReply, StoreVersion};
use crate::units::Timestamp;

/// Time for every live daemon to confirm an accepted configuration.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the key-value service to accept a configuration.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval in revisions between full records; it bounds the length of a chain of changes.
const FULL_RECORD_INTERVAL: u64 = 32;

domain! {
    /// Outcome of applying a configuration.
    pub enum ApplyOutcome {
        /// The configuration is accepted.
        Accepted {
            /// Accepted revision.
            revision: Revision,
            /// Live daemons on which it is active.
            confirmed: Vec<DaemonId>,
            /// Live daemons that did not confirm in time.
            missing: Vec<DaemonId>,
        },
        /// Another configuration was accepted after the base revision.
        Conflict {
            /// Highest revision known to be accepted.
            current: Revision,
        },
        /// The key-value service did not accept the configuration in time.
        Unavailable {
            /// Revision active on this daemon.
            known: Revision,
            /// Whether the configuration may have been accepted nevertheless.
            may_be_accepted: bool,
        },
    }
}

/// Progress of an apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The record is not known to be stored.
    New,
    /// The record is stored, and the head does not name it yet.
    Stored,
    /// The head names the record or did so before.
    Accepted,
}

/// An apply whose operator is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingApply {
    token: u64,
    record: Arc<ConfigurationRecord>,
    stage: Stage,
    /// Whether the reply to a head swap was lost.
    is_swap_outcome_unknown: bool,
    until: Timestamp,
}

impl PendingApply {
    fn revision(&self) -> Revision {
        self.record.configuration.revision
    }
}

impl Entry {
    /// Returns the highest revision known to be accepted.
    fn accepted_revision(&self) -> Revision {
        let active = self.adoption.revision();
        let head = self.configuration_sync.head_id();
        head.map_or(active, |head| active.max(head.revision))
    }

    pub(in crate::entry) fn on_apply(&mut self, now: Timestamp, apply: ApplyRequest) {
        let current = self.accepted_revision();
        if apply.base != current {
            let outcome = ApplyOutcome::Conflict { current };
            self.answer_apply(apply.token, outcome);
            return;
        }
        let record = ConfigurationRecord {
            configuration: Configuration {
                revision: Revision(current.0 + 1),
                digest: apply.digest,
                system: *apply.system,
            },
            operator: apply.operator,
            at: now,
            reason: apply.reason,
            nonce: apply.nonce,
        };
        self.configuration_sync.pending.push(PendingApply {
            token: apply.token,
            record: Arc::new(record),
            stage: Stage::New,
            is_swap_outcome_unknown: false,
            until: now.after(WRITE_TIMEOUT),
        });
        self.write_pending(now);
    }

    /// Sends the next write of the oldest apply that is not accepted, one write at a time.
    pub(super) fn write_pending(&mut self, now: Timestamp) {
        if self.configuration_sync.writing.is_some() {
            return;
        }
        let mut pending = self.configuration_sync.pending.iter();
        let Some(pending) = pending.find(|pending| pending.stage != Stage::Accepted) else {
            return;
        };
        let (stage, record) = (pending.stage, pending.record.clone());
        match stage {
            Stage::New => self.write_record(now, &record),
            _ if self.is_head_below(record.configuration.revision) => {
                self.swap_head(now, &record.id());
            }
            _ => {}
        }
    }

    /// Returns whether the head may be swapped to this revision. A head that cannot be decoded
    /// is not replaced, since a daemon of a later version may have written it.
    fn is_head_below(&self, revision: Revision) -> bool {
        match &self.configuration_sync.head {
            None => true,
            Some(head) => head.id.as_ref().is_some_and(|id| id.revision < revision),
        }
    }

    /// Clears the write in flight and returns its apply; `None` if the operator was answered.
    fn end_write(&mut self) -> Option<&mut PendingApply> {
        let written = self.configuration_sync.writing.take()?;
        let mut pending = self.configuration_sync.pending.iter_mut();
        pending.find(|pending| pending.record.id() == written)
    }

    /// Returns whether the head does not name the record and never will.
    fn is_outdated(&self, pending: &PendingApply, current: Revision) -> bool {
        let is_open = pending.stage == Stage::Accepted || self.may_be_accepted(pending);
        !is_open && pending.revision().0 != current.0 + 1
    }

    /// Returns whether the head may name the record, now or after the swap in flight.
    fn may_be_accepted(&self, pending: &PendingApply) -> bool {
        let is_stored = pending.stage == Stage::Stored;
        let is_swapping = is_stored && self.configuration_sync.writing == Some(pending.record.id());
        pending.is_swap_outcome_unknown || is_swapping
    }

    fn write_record(&mut self, now: Timestamp, record: &ConfigurationRecord) {
        let stored = self.to_stored(record);
        let value = serde_json::to_vec(&stored);
        let call = StoreCall::Swap {
            key: record.id().record_key(),
            expected: None,
            value: Some(value.expect("a configuration can be encoded as JSON")),
            lease: None,
        };
        self.configuration_sync.writing = Some(record.id());
        self.call_store(now, CallPurpose::ConfigurationRecordWrite, call);
    }

    /// Encodes the record as a change from the head's record where possible, else in full.
    fn to_stored(&self, record: &ConfigurationRecord) -> StoredConfigurationRecord {
        let current = self.adoption.current();
        let base = current.map(|current| current.id());
        let is_based_on_head = base.is_some() && base.as_ref() == self.configuration_sync.head_id();
        let is_full_record_due = record
            .configuration
            .revision
            .0
            .is_multiple_of(FULL_RECORD_INTERVAL);
        let change = match is_based_on_head && !is_full_record_due {
            true => current.and_then(|current| ConfigurationChange::between(current, record)),
            false => None,
        };
        match change {
            Some(change) => StoredConfigurationRecord::Change(Box::new(change)),
            None => StoredConfigurationRecord::Whole {
                base,
                record: Box::new(record.clone()),
            },
        }
    }

    pub(in crate::entry) fn on_configuration_record_written(
        &mut self,
        now: Timestamp,
        outcome: &StoreOutcome,
    ) {
        let pending = self.end_write();
        // A conflict means that the record is already stored, since its key is unique.
        if outcome.is_ok() {
            if let Some(pending) = pending.filter(|pending| pending.stage == Stage::New) {
                pending.stage = Stage::Stored;
            }
            self.refuse_outdated();
            self.write_pending(now);
        }
        self.settle_pending(now);
    }

    fn swap_head(&mut self, now: Timestamp, id: &ConfigurationId) {
        let value = serde_json::to_vec(id);
        let call = StoreCall::Swap {
            key: configuration_head_key(),
            expected: self.configuration_sync.head_version(),
            value: Some(value.expect("a configuration identifier can be encoded as JSON")),
            lease: None,
        };
        self.configuration_sync.writing = Some(id.clone());
        self.call_store(now, CallPurpose::ConfigurationHeadSwap, call);
    }

    pub(in crate::entry) fn on_configuration_head_swap(
        &mut self,
        now: Timestamp,
        outcome: StoreOutcome,
    ) {
        let swapped = self.end_write().map(|pending| {
            pending.is_swap_outcome_unknown |= outcome == Err(StoreFailure::Unknown);
            pending.record.clone()
        });
        match outcome {
            Ok(StoreReply::Swapped { version }) => self.on_head_swapped(now, version, swapped),
            Ok(StoreReply::Conflict { current }) => match current {
                Some(value) => self.handle_head(now, &value),
                None => self.configuration_sync.head = None,
            },
            Err(StoreFailure::Unknown) => self.configuration_sync.next_read_at = now,
            _ => {}
        }
        self.settle_pending(now);
    }

    fn on_head_swapped(
        &mut self,
        now: Timestamp,
        version: StoreVersion,
        swapped: Option<Arc<ConfigurationRecord>>,
    ) {
        let Some(record) = swapped else {
            return;
        };
        self.configuration_sync.head = Some(super::Head {
            version,
            id: Some(record.id()),
        });
        // Adopting the record also marks its apply as accepted.
        self.adopt(now, ConfigurationRecord::clone(&record), "apply");
    }

    /// Marks the apply of an accepted record. Other records of its revision were not accepted,
    /// which resolves head swaps whose reply was lost.
    pub(super) fn confirm_written(&mut self, now: Timestamp, accepted: &ConfigurationId) {
        for pending in &mut self.configuration_sync.pending {
            if pending.stage == Stage::Accepted || pending.revision() != accepted.revision {
                continue;
            }
            if pending.record.id() == *accepted {
                pending.stage = Stage::Accepted;
                pending.until = now.after(CONFIRM_TIMEOUT);
            } else {
                pending.is_swap_outcome_unknown = false;
            }
        }
    }

    /// Answers applies whose base is no longer current with a conflict.
    fn refuse_outdated(&mut self) {
        let current = self.accepted_revision();
        let pending = std::mem::take(&mut self.configuration_sync.pending);
        for item in pending {
            match self.is_outdated(&item, current) {
                true => self.answer_apply(item.token, ApplyOutcome::Conflict { current }),
                false => self.configuration_sync.pending.push(item),
            }
        }
    }

    /// Answers applies that every live daemon confirmed or that timed out.
    pub(super) fn settle_pending(&mut self, now: Timestamp) {
        self.refuse_outdated();
        let pending = std::mem::take(&mut self.configuration_sync.pending);
        for item in pending {
            match self.outcome_of(now, &item) {
                Some(outcome) => self.answer_apply(item.token, outcome),
                None => self.configuration_sync.pending.push(item),
            }
        }
    }

    fn outcome_of(&self, now: Timestamp, pending: &PendingApply) -> Option<ApplyOutcome> {
        let is_timed_out = pending.until <= now;
        if pending.stage != Stage::Accepted {
            let outcome = ApplyOutcome::Unavailable {
                known: self.adoption.revision(),
                may_be_accepted: self.may_be_accepted(pending),
            };
            return is_timed_out.then_some(outcome);
        }
        let revision = pending.revision();
        let (confirmed, missing) = self.confirmations(revision);
        let outcome = ApplyOutcome::Accepted {
            revision,
            confirmed,
            missing,
        };
        let is_settled = outcome.is_active_everywhere() || is_timed_out;
        is_settled.then_some(outcome)
    }

    fn confirmations(&self, revision: Revision) -> (Vec<DaemonId>, Vec<DaemonId>) {
        let live = self.membership.live().map(|member| member.id.clone());
        live.partition(|daemon| {
            if *daemon == self.own {
                return self.adoption.revision() >= revision;
            }
            let peer_revision = self.configuration_sync.peer_revision(daemon);
            peer_revision.is_some_and(|peer_revision| peer_revision >= revision)
        })
    }

    fn answer_apply(&mut self, token: u64, outcome: ApplyOutcome) {
        self.actions.push(Action::Applied { token, outcome });
    }
}

impl ApplyOutcome {
    fn is_active_everywhere(&self) -> bool {
        matches!(self, Self::Accepted { missing, .. } if missing.is_empty())
    }
}
