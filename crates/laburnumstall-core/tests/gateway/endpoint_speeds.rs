//! Speeds of endpoints, learned by a fleet, and the work that they get.

use crate::engine_fleet::{Outcome, Scenario, balancer, engine_id, play, record, services, table};
use crate::support::{at, daemon, endpoint, gateway_of, member, prompt, rules};
use laburnumstall_core::decision::{DecisionKind, Journal};
use laburnumstall_core::gateway::{
    CallOutcome, EndpointQuery, EndpointTable, LoadBalancer, PeerMessage, PeerProtocol, ProcessKey,
    ProcessTimes, VersionGate,
};
use laburnumstall_core::prelude::*;

/// Returns the engines of deployment B: two thirds take 0.7 times the time, one third 1.7 times.
fn uneven() -> Vec<f64> {
    (0..60)
        .map(|n| if n % 3 == 2 { 1.7 } else { 0.7 })
        .collect()
}

fn played(times: &[f64], learns: Option<bool>, change: impl FnOnce(&mut Scenario)) -> Outcome {
    let mut scenario = Scenario::new(times.to_vec());
    scenario.learns = learns;
    scenario.has_engine = learns == Some(true);
    change(&mut scenario);
    play(&scenario)
}

fn owner(balancer: &mut LoadBalancer, part: u64) -> EndpointId {
    let query = EndpointQuery {
        service: &"model".parse().unwrap(),
        prompt: Some(&prompt(part, 5_000, 1_000)),
        seed: 1,
        version: None,
        admitted: None,
        gate: VersionGate::Open,
        excluded: &[],
    };
    let attempt = balancer.select(at(60_000), &query).unwrap();
    let endpoint = attempt.endpoint.clone();
    balancer.end(at(60_000), attempt, None);
    endpoint
}

/// Owners had equal weights, so that engines that take 1.7 times the time got as many prompts as
/// those that take 0.7 times, and first tokens waited for them. 86 daemons, deployment B.
#[test]
fn slow_engines_get_less() {
    for times in [uneven(), (0..60).map(|n| [0.7, 1.0, 1.7][n % 3]).collect()] {
        let [new, old, central] =
            [Some(true), Some(false), None].map(|learns| played(&times, learns, |_| ()));
        for (name, outcome) in [("new", &new), ("old", &old), ("central", &central)] {
            let shares = [0.7, 1.0, 1.7].map(|time| outcome.share(&times, time));
            let [p50, p99] = [0.5, 0.99].map(|part| outcome.quantile(part));
            println!("{name}: shares {shares:.2?}, p50 {p50:.0} ms, p99 {p99:.0} ms");
        }
        let first = new.journals[0].decisions().first();
        let since = first.map(|decision| decision.at.since(at(0)));
        println!("weights after {since:?}");
        println!("{} B/s", new.sent_bytes / 86 / 60);
        let capacity = times.iter().map(|time| time.recip()).sum::<f64>() / 60.0;
        let fair = 1.7_f64.recip() / capacity;
        assert!(new.share(&times, 1.7) < fair * 1.1);
        assert!(new.quantile(0.99) < old.quantile(0.99));
        let learned = |time: f64| {
            let engines = (0..60).filter(|n| times[*n] == time);
            let speeds: Vec<f64> = engines
                .map(|n| new.balancers[3].speed(&engine_id(n)))
                .collect();
            speeds.iter().sum::<f64>() / speeds.len() as f64
        };
        // Within two steps of a weight.
        assert!(learned(1.7) / learned(0.7) > 1.7 / 0.7 / 1.25 / 1.25);
    }
}

/// Queues of popular prefixes made engines of even speed look slow, and moved their parts.
#[test]
fn even_speeds_keep_owners() {
    for (seed, load) in [(1, 1.0), (2, 1.3), (3, 0.5), (5, 1.3), (6, 1.3), (8, 1.3)] {
        let [new, old] = [Some(true), Some(false)].map(|learns| {
            played(&[1.0; 60], learns, |scenario| {
                (scenario.seed, scenario.load) = (seed, load);
                scenario.has_engine = true;
            })
        });
        let mut changes = new.journals.iter().flat_map(Journal::decisions);
        assert_eq!(changes.next(), None, "seed {seed}");
        assert!(new.calls == old.calls, "seed {seed}");
    }
}

/// An engine that is slow for 600 ms lost its prefixes, or one that stays slow kept them. Queues of
/// popular prefixes move a weight now and then without a disturbance as well: what it adds counts.
#[test]
fn weights_follow_lasting_speeds() {
    let id = engine_id(4);
    let slower = |disturbed: Option<(usize, std::ops::Range<u64>, f64)>| {
        let outcome = played(&uneven(), Some(true), |scenario| {
            scenario.disturbed = disturbed;
            (scenario.end_ms, scenario.count_from_ms) = (90_000, 60_000);
        });
        let changes = outcome.journals[0].decisions().iter();
        let changes = changes.filter(|decision| {
            decision.choice == id.as_str()
                && decision.at > at(30_000)
                && decision.reason == "slower"
        });
        let times: Vec<u128> = changes
            .map(|c| c.at.since(at(30_000)).as_millis())
            .collect();
        println!("{times:?}");
        times
    };
    let undisturbed = slower(None);
    for (until, factor) in [(30_600, 2.5), (120_000, 2.5), (120_000, 10.0)] {
        let changes = slower(Some((4, 30_000..until, factor)));
        assert_eq!(changes.len() > undisturbed.len(), until > 60_000);
    }
}

