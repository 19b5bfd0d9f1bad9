//! Golden files of whole sessions: what happened, what was decided, what callers got.

use std::fmt::Write;
use std::time::Duration;

use laburnumstall_core::entry::{ApplyOutcome, Event};
use laburnumstall_core::error::{ErrorKind, Execution};
use laburnumstall_core::ids::Revision;
use laburnumstall_core::message::Message;
use laburnumstall_testkit::{
    Condition, MODEL, ORDERS, Outcome, STOCK, World, WorldSpec, checks, key_at, model_request,
    plain_request,
};

/// Time that callers wait.
const PATIENCE: Duration = Duration::from_secs(25);

fn world() -> World {
    World::new(&WorldSpec {
        keeps_lines: true,
        ..WorldSpec::default()
    })
}

fn ask(world: &mut World, prompt: &str, tokens: u64, entry: usize) -> usize {
    let request = model_request(world.now, prompt, tokens, PATIENCE);
    world.call(request, Some(entry))
}

fn order(world: &mut World, number: u64, patience: Duration, entry: usize) -> usize {
    let key = key_at(world.now, number);
    let body = format!("order {number}");
    let request = plain_request(world.now, ORDERS, &body, Some(key), patience);
    world.call(request, Some(entry))
}

fn run(world: &mut World, seconds: u64) {
    for _ in 0..seconds * 4 {
        world.run_for(Duration::from_millis(250));
        world.take_due_vms();
    }
}

/// Checks the promises and writes the session as a story.
fn story(world: &World) -> String {
    checks::own_whole_answer(world).expect("each caller has its own answer");
    checks::at_most_once(world).expect("nothing ran twice");
    checks::refused_did_not_run(world).expect("what was refused did not run");
    checks::all_answered(world).expect("every caller has an answer");
    let mut text = String::new();
    for line in &world.lines {
        // Membership of the start is the same in each session.
        if !line.contains("event=membership choice=joined") {
            let _ = writeln!(text, "{line}");
        }
    }
    for (index, caller) in world.callers.iter().enumerate() {
        let outcome = match caller.outcome() {
            Some(Outcome::Whole) => "whole".to_owned(),
            Some(Outcome::Refused(refusal)) => {
                let execution = refusal.kind.response().execution;
                format!("{} ({execution})", refusal.kind)
            }
            other => format!("{other:?}"),
        };
        let events = caller.events.len();
        let _ = writeln!(
            text,
            "caller {index}: {outcome}, {events} events, sent {} times",
            caller.sent
        );
    }
    for endpoint in &world.endpoints {
        if endpoint.runs.begun > 0 {
            let runs: u32 = endpoint.runs.by_key.values().sum();
            let begun = endpoint.runs.begun;
            let recomputed = endpoint.runs.recomputed;
            let _ = writeln!(
                text,
                "endpoint {}: begun {begun}, plain runs {runs}, recomputed {recomputed}",
                endpoint.id
            );
        }
    }
    text
}

fn whole(world: &World, caller: usize) -> bool {
    world.callers[caller].outcome() == Some(&Outcome::Whole)
}

