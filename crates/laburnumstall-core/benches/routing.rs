//! Time of a routing decision with 64, 256 and 2,500 candidates, and with a daemon's subset.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use laburnumstall_core::prelude::*;
use laburnumstall_core::request::{Dialect, prefix_blocks};
use laburnumstall_core::routing::{RouteQuery, Router, SUBSET_SIZE};

/// Number of distinct prompts in the prefix-cache views.
const PROMPTS: usize = 64;
/// Size of a prompt in bytes.
const PROMPT_BYTES: usize = 16 * 1024;

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: format!("ep-{number:05}").parse().expect("a valid name"),
        vm: format!("gpu-{number}").parse().expect("a valid name"),
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name"),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        services: vec!["clerk".parse().expect("a valid name")],
    }
}

fn request(number: usize) -> Request {
    let prompt = vec![number as u8; PROMPT_BYTES];
    Request {
        customer: "caroni".parse().expect("a valid name"),
        service: "clerk".parse().expect("a valid name"),
        dialect: Dialect::Chat,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        prefix: prefix_blocks("clerk", &prompt),
        body: prompt.into(),
        key: None,
        idempotent: true,
        form: AnswerForm::Stream,
        deadline: Timestamp::NEVER,
        priority: Priority(0),
        prompt: Tokens(PROMPT_BYTES as u64 / 4),
        answer: Tokens(200),
    }
}

fn attempt(owner: &DaemonId, sequence: u64) -> AttemptId {
    let lookup_hash = LookupHash(0);
    let owner = owner.clone();
    AttemptId {
        request: RequestId {
            owner,
            sequence,
            lookup_hash,
        },
        number: 1,
    }
}

/// Builds a router with a load report of each endpoint that has routed each prompt once.
fn router(owner: &DaemonId, endpoints: usize, subset: usize, requests: &[Request]) -> Router {
    let zone = "zone-0".parse().expect("a valid name");
    let mut router = Router::new(owner, zone).with_subset_size(subset);
    router.set_endpoints(Timestamp::ZERO, (0..endpoints).map(endpoint).collect());
    for number in 0..endpoints {
        let report = LoadReport {
            endpoint: endpoint(number).id,
            sequence: 1,
            taken_at: Timestamp::ZERO,
            running: (number % 12) as u32,
            waiting: 0,
            batch: 16,
            prefill_backlog: Tokens(number as u64 % 1_000),
            prefill: TokenRate(8_000),
            decode_per_request: TokenRate(25),
            services: endpoint(number).services,
            loads: None,
        };
        router.on_load(Timestamp::ZERO, &report);
    }
    for (sequence, request) in requests.iter().enumerate() {
        let attempt = attempt(owner, sequence as u64);
        let route = choose(&mut router, &attempt, request);
        router.started(Timestamp::ZERO, &attempt, &route, request);
        router.finished(Timestamp::from_millis(1), &attempt);
    }
    router
}

fn choose(
    router: &mut Router,
    attempt: &AttemptId,
    request: &Request,
) -> laburnumstall_core::routing::Route {
    let query = RouteQuery {
        attempt,
        request,
        generated: Tokens(0),
        excluded: &[],
        isolated: false,
    };
    let mut journal = Journal::default();
    let route = router.choose(Timestamp::from_millis(2), &query, &mut journal);
    black_box(journal.take());
    route.expect("a usable endpoint")
}

fn bench(c: &mut Criterion) {
    let owner = DaemonId {
        vm: "entry-1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
    };
    let requests: Vec<Request> = (0..PROMPTS).map(request).collect();
    let mut group = c.benchmark_group("route");
    group.measurement_time(Duration::from_secs(2));
    group.warm_up_time(Duration::from_millis(500));
    let cases = [(64, 64), (256, 256), (2_500, 2_500), (2_500, SUBSET_SIZE)];
    for (endpoints, subset) in cases {
        let mut router = router(&owner, endpoints, subset, &requests);
        let name = BenchmarkId::new(format!("{endpoints}-endpoints"), format!("{subset}-used"));
        let mut sequence = 0;
        group.bench_function(name, |b| {
            b.iter(|| {
                sequence += 1;
                let attempt = attempt(&owner, sequence);
                let request = &requests[sequence as usize % PROMPTS];
                black_box(choose(&mut router, &attempt, request))
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
