//! Duties of the lease holder: it reports usage, orders endpoints and decides on rollouts.
//!
//! One daemon at a time holds the lease and its fencing token. A usage report is written to
//! the key-value store before it is sent, so that every retry sends the same report. If the
//! platform does not check fencing tokens, a new holder waits until no call of a previous
//! holder can be in flight.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::decision::Journal;
use laburnumstall_core::gateway::{
    GOSSIP_PERIOD, Gateway, ScaleOrder, ScaleOutcome, Scaler, ScalingRule, UsageReport,
};
use laburnumstall_core::ids::{FencingToken, ParseIdError, ServiceName};
use laburnumstall_core::membership::Member;
use laburnumstall_core::placement::{LeaseClient, LeaseTiming, is_candidate};
use laburnumstall_core::store::{StoreCall, StoreKey, StoreReply};
use laburnumstall_core::units::Timestamp;
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::duties::{DutyClient, DutyOutcome};
use laburnumstall_platform::store::Store;
use tokio::time::{MissedTickBehavior, interval};

use super::context::Context;
use super::log::Event;
use super::rollouts::StateWriter;

/// Interval of the check for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a window's end in which the last gossip messages with its counts arrive.
const COUNTS_ARRIVAL_DELAY: Duration = Duration::from_millis(2_500);
/// Gossip periods within which counts arrive even if one message is lost.
const GOSSIP_PERIODS_IN_FLIGHT: u32 = 2;
/// Divisor of the lease's TTL: the margin before expiry at which its holder stops.
const MARGIN_DIVISOR: u32 = 4;
/// Divisor of the lease's TTL: the interval of its renewals.
const RENEW_DIVISOR: u32 = 3;
/// Longest time that a call of a previous holder stays in flight after the next one starts.
const MAX_CALL_DURATION: Duration = Duration::from_millis(300);
/// Time in which the holder of the lease notices that the store came back from a copy.
const RESTORE_NOTICE_TIME: Duration = Duration::from_secs(2);
/// Prefix of the store keys that hold persisted reports.
const REPORTS_PREFIX: &str = "usage/";

/// Performs the duties while this daemon holds the lease.
pub(super) struct LeaderDuties {
    cx: Rc<Context>,
    store: Rc<Store>,
    client: DutyClient,
    own: Member,
    lease: RefCell<LeaseClient>,
    scaler: RefCell<Scaler>,
    rollouts: Rc<StateWriter>,
    /// Windows whose report was accepted, also under an earlier lease.
    reported: RefCell<BTreeSet<u64>>,
    in_flight: RefCell<BTreeSet<u64>>,
}

impl LeaderDuties {
    /// Creates the duties of the daemon `own`, without the lease.
    ///
    /// # Errors
    ///
    /// [`ParseIdError`] if the region's name is not valid in a store key.
    pub(super) fn new(
        cx: Rc<Context>,
        store: Rc<Store>,
        client: DutyClient,
        own: Member,
    ) -> Result<Rc<Self>, ParseIdError> {
        let ttl = cx.settings.duty_lease;
        let timing = LeaseTiming {
            ttl,
            margin: ttl / MARGIN_DIVISOR,
            renew: ttl / RENEW_DIVISOR,
            poll: ttl / 2,
            call_timeout: ttl / 2,
            max_order_lifetime: MAX_CALL_DURATION,
            // The store loses acknowledged writes only with its era.
            trusts_absence: true,
        };
        let lease = LeaseClient::with_timing(own.id.clone(), &cx.settings.region, timing)?;
        let rollouts = StateWriter::new(Rc::clone(&cx), Rc::clone(&store));
        Ok(Rc::new(Self {
            rollouts,
            cx,
            store,
            client,
            own,
            lease: RefCell::new(lease),
            scaler: RefCell::default(),
            reported: RefCell::default(),
            in_flight: RefCell::default(),
        }))
    }

