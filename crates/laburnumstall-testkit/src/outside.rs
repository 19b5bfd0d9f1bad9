//! What a world's fakes do: the key-value service answers, endpoints run attempts.

use std::time::Duration;

use laburnumstall_core::entry::{
    Action, AttemptEvent, AttemptFailure, DispatchOrder, Event, PollOutcome, ProbeOutcome,
};
use laburnumstall_core::ids::{AttemptId, CallId, DaemonId, EndpointId, EventIndex};
use laburnumstall_core::request::Dialect;
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::store::{StoreCall, StoreFailure};
use laburnumstall_core::units::{Timestamp, TokenRate, Tokens};

use crate::endpoint::{
    Condition, PLAIN_TIME, POISON, Reader, RunningStream, TOKEN_PERIOD, expected_events, mark_draw,
    run_name,
};
use crate::schedule::Item;
use crate::store::FakeStore;
use crate::world::World;

/// Delay of a connection to an endpoint.
const ENDPOINT_DELAY: Duration = Duration::from_micros(400);

/// Time after which an unanswered call counts as silent.
const SILENCE: Duration = Duration::from_secs(1);

/// Shortest wait of a watch without changes.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Streams that one model endpoint runs at once.
const BATCH: u32 = 16;

impl World {
    pub(crate) fn answer_store(&mut self, from: &DaemonId, id: CallId, call: &StoreCall) {
        let outcome = self.store.call(self.now, call);
        let is_lost = outcome.is_ok() && FakeStore::is_write(call) && self.store.lose_replies > 0;
        let (outcome, after) = match call {
            _ if is_lost => {
                self.store.lose_replies -= 1;
                (Err(StoreFailure::Unknown), SILENCE)
            }
            StoreCall::Watch { .. } if outcome.is_ok() => (outcome, WATCH_PERIOD),
            _ => (outcome, Duration::from_millis(1)),
        };
        self.tell_later(from, after, Event::Store { call: id, outcome });
    }

    fn tell_later(&mut self, to: &DaemonId, after: Duration, event: Event) {
        let to = to.clone();
        let event = Box::new(event);
        let at = self.now.after(after);
        self.schedule.add(at, Item::Tell { to, event });
    }

    pub(crate) fn carry_out_at_endpoint(&mut self, number: usize, action: Action) {
        let from = self.nodes[number].id.clone();
        match action {
            Action::Dispatch(order) => self.run(&from, order),
            Action::Cancel { attempt, .. } => self.cancel(&attempt),
            Action::Abandon { attempt } => self.abandon(&from, &attempt),
            Action::Probe { endpoint, .. } => self.probe(&from, &endpoint),
            Action::Poll { endpoint, .. } => self.poll(&from, &endpoint),
            _ => {}
        }
    }

    fn attempt_event(&mut self, to: &DaemonId, attempt: &AttemptId, event: AttemptEvent) {
        let attempt = attempt.clone();
        self.tell_later(to, ENDPOINT_DELAY, Event::Attempt { attempt, event });
    }

    fn fail(&mut self, to: &DaemonId, attempt: &AttemptId, failure: AttemptFailure) {
        self.attempt_event(to, attempt, AttemptEvent::Failed(failure));
    }

    fn run(&mut self, from: &DaemonId, order: DispatchOrder) {
        let Some(index) = self.endpoint_index(&order.endpoint) else {
            return;
        };
        match self.endpoints[index].condition {
            Condition::Down => self.fail(from, &order.attempt, AttemptFailure::NotSent),
            Condition::Gone | Condition::Frozen => {
                self.attempt_event(from, &order.attempt, AttemptEvent::Sent);
            }
            Condition::Up if order.resume.is_some() => self.resume(from, index, &order),
            Condition::Up => self.begin(from, index, &order),
        }
    }

