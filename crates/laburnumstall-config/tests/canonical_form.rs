//! The canonical text stands for a system: it reads back as the same system.

use std::time::Duration;

use laburnumstall_config::{canonical, diff, digest, normalize, parse};
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::{
    CallRule, Link, ModelSpec, StaticEndpoint, SystemChange, TargetLoad, VmClassSpec,
};
use laburnumstall_core::units::HourlyPrice;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CARONI: &str = include_str!("../../../examples/caroni.toml");
const KUUSIVIULU: &str = include_str!("../../../examples/kuusiviulu.toml");
const AGENDA_COMUN: &str = include_str!("../../../examples/agenda-comun.toml");
const CASES: u64 = 1_000;

/// A system that a text can say, with its items in any order.
#[derive(Debug, Clone)]
struct SaidSystem(System);

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

fn time(g: &mut Gen) -> Duration {
    let unit = *g
        .choose(&[1, 1_000, 1_000_000, 1_000_000_000])
        .expect("units");
    Duration::from_nanos((1 + below(g, 100_000)) * unit)
}

fn shuffle<T>(g: &mut Gen, items: &mut [T]) {
    for last in (1..items.len()).rev() {
        items.swap(last, below(g, last as u64 + 1) as usize);
    }
}

fn zone_name(index: u64) -> AvailabilityZone {
    format!("zone-{index}").parse().expect("name")
}

fn service_name(index: u64) -> ServiceName {
    format!("service.{index}").parse().expect("name")
}

/// Builds service `index`, which can depend on services with a lower index alone.
fn service(g: &mut Gen, index: u64, zones: u64) -> Service {
    let is_model = bool::arbitrary(g);
    let deadline = time(g) + Duration::from_secs(10_000);
    let call = |number: u64, idempotent: bool| CallRule {
        method: "POST".into(),
        path: format!("/call-{number}\"'\\").into(),
        idempotent,
    };
    let endpoint = |number: u64| StaticEndpoint {
        id: format!("e\"{index}\\{number}").parse().expect("name"),
        zone: zone_name(number % zones),
        address: format!("[::1]:{}", 1 + number).parse().expect("address"),
    };
    Service {
        name: service_name(index),
        kind: if is_model {
            ServiceKind::Model
        } else {
            ServiceKind::Plain
        },
        depends_on: (0..index)
            .filter(|_| bool::arbitrary(g))
            .map(service_name)
            .collect(),
        model: is_model.then(|| ModelSpec {
            model: "family/size:1#b".parse().expect("name"),
            adapter: bool::arbitrary(g).then(|| "\"quoted\"".parse().expect("name")),
            version: "1'2".parse().expect("name"),
            classes: vec![
                "class-1".parse().expect("name"),
                "class-0".parse().expect("name"),
            ],
        }),
        idempotent: bool::arbitrary(g),
        calls: (0..if is_model { 0 } else { below(g, 3) })
            .map(|number| call(number, bool::arbitrary(g)))
            .collect(),
        checks_keys: bool::arbitrary(g),
        checks_fencing: bool::arbitrary(g),
        key_window: deadline + time(g),
        deadline,
        endpoints: (0..1 + below(g, 3)).map(endpoint).collect(),
        target: (is_model && bool::arbitrary(g)).then(|| TargetLoad {
            requests: RequestRate(1 + below(g, u64::MAX)),
            prompt: Tokens(1 + below(g, 9_000)),
            answer: Tokens(1 + below(g, 9_000)),
        }),
    }
}

fn customer(g: &mut Gen, index: u64, services: u64) -> Customer {
    Customer {
        name: format!("customer-{index}").parse().expect("name"),
        key_digests: (0..below(g, 3))
            .map(|key| format!("{:064x}", index * 10 + key).into())
            .collect(),
        contract: Contract {
            requests: RequestRate(1 + below(g, 1_000)),
            tokens: TokenRate(1 + below(g, u64::MAX)),
            weight: 1 + below(g, 1_000_000) as u32,
            priority: Priority(below(g, 1_001)),
            first_token: Duration::from_nanos(1 + below(g, 10_000_000_000)),
            between_tokens: time(g),
            services: (0..services)
                .filter(|_| bool::arbitrary(g))
                .map(service_name)
                .collect(),
        },
    }
}

