//! Attempts by number, and load reports of endpoints with a maximum batch of 16.

use laburnumstall_core::prelude::*;

use crate::endpoint::{daemon, endpoint};

/// Returns the first attempt of the request with the given number.
pub(crate) fn attempt(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId {
            owner: daemon(1),
            sequence: number,
            lookup_hash: LookupHash(0),
        },
        number: 1,
    }
}

/// Returns a load report of the endpoint with the given number.
pub(crate) fn load(number: u64, sequence: u64, taken_at: Timestamp, running: u32) -> LoadReport {
    LoadReport {
        endpoint: endpoint(number).id,
        sequence,
        taken_at,
        running,
        waiting: 0,
        batch: 16,
        prefill_backlog: Tokens(0),
        prefill: TokenRate(8_000),
        decode_per_request: TokenRate(25),
        services: endpoint(number).services,
        loads: None,
    }
}
