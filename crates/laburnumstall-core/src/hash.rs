//! Rendezvous hashing, short digests and stream checksums.
//!
//! With rendezvous hashing (Thaler and Ravishankar, 1998), all daemons with the same view
//! select the same members for a key, and few keys move when the view changes.

use crate::ids::{CustomerId, Fingerprint, IdempotencyKey, LookupHash, ServiceName};
use crate::request::AnswerEvent;

/// Returns the first 8 bytes of the BLAKE3 digest of the length-prefixed `parts`.
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

/// Returns a member's rendezvous weight for a key, from the key and the member's hash.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    // Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    let mut x = key ^ member.rotate_left(32) ^ member.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the lookup hash of requests with an idempotency key.
pub fn lookup_hash_of_key(
    customer: &CustomerId,
    service: &ServiceName,
    key: &IdempotencyKey,
) -> LookupHash {
    let parts = [
        customer.as_str().as_bytes(),
        service.as_str().as_bytes(),
        key.as_str().as_bytes(),
    ];
    LookupHash(digest64(&parts) as u32)
}

/// Returns the fingerprint of a request, a hash of customer, service, path and body.
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
    /// Resumes from the checksum of the preceding events.
    pub fn resume(value: u32) -> Self {
        Self(crc32fast::Hasher::new_with_initial(value))
    }

    /// Updates the checksum with an event.
    pub fn add(&mut self, event: &AnswerEvent) {
        match event {
            AnswerEvent::Head {
                status,
                content_type,
            } => {
                self.0.update(&status.to_le_bytes());
                self.add_text(content_type);
            }
            AnswerEvent::Chunk { text, tokens } => {
                self.0.update(&tokens.to_le_bytes());
                self.add_text(text);
            }
            AnswerEvent::End { finish } => self.add_text(finish),
            AnswerEvent::Failed(refusal) => self.add_text(refusal.kind.name()),
        }
    }

    fn add_text(&mut self, text: &str) {
        self.0.update(&(text.len() as u32).to_le_bytes());
        self.0.update(text.as_bytes());
    }

    /// Returns the checksum of all events so far.
    pub fn value(&self) -> u32 {
        self.0.clone().finalize()
    }
}
