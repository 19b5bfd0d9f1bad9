//! Carries one request to its end: sends it, reads the answer, comes back when cut off.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::ClientRequest;
use awc::error::PayloadError;
use awc::http::Method;
use awc::http::header::HeaderMap;
use futures_util::{Stream, StreamExt};
use laburnumstall_core::error::{ErrorBody, ErrorKind, Refusal};
use laburnumstall_core::request::Dialect;
use laburnumstall_outside::endpoint::sse::{SseEvent, SseParser};
use serde_json::Value;

use super::check::{AnswerCheck, ReceivedAnswer};
use super::directory::{DIRECTORY_PATH, DirectoryAnswer};
use super::driver::LoadRun;
use super::report::{Ending, RequestEnd};
use super::workload::SentRequest;

/// Time between two attempts to reach an entry.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for reading the directory from one entry.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body that is read whole, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Mark at the end of a whole stream.
const END_MARK: &str = "[DONE]";

/// Name of the event that tells an error.
const ERROR_EVENT: &str = "error";

/// Path of accepted requests.
const REQUESTS_PATH: &str = "/v1/requests";

/// Media type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

const REQUEST_ID: &str = "x-request-id";
const LAST_EVENT_ID: &str = "last-event-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// One caller with one request.
pub(crate) struct Caller<'r> {
    run: &'r LoadRun,
    sent: &'r SentRequest,
    begun: Instant,
    /// Id of the request, once it is accepted.
    request: Option<String>,
    last_event: Option<String>,
    last_token_at: Option<Instant>,
    answer: ReceivedAnswer,
    last_return: Option<Instant>,
    turn: u64,
}

/// What one connection led to.
enum Step {
    /// The request ended.
    Ended(Ended),
    /// The connection failed; the caller comes back.
    CutOff,
}

enum Ended {
    Whole,
    Error(ErrorBody),
}

impl<'r> Caller<'r> {
    /// Starts a request.
    pub(crate) fn new(run: &'r LoadRun, sent: &'r SentRequest) -> Self {
        Self {
            run,
            sent,
            begun: Instant::now(),
            request: None,
            last_event: None,
            last_token_at: None,
            answer: ReceivedAnswer::default(),
            last_return: None,
            turn: sent.number,
        }
    }

    /// Carries the request to its end.
    pub(crate) async fn carry<C: AnswerCheck>(mut self, check: &C) -> RequestEnd {
        let limit = self.sent.part.deadline + self.run.grace;
        let ended = tokio::time::timeout(limit, self.until_ended()).await;
        let was_accepted = self.request.is_some();
        let ending = match ended {
            Ok(Ended::Whole) => Ending::Answered(check.check(self.sent, &self.answer)),
            Ok(Ended::Error(body)) => Ending::Error {
                body,
                was_accepted,
                is_idempotent: self.sent.part.idempotent,
            },
            Err(_) => Ending::Nothing { was_accepted },
        };
        RequestEnd {
            ending,
            chunks: self.answer.chunks,
            last_return: self.last_return,
        }
    }

