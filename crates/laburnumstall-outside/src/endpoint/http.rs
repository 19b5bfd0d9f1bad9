//! Endpoints over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use laburnumstall_core::cloud::{CallFailure, EndpointOrder, OrderReply};
use laburnumstall_core::ids::{AttemptId, EventIndex};
use laburnumstall_core::request::{AnswerEvent, Request};
use laburnumstall_core::resources::LoadReport;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::relay::{Reporter, Stop, relay_plain, relay_stream, response_failure, status_failure};
use super::{
    AttemptFailure, CachePage, EndpointCall, EndpointClient, EndpointEvent, StreamAttach,
    engine_body, engine_path, headers, paths,
};
use crate::cloud::call_failure;
use crate::http::{HttpFailure, HttpSettings, JsonClient, Method, encode_segment};
use crate::http1::{Connections, HeaderLines, OutgoingRequest, Response, SendError};

/// Finish of an answer that has all the tokens that the caller allows.
const LENGTH_FINISH: &str = "length";

/// The endpoints, each with a connection pool of its own.
pub struct HttpEndpointClient {
    connect_timeout: Duration,
    control_timeout: Duration,
    on_failure: fn(&HttpFailure),
    pools: RefCell<BTreeMap<SocketAddr, Connections>>,
}

impl HttpEndpointClient {
    /// Builds the adapter. `control_timeout` bounds each call but attempts.
    pub fn new(
        connect_timeout: Duration,
        control_timeout: Duration,
        on_failure: fn(&HttpFailure),
    ) -> Self {
        Self {
            connect_timeout,
            control_timeout,
            on_failure,
            pools: RefCell::default(),
        }
    }

    fn pool(&self, address: SocketAddr) -> Connections {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address);
        pool.or_insert_with(|| Connections::new(address, self.connect_timeout))
            .clone()
    }

    /// A non-idempotent call gets a new connection: a pooled one may be closed by the
    /// endpoint at the moment of writing, and the outcome would then be unknown.
    fn connections_for(&self, address: SocketAddr, request: &Request) -> Connections {
        if request.idempotent {
            self.pool(address)
        } else {
            Connections::new(address, self.connect_timeout)
        }
    }

    async fn run_attempt(&self, call: &EndpointCall, reporter: &mut Reporter) -> Result<(), Stop> {
        match engine_path(call.request.dialect) {
            Some(path) => self.run_model(call, path, reporter).await,
            None => self.run_plain(call, reporter).await,
        }
    }

    async fn run_model(
        &self,
        call: &EndpointCall,
        path: &str,
        reporter: &mut Reporter,
    ) -> Result<(), Stop> {
        let request = &call.request;
        let body = engine_body(
            request.dialect,
            &request.body,
            &call.generated,
            call.generated_tokens,
        )?;
        let Some(body) = body else {
            let finish = CompactString::const_new(LENGTH_FINISH);
            return reporter.answer(None, AnswerEvent::End { finish }).await;
        };
        let http = new_request("POST", path, call.address, &call.attempt, call.remaining)
            .and_then(|http| http.with("content-type", "application/json"))
            .and_then(|http| http.with(headers::PRIORITY, request.priority.get()))
            .map_err(AttemptFailure::not_sent)?
            .with_body(Bytes::from(body));
        let connections = self.connections_for(call.address, request);
        let response = send(&connections, http, &call.attempt, reporter).await?;
        relay_engine(response, 0, reporter).await
    }

    async fn run_plain(&self, call: &EndpointCall, reporter: &mut Reporter) -> Result<(), Stop> {
        let request = &call.request;
        let http = plain_request(call).map_err(AttemptFailure::not_sent)?;
        let connections = self.connections_for(call.address, request);
        let response = send(&connections, http, &call.attempt, reporter).await?;
        relay_plain(response, reporter).await
    }

    async fn run_attach(&self, stream: &StreamAttach, reporter: &mut Reporter) -> Result<(), Stop> {
        let path = stream_path(&stream.attempt);
        let path = match stream.after {
            Some(EventIndex(after)) => format!("{path}?after={after}"),
            None => path,
        };
        let http = new_request(
            "GET",
            &path,
            stream.address,
            &stream.attempt,
            stream.remaining,
        )
        .map_err(AttemptFailure::not_sent)?;
        let connections = Connections::new(stream.address, self.connect_timeout);
        let response = send(&connections, http, &stream.attempt, reporter).await?;
        relay_engine(response, stream.received.get(), reporter).await
    }

    async fn control<B: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
    ) -> Result<R, CallFailure> {
        let settings = HttpSettings {
            address,
            connect_timeout: self.connect_timeout,
            timeout: self.control_timeout,
            on_failure: self.on_failure,
        };
        JsonClient::new(settings)
            .call(method, path, body, Duration::ZERO)
            .await
            .map_err(|failure| call_failure(&failure))
    }
}

impl EndpointClient for HttpEndpointClient {
    async fn run(&self, call: EndpointCall, events: mpsc::Sender<EndpointEvent>) {
        let mut reporter = Reporter::new(events.clone());
        let work = self.run_attempt(&call, &mut reporter);
        let end = bounded(work, call.remaining, &events).await;
        report_end(end, reporter).await;
    }

