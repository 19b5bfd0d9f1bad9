//! Events that the daemon passes to its entry.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::cloud::ReclaimNotice;
use crate::ids::{
    AttemptId, CallId, CallerId, CustomerId, DaemonId, EndpointId, EventIndex, RequestId, Revision,
    VmId,
};
use crate::message::{Message, Position};
use crate::request::{AnswerEvent, Request};
use crate::resources::{LoadReport, System, Vm};
use crate::routing::CacheReport;
use crate::store::StoreOutcome;
use crate::units::Timestamp;
use crate::{domain, domain_value};

domain! {
    /// Why an attempt ended without a complete answer.
    pub enum AttemptFailure {
        /// The connection was refused or not established, so nothing was sent.
        NotSent,
        /// The connection failed after something was sent.
        Reset,
        /// The endpoint responded with an error status.
        Status {
            /// HTTP status code.
            status: u16,
            /// Endpoint's error message, shortened.
            message: CompactString,
        },
        /// The answer did not follow the protocol or ended early.
        Protocol {
            /// Description of the violation.
            message: CompactString,
        },
        /// The request's deadline passed after something was sent.
        TimedOut,
        /// The endpoint does not know the stream to resume.
        UnknownStream,
    }

    /// Progress or failure of an attempt.
    pub enum AttemptEvent {
        /// Bytes of the request are about to be written.
        Sent,
        /// A batch of answer events.
        Answer {
            /// Number of events that the attempt produced before these.
            from: EventIndex,
            /// Events of the batch, in order.
            events: Vec<AnswerEvent>,
            /// Event ID that the endpoint assigned to the last event, if any.
            #[serde(rename = "mark")]
            last_event_id: Option<EventIndex>,
        },
        /// The attempt ended without a complete answer.
        Failed(AttemptFailure),
    }

    /// Change in the state of a connection to a peer.
    pub enum LinkEvent {
        /// The peer's port refused the connection or the connection was reset.
        Refused,
        /// Nothing was received on the connection for too long.
        Silent,
        /// A probe on a new connection was answered.
        ProbeAnswered,
        /// A probe on a new connection was not answered.
        ProbeSilent,
    }

    /// An operator's new configuration, already validated.
    pub struct ApplyRequest {
        /// Token that the [`Action::Applied`](crate::entry::Action::Applied) carries.
        pub token: u64,
        /// Revision that the operator edited.
        pub base: Revision,
        /// System described by the configuration file.
        pub system: Box<System>,
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// Operator who applies it.
        pub operator: CompactString,
        /// Operator's reason for the change.
        pub reason: CompactString,
        /// Nonce that identifies the write.
        pub nonce: u64,
    }

    /// An input to an entry.
    pub enum Event {
        /// The tick interval has elapsed.
        Tick,
        /// A caller sent a request.
        Arrived {
            /// Identifier of the caller's connection.
            caller: CallerId,
            /// Request to accept.
            request: Arc<Request>,
        },
        /// A caller attaches to an existing request.
        Attach {
            /// Identifier of the caller's connection.
            caller: CallerId,
            /// Request to attach to.
            id: RequestId,
            /// Customer that the caller authenticated as.
            customer: CustomerId,
            /// Position up to which the caller has the answer; `None` delivers from the start.
            position: Option<Position>,
        },
        /// A caller disconnected.
        CallerGone {
            /// Identifier of the caller's connection.
            caller: CallerId,
        },
        /// A peer sent a message.
        Peer {
            /// Sender.
            from: DaemonId,
            /// Received message.
            message: Box<Message>,
        },
        /// A connection to a peer changed state.
        Link {
            /// Peer at the other end.
            daemon: DaemonId,
            /// The change.
            event: LinkEvent,
        },
        /// A call to the key-value service completed.
        Store {
            /// Identifier of the call.
            call: CallId,
            /// Reply or failure.
            outcome: StoreOutcome,
        },
        /// An attempt made progress or failed.
        Attempt {
            /// Identifier of the attempt.
            attempt: AttemptId,
            /// The progress or failure.
            event: AttemptEvent,
        },
        /// A probe of an endpoint on a new connection completed.
        Probed {
            /// Probed endpoint.
            endpoint: EndpointId,
            /// Result of the probe.
            outcome: ProbeOutcome,
        },
        /// A poll of an endpoint's load completed.
        Polled {
            /// Polled endpoint.
            endpoint: EndpointId,
            /// Result of the poll.
            outcome: PollOutcome,
        },
        /// An endpoint reported changes of its prefix cache.
        Cache(CacheReport),
        /// The platform announced that it will reclaim a VM.
        Notice(ReclaimNotice),
        /// The VM list was read.
        Vms(Vec<Vm>),
        /// An operator applies a configuration.
        Apply(ApplyRequest),
        /// An operator drains a VM.
        Drain {
            /// VM to drain.
            vm: VmId,
        },
        /// The process was asked to stop.
        Stop {
            /// When the VM is reclaimed; `None` for a planned stop.
            deadline: Option<Timestamp>,
        },
    }

    /// Result of polling an endpoint's load.
    pub enum PollOutcome {
        /// The endpoint returned its load.
        Report(LoadReport),
        /// The endpoint's port refused the connection.
        Refused,
        /// No response arrived in time.
        Silent,
    }
}

domain_value! {
    /// Result of probing an endpoint.
    #[serde(rename_all = "kebab-case")]
    pub enum ProbeOutcome {
        /// The endpoint responded.
        Alive,
        /// The endpoint's port refused the connection.
        Refused,
        /// No response arrived in time.
        Silent,
    }
}

/// Time after which an unanswered probe counts as silent.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
