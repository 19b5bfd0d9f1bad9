//! The weight store's adapter against its stand-in: loads queue at the store's rate.

use laburnumstall_core::units::Bytes;
use laburnumstall_outside::http::HttpSettings;
use laburnumstall_outside::weight_store::{HttpWeightStore, Reservation, WeightStore};
use laburnumstall_standins::weights::WeightStandIn;

fn reservation(order: &str) -> Reservation {
    Reservation {
        order: order.parse().unwrap(),
        model: "m".parse().unwrap(),
        adapter: None,
        version: "1".parse().unwrap(),
    }
}

#[actix_rt::test]
async fn loads_queue_and_repeat() {
    let store = WeightStandIn::start(Bytes(1_000), Bytes(3_600_000)).unwrap();
    let client = HttpWeightStore::new(HttpSettings::new(store.address()));
    let rate = client.rate().await.unwrap();
    assert_eq!(
        (rate.per_second, rate.available),
        (Bytes(1_000), Bytes(1_000))
    );
    let first = client.reserve(&reservation("o-1")).await.unwrap();
    let second = client.reserve(&reservation("o-2")).await.unwrap();
    let again = client.reserve(&reservation("o-1")).await.unwrap();
    assert_eq!(first.size, Bytes(3_600_000));
    assert!(second.starts_in_ms > first.ends_in_ms / 2);
    assert!(second.ends_in() > first.ends_in());
    assert!(again.ends_in() <= first.ends_in());
    assert_eq!(client.rate().await.unwrap().available, Bytes(0));
    store.close();
}
