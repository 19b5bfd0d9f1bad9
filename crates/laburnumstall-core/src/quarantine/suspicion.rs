//! The message by which daemons tell each other of crashes, suspects and trials.

use crate::domain;
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

domain! {
    /// One daemon's notice of the crash of an endpoint.
    pub struct CrashReport {
        /// Endpoint whose process crashed.
        pub endpoint: EndpointId,
        /// When the daemon noticed.
        pub at: Timestamp,
        /// Daemon that noticed.
        pub from: DaemonId,
        /// When the daemon began the last connection that the process accepted.
        pub reached_at: Option<Timestamp>,
        /// Requests of that daemon that were in flight on the endpoint.
        pub in_flight: Vec<Fingerprint>,
    }

    /// The platform took an endpoint's VM back: its end was no crash.
    pub struct Reclaim {
        /// Endpoint that was taken.
        pub endpoint: EndpointId,
        /// When a daemon learnt of it.
        pub at: Timestamp,
    }

    /// An endpoint answers again soon after its crash: its VM was not taken.
    pub struct Return {
        /// Endpoint that answers.
        pub endpoint: EndpointId,
        /// When a daemon noticed.
        pub at: Timestamp,
    }

    /// A suspect that finished whole, or was released by an operator.
    pub struct Clearance {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Crashes and convictions up to this time no longer count against it.
        pub at: Timestamp,
    }

    /// A request that is not run again.
    pub struct QuarantineRecord {
        /// The request.
        pub fingerprint: Fingerprint,
        /// When it was convicted.
        pub at: Timestamp,
    }

    /// A daemon's wish to retry a suspect; the earliest that has not ended holds.
    pub struct TrialClaim {
        /// The suspect.
        pub fingerprint: Fingerprint,
        /// Daemon that wants to retry it.
        pub by: DaemonId,
        /// When it was claimed; later than every claim that the daemon knew.
        pub at: Timestamp,
        /// Endpoint that it runs on, if it ran before it was suspected.
        pub endpoint: Option<EndpointId>,
        /// Whether the daemon no longer wants it.
        pub is_ended: bool,
    }

    /// What peers are told before a suspect is retried, and what became of suspects.
    #[derive(Default)]
    pub struct Suspicion {
        /// Crashes.
        pub reports: Vec<CrashReport>,
        /// Endpoints whose end was a reclaim.
        pub reclaims: Vec<Reclaim>,
        /// Endpoints that answer again.
        pub returns: Vec<Return>,
        /// Suspects cleared.
        pub cleared: Vec<Clearance>,
        /// Requests convicted.
        pub convicted: Vec<QuarantineRecord>,
        /// Retries of suspects that are wanted or have ended.
        pub trials: Vec<TrialClaim>,
    }
}

impl Suspicion {
    /// Tells whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
