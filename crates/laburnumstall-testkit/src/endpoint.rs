//! A small endpoint: deterministic answers, streams that outlive connections, counted runs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use laburnumstall_core::hash::rendezvous_weight;
use laburnumstall_core::ids::{AttemptId, AvailabilityZone, DaemonId, EndpointId, ServiceName};
use laburnumstall_core::request::{AnswerEvent, Request};

/// Time between two events of a model's answer.
pub(crate) const TOKEN_PERIOD: Duration = Duration::from_millis(40);

/// Time that a plain call runs.
pub(crate) const PLAIN_TIME: Duration = Duration::from_millis(120);

/// Text in a body that crashes each model endpoint that runs it.
pub(crate) const POISON: &[u8] = b"poison";

/// Whether an endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It answers.
    Up,
    /// Its process is gone: connections are refused.
    Down,
    /// Its VM is gone: nothing answers.
    Gone,
    /// Its process is stopped: nothing answers on new connections either, and runs go on later.
    Frozen,
}

/// A stream that runs at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct RunningStream {
    pub(crate) name: String,
    pub(crate) events: Vec<AnswerEvent>,
    pub(crate) produced: usize,
    /// Daemon whose connection reads the stream, and whether that connection is silent.
    pub(crate) reader: Option<Reader>,
}

/// A connection that reads a stream.
#[derive(Debug, Clone)]
pub(crate) struct Reader {
    pub(crate) daemon: DaemonId,
    pub(crate) attempt: AttemptId,
    pub(crate) is_silent: bool,
    /// Index of the first event of the stream that this connection gives.
    pub(crate) sent: usize,
}

/// How often a request ran.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Runs {
    /// Runs by idempotency key and body.
    pub by_key: BTreeMap<String, u32>,
    /// Attempts begun, of any kind.
    pub begun: u64,
    /// Tokens processed that are not new: prompts and texts of later attempts.
    pub recomputed: u64,
}

/// A small endpoint.
#[derive(Debug, Clone)]
pub struct FakeEndpoint {
    /// Name.
    pub id: EndpointId,
    /// Zone.
    pub zone: AvailabilityZone,
    /// Address; never connected to.
    pub address: SocketAddr,
    /// Service that it answers.
    pub service: ServiceName,
    /// Whether it runs a repeated key once.
    pub checks_keys: bool,
    /// Whether it answers.
    pub condition: Condition,
    /// Whether it sends what is no stream where a stream is resumed.
    pub fails_resumptions: bool,
    /// Whether it resets the connection of each call that it has read.
    pub resets_calls: bool,
    /// Crashes by a request.
    pub crashes: u32,
    /// What ran here.
    pub runs: Runs,
    pub(crate) life: u32,
    pub(crate) streams: BTreeMap<AttemptId, RunningStream>,
}

impl FakeEndpoint {
    /// Returns an endpoint that answers.
    pub fn new(number: u16, zone: AvailabilityZone, service: ServiceName) -> Self {
        let id = format!("{service}-{number}");
        Self {
            id: id.parse().expect("the endpoint's name is valid"),
            zone,
            address: SocketAddr::from(([192, 0, 2, 1], number)),
            service,
            checks_keys: false,
            condition: Condition::Up,
            fails_resumptions: false,
            resets_calls: false,
            crashes: 0,
            runs: Runs::default(),
            life: 1,
            streams: BTreeMap::new(),
        }
    }

    /// Counts the run of a plain call, unless its key ran before and the service checks
    /// keys; returns the events that answer it.
    pub(crate) fn run_plain(
        &mut self,
        request: &Request,
        answered: &mut BTreeSet<String>,
    ) -> Vec<AnswerEvent> {
        let name = run_name(request);
        let is_known = !answered.insert(name.clone());
        if !(self.checks_keys && is_known) {
            *self.runs.by_key.entry(name).or_default() += 1;
        }
        expected_events(request)
    }

    /// Tells whether a stream is under way here that somebody waits for.
    pub fn is_awaited(&self) -> bool {
        let is_awaited = |s: &RunningStream| s.reader.is_some() && s.produced < s.events.len();
        self.streams.values().any(is_awaited)
    }

    pub(crate) fn is_read_by(&self, daemon: &DaemonId) -> bool {
        let reader = |stream: &RunningStream| stream.reader.as_ref().map(|r| r.daemon.clone());
        let mut readers = self.streams.values().filter_map(reader);
        readers.any(|reader| reader == *daemon)
    }

    /// Ends the process: its streams and its memory are lost.
    pub(crate) fn end_process(&mut self, condition: Condition) -> Vec<RunningStream> {
        self.condition = condition;
        self.life += 1;
        let streams = std::mem::take(&mut self.streams);
        streams.into_values().collect()
    }
}

/// Returns the name under which a request's runs are counted.
pub(crate) fn run_name(request: &Request) -> String {
    let body = String::from_utf8_lossy(&request.body);
    match &request.key {
        Some(key) => format!("{key}:{body}"),
        None => format!("-:{body}"),
    }
}

/// Returns the whole text of a request's answer.
pub fn expected_text(request: &Request) -> String {
    let events = expected_events(request);
    events.iter().map(AnswerEvent::text).collect()
}

/// Returns the events of a request's whole answer.
pub fn expected_events(request: &Request) -> Vec<AnswerEvent> {
    let base = request.fingerprint().0;
    let end = AnswerEvent::End {
        finish: "stop".into(),
    };
    if request.answer.get() == 0 {
        let head = AnswerEvent::Head {
            status: 200,
            content_type: "text/plain".into(),
        };
        let text = format!("done {base:016x}").into();
        return vec![head, AnswerEvent::Chunk { text, tokens: 0 }, end];
    }
    let token = |index: u64| {
        let word = rendezvous_weight(base, index) as u32;
        let text = format!(" {word:08x}").into();
        AnswerEvent::Chunk { text, tokens: 1 }
    };
    let tokens = (0..request.answer.get()).map(token);
    tokens.chain(std::iter::once(end)).collect()
}

/// Separates a token's word from what was drawn for it.
const DRAW_MARK: char = '~';

/// Marks a model's tokens with a draw, as sampling makes them differ from run to run.
pub(crate) fn mark_draw(events: &mut [AnswerEvent], draw: u16) {
    for event in events {
        if let AnswerEvent::Chunk { text, .. } = event {
            text.push_str(&format!("{DRAW_MARK}{draw:04x}"));
        }
    }
}

/// Returns an event without what was drawn for it.
pub(crate) fn without_draw(event: &AnswerEvent) -> AnswerEvent {
    let mut event = event.clone();
    if let AnswerEvent::Chunk { text, .. } = &mut event
        && let Some(at) = text.find(DRAW_MARK)
    {
        text.truncate(at);
    }
    event
}
