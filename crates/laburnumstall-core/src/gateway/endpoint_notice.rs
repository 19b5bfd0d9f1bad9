//! What endpoints say of themselves in their responses.
//!
//! A notice holds for one process of an endpoint, whatever the key-value store says of it, and
//! every selection of an endpoint obeys it. The daemon that learns of a change first tells its
//! peers, within a bound of bytes, and each daemon repeats what it knows to a few peers in turn, for
//! those that missed a message or have just started.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;

use super::Gateway;
use super::endpoint_table::EndpointProcess;
use super::gossip::daemon_hash;
use super::peer_message::PeerProtocol;
use super::quarantine_update::millis;
use super::send_budget::{MESSAGE_BYTES, SendBudget};
use crate::decision::{Decision, DecisionKind};
use crate::ids::{DaemonId, ParseIdError};
use crate::limits::bucket::MICRO;
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Interval, in gossip periods, at which notices are repeated.
const REPEAT_INTERVAL: u32 = 4;
/// Peers that notices are repeated to at each interval.
const REPEAT_PEERS: usize = 3;
/// Maximum number of notices in one message.
const MAX_NOTICES: usize = 64;
/// Bytes of one notice in a message.
const NOTICE_BYTES: f64 = 40.0;
/// Intervals for which the end of a limit is repeated: until each peer has been told.
const END_REPEATS: u32 = 10;
/// Shortest time without a word of a limit after which it no longer holds: its end may have been
/// missed.
const MIN_LIMIT_AGE: Duration = Duration::from_secs(30);

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
        /// Time for which it wants no request from this daemon.
        pub pause: Option<Duration>,
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
    /// When this daemon learned that it leaves.
    pub(super) leaving_since: Option<Timestamp>,
    /// When it ends at the latest.
    pub(super) ends_at: Option<Timestamp>,
}

/// End of an endpoint that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NoticeEnd {
    /// When this daemon learned that it leaves.
    pub(super) since: Timestamp,
    /// When it ends at the latest; `None` if unknown.
    pub(super) ends_at: Option<Timestamp>,
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
            ..self
        }
    }

    /// Returns what is known of a process that leaves, by the earliest end that was heard of: news
    /// of it take time, so each one is at most later than the end.
    pub(super) fn with_end(self, now: Timestamp, ends_at: Option<Timestamp>) -> Self {
        Self {
            leaving_since: self.leaving_since.or(Some(now)),
            ends_at: self.ends_at.into_iter().chain(ends_at).min(),
            ..self
        }
    }

    /// Returns what is known of a process that has taken back that it ends.
    pub(super) fn without_end(self) -> Self {
        Self {
            leaving_since: None,
            ends_at: None,
            ..self
        }
    }

    /// Returns the notice for peers; `None` if there is nothing to say.
    /// That a limit has ended is said for `end_time`.
    pub(super) fn share(
        self,
        now: Timestamp,
        process: EndpointProcess,
        end_time: Duration,
    ) -> Option<SharedNotice> {
        let age = self.limit_heard_at.map(|at| now.since(at));
        let has_ended = self.limit.is_none() && age.is_some_and(|age| age < end_time);
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
    /// Processes whose notices changed by a response.
    changed: BTreeSet<EndpointProcess>,
    budget: SendBudget,
    repeated_at: Timestamp,
    /// Number of repetitions so far.
    repeats: usize,
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
        if let Some(pause) = notice.pause {
            self.pause_endpoint(now, process, pause);
        }
        let known = self.endpoints.notice_of(process);
        let notice = known.with_response(now, sent, notice);
        if notice != known && self.set_notice(now, process, notice, "response") {
            self.notice_outbox.changed.insert(process.clone());
        }
    }

    /// Sends nothing to an endpoint for the time that it asked this daemon for; peers go on.
    fn pause_endpoint(&mut self, now: Timestamp, process: &EndpointProcess, pause: Duration) {
        if self.load_balancer.pause(process, now.after(pause)) {
            self.journal.record(
                Decision::new(now, DecisionKind::Membership, "paused", "asked")
                    .with("endpoint", &process.id)
                    .with("born", process.started_at_ms)
                    .with("for_ms", pause.as_millis()),
            );
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
        if now.since(self.notice_outbox.repeated_at) >= self.repeat_interval() {
            self.notice_outbox.repeated_at = now;
            return self.repeat_notices(now);
        }
        if self.notice_outbox.changed.is_empty() {
            return None;
        }
        let daemons = 1 + self.peer_table.len();
        if self.notice_outbox.budget.left(now, daemons) <= 0.0 {
            return None;
        }
        let changed = std::mem::take(&mut self.notice_outbox.changed);
        let end_time = self.repeat_interval() * END_REPEATS;
        let notices = changed.into_iter().filter_map(|process| {
            let notice = self.endpoints.notice_of(&process);
            notice.share(now, process, end_time)
        });
        let notices: Vec<SharedNotice> = notices.take(MAX_NOTICES).collect();
        let peers = self.notice_peers(now);
        let bytes = MESSAGE_BYTES + NOTICE_BYTES * notices.len() as f64;
        self.notice_outbox.budget.spend(bytes * peers.len() as f64);
        (!notices.is_empty()).then_some(NoticeBroadcast { peers, notices })
    }

    /// Returns the notices that are repeated, and the peers whose turn it is.
    fn repeat_notices(&mut self, now: Timestamp) -> Option<NoticeBroadcast> {
        let repeats = self.notice_outbox.repeats;
        self.notice_outbox.repeats = repeats.wrapping_add(1);
        let end_time = self.repeat_interval() * END_REPEATS;
        let mut notices: Vec<SharedNotice> = self.endpoints.notices(now, end_time).collect();
        let mut peers = self.notice_peers(now);
        if notices.is_empty() || peers.is_empty() {
            return None;
        }
        let first_notice = repeats.wrapping_mul(MAX_NOTICES) % notices.len();
        notices.rotate_left(first_notice);
        notices.truncate(MAX_NOTICES);
        // Daemons begin with different peers.
        let offset = daemon_hash(&self.own) as usize % peers.len();
        let first_peer = (offset + repeats.wrapping_mul(REPEAT_PEERS)) % peers.len();
        peers.rotate_left(first_peer);
        peers.truncate(REPEAT_PEERS);
        Some(NoticeBroadcast { peers, notices })
    }

    fn notice_peers(&self, now: Timestamp) -> Vec<(DaemonId, SocketAddr)> {
        self.peer_table
            .reachable(now)
            .filter(|peer| peer.protocol >= PeerProtocol::STORE_ERA)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address))
            .collect()
    }

    fn repeat_interval(&self) -> Duration {
        self.peer_table.gossip_period() * REPEAT_INTERVAL
    }

    /// Ends limits that nobody has heard of for a long time; returns whether there were any.
    pub(super) fn end_silent_limits(&mut self, now: Timestamp) -> bool {
        let max_age = MIN_LIMIT_AGE.max(self.repeat_interval() * REPEAT_INTERVAL);
        self.endpoints
            .end_silent_limits(now, max_age, &mut self.journal)
    }

    pub(super) fn set_notice(
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
