//! Seeded random walks: requests and faults at random, every promise checked throughout.
//!
//! A walk draws its steps from its seed. When a promise is broken, the steps are cut down
//! to a short list that still breaks it, which is printed with the seed.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use crate::checks;
use crate::endpoint::Condition;
use crate::system::{ORDERS, STOCK, key_at, model_request, plain_request};
use crate::world::{World, WorldSpec};

/// Time after the last step in which everything must settle.
const SETTLE: Duration = Duration::from_secs(45);

/// Longest wait between two steps, in milliseconds.
const MAX_GAP_MS: u64 = 400;

/// One step of a walk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A caller asks a model for an answer of so many tokens.
    AskModel(u64),
    /// A caller sends a non-idempotent order with the key of this number.
    Order(u64),
    /// A caller looks something up.
    LookUp(u64),
    /// An order is sent again with the same key through another entry.
    OrderAgain(u64),
    /// A caller asks a model what crashes each endpoint that runs it.
    AskPoison,
    /// A caller's connection breaks.
    Disconnect(usize),
    /// An entry's process dies.
    KillEntry(usize),
    /// An entry's process starts again.
    RestartEntry(usize),
    /// An entry's process is paused, in milliseconds.
    PauseEntry(usize, u64),
    /// An entry's VM is announced to be taken in five seconds.
    ReclaimEntry(usize),
    /// An entry is asked for a planned stop.
    StopEntry(usize),
    /// A new entry starts.
    AddEntry,
    /// An endpoint's process crashes and starts again.
    CrashEndpoint(usize),
    /// An endpoint's VM goes away, and comes back.
    BlinkEndpoint(usize),
    /// The open connections of an endpoint go silent.
    SilenceEndpoint(usize),
    /// Two entries are cut off from each other.
    Cut(usize, usize),
    /// All cuts end.
    Mend,
    /// The key-value service goes down.
    StoreDown,
    /// The key-value service comes back.
    StoreUp,
    /// The next replies of writes are lost.
    LoseReplies(u32),
}

/// Which faults a walk may draw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// Faults that the platform announces, and connections that break.
    Announced,
    /// Every fault.
    All,
}

/// A walk that broke a promise.
#[derive(Debug, Clone)]
pub struct Broken {
    /// Seed of the walk.
    pub seed: u64,
    /// What was broken.
    pub what: String,
    /// The shortest list of steps found that breaks it.
    pub steps: Vec<Step>,
    /// Lines of the session up to the break.
    pub lines: Vec<String>,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {}", self.seed, self.what)?;
        for step in &self.steps {
            writeln!(f, "  Step::{step:?},")?;
        }
        Ok(())
    }
}

/// Draws the steps of a walk.
pub fn draw(seed: u64, count: usize, faults: Faults) -> Vec<Step> {
    let mut rng = Rng::with_seed(seed ^ 0x9e37_79b9);
    let mut steps = Vec::new();
    for number in 0..count {
        steps.push(draw_step(&mut rng, number as u64, faults));
        steps.push(Step::Wait(rng.u64(..MAX_GAP_MS)));
    }
    steps
}

fn draw_step(rng: &mut Rng, number: u64, faults: Faults) -> Step {
    let entry = rng.usize(..4);
    match rng.u32(..100) {
        0..30 => Step::AskModel(rng.u64(3..60)),
        30..45 => Step::Order(number),
        45..52 => Step::LookUp(number),
        52..60 => Step::OrderAgain(rng.u64(..number.max(1))),
        60..63 => Step::Disconnect(rng.usize(..16)),
        63..64 => Step::AddEntry,
        64..67 if faults == Faults::All => Step::AskPoison,
        64..67 => Step::AddEntry,
        67..70 => Step::StopEntry(entry),
        70..74 => Step::ReclaimEntry(entry),
        _ if faults == Faults::Announced => Step::Wait(rng.u64(..MAX_GAP_MS)),
        74..77 => Step::KillEntry(entry),
        77..80 => Step::RestartEntry(entry),
        80..82 => Step::PauseEntry(entry, rng.u64(100..4_000)),
        82..85 => Step::CrashEndpoint(rng.usize(..10)),
        85..87 => Step::BlinkEndpoint(rng.usize(..10)),
        87..90 => Step::SilenceEndpoint(rng.usize(..10)),
        90..92 => Step::Cut(entry, rng.usize(..4)),
        92..94 => Step::Mend,
        94..96 => Step::StoreDown,
        96..98 => Step::StoreUp,
        _ => Step::LoseReplies(rng.u32(1..4)),
    }
}

/// Runs steps in a new world and checks the promises after each one and at the end.
///
/// # Errors
///
/// Returns a sentence about the promise that was broken.
pub fn run(spec: &WorldSpec, steps: &[Step], faults: Faults) -> Result<World, String> {
    let mut world = World::new(spec);
    run_in(&mut world, steps, faults)?;
    Ok(world)
}

fn run_in(world: &mut World, steps: &[Step], faults: Faults) -> Result<(), String> {
    for step in steps {
        world.note(&format!("{step:?}"));
        take(world, step);
        checks::own_whole_answer(world)?;
        checks::at_most_once(world)?;
        checks::poison_is_contained(world)?;
    }
    settle(world);
    checks::own_whole_answer(world)?;
    checks::at_most_once(world)?;
    checks::poison_is_contained(world)?;
    checks::refused_did_not_run(world)?;
    checks::all_answered(world)?;
    if faults == Faults::Announced {
        checks::nothing_lost(world)?;
    }
    Ok(())
}

