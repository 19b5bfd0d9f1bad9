//! Parts of prompts that crash endpoints, in requests of which no two are alike.

use crate::fleet::{Fleet, begin_call};
use crate::support::{at, call_attributes};
use laburnumstall_core::gateway::{CallAttributes, Prompt, PromptPart};

const FIRST: u64 = 0xa1;
const OTHER: u64 = 0xb2;
const BAD: u64 = 0xbad;

/// Returns a call whose prompt has shared parts, and a last one of its own.
fn call(shared: &[u64], number: u64) -> CallAttributes {
    let own = 0x1_0000 + number;
    let parts = shared.iter().copied().chain([own]);
    let parts: Vec<PromptPart> = parts.map(|id| PromptPart { id, tokens: 100 }).collect();
    let mut attributes = call_attributes(&format!("call-{number}"), "/query/1");
    attributes.prompt = Some(Prompt {
        tokens: 100 * parts.len() as u32,
        max_answer_tokens: 10,
        parts,
    });
    attributes
}

fn crash_thrice(fleet: &mut Fleet, shared: &[u64]) {
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        fleet.crash_by(at(ms), number, call(shared, ms));
    }
}

#[test]
fn part_is_refused_whatever_else_the_prompt_holds() {
    let mut fleet = Fleet::new(4);
    crash_thrice(&mut fleet, &[FIRST, BAD]);
    for shared in [&[FIRST, BAD][..], &[BAD], &[OTHER, BAD, FIRST]] {
        assert_eq!(fleet.refusing_call(at(510), &call(shared, 900)), 4);
    }
    for shared in [&[FIRST][..], &[FIRST, OTHER], &[]] {
        assert_eq!(fleet.refusing_call(at(510), &call(shared, 901)), 0);
    }
}

/// Prompts with different second parts crash endpoints: the first one is the cause.
#[test]
fn first_part_is_found_beside_different_ones() {
    let mut fleet = Fleet::new(3);
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        fleet.crash_by(at(ms), number, call(&[BAD, 0xc00 + ms], ms));
    }
    assert_eq!(fleet.refusing_call(at(510), &call(&[BAD, OTHER], 900)), 3);
    assert_eq!(fleet.refusing_call(at(510), &call(&[0xc00 + 100], 901)), 0);
}

#[test]
fn last_part_belongs_to_its_request() {
    let mut fleet = Fleet::new(2);
    for ms in [100, 300, 500] {
        let mut attributes = call(&[], ms);
        attributes.prompt.as_mut().unwrap().parts[0].id = BAD;
        fleet.crash_by(at(ms), 1, attributes);
    }
    let mut attributes = call(&[], 900);
    attributes.prompt.as_mut().unwrap().parts[0].id = BAD;
    assert_eq!(fleet.refusing_call(at(510), &attributes), 0);
}

/// Crashes by chance beside requests with the same part that complete in between.
#[test]
fn completed_requests_clear_their_parts() {
    let mut fleet = Fleet::new(3);
    for round in 0..12 {
        let ms = 100 + round * 400;
        fleet.crash_by(at(ms), 1 + (round % 3) as u32, call(&[FIRST, OTHER], ms));
        let sound = call(&[FIRST, OTHER], ms + 1);
        let (completed, _) = begin_call(fleet.at(2), at(ms + 50), sound).unwrap();
        fleet.at(2).on_completed(at(ms + 200), &completed);
        fleet.deliver(at(ms + 200));
    }
    assert_eq!(fleet.refusing_call(at(6_000), &call(&[FIRST, OTHER], 1)), 0);
}

/// The daemon that saw the part in a completed request tells the others that it is sound.
#[test]
fn daemon_that_knows_a_part_clears_it() {
    let mut fleet = Fleet::new(4);
    let (sound, _) = begin_call(fleet.at(4), at(10), call(&[OTHER], 1)).unwrap();
    fleet.at(4).on_completed(at(90), &sound);
    crash_thrice(&mut fleet, &[OTHER]);
    assert_eq!(fleet.refusing_call(at(510), &call(&[OTHER], 900)), 0);
    fleet.tick(at(600));
    for (number, ms) in [(1, 700), (2, 900)] {
        fleet.crash_by(at(ms), number, call(&[OTHER], ms));
    }
    assert_eq!(fleet.refusing_call(at(910), &call(&[OTHER], 901)), 4);
}

/// Requests are lost together, and retried together, at daemons that each know of one of them.
#[test]
fn requests_that_are_lost_together_count_each() {
    for daemons in [[1, 1], [1, 2]] {
        let mut fleet = Fleet::new(4);
        let together = [(1, daemons[0]), (2, daemons[1])];
        fleet.crash_together(
            at(100),
            &together.map(|(n, at)| (at, call(&[FIRST, BAD], n))),
        );
        fleet.crash_together(
            at(300),
            &together.map(|(n, at)| (at, call(&[FIRST, BAD], n))),
        );
        fleet.crash_by(at(500), 3, call(&[FIRST, BAD], 3));
        assert_eq!(
            fleet.refusing_call(at(510), &call(&[BAD], 900)),
            4,
            "{daemons:?}"
        );
    }
}

#[test]
fn requests_that_are_retried_thrice_convict_no_part() {
    let mut fleet = Fleet::new(4);
    for ms in [100, 300, 500] {
        fleet.crash_together(at(ms), &[1, 2].map(|n| (1, call(&[FIRST, OTHER], n))));
    }
    assert_eq!(fleet.refusing_call(at(510), &call(&[OTHER], 900)), 0);
}

#[test]
fn call_without_a_prompt_is_not_refused_for_parts() {
    let mut fleet = Fleet::new(3);
    crash_thrice(&mut fleet, &[BAD]);
    let plain = call_attributes("plain", "/read/1");
    assert_eq!(fleet.refusing_call(at(510), &call(&[BAD], 900)), 3);
    assert_eq!(fleet.refusing_call(at(510), &plain), 0);
}

/// Daemons that have just started have seen no request with the first part complete either.
#[test]
fn started_daemons_do_not_take_a_sound_part_for_an_unknown_one() {
    let mut fleet = Fleet::starting(4);
    crash_thrice(&mut fleet, &[FIRST]);
    assert_eq!(fleet.refusing_call(at(510), &call(&[FIRST], 900)), 0);
    fleet.tick(at(600));
    for (number, ms) in [(1, 700), (2, 900)] {
        fleet.crash_by(at(ms), number, call(&[FIRST], ms));
    }
    assert_eq!(fleet.refusing_call(at(910), &call(&[FIRST], 901)), 4);
}
