//! Delays and cuts between the daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumstall_core::ids::VmId;
use laburnumstall_core::message::Lane;
use laburnumstall_core::units::Timestamp;

/// Delay between daemons of one zone, in microseconds.
const NEAR_US: u64 = 100;

/// Delay between zones, in microseconds.
const FAR_US: u64 = 500;

/// Delays and cuts between the daemons.
#[derive(Debug, Default)]
pub struct Network {
    cut: BTreeSet<(VmId, VmId)>,
    last: BTreeMap<(VmId, VmId, Lane), Timestamp>,
    told_silent: BTreeMap<(VmId, VmId), Timestamp>,
}

impl Network {
    /// Cuts a pair of VMs off from each other: what one sends does not reach the other.
    pub fn cut(&mut self, one: &VmId, other: &VmId) {
        self.cut.insert((one.clone(), other.clone()));
        self.cut.insert((other.clone(), one.clone()));
    }

    /// Joins all VMs again.
    pub fn mend(&mut self) {
        self.cut.clear();
    }

    /// Tells whether a pair is cut.
    pub fn is_cut(&self, from: &VmId, to: &VmId) -> bool {
        self.cut.contains(&(from.clone(), to.clone()))
    }

    /// Returns when a message arrives; never before an earlier one of the same lane.
    pub(crate) fn arrival(
        &mut self,
        now: Timestamp,
        from: &VmId,
        to: &VmId,
        lane: Lane,
        is_near: bool,
        jitter_us: u64,
    ) -> Timestamp {
        let delay = if is_near { NEAR_US } else { FAR_US } + jitter_us;
        let at = now.after(Duration::from_micros(delay));
        let last = self.last.entry((from.clone(), to.clone(), lane));
        let last = last.or_insert(Timestamp::ZERO);
        *last = at.max(*last);
        *last
    }

    /// Tells whether the sender learns now that the pair is silent, at most once a second.
    pub(crate) fn tells_silence(&mut self, now: Timestamp, from: &VmId, to: &VmId) -> bool {
        let told = self.told_silent.entry((from.clone(), to.clone()));
        let told = told.or_insert(Timestamp::ZERO);
        let is_due = told.0 == 0 || now.since(*told) >= Duration::from_secs(1);
        if is_due {
            *told = now;
        }
        is_due
    }
}
