//! Which daemons try for a region's placement lease.
//!
//! A few are enough, and the others need not ask the key-value service who holds it.

use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{DaemonId, Region};
use crate::membership::Member;

/// Daemons of a region that try for the lease.
pub const MAX_CANDIDATES: usize = 3;

/// Tells whether `own` tries for the lease among the live members of a region: the first
/// of a ranking by rendezvous hashing, each in another zone as far as there are any.
pub fn is_candidate(own: &DaemonId, region: &Region, members: &[&Member]) -> bool {
    let key = digest64(&[region.as_str().as_bytes()]);
    let mut ranked = members.to_vec();
    ranked.sort_by_cached_key(|member| {
        let weight = rendezvous_weight(key, member.weight_seed());
        (std::cmp::Reverse(weight), member.id.clone())
    });
    let is_first_of_zone = |index: &usize| {
        let zone = &ranked[*index].zone;
        !ranked[..*index].iter().any(|member| member.zone == *zone)
    };
    let (firsts, others): (Vec<usize>, Vec<usize>) = (0..ranked.len()).partition(is_first_of_zone);
    firsts
        .into_iter()
        .chain(others)
        .take(MAX_CANDIDATES)
        .any(|index| ranked[index].id == *own)
}
