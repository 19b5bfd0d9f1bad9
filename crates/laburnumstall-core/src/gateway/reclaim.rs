//! Runs on endpoints that are reclaimed: which of them finish there, move or stay.
//!
//! The daemon that relays a run decides for it. A move copies the KV cache of the run while it
//! goes on, stops it, copies what is new and continues at the destination, where the run is
//! counted from the first copy on.

mod choice;
mod ends;
mod pace;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::call::{AdmittedCall, sum_tokens};
use super::endpoint_notice::NoticeEnd;
use super::endpoint_table::EndpointProcess;
use super::load_balancer::{CallAttempt, MoveQuery};
use super::prefill::prefill_time;
use super::recovery;
use super::rules::BackendRule;
use crate::decision::{Decision, DecisionKind};
use crate::hash::digest64;
use crate::ids::EndpointId;
use crate::text_id;
use crate::units::{Bytes, Timestamp};
pub use choice::{MoveLink, ReclaimChoice, RunOutlook, SourceOutlook, choose, transfer_share};
pub use ends::{EndBroadcast, EndpointEnd};
use pace::StreamLengths;

/// Shortest notice that the platform gives, assumed where the end of one is not known.
const SHORTEST_NOTICE: Duration = Duration::from_millis(500);
/// Time that an endpoint whose notice has passed is expected to serve on.
const MIN_LEFT: Duration = Duration::from_millis(150);
/// Interval at which a run that does not move yet is looked at again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

text_id! {
    /// Identifier of a copy of a run's KV cache.
    KvHandle;
}

/// Where the KV cache of a run comes from that goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the endpoint that ran it.
    pub address: SocketAddr,
    /// Copy of the cache.
    pub handle: KvHandle,
}

/// What the daemon remembers of a run for its decisions.
#[derive(Debug, Clone, Default)]
pub struct ReclaimState {
    /// Events of the call that other runs wrote.
    earlier_events: u32,
    /// Endpoints that it could not be copied to.
    refused: Vec<EndpointId>,
    /// When the first copy begins.
    begins_at: Option<Timestamp>,
    /// Choice and reason that were logged last.
    logged: Option<(&'static str, &'static str)>,
}

/// Response of an endpoint that was asked to copy the KV cache of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveReply {
    /// The copy is at the destination.
    Copied(KvHandle),
    /// It does not run the request.
    NoSuchRun,
    /// It is copying the run already.
    Busy,
    /// The destination has no room or cannot be reached; holds the cache at the source of a run
    /// that was stopped.
    NoRoom(Option<KvHandle>),
    /// The address belongs to another endpoint.
    WrongEndpoint,
    /// There is no response that can be read: the run may have been stopped.
    Unclear,
}

/// Next step of a run.
#[derive(Debug)]
pub enum ReclaimStep {
    /// Nothing until the time.
    Wait(Timestamp),
    /// A copy of the KV cache, of at most this size, to the destination.
    Copy(Box<CallAttempt>, Bytes),
}

/// Moves in progress, and what is known of streams.
#[derive(Debug, Clone, Default)]
pub(super) struct Reclaims {
    lengths: StreamLengths,
    /// Moves in progress, by source.
    moves: BTreeMap<EndpointProcess, u32>,
    outbox: ends::EndOutbox,
    /// Whether endpoints have changed since runs were last told.
    has_changes: bool,
}

impl Reclaims {
    /// Records that endpoints may leave that did not before.
    pub(super) fn on_endpoints_changed(&mut self) {
        self.has_changes = true;
    }

    /// Records that a stream has ended with its last event.
    pub(super) fn on_ended(&mut self, call: &AdmittedCall) {
        self.lengths.on_ended(call);
    }

    fn end_move(&mut self, source: &EndpointProcess) {
        if let Some(moves) = self.moves.get_mut(source) {
            *moves -= 1;
            if *moves == 0 {
                self.moves.remove(source);
            }
        }
    }
}

impl ReclaimState {
    /// Records that the run could not be copied to an endpoint.
    pub fn on_refused(&mut self, destination: &EndpointId) {
        self.refused.push(destination.clone());
    }

    /// Starts with a run that goes on with a call.
    pub fn new(call: &AdmittedCall) -> Self {
        Self {
            earlier_events: call.events,
            ..Self::default()
        }
    }
}

