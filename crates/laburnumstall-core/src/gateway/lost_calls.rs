//! Calls whose connections ended, until it is known whether their endpoint has crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use super::load_balancer::CallAttempt;
use super::quarantine_update::millis;
use crate::decision::{Decision, DecisionKind};
use crate::hash::digest64;
use crate::ids::EndpointId;
use crate::quarantine::{CountedCrash, NamedRequests, ProcessKey, Suspect, SuspectNote};
use crate::units::Timestamp;

/// Time after the first output from which on a crash does not count against a call: it has begun
/// without crashing its endpoint.
const BEGIN_TIME: Duration = Duration::from_millis(150);
/// Time after the first output from which on the parts of a prompt are sound.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);
/// Maximum number of suspects in one report of a crash.
pub(super) const MAX_IN_FLIGHT: usize = 1_024;

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

/// Requests with a suspect that were in flight on a process.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    requests: NamedRequests,
    depth: u8,
    /// Time since the latest attempt began.
    ran: Duration,
}

impl Gateway {
    /// Records that the connection of an attempt ended before its response did.
    pub(super) fn on_attempt_lost(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        if has_output_for(now, attempt, SURVIVAL_TIME) {
            for (suspect, _) in call.suspects() {
                if matches!(suspect, Suspect::Part(_)) {
                    self.record_completion(now, suspect);
                }
            }
        } else if !has_output_for(now, attempt, BEGIN_TIME) {
            self.schedule_check(now, call, attempt);
        }
    }

    /// Records that the response of an attempt ended with its connection, which a crash may look
    /// like.
    pub fn on_ended_by_close(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        // A crash would not count against the call either.
        if has_output_for(now, attempt, BEGIN_TIME) {
            self.on_completed(now, call);
        } else if let Some(lost) = self.schedule_check(now, call, attempt) {
            let suspects = call.suspects().map(|(suspect, _)| suspect);
            lost.ended.extend(suspects);
        }
    }

    /// Schedules a check of the endpoint of an attempt, with the call as a suspect if it has
    /// crashed; `None` if its end would be no crash.
    fn schedule_check(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) -> Option<&mut LostProcess> {
        let known = self.endpoints.get(&attempt.endpoint)?;
        if known.is_leaving() {
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
                let ran = now.since(attempt.started_at);
                let new = InFlight {
                    requests: NamedRequests::default(),
                    depth,
                    ran,
                };
                let known = lost.suspects.entry(suspect).or_insert(new);
                known.requests.insert(call.fingerprint);
                known.depth = known.depth.min(depth);
                known.ran = known.ran.min(ran);
            }
        }
        Some(lost)
    }

    /// Returns whether endpoints have to be checked.
    pub fn has_endpoint_checks(&self) -> bool {
        !self.lost_calls.to_check.is_empty()
    }

    /// Returns whether the check of an endpoint has no result yet.
    pub fn is_check_pending(&self, endpoint: &EndpointId) -> bool {
        self.lost_calls.by_endpoint.contains_key(endpoint)
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
                    self.record_completion(now, suspect);
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
        self.send_crash(now, crash, &notes);
        for note in notes {
            self.count_crash(now, note, crash);
        }
    }

    /// Returns what was in flight at the crash of a process, the most specific first.
    fn notes(&self, now: Timestamp, lost: &LostProcess) -> Vec<SuspectNote> {
        let mut notes: Vec<SuspectNote> = lost
            .suspects
            .iter()
            .map(|(suspect, in_flight)| SuspectNote {
                suspect: *suspect,
                requests: in_flight.requests,
                ran_ms: millis(in_flight.ran),
                depth: in_flight.depth,
                has_completed: self.quarantine.completed_at(now, *suspect).is_some(),
            })
            .filter(|note| !matches!(note.suspect, Suspect::Request(_)) || !note.has_completed)
            .collect();
        notes.sort_unstable_by_key(|note| (note.depth, note.suspect));
        notes
    }
}

/// Returns whether the first output of an attempt is at least `time` ago.
fn has_output_for(now: Timestamp, attempt: &CallAttempt, time: Duration) -> bool {
    attempt
        .first_output_at
        .is_some_and(|at| now.since(at) >= time)
}