fn refused_as(world: &World, caller: usize) -> Option<ErrorKind> {
    match world.callers[caller].outcome() {
        Some(Outcome::Refused(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn ordinary_morning() {
    let mut world = world();
    ask(&mut world, "holding period of parish registers", 5, 0);
    order(&mut world, 1, PATIENCE, 1);
    let lookup = plain_request(world.now, STOCK, "spruce tops", None, PATIENCE);
    world.call(lookup, Some(2));
    run(&mut world, 2);
    insta::assert_snapshot!(story(&world));
}

/// Tells every entry that an endpoint's VM is taken after `notice`.
fn tell_leaving(world: &mut World, index: usize, notice: Duration) {
    let endpoint = world.endpoints[index].id.clone();
    let deadline = Some(world.now.after(notice));
    for number in 0..world.nodes.len() {
        let message = Message::EndpointLeaving {
            endpoint: endpoint.clone(),
            deadline,
        };
        let from = world.nodes[(number + 1) % 4].id.clone();
        let message = Box::new(message);
        world.tell(number, Event::Peer { from, message });
    }
}

/// Five of six endpoints leave: all new work goes to the sixth.
///
/// Fails without: the setting of `Health::Leaving` in the core's `routing.rs`.
#[test]
fn leaving_endpoints_get_no_work() {
    let mut world = world();
    for index in 0..5 {
        tell_leaving(&mut world, index, Duration::from_secs(20));
    }
    for number in 0..12 {
        ask(&mut world, &format!("new work {number}"), 5, number % 4);
    }
    run(&mut world, 2);
    checks::nothing_lost(&world).expect("the sixth takes all");
    let begun = world.endpoints[..5].iter().map(|e| e.runs.begun);
    assert_eq!(begun.sum::<u64>(), 0);
}

/// Fails without: the call of `move_stream` in the core's `platform.rs`.
#[test]
fn endpoint_reclaimed_midway() {
    let mut world = world();
    let caller = ask(&mut world, "a long quotation", 100, 0);
    run(&mut world, 1);
    let index = world.endpoints.iter().position(|e| e.runs.begun > 0);
    let index = index.expect("an endpoint runs the request");
    tell_leaving(&mut world, index, Duration::from_secs(2));
    run(&mut world, 2);
    let is_awaited = world.endpoints[index].is_awaited();
    assert!(!is_awaited, "the stream has moved before the VM is taken");
    world.crash_endpoint(index, Condition::Gone);
    run(&mut world, 6);
    assert!(whole(&world, caller));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: `hand_over` in `hand_over_if_reclaimed` of the core's `stop.rs`.
#[test]
fn zone_taken_and_second_wave() {
    let mut world = world();
    let first = ask(&mut world, "summary of a case file", 120, 0);
    let second = ask(&mut world, "draft of a schedule", 120, 3);
    run(&mut world, 1);
    world.reclaim_entry(0, Duration::from_secs(5));
    world.reclaim_entry(3, Duration::from_secs(5));
    run(&mut world, 2);
    for number in [0, 3] {
        let entry = world.nodes[number].entry.as_ref();
        let owned = entry.map_or(0, |entry| entry.status().owned);
        assert_eq!(owned, 0, "entry {number} has handed everything over");
    }
    world.add_entry();
    world.reclaim_entry(1, Duration::from_secs(5));
    run(&mut world, 12);
    assert!(whole(&world, first) && whole(&world, second));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: `stopping` in the core's `forward_target` (new work is kept), or
/// `is_settled` in `is_finished` of `stop.rs` (connections are cut).
#[test]
fn all_entries_replaced_in_turn() {
    let mut world = world();
    for number in 0..4 {
        ask(&mut world, &format!("question {number}"), 150, number);
        order(&mut world, number as u64, PATIENCE, number);
        world.run_for(Duration::from_millis(100));
        world.add_entry();
        world.run_for(Duration::from_secs(3));
        world.stop_entry(number);
        let late = ask(&mut world, &format!("late question {number}"), 5, number);
        run(&mut world, 4);
        let owner = world.callers[late].id.as_ref().map(|id| &id.owner.vm);
        assert_ne!(owner, Some(&world.nodes[number].vm), "it takes no new work");
        assert!(
            world.nodes[number].has_exited,
            "entry {number} exits by itself"
        );
    }
    checks::nothing_lost(&world).expect("nothing is lost");
    let came_back: u32 = world.callers.iter().map(|caller| caller.came_back).sum();
    assert_eq!(came_back, 0, "no connection is cut");
    insta::assert_snapshot!(story(&world));
}

#[test]
fn entry_dead_during_hand_over() {
    let mut world = world();
    let caller = ask(&mut world, "wood history of a billet", 80, 0);
    run(&mut world, 1);
    world.reclaim_entry(0, Duration::from_secs(5));
    world.run_for(Duration::from_micros(700));
    world.kill_entry(0);
    run(&mut world, 8);
    assert!(whole(&world, caller));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: `is_own` in `judge` of the core's `claims/shard.rs`.
#[test]
fn claim_reply_lost() {
    let mut world = world();
    world.store.lose_replies = 1;
    let caller = order(&mut world, 1, PATIENCE, 0);
    run(&mut world, 4);
    assert!(whole(&world, caller));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: the rule in `judge` that a held claim bars every other daemon.
#[test]
fn order_again_after_owner_died() {
    let mut world = world();
    let first = order(&mut world, 1, PATIENCE, 0);
    world.run_for(Duration::from_millis(60));
    world.kill_entry(0);
    world.run_for(Duration::from_millis(900));
    let again = order_like(&mut world, first, 2);
    run(&mut world, 20);
    assert_eq!(refused_as(&world, again), Some(ErrorKind::OwnerLost));
    insta::assert_snapshot!(story(&world));
}

/// The order runs at its endpoint; nobody may say that it did not.
///
/// Fails without: both `correct_not_run` and `qualify_not_run` in the core's `finish.rs`;
/// with one of them out only the story differs.
#[test]
fn order_taken_over_while_store_is_down() {
    let mut world = world();
    let caller = order(&mut world, 1, Duration::from_secs(4), 0);
    world.run_for(Duration::from_millis(60));
    world.store.is_down = true;
    world.kill_entry(0);
    run(&mut world, 8);
    let refused = refused_as(&world, caller).expect("the answer is lost");
    assert_ne!(refused.response().execution, Execution::NotRun);
    insta::assert_snapshot!(story(&world));
}

fn order_like(world: &mut World, caller: usize, entry: usize) -> usize {
    let request = world.callers[caller].request.as_ref().clone();
    world.call(request, Some(entry))
}

#[test]
fn order_while_store_is_down() {
    let mut world = world();
    world.store.is_down = true;
    let given_up = order(&mut world, 1, Duration::from_secs(2), 0);
    let served = order(&mut world, 2, PATIENCE, 1);
    run(&mut world, 4);
    world.store.is_down = false;
    run(&mut world, 4);
    assert_eq!(
        refused_as(&world, given_up),
        Some(ErrorKind::ClaimUnavailable)
    );
    assert!(whole(&world, served));
    insta::assert_snapshot!(story(&world));
}

/// The story fails without: `Epoch(record.epoch.0 + 1)` in the core's `takeover.rs`. The
/// answer stays whole, since a new owner also refuses what the former one appends.
#[test]
fn paused_owner_wakes() {
    let mut world = world();
    let caller = ask(&mut world, "a careful quotation", 150, 0);
    let ordered = order(&mut world, 1, PATIENCE, 0);
    world.run_for(Duration::from_millis(400));
    world.pause_entry(0, Duration::from_secs(6));
    run(&mut world, 12);
    assert!(whole(&world, caller) && whole(&world, ordered));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: `attempt_policy` in the core's `suspects.rs`.
#[test]
fn request_crashes_endpoints() {
    let mut world = world();
    let other = ask(&mut world, "an innocent question", 60, 1);
    world.run_for(Duration::from_millis(200));
    for entry in 0..4 {
        ask(&mut world, "poison", 20, entry);
        run(&mut world, 4);
    }
    checks::poison_is_contained(&world).expect("few endpoints are lost");
    assert!(whole(&world, other));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: `replace_silent_connections` in the core's `watchdog.rs`.
#[test]
fn connections_go_silent() {
    let mut world = world();
    let caller = ask(&mut world, "a long answer", 90, 0);
    run(&mut world, 1);
    for index in 0..world.endpoints.len() {
        if world.endpoints[index].service.as_str() == MODEL {
            world.silence_connections(index);
        }
    }
    run(&mut world, 8);
    assert!(whole(&world, caller));
    insta::assert_snapshot!(story(&world));
}

#[test]
fn late_and_repeated_answers() {
    let mut world = world();
    let caller = ask(&mut world, "an answer in disorder", 20, 0);
    world.run_for(Duration::from_millis(300));
    let id = world.callers[caller].id.clone().expect("it is accepted");
    for number in [1, 7, 1] {
        let attempt = laburnumstall_core::ids::AttemptId {
            request: id.clone(),
            number,
        };
        let next = world.callers[caller].events.len() as u64;
        for from in [0, 2, next, 30] {
            let events = vec![laburnumstall_core::request::AnswerEvent::Chunk {
                text: " stray".into(),
                tokens: 1,
            }];
            // Only an attempt that is not current, or events that are known, may be late here.
            if number == 1 && from >= next {
                continue;
            }
            let from = laburnumstall_core::ids::EventIndex(from);
            let event = laburnumstall_core::entry::AttemptEvent::Answer {
                from,
                events,
                last_event_id: None,
            };
            world.tell(
                0,
                Event::Attempt {
                    attempt: attempt.clone(),
                    event,
                },
            );
        }
    }
    run(&mut world, 4);
    assert!(whole(&world, caller));
    insta::assert_snapshot!(story(&world));
}

/// Lets time pass; no entry ever puts a lower revision in force.
fn run_forward(world: &mut World, seconds: u64) {
    let mut highest = vec![Revision(0); world.nodes.len()];
    for _ in 0..seconds * 50 {
        world.run_for(Duration::from_millis(20));
        for (node, highest) in world.nodes.iter().zip(&mut highest) {
            let Some(entry) = &node.entry else { continue };
            assert!(entry.revision() >= *highest, "{} goes back", node.vm);
            *highest = entry.revision();
        }
    }
}

/// Checks that every entry has the same configuration in force.
fn assert_in_force(world: &World, revision: u64, digest: &str) {
    let in_force = world.in_force();
    let running = world.nodes.iter().filter(|node| node.is_running());
    assert_eq!(in_force.len(), running.count());
    for record in in_force {
        let configuration = &record.configuration;
        let seen = (configuration.revision.0, configuration.digest.as_str());
        assert_eq!(seen, (revision, digest));
    }
}

/// Two operators apply on the same base, and the reply to the first swap of the head is lost.
///
/// Fails without: the calls of `confirm_written` in the core's `configuration`.
#[test]
fn operators_race_on_apply() {
    let mut world = world();
    world.apply(0, 1, "east-wing-closed");
    // The record is stored, and the swap of the head is on its way.
    world.run_for(Duration::from_micros(2_500));
    world.store.lose_replies = 1;
    world.apply(2, 1, "west-wing-closed");
    run_forward(&mut world, 6);
    assert_in_force(&world, 2, "east-wing-closed");
    world.apply(2, 2, "both-wings-closed");
    run_forward(&mut world, 2);
    assert_in_force(&world, 3, "both-wings-closed");
    let outcomes = || world.applied.iter().map(|settled| &settled.outcome);
    let accepted = |outcome: &&ApplyOutcome| matches!(outcome, ApplyOutcome::Accepted { .. });
    assert_eq!(outcomes().filter(accepted).count(), 2);
    let conflict = ApplyOutcome::Conflict {
        current: Revision(2),
    };
    assert!(outcomes().any(|outcome| *outcome == conflict));
    insta::assert_snapshot!(story(&world));
}

/// Fails without: the refusal of an older revision in the core's `Adoption::offer`.
#[test]
fn store_restored_to_older_revision() {
    let mut world = world();
    let ordered = order(&mut world, 1, PATIENCE, 0);
    world.apply(0, 1, "winter-hours");
    run_forward(&mut world, 2);
    let backup = world.store.clone();
    world.apply(1, 2, "summer-hours");
    let late = order(&mut world, 2, PATIENCE, 1);
    run_forward(&mut world, 2);
    world.note("the store is restored to its state of two seconds ago");
    world.store = backup;
    let again = order_like(&mut world, late, 3);
    world.add_entry();
    run_forward(&mut world, 8);
    assert_in_force(&world, 3, "summer-hours");
    world.apply(2, 3, "autumn-hours");
    run_forward(&mut world, 4);
    assert_in_force(&world, 4, "autumn-hours");
    assert!(whole(&world, ordered) && whole(&world, late) && whole(&world, again));
    insta::assert_snapshot!(story(&world));
}
