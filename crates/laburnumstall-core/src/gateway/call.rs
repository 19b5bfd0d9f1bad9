//! A caller's request as the gateway sees it, and its state while it is served.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use super::rules::RouteRule;
use crate::domain;
use crate::ids::{CustomerId, EndpointId, ServiceName};
use crate::units::Timestamp;

domain! {
    /// A part of a prompt that other prompts may share.
    #[derive(Copy, Eq)]
    pub struct PromptPart {
        /// Identifier of the part's content.
        pub id: u64,
        /// Tokens of the part.
        pub tokens: u32,
    }

    /// What a request tells about its prompt.
    #[derive(Eq)]
    pub struct Prompt {
        /// Tokens of the whole prompt.
        pub tokens: u32,
        /// Most tokens of the answer.
        #[serde(rename = "answer")]
        pub max_answer_tokens: u32,
        /// Parts in order; the last belongs to this request or its session alone.
        pub parts: Vec<PromptPart>,
    }

    /// What is read from the head of a request.
    pub struct CallAttributes {
        /// Identifier of this try of the caller.
        pub id: CompactString,
        /// Host that the caller names.
        pub host: CompactString,
        /// Path and query.
        pub path: CompactString,
        /// Bearer key.
        pub key: Option<CompactString>,
        /// How long the caller waits.
        #[serde(rename = "patience")]
        pub caller_timeout: Option<Duration>,
        /// Prompt, for requests to an engine.
        pub prompt: Option<Prompt>,
        /// Event behind which the caller asks a stream to go on.
        pub resume_after: Option<CompactString>,
    }
}

impl Prompt {
    /// Returns the parts that other prompts may share.
    pub fn shared(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// Returns the key by which requests with the same shared parts meet.
    pub fn hash_key(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}

/// One request while it is served.
#[derive(Debug, Clone)]
pub struct AdmittedCall {
    /// Identifier of the caller's try.
    pub id: CompactString,
    /// Route in force when it was admitted.
    pub route: Arc<RouteRule>,
    /// Service that runs it.
    pub service: ServiceName,
    /// Customer that its key names.
    pub customer: Option<CustomerId>,
    /// Rank: the customer's, or else the route's; 0 is the most urgent.
    pub rank: u8,
    /// When its head was read.
    pub received_at: Timestamp,
    /// When it is given up.
    pub deadline: Timestamp,
    /// Prompt, for requests to an engine.
    pub prompt: Option<Prompt>,
    /// Units taken from the customer's quota.
    pub charge: u64,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointId>,
    /// Whether it was written to an endpoint that has not answered.
    pub is_outstanding: bool,
    /// Times that it was written to an endpoint.
    pub sends: u32,
    /// Endpoints that ran it or may have.
    pub executions: u32,
    /// Whether it was counted as begun.
    pub has_started: bool,
    /// Events that the caller has.
    pub events: u32,
}

impl AdmittedCall {
    /// Returns the time that is left until the deadline.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}
