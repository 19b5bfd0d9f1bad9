//! Calls that wait for capacity, or are refused for lack of it.

use crate::load::{Done, End, Kind, Stream, World};
use crate::support::{at, call_attributes, endpoint, gateway, prompt};
use laburnumstall_core::decision::DecisionKind;
use laburnumstall_core::gateway::{AdmittedCall, Gateway, PlannedStop, Start};
use laburnumstall_core::prelude::*;

/// Time in which a load is beyond the capacity, in milliseconds.
const SHORTAGE: (u64, u64) = (2_000, 8_000);
/// Time by which queues have to be empty after a shortage: the callers that wait at its end have
/// left by then, and later ones find the usual load.
const RECOVERED: u64 = 14_000;

/// Load of eight customers that uses five sixths of six engines.
fn usual() -> Vec<Stream> {
    let stream = |kind, customer, per_second| Stream {
        kind,
        customer,
        per_second,
        during: (0, u64::MAX),
    };
    (0..8)
        .flat_map(|customer| {
            let (long, short) = ((Kind::Long, 1.5), (Kind::Short, 10.0));
            [long, short].map(|(kind, per_second)| stream(kind, customer, per_second))
        })
        .collect()
}

/// Plays the usual load with more calls of one kind by some customers, so that the whole is
/// `factor` times the capacity for 6 s.
fn overload(kind: Kind, customers: usize, factor: f64, has_queue: bool) -> World {
    let mut streams = usual();
    let extra_ms = 6_000.0 * factor - 5_000.0;
    streams.extend((0..customers).map(|customer| Stream {
        kind,
        customer,
        per_second: extra_ms / kind.work_ms() / customers as f64,
        during: SHORTAGE,
    }));
    let mut world = World::new(4, 6, 0, has_queue);
    world.play(&streams, RECOVERED);
    world
}

/// Calls held at an endpoint until their callers leave, as before calls waited at the daemon.
/// Loads: 1.5 and 3 times the capacity for 6 s, by long or by short calls of all customers. With
/// the same arrivals, more calls of each kind are on time, few callers leave, and at the end
/// nothing waits.
#[test]
fn overload_serves_more() {
    for (kind, factor) in [
        (Kind::Long, 1.5),
        (Kind::Long, 3.0),
        (Kind::Short, 1.5),
        (Kind::Short, 3.0),
    ] {
        let earlier = overload(kind, 8, factor, false);
        let world = overload(kind, 8, factor, true);
        for of in [Kind::Long, Kind::Short] {
            let (before, after) = (
                earlier.on_time(|d| d.kind == of),
                world.on_time(|d| d.kind == of),
            );
            assert!(
                after >= before,
                "{kind:?} {factor}: {of:?} {before:.2} {after:.2}"
            );
        }
        let left = |world: &World| world.done.iter().filter(|d| d.end == End::Left).count();
        assert!(
            left(&world) * 4 <= left(&earlier),
            "{kind:?} {factor}: {} {}",
            left(&world),
            left(&earlier)
        );
        assert_eq!(world.waiting(), 0, "{kind:?} {factor}");
    }
}

/// Urgent calls that wait behind less urgent ones, and less urgent ones that get nothing. Loads:
/// short calls, the less urgent kind, and long ones at 3 times the capacity. The urgent calls of the
/// usual load are on time, and the less urgent kind keeps a tenth of the capacity: 0.6 s of work a
/// second.
#[test]
fn urgent_first_with_floor() {
    let world = overload(Kind::Short, 8, 3.0, true);
    assert!(world.on_time(|done| done.kind == Kind::Long) > 0.95);
    let world = overload(Kind::Long, 8, 3.0, true);
    let is_served = |done: &&Done| {
        let is_short = done.kind == Kind::Short && matches!(done.end, End::Started(_));
        is_short && (SHORTAGE.0..SHORTAGE.1).contains(&done.arrived)
    };
    let served = world.done.iter().filter(is_served).count();
    let floor = 0.1 * 6_000.0 * 6.0 / Kind::Short.work_ms();
    assert!(served as f64 >= floor, "{served} {floor:.0}");
}

