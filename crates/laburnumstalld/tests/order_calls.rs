//! Placement's calls to endpoints: each leads to one event, also where nothing answers.

use std::time::Duration;

use actix::{Actor, Addr};
use laburnumstall_core::cloud::{CallFailure, EndpointOrder, LoadOrder, OrderReply};
use laburnumstall_core::ids::{FencingToken, VmId};
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn};
use laburnumstalld::clock::Clock;
use laburnumstalld::inbox::{Inbox, Input};
use laburnumstalld::placement::{EndpointCalls, PlacementEvent, ReadLoad, SendOrder};

/// Time between two looks at a load report.
const LOOK: Duration = Duration::from_millis(10);

struct Setting {
    engine: EngineStandIn,
    calls: Addr<EndpointCalls>,
    inbox: Inbox,
}

fn setting() -> Setting {
    let spec = EngineSpec::new("vm-1".parse().expect("a name"));
    let inbox = Inbox::default();
    Setting {
        engine: EngineStandIn::start(spec).expect("the engine starts"),
        calls: EndpointCalls::new(Clock::start(), inbox.clone()).start(),
        inbox,
    }
}

impl Setting {
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
async fn an_order_shows_in_the_next_reading() {
    let setting = setting();
    let order = setting.order(4);
    assert_eq!(setting.outcome(&order).await, Ok(OrderReply::Accepted));
    let reading = loop {
        let PlacementEvent::Loaded(reading) = setting.read().await else {
            panic!("no reading");
        };
        if reading.report.loads != Some(Vec::new()) {
            break reading;
        }
        actix_rt::time::sleep(LOOK).await;
    };
    assert_eq!(reading.report.loads, Some(vec![load()]));
    let old = setting.order(3);
    assert_eq!(setting.outcome(&old).await, Ok(OrderReply::Fenced));
    setting.engine.close();
}

/// Fails without `ORDER_TIMEOUT` and `READ_TIMEOUT`: nothing would ever be told.
#[actix_rt::test]
async fn silent_and_dead_endpoints_are_told_apart() {
    let setting = setting();
    setting.engine.gate().silence_all();
    let order = setting.order(4);
    assert_eq!(setting.outcome(&order).await, Err(CallFailure::Unknown));
    assert!(matches!(
        setting.read().await,
        PlacementEvent::ReadFailed { .. }
    ));
    setting.engine.crash();
    let order = setting.order(5);
    assert_eq!(setting.outcome(&order).await, Err(CallFailure::NotSent));
    assert!(setting.engine.orders().is_empty());
    setting.engine.close();
}
