//! The owner's side of replication: the standby receives every event before a caller does.
//!
//! The owner sends new events to the standby and delivers only what the standby has
//! acknowledged (output commit, Strom and Yemini, 1985). A takeover therefore continues at or
//! after the last event that any caller has seen.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::owned::{Phase, Standby};
use crate::ids::{DaemonId, Epoch, EventIndex, RequestId};
use crate::message::{CopyRefusal, Message};
use crate::units::Timestamp;

/// Time without an acknowledgement after which the standby is replaced.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Epoch increment when an owner drops a standby: one more than that of a takeover, so that a
/// takeover from the dropped copy never supersedes the owner or its next standby.
const DROPPED_STANDBY_EPOCHS: u64 = 2;

impl Entry {
    /// Sends the standby the events that it does not have yet.
    pub(super) fn replicate(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let Some(standby) = &mut owned.standby else {
            return;
        };
        let record = &owned.record;
        let events = record.events[standby.sent.min(record.events.len())..].to_vec();
        let message = Message::Append {
            id: id.clone(),
            epoch: record.epoch,
            from: EventIndex(standby.sent as u64),
            events,
            attempts: record.attempts,
            location: record.location.clone(),
        };
        if standby.acked == Some(standby.sent) {
            standby.waiting_since = now;
        }
        standby.sent = record.events.len();
        let to = standby.daemon.clone();
        self.send(&to, message);
    }

    pub(super) fn on_copy_ack(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        id: &RequestId,
        epoch: Epoch,
        through: EventIndex,
    ) {
        let Some(owned) = self.owned.get_mut(id) else {
            // The request was refused, or it finished and was removed.
            self.send(
                from,
                Message::Drop {
                    id: id.clone(),
                    epoch,
                },
            );
            return;
        };
        let Some(standby) = &mut owned.standby else {
            return;
        };
        if standby.daemon != *from || owned.record.epoch != epoch {
            return;
        }
        let through = (through.0 as usize).min(standby.sent);
        if standby.acked.is_none_or(|acked| through > acked) {
            standby.acked = Some(through);
            standby.waiting_since = now;
        }
        match owned.phase {
            Phase::Accepting { .. } => self.on_accepted(now, id),
            Phase::Replicating { .. } => self.start_or_resume(now, id),
            _ => {}
        }
        self.deliver(now, id);
        self.hand_over_if_reclaimed(now, id);
    }

    pub(super) fn on_copy_refused(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        id: &RequestId,
        epoch: Epoch,
        refusal: CopyRefusal,
    ) {
        let is_current = self.owned.get(id).is_some_and(|owned| {
            let is_standby = |standby: &Standby| standby.daemon == *from;
            owned.record.epoch == epoch && owned.standby.as_ref().is_some_and(is_standby)
        });
        if !is_current {
            return;
        }
        match refusal {
            CopyRefusal::Superseded { owner, epoch } => {
                self.yield_ownership(now, id, &owner, epoch);
            }
            CopyRefusal::Incomplete => self.send_copy(now, id, from.clone()),
            CopyRefusal::Leaving => self.replace_standby(now, id, "standby-leaving"),
        }
    }

    /// Replaces the standby, or drops it if there is no other.
    pub(super) fn replace_standby(&mut self, now: Timestamp, id: &RequestId, reason: &str) {
        let zone = self.settings.member.zone.clone();
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        match &mut owned.phase {
            Phase::Accepting { until, .. } => {
                *until = now;
                return;
            }
            Phase::Withdrawing { .. } => return,
            _ => {}
        }
        let old = owned.standby.take().map(|standby| standby.daemon);
        owned.record.epoch = Epoch(owned.record.epoch.0 + DROPPED_STANDBY_EPOCHS);
        let excluded: Vec<DaemonId> = old.clone().into_iter().collect();
        let next = self.membership.standby(id.lookup_hash, &zone, &excluded);
        let next = next.map(|member| member.id.clone());
        let choice = if next.is_some() { "replaced" } else { "none" };
        let decision = self
            .decision(now, DecisionKind::Standby, choice, reason)
            .with("request", id)
            .with("old", old.map(|old| old.to_string()).unwrap_or_default())
            .with(
                "new",
                next.clone().map(|new| new.to_string()).unwrap_or_default(),
            );
        self.journal.record(decision);
        match next {
            Some(next) => self.send_copy(now, id, next),
            None => self.deliver(now, id),
        }
    }

    /// Replaces a standby that has not acknowledged in time.
    pub(super) fn check_standby(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let is_late = owned.standby.as_ref().is_some_and(|standby| {
            standby.acked != Some(standby.sent)
                && now.since(standby.waiting_since) >= STANDBY_TIMEOUT
        });
        if is_late {
            self.replace_standby(now, id, "standby-silent");
        }
    }

    /// Assigns a standby to each request without one if an entry in another zone is available.
    pub(super) fn assign_missing_standbys(&mut self, now: Timestamp) {
        let zone = self.settings.member.zone.clone();
        let unreplicated: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.standby.is_none() && owned.is_accepted())
            .map(|(id, _)| id.clone())
            .collect();
        for id in unreplicated {
            let next = self.membership.standby(id.lookup_hash, &zone, &[]);
            if let Some(next) = next.map(|member| member.id.clone()) {
                self.send_copy(now, &id, next);
            }
        }
    }
}
