//! Messages between the daemons.
//!
//! `laburnumstall-peer` carries them; [`Message::lane`] says which of a link's two ordered
//! lanes one takes. Acceptance copies, appended events and ownership changes share a lane,
//! so that a standby sees them in the order in which the owner sent them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::adoption::{ConfigurationChange, ConfigurationId};
use crate::domain;
use crate::domain_value;
use crate::error::Refusal;
use crate::hash::StreamChecksum;
use crate::ids::{
    CallerId, CustomerId, DaemonId, EndpointId, Epoch, EventIndex, Fingerprint, IdempotencyKey,
    RequestId, Revision, ServiceName,
};
use crate::limits::LimitShare;
use crate::membership::{Member, MemberDigest};
use crate::quarantine::Suspicion;
use crate::request::{AnswerEvent, Dialect, Request};
use crate::resources::{Configuration, LoadReport};
use crate::units::{Timestamp, Tokens};
use crate::watch::LoadDigest;

domain_value! {
    /// Ordered lane of a link.
    pub enum Lane {
        /// Small messages that must not wait.
        Control,
        /// Copies and answers.
        Bulk,
    }

    /// A point in a stream of answer events.
    pub struct Position {
        /// Index of the next event.
        pub index: EventIndex,
        /// Checksum of all events before it.
        pub checksum: u32,
    }
}

impl fmt::Display for Lane {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Control => "control",
            Self::Bulk => "bulk",
        })
    }
}

impl Position {
    /// The beginning of a stream.
    pub const START: Self = Self {
        index: EventIndex(0),
        checksum: 0,
    };

    /// Returns the position after `events`.
    pub fn after(self, events: &[AnswerEvent]) -> Self {
        let mut checksum = StreamChecksum::resume(self.checksum);
        for event in events {
            checksum.add(event);
        }
        Self {
            index: EventIndex(self.index.0 + events.len() as u64),
            checksum: checksum.value(),
        }
    }
}