/// Draws and runs a walk; cuts the steps down if a promise is broken.
///
/// # Errors
///
/// Returns the short list of steps with the seed.
pub fn walk(spec: &WorldSpec, count: usize, faults: Faults) -> Result<World, Box<Broken>> {
    let steps = draw(spec.seed, count, faults);
    run(spec, &steps, faults).map_err(|what| {
        let steps = shorten(spec, steps, faults);
        let spec = WorldSpec {
            keeps_lines: true,
            ..spec.clone()
        };
        let mut world = World::new(&spec);
        let again = run_in(&mut world, &steps, faults);
        Box::new(Broken {
            seed: spec.seed,
            what: again.err().unwrap_or(what),
            steps,
            lines: world.lines,
        })
    })
}

/// Leaves out steps, ever smaller groups of them, as long as a promise is still broken.
fn shorten(spec: &WorldSpec, mut steps: Vec<Step>, faults: Faults) -> Vec<Step> {
    let mut group = steps.len() / 2;
    while group > 0 {
        let mut at = 0;
        while at < steps.len() {
            let end = (at + group).min(steps.len());
            let mut fewer = steps.clone();
            fewer.drain(at..end);
            if run(spec, &fewer, faults).is_err() {
                steps = fewer;
            } else {
                at = end;
            }
        }
        group /= 2;
    }
    steps
}

fn settle(world: &mut World) {
    take(world, &Step::StoreUp);
    take(world, &Step::Mend);
    let end = world.now.after(SETTLE);
    while world.now < end {
        world.run_for(Duration::from_millis(500));
        world.take_due_vms();
    }
}

fn take(world: &mut World, step: &Step) {
    let patience = Duration::from_secs(25);
    match step {
        Step::Wait(millis) => {
            world.run_for(Duration::from_millis(*millis));
            world.take_due_vms();
        }
        Step::AskModel(tokens) => {
            let prompt = format!("question {}", world.callers.len());
            let request = model_request(world.now, &prompt, *tokens, patience);
            world.call(request, None);
        }
        Step::Order(number) | Step::OrderAgain(number) => order(world, *number, patience),
        Step::LookUp(number) => {
            let body = format!("box {number}");
            let request = plain_request(world.now, STOCK, &body, None, patience);
            world.call(request, None);
        }
        Step::AskPoison => {
            let request = model_request(world.now, "poison", 20, patience);
            world.call(request, None);
        }
        Step::Disconnect(index) if *index < world.callers.len() => world.disconnect(*index),
        Step::AddEntry if world.nodes.len() < 8 => {
            world.add_entry();
        }
        Step::StoreDown => world.store.is_down = true,
        Step::StoreUp => world.store.is_down = false,
        Step::LoseReplies(count) => world.store.lose_replies = *count,
        Step::Mend => world.network.mend(),
        Step::Cut(one, other) if one != other => {
            let one = world.nodes[*one].vm.clone();
            let other = world.nodes[*other].vm.clone();
            world.network.cut(&one, &other);
        }
        other => take_at_machine(world, other),
    }
}

fn order(world: &mut World, number: u64, patience: Duration) {
    let base = laburnumstall_core::units::Timestamp(1_800_000_000_000_000);
    let key = key_at(base, number);
    let body = format!("order {number}");
    let request = plain_request(world.now, ORDERS, &body, Some(key), patience);
    world.call(request, None);
}

fn take_at_machine(world: &mut World, step: &Step) {
    match step {
        Step::KillEntry(number) if is_spare(world, *number) => world.kill_entry(*number),
        Step::RestartEntry(number)
            if !world.nodes[*number].is_running() && !world.nodes[*number].is_vm_gone =>
        {
            world.restart_entry(*number);
        }
        Step::PauseEntry(number, millis) if world.nodes[*number].is_running() => {
            world.pause_entry(*number, Duration::from_millis(*millis));
        }
        Step::ReclaimEntry(number) if is_spare(world, *number) => {
            world.reclaim_entry(*number, Duration::from_secs(5));
        }
        Step::StopEntry(number) if is_spare(world, *number) => world.stop_entry(*number),
        Step::CrashEndpoint(index) => {
            world.crash_endpoint(*index, Condition::Down);
            world.run_for(Duration::from_millis(300));
            world.restart_endpoint(*index);
        }
        Step::BlinkEndpoint(index) => {
            world.crash_endpoint(*index, Condition::Gone);
            world.run_for(Duration::from_millis(2_500));
            world.restart_endpoint(*index);
        }
        Step::SilenceEndpoint(index) => world.silence_connections(*index),
        _ => {}
    }
}

/// Tells whether an entry is in use and others in two zones would be left without it.
fn is_spare(world: &World, number: usize) -> bool {
    let others = world.nodes.iter().enumerate();
    let others = others.filter(|(other, node)| *other != number && node.is_listed());
    let zones: BTreeSet<_> = others.map(|(_, node)| node.zone.clone()).collect();
    world.nodes[number].is_listed() && zones.len() > 1
}
