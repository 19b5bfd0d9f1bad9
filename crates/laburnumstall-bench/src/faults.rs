//! The faults of a run: what happens when.

use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::domain_value;
use laburnumstall_core::ids::ParseIdError;

/// Time between the announcement of a reclaim and its end.
pub(crate) const NOTICE: Duration = Duration::from_secs(5);

/// Time from a reclaim's announcement until the replacement runs, its cache empty.
pub(crate) const REPLACEMENT: Duration = Duration::from_secs(20);

/// Time between the announcements of two waves.
const WAVE_GAP: Duration = Duration::from_secs(7);

/// Engines that one wave takes.
const WAVE_SIZE: usize = 2;

domain_value! {
    /// Which faults happen.
    #[serde(rename_all = "kebab-case")]
    pub enum FaultKind {
        /// None.
        None,
        /// Two reclaim waves, the second before recovery from the first.
        Waves,
        /// All VMs of a zone are taken with five seconds of notice.
        ZoneLoss,
    }
}

impl FaultKind {
    /// All kinds, in the order of tables.
    pub const ALL: [Self; 3] = [Self::None, Self::Waves, Self::ZoneLoss];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Waves => "waves",
            Self::ZoneLoss => "zone-loss",
        }
    }
}

impl std::fmt::Display for FaultKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.name())
    }
}

impl std::str::FromStr for FaultKind {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let kind = Self::ALL.into_iter().find(|kind| kind.name() == s);
        kind.ok_or_else(|| ParseIdError::new("FaultKind", s, "none, waves or zone-loss"))
    }
}

/// Something that the platform does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Engines are announced to be taken.
    ReclaimEngines(Vec<usize>),
    /// A zone is announced to be taken.
    ReclaimZone(CompactString),
    /// Everything whose notice is over is taken.
    Take,
    /// Engines start in the place of those that were taken.
    Replace(usize),
}

/// A fault with its time since the beginning of measurement.
#[derive(Debug, Clone)]
pub(crate) struct PlannedFault {
    pub(crate) after: Duration,
    pub(crate) fault: Fault,
}

/// Returns the faults of a run over some engines, in order.
pub(crate) fn plan(
    kind: FaultKind,
    engines: usize,
    zone: &str,
    begin: Duration,
) -> Vec<PlannedFault> {
    let at = |after: Duration, fault: Fault| PlannedFault { after, fault };
    match kind {
        FaultKind::None => Vec::new(),
        FaultKind::ZoneLoss => vec![at(begin, Fault::ReclaimZone(zone.into()))],
        FaultKind::Waves => {
            let size = WAVE_SIZE.min(engines.saturating_sub(1) / 2);
            let first = (0..size).collect();
            let second = (size..2 * size).collect();
            vec![
                at(begin, Fault::ReclaimEngines(first)),
                at(begin + WAVE_GAP, Fault::ReclaimEngines(second)),
            ]
        }
    }
}
