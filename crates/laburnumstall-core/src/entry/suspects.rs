//! Requests suspected of crashing endpoints: retried apart, one at a time, told to peers.
//!
//! [`Quarantine`](crate::quarantine::Quarantine) decides; this file asks it before each
//! attempt of a suspect and passes its messages on.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::owned::{OwnedRequest, Phase};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{AttemptId, DaemonId, EndpointId, Fingerprint, RequestId};
use crate::message::{AttemptLocation, Message};
use crate::quarantine::{Suspicion, Trial, Verdict};
use crate::units::Timestamp;

/// Time that peers have to answer a claim on a suspect.
const CLAIM_TIME: Duration = Duration::from_millis(60);

/// What the quarantine says of the next attempt of a request.
pub(super) enum AttemptPolicy {
    /// It is an ordinary request.
    Unrestricted,
    /// It runs apart from these endpoints.
    Isolated(Vec<EndpointId>),
    /// It waits until the time given.
    WaitUntil(Timestamp),
    /// It is not run again.
    Denied,
}

impl Entry {
    /// Asks whether a request may be attempted now.
    pub(super) fn attempt_policy(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
    ) -> AttemptPolicy {
        match self.quarantine.verdict(now, fingerprint) {
            Verdict::Clear => return AttemptPolicy::Unrestricted,
            Verdict::Quarantined => {
                let settled = self.quarantine.held_until(now, fingerprint);
                return settled.map_or(AttemptPolicy::Denied, AttemptPolicy::WaitUntil);
            }
            Verdict::Suspect => {}
        }
        match self.quarantine.begin_trial(now, fingerprint) {
            Trial::Run => AttemptPolicy::Isolated(self.quarantine.occupied(now)),
            Trial::Wait(until) => AttemptPolicy::WaitUntil(until),
            Trial::Tell(suspicion) => {
                self.send_to_all(&Message::Suspect(suspicion));
                AttemptPolicy::WaitUntil(now.after(CLAIM_TIME))
            }
        }
    }

    pub(super) fn on_suspect(&mut self, now: Timestamp, from: &DaemonId, suspicion: &Suspicion) {
        let is_new = self.quarantine.merge(now, suspicion, &mut self.journal);
        let reply = self.quarantine.reply(suspicion);
        if is_new && !reply.is_empty() {
            self.send(from, Message::Suspect(reply));
        }
        self.fail_all_quarantined(now);
    }

    /// Tells peers what the quarantine found out since the last event.
    pub(super) fn broadcast_suspicions(&mut self) {
        if let Some(news) = self.quarantine.take_news() {
            self.send_to_all(&Message::Suspect(news));
        }
    }

    /// Tells one peer all that is known: messages may have been lost with a link.
    pub(super) fn send_suspicions(&mut self, to: &DaemonId) {
        let known = self.quarantine.snapshot();
        if !known.is_empty() {
            self.send(to, Message::Suspect(known));
        }
    }

    /// Tells the owner of a request what speaks against it, before it runs there.
    pub(super) fn send_warning(
        &mut self,
        now: Timestamp,
        owner: &DaemonId,
        fingerprint: Fingerprint,
    ) {
        if let Some(warning) = self.quarantine.warning(now, fingerprint) {
            self.send(owner, Message::Suspect(warning));
        }
    }

    /// Suspects what ran on a crashed endpoint, and tells the peers before any retry.
    pub(super) fn report_crash(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        lost: &[RequestId],
    ) {
        let owned = lost.iter().filter_map(|id| self.owned.get(id));
        let suspects: Vec<Fingerprint> = owned
            .clone()
            .map(|owned| owned.record.request.fingerprint())
            .collect();
        let reached_at = owned.filter_map(|owned| owned.reached_at).max();
        let suspicion =
            self.quarantine
                .on_crash(now, endpoint, reached_at, &suspects, &mut self.journal);
        if let Some(suspicion) = suspicion {
            self.send_to_all(&Message::Suspect(suspicion));
        }
        self.fail_all_quarantined(now);
    }

    /// Fails every request here that is quarantined for good by now.
    pub(super) fn fail_all_quarantined(&mut self, now: Timestamp) {
        let is_quarantined = |owned: &OwnedRequest| {
            let fingerprint = owned.record.request.fingerprint();
            self.quarantine.verdict(now, fingerprint) == Verdict::Quarantined
                && self.quarantine.held_until(now, fingerprint).is_none()
        };
        let quarantined: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| !owned.is_done() && owned.is_accepted())
            .filter(|(_, owned)| is_quarantined(owned))
            .map(|(id, _)| id.clone())
            .collect();
        for id in quarantined {
            self.fail_quarantined(now, &id);
        }
    }

    pub(super) fn fail_quarantined(&mut self, now: Timestamp, id: &RequestId) {
        let has_run = self.owned.get(id).is_some_and(|owned| owned.may_have_run);
        let kind = if has_run {
            ErrorKind::EndpointCrashed
        } else {
            ErrorKind::Quarantined
        };
        self.cancel_attempt(id);
        self.fail(
            now,
            id,
            Refusal::new(kind, "its fingerprint is quarantined"),
        );
    }

    /// Waits with a suspect until it may be attempted.
    pub(super) fn wait_as_suspect(&mut self, now: Timestamp, id: &RequestId, until: Timestamp) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let is_new_wait = !matches!(owned.phase, Phase::Waiting { .. });
        owned.phase = Phase::Waiting { retry_at: until };
        if is_new_wait {
            let decision = self
                .decision(now, DecisionKind::Quarantine, "wait", "suspect")
                .with("request", id)
                .with("until", until);
            self.journal.record(decision);
        }
    }

    /// Takes in that an attempt ended, and that its endpoint did not crash.
    pub(super) fn attempt_ended(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        location: &AttemptLocation,
    ) {
        let attempt = AttemptId {
            request: id.clone(),
            number: location.attempt,
        };
        self.router.finished(now, &attempt);
        if let Some(owned) = self.owned.get(id) {
            let fingerprint = owned.record.request.fingerprint();
            self.quarantine.on_ended(fingerprint, &location.endpoint);
        }
    }
}
