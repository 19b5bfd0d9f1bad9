//! What an entry is told.

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
    /// Why an attempt ended without a whole answer.
    pub enum AttemptFailure {
        /// The connection was refused or not made, so that nothing was sent.
        NotSent,
        /// The connection broke after something was sent.
        Reset,
        /// The endpoint answered with an error status.
        Status {
            /// HTTP status.
            status: u16,
            /// Message of the endpoint, shortened.
            message: CompactString,
        },
        /// The answer did not follow the protocol or ended early.
        Protocol {
            /// What was wrong.
            message: CompactString,
        },
        /// The request's time was over after something was sent.
        TimedOut,
        /// The endpoint does not know the stream that was to be resumed.
        UnknownStream,
    }

    /// What happens to an attempt.
    pub enum AttemptEvent {
        /// Bytes of the request are about to be written.
        Sent,
        /// The next events of the answer.
        Answer {
            /// Number of events that the attempt gave before these.
            from: EventIndex,
            /// The events.
            events: Vec<AnswerEvent>,
            /// The endpoint's own index of the last of them, if it gives one.
            #[serde(rename = "mark")]
            last_event_id: Option<EventIndex>,
        },
        /// The attempt ended without a whole answer.
        Failed(AttemptFailure),
    }

    /// What a link to a peer reports.
    pub enum LinkEvent {
        /// The peer's port refused the connection or the connection was reset.
        Refused,
        /// Nothing came over the connection for too long.
        Silent,
        /// A probe on a new connection was answered.
        ProbeAnswered,
        /// A probe on a new connection was not answered.
        ProbeSilent,
    }

    /// An operator's new configuration, already checked.
    pub struct ApplyRequest {
        /// Number that the answer repeats.
        pub token: u64,
        /// Revision that the operator started from.
        pub base: Revision,
        /// What the text says.
        pub system: Box<System>,
        /// Digest of the canonical text.
        pub digest: CompactString,
        /// Who applies it.
        pub operator: CompactString,
        /// Why.
        pub reason: CompactString,
        /// Number that the write is recognised by.
        pub nonce: u64,
    }

    /// What an entry is told.
    pub enum Event {
        /// Time has passed.
        Tick,
        /// A caller sent a request.
        Arrived {
            /// The caller's connection.
            caller: CallerId,
            /// The request.
            request: Arc<Request>,
        },
        /// A caller wants to go on with a request.
        Attach {
            /// The caller's connection.
            caller: CallerId,
            /// Request.
            id: RequestId,
            /// Customer that the caller is.
            customer: CustomerId,
            /// What the caller already has; `None` means nothing.
            position: Option<Position>,
        },
        /// A caller's connection is gone.
        CallerGone {
            /// The caller's connection.
            caller: CallerId,
        },
        /// A message from another daemon.
        Peer {
            /// Sender.
            from: DaemonId,
            /// The message.
            message: Box<Message>,
        },
        /// A link to another daemon changed.
        Link {
            /// The other daemon.
            daemon: DaemonId,
            /// What happened.
            event: LinkEvent,
        },
        /// A call to the key-value service ended.
        Store {
            /// The call.
            call: CallId,
            /// How it ended.
            outcome: StoreOutcome,
        },
        /// Something happened to an attempt.
        Attempt {
            /// The attempt.
            attempt: AttemptId,
            /// What happened.
            event: AttemptEvent,
        },
        /// A probe of an endpoint on a new connection ended.
        Probed {
            /// The endpoint.
            endpoint: EndpointId,
            /// How it ended.
            outcome: ProbeOutcome,
        },
        /// A poll of an endpoint's load ended.
        Polled {
            /// The endpoint.
            endpoint: EndpointId,
            /// How it ended.
            outcome: PollOutcome,
        },
        /// An endpoint told of its cache.
        Cache(CacheReport),
        /// The platform is about to take a VM.
        Notice(ReclaimNotice),
        /// The VM list was read.
        Vms(Vec<Vm>),
        /// An operator applies a configuration.
        Apply(ApplyRequest),
        /// An operator asks for a VM to be emptied.
        Drain {
            /// The VM.
            vm: VmId,
        },
        /// The process was asked to stop.
        Stop {
            /// When the VM is taken; `None` for a planned stop.
            deadline: Option<Timestamp>,
        },
    }

    /// How a poll of an endpoint's load ended.
    pub enum PollOutcome {
        /// The endpoint reported.
        Report(LoadReport),
        /// The endpoint's port refused the connection.
        Refused,
        /// No answer came in time.
        Silent,
    }
}

domain_value! {
    /// How a probe of an endpoint ended.
    #[serde(rename_all = "kebab-case")]
    pub enum ProbeOutcome {
        /// The endpoint answered.
        Alive,
        /// The endpoint's port refused the connection.
        Refused,
        /// No answer came in time.
        Silent,
    }
}

/// Longest time that a probe waits for an answer.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
