//! Placement's external calls, made on the platform thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, WrapFuture};
use laburnumstall_core::cloud::{CallFailure, EndpointOrder};
use laburnumstall_core::ids::VmId;
use laburnumstall_core::placement::{
    CloudRequest, MAX_ORDER_LIFETIME, MAX_SEND_DELAY, StoreRequest,
};
use laburnumstall_outside::cloud::Cloud;
use laburnumstall_outside::endpoint::{EndpointClient, HttpEndpointClient};
use laburnumstall_outside::key_value::KeyValue;

use crate::clock::Clock;
use crate::inbox::{Inbox, Input};
use crate::metrics::StoreCallKind;
use crate::placement::event::{LoadReading, PlacementEvent};
use crate::platform::Platform;

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for reading an endpoint's loaded models.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time from the lease check until an order's connection is closed.
const ORDER_TIMEOUT: Duration = MAX_ORDER_LIFETIME.saturating_sub(MAX_SEND_DELAY);

/// Makes a call to the key-value service for placement.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct CallPlacementStore(pub StoreRequest);

/// Makes a call to the cloud API.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct CallCloud(pub CloudRequest);

impl Handler<CallPlacementStore> for Platform {
    type Result = ();

    fn handle(&mut self, CallPlacementStore(request): CallPlacementStore, cx: &mut Self::Context) {
        let store = self.store.clone();
        let inbox = self.inbox.clone();
        let metrics = self.metrics.clone();
        let work = async move {
            let kind = StoreCallKind::from(&request.call);
            let started = Instant::now();
            let outcome = store.call(request.call).await;
            metrics.store_call(kind, &outcome, started.elapsed());
            let id = request.id;
            push_event(&inbox, PlacementEvent::Store { id, outcome });
        };
        cx.spawn(work.into_actor(self));
    }
}

impl Handler<CallCloud> for Platform {
    type Result = ();

    fn handle(&mut self, CallCloud(request): CallCloud, cx: &mut Self::Context) {
        let cloud = self.cloud.clone();
        let inbox = self.inbox.clone();
        let work = async move {
            let outcome = match cloud {
                Some(cloud) => cloud.call(request.call).await,
                None => Err(CallFailure::NotSent),
            };
            let id = request.id;
            push_event(&inbox, PlacementEvent::Cloud { id, outcome });
        };
        cx.spawn(work.into_actor(self));
    }
}

/// Actor that reads the endpoints' loaded models and sends them orders.
pub struct EndpointCalls {
    reader: Rc<HttpEndpointClient>,
    order_sender: Rc<HttpEndpointClient>,
    clock: Clock,
    inbox: Inbox,
}

impl EndpointCalls {
    /// Creates the HTTP clients.
    pub fn new(clock: Clock, inbox: Inbox) -> Self {
        let client = |timeout| Rc::new(HttpEndpointClient::new(CONNECT_TIMEOUT, timeout, |_| {}));
        Self {
            reader: client(READ_TIMEOUT),
            order_sender: client(ORDER_TIMEOUT),
            clock,
            inbox,
        }
    }
}

impl Actor for EndpointCalls {
    type Context = Context<Self>;
}

/// Reads the loaded models of the endpoint on a VM.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct ReadLoad {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// Sends an order whose lease check has just passed.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct SendOrder {
    address: SocketAddr,
    order: EndpointOrder,
    close_at: Instant,
}

impl SendOrder {
    /// Creates a message whose connection is closed [`MAX_ORDER_LIFETIME`] less
    /// [`MAX_SEND_DELAY`] from now.
    pub fn new(address: SocketAddr, order: EndpointOrder) -> Self {
        Self {
            address,
            order,
            close_at: Instant::now() + ORDER_TIMEOUT,
        }
    }
}

impl Handler<ReadLoad> for EndpointCalls {
    type Result = ();

    fn handle(&mut self, ReadLoad { vm, address }: ReadLoad, cx: &mut Self::Context) {
        let client = self.reader.clone();
        let inbox = self.inbox.clone();
        let clock = self.clock;
        let work = async move {
            let started_at = clock.now();
            let event = match client.load(address).await {
                Ok(report) => PlacementEvent::Loaded(Box::new(LoadReading {
                    vm,
                    address,
                    started_at,
                    report,
                })),
                Err(_) => PlacementEvent::ReadFailed { vm },
            };
            push_event(&inbox, event);
        };
        cx.spawn(work.into_actor(self));
    }
}

impl Handler<SendOrder> for EndpointCalls {
    type Result = ();

    fn handle(&mut self, msg: SendOrder, cx: &mut Self::Context) {
        let client = self.order_sender.clone();
        let inbox = self.inbox.clone();
        let work = async move {
            let outcome = send_order(client.as_ref(), &msg).await;
            let id = msg.order.id;
            push_event(&inbox, PlacementEvent::Ordered { id, outcome });
        };
        cx.spawn(work.into_actor(self));
    }
}

/// Sends an order; dropping the future at the deadline closes its connection.
async fn send_order<C: EndpointClient>(
    client: &C,
    msg: &SendOrder,
) -> Result<laburnumstall_core::cloud::OrderReply, CallFailure> {
    if Instant::now() >= msg.close_at {
        return Err(CallFailure::NotSent);
    }
    let call = client.order(msg.address, &msg.order);
    let answer = tokio::time::timeout_at(msg.close_at.into(), call).await;
    answer.unwrap_or(Err(CallFailure::Unknown))
}

fn push_event(inbox: &Inbox, event: PlacementEvent) {
    inbox.push(Input::Placement(event));
}
