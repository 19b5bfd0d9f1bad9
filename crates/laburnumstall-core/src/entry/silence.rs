//! Attempts on endpoints that do not answer a probe.
//!
//! A sound endpoint may send nothing for a second or so and then go on. An unanswered probe
//! therefore keeps new attempts away, but ends a running one only once another endpoint takes
//! the request. An attempt that must not be repeated runs until its connection fails or its
//! deadline passes.

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::dispatch::RETRY_PERIOD;
use crate::entry::owned::{OwnedRequest, Phase};
use crate::ids::{AttemptId, EndpointId, RequestId};
use crate::quarantine::Verdict;
use crate::routing::RouteQuery;
use crate::units::Timestamp;

impl Entry {
    /// Handles an endpoint that did not answer a probe in time.
    pub(super) fn on_endpoint_silent(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if !self.router.is_listed(endpoint) {
            self.on_endpoint_lost(now, endpoint, false);
            return;
        }
        // Another failure would delay the next probe request.
        if !self.router.is_failed(endpoint) {
            self.router.mark_failed(now, endpoint, &mut self.journal);
        }
        for id in self.lost_on(endpoint) {
            let is_running = self
                .owned
                .get(&id)
                .is_some_and(|owned| owned.running().is_some());
            if !is_running {
                self.end_lost(now, &id, endpoint, false);
                self.retry_or_fail(now, &id);
            } else if !self.move_silent_attempt(now, &id) {
                self.keep_silent_attempt(now, &id);
            }
        }
    }

    /// Looks again for an endpoint that takes the request of a silent attempt.
    pub(super) fn retry_silent_attempt(&mut self, now: Timestamp, id: &RequestId) {
        let endpoint = self.owned.get(id).and_then(OwnedRequest::running);
        let Some(endpoint) = endpoint.map(|running| running.location.endpoint.clone()) else {
            return;
        };
        if self.move_silent_attempt(now, id) {
            return;
        }
        if let Some(owned) = self.owned.get_mut(id)
            && let Phase::Running(running) = &mut owned.phase
        {
            let is_failed = self.router.is_failed(&endpoint);
            running.move_at = is_failed.then(|| now.after(RETRY_PERIOD));
            running.is_probing &= is_failed;
        }
    }

    /// Moves a silent attempt that may be repeated if another endpoint can take it; returns
    /// whether it has.
    fn move_silent_attempt(&mut self, now: Timestamp, id: &RequestId) -> bool {
        let Some(owned) = self.owned.get(id) else {
            return false;
        };
        let Some(running) = owned.running() else {
            return false;
        };
        let endpoint = running.location.endpoint.clone();
        let was_kept = running.move_at.is_some();
        let may_repeat = self.is_safe_to_retry(&owned.record.request);
        if !may_repeat || !self.can_start(now, owned, Some(&endpoint)) {
            return false;
        }
        self.end_lost(now, id, &endpoint, false);
        if was_kept && let Some(owned) = self.owned.get_mut(id) {
            owned.excluded.push(endpoint);
        }
        self.dispatch(now, id);
        true
    }

    fn keep_silent_attempt(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let Phase::Running(running) = &mut owned.phase else {
            return;
        };
        let was_kept = running.move_at.is_some();
        running.is_probing = false;
        running.move_at = Some(now.after(RETRY_PERIOD));
        let location = running.location.clone();
        if was_kept {
            return;
        }
        let decision = self
            .decision(now, DecisionKind::Retry, "keep", "silent")
            .with("request", id)
            .with("attempt", location.attempt)
            .with("endpoint", &location.endpoint);
        self.journal.record(decision);
    }

    /// Returns whether any endpoint, also the current one, could start a new attempt now.
    pub(super) fn can_restart(&self, now: Timestamp, id: &RequestId) -> bool {
        let owned = self.owned.get(id);
        owned.is_some_and(|owned| self.can_start(now, owned, None))
    }

    /// Keeps an attempt whose endpoint answered a probe while no endpoint takes a new one.
    pub(super) fn wait_for_replacement(&mut self, now: Timestamp, id: &RequestId) {
        if let Some(owned) = self.owned.get_mut(id)
            && let Phase::Running(running) = &mut owned.phase
        {
            running.move_at = Some(now.after(RETRY_PERIOD));
        }
    }

    /// Returns whether an endpoint other than `avoided` could start a new attempt now.
    fn can_start(
        &self,
        now: Timestamp,
        owned: &OwnedRequest,
        avoided: Option<&EndpointId>,
    ) -> bool {
        let request = &owned.record.request;
        let mut excluded = owned.excluded.clone();
        excluded.extend(avoided.cloned());
        let isolated = match self.quarantine.verdict(now, request.fingerprint()) {
            Verdict::Clear => false,
            Verdict::Suspect => true,
            Verdict::Quarantined => return false,
        };
        if isolated {
            let occupied = self.quarantine.suspect_endpoints(now);
            excluded.extend(occupied);
        }
        let attempt = AttemptId {
            request: owned.record.id.clone(),
            number: owned.record.attempts + 1,
        };
        let query = RouteQuery {
            attempt: &attempt,
            request,
            generated: owned.record.generated(),
            excluded: &excluded,
            isolated,
        };
        self.router.can_route(now, &query)
    }
}
