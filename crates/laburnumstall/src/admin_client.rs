//! Calls to the daemons' admin interface.
//!
//! Every call can be repeated safely: reads change nothing, an apply carries a nonce, and a
//! drain asks for a state. So an address that fails at any point is followed by the next.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use laburnumstall_config::admin::AdminError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{
    CommandError, FailedAttempt, NotGivenSnafu, RefusedSnafu, UnauthorizedSnafu, UnreachableSnafu,
    UnreadableAnswerSnafu, WriteJsonSnafu,
};
use crate::settings::{OperatorKey, Settings};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the admin interface of several daemons.
pub(crate) struct AdminClient {
    client: awc::Client,
    addresses: Vec<SocketAddr>,
    key: OperatorKey,
    timeout: Duration,
}

/// A call: what it is called in messages, and what is sent.
pub(crate) struct AdminCall {
    /// What the call does, for messages.
    pub(crate) purpose: &'static str,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// JSON body; empty for none.
    pub(crate) body: Vec<u8>,
}

/// A daemon's answer.
pub(crate) struct AdminAnswer {
    purpose: &'static str,
    address: SocketAddr,
    /// HTTP status.
    pub(crate) status: StatusCode,
    body: Vec<u8>,
}

/// Why one address gave no answer.
struct SendFailure {
    reason: String,
    /// Whether the daemon may have received the call.
    was_sent: bool,
}

impl SendFailure {
    fn before_answer(error: SendRequestError) -> Self {
        let is_not_sent = is_not_sent(&error);
        Self {
            reason: error.to_string(),
            was_sent: !is_not_sent,
        }
    }

    fn in_answer(error: PayloadError) -> Self {
        Self {
            reason: error.to_string(),
            was_sent: true,
        }
    }
}

impl AdminCall {
    /// Builds a read.
    pub(crate) fn get(purpose: &'static str, path: impl Into<String>) -> Self {
        Self {
            purpose,
            method: Method::GET,
            path: path.into(),
            body: Vec::new(),
        }
    }

    /// Builds a call with a JSON body.
    pub(crate) fn post(
        purpose: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Self, CommandError> {
        Ok(Self {
            purpose,
            method: Method::POST,
            path: path.into(),
            body: serde_json::to_vec(body).context(WriteJsonSnafu)?,
        })
    }
}

impl AdminClient {
    /// Builds a client of the addresses that are set.
    pub(crate) fn new(settings: &Settings) -> Result<Self, CommandError> {
        let addresses = settings.admin.clone();
        ensure!(
            !addresses.is_empty(),
            NotGivenSnafu {
                what: "the daemons' admin address",
                hint: "give --admin ADDR[,ADDR...] or set LABURNUMSTALL_ADMIN",
            }
        );
        let key = settings.operator_key.clone();
        let Some(key) = key else {
            return NotGivenSnafu {
                what: "the operator key",
                hint: "set LABURNUMSTALL_OPERATOR_KEY or give --operator-key KEY",
            }
            .fail();
        };
        Ok(Self {
            client: awc::Client::default(),
            addresses,
            key,
            timeout: settings.timeout,
        })
    }

    /// Sends a call to the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unreachable`] if none answers and
    /// [`CommandError::Unauthorized`] if the key is refused.
    pub(crate) async fn send(&self, call: &AdminCall) -> Result<AdminAnswer, CommandError> {
        let mut tried = Vec::new();
        let mut may_have_acted = false;
        for &address in &self.addresses {
            match self.send_to(call, address).await {
                Ok(answer) => return answer.authorized(),
                Err(failure) => {
                    may_have_acted |= failure.was_sent && call.method != Method::GET;
                    let reason = failure.reason;
                    tried.push(FailedAttempt { address, reason });
                }
            }
        }
        UnreachableSnafu {
            call: call.purpose,
            may_have_acted,
            tried,
        }
        .fail()
    }

    async fn send_to(
        &self,
        call: &AdminCall,
        address: SocketAddr,
    ) -> Result<AdminAnswer, SendFailure> {
        let url = format!("http://{address}{}", call.path);
        let sending = self
            .client
            .request(call.method.clone(), url)
            .timeout(self.timeout)
            .bearer_auth(self.key.reveal())
            .content_type("application/json")
            .send_body(call.body.clone());
        let mut answer = sending.await.map_err(SendFailure::before_answer)?;
        let reading = answer.body().limit(MAX_ANSWER_BYTES);
        let body = reading.await.map_err(SendFailure::in_answer)?;
        Ok(AdminAnswer {
            purpose: call.purpose,
            address,
            status: answer.status(),
            body: body.to_vec(),
        })
    }
}

impl AdminAnswer {
    /// Reads the body of an answer that has one of the expected statuses.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        serde_json::from_slice(&self.body).context(UnreadableAnswerSnafu {
            call: self.purpose,
            address: self.address,
        })
    }

    /// Reads the body of a successful answer; any other is an error.
    pub(crate) fn read_success<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        self.check_success()?;
        self.read()
    }

    /// Checks that the answer is a successful one.
    pub(crate) fn check_success(&self) -> Result<(), CommandError> {
        ensure!(
            self.status.is_success(),
            RefusedSnafu {
                call: self.purpose,
                address: self.address,
                status: self.status.as_u16(),
                message: self.message(),
            }
        );
        Ok(())
    }

    /// Returns what a daemon said in an answer that is not a result.
    pub(crate) fn message(&self) -> String {
        match serde_json::from_slice::<AdminError>(&self.body) {
            Ok(error) => error.message.into_string(),
            Err(_) => String::from_utf8_lossy(&self.body)
                .trim()
                .chars()
                .take(200)
                .collect(),
        }
    }

    fn authorized(self) -> Result<Self, CommandError> {
        let is_refused = matches!(
            self.status,
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN
        );
        ensure!(
            !is_refused,
            UnauthorizedSnafu {
                call: self.purpose,
                address: self.address,
            }
        );
        Ok(self)
    }
}

/// Tells whether a failed send certainly wrote nothing.
///
/// `awc` reports a connection that closes before the response head as
/// [`ConnectError::Disconnected`], although the request was written by then.
fn is_not_sent(error: &SendRequestError) -> bool {
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
