//! A caller's request and the events of its answer.

use std::fmt;
use std::sync::Arc;

use compact_str::CompactString;

use crate::error::Refusal;
use crate::ids::{CustomerId, Fingerprint, IdempotencyKey, ServiceName};
use crate::units::{Priority, Timestamp, Tokens};
use crate::{domain, domain_value, hash};

/// Size of a prompt's prefix block in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of prefix blocks hashed; later blocks rarely affect routing.
pub const MAX_PREFIX_BLOCKS: usize = 256;

domain_value! {
    /// Hash of a prompt from its start to the end of a block.
    pub struct BlockHash(pub u64);

    /// How an answer is delivered to the caller.
    #[serde(rename_all = "kebab-case")]
    pub enum AnswerForm {
        /// Server-sent events, one per chunk.
        Stream,
        /// A single body once the answer is complete.
        Whole,
    }

    /// Interface by which the endpoint is called.
    #[serde(rename_all = "kebab-case")]
    pub enum Dialect {
        /// `/v1/chat/completions`.
        Chat,
        /// `/v1/completions`.
        Completion,
        /// A plain HTTP call.
        Plain,
    }
}

domain! {
    /// A validated request of a caller.
    pub struct Request {
        /// Customer that the bearer key belongs to.
        pub customer: CustomerId,
        /// Service that the request is for.
        pub service: ServiceName,
        /// Interface by which the endpoint is called.
        pub dialect: Dialect,
        /// HTTP method.
        pub method: CompactString,
        /// Path and query below the service, or the path of the model API.
        pub path: CompactString,
        /// Content type of the body.
        pub content_type: CompactString,
        /// Request body.
        pub body: Arc<[u8]>,
        /// Idempotency key, the same for each time that the caller sends the request.
        pub key: Option<IdempotencyKey>,
        /// Whether running the request again has no further effect.
        pub idempotent: bool,
        /// How the answer is delivered.
        pub form: AnswerForm,
        /// Time after which the request fails.
        pub deadline: Timestamp,
        /// Priority passed to the engine.
        pub priority: Priority,
        /// Estimated number of prompt tokens.
        pub prompt: Tokens,
        /// Maximum number of answer tokens.
        pub answer: Tokens,
        /// Hashes of the prompt's prefixes; see [`prefix_blocks`].
        pub prefix: Vec<BlockHash>,
    }

    /// One event of an answer.
    pub enum AnswerEvent {
        /// Status and content type; the first event of each answer to a plain HTTP call.
        Head {
            /// HTTP status of the endpoint's response.
            status: u16,
            /// Content type of the body.
            content_type: CompactString,
        },
        /// A part of the answer.
        Chunk {
            /// Generated text, or a part of a plain HTTP body.
            text: CompactString,
            /// Number of tokens in the text.
            tokens: u32,
        },
        /// End of a complete answer.
        End {
            /// Finish reason reported by the engine.
            finish: CompactString,
        },
        /// End of an incomplete answer.
        Failed(Refusal),
    }
}

impl Request {
    /// Returns the hash of the customer, service, path and body.
    pub fn fingerprint(&self) -> Fingerprint {
        hash::fingerprint(&self.customer, &self.service, &self.path, &self.body)
    }
}

impl AnswerEvent {
    /// Returns whether the event ends the answer.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed(_))
    }

    /// Returns the text of the event; empty unless it is a chunk.
    pub fn text(&self) -> &str {
        match self {
            Self::Chunk { text, .. } => text,
            _ => "",
        }
    }

    /// Returns the number of tokens in the event.
    pub fn tokens(&self) -> u32 {
        match self {
            Self::Chunk { tokens, .. } => *tokens,
            _ => 0,
        }
    }
}

impl fmt::Display for AnswerForm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stream => "stream",
            Self::Whole => "whole",
        })
    }
}

/// Returns the hashes of `prompt` from its start to the end of each complete block.
///
/// With the same salt, two prompts share their first `n` hashes exactly if their first `n`
/// blocks are equal.
pub fn prefix_blocks(salt: &str, prompt: &[u8]) -> Vec<BlockHash> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            hasher.update(block);
            let mut first = [0; 8];
            first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            BlockHash(u64::from_le_bytes(first))
        })
        .collect()
}
