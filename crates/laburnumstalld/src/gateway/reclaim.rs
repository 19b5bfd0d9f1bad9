//! Moves a run from an endpoint that is reclaimed.
//!
//! A first copy of the KV cache is made while the run goes on. The second request stops the run,
//! whose stream is closed without an end. Once the caller has what was written until then, the
//! call goes on at the destination.

mod exchange;

use std::time::Duration;

use laburnumstall_core::gateway::{
    AdmittedCall, CallAttempt, Gateway, KvHandle, MoveReply, ReclaimState, ReclaimStep,
};
use laburnumstall_core::units::{Bytes, Timestamp};
use laburnumstall_platform::moves::MoveRequest;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::context::Context;
use crate::http1::Conn;
use exchange::{Replied, request_copy, spawn_release};

/// Timeout of a copy during which the run goes on.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest pause of streams whose route does not set one.
const DEFAULT_LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// Time within which the stream of a run that was stopped closes.
const DRAIN_TIME: Duration = Duration::from_millis(50);
/// Delay before another move of a run is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Moves that are tried for one run.
const MAX_MOVES: u32 = 3;

/// Move of the run of one attempt.
pub(super) struct Reclaim {
    state: ReclaimState,
    /// Changes of endpoints when the run was last looked at.
    seen_changes: Option<u64>,
    moves: u32,
    step: Step,
}

enum Step {
    /// Nothing until the time, or until endpoints change.
    Wait(Instant),
    Copying(Move),
    /// The run is being stopped; holds the first copy.
    Stopping(Move, KvHandle),
    /// The run has stopped, and the call goes on at the time if its stream has not closed before.
    Stopped(Move, KvHandle, Place, Instant),
    /// The run may have stopped, which its stream shows; holds the first copy.
    Unclear(Move, KvHandle),
    /// The run is not moved any more.
    Done,
}

/// Where a run goes on that was stopped.
#[derive(Clone, Copy)]
enum Place {
    Destination,
    Source,
}

struct Move {
    destination: Box<CallAttempt>,
    size: Bytes,
    reply: oneshot::Receiver<Replied>,
}

/// What a run has waited for.
pub(super) enum Ready {
    /// The time has come.
    Due,
    /// The endpoint has responded to a request for a copy.
    Replied(Replied),
}

/// A run that was stopped.
pub(super) struct StoppedRun {
    destination: CallAttempt,
    handle: KvHandle,
    place: Place,
    reason: &'static str,
}

impl Reclaim {
    /// Starts with a run that goes on with a call.
    pub(super) fn new(call: &AdmittedCall) -> Self {
        Self {
            state: ReclaimState::new(call),
            seen_changes: None,
            moves: 0,
            step: Step::Wait(Instant::now()),
        }
    }

