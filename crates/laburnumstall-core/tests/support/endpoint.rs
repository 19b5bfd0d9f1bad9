//! Daemons and endpoints by number.

use laburnumstall_core::prelude::*;

/// Returns the daemon with the given number.
pub(crate) fn daemon(number: u64) -> DaemonId {
    DaemonId {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

/// Returns the endpoint with the given number; endpoints cycle through three zones.
pub(crate) fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        id: format!("ep-{number:04}").parse().unwrap(),
        vm: format!("gpu-{number}").parse().unwrap(),
        zone: format!("zone-{}", number % 3).parse().unwrap(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        services: vec!["clerk".parse().unwrap()],
    }
}