    async fn attach(&self, stream: StreamAttach, events: mpsc::Sender<EndpointEvent>) {
        let mut reporter = Reporter::new(events.clone());
        let work = self.run_attach(&stream, &mut reporter);
        let end = bounded(work, stream.remaining, &events).await;
        report_end(end, reporter).await;
    }

    async fn cancel(&self, address: SocketAddr, attempt: &AttemptId) -> Result<(), CallFailure> {
        let path = stream_path(attempt);
        self.control(Method::Delete, address, &path, None::<&()>)
            .await
    }

    async fn probe(&self, address: SocketAddr) -> Result<(), CallFailure> {
        self.control(Method::Get, address, paths::HEALTH, None::<&()>)
            .await
    }

    async fn load(&self, address: SocketAddr) -> Result<LoadReport, CallFailure> {
        self.control(Method::Get, address, paths::LOAD, None::<&()>)
            .await
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CachePage, CallFailure> {
        let path = format!("{}?after={after}", paths::CACHE_EVENTS);
        self.control(Method::Get, address, &path, None::<&()>).await
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EndpointOrder,
    ) -> Result<OrderReply, CallFailure> {
        self.control(Method::Post, address, paths::ORDERS, Some(order))
            .await
    }

    fn drop_connections(&self, address: SocketAddr) {
        self.pools.borrow_mut().remove(&address);
    }
}

/// Ends `work` when the time is over or the receiver is gone.
async fn bounded(
    work: impl Future<Output = Result<(), Stop>>,
    remaining: Duration,
    events: &mpsc::Sender<EndpointEvent>,
) -> Result<(), Stop> {
    let work = async {
        tokio::select! {
            biased;
            result = work => result,
            () = events.closed() => Err(Stop::Closed),
        }
    };
    // Unlike a branch that is polled after the work, this sees the end of the time also while the work
    // never waits.
    let ended = tokio::time::timeout(remaining, work).await;
    ended.unwrap_or(Err(Stop::TimedOut))
}

async fn report_end(end: Result<(), Stop>, mut reporter: Reporter) {
    let failure = match end {
        Ok(()) | Err(Stop::Closed) => return,
        Err(Stop::TimedOut) => reporter.timeout_failure(),
        Err(Stop::Failed(failure)) => failure,
    };
    reporter.fail(failure).await;
}

fn stream_path(attempt: &AttemptId) -> String {
    let segment = encode_segment(&attempt.to_string());
    format!("{}/{segment}", paths::STREAMS)
}

/// Starts a request for an attempt.
fn new_request(
    method: &str,
    target: &str,
    address: SocketAddr,
    attempt: &AttemptId,
    remaining: Duration,
) -> Result<OutgoingRequest, SendError> {
    OutgoingRequest::new(method, target, address)?
        .with(headers::REQUEST_ID, attempt)?
        .with(headers::DEADLINE_MS, remaining.as_millis())
}

fn plain_request(call: &EndpointCall) -> Result<OutgoingRequest, SendError> {
    let request = &call.request;
    let target = format!("/{}", request.path.trim_start_matches('/'));
    let (method, attempt) = (request.method.as_str(), &call.attempt);
    let mut http = new_request(method, &target, call.address, attempt, call.remaining)?
        .with(headers::PRIORITY, request.priority.get())?;
    if !request.content_type.is_empty() {
        http = http.with("content-type", &request.content_type)?;
    }
    if let Some(key) = &request.key {
        http = http.with(headers::IDEMPOTENCY_KEY, key)?;
    }
    Ok(http.with_body(Bytes::copy_from_slice(&request.body)))
}

/// Sends a request and waits for the head of its answer.
///
/// An endpoint may write an earlier answer once more on a kept connection; its attempt tells.
async fn send(
    connections: &Connections,
    request: OutgoingRequest,
    attempt: &AttemptId,
    reporter: &mut Reporter,
) -> Result<Response, Stop> {
    let connection = connections.open().await;
    let connection = connection.map_err(AttemptFailure::not_sent)?;
    reporter.sent().await?;
    let response = connection.send(&request).await;
    let response = response.map_err(|error| response_failure(&error))?;
    if !names_attempt(&response, attempt) {
        return Err(AttemptFailure::protocol("the answer names another attempt").into());
    }
    Ok(response)
}

/// Returns whether a response names no other attempt.
fn names_attempt(response: &Response, attempt: &AttemptId) -> bool {
    let name = attempt.to_string();
    let mut names = response.head.values(headers::REQUEST_ID);
    names.all(|named| named == Some(name.as_str()))
}

async fn relay_engine(
    response: Response,
    tokens_before: u64,
    reporter: &mut Reporter,
) -> Result<(), Stop> {
    if !response.head.is_success() {
        return Err(status_failure(response).await.into());
    }
    if !response.head.is_event_stream() {
        return Err(AttemptFailure::protocol("the answer is not an event stream").into());
    }
    relay_stream(response, tokens_before, reporter).await
}
