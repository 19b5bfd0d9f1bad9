//! Requests and attempts with plain values, for tests and demonstrations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::ids::AttemptId;
use laburnumstall_core::request::{AnswerForm, Dialect, Request};
use laburnumstall_core::units::{Priority, Timestamp, Tokens};
use laburnumstall_outside::endpoint::{EndpointCall, engine_path};

/// Time that a sample attempt has.
const REMAINING: Duration = Duration::from_secs(20);

/// Returns an idempotent request with this body; a plain one goes to `/run`.
pub fn request(dialect: Dialect, body: &str) -> Request {
    Request {
        customer: "customer".parse().expect("a valid name"),
        service: "service".parse().expect("a valid name"),
        dialect,
        method: "POST".into(),
        path: engine_path(dialect).unwrap_or("/run").into(),
        content_type: "application/json".into(),
        body: body.as_bytes().into(),
        key: None,
        idempotent: true,
        form: AnswerForm::Stream,
        deadline: Timestamp::NEVER,
        priority: Priority(1),
        prompt: Tokens(1),
        answer: Tokens(1),
        prefix: Vec::new(),
    }
}

/// Returns the attempt with this number.
pub fn attempt(number: u32) -> AttemptId {
    let name = format!("r-vm-1@1-1-00000000/{number}");
    name.parse().expect("a valid attempt")
}

/// Returns the first attempt to run a request.
pub fn call(address: SocketAddr, request: Request) -> EndpointCall {
    EndpointCall {
        attempt: attempt(1),
        address,
        request: Arc::new(request),
        generated: "".into(),
        generated_tokens: Tokens(0),
        remaining: REMAINING,
    }
}
