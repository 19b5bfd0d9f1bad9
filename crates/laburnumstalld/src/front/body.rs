//! JSON bodies of model answers: stream chunks and complete answers.

use laburnumstall_core::ids::{RequestId, ServiceName};
use laburnumstall_core::request::{Dialect, Request};
use serde::Serialize;
use serde_json::Value;

/// Fields shared by all bodies of one answer.
#[derive(Debug, Clone)]
pub(super) struct BodyFormat {
    dialect: Dialect,
    model: String,
    created: u64,
}

#[derive(Serialize)]
struct Body<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Token counts of a complete answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenCounts {
    /// Estimated prompt tokens.
    pub(super) prompt: u64,
    /// Generated tokens.
    pub(super) generated: u64,
}

impl BodyFormat {
    pub(super) fn of(request: &Request, created: u64) -> Self {
        Self {
            dialect: request.dialect,
            model: request.service.to_string(),
            created,
        }
    }

    /// Returns the format for a request that arrived on another connection.
    pub(super) fn attached(dialect: Dialect, service: &ServiceName, created: u64) -> Self {
        Self {
            dialect,
            model: service.to_string(),
            created,
        }
    }

    /// Encodes one chunk of a stream.
    pub(super) fn chunk(&self, id: &RequestId, text: Option<&str>, finish: Option<&str>) -> String {
        let is_chat = self.dialect == Dialect::Chat;
        let choice = Choice {
            index: 0,
            delta: is_chat.then_some(Delta { content: text }),
            message: None,
            text: if is_chat { None } else { text.or(Some("")) },
            finish_reason: finish,
        };
        let object = if is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        self.encode(id, object, choice, None)
    }

    /// Encodes a complete answer.
    pub(super) fn complete(
        &self,
        id: &RequestId,
        text: &str,
        finish: &str,
        counts: TokenCounts,
    ) -> String {
        let is_chat = self.dialect == Dialect::Chat;
        let message = Message {
            role: "assistant",
            content: text,
        };
        let choice = Choice {
            index: 0,
            delta: None,
            message: is_chat.then_some(message),
            text: (!is_chat).then_some(text),
            finish_reason: Some(finish),
        };
        let object = if is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let usage = Usage {
            prompt_tokens: counts.prompt,
            completion_tokens: counts.generated,
            total_tokens: counts.prompt + counts.generated,
        };
        self.encode(id, object, choice, Some(usage))
    }

    fn encode(
        &self,
        id: &RequestId,
        object: &'static str,
        choice: Choice<'_>,
        usage: Option<Usage>,
    ) -> String {
        let body = Body {
            id: &id.to_string(),
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&body).expect("the body can always be encoded as JSON")
    }
}

/// Returns an unsigned integer field of a JSON body.
pub(super) fn number(body: &Value, name: &str) -> Option<u64> {
    body.get(name).and_then(Value::as_u64)
}
