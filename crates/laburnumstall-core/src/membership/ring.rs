//! Selection of the members to which a daemon sends heartbeats.
//!
//! All members form one ring on which zones alternate as evenly as their sizes allow. Each
//! daemon monitors its next few successors. Every daemon thus has the same number of
//! monitors, mostly in other zones, and a membership change affects few pairs.

use crate::ids::DaemonId;
use crate::membership::Member;

/// Maximum number of members to which one daemon sends heartbeats.
pub const MAX_TARGETS: usize = 4;

/// A member's position on the ring: its rank as a fraction of its zone, then its hash.
struct RingPosition<'a> {
    hashed: HashedMember<'a>,
    rank: u64,
    size: u64,
}

impl RingPosition<'_> {
    /// Returns the fraction `(rank + 1/2) / size`, scaled by 2^32.
    fn fraction(&self) -> u64 {
        ((2 * self.rank + 1) << 32) / (2 * self.size)
    }
}

/// A member with its hash for rendezvous hashing.
#[derive(Clone, Copy)]
pub(super) struct HashedMember<'a> {
    pub(super) member: &'a Member,
    pub(super) seed: u64,
}

/// Returns the successors of `own` on the ring, at most [`MAX_TARGETS`].
pub(super) fn targets(own: &DaemonId, members: &[HashedMember<'_>]) -> Vec<DaemonId> {
    let ring = ring(members);
    let Some(start) = ring.iter().position(|member| member.id == *own) else {
        return Vec::new();
    };
    let others = ring.len() - 1;
    (1..=others.min(MAX_TARGETS))
        .map(|step| ring[(start + step) % ring.len()].id.clone())
        .collect()
}

/// Returns the members in ring order.
fn ring<'a>(members: &[HashedMember<'a>]) -> Vec<&'a Member> {
    let mut sorted = members.to_vec();
    sorted.sort_by_key(|hashed| (&hashed.member.zone, hashed.seed));
    let mut positions = Vec::with_capacity(sorted.len());
    for zone in sorted.chunk_by(|a, b| a.member.zone == b.member.zone) {
        for (rank, hashed) in zone.iter().enumerate() {
            positions.push(RingPosition {
                hashed: *hashed,
                rank: rank as u64,
                size: zone.len() as u64,
            });
        }
    }
    positions.sort_by_key(|position| (position.fraction(), position.hashed.seed));
    positions
        .into_iter()
        .map(|position| position.hashed.member)
        .collect()
}