/// Customers that take the room of others. Loads: one customer, and three at once, ask for so many
/// short calls that the whole is 1.5 and 3 times the capacity for 6 s. The others' calls are on
/// time more often than with all customers alike in the earlier code, and nine in ten of them.
#[test]
fn floods_do_not_spread() {
    for (customers, factor) in [(1, 1.5), (1, 3.0), (3, 1.5), (3, 3.0)] {
        let earlier = overload(Kind::Short, customers, factor, false);
        let world = overload(Kind::Short, customers, factor, true);
        let others = |world: &World| world.on_time(|done| done.customer >= customers);
        let (before, after) = (others(&earlier), others(&world));
        assert!(
            (1.0 - after) * 3.0 <= 1.0 - before,
            "{customers} {factor}: {before:.2} {after:.2}"
        );
    }
}

/// Plays calls without a prompt at two fifths of the slots of four endpoints, and for 6 s a flood by
/// one customer, so that the whole is `factor` times what the slots can do.
fn plain_flood(factor: f64, has_queue: bool) -> World {
    let capacity = 4.0 * 6.0 * 1_000.0 / Kind::Plain.work_ms();
    let stream = |customer, part: f64, during| Stream {
        kind: Kind::Plain,
        customer,
        per_second: capacity * part,
        during,
    };
    let mut streams: Vec<Stream> = (0..16)
        .map(|customer| stream(customer, 0.4 / 16.0, (0, u64::MAX)))
        .collect();
    streams.push(stream(0, factor - 0.4, SHORTAGE));
    let mut world = World::new(4, 0, 4, has_queue);
    world.play(&streams, RECOVERED);
    world
}

/// Calls without a prompt that endpoints refuse, since a customer fills their queues. Loads: one
/// customer at 1.5 and 3 times what the slots can do. More of the others' calls are
/// on time than before.
#[test]
fn plain_floods_do_not_spread() {
    for factor in [1.5, 3.0] {
        let [before, after] = [false, true]
            .map(|has_queue| plain_flood(factor, has_queue).on_time(|done| done.customer > 0));
        assert!(after > before, "{factor}: {before:.2} {after:.2}");
    }
}

/// Calls held or refused while there is room. Load: five twelfths of the capacity. Each call ends
/// as with the earlier code, at the same time.
#[test]
fn spare_capacity_as_before() {
    let play = |has_queue| {
        let mut world = World::new(4, 12, 0, has_queue);
        world.play(&usual(), 6_000);
        world
    };
    let (earlier, world) = (play(false), play(true));
    assert_eq!(earlier.done, world.done);
}

/// Backlogs that last. Load: four of six engines lose their speed within 2 s, for 6 s. More calls
/// are on time than before, also of those after the engines are back; refused callers are told
/// different times of return; and nothing waits at twice the time for which a caller stays.
#[test]
fn capacity_falls_to_a_third() {
    let play = |has_queue| {
        let mut world = World::new(4, 6, 0, has_queue);
        for (from, at_ms) in [(5, 2_000), (4, 2_600), (3, 3_300), (2, 4_000)] {
            world.play(&usual(), at_ms);
            world.set_speed(from, 0.02);
        }
        world.play(&usual(), 10_000);
        world.set_speed(0, 1.0);
        world
    };
    let (mut earlier, mut world) = (play(false), play(true));
    for world in [&mut earlier, &mut world] {
        world.play(&usual(), 10_000 + 2 * Kind::Long.leaves_ms());
    }
    for from in [0, 10_000] {
        let [before, after] =
            [&earlier, &world].map(|world| world.on_time(|done| done.arrived >= from));
        assert!(after > before, "{from}: {before:.2} {after:.2}");
    }
    assert_eq!(world.waiting(), 0);
    let delays: std::collections::BTreeSet<u64> = (world.done.iter())
        .filter_map(|done| match done.end {
            End::Refused(delay, _) => Some(delay),
            _ => None,
        })
        .collect();
    assert!(delays.len() > 50, "{}", delays.len());
}

