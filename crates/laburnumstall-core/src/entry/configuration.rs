//! Where configurations come from and how one is applied.
//!
//! The key-value service holds the one in force under `configuration/head`, and every one
//! that was under `configuration/history/`. A watch tells of changes, a slow read backs
//! it up, and peers that have a higher revision are asked for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::adoption::Offer;
use crate::decision::DecisionKind;
use crate::domain;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::event::ApplyRequest;
use crate::entry::state::CallPurpose;
use crate::ids::{DaemonId, Revision};
use crate::message::{ConfigurationRecord, Message};
use crate::store::{
    StoreCall, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue,
};
use crate::units::Timestamp;
use crate::world::Configuration;

/// Time between two reads that back up the watch.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Wait after a failed call.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Time in which every live daemon should confirm a new configuration.
const CONFIRM_TIME: Duration = Duration::from_secs(5);

/// Time in which a write must be settled.
const WRITE_TIME: Duration = Duration::from_secs(4);

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

/// An apply that is not settled.
#[derive(Debug, Clone)]
struct Pending {
    token: u64,
    record: Arc<ConfigurationRecord>,
    is_written: bool,
    may_be_written: bool,
    until: Timestamp,
}

/// State of the reading and writing of configurations.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfigurationSource {
    head: Option<StoreVersion>,
    is_reading: bool,
    is_watching: bool,
    read_at: Timestamp,
    watch_at: Timestamp,
    watch_after: StoreVersion,
    heard: BTreeMap<DaemonId, Revision>,
    pending: Vec<Pending>,
    is_writing: bool,
    /// Accepted records whose place in the history is not confirmed.
    unrecorded: Vec<Arc<ConfigurationRecord>>,
    is_recording: bool,
    record_at: Timestamp,
}

impl ConfigurationSource {
    pub(super) fn heard(&mut self, daemon: &DaemonId, revision: Revision) {
        self.heard.insert(daemon.clone(), revision);
    }

    pub(super) fn forget(&mut self, daemon: &DaemonId) {
        self.heard.remove(daemon);
    }

    pub(super) fn revision_at(&self, daemon: &DaemonId) -> Option<Revision> {
        self.heard.get(daemon).copied()
    }
}

impl Entry {
    pub(super) fn tick_configuration(&mut self, now: Timestamp) {
        if !self.source.is_reading && self.source.read_at <= now {
            self.source.is_reading = true;
            let key = configuration_head_key();
            self.call_store(now, CallPurpose::ConfigurationRead, StoreCall::Get { key });
        }
        if !self.source.is_watching && self.source.watch_at <= now {
            self.source.is_watching = true;
            let call = StoreCall::Watch {
                prefix: configuration_head_key(),
                after: self.source.watch_after,
                wait: WATCH_WAIT,
            };
            self.call_store(now, CallPurpose::ConfigurationWatch, call);
        }
        self.write_pending(now);
        self.write_history(now);
        self.settle_pending(now);
    }

    pub(super) fn on_configuration_read(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.source.is_reading = false;
        self.source.read_at = now.after(READ_PERIOD);
        match outcome {
            Ok(StoreReply::Value(Some(value))) => self.see_head(now, &value),
            Ok(StoreReply::Value(None)) => self.source.head = None,
            _ => self.source.read_at = now.after(RETRY_WAIT),
        }
    }

    pub(super) fn on_configuration_changes(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.source.is_watching = false;
        let Ok(StoreReply::Changes { values, version }) = outcome else {
            self.source.watch_at = now.after(RETRY_WAIT);
            return;
        };
        self.source.watch_after = version;
        for value in values {
            self.see_head(now, &value);
        }
    }

