//! Messages of an engine's control interface.

use std::net::SocketAddr;

use compact_str::CompactString;
use laburnumstall_core::request::BlockHash;
use laburnumstall_core::units::Bytes;
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

    /// A request to offer a stream's KV cache to other engines.
    pub struct KvOffer {
        /// Name of the stream: its attempt's id as text.
        pub stream: CompactString,
    }

    /// A stream's KV cache, offered by its engine for a while.
    pub struct KvExport {
        /// Name of the stream.
        pub stream: CompactString,
        /// Size of the cache.
        pub size: Bytes,
        /// Prompt blocks that the cache covers.
        pub blocks: Vec<BlockHash>,
    }

    /// An order to fetch a KV cache from another engine.
    pub struct KvImport {
        /// Address of the engine that offers it.
        pub from: SocketAddr,
        /// Name of the stream.
        pub stream: CompactString,
    }

    /// Result of an import.
    pub struct KvImported {
        /// Blocks that are in the cache now.
        pub blocks: u64,
    }
}
