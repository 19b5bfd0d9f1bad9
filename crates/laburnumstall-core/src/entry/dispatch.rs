//! Dispatch of accepted requests to endpoints.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::action::{Action, DispatchOrder, StreamResume};
use crate::entry::owned::{Phase, RunningAttempt};
use crate::entry::suspects::AttemptPolicy;
use crate::error::ErrorKind;
use crate::ids::{AttemptId, EventIndex, RequestId};
use crate::message::AttemptLocation;
use crate::request::AnswerEvent;
use crate::routing::{Route, RouteQuery};
use crate::units::{Timestamp, Tokens};

/// Interval at which a waiting request looks for an endpoint.
pub(super) const RETRY_PERIOD: Duration = Duration::from_millis(50);

impl Entry {
    /// Resumes the endpoint's stream if possible, else starts a new attempt.
    pub(super) fn resume_or_dispatch(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let location = owned.record.location.clone();
        match location {
            Some(location) if owned.is_resumable() && self.can_resume_on(&location) => {
                self.resume_stream(now, id, location, 0);
            }
            _ => self.dispatch(now, id),
        }
    }

    fn can_resume_on(&self, location: &AttemptLocation) -> bool {
        let endpoint = self.router.endpoint(&location.endpoint);
        endpoint.is_some_and(|endpoint| endpoint.address == location.address)
            && !self.router.is_failed(&location.endpoint)
    }

    /// Resumes the attempt's stream at its endpoint, after the events already received.
    pub(super) fn resume_stream(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        location: AttemptLocation,
        resumes: u32,
    ) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let first = (location.first_event.0 as usize).min(owned.record.events.len());
        let received = &owned.record.events[first..];
        let resume = StreamResume {
            after: location.last_event_id,
            events: EventIndex(received.len() as u64),
            tokens: tokens_of(received),
        };
        let decision = self
            .decision(
                now,
                DecisionKind::Route,
                location.endpoint.as_str(),
                "resume-stream",
            )
            .with("request", id)
            .with("attempt", location.attempt)
            .with("events", resume.events);
        self.journal.record(decision);
        self.send_order(now, id, location, Some(resume), RETRY_PERIOD, resumes);
    }

    /// Starts a new attempt, or waits if no endpoint can take it or other requests are queued.
    pub(super) fn dispatch(&mut self, now: Timestamp, id: &RequestId) {
        if !self.join_queue(now, id) {
            self.try_dispatch(now, id);
        }
    }

    /// Starts a new attempt, or waits if no endpoint can take it.
    pub(super) fn try_dispatch(&mut self, now: Timestamp, id: &RequestId) {
        if self.stopping.is_some() && self.hand_over_undispatched(now, id) {
            return;
        }
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let request = owned.record.request.clone();
        let generated = owned.record.generated();
        let mut excluded = owned.excluded.clone();
        let number = owned.record.attempts + 1;
        let attempt = AttemptId {
            request: id.clone(),
            number,
        };
        let attempt_policy = self.attempt_policy(now, request.fingerprint());
        let isolated = matches!(attempt_policy, AttemptPolicy::Isolated(_));
        match attempt_policy {
            AttemptPolicy::Unrestricted => {}
            AttemptPolicy::Isolated(occupied) => excluded.extend(occupied),
            AttemptPolicy::WaitUntil(until) => {
                self.wait_as_suspect(now, id, until);
                return;
            }
            AttemptPolicy::Denied => {
                self.fail_quarantined(now, id);
                return;
            }
        }
        let query = RouteQuery {
            attempt: &attempt,
            request: &request,
            generated,
            excluded: &excluded,
            isolated,
        };
        match self.router.choose(now, &query, &mut self.journal) {
            Ok(route) => self.start_attempt(now, id, number, &route),
            Err(refusal) if !isolated && self.enqueue(now, id, refusal.kind) => {}
            Err(refusal) => self.wait_for_endpoint(now, id, refusal.kind),
        }
    }

    fn start_attempt(&mut self, now: Timestamp, id: &RequestId, number: u32, route: &Route) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.record.attempts = number;
        owned.is_dispatched = true;
        let location = AttemptLocation {
            attempt: number,
            endpoint: route.endpoint.clone(),
            address: route.address,
            first_event: EventIndex(owned.record.events.len() as u64),
            last_event_id: None,
        };
        let request = owned.record.request.clone();
        let attempt = owned.attempt_id();
        self.router.started(now, &attempt, route, &request);
        self.quarantine
            .on_dispatched(request.fingerprint(), &route.endpoint);
        self.send_order(now, id, location, None, route.expected_first_token, 0);
    }

    fn send_order(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        location: AttemptLocation,
        resume: Option<StreamResume>,
        expected_first_token: Duration,
        resumes: u32,
    ) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let is_resumed = resume.is_some();
        if !is_resumed {
            owned.reached_at = None;
        }
        owned.is_dispatched = true;
        let record = &mut owned.record;
        let first = location.first_event.0 as usize;
        let earlier = record.events[..first.min(record.events.len())].to_vec();
        let order = DispatchOrder {
            attempt: AttemptId {
                request: id.clone(),
                number: location.attempt,
            },
            endpoint: location.endpoint.clone(),
            address: location.address,
            request: record.request.clone(),
            generated: earlier.iter().map(|event| event.text()).collect(),
            generated_tokens: tokens_of(&earlier),
            resume,
            remaining: record.request.deadline.since(now),
        };
        record.location = Some(location.clone());
        owned.phase = Phase::Running(RunningAttempt {
            location,
            is_sent: is_resumed,
            started_at: now,
            progress_at: now,
            expected_first_token,
            buffered: Vec::new(),
            is_probing: false,
            move_at: None,
            resumes,
        });
        self.actions.push(Action::Dispatch(order));
        self.replicate(now, id);
    }

    fn wait_for_endpoint(&mut self, now: Timestamp, id: &RequestId, kind: ErrorKind) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.excluded.clear();
        let is_new_wait = !matches!(owned.phase, Phase::Waiting { .. });
        let retry_at = now.after(RETRY_PERIOD);
        owned.phase = Phase::Waiting { retry_at };
        if is_new_wait {
            let decision = self
                .decision(now, DecisionKind::Route, "wait", kind.name())
                .with("request", id);
            self.journal.record(decision);
        }
    }
}

fn tokens_of(events: &[AnswerEvent]) -> Tokens {
    let tokens = events.iter().map(|event| u64::from(event.tokens()));
    Tokens(tokens.sum())
}
