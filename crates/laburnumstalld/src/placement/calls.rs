//! Placement's calls, made on the thread of the platform.

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

/// Longest time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for a reading of what an endpoint has loaded.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time from the check of the lease until an order's connection is closed.
const ORDER_TIMEOUT: Duration = MAX_ORDER_LIFETIME.saturating_sub(MAX_SEND_DELAY);

/// A call to the key-value service for placement.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct CallPlacementStore(pub StoreRequest);

/// A call to the cloud API.
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
            let began = Instant::now();
            let outcome = store.call(request.call).await;
            metrics.store_call(kind, &outcome, began.elapsed());
            let id = request.id;
            tell(&inbox, PlacementEvent::Store { id, outcome });
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
            tell(&inbox, PlacementEvent::Cloud { id, outcome });
        };
        cx.spawn(work.into_actor(self));
    }
}

/// Reads what endpoints have loaded and gives them orders.
pub struct EndpointCalls {
    reader: Rc<HttpEndpointClient>,
    orderer: Rc<HttpEndpointClient>,
    clock: Clock,
    inbox: Inbox,
}

impl EndpointCalls {
    /// Prepares the adapters.
    pub fn new(clock: Clock, inbox: Inbox) -> Self {
        let client = |timeout| Rc::new(HttpEndpointClient::new(CONNECT_TIMEOUT, timeout, |_| {}));
        Self {
            reader: client(READ_TIMEOUT),
            orderer: client(ORDER_TIMEOUT),
            clock,
            inbox,
        }
    }
}

impl Actor for EndpointCalls {
    type Context = Context<Self>;
}

/// Reads what the endpoint on a VM has loaded.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct ReadLoad {
    /// The VM.
    pub vm: VmId,
    /// Address of its process.
    pub address: SocketAddr,
}

/// Gives an order that was just found to be allowed.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct SendOrder {
    address: SocketAddr,
    order: EndpointOrder,
    close_by: Instant,
}

impl SendOrder {
    /// Makes a message whose connection is closed [`MAX_ORDER_LIFETIME`] less [`MAX_SEND_DELAY`]
    /// from now.
    pub fn new(address: SocketAddr, order: EndpointOrder) -> Self {
        Self {
            address,
            order,
            close_by: Instant::now() + ORDER_TIMEOUT,
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
            let began = clock.now();
            let event = match client.load(address).await {
                Ok(report) => PlacementEvent::Loaded(Box::new(LoadReading {
                    vm,
                    address,
                    began,
                    report,
                })),
                Err(_) => PlacementEvent::ReadFailed { vm },
            };
            tell(&inbox, event);
        };
        cx.spawn(work.into_actor(self));
    }
}

impl Handler<SendOrder> for EndpointCalls {
    type Result = ();

    fn handle(&mut self, msg: SendOrder, cx: &mut Self::Context) {
        let client = self.orderer.clone();
        let inbox = self.inbox.clone();
        let work = async move {
            let outcome = give(client.as_ref(), &msg).await;
            let id = msg.order.id;
            tell(&inbox, PlacementEvent::Ordered { id, outcome });
        };
        cx.spawn(work.into_actor(self));
    }
}

/// Gives an order; the future that holds the connection is dropped when the time is up.
async fn give<C: EndpointClient>(
    client: &C,
    msg: &SendOrder,
) -> Result<laburnumstall_core::cloud::OrderReply, CallFailure> {
    if Instant::now() >= msg.close_by {
        return Err(CallFailure::NotSent);
    }
    let call = client.order(msg.address, &msg.order);
    let answer = tokio::time::timeout_at(msg.close_by.into(), call).await;
    answer.unwrap_or(Err(CallFailure::Unknown))
}

fn tell(inbox: &Inbox, event: PlacementEvent) {
    inbox.push(Input::Placement(event));
}
