//! Quarantines of suspects.

use std::time::Duration;

use super::suspect::Suspect;
use super::suspect_record::MIN_CRASHES_OF_KNOWN;
use crate::domain_value;
use crate::units::Timestamp;

/// Time for which a request is quarantined, and the longest time for a part: the longest lease
/// of the key-value services that daemons use.
pub const HOLD_TIME: Duration = Duration::from_secs(600);
/// Time for which a part is quarantined at first, since sound requests may have it as well; each
/// further time lasts twice as long.
pub const FIRST_PART_HOLD: Duration = Duration::from_secs(60);

domain_value! {
    /// What a quarantine is based on.
    #[derive(Default)]
    pub struct HoldBasis {
        /// Time of the first of the latest crashes that are enough for it.
        pub since: Timestamp,
        /// Number of crashes.
        pub crashes: u32,
    }
}

/// Quarantine of a suspect, kept for a while after its end.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    pub(super) basis: HoldBasis,
    pub(super) until: Timestamp,
    pub(super) count: u32,
}

impl HoldBasis {
    /// Returns whether a completed request with the suspect speaks against the quarantine: it ended
    /// after the crashes, or shows a part to be known, which needs more of them.
    pub fn is_refuted_by(&self, suspect: Suspect, completed_at: Timestamp) -> bool {
        let is_part = matches!(suspect, Suspect::Part(_));
        completed_at >= self.since || (is_part && (self.crashes as usize) < MIN_CRASHES_OF_KNOWN)
    }
}

/// Returns how long the `count`-th quarantine of a suspect lasts.
pub(super) fn hold_time(suspect: Suspect, count: u32) -> Duration {
    match suspect {
        Suspect::Request(_) => HOLD_TIME,
        Suspect::Part(_) => {
            let doublings = count.saturating_sub(1).min(8);
            (FIRST_PART_HOLD * 2_u32.pow(doublings)).min(HOLD_TIME)
        }
    }
}
