//! Speed of one process of an endpoint.

use std::time::Duration;

use super::time_sums::{Estimates, TimeSums};
use super::weights::OwnerWeight;
use super::{ProcessKey, ProcessTimes};
use crate::units::Timestamp;

/// Weight of the newest sample in the recent speed.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time after which the recent speed has come half of the way back to the lasting one: a
/// disturbance takes some hundred milliseconds.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Bounds of a sample of the recent speed relative to the lasting one.
const RECENT_RANGE: (f64, f64) = (0.2, 6.0);

/// Exponent of the weight of a sample: the part of the measured time that the call itself is
/// expected to take. Calls that waited hardly count, whether the wait was expected or not; in a
/// popular endpoint's queue the others would make it look slow.
const QUEUEING_EXPONENT: i32 = 3;

/// Lowest weight of a sample, one unit of a message: an endpoint may turn many times slower.
const MIN_WEIGHT: f64 = 0.01;
/// Time relative to the lasting one above which sums are slower.
const SLOWER: f64 = 1.4;
/// Slower sums in a row that replace all older ones. Calls that wait weigh so little that an
/// endpoint which turned slow would otherwise seem fast until the older sums have decayed.
const MAX_SLOWER_RUN: u32 = 20;

/// What the time to a call's first output is compared with.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::gateway) struct Sample {
    /// Expected time of the call alone, by the prefill model.
    pub(in crate::gateway) own: Duration,
    /// Expected time with the calls before it.
    pub(in crate::gateway) expected: Duration,
    /// Whether it is known what the endpoint has to do.
    pub(in crate::gateway) is_usable: bool,
    /// Whether the attempt's expected time uses the speed.
    pub(in crate::gateway) is_by_speed: bool,
}

/// What the calls of all daemons tell of the speed of a process.
#[derive(Debug, Clone)]
pub(in crate::gateway) struct ProcessSpeed {
    /// Sums of all daemons.
    sums: TimeSums,
    /// Sums of this daemon's calls since its last message.
    unsent: TimeSums,
    /// Time relative to the prefill model; `None` if nothing is known of the service.
    lasting: Option<f64>,
    /// Time relative to the typical one of the service.
    relative: f64,
    /// Number of sums in a row that were slower than the lasting speed, and these sums together.
    slower: (u32, TimeSums),
    /// Recent times relative to the lasting speed, and when it was updated.
    recent: (f64, Timestamp),
    weight: OwnerWeight,
    /// Time by which the process is weighted as an owner.
    owner_time: f64,
    /// Whether the endpoints of the service differ.
    is_weighted: bool,
}

impl Default for ProcessSpeed {
    fn default() -> Self {
        Self {
            sums: TimeSums::default(),
            unsent: TimeSums::default(),
            lasting: None,
            relative: 1.0,
            slower: (0, TimeSums::default()),
            recent: (1.0, Timestamp::ZERO),
            weight: OwnerWeight::default(),
            owner_time: 1.0,
            is_weighted: false,
        }
    }
}

impl ProcessSpeed {
    /// Adds a call of this daemon.
    pub(in crate::gateway) fn on_call(
        &mut self,
        now: Timestamp,
        sample: &Sample,
        measured: Duration,
    ) {
        if !sample.is_usable || measured.is_zero() {
            return;
        }
        let lasting = self.lasting.unwrap_or(1.0);
        let ratio = |expected: Duration| expected.as_secs_f64() * lasting / measured.as_secs_f64();
        if self.lasting.is_some() {
            let (lowest, highest) = RECENT_RANGE;
            let deviation = ratio(sample.expected).recip().clamp(lowest, highest);
            let recent = self.recent(now) * (1.0 - NEWEST_WEIGHT) + deviation * NEWEST_WEIGHT;
            self.recent = (recent, now);
        }
        let weight = ratio(sample.own).min(1.0).powi(QUEUEING_EXPONENT);
        let weight = weight.max(MIN_WEIGHT);
        let sums = TimeSums::of_call(now, sample.own, measured, weight);
        self.merge(now, &sums);
        self.unsent.merge(now, &sums);
    }

