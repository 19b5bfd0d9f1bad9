//! Answers that follow from the conversation without the part generated before.
//!
//! The first token names the conversation's hash, and each later one follows from the hash
//! and its index. A stream that continues a generated part therefore goes on exactly, and
//! a test can compute the whole answer.

use laburnumstall_core::hash::{digest64, rendezvous_weight};
use laburnumstall_core::request::Dialect;
use laburnumstall_outside::endpoint::prompt_text;
use serde_json::Value;

/// Tokens generated for a body that names no limit.
const DEFAULT_TOKENS: u64 = 16;

/// Beginning of the first token of each answer.
const FIRST_TOKEN: &str = " re:";

/// What an engine needs to know of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Conversation {
    /// Hash of the conversation without the generated part.
    base: u64,
    /// Tokens generated before.
    pub(super) generated: usize,
    /// Tokens to generate.
    pub(super) limit: usize,
    /// Prompt with the generated part, as prefix blocks are counted over it.
    pub(super) prompt: String,
    /// Name of the model.
    pub(super) model: String,
    /// Interface of the body.
    pub(super) dialect: Dialect,
}

impl Conversation {
    /// Reads a body; `None` if it has no prompt.
    pub(super) fn read(dialect: Dialect, body: &Value) -> Option<Self> {
        let prompt = prompt_text(dialect, body);
        if prompt.is_empty() {
            return None;
        }
        let (base, generated) = match dialect {
            Dialect::Chat => split_chat(body),
            _ => split_completion(&prompt),
        };
        let limit = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|name| body[*name].as_u64())
            .unwrap_or(DEFAULT_TOKENS.saturating_sub(generated as u64));
        Some(Self {
            base,
            generated,
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            prompt,
            dialect,
            model: body["model"].as_str().unwrap_or_default().to_owned(),
        })
    }

    /// Returns the token at `index` of what this stream generates.
    pub(super) fn token(&self, index: usize) -> String {
        match self.generated + index {
            0 => first_token(self.base),
            index => {
                let mixed = rendezvous_weight(self.base, index as u64);
                format!(" w{:04x}", mixed & 0xffff)
            }
        }
    }
}

/// Returns the answer to a body, as all attempts together must give it.
///
/// The body is the caller's; `None` if it is not JSON of the dialect.
pub fn expected_answer(dialect: Dialect, body: &[u8]) -> Option<String> {
    Some(expected_tokens(dialect, body)?.concat())
}

/// Returns the tokens of [`expected_answer`].
pub fn expected_tokens(dialect: Dialect, body: &[u8]) -> Option<Vec<String>> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let conversation = Conversation::read(dialect, &body)?;
    let indices = 0..conversation.limit;
    Some(indices.map(|index| conversation.token(index)).collect())
}

fn first_token(base: u64) -> String {
    format!("{FIRST_TOKEN}{:08x}", base as u32)
}

fn base_hash(prompt: &str) -> u64 {
    digest64(&[prompt.as_bytes()])
}

fn count_tokens(text: &str) -> usize {
    text.matches(' ').count()
}

fn split_chat(body: &Value) -> (u64, usize) {
    let mut body = body.clone();
    let mut generated = 0;
    let continues = body["continue_final_message"] == Value::Bool(true);
    if let (true, Some(messages)) = (continues, body["messages"].as_array_mut()) {
        let tail = messages.pop().unwrap_or_default();
        generated = count_tokens(tail["content"].as_str().unwrap_or_default());
    }
    (base_hash(&prompt_text(Dialect::Chat, &body)), generated)
}

/// Finds a generated part by its first token, which names the hash of what precedes it.
fn split_completion(prompt: &str) -> (u64, usize) {
    for (start, _) in prompt.match_indices(FIRST_TOKEN) {
        let (before, tail) = prompt.split_at(start);
        let base = base_hash(before);
        if tail.starts_with(&first_token(base)) {
            return (base, count_tokens(tail));
        }
    }
    (base_hash(prompt), 0)
}
