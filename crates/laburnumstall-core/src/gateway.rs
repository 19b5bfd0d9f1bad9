//! Requests that live as long as their caller's connection.
//!
//! A service of durability `connection` keeps no copy of a request: the caller comes back
//! itself when its connection ends. So the daemon decides a few times in a request's life
//! and otherwise moves bytes. [`Gateway`] takes these decisions: [`Gateway::admit`] (may
//! it run), [`Gateway::place`] (where), [`Gateway::after_failure`] (what next) and
//! [`Gateway::end`]. Tokens never pass it.
//!
//! Like the rest of this crate it reads no clock and opens no socket.

mod call;
mod contact;
mod demand;
mod fleet;
mod health;
mod news;
mod placing;
mod quota;
mod reading;
mod recovery;
mod rules;
mod scaling;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::error::{ErrorKind, Refusal};
use crate::hash::digest64;
use crate::ids::{AvailabilityZone, DaemonId, EndpointId, ServiceName};
use crate::limits::RetryWindow;
use crate::membership::Member;
use crate::units::Timestamp;

pub use call::{CallFacts, Prompt, PromptPart, Ticket};
pub use contact::StoreContact;
pub use demand::DemandCounter;
pub use fleet::{EndpointRecord, Fleet, Listed, RETURN_TIME};
pub use health::CallOutcome;
pub use news::{
    EndpointKey, EndpointLoad, NEWS_PERIOD, News, Peer, Roster, SILENCE, ServiceDemand,
};
pub use placing::{Places, Run, Search};
pub use quota::{QuotaLedger, Spent};
pub use reading::reading_time;
pub use recovery::{COME_BACK, CallFailure, Next};
pub use rules::{
    CallKind, CallerLimits, CustomerRule, EngineRule, Quota, QuotaUnit, RouteRule, RouteTarget,
    RoutingRules, RoutingTable, ScalingRule, ServiceRule,
};
pub use scaling::{Capacity, ScaleOrder, ScaleOutcome, Scaler};
pub use usage::{UsageBook, UsageCount, UsageReport};

