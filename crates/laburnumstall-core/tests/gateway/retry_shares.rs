//! Retries of all daemons together, while daemons start and end.
//!
//! The limit on retries holds for the sum of all daemons, whichever of their processes sent them.

use std::time::Duration;

use crate::fleet::start;
use crate::stream_origins::gossip;
use crate::support::{at, bounds, call_attributes, daemon, endpoint, member};
use laburnumstall_core::gateway::{CallFailure, FailureAction, Gateway};

/// Calls that fail at a daemon in one turn.
const CALLS: u32 = 20;

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct Count {
    requests: u32,
    retries: u32,
}

impl Count {
    /// Lets calls fail at a daemon until it retries no more.
    fn fail_calls(&mut self, gateway: &mut Gateway, ms: u64) {
        gateway.on_store_confirmed(at(ms), at(ms));
        for n in 0..CALLS {
            let attributes = call_attributes(&format!("call-{ms}-{n}"), "/read/1");
            let mut call = gateway.admit(at(ms), attributes).unwrap();
            let attempt = gateway.select_endpoint(at(ms), &mut call).unwrap();
            gateway.on_sent(&mut call);
            let action = gateway.after_failure(at(ms), &mut call, attempt, CallFailure::Failed);
            self.requests += 1;
            self.retries += u32::from(action == Ok(FailureAction::Retry));
        }
    }

    /// Checks the retries of at most one window against the limit of all daemons.
    fn check(&self) {
        let bounds = bounds();
        let limit = f64::from(self.requests) * bounds.retry_ratio + bounds.retry_allowance;
        assert!(f64::from(self.retries) <= limit, "{self:?}, limit {limit}");
    }
}

fn endpoints() -> Vec<laburnumstall_core::gateway::EndpointRecord> {
    let ids = ["a", "b", "c", "d", "e", "f"];
    ids.map(|id| endpoint(id, "app", "north-a")).to_vec()
}

/// Returns the gateways of daemons that have run for ten minutes.
fn fleet(daemons: u32) -> Vec<Gateway> {
    let gateways = (1..=daemons).map(|own| {
        let mut gateway = start(own, daemons, &endpoints());
        gateway.on_daemon_started(at(0).before(Duration::from_secs(600)));
        gateway.tick(at(0).before(Duration::from_secs(300)));
        gateway.tick(at(0));
        gateway
    });
    gateways.collect()
}

/// Returns the gateway of a daemon that starts at `ms` and knows no peer.
fn started(own: u32, ms: u64) -> Gateway {
    let mut gateway = start(own, 1, &endpoints());
    gateway.on_daemon_started(at(ms));
    gateway.tick(at(ms));
    gateway
}

/// Each process of a daemon that was killed again and again had a whole share of the limit.
#[test]
fn started_daemons_have_the_share_once_more() {
    let mut count = Count::default();
    for gateway in &mut fleet(4) {
        count.fail_calls(gateway, 100);
    }
    for ms in [2_000, 4_000, 6_000, 8_000] {
        for own in 1..=4 {
            let mut gateway = started(own, ms);
            for peer in (1..=4).filter(|peer| *peer != own) {
                gateway.on_member(at(ms), member(peer));
            }
            gateway.tick(at(ms));
            count.fail_calls(&mut gateway, ms + 500);
        }
    }
    count.check();
}

/// Daemons that started together had the whole allowance each until they knew of each other.
#[test]
fn daemons_without_peers_have_the_whole_allowance() {
    let mut count = Count::default();
    for own in 1..=4 {
        let mut gateway = started(own, 0);
        for ms in [100, 200, 300] {
            count.fail_calls(&mut gateway, ms);
        }
    }
    count.check();
}

/// The shares of daemons that ended were used by the others within the same window.
#[test]
fn shares_of_ended_daemons_are_used_twice() {
    let mut count = Count::default();
    let mut gateways = fleet(4);
    for gateway in &mut gateways {
        count.fail_calls(gateway, 100);
    }
    for gateway in &mut gateways[..1] {
        for peer in 2..=4 {
            gateway.on_member_removed(&daemon(peer));
        }
        for ms in [7_000, 8_000, 9_000] {
            gateway.tick(at(ms));
            count.fail_calls(gateway, ms);
        }
    }
    count.check();
}

/// Settings that changed gave each daemon a whole share once more.
#[test]
fn changed_settings_begin_no_new_window() {
    let mut count = Count::default();
    for gateway in &mut fleet(4) {
        count.fail_calls(gateway, 100);
        for (ms, secs) in [(1_000, 6), (2_000, 7), (3_000, 8)] {
            let mut changed = bounds();
            changed.revocation = Some(Duration::from_secs(secs));
            gateway.set_bounds(changed);
            gateway.tick(at(ms));
            count.fail_calls(gateway, ms);
        }
    }
    count.check();
}

/// A daemon that has run for a window beside the same peers has its whole share.
#[test]
fn share_is_whole_after_a_window() {
    let mut count = Count::default();
    let mut gateway = started(1, 0);
    for peer in 2..=4 {
        gateway.on_member(at(500), member(peer));
    }
    for ms in (500..=11_000).step_by(500) {
        for peer in 2..=4 {
            gateway.on_gossip(at(ms), &daemon(peer), gossip(ms));
        }
        gateway.tick(at(ms));
    }
    for ms in [11_000, 11_100, 11_200] {
        count.fail_calls(&mut gateway, ms);
    }
    let share = 58.0 / 4.0 * 0.8;
    assert!(f64::from(count.retries) >= share, "{count:?}");
    count.check();
}