impl Arbitrary for SaidSystem {
    fn arbitrary(g: &mut Gen) -> Self {
        let zones = 1 + below(g, 4);
        let services = below(g, 5);
        let zone = |index: u64, g: &mut Gen| Zone {
            name: zone_name(index),
            region: "region/1".parse().expect("name"),
            price_permille: 1 + below(g, 100_000) as u32,
            reclaim_permille_day: below(g, 1_001) as u32,
        };
        let class = |index: u64, g: &mut Gen| VmClassSpec {
            name: format!("class-{index}").parse().expect("name"),
            on_demand: HourlyPrice(5_000 + below(g, 1_000)),
            reclaimable: HourlyPrice(1 + below(g, 5_000)),
            accelerators: 1 + below(g, 1_024) as u32,
            decode: TokenRate(1 + below(g, 1_000)),
            prefill: TokenRate(1 + below(g, u64::MAX)),
            cache: Tokens(1 + below(g, 1_000)),
        };
        let pairs = (0..zones).flat_map(|to| (0..to).map(move |from| (to, from)));
        let mut system = System {
            zones: (0..zones).map(|index| zone(index, g)).collect(),
            links: pairs
                .map(|(from, to)| Link {
                    from: zone_name(from),
                    to: zone_name(to),
                    latency: time(g),
                })
                .collect(),
            classes: (0..2).map(|index| class(index, g)).collect(),
            services: (0..services)
                .map(|index| service(g, index, zones))
                .collect(),
            customers: (0..below(g, 4))
                .map(|index| customer(g, index, services))
                .collect(),
        };
        shuffle(g, &mut system.zones);
        shuffle(g, &mut system.links);
        shuffle(g, &mut system.services);
        shuffle(g, &mut system.customers);
        Self(system)
    }
}

fn check(property: fn(SaidSystem) -> bool, seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed))
        .tests(CASES)
        .quickcheck(property);
}

/// Leaving any key out of `canonical` makes this fail.
#[test]
fn reads_back() {
    fn property(SaidSystem(mut system): SaidSystem) -> bool {
        let again = parse(&canonical(&system)).unwrap_or_else(|faults| panic!("{faults}"));
        normalize(&mut system);
        again == system && canonical(&again) == canonical(&system)
    }
    check(property, 11);
}

/// Removing a sort from `normalize` makes this fail.
#[test]
fn order_has_no_meaning() {
    fn property(SaidSystem(system): SaidSystem) -> bool {
        let mut other = system.clone();
        other.zones.reverse();
        other.links.reverse();
        other.services.reverse();
        other.customers.reverse();
        for service in &mut other.services {
            service.endpoints.reverse();
            service.calls.reverse();
            service.depends_on.reverse();
        }
        digest(&other) == digest(&system) && diff(&system, &other).is_empty()
    }
    check(property, 12);
}

/// A change carries exactly the sections that differ, and rebuilds the later system.
///
/// Removing `replace` for services or customers, or the platform's section, from
/// `SystemChange::apply` makes this fail.
#[test]
fn changes_rebuild() {
    fn property(SaidSystem(mut old): SaidSystem) -> bool {
        normalize(&mut old);
        let edits = [drop_last, change_first, rename_all, change_platform];
        edits.into_iter().all(|edit| {
            let mut new = old.clone();
            edit(&mut new);
            normalize(&mut new);
            let there = SystemChange::between(&old, &new).expect("both are in order");
            let back = SystemChange::between(&new, &old).expect("both are in order");
            there.apply(&old) == new && back.apply(&new) == old
        })
    }
    check(property, 13);
}

fn drop_last(system: &mut System) {
    system.services.pop();
    system.customers.pop();
}

fn change_first(system: &mut System) {
    if let Some(customer) = system.customers.first_mut() {
        customer.contract.weight += 1;
    }
}

fn rename_all(system: &mut System) {
    for customer in &mut system.customers {
        let name = format!("a-{}", customer.name);
        customer.name = name.parse().expect("still a name");
    }
    for service in &mut system.services {
        service.deadline += Duration::from_secs(1);
    }
}

fn change_platform(system: &mut System) {
    system.links.pop();
    for zone in &mut system.zones {
        zone.price_permille += 1;
    }
}

/// The size of a change does not depend on what stays the same.
///
/// Removing the comparison of parts in `SystemChange::between` makes this fail.
#[test]
fn changes_are_small() {
    let old = parse(CARONI).expect("the example is valid");
    let mut new = old.clone();
    change_first(&mut new);
    let change = SystemChange::between(&old, &new).expect("both are in order");
    assert_eq!(change.customers, [new.customers[0].clone()]);
    assert!(change.platform.is_none() && change.services.is_empty());
    assert!(change.removed_services.is_empty() && change.removed_customers.is_empty());
}

#[test]
fn examples_read_back() {
    for text in [CARONI, KUUSIVIULU, AGENDA_COMUN] {
        let system = parse(text).unwrap_or_else(|faults| panic!("{faults}"));
        assert_eq!(parse(&canonical(&system)).expect("canonical"), system);
    }
}

#[test]
fn canonical_example() {
    let system = parse(KUUSIVIULU).expect("the example is valid");
    insta::assert_snapshot!(canonical(&system));
}
