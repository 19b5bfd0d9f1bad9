//! The placement lease: one holder at a time, increasing tokens, no order after a pause,
//! and no order of an earlier holder after one of a later holder, on endpoints that check
//! the token and endpoints that ignore it.

#[path = "support/store.rs"]
mod store;

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::membership::{CertificateFingerprint, Member};
use laburnumstall_core::placement::{
    LEASE_TTL, LeaseClient, MAX_CANDIDATES, MAX_ORDER_LIFETIME, POLL_PERIOD, StoreRequest,
    is_candidate,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::StoreEra;
use store::FakeStore;

const STEP: Duration = Duration::from_millis(50);

/// A reply in flight to a daemon.
struct Reply {
    at: Timestamp,
    id: CallId,
    outcome: StoreOutcome,
}

struct Daemon {
    client: LeaseClient,
    paused_until: Timestamp,
    replies: Vec<Reply>,
    journal: Journal,
}

/// An order that was allowed by the lease and has not reached its endpoint.
struct InFlightOrder {
    arrives: Timestamp,
    token: FencingToken,
    is_fenced: bool,
}

/// The token of the last order that an endpoint accepted.
#[derive(Default)]
struct FakeEndpoint {
    last_token: FencingToken,
}

struct World {
    now: Timestamp,
    rng: Rng,
    store: FakeStore,
    daemons: Vec<Daemon>,
    in_flight: Vec<InFlightOrder>,
    fenced: FakeEndpoint,
    unfenced: FakeEndpoint,
    /// Probability that a call or its reply is lost or delayed, in percent.
    fault_percent: u32,
    accepted_orders: [u32; 2],
}

fn world(seed: u64, daemons: u64) -> World {
    let daemon = |number: u64| Daemon {
        client: LeaseClient::new(
            format!("vm-{number}@1").parse().unwrap(),
            &"tt-north".parse().unwrap(),
        )
        .unwrap(),
        paused_until: Timestamp::ZERO,
        replies: Vec::new(),
        journal: Journal::default(),
    };
    World {
        now: Timestamp::ZERO,
        rng: Rng::with_seed(seed),
        store: FakeStore::default(),
        daemons: (0..daemons).map(daemon).collect(),
        in_flight: Vec::new(),
        fenced: FakeEndpoint::default(),
        unfenced: FakeEndpoint::default(),
        fault_percent: 0,
        accepted_orders: [0; 2],
    }
}

impl World {
    fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.deliver_orders();
        for index in 0..self.daemons.len() {
            if self.daemons[index].paused_until <= self.now {
                self.run_daemon(index);
            }
        }
        let holders = self.holders();
        assert!(
            holders.len() <= 1,
            "at {} all of {holders:?} hold the lease",
            self.now
        );
    }

    fn holders(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|index| self.daemons[*index].client.may_order(self.now))
            .collect()
    }

    fn run_daemon(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let (arrived, pending) = std::mem::take(&mut daemon.replies)
            .into_iter()
            .partition(|reply| reply.at <= now);
        daemon.replies = pending;
        let arrived: Vec<Reply> = arrived;
        for reply in arrived {
            let journal = &mut daemon.journal;
            daemon
                .client
                .on_store(now, reply.id, reply.outcome, journal);
        }
        let requests = daemon.client.tick(now, &mut daemon.journal);
        for request in requests {
            self.send(index, request);
        }
        self.send_orders(index);
    }

    fn send(&mut self, index: usize, request: StoreRequest) {
        let is_faulty = self.rng.u32(0..100) < self.fault_percent;
        let delay = match is_faulty {
            true => Duration::from_millis(self.rng.u64(0..6_000)),
            false => Duration::from_millis(5),
        };
        let outcome = match is_faulty && self.rng.bool() {
            // The call is lost before it takes effect, which the caller cannot know.
            true => Err(StoreFailure::Unknown),
            false => self.store.call(self.now, &request.call),
        };
        let reply_lost = is_faulty && self.rng.bool();
        self.daemons[index].replies.push(Reply {
            at: self.now.after(delay),
            id: request.id,
            outcome: match reply_lost {
                true => Err(StoreFailure::Unknown),
                false => outcome,
            },
        });
    }

    /// Orders both endpoints if the lease allows it; orders arrive after a random delay.
    fn send_orders(&mut self, index: usize) {
        let client = &self.daemons[index].client;
        let Some(token) = client.token(self.now) else {
            return;
        };
        let max_delay = MAX_ORDER_LIFETIME.as_millis() as u64;
        for is_fenced in [true, false] {
            if !is_fenced && !client.may_order_unfenced(self.now) {
                continue;
            }
            let time = Duration::from_millis(self.rng.u64(0..max_delay));
            self.in_flight.push(InFlightOrder {
                arrives: self.now.after(time),
                token,
                is_fenced,
            });
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (arrived, remaining) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|order| order.arrives <= now);
        self.in_flight = remaining;
        let arrived: Vec<InFlightOrder> = arrived;
        for order in arrived {
            let endpoint = match order.is_fenced {
                true => &mut self.fenced,
                false => &mut self.unfenced,
            };
            if order.is_fenced && order.token < endpoint.last_token {
                continue;
            }
            assert!(
                order.token >= endpoint.last_token,
                "an order with token {} follows one with token {}",
                order.token,
                endpoint.last_token
            );
            endpoint.last_token = order.token;
            self.accepted_orders[usize::from(order.is_fenced)] += 1;
        }
    }
}

