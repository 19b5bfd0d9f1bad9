//! Evidence of requests, and of parts of prompts, that crash the endpoints that run them.
//!
//! The end of a connection does not show that an endpoint has crashed, so the daemon then
//! checks whether the endpoint still accepts connections: a process that has ended refuses
//! them, while a lost VM does not answer. What was in flight at a crash is reported to the
//! peers that count for it: all peers in a small fleet, otherwise a few by rendezvous hashing.
//! Whoever counts enough crashes tells all daemons, and writes the quarantine to the key-value
//! store for those that start later.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::call::{AdmittedCall, Prompt};
use super::gossip::Peer;
use super::load_balancer::CallAttempt;
use super::resumption::{COPIES, FULL_RATE_DAEMONS, daemon_hash, rank_peers};
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::error::{ErrorKind, Refusal};
use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{DaemonId, EndpointId, Fingerprint, ServiceName};
use crate::quarantine::{CountedCrash, MIN_CRASHES_OF_KNOWN, ProcessKey, Suspect, SuspectNote};
use crate::units::Timestamp;

/// Time after the first output from which on a crash does not count against a call: it has
/// begun without crashing the endpoint.
const BEGIN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of suspects in one report of a crash.
const MAX_IN_FLIGHT: usize = 1_024;
/// Maximum number of parts of one prompt that are suspects, the last ones.
const MAX_PARTS: usize = 16;
/// Maximum number of processes in a message about a quarantine.
const MAX_PROCESSES: usize = 8;

domain! {
    /// Crash of an endpoint process, as one daemon noticed it.
    #[derive(Eq)]
    pub struct ProcessCrash {
        /// The process.
        pub process: ProcessKey,
        /// Time since the crash in milliseconds; clocks of daemons differ.
        pub age_ms: u32,
        /// What was in flight, the most specific first.
        pub suspects: Vec<SuspectNote>,
    }

    /// Quarantine of a suspect.
    #[derive(Eq)]
    pub struct SuspectHold {
        /// The suspect.
        pub suspect: Suspect,
        /// Its depth, see [`SuspectNote`].
        pub depth: u8,
        /// Time until the quarantine ends, in seconds.
        pub remaining_s: u32,
        /// Processes whose crashes it explains.
        pub processes: Vec<ProcessKey>,
    }

    /// Suspect that was in a request that ran to completion.
    #[derive(Eq)]
    pub struct SuspectClearance {
        /// The suspect.
        pub suspect: Suspect,
        /// Time since the completion in milliseconds.
        pub age_ms: u32,
    }

    /// Message about crashes and quarantines to a peer.
    #[derive(Eq, Default)]
    pub struct QuarantineUpdate {
        /// Crashes.
        pub crashes: Vec<ProcessCrash>,
        /// Quarantines.
        pub holds: Vec<SuspectHold>,
        /// Suspects that are cleared.
        pub clearances: Vec<SuspectClearance>,
    }
}

/// Result of a connection attempt to an endpoint that may have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts connections.
    Accepting,
    /// It refuses them: its process has ended.
    Refusing,
    /// It does not answer, or cannot be reached.
    Unknown,
}

/// Endpoint that may have crashed; see [`Gateway::on_endpoint_checked`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointCheck {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// Calls whose connections ended, by endpoint, until the endpoint has been checked.
#[derive(Debug, Default)]
pub(super) struct LostCalls {
    by_endpoint: BTreeMap<EndpointId, LostProcess>,
    to_check: Vec<EndpointCheck>,
}

#[derive(Debug)]
struct LostProcess {
    process: ProcessKey,
    at: Timestamp,
    suspects: BTreeMap<Suspect, InFlight>,
    /// Suspects of responses that ended with their connection: complete if the process lives.
    ended: BTreeSet<Suspect>,
}

/// Request in flight on a process, of those with a suspect the one that began last.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    request: Fingerprint,
    depth: u8,
    ran: Duration,
}

