//! Evidence of requests, and of parts of prompts, that crash the endpoints that run them.
//!
//! The end of a connection does not show that an endpoint has crashed, so the daemon then
//! checks whether the endpoint still accepts connections: a process that has ended refuses
//! them, while a lost VM does not answer. What was in flight at a crash is reported to the
//! peers that count for it: all peers in a small fleet, otherwise a few by rendezvous hashing.
//! Whoever counts enough crashes tells all daemons, and writes the quarantine to the key-value
//! store for those that start later.

use std::time::Duration;

use super::Gateway;
use super::call::{AdmittedCall, Prompt};
use super::lost_calls::MAX_IN_FLIGHT;
use super::quarantine_update::{NOTE_BYTES, QuarantineUpdate, SuspectHold};
use crate::decision::{Decision, DecisionKind};
use crate::error::{ErrorKind, Refusal};
use crate::hash::digest64;
use crate::ids::{Fingerprint, ServiceName};
use crate::quarantine::{CountedCrash, HoldBasis, ProcessKey, Suspect, SuspectNote};
use crate::units::Timestamp;

/// Maximum number of parts of one prompt that are suspects, the last ones.
const MAX_PARTS: usize = 16;

/// Returns what a crash may be attributed to while a request is in flight, with the depth: the
/// request, and the shared parts of its prompt, the last one first.
pub(super) fn suspects(
    fingerprint: Fingerprint,
    service: &ServiceName,
    prompt: Option<&Prompt>,
) -> impl Iterator<Item = (Suspect, u8)> {
    let service = service.as_str().as_bytes();
    let parts = prompt.map_or(&[][..], Prompt::shared).iter().rev();
    let parts = parts
        .take(MAX_PARTS)
        .map(|part| digest64(&[service, &part.id.to_le_bytes()]));
    let request = std::iter::once(Suspect::Request(fingerprint));
    request
        .chain(parts.map(|part| Suspect::Part(Fingerprint(part))))
        .zip(0..)
}

impl AdmittedCall {
    /// Returns what a crash may be attributed to while the call is in flight, see [`suspects`].
    pub(super) fn suspects(&self) -> impl Iterator<Item = (Suspect, u8)> {
        suspects(self.fingerprint, &self.service, self.prompt.as_ref())
    }
}

impl Gateway {
    /// Refuses a request that is quarantined, or has a part that is.
    pub(super) fn check_quarantine(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        service: &ServiceName,
        prompt: Option<&Prompt>,
    ) -> Result<(), Refusal> {
        if !self.quarantine.has_holds() {
            return Ok(());
        }
        let is_held = |suspect: &Suspect| self.quarantine.held_until(now, *suspect).is_some();
        let mut suspects = suspects(fingerprint, service, prompt).map(|(suspect, _)| suspect);
        match suspects.find(is_held) {
            Some(Suspect::Request(_)) => {
                Err(Refusal::new(ErrorKind::Quarantined, "crashed endpoints"))
            }
            Some(Suspect::Part(_)) => {
                let detail = "a part of the prompt crashed endpoints";
                Err(Refusal::new(ErrorKind::Quarantined, detail))
            }
            None => Ok(()),
        }
    }

    /// Checks whether a call may be sent to an endpoint once more; the refusal is that of a call
    /// that has not run.
    pub(super) fn check_call(&self, now: Timestamp, call: &AdmittedCall) -> Result<(), Refusal> {
        let prompt = call.prompt.as_ref();
        self.check_quarantine(now, call.fingerprint, &call.service, prompt)
    }

    /// Returns the time for which a call waits until the crashes at which its request was in flight
    /// are explained.
    pub(super) fn settle_time(&self, now: Timestamp, call: &AdmittedCall) -> Duration {
        let settles_at = self.quarantine.settles_at(call.fingerprint);
        settles_at.map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Refuses a call whose request has been quarantined since it was admitted.
    pub(super) fn check_retry(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
    ) -> Result<(), Refusal> {
        let refusal = match self.check_call(now, call) {
            Err(refusal) if call.executions == 0 => refusal,
            Err(refusal) => Refusal::new(ErrorKind::EndpointCrashed, refusal.detail),
            Ok(()) => return Ok(()),
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Route, "refuse", refusal.kind.name())
                .with("request", &call.id)
                .with("fingerprint", call.fingerprint),
        );
        Err(refusal)
    }

    /// Records when the daemon started: before, it has seen no request complete, and another process
    /// may have used its share of the retries.
    pub fn on_daemon_started(&mut self, now: Timestamp) {
        self.quarantine.on_started(now);
        self.retry_share.on_started(now);
    }

    /// Applies a message from a peer.
    pub fn on_quarantine_update(&mut self, now: Timestamp, update: QuarantineUpdate) {
        for clearance in update.clearances {
            let at = now.before(Duration::from_millis(clearance.age_ms.into()));
            self.clear(now, clearance.suspect, at, "peer");
        }
        for hold in update.holds {
            self.on_peer_hold(now, hold);
        }
        for crash in update.crashes {
            let counted = CountedCrash {
                process: crash.process,
                at: now.before(Duration::from_millis(crash.age_ms.into())),
            };
            for note in crash.suspects.into_iter().take(MAX_IN_FLIGHT) {
                self.count_crash(now, note, counted);
            }
        }
    }

