//! What an entry wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::decision::Decision;
use crate::domain;
use crate::entry::ApplyOutcome;
use crate::ids::{AttemptId, CallId, CallerId, DaemonId, EndpointId, EventIndex};
use crate::message::{Delivery, Message};
use crate::request::Request;
use crate::store::StoreCall;
use crate::units::Tokens;

domain! {
    /// Where an attempt's stream is gone on with.
    pub struct StreamResume {
        /// The endpoint's own index of the last event that is there; `None` means all.
        pub after: Option<EventIndex>,
        /// Events of the attempt that are there.
        pub events: EventIndex,
        /// Tokens in those events.
        pub tokens: Tokens,
    }

    /// An attempt to begin or to go on with.
    pub struct DispatchOrder {
        /// The attempt.
        pub attempt: AttemptId,
        /// Endpoint.
        pub endpoint: EndpointId,
        /// Address of the endpoint.
        pub address: SocketAddr,
        /// The request.
        pub request: Arc<Request>,
        /// Answer text that was generated before this attempt.
        pub generated: CompactString,
        /// Tokens in that text.
        pub generated_tokens: Tokens,
        /// Where the endpoint's stream is gone on with; `None` begins the attempt.
        pub resume: Option<StreamResume>,
        /// Time left until the request's deadline.
        pub remaining: Duration,
    }

    /// What an entry wants done.
    pub enum Action {
        /// Send a message to another daemon.
        Send {
            /// Receiver.
            to: DaemonId,
            /// Address of its peer port.
            address: SocketAddr,
            /// The message.
            message: Box<Message>,
        },
        /// Call the key-value service.
        Store {
            /// Number that the outcome repeats.
            id: CallId,
            /// The call.
            call: StoreCall,
        },
        /// Give something to a caller connected here.
        Deliver {
            /// The caller's connection.
            caller: CallerId,
            /// What it is given.
            delivery: Delivery,
        },
        /// Begin an attempt or go on with one.
        Dispatch(DispatchOrder),
        /// End an attempt; the endpoint stops generating.
        Cancel {
            /// The attempt.
            attempt: AttemptId,
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Let go of an attempt whose stream goes on for another daemon.
        Abandon {
            /// The attempt.
            attempt: AttemptId,
        },
        /// Ask an endpoint for a sign of life on a new connection.
        Probe {
            /// Endpoint.
            endpoint: EndpointId,
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Drop all pooled connections to an endpoint.
        DropConnections {
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Ask an endpoint for its load.
        Poll {
            /// Endpoint.
            endpoint: EndpointId,
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Ask a peer for a sign of life on a new connection.
        ProbePeer {
            /// Daemon.
            daemon: DaemonId,
            /// Address of its peer port.
            address: SocketAddr,
        },
        /// Use a new connection to a peer from now on.
        ReplaceLink {
            /// Daemon.
            daemon: DaemonId,
        },
        /// Tell an operator what became of an applied configuration.
        Applied {
            /// Number of the request.
            token: u64,
            /// What became of it.
            outcome: ApplyOutcome,
        },
        /// Everything is handed over or finished: the process can exit.
        Exit,
    }
}

/// What one call of an entry returns.
#[derive(Debug, Default)]
pub struct Output {
    /// What has to be done, in order.
    pub actions: Vec<Action>,
    /// What was decided, in order.
    pub decisions: Vec<Decision>,
}
