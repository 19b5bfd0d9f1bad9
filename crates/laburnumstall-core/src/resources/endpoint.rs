//! Endpoints: back-end processes, and the load that they report.

use std::net::SocketAddr;

use crate::cloud::LoadOrder;
use crate::domain;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName, VmId};
use crate::units::{Timestamp, TokenRate, Tokens};

domain! {
    /// A back-end process that answers requests of the services that it has loaded.
    pub struct Endpoint {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// VM that it runs on.
        pub vm: VmId,
        /// Zone of that VM.
        pub zone: AvailabilityZone,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
        /// Services whose model, adapter and version it has loaded.
        pub services: Vec<ServiceName>,
    }

    /// What an endpoint says of its load; it arrives late.
    pub struct LoadReport {
        /// Endpoint that reports.
        pub endpoint: EndpointId,
        /// Number of the report; gaps show lost reports.
        pub sequence: u64,
        /// When the endpoint took the figures.
        pub taken_at: Timestamp,
        /// Requests being generated.
        pub running: u32,
        /// Requests waiting for a place in the batch.
        pub waiting: u32,
        /// Most requests that the batch holds.
        pub batch: u32,
        /// Prompt tokens that wait to be processed.
        pub prefill_backlog: Tokens,
        /// Prompt tokens processed a second.
        pub prefill: TokenRate,
        /// Tokens generated a second for one request.
        pub decode_per_request: TokenRate,
        /// Services that the endpoint has loaded.
        pub services: Vec<ServiceName>,
        /// The orders that it has loaded, with their versions; `None` if it does not tell
        /// them, so that placement leaves it alone.
        pub loads: Option<Vec<LoadOrder>>,
    }
}
