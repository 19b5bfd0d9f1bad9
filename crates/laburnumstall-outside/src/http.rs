//! JSON over HTTP to one address, with failures sorted by whether anything was sent.
//!
//! A call that times out may have been lost by its connection alone, so the pool is
//! replaced after each timeout and the next call connects anew.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use snafu::{ResultExt, Snafu};

use crate::http1::{Connections, OutgoingRequest, ResponseError, ResponseHead, SendError};

/// Largest reply that is read, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Writes, or asks for something to be done.
    Post,
    /// Removes or ends something.
    Delete,
}

impl Method {
    /// Returns the name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An HTTP call without a usable reply.
#[derive(Debug, Snafu)]
pub enum HttpFailure {
    /// Nothing was sent.
    #[snafu(display("{method} {url} was not sent: {source}"))]
    NotSent {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: SendError,
    },
    /// No head of a reply came after something may have been sent.
    #[snafu(display("{method} {url} was sent, but has no reply: {source}"))]
    Lost {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: ResponseError,
    },
    /// The reply's body broke off, or is malformed or too large.
    #[snafu(display("{method} {url}: the reply cannot be read: {source}"))]
    Truncated {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: ResponseError,
    },
    /// No whole reply came in time.
    #[snafu(display("{method} {url}: no reply within {timeout:?}"))]
    TimedOut {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Time that was waited.
        timeout: Duration,
    },
    /// The service answered with an error status.
    #[snafu(display("{method} {url}: status {status}"))]
    Status {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// HTTP status code.
        status: u16,
    },
    /// The body could not be written as JSON, so nothing was sent.
    #[snafu(display("{method} {url} was not sent: the body cannot be encoded"))]
    Encode {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The reply's body was not what the interface says.
    #[snafu(display("{method} {url}: the reply could not be read"))]
    Decode {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// One entry of the reply was left out, since it could not be read: another writer may have left
    /// it.
    #[snafu(display("{method} {url}: an entry of the reply is left out: {fault}"))]
    Entry {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// What is wrong with the entry.
        fault: String,
    },
}

impl HttpFailure {
    /// Tells whether the call certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::Encode { .. } => true,
            Self::Status { status, .. } => matches!(status, 429 | 503),
            _ => false,
        }
    }
}

/// Where and how an adapter calls its service.
#[derive(Debug, Clone, Copy)]
pub struct HttpSettings {
    /// Address of the service.
    pub address: SocketAddr,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for a whole call, beside the time that a long poll waits.
    pub timeout: Duration,
    /// Called with each failure, for the log.
    pub on_failure: fn(&HttpFailure),
}

impl HttpSettings {
    /// Returns settings with a connect timeout of 500 ms and a timeout of 2 s.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            on_failure: |_| {},
        }
    }
}

/// A message to a JSON service.
#[derive(Debug, Clone)]
pub struct HttpMessage<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers beside those of the body.
    pub headers: &'a [(&'static str, String)],
    /// Body in JSON.
    pub body: Option<Vec<u8>>,
    /// Time for which a long poll may be held open by the service.
    pub wait: Duration,
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Head with the headers.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
}

/// A caller of one JSON service.
pub struct JsonClient {
    settings: HttpSettings,
    connections: RefCell<Connections>,
}

impl JsonClient {
    /// Builds a caller; connects when first used.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            settings,
            connections: RefCell::new(new_connections(&settings)),
        }
    }

    /// Sends `body` as JSON, or no body, and reads the reply as JSON.
    ///
    /// `wait` is the time for which a long poll may be held open by the service.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure`], which tells whether the call can have had an effect.
    pub async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
        wait: Duration,
    ) -> Result<R, HttpFailure> {
        let url = format!("http://{}{path}", self.settings.address);
        let encoded = body.map(serde_json::to_vec).transpose();
        let body = encoded.context(EncodeSnafu { method, url: &url })?;
        let reply = self
            .exchange(HttpMessage {
                method,
                path,
                headers: &[],
                body,
                wait,
            })
            .await?;
        let status = reply.status;
        let decoded = match status {
            200..=299 => serde_json::from_slice(&reply.body).context(DecodeSnafu { method, url }),
            _ => StatusSnafu {
                method,
                url,
                status,
            }
            .fail(),
        };
        decoded.inspect_err(self.settings.on_failure)
    }

    /// Reads a list as JSON, without the entries that cannot be read.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure`] if there is no list.
    pub async fn list<R: DeserializeOwned>(&self, path: &str) -> Result<Vec<R>, HttpFailure> {
        let entries: Vec<Box<RawValue>> = self
            .call(Method::Get, path, None::<&()>, Duration::ZERO)
            .await?;
        let read = entries.iter().filter_map(|entry| {
            let read = serde_json::from_str(entry.get());
            read.inspect_err(|fault| self.leave_out(Method::Get, path, fault))
                .ok()
        });
        Ok(read.collect())
    }

    /// Reports an entry that is left out.
    pub(crate) fn leave_out(&self, method: Method, path: &str, fault: &impl fmt::Display) {
        (self.settings.on_failure)(&HttpFailure::Entry {
            method,
            url: format!("http://{}{path}", self.settings.address),
            fault: fault.to_string(),
        });
    }

    /// Sends a message and reads the reply, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure`] if there is no whole reply.
    pub async fn exchange(&self, message: HttpMessage<'_>) -> Result<HttpReply, HttpFailure> {
        let url = format!("http://{}{}", self.settings.address, message.path);
        let timeout = self.settings.timeout + message.wait;
        let method = message.method;
        let result = match tokio::time::timeout(timeout, self.send(&url, message)).await {
            Ok(result) => result,
            Err(_) => {
                self.replace_pool();
                TimedOutSnafu {
                    method,
                    url,
                    timeout,
                }
                .fail()
            }
        };
        result.inspect_err(self.settings.on_failure)
    }

    async fn send(&self, url: &str, message: HttpMessage<'_>) -> Result<HttpReply, HttpFailure> {
        let method = message.method;
        let address = self.settings.address;
        let request = build_request(message, address).context(NotSentSnafu { method, url })?;
        let connections = self.connections.borrow().clone();
        let connection = connections.open().await;
        let connection = connection.context(NotSentSnafu { method, url })?;
        let response = connection.send(&request).await;
        let response = response.context(LostSnafu { method, url })?;
        let head = response.head.clone();
        let body = response.read_to_end(MAX_REPLY_BYTES).await;
        Ok(HttpReply {
            status: head.status,
            head,
            body: body.context(TruncatedSnafu { method, url })?,
        })
    }

    /// Drops the idle connections, so that the next call opens a new one.
    pub fn replace_pool(&self) {
        self.connections.replace(new_connections(&self.settings));
    }
}

fn new_connections(settings: &HttpSettings) -> Connections {
    Connections::new(settings.address, settings.connect_timeout)
}

fn build_request(
    message: HttpMessage<'_>,
    address: SocketAddr,
) -> Result<OutgoingRequest, SendError> {
    let mut request = OutgoingRequest::new(message.method.as_str(), message.path, address)?;
    for (name, value) in message.headers {
        request = request.with(name, value)?;
    }
    Ok(match message.body {
        Some(body) => request
            .with("content-type", "application/json")?
            .with_body(body.into()),
        None if message.method == Method::Post => request.with_body(Bytes::new()),
        None => request,
    })
}

/// Writes `text` so that it can stand as one segment of a path or one value of a query.
pub fn encode_segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(byte as char);
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
