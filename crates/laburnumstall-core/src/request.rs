//! A caller's request and the events of its answer.

use std::fmt;
use std::sync::Arc;

use compact_str::CompactString;

use crate::error::Refusal;
use crate::ids::{CustomerId, Fingerprint, IdempotencyKey, ServiceName};
use crate::units::{Priority, Timestamp, Tokens};
use crate::{domain, domain_value, hash};

/// Bytes of a prompt that make one prefix block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Prefix blocks that are looked at; later ones seldom decide where a request goes.
pub const MAX_PREFIX_BLOCKS: usize = 256;

domain_value! {
    /// Hash of a prompt up to the end of one block.
    pub struct BlockHash(pub u64);

    /// How an answer is given to the caller.
    #[serde(rename_all = "kebab-case")]
    pub enum AnswerForm {
        /// Server-sent events, one for each chunk.
        Stream,
        /// One body at the end.
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
    /// A request as a caller sent it, checked for form.
    pub struct Request {
        /// Customer that the bearer key names.
        pub customer: CustomerId,
        /// Service that is asked.
        pub service: ServiceName,
        /// Interface by which the endpoint is called.
        pub dialect: Dialect,
        /// HTTP method.
        pub method: CompactString,
        /// Path and query below the service, or the path of the model interface.
        pub path: CompactString,
        /// Content type of the body.
        pub content_type: CompactString,
        /// Body.
        pub body: Arc<[u8]>,
        /// Key that marks repetitions.
        pub key: Option<IdempotencyKey>,
        /// Whether a repetition has no further effect.
        pub idempotent: bool,
        /// How the answer is given.
        pub form: AnswerForm,
        /// Time after which the request is given up.
        pub deadline: Timestamp,
        /// Priority passed to the engine.
        pub priority: Priority,
        /// Prompt tokens, estimated.
        pub prompt: Tokens,
        /// Most answer tokens.
        pub answer: Tokens,
        /// Hashes of the prompt up to the end of each block.
        pub prefix: Vec<BlockHash>,
    }

    /// One event of an answer.
    pub enum AnswerEvent {
        /// Status and content type of a plain answer; always the first event of one.
        Head {
            /// HTTP status of the endpoint's answer.
            status: u16,
            /// Content type of the body.
            content_type: CompactString,
        },
        /// A piece of the answer.
        Chunk {
            /// Text generated, or a part of a plain body.
            text: CompactString,
            /// Tokens generated.
            tokens: u32,
        },
        /// The end of a whole answer.
        End {
            /// Why generation ended, as the engine says it.
            finish: CompactString,
        },
        /// The end of a request without a whole answer.
        Failed(Refusal),
    }
}

impl Request {
    /// Returns the hash that is equal for equal customer, service, path and body.
    pub fn fingerprint(&self) -> Fingerprint {
        hash::fingerprint(&self.customer, &self.service, &self.path, &self.body)
    }
}

impl AnswerEvent {
    /// Tells whether no event follows.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed(_))
    }

    /// Returns the text that the event adds to the answer.
    pub fn text(&self) -> &str {
        match self {
            Self::Chunk { text, .. } => text,
            _ => "",
        }
    }

    /// Returns the tokens that the event holds.
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

/// Returns the hashes of `prompt` up to the end of each whole block.
///
/// Two prompts share the first `n` hashes exactly when their first `n` blocks are equal.
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
