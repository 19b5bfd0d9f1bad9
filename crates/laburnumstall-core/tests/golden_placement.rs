//! Snapshots of placement sessions: the events and the decisions of the lease holders.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/store.rs"]
mod store;
#[path = "support/world.rs"]
#[allow(dead_code, reason = "other tests use the rest of it")]
mod world;

use std::fmt::Write;
use std::time::Duration;

use fleet::{offer, system};
use laburnumstall_core::placement::LEASE_TTL;
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::Market;
use world::World;

const MINUTE: Duration = Duration::from_secs(60);

/// Time for which the cloud refuses every offer.
const REFUSAL_TIME: Duration = Duration::from_secs(40);

/// A simulated placement and its transcript so far.
struct Session {
    world: World,
    transcript: String,
}

impl Session {
    /// Starts with a fleet for ten requests per second whose endpoints ignore fencing tokens.
    fn new() -> Self {
        let mut world = World::new(7, system(10));
        world.system.services[0].checks_fencing = false;
        assert!(world.settle(5 * MINUTE), "the first fleet does not settle");
        world.journal.take();
        let transcript = String::new();
        Self { world, transcript }
    }

    /// Writes the decisions made so far, and the next event.
    fn log_event(&mut self, event: &str) {
        let lines: Vec<String> = self.world.journal.take().iter().map(line_of).collect();
        for repeated in lines.chunk_by(|one, next| one == next) {
            let times = match repeated.len() {
                1 => String::new(),
                count => format!(" ({count} times)"),
            };
            let _ = writeln!(self.transcript, "{}{times}", repeated[0]);
        }
        let _ = writeln!(self.transcript, "{} -- {event}", self.world.now);
    }

    fn holder(&self) -> Option<usize> {
        let mut daemons = self.world.daemons.iter();
        daemons.position(|daemon| daemon.placement.lease().may_order(self.world.now))
    }

    fn set_version(&mut self, version: &str) {
        self.log_event(&format!("operators want version {version}"));
        let model = self.world.system.services[0].model.as_mut().unwrap();
        model.version = version.parse().unwrap();
        self.world.configuration += 1;
    }

    fn end(mut self) -> String {
        self.log_event("end");
        let serving = self.world.serving();
        let provisioned = self.world.cloud.by_token.len();
        let vms = self.world.cloud.vms.len();
        let _ = writeln!(
            self.transcript,
            "vms {vms}, bought {provisioned}, serving {serving}"
        );
        self.transcript
    }
}

/// Formats a decision without its tokens, so that repeated decisions have equal lines.
fn line_of(decision: &Decision) -> String {
    let mut decision = decision.clone();
    let is_omitted = |name: &str| name == "token" || name.starts_with("alternative");
    decision.fields.retain(|field| !is_omitted(&field.name));
    decision.to_string()
}

/// A paused holder resumes after another daemon took over the lease. `World` panics if an
/// order of the first holder takes effect after one of the second.
///
/// Fails if `Placement::may_send` always returns `true`; either of its checks `may_order`
/// and `is_current` alone suppresses the old orders here.
#[test]
fn paused_lease_holder_wakes() {
    let mut session = Session::new();
    let first = session.holder().expect("no daemon holds the lease");
    session.world.order_delay = Duration::from_millis(500);
    session.set_version("v2");
    while session.world.daemons[first].outbox.is_empty() {
        session.world.step();
    }
    session.log_event("the holder is paused with its orders in hand");
    session.world.order_delay = Duration::ZERO;
    session.world.daemons[first].paused_until = Timestamp::NEVER;
    session.set_version("v3");
    assert!(
        session.world.settle(5 * MINUTE),
        "version 3 does not take effect"
    );
    assert_ne!(session.holder(), Some(first));
    session.log_event("the first holder wakes");
    session.world.daemons[first].paused_until = session.world.now;
    session.world.run_for(LEASE_TTL);
    assert!(
        session.world.is_settled(),
        "version 3 does not stay in effect"
    );
    insta::assert_snapshot!(session.end());
}

/// Fails without `Refusals::record_refusal` in `VmRequests::on_reply`.
#[test]
fn cloud_refuses_every_replacement() {
    let mut session = Session::new();
    let zone: AvailabilityZone = "a".parse().unwrap();
    let before = session.world.serving();
    session.world.remove_vms(|vm| vm.zone == zone);
    let remaining = session.world.serving();
    session.log_event("zone a is taken, and the cloud refuses every offer");
    for name in ["a", "b", "c"] {
        for market in [Market::Reclaimable, Market::OnDemand] {
            for class in ["large", "small"] {
                session
                    .world
                    .cloud
                    .refused
                    .insert(offer(class, market, name));
            }
        }
    }
    let provisioned = session.world.cloud.by_token.len();
    let end = session.world.now.after(REFUSAL_TIME);
    while session.world.now < end {
        session.world.step();
        assert!(
            session.world.serving() >= remaining,
            "a remaining endpoint stopped serving"
        );
    }
    assert_eq!(session.world.cloud.by_token.len(), provisioned);
    session.log_event("the cloud grants again, and the holder's process is replaced");
    let holder = session.holder().expect("no daemon holds the lease");
    session.world.restart(holder);
    session.world.cloud.refused.clear();
    session.world.run_for(3 * MINUTE);
    assert_eq!(
        session.world.serving(),
        before,
        "the fleet is not fully restored"
    );
    let provisioned_since = session.world.cloud.by_token.len() - provisioned;
    assert_eq!(provisioned_since, before - remaining, "a VM was paid twice");
    insta::assert_snapshot!(session.end());
}
