//! States of a rollout: which one follows, from what the holder of the duties knows.

use std::time::Duration;

use super::evidence::FindingCause;
use super::order::{RolloutBounds, RolloutOrder, RolloutPhase};
use super::share::move_part;

/// Shortest time before the deadline in which a version moves: the daemons read the state within
/// it, and calls on the old version end.
const MIN_MOVE_TIME: Duration = Duration::from_secs(1);
/// Time after the deadline in which requests still count towards the limit.
const AFTER_DEADLINE: Duration = Duration::from_secs(1);
/// Time before the deadline from which on all calls move, whatever the limit.
const FULL_SHIFT_TIME: Duration = Duration::from_millis(500);
/// Time before the deadline at which the move ends, so that it is written by then.
const COMPLETE_TIME: Duration = Duration::from_millis(300);

/// What the holder of the duties knows of a rollout.
#[derive(Debug, Clone, Copy)]
pub(super) struct Situation<'a> {
    pub(super) order: &'a RolloutOrder,
    /// Why the order no longer holds; `None` if it does.
    pub(super) withdrawn: Option<&'static str>,
    /// State of the order; `None` before the first one.
    pub(super) phase: Option<RolloutPhase>,
    /// Time since the first daemon saw the order.
    pub(super) elapsed: Duration,
    /// Whether endpoints of the new version take new calls.
    pub(super) has_new: bool,
    /// Whether endpoints of other versions do.
    pub(super) has_old: bool,
    /// What shows that the version is bad.
    pub(super) finding: Option<FindingCause>,
    /// Whether all daemons report that no call is left on the old version.
    pub(super) is_old_idle: bool,
}

/// Returns the next state and its reason; `None` if the state stays.
pub(super) fn next(
    situation: &Situation<'_>,
    bounds: &RolloutBounds,
) -> Option<(RolloutPhase, &'static str)> {
    let phase = situation.phase;
    if phase.is_some_and(RolloutPhase::is_final) {
        return None;
    }
    if let Some(reason) = situation.withdrawn {
        return phase.map(|_| (RolloutPhase::Aborted, reason));
    }
    if let Some(cause) = situation.finding {
        return Some((RolloutPhase::Reverted, cause.name()));
    }
    let deadline = situation.order.deadline();
    let is_late = situation.elapsed >= deadline;
    match phase {
        None | Some(RolloutPhase::Ordered) if situation.has_new => {
            Some((RolloutPhase::Canary, "endpoints-ready"))
        }
        None => Some((RolloutPhase::Ordered, "order")),
        Some(RolloutPhase::Ordered) => is_late.then_some((RolloutPhase::Reverted, "no-endpoint")),
        _ if !situation.has_new => is_late.then_some((RolloutPhase::Reverted, "endpoints-gone")),
        Some(RolloutPhase::Canary) if !situation.has_old => {
            Some((RolloutPhase::Moving, "old-version-gone"))
        }
        Some(RolloutPhase::Canary) => {
            let lead = move_time(deadline, bounds);
            let is_due = situation.elapsed + lead >= deadline;
            is_due.then_some((RolloutPhase::Moving, "due"))
        }
        _ if situation.is_old_idle => Some((RolloutPhase::Complete, "old-version-idle")),
        _ => {
            let is_due = situation.elapsed + COMPLETE_TIME >= deadline;
            is_due.then_some((RolloutPhase::Complete, "deadline"))
        }
    }
}

/// Returns whether all calls move now, whatever the limit.
pub(super) fn is_full_shift(order: &RolloutOrder, elapsed: Duration) -> bool {
    elapsed + FULL_SHIFT_TIME >= order.deadline()
}

/// Returns the time before the deadline at which a version starts to move: as late as the limit
/// demands at a steady rate, and not too late for the move.
fn move_time(deadline: Duration, bounds: &RolloutBounds) -> Duration {
    let allowed =
        (deadline + AFTER_DEADLINE).mul_f64(move_part(bounds.canary_share).clamp(0.0, 1.0));
    let allowed = allowed.saturating_sub(AFTER_DEADLINE);
    allowed.max(MIN_MOVE_TIME).min(deadline / 2)
}
