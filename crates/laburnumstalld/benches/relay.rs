//! Tokens relayed by two daemons, owner and standby, against a bare relay without decisions.
//!
//! `cargo bench -p laburnumstalld --bench relay`
//!
//! Daemons and the bare relay are processes of their own, so that their processor time can
//! be told apart. An endpoint in this process sends each token by itself, at the pace of a
//! stream; many streams run at once. The time to the first token is that of streams that
//! begin one after another while the others run.

#[path = "relay/bare.rs"]
mod bare;
#[path = "relay/caller.rs"]
mod caller;
#[path = "../tests/support/fleet.rs"]
mod fleet;
#[path = "relay/processor.rs"]
mod processor;
#[path = "relay/source.rs"]
mod source;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use criterion::{Criterion, Throughput};

use bare::BareRelay;
use fleet::Fleet;
use processor::Times;

/// Streams at once, so that a token each 20 ms makes 10,000 tokens a second.
const STREAMS: usize = 200;

/// Tokens of one answer.
const TOKENS: u64 = 200;

/// Streams whose first token is timed while the others run.
const TIMED: usize = 400;

/// Time between the beginnings of two timed streams.
const TIMED_PERIOD: Duration = Duration::from_millis(10);

/// A way from a caller to the endpoint.
struct Way {
    name: &'static str,
    address: SocketAddr,
    /// Processes on the way: the one that the caller is connected to comes first.
    processes: Vec<u32>,
    /// Addresses for operators, where there are any.
    operators: Vec<SocketAddr>,
}

fn main() {
    if bare::is_asked_for() {
        return bare::run();
    }
    let source = source::start();
    let relay = BareRelay::start(source);
    let fleet = actix_rt::System::new().block_on(Fleet::start(&[source]));
    let ways = [
        Way {
            name: "direct",
            address: source,
            processes: Vec::new(),
            operators: Vec::new(),
        },
        Way {
            name: "bare relay",
            address: relay.address,
            processes: vec![relay.id()],
            operators: Vec::new(),
        },
        Way {
            name: "owner and standby",
            address: fleet.processes[0].callers,
            processes: fleet
                .processes
                .iter()
                .map(|process| process.child.id())
                .collect(),
            operators: fleet
                .processes
                .iter()
                .map(|process| process.operators)
                .collect(),
        },
    ];
    caller::wait_for_answer(fleet.processes[0].callers);
    for way in &ways {
        report(way);
    }
    measure(&ways);
    relay.close();
    fleet.close();
}

/// Prints the processor time of a token and the time to the first token.
fn report(way: &Way) {
    let before: Vec<Times> = way.processes.iter().map(|id| Times::read(*id)).collect();
    let busy = busy_times(way);
    let began = Instant::now();
    let streams = caller::spawn(way.address, STREAMS, TOKENS);
    let mut firsts = caller::first_tokens(way.address, TIMED, TIMED_PERIOD);
    let whole = streams.join().expect("the callers end");
    let time = began.elapsed();
    firsts.sort_unstable();
    let at = |permille: usize| firsts[(firsts.len() - 1) * permille / 1_000];
    let tokens = whole as u64 * TOKENS + TIMED as u64 * source::SHORT;
    println!(
        "{}: {whole} of {STREAMS} streams whole, {:.0} tokens/s offered and relayed, first token p50 {:?} p99 {:?}",
        way.name,
        tokens as f64 / time.as_secs_f64(),
        at(500),
        at(990)
    );
    for (id, before) in way.processes.iter().zip(before) {
        let used = Times::read(*id).since(&before);
        println!(
            "  process {id}: {:.2} us of processor time a token, {:.0} tokens/s and core",
            used.total().as_secs_f64() * 1e6 / tokens as f64,
            tokens as f64 / used.total().as_secs_f64()
        );
        for (thread, time) in used.busiest() {
            println!("    {thread}: {time:?}");
        }
    }
    for (before, after) in busy.iter().zip(busy_times(way)) {
        let share = (after - before) * 100.0 / time.as_secs_f64();
        println!("  control thread not waiting: {share:.1}% of the time");
    }
}

/// Returns the time that each control thread was not waiting, in seconds.
fn busy_times(way: &Way) -> Vec<f64> {
    way.operators
        .iter()
        .map(|a| caller::control_busy(*a))
        .collect()
}

/// Lets criterion time whole answers that come as fast as the way allows.
fn measure(ways: &[Way]) {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .measurement_time(Duration::from_secs(5))
        .configure_from_args();
    let mut group = criterion.benchmark_group("relay");
    group.throughput(Throughput::Elements(source::FAST));
    for way in ways {
        group.bench_function(way.name, |b| b.iter(|| caller::fast(way.address)));
    }
    group.finish();
}
