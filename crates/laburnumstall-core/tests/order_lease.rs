//! The placement lease: one holder at a time, rising tokens, no order after a pause, and
//! no order of an earlier holder after one of a later, on endpoints of either kind.

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
use store::FakeStore;

const STEP: Duration = Duration::from_millis(50);

/// A reply on its way to a daemon.
struct Reply {
    at: Timestamp,
    id: CallId,
    outcome: StoreOutcome,
}

struct Daemon {
    holder: LeaseClient,
    paused_until: Timestamp,
    replies: Vec<Reply>,
    journal: Journal,
}

/// An order between the check of the lease and the endpoint.
struct Flight {
    arrives: Timestamp,
    token: FencingToken,
    checked: bool,
}

/// The last order that an endpoint took.
#[derive(Default)]
struct FakeEndpoint {
    in_effect: FencingToken,
}

struct World {
    now: Timestamp,
    rng: Rng,
    store: FakeStore,
    daemons: Vec<Daemon>,
    flights: Vec<Flight>,
    checking: FakeEndpoint,
    ignoring: FakeEndpoint,
    /// Chance that a call's reply is lost or late, in hundredths.
    fault_percent: u32,
    orders: [u32; 2],
}

fn world(seed: u64, daemons: u64) -> World {
    let daemon = |number: u64| Daemon {
        holder: LeaseClient::new(
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
        flights: Vec::new(),
        checking: FakeEndpoint::default(),
        ignoring: FakeEndpoint::default(),
        fault_percent: 0,
        orders: [0; 2],
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
        self.land();
        for index in 0..self.daemons.len() {
            if self.daemons[index].paused_until <= self.now {
                self.run_daemon(index);
            }
        }
        let holders = self.holders();
        assert!(
            holders.len() <= 1,
            "at {} all of {holders:?} hold",
            self.now
        );
    }

    fn holders(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|index| self.daemons[*index].holder.may_order(self.now))
            .collect()
    }

    fn run_daemon(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let (arrived, waiting) = std::mem::take(&mut daemon.replies)
            .into_iter()
            .partition(|reply| reply.at <= now);
        daemon.replies = waiting;
        let arrived: Vec<Reply> = arrived;
        for reply in arrived {
            let journal = &mut daemon.journal;
            daemon
                .holder
                .on_store(now, reply.id, reply.outcome, journal);
        }
        let requests = daemon.holder.tick(now, &mut daemon.journal);
        for request in requests {
            self.send(index, request);
        }
        self.maybe_order(index);
    }

    fn send(&mut self, index: usize, request: StoreRequest) {
        let is_faulty = self.rng.u32(0..100) < self.fault_percent;
        let delay = match is_faulty {
            true => Duration::from_millis(self.rng.u64(0..6_000)),
            false => Duration::from_millis(5),
        };
        let outcome = match is_faulty && self.rng.bool() {
            // The call is lost on its way, and says nothing of its effect.
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

    /// Orders both endpoints, checking the lease right before; the order takes a while.
    fn maybe_order(&mut self, index: usize) {
        let holder = &self.daemons[index].holder;
        let Some(token) = holder.token(self.now) else {
            return;
        };
        let longest = MAX_ORDER_LIFETIME.as_millis() as u64;
        for checked in [true, false] {
            if !checked && !holder.may_order_unfenced(self.now) {
                continue;
            }
            let time = Duration::from_millis(self.rng.u64(0..longest));
            self.flights.push(Flight {
                arrives: self.now.after(time),
                token,
                checked,
            });
        }
    }

    fn land(&mut self) {
        let now = self.now;
        let (landed, flying) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.arrives <= now);
        self.flights = flying;
        let landed: Vec<Flight> = landed;
        for flight in landed {
            let endpoint = match flight.checked {
                true => &mut self.checking,
                false => &mut self.ignoring,
            };
            if flight.checked && flight.token < endpoint.in_effect {
                continue;
            }
            assert!(
                flight.token >= endpoint.in_effect,
                "an order of holder {} follows one of {}",
                flight.token,
                endpoint.in_effect
            );
            endpoint.in_effect = flight.token;
            self.orders[usize::from(flight.checked)] += 1;
        }
    }
}

/// Fails if `LeaseClient::hold` counts longer than the lease lives, without `quiet_until`
/// in `LeaseClient::may_order_unfenced`, without the nonce in `LeaseClient::on_token`, or
/// if a lost reply of `Step::Take` counts as taken.
#[test]
fn no_order_of_an_earlier_holder_follows_one_of_a_later() {
    let mut ordered = [0; 2];
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
        ordered[0] += world.orders[0];
        ordered[1] += world.orders[1];
        takeovers += world.ignoring.in_effect.get().saturating_sub(1);
    }
    assert!(ordered.iter().all(|count| *count > 10_000) && takeovers > 500);
}