    fn begin(&mut self, from: &DaemonId, index: usize, order: &DispatchOrder) {
        self.attempt_event(from, &order.attempt, AttemptEvent::Sent);
        let request = &order.request;
        let endpoint = &mut self.endpoints[index];
        endpoint.runs.begun += 1;
        if endpoint.resets_calls {
            self.fail(from, &order.attempt, AttemptFailure::Reset);
            return;
        }
        let is_poison = request
            .body
            .windows(POISON.len())
            .any(|part| part == POISON);
        if is_poison && request.dialect != Dialect::Plain {
            endpoint.crashes += 1;
            self.poisoned += 1;
            let attempt = order.attempt.clone();
            self.crash_endpoint(index, Condition::Down);
            self.fail(from, &attempt, AttemptFailure::Reset);
            return;
        }
        let endpoint = &mut self.endpoints[index];
        let (events, wait) = if request.dialect == Dialect::Plain {
            (endpoint.run_plain(request, &mut self.answered), PLAIN_TIME)
        } else {
            let skip = order.generated_tokens.get() as usize;
            if order.attempt.number > 1 {
                let again = request.prompt.plus(order.generated_tokens);
                endpoint.runs.recomputed += again.get();
            }
            let mut events = expected_events(request).split_off(skip);
            if self.samples {
                mark_draw(&mut events, self.rng.u16(..));
            }
            (events, TOKEN_PERIOD)
        };
        let reader = Some(Reader {
            daemon: from.clone(),
            attempt: order.attempt.clone(),
            is_silent: false,
            sent: 0,
        });
        let stream = RunningStream {
            name: run_name(request),
            events,
            produced: 0,
            reader,
        };
        endpoint.streams.insert(order.attempt.clone(), stream);
        self.produce_later(index, &order.attempt, wait);
    }

    fn resume(&mut self, from: &DaemonId, index: usize, order: &DispatchOrder) {
        if self.endpoints[index].fails_resumptions {
            let message = "no event stream".into();
            let failure = AttemptFailure::Protocol { message };
            self.fail(from, &order.attempt, failure);
            return;
        }
        let have = order.resume.as_ref().map_or(0, |resume| resume.events.0);
        let stream = self.endpoints[index].streams.get_mut(&order.attempt);
        let Some(stream) = stream else {
            self.fail(from, &order.attempt, AttemptFailure::UnknownStream);
            return;
        };
        let mut reader = Reader {
            daemon: from.clone(),
            attempt: order.attempt.clone(),
            is_silent: false,
            sent: have as usize,
        };
        let missing = stream.events[have as usize..stream.produced.max(have as usize)].to_vec();
        reader.sent += missing.len();
        stream.reader = Some(reader);
        if !missing.is_empty() {
            self.give(from, &order.attempt, have, missing);
        }
    }

    fn give(
        &mut self,
        to: &DaemonId,
        attempt: &AttemptId,
        from: u64,
        events: Vec<laburnumstall_core::request::AnswerEvent>,
    ) {
        let last_event_id = Some(EventIndex(from + events.len() as u64 - 1));
        let from = EventIndex(from);
        let event = AttemptEvent::Answer {
            from,
            events,
            last_event_id,
        };
        self.attempt_event(to, attempt, event);
    }

    fn produce_later(&mut self, index: usize, attempt: &AttemptId, after: Duration) {
        let endpoint = self.endpoints[index].id.clone();
        let life = self.endpoints[index].life;
        let attempt = attempt.clone();
        let item = Item::Produce {
            endpoint,
            attempt,
            life,
        };
        self.schedule.add(self.now.after(after), item);
    }

    /// Gives the next event of a stream, also when nobody reads it.
    pub(crate) fn produce(&mut self, endpoint: &EndpointId, attempt: &AttemptId, life: u32) {
        let Some(index) = self.endpoint_index(endpoint) else {
            return;
        };
        if self.endpoints[index].life != life {
            return;
        }
        if self.endpoints[index].condition == Condition::Frozen {
            self.produce_later(index, attempt, TOKEN_PERIOD);
            return;
        }
        let Some(stream) = self.endpoints[index].streams.get_mut(attempt) else {
            return;
        };
        if stream.produced >= stream.events.len() {
            return;
        }
        let is_plain = matches!(
            stream.events.first(),
            Some(laburnumstall_core::request::AnswerEvent::Head { .. })
        );
        let count = if is_plain { stream.events.len() } else { 1 };
        stream.produced = (stream.produced + count).min(stream.events.len());
        let produced = stream.produced;
        let mut out = None;
        if let Some(reader) = &mut stream.reader
            && !reader.is_silent
        {
            let events = stream.events[reader.sent..produced].to_vec();
            out = Some((reader.daemon.clone(), reader.sent as u64, events));
            reader.sent = produced;
        }
        if let Some((daemon, from, events)) = out {
            self.give(&daemon, attempt, from, events);
        }
        self.produce_later(index, attempt, TOKEN_PERIOD);
    }

    fn cancel(&mut self, attempt: &AttemptId) {
        for endpoint in &mut self.endpoints {
            endpoint.streams.remove(attempt);
        }
    }

