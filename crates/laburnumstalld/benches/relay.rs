//! Compares relaying tokens through two daemons, owner and standby, with a bare relay that
//! has no control logic.
//!
//! `cargo bench -p laburnumstalld --bench relay`; with `-- --test` a short run that only shows that
//! streams arrive whole.
//!
//! Daemons and the bare relay are separate processes, so that their CPU time can be measured
//! separately. An endpoint in this process sends each token in its own chunk at a fixed pace;
//! many streams run concurrently. The time to the first token is measured on streams started
//! one after another while the others run.

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
use processor::CpuTimes;

/// How much is relayed.
struct Size {
    /// Concurrent streams; with one token per 20 ms, 200 make 10,000 tokens a second.
    streams: usize,
    /// Tokens of each answer.
    answer_tokens: u64,
    /// Streams whose first token is timed while the others run.
    timed_streams: usize,
}

impl Size {
    const FULL: Self = Self {
        streams: 200,
        answer_tokens: 200,
        timed_streams: 400,
    };

    /// Shows that streams arrive whole, and measures nothing.
    const SHORT: Self = Self {
        streams: 20,
        answer_tokens: 20,
        timed_streams: 40,
    };
}

/// Time between the starts of two timed streams.
const TIMED_PERIOD: Duration = Duration::from_millis(10);

/// A path from a caller to the endpoint.
struct RelayPath {
    name: &'static str,
    address: SocketAddr,
    /// Ids of the processes on the path; the one that the caller connects to comes first.
    processes: Vec<u32>,
    /// Admin addresses of the daemons on the path.
    operators: Vec<SocketAddr>,
}

fn main() {
    if bare::is_requested() {
        return bare::run();
    }
    let source = source::start();
    let relay = BareRelay::start(source);
    let fleet = actix_rt::System::new().block_on(Fleet::start(&[source]));
    let paths = [
        RelayPath {
            name: "direct",
            address: source,
            processes: Vec::new(),
            operators: Vec::new(),
        },
        RelayPath {
            name: "bare relay",
            address: relay.address,
            processes: vec![relay.id()],
            operators: Vec::new(),
        },
        RelayPath {
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
    let is_short = std::env::args().any(|arg| arg == "--test");
    let size = if is_short { Size::SHORT } else { Size::FULL };
    for path in &paths {
        report(path, &size);
    }
    measure(&paths);
    relay.close();
    fleet.close();
}

/// Prints the CPU time per token and the time to the first token.
fn report(path: &RelayPath, size: &Size) {
    let before: Vec<CpuTimes> = path
        .processes
        .iter()
        .map(|id| CpuTimes::read(*id))
        .collect();
    let busy = busy_times(path);
    let started = Instant::now();
    let streams = caller::spawn(path.address, size.streams, size.answer_tokens);
    let mut firsts = caller::first_tokens(path.address, size.timed_streams, TIMED_PERIOD);
    let complete = streams.join().expect("the callers end");
    assert_eq!(complete, size.streams, "{}: whole streams", path.name);
    let time = started.elapsed();
    firsts.sort_unstable();
    let at = |permille: usize| firsts[(firsts.len() - 1) * permille / 1_000];
    let timed_tokens = size.timed_streams as u64 * source::SHORT_TOKENS;
    let tokens = complete as u64 * size.answer_tokens + timed_tokens;
    println!(
        "{}: {complete} of {} streams whole, {:.0} tokens/s offered and relayed, first token p50 {:?} p99 {:?}",
        path.name,
        size.streams,
        tokens as f64 / time.as_secs_f64(),
        at(500),
        at(990)
    );
    for (id, before) in path.processes.iter().zip(before) {
        let used = CpuTimes::read(*id).since(&before);
        println!(
            "  process {id}: {:.2} us of processor time a token, {:.0} tokens/s and core",
            used.total().as_secs_f64() * 1e6 / tokens as f64,
            tokens as f64 / used.total().as_secs_f64()
        );
        for (thread, time) in used.busiest() {
            println!("    {thread}: {time:?}");
        }
    }
    for (before, after) in busy.iter().zip(busy_times(path)) {
        let share = (after - before) * 100.0 / time.as_secs_f64();
        println!("  control thread not waiting: {share:.1}% of the time");
    }
}

/// Returns the busy time of each control thread in seconds.
fn busy_times(path: &RelayPath) -> Vec<f64> {
    path.operators
        .iter()
        .map(|a| caller::control_busy(*a))
        .collect()
}

/// Measures complete unpaced answers with criterion.
fn measure(paths: &[RelayPath]) {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .measurement_time(Duration::from_secs(5))
        .configure_from_args();
    let mut group = criterion.benchmark_group("relay");
    group.throughput(Throughput::Elements(source::UNPACED_TOKENS));
    for path in paths {
        group.bench_function(path.name, |b| b.iter(|| caller::fast(path.address)));
    }
    group.finish();
}
