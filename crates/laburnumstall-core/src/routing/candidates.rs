//! Selects the few endpoints that are scored for one request.
//!
//! Prefix hashes pick endpoints that other daemons pick for the same prefix as well
//! (rendezvous hashing with bounded load: Mirrokni, Thorup and Zadimoghaddam, 2018); the
//! cache view adds the endpoint that holds the most blocks; two are added at random (power
//! of two choices: Mitzenmacher, 2001), with probability proportional to free capacity, so
//! that delayed reports do not cause abrupt shifts. A prefix too popular for one endpoint is
//! spread over the highest-ranked endpoints of its hash.

use std::cmp::Reverse;

use fastrand::Rng;

use super::endpoint_state::EndpointState;
use super::popularity::Popularity;
use super::score::Candidate;
use crate::hash;
use crate::request::BlockHash;

/// Ratio between consecutive prefix lengths whose hashes pick an endpoint.
const DEPTH_FACTOR: usize = 4;
/// Load bound of an endpoint picked by hash, in percent of the mean load; at the bound, the
/// next endpoint in the ranking is used.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Minimum number of requests of one prefix for each endpoint over which it is spread.
const MIN_SPREAD_LOAD: u64 = 8;
/// Number of endpoints added at random.
const RANDOM_CHOICES: usize = 2;

/// The endpoints and load from which candidates are picked.
pub(super) struct CandidateSource<'a> {
    /// Indices of the endpoints that may run the request.
    pub(super) usable: &'a [usize],
    /// States of all endpoints.
    pub(super) states: &'a [EndpointState],
    /// In-flight attempts of this daemon by prefix.
    pub(super) popularity: &'a Popularity,
    /// Number of daemons that use the same endpoints, including this one.
    pub(super) daemons: u64,
}

/// Picks the candidates for a prefix.
pub(super) fn pick(
    prefix: &[BlockHash],
    source: &CandidateSource<'_>,
    rng: &mut Rng,
) -> Vec<Candidate> {
    let mut picked = Vec::new();
    let bound = source.mean_load(LOAD_BOUND_PERCENT);
    for depth in depths(prefix.len()) {
        let key = prefix[depth - 1];
        let spread = source.spread(key);
        if let Some(index) = source.hashed(key, bound, spread, rng) {
            add(&mut picked, index, depth);
        }
        if spread > 1 {
            // Shorter prefixes are at least as popular; more candidates would only cause herding.
            break;
        }
    }
    if source.is_popular(prefix) && !picked.is_empty() {
        return picked;
    }
    let known = picked
        .iter()
        .map(|candidate| source.matched(prefix, candidate.index));
    let known = known.max().unwrap_or(0);
    if let Some(index) = source.most_cached(prefix, known) {
        add(&mut picked, index, 0);
    }
    for _ in 0..RANDOM_CHOICES {
        if let Some(index) = source.by_free_capacity(source.usable, rng) {
            add(&mut picked, index, 0);
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

fn add(picked: &mut Vec<Candidate>, index: usize, hashed_blocks: usize) {
    if picked.iter().all(|known| known.index != index) {
        picked.push(Candidate {
            index,
            hashed_blocks,
        });
    }
}

impl CandidateSource<'_> {
    /// Picks an endpoint at random, weighted by its free capacity plus one.
    fn by_free_capacity(&self, among: &[usize], rng: &mut Rng) -> Option<usize> {
        let capacity = |index: &usize| u64::from(self.states[*index].free_capacity()) + 1;
        let total: u64 = among.iter().map(capacity).sum();
        let mut left = rng.u64(..total.max(1));
        let is_drawn = |index: &usize| {
            let is_drawn = left < capacity(index);
            left = left.saturating_sub(capacity(index));
            is_drawn
        };
        among.iter().copied().find(is_drawn)
    }

    /// Picks an endpoint below the load bound by the hash of a prefix: the highest-ranked, or
    /// one of the `spread` highest-ranked if the prefix is popular.
    fn hashed(&self, key: BlockHash, bound: u64, spread: usize, rng: &mut Rng) -> Option<usize> {
        let is_below = |index: &&usize| u64::from(self.states[**index].occupancy()) < bound;
        let weight = |index: &usize| hash::rendezvous_weight(key.0, self.states[*index].hash);
        let below = self.usable.iter().copied().filter(|index| is_below(&index));
        if spread == 1 {
            return below.max_by_key(weight);
        }
        let mut ranked: Vec<usize> = below.collect();
        ranked.sort_unstable_by_key(|index| Reverse(weight(index)));
        ranked.truncate(spread);
        self.by_free_capacity(&ranked, rng)
    }

    /// Returns the number of endpoints that a prefix needs.
    fn spread(&self, key: BlockHash) -> usize {
        let running = self.popularity.running(key) * self.daemons;
        1 + (running / self.mean_load(100).max(MIN_SPREAD_LOAD)) as usize
    }

    /// Returns whether the longest hashed prefix needs several endpoints; scoring more
    /// candidates by delayed reports would send the attempts of all daemons to the same one.
    fn is_popular(&self, prefix: &[BlockHash]) -> bool {
        let longest = depths(prefix.len()).next();
        longest.is_some_and(|depth| self.spread(prefix[depth - 1]) > 1)
    }

    /// Returns a percentage of the mean load with the new request included, rounded up.
    fn mean_load(&self, percent: u64) -> u64 {
        let occupancy = |index: &usize| u64::from(self.states[*index].occupancy());
        let total: u64 = self.usable.iter().map(occupancy).sum();
        let count = self.usable.len().max(1) as u64;
        ((total + 1) * percent).div_ceil(100 * count)
    }

    /// Returns the endpoint with the largest cached part of a prefix, if larger than `known`.
    fn most_cached(&self, prefix: &[BlockHash], known: u64) -> Option<usize> {
        self.usable
            .iter()
            .map(|index| (self.matched(prefix, *index), *index))
            .filter(|(matched, _)| *matched > known)
            .max()
            .map(|(_, index)| index)
    }

    fn matched(&self, prefix: &[BlockHash], index: usize) -> u64 {
        self.states[index].cache.matched(prefix)
    }
}