/// Fails without the comparison with `valid_until` in `LeaseClient::may_order`.
#[test]
fn a_holder_that_wakes_after_its_lease_gives_no_order() {
    let mut world = world(7, 1);
    world.run_for(Duration::from_secs(3));
    let holder = &world.daemons[0].holder;
    assert!(holder.may_order(world.now));
    let woken = world.now.after(LEASE_TTL);
    assert!(!holder.may_order(woken) && holder.token(woken).is_none());
    assert!(!holder.may_order_unfenced(woken));
}

/// Fails without the wait in `LeaseClient::on_taken`.
#[test]
fn endpoints_that_ignore_the_token_wait_out_earlier_orders() {
    let mut world = world(7, 1);
    world.run_for(Duration::from_secs(3));
    let taken = world.now;
    assert!(!world.daemons[0].holder.may_order_unfenced(taken));
    world.run_for(LEASE_TTL + MAX_ORDER_LIFETIME);
    assert!(world.daemons[0].holder.may_order_unfenced(world.now));
}

/// Fails without the next step that `LeaseClient::give_up` sets.
#[test]
fn an_outage_ends_the_lease_and_the_next_take_over_works() {
    let mut world = world(7, 2);
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.holders().len(), 1);
    let before = world.checking.in_effect;
    world.store.is_down = true;
    world.run_for(LEASE_TTL);
    assert!(world.holders().is_empty());
    world.store.is_down = false;
    world.run_for(LEASE_TTL + POLL_PERIOD * 2 + Duration::from_secs(5));
    assert_eq!(world.holders().len(), 1);
    assert!(world.checking.in_effect > before);
}

/// Fails without `TOKEN_JUMP`: a store restored to an older state gives out old tokens.
#[test]
fn a_fenced_holder_takes_a_much_higher_token() {
    let mut world = world(7, 1);
    world.run_for(Duration::from_secs(3));
    world.checking.in_effect = FencingToken(5_000);
    world.store = FakeStore::default();
    world.run_for(Duration::from_secs(20));
    let daemon = &mut world.daemons[0];
    let low = daemon.holder.token(world.now).unwrap();
    daemon.holder.on_fenced(world.now, &mut daemon.journal);
    assert!(!daemon.holder.may_order(world.now));
    world.run_for(Duration::from_secs(5));
    let high = world.daemons[0].holder.token(world.now).unwrap();
    assert!(low < FencingToken(5_000) && high > FencingToken(5_000));
}

#[test]
fn a_daemon_that_is_no_candidate_hands_the_lease_over() {
    let mut world = world(7, 2);
    world.run_for(Duration::from_secs(3));
    let first = world.holders()[0];
    world.daemons[first].holder.set_candidate(false);
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.holders(), [1 - first]);
}

/// Fails without the order by zones in `is_candidate`.
#[test]
fn a_few_daemons_in_different_zones_try_for_the_lease() {
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
        let is_one = |member: &&&Member| is_candidate(&member.id, &region, &members);
        let chosen: Vec<&&Member> = members.iter().filter(is_one).collect();
        let zones: BTreeSet<_> = chosen.iter().map(|member| &member.zone).collect();
        assert!(chosen.len() == MAX_CANDIDATES && zones.len() == 3);
    }
}
