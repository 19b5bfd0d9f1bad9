//! A caller of a site: sends requests over HTTP and comes back after a lost connection.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use laburnumstall_core::error::ErrorBody;
use serde_json::{Value, json};
use snafu::Snafu;

use crate::text::MODEL_SERVICE;

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection failed.
    #[snafu(display("no answer from {address}: {cause}"))]
    Connection {
        /// Address that was called.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
}

/// An answer as a caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Name of the request, if it was accepted.
    pub request: Option<String>,
    /// Body.
    pub body: String,
}

impl Answer {
    /// Returns the text of a whole chat answer.
    pub fn text(&self) -> Option<String> {
        let body: Value = serde_json::from_str(&self.body).ok()?;
        let text = body.pointer("/choices/0/message/content")?;
        text.as_str().map(str::to_owned)
    }

    /// Returns the error that the answer tells.
    pub fn error(&self) -> Option<ErrorBody> {
        serde_json::from_str(&self.body).ok()
    }

    /// Returns the text of all chunks of a stream, and whether its end mark came.
    pub fn stream_text(&self) -> (String, bool) {
        let mut text = String::new();
        let mut is_whole = false;
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                is_whole = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            let piece = chunk.pointer("/choices/0/delta/content");
            text.push_str(piece.and_then(Value::as_str).unwrap_or_default());
        }
        (text, is_whole)
    }

    /// Returns the id of the last event of a stream.
    pub fn last_event(&self) -> Option<String> {
        let mut ids = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.next_back().map(str::to_owned)
    }
}

/// A caller with one bearer key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

impl Caller {
    /// Builds a caller.
    pub fn new(key: &str) -> Self {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        Self {
            client,
            key: key.to_owned(),
        }
    }

    /// Returns the body of a chat with one message.
    pub fn chat_body(prompt: &str, tokens: u64, is_stream: bool) -> Value {
        json!({
            "model": MODEL_SERVICE,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": is_stream,
        })
    }

    /// Sends a chat.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the connection fails before the answer is whole.
    pub async fn chat(&self, address: SocketAddr, body: &Value) -> Result<Answer, CallError> {
        let url = format!("http://{address}/v1/chat/completions");
        let request = self.client.post(url).bearer_auth(&self.key);
        finish(address, request.send_json(body)).await
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the connection fails before the answer is whole.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<Answer, CallError> {
        let url = format!("http://{address}{path}");
        let mut request = self.client.post(url).bearer_auth(&self.key);
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        finish(address, request.send_json(body)).await
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the connection fails before the answer is whole.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, CallError> {
        let url = format!("http://{address}{path}");
        let request = self.client.get(url).bearer_auth(&self.key);
        finish(address, request.send()).await
    }

    /// Goes on with a request behind the last event that the caller has.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the connection fails before the answer is whole.
    pub async fn attach(
        &self,
        address: SocketAddr,
        request: &str,
        last_event: Option<&str>,
    ) -> Result<Answer, CallError> {
        let url = format!("http://{address}/v1/requests/{request}");
        let mut call = self.client.get(url).bearer_auth(&self.key);
        if let Some(last_event) = last_event {
            call = call.insert_header(("last-event-id", last_event));
        }
        finish(address, call.send()).await
    }
}

/// Reads an answer to its end; a body that breaks off keeps what came.
async fn finish(address: SocketAddr, sending: awc::SendClientRequest) -> Result<Answer, CallError> {
    let failed = |cause: String| CallError::Connection { address, cause };
    let mut response = sending.await.map_err(|error| failed(error.to_string()))?;
    let status: StatusCode = response.status();
    let request = response.headers().get("x-request-id");
    let request = request.and_then(|value| value.to_str().ok().map(str::to_owned));
    let body = response.body().limit(MAX_ANSWER).await;
    let body = body.map_err(|error| failed(error.to_string()))?;
    Ok(Answer {
        status: status.as_u16(),
        request,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
