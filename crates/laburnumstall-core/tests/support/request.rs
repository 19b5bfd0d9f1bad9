//! A request from a customer to a service.

use laburnumstall_core::prelude::*;
use laburnumstall_core::request::{Dialect, prefix_blocks};

/// Returns an idempotent request with a prompt of four bytes per token.
pub(crate) fn request(prompt: &[u8]) -> Request {
    Request {
        customer: "caroni".parse().unwrap(),
        service: "clerk".parse().unwrap(),
        dialect: Dialect::Chat,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        body: std::sync::Arc::from(prompt),
        key: None,
        idempotent: true,
        form: AnswerForm::Stream,
        deadline: Timestamp::NEVER,
        priority: Priority(0),
        prompt: Tokens(prompt.len() as u64 / 4),
        answer: Tokens(100),
        prefix: prefix_blocks("clerk", prompt),
    }
}
