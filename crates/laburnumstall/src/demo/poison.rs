//! A request that crashes each engine that runs it, sent again and again.

use std::net::SocketAddr;

use compact_str::format_compact;
use laburnumstall_site::{Caller, OTHER_CUSTOMER_KEY, Site};
use laburnumstall_standins::engine::EngineFaults;
use uuid::Builder;

use super::faults::Fault;

/// Text in the body that crashes an engine.
const MARKER: &str = "a page that no engine survives";

/// Times that it is sent with one key.
const WITH_KEY: usize = 4;

/// Times that it is sent without a key.
const WITHOUT_KEY: usize = 8;

/// Most engines that it may cost.
const MAX_ENGINES: u64 = 2;

/// Tokens that it asks for.
const ANSWER: u64 = 8;

/// Sends the request through all entries in turn.
pub(super) async fn send_again(site: &Site) -> Fault {
    let mut fault = Fault::begin();
    for slot in &site.engines {
        slot.engine.set_faults(EngineFaults {
            crash_marker: Some(MARKER.to_owned()),
            ..EngineFaults::default()
        });
    }
    let key = Builder::from_random_bytes(fastrand::u128(..).to_be_bytes());
    let key = key.into_uuid().to_string();
    let entries = site.addresses();
    let mut refusals = 0;
    for (number, entry) in entries
        .iter()
        .cycle()
        .take(WITH_KEY + WITHOUT_KEY)
        .enumerate()
    {
        let key = (number < WITH_KEY).then_some(key.as_str());
        refusals += u64::from(is_refused(*entry, key).await);
    }
    let sent = WITH_KEY + WITHOUT_KEY;
    fault.note(format_compact!(
        "the crashing request was sent {sent} times and refused {refusals} times"
    ));
    let crashes: u64 = site
        .engines
        .iter()
        .map(|slot| slot.engine.counts().crashes)
        .sum();
    if crashes > MAX_ENGINES {
        let seen = format_compact!("{crashes} engines crashed");
        fault.break_promise("one request costs at most 2 engines", seen);
    }
    fault
}

async fn is_refused(entry: SocketAddr, key: Option<&str>) -> bool {
    let caller = Caller::new(OTHER_CUSTOMER_KEY);
    let body = Caller::chat_body(MARKER, ANSWER, false);
    let answer = caller.post(entry, "/v1/chat/completions", key, &body).await;
    answer.is_ok_and(|answer| answer.error().is_some())
}
