//! What was promised, compared with what callers were given and what endpoints ran.

use std::collections::BTreeMap;

use laburnumstall_core::error::{ErrorKind, Execution};

use crate::caller::{FakeCaller, Outcome};
use crate::endpoint::{POISON, expected_events, run_name, without_draw};
use crate::world::World;

/// Checks that each caller has a prefix of its own answer, and the whole one if it ended.
///
/// # Errors
///
/// Returns a sentence about the first caller for which that does not hold.
pub fn own_whole_answer(world: &World) -> Result<(), String> {
    for (index, caller) in world.callers.iter().enumerate() {
        check_answer(index, caller)?;
    }
    Ok(())
}

fn check_answer(index: usize, caller: &FakeCaller) -> Result<(), String> {
    let expected = expected_events(&caller.request);
    let given: Vec<_> = caller
        .events
        .iter()
        .filter(|event| !is_failure(event))
        .collect();
    let is_prefix = given
        .iter()
        .zip(&expected)
        .all(|(given, expected)| without_draw(given) == *expected)
        && given.len() <= expected.len();
    if !is_prefix {
        return Err(format!("caller {index} was given another answer"));
    }
    match caller.outcome() {
        Some(Outcome::Whole) if given.len() != expected.len() => {
            Err(format!("caller {index} was given a part as the whole"))
        }
        Some(Outcome::Broken(text)) => Err(format!("caller {index}: {text}")),
        // What a caller has seen must lie on the answer that any owner goes on with.
        Some(Outcome::Refused(refusal)) if refusal.kind == ErrorKind::StreamDiverged => {
            Err(format!("caller {index} saw events that no owner has"))
        }
        _ => Ok(()),
    }
}

fn is_failure(event: &laburnumstall_core::request::AnswerEvent) -> bool {
    matches!(event, laburnumstall_core::request::AnswerEvent::Failed(_))
}

/// Checks that all callers of a request were given one answer, draw by draw.
///
/// # Errors
///
/// Returns a sentence about the first two callers whose answers differ.
pub fn one_answer(world: &World) -> Result<(), String> {
    for (index, caller) in world.callers.iter().enumerate() {
        for (other, same) in world.callers[..index].iter().enumerate() {
            let is_same = caller.id.is_some() && caller.id == same.id;
            let differs = caller.events.iter().zip(&same.events).any(|(a, b)| a != b);
            if is_same && differs {
                return Err(format!(
                    "callers {other} and {index} were given two answers"
                ));
            }
        }
    }
    Ok(())
}

/// Checks that each non-idempotent request ran at most once over all endpoints.
///
/// # Errors
///
/// Returns a sentence about the first request for which that does not hold.
pub fn at_most_once(world: &World) -> Result<(), String> {
    let runs = all_runs(world);
    for (index, caller) in world.callers.iter().enumerate() {
        let name = run_name(&caller.request);
        let count = runs.get(&name).copied().unwrap_or(0);
        if !caller.request.idempotent && count > 1 {
            return Err(format!("the request of caller {index} ran {count} times"));
        }
    }
    Ok(())
}

/// Checks that a request that was refused as not run did not run, over all callers that
/// sent it.
///
/// # Errors
///
/// Returns a sentence about the first request for which that does not hold.
pub fn refused_did_not_run(world: &World) -> Result<(), String> {
    let runs = all_runs(world);
    for (index, caller) in world.callers.iter().enumerate() {
        if caller.request.idempotent {
            continue;
        }
        let name = run_name(&caller.request);
        let is_refused = |other: &FakeCaller| match other.outcome() {
            Some(Outcome::Refused(refusal)) => {
                refusal.kind.response().execution == Execution::NotRun
            }
            _ => false,
        };
        let same = world
            .callers
            .iter()
            .filter(|other| run_name(&other.request) == name);
        let ran = runs.get(&name).copied().unwrap_or(0) > 0;
        if ran && same.clone().all(is_refused) {
            return Err(format!(
                "the request of caller {index} ran although refused"
            ));
        }
    }
    Ok(())
}

/// Checks that each idempotent request that was accepted has its whole answer.
///
/// # Errors
///
/// Returns a sentence about the first request for which that does not hold.
pub fn nothing_lost(world: &World) -> Result<(), String> {
    for (index, caller) in world.callers.iter().enumerate() {
        let is_accepted = caller.id.is_some();
        let is_whole = caller.outcome() == Some(&Outcome::Whole);
        if is_accepted && caller.request.idempotent && !is_whole {
            let outcome = caller.outcome();
            return Err(format!("caller {index} lost its answer: {outcome:?}"));
        }
    }
    Ok(())
}

/// Checks that each caller has a final answer.
///
/// # Errors
///
/// Returns a sentence about the first caller without one.
pub fn all_answered(world: &World) -> Result<(), String> {
    for (index, caller) in world.callers.iter().enumerate() {
        if caller.outcome().is_none() {
            return Err(format!("caller {index} has no answer: {:?}", caller.state));
        }
    }
    Ok(())
}

/// Endpoints that one request may crash over all entries and resends.
const MAX_POISONED: u32 = 2;

/// Checks that the request that crashes endpoints crashed few, and that no other request
/// was refused for it.
///
/// # Errors
///
/// Returns a sentence about what was seen instead.
pub fn poison_is_contained(world: &World) -> Result<(), String> {
    if world.poisoned > MAX_POISONED {
        return Err(format!("one request crashed {} endpoints", world.poisoned));
    }
    for (index, caller) in world.callers.iter().enumerate() {
        let is_poison = caller.request.body.as_ref() == POISON;
        let is_refused_for_it = match caller.outcome() {
            Some(Outcome::Refused(refusal)) => matches!(
                refusal.kind,
                ErrorKind::Quarantined | ErrorKind::EndpointCrashed
            ),
            _ => false,
        };
        // A request that alone was in flight at two crashes cannot be told from their
        // cause; it is refused, since the bound leaves no third try.
        let name = run_name(&caller.request);
        let crashes = world.crashed_with.get(&name).copied().unwrap_or(0);
        if is_refused_for_it && !is_poison && crashes < 2 {
            return Err(format!("caller {index} was refused for another's crash"));
        }
    }
    Ok(())
}

/// Counts the refusals of each kind.
pub fn refusals(world: &World) -> BTreeMap<ErrorKind, u32> {
    let mut counts = BTreeMap::new();
    for caller in &world.callers {
        if let Some(Outcome::Refused(refusal)) = caller.outcome() {
            *counts.entry(refusal.kind).or_default() += 1;
        }
    }
    counts
}

fn all_runs(world: &World) -> BTreeMap<String, u32> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for endpoint in &world.endpoints {
        for (name, count) in &endpoint.runs.by_key {
            *runs.entry(name.clone()).or_default() += count;
        }
    }
    runs
}
