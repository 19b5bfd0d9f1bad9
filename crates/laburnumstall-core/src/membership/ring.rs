//! Which members a daemon sends heartbeats to.
//!
//! All members stand on one ring on which the zones alternate as evenly as their sizes
//! allow. Each daemon watches the next few: so each is watched by as many, mostly in
//! other zones, and a change of the view moves few pairs.

use crate::ids::DaemonId;
use crate::membership::Member;

/// Most members that one daemon sends heartbeats to.
pub const MAX_TARGETS: usize = 4;

/// A member's place: a fraction of its zone's share of the ring, then its hash.
struct Place<'a> {
    seat: Seat<'a>,
    rank: u64,
    size: u64,
}

impl Place<'_> {
    /// Returns the fraction `(rank + 1/2) / size` scaled to the whole range.
    fn fraction(&self) -> u64 {
        ((2 * self.rank + 1) << 32) / (2 * self.size)
    }
}

/// A member with its hash for rendezvous hashing.
#[derive(Clone, Copy)]
pub(super) struct Seat<'a> {
    pub(super) member: &'a Member,
    pub(super) seed: u64,
}

/// Returns the members after `own` on the ring, at most [`MAX_TARGETS`].
pub(super) fn targets(own: &DaemonId, seats: &[Seat<'_>]) -> Vec<DaemonId> {
    let ring = ring(seats);
    let Some(start) = ring.iter().position(|member| member.id == *own) else {
        return Vec::new();
    };
    let others = ring.len() - 1;
    (1..=others.min(MAX_TARGETS))
        .map(|step| ring[(start + step) % ring.len()].id.clone())
        .collect()
}

fn ring<'a>(seats: &[Seat<'a>]) -> Vec<&'a Member> {
    let mut sorted = seats.to_vec();
    sorted.sort_by_key(|seat| (&seat.member.zone, seat.seed));
    let mut places = Vec::with_capacity(sorted.len());
    for zone in sorted.chunk_by(|a, b| a.member.zone == b.member.zone) {
        for (rank, seat) in zone.iter().enumerate() {
            places.push(Place {
                seat: *seat,
                rank: rank as u64,
                size: zone.len() as u64,
            });
        }
    }
    places.sort_by_key(|place| (place.fraction(), place.seat.seed));
    places.into_iter().map(|place| place.seat.member).collect()
}
