//! Rendezvous hashing and short digests.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998) lets every daemon with the same
//! view pick the same members for a key, and moves few keys when the view changes.

use std::hash::Hasher;

use crate::ids::{CustomerId, Fingerprint, HomeHash, IdempotencyKey, ServiceName};

/// Returns the first eight bytes of the BLAKE3 digest of `parts`, each with its length.
pub fn digest64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Mixes a key and a member's hash into the member's weight for the key.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    // Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    let mut x = key ^ member.rotate_left(32) ^ member.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hash under which keyed requests are found.
pub fn home_of_key(customer: &CustomerId, service: &ServiceName, key: &IdempotencyKey) -> HomeHash {
    let parts = [
        customer.as_str().as_bytes(),
        service.as_str().as_bytes(),
        key.as_str().as_bytes(),
    ];
    HomeHash(digest64(&parts) as u32)
}

/// Returns the fingerprint of a request: equal for equal customer, service, path and body.
pub fn fingerprint(
    customer: &CustomerId,
    service: &ServiceName,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let parts = [
        customer.as_str().as_bytes(),
        service.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ];
    Fingerprint(digest64(&parts))
}

/// A running checksum over the events of a stream.
#[derive(Debug, Clone, Default)]
pub struct StreamChecksum(crc32fast::Hasher);

impl StreamChecksum {
    /// Adds one event.
    pub fn add(&mut self, event: &[u8]) {
        self.0.write_u32(event.len() as u32);
        self.0.update(event);
    }

    /// Returns the checksum of all events so far.
    pub fn value(&self) -> u32 {
        self.0.clone().finalize()
    }
}
