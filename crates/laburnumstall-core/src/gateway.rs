//! Decisions about requests that live as long as their caller's connection.
//!
//! A service of durability `connection` keeps no copy of a request: the caller retries it
//! when its connection ends. So the daemon decides only a few times per request and otherwise
//! copies bytes. [`Gateway`] makes these decisions: [`Gateway::admit`],
//! [`Gateway::select_endpoint`], [`Gateway::after_failure`] and [`Gateway::end`]. Tokens do
//! not pass through it.
//!
//! Like the rest of this crate, the gateway reads no clock and opens no socket.

mod buffer_budget;
mod call;
mod crash_evidence;
mod demand;
mod directory;
mod endpoint_limiter;
mod endpoint_model;
mod endpoint_notice;
mod endpoint_search;
mod endpoint_table;
mod freshness;
mod gossip;
mod health;
mod load_balancer;
mod lost_calls;
mod peer_message;
mod planned_stop;
mod prefill;
mod quarantine_update;
mod quota;
mod reclaim;
mod recovery;
mod replacement;
mod requests;
mod resumption;
mod rollout;
mod rules;
mod rules_floor;
mod scaling;
mod send_budget;
mod state;
mod stored_holds;
mod stored_origins;
mod stored_versions;
mod stream_origin;
mod usage;
mod version_history;
mod version_shares;
mod view;

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::{Decision, Journal};
use crate::ids::{AvailabilityZone, DaemonId, EndpointId, ServiceName};
use crate::limits::{DelayedShare, RetryWindow};
use crate::quarantine::CrashTally;
use crate::units::Timestamp;

pub use buffer_budget::{BufferBudget, BufferShare};
pub use call::{AdmittedCall, BodyDigest, CallAttributes, EventTimes, Prompt, PromptPart};
pub use demand::DemandCounter;
pub use endpoint_limiter::EndpointLimiter;
pub use endpoint_model::{ProcessKey, ProcessTimes, SpeedBroadcast};
pub use endpoint_notice::{
    EndpointLimit, EndpointNotice, LimitNotice, NoticeBroadcast, SharedNotice,
};
pub use endpoint_table::{
    EndpointEntry, EndpointProcess, EndpointRecord, EndpointTable, REREGISTER_TIME,
};
pub use freshness::StoreFreshness;
pub use gossip::{
    EndpointKey, EndpointLoad, GOSSIP_PERIOD, GossipMessage, MemberRecord, Peer, PeerTable,
    ServiceDemand,
};
pub use health::CallOutcome;
pub use load_balancer::{CallAttempt, EndpointQuery, LoadBalancer, VersionGate};
pub use lost_calls::{EndpointCheck, EndpointState};
pub use peer_message::{PeerMessage, PeerProtocol};
pub use planned_stop::PlannedStop;
pub use prefill::prefill_time;
pub use quarantine_update::{ProcessCrash, QuarantineUpdate, SuspectClearance, SuspectHold};
pub use quota::{QuotaLedger, QuotaUsage};
pub use reclaim::{
    EndBroadcast, EndpointEnd, KvHandle, KvSource, MoveLink, MoveReply, ReclaimChoice,
    ReclaimState, ReclaimStep, RunOutlook, SourceOutlook, choose, transfer_share,
};
pub use recovery::{CallFailure, FailureAction, RETRY_AFTER};
pub use resumption::{COPIES, OriginAnswer, OriginLookup, OriginQuery, OriginReply};
pub use rollout::{
    EvidenceBroadcast, Finding, FindingCause, OrderEntry, RolloutBounds, RolloutEvidence,
    RolloutOrder, RolloutPhase, RolloutScope, RolloutStatus, RolloutSummary, RolloutWrite,
    RouteCounts, RouteKey, SideCounts, StoredRollout, TimeHistogram,
};
pub use rules::{
    BackendRule, CallKind, CallerLimits, CustomerRule, Quota, QuotaUnit, RouteRule, RouteTarget,
    RoutingRules, RoutingTable, ScalingRule, ServiceRule,
};
pub use scaling::{Capacity, ScaleOrder, ScaleOutcome, Scaler};
pub use stored_holds::{HoldWrite, StoredHold};
pub use stored_origins::{OriginSegment, SegmentFault, SegmentWrite};
pub use stored_versions::{StoredVersions, VersionsWrite};
pub use stream_origin::{
    AttemptDigest, KnownOrigin, MAX_ORIGINS, OriginGroup, OriginSource, OriginTable, RETURN_TIME,
    StreamOrigin,
};
pub use usage::{UsageCount, UsageCounter, UsageReport};
pub use version_history::VersionHistory;
pub use version_shares::{VersionShares, VersionTable};
pub use view::{EraChange, ViewBatch, ViewChange, ViewUpdate};

/// Limits that the platform sets for all daemons together.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time within which a revoked key must be refused; `None` if keys may be trusted without
    /// contact to the key-value store.
    pub revocation: Option<Duration>,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per window regardless of load, across all daemons.
    pub retry_allowance: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Limits of rollouts; `None` if no orders of rollouts are followed.
    pub rollout: Option<RolloutBounds>,
}

