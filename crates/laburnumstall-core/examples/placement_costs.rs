//! Time of one selection of an endpoint by a gateway's load balancer.
//!
//! `cargo run --release --example placement_costs -p laburnumstall-core`
//!
//! With equal weights the order of owners is by hash alone; with weights each hash is scaled.

#[path = "support/timing.rs"]
mod timing;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use laburnumstall_core::decision::Journal;
use laburnumstall_core::gateway::{
    BackendRule, EndpointQuery, EndpointRecord, EndpointTable, LoadBalancer, ProcessKey,
    ProcessTimes, Prompt, PromptPart, ServiceRule, VersionGate,
};
use laburnumstall_core::prelude::*;
use timing::micros;

fn main() {
    println!("{:>10} {:>10} {:>12}", "endpoints", "weights", "select us");
    for endpoints in [64, 256, 2_500] {
        for is_weighted in [false, true] {
            let mut balancer = balancer(endpoints, is_weighted);
            let mut part = 0;
            let mean = micros(|| {
                part += 1;
                select(&mut balancer, part);
            });
            println!("{endpoints:>10} {is_weighted:>10} {mean:>12.2}");
        }
    }
}

fn service() -> ServiceName {
    "clerk".parse().expect("a valid name")
}

fn record(number: usize) -> EndpointRecord {
    EndpointRecord {
        id: format!("ep-{number:05}").parse().expect("a valid name"),
        service: service(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name"),
        slots: 48,
        is_leaving: false,
        is_spot: false,
        leaves_in: None,
        started_at_ms: 1,
        version: None,
    }
}

fn balancer(endpoints: usize, is_weighted: bool) -> LoadBalancer {
    let mut balancer = LoadBalancer::new("zone-0".parse().expect("a valid name"));
    let mut table = EndpointTable::default();
    for number in 0..endpoints {
        table.on_entry(Timestamp::ZERO, record(number), &mut Journal::default());
    }
    balancer.set_endpoints(Timestamp::ZERO, &table);
    if is_weighted {
        let rule = ServiceRule {
            name: service(),
            backend: Some(BackendRule {
                batch: 48,
                kv_tokens: 636_076,
                token_size: Bytes(163_840),
                link_rate: 0,
                can_move: false,
                move_ttl: Duration::ZERO,
            }),
            scaling: None,
        };
        balancer.set_services(&BTreeMap::from([(service(), rule)]));
        let times: Vec<ProcessTimes> = (0..endpoints)
            .map(|number| ProcessTimes {
                process: ProcessKey::of(&record(number).process()),
                expected_us: 4_000_000,
                measured_us: if number % 3 == 0 {
                    6_800_000
                } else {
                    2_800_000
                },
                calls: 4_000,
            })
            .collect();
        for second in 0..10 {
            let now = Timestamp::from_millis(second * 1_000);
            balancer.on_peer_times(now, &times);
            balancer.update_speeds(now, &mut Journal::default());
        }
    }
    balancer
}

fn select(balancer: &mut LoadBalancer, part: u64) {
    let part_of = |id, tokens| PromptPart { id, tokens };
    let prompt = Prompt {
        tokens: 11_992,
        max_answer_tokens: 355,
        parts: vec![part_of(part % 240, 5_382), part_of(part << 8, 6_610)],
    };
    let now = Timestamp::from_millis(10_000);
    let query = EndpointQuery {
        service: &service(),
        prompt: Some(&prompt),
        seed: 1,
        version: None,
        admitted: None,
        gate: VersionGate::Open,
        excluded: &[],
    };
    let attempt = balancer.select(now, &query).expect("a usable endpoint");
    balancer.end(now, black_box(attempt), None);
}