    fn abandon(&mut self, from: &DaemonId, attempt: &AttemptId) {
        for endpoint in &mut self.endpoints {
            if let Some(stream) = endpoint.streams.get_mut(attempt)
                && stream
                    .reader
                    .as_ref()
                    .is_some_and(|reader| reader.daemon == *from)
            {
                stream.reader = None;
            }
        }
    }

    /// Connections of a process that ended are gone; the streams run on.
    pub(crate) fn drop_readers(&mut self, id: &DaemonId) {
        for endpoint in &mut self.endpoints {
            for stream in endpoint.streams.values_mut() {
                if stream
                    .reader
                    .as_ref()
                    .is_some_and(|reader| reader.daemon == *id)
                {
                    stream.reader = None;
                }
            }
        }
    }

    fn probe(&mut self, from: &DaemonId, endpoint: &EndpointId) {
        let condition = self.condition_of(endpoint);
        let (outcome, after) = match condition {
            Condition::Up => (ProbeOutcome::Alive, ENDPOINT_DELAY),
            Condition::Down => (ProbeOutcome::Refused, ENDPOINT_DELAY),
            Condition::Gone | Condition::Frozen => (ProbeOutcome::Silent, SILENCE),
        };
        let endpoint = endpoint.clone();
        self.tell_later(from, after, Event::Probed { endpoint, outcome });
    }

    fn poll(&mut self, from: &DaemonId, endpoint: &EndpointId) {
        self.counts.poll(from, endpoint);
        let (outcome, after) = match self.condition_of(endpoint) {
            Condition::Up => (PollOutcome::Report(self.report(endpoint)), ENDPOINT_DELAY),
            Condition::Down => (PollOutcome::Refused, ENDPOINT_DELAY),
            Condition::Gone | Condition::Frozen => (PollOutcome::Silent, SILENCE),
        };
        let endpoint = endpoint.clone();
        self.tell_later(from, after, Event::Polled { endpoint, outcome });
    }

    fn condition_of(&self, id: &EndpointId) -> Condition {
        let index = self.endpoint_index(id);
        index.map_or(Condition::Gone, |index| self.endpoints[index].condition)
    }

    fn report(&self, id: &EndpointId) -> LoadReport {
        let index = self.endpoint_index(id).unwrap_or_default();
        let endpoint = &self.endpoints[index];
        let is_running = |stream: &&RunningStream| stream.produced < stream.events.len();
        LoadReport {
            endpoint: id.clone(),
            sequence: self.now.0,
            taken_at: Timestamp(self.now.0),
            running: endpoint.streams.values().filter(is_running).count() as u32,
            waiting: 0,
            batch: BATCH,
            prefill_backlog: Tokens(0),
            prefill: TokenRate(20_000),
            decode_per_request: TokenRate(25),
            services: vec![endpoint.service.clone()],
            loads: None,
        }
    }

    /// Ends an endpoint's process, or takes its VM.
    pub fn crash_endpoint(&mut self, index: usize, condition: Condition) {
        let id = self.endpoints[index].id.clone();
        self.note(&format!("endpoint ends id={id} condition={condition:?}"));
        let streams = self.endpoints[index].end_process(condition);
        for stream in streams {
            *self.crashed_with.entry(stream.name).or_default() += 1;
            let Some(reader) = stream.reader else {
                continue;
            };
            if condition == Condition::Down && !reader.is_silent {
                self.fail(&reader.daemon, &reader.attempt, AttemptFailure::Reset);
            }
        }
    }

    /// Starts an endpoint's process anew, with nothing remembered.
    pub fn restart_endpoint(&mut self, index: usize) {
        let id = self.endpoints[index].id.clone();
        self.note(&format!("endpoint restarts id={id}"));
        self.endpoints[index].end_process(Condition::Up);
    }

    /// Resets the open connections of an endpoint; its streams run on.
    pub fn reset_connections(&mut self, index: usize) {
        let id = self.endpoints[index].id.clone();
        self.note(&format!("connections are reset id={id}"));
        let streams = self.endpoints[index].streams.values_mut();
        let readers: Vec<Reader> = streams.filter_map(|stream| stream.reader.take()).collect();
        for reader in readers {
            self.fail(&reader.daemon, &reader.attempt, AttemptFailure::Reset);
        }
    }

    /// Silences the open connections of an endpoint; new ones work.
    pub fn silence_connections(&mut self, index: usize) {
        let id = self.endpoints[index].id.clone();
        self.note(&format!("connections go silent id={id}"));
        for stream in self.endpoints[index].streams.values_mut() {
            if let Some(reader) = &mut stream.reader {
                reader.is_silent = true;
            }
        }
    }
}
