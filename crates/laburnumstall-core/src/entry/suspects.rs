//! Requests suspected of crashing endpoints: retried in isolation, one at a time, and
//! reported to peers.
//!
//! [`Quarantine`](crate::quarantine::Quarantine) decides; this module consults it before each
//! attempt of a suspect and sends its messages.

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
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether and where the quarantine allows the next attempt of a request.
pub(super) enum AttemptPolicy {
    /// The request is not a suspect.
    Unrestricted,
    /// The attempt must avoid these endpoints.
    Isolated(Vec<EndpointId>),
    /// The attempt must wait until the given time.
    WaitUntil(Timestamp),
    /// The request must not run again.
    Denied,
}

impl Entry {
    /// Asks the quarantine whether a request may be attempted now.
    pub(super) fn attempt_policy(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
    ) -> AttemptPolicy {
        match self.quarantine.verdict(now, fingerprint) {
            Verdict::Clear => return AttemptPolicy::Unrestricted,
            Verdict::Quarantined => {
                let held_until = self.quarantine.held_until(now, fingerprint);
                return held_until.map_or(AttemptPolicy::Denied, AttemptPolicy::WaitUntil);
            }
            Verdict::Suspect => {}
        }
        match self.quarantine.begin_trial(now, fingerprint) {
            Trial::Run => AttemptPolicy::Isolated(self.quarantine.suspect_endpoints(now)),
            Trial::Wait(until) => AttemptPolicy::WaitUntil(until),
            Trial::Notify(suspicion) => {
                self.send_to_all(&Message::Suspect(suspicion));
                AttemptPolicy::WaitUntil(now.after(TRIAL_CLAIM_TIMEOUT))
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

    /// Sends peers the suspicions that the quarantine recorded since the last event.
    pub(super) fn broadcast_suspicions(&mut self) {
        if let Some(suspicion) = self.quarantine.take_gossip() {
            self.send_to_all(&Message::Suspect(suspicion));
        }
    }

    /// Sends a peer all suspicions: messages may have been lost with a link.
    pub(super) fn send_suspicions(&mut self, to: &DaemonId) {
        let snapshot = self.quarantine.snapshot();
        if !snapshot.is_empty() {
            self.send(to, Message::Suspect(snapshot));
        }
    }

    /// Sends the owner of a request the suspicion of its fingerprint, before the owner runs it.
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

    /// Suspects the requests that ran on a crashed endpoint, and notifies peers before any retry.
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

    /// Fails every owned request whose quarantine is final.
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

    /// Delays a suspect until it may be attempted.
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

    /// Records that an attempt ended without a crash of its endpoint.
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
