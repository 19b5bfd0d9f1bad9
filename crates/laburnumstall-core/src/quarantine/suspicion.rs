//! The message by which daemons tell each other of crashes and suspects.

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
        /// Requests of that daemon that were in flight on the endpoint.
        pub in_flight: Vec<Fingerprint>,
    }

    /// A suspect that finished whole, or was released by an operator.
    pub struct Clearance {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Crashes up to this time no longer count against it.
        pub at: Timestamp,
    }

    /// A request that is not run again.
    pub struct Conviction {
        /// The request.
        pub fingerprint: Fingerprint,
        /// When it was convicted.
        pub at: Timestamp,
    }

    /// What peers are told before a suspect is retried.
    pub struct Suspicion {
        /// Crashes.
        pub reports: Vec<CrashReport>,
        /// Suspects cleared since.
        pub cleared: Vec<Clearance>,
        /// Requests convicted.
        pub convicted: Vec<Conviction>,
    }
}
