//! The text of a prompt, as prefix blocks are counted over it.

use std::fmt::Write;

use laburnumstall_core::request::Dialect;
use serde_json::Value;

/// Returns the text over which the prefix blocks of a model request are counted.
///
/// A chat is written as each message's role, a line break, its content and a NUL; a
/// completion is its prompt. The salt of the hashes is the request's `model`.
pub fn prompt_text(dialect: Dialect, body: &Value) -> String {
    match dialect {
        Dialect::Chat => chat_text(&body["messages"]),
        Dialect::Completion => content_text(&body["prompt"]),
        Dialect::Plain => String::new(),
    }
}

fn chat_text(messages: &Value) -> String {
    let mut text = String::new();
    for message in messages.as_array().into_iter().flatten() {
        let role = message["role"].as_str().unwrap_or_default();
        let content = content_text(&message["content"]);
        // Writing to a String cannot fail.
        let _ = write!(text, "{role}\n{content}\0");
    }
    text
}

fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
