//! Calls as the gateway sees them, and their state while they are served.

use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};

use super::recovery::CallFailure;
use super::rules::RouteRule;
use super::stream_origin::{AttemptDigest, StreamOrigin};
use crate::decision::Decision;
use crate::hash::digest64;
use crate::ids::{CustomerId, EndpointId, Fingerprint, ServiceName};
use crate::units::Timestamp;
use crate::{domain, domain_value};

domain_value! {
    /// Digest of a request's body.
    pub struct BodyDigest(pub u64);
}

domain! {
    /// Part of a prompt that other prompts may share.
    #[derive(Copy, Eq)]
    pub struct PromptPart {
        /// Identifier of the part's content.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }

    /// Prompt of a call, as the request's head describes it.
    #[derive(Eq)]
    pub struct Prompt {
        /// Length of the whole prompt in tokens.
        pub tokens: u32,
        /// Maximum length of the answer in tokens.
        #[serde(rename = "answer")]
        pub max_answer_tokens: u32,
        /// Parts in order; the last one belongs to this call or its session alone.
        pub parts: Vec<PromptPart>,
    }

    /// Attributes of a call, read from the request's head.
    pub struct CallAttributes {
        /// Identifier of the caller's attempt.
        pub id: CompactString,
        /// Host that the call is addressed to.
        pub host: CompactString,
        /// Path and query.
        pub path: CompactString,
        /// Digest of the body.
        pub body: BodyDigest,
        /// Bearer key.
        pub key: Option<CompactString>,
        /// Time that the caller waits for an answer.
        #[serde(rename = "patience")]
        pub caller_timeout: Option<Duration>,
        /// Prompt, for requests to an engine.
        pub prompt: Option<Prompt>,
        /// Event after which the caller asks to resume a stream.
        pub resume_after: Option<CompactString>,
        /// Identifier of the caller's attempt that brought the first event of the stream.
        pub resumed_attempt: Option<CompactString>,
    }
}

impl BodyDigest {
    /// Computes the digest of a body.
    pub fn of(body: &[u8]) -> Self {
        Self(digest64(&[body]))
    }
}

impl CallAttributes {
    /// Returns the fingerprint of the call: equal for a repeat of the same request, whatever
    /// the identifier of its attempt.
    pub(super) fn fingerprint(
        &self,
        customer: Option<&CustomerId>,
        service: &ServiceName,
    ) -> Fingerprint {
        let customer = customer.map_or("", CustomerId::as_str);
        let parts = [
            customer.as_bytes(),
            service.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.body.0.to_le_bytes(),
        ];
        Fingerprint(digest64(&parts))
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

    /// Returns the identifiers of the first shared parts, for logs.
    pub(super) fn shared_text(&self) -> CompactString {
        const MAX_LOGGED: usize = 8;
        let mut text = CompactString::default();
        for (index, part) in self.shared().iter().take(MAX_LOGGED).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            text.push_str(&format_compact!("{separator}{:x}", part.id));
        }
        text
    }

    /// Returns the consistent-hash key, which is the same for calls with the same shared
    /// parts.
    pub fn hash_key(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}

/// Adds up the tokens of parts, whose lengths the caller states.
pub(super) fn sum_tokens<'a>(parts: impl Iterator<Item = &'a PromptPart>) -> u32 {
    parts.fold(0, |sum: u32, part| sum.saturating_add(part.tokens))
}

/// Admitted call, while it is served.
#[derive(Debug, Clone)]
pub struct AdmittedCall {
    /// Identifier of the caller's attempt.
    pub id: CompactString,
    /// Route in force when it was admitted.
    pub route: Arc<RouteRule>,
    /// Service that runs it.
    pub service: ServiceName,
    /// Attempt that brought, or will bring, the first event of the stream.
    pub stream: AttemptDigest,
    /// Whether the caller takes up a stream that another endpoint can resume.
    pub is_resumed: bool,
    /// Where the stream began, once that is known; it goes on only there.
    pub origin: Option<Arc<StreamOrigin>>,
    /// Equal for all repeats of the same request.
    pub fingerprint: Fingerprint,
    /// Customer that its key belongs to.
    pub customer: Option<CustomerId>,
    /// Priority rank of the customer or else of the route; 0 is the most urgent.
    pub rank: u8,
    /// When the request's head was read.
    pub received_at: Timestamp,
    /// When the call is abandoned.
    pub deadline: Timestamp,
    /// Prompt, for requests to an engine.
    pub prompt: Option<Prompt>,
    /// Units charged to the customer's quota.
    pub charge: u64,
    /// Endpoints selected so far.
    pub tried: Vec<EndpointId>,
    /// Whether it was written to an endpoint that has not responded.
    pub is_outstanding: bool,
    /// Number of times that it was written to an endpoint.
    pub sends: u32,
    /// Number of times that no connection to an endpoint was made.
    pub failed_connects: u32,
    /// Number of endpoints that ran it or may have run it.
    pub executions: u32,
    /// Whether it was counted as started.
    pub has_started: bool,
    /// Number of events sent to the caller.
    pub events: u32,
    /// When the first and the newest of them were received, and the longest pause between two.
    pub event_times: Option<EventTimes>,
    /// How the newest failed attempt failed.
    pub last_failure: Option<CallFailure>,
}

/// Times of the events of a stream, as its caller sees them.
#[derive(Debug, Clone, Copy)]
pub struct EventTimes {
    /// When the first event was received.
    pub first_at: Timestamp,
    /// When the newest event was received.
    pub newest_at: Timestamp,
    /// Longest time between two events.
    pub longest_pause: Duration,
}

impl EventTimes {
    /// Adds the times to the decision that ends a call received at `received_at`.
    pub(super) fn record(self, decision: Decision, received_at: Timestamp) -> Decision {
        decision
            .with("first_ms", self.first_at.since(received_at).as_millis())
            .with("pause_ms", self.longest_pause.as_millis())
    }
}

impl AdmittedCall {
    /// Records an event that is sent to the caller.
    pub fn on_event(&mut self, now: Timestamp) {
        self.events += 1;
        let times = self.event_times.get_or_insert(EventTimes {
            first_at: now,
            newest_at: now,
            longest_pause: Duration::ZERO,
        });
        times.longest_pause = times.longest_pause.max(now.since(times.newest_at));
        times.newest_at = now;
    }

    /// Returns the version that the stream may go on at, for logs.
    pub(super) fn pinned_version(&self) -> &str {
        self.origin
            .as_ref()
            .map_or("any", |origin| origin.version.as_str())
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}
