//! Placement over real sockets: VMs are bought, loaded, served from, replaced and kept
//! through the loss of the lease holder.

use std::collections::BTreeSet;
use std::time::Duration;

use laburnumstall_config::admin::STATUS_PATH;
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::placement::LIST_PERIOD;
use laburnumstall_core::request::Dialect;
use laburnumstall_core::units::RequestRate;
use laburnumstall_site::{CUSTOMER_KEY, Caller, OPERATOR_KEY, Site, SiteSpec};
use laburnumstall_standins::engine::expected_answer;

/// Longest wait for something to come about; no assertion depends on the time it takes.
const PATIENCE: Duration = Duration::from_secs(120);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Time in which nothing may happen.
const QUIET: Duration = Duration::from_secs(4);

/// Three zones, and a target that two of the three bought engines carry.
fn spec() -> SiteSpec {
    SiteSpec {
        engines: 0,
        target: Some(RequestRate(20)),
        ..SiteSpec::default()
    }
}

async fn wait_for(site: &Site, what: &str, holds: impl Fn(&Site) -> bool) {
    wait_within(PATIENCE, site, what, holds).await;
}

async fn wait_within(patience: Duration, site: &Site, what: &str, holds: impl Fn(&Site) -> bool) {
    let mut waited = Duration::ZERO;
    while !holds(site) {
        let lines = || site.lines.read().join("\n");
        assert!(waited < patience, "{what}\n{}", lines());
        actix_rt::time::sleep(LOOK).await;
        waited += LOOK;
    }
}

/// Tells whether as many bought engines as `count` have loaded something.
fn has_loaded(site: &Site, count: usize) -> bool {
    let there = site.bought.there();
    there.len() >= count && there.iter().all(|known| !known.orders.is_empty())
}

/// Sends a chat to an entry, again while it is refused as not run, since an entry learns
/// of new engines with the VM list's lag.
async fn answered(site: &Site, entry: usize, prompt: &str) {
    let caller = Caller::new(CUSTOMER_KEY);
    let body = Caller::chat_body(prompt, 8, false);
    let address = site.addresses()[entry];
    let mut waited = Duration::ZERO;
    let answer = loop {
        let answer = caller.chat(address, &body).await.expect("an answer");
        let error = answer.error().map(|error| error.kind);
        if error != Some(ErrorKind::NoEndpoint) || waited >= PATIENCE {
            break answer;
        }
        actix_rt::time::sleep(LOOK).await;
        waited += LOOK;
    };
    assert_eq!(answer.status, 200, "{}", answer.body);
    let expected = expected_answer(Dialect::Chat, body.to_string().as_bytes());
    assert_eq!(answer.text(), expected);
}

fn assert_paid_once(site: &Site) {
    let bought = site.bought.read();
    let tokens: BTreeSet<_> = bought.iter().map(|known| &known.token).collect();
    assert_eq!(tokens.len(), bought.len(), "a token was paid twice");
}

/// Fails without `PlacementDriver::tick` in the control thread, or without
/// `LoadReport::loads` in the engine's report.
#[actix_rt::test]
async fn vms_are_bought_loaded_and_serve() {
    let site = Site::start(spec()).await.expect("the site starts");
    wait_for(&site, "three loaded engines", |site| has_loaded(site, 3)).await;
    for entry in 0..site.addresses().len() {
        answered(&site, entry, &format!("holding period of box {entry}")).await;
    }
    let served: u64 = site
        .bought
        .there()
        .iter()
        .map(|known| known.counts.streams)
        .sum();
    assert_eq!(served, 4);
    let zones: BTreeSet<_> = site
        .bought
        .there()
        .into_iter()
        .map(|known| known.zone)
        .collect();
    assert_eq!(zones.len(), 3, "one zone's loss would take too much");
    let before = site.bought.there().len();
    actix_rt::time::sleep(QUIET).await;
    assert_eq!(site.bought.read().len(), before, "it goes on buying");
    assert_eq!(site.lines.count("choice=release"), 0);
    assert_paid_once(&site);
    let holder = site.operators()[site.placement_holder().expect("a holder")];
    let status = Caller::new(OPERATOR_KEY).get(holder, STATUS_PATH).await;
    let status = status.expect("a status").body;
    assert!(status.contains("\"placement\":{"), "{status}");
    site.close().await;
}

/// Fails without `PlacementDriver::on_notice` in the control thread: the wait ends before
/// the next listing, which shows the notice too.
#[actix_rt::test]
async fn a_reclaimed_vm_is_replaced_before_it_goes() {
    let mut site = Site::start(spec()).await.expect("the site starts");
    wait_for(&site, "three loaded engines", |site| has_loaded(site, 3)).await;
    let lost = site.bought.there()[0].vm.clone();
    site.announce(std::slice::from_ref(&lost), PATIENCE);
    let before_listing = LIST_PERIOD / 2;
    wait_within(before_listing, &site, "a replacement", |site| {
        has_loaded(site, 4)
    })
    .await;
    site.take_vms(&[lost]).await;
    answered(&site, 0, "holding period of box 7").await;
    assert_eq!(site.bought.there().len(), 3);
    assert_paid_once(&site);
    site.close().await;
}

/// Fails if the lease does not end with its holder, or without the plan in the
/// key-value service: the next holder would buy everything again.
#[actix_rt::test]
async fn another_daemon_takes_over_and_pays_nothing_twice() {
    let mut site = Site::start(spec()).await.expect("the site starts");
    site.cloud.lose_replies(2);
    wait_for(&site, "three loaded engines", |site| has_loaded(site, 3)).await;
    let first = site.placement_holder().expect("a holder");
    let lost = site.bought.there()[0].vm.clone();
    site.cloud.lose_replies(1);
    site.announce(std::slice::from_ref(&lost), PATIENCE);
    site.kill_entry(first).await;
    wait_for(&site, "another holder", |site| {
        site.placement_holder().is_some()
    })
    .await;
    wait_for(&site, "a replacement", |site| has_loaded(site, 4)).await;
    actix_rt::time::sleep(QUIET).await;
    assert_eq!(site.bought.there().len(), 4, "it goes on buying");
    assert_paid_once(&site);
    answered(&site, 0, "holding period of box 8").await;
    site.close().await;
}

/// Fails without `has_targets` in `Placement::tick`.
#[actix_rt::test]
async fn a_text_without_targets_buys_and_orders_nothing() {
    let spec = SiteSpec::default();
    let before = spec.engines + spec.entries;
    let site = Site::start(spec).await.expect("the site starts");
    actix_rt::time::sleep(QUIET).await;
    assert_eq!(site.lines.count("event=lease"), 0);
    assert_eq!(site.lines.count("event=placement"), 0);
    assert_eq!(site.cloud.vms().len(), before);
    assert!(
        site.engines
            .iter()
            .all(|slot| slot.engine.orders().is_empty())
    );
    site.close().await;
}