/// A daemon that has just started knows no speeds, and its calls were late.
#[test]
fn started_daemon_is_not_late() {
    let [new, old] = [Some(true), Some(false)].map(|learns| {
        played(&uneven(), learns, |scenario| {
            (scenario.restart_ms, scenario.seed) = (30_000, 4);
        })
    });
    let mean = |outcome: &Outcome| outcome.restarted_ms.iter().sum::<f64>() / 100.0;
    println!(
        "first 100 calls: {:.0} ms, {:.0} ms",
        mean(&new),
        mean(&old)
    );
    // The target of the short stream of deployment B.
    assert!(new.restarted_ms.len() == 100 && new.restarted_ms.iter().all(|ms| *ms < 1_200.0));
}

/// A daemon that resumes read messages that had waited in a socket as if they were new.
#[test]
fn resumed_daemon_ignores_old_messages() {
    let records: Vec<_> = (0..12).map(record).collect();
    let mut gateway = gateway_of(0, &records);
    let mut rules = rules(2);
    rules.services = services();
    gateway.on_rules(at(0), rules);
    let mut hear = |ms: u64, repeats| {
        for _ in 0..repeats {
            gateway.on_endpoint_speeds(at(ms), &times_of(9, 1));
        }
        gateway.tick(at(ms));
        gateway.endpoint_speed(&engine_id(0))
    };
    assert!(hear(1_000, 3) > 2.0);
    assert_eq!(hear(61_000, 3), 1.0);
    assert!(hear(62_500, 3) > 2.0);
}

/// Fails if a daemon cut off from its peers keeps weights that nobody confirms.
#[test]
fn cut_gossip_ends_weights() {
    let outcome = played(&uneven(), Some(true), |scenario| {
        (scenario.cut_ms, scenario.end_ms) = (30_000, 65_000);
    });
    let service = outcome.journals[0]
        .decisions()
        .iter()
        .filter(|decision| decision.kind == DecisionKind::Weight && decision.reason == "service");
    let choices: Vec<_> = service.map(|decision| decision.choice.as_str()).collect();
    assert_eq!(choices, ["by-speed", "equal"]);
}

/// Returns times of every engine, the first of which takes `slow` times the time of the others.
fn times_of(slow: u32, born: u64) -> Vec<ProcessTimes> {
    let times = (0..12).map(|n| ProcessTimes {
        process: ProcessKey::of(&{
            let mut process = record(n).process();
            process.started_at_ms = born;
            process
        }),
        expected_us: 4_000_000,
        measured_us: 4_000_000 * if n == 0 { slow } else { 1 },
        calls: 4_000,
    });
    times.collect()
}

fn learned(slow: u32) -> LoadBalancer {
    let mut learned = balancer("north-a", 12, true);
    for second in 50..60 {
        learned.on_peer_times(at(second * 1_000), &times_of(slow, 1));
        learned.update_speeds(at(second * 1_000), &mut Journal::default());
    }
    learned
}

/// A changed weight moved parts between engines whose weight stays.
#[test]
fn only_its_parts_move() {
    let (mut before, mut after) = (balancer("north-a", 12, false), learned(9));
    let slow = engine_id(0);
    let (mut owned, mut moved) = (0, 0);
    for part in 0..2_000 {
        let (old, new) = (owner(&mut before, part), owner(&mut after, part));
        owned += u32::from(old == slow);
        if old != new {
            assert_eq!(old, slow, "part {part} moved to {new}");
            moved += 1;
        }
    }
    println!("{owned} of 2,000 parts owned, {moved} moved");
    assert!(moved > owned / 2);
}

/// Daemons beside a slow endpoint of a plain service stayed with it, since it was in their zone.
#[test]
fn plain_calls_leave_slow_zone() {
    let service: ServiceName = "app".parse().unwrap();
    let mut endpoints = EndpointTable::default();
    let records = ["north-a", "north-b", "north-c"].map(|zone| {
        let mut record = endpoint(zone, "app", zone);
        record.slots = 6;
        record
    });
    for record in &records {
        endpoints.on_entry(at(0), record.clone(), &mut Journal::default());
    }
    let mut balancer = LoadBalancer::new("north-a".parse().unwrap());
    balancer.set_services(&services());
    balancer.set_endpoints(at(0), &endpoints);
    let select = |balancer: &mut LoadBalancer, seed| {
        let query = EndpointQuery {
            service: &service,
            prompt: None,
            seed,
            version: None,
            admitted: None,
            gate: VersionGate::Open,
            excluded: &[],
        };
        let attempt = balancer.select(at(60_000), &query).unwrap();
        let endpoint = attempt.endpoint.clone();
        balancer.end(at(60_000), attempt, None);
        endpoint
    };
    assert_eq!(select(&mut balancer, 1), records[0].id);
    // Means of 25 ms at the endpoint of the zone, 10 ms at the others, as peers measured.
    for second in 50..60 {
        let times = records.iter().enumerate().map(|(n, record)| ProcessTimes {
            process: ProcessKey::of(&record.process()),
            expected_us: 60_000 * 40,
            measured_us: if n == 0 { 25_000 } else { 10_000 } * 40,
            calls: 4_000,
        });
        let times: Vec<ProcessTimes> = times.collect();
        balancer.on_peer_times(at(second * 1_000), &times);
        balancer.update_speeds(at(second * 1_000), &mut Journal::default());
    }
    assert!((0..50).all(|seed| select(&mut balancer, seed) != records[0].id));
}

