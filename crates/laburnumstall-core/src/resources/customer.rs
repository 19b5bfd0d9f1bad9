//! Customers and their contracts.

use std::time::Duration;

use compact_str::CompactString;

use crate::domain;
use crate::ids::{CustomerId, ServiceName};
use crate::units::{Priority, RequestRate, TokenRate};

domain! {
    /// What a customer may use and what it is promised.
    #[serde(deny_unknown_fields)]
    pub struct Contract {
        /// Requests a second over all entries.
        pub requests: RequestRate,
        /// Tokens a second over all entries: prompt and answer together.
        pub tokens: TokenRate,
        /// Share of a busy service relative to the other customers.
        pub weight: u32,
        /// Priority passed to engines.
        pub priority: Priority,
        /// Longest time to the first token.
        pub first_token: Duration,
        /// Longest time between two tokens.
        pub between_tokens: Duration,
        /// Services that the customer may call; empty means all.
        pub services: Vec<ServiceName>,
    }

    /// A party that calls services under a contract.
    #[serde(deny_unknown_fields)]
    pub struct Customer {
        /// Name of the customer.
        pub name: CustomerId,
        /// BLAKE3 digests, in hexadecimal, of the bearer keys that name the customer.
        pub key_digests: Vec<CompactString>,
        /// Its contract.
        pub contract: Contract,
    }
}
