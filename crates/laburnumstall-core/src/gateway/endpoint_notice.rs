//! What endpoints say of themselves in their responses.
//!
//! A notice holds for one process of an endpoint, whatever the key-value store says of it, and
//! every selection of an endpoint obeys it. The first daemon that learns of a change tells its
//! peers, and all daemons repeat what they know in case a message was lost.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;

use super::Gateway;
use super::endpoint_table::EndpointProcess;
use super::peer_message::PeerProtocol;
use super::quarantine_update::millis;
use crate::ids::{DaemonId, ParseIdError};
use crate::limits::bucket::MICRO;
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Interval, in gossip periods, at which all notices are repeated.
const REPEAT_INTERVAL: u32 = 4;
/// Time for which the end of a limit is repeated.
const END_REPEAT_TIME: Duration = Duration::from_secs(10);

domain_value! {
    /// Requests that an endpoint takes from all daemons together, in millionths per second.
    pub struct EndpointLimit(u64);

    /// What a response says of the endpoint's limit.
    #[derive(Default)]
    pub enum LimitNotice {
        /// It names none.
        #[default]
        Unlimited,
        /// It names this one.
        Rate(EndpointLimit),
        /// It names one that cannot be read, so that what was known holds on.
        Unreadable,
    }
}

domain! {
    /// What an endpoint says of itself in a response.
    #[derive(Default)]
    pub struct EndpointNotice {
        /// Whether it leaves and takes no new calls.
        pub is_leaving: bool,
        /// Requests that it takes.
        pub limit: LimitNotice,
        /// What is wrong with the response's notice, if anything.
        pub fault: Option<CompactString>,
    }

    /// What is known of a process of an endpoint, as daemons tell each other.
    #[derive(Eq)]
    pub struct SharedNotice {
        /// The process.
        pub process: EndpointProcess,
        /// Whether it leaves and takes no new calls.
        pub is_leaving: bool,
        /// Requests that it takes; `None` if it names no limit.
        pub limit: Option<EndpointLimit>,
        /// Time since a response named the limit, or ended it, in milliseconds; `None` if none
        /// did.
        pub limit_age_ms: Option<u32>,
    }
}

impl EndpointLimit {
    /// Lowest limit: one request in ten seconds, by which its end can be noticed.
    pub const MIN: Self = Self(MICRO as u64 / 10);
    /// Highest limit.
    pub const MAX: Self = Self(1_000_000 * MICRO as u64);

    /// Returns the limit of `per_second` requests, within the lowest and the highest one; `None`
    /// if the number is not finite.
    pub fn per_second(per_second: f64) -> Option<Self> {
        let micros = per_second * MICRO as f64;
        // The conversion saturates.
        let limit = Self(micros.max(0.0) as u64);
        per_second
            .is_finite()
            .then(|| limit.clamp(Self::MIN, Self::MAX))
    }

    /// Returns the limit in millionths of a request per second.
    pub(super) fn micros(self) -> u64 {
        self.0
    }
}

impl fmt::Display for EndpointLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}req/s", self.0 as f64 / MICRO as f64)
    }
}

impl FromStr for EndpointLimit {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let number = s.strip_suffix("req/s").unwrap_or(s).trim();
        let limit = number.parse().ok().and_then(Self::per_second);
        limit.ok_or_else(|| ParseIdError::new("EndpointLimit", s, "a finite decimal number"))
    }
}

/// What is known of what a process of an endpoint says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct KnownNotice {
    pub(super) is_leaving: bool,
    pub(super) limit: Option<EndpointLimit>,
    /// When a response named the limit, or ended it.
    pub(super) limit_heard_at: Option<Timestamp>,
}

impl KnownNotice {
    /// Returns what is known after a response to a request that was sent at `sent`.
    ///
    /// A process that leaves does not come back. A response without a limit ends it only if its
    /// request was sent later than the limit was last heard of: it may be late.
    fn with_response(self, now: Timestamp, sent: Timestamp, notice: &EndpointNotice) -> Self {
        let limit = match notice.limit {
            LimitNotice::Rate(limit) => Some(limit),
            LimitNotice::Unlimited if self.limit.is_some() && Some(sent) > self.limit_heard_at => {
                None
            }
            LimitNotice::Unlimited | LimitNotice::Unreadable => return self.with_leaving(notice),
        };
        Self {
            limit,
            limit_heard_at: Some(now),
            ..self.with_leaving(notice)
        }
    }

