//! Requests that live as long as their caller's connection.
//!
//! A service of durability `connection` keeps no copy of a request: the caller comes back
//! itself when its connection ends. So the daemon decides a few times in a request's life
//! and otherwise moves bytes. [`Gateway`] takes these decisions: [`Gateway::admit`] (may
//! it run), [`Gateway::select_endpoint`] (where), [`Gateway::after_failure`] (what next) and
//! [`Gateway::end`]. Tokens never pass it.
//!
//! Like the rest of this crate it reads no clock and opens no socket.

mod call;
mod demand;
mod directory;
mod endpoint_table;
mod freshness;
mod gossip;
mod health;
mod load_balancer;
mod prefill;
mod quota;
mod recovery;
mod requests;
mod rules;
mod scaling;
mod state;
mod usage;
mod view;

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::{Decision, Journal};
use crate::ids::{AvailabilityZone, DaemonId, ServiceName};
use crate::limits::RetryWindow;
use crate::units::Timestamp;

pub use call::{AdmittedCall, CallAttributes, Prompt, PromptPart};
pub use demand::DemandCounter;
pub use endpoint_table::{EndpointEntry, EndpointRecord, EndpointTable, REREGISTER_TIME};
pub use freshness::StoreFreshness;
pub use gossip::{
    EndpointKey, EndpointLoad, GOSSIP_PERIOD, GossipMessage, Peer, PeerTable, ServiceDemand,
};
pub use health::CallOutcome;
pub use load_balancer::{CallAttempt, EndpointQuery, LoadBalancer};
pub use prefill::prefill_time;
pub use quota::{QuotaLedger, QuotaUsage};
pub use recovery::{CallFailure, FailureAction, RETRY_AFTER};
pub use rules::{
    CallKind, CallerLimits, CustomerRule, Quota, QuotaUnit, RouteRule, RouteTarget, RoutingRules,
    RoutingTable, ScalingRule, ServiceRule,
};
pub use scaling::{Capacity, ScaleOrder, ScaleOutcome, Scaler};
pub use usage::{UsageCount, UsageCounter, UsageReport};
pub use view::{ViewBatch, ViewChange, ViewUpdate};

/// What the operators' platform asks of all daemons together.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time within which a withdrawn key must be refused; `None` if keys may be relied on
    /// without contact.
    pub revocation: Option<Duration>,
    /// Retries allowed for each request of a service.
    pub retry_ratio: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in a window at any load, over all daemons.
    pub retry_allowance: f64,
    /// Length of a window of usage.
    pub usage_window: Duration,
}

/// The decisions of one daemon about requests that live as long as their connection.
#[derive(Debug)]
pub struct Gateway {
    own: DaemonId,
    front: SocketAddr,
    bounds: Bounds,
    table: Option<RoutingTable>,
    freshness: StoreFreshness,
    view: view::StoreView,
    endpoints: EndpointTable,
    load_balancer: LoadBalancer,
    peer_table: PeerTable,
    quotas: QuotaLedger,
    retries: std::collections::BTreeMap<ServiceName, RetryWindow>,
    usage: UsageCounter,
    demand: DemandCounter,
    is_stopping: bool,
    sequence: u64,
    steady_since: Option<Timestamp>,
    journal: Journal,
}

impl Gateway {
    /// Creates the gateway of a daemon in `zone` whose address for callers is `front`.
    pub fn new(own: DaemonId, zone: AvailabilityZone, front: SocketAddr, bounds: Bounds) -> Self {
        Self {
            own,
            front,
            table: None,
            freshness: StoreFreshness::new(bounds.revocation),
            view: view::StoreView::default(),
            endpoints: EndpointTable::default(),
            load_balancer: LoadBalancer::new(zone),
            peer_table: PeerTable::default(),
            quotas: QuotaLedger::new(),
            retries: std::collections::BTreeMap::new(),
            usage: UsageCounter::new(bounds.usage_window),
            demand: DemandCounter::default(),
            is_stopping: false,
            sequence: 0,
            steady_since: None,
            journal: Journal::default(),
            bounds,
        }
    }

    /// Takes over changed bounds; the retry windows begin anew only if there are any.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if bounds == self.bounds {
            return;
        }
        self.freshness.set_revocation(bounds.revocation);
        self.bounds = bounds;
        self.retries.clear();
    }

    /// Takes the decisions recorded since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.journal.take()
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&RoutingTable> {
        self.table.as_ref()
    }

    /// Returns the endpoints known.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the other daemons known.
    pub fn peer_table(&self) -> &PeerTable {
        &self.peer_table
    }

    /// Returns the counts of begun requests.
    pub fn usage(&self) -> &UsageCounter {
        &self.usage
    }

    /// Returns the contact with the key-value service.
    pub fn store_freshness(&self) -> &StoreFreshness {
        &self.freshness
    }

    /// Returns the work asked for by all daemons that are known, by service.
    pub fn demand(&self) -> Vec<(DaemonId, Vec<ServiceDemand>)> {
        let peers = self.peer_table.peers().filter_map(|peer| {
            let message = peer.last_message.as_ref()?;
            Some((peer.member.id.clone(), message.demand.clone()))
        });
        std::iter::once((self.own.clone(), self.demand.all()))
            .chain(peers)
            .collect()
    }

    fn version(&self) -> u64 {
        self.table
            .as_ref()
            .map_or(0, |table| table.rules().version.get())
    }
}
