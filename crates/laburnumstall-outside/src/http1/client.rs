//! Requests to one address, and their responses.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString};
use snafu::{ResultExt, Snafu};

use super::body::{BodyError, BodyReader};
use super::conn::Conn;
use super::head::{HeadError, ResponseHead};

/// Longest time that an idle connection is kept for reuse.
///
/// Shorter than the time after which common servers close an idle connection, because a
/// request written at that moment is lost with the connection.
const IDLE_CONNECTION: Duration = Duration::from_secs(2);
/// Maximum size of a response head with the interim responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum size of a request that is certainly read when its response arrives; the rest of a
/// larger one may still be buffered and delay the next request on the connection.
const MAX_SURELY_READ: usize = 64 << 10;

/// Reason why nothing of a request was sent.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection was made.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// Cause.
        source: io::Error,
    },
    /// A part of the head would be read as something else.
    #[snafu(display("the {part} cannot be written"))]
    Invalid {
        /// Part of the head.
        part: &'static str,
    },
}

/// Reason why there is no whole response to a request that was sent.
#[derive(Debug, Snafu)]
pub enum ResponseError {
    /// The connection failed, or the request was not taken whole.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// The connection ended before the end of a head.
    #[snafu(display("the connection ended before a response"))]
    Closed,
    /// The bytes are not the head of a response.
    #[snafu(display("{source}"))]
    Head {
        /// Cause.
        source: HeadError,
    },
    /// The body broke off or is malformed.
    #[snafu(display("{source}"))]
    Body {
        /// Cause.
        source: BodyError,
    },
    /// The body is larger than the caller reads.
    #[snafu(display("the body is too large"))]
    TooLarge,
}

/// A request with a body of known length.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    method: CompactString,
    head: BytesMut,
    body: Bytes,
}

impl OutgoingRequest {
    /// Starts a request to the server at `host` with a request target in origin form.
    ///
    /// # Errors
    ///
    /// [`SendError::Invalid`] if the method or the target would break the request line.
    pub fn new(method: &str, target: &str, host: SocketAddr) -> Result<Self, SendError> {
        snafu::ensure!(is_visible(method), InvalidSnafu { part: "method" });
        snafu::ensure!(is_visible(target), InvalidSnafu { part: "target" });
        let line = format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\n");
        Ok(Self {
            method: method.into(),
            head: BytesMut::from(line.as_bytes()),
            body: Bytes::new(),
        })
    }

    /// Adds a header.
    ///
    /// # Errors
    ///
    /// [`SendError::Invalid`] if the value holds control bytes.
    pub fn with(
        mut self,
        name: &'static str,
        value: impl ToCompactString,
    ) -> Result<Self, SendError> {
        let value = value.to_compact_string();
        let is_valid = value
            .bytes()
            .all(|byte| byte == b'\t' || !byte.is_ascii_control());
        snafu::ensure!(is_valid, InvalidSnafu { part: name });
        for part in [name, ": ", &value, "\r\n"] {
            self.head.extend_from_slice(part.as_bytes());
        }
        Ok(self)
    }

    /// Sets the body.
    pub fn with_body(mut self, body: Bytes) -> Self {
        let line = format!("content-length: {}\r\n", body.len());
        self.head.extend_from_slice(line.as_bytes());
        self.body = body;
        self
    }

    fn message(&self) -> Bytes {
        let mut message = BytesMut::with_capacity(self.head.len() + 2 + self.body.len());
        for part in [&self.head[..], b"\r\n", &self.body] {
            message.extend_from_slice(part);
        }
        message.freeze()
    }
}

/// Returns whether a text has bytes, and none that ends a part of a request line.
fn is_visible(text: &str) -> bool {
    let is_visible = |byte: u8| !byte.is_ascii_control() && byte != b' ';
    !text.is_empty() && text.bytes().all(is_visible)
}

type Idle = Rc<RefCell<Vec<(Conn, Instant)>>>;

/// Connections to one address, of which idle ones are kept for reuse.
#[derive(Debug, Clone)]
pub struct Connections {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Idle,
}

/// An open connection on which no request is outstanding.
#[derive(Debug)]
pub struct Connection {
    conn: Conn,
    idle: Idle,
}

impl Connections {
    /// Creates a pool, which connects on first use.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// [`SendError::Connect`] if no connection is made in time.
    pub async fn open(&self) -> Result<Connection, SendError> {
        while let Some((mut conn, since)) = self.take_idle() {
            if since.elapsed() < IDLE_CONNECTION && conn.is_open_and_idle() {
                let idle = Rc::clone(&self.idle);
                return Ok(Connection { conn, idle });
            }
        }
        let conn = Conn::connect(self.address, self.connect_timeout).await;
        Ok(Connection {
            conn: conn.context(ConnectSnafu)?,
            idle: Rc::clone(&self.idle),
        })
    }

    fn take_idle(&self) -> Option<(Conn, Instant)> {
        self.idle.borrow_mut().pop()
    }
}

impl Connection {
    /// Sends a request and receives the head of its response.
    ///
    /// # Errors
    ///
    /// [`ResponseError`] if there is none; the request may have taken effect.
    pub async fn send(self, request: &OutgoingRequest) -> Result<Response, ResponseError> {
        let Self { mut conn, idle } = self;
        let message = request.message();
        let len = message.len();
        let mut written = 0;
        let sent = conn.send_counted(message, &mut written).await;
        let is_sent_whole = *sent.as_ref().unwrap_or(&false);
        // A response that came before the connection failed counts.
        let head = conn.final_response_head(&request.method, MAX_HEAD_BYTES);
        let head = match (head.await.context(HeadSnafu)?, sent) {
            (Some(head), _) => head,
            (None, Err(source)) => return Err(ResponseError::Io { source }),
            (None, Ok(_)) => return ClosedSnafu.fail(),
        };
        Ok(Response {
            body: BodyReader::new(head.framing),
            is_request_read: is_sent_whole && len <= MAX_SURELY_READ,
            head,
            conn,
            idle,
        })
    }
}

/// A response whose head was received.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    body: BodyReader,
    conn: Conn,
    idle: Idle,
    is_request_read: bool,
}

impl Response {
    /// Receives the next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body is truncated or malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        self.conn.body_part(&mut self.body).await
    }

    /// Receives the whole body.
    ///
    /// # Errors
    ///
    /// [`ResponseError`] if the body is truncated, malformed or larger than `max` bytes.
    pub async fn read_to_end(mut self, max: usize) -> Result<Bytes, ResponseError> {
        let mut data = BytesMut::new();
        while let Some(part) = self.next().await.context(BodySnafu)? {
            data.extend_from_slice(&part);
            snafu::ensure!(data.len() <= max, TooLargeSnafu);
        }
        self.release();
        Ok(data.freeze())
    }

    /// Keeps the connection for the next request, if the response has ended and nothing follows it.
    pub fn release(self) {
        let is_reusable = self.body.is_done()
            && self.conn.is_between_messages()
            && self.is_request_read
            && !self.head.should_close;
        if is_reusable {
            self.idle.borrow_mut().push((self.conn, Instant::now()));
        }
    }
}
