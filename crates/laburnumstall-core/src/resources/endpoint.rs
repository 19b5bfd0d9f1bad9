//! Endpoints: backend processes and the load that they report.

use std::net::SocketAddr;

use crate::cloud::LoadOrder;
use crate::domain;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName, VmId};
use crate::units::{Timestamp, TokenRate, Tokens};

domain! {
    /// A backend process that handles requests of the services that it has loaded.
    pub struct Endpoint {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// VM on which it runs.
        pub vm: VmId,
        /// Zone of that VM.
        pub zone: AvailabilityZone,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
        /// Services whose model, adapter and version it has loaded.
        pub services: Vec<ServiceName>,
    }

    /// A load report of an endpoint; it arrives with a delay.
    pub struct LoadReport {
        /// Endpoint that reports.
        pub endpoint: EndpointId,
        /// Sequence number of the report; gaps indicate lost reports.
        pub sequence: u64,
        /// When the endpoint measured the load.
        pub taken_at: Timestamp,
        /// Requests in the running batch.
        pub running: u32,
        /// Requests waiting to join the batch.
        pub waiting: u32,
        /// Maximum number of requests in the batch.
        pub batch: u32,
        /// Prompt tokens waiting for prefill.
        pub prefill_backlog: Tokens,
        /// Prefill rate in prompt tokens per second.
        pub prefill: TokenRate,
        /// Tokens generated per second for one request.
        pub decode_per_request: TokenRate,
        /// Services that the endpoint has loaded.
        pub services: Vec<ServiceName>,
        /// Models that it has loaded, with their versions; `None` if the endpoint does not
        /// report them, in which case placement sends it no orders.
        pub loads: Option<Vec<LoadOrder>>,
    }
}
