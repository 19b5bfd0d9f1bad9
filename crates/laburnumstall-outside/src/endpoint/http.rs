//! Endpoints over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use compact_str::CompactString;
use laburnumstall_core::cloud::{CallFailure, EndpointOrder, OrderReply};
use laburnumstall_core::ids::{AttemptId, EventIndex};
use laburnumstall_core::request::{AnswerEvent, Request};
use laburnumstall_core::resources::LoadReport;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::relay::{
    Reporter, Stop, content_type, relay_plain, relay_stream, send_failure, status_failure,
};
use super::{
    AttemptFailure, CachePage, EndpointCall, EndpointClient, EndpointEvent, StreamAttach,
    engine_body, engine_path, headers, paths,
};
use crate::cloud::call_failure;
use crate::http::{HttpFailure, HttpSettings, JsonClient, encode_segment, new_client};

/// Finish of an answer that has all the tokens that the caller allows.
const LENGTH_FINISH: &str = "length";

/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// The endpoints, each with a connection pool of its own.
pub struct HttpEndpointClient {
    connect_timeout: Duration,
    control_timeout: Duration,
    on_failure: fn(&HttpFailure),
    pools: RefCell<BTreeMap<SocketAddr, Client>>,
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

    fn pool(&self, address: SocketAddr) -> Client {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address);
        pool.or_insert_with(|| new_client(self.connect_timeout))
            .clone()
    }

    /// A non-idempotent call gets a new connection: a pooled one may be closed by the
    /// endpoint at the moment of writing, and the outcome would then be unknown.
    fn client_for(&self, address: SocketAddr, request: &Request) -> Client {
        if request.idempotent {
            self.pool(address)
        } else {
            new_client(self.connect_timeout)
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
        let url = format!("http://{}{path}", call.address);
        let http = self
            .client_for(call.address, request)
            .post(url)
            .address(call.address)
            .content_type("application/json");
        let http = with_headers(http, &call.attempt, call.remaining)
            .insert_header((headers::PRIORITY, request.priority.get()));
        let response = send(http, &call.attempt, Bytes::from(body), reporter).await?;
        relay_engine(response, 0, reporter).await
    }

    async fn run_plain(&self, call: &EndpointCall, reporter: &mut Reporter) -> Result<(), Stop> {
        let request = &call.request;
        let method =
            Method::from_bytes(request.method.as_bytes()).map_err(AttemptFailure::not_sent)?;
        let is_head = method == Method::HEAD;
        let path = request.path.trim_start_matches('/');
        let url = format!("http://{}/{path}", call.address);
        let http = self
            .client_for(call.address, request)
            .request(method, url)
            .address(call.address)
            .insert_header((headers::PRIORITY, request.priority.get()));
        let mut http = with_headers(http, &call.attempt, call.remaining);
        if !request.content_type.is_empty() {
            http = http.content_type(request.content_type.as_str());
        }
        if let Some(key) = &request.key {
            http = http.insert_header((headers::IDEMPOTENCY_KEY, key.as_str()));
        }
        let body = Bytes::copy_from_slice(&request.body);
        let response = send(http, &call.attempt, body, reporter).await?;
        relay_plain(response, is_head, reporter).await
    }

    async fn run_attach(&self, stream: &StreamAttach, reporter: &mut Reporter) -> Result<(), Stop> {
        let path = stream_path(&stream.attempt);
        let mut url = format!("http://{}{path}", stream.address);
        if let Some(EventIndex(after)) = stream.after {
            url.push_str(&format!("?after={after}"));
        }
        let http = new_client(self.connect_timeout)
            .get(url)
            .address(stream.address);
        let http = with_headers(http, &stream.attempt, stream.remaining);
        let response = send(http, &stream.attempt, Bytes::new(), reporter).await?;
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
        self.control(Method::DELETE, address, &path, None::<&()>)
            .await
    }

    async fn probe(&self, address: SocketAddr) -> Result<(), CallFailure> {
        self.control(Method::GET, address, paths::HEALTH, None::<&()>)
            .await
    }

    async fn load(&self, address: SocketAddr) -> Result<LoadReport, CallFailure> {
        self.control(Method::GET, address, paths::LOAD, None::<&()>)
            .await
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CachePage, CallFailure> {
        let path = format!("{}?after={after}", paths::CACHE_EVENTS);
        self.control(Method::GET, address, &path, None::<&()>).await
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EndpointOrder,
    ) -> Result<OrderReply, CallFailure> {
        self.control(Method::POST, address, paths::ORDERS, Some(order))
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

fn with_headers(http: ClientRequest, attempt: &AttemptId, remaining: Duration) -> ClientRequest {
    http.insert_header((headers::REQUEST_ID, attempt.to_string()))
        .insert_header((headers::DEADLINE_MS, remaining.as_millis().to_string()))
}

/// Sends a request and waits for the head of its answer.
///
/// An endpoint may write an earlier answer once more on a kept connection; its attempt tells.
async fn send(
    http: ClientRequest,
    attempt: &AttemptId,
    body: Bytes,
    reporter: &mut Reporter,
) -> Result<ClientResponse, Stop> {
    let (body, mut sent) = reporter.body(body);
    let mut sending = http.send_body(body);
    let result = tokio::select! {
        biased;
        Ok(()) = &mut sent => {
            reporter.sent().await?;
            sending.await
        }
        result = &mut sending => result,
    };
    let response = result.map_err(|e| send_failure(&e))?;
    reporter.sent().await?;
    let named = response.headers().get(headers::REQUEST_ID);
    if named.is_some_and(|named| named.as_bytes() != attempt.to_string().as_bytes()) {
        return Err(AttemptFailure::protocol("the answer names another attempt").into());
    }
    Ok(response)
}

async fn relay_engine(
    response: ClientResponse,
    tokens_before: u64,
    reporter: &mut Reporter,
) -> Result<(), Stop> {
    if !response.status().is_success() {
        return Err(status_failure(response).await.into());
    }
    if !content_type(&response).starts_with(EVENT_STREAM) {
        return Err(AttemptFailure::protocol("the answer is not an event stream").into());
    }
    relay_stream(response, tokens_before, reporter).await
}
