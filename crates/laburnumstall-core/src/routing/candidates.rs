//! The few endpoints that are weighed for one request.
//!
//! Prefix hashes pick endpoints that other daemons pick for the same prefix as well
//! (rendezvous hashing with bounded load: Mirrokni, Thorup and Zadimoghaddam, 2018); the
//! cache view adds the endpoint that holds most; chance adds two (power of two choices:
//! Mitzenmacher, 2001), each in proportion to the free places, which reacts softly to late
//! reports.

use fastrand::Rng;

use super::score::Candidate;
use super::slot::Slot;
use crate::hash;
use crate::request::BlockHash;

/// Factor between the prefix lengths whose hashes pick an endpoint.
const DEPTH_FACTOR: usize = 4;
/// Load of a hashed endpoint relative to the mean, in hundredths, above which the next is used.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Endpoints that chance adds.
const RANDOM_CHOICES: usize = 2;

/// Picks the candidates for a prefix among the usable endpoints.
pub(super) fn pick(
    prefix: &[BlockHash],
    usable: &[usize],
    slots: &[Slot],
    rng: &mut Rng,
) -> Vec<Candidate> {
    let mut picked = Vec::new();
    let bound = load_bound(usable, slots);
    for depth in depths(prefix.len()) {
        if let Some(slot) = hashed(prefix[depth - 1], usable, slots, bound) {
            add(&mut picked, slot, depth);
        }
    }
    if let Some(slot) = most_cached(prefix, usable, slots) {
        add(&mut picked, slot, 0);
    }
    for _ in 0..RANDOM_CHOICES {
        if let Some(slot) = random(usable, slots, rng) {
            add(&mut picked, slot, 0);
        }
    }
    picked
}

/// Returns the prefix lengths to hash, the longest first.
fn depths(len: usize) -> impl Iterator<Item = usize> {
    let longest = std::iter::successors(Some(1), |depth| Some(depth * DEPTH_FACTOR))
        .take_while(|depth| *depth <= len)
        .last();
    std::iter::successors(longest, |depth| {
        (*depth > 1).then_some(depth / DEPTH_FACTOR)
    })
}

fn add(picked: &mut Vec<Candidate>, slot: usize, hashed_blocks: usize) {
    if picked.iter().all(|known| known.slot != slot) {
        picked.push(Candidate {
            slot,
            hashed_blocks,
        });
    }
}

/// Picks an endpoint by chance, in proportion to its free places.
fn random(usable: &[usize], slots: &[Slot], rng: &mut Rng) -> Option<usize> {
    let places = |slot: &usize| u64::from(slots[*slot].free_places()) + 1;
    let total: u64 = usable.iter().map(places).sum();
    let mut left = rng.u64(..total.max(1));
    let is_here = |slot: &usize| {
        let is_here = left < places(slot);
        left = left.saturating_sub(places(slot));
        is_here
    };
    usable.iter().copied().find(is_here)
}

fn hashed(block: BlockHash, usable: &[usize], slots: &[Slot], bound: u64) -> Option<usize> {
    usable
        .iter()
        .filter(|slot| u64::from(slots[**slot].occupancy()) < bound)
        .max_by_key(|slot| hash::rendezvous_weight(block.0, slots[**slot].hash))
        .copied()
}

fn load_bound(usable: &[usize], slots: &[Slot]) -> u64 {
    let total: u64 = usable
        .iter()
        .map(|slot| u64::from(slots[*slot].occupancy()))
        .sum();
    let count = usable.len().max(1) as u64;
    ((total + 1) * LOAD_BOUND_PERCENT).div_ceil(100 * count)
}

fn most_cached(prefix: &[BlockHash], usable: &[usize], slots: &[Slot]) -> Option<usize> {
    usable
        .iter()
        .map(|slot| (slots[*slot].cache.matched(prefix), *slot))
        .filter(|(matched, _)| *matched > 0)
        .max()
        .map(|(_, slot)| slot)
}