impl Gateway {
    /// Returns whether runs have to be looked at because endpoints have changed, once for each
    /// change.
    pub fn take_endpoint_changes(&mut self) -> bool {
        std::mem::take(&mut self.reclaims.has_changes)
    }

    /// Returns the next step of a run whose endpoint may be about to end.
    pub fn next_reclaim_step(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        source: &CallAttempt,
        state: &mut ReclaimState,
    ) -> ReclaimStep {
        let wait = ReclaimStep::Wait(now.after(CHECK_INTERVAL));
        let unconcerned = ReclaimStep::Wait(call.deadline);
        let (Some(backend), Some(prompt)) = (self.movable_backend(call), &call.prompt) else {
            return unconcerned;
        };
        let Some((since, ends_at)) = self.notice_end(now, source) else {
            state.begins_at = None;
            state.logged = None;
            return unconcerned;
        };
        let (own_runs, runs) = self.load_balancer.calls_at(source);
        let outlook = SourceOutlook {
            since,
            ends_at,
            runs,
        };
        let tokens = u64::from(prompt.tokens) + u64::from(prompt.max_answer_tokens);
        let (remaining, done) =
            self.reclaims
                .lengths
                .outlook(now, call, source, state.earlier_events);
        let shared = prompt.shared().iter();
        let run = RunOutlook {
            size: Bytes(tokens.saturating_mul(backend.token_size.get())),
            remaining,
            done,
            begins_at: state.begins_at,
            recompute: prefill_time(prompt.tokens, sum_tokens(shared)),
        };
        let excluded: Vec<EndpointId> = call.tried.iter().chain(&state.refused).cloned().collect();
        let destination = self.load_balancer.destination(
            now,
            &MoveQuery {
                source,
                seed: digest64(&[call.id.as_bytes()]),
                tokens,
                kv_tokens: backend.kv_tokens,
                excluded: &excluded,
            },
        );
        let link = destination.as_ref().map(|destination| MoveLink {
            rate: backend.link_rate,
            is_cross_zone: destination.is_cross_zone,
        });
        let choice = match recovery::may_move(now, call) {
            Ok(()) => choose(now, &run, &outlook, link),
            Err(reason) => ReclaimChoice::Stay(reason),
        };
        if let ReclaimChoice::Move(at) = choice {
            state.begins_at = Some(at);
        }
        if state.logged.replace(choice.names()) != Some(choice.names()) {
            let (name, reason) = choice.names();
            let mut decision = Decision::new(now, DecisionKind::Reclaim, name, reason)
                .with("request", &call.id)
                .with("endpoint", &source.endpoint)
                .with("left_ms", ends_at.since(now).as_millis())
                .with("remaining_ms", remaining.as_millis())
                .with("events", call.events)
                .with("runs", runs);
            if let (ReclaimChoice::Move(at), Some(destination)) = (choice, &destination) {
                decision = decision
                    .with("to", &destination.process.id)
                    .with("in_ms", at.since(now).as_millis());
            }
            self.journal.record(decision);
        }
        let (ReclaimChoice::Move(at), Some(destination), Some(link)) = (choice, destination, link)
        else {
            return wait;
        };
        if at > now {
            return ReclaimStep::Wait(at);
        }
        let transfer = link.transfer_time(run.size);
        let pause = call.route.longest_pause.unwrap_or(SHORTEST_NOTICE);
        let share = transfer_share(pause, transfer, own_runs, runs);
        let process = source.process();
        let in_progress = self.reclaims.moves.get(&process).copied().unwrap_or(0);
        if in_progress >= share {
            return ReclaimStep::Wait(now.after(transfer.min(CHECK_INTERVAL)));
        }
        let Some(reserved) = self
            .load_balancer
            .reserve(now, source, &destination.process)
        else {
            return wait;
        };
        *self.reclaims.moves.entry(process).or_default() += 1;
        ReclaimStep::Copy(Box::new(reserved), run.size)
    }