    /// Waits until something is to be done. The call is cancel safe.
    pub(super) async fn ready(&mut self, cx: &Context) -> Ready {
        match &mut self.step {
            Step::Wait(at) => {
                let changed = cx.reclaim_signal.notified();
                if self.seen_changes == Some(cx.endpoint_changes()) {
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(*at) => {}
                    }
                }
                Ready::Due
            }
            Step::Copying(moving) | Step::Stopping(moving, _) => {
                let replied = (&mut moving.reply).await;
                Ready::Replied(replied.unwrap_or((MoveReply::Unclear, None)))
            }
            Step::Stopped(.., until) => {
                sleep_until(*until).await;
                Ready::Due
            }
            Step::Unclear(..) | Step::Done => std::future::pending().await,
        }
    }

    /// Takes the next step; returns the run if it has stopped and its call can go on.
    pub(super) fn on_ready(
        &mut self,
        cx: &Context,
        call: &AdmittedCall,
        source: &CallAttempt,
        ready: Ready,
    ) -> Option<StoppedRun> {
        let step = std::mem::replace(&mut self.step, Step::Done);
        self.step = match (step, ready) {
            (Step::Wait(_), Ready::Due) => self.look(cx, call, source),
            (Step::Copying(moving), Ready::Replied((reply, conn))) => {
                self.on_copied(cx, call, source, moving, reply, conn)
            }
            (Step::Stopping(moving, first), Ready::Replied((reply, _))) => {
                self.on_stopped(cx, call, source, moving, first, reply)
            }
            (Step::Stopped(moving, handle, place, _), Ready::Due) => {
                return Some(StoppedRun::new(moving, handle, place, "stream-open"));
            }
            (step, _) => step,
        };
        None
    }

    /// Returns the run if it was stopped, after its stream has closed; waits for the response to the
    /// request that stops it.
    pub(super) async fn on_closed(
        &mut self,
        cx: &Context,
        call: &AdmittedCall,
        source: &CallAttempt,
    ) -> Option<StoppedRun> {
        if matches!(self.step, Step::Stopping(..)) {
            let ready = self.ready(cx).await;
            self.on_ready(cx, call, source, ready);
        }
        match std::mem::replace(&mut self.step, Step::Done) {
            Step::Stopped(moving, handle, place, _) => {
                Some(StoppedRun::new(moving, handle, place, "stopped"))
            }
            // The run has ended with its stream, so that the first copy is the newest one.
            Step::Unclear(moving, first) => {
                let place = Place::Destination;
                Some(StoppedRun::new(moving, first, place, "response-lost"))
            }
            step => {
                self.step = step;
                None
            }
        }
    }

    /// Ends a move that is in progress.
    pub(super) fn close(mut self, cx: &Context, call: &AdmittedCall, source: &CallAttempt) {
        match std::mem::replace(&mut self.step, Step::Done) {
            Step::Wait(_) | Step::Done => {}
            Step::Copying(moving) => end(cx, call, source, moving, None, "call-ended"),
            Step::Stopping(moving, handle) | Step::Unclear(moving, handle) => {
                end(cx, call, source, moving, Some(handle), "call-ended");
            }
            Step::Stopped(moving, handle, place, _) => {
                let copy = matches!(place, Place::Destination).then_some(handle);
                end(cx, call, source, moving, copy, "call-ended");
            }
        }
    }

    /// Asks the core for the next step, and begins a copy if it is one.
    fn look(&mut self, cx: &Context, call: &AdmittedCall, source: &CallAttempt) -> Step {
        self.seen_changes = Some(cx.endpoint_changes());
        let (step, now) = cx.with_gateway(|gateway, now| {
            let step = gateway.next_reclaim_step(now, call, source, &mut self.state);
            (step, now)
        });
        match step {
            ReclaimStep::Wait(until) => Step::Wait(instant(now, until)),
            ReclaimStep::Copy(destination, size) => {
                self.moves += 1;
                let reply = ask(call, source, &destination, false, None);
                Step::Copying(Move {
                    destination,
                    size,
                    reply,
                })
            }
        }
    }

    /// Stops the run if the first copy was made.
    fn on_copied(
        &mut self,
        cx: &Context,
        call: &AdmittedCall,
        source: &CallAttempt,
        mut moving: Move,
        reply: MoveReply,
        conn: Option<Conn>,
    ) -> Step {
        let handle = match reply {
            MoveReply::Copied(handle) => handle,
            MoveReply::NoSuchRun => {
                end(cx, call, source, moving, None, "no-such-run");
                return Step::Done;
            }
            MoveReply::NoRoom(_) => {
                self.state.on_refused(&moving.destination.endpoint);
                end(cx, call, source, moving, None, "no-room");
                return self.retry();
            }
            MoveReply::Busy | MoveReply::WrongEndpoint | MoveReply::Unclear => {
                let reason = match reply {
                    MoveReply::Busy => "busy",
                    MoveReply::WrongEndpoint => "wrong-endpoint",
                    _ => "no-response",
                };
                end(cx, call, source, moving, None, reason);
                return self.retry();
            }
        };
        cx.metrics.copied(moving.size);
        let may_stop = cx.with_gateway(|gateway, now| {
            gateway.may_stop_run(now, call, source, &moving.destination)
        });
        if let Err(reason) = may_stop {
            end(cx, call, source, moving, Some(handle), reason);
            return self.retry();
        }
        moving.reply = ask(call, source, &moving.destination, true, conn);
        Step::Stopping(moving, handle)
    }

    /// Follows the response to the request that stops the run.
    fn on_stopped(
        &mut self,
        cx: &Context,
        call: &AdmittedCall,
        source: &CallAttempt,
        moving: Move,
        first: KvHandle,
        reply: MoveReply,
    ) -> Step {
        let until = Instant::now() + DRAIN_TIME;
        match reply {
            MoveReply::Copied(handle) => Step::Stopped(moving, handle, Place::Destination, until),
            MoveReply::NoRoom(Some(handle)) => {
                spawn_release(moving.destination.address, first);
                Step::Stopped(moving, handle, Place::Source, until)
            }
            MoveReply::NoRoom(None) | MoveReply::WrongEndpoint | MoveReply::Unclear => {
                Step::Unclear(moving, first)
            }
            MoveReply::NoSuchRun => {
                end(cx, call, source, moving, Some(first), "no-such-run");
                Step::Done
            }
            MoveReply::Busy => {
                end(cx, call, source, moving, Some(first), "busy");
                self.retry()
            }
        }
    }

    fn retry(&self) -> Step {
        match self.moves < MAX_MOVES {
            true => Step::Wait(Instant::now() + RETRY_DELAY),
            false => Step::Done,
        }
    }
}