/// Age of the view of the key-value service above which an unknown host, path or key may
/// just be one that was added since.
const CERTAIN_AGE: Duration = Duration::from_millis(1_500);
/// Time after which a caller comes back to a daemon that has no configuration or contact.
const NOT_READY_WAIT: Duration = Duration::from_millis(300);
/// Shortest time that a caller over its quota is told to wait.
const LEAST_QUOTA_WAIT: Duration = Duration::from_millis(100);
/// Time after an outage in which an entry that is gone may have lapsed in it.
const LAPSE_SEEN: Duration = Duration::from_secs(1);

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
    contact: StoreContact,
    fleet: Fleet,
    places: Places,
    roster: Roster,
    quotas: QuotaLedger,
    retries: std::collections::BTreeMap<ServiceName, RetryWindow>,
    usage: UsageBook,
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
            contact: StoreContact::new(bounds.revocation),
            fleet: Fleet::default(),
            places: Places::new(zone),
            roster: Roster::default(),
            quotas: QuotaLedger::new(),
            retries: std::collections::BTreeMap::new(),
            usage: UsageBook::new(bounds.usage_window),
            demand: DemandCounter::default(),
            is_stopping: false,
            sequence: 0,
            steady_since: None,
            journal: Journal::default(),
            bounds,
        }
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.contact.set_revocation(bounds.revocation);
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
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the other daemons known.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the counts of begun requests.
    pub fn usage(&self) -> &UsageBook {
        &self.usage
    }

    /// Returns the contact with the key-value service.
    pub fn contact(&self) -> &StoreContact {
        &self.contact
    }

    /// Returns the work asked for by all daemons that are known, by service.
    pub fn demand(&self) -> Vec<(DaemonId, Vec<ServiceDemand>)> {
        let peers = self.roster.peers().filter_map(|peer| {
            let news = peer.news.as_ref()?;
            Some((peer.member.id.clone(), news.demand.clone()))
        });
        std::iter::once((self.own.clone(), self.demand.all()))
            .chain(peers)
            .collect()
    }

    // Requests.

    /// Decides whether a request may run.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the answer for the caller; nothing has run.
    pub fn admit(&mut self, now: Timestamp, facts: CallFacts) -> Result<Ticket, Refusal> {
        let admitted = self.try_admit(now, &facts);
        let (choice, reason) = match &admitted {
            Ok(_) => ("accept", "allowed"),
            Err(refusal) => ("refuse", refusal.kind.name()),
        };
        let mut decision = Decision::new(now, DecisionKind::Admit, choice, reason)
            .with("request", &facts.id)
            .with("version", self.version());
        match &admitted {
            Ok(ticket) => {
                decision = decision
                    .with("route", &ticket.route.name)
                    .with("left_ms", ticket.left(now).as_millis())
                    .with("charge", ticket.charge);
                if let Some(customer) = &ticket.customer {
                    decision = decision.with("customer", customer);
                }
            }
            Err(refusal) => {
                let age = self.contact.age(now).unwrap_or(Duration::MAX);
                decision = decision
                    .with("detail", &refusal.detail)
                    .with("host", &facts.host)
                    .with("path", &facts.path)
                    .with("view_age_ms", age.as_millis());
                if let Some(wait) = refusal.retry_after {
                    decision = decision.with("retry_after_ms", wait.as_millis());
                }
            }
        }
        self.journal.record(decision);
        admitted
    }

    fn try_admit(&mut self, now: Timestamp, facts: &CallFacts) -> Result<Ticket, Refusal> {
        let not_ready =
            |detail| Refusal::new(ErrorKind::NotReady, detail).with_retry_after(NOT_READY_WAIT);
        let table = self
            .table
            .as_ref()
            .ok_or_else(|| not_ready("no configuration"))?;
        let is_certain = self.contact.is_within(now, CERTAIN_AGE);
        let unless_new = |kind, detail| match is_certain {
            true => Refusal::new(kind, detail),
            false => not_ready("configuration may be old"),
        };
        let route = table
            .route(&facts.host, &facts.path)
            .ok_or_else(|| unless_new(ErrorKind::UnknownService, "no route"))?;
        let mut customer = None;
        if table.needs_key(route) {
            if !self.contact.may_trust_keys(now) {
                return Err(not_ready("keys may have been withdrawn"));
            }
            let key = facts.key.as_deref().unwrap_or_default();
            let known = table
                .customer(key)
                .ok_or_else(|| unless_new(ErrorKind::Unauthenticated, "unknown key"))?;
            customer = Some(known);
        }
        let seed = digest64(&[facts.id.as_bytes()]);
        let service = route
            .target(seed)
            .ok_or_else(|| Refusal::new(ErrorKind::NoEndpoint, "route without a service"))?;
        let patience = facts.patience.unwrap_or(route.timeout).min(route.timeout);
        let mut ticket = Ticket {
            id: facts.id.clone(),
            service: service.clone(),
            customer: customer.map(|customer| customer.name.clone()),
            rank: customer
                .and_then(|customer| customer.rank)
                .unwrap_or(route.rank),
            route: route.clone(),
            received_at: now,
            deadline: now.after(patience),
            prompt: facts.prompt.clone(),
            charge: 0,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            has_begun: false,
            events: 0,
        };
        if let Some(customer) = &ticket.customer {
            let tokens = ticket
                .prompt
                .as_ref()
                .map(|prompt| u64::from(prompt.tokens) + u64::from(prompt.answer));
            let cost = self.quotas.cost(customer, tokens);
            self.quotas
                .take(now, customer, cost, route.rank)
                .map_err(|wait| {
                    let wait = wait.max(LEAST_QUOTA_WAIT).min(self.bounds.retry_window);
                    Refusal::new(ErrorKind::LimitReached, "over the quota").with_retry_after(wait)
                })?;
            ticket.charge = cost;
        }
        self.demand.on_call(&ticket);
        self.retry_window(&ticket.service).on_request(now);
        Ok(ticket)
    }

    /// Chooses the endpoint for a ticket.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is none.
    pub fn place(&mut self, now: Timestamp, ticket: &mut Ticket) -> Result<Run, Refusal> {
        let search = Search {
            service: &ticket.service,
            prompt: ticket.prompt.as_ref(),
            seed: digest64(&[ticket.id.as_bytes()]),
            excluded: &ticket.tried,
        };
        let run = self.places.place(now, &search).or_else(|| {
            // With few endpoints, one that failed before is better than none.
            let anywhere = Search {
                excluded: &[],
                ..search
            };
            self.places.place(now, &anywhere)
        });
        let (calls, slots) = self.places.occupancy(&ticket.service);
        let Some(run) = run else {
            let refusal =
                Refusal::new(ErrorKind::NoEndpoint, "no endpoint of the service is known")
                    .with_retry_after(COME_BACK);
            self.demand.on_short(&ticket.service);
            self.journal.record(
                Decision::new(now, DecisionKind::Route, "refuse", refusal.kind.name())
                    .with("request", &ticket.id)
                    .with("service", &ticket.service)
                    .with("tried", ticket.tried.len())
                    .with("slots", slots),
            );
            return Err(refusal);
        };
        let reason = if run.is_home { "home" } else { "least-wait" };
        self.journal.record(
            Decision::new(now, DecisionKind::Route, run.endpoint.as_str(), reason)
                .with("request", &ticket.id)
                .with("service", &ticket.service)
                .with("expected_ms", run.expected.as_millis())
                .with("cached", run.cached)
                .with("calls", calls)
                .with("slots", slots)
                .with("send", ticket.sends + 1),
        );
        ticket.tried.push(run.endpoint.clone());
        Ok(run)
    }

    /// Takes in that a call was written to its endpoint.
    pub fn on_sent(&mut self, ticket: &mut Ticket) {
        ticket.sends += 1;
    }

    /// Takes in that an endpoint has begun a call: its first event or its answer came.
    pub fn on_begun(&mut self, now: Timestamp, ticket: &mut Ticket, run: &mut Run) {
        self.places.on_first(now, run);
        self.count_begun(now, ticket);
    }

    fn count_begun(&mut self, now: Timestamp, ticket: &mut Ticket) {
        if std::mem::replace(&mut ticket.has_begun, true) {
            return;
        }
        if let Some(customer) = &ticket.customer {
            self.usage.on_begun(now, customer);
        }
        if now > ticket.on_time_until() {
            self.demand.on_short(&ticket.service);
        }
    }

    /// Decides what follows a failed call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the answer for the caller if the call is given up and the
    /// endpoint gave none.
    pub fn after_failure(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        run: Run,
        failure: CallFailure,
    ) -> Result<Next, Refusal> {
        if failure.may_have_run() {
            ticket.runs += 1;
            self.count_begun(now, ticket);
        }
        let endpoint = run.endpoint.clone();
        let age = now.since(run.placed_at);
        self.end_run(now, run, failure.outcome());
        let retries = self
            .retries
            .entry(ticket.service.clone())
            .or_insert_with(|| retry_window(&self.bounds, self.roster.len()));
        let (next, reason) = recovery::after_failure(now, ticket, failure, retries);
        let choice = match next {
            Next::Again if ticket.events > 0 => "resume",
            Next::Again => "again",
            Next::PassOn => "pass-on",
            Next::GiveUp => "give-up",
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Retry, choice, reason)
                .with("request", &ticket.id)
                .with("endpoint", &endpoint)
                .with("failure", failure.name())
                .with("after_ms", age.as_millis())
                .with("sends", ticket.sends)
                .with("runs", ticket.runs)
                .with("events", ticket.events)
                .with("left_ms", ticket.left(now).as_millis()),
        );
        match next {
            Next::GiveUp => Err(recovery::refusal(now, ticket, failure)),
            next => Ok(next),
        }
    }

    /// Ends a call whose caller left or whose time is over while the endpoint worked.
    pub fn abandon(&mut self, now: Timestamp, run: Run, outcome: Option<CallOutcome>) {
        self.end_run(now, run, outcome);
    }

    /// Ends a call that went well.
    pub fn succeed(&mut self, now: Timestamp, run: Run) {
        self.end_run(now, run, Some(CallOutcome::Good));
    }

    fn end_run(&mut self, now: Timestamp, run: Run, outcome: Option<CallOutcome>) {
        let endpoint = run.endpoint.clone();
        if self.places.end(now, run, outcome) {
            self.journal.record(
                Decision::new(now, DecisionKind::Membership, "paused", "unreachable")
                    .with("endpoint", endpoint),
            );
        }
    }

    /// Ends a request: records how, and gives back the quota of one that did not run.
    pub fn end(&mut self, now: Timestamp, ticket: Ticket, result: &str, status: u16) {
        let is_unused = !ticket.has_begun && ticket.runs == 0;
        if let Some(customer) = ticket.customer.as_ref().filter(|_| is_unused) {
            self.quotas.give_back(now, customer, ticket.charge);
        }
        self.journal.record(
            Decision::new(
                now,
                DecisionKind::Finish,
                result,
                if is_unused { "not-run" } else { "ran" },
            )
            .with("request", &ticket.id)
            .with("service", &ticket.service)
            .with("status", status)
            .with("events", ticket.events)
            .with("sends", ticket.sends)
            .with("runs", ticket.runs)
            .with("took_ms", now.since(ticket.received_at).as_millis()),
        );
    }

    fn retry_window(&mut self, service: &ServiceName) -> &mut RetryWindow {
        let (bounds, others) = (&self.bounds, self.roster.len());
        self.retries
            .entry(service.clone())
            .or_insert_with(|| retry_window(bounds, others))
    }

    // What the daemon believes.

    /// Takes over a configuration unless a later one is in force; returns whether it was.
    pub fn on_rules(&mut self, now: Timestamp, rules: RoutingRules) -> bool {
        let version = rules.version;
        let is_later = self
            .table
            .as_ref()
            .is_none_or(|table| table.rules().version < version);
        let reason = if is_later { "later" } else { "not-later" };
        let choice = if is_later { "adopt" } else { "ignore" };
        self.journal.record(
            Decision::new(now, DecisionKind::Configuration, choice, reason)
                .with("version", version)
                .with("in_force", self.version())
                .with("routes", rules.routes.len())
                .with("customers", rules.customers.len()),
        );
        if is_later {
            self.quotas.set_customers(now, &rules.customers);
            self.table = Some(RoutingTable::new(rules));
        }
        is_later
    }

    /// Takes in that a call sent at `sent` showed the key-value service's present state.
    pub fn on_store_confirmed(&mut self, now: Timestamp, sent: Timestamp) {
        self.contact.on_confirmed(now, sent);
        if self.steady_since.is_none() {
            self.steady_since = Some(now);
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "store", "answers")
                    .with("sent_ms_ago", now.since(sent).as_millis()),
            );
        }
    }

    /// Takes in that a call to the key-value service failed.
    pub fn on_store_failure(&mut self, now: Timestamp, reason: &str) {
        self.contact.on_failure(now);
        if self.steady_since.take().is_some() {
            let age = self.contact.age(now).unwrap_or(Duration::MAX);
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "store", "fails")
                    .with("cause", reason)
                    .with("view_age_ms", age.as_millis()),
            );
        }
    }

    /// Takes in an endpoint's entry.
    pub fn on_endpoint(&mut self, now: Timestamp, record: EndpointRecord) {
        if self.fleet.on_entry(now, record, &mut self.journal) {
            self.places.set_fleet(&self.fleet);
        }
    }

    /// Takes in that an endpoint's entry is gone.
    pub fn on_endpoint_removed(&mut self, now: Timestamp, id: &EndpointId) {
        let is_unsteady = self.contact.had_outage(now, LAPSE_SEEN);
        if self
            .fleet
            .on_removed(now, id, is_unsteady, &mut self.journal)
        {
            self.places.set_fleet(&self.fleet);
        }
    }

    /// Takes over the list of all endpoints.
    pub fn on_endpoints(&mut self, now: Timestamp, records: Vec<EndpointRecord>) {
        let is_unsteady = self.contact.had_outage(now, LAPSE_SEEN);
        if self
            .fleet
            .on_list(now, records, is_unsteady, &mut self.journal)
        {
            self.places.set_fleet(&self.fleet);
        }
    }

    /// Takes in that a daemon is registered.
    pub fn on_member(&mut self, now: Timestamp, member: Member) {
        if member.id == self.own {
            return;
        }
        for replaced in self.roster.on_registered(now, member) {
            self.quotas.forget(&replaced);
        }
        self.count_members(now);
    }

    /// Takes in that a daemon's registration has ended.
    pub fn on_member_removed(&mut self, id: &DaemonId) {
        self.roster.on_unregistered(id);
    }

    /// Takes in what another daemon tells.
    pub fn on_news(&mut self, now: Timestamp, from: &DaemonId, news: News) {
        self.quotas.on_spent(now, from, &news.spent);
        self.usage.on_counts(from, &news.begun);
        if self.roster.on_news(now, from, news) {
            self.places.set_peer_work(self.roster.heard(now));
        }
        self.count_members(now);
    }

    /// Returns the news for the others.
    pub fn news(&mut self, now: Timestamp) -> News {
        self.sequence += 1;
        News {
            sequence: self.sequence,
            is_ready: self.is_ready(now),
            loads: self.places.own_work(),
            spent: self.quotas.spent(),
            begun: self.usage.own_counts(),
            demand: self.demand.all(),
        }
    }

    /// Carries out what is due by time.
    pub fn tick(&mut self, now: Timestamp) {
        self.usage.forget_old(now);
        for gone in self.roster.forget_gone(now) {
            self.quotas.forget(&gone);
            self.journal.record(
                Decision::new(
                    now,
                    DecisionKind::Membership,
                    "forgotten",
                    "silent-and-unregistered",
                )
                .with("daemon", gone),
            );
        }
        self.places.set_peer_work(self.roster.heard(now));
        self.count_members(now);
        if let Some(steady_since) = self.steady_since
            && self.fleet.drop_lapsed(now, steady_since, &mut self.journal)
        {
            self.places.set_fleet(&self.fleet);
        }
    }

    fn count_members(&mut self, now: Timestamp) {
        let heard = 1 + self.roster.heard(now).count() as u32;
        let all = 1 + self.roster.len() as u32;
        self.quotas.set_members(now, heard, all);
        let allowance = self.bounds.retry_allowance / f64::from(all);
        for window in self.retries.values_mut() {
            window.set_allowance(allowance);
        }
    }

    // Callers' directory.

    /// Begins a planned stop: the daemon is named to callers no longer.
    pub fn begin_stop(&mut self, now: Timestamp) {
        self.is_stopping = true;
        self.journal
            .record(Decision::new(now, DecisionKind::Stop, "drain", "asked"));
    }

    /// Tells whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Tells whether callers may be sent here: the daemon is not stopping, knows a
    /// configuration, and may rely on its keys.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        !self.is_stopping && self.table.is_some() && self.contact.may_trust_keys(now)
    }

    /// Returns the addresses that callers may use; without any that is known to be ready,
    /// all that are registered.
    pub fn directory(&self, now: Timestamp) -> Vec<SocketAddr> {
        let own = self.is_ready(now).then_some(self.front);
        let ready = self.roster.peers().filter(|peer| peer.is_ready(now));
        let addresses: Vec<SocketAddr> = own
            .into_iter()
            .chain(ready.map(|peer| peer.member.caller_address))
            .collect();
        if !addresses.is_empty() {
            return addresses;
        }
        let others = self.roster.peers().map(|peer| peer.member.caller_address);
        let own = (!self.is_stopping).then_some(self.front);
        own.into_iter().chain(others).collect()
    }

    fn version(&self) -> u64 {
        self.table
            .as_ref()
            .map_or(0, |table| table.rules().version.get())
    }
}

fn retry_window(bounds: &Bounds, others: usize) -> RetryWindow {
    let daemons = 1 + others;
    RetryWindow::new(
        bounds.retry_window,
        bounds.retry_ratio,
        bounds.retry_allowance / daemons as f64,
    )
}
