//! A request that is above the limit at its entry runs where the contract has room.

use std::time::Duration;

use laburnumstall_core::entry::Event;
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::ids::Revision;
use laburnumstall_core::message::{ConfigurationRecord, Message};
use laburnumstall_core::request::Request;
use laburnumstall_core::resources::Configuration;
use laburnumstall_core::units::TokenRate;
use laburnumstall_testkit::{MODEL, Outcome, World, WorldSpec, model_request, system};

/// Tokens a second of the contract.
const CONTRACT: u64 = 400;

/// Tokens that the contract gives in the time of a burst, 2 s.
const BURST: u64 = 800;

/// Puts a contract in force that the requests of these tests use up.
fn world() -> World {
    let mut world = World::new(&WorldSpec::default());
    let mut system = system(&world.endpoints, false);
    for customer in &mut system.customers {
        customer.contract.tokens = TokenRate(CONTRACT);
    }
    let record = ConfigurationRecord {
        configuration: Configuration {
            revision: Revision(2),
            digest: "small".into(),
            system,
        },
        operator: "test".into(),
        at: world.now,
        reason: "".into(),
        nonce: 2,
    };
    for number in 0..world.nodes.len() {
        let from = world.nodes[(number + 1) % world.nodes.len()].id.clone();
        let message = Box::new(Message::PushConfiguration(Box::new(record.clone())));
        world.tell(number, Event::Peer { from, message });
    }
    world
}

/// A request that takes as much as the customer's whole burst.
fn large(world: &World, prompt: &str) -> Request {
    let mut request = model_request(world.now, prompt, 0, Duration::from_secs(120));
    request.answer.0 = BURST - request.prompt.get();
    assert_eq!(request.service.as_str(), MODEL);
    request
}

/// Each entry takes one such request into debt, whichever entry the callers use, and no
/// entry takes two.
///
/// Fails without `offer_next` in `refuse_or_offer`: the second one is refused at once.
#[test]
fn whole_burst_fits_at_any_entry() {
    let mut world = world();
    let mut callers = Vec::new();
    for number in 0..5 {
        let request = large(&world, &format!("case {number}"));
        callers.push(world.call(request, Some(0)));
        world.run_for(Duration::from_millis(20));
    }
    for (number, caller) in callers.iter().enumerate() {
        let caller = &world.callers[*caller];
        let kinds: Vec<ErrorKind> = caller.refusals.iter().map(|r| r.kind).collect();
        if number < 4 {
            assert!(caller.id.is_some(), "{number}: {kinds:?}");
        } else {
            assert_eq!(kinds, [ErrorKind::LimitReached]);
            assert!(caller.refusals[0].retry_after.is_some());
        }
    }
    let owner = |caller: &usize| world.callers[*caller].id.clone().map(|id| id.owner);
    let mut owners: Vec<_> = callers.iter().filter_map(owner).collect();
    owners.sort();
    owners.dedup();
    assert_eq!(owners.len(), 4);
}

/// A caller follows its request when the entry that took the offer is reclaimed.
///
/// Fails without `Delivery::Moved` in `yield_ownership` and the search in `on_deliver`: the entry
/// that was reclaimed says that it does not know the request.
#[test]
fn offered_request_survives_a_reclaim() {
    let mut world = world();
    let first = large(&world, "first");
    world.call(first, Some(0));
    world.run_for(Duration::from_millis(20));
    let offered = large(&world, "offered");
    let caller = world.call(offered, Some(0));
    world.run_for(Duration::from_secs(2));
    let id = world.callers[caller].id.clone();
    let owner = world.node_of(&id.expect("accepted").owner);
    let owner = owner.expect("the owner runs");
    assert_ne!(owner, 0);
    // A caller of its own keeps the process until the notice is nearly over.
    let other = large(&world, "other");
    world.call(other, Some(owner));
    world.run_for(Duration::from_millis(100));
    world.reclaim_entry(owner, Duration::from_secs(5));
    world.run_for(Duration::from_secs(60));
    let caller = &world.callers[caller];
    assert_eq!(caller.outcome(), Some(&Outcome::Whole));
    assert!(caller.refusals.is_empty(), "{:?}", caller.refusals);
}
