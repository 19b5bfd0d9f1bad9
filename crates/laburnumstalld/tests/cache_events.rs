//! Cache events are read along with load reports: in order, with gaps kept, and from the
//! first event after a restart.

use std::time::{Duration, Instant};

use actix::Arbiter;
use laburnumstall_core::entry::{Event, PollOutcome};
use laburnumstall_core::request::{BlockHash, Dialect, prefix_blocks};
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::routing::CacheReport;
use laburnumstall_core::units::{Timestamp, TokenRate, Tokens};
use laburnumstall_outside::endpoint::{
    CacheChange, CacheEvent, CachePage, EndpointCall, EndpointClient, HttpEndpointClient,
    prompt_text,
};
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn};
use laburnumstall_standins::sample::{self, attempt};
use laburnumstalld::cache_cursors::{CacheCursors, MAX_CACHE_PERIOD};
use laburnumstalld::inbox::{Inbox, Input};
use laburnumstalld::traffic::{Poll, TrafficPool};
use tokio::sync::mpsc;

/// Timeout for expected events.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time without events after which a group of events is complete.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// Bytes of a prompt, eight blocks.
const PROMPT_BYTES: usize = 2_048;

fn load(sequence: u64) -> LoadReport {
    LoadReport {
        endpoint: "e".parse().unwrap(),
        sequence,
        taken_at: Timestamp::ZERO,
        running: 0,
        waiting: 0,
        batch: 8,
        prefill_backlog: Tokens(0),
        prefill: TokenRate(20_000),
        decode_per_request: TokenRate(25),
        services: Vec::new(),
        loads: None,
    }
}

fn event(sequence: u64, change: CacheChange) -> CacheEvent {
    let blocks = vec![BlockHash(sequence)];
    CacheEvent {
        sequence,
        change,
        blocks,
    }
}

fn page(newest: u64, events: Vec<CacheEvent>) -> Option<CachePage> {
    Some(CachePage { newest, events })
}

fn spans(reports: &[CacheReport]) -> Vec<(u64, u64, usize, usize)> {
    reports
        .iter()
        .map(|r| (r.first, r.last, r.stored.len(), r.evicted.len()))
        .collect()
}

/// Fails without the comparison of `event.sequence` in `reports`.
#[test]
fn gaps_and_event_order_stay_visible() {
    use CacheChange::{Evicted, Stored};
    let mut cursors = CacheCursors::default();
    let endpoint = &load(1).endpoint;
    let now = Instant::now();
    assert_eq!(cursors.start_read(now, &load(1)), Some(0));
    assert_eq!(
        cursors.start_read(now, &load(2)),
        None,
        "one reading at a time"
    );
    let kinds = [Stored, Stored, Evicted, Stored, Stored, Evicted];
    let numbers = [1, 2, 3, 4, 7, 8];
    let events = numbers.into_iter().zip(kinds);
    let events = events.map(|(number, kind)| event(number, kind)).collect();
    let reports = cursors.finish_read(now, endpoint, 0, page(8, events));
    assert_eq!(spans(&reports), [(1, 3, 2, 1), (4, 4, 1, 0), (7, 8, 1, 1)]);
    assert_eq!(
        cursors.start_read(now, &load(3)),
        None,
        "the byte rate delays the next read"
    );
    let later = now + MAX_CACHE_PERIOD;
    assert_eq!(cursors.start_read(later, &load(3)), Some(8));
    assert!(cursors.finish_read(later, endpoint, 8, None).is_empty());
    assert_eq!(
        cursors.start_read(later, &load(4)),
        Some(8),
        "nothing is skipped"
    );
}

/// Fails without the comparison of `report.sequence` in `CacheCursors::start_read`, or that of
/// `page.newest` in `CacheCursors::finish_read`.
#[test]
fn a_restarted_engine_is_read_from_its_first_event() {
    let mut cursors = CacheCursors::default();
    let endpoint = &load(1).endpoint;
    let now = Instant::now();
    let stored = |number| vec![event(number, CacheChange::Stored)];
    assert_eq!(cursors.start_read(now, &load(50)), Some(0));
    cursors.finish_read(now, endpoint, 0, page(40, stored(40)));
    assert_eq!(
        cursors.start_read(now, &load(2)),
        Some(0),
        "report numbering restarted"
    );
    cursors.finish_read(now, endpoint, 0, page(30, stored(30)));
    let later = now + MAX_CACHE_PERIOD;
    assert_eq!(cursors.start_read(later, &load(3)), Some(30));
    cursors.finish_read(later, endpoint, 30, page(4, Vec::new()));
    let last = later + MAX_CACHE_PERIOD;
    assert_eq!(
        cursors.start_read(last, &load(4)),
        Some(0),
        "event numbering restarted"
    );
    assert!(cursors.start_read(last, &load(1)).is_some());
    cursors.remove(endpoint);
    let reports = cursors.finish_read(last, endpoint, 0, page(9, stored(9)));
    assert!(reports.is_empty(), "the page is from the previous run");
}

