//! Calls to the daemons' admin interface.
//!
//! Every call can be repeated safely: reads change nothing, an apply carries a nonce, and a
//! drain asks for a state. So an address that fails at any point is followed by the next.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use laburnumstall_config::admin::AdminError;
use laburnumstall_outside::http1::{Connections, OutgoingRequest, ResponseError, SendError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use tokio::time::timeout;

use crate::error::{
    CommandError, FailedAttempt, NotGivenSnafu, RefusedSnafu, UnauthorizedSnafu, UnreachableSnafu,
    UnreadableAnswerSnafu, WriteJsonSnafu,
};
use crate::settings::{OperatorKey, Settings};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the admin interface of several daemons.
pub(crate) struct AdminClient {
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
    fn before_sending(error: SendError) -> Self {
        Self {
            reason: error.to_string(),
            was_sent: false,
        }
    }

    fn after_sending(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
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
        let request = self.request(call, address);
        let request = request.map_err(SendFailure::before_sending)?;
        let connections = Connections::new(address, self.timeout);
        let connection = connections.open().await;
        let connection = connection.map_err(SendFailure::before_sending)?;
        let exchange = async {
            let response = connection.send(&request).await?;
            let status = response.head.status;
            let body = response.read_to_end(MAX_ANSWER_BYTES).await?;
            Ok::<(u16, Bytes), ResponseError>((status, body))
        };
        let answer = timeout(self.timeout, exchange).await;
        let answer = answer.map_err(|_| SendFailure::after_sending("no answer in time"))?;
        let (status, body) = answer.map_err(SendFailure::after_sending)?;
        Ok(AdminAnswer {
            purpose: call.purpose,
            address,
            status: StatusCode::from_u16(status).map_err(SendFailure::after_sending)?,
            body: body.to_vec(),
        })
    }

    fn request(&self, call: &AdminCall, address: SocketAddr) -> Result<OutgoingRequest, SendError> {
        let key = format!("Bearer {}", self.key.reveal());
        let request = OutgoingRequest::new(call.method.as_str(), &call.path, address)?
            .with("authorization", key)?
            .with("content-type", "application/json")?;
        Ok(request.with_body(Bytes::copy_from_slice(&call.body)))
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
