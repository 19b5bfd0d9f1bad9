//! Which version a call goes to during a rollout, and what its attempts show.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::format_compact;

use super::evidence::{RouteCounts, RouteKey};
use super::judge::judge;
use super::machine::is_full_shift;
use super::share::canary_part;
use super::{Finding, Rollout, RolloutBounds, RolloutPhase, Rollouts};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::gateway::call::AdmittedCall;
use crate::gateway::load_balancer::{CallAttempt, VersionGate};
use crate::gateway::recovery::CallFailure;
use crate::gateway::rules::CallKind;
use crate::hash::digest64;
use crate::ids::{ServiceName, SoftwareVersion};
use crate::units::Timestamp;

/// Time after a process of the new version was first seen in which its times do not count: its
/// caches are cold.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time in which only one lost connection of a process counts: a crash ends all of them.
const LOSS_INTERVAL: Duration = Duration::from_millis(500);

/// Attempt of a call to a service with a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) struct TrackedCall {
    route: RouteKey,
    generation: u64,
    is_new: bool,
    is_stream: bool,
}

impl Rollouts {
    /// Returns the versions at which the next attempt of a call may run. `admitted` are those at
    /// which it may begin; `is_fresh` tells whether the view of the store is.
    pub(in crate::gateway) fn gate(
        &self,
        now: Timestamp,
        bounds: Option<&RolloutBounds>,
        call: &AdmittedCall,
        admitted: Option<&BTreeSet<SoftwareVersion>>,
        is_fresh: bool,
    ) -> VersionGate<'_> {
        let (Some(rollout), Some(bounds)) = (self.services.get(&call.service), bounds) else {
            return VersionGate::Open;
        };
        let to = &rollout.order.to;
        let route = RouteKey::of(&call.route.name);
        let only = |share: f64| VersionGate::Only {
            version: to,
            share,
            key: digest64(&[call.service.as_str().as_bytes(), to.as_str().as_bytes()]),
        };
        let may_begin = admitted.is_none_or(|admitted| admitted.contains(to));
        let share = bounds.canary_share;
        match rollout.phase {
            // Streams go on at the version that began them.
            _ if call.origin.is_some() => VersionGate::Open,
            Some(RolloutPhase::Complete) if rollout.withdrawn.is_some() => VersionGate::Open,
            Some(RolloutPhase::Complete) if may_begin => only(1.0),
            _ if rollout.is_stopped() || !may_begin => VersionGate::Without(to),
            Some(RolloutPhase::Canary) if rollout.share.allows_canary(route, share) => {
                // So many endpoints that each gets as many calls as an old one.
                only(canary_part(share))
            }
            Some(RolloutPhase::Moving) => {
                let is_full = is_fresh && is_full_shift(&rollout.order, rollout.elapsed(now));
                match is_full || rollout.share.allows_move(route, share) {
                    true => only(1.0),
                    false => VersionGate::Without(to),
                }
            }
            _ => VersionGate::Without(to),
        }
    }

    /// Counts an attempt that is about to be sent.
    pub(in crate::gateway) fn on_selected(
        &mut self,
        call: &AdmittedCall,
        admitted: Option<&BTreeSet<SoftwareVersion>>,
        attempt: &mut CallAttempt,
    ) {
        let Some(rollout) = self.services.get_mut(&call.service) else {
            return;
        };
        let to = &rollout.order.to;
        let route = RouteKey::of(&call.route.name);
        let is_new = attempt.version.as_ref() == Some(to);
        let may_begin = admitted.is_none_or(|admitted| admitted.contains(to));
        let is_offered = rollout.phase == Some(RolloutPhase::Canary) && may_begin;
        rollout.share.on_sent(route, is_offered, is_new);
        rollout.old_in_flight += u32::from(!is_new);
        if is_new {
            let seen_at = rollout.new_processes.entry(attempt.process());
            seen_at.or_insert(attempt.started_at);
        }
        let route_name = rollout.route_names.entry(route);
        route_name.or_insert_with(|| call.route.name.clone());
        attempt.tracked = Some(TrackedCall {
            route,
            generation: rollout.generation,
            is_new,
            is_stream: call.route.kind == CallKind::Stream,
        });
    }

    /// Records the first output of an attempt that has none yet.
    pub(in crate::gateway) fn on_first_output(&mut self, now: Timestamp, attempt: &CallAttempt) {
        if attempt.first_output_at.is_none() {
            self.record(now, attempt, |rollout, counts, side| {
                let time = now.since(attempt.started_at);
                let is_warm = rollout.is_warm(now, attempt);
                let counts = counts.side(side.is_new);
                counts.calls += 1;
                if is_warm {
                    counts.first.record(time);
                }
            });
        }
    }

    /// Records the end of a whole response.
    pub(in crate::gateway) fn on_success(&mut self, now: Timestamp, attempt: &CallAttempt) {
        let Some(first_output_at) = attempt.first_output_at else {
            return;
        };
        self.record(now, attempt, |rollout, counts, side| {
            if side.is_stream && rollout.is_warm(now, attempt) {
                let counts = counts.side(side.is_new);
                counts.rest.record(now.since(first_output_at));
            }
        });
    }

    /// Records an attempt that failed.
    pub(in crate::gateway) fn on_failure(
        &mut self,
        now: Timestamp,
        attempt: &CallAttempt,
        failure: CallFailure,
    ) {
        match failure {
            CallFailure::NotSent | CallFailure::NotRun | CallFailure::WrongEndpoint => {}
            CallFailure::Silent => self.on_unfinished(now, attempt),
            CallFailure::Lost
            | CallFailure::BadAnswer
            | CallFailure::Failed
            | CallFailure::Broken => {
                self.record(now, attempt, |rollout, counts, side| {
                    if failure.may_be_crash() && !rollout.counts_loss(now, attempt) {
                        return;
                    }
                    let counts = counts.side(side.is_new);
                    counts.calls += u32::from(attempt.first_output_at.is_none());
                    counts.failures += 1;
                });
            }
        }
    }

    /// Records an attempt that was given up before its end: it took at least the time until now.
    pub(in crate::gateway) fn on_unfinished(&mut self, now: Timestamp, attempt: &CallAttempt) {
        match attempt.first_output_at {
            Some(_) => self.on_success(now, attempt),
            None => self.on_first_output(now, attempt),
        }
    }

    /// Records that an attempt is no longer in flight.
    pub(in crate::gateway) fn on_ended(&mut self, attempt: &CallAttempt) {
        if let Some(tracked) = attempt.tracked.filter(|tracked| !tracked.is_new)
            && let Some(rollout) = self.services.get_mut(&attempt.service)
            && rollout.generation == tracked.generation
        {
            rollout.old_in_flight = rollout.old_in_flight.saturating_sub(1);
        }
    }

    fn record(
        &mut self,
        now: Timestamp,
        attempt: &CallAttempt,
        count: impl FnOnce(&mut Rollout, &mut RouteCounts, TrackedCall),
    ) {
        let Some(tracked) = attempt.tracked else {
            return;
        };
        let Some(rollout) = self.services.get_mut(&attempt.service) else {
            return;
        };
        if rollout.generation != tracked.generation || !rollout.is_open() {
            return;
        }
        let mut added = RouteCounts::default();
        count(rollout, &mut added, tracked);
        if added == RouteCounts::default() {
            return;
        }
        rollout.own.entry(tracked.route).or_default().add(&added);
        rollout.fleet.add_own(now, tracked.route, &added);
        rollout.sending.is_changed = true;
        rollout.sending.is_new_changed |= tracked.is_new;
        rollout.needs_judgement |= tracked.is_new;
    }
}

