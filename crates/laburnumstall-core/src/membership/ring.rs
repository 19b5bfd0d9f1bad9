//! Which members a daemon sends heartbeats to.
//!
//! All members stand on one ring on which the zones alternate as evenly as their sizes
//! allow. Each daemon watches the next few: so each is watched by as many, mostly in
//! other zones, and a change of the view moves few pairs.

use crate::ids::{AvailabilityZone, DaemonId};
use crate::membership::Member;

/// Most members that one daemon sends heartbeats to.
pub const MAX_TARGETS: usize = 4;

/// A member's place: a fraction of its zone's share of the ring, then its hash.
struct Place<'a> {
    member: &'a Member,
    rank: u64,
    size: u64,
    seed: u64,
}

impl Place<'_> {
    /// Returns the fraction `(rank + 1/2) / size` scaled to the whole range.
    fn fraction(&self) -> u64 {
        ((2 * self.rank + 1) << 32) / (2 * self.size)
    }
}

/// Returns the members after `own` on the ring, at most [`MAX_TARGETS`].
pub(super) fn targets(own: &DaemonId, members: &[&Member]) -> Vec<DaemonId> {
    let ring = ring(members);
    let Some(start) = ring.iter().position(|member| member.id == *own) else {
        return Vec::new();
    };
    let others = ring.len() - 1;
    (1..=others.min(MAX_TARGETS))
        .map(|step| ring[(start + step) % ring.len()].id.clone())
        .collect()
}

fn ring<'a>(members: &[&'a Member]) -> Vec<&'a Member> {
    let mut sorted: Vec<(&AvailabilityZone, u64, &Member)> = members
        .iter()
        .map(|member| (&member.zone, member.weight_seed(), *member))
        .collect();
    sorted.sort_by_key(|(zone, seed, _)| (*zone, *seed));
    let mut places = Vec::with_capacity(sorted.len());
    for zone in sorted.chunk_by(|a, b| a.0 == b.0) {
        for (rank, (_, seed, member)) in zone.iter().enumerate() {
            places.push(Place {
                member,
                rank: rank as u64,
                size: zone.len() as u64,
                seed: *seed,
            });
        }
    }
    places.sort_by_key(|place| (place.fraction(), place.seed));
    places.into_iter().map(|place| place.member).collect()
}
