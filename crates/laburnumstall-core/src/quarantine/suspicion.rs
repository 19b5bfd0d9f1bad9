//! The message by which daemons share crashes, suspects and trials.

use crate::domain;
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

domain! {
    /// One daemon's report of the crash of an endpoint.
    pub struct CrashReport {
        /// Endpoint whose process crashed.
        pub endpoint: EndpointId,
        /// When the daemon noticed the crash.
        pub at: Timestamp,
        /// Daemon that noticed the crash.
        pub from: DaemonId,
        /// When the daemon began the last connection that the process accepted.
        pub reached_at: Option<Timestamp>,
        /// Requests of that daemon that were in flight on the endpoint.
        pub in_flight: Vec<Fingerprint>,
    }

    /// The platform reclaimed an endpoint's VM: its loss was no crash.
    pub struct Reclaim {
        /// Endpoint whose VM was reclaimed.
        pub endpoint: EndpointId,
        /// When a daemon was notified of the reclaim.
        pub at: Timestamp,
    }

    /// An endpoint answers again soon after its crash: its VM was not reclaimed.
    pub struct Return {
        /// Endpoint that answers.
        pub endpoint: EndpointId,
        /// When a daemon received the answer.
        pub at: Timestamp,
    }

    /// A suspect that ran to completion, or was released by an operator.
    pub struct Clearance {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Crashes and quarantines up to this time no longer count against it.
        pub at: Timestamp,
    }

    /// A quarantined request, which is not run again.
    pub struct QuarantineRecord {
        /// The request.
        pub fingerprint: Fingerprint,
        /// When it was quarantined.
        pub at: Timestamp,
    }

    /// A daemon's claim to retry a suspect; the earliest that has not ended is in force.
    pub struct TrialClaim {
        /// Fingerprint of the suspect.
        pub fingerprint: Fingerprint,
        /// Daemon that wants to retry it.
        pub by: DaemonId,
        /// When it was claimed; later than every claim that the daemon had received.
        pub at: Timestamp,
        /// Endpoint that runs the suspect, if the suspect ran before it was suspected.
        pub endpoint: Option<EndpointId>,
        /// Whether the daemon has given up the claim.
        pub is_ended: bool,
    }

    /// Message to peers, sent before a suspect is retried and when a suspect's state changes.
    #[derive(Default)]
    pub struct Suspicion {
        /// Crashes.
        pub reports: Vec<CrashReport>,
        /// Endpoints whose loss was a reclaim.
        pub reclaims: Vec<Reclaim>,
        /// Endpoints that answer again.
        pub returns: Vec<Return>,
        /// Suspects cleared.
        pub cleared: Vec<Clearance>,
        /// Requests quarantined.
        #[serde(rename = "convicted")]
        pub quarantined: Vec<QuarantineRecord>,
        /// Claims on retries of suspects, in force or ended.
        pub trials: Vec<TrialClaim>,
    }
}

impl Suspicion {
    /// Returns whether the message has no records.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
