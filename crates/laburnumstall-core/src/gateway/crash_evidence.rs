//! Evidence of requests that crash the endpoints that run them.
//!
//! The end of a connection does not show that an endpoint has crashed, so the daemon then
//! checks whether the endpoint still accepts connections: a process that has ended refuses
//! them, while a lost VM does not answer. The calls that were in flight at a crash are
//! reported to the peers that count for them: all peers in a small fleet, otherwise a few by
//! rendezvous hashing. Whoever counts enough crashes tells all daemons, and writes the
//! quarantine to the key-value store for those that start later.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use super::gossip::Peer;
use super::load_balancer::CallAttempt;
use super::resumption::{COPIES, FULL_RATE_DAEMONS, rank_peers};
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::error::{ErrorKind, Refusal};
use crate::hash::digest64;
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::quarantine::{CountedCrash, ProcessKey};
use crate::units::Timestamp;

/// Time after the first output from which on a crash does not count against a call: it has
/// begun without crashing the endpoint.
const BEGIN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of requests in one report of a crash.
const MAX_IN_FLIGHT: usize = 1_024;

domain! {
    /// Crash of an endpoint process, as one daemon noticed it.
    #[derive(Eq)]
    pub struct ProcessCrash {
        /// The process.
        pub process: ProcessKey,
        /// Time since the crash in milliseconds; clocks of daemons differ.
        pub age_ms: u32,
        /// Requests that were in flight.
        pub requests: Vec<Fingerprint>,
    }

    /// A quarantined request.
    #[derive(Eq)]
    pub struct RequestHold {
        /// The request.
        pub request: Fingerprint,
        /// Time until the quarantine ends, in seconds.
        pub remaining_s: u32,
    }

    /// A request of which a copy ran to completion.
    #[derive(Eq)]
    pub struct RequestClearance {
        /// The request.
        pub request: Fingerprint,
        /// Time since its completion in milliseconds.
        pub age_ms: u32,
    }

    /// Message about crashes and quarantines to a peer.
    #[derive(Eq, Default)]
    pub struct QuarantineUpdate {
        /// Crashes.
        pub crashes: Vec<ProcessCrash>,
        /// Requests that are quarantined.
        pub holds: Vec<RequestHold>,
        /// Requests that are cleared.
        pub clearances: Vec<RequestClearance>,
    }
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
    requests: BTreeSet<Fingerprint>,
}

/// Messages that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    messages: BTreeMap<(DaemonId, SocketAddr), QuarantineUpdate>,
    /// Peers that have been reachable since all records were sent to them.
    reached: BTreeSet<DaemonId>,
}

impl Gateway {
    /// Refuses a request that is quarantined.
    pub(super) fn check_quarantine(
        &self,
        now: Timestamp,
        request: Fingerprint,
    ) -> Result<(), Refusal> {
        match self.quarantine.held_until(now, request) {
            Some(_) => Err(Refusal::new(ErrorKind::Quarantined, "crashed endpoints")),
            None => Ok(()),
        }
    }