/// Fails if `LeaseClient::set_lease` sets a longer validity than the lease's TTL, without
/// `quiet_until` in `LeaseClient::may_order_unfenced`, without the nonce in
/// `LeaseClient::on_token`, or if a lost reply of `Step::WriteHolder` counts as success.
#[test]
fn no_order_of_an_earlier_holder_follows_one_of_a_later() {
    let mut accepted = [0; 2];
    let mut takeovers = 0;
    for seed in 0..1_000 {
        let mut world = world(seed, 3);
        world.fault_percent = 20;
        for _ in 0..12 {
            let index = world.rng.usize(0..3);
            let pause = Duration::from_millis(world.rng.u64(0..30_000));
            match world.rng.u32(0..5) {
                0..2 => world.daemons[index].paused_until = world.now.after(pause),
                2 => {
                    for holder in world.holders() {
                        world.daemons[holder].paused_until = world.now.after(pause);
                    }
                }
                3 => world.store.is_down = !world.store.is_down,
                _ => world.fault_percent = world.rng.u32(0..50),
            }
            let time = Duration::from_millis(world.rng.u64(0..15_000));
            world.run_for(time);
        }
        accepted[0] += world.accepted_orders[0];
        accepted[1] += world.accepted_orders[1];
        takeovers += world.unfenced.last_token.get().saturating_sub(1);
    }
    assert!(accepted.iter().all(|count| *count > 10_000) && takeovers > 500);
}

/// Fails without the comparison with `valid_until` in `LeaseClient::may_order`.
#[test]
fn a_holder_that_resumes_after_expiry_gives_no_order() {
    let mut world = world(7, 1);
    world.run_for(Duration::from_secs(3));
    let client = &world.daemons[0].client;
    assert!(client.may_order(world.now));
    let expired = world.now.after(LEASE_TTL);
    assert!(!client.may_order(expired) && client.token(expired).is_none());
    assert!(!client.may_order_unfenced(expired));
}

/// Fails without the quiet period that `LeaseClient::on_acquired` starts.
#[test]
fn endpoints_that_ignore_the_token_wait_out_earlier_orders() {
    let mut world = world(7, 1);
    world.run_for(Duration::from_secs(3));
    let acquired = world.now;
    assert!(!world.daemons[0].client.may_order_unfenced(acquired));
    world.run_for(LEASE_TTL + MAX_ORDER_LIFETIME);
    assert!(world.daemons[0].client.may_order_unfenced(world.now));
}

/// Fails if `LeaseClient::give_up` does not set the next step.
#[test]
fn an_outage_ends_the_lease_and_the_next_takeover_works() {
    let mut world = world(7, 2);
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.holders().len(), 1);
    let before = world.fenced.last_token;
    world.store.is_down = true;
    world.run_for(LEASE_TTL);
    assert!(world.holders().is_empty());
    world.store.is_down = false;
    world.run_for(LEASE_TTL + POLL_PERIOD * 2 + Duration::from_secs(5));
    assert_eq!(world.holders().len(), 1);
    assert!(world.fenced.last_token > before);
}

/// Fails without `FENCED_TOKEN_INCREMENT`: a store restored to an earlier state issues old
/// tokens.
#[test]
fn a_fenced_holder_takes_a_much_higher_token() {
    let mut world = world(7, 1);
    world.run_for(Duration::from_secs(3));
    world.fenced.last_token = FencingToken(5_000);
    world.store = FakeStore::default();
    world.run_for(Duration::from_secs(20));
    let daemon = &mut world.daemons[0];
    let low = daemon.client.token(world.now).unwrap();
    daemon.client.on_fenced(world.now, &mut daemon.journal);
    assert!(!daemon.client.may_order(world.now));
    world.run_for(Duration::from_secs(5));
    let high = world.daemons[0].client.token(world.now).unwrap();
    assert!(low < FencingToken(5_000) && high > FencingToken(5_000));
}

#[test]
fn a_daemon_that_is_no_longer_a_candidate_gives_up_the_lease() {
    let mut world = world(7, 2);
    world.run_for(Duration::from_secs(3));
    let first = world.holders()[0];
    world.daemons[first].client.set_candidate(false);
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.holders(), [1 - first]);
}

/// A store that comes back from a copy of an earlier era gives out no token again, also to the
/// holder of before, which stops at once.
#[test]
fn token_of_earlier_era_is_given_again() {
    let mut world = world(3, 2);
    let copy = world.store.clone();
    world.run_for(Duration::from_secs(30));
    let token = |world: &World| {
        let holders = world.holders();
        let client = &world.daemons[*holders.first()?].client;
        client.token(world.now)
    };
    let before = token(&world).expect("a holder");
    world.store = copy;
    let now = world.now;
    for daemon in &mut world.daemons {
        daemon.client.set_era(now, StoreEra(2), &mut daemon.journal);
    }
    assert!(world.holders().is_empty());
    world.run_for(Duration::from_secs(30));
    let after = token(&world).expect("a holder");
    assert!(after > before, "{after} after {before}");
}

/// Fails without the ranking by zones in `is_candidate`.
#[test]
fn candidates_for_the_lease_are_in_different_zones() {
    let member = |number: u16| Member {
        id: format!("vm-{number}@1").parse().unwrap(),
        zone: ["a", "b", "c"][usize::from(number) % 7 % 3]
            .parse()
            .unwrap(),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([0; 32]),
        leaving: false,
    };
    let members: Vec<Member> = (0..40).map(member).collect();
    let members: Vec<&Member> = members.iter().collect();
    for region in ["north", "south", "east", "west"] {
        let region = region.parse().unwrap();
        let is_chosen = |member: &&&Member| is_candidate(&member.id, &region, &members);
        let chosen: Vec<&&Member> = members.iter().filter(is_chosen).collect();
        let zones: BTreeSet<_> = chosen.iter().map(|member| &member.zone).collect();
        assert!(chosen.len() == MAX_CANDIDATES && zones.len() == 3);
    }
}
