//! Attempts on endpoints, run by the traffic threads.
//!
//! Each thread has its own endpoint client. The events of an attempt reach the inbox in
//! order; the control thread takes queued events in one batch.

mod attempt;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, Arbiter, AsyncContext, Context, Handler, SpawnHandle, WrapFuture};
use laburnumstall_core::cloud::CallFailure;
use laburnumstall_core::entry::{DispatchOrder, Event, PROBE_TIMEOUT, PollOutcome, ProbeOutcome};
use laburnumstall_core::hash::digest64;
use laburnumstall_core::ids::{AttemptId, EndpointId, RequestId};
use laburnumstall_core::resources::LoadReport;
use laburnumstall_outside::endpoint::{EndpointClient, HttpEndpointClient};

use crate::cache_cursors::CacheCursors;
use crate::inbox::Inbox;

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Pool of workers that call endpoints; clones share them.
#[derive(Clone)]
pub struct TrafficPool {
    workers: Vec<Addr<Worker>>,
}

impl TrafficPool {
    /// Starts one worker on each thread.
    pub fn start(arbiters: &[Arbiter], inbox: &Inbox) -> Self {
        let start = |arbiter: &Arbiter| {
            let inbox = inbox.clone();
            Worker::start_in_arbiter(&arbiter.handle(), move |_| Worker::new(inbox))
        };
        Self {
            workers: arbiters.iter().map(start).collect(),
        }
    }

    /// Returns the worker for the attempts of a request.
    pub fn worker_of(&self, request: &RequestId) -> &Addr<Worker> {
        let hash = digest64(&[
            &request.sequence.to_le_bytes(),
            &request.lookup_hash.0.to_le_bytes(),
        ]);
        &self.workers[hash as usize % self.workers.len()]
    }

    /// Returns a worker for calls outside any request.
    pub fn any(&self) -> &Addr<Worker> {
        &self.workers[0]
    }

    /// Returns all workers.
    pub fn all(&self) -> &[Addr<Worker>] {
        &self.workers
    }
}

/// Actor that makes one traffic thread's calls to endpoints.
pub struct Worker {
    client: Rc<HttpEndpointClient>,
    cursors: Rc<RefCell<CacheCursors>>,
    inbox: Inbox,
    running: BTreeMap<AttemptId, SpawnHandle>,
}

impl Worker {
    fn new(inbox: Inbox) -> Self {
        let client = HttpEndpointClient::new(CONNECT_TIMEOUT, PROBE_TIMEOUT, |_| {});
        Self {
            client: Rc::new(client),
            cursors: Rc::default(),
            inbox,
            running: BTreeMap::new(),
        }
    }

    fn stop(&mut self, attempt: &AttemptId, cx: &mut Context<Self>) {
        if let Some(handle) = self.running.remove(attempt) {
            cx.cancel_future(handle);
        }
    }
}

impl Actor for Worker {
    type Context = Context<Self>;
}

/// Starts an attempt or resumes its stream.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct StartAttempt(pub DispatchOrder);

/// Cancels an attempt at its endpoint.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Cancel {
    /// The attempt.
    pub attempt: AttemptId,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// Drops an attempt's connection without cancelling the attempt.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Abandon(pub AttemptId);

/// Probes an endpoint on a new connection.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Probe {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// Polls an endpoint for its load report.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Poll {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// Drops all pooled connections to an endpoint.
#[derive(Clone, Copy, actix::Message)]
#[rtype(result = "()")]
pub struct DropConnections(pub SocketAddr);

/// An attempt's connection ended.
#[derive(actix::Message)]
#[rtype(result = "()")]
struct AttemptEnded(AttemptId);

impl Handler<StartAttempt> for Worker {
    type Result = ();

