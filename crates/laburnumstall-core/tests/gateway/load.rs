//! Plays calls of several kinds and customers against gateways and endpoints of known capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::support::{at, bounds, call_attributes, endpoint, member, prompt, route, rules};
use laburnumstall_core::gateway::{
    AdmissionTicket, AdmittedCall, CallAttempt, CallFailure, CallKind, EndpointRecord,
    FailureAction, Gateway, PeerProtocol, RoutingRules, Start, prefill_time,
};
use laburnumstall_core::prelude::*;

/// Slots of a plain endpoint, and calls that it queues before it refuses one.
const PLAIN: (usize, usize) = (6, 24);
const PLAIN_MS: f64 = 60.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Long,
    Short,
    Plain,
}

impl Kind {
    /// Path, rank, deadline, target and longest pause in milliseconds.
    fn terms(self) -> (&'static str, u8, u64, u64, u64) {
        match self {
            Self::Long => ("/long/", 0, 15_000, 1_200, 500),
            Self::Short => ("/short/", 1, 3_000, 1_200, 500),
            Self::Plain => ("/plain/", 0, 2_000, 300, 0),
        }
    }

    /// Time that an endpoint of usual speed works for a call.
    pub(crate) fn work_ms(self) -> f64 {
        match self {
            Self::Long => prefill_time(11_992, 5_382).as_secs_f64() * 1e3,
            Self::Short => prefill_time(2_368, 568).as_secs_f64() * 1e3,
            Self::Plain => PLAIN_MS,
        }
    }

    /// Time at which the caller leaves without a first event.
    pub(crate) fn leaves_ms(self) -> u64 {
        let (_, _, deadline, target, pause) = self.terms();
        deadline.min((target * 4).max(pause * 8).max(2_000))
    }
}