impl StoppedRun {
    fn new(moving: Move, handle: KvHandle, place: Place, reason: &'static str) -> Self {
        Self {
            destination: *moving.destination,
            handle,
            place,
            reason,
        }
    }

    /// Ends the run of `source`; returns the attempt that the call goes on with.
    pub(super) fn go_on(
        self,
        cx: &Context,
        call: &mut AdmittedCall,
        source: CallAttempt,
    ) -> CallAttempt {
        cx.metrics.move_ended(match self.place {
            Place::Destination => "moved",
            Place::Source => "kept",
        });
        let go_on = |gateway: &mut Gateway, now| match self.place {
            Place::Destination => {
                let (destination, handle) = (self.destination, &self.handle);
                gateway.on_run_moved(now, call, source, destination, handle, self.reason)
            }
            Place::Source => gateway.on_run_kept(now, call, source, self.destination, &self.handle),
        };
        cx.with_gateway(go_on)
    }
}

/// Ends a move after which the run goes on where it was, or has ended, and frees its copy.
fn end(
    cx: &Context,
    call: &AdmittedCall,
    source: &CallAttempt,
    moving: Move,
    copy: Option<KvHandle>,
    reason: &'static str,
) {
    if let Some(handle) = copy {
        spawn_release(moving.destination.address, handle);
    }
    cx.metrics.move_ended(reason);
    cx.with_gateway(|gateway, now| {
        gateway.on_move_ended(now, call, source, *moving.destination, reason);
    });
}

fn ask(
    call: &AdmittedCall,
    source: &CallAttempt,
    destination: &CallAttempt,
    is_last: bool,
    conn: Option<Conn>,
) -> oneshot::Receiver<Replied> {
    let request = MoveRequest {
        run: &call.id,
        source: &source.endpoint,
        source_address: source.address,
        to: destination.address,
        is_last,
    };
    let limit = match is_last {
        // The other half is left for the destination, which has the first copy in any case.
        true => call.route.longest_pause.unwrap_or(DEFAULT_LONGEST_PAUSE) / 2,
        false => COPY_TIMEOUT,
    };
    let (source, to) = (source.address, destination.address);
    request_copy(conn, source, to, request.encode(), limit)
}

fn instant(now: Timestamp, until: Timestamp) -> Instant {
    Instant::now() + until.since(now)
}
