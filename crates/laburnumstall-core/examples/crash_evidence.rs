//! What evidence of crashes costs at the target's size: bytes for each crash and each
//! quarantine, and processor time for each request.

use std::hint::black_box;
use std::time::{Duration, Instant};

use laburnumstall_core::gateway::{
    BodyDigest, PeerMessage, ProcessCrash, QuarantineUpdate, SuspectHold,
};
use laburnumstall_core::hash::digest64;
use laburnumstall_core::ids::Fingerprint;
use laburnumstall_core::quarantine::{CrashTally, NamedRequests, ProcessKey, Suspect, SuspectNote};
use laburnumstall_core::units::Timestamp;

/// Daemons of the target.
const DAEMONS: usize = 880;
/// Requests in flight on an endpoint, each of another daemon.
const IN_FLIGHT: usize = 64;
/// Peers that count for one suspect.
const COPIES: usize = 3;
/// Suspects of a request with two shared parts in its prompt.
const SUSPECTS: usize = 3;
/// Bytes of a message's headers, with encryption.
const HEADER_BYTES: usize = 96;
/// Bytes of a body that is digested.
const BODY_BYTES: usize = 12_000;
/// Repetitions of a measurement.
const ROUNDS: u64 = 100_000;

fn main() {
    let note = |number: u64| SuspectNote {
        suspect: Suspect::Part(hash(number)),
        requests: NamedRequests([1, 2, 3].map(|other| Some(hash(number + other)))),
        ran_ms: 4_000,
        depth: 2,
        has_completed: true,
    };
    let crash = QuarantineUpdate {
        crashes: vec![ProcessCrash {
            process: ProcessKey(hash(1).0),
            age_ms: 20,
            suspects: vec![note(2)],
        }],
        ..QuarantineUpdate::default()
    };
    let report = size(crash) + HEADER_BYTES;
    let of_fleet = report * IN_FLIGHT * SUSPECTS * COPIES;
    println!(
        "crash: {report} bytes for one suspect, {} for each daemon",
        of_fleet / DAEMONS
    );
    let hold = QuarantineUpdate {
        holds: vec![SuspectHold {
            suspect: Suspect::Part(hash(3)),
            depth: 1,
            since_ms: 4_000,
            crashes: 5,
            remaining_s: 600,
            processes: (0..5).map(|number| ProcessKey(hash(number).0)).collect(),
        }],
        ..QuarantineUpdate::default()
    };
    let message = size(hold) + HEADER_BYTES;
    println!(
        "quarantine: {message} bytes, {} from each daemon that decides",
        message * (DAEMONS - 1)
    );
    println!("digest of {BODY_BYTES} bytes: {:?}", digest_time());
    println!("completion of one suspect: {:?}", completion_time());
}

fn hash(number: u64) -> Fingerprint {
    Fingerprint(digest64(&[&number.to_le_bytes()]))
}

fn size(update: QuarantineUpdate) -> usize {
    let bytes = postcard::to_allocvec(&PeerMessage::Quarantine(update));
    bytes.map_or(0, |bytes| bytes.len())
}

fn digest_time() -> Duration {
    let body = vec![7; BODY_BYTES];
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(BodyDigest::of(black_box(&body)));
    }
    start.elapsed() / ROUNDS as u32
}

/// Measures a completion with its hash, among as many others as a daemon sees in a minute.
fn completion_time() -> Duration {
    let mut tally = CrashTally::default();
    let start = Instant::now();
    for number in 0..ROUNDS {
        let suspect = Suspect::Part(hash(number % 5_600));
        let now = Timestamp::from_millis(number);
        black_box(tally.on_completed(now, suspect));
    }
    start.elapsed() / ROUNDS as u32
}
