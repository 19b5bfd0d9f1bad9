//! Each fault under live load, through the same code as `demo --scenario`, checked for
//! promises and never for times.

use std::time::Duration;

use laburnumstall::demo::{DemoLoad, Scenario, ScenarioReport, run_scenario};
use laburnumstall_core::units::{RequestRate, Tokens};

/// Load that is short, but goes on beyond each fault's beginning.
fn short_load(seconds: u64) -> DemoLoad {
    DemoLoad {
        rate: RequestRate(20),
        duration: Duration::from_secs(seconds),
        answer: Tokens(60),
        seed: 3,
        ..DemoLoad::default()
    }
}

async fn kept(scenario: Scenario, seconds: u64) -> ScenarioReport {
    let outcome = run_scenario(scenario, short_load(seconds), |_| {}).await;
    let outcome = outcome.expect("the scenario runs");
    let report = outcome.report;
    let lines = outcome.lines.join("\n");
    assert!(report.is_kept(), "{report}\n{lines}");
    assert!(report.sent > 0, "{report}");
    report
}

/// Fails without the hand-over of requests before an announced reclaim
/// (`Message::HandOver` in `entry/stop.rs`).
#[actix_rt::test]
async fn zone_is_taken() {
    let report = kept(Scenario::ZoneLoss, 7).await;
    assert_eq!(report.answered_whole, report.sent);
}

/// Fails without the comparison of an apply's base with the revision in force.
#[actix_rt::test]
async fn operators_race() {
    let report = kept(Scenario::ConfigRace, 4).await;
    assert_eq!(report.answered_whole, report.sent);
}

/// Fails without the quarantine of a request that was the only suspect at a crash.
#[actix_rt::test]
async fn request_crashes_engines() {
    let report = kept(Scenario::Poison, 4).await;
    assert!(report.engines_lost > 0, "the request reached no engine");
}

/// Fails if requests wait for anything but their claims while the store is down.
#[actix_rt::test]
async fn store_is_down() {
    kept(Scenario::StoreOutage, 6).await;
}

/// Fails without the probe on a new connection when a stream makes no progress.
#[actix_rt::test]
async fn connections_go_silent() {
    kept(Scenario::SilentConnection, 4).await;
}

/// Fails without the copy of each accepted request at a standby.
#[actix_rt::test]
async fn entry_is_lost() {
    let report = kept(Scenario::EntryLoss, 4).await;
    assert!(
        report.cut_off + report.moved > 0,
        "the loss hit nothing: {report}"
    );
}

/// Fails if a stopping entry closes before its requests have ended.
#[actix_rt::test]
async fn entry_is_stopped() {
    let report = kept(Scenario::PlannedStop, 4).await;
    assert_eq!(report.answered_whole, report.sent);
}

/// Fails without `PlacementDriver::tick` in the control thread: nothing is bought.
#[actix_rt::test]
async fn holder_and_bought_vms_are_lost() {
    kept(Scenario::Replacement, 4).await;
}