    /// Records that a call ran to completion, which clears its request and the parts of its
    /// prompt.
    pub fn on_completed(&mut self, now: Timestamp, call: &AdmittedCall) {
        for (suspect, _) in call.suspects() {
            self.record_completion(now, suspect);
        }
    }

    /// Removes expired records, and sends the others to peers that have become reachable.
    pub(super) fn tick_quarantine(&mut self, now: Timestamp) {
        self.quarantine.tick(now);
        self.send_records_to_reached(now);
    }

    /// Adopts a quarantine that was decided elsewhere.
    pub(super) fn adopt_hold(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        basis: HoldBasis,
        until: Timestamp,
        source: &str,
    ) {
        if self.quarantine.on_held(now, suspect, basis, until) {
            self.record_hold(now, suspect, until, source);
        }
    }

    pub(super) fn record_release(&mut self, now: Timestamp, suspect: Suspect, source: &str) {
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "release", source)
                .with("suspect", suspect),
        );
    }

    fn on_peer_hold(&mut self, now: Timestamp, hold: SuspectHold) {
        let SuspectHold {
            suspect, processes, ..
        } = hold;
        let basis = HoldBasis {
            since: now.before(Duration::from_millis(hold.since_ms.into())),
            crashes: hold.crashes,
        };
        if let Some(at) = self.completion_against(now, suspect, basis) {
            self.record_dispute(now, suspect, "peer");
            self.report_clearance(now, suspect, at);
            return;
        }
        let until = now.after(Duration::from_secs(hold.remaining_s.into()));
        self.adopt_hold(now, suspect, basis, until, "peer");
        self.explain(now, suspect, hold.depth, &processes);
    }

    /// Returns when a request with a suspect ran to completion, if that speaks against a
    /// quarantine.
    pub(super) fn completion_against(
        &self,
        now: Timestamp,
        suspect: Suspect,
        basis: HoldBasis,
    ) -> Option<Timestamp> {
        let refutes = |at: &Timestamp| basis.is_refuted_by(suspect, *at);
        let is_request = matches!(suspect, Suspect::Request(_));
        let seen = self.quarantine.completed_at(now, suspect);
        let seen = seen.filter(|at| is_request || refutes(at));
        let cleared = self.quarantine.cleared_at(suspect).filter(refutes);
        seen.max(cleared)
    }

    pub(super) fn record_dispute(&mut self, now: Timestamp, suspect: Suspect, source: &str) {
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "dispute", source)
                .with("suspect", suspect),
        );
    }

    /// Clears a suspect that was in a request that ran to completion at `at`.
    /// Returns whether that ends a quarantine.
    fn clear(&mut self, now: Timestamp, suspect: Suspect, at: Timestamp, source: &str) -> bool {
        if !self.quarantine.on_cleared(now, suspect, at) {
            return false;
        }
        self.stored_holds.on_cleared(suspect, at);
        self.record_release(now, suspect, source);
        let (Suspect::Request(key) | Suspect::Part(key)) = suspect;
        if !self.counts_everywhere() && self.ranks_first(now, key.0, None) {
            self.send_clearance(now, suspect, at, self.all_quarantine_peers(now));
        }
        true
    }

    pub(super) fn record_completion(&mut self, now: Timestamp, suspect: Suspect) {
        if self.quarantine.on_completed(now, suspect) {
            self.report_clearance(now, suspect, now);
        }
    }

    fn report_clearance(&mut self, now: Timestamp, suspect: Suspect, at: Timestamp) {
        let ends_quarantine = self.clear(now, suspect, at, "completed");
        // What is not sent leaves single crashes at the peers that count, until they expire.
        let peers = self.counting_peers(now, suspect);
        let must_send = ends_quarantine || at < now;
        if must_send || self.may_send_evidence(now, peers.len(), NOTE_BYTES * peers.len() as f64) {
            self.send_clearance(now, suspect, at, peers);
        }
    }

    /// Counts a crash against a suspect, which may quarantine it.
    pub(super) fn count_crash(&mut self, now: Timestamp, note: SuspectNote, crash: CountedCrash) {
        let decided = self.quarantine.on_crash(now, note, crash);
        let suspect = decided.map_or(note.suspect, |(suspect, _)| suspect);
        if let Some((_, until)) = decided {
            self.record_hold(now, suspect, until, "crashes");
            self.stored_holds.on_decided(suspect);
            self.send_hold(now, suspect, until);
        } else if self.quarantine.held_until(now, suspect).is_none() {
            return;
        }
        let (processes, depth) = self.quarantine.crashes(suspect);
        self.explain(now, suspect, depth, &processes);
    }

    /// Attributes crashes to a quarantined suspect.
    fn explain(&mut self, now: Timestamp, suspect: Suspect, depth: u8, processes: &[ProcessKey]) {
        if processes.is_empty() {
            return;
        }
        for released in self.quarantine.explain(now, suspect, depth, processes) {
            self.stored_holds.on_cleared(released, now);
            self.record_release(now, released, "explained");
            self.send_clearance(now, released, now, self.all_quarantine_peers(now));
        }
    }

    fn record_hold(&mut self, now: Timestamp, suspect: Suspect, until: Timestamp, source: &str) {
        self.store_later(now, suspect);
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "quarantine", source)
                .with("suspect", suspect)
                .with("for_s", until.since(now).as_secs()),
        );
    }
}
