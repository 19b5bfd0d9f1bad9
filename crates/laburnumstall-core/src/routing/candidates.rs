//! The few endpoints that are weighed for one request.
//!
//! Prefix hashes pick endpoints that other daemons pick for the same prefix as well
//! (rendezvous hashing with bounded load: Mirrokni, Thorup and Zadimoghaddam, 2018); the
//! cache view adds the endpoint that holds most; chance adds two (power of two choices:
//! Mitzenmacher, 2001), each in proportion to the free places, which reacts softly to late
//! reports. A prefix too popular for one endpoint is spread over the first few of its hash.

use std::cmp::Reverse;

use fastrand::Rng;

use super::popularity::Popularity;
use super::score::Candidate;
use super::slot::Slot;
use crate::hash;
use crate::request::BlockHash;

/// Factor between the prefix lengths whose hashes pick an endpoint.
const DEPTH_FACTOR: usize = 4;
/// Load of a hashed endpoint relative to the mean, in hundredths, above which the next is used.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Least requests of one prefix that fill an endpoint's share of them.
const MIN_SPREAD_LOAD: u64 = 8;
/// Endpoints that chance adds.
const RANDOM_CHOICES: usize = 2;

/// What candidates are picked from.
pub(super) struct Choice<'a> {
    /// Endpoints that may run the request.
    pub(super) usable: &'a [usize],
    /// All endpoints.
    pub(super) slots: &'a [Slot],
    /// What runs on behalf of this daemon.
    pub(super) popularity: &'a Popularity,
    /// Daemons that use the same endpoints, with this one.
    pub(super) daemons: u64,
}

/// Picks the candidates for a prefix.
pub(super) fn pick(prefix: &[BlockHash], choice: &Choice<'_>, rng: &mut Rng) -> Vec<Candidate> {
    let mut picked = Vec::new();
    let bound = choice.load(LOAD_BOUND_PERCENT);
    for depth in depths(prefix.len()) {
        let key = prefix[depth - 1];
        let spread = choice.spread(key);
        if let Some(slot) = choice.hashed(key, bound, spread, rng) {
            add(&mut picked, slot, depth);
        }
        if spread > 1 {
            // Shorter prefixes are at least as popular; more choices would only herd.
            break;
        }
    }
    if choice.is_popular(prefix) && !picked.is_empty() {
        return picked;
    }
    let known = picked
        .iter()
        .map(|known| choice.matched(prefix, known.slot));
    let known = known.max().unwrap_or(0);
    if let Some(slot) = choice.most_cached(prefix, known) {
        add(&mut picked, slot, 0);
    }
    for _ in 0..RANDOM_CHOICES {
        if let Some(slot) = choice.by_places(choice.usable, rng) {
            add(&mut picked, slot, 0);
        }
    }
    picked
}

/// Returns the prefix lengths to hash, the longest first.
pub(super) fn depths(len: usize) -> impl Iterator<Item = usize> {
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

impl Choice<'_> {
    /// Picks an endpoint by chance, in proportion to its free places.
    fn by_places(&self, among: &[usize], rng: &mut Rng) -> Option<usize> {
        let places = |slot: &usize| u64::from(self.slots[*slot].free_places()) + 1;
        let total: u64 = among.iter().map(places).sum();
        let mut left = rng.u64(..total.max(1));
        let is_here = |slot: &usize| {
            let is_here = left < places(slot);
            left = left.saturating_sub(places(slot));
            is_here
        };
        among.iter().copied().find(is_here)
    }

    /// Picks an endpoint below the load bound by the hash of a prefix: the first, or one of
    /// the first few if the prefix is popular.
    fn hashed(&self, key: BlockHash, bound: u64, spread: usize, rng: &mut Rng) -> Option<usize> {
        let is_below = |slot: &&usize| u64::from(self.slots[**slot].occupancy()) < bound;
        let weight = |slot: &usize| hash::rendezvous_weight(key.0, self.slots[*slot].hash);
        let below = self.usable.iter().copied().filter(|slot| is_below(&slot));
        if spread == 1 {
            return below.max_by_key(weight);
        }
        let mut ranked: Vec<usize> = below.collect();
        ranked.sort_unstable_by_key(|slot| Reverse(weight(slot)));
        ranked.truncate(spread);
        self.by_places(&ranked, rng)
    }

    /// Returns the number of endpoints that a prefix needs.
    fn spread(&self, key: BlockHash) -> usize {
        let running = self.popularity.running(key) * self.daemons;
        1 + (running / self.load(100).max(MIN_SPREAD_LOAD)) as usize
    }

    /// Tells whether the longest hashed prefix needs several endpoints; comparing more of
    /// them by late reports would send all daemons to the same one.
    fn is_popular(&self, prefix: &[BlockHash]) -> bool {
        let longest = depths(prefix.len()).next();
        longest.is_some_and(|depth| self.spread(prefix[depth - 1]) > 1)
    }

    /// Returns a part of the mean load, rounded up.
    fn load(&self, percent: u64) -> u64 {
        let occupancy = |slot: &usize| u64::from(self.slots[*slot].occupancy());
        let total: u64 = self.usable.iter().map(occupancy).sum();
        let count = self.usable.len().max(1) as u64;
        ((total + 1) * percent).div_ceil(100 * count)
    }

    /// Returns the endpoint that holds most of a prefix, if that is more than `known`.
    fn most_cached(&self, prefix: &[BlockHash], known: u64) -> Option<usize> {
        self.usable
            .iter()
            .map(|slot| (self.matched(prefix, *slot), *slot))
            .filter(|(matched, _)| *matched > known)
            .max()
            .map(|(_, slot)| slot)
    }

    fn matched(&self, prefix: &[BlockHash], slot: usize) -> u64 {
        self.slots[slot].cache.matched(prefix)
    }
}
