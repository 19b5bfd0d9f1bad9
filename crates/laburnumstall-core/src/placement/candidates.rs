//! Selects the daemons that compete for a region's placement lease.
//!
//! A few candidates are enough; the other daemons need not poll the key-value store for
//! the holder.

use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{DaemonId, Region};
use crate::membership::Member;

/// Maximum number of daemons of a region that compete for the lease.
pub const MAX_CANDIDATES: usize = 3;

/// Returns whether `own` competes for the lease among the live members of a region.
///
/// Members are ranked by rendezvous hashing; the first member of each zone precedes all
/// others.
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
