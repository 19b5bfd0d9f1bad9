//! A recorded session gives the same decision lines again, byte for byte.

use laburnumstall::{Shell, run};
use laburnumstall_core::ids::VmId;
use laburnumstall_core::session::{Session, SessionRecord};
use laburnumstall_site::{CUSTOMER_KEY, Caller, Site, SiteSpec};

/// A chat, an order, the same order again, and an order without a key.
const CHAT_AND_ORDER: &str = "tests/sessions/chat_and_order.jsonl";

async fn replay(path: &str) -> (u8, String) {
    let shell = Shell::buffered();
    let words = ["--quiet", "replay", path].map(str::to_owned);
    let exit = run(&words, |_| None, &shell).await;
    (exit.code(), shell.results() + &shell.messages())
}

/// Fails if any decision on the way of a request changes.
#[actix_rt::test]
async fn recorded_session() {
    let (code, lines) = replay(CHAT_AND_ORDER).await;
    assert_eq!(code, 0, "{lines}");
    insta::assert_snapshot!(lines);
}

#[actix_rt::test]
async fn wrong_sessions() {
    let (code, message) = replay("tests/texts/two_faults.toml").await;
    assert_eq!(code, 1);
    insta::assert_snapshot!(message);
}

/// Fails if the entry depends on anything but its settings and events, or if an event
/// passes by the recorder (`record_event` in the daemon's control thread).
#[actix_rt::test]
async fn live_session() {
    let spec = SiteSpec {
        recorded_entry: Some(0),
        ..SiteSpec::default()
    };
    let mut site = Site::start(spec).await.expect("the site starts");
    let caller = Caller::new(CUSTOMER_KEY);
    for address in site.addresses() {
        let body = Caller::chat_body("holding period of box 7", 6, true);
        let answer = caller.chat(address, &body).await.expect("an answer");
        assert!(answer.stream_text().1, "{}", answer.body);
    }
    site.kill_entry(0).await;
    let written = lines_of(&site, "entry-0");
    let session = Session::from_records(through_json(site.lines.records())).expect("a start");
    let decisions = session.replay().into_iter();
    let replayed: Vec<String> = decisions.map(|d| format!("daemon=entry-0 {d}")).collect();
    assert!(!written.is_empty());
    assert_eq!(replayed, written);
    site.close().await;
}

fn lines_of(site: &Site, vm: &str) -> Vec<String> {
    let vm: VmId = vm.parse().expect("a VM's name");
    let prefix = format!("daemon={vm} ");
    let lines = site.lines.read().into_iter();
    lines.filter(|line| line.starts_with(&prefix)).collect()
}

/// Writes and reads records, as the files of sessions hold them.
fn through_json(records: Vec<SessionRecord>) -> Vec<SessionRecord> {
    let lines = records
        .iter()
        .map(|record| serde_json::to_string(record).expect("JSON"));
    lines
        .map(|line| serde_json::from_str(&line).expect("a record"))
        .collect()
}