    fn see_head(&mut self, now: Timestamp, value: &StoredValue) {
        self.source.head = Some(value.version);
        let Some(buf) = &value.value else {
            self.source.head = None;
            return;
        };
        match serde_json::from_slice::<ConfigurationRecord>(buf) {
            Ok(record) => {
                self.confirm_written(now, &record);
                self.adopt(now, record, "store");
            }
            Err(error) => {
                let decision = self
                    .decision(now, DecisionKind::Configuration, "refused", "unreadable")
                    .with("error", error);
                self.journal.record(decision);
            }
        }
    }

    /// A write whose reply was lost is found by its nonce.
    fn confirm_written(&mut self, now: Timestamp, seen: &ConfigurationRecord) {
        let seen_revision = seen.configuration.revision;
        for pending in &mut self.source.pending {
            let own = &pending.record;
            let is_own = own.nonce == seen.nonce && own.configuration.revision == seen_revision;
            if is_own && !pending.is_written {
                pending.is_written = true;
                pending.until = now.after(CONFIRM_TIME);
                self.source.unrecorded.push(pending.record.clone());
            }
        }
    }

    /// Writes the history of an accepted record until the write is confirmed.
    fn write_history(&mut self, now: Timestamp) {
        if self.source.is_recording || self.source.record_at > now {
            return;
        }
        let Some(record) = self.source.unrecorded.first() else {
            return;
        };
        let call = StoreCall::Swap {
            key: configuration_history_key(record.configuration.revision),
            expected: None,
            value: serde_json::to_vec(&**record).ok(),
            lease: None,
        };
        self.source.is_recording = true;
        self.call_store(now, CallPurpose::ConfigurationHistory, call);
    }

    pub(super) fn on_history_written(&mut self, now: Timestamp, outcome: &StoreOutcome) {
        self.source.is_recording = false;
        match outcome {
            // A conflict says that the record is there already.
            Ok(_) if !self.source.unrecorded.is_empty() => {
                self.source.unrecorded.remove(0);
            }
            Ok(_) => {}
            Err(_) => self.source.record_at = now.after(RETRY_WAIT),
        }
    }

    /// Puts a configuration in force unless one at least as high is.
    pub(super) fn adopt(&mut self, now: Timestamp, record: ConfigurationRecord, source: &str) {
        let record = Arc::new(record);
        let offer = self.adoption.offer(&record);
        if offer == Offer::Known {
            return;
        }
        let configuration = &record.configuration;
        let decision = self
            .decision(now, DecisionKind::Configuration, offer.name(), source)
            .with("offered", configuration.revision)
            .with("digest", &configuration.digest)
            .with("operator", &record.operator);
        self.journal.record(decision);
        if offer != Offer::Adopted {
            return;
        }
        self.system = Arc::new(configuration.system.clone());
        self.limits.set_system(&self.system);
        self.router.set_system(&self.system);
        self.refresh_endpoints(now);
        self.watching.look_soon();
        // The next heartbeat tells the peers, and they pull.
        self.heartbeat_at = now;
    }

    pub(super) fn push_configuration(&mut self, to: &DaemonId) {
        if let Some(record) = self.adoption.current() {
            let record = Box::new(ConfigurationRecord::clone(record));
            self.send(to, Message::PushConfiguration(record));
        }
    }

