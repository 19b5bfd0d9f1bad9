//! The body that a model engine is sent: always streamed, and continued where another
//! attempt stopped.

use laburnumstall_core::request::Dialect;
use laburnumstall_core::units::Tokens;
use serde_json::{Map, Value, json};

use super::AttemptFailure;

/// Names of the field that bounds the answer's tokens; the newer one first.
const TOKEN_LIMITS: [&str; 2] = ["max_completion_tokens", "max_tokens"];

/// Status reported for a body that cannot be sent to an engine.
const BAD_REQUEST: u16 = 400;

/// Returns the path of an engine's interface, or `None` for a plain call.
pub fn engine_path(dialect: Dialect) -> Option<&'static str> {
    match dialect {
        Dialect::Chat => Some("/v1/chat/completions"),
        Dialect::Completion => Some("/v1/completions"),
        Dialect::Plain => None,
    }
}

/// Builds the engine's body from the caller's, continuing after `generated`.
///
/// Returns `None` if the answer already has all the tokens that the caller allows.
///
/// # Errors
///
/// Returns [`AttemptFailure::Status`] with 400 if the body is not an object of the
/// interface, or if its answer cannot be continued.
pub fn engine_body(
    dialect: Dialect,
    body: &[u8],
    generated: &str,
    generated_tokens: Tokens,
) -> Result<Option<Vec<u8>>, AttemptFailure> {
    let mut fields: Map<String, Value> =
        serde_json::from_slice(body).map_err(|e| bad_request(&e.to_string()))?;
    if !reduce_limit(&mut fields, generated_tokens) {
        return Ok(None);
    }
    if !generated.is_empty() {
        continue_after(dialect, &mut fields, generated)?;
    }
    fields.insert("stream".into(), Value::Bool(true));
    let usage = json!({ "include_usage": true, "continuous_usage_stats": true });
    fields.insert("stream_options".into(), usage);
    let body = serde_json::to_vec(&fields).map_err(|e| bad_request(&e.to_string()))?;
    Ok(Some(body))
}

/// Lowers each token limit by the tokens generated; false if a limit is reached.
fn reduce_limit(fields: &mut Map<String, Value>, generated: Tokens) -> bool {
    for name in TOKEN_LIMITS {
        let Some(limit) = fields.get(name).and_then(Value::as_u64) else {
            continue;
        };
        let rest = Tokens(limit).minus(generated);
        if rest == Tokens(0) && generated > Tokens(0) {
            return false;
        }
        fields.insert(name.into(), json!(rest.get()));
    }
    true
}

fn continue_after(
    dialect: Dialect,
    fields: &mut Map<String, Value>,
    generated: &str,
) -> Result<(), AttemptFailure> {
    match dialect {
        Dialect::Chat => continue_chat(fields, generated),
        Dialect::Completion => continue_completion(fields, generated),
        Dialect::Plain => Err(bad_request("a plain call cannot be continued")),
    }
}

fn continue_chat(fields: &mut Map<String, Value>, generated: &str) -> Result<(), AttemptFailure> {
    let messages = fields
        .get_mut("messages")
        .and_then(Value::as_array_mut)
        .ok_or_else(|| bad_request("`messages` is not an array"))?;
    messages.push(json!({ "role": "assistant", "content": generated }));
    fields.insert("continue_final_message".into(), Value::Bool(true));
    fields.insert("add_generation_prompt".into(), Value::Bool(false));
    Ok(())
}

fn continue_completion(
    fields: &mut Map<String, Value>,
    generated: &str,
) -> Result<(), AttemptFailure> {
    match fields.get_mut("prompt") {
        Some(Value::String(prompt)) => {
            prompt.push_str(generated);
            Ok(())
        }
        _ => Err(bad_request("only a `prompt` of text can be continued")),
    }
}

fn bad_request(message: &str) -> AttemptFailure {
    AttemptFailure::Status {
        status: BAD_REQUEST,
        message: message.into(),
    }
}
