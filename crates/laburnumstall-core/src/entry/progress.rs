//! Recording of answer events: each event of the current attempt once and in order.

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::event::{AttemptEvent, AttemptFailure};
use crate::entry::owned::{OwnedRequest, Phase, RunningAttempt};
use crate::ids::{AttemptId, EventIndex, RequestId};
use crate::request::{AnswerEvent, Dialect};
use crate::units::Timestamp;

/// Events of an attempt that arrived together.
struct Batch {
    from: EventIndex,
    events: Vec<AnswerEvent>,
    last_event_id: Option<EventIndex>,
}

/// Result of applying a batch of events.
enum BatchResult {
    /// The events are recorded.
    Recorded,
    /// The events are buffered until the answer is complete.
    Buffered,
    /// There were no new events.
    Unchanged,
    /// Earlier events are missing.
    Gap,
}

impl Entry {
    pub(super) fn on_attempt(&mut self, now: Timestamp, attempt: &AttemptId, event: AttemptEvent) {
        let id = attempt.request.clone();
        let is_current = self.owned.get(&id).is_some_and(|owned| {
            let running = owned.running();
            running.is_some_and(|running| running.location.attempt == attempt.number)
        });
        if !is_current {
            self.ignore_stale(now, attempt, &event);
            return;
        }
        match event {
            AttemptEvent::Sent => self.on_sent(now, &id),
            AttemptEvent::Answer {
                from,
                events,
                last_event_id,
            } => {
                let batch = Batch {
                    from,
                    events,
                    last_event_id,
                };
                self.on_answer(now, &id, batch);
            }
            AttemptEvent::Failed(failure) => self.recover(now, &id, failure),
        }
    }

    fn ignore_stale(&mut self, now: Timestamp, attempt: &AttemptId, event: &AttemptEvent) {
        if matches!(event, AttemptEvent::Failed(_)) {
            self.router.finished(now, attempt);
        }
        if matches!(event, AttemptEvent::Sent) {
            return;
        }
        let decision = self
            .decision(now, DecisionKind::Finish, "ignored", "attempt-not-current")
            .with("request", &attempt.request)
            .with("attempt", attempt.number);
        self.journal.record(decision);
    }

    fn on_sent(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.may_have_run = true;
        if let Phase::Running(running) = &mut owned.phase {
            running.is_sent = true;
            running.progress_at = now;
            owned.reached_at = Some(running.started_at);
        }
    }

    fn on_answer(&mut self, now: Timestamp, id: &RequestId, batch: Batch) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let is_first = owned.record.events.is_empty();
        match apply_batch(now, owned, batch) {
            BatchResult::Recorded => {
                if is_first {
                    let attempt = owned.attempt_id();
                    self.router.first_token(now, &attempt);
                }
                self.after_events(now, id);
            }
            BatchResult::Buffered | BatchResult::Unchanged => {}
            BatchResult::Gap => {
                let message = "events of the answer are missing".into();
                self.recover(now, id, AttemptFailure::Protocol { message });
            }
        }
    }

    fn after_events(&mut self, now: Timestamp, id: &RequestId) {
        let is_done = self
            .owned
            .get(id)
            .is_some_and(|owned| owned.record.is_done());
        if is_done {
            self.finish(now, id);
            return;
        }
        self.replicate(now, id);
        self.deliver(now, id);
    }
}

fn apply_batch(now: Timestamp, owned: &mut OwnedRequest, batch: Batch) -> BatchResult {
    let Batch {
        from,
        mut events,
        last_event_id,
    } = batch;
    let Phase::Running(running) = &mut owned.phase else {
        return BatchResult::Unchanged;
    };
    let record = &mut owned.record;
    let recorded = record.events.len() as u64 - running.location.first_event.0;
    let expected = recorded + running.buffered.len() as u64;
    if from.0 > expected {
        return BatchResult::Gap;
    }
    let duplicates = ((expected - from.0) as usize).min(events.len());
    events.drain(..duplicates);
    if events.is_empty() {
        return BatchResult::Unchanged;
    }
    running.progress_at = now;
    running.is_sent = true;
    running.is_probing = false;
    running.move_at = None;
    owned.reached_at = Some(running.started_at);
    owned.may_have_run = true;
    if let Some(end) = events.iter().position(AnswerEvent::is_last) {
        events.truncate(end + 1);
    }
    if record.request.dialect != Dialect::Plain {
        record.events.append(&mut events);
        owned.interruptions = 0;
        running.location.last_event_id = last_event_id.or(running.location.last_event_id);
        record.location = Some(running.location.clone());
        return BatchResult::Recorded;
    }
    buffer_events(running, &mut events);
    if running.buffered.last().is_some_and(AnswerEvent::is_last) {
        record.events.append(&mut running.buffered);
        return BatchResult::Recorded;
    }
    BatchResult::Buffered
}

fn buffer_events(running: &mut RunningAttempt, events: &mut Vec<AnswerEvent>) {
    running.buffered.append(events);
}