domain! {
    /// A caller's connection at one daemon.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CallerRef {
        /// Daemon that the caller is connected to.
        pub daemon: DaemonId,
        /// Number of the connection there.
        pub caller: CallerId,
    }

    /// Where an attempt runs or ran.
    #[derive(Eq)]
    pub struct AttemptLocation {
        /// Number of the attempt.
        pub attempt: u32,
        /// Endpoint.
        pub endpoint: EndpointId,
        /// Address of the endpoint.
        pub address: SocketAddr,
        /// Index of the first event that the attempt gives.
        pub first_event: EventIndex,
        /// The endpoint's own index of the last event that is there; its stream is resumed
        /// behind it.
        #[serde(rename = "mark")]
        pub last_event_id: Option<EventIndex>,
    }

    /// Everything that a daemon needs to go on with a request.
    pub struct RequestRecord {
        /// Name of the request.
        pub id: RequestId,
        /// Ownership that the record belongs to.
        pub epoch: Epoch,
        /// Daemon that owns the request in that epoch.
        pub owner: DaemonId,
        /// The request.
        pub request: Arc<Request>,
        /// When it was accepted.
        pub accepted_at: Timestamp,
        /// Attempts begun so far.
        pub attempts: u32,
        /// Where the last attempt runs.
        #[serde(rename = "place")]
        pub location: Option<AttemptLocation>,
        /// Events of the answer so far.
        pub events: Vec<AnswerEvent>,
    }

    /// Why a standby does not take what an owner sends.
    pub enum CopyRefusal {
        /// Another daemon owns the request now.
        Superseded {
            /// The present owner, if known.
            owner: DaemonId,
            /// Its epoch.
            epoch: Epoch,
        },
        /// The standby lacks earlier parts.
        Incomplete,
        /// The standby is leaving.
        Leaving,
    }

    /// What a caller is given.
    pub enum Delivery {
        /// The request is accepted under this name.
        Accepted {
            /// Name of the request.
            request: RequestId,
            /// Service that answers it.
            service: ServiceName,
            /// Interface that it came by.
            dialect: Dialect,
        },
        /// The next events of the answer.
        Events {
            /// Position of the first event.
            from: Position,
            /// The events.
            events: Vec<AnswerEvent>,
        },
        /// Another daemon owns the request; the caller's daemon attaches there.
        Moved {
            /// The owner.
            owner: DaemonId,
        },
        /// The request is not accepted, or the attachment is not possible.
        Refused(Refusal),
    }

    /// What is looked for among the daemons.
    pub enum LocateTarget {
        /// A request by name.
        Request(RequestId),
        /// The request that runs under an idempotency key.
        Key {
            /// Customer that sent the key.
            customer: CustomerId,
            /// Service that was asked.
            service: ServiceName,
            /// The key.
            key: IdempotencyKey,
        },
    }

    /// A request that was found.
    pub struct Located {
        /// Name of the request.
        pub request: RequestId,
        /// Daemon that owns it.
        pub owner: DaemonId,
        /// Epoch of that ownership.
        pub epoch: Epoch,
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
    }

    /// A configuration with where it came from.
    pub struct ConfigurationRecord {
        /// The configuration.
        pub configuration: Configuration,
        /// Who applied it.
        pub operator: CompactString,
        /// When it was applied.
        pub at: Timestamp,
        /// Why it was applied.
        pub reason: CompactString,
        /// Number that the applying daemon recognises its own write by.
        pub nonce: u64,
    }

    /// A message from one daemon to another.
    pub enum Message {
        /// The sender is alive.
        Heartbeat {
            /// The sender, as it registers itself.
            member: Member,
            /// Revision of the configuration in force there; zero if there is none.
            revision: Revision,
            /// What the sender thinks of the other daemons.
            digest: MemberDigest,
        },
        /// The sender has finished and exits.
        Goodbye,
        /// Asks the standby to keep a request.
        Copy(Box<RequestRecord>),
        /// Gives the standby more events.
        Append {
            /// Request.
            id: RequestId,
            /// Epoch of the sender's ownership.
            epoch: Epoch,
            /// Index of the first event.
            from: EventIndex,
            /// The events.
            events: Vec<AnswerEvent>,
            /// Attempts begun so far.
            attempts: u32,
            /// Where the last attempt runs.
            #[serde(rename = "place")]
            location: Option<AttemptLocation>,
        },
        /// The standby holds the request and all events before the index.
        CopyAck {
            /// Request.
            id: RequestId,
            /// Epoch that is acknowledged.
            epoch: Epoch,
            /// Number of events held.
            through: EventIndex,
        },
        /// The standby does not take the request or the events.
        CopyRefused {
            /// Request.
            id: RequestId,
            /// Epoch that is refused.
            epoch: Epoch,
            /// Why.
            refusal: CopyRefusal,
        },
        /// The standby can forget the request.
        Drop {
            /// Request.
            id: RequestId,
            /// Epoch of the sender's ownership.
            epoch: Epoch,
        },
        /// The standby has forgotten the request, or never had it.
        DropAck {
            /// Request.
            id: RequestId,
            /// Epoch that was dropped.
            epoch: Epoch,
        },
        /// The owner leaves: the standby takes the request over.
        HandOver {
            /// Request.
            id: RequestId,
            /// Epoch of the sender's ownership.
            epoch: Epoch,
            /// Callers attached at the sender.
            callers: Vec<HandoverCaller>,
        },
        /// The sender has taken the request over.
        TakenOver {
            /// Request.
            id: RequestId,
            /// Epoch of the sender's ownership.
            epoch: Epoch,
        },
        /// Asks who owns a request.
        Locate {
            /// Number that the answer repeats.
            token: u64,
            /// What is looked for.
            target: LocateTarget,
        },
        /// Answers [`Message::Locate`].
        LocateAnswer {
            /// Number of the question.
            token: u64,
            /// What was found.
            found: Option<Located>,
        },
        /// Attaches a caller of the sender to a request of the receiver.
        Attach {
            /// Caller's connection at the sender.
            caller: CallerId,
            /// Request.
            id: RequestId,
            /// Customer that the caller is.
            customer: CustomerId,
            /// What the caller already has; `None` means nothing.
            position: Option<Position>,
        },
        /// The caller is gone.
        Detach {
            /// Caller's connection at the sender.
            caller: CallerId,
            /// Request that it was attached to, if known.
            id: Option<RequestId>,
        },
        /// Passes on a caller's request, since the sender leaves.
        Forward {
            /// Caller's connection at the sender.
            caller: CallerId,
            /// The request.
            request: Arc<Request>,
        },
        /// Something for a caller of the receiver.
        Deliver {
            /// Caller's connection at the receiver.
            caller: CallerId,
            /// What it is given.
            delivery: Delivery,
        },
        /// Requests that may crash endpoints.
        Suspect(Suspicion),
        /// How the sender uses the customers' limits.
        Limits(LimitShare),
        /// Whole load reports of endpoints that the sender watches.
        Loads(Vec<LoadReport>),
        /// An endpoint of the given list gets no new work.
        EndpointLeaving {
            /// Endpoint.
            endpoint: EndpointId,
            /// When it stops, if known.
            deadline: Option<Timestamp>,
        },
        /// An operator asks the receiver to stop as planned.
        Drain,
        /// Asks for the configuration in force at the receiver.
        PullConfiguration {
            /// What is in force at the sender, if anything is.
            known: Option<ConfigurationId>,
        },
        /// The configuration in force at the sender.
        PushConfiguration(Box<ConfigurationRecord>),
        /// The changes up to the configuration in force at the sender, the oldest first.
        PushChanges(Vec<ConfigurationChange>),
        /// The endpoints whose loads the sender wants to hear from the receiver, in place of
        /// those that it asked for before.
        Subscribe(Vec<EndpointId>),
        /// Loads of endpoints that the sender watches.
        LoadDigest(LoadDigest),
        /// An endpoint refused a connection of the sender.
        EndpointRefused {
            /// Endpoint.
            endpoint: EndpointId,
        },
    }

    /// A caller that goes on with a request at its new owner.
    pub struct HandoverCaller {
        /// The caller's connection.
        pub caller: CallerRef,
        /// What it was already given.
        pub position: Position,
    }
}