    pub(super) fn on_apply(&mut self, now: Timestamp, apply: ApplyRequest) {
        let current = self.adoption.revision();
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
            text: apply.text,
            operator: apply.operator,
            at: now,
            reason: apply.reason,
            nonce: apply.nonce,
        };
        self.source.pending.push(Pending {
            token: apply.token,
            record: Arc::new(record),
            is_written: false,
            may_be_written: false,
            until: now.after(WRITE_TIME),
        });
        self.write_pending(now);
    }

    /// Writes the oldest apply that is not written, one at a time.
    fn write_pending(&mut self, now: Timestamp) {
        if self.source.is_writing {
            return;
        }
        let next = self.source.pending.iter_mut().find(|p| !p.is_written);
        let Some(pending) = next else {
            return;
        };
        pending.may_be_written = true;
        let value = serde_json::to_vec(&*pending.record);
        let value = value.expect("a configuration has no unencodable part");
        let call = StoreCall::Swap {
            key: configuration_head_key(),
            expected: self.source.head,
            value: Some(value),
            lease: None,
        };
        self.source.is_writing = true;
        self.call_store(now, CallPurpose::ConfigurationWrite, call);
    }

    pub(super) fn on_configuration_written(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.source.is_writing = false;
        match outcome {
            Ok(StoreReply::Swapped { version }) => self.on_head_swapped(now, version),
            Ok(StoreReply::Conflict { current }) => {
                match current {
                    Some(value) => self.see_head(now, &value),
                    None => self.source.head = None,
                }
                self.refuse_outdated();
            }
            Err(StoreFailure::Unknown) => self.source.read_at = now,
            _ => {
                let next = self.source.pending.iter_mut().find(|p| !p.is_written);
                if let Some(pending) = next {
                    pending.may_be_written = false;
                }
            }
        }
        self.settle_pending(now);
    }

    fn on_head_swapped(&mut self, now: Timestamp, version: StoreVersion) {
        self.source.head = Some(version);
        let next = self.source.pending.iter_mut().find(|p| !p.is_written);
        let Some(pending) = next else {
            return;
        };
        pending.is_written = true;
        pending.until = now.after(CONFIRM_TIME);
        let record = pending.record.clone();
        self.adopt(now, ConfigurationRecord::clone(&record), "apply");
        self.source.unrecorded.push(record);
        self.write_history(now);
    }

    /// Answers applies whose base is no longer in force.
    fn refuse_outdated(&mut self) {
        let current = self.adoption.revision();
        let is_outdated =
            |p: &Pending| !p.is_written && p.record.configuration.revision.0 != current.0 + 1;
        let outdated: Vec<u64> = self
            .source
            .pending
            .iter()
            .filter(|p| is_outdated(p))
            .map(|p| p.token)
            .collect();
        self.source.pending.retain(|p| !is_outdated(p));
        for token in outdated {
            self.answer_apply(token, ApplyOutcome::Conflict { current });
        }
    }

    /// Answers applies that every live daemon confirmed, or whose time is over.
    fn settle_pending(&mut self, now: Timestamp) {
        self.refuse_outdated();
        let pending = std::mem::take(&mut self.source.pending);
        for item in pending {
            let (confirmed, missing) = self.confirmations(item.record.configuration.revision);
            let is_over = item.until <= now;
            if item.is_written && (missing.is_empty() || is_over) {
                let revision = item.record.configuration.revision;
                let outcome = ApplyOutcome::Accepted {
                    revision,
                    confirmed,
                    missing,
                };
                self.answer_apply(item.token, outcome);
            } else if is_over {
                let outcome = ApplyOutcome::Unavailable {
                    known: self.adoption.revision(),
                    may_be_accepted: item.may_be_written,
                };
                self.answer_apply(item.token, outcome);
            } else {
                self.source.pending.push(item);
            }
        }
    }

    fn confirmations(&self, revision: Revision) -> (Vec<DaemonId>, Vec<DaemonId>) {
        let live = self.membership.live().map(|member| member.id.clone());
        live.partition(|daemon| {
            if *daemon == self.own {
                return self.adoption.revision() >= revision;
            }
            let heard = self.source.revision_at(daemon);
            heard.is_some_and(|heard| heard >= revision)
        })
    }

    fn answer_apply(&mut self, token: u64, outcome: ApplyOutcome) {
        self.actions.push(Action::Applied { token, outcome });
    }
}

/// Returns the key of the configuration in force.
pub fn configuration_head_key() -> StoreKey {
    "configuration/head"
        .parse()
        .expect("the head's key is a valid store key")
}

/// Returns the key of a revision in the history.
pub fn configuration_history_key(revision: Revision) -> StoreKey {
    let text = format!("configuration/history/{:010}", revision.0);
    text.parse().expect("a history key is a valid store key")
}
