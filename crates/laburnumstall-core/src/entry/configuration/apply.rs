//! How an operator's configuration becomes the one in force.
//!
//! The record is written first, under a key of its own that nothing refers to yet. Then the
//! head is swapped on its version: that one write accepts the configuration. The apply is
//! answered when every live daemon confirms, or when its time is over.

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

/// Time in which every live daemon should confirm a new configuration.
const CONFIRM_TIME: Duration = Duration::from_secs(5);

/// Time in which a write must be settled.
const WRITE_TIME: Duration = Duration::from_secs(4);

/// Each so many revisions the record is written whole, which bounds the reading of a chain.
const WHOLE_EACH: u64 = 32;

domain! {
    /// What became of an applied configuration.
    pub enum ApplyOutcome {
        /// It is accepted.
        Accepted {
            /// Its revision.
            revision: Revision,
            /// Live daemons that have it in force.
            confirmed: Vec<DaemonId>,
            /// Live daemons that did not confirm in time.
            missing: Vec<DaemonId>,
        },
        /// Another configuration was accepted since the base.
        Conflict {
            /// Revision in force.
            current: Revision,
        },
        /// The key-value service did not answer.
        Unavailable {
            /// Revision in force here.
            known: Revision,
            /// Whether it may have been accepted all the same.
            may_be_accepted: bool,
        },
    }
}

/// How far an apply is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The record is not known to be stored.
    New,
    /// The record is stored, and the head is to name it.
    Offered,
    /// The head names it or did so.
    Accepted,
}

/// An apply that is not settled.
#[derive(Debug, Clone)]
pub(super) struct PendingApply {
    token: u64,
    record: Arc<ConfigurationRecord>,
    stage: Stage,
    /// The reply to a swap of the head was lost.
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
        let in_force = self.adoption.revision();
        let head = self.configuration_sync.head_id();
        head.map_or(in_force, |head| in_force.max(head.revision))
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
            until: now.after(WRITE_TIME),
        });
        self.write_pending(now);
    }

    /// Goes on with the oldest apply that is not accepted, one write at a time.
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

    /// Tells whether the head can be swapped for one of this revision. One that cannot be
    /// decoded stays, since a daemon of a later version may have written it.
    fn is_head_below(&self, revision: Revision) -> bool {
        match &self.configuration_sync.head {
            None => true,
            Some(head) => head.id.as_ref().is_some_and(|id| id.revision < revision),
        }
    }

    /// Ends the write under way, and returns the apply that it was made for unless it is
    /// answered.
    fn end_write(&mut self) -> Option<&mut PendingApply> {
        let written = self.configuration_sync.writing.take()?;
        let mut pending = self.configuration_sync.pending.iter_mut();
        pending.find(|pending| pending.record.id() == written)
    }

    /// Tells whether the head does not name the record and never will.
    fn is_outdated(&self, pending: &PendingApply, current: Revision) -> bool {
        let is_open = pending.stage == Stage::Accepted || self.may_be_accepted(pending);
        !is_open && pending.revision().0 != current.0 + 1
    }

    /// Tells whether the head may come to name the record, or does so already.
    fn may_be_accepted(&self, pending: &PendingApply) -> bool {
        let is_offered = pending.stage == Stage::Offered;
        let is_swapping =
            is_offered && self.configuration_sync.writing == Some(pending.record.id());
        pending.is_swap_outcome_unknown || is_swapping
    }

    fn write_record(&mut self, now: Timestamp, record: &ConfigurationRecord) {
        let stored = self.to_stored(record);
        let value = serde_json::to_vec(&stored);
        let call = StoreCall::Swap {
            key: record.id().record_key(),
            expected: None,
            value: Some(value.expect("a configuration has no unencodable part")),
            lease: None,
        };
        self.configuration_sync.writing = Some(record.id());
        self.call_store(now, CallPurpose::ConfigurationRecordWrite, call);
    }

    /// Takes the difference from the record that the head names, where there is one.
    fn to_stored(&self, record: &ConfigurationRecord) -> StoredConfigurationRecord {
        let current = self.adoption.current();
        let base = current.map(|current| current.id());
        let is_based_on_head = base.is_some() && base.as_ref() == self.configuration_sync.head_id();
        let is_whole_due = record.configuration.revision.0.is_multiple_of(WHOLE_EACH);
        let change = match is_based_on_head && !is_whole_due {
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
        // A conflict says that the record is there already: no other has its name.
        if outcome.is_ok() {
            if let Some(pending) = pending.filter(|pending| pending.stage == Stage::New) {
                pending.stage = Stage::Offered;
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
            value: Some(value.expect("a record's name has no unencodable part")),
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
            Err(StoreFailure::Unknown) => self.configuration_sync.read_at = now,
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
        // Taking it in also confirms the apply.
        self.adopt(now, ConfigurationRecord::clone(&record), "apply");
    }

    /// Settles the writes whose reply was lost: `seen` was accepted, and no other record of
    /// its revision was.
    pub(super) fn confirm_written(&mut self, now: Timestamp, seen: &ConfigurationId) {
        for pending in &mut self.configuration_sync.pending {
            if pending.stage == Stage::Accepted || pending.revision() != seen.revision {
                continue;
            }
            if pending.record.id() == *seen {
                pending.stage = Stage::Accepted;
                pending.until = now.after(CONFIRM_TIME);
            } else {
                pending.is_swap_outcome_unknown = false;
            }
        }
    }

    /// Answers applies whose base is no longer in force.
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

    /// Answers applies that every live daemon confirmed, or whose time is over.
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
        let is_over = pending.until <= now;
        if pending.stage != Stage::Accepted {
            let outcome = ApplyOutcome::Unavailable {
                known: self.adoption.revision(),
                may_be_accepted: self.may_be_accepted(pending),
            };
            return is_over.then_some(outcome);
        }
        let revision = pending.revision();
        let (confirmed, missing) = self.confirmations(revision);
        let outcome = ApplyOutcome::Accepted {
            revision,
            confirmed,
            missing,
        };
        let is_settled = outcome.is_in_force_everywhere() || is_over;
        is_settled.then_some(outcome)
    }

    fn confirmations(&self, revision: Revision) -> (Vec<DaemonId>, Vec<DaemonId>) {
        let live = self.membership.live().map(|member| member.id.clone());
        live.partition(|daemon| {
            if *daemon == self.own {
                return self.adoption.revision() >= revision;
            }
            let heard = self.configuration_sync.peer_revision(daemon);
            heard.is_some_and(|heard| heard >= revision)
        })
    }

    fn answer_apply(&mut self, token: u64, outcome: ApplyOutcome) {
        self.actions.push(Action::Applied { token, outcome });
    }
}

impl ApplyOutcome {
    fn is_in_force_everywhere(&self) -> bool {
        matches!(self, Self::Accepted { missing, .. } if missing.is_empty())
    }
}
