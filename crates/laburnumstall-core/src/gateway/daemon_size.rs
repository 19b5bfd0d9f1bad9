//! Sizes of the machines of daemons, and what follows from them.
//!
//! Where daemons differ in size by a factor of two or more, callers, reads of the key-value store
//! and duties go to them by size. A daemon that registered no size counts as the median one.

use std::collections::BTreeSet;

use super::Gateway;
use super::gossip::Peer;
use crate::ids::{AvailabilityZone, DaemonId};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::{domain_value, quantity};

quantity! {
    /// Processor time that a daemon may use, in thousandths of a core.
    ProcessorShare, "m";
    /// Rate of a machine's link, in kbit/s.
    LinkRate, "kbit/s";
}

domain_value! {
    /// Size of the machine of a daemon.
    pub struct DaemonSize {
        /// Processor time.
        pub processor: ProcessorShare,
        /// Rate of the link.
        pub link: LinkRate,
    }
}

/// Processor time for messages between daemons in the largest fleets.
const CONTROL_SHARE: ProcessorShare = ProcessorShare(37);
/// Divisor of a daemon's processor time: what is left for callers at least.
const CALLERS_DIVISOR: u64 = 4;
/// Ratio of the largest to the smallest daemon from which sizes count.
const MIN_RATIO: f64 = 2.0;
/// Part of the largest daemon's size from which a daemon is preferred for duties.
const LARGE_PART: f64 = 0.5;

impl DaemonSize {
    /// Returns the thousandths of a core that are left for callers.
    fn spare_processor(self) -> u64 {
        let least = self.processor.get() / CALLERS_DIVISOR;
        let spare = self.processor.minus(CONTROL_SHARE);
        spare.get().max(least).max(1)
    }
}

/// Sizes of a fleet whose daemons differ.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetSizes {
    median_processor: f64,
    median_link: f64,
    largest: f64,
}

impl FleetSizes {
    /// Returns the sizes of the daemons; `None` if they do not differ by a factor of two.
    pub(super) fn of(sizes: impl Iterator<Item = Option<DaemonSize>>) -> Option<Self> {
        let sizes: Vec<Option<DaemonSize>> = sizes.collect();
        let known = || sizes.iter().flatten();
        let median = |mut values: Vec<u64>| {
            values.sort_unstable();
            values.get(values.len() / 2).map(|value| *value as f64)
        };
        let mut fleet = Self {
            median_processor: median(known().map(|size| size.spare_processor()).collect())?,
            median_link: median(known().map(|size| size.link.get().max(1)).collect())?,
            largest: 1.0,
        };
        let relative = || sizes.iter().map(|size| fleet.relative(*size));
        let largest = relative().fold(0.0, f64::max);
        let smallest = relative().fold(f64::INFINITY, f64::min);
        fleet.largest = largest;
        (largest >= MIN_RATIO * smallest).then_some(fleet)
    }

    /// Returns the size of a daemon relative to the median one: its part of the processor time or
    /// of the link rate, whichever is smaller.
    fn relative(self, size: Option<DaemonSize>) -> f64 {
        size.map_or(1.0, |size| {
            let processor = size.spare_processor() as f64 / self.median_processor;
            let link = size.link.get().max(1) as f64 / self.median_link;
            processor.min(link)
        })
    }

    /// Returns the size of a daemon relative to the largest one.
    pub(super) fn part_of_largest(self, size: Option<DaemonSize>) -> f64 {
        self.relative(size) / self.largest
    }

    /// Returns whether a daemon is preferred for duties.
    pub(super) fn is_large(self, size: Option<DaemonSize>) -> bool {
        self.part_of_largest(size) >= LARGE_PART
    }
}

impl Gateway {
    /// Sets the size of this daemon's machine.
    pub fn set_own_size(&mut self, size: Option<DaemonSize>) {
        self.own_size = size;
    }

    /// Records the size of a peer's machine, unless the registration came by way of a daemon of an
    /// earlier build, which forwards no sizes.
    pub(super) fn set_peer_size(&mut self, id: &DaemonId, size: Option<DaemonSize>) {
        if let Some(size) = size {
            self.peer_table.set_size(id, size);
        }
    }

    /// Returns the sizes of this daemon and of `peers`; `None` if they are alike.
    pub(super) fn fleet_sizes<'a>(
        &self,
        peers: impl Iterator<Item = &'a Peer>,
    ) -> Option<FleetSizes> {
        let peers = peers.map(|peer| peer.size);
        FleetSizes::of(peers.chain([self.own_size]))
    }

    /// Returns the reachable daemons, with `own` as this one, that may compete for the lease of
    /// the duties. Of a zone with large daemons they are these; other zones keep theirs, so that
    /// the candidates stay in several zones.
    pub fn lease_members<'a>(&'a self, now: Timestamp, own: &'a Member) -> Vec<&'a Member> {
        let sizes = self.fleet_sizes(self.peer_table.reachable(now));
        let peers = self.peer_table.reachable(now);
        let all: Vec<(&Member, bool)> = peers
            .map(|peer| (&peer.member, peer.size))
            .chain([(own, self.own_size)])
            .map(|(member, size)| (member, sizes.is_none_or(|sizes| sizes.is_large(size))))
            .collect();
        let large = all.iter().filter(|(_, is_large)| *is_large);
        let with_large: BTreeSet<&AvailabilityZone> =
            large.map(|(member, _)| &member.zone).collect();
        let eligible = all
            .iter()
            .filter(|(member, is_large)| *is_large || !with_large.contains(&member.zone));
        eligible.map(|(member, _)| *member).collect()
    }
}