    /// Ticks the lease and performs due work, forever.
    pub(super) async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick_lease();
            if self.cx.settings.orders_endpoints {
                self.observe_load();
            }
            let now = self.cx.now();
            if self.token(now).is_none() {
                if self.is_idle(now) {
                    self.scaler.borrow_mut().reset();
                }
                continue;
            }
            if self.cx.settings.bounds.rollout.is_some() {
                self.rollouts.write_due();
            }
            if self.cx.settings.reports_usage {
                self.report_due_windows(now);
            }
            if self.cx.settings.orders_endpoints {
                self.plan_endpoints();
            }
        }
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        !self.lease.borrow().may_order(now)
    }

    /// Returns the fencing token if calls may be made now.
    fn token(&self, now: Timestamp) -> Option<FencingToken> {
        let lease = self.lease.borrow();
        let may_order = match self.cx.settings.checks_fencing {
            true => lease.may_order_after_cooldown(now),
            false => lease.may_order_unfenced(now),
        };
        lease.token(now).filter(|_| may_order)
    }

    fn tick_lease(self: &Rc<Self>) {
        let is_holder = !self.is_idle(self.cx.now());
        let is_candidate = self.cx.with_gateway(|gateway, now| {
            let others = gateway.peer_table().reachable(now).map(|peer| &peer.member);
            let all: Vec<&Member> = others.chain([&self.own]).collect();
            let region = &self.cx.settings.region;
            // A holder stays a candidate when others rank higher: a handover gains nothing.
            !gateway.is_stopping() && (is_holder || is_candidate(&self.own.id, region, &all))
        });
        let mut journal = Journal::default();
        let mut lease = self.lease.borrow_mut();
        lease.set_era(self.cx.now(), self.store.newest_era(), &mut journal);
        lease.set_candidate(is_candidate);
        let requests = lease.tick(self.cx.now(), &mut journal);
        drop(lease);
        self.log_decisions(journal);
        for request in requests {
            let this = Rc::clone(self);
            actix_rt::spawn(async move {
                let outcome = this.store.call(request.call).await;
                let mut journal = Journal::default();
                let now = this.cx.now();
                let mut lease = this.lease.borrow_mut();
                lease.set_era(now, this.store.newest_era(), &mut journal);
                lease.on_store(now, request.id, outcome, &mut journal);
                drop(lease);
                this.log_decisions(journal);
            });
        }
    }

    fn log_decisions(&self, journal: Journal) {
        self.cx.record(journal);
    }

    // Usage.

    fn report_due_windows(self: &Rc<Self>, now: Timestamp) {
        let (current_window, windows) = self.cx.with_gateway(|gateway, now| {
            let usage = gateway.usage();
            let current = usage.window_at(now);
            // In a large fleet the gossip period is longer, so counts arrive later.
            let extra_period = gateway
                .peer_table()
                .gossip_period()
                .saturating_sub(GOSSIP_PERIOD);
            let arrival_delay = COUNTS_ARRIVAL_DELAY + extra_period * GOSSIP_PERIODS_IN_FLIGHT;
            // A holder may have sent another report, which the store has forgotten.
            let is_forgotten = |end: Timestamp| {
                let restored_at = gateway.store_restored_at();
                restored_at
                    .is_some_and(|at| end.after(arrival_delay) < at.after(RESTORE_NOTICE_TIME))
            };
            let is_due = |window: &u64| {
                let end = usage.window_end(*window);
                !is_forgotten(end)
                    && now >= end.after(arrival_delay)
                    && now.since(end) < self.cx.settings.usage_delay
            };
            let windows: Vec<u64> = (current.saturating_sub(4)..current)
                .filter(is_due)
                .collect();
            (current, windows)
        });
        self.reported
            .borrow_mut()
            .retain(|window| window + 8 > current_window);
        for window in windows {
            let is_reported = self.reported.borrow().contains(&window);
            if is_reported || !self.in_flight.borrow_mut().insert(window) {
                continue;
            }
            let this = Rc::clone(self);
            actix_rt::spawn(async move {
                let outcome = this.report(window).await;
                this.cx.event(
                    Event::new("usage-report")
                        .with("window", window)
                        .with("outcome", outcome)
                        .with("age_ms", this.cx.now().since(now).as_millis()),
                );
                this.in_flight.borrow_mut().remove(&window);
            });
        }
    }

    /// Persists the report of a window and sends it; returns the outcome to log.
    async fn report(&self, window: u64) -> &'static str {
        let report = match self.persist_report(window).await {
            Ok(report) => report,
            Err(cause) => return cause,
        };
        let Some(token) = self.token(self.cx.now()) else {
            return "not-holder";
        };
        match self.client.report(token, &report).await {
            DutyOutcome::Accepted => {
                self.reported.borrow_mut().insert(window);
                "accepted"
            }
            DutyOutcome::Conflict => {
                self.on_fenced();
                "fenced"
            }
            DutyOutcome::NotDone => "not-done",
            DutyOutcome::Unclear => "no-reply",
            DutyOutcome::Rejected(_) => "rejected",
        }
    }

    /// Returns the persisted report of a window; if there is none, persists the counts known
    /// now.
    async fn persist_report(&self, window: u64) -> Result<UsageReport, &'static str> {
        let key = format!("{REPORTS_PREFIX}{window}")
            .parse::<StoreKey>()
            .map_err(|_| "no-key")?;
        let report = self
            .cx
            .with_gateway(|gateway, _| gateway.usage().report(window));
        let value = serde_json::to_vec(&report).map_err(|_| "not-encoded")?;
        let swap = StoreCall::Swap {
            key: key.clone(),
            expected: None,
            value: Some(value),
            lease: None,
        };
        let current = match self.store.call(swap).await {
            Ok(StoreReply::Swapped { .. }) => return Ok(report),
            Ok(StoreReply::Conflict {
                current: Some(current),
            }) => Some(current),
            Ok(StoreReply::Conflict { current: None }) => {
                match self.store.call(StoreCall::Get { key }).await {
                    Ok(StoreReply::Value(current)) => current,
                    _ => return Err("not-read"),
                }
            }
            _ => return Err("not-written"),
        };
        let persisted = current.and_then(|stored| serde_json::from_slice(&stored.value?).ok());
        persisted.ok_or("fixed-report-unreadable")
    }

    fn on_fenced(&self) {
        let mut journal = Journal::default();
        self.lease
            .borrow_mut()
            .on_fenced(self.cx.now(), &mut journal);
        self.log_decisions(journal);
    }

    // Endpoints.

    fn observe_load(&self) {
        self.cx.with_gateway(|gateway, now| {
            let demand = gateway.demand();
            for (service, _) in scaled_services(gateway) {
                self.scaler.borrow_mut().observe(now, service, &demand);
            }
        });
    }

    fn plan_endpoints(self: &Rc<Self>) {
        let mut journal = Journal::default();
        let orders: Vec<ScaleOrder> = self.cx.with_gateway(|gateway, now| {
            let mut scaler = self.scaler.borrow_mut();
            scaled_services(gateway)
                .flat_map(|(service, rule)| {
                    scaler.set_rollout(service, gateway.rollout_scope(service));
                    scaler.plan(now, service, rule, gateway.endpoints(), &mut journal)
                })
                .collect()
        });
        self.log_decisions(journal);
        for order in orders {
            let this = Rc::clone(self);
            actix_rt::spawn(async move { this.send_order(order).await });
        }
    }

    async fn send_order(&self, order: ScaleOrder) {
        let Some(token) = self.token(self.cx.now()) else {
            return self.on_order_outcome(&order, ScaleOutcome::Refused);
        };
        let outcome = match self.client.scale(token, &order).await {
            DutyOutcome::Accepted => ScaleOutcome::Accepted,
            DutyOutcome::Conflict => ScaleOutcome::NoneAvailable,
            DutyOutcome::Unclear => ScaleOutcome::Unclear,
            DutyOutcome::NotDone | DutyOutcome::Rejected(_) => ScaleOutcome::Refused,
        };
        self.on_order_outcome(&order, outcome);
    }

    fn on_order_outcome(&self, order: &ScaleOrder, outcome: ScaleOutcome) {
        let mut journal = Journal::default();
        let now = self.cx.now();
        self.scaler
            .borrow_mut()
            .on_outcome(now, order, outcome, &mut journal);
        self.log_decisions(journal);
    }
}

/// Returns the services with a scaling rule, and that rule.
fn scaled_services(gateway: &Gateway) -> impl Iterator<Item = (&ServiceName, &ScalingRule)> {
    let table = gateway.routing_table().into_iter();
    table
        .flat_map(|table| &table.rules().services)
        .filter_map(|(service, rule)| Some((service, rule.scaling.as_ref()?)))
}
