//! Messages of an engine's control interface.

use laburnumstall_core::request::BlockHash;
use laburnumstall_core::{domain, domain_value};

domain_value! {
    /// What happened to blocks of the prefix cache.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheChange {
        /// The blocks were stored.
        Stored,
        /// The blocks were evicted.
        Evicted,
    }
}

domain! {
    /// One cache event. A missing number means that an event was lost.
    pub struct CacheEvent {
        /// Number of the event, from one.
        pub sequence: u64,
        /// What happened.
        pub change: CacheChange,
        /// Blocks that it happened to.
        pub blocks: Vec<BlockHash>,
    }

    /// Cache events that an engine still holds.
    pub struct CachePage {
        /// Number of the newest event published; the next call gives it as `after`.
        pub newest: u64,
        /// Events in order, with gaps where some were lost.
        pub events: Vec<CacheEvent>,
    }
}