/// Queues that die with their daemon, and daemons that are not heard. Load: short calls at 3 times
/// the capacity. Of the killed daemon's waiting calls none had been sent, and the other daemons go
/// on; a daemon whose messages are lost is taken to have as much work as each of the others, so
/// the calls that are sent are as often on time as those of the whole fleet within a third.
#[test]
fn killed_and_unheard_daemons() {
    let flood = |world: &mut World, until| {
        let mut streams = usual();
        streams.extend((0..8).map(|customer| Stream {
            kind: Kind::Short,
            customer,
            per_second: 40.0,
            during: SHORTAGE,
        }));
        world.play(&streams, until);
    };
    let started = |world: &World| {
        let sent = |done: &Done| matches!(done.end, End::Started(_));
        world.on_time(sent)
    };
    let mut whole = World::new(4, 6, 0, true);
    flood(&mut whole, RECOVERED);
    let mut killed = World::new(4, 6, 0, true);
    flood(&mut killed, 4_000);
    assert!(killed.kill(0) > 0);
    flood(&mut killed, RECOVERED);
    assert_eq!(killed.waiting(), 0);
    let mut muted = World::new(4, 6, 0, true);
    muted.muted = Some(0);
    flood(&mut muted, RECOVERED);
    for (name, world) in [("killed", &killed), ("muted", &muted)] {
        let (all, part) = (started(&whole), started(world));
        assert!(part >= all * 2.0 / 3.0, "{name}: {all:.2} {part:.2}");
    }
}

/// Starts calls until one waits, and returns it with its gateway. Load: long calls without an end.
fn first_waiting(gateway: &mut Gateway) -> AdmittedCall {
    for number in 0..1_000 {
        let mut attributes = call_attributes(&format!("call-{number}"), "/query/1");
        attributes.prompt = Some(prompt(1, 4_000, 4_000 + number));
        let mut call = gateway.admit(at(number.into()), attributes).unwrap();
        if let Start::Wait(_) = gateway.try_start(at(number.into()), &mut call) {
            return call;
        }
    }
    panic!("no call waits");
}

/// Places kept by callers that have left, and calls that wait through the end of a planned stop. Load: one engine and calls without an end.
#[test]
fn waits_end() {
    let mut rules = crate::support::rules(2);
    rules.customers[0].quota = None;
    let new = || {
        let mut gateway = gateway(&[endpoint("a", "model", "north-a")]);
        gateway.on_rules(at(0), rules.clone());
        gateway
    };
    let waiting = |gateway: &Gateway| -> usize {
        let states = gateway.admission_states();
        let lengths = states.iter().flat_map(|state| &state.waiting);
        lengths.map(|(_, length)| length).sum()
    };
    let mut left = new();
    let call = first_waiting(&mut left);
    assert_eq!(waiting(&left), 1);
    left.end(at(1_100), call, "caller-gone", 0);
    assert_eq!(waiting(&left), 0);
    let lines = left.take_decisions();
    let ends = lines.iter().filter(|line| line.kind == DecisionKind::Wait);
    assert_eq!(ends.count(), 1);

    let mut stopping = new();
    let mut call = first_waiting(&mut stopping);
    let stop = PlannedStop {
        admits_until: at(1_200),
        answers_until: at(1_300),
    };
    stopping.begin_stop(at(1_100), stop);
    let refused = stopping.try_start(at(1_250), &mut call);
    assert!(matches!(refused, Start::Refuse(refusal) if refusal.kind == ErrorKind::NotReady));
    assert_eq!(waiting(&stopping), 0);
}
