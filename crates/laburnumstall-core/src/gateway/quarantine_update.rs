//! Messages between daemons about crashes and quarantines, and who gets them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::gossip::{Peer, daemon_hash, rank_peers};
use super::resumption::COPIES;
use super::send_budget::{FULL_RATE_DAEMONS, MESSAGE_BYTES};
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::hash::rendezvous_weight;
use crate::ids::DaemonId;
use crate::quarantine::{CountedCrash, ProcessKey, Suspect, SuspectNote};
use crate::units::Timestamp;

/// Bytes of one suspect in a message, without the requests that it names.
pub(super) const NOTE_BYTES: f64 = 16.0;
/// Bytes of a request that a message names.
const NAME_BYTES: f64 = 10.0;
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
        /// Time since the first of the latest crashes that are enough for it, in milliseconds.
        pub since_ms: u32,
        /// Number of crashes that it is based on.
        pub crashes: u32,
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

/// Messages that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    messages: BTreeMap<(DaemonId, SocketAddr), QuarantineUpdate>,
    /// Peers that have been reachable since all records were sent to them.
    reached: BTreeSet<DaemonId>,
}

impl Gateway {
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

    /// Spends the budget on messages to some peers that may be left out; returns whether they may
    /// be sent.
    pub(super) fn may_send_evidence(
        &mut self,
        now: Timestamp,
        peers: usize,
        notes_bytes: f64,
    ) -> bool {
        let may_send = self.crash_budget.left(now, 1 + self.peer_table.len()) > 0.0;
        if may_send {
            let bytes = MESSAGE_BYTES * peers as f64 + notes_bytes;
            self.crash_budget.spend(bytes);
        }
        may_send
    }

    /// Tells peers that a suspect was in a request that ran to completion at `at`.
    pub(super) fn send_clearance(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        at: Timestamp,
        peers: Vec<(DaemonId, SocketAddr)>,
    ) {
        let age_ms = millis(now.since(at));
        for peer in peers {
            let clearance = SuspectClearance { suspect, age_ms };
            let update = self.outbox_of(peer);
            let is_ended = |hold: &SuspectHold| hold.suspect == suspect && hold.since_ms >= age_ms;
            update.holds.retain(|hold| !is_ended(hold));
            update.clearances.push(clearance);
        }
    }

    /// Tells all peers of a quarantine.
    pub(super) fn send_hold(&mut self, now: Timestamp, suspect: Suspect, until: Timestamp) {
        let hold = self.hold_message(now, suspect, until);
        for peer in self.all_quarantine_peers(now) {
            self.outbox_of(peer).holds.push(hold.clone());
        }
    }

    /// Tells the peers that count for suspects that they were in flight at a crash. Beyond the
    /// budget a crash is known to this daemon alone: in a large fleet many endpoints may crash at
    /// once, which speaks against few of the requests that are in flight.
    pub(super) fn send_crash(
        &mut self,
        now: Timestamp,
        crash: CountedCrash,
        notes: &[SuspectNote],
    ) {
        let mut by_peer: BTreeMap<(DaemonId, SocketAddr), Vec<SuspectNote>> = BTreeMap::new();
        for note in notes {
            for peer in self.counting_peers(now, note.suspect) {
                by_peer.entry(peer).or_default().push(*note);
            }
        }
        let notes_bytes = by_peer.values().flatten().map(note_bytes).sum();
        if !self.may_send_evidence(now, by_peer.len(), notes_bytes) {
            self.journal.record(
                Decision::new(now, DecisionKind::Budget, "not-sent", "endpoint-crash")
                    .with("suspects", notes.len()),
            );
            return;
        }
        for (peer, suspects) in by_peer {
            let crash = to_process_crash(now, crash, suspects);
            self.outbox_of(peer).crashes.push(crash);
        }
    }

    /// Sends the records to peers that have become reachable.
    pub(super) fn send_records_to_reached(&mut self, now: Timestamp) {
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

    fn hold_message(&self, now: Timestamp, suspect: Suspect, until: Timestamp) -> SuspectHold {
        let (mut processes, depth) = self.quarantine.crashes(suspect);
        processes.truncate(MAX_PROCESSES);
        let basis = self.quarantine.hold_basis(suspect).unwrap_or_default();
        SuspectHold {
            suspect,
            depth,
            since_ms: millis(now.since(basis.since)),
            crashes: basis.crashes,
            remaining_s: seconds(until.since(now)),
            processes,
        }
    }

    fn send_records(&mut self, now: Timestamp, peer: &DaemonId, address: SocketAddr) {
        let mut update = QuarantineUpdate::default();
        if self.is_informant(now, peer) {
            let held = self.quarantine.held(now);
            update.holds = held
                .map(|(suspect, until)| self.hold_message(now, suspect, until))
                .collect();
            let cleared = self.quarantine.clearances();
            update.clearances = cleared
                .map(|(suspect, at)| SuspectClearance {
                    suspect,
                    age_ms: millis(now.since(at)),
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
            known.clearances.extend(update.clearances);
            known.crashes.extend(update.crashes);
        }
    }

    /// Returns whether this daemon is one of those that tell a new peer what is quarantined, and
    /// what no longer is.
    fn is_informant(&self, now: Timestamp, peer: &DaemonId) -> bool {
        self.counts_everywhere() || self.ranks_first(now, daemon_hash(peer), Some(peer))
    }

    /// Returns whether this daemon is one of the few that rank first for a key, apart from one
    /// peer.
    pub(super) fn ranks_first(&self, now: Timestamp, key: u64, except: Option<&DaemonId>) -> bool {
        let own = rendezvous_weight(key, daemon_hash(&self.own));
        let ranked_before = self
            .quarantine_peers(now)
            .filter(|peer| Some(&peer.member.id) != except)
            .filter(|peer| rendezvous_weight(key, daemon_hash(&peer.member.id)) > own);
        ranked_before.count() < COPIES
    }

    /// Returns whether all daemons count all crashes.
    pub(super) fn counts_everywhere(&self) -> bool {
        self.peer_table.len() < FULL_RATE_DAEMONS
    }

    /// Returns the peers that count the crashes of a suspect.
    pub(super) fn counting_peers(
        &self,
        now: Timestamp,
        suspect: Suspect,
    ) -> Vec<(DaemonId, SocketAddr)> {
        let (Suspect::Request(key) | Suspect::Part(key)) = suspect;
        match self.counts_everywhere() {
            true => self.all_quarantine_peers(now),
            false => rank_peers(self.quarantine_peers(now), key.0, COPIES),
        }
    }

    pub(super) fn all_quarantine_peers(&self, now: Timestamp) -> Vec<(DaemonId, SocketAddr)> {
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
}

fn note_bytes(note: &SuspectNote) -> f64 {
    NOTE_BYTES + NAME_BYTES * note.requests.iter().count() as f64
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

pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Rounds up to whole seconds.
fn seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs() + 1).unwrap_or(u32::MAX)
}
