//! Actions that an entry requests from its daemon.

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
    /// Point from which an attempt's stream is resumed.
    pub struct StreamResume {
        /// Event ID that the endpoint assigned to the last received event; `None` requests all
        /// events.
        pub after: Option<EventIndex>,
        /// Number of events of the attempt received so far.
        pub events: EventIndex,
        /// Tokens in those events.
        pub tokens: Tokens,
    }

    /// An order to start or resume an attempt.
    pub struct DispatchOrder {
        /// Identifier of the attempt.
        pub attempt: AttemptId,
        /// Endpoint that runs the attempt.
        pub endpoint: EndpointId,
        /// Address of the endpoint.
        pub address: SocketAddr,
        /// Request to send.
        pub request: Arc<Request>,
        /// Answer text generated before this attempt.
        pub generated: CompactString,
        /// Tokens in that text.
        pub generated_tokens: Tokens,
        /// Where to resume the endpoint's stream; `None` starts a new attempt.
        pub resume: Option<StreamResume>,
        /// Time left until the request's deadline.
        pub remaining: Duration,
    }

    /// An operation that the daemon executes for its entry.
    pub enum Action {
        /// Send a message to a peer.
        Send {
            /// Recipient.
            to: DaemonId,
            /// Address of the recipient's peer port.
            address: SocketAddr,
            /// Message to send.
            message: Box<Message>,
        },
        /// Call the key-value service.
        Store {
            /// Identifier that the outcome carries.
            id: CallId,
            /// Call to make.
            call: StoreCall,
        },
        /// Deliver something to a caller connected to this daemon.
        Deliver {
            /// The caller's connection.
            caller: CallerId,
            /// What to deliver.
            delivery: Delivery,
        },
        /// Start or resume an attempt.
        Dispatch(DispatchOrder),
        /// Cancel an attempt; the endpoint stops generating.
        Cancel {
            /// Attempt to cancel.
            attempt: AttemptId,
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Stop reading an attempt's stream, which the request's new owner resumes.
        Abandon {
            /// Attempt to abandon.
            attempt: AttemptId,
        },
        /// Probe an endpoint on a new connection.
        Probe {
            /// Endpoint to probe.
            endpoint: EndpointId,
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Close all pooled connections to an endpoint.
        DropConnections {
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Poll an endpoint's load.
        Poll {
            /// Endpoint to poll.
            endpoint: EndpointId,
            /// Address of the endpoint.
            address: SocketAddr,
        },
        /// Probe a peer on a new connection.
        ProbePeer {
            /// Peer to probe.
            daemon: DaemonId,
            /// Address of its peer port.
            address: SocketAddr,
        },
        /// Replace the connection to a peer.
        ReplaceLink {
            /// Peer at the other end.
            daemon: DaemonId,
        },
        /// Report the outcome of an apply to the operator.
        Applied {
            /// Token of the [`ApplyRequest`](crate::entry::ApplyRequest).
            token: u64,
            /// Outcome of the apply.
            outcome: ApplyOutcome,
        },
        /// Exit the process; every request is handed over or finished.
        Exit,
    }
}

/// Result of handling one event.
#[derive(Debug, Default)]
pub struct Output {
    /// Actions to execute, in order.
    pub actions: Vec<Action>,
    /// Decision records to log, in order.
    pub decisions: Vec<Decision>,
}