/// Messages that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    messages: BTreeMap<(DaemonId, SocketAddr), QuarantineUpdate>,
    /// Peers that have been reachable since all records were sent to them.
    reached: BTreeSet<DaemonId>,
}

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
    fn suspects(&self) -> impl Iterator<Item = (Suspect, u8)> {
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

    /// Records that the connection of an attempt ended before its response did.
    pub(super) fn on_attempt_lost(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        self.check_later(now, call, attempt);
    }

    /// Records that the response of an attempt ended with its connection, which a crash may look
    /// like.
    pub fn on_ended_by_close(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        if let Some(lost) = self.check_later(now, call, attempt) {
            lost.ended
                .extend(call.suspects().map(|(suspect, _)| suspect));
        }
    }

    /// Has the endpoint of an attempt checked, with the call as a suspect if it has crashed.
    fn check_later(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) -> Option<&mut LostProcess> {
        let has_begun = attempt
            .first_output_at
            .is_some_and(|at| now.since(at) >= BEGIN_TIME);
        let known = self.endpoints.get(&attempt.endpoint)?;
        if has_begun || known.record.is_leaving {
            return None;
        }
        let started_at = known.record.started_at_ms.to_le_bytes();
        let process = digest64(&[attempt.endpoint.as_str().as_bytes(), &started_at]);
        let calls = &mut self.lost_calls;
        let lost = calls
            .by_endpoint
            .entry(attempt.endpoint.clone())
            .or_insert_with(|| {
                calls.to_check.push(EndpointCheck {
                    endpoint: attempt.endpoint.clone(),
                    address: attempt.address,
                });
                LostProcess {
                    process: ProcessKey(process),
                    at: now,
                    suspects: BTreeMap::new(),
                    ended: BTreeSet::new(),
                }
            });
        for (suspect, depth) in call.suspects() {
            if lost.suspects.len() < MAX_IN_FLIGHT {
                let new = InFlight {
                    request: call.fingerprint,
                    depth,
                    ran: now.since(attempt.started_at),
                };
                let known = lost.suspects.entry(suspect).or_insert(new);
                let depth = depth.min(known.depth);
                if new.ran < known.ran {
                    *known = new;
                }
                known.depth = depth;
            }
        }
        Some(lost)
    }

    /// Returns whether endpoints have to be checked.
    pub fn has_endpoint_checks(&self) -> bool {
        !self.lost_calls.to_check.is_empty()
    }

    /// Returns the endpoints to be checked, by connecting to them.
    pub fn take_endpoint_checks(&mut self) -> Vec<EndpointCheck> {
        std::mem::take(&mut self.lost_calls.to_check)
    }

    /// Records the result of a check.
    pub fn on_endpoint_checked(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        state: EndpointState,
    ) {
        let Some(lost) = self.lost_calls.by_endpoint.remove(endpoint) else {
            return;
        };
        match state {
            EndpointState::Refusing => {}
            EndpointState::Accepting => {
                for suspect in lost.ended {
                    self.complete(now, suspect);
                }
                return;
            }
            EndpointState::Unknown => return,
        }
        let notes = self.notes(now, &lost);
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "suspect", "endpoint-crash")
                .with("endpoint", endpoint)
                .with("in_flight", lost.suspects.len())
                .with("suspects", notes.len()),
        );
        let crash = CountedCrash {
            process: lost.process,
            at: lost.at,
        };
        let mut by_peer: BTreeMap<(DaemonId, SocketAddr), Vec<SuspectNote>> = BTreeMap::new();
        for note in &notes {
            for peer in self.counting_peers(now, note.suspect) {
                by_peer.entry(peer).or_default().push(*note);
            }
        }
        for (peer, suspects) in by_peer {
            let crash = to_process_crash(now, crash, suspects);
            self.outbox_of(peer).crashes.push(crash);
        }
        for note in notes {
            self.count_crash(now, note, crash);
        }
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
            self.complete(now, suspect);
        }
    }

    /// Returns the messages to peers.
    pub fn take_quarantine_updates(&mut self) -> Vec<(DaemonId, SocketAddr, QuarantineUpdate)> {
        let messages = std::mem::take(&mut self.quarantine_outbox.messages);
        messages
            .into_iter()
            .map(|((peer, address), update)| (peer, address, update))
            .collect()
    }

    /// Records whether a peer decodes quarantine updates.
    pub fn set_quarantine_support(&mut self, id: &DaemonId, is_supported: bool) {
        self.peer_table.set_quarantine_support(id, is_supported);
    }

    /// Removes expired records, and sends the others to peers that have become reachable.
    pub(super) fn tick_quarantine(&mut self, now: Timestamp) {
        self.quarantine.tick(now);
        let reachable: BTreeMap<DaemonId, SocketAddr> =
            self.all_quarantine_peers(now).into_iter().collect();
        let outbox = &mut self.quarantine_outbox;
        outbox.reached.retain(|peer| reachable.contains_key(peer));
        for (peer, address) in reachable {
            if self.quarantine_outbox.reached.insert(peer.clone()) {
                self.send_records(now, &peer, address);
            }
        }
    }

    /// Adopts a quarantine that was decided elsewhere.
    pub(super) fn adopt_hold(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        until: Timestamp,
        source: &str,
    ) {
        if self.quarantine.on_held(now, suspect, until) {
            self.record_hold(now, suspect, until, source);
        }
    }

    pub(super) fn record_release(&mut self, now: Timestamp, suspect: Suspect, source: &str) {
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "release", source)
                .with("suspect", suspect),
        );
    }

    /// Returns what was in flight at the crash of a process, the most specific first.
    fn notes(&self, now: Timestamp, lost: &LostProcess) -> Vec<SuspectNote> {
        let mut notes: Vec<SuspectNote> = lost
            .suspects
            .iter()
            .map(|(suspect, in_flight)| SuspectNote {
                suspect: *suspect,
                request: in_flight.request,
                ran_ms: millis(in_flight.ran),
                depth: in_flight.depth,
                has_completed: self.quarantine.completed_at(now, *suspect).is_some(),
            })
            .filter(|note| !matches!(note.suspect, Suspect::Request(_)) || !note.has_completed)
            .collect();
        notes.sort_unstable_by_key(|note| (note.depth, note.suspect));
        notes
    }

    fn on_peer_hold(&mut self, now: Timestamp, hold: SuspectHold) {
        let SuspectHold {
            suspect, processes, ..
        } = hold;
        if self.objects(now, suspect, processes.len()) {
            let at = self.quarantine.completed_at(now, suspect);
            self.report_clearance(now, suspect, at.unwrap_or(now));
            return;
        }
        let until = now.after(Duration::from_secs(hold.remaining_s.into()));
        self.adopt_hold(now, suspect, until, "peer");
        self.explain(now, suspect, hold.depth, &processes);
    }

    /// Returns whether this daemon has seen a suspect in a completed request, and too few crashes
    /// speak against it.
    pub(super) fn objects(&self, now: Timestamp, suspect: Suspect, crashes: usize) -> bool {
        let is_certain = matches!(suspect, Suspect::Part(_)) && crashes >= MIN_CRASHES_OF_KNOWN;
        !is_certain && self.quarantine.completed_at(now, suspect).is_some()
    }

    /// Clears a suspect that was in a request that ran to completion at `at`.
    fn clear(&mut self, now: Timestamp, suspect: Suspect, at: Timestamp, source: &str) {
        if self.quarantine.on_cleared(now, suspect, at) {
            self.stored_holds.on_cleared(suspect);
            self.record_release(now, suspect, source);
            let (Suspect::Request(key) | Suspect::Part(key)) = suspect;
            if !self.counts_everywhere() && self.ranks_first(now, key.0, None) {
                self.send_clearance(now, suspect, at, self.all_quarantine_peers(now));
            }
        }
    }

    fn complete(&mut self, now: Timestamp, suspect: Suspect) {
        if self.quarantine.on_completed(now, suspect) {
            self.report_clearance(now, suspect, now);
        }
    }

    fn report_clearance(&mut self, now: Timestamp, suspect: Suspect, at: Timestamp) {
        self.clear(now, suspect, at, "completed");
        self.send_clearance(now, suspect, at, self.counting_peers(now, suspect));
    }

    fn send_clearance(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        at: Timestamp,
        peers: Vec<(DaemonId, SocketAddr)>,
    ) {
        let age_ms = millis(now.since(at));
        for peer in peers {
            let clearance = SuspectClearance { suspect, age_ms };
            self.outbox_of(peer).clearances.push(clearance);
        }
    }

    fn count_crash(&mut self, now: Timestamp, note: SuspectNote, crash: CountedCrash) {
        let suspect = note.suspect;
        let decided = self.quarantine.on_crash(now, note, crash);
        if decided.is_none() && self.quarantine.held_until(now, suspect).is_none() {
            return;
        }
        let (mut processes, depth) = self.quarantine.crashes(suspect);
        if let Some(until) = decided {
            self.record_hold(now, suspect, until, "crashes");
            self.stored_holds.on_decided(suspect);
            processes.truncate(MAX_PROCESSES);
            let hold = SuspectHold {
                suspect,
                depth,
                remaining_s: seconds(until.since(now)),
                processes: processes.clone(),
            };
            for peer in self.all_quarantine_peers(now) {
                self.outbox_of(peer).holds.push(hold.clone());
            }
        }
        self.explain(now, suspect, depth, &processes);
    }

    /// Attributes crashes to a quarantined part.
    fn explain(&mut self, now: Timestamp, suspect: Suspect, depth: u8, processes: &[ProcessKey]) {
        if !matches!(suspect, Suspect::Part(_)) || processes.is_empty() {
            return;
        }
        for released in self.quarantine.explain(now, suspect, depth, processes) {
            self.stored_holds.on_cleared(released);
            self.record_release(now, released, "explained");
            self.send_clearance(now, released, now, self.all_quarantine_peers(now));
        }
    }

    fn send_records(&mut self, now: Timestamp, peer: &DaemonId, address: SocketAddr) {
        let mut update = QuarantineUpdate::default();
        if self.is_informant(now, peer) {
            let held = self.quarantine.held(now);
            update.holds = held
                .map(|(suspect, until)| {
                    let (mut processes, depth) = self.quarantine.crashes(suspect);
                    processes.truncate(MAX_PROCESSES);
                    SuspectHold {
                        suspect,
                        depth,
                        remaining_s: seconds(until.since(now)),
                        processes,
                    }
                })
                .collect();
        }
        let mut crashes: BTreeMap<CountedCrash, Vec<SuspectNote>> = BTreeMap::new();
        for (note, crash) in self.quarantine.suspects() {
            let mut counting = self.counting_peers(now, note.suspect).into_iter();
            if counting.any(|(counting, _)| counting == *peer) {
                crashes.entry(crash).or_default().push(note);
            }
        }
        update.crashes = crashes
            .into_iter()
            .map(|(crash, mut notes)| {
                notes.sort_unstable_by_key(|note| (note.depth, note.suspect));
                to_process_crash(now, crash, notes)
            })
            .collect();
        if update != QuarantineUpdate::default() {
            let known = self.outbox_of((peer.clone(), address));
            known.holds.extend(update.holds);
            known.crashes.extend(update.crashes);
        }
    }

    /// Returns whether this daemon is one of those that tell a new peer what is quarantined.
    fn is_informant(&self, now: Timestamp, peer: &DaemonId) -> bool {
        self.counts_everywhere() || self.ranks_first(now, daemon_hash(peer), Some(peer))
    }

    /// Returns whether this daemon is one of the few that rank first for a key, apart from one
    /// peer.
    fn ranks_first(&self, now: Timestamp, key: u64, except: Option<&DaemonId>) -> bool {
        let own = rendezvous_weight(key, daemon_hash(&self.own));
        let ranked_before = self
            .quarantine_peers(now)
            .filter(|peer| Some(&peer.member.id) != except)
            .filter(|peer| rendezvous_weight(key, daemon_hash(&peer.member.id)) > own);
        ranked_before.count() < COPIES
    }

    /// Returns whether all daemons count all crashes.
    fn counts_everywhere(&self) -> bool {
        self.peer_table.len() < FULL_RATE_DAEMONS
    }

    /// Returns the peers that count the crashes of a suspect.
    fn counting_peers(&self, now: Timestamp, suspect: Suspect) -> Vec<(DaemonId, SocketAddr)> {
        let (Suspect::Request(key) | Suspect::Part(key)) = suspect;
        match self.counts_everywhere() {
            true => self.all_quarantine_peers(now),
            false => rank_peers(self.quarantine_peers(now), key.0, COPIES),
        }
    }

    fn all_quarantine_peers(&self, now: Timestamp) -> Vec<(DaemonId, SocketAddr)> {
        self.quarantine_peers(now)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address))
            .collect()
    }

    fn quarantine_peers(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let peers = self.peer_table.reachable(now);
        peers.filter(|peer| peer.supports_quarantine)
    }

    fn outbox_of(&mut self, peer: (DaemonId, SocketAddr)) -> &mut QuarantineUpdate {
        self.quarantine_outbox.messages.entry(peer).or_default()
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

fn to_process_crash(
    now: Timestamp,
    crash: CountedCrash,
    suspects: Vec<SuspectNote>,
) -> ProcessCrash {
    ProcessCrash {
        process: crash.process,
        age_ms: millis(now.since(crash.at)),
        suspects,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Rounds up to whole seconds.
fn seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs() + 1).unwrap_or(u32::MAX)
}