    fn with_leaving(self, notice: &EndpointNotice) -> Self {
        Self {
            is_leaving: self.is_leaving || notice.is_leaving,
            ..self
        }
    }

    /// Returns what is known after a message of a peer; of limits, the one heard last holds.
    fn with_shared(self, now: Timestamp, shared: &SharedNotice) -> Self {
        let age = shared
            .limit_age_ms
            .map(u64::from)
            .map(Duration::from_millis);
        let heard_at = age.map(|age| now.before(age));
        let is_newer = heard_at > self.limit_heard_at;
        Self {
            is_leaving: self.is_leaving || shared.is_leaving,
            limit: if is_newer { shared.limit } else { self.limit },
            limit_heard_at: heard_at.max(self.limit_heard_at),
        }
    }

    /// Returns the notice for peers; `None` if there is nothing to say.
    pub(super) fn share(self, now: Timestamp, process: EndpointProcess) -> Option<SharedNotice> {
        let age = self.limit_heard_at.map(|at| now.since(at));
        let has_ended = self.limit.is_none() && age.is_some_and(|age| age < END_REPEAT_TIME);
        (self.is_leaving || self.limit.is_some() || has_ended).then(|| SharedNotice {
            process,
            is_leaving: self.is_leaving,
            limit: self.limit,
            limit_age_ms: age.map(millis),
        })
    }
}

/// Message to several peers.
#[derive(Debug, Clone, PartialEq)]
pub struct NoticeBroadcast {
    /// Peers, with their addresses.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// Notices to send to each of them.
    pub notices: Vec<SharedNotice>,
}

/// Notices that wait to be sent to peers.
#[derive(Debug, Default)]
pub(super) struct NoticeOutbox {
    changed: Vec<SharedNotice>,
    repeated_at: Timestamp,
}

impl Gateway {
    /// Records what an endpoint said of itself in the response to a request sent at `sent`.
    pub fn on_endpoint_notice(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        sent: Timestamp,
        notice: &EndpointNotice,
    ) {
        if let Some(fault) = &notice.fault {
            let journal = &mut self.journal;
            self.endpoints
                .on_unreadable_notice(now, process, fault, journal);
        }
        let known = self.endpoints.notice_of(process);
        let notice = known.with_response(now, sent, notice);
        if self.set_notice(now, process, notice, "response") {
            let shared = notice.share(now, process.clone());
            self.notice_outbox.changed.extend(shared);
        }
    }

    /// Records what peers know of endpoints.
    pub fn on_peer_notices(&mut self, now: Timestamp, notices: Vec<SharedNotice>) {
        for shared in notices {
            let known = self.endpoints.notice_of(&shared.process);
            let notice = known.with_shared(now, &shared);
            self.set_notice(now, &shared.process, notice, "peer");
        }
    }

    /// Returns the notices that are due, and the peers to send them to.
    pub fn take_endpoint_notices(&mut self, now: Timestamp) -> Option<NoticeBroadcast> {
        let interval = self.peer_table.gossip_period() * REPEAT_INTERVAL;
        let outbox = &mut self.notice_outbox;
        let notices = if now.since(outbox.repeated_at) >= interval {
            outbox.repeated_at = now;
            outbox.changed.clear();
            self.endpoints.notices(now).collect()
        } else {
            std::mem::take(&mut outbox.changed)
        };
        if notices.is_empty() {
            return None;
        }
        let peers = self
            .peer_table
            .reachable(now)
            .filter(|peer| peer.protocol >= PeerProtocol::NEWEST)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address));
        Some(NoticeBroadcast {
            peers: peers.collect(),
            notices,
        })
    }

    fn set_notice(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        notice: KnownNotice,
        source: &str,
    ) -> bool {
        let is_changed = self
            .endpoints
            .set_notice(now, process, notice, source, &mut self.journal);
        if is_changed {
            self.refresh_endpoints(now);
        }
        is_changed
    }
}
