//! What one daemon asks of endpoints and tells other daemons a second, in virtual time.
//!
//! `cargo run --release -p laburnumstall-testkit --example control_traffic`
//!
//! Four daemons in three zones; each model endpoint answers a stream now and then, so that
//! loads change.

use std::time::Duration;

use laburnumstall_testkit::{Counts, World, WorldSpec, model_request};

/// Daemons.
const ENTRIES: u64 = 4;

/// Seconds that are counted.
const SECONDS: u64 = 120;

/// Bytes on the wire to read one load report, headers included.
const REPORT_BYTES: u64 = 512;

fn main() {
    println!("{ENTRIES} daemons, {SECONDS} s, figures for one daemon and second");
    for models in [12, 64, 200] {
        println!("model endpoints: {models}");
        for is_loaded in [false, true] {
            print(is_loaded, &measure(models, is_loaded));
        }
    }
}

fn measure(models: u16, is_loaded: bool) -> Counts {
    let mut world = World::new(&WorldSpec {
        models,
        counts_messages: true,
        ..WorldSpec::default()
    });
    // Whatever belongs to the start alone is over by then.
    world.run_for(Duration::from_secs(60));
    let before = world.counts.clone();
    for second in 0..SECONDS {
        if is_loaded {
            let prompt = format!("prompt {second}");
            let request = model_request(world.now, &prompt, 200, Duration::from_secs(60));
            world.call(request, Some((second % ENTRIES) as usize));
        }
        world.run_for(Duration::from_secs(1));
    }
    world.counts.since(&before)
}

fn print(is_loaded: bool, counts: &Counts) {
    let each = |count: u64| count as f64 / (ENTRIES * SECONDS) as f64;
    let load = if is_loaded {
        "one request a second"
    } else {
        "idle"
    };
    println!(
        "  {load}: polls {:.2}, bytes of polls {:.0}, messages {:.2}",
        each(counts.polls),
        each(counts.polls * REPORT_BYTES),
        each(counts.messages)
    );
    for (kind, bytes) in &counts.bytes {
        println!("    bytes of {kind}: {:.0}", each(*bytes));
    }
}