/// Prompts went to owners whose memory other calls had filled, and preempted them.
#[test]
fn full_memory_gets_no_prompts() {
    let mut balancer = balancer("north-a", 12, true);
    let service: ServiceName = "model".parse().unwrap();
    let mut select = |seed, own| {
        let mut prompt = prompt(7, 5_000, own);
        prompt.parts[1].id = 1_000 + seed;
        let query = EndpointQuery {
            service: &service,
            prompt: Some(&prompt),
            seed,
            version: None,
            admitted: None,
            gate: VersionGate::Open,
            excluded: &[],
        };
        let mut attempt = balancer.select(at(seed), &query).unwrap();
        balancer.on_first_output(at(seed), &mut attempt);
        let endpoint = attempt.endpoint.clone();
        if seed < 20 {
            balancer.end(at(seed + 1_000), attempt, Some(CallOutcome::Good));
        }
        endpoint
    };
    for seed in 0..20 {
        select(seed, 1_000);
    }
    // Each needs 100,100 tokens of the 636,076.
    let owners: Vec<_> = (20..32).map(|seed| select(seed, 100_000)).collect();
    let at_owner = owners.iter().filter(|owner| **owner == owners[0]).count();
    assert!((5..=6).contains(&at_owner), "{at_owner} of 12");
}

/// A process kept the speed of its predecessor, or one that resumed used sums of long ago.
#[test]
fn old_sums_end() {
    let mut balancer = learned(9);
    assert!(balancer.speed(&engine_id(0)) > 2.0);
    let mut reborn = table(12);
    let mut record = record(0);
    record.started_at_ms = 2;
    reborn.on_entry(at(60_000), record, &mut Journal::default());
    let mut restarted = balancer.clone();
    restarted.set_endpoints(at(60_000), &reborn);
    restarted.update_speeds(at(60_000), &mut Journal::default());
    assert!((0.9..1.1).contains(&restarted.speed(&engine_id(0))));

    balancer.update_speeds(at(90_000), &mut Journal::default());
    assert_eq!(balancer.speed(&engine_id(0)), 1.0);
}

/// A peer of the earlier build closes its link on a message that it cannot decode, and large
/// fleets had no bytes left for other messages.
#[test]
fn messages_stay_within_bounds() {
    for (daemons, bound) in [(86, 16_384), (880, 2_048)] {
        let records: Vec<_> = (0..60).map(record).collect();
        let mut gateway = gateway_of(0, &records);
        let mut rules = rules(2);
        rules.customers.as_mut().unwrap()[0].quota = None;
        rules.services = services();
        gateway.on_rules(at(0), rules);
        for number in 1..daemons {
            gateway.on_member(at(0), member(number));
            let protocol = PeerProtocol(3 - u64::from(number == 1));
            gateway.set_peer_protocol(&daemon(number), protocol);
        }
        let mut bytes = 0;
        for ms in (0..120_000).step_by(250) {
            for number in 1..daemons {
                let message = crate::stream_origins::gossip(ms + 1);
                gateway.on_gossip(at(ms), &daemon(number), message);
            }
            for n in 0..3 {
                let id = format!("c{ms}-{n}");
                let mut attributes = crate::support::call_attributes(&id, "/digest/1");
                attributes.prompt = Some(prompt(ms * 3 + n, 100, 50));
                gateway.on_store_confirmed(at(ms), at(ms));
                let mut call = gateway.admit(at(ms), attributes).unwrap();
                let mut attempt = gateway.select_endpoint(at(ms), &mut call).unwrap();
                gateway.on_started(at(ms + 30), &mut call, &mut attempt);
                gateway.succeed(at(ms + 30), attempt);
            }
            gateway.tick(at(ms));
            if let Some(broadcast) = gateway.take_endpoint_speeds(at(ms)) {
                assert!(broadcast.peers.iter().all(|(id, _)| *id != daemon(1)));
                let message = PeerMessage::EndpointSpeeds(broadcast.times);
                let encoded = postcard::to_allocvec(&message).unwrap();
                assert_eq!(postcard::from_bytes(&encoded), Ok(message));
                bytes += (encoded.len() + 96) * broadcast.peers.len();
            }
        }
        println!("{daemons} daemons: {} B/s", bytes / 120);
        assert!(bytes > 0 && bytes / 120 < bound);
    }
}