/// Calls of one customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stream {
    pub(crate) kind: Kind,
    pub(crate) customer: usize,
    pub(crate) per_second: f64,
    /// Time in which they arrive, in milliseconds.
    pub(crate) during: (u64, u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum End {
    /// Time to the first event in milliseconds.
    Started(u64),
    /// Retry delay and the time after which the refusal came, in milliseconds.
    Refused(u64, u64),
    /// The caller left, or the deadline passed.
    Left,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Done {
    pub(crate) kind: Kind,
    pub(crate) customer: usize,
    pub(crate) arrived: u64,
    pub(crate) end: End,
}

impl Done {
    pub(crate) fn is_on_time(&self) -> bool {
        matches!(self.end, End::Started(ms) if ms <= self.kind.terms().3)
    }
}

struct Job {
    call: usize,
    order: (u8, u64),
    left: f64,
}

struct Server {
    record: EndpointRecord,
    speed: f64,
    jobs: Vec<Job>,
}

struct Call {
    kind: Kind,
    customer: usize,
    arrived: u64,
    gateway: usize,
    call: Option<AdmittedCall>,
    attempt: Option<CallAttempt>,
}

pub(crate) struct World {
    pub(crate) gateways: Vec<Option<Gateway>>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// First call that may not have ended.
    first_open: usize,
    waiting: BTreeMap<(usize, AdmissionTicket), usize>,
    ending: BTreeMap<u64, Vec<usize>>,
    pub(crate) done: Vec<Done>,
    /// Daemon whose messages to the others are lost.
    pub(crate) muted: Option<usize>,
    /// Whether calls wait, or go to an endpoint at once as in earlier builds.
    has_queue: bool,
    /// Milliseconds in which an endpoint was idle while a call waited at each daemon.
    pub(crate) idle_ms: u64,
    rng: fastrand::Rng,
    pub(crate) ms: u64,
}

fn load_rules(customers: usize) -> RoutingRules {
    let mut rules = rules(1);
    let routes = [Kind::Long, Kind::Short, Kind::Plain].map(|kind| {
        let (prefix, rank, deadline, target, pause) = kind.terms();
        let (form, service) = match kind {
            Kind::Plain => (CallKind::NonIdempotent, "app"),
            _ => (CallKind::Stream, "model"),
        };
        let mut route = route(prefix, form, service);
        route.rank = rank;
        route.timeout = Duration::from_millis(deadline);
        route.target_latency = Duration::from_millis(target);
        route.longest_pause = (pause > 0).then(|| Duration::from_millis(pause));
        Arc::new(route)
    });
    rules.routes = routes.to_vec();
    let template = rules.customers.remove(0);
    rules.customers = (0..customers)
        .map(|number| {
            let mut customer = template.clone();
            customer.name = format!("customer-{number}").parse().unwrap();
            customer.keys = vec![format!("key-{number}").into()];
            customer.quota = None;
            customer
        })
        .collect();
    rules
}

impl World {
    pub(crate) fn new(daemons: u32, engines: usize, plain: usize, has_queue: bool) -> Self {
        let server = |id: String, service: &str, slots: u32| {
            let mut record = endpoint(&id, service, "north-a");
            record.slots = slots;
            record.address = format!("10.1.0.{}:80", id.len()).parse().unwrap();
            Server {
                record,
                speed: 1.0,
                jobs: Vec::new(),
            }
        };
        let model = (0..engines).map(|number| server(format!("e{number}"), "model", 64));
        let app = (0..plain).map(|number| server(format!("p{number}"), "app", PLAIN.0 as u32));
        let servers: Vec<Server> = model.chain(app).collect();
        let records: Vec<_> = servers.iter().map(|server| server.record.clone()).collect();
        let gateways = (1..=daemons).map(|own| {
            let own_member = member(own);
            let (id, zone) = (own_member.id, own_member.zone);
            let mut gateway = Gateway::new(id, zone, own_member.caller_address, bounds());
            gateway.on_daemon_started(at(0));
            gateway.on_store_confirmed(at(0), at(0));
            gateway.on_rules(at(0), load_rules(16));
            gateway.on_endpoints(at(0), records.clone());
            for other in (1..=daemons).filter(|other| *other != own) {
                gateway.on_member(at(0), member(other));
                gateway.set_peer_protocol(&member(other).id, PeerProtocol::NEWEST);
            }
            Some(gateway)
        });
        Self {
            gateways: gateways.collect(),
            servers,
            calls: Vec::new(),
            first_open: 0,
            waiting: BTreeMap::new(),
            ending: BTreeMap::new(),
            done: Vec::new(),
            muted: None,
            has_queue,
            idle_ms: 0,
            rng: fastrand::Rng::with_seed(7),
            ms: 0,
        }
    }

    /// Sets the speed of the endpoints from a number on.
    pub(crate) fn set_speed(&mut self, from: usize, speed: f64) {
        self.servers[from..]
            .iter_mut()
            .for_each(|server| server.speed = speed);
    }

    /// Ends a daemon; its callers lose their connections.
    pub(crate) fn kill(&mut self, gateway: usize) -> usize {
        self.gateways[gateway] = None;
        let waiting = self.waiting.len();
        self.waiting.retain(|(of, _), _| *of != gateway);
        for server in &mut self.servers {
            server
                .jobs
                .retain(|job| self.calls[job.call].gateway != gateway);
        }
        waiting - self.waiting.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Plays the streams until a time in milliseconds.
    pub(crate) fn play(&mut self, streams: &[Stream], until: u64) {
        while self.ms < until {
            if self.ms.is_multiple_of(250) {
                self.gossip();
            }
            for stream in streams {
                let (from, to) = stream.during;
                let is_due = self.rng.f64() < stream.per_second / 1e3;
                if (from..to).contains(&self.ms) && is_due {
                    self.arrive(stream.kind, stream.customer);
                }
            }
            self.work();
            self.leave();
            self.dispatch();
            self.ms += 1;
        }
    }

    fn gossip(&mut self) {
        let now = at(self.ms);
        let mut sent = Vec::new();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(gateway) = gateway else { continue };
            gateway.on_store_confirmed(now, now);
            let message = gateway.next_gossip(now);
            sent.push((index, message, gateway.next_customer_use(now)));
        }
        for (from, message, customer_use) in sent {
            let id = member(from as u32 + 1).id;
            for (to, gateway) in self.gateways.iter_mut().enumerate() {
                let Some(gateway) = gateway.as_mut().filter(|_| to != from) else {
                    continue;
                };
                if self.muted != Some(from) {
                    gateway.on_gossip(now, &id, message.clone());
                    if let Some(broadcast) = &customer_use {
                        gateway.on_customer_use(now, &id, broadcast.report.clone());
                    }
                }
            }
        }
        let running = self.gateways.iter_mut().flatten();
        running.for_each(|gateway| gateway.tick(now));
    }

    fn arrive(&mut self, kind: Kind, customer: usize) {
        let (now, index) = (at(self.ms), self.calls.len());
        let gateway = self.rng.usize(..self.gateways.len());
        let Some(core) = &mut self.gateways[gateway] else {
            return;
        };
        let (path, _, deadline, _, _) = kind.terms();
        let mut attributes = call_attributes(&format!("call-{index}"), path);
        attributes.key = Some(format!("key-{customer}").into());
        attributes.caller_timeout = Some(Duration::from_millis(deadline));
        attributes.prompt = match kind {
            Kind::Long => Some(prompt(1 + customer as u64, 5_382, 6_610)),
            Kind::Short => Some(prompt(100 + customer as u64, 568, 1_800)),
            Kind::Plain => None,
        };
        // The last part belongs to this call alone.
        for part in attributes
            .prompt
            .iter_mut()
            .flat_map(|prompt| prompt.parts.last_mut())
        {
            part.id = 1_000 + index as u64;
        }
        let call = core.admit(now, attributes).unwrap();
        self.calls.push(Call {
            kind,
            customer,
            arrived: self.ms,
            gateway,
            call: Some(call),
            attempt: None,
        });
        self.try_start(index);
    }

    fn try_start(&mut self, index: usize) {
        let now = at(self.ms);
        let entry = &mut self.calls[index];
        let (Some(gateway), Some(call)) = (&mut self.gateways[entry.gateway], &mut entry.call)
        else {
            return;
        };
        let start = match self.has_queue {
            true => gateway.try_start(now, call),
            false => match gateway.select_endpoint(now, call) {
                Ok(attempt) => Start::Send(attempt),
                Err(refusal) => Start::Refuse(refusal),
            },
        };
        match start {
            Start::Send(attempt) => self.send(index, attempt),
            Start::Wait(_) => {
                let ticket = call.ticket.unwrap();
                self.waiting.insert((entry.gateway, ticket), index);
            }
            Start::Refuse(refusal) => self.refuse(index, &refusal),
        }
    }

    fn refuse(&mut self, index: usize, refusal: &Refusal) {
        let delay = refusal.retry_after.unwrap_or_default().as_millis() as u64;
        let after = self.ms - self.calls[index].arrived;
        self.end(index, End::Refused(delay, after));
    }

    fn send(&mut self, index: usize, attempt: CallAttempt) {
        let (now, ms) = (at(self.ms), self.ms);
        let entry = &mut self.calls[index];
        let of_attempt = |server: &&mut Server| server.record.id == attempt.endpoint;
        let server = self.servers.iter_mut().find(of_attempt).unwrap();
        let (Some(gateway), Some(call)) = (&mut self.gateways[entry.gateway], &mut entry.call)
        else {
            return;
        };
        gateway.on_sent(call);
        let after = ms - entry.arrived;
        if entry.kind == Kind::Plain && server.jobs.len() >= PLAIN.0 + PLAIN.1 {
            match gateway.after_failure(now, call, attempt, CallFailure::NotRun) {
                Ok(FailureAction::Retry) => self.try_start(index),
                Ok(_) => self.end(index, End::Refused(0, after)),
                Err(refusal) => self.refuse(index, &refusal),
            }
            return;
        }
        server.jobs.push(Job {
            call: index,
            order: (call.rank, ms),
            left: entry.kind.work_ms(),
        });
        entry.attempt = Some(attempt);
    }

    /// Lets the endpoints work for a millisecond: engines on the most urgent call, others on as
    /// many as they have slots.
    fn work(&mut self) {
        let mut started = Vec::new();
        for server in &mut self.servers {
            let at_once = match server.record.slots as usize == PLAIN.0 {
                true => PLAIN.0,
                false => 1,
            };
            server.jobs.sort_by_key(|job| job.order);
            for job in server.jobs.iter_mut().take(at_once) {
                job.left -= server.speed;
            }
            let ended = server.jobs.extract_if(.., |job| job.left <= 0.0);
            started.extend(ended.map(|job| job.call));
        }
        let now = at(self.ms);
        for index in started {
            let entry = &mut self.calls[index];
            let decode = match entry.kind {
                Kind::Long => 1_500,
                Kind::Short => 100,
                Kind::Plain => 1,
            };
            let (Some(gateway), Some(call), Some(attempt)) = (
                &mut self.gateways[entry.gateway],
                &mut entry.call,
                &mut entry.attempt,
            ) else {
                continue;
            };
            gateway.on_started(now, call, attempt);
            self.ending.entry(self.ms + decode).or_default().push(index);
        }
        for index in self.ending.remove(&self.ms).unwrap_or_default() {
            let entry = &mut self.calls[index];
            if let (Some(gateway), Some(attempt)) =
                (&mut self.gateways[entry.gateway], entry.attempt.take())
            {
                let first = attempt.first_output_at.unwrap().since(at(entry.arrived));
                gateway.succeed(now, attempt);
                self.end(index, End::Started(first.as_millis() as u64));
            }
        }
    }

    fn leave(&mut self) {
        let (now, ms) = (at(self.ms), self.ms);
        let ended = self.calls[self.first_open..].iter();
        self.first_open += ended.take_while(|entry| entry.call.is_none()).count();
        for index in self.first_open..self.calls.len() {
            let entry = &mut self.calls[index];
            let is_over = ms >= entry.arrived + entry.kind.leaves_ms();
            let started = entry
                .attempt
                .as_ref()
                .and_then(|attempt| attempt.first_output_at);
            let (true, Some(call), None) = (is_over, &entry.call, started) else {
                continue;
            };
            if let Some(gateway) = &mut self.gateways[entry.gateway]
                && let Some(attempt) = entry.attempt.take()
            {
                gateway.measure_abandoned(now, call, &attempt);
                gateway.abandon(now, attempt, None);
            }
            for server in &mut self.servers {
                server.jobs.retain(|job| job.call != index);
            }
            self.end(index, End::Left);
        }
    }

    fn dispatch(&mut self) {
        let now = at(self.ms);
        for index in 0..self.gateways.len() {
            if let Some(gateway) = &mut self.gateways[index] {
                gateway.dispatch_waiting(now);
            }
            while let Some(gateway) = &mut self.gateways[index] {
                let woken = gateway.take_woken_calls();
                let woken = woken
                    .iter()
                    .filter_map(|ticket| self.waiting.remove(&(index, *ticket)));
                let woken: Vec<usize> = woken.collect();
                if woken.is_empty() {
                    break;
                }
                woken.into_iter().for_each(|call| self.try_start(call));
            }
        }
        let is_idle = self
            .servers
            .iter()
            .any(|server| server.record.slots == 64 && server.jobs.is_empty());
        let queues = self.waiting.values().map(|call| self.calls[*call].kind);
        let waits = queues.filter(|kind| *kind != Kind::Plain).count();
        self.idle_ms += u64::from(is_idle && waits >= 4 * self.gateways.len());
    }

    fn end(&mut self, index: usize, end: End) {
        let now = at(self.ms);
        let entry = &mut self.calls[index];
        self.waiting.retain(|_, call| *call != index);
        let Some(call) = entry.call.take() else {
            return;
        };
        self.done.push(Done {
            kind: entry.kind,
            customer: entry.customer,
            arrived: entry.arrived,
            end,
        });
        if let Some(gateway) = &mut self.gateways[entry.gateway] {
            gateway.end(now, call, "test", 0);
        }
    }

    /// Returns the part of matching calls that are on time.
    pub(crate) fn on_time(&self, matches: impl Fn(&Done) -> bool) -> f64 {
        let matching = || self.done.iter().filter(|done| matches(done));
        let on_time = matching().filter(|done| done.is_on_time()).count();
        on_time as f64 / matching().count().max(1) as f64
    }
}
