//! Identifiers and a crash for the quarantine tests.

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{Quarantine, Suspicion};

pub(crate) const POISON: Fingerprint = Fingerprint(666);

pub(crate) fn daemon(number: u64) -> DaemonId {
    DaemonId {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

pub(crate) fn endpoint(number: u64) -> EndpointId {
    format!("ep-{number}").parse().unwrap()
}

pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub(crate) fn crash(
    quarantine: &mut Quarantine,
    now: Timestamp,
    number: u64,
    in_flight: &[Fingerprint],
) -> Option<Suspicion> {
    quarantine.on_crash(
        now,
        &endpoint(number),
        None,
        in_flight,
        &mut Journal::default(),
    )
}
