//! Placement's calls to endpoints: each results in one event, even without a response.

use std::time::Duration;

use actix::{Actor, Addr};
use laburnumstall_core::cloud::{CallFailure, EndpointOrder, LoadOrder, OrderReply};
use laburnumstall_core::ids::{FencingToken, VmId};
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn};
use laburnumstalld::clock::Clock;
use laburnumstalld::inbox::{Inbox, Input};
use laburnumstalld::placement::{EndpointCalls, PlacementEvent, ReadLoad, SendOrder};

/// Time between two reads of the load report.
const POLL_PERIOD: Duration = Duration::from_millis(10);

struct Fixture {
    engine: EngineStandIn,
    calls: Addr<EndpointCalls>,
    inbox: Inbox,
}

fn fixture() -> Fixture {
    let spec = EngineSpec::new("vm-1".parse().expect("a name"));
    let inbox = Inbox::default();
    Fixture {
        engine: EngineStandIn::start(spec).expect("the engine starts"),
        calls: EndpointCalls::new(Clock::start(), inbox.clone()).start(),
        inbox,
    }
}

impl Fixture {
    fn order(&self, fencing: u64) -> EndpointOrder {
        let order = EndpointOrder {
            id: format!("o-{fencing}").parse().expect("a name"),
            endpoint: "vm-1".parse().expect("a name"),
            fencing: FencingToken(fencing),
            loads: vec![load()],
        };
        let message = SendOrder::new(self.engine.address(), order.clone());
        self.calls.do_send(message);
        order
    }

    async fn outcome(&self, order: &EndpointOrder) -> Result<OrderReply, CallFailure> {
        match self.next().await {
            PlacementEvent::Ordered { id, outcome } if id == order.id => outcome,
            other => panic!("{other:?}"),
        }
    }

    async fn read(&self) -> PlacementEvent {
        let vm: VmId = "vm-1".parse().expect("a name");
        let address = self.engine.address();
        self.calls.do_send(ReadLoad { vm, address });
        self.next().await
    }

    async fn next(&self) -> PlacementEvent {
        let inputs = self.inbox.take().await;
        let mut inputs = inputs.into_iter();
        let (Some(Input::Placement(event)), None) = (inputs.next(), inputs.next()) else {
            panic!("one event of placement is expected");
        };
        event
    }
}

fn load() -> LoadOrder {
    LoadOrder {
        service: "summaries".parse().expect("a name"),
        model: "m".parse().expect("a name"),
        adapter: None,
        version: "3".parse().expect("a name"),
    }
}

/// Fails without `LoadReport::loads` in the engine's report.
#[actix_rt::test]
async fn a_later_reading_shows_an_accepted_order() {
    let fixture = fixture();
    let order = fixture.order(4);
    assert_eq!(fixture.outcome(&order).await, Ok(OrderReply::Accepted));
    let reading = loop {
        let PlacementEvent::Loaded(reading) = fixture.read().await else {
            panic!("no reading");
        };
        if reading.report.loads != Some(Vec::new()) {
            break reading;
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    };
    assert_eq!(reading.report.loads, Some(vec![load()]));
    let old = fixture.order(3);
    assert_eq!(fixture.outcome(&old).await, Ok(OrderReply::Fenced));
    fixture.engine.close();
}

/// Fails without `ORDER_TIMEOUT` and `READ_TIMEOUT`: no outcome would ever be reported.
#[actix_rt::test]
async fn silent_and_dead_endpoints_are_distinguished() {
    let fixture = fixture();
    fixture.engine.gate().silence_all();
    let order = fixture.order(4);
    assert_eq!(fixture.outcome(&order).await, Err(CallFailure::Unknown));
    assert!(matches!(
        fixture.read().await,
        PlacementEvent::ReadFailed { .. }
    ));
    fixture.engine.crash();
    let order = fixture.order(5);
    assert_eq!(fixture.outcome(&order).await, Err(CallFailure::NotSent));
    assert!(fixture.engine.orders().is_empty());
    fixture.engine.close();
}
