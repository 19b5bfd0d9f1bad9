//! Standby side of replication: copies of requests that peers own.

use std::time::Duration;

use crate::entry::Entry;
use crate::entry::finish::ANSWER_RETENTION;
use crate::entry::state::RequestKey;
use crate::ids::{DaemonId, Epoch, EventIndex, RequestId};
use crate::membership::MemberState;
use crate::message::{AttemptLocation, CopyRefusal, Message, RequestRecord};
use crate::request::AnswerEvent;
use crate::units::Timestamp;

/// Age at which a copy counts as orphaned if its owner is not a known member.
const UNKNOWN_OWNER_GRACE: Duration = Duration::from_secs(5);

/// Time a finished copy is kept beyond the owner's retention.
const COPY_GRACE: Duration = Duration::from_secs(30);

/// A copy of a request that a peer owns.
#[derive(Debug, Clone)]
pub(super) struct StandbyCopy {
    pub(super) record: RequestRecord,
    pub(super) updated_at: Timestamp,
}

/// Events that an owner appends to a copy.
pub(super) struct AppendBatch {
    pub(super) id: RequestId,
    pub(super) epoch: Epoch,
    pub(super) from: EventIndex,
    pub(super) events: Vec<AnswerEvent>,
    pub(super) attempts: u32,
    pub(super) location: Option<AttemptLocation>,
}

impl Entry {
    pub(super) fn on_copy(&mut self, now: Timestamp, from: &DaemonId, record: RequestRecord) {
        let id = record.id.clone();
        let epoch = record.epoch;
        if let Err(refusal) = self.check_copy(&record) {
            self.send(from, Message::CopyRefused { id, epoch, refusal });
            return;
        }
        if self.owned.contains_key(&id) {
            self.yield_ownership(now, &id, from, epoch);
        }
        let through = EventIndex(record.events.len() as u64);
        if let Some(request_key) = RequestKey::of(&record) {
            self.keys.insert(request_key, id.clone());
        }
        self.send_warning(now, from, record.request.fingerprint());
        let updated_at = now;
        self.copies
            .insert(id.clone(), StandbyCopy { record, updated_at });
        self.send(from, Message::CopyAck { id, epoch, through });
    }

    fn check_copy(&self, record: &RequestRecord) -> Result<(), CopyRefusal> {
        if self.stopping.is_some() {
            return Err(CopyRefusal::Leaving);
        }
        if let Some(owned) = self.owned.get(&record.id)
            && owned.record.epoch >= record.epoch
        {
            return Err(CopyRefusal::Superseded {
                owner: self.own.clone(),
                epoch: owned.record.epoch,
            });
        }
        match self.copies.get(&record.id) {
            Some(copy) if copy.record.epoch > record.epoch => Err(CopyRefusal::Superseded {
                owner: copy.record.owner.clone(),
                epoch: copy.record.epoch,
            }),
            _ => Ok(()),
        }
    }

    pub(super) fn on_append(&mut self, now: Timestamp, from: &DaemonId, appended: AppendBatch) {
        let id = appended.id.clone();
        let epoch = appended.epoch;
        match self.append(now, appended) {
            Ok(through) => self.send(from, Message::CopyAck { id, epoch, through }),
            Err(refusal) => self.send(from, Message::CopyRefused { id, epoch, refusal }),
        }
    }

    fn append(&mut self, now: Timestamp, appended: AppendBatch) -> Result<EventIndex, CopyRefusal> {
        if let Some(owned) = self.owned.get(&appended.id) {
            if owned.record.epoch < appended.epoch {
                // The owner sends the full copy next, which makes this daemon yield.
                return Err(CopyRefusal::Incomplete);
            }
            return Err(CopyRefusal::Superseded {
                owner: self.own.clone(),
                epoch: owned.record.epoch,
            });
        }
        let Some(copy) = self.copies.get_mut(&appended.id) else {
            return Err(CopyRefusal::Incomplete);
        };
        let record = &mut copy.record;
        if record.epoch > appended.epoch {
            return Err(CopyRefusal::Superseded {
                owner: record.owner.clone(),
                epoch: record.epoch,
            });
        }
        let recorded = record.events.len() as u64;
        if record.epoch < appended.epoch || appended.from.0 > recorded {
            return Err(CopyRefusal::Incomplete);
        }
        let already_held = (recorded - appended.from.0) as usize;
        record
            .events
            .extend(appended.events.into_iter().skip(already_held));
        record.attempts = record.attempts.max(appended.attempts);
        if appended.location.is_some() {
            record.location = appended.location;
        }
        copy.updated_at = now;
        Ok(EventIndex(record.events.len() as u64))
    }

    pub(super) fn on_drop(&mut self, from: &DaemonId, id: &RequestId, epoch: Epoch) {
        let is_droppable = self
            .copies
            .get(id)
            .is_some_and(|copy| copy.record.epoch <= epoch);
        if is_droppable {
            self.remove_copy(id);
        }
        if !self.owned.contains_key(id) {
            let id = id.clone();
            self.send(from, Message::DropAck { id, epoch });
        }
    }

    pub(super) fn remove_copy(&mut self, id: &RequestId) -> Option<StandbyCopy> {
        let copy = self.copies.remove(id)?;
        self.remove_key(id, RequestKey::of(&copy.record));
        Some(copy)
    }

    /// Takes over requests whose owner is unreachable and removes expired copies.
    pub(super) fn tick_copies(&mut self, now: Timestamp) {
        let mut orphaned = Vec::new();
        let mut expired = Vec::new();
        for (id, copy) in &self.copies {
            let age = now.since(copy.updated_at);
            let is_done = copy.record.is_done();
            if is_done && age >= ANSWER_RETENTION + COPY_GRACE {
                expired.push(id.clone());
            } else if !is_done && self.is_orphaned(copy, age) {
                orphaned.push(id.clone());
            }
        }
        for id in expired {
            self.remove_copy(&id);
        }
        for id in orphaned {
            self.take_over(now, &id, Vec::new(), "owner-gone");
        }
    }

    fn is_orphaned(&self, copy: &StandbyCopy, age: Duration) -> bool {
        match self.membership.state(&copy.record.owner) {
            Some(MemberState::Gone) => true,
            Some(MemberState::Live | MemberState::Leaving) => false,
            None => age >= UNKNOWN_OWNER_GRACE,
        }
    }
}