/// Handles the requests of one daemon that live as long as their connection.
#[derive(Debug)]
pub struct Gateway {
    own: DaemonId,
    caller_address: SocketAddr,
    bounds: Bounds,
    routing_table: Option<RoutingTable>,
    rules_floor: rules_floor::RulesFloor,
    freshness: StoreFreshness,
    view: view::StoreView,
    endpoints: EndpointTable,
    notice_outbox: endpoint_notice::NoticeOutbox,
    speed_outbox: endpoint_model::SpeedOutbox,
    return_schedules: std::collections::BTreeMap<ServiceName, endpoint_limiter::ReturnSchedule>,
    load_balancer: LoadBalancer,
    peer_table: PeerTable,
    quotas: QuotaLedger,
    retry_windows: std::collections::BTreeMap<ServiceName, RetryWindow>,
    retry_share: DelayedShare,
    usage: UsageCounter,
    demand: DemandCounter,
    origins: OriginTable,
    origin_store: stored_origins::OriginStore,
    versions: VersionHistory,
    /// Services whose stored versions are those of a copy that the store came back from.
    copied_versions: std::collections::BTreeSet<ServiceName>,
    /// Services whose tables of versions contradict where a stream began.
    share_contradictions: std::collections::BTreeSet<ServiceName>,
    send_budget: send_budget::SendBudget,
    has_origins_to_send: bool,
    quarantine: CrashTally,
    lost_calls: lost_calls::LostCalls,
    crash_budget: send_budget::SendBudget,
    quarantine_outbox: quarantine_update::Outbox,
    stored_holds: stored_holds::StoredHolds,
    rollouts: rollout::Rollouts,
    planned_stop: Option<PlannedStop>,
    reclaims: reclaim::Reclaims,
    /// When the endpoints were first listed.
    first_listed_at: Option<Timestamp>,
    gossip_sequence: u64,
    store_ok_since: Option<Timestamp>,
    journal: Journal,
}

impl Gateway {
    /// Creates the gateway of a daemon in `zone` that callers reach at `caller_address`.
    pub fn new(
        own: DaemonId,
        zone: AvailabilityZone,
        caller_address: SocketAddr,
        bounds: Bounds,
    ) -> Self {
        Self {
            own,
            caller_address,
            routing_table: None,
            rules_floor: rules_floor::RulesFloor::default(),
            freshness: StoreFreshness::new(bounds.revocation),
            view: view::StoreView::default(),
            endpoints: EndpointTable::default(),
            notice_outbox: endpoint_notice::NoticeOutbox::default(),
            speed_outbox: endpoint_model::SpeedOutbox::default(),
            return_schedules: std::collections::BTreeMap::new(),
            load_balancer: LoadBalancer::new(zone),
            peer_table: PeerTable::default(),
            quotas: QuotaLedger::new(),
            retry_windows: std::collections::BTreeMap::new(),
            retry_share: DelayedShare::new(bounds.retry_window),
            usage: UsageCounter::new(bounds.usage_window),
            demand: DemandCounter::default(),
            origins: OriginTable::default(),
            origin_store: stored_origins::OriginStore::default(),
            versions: VersionHistory::default(),
            copied_versions: std::collections::BTreeSet::new(),
            share_contradictions: std::collections::BTreeSet::new(),
            send_budget: send_budget::SendBudget::default(),
            has_origins_to_send: false,
            quarantine: CrashTally::default(),
            lost_calls: lost_calls::LostCalls::default(),
            crash_budget: send_budget::SendBudget::default(),
            quarantine_outbox: quarantine_update::Outbox::default(),
            stored_holds: stored_holds::StoredHolds::default(),
            rollouts: rollout::Rollouts::default(),
            planned_stop: None,
            reclaims: reclaim::Reclaims::default(),
            first_listed_at: None,
            gossip_sequence: 0,
            store_ok_since: None,
            journal: Journal::default(),
            bounds,
        }
    }

    /// Replaces the limits. What was counted towards them stays counted.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.freshness.set_revocation(bounds.revocation);
        self.retry_share.set_window(bounds.retry_window);
        for window in self.retry_windows.values_mut() {
            window.set_limit(bounds.retry_window, bounds.retry_ratio);
        }
        self.bounds = bounds;
    }

    /// Returns and clears the decisions recorded since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.journal.take()
    }

    /// Returns the indexed configuration in force; `None` before the first one.
    pub fn routing_table(&self) -> Option<&RoutingTable> {
        self.routing_table.as_ref()
    }

    /// Returns the known endpoints.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the known peers.
    pub fn peer_table(&self) -> &PeerTable {
        &self.peer_table
    }

    /// Returns the counts of started requests.
    pub fn usage(&self) -> &UsageCounter {
        &self.usage
    }

    /// Returns the freshness of the view of the key-value store.
    pub fn store_freshness(&self) -> &StoreFreshness {
        &self.freshness
    }

    /// Returns the work requested from this daemon and its peers, by service.
    pub fn demand(&self) -> Vec<(DaemonId, Vec<ServiceDemand>)> {
        let peers = self.peer_table.peers().filter_map(|peer| {
            let message = peer.last_message.as_ref()?;
            Some((peer.member.id.clone(), message.demand.clone()))
        });
        std::iter::once((self.own.clone(), self.demand.all()))
            .chain(peers)
            .collect()
    }

    /// Returns the time that an endpoint takes relative to the typical time of its service; 1.0 if
    /// unknown.
    pub fn endpoint_speed(&self, id: &EndpointId) -> f64 {
        self.load_balancer.speed(id)
    }

    fn version(&self) -> u64 {
        self.routing_table
            .as_ref()
            .map_or(0, |table| table.rules().version.get())
    }
}
