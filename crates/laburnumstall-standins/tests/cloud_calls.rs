//! The cloud and VM list adapters against their stand-in.

use std::time::Duration;

use laburnumstall_core::cloud::{CallFailure, CloudCall, CloudReply, OwnedVm, VmRequest};
use laburnumstall_core::resources::{Market, VmRole, VmState};
use laburnumstall_outside::cloud::{Cloud, HttpCloud};
use laburnumstall_outside::http::HttpSettings;
use laburnumstall_outside::vm_list::{HttpVmList, VmList};
use laburnumstall_standins::cloud::{CloudStandIn, RefusalRule};

fn request(token: &str, zone: &str) -> VmRequest {
    VmRequest {
        token: token.parse().unwrap(),
        class: "gpu-small".parse().unwrap(),
        market: Market::Reclaimable,
        zone: zone.parse().unwrap(),
        role: VmRole::Endpoint,
    }
}

fn start() -> (CloudStandIn<()>, HttpCloud, HttpVmList) {
    let cloud = CloudStandIn::start(()).unwrap();
    let settings = HttpSettings::new(cloud.address());
    (cloud, HttpCloud::new(settings), HttpVmList::new(settings))
}

async fn grant(client: &HttpCloud, request: VmRequest) -> OwnedVm {
    match client.call(CloudCall::Request(request)).await {
        Ok(CloudReply::Granted(owned)) => owned,
        other => panic!("not granted: {other:?}"),
    }
}

#[actix_rt::test]
async fn lost_reply_pays_once() {
    let (cloud, client, _) = start();
    cloud.lose_replies(1);
    let lost = client.call(CloudCall::Request(request("t1", "z1"))).await;
    assert_eq!(lost, Err(CallFailure::Unknown));
    let owned = grant(&client, request("t1", "z1")).await;
    let listed = client.call(CloudCall::List).await;
    assert_eq!(listed, Ok(CloudReply::Vms(vec![owned.clone()])));
    let vm = owned.vm.id;
    let released = client.call(CloudCall::Release { vm: vm.clone() }).await;
    assert_eq!(released, Ok(CloudReply::Released));
    let again = client.call(CloudCall::Release { vm }).await;
    assert_eq!(again, Ok(CloudReply::Released));
    assert_eq!(cloud.vms(), []);
    cloud.close();
}

#[actix_rt::test]
async fn refusals_by_zone() {
    let (cloud, client, _) = start();
    let zone = Some("z2".parse().unwrap());
    cloud.set_refusals(vec![RefusalRule {
        zone,
        ..RefusalRule::default()
    }]);
    let refused = client.call(CloudCall::Request(request("t1", "z2"))).await;
    assert_eq!(refused, Ok(CloudReply::Refused));
    grant(&client, request("t1", "z1")).await;
    cloud.crash();
    let client = HttpCloud::new(HttpSettings::new(cloud.address()));
    assert_eq!(
        client.call(CloudCall::List).await,
        Err(CallFailure::NotSent)
    );
    cloud.close();
}

#[actix_rt::test]
async fn notices_and_lagging_list() {
    let (cloud, client, list) = start();
    let vm = grant(&client, request("t1", "z1")).await.vm;
    assert_eq!(list.list().await, Ok(vec![vm.clone()]));
    let wait = Duration::from_secs(10);
    let announce = async {
        cloud.announce(std::slice::from_ref(&vm.id), Duration::from_secs(5));
    };
    let (page, ()) = tokio::join!(client.notices(0, wait), announce);
    let page = page.unwrap();
    assert_eq!((page.next, &page.notices[0].vm), (1, &vm.id));
    let deadline = page.notices[0].deadline;
    assert_eq!(cloud.vms()[0].state, VmState::Leaving { deadline });
    let none = client.notices(page.next, Duration::ZERO).await.unwrap();
    assert_eq!(none.notices, []);
    cloud.set_list_lag(Duration::from_secs(3_600));
    cloud.take(&[vm.id]);
    assert_eq!(list.list().await, Ok(Vec::new()));
    assert_eq!(cloud.vms(), []);
    cloud.close();
}