    /// Decides whether a run whose KV cache was copied is stopped, and takes the retry that its
    /// continuation needs.
    ///
    /// # Errors
    ///
    /// The reason for which it goes on where it is.
    pub fn may_stop_run(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        source: &CallAttempt,
        destination: &CallAttempt,
    ) -> Result<(), &'static str> {
        recovery::may_move(now, call)?;
        if self.notice_end(now, source).is_none() {
            return Err("notice-withdrawn");
        }
        if self.check_call(now, call).is_err() {
            return Err("quarantined");
        }
        if !self.load_balancer.take_reserved(now, destination) {
            return Err("destination-gone");
        }
        let retries = self.retry_window(now, &call.service);
        let may_retry = retries.try_retry(now);
        let (retries, allowed) = retries.usage(now);
        if !may_retry {
            return Err("retry-window-full");
        }
        self.journal.record(
            move_decision(now, "stop", "copied", call, source)
                .with("to", &destination.endpoint)
                .with("retries", retries)
                .with("allowed", allowed)
                .with("daemons", 1 + self.peer_table.len()),
        );
        Ok(())
    }

    /// Ends a move after which the run goes on where it was, or has ended there.
    pub fn on_move_ended(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        source: &CallAttempt,
        destination: CallAttempt,
        reason: &str,
    ) {
        self.journal.record(
            move_decision(now, "not-moved", reason, call, source).with("to", &destination.endpoint),
        );
        self.reclaims.end_move(&source.process());
        self.end_attempt(now, destination, None);
    }

    /// Ends a run that was stopped; its call goes on at the destination with the copy `handle`.
    pub fn on_run_moved(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        source: CallAttempt,
        mut destination: CallAttempt,
        handle: &KvHandle,
        reason: &str,
    ) -> CallAttempt {
        self.journal.record(
            move_decision(now, "moved", reason, call, &source).with("to", &destination.endpoint),
        );
        self.reclaims.end_move(&source.process());
        call.is_outstanding = false;
        call.executions += u32::from(!source.is_continued);
        call.tried.push(destination.endpoint.clone());
        destination.kv_source = Some(kv_source(&source, handle));
        destination.started_at = now;
        self.end_attempt(now, source, None);
        destination
    }

    /// Continues a run that was stopped, but not moved, at its source with the handle of its KV
    /// cache.
    pub fn on_run_kept(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        mut source: CallAttempt,
        destination: CallAttempt,
        handle: &KvHandle,
    ) -> CallAttempt {
        self.journal.record(
            move_decision(now, "kept", "no-room", call, &source).with("to", &destination.endpoint),
        );
        self.reclaims.end_move(&source.process());
        self.end_attempt(now, destination, None);
        call.is_outstanding = false;
        call.executions += u32::from(!source.is_continued);
        source.kv_source = Some(kv_source(&source, handle));
        source.is_continued = true;
        source
    }

    /// Returns the engine of a call's service if its runs can move and the call can be resumed.
    fn movable_backend(&self, call: &AdmittedCall) -> Option<BackendRule> {
        let rules = self.routing_table.as_ref()?.rules();
        let backend = rules.services.get(&call.service)?.backend?;
        let is_movable = backend.can_move && call.route.is_resumable;
        is_movable.then_some(backend)
    }

    /// Returns when this daemon learned that the endpoint of an attempt leaves, and when it ends;
    /// `None` if it does not end soon.
    fn notice_end(&self, now: Timestamp, attempt: &CallAttempt) -> Option<(Timestamp, Timestamp)> {
        let entry = self.endpoints.get(&attempt.endpoint)?;
        if entry.record.started_at_ms != attempt.started_at_ms {
            return None;
        }
        let NoticeEnd { since, ends_at } = entry.notice_end()?;
        let ends_at = ends_at.unwrap_or_else(|| since.after(SHORTEST_NOTICE));
        Some((since, ends_at.max(now.after(MIN_LEFT))))
    }
}

fn kv_source(source: &CallAttempt, handle: &KvHandle) -> KvSource {
    KvSource {
        address: source.address,
        handle: handle.clone(),
    }
}

fn move_decision(
    now: Timestamp,
    choice: &str,
    reason: &str,
    call: &AdmittedCall,
    source: &CallAttempt,
) -> Decision {
    Decision::new(now, DecisionKind::Reclaim, choice, reason)
        .with("request", &call.id)
        .with("endpoint", &source.endpoint)
        .with("events", call.events)
        .with("sends", call.sends)
        .with("runs", call.executions)
}
