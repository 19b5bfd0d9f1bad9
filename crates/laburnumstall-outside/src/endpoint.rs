//! Endpoints: model engines and plain services, called over the usual HTTP interfaces.
//!
//! [`EndpointClient::run`] carries one attempt to an endpoint and sends its events over a
//! bounded channel: [`EndpointEvent::Sent`] once, then the answer, or a failure sorted by
//! what it says about the attempt. Dropping the receiver ends the attempt's connection.
//! A model's answer is streamed in every case; the daemon joins it for callers that want
//! one body.

mod body;
mod chunk;
mod control;
mod failure;
mod http;
mod prompt;
mod relay;
pub mod sse;

pub use body::{engine_body, engine_path};
pub use chunk::{ChunkDecoder, EngineChoice, EngineChunk, EngineDelta, EngineError, EngineUsage};
pub use control::{CacheChange, CacheEvent, CachePage};
pub use failure::AttemptFailure;
pub use http::HttpEndpointClient;
pub use prompt::prompt_text;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::cloud::{CallFailure, EndpointOrder, OrderReply};
use laburnumstall_core::domain;
use laburnumstall_core::ids::{AttemptId, EventIndex};
use laburnumstall_core::request::{AnswerEvent, Request};
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::units::Tokens;
use tokio::sync::mpsc;

/// Paths of an endpoint's interface.
pub mod paths {
    /// Health: GET.
    pub const HEALTH: &str = "/healthz";
    /// Load report: GET.
    pub const LOAD: &str = "/load";
    /// Cache events: GET with `after`.
    pub const CACHE_EVENTS: &str = "/cache/events";
    /// Orders: POST.
    pub const ORDERS: &str = "/orders";
    /// Streams by attempt: GET with `after` attaches, DELETE cancels.
    pub const STREAMS: &str = "/v1/streams";
}

/// Names of the headers that an attempt carries.
pub mod headers {
    /// The attempt's id.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Priority; a higher number goes first.
    pub const PRIORITY: &str = "x-priority";
    /// Time that is left, in milliseconds.
    pub const DEADLINE_MS: &str = "x-deadline-ms";
    /// Key that marks repetitions of a plain call.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// One attempt to run a request on an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Name of the attempt.
    pub attempt: AttemptId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Request to run.
    pub request: Arc<Request>,
    /// Text of the answer that another attempt generated already.
    pub generated: CompactString,
    /// Tokens of that text.
    pub generated_tokens: Tokens,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// A stream that an engine still runs, to be read on a new connection.
#[derive(Debug, Clone)]
pub struct StreamAttach {
    /// Attempt that started the stream.
    pub attempt: AttemptId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Index of the last event received, or `None` for all events.
    pub after: Option<EventIndex>,
    /// Tokens received up to that event.
    pub received: Tokens,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

domain! {
    /// What happens to an attempt, in order.
    pub enum EndpointEvent {
        /// Writing to the connection began; comes before all others but a `NotSent`.
        Sent,
        /// A piece of the answer.
        Answer {
            /// Index that the engine gave the event, by which the stream can be resumed.
            index: Option<EventIndex>,
            /// The piece; never `Failed`.
            event: AnswerEvent,
        },
        /// The attempt ended without a whole answer.
        Failed(AttemptFailure),
    }
}

/// Calls to endpoints.
pub trait EndpointClient {
    /// Runs one attempt and reports on it until its answer or a failure ends it.
    fn run(
        &self,
        call: EndpointCall,
        events: mpsc::Sender<EndpointEvent>,
    ) -> impl Future<Output = ()>;

    /// Reads a running stream on a new connection.
    fn attach(
        &self,
        stream: StreamAttach,
        events: mpsc::Sender<EndpointEvent>,
    ) -> impl Future<Output = ()>;

    /// Ends a stream; does nothing if there is none.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
    ) -> impl Future<Output = Result<(), CallFailure>>;

    /// Asks on a new connection whether the endpoint answers.
    fn probe(&self, address: SocketAddr) -> impl Future<Output = Result<(), CallFailure>>;

    /// Reads the endpoint's load.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Result<LoadReport, CallFailure>>;

    /// Reads the cache events that follow number `after`.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CachePage, CallFailure>>;

    /// Gives an order.
    fn order(
        &self,
        address: SocketAddr,
        order: &EndpointOrder,
    ) -> impl Future<Output = Result<OrderReply, CallFailure>>;

    /// Forgets the pooled connections to an address; running attempts keep theirs.
    fn drop_connections(&self, address: SocketAddr);
}
