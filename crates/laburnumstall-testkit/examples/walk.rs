//! Walks from a seed on for longer than the tests do, and tells what was met. A single walk
//! that breaks a promise is cut down and printed whole.
//!
//! `cargo run --release -p laburnumstall-testkit --example walk -- SEED WALKS STEPS announced|all`

use std::collections::BTreeMap;

use laburnumstall_testkit::walk::{Faults, draw, run, walk};
use laburnumstall_testkit::{Outcome, WorldSpec, checks};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: u64| {
        args.get(index)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (first, walks, steps) = (number(0, 1), number(1, 200), number(2, 30));
    let faults = match args.get(3).map(String::as_str) {
        Some("announced") => Faults::Announced,
        _ => Faults::All,
    };
    let mut whole = 0;
    let mut refusals: BTreeMap<String, u32> = BTreeMap::new();
    let mut broken_walks = 0;
    for seed in first..first + walks {
        let spec = WorldSpec {
            seed,
            orders_check_keys: seed % 3 == 0,
            ..WorldSpec::default()
        };
        if walks == 1
            && let Err(broken) = walk(&spec, steps as usize, faults)
        {
            println!("{broken}");
            println!("{}", broken.lines.join("\n"));
            return;
        }
        match run(&spec, &draw(seed, steps as usize, faults), faults) {
            Err(what) => {
                broken_walks += 1;
                println!("seed {seed}: {what}");
            }
            Ok(world) => {
                let is_whole = |caller: &&laburnumstall_testkit::FakeCaller| {
                    caller.outcome() == Some(&Outcome::Whole)
                };
                whole += world.callers.iter().filter(is_whole).count();
                for (kind, count) in checks::refusals(&world) {
                    *refusals.entry(kind.to_string()).or_default() += count;
                }
            }
        }
    }
    println!("walks={walks} broken={broken_walks} whole={whole} refusals={refusals:?}");
}