impl Message {
    /// Returns the lane that the message takes.
    pub fn lane(&self) -> Lane {
        match self {
            Self::Copy(_)
            | Self::Append { .. }
            | Self::Drop { .. }
            | Self::HandOver { .. }
            | Self::Forward { .. }
            | Self::Deliver { .. }
            | Self::Attach { .. }
            | Self::Detach { .. }
            | Self::PushConfiguration(_)
            | Self::PushChanges(_) => Lane::Bulk,
            _ => Lane::Control,
        }
    }
}

impl RequestRecord {
    /// Tells whether the answer is complete or has failed.
    pub fn is_done(&self) -> bool {
        self.events.last().is_some_and(AnswerEvent::is_last)
    }

    /// Returns what a caller is told when it is attached.
    pub fn acceptance(&self) -> Delivery {
        Delivery::Accepted {
            request: self.id.clone(),
            service: self.request.service.clone(),
            dialect: self.request.dialect,
        }
    }

    /// Returns the number of tokens generated so far.
    pub fn generated(&self) -> Tokens {
        let tokens = self.events.iter().map(AnswerEvent::tokens);
        Tokens(tokens.map(u64::from).sum())
    }

    /// Returns the position before the event at `index`, or `None` past the end.
    pub fn position(&self, index: usize) -> Option<Position> {
        let before = self.events.get(..index)?;
        Some(Position::START.after(before))
    }
}
