//! Customers and their contracts.

use std::time::Duration;

use compact_str::CompactString;

use crate::domain;
use crate::ids::{CustomerId, ServiceName};
use crate::units::{Priority, RequestRate, TokenRate};

domain! {
    /// Rate limits, priority and latency guarantees of a customer.
    #[serde(deny_unknown_fields)]
    pub struct Contract {
        /// Requests per second over all entries.
        pub requests: RequestRate,
        /// Tokens per second over all entries, prompt and answer combined.
        pub tokens: TokenRate,
        /// Weight of the customer's share in a saturated service.
        pub weight: u32,
        /// Priority passed to engines.
        pub priority: Priority,
        /// Maximum time to first token.
        pub first_token: Duration,
        /// Maximum time between two tokens.
        pub between_tokens: Duration,
        /// Services that the customer may call; all if empty.
        pub services: Vec<ServiceName>,
    }

    /// A party that calls services under a contract.
    #[serde(deny_unknown_fields)]
    pub struct Customer {
        /// Name of the customer.
        pub name: CustomerId,
        /// BLAKE3 digests of the customer's bearer keys, in hexadecimal.
        pub key_digests: Vec<CompactString>,
        /// Contract of the customer.
        pub contract: Contract,
    }
}