    /// Adds the pauses between the events of a stream, which count as `calls` calls.
    pub(in crate::gateway) fn on_pauses(
        &mut self,
        now: Timestamp,
        expected: Duration,
        measured: Duration,
        calls: f64,
    ) {
        let sums = TimeSums::of_call(now, expected, measured, calls);
        self.merge(now, &sums);
        self.unsent.merge(now, &sums);
    }

    /// Adds the calls of a peer.
    pub(in crate::gateway) fn on_peer_times(&mut self, now: Timestamp, times: &ProcessTimes) {
        let sums = TimeSums::from_message(now, times);
        if !sums.is_empty() {
            self.merge(now, &sums);
        }
    }

    fn merge(&mut self, now: Timestamp, sums: &TimeSums) {
        let (Some(lasting), Some(time)) = (self.lasting, sums.quotient()) else {
            self.sums.merge(now, sums);
            return;
        };
        if time <= lasting * SLOWER {
            self.slower = (0, TimeSums::default());
        } else {
            self.slower.0 += 1;
            self.slower.1.merge(now, sums);
        }
        self.sums.merge(now, sums);
        let (count, slower) = self.slower;
        if count >= MAX_SLOWER_RUN {
            self.slower = (0, TimeSums::default());
            self.sums = slower.scaled(f64::from(count) / slower.calls());
        }
    }

    /// Removes and returns the times to send; `None` if there are none.
    pub(in crate::gateway) fn take_unsent(
        &mut self,
        now: Timestamp,
        process: ProcessKey,
    ) -> Option<ProcessTimes> {
        let unsent = std::mem::take(&mut self.unsent).decayed(now);
        (!unsent.is_empty()).then(|| unsent.to_message(process))
    }

    /// Returns the sums of all daemons as they count now.
    pub(in crate::gateway) fn sums(&self, now: Timestamp) -> TimeSums {
        self.sums.decayed(now)
    }

    /// Sets the lasting speed from the estimates of the service.
    pub(in crate::gateway) fn estimate(&mut self, now: Timestamp, estimates: Option<&Estimates>) {
        let sums = self.sums(now);
        self.lasting = estimates.map(|estimates| estimates.factor(&sums));
    }

    /// Sets the time relative to the typical one of the service, and follows it with the weight;
    /// returns the weights before and after if it changed.
    pub(in crate::gateway) fn set_relative(
        &mut self,
        now: Timestamp,
        typical: f64,
        is_weighted: bool,
    ) -> Option<(f64, f64)> {
        self.relative = self.lasting.unwrap_or(typical) / typical;
        self.is_weighted = is_weighted;
        let calls = self.sums(now).calls();
        self.weight.update(now, self.relative, calls);
        let time = if is_weighted { self.weight.time() } else { 1.0 };
        let before = std::mem::replace(&mut self.owner_time, time);
        (before != time).then(|| (before.recip(), time.recip()))
    }

    /// Returns the time relative to the typical one of the service.
    pub(in crate::gateway) fn relative(&self) -> f64 {
        self.relative
    }

    /// Returns the lasting time relative to the prefill model; `None` if nothing is known of the
    /// service.
    pub(in crate::gateway) fn lasting(&self) -> Option<f64> {
        self.lasting
    }

    /// Returns the time relative to the prefill model, as it is now; `None` if nothing is known of
    /// the service, or its endpoints do not differ.
    pub(in crate::gateway) fn current(&self, now: Timestamp) -> Option<f64> {
        let lasting = self.lasting.filter(|_| self.is_weighted)?;
        Some(lasting * self.recent(now))
    }

    /// Returns the time by which the process is weighted as an owner.
    pub(in crate::gateway) fn owner_time(&self) -> f64 {
        self.owner_time
    }

    fn recent(&self, now: Timestamp) -> f64 {
        let (factor, at) = self.recent;
        let age = now.since(at).as_secs_f64() / RECENT_HALF_LIFE.as_secs_f64();
        1.0 + (factor - 1.0) * 0.5_f64.powf(age)
    }
}
