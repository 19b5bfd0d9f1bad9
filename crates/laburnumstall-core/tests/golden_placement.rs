//! Golden files of placement sessions: what happened, and what the holders decided.

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

/// Time for which the cloud refuses everything.
const REFUSAL_TIME: Duration = Duration::from_secs(40);

/// A placement world and its story so far.
struct Session {
    world: World,
    text: String,
}

impl Session {
    /// Begins with a fleet of ten requests a second whose endpoints ignore fencing tokens.
    fn new() -> Self {
        let mut world = World::new(7, system(10));
        world.system.services[0].checks_fencing = false;
        assert!(world.settle(5 * MINUTE), "the first fleet is there");
        world.journal.take();
        let text = String::new();
        Self { world, text }
    }

    /// Writes what was decided so far, and what happens next.
    fn note(&mut self, what: &str) {
        let lines: Vec<String> = self.world.journal.take().iter().map(line_of).collect();
        for same in lines.chunk_by(|one, next| one == next) {
            let times = match same.len() {
                1 => String::new(),
                count => format!(" ({count} times)"),
            };
            let _ = writeln!(self.text, "{}{times}", same[0]);
        }
        let _ = writeln!(self.text, "{} -- {what}", self.world.now);
    }

    fn holder(&self) -> Option<usize> {
        let mut daemons = self.world.daemons.iter();
        daemons.position(|daemon| daemon.placement.lease().may_order(self.world.now))
    }

    fn set_version(&mut self, version: &str) {
        self.note(&format!("operators want version {version}"));
        let need = self.world.system.services[0].model.as_mut().unwrap();
        need.version = version.parse().unwrap();
        self.world.configuration += 1;
    }

    fn end(mut self) -> String {
        self.note("end");
        let serving = self.world.serving();
        let bought = self.world.cloud.by_token.len();
        let vms = self.world.cloud.vms.len();
        let _ = writeln!(self.text, "vms {vms}, bought {bought}, serving {serving}");
        self.text
    }
}

/// Writes a decision without the tokens that tell its copies apart.
fn line_of(decision: &Decision) -> String {
    let mut decision = decision.clone();
    let is_own = |name: &str| name == "token" || name.starts_with("alternative");
    decision.fields.retain(|field| !is_own(&field.name));
    decision.to_string()
}

/// The world fails if an order of the first holder takes effect after the second's.
///
/// Fails without: the answer of `Placement::may_send` before an order is sent (`true`
/// instead). Either of `may_order` and `is_current` alone keeps the old orders back here.
#[test]
fn paused_lease_holder_wakes() {
    let mut session = Session::new();
    let first = session.holder().expect("the fleet has a holder");
    session.world.order_delay = Duration::from_millis(500);
    session.set_version("v2");
    while session.world.daemons[first].outbox.is_empty() {
        session.world.step();
    }
    session.note("the holder is paused with its orders in hand");
    session.world.order_delay = Duration::ZERO;
    session.world.daemons[first].paused_until = Timestamp::NEVER;
    session.set_version("v3");
    assert!(session.world.settle(5 * MINUTE), "version 3 is in effect");
    assert_ne!(session.holder(), Some(first));
    session.note("the first holder wakes");
    session.world.daemons[first].paused_until = session.world.now;
    session.world.run_for(LEASE_TTL);
    assert!(session.world.is_settled(), "version 3 stays in effect");
    insta::assert_snapshot!(session.end());
}

/// Fails without: `Refusals::refuse` in `VmRequests::on_reply`.
#[test]
fn cloud_refuses_every_replacement() {
    let mut session = Session::new();
    let zone: AvailabilityZone = "a".parse().unwrap();
    let before = session.world.serving();
    session.world.remove_vms(|vm| vm.zone == zone);
    let left = session.world.serving();
    session.note("zone a is taken, and the cloud refuses every offer");
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
    let bought = session.world.cloud.by_token.len();
    let end = session.world.now.after(REFUSAL_TIME);
    while session.world.now < end {
        session.world.step();
        assert!(session.world.serving() >= left, "what is left stays");
    }
    assert_eq!(session.world.cloud.by_token.len(), bought);
    session.note("the cloud grants again, and the holder's process is replaced");
    let holder = session.holder().expect("somebody holds the lease");
    session.world.restart(holder);
    session.world.cloud.refused.clear();
    session.world.run_for(3 * MINUTE);
    assert_eq!(session.world.serving(), before, "the fleet is whole again");
    let bought_since = session.world.cloud.by_token.len() - bought;
    assert_eq!(bought_since, before - left, "no VM is paid twice");
    insta::assert_snapshot!(session.end());
}
