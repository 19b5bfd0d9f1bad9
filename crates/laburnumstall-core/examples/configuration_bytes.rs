//! Size and cost of a configuration change, by number of customers.
//!
//! `cargo run --release --example configuration_bytes -p laburnumstall-core`
//!
//! One of many customers changes. Records are sent to the key-value service as JSON and to
//! other daemons as postcard.

#[path = "support/timing.rs"]
mod timing;

use std::hint::black_box;
use std::time::Duration;

use laburnumstall_core::adoption::ConfigurationChange;
use laburnumstall_core::message::{ConfigurationRecord, Message};
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::{Configuration, Contract};
use serde::Serialize;
use timing::micros;

fn main() {
    println!(
        "{:>10} {:>12} {:>12} {:>12} {:>12} {:>12} {:>12}",
        "customers",
        "whole JSON",
        "change JSON",
        "whole peer",
        "change peer",
        "compare us",
        "apply us"
    );
    for customers in [5, 50, 500, 2_000] {
        row(customers);
    }
}

fn row(customers: u32) {
    let base = record(1, system(customers, 10));
    let mut changed = base.configuration.system.clone();
    changed.customers[0].contract.weight += 1;
    let next = record(2, changed);
    let change = ConfigurationChange::between(&base, &next).expect("in order");
    let compare = micros(|| {
        black_box(ConfigurationChange::between(&base, &next));
    });
    let apply = micros(|| {
        black_box(change.apply(&base));
    });
    let whole_peer = peer_bytes(&Message::PushConfiguration(Box::new(next.clone())));
    let change_peer = peer_bytes(&Message::PushChanges(vec![change.clone()]));
    println!(
        "{customers:>10} {:>12} {:>12} {whole_peer:>12} {change_peer:>12} {compare:>12.0} {apply:>12.0}",
        json_bytes(&next),
        json_bytes(&change),
    );
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |buf| buf.len())
}

fn peer_bytes(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(0, |buf| buf.len())
}

fn record(revision: u64, system: System) -> ConfigurationRecord {
    ConfigurationRecord {
        configuration: Configuration {
            revision: Revision(revision),
            digest: "0".repeat(64).into(),
            system,
        },
        operator: "operator".into(),
        at: Timestamp(0),
        reason: "a larger contract".into(),
        nonce: revision,
    }
}

fn system(customers: u32, weight: u32) -> System {
    let customer = |number: u32| Customer {
        name: format!("customer-{number:05}")
            .parse()
            .expect("a valid name"),
        key_digests: vec!["0".repeat(64).into()],
        contract: Contract {
            requests: RequestRate(40),
            tokens: TokenRate(16_000),
            weight,
            priority: Priority(1),
            first_token: Duration::from_secs(1),
            between_tokens: Duration::from_millis(51),
            services: vec!["case-files".parse().expect("a valid name")],
        },
    };
    System {
        customers: (0..customers).map(customer).collect(),
        ..System::default()
    }
}
