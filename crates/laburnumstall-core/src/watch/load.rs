//! Compact encoding of endpoint load, reduced to the values that routing needs.

use std::time::Duration;

use crate::hash::digest64;
use crate::ids::EndpointId;
use crate::resources::LoadReport;
use crate::units::{Timestamp, Tokens};
use crate::{domain, domain_value};

/// Longest wait in the lowest non-zero wait class.
const FIRST_CLASS: Duration = Duration::from_millis(10);

/// Highest wait class: about 40 s or more.
const LAST_CLASS: u8 = 24;

/// Number of quantisation steps of the batch occupancy.
const OCCUPANCY_STEPS: u64 = 8;

/// Resolution of a reading's age.
const AGE_STEP: Duration = Duration::from_millis(200);

domain_value! {
    /// Short hash of an endpoint's id.
    pub struct EndpointTag(pub u32);

    /// Predicted wait on a logarithmic scale: two classes per doubling; 0 means no wait.
    pub struct WaitClass(pub u8);

    /// Time since a report was taken, in steps of 200 ms, up to 51 s.
    ///
    /// An age does not depend on synchronized clocks.
    pub struct ReadingAge(pub u8);

    /// A quantised load report.
    pub struct QuantisedLoad {
        /// Expected wait of a new request.
        pub wait: WaitClass,
        /// Requests in the batch, in eighths of its capacity.
        pub occupancy: u8,
    }
}

domain! {
    /// Load of one endpoint.
    pub struct LoadUpdate {
        /// Tag of the endpoint.
        pub endpoint: EndpointTag,
        /// Time since the report was taken, which distinguishes late updates from new ones.
        pub age: ReadingAge,
        /// Quantised load.
        pub load: QuantisedLoad,
    }

    /// Loads that one daemon sends to another in one message.
    #[derive(Default)]
    pub struct LoadDigest {
        /// Updates, one per endpoint.
        #[serde(rename = "words")]
        pub loads: Vec<LoadUpdate>,
    }
}

impl EndpointTag {
    /// Returns the tag of an endpoint.
    pub fn of(endpoint: &EndpointId) -> Self {
        Self(digest64(&[endpoint.as_str().as_bytes()]) as u32)
    }
}

impl ReadingAge {
    /// Returns the age at `now` of a reading taken at `taken_at`, rounded up.
    pub fn at(now: Timestamp, taken_at: Timestamp) -> Self {
        let steps = now
            .since(taken_at)
            .as_millis()
            .div_ceil(AGE_STEP.as_millis());
        Self(u8::try_from(steps).unwrap_or(u8::MAX))
    }

    /// Returns the age as a duration.
    pub fn duration(self) -> Duration {
        AGE_STEP * u32::from(self.0)
    }
}

impl WaitClass {
    /// Returns the class that contains `wait`.
    pub fn of(wait: Duration) -> Self {
        let is_below = |class: &u8| Self(*class).wait() < wait;
        Self(
            (0..LAST_CLASS)
                .find(|class| !is_below(class))
                .unwrap_or(LAST_CLASS),
        )
    }

    /// Returns the longest wait of the class.
    pub fn wait(self) -> Duration {
        let Some(step) = self.0.min(LAST_CLASS).checked_sub(1) else {
            return Duration::ZERO;
        };
        let doubled = FIRST_CLASS * (1 << (step / 2));
        match step % 2 {
            0 => doubled,
            _ => doubled * 3 / 2,
        }
    }
}

impl QuantisedLoad {
    /// Quantises a report.
    ///
    /// The wait is the time to prefill the backlog at the reported rate, plus one second for
    /// each full batch in the queue.
    pub fn of(report: &LoadReport) -> Self {
        let batch = u64::from(report.batch.max(1));
        let occupied = u64::from(report.running).min(batch);
        Self {
            wait: WaitClass::of(expected_wait(report)),
            occupancy: (occupied * OCCUPANCY_STEPS / batch) as u8,
        }
    }

    /// Returns a report that quantises to this load, with all other values from `known`; a
    /// step is represented by its midpoint.
    pub fn to_report(self, known: &LoadReport, taken_at: Timestamp) -> LoadReport {
        let batch = u64::from(known.batch.max(1));
        let occupancy = u64::from(self.occupancy).min(OCCUPANCY_STEPS);
        let floor = (occupancy * batch).div_ceil(OCCUPANCY_STEPS);
        let step = batch / OCCUPANCY_STEPS;
        let running = match occupancy {
            0 => 0,
            OCCUPANCY_STEPS => batch,
            _ => floor + step.saturating_sub(1) / 2,
        };
        let millis = self.wait.wait().as_millis() as u64;
        LoadReport {
            taken_at,
            running: running as u32,
            waiting: 0,
            prefill_backlog: Tokens(millis.saturating_mul(known.prefill.get()) / 1_000),
            ..known.clone()
        }
    }

    /// Returns the free fraction of the batch, from 0 to 1,000.
    pub fn free_permille(self) -> u64 {
        let occupied = u64::from(self.occupancy).min(OCCUPANCY_STEPS);
        (OCCUPANCY_STEPS - occupied) * 1_000 / OCCUPANCY_STEPS
    }
}

impl LoadUpdate {
    /// Maximum size of an update on the wire, in bytes.
    pub const MAX_BYTES: u64 = 8;
}

impl LoadDigest {
    /// Overhead of a datagram in bytes: IP, UDP and QUIC headers, authentication tag, message
    /// kind and length.
    pub const FRAME_BYTES: u64 = 64;

    /// Returns the maximum size of the digest on the wire, in bytes.
    pub fn max_bytes(&self) -> u64 {
        Self::FRAME_BYTES + self.loads.len() as u64 * LoadUpdate::MAX_BYTES
    }
}

fn expected_wait(report: &LoadReport) -> Duration {
    let backlog = report.prefill_backlog.get().saturating_mul(1_000);
    let prefill = Duration::from_millis(backlog / report.prefill.get().max(1));
    let queued = u64::from(report.waiting) * 1_000 / u64::from(report.batch.max(1));
    prefill + Duration::from_millis(queued)
}