impl Rollout {
    /// Returns whether no new call may go to the new version.
    pub(super) fn is_stopped(&self) -> bool {
        let is_ended = matches!(
            self.phase,
            Some(RolloutPhase::Reverted | RolloutPhase::Aborted)
        );
        is_ended || self.finding.is_some() || self.withdrawn.is_some()
    }

    /// Stops if the counts of the fleet have changed and show that the version is bad.
    pub(super) fn judge(&mut self, now: Timestamp, service: &ServiceName, journal: &mut Journal) {
        let needs_judgement = std::mem::take(&mut self.needs_judgement);
        if !needs_judgement || self.finding.is_some() || !self.is_open() {
            return;
        }
        if let Some((route, mut finding)) = judge(now, &self.fleet.routes) {
            if let Some(route) = route {
                finding.route = match self.route_names.get(&route) {
                    Some(name) => name.clone(),
                    None => format_compact!("{:08x}", route.0),
                };
            }
            self.stop(now, service, finding, "evidence", journal);
        }
    }

    /// Sends nothing new to the version from now on, and tells the peers.
    pub(super) fn stop(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        finding: Finding,
        reason: &str,
        journal: &mut Journal,
    ) {
        self.finding = Some(finding);
        self.sending.on_stop();
        let decision = Decision::new(now, DecisionKind::Rollout, "stop", reason);
        journal.record(self.describe(now, service, decision));
    }

    fn is_warm(&self, now: Timestamp, attempt: &CallAttempt) -> bool {
        let seen_at = self.new_processes.get(&attempt.process());
        seen_at.is_none_or(|at| now.since(*at) >= WARM_UP)
    }

    /// Returns whether a lost connection counts as a failure.
    fn counts_loss(&mut self, now: Timestamp, attempt: &CallAttempt) -> bool {
        let process = attempt.process();
        let counted_at = self.losses.get(&process);
        let counts = counted_at.is_none_or(|at| now.since(*at) >= LOSS_INTERVAL);
        if counts {
            self.losses.insert(process, now);
        }
        counts
    }
}
