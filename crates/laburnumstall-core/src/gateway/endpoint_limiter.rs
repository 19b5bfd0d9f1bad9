//! This daemon's share of the limits that endpoints name.
//!
//! A limit holds for all daemons together, and a request that finds no room at one endpoint goes
//! to another one, or is refused, without a question to peers. So each limit is split among as
//! many daemons as can spend a request at the same moment without exceeding it by much: four,
//! and one more for each request per second. The daemons with a share are the first ones for the
//! endpoint in the order of rendezvous hashing, which all daemons compute alike from the members
//! they know; the others leave the endpoint to them. A daemon that cannot be reached keeps its
//! share until it is no longer registered, so that the parts of a divided fleet do not use the
//! limit twice, and one that starts again has the share of its VM.

use std::time::Duration;

use super::endpoint_notice::EndpointLimit;
use crate::hash::rendezvous_weight;
use crate::limits::bucket::{Bucket, MICRO};
use crate::units::Timestamp;

/// Daemons with a share of a limit below one request per second.
const MIN_DAEMONS: u64 = 4;
/// Time for which a share may be saved up if that is more than one request.
const BURST: Duration = Duration::from_millis(250);
/// Latest time that a refused caller is told to come back.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

/// Place of this daemon among those that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Share {
    position: u64,
    daemons: u64,
}

/// Share of one endpoint's limit.
#[derive(Debug, Clone)]
pub struct EndpointLimiter {
    limit: EndpointLimit,
    /// `None` if the limit is left to other daemons.
    share: Option<(Share, Bucket)>,
}

impl EndpointLimiter {
    /// Creates the share of an endpoint's limit for the daemon `own` beside `peers`; endpoint and
    /// daemons are given by hash.
    pub fn new(
        now: Timestamp,
        limit: EndpointLimit,
        endpoint: u64,
        own: u64,
        peers: &[u64],
    ) -> Self {
        let share = Share::of(limit, endpoint, own, peers);
        Self {
            limit,
            share: share.map(|share| (share, share.bucket(now, limit))),
        }
    }

    /// Adapts the share to a changed limit or changed peers, without a request more.
    pub fn update(
        &mut self,
        now: Timestamp,
        limit: EndpointLimit,
        endpoint: u64,
        own: u64,
        peers: &[u64],
    ) {
        let share = Share::of(limit, endpoint, own, peers);
        let known = self.share.as_ref().map(|(share, _)| *share);
        if limit == self.limit && share == known {
            return;
        }
        let bucket = |share: Share| match &self.share {
            Some((_, bucket)) => bucket.resized(now, share.rate(limit), burst(share.rate(limit))),
            None => share.bucket(now, limit),
        };
        self.share = share.map(|share| (share, bucket(share)));
        self.limit = limit;
    }

    /// Returns the time until a request may be sent; `None` if the limit is left to others.
    pub fn room_in(&self, now: Timestamp) -> Option<Duration> {
        let (_, bucket) = self.share.as_ref()?;
        bucket.clone().wait(now, MICRO)
    }

    /// Returns whether a request may be sent now.
    pub fn has_room(&self, now: Timestamp) -> bool {
        self.room_in(now) == Some(Duration::ZERO)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Timestamp) {
        if let Some((_, bucket)) = &mut self.share {
            bucket.take(now, MICRO);
        }
    }

    /// Returns the requests per second that this daemon may send, in millionths.
    pub fn rate(&self) -> i64 {
        self.share
            .as_ref()
            .map_or(0, |(share, _)| share.rate(self.limit))
    }
}

impl Share {
    fn of(limit: EndpointLimit, endpoint: u64, own: u64, peers: &[u64]) -> Option<Self> {
        let weight = |daemon: u64| rendezvous_weight(endpoint, daemon);
        let is_before = |peer: &&u64| (weight(**peer), **peer) > (weight(own), own);
        let position = peers.iter().filter(is_before).count() as u64;
        let all = 1 + peers.len() as u64;
        let daemons = all.min(MIN_DAEMONS + limit.micros() / MICRO as u64);
        (position < daemons).then_some(Self { position, daemons })
    }

    fn rate(self, limit: EndpointLimit) -> i64 {
        (limit.micros() / self.daemons) as i64
    }

    /// Returns a bucket whose first request is due at this share's turn.
    fn bucket(self, now: Timestamp, limit: EndpointLimit) -> Bucket {
        let rate = self.rate(limit);
        let mut bucket = Bucket::empty(now, rate, burst(rate));
        bucket.take(now, -(MICRO * self.position as i64 / self.daemons as i64));
        bucket
    }
}

/// Returns the time for which a rate may be saved up.
fn burst(rate: i64) -> Duration {
    let one_request = Duration::from_micros((MICRO as u64).pow(2).div_ceil(rate.max(1) as u64));
    one_request.max(BURST)
}

/// When callers that found no room are told to come back, one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReturnSchedule {
    next_at: Timestamp,
}

impl ReturnSchedule {
    /// Returns the retry delay of a caller if there is room in `room_in` and then `rate` times a
    /// second, in millionths; later than for those refused before.
    pub(super) fn next(&mut self, now: Timestamp, room_in: Duration, rate: i64) -> Duration {
        let latest = now.after(MAX_RETURN_TIME);
        let at = self.next_at.max(now.after(room_in)).min(latest);
        let interval = Duration::from_secs_f64(MICRO as f64 / rate.max(1) as f64);
        self.next_at = at.after(interval.min(MAX_RETURN_TIME));
        at.since(now)
    }
}