    /// Refuses a call whose request has been quarantined since it was admitted.
    pub(super) fn check_retry(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
    ) -> Result<(), Refusal> {
        let refusal = match self.check_quarantine(now, call.fingerprint) {
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
        let has_begun = attempt
            .first_output_at
            .is_some_and(|at| now.since(at) >= BEGIN_TIME);
        let Some(known) = self.endpoints.get(&attempt.endpoint) else {
            return;
        };
        if has_begun || known.record.is_leaving {
            return;
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
                    requests: BTreeSet::new(),
                }
            });
        if lost.requests.len() < MAX_IN_FLIGHT {
            lost.requests.insert(call.fingerprint);
        }
    }

    /// Returns whether endpoints have to be checked.
    pub fn has_endpoint_checks(&self) -> bool {
        !self.lost_calls.to_check.is_empty()
    }

    /// Returns the endpoints to be checked: whether they refuse a connection.
    pub fn take_endpoint_checks(&mut self) -> Vec<EndpointCheck> {
        std::mem::take(&mut self.lost_calls.to_check)
    }

    /// Records the result of a check.
    pub fn on_endpoint_checked(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        refuses_connections: bool,
    ) {
        let Some(lost) = self.lost_calls.by_endpoint.remove(endpoint) else {
            return;
        };
        if !refuses_connections {
            return;
        }
        let is_suspect = |request: &Fingerprint| !self.quarantine.is_sound(now, *request);
        let requests: Vec<Fingerprint> = lost.requests.into_iter().filter(is_suspect).collect();
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "suspect", "endpoint-crash")
                .with("endpoint", endpoint)
                .with("in_flight", requests.len()),
        );
        let crash = CountedCrash {
            process: lost.process,
            at: lost.at,
        };
        let mut by_peer: BTreeMap<(DaemonId, SocketAddr), Vec<Fingerprint>> = BTreeMap::new();
        for request in &requests {
            for peer in self.counting_peers(now, *request) {
                by_peer.entry(peer).or_default().push(*request);
            }
        }
        for (peer, requests) in by_peer {
            let crash = ProcessCrash {
                process: crash.process,
                age_ms: millis(now.since(crash.at)),
                requests,
            };
            self.outbox_of(peer).crashes.push(crash);
        }
        for request in requests {
            self.count_crash(now, request, crash);
        }
    }

    /// Applies a message from a peer.
    pub fn on_quarantine_update(&mut self, now: Timestamp, update: QuarantineUpdate) {
        for clearance in update.clearances {
            let at = now.before(Duration::from_millis(clearance.age_ms.into()));
            self.clear(now, clearance.request, at, "peer");
        }
        for hold in update.holds {
            let until = now.after(Duration::from_secs(hold.remaining_s.into()));
            self.adopt_hold(now, hold.request, until, "peer");
        }
        for crash in update.crashes {
            let counted = CountedCrash {
                process: crash.process,
                at: now.before(Duration::from_millis(crash.age_ms.into())),
            };
            for request in crash.requests.into_iter().take(MAX_IN_FLIGHT) {
                self.count_crash(now, request, counted);
            }
        }
    }

    /// Records that a call ran to completion, which clears its request.
    pub fn on_completed(&mut self, now: Timestamp, call: &AdmittedCall) {
        if self.quarantine.on_completed(now, call.fingerprint) {
            self.report_clearance(now, call.fingerprint, "completed");
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
        let reachable: BTreeMap<DaemonId, SocketAddr> = self
            .quarantine_peers(now)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address))
            .collect();
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
        request: Fingerprint,
        until: Timestamp,
        source: &str,
    ) {
        if self.quarantine.is_sound(now, request) {
            self.report_clearance(now, request, "completed");
        } else if self.quarantine.on_held(now, request, until) {
            self.record_hold(now, request, until, source);
        }
    }

    /// Ends the quarantine of a request of which a copy ran to completion at `at`.
    fn clear(&mut self, now: Timestamp, request: Fingerprint, at: Timestamp, source: &str) {
        if self.quarantine.on_cleared(now, request, at) {
            self.stored_holds.on_cleared(request);
            self.record_release(now, request, source);
        }
    }

    fn report_clearance(&mut self, now: Timestamp, request: Fingerprint, source: &str) {
        let was_held = self.quarantine.held_until(now, request).is_some();
        self.clear(now, request, now, source);
        let peers = match was_held {
            true => self.all_quarantine_peers(now),
            false => self.counting_peers(now, request),
        };
        for peer in peers {
            let clearance = RequestClearance { request, age_ms: 0 };
            self.outbox_of(peer).clearances.push(clearance);
        }
    }

    fn count_crash(&mut self, now: Timestamp, request: Fingerprint, crash: CountedCrash) {
        let Some(until) = self.quarantine.on_crash(now, request, crash) else {
            return;
        };
        self.record_hold(now, request, until, "crashes");
        self.stored_holds.on_decided(request);
        for peer in self.all_quarantine_peers(now) {
            self.outbox_of(peer)
                .holds
                .push(to_message(now, request, until));
        }
    }

    fn send_records(&mut self, now: Timestamp, peer: &DaemonId, address: SocketAddr) {
        let mut update = QuarantineUpdate::default();
        if self.is_informant(now, peer) {
            let held = self.quarantine.held(now);
            update.holds = held
                .map(|(request, until)| to_message(now, request, until))
                .collect();
        }
        let mut crashes: BTreeMap<CountedCrash, Vec<Fingerprint>> = BTreeMap::new();
        for (request, counted) in self.quarantine.suspects() {
            if self
                .counting_peers(now, request)
                .iter()
                .any(|(counting, _)| counting == peer)
            {
                for crash in counted {
                    crashes.entry(*crash).or_default().push(request);
                }
            }
        }
        update.crashes = crashes
            .into_iter()
            .map(|(crash, requests)| ProcessCrash {
                process: crash.process,
                age_ms: millis(now.since(crash.at)),
                requests,
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
        if self.peer_table.len() < FULL_RATE_DAEMONS {
            return true;
        }
        let key = digest64(&[peer.vm.as_str().as_bytes()]);
        let others = self
            .quarantine_peers(now)
            .filter(|other| other.member.id != *peer);
        let weight = |id: &DaemonId| {
            crate::hash::rendezvous_weight(key, digest64(&[id.vm.as_str().as_bytes()]))
        };
        let own = weight(&self.own);
        others
            .filter(|other| weight(&other.member.id) > own)
            .count()
            < COPIES
    }

    /// Returns the peers that count the crashes of a request.
    fn counting_peers(&self, now: Timestamp, request: Fingerprint) -> Vec<(DaemonId, SocketAddr)> {
        let count = match self.peer_table.len() < FULL_RATE_DAEMONS {
            true => usize::MAX,
            false => COPIES,
        };
        rank_peers(self.quarantine_peers(now), request.0, count)
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

    fn record_hold(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        until: Timestamp,
        source: &str,
    ) {
        self.stored_holds.on_hold(now, request);
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "quarantine", source)
                .with("fingerprint", request)
                .with("for_s", until.since(now).as_secs()),
        );
    }

    pub(super) fn record_release(&mut self, now: Timestamp, request: Fingerprint, source: &str) {
        self.journal.record(
            Decision::new(now, DecisionKind::Quarantine, "release", source)
                .with("fingerprint", request),
        );
    }
}

fn to_message(now: Timestamp, request: Fingerprint, until: Timestamp) -> RequestHold {
    let remaining = until.since(now).as_secs() + 1;
    RequestHold {
        request,
        remaining_s: u32::try_from(remaining).unwrap_or(u32::MAX),
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