    fn handle(&mut self, StartAttempt(order): StartAttempt, cx: &mut Self::Context) {
        let attempt = order.attempt.clone();
        self.stop(&attempt, cx);
        let client = self.client.clone();
        let inbox = self.inbox.clone();
        let worker = cx.address();
        let ended = AttemptEnded(attempt.clone());
        let work = async move {
            attempt::run(client.as_ref(), order, &inbox).await;
            worker.do_send(ended);
        };
        let handle = cx.spawn(work.into_actor(self));
        self.running.insert(attempt, handle);
    }
}

impl Handler<AttemptEnded> for Worker {
    type Result = ();

    fn handle(&mut self, AttemptEnded(attempt): AttemptEnded, _cx: &mut Self::Context) {
        self.running.remove(&attempt);
    }
}

impl Handler<Cancel> for Worker {
    type Result = ();

    fn handle(&mut self, msg: Cancel, cx: &mut Self::Context) {
        self.stop(&msg.attempt, cx);
        let client = self.client.clone();
        let work = async move {
            // An endpoint that cannot be reached ends the stream at its deadline.
            let _ = client.cancel(msg.address, &msg.attempt).await;
        };
        cx.spawn(work.into_actor(self));
    }
}

impl Handler<Abandon> for Worker {
    type Result = ();

    fn handle(&mut self, Abandon(attempt): Abandon, cx: &mut Self::Context) {
        self.stop(&attempt, cx);
    }
}

impl Handler<Probe> for Worker {
    type Result = ();

    fn handle(&mut self, msg: Probe, cx: &mut Self::Context) {
        let client = self.client.clone();
        let inbox = self.inbox.clone();
        let work = async move {
            let outcome = match client.probe(msg.address).await {
                Ok(()) => ProbeOutcome::Alive,
                Err(CallFailure::NotSent) => ProbeOutcome::Refused,
                Err(CallFailure::Unknown) => ProbeOutcome::Silent,
            };
            inbox.event(Event::Probed {
                endpoint: msg.endpoint,
                outcome,
            });
        };
        cx.spawn(work.into_actor(self));
    }
}

impl Handler<Poll> for Worker {
    type Result = ();

    fn handle(&mut self, msg: Poll, cx: &mut Self::Context) {
        let client = self.client.clone();
        let inbox = self.inbox.clone();
        let cursors = self.cursors.clone();
        let work = async move {
            let outcome = match client.load(msg.address).await {
                Ok(report) => PollOutcome::Report(report),
                Err(CallFailure::NotSent) => PollOutcome::Refused,
                Err(CallFailure::Unknown) => PollOutcome::Silent,
            };
            let report = match &outcome {
                PollOutcome::Report(report) => Some(report.clone()),
                PollOutcome::Refused => {
                    cursors.borrow_mut().remove(&msg.endpoint);
                    None
                }
                PollOutcome::Silent => None,
            };
            let endpoint = msg.endpoint;
            inbox.event(Event::Polled { endpoint, outcome });
            if let Some(report) = report {
                read_cache(&client, &cursors, msg.address, &report, &inbox).await;
            }
        };
        cx.spawn(work.into_actor(self));
    }
}

impl Handler<DropConnections> for Worker {
    type Result = ();

    fn handle(&mut self, DropConnections(address): DropConnections, _cx: &mut Self::Context) {
        self.client.drop_connections(address);
    }
}

/// Reads the cache events of an endpoint after its load report, if a read is due.
async fn read_cache(
    client: &HttpEndpointClient,
    cursors: &RefCell<CacheCursors>,
    address: SocketAddr,
    report: &LoadReport,
    inbox: &Inbox,
) {
    let start = cursors.borrow_mut().start_read(Instant::now(), report);
    let Some(after) = start else {
        return;
    };
    // A failed read is retried after a later report, from the same sequence number.
    let page = client.cache_events(address, after).await.ok();
    let now = Instant::now();
    let endpoint = &report.endpoint;
    let reports = cursors.borrow_mut().finish_read(now, endpoint, after, page);
    for report in reports {
        inbox.event(Event::Cache(report));
    }
}