    async fn until_ended(&mut self) -> Ended {
        loop {
            self.refresh_directory().await;
            let entry = self.run.directory.borrow().pick(self.turn);
            if let Some(entry) = entry
                && let Step::Ended(ended) = self.connect(entry).await
            {
                return ended;
            }
            self.turn += 1;
            self.run.directory.borrow_mut().distrust();
            self.count_return();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn count_return(&mut self) {
        self.last_return = Some(Instant::now());
        let report = &mut self.run.tally.borrow_mut().report;
        match self.request {
            Some(_) => report.attached += 1,
            None => report.resent += 1,
        }
    }

    async fn refresh_directory(&self) {
        if !self.run.directory.borrow().is_stale(Instant::now()) {
            return;
        }
        self.run.directory.borrow_mut().keep(Instant::now());
        let sources = self.run.directory.borrow().sources();
        for source in sources {
            let reading = self.read_directory(source);
            if let Ok(Some(answer)) = tokio::time::timeout(DIRECTORY_TIMEOUT, reading).await {
                let mut directory = self.run.directory.borrow_mut();
                directory.update(Instant::now(), &answer);
                return;
            }
        }
    }

    async fn read_directory(&self, source: SocketAddr) -> Option<DirectoryAnswer> {
        let url = format!("http://{source}{DIRECTORY_PATH}");
        let mut response = self.run.client.get(url).send().await.ok()?;
        response.json().await.ok()
    }

    /// Sends or comes back over one connection, and reads what it gives.
    async fn connect(&mut self, entry: SocketAddr) -> Step {
        let sending = match &self.request {
            Some(request) => self.attach(entry, request).send(),
            None => self.send(entry).send_body(self.sent.body.clone()),
        };
        let Ok(Ok(response)) = tokio::time::timeout(self.run.silence, sending).await else {
            return Step::CutOff;
        };
        self.answer.status = response.status().as_u16();
        if let Some(request) = text_of(response.headers(), REQUEST_ID) {
            self.request = Some(request);
        }
        let kind = text_of(response.headers(), "content-type").unwrap_or_default();
        match kind.starts_with(EVENT_STREAM) {
            true => self.read_stream(response).await,
            false => self.read_body(response).await,
        }
    }

    fn send(&self, entry: SocketAddr) -> ClientRequest {
        let method = Method::from_bytes(self.sent.part.method.as_bytes());
        let url = format!("http://{entry}{}", self.sent.path);
        self.run
            .client
            .request(method.unwrap_or(Method::POST), url)
            .bearer_auth(&self.sent.caller.key)
            .insert_header((IDEMPOTENCY_KEY, self.sent.key.as_str()))
            .content_type("application/json")
    }

    fn attach(&self, entry: SocketAddr, request: &str) -> ClientRequest {
        let url = format!("http://{entry}{REQUESTS_PATH}/{request}");
        let call = self.run.client.get(url);
        let call = call.bearer_auth(&self.sent.caller.key);
        match &self.last_event {
            Some(id) => call.insert_header((LAST_EVENT_ID, id.as_str())),
            None => call,
        }
    }

    async fn read_stream<B: AsRef<[u8]>>(
        &mut self,
        mut pieces: impl Stream<Item = Result<B, PayloadError>> + Unpin,
    ) -> Step {
        if self.last_event.is_none() {
            self.answer.text.clear();
            self.answer.chunks = 0;
        }
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        while let Ok(Some(Ok(piece))) = tokio::time::timeout(self.run.silence, pieces.next()).await
        {
            let parsed = parser.push(piece.as_ref(), &mut events);
            for event in events.drain(..) {
                if let Some(ended) = self.take_event(event) {
                    return Step::Ended(ended);
                }
            }
            if parsed.is_err() {
                break;
            }
        }
        Step::CutOff
    }

    fn take_event(&mut self, event: SseEvent) -> Option<Ended> {
        if event.name == ERROR_EVENT {
            let body = serde_json::from_str(&event.data);
            return Some(Ended::Error(body.unwrap_or_else(|_| unreadable())));
        }
        if event.data == END_MARK {
            return Some(Ended::Whole);
        }
        let id = event.id.map(String::from);
        self.last_event = id.or(self.last_event.take());
        let text = chunk_text(self.sent.part.dialect, &event.data)?;
        self.answer.text.push_str(&text);
        self.answer.chunks += 1;
        self.note_token();
        None
    }

    fn note_token(&mut self) {
        let now = Instant::now();
        let mut tally = self.run.tally.borrow_mut();
        match self.last_token_at.replace(now) {
            Some(last) => tally.between_tokens.record(now - last),
            None => tally.first_token.record(now - self.begun),
        }
    }

    async fn read_body<B: AsRef<[u8]>>(
        &mut self,
        mut pieces: impl Stream<Item = Result<B, PayloadError>> + Unpin,
    ) -> Step {
        let mut body = Vec::new();
        while let Some(piece) = pieces.next().await {
            match piece {
                Ok(piece) if body.len() <= MAX_BODY => body.extend_from_slice(piece.as_ref()),
                _ => return Step::CutOff,
            }
        }
        if let Ok(error) = serde_json::from_slice::<ErrorBody>(&body) {
            return self.take_error(error);
        }
        self.answer.text = String::from_utf8_lossy(&body).into_owned();
        Step::Ended(Ended::Whole)
    }

    /// An entry that cannot say more yet is no end for a request that was accepted.
    fn take_error(&self, error: ErrorBody) -> Step {
        let knows_nothing = matches!(error.kind, ErrorKind::NotReady | ErrorKind::UnknownRequest);
        match self.request.is_some() && knows_nothing {
            true => Step::CutOff,
            false => Step::Ended(Ended::Error(error)),
        }
    }
}

fn chunk_text(dialect: Dialect, data: &str) -> Option<String> {
    let pointer = match dialect {
        Dialect::Chat => "/choices/0/delta/content",
        Dialect::Completion | Dialect::Plain => "/choices/0/text",
    };
    let chunk: Value = serde_json::from_str(data).ok()?;
    let text = chunk.pointer(pointer)?.as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}

/// Stands for an error that could not be read.
fn unreadable() -> ErrorBody {
    let refusal = Refusal::new(ErrorKind::EndpointFailed, "the error could not be read");
    ErrorBody::from(&refusal)
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