/// Runs a prompt on the engine and returns its block hashes.
async fn run(client: &HttpEndpointClient, engine: &EngineStandIn, number: u32) -> Vec<BlockHash> {
    let prompt = format!("{number}").repeat(PROMPT_BYTES);
    let body = serde_json::json!({
        "model": "m", "prompt": &prompt[..PROMPT_BYTES], "max_tokens": 1
    });
    let request = sample::request(Dialect::Completion, &body.to_string());
    let call = EndpointCall {
        attempt: attempt(number),
        ..sample::call(engine.address(), request)
    };
    let (tx, mut rx) = mpsc::channel(100);
    client.run(call, tx).await;
    while rx.recv().await.is_some() {}
    let text = prompt_text(Dialect::Completion, &body);
    prefix_blocks("m", text.as_bytes())
}

/// Polls the engine until a wanted event arrives; returns all wanted events of its group.
async fn poll(
    pool: &TrafficPool,
    inbox: &Inbox,
    engine: &EngineStandIn,
    is_wanted: fn(&Event) -> bool,
) -> Vec<Event> {
    let started = Instant::now();
    let mut wanted = Vec::new();
    while wanted.is_empty() {
        assert!(started.elapsed() < TIMEOUT, "no wanted event arrived");
        pool.any().do_send(Poll {
            endpoint: "e".parse().unwrap(),
            address: engine.address(),
        });
        // All events until the inbox stays empty belong to one group.
        while let Ok(inputs) = tokio::time::timeout(QUIET_PERIOD, inbox.take()).await {
            let events = inputs.into_iter().filter_map(|input| match input {
                Input::Event(event) => Some(event),
                _ => None,
            });
            wanted.extend(events.filter(is_wanted));
        }
    }
    wanted
}

async fn poll_cache(pool: &TrafficPool, inbox: &Inbox, engine: &EngineStandIn) -> Vec<CacheReport> {
    let events = poll(pool, inbox, engine, |event| {
        matches!(event, Event::Cache(_))
    })
    .await;
    let reports = events.into_iter().filter_map(|event| match event {
        Event::Cache(report) => Some(report),
        _ => None,
    });
    reports.collect()
}

/// Fails without `read_cache` in the handler of `Poll`.
#[actix_rt::test]
async fn polls_bring_the_events_of_an_engine() {
    let spec = EngineSpec {
        cache_blocks: PROMPT_BYTES / 256,
        lost_cache_event: 4,
        ..EngineSpec::new("e".parse().unwrap())
    };
    let engine = EngineStandIn::start(spec).unwrap();
    let client = HttpEndpointClient::new(TIMEOUT, TIMEOUT, |_| {});
    let arbiter = Arbiter::new();
    let inbox = Inbox::default();
    let pool = TrafficPool::start(std::slice::from_ref(&arbiter), &inbox);
    let first = run(&client, &engine, 1).await;
    let reports = poll_cache(&pool, &inbox, &engine).await;
    assert_eq!(spans(&reports), [(1, 1, 8, 0)]);
    assert_eq!(reports[0].stored, first);
    // The engine stored 2 and evicted 1. The event for storing 3 is lost, the one for
    // evicting 2 is not.
    let second = run(&client, &engine, 2).await;
    run(&client, &engine, 3).await;
    let reports = poll_cache(&pool, &inbox, &engine).await;
    assert_eq!(spans(&reports), [(2, 3, 8, 8), (5, 5, 0, 8)]);
    assert_eq!(reports[0].stored, second);
    assert_eq!(
        sorted(&reports[0].evicted),
        sorted(&first),
        "the first prompt's blocks"
    );
    engine.crash();
    let is_refused = |event: &Event| {
        let refused = PollOutcome::Refused;
        matches!(event, Event::Polled { outcome, .. } if *outcome == refused)
    };
    poll(&pool, &inbox, &engine, is_refused).await;
    engine.restart().unwrap();
    let again = run(&client, &engine, 4).await;
    let reports = poll_cache(&pool, &inbox, &engine).await;
    assert_eq!(spans(&reports), [(1, 1, 8, 0)], "event numbering restarted");
    assert_eq!(reports[0].stored, again);
    engine.close();
    arbiter.stop();
}

fn sorted(blocks: &[BlockHash]) -> Vec<BlockHash> {
    let mut sorted = blocks.to_vec();
    sorted.sort_unstable();
    sorted
}
