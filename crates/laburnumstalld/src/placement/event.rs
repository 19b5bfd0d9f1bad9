//! Outcomes of placement's external calls.

use std::net::SocketAddr;

use laburnumstall_core::cloud::{CallFailure, CloudReply, OrderId, OrderReply};
use laburnumstall_core::ids::{CallId, VmId};
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::store::StoreOutcome;
use laburnumstall_core::units::Timestamp;

/// An endpoint's load report, with the time at which it was requested.
#[derive(Debug)]
pub struct LoadReading {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time at which the call started.
    pub started_at: Timestamp,
    /// The endpoint's report.
    pub report: LoadReport,
}

/// Outcome of an external call of placement.
#[derive(Debug)]
pub enum PlacementEvent {
    /// A call to the key-value service ended.
    Store {
        /// Id of the call.
        id: CallId,
        /// Result of the call.
        outcome: StoreOutcome,
    },
    /// A call to the cloud API ended.
    Cloud {
        /// Id of the call.
        id: CallId,
        /// Reply or failure.
        outcome: Result<CloudReply, CallFailure>,
    },
    /// An order was answered, or its connection was closed.
    Ordered {
        /// Id of the order.
        id: OrderId,
        /// Reply or failure.
        outcome: Result<OrderReply, CallFailure>,
    },
    /// An endpoint reported its load.
    Loaded(Box<LoadReading>),
    /// Reading an endpoint's load failed.
    ReadFailed {
        /// VM of the endpoint.
        vm: VmId,
    },
}
