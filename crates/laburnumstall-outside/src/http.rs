//! JSON over HTTP to one address, with failures sorted by whether anything was sent.
//!
//! A call that times out may have been lost by its connection alone, so the pool is
//! replaced after each timeout and the next call connects anew.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::Method;
use awc::http::header::HeaderMap;
use awc::{Client, Connector};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use snafu::{IntoError, ResultExt, Snafu};

/// Largest reply that is read, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Longest time that an idle connection is kept for reuse.
///
/// Shorter than the time after which common servers close an idle connection, because a
/// request written at that moment is lost with the connection.
pub const IDLE_CONNECTION: Duration = Duration::from_secs(2);

/// An HTTP call without a usable reply.
#[derive(Debug, Snafu)]
pub enum HttpFailure {
    /// No connection was made, so nothing was sent.
    #[snafu(display("{method} {url} was not sent: no connection"))]
    NotSent {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: SendRequestError,
    },
    /// The connection failed after something may have been sent.
    #[snafu(display("{method} {url} was sent, but the connection failed"))]
    Lost {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: SendRequestError,
    },
    /// The reply's body broke off.
    #[snafu(display("{method} {url}: the reply broke off"))]
    Truncated {
        /// HTTP method.
        method: Method,
        /// Address and path.
        url: String,
        /// Cause.
        source: PayloadError,
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

/// Builds a client with a connection pool of its own.
pub fn new_client(connect_timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(connect_timeout)
        .conn_keep_alive(IDLE_CONNECTION)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Tells whether a failed send certainly wrote nothing.
///
/// `awc` reports a connection that closes before the response head as
/// [`ConnectError::Disconnected`], although the request was written by then.
pub fn is_not_sent(error: &SendRequestError) -> bool {
    use ConnectError::{Io, NoRecords, Resolver, SslIsNotSupported, Timeout, Unresolved};
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => matches!(
            cause,
            Io(_) | NoRecords | Resolver(_) | SslIsNotSupported | Timeout | Unresolved
        ),
        _ => false,
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
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A caller of one JSON service.
pub struct JsonClient {
    settings: HttpSettings,
    client: RefCell<Client>,
}

impl JsonClient {
    /// Builds a caller; connects when first used.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            settings,
            client: RefCell::new(new_client(settings.connect_timeout)),
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
        let body = encoded.context(EncodeSnafu {
            method: method.clone(),
            url: &url,
        })?;
        let reply = self
            .exchange(HttpMessage {
                method: method.clone(),
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
            .call(Method::GET, path, None::<&()>, Duration::ZERO)
            .await?;
        let read = entries.iter().filter_map(|entry| {
            let read = serde_json::from_str(entry.get());
            read.inspect_err(|fault| self.leave_out(Method::GET, path, fault))
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
        let method = message.method.clone();
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
        let client = self.client.borrow().clone();
        let mut request = client
            .request(method.clone(), url)
            .address(self.settings.address);
        for (name, value) in message.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let sending = match message.body {
            Some(body) => request
                .insert_header(("Content-Type", "application/json"))
                .send_body(body),
            None => request.send(),
        };
        let mut response = sending
            .await
            .map_err(|e| sort_send_error(method.clone(), url, e))?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.body().limit(MAX_REPLY_BYTES).await;
        let body = body.context(TruncatedSnafu { method, url })?;
        Ok(HttpReply {
            status,
            headers,
            body,
        })
    }

    /// Drops the idle connections, so that the next call opens a new one.
    pub fn replace_pool(&self) {
        self.client
            .replace(new_client(self.settings.connect_timeout));
    }
}

fn sort_send_error(method: Method, url: &str, error: SendRequestError) -> HttpFailure {
    if is_not_sent(&error) {
        NotSentSnafu { method, url }.into_error(error)
    } else {
        LostSnafu { method, url }.into_error(error)
    }
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
