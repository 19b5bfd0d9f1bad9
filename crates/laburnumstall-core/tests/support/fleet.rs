//! A small system and its VMs for placement tests.

use std::time::Duration;

use laburnumstall_core::cloud::OwnedVm;
use laburnumstall_core::placement::{Offer, PlanSlot};
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::{Market, ModelSpec, TargetLoad, VmClassSpec, VmRole};
use laburnumstall_core::units::HourlyPrice;

pub(crate) fn zone(name: &str, price_permille: u32) -> Zone {
    Zone {
        name: name.parse().unwrap(),
        region: "north".parse().unwrap(),
        price_permille,
        reclaim_permille_day: 0,
    }
}

pub(crate) fn class(name: &str, on_demand: u64, reclaimable: u64, decode: u64) -> VmClassSpec {
    VmClassSpec {
        name: name.parse().unwrap(),
        on_demand: HourlyPrice(on_demand),
        reclaimable: HourlyPrice(reclaimable),
        accelerators: 1,
        decode: TokenRate(decode),
        prefill: TokenRate(20_000),
        cache: Tokens(100_000),
    }
}

pub(crate) fn service(name: &str, requests: u64, classes: &[&str]) -> Service {
    Service {
        name: name.parse().unwrap(),
        kind: ServiceKind::Model,
        depends_on: Vec::new(),
        model: Some(ModelSpec {
            model: "model".parse().unwrap(),
            adapter: None,
            version: "v1".parse().unwrap(),
            classes: classes.iter().map(|class| class.parse().unwrap()).collect(),
        }),
        idempotent: true,
        calls: Vec::new(),
        checks_keys: false,
        checks_fencing: true,
        key_window: Duration::from_secs(3_600),
        deadline: Duration::from_secs(60),
        endpoints: Vec::new(),
        target: Some(TargetLoad {
            requests: RequestRate(requests),
            prompt: Tokens(4_000),
            answer: Tokens(300),
        }),
    }
}

/// Returns a system with three zones of increasing price, two machine classes and one service.
pub(crate) fn system(requests: u64) -> System {
    System {
        zones: vec![zone("a", 1_000), zone("b", 1_050), zone("c", 1_100)],
        classes: vec![
            class("large", 4_000_000, 1_500_000, 4_000),
            class("small", 2_200_000, 900_000, 2_000),
        ],
        services: vec![service("answers", requests, &["large", "small"])],
        ..System::default()
    }
}

pub(crate) fn granted(slot: &PlanSlot) -> OwnedVm {
    OwnedVm {
        vm: Vm {
            id: format!("vm-{}", slot.token).parse().unwrap(),
            zone: slot.offer.zone.clone(),
            class: slot.offer.class.clone(),
            market: slot.offer.market,
            role: VmRole::Endpoint,
            address: ([10, 0, 0, 1], 9_000).into(),
            state: VmState::Live,
        },
        token: Some(slot.token.clone()),
    }
}

pub(crate) fn offer(class: &str, market: Market, zone: &str) -> Offer {
    Offer {
        class: class.parse().unwrap(),
        market,
        zone: zone.parse().unwrap(),
    }
}
