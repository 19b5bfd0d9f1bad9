//! Commands that call daemons: conflicts, lost replies, outages and unreachable addresses.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};

use actix_web::http::StatusCode;
use actix_web::http::header::AUTHORIZATION;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use laburnumstall::{Shell, run};
use laburnumstall_config::admin::*;
use laburnumstall_config::{canonical, diff, digest, parse};
use laburnumstall_core::ids::Revision;
use laburnumstall_core::units::{HourlyPrice, Timestamp};
use serde::Serialize;
use tokio::net::TcpSocket;

const TEXT: &str = "tests/texts/changed.toml";
const KEY: &str = "operator-key";

/// A daemon that gives one answer to each path and remembers what it was asked.
#[derive(Clone, Default)]
struct FakeDaemon {
    answers: Vec<(&'static str, StatusCode, String)>,
    applied: Arc<Mutex<Vec<ApplyRequest>>>,
}

impl FakeDaemon {
    fn answering(mut self, path: &'static str, status: u16, body: &impl Serialize) -> Self {
        let status = StatusCode::from_u16(status).expect("status");
        let body = serde_json::to_string(body).expect("plain data");
        self.answers.push((path, status, body));
        self
    }

    fn start(&self) -> SocketAddr {
        let daemon = self.clone();
        let factory = move || {
            App::new()
                .app_data(web::Data::new(daemon.clone()))
                .default_service(web::to(answer))
        };
        let server = HttpServer::new(factory)
            .workers(1)
            .bind(("127.0.0.1", 0))
            .expect("bind");
        let address = server.addrs()[0];
        actix_rt::spawn(server.run());
        address
    }
}

async fn answer(daemon: web::Data<FakeDaemon>, req: HttpRequest, body: web::Bytes) -> HttpResponse {
    let key = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    if key != Some("Bearer operator-key") {
        return HttpResponse::Unauthorized().finish();
    }
    if let Ok(request) = serde_json::from_slice::<ApplyRequest>(&body) {
        daemon.applied.lock().expect("lock").push(request);
    }
    let known = daemon.answers.iter().find(|(path, ..)| *path == req.path());
    match known {
        Some((_, status, body)) => HttpResponse::build(*status).body(body.clone()),
        None => HttpResponse::NotFound().body("{\"message\":\"there is none yet\"}"),
    }
}

/// Accepts calls and closes their connections: the reply is lost. Hands on the bodies.
fn start_silent() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind");
    let address = listener.local_addr().expect("address");
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().take(1).flatten() {
            let mut call = String::new();
            let mut buf = [0; 4096];
            while !call.ends_with('}') {
                let read = stream.read(&mut buf).expect("read");
                call.push_str(&String::from_utf8_lossy(&buf[..read]));
            }
            let (_, body) = call.split_once("\r\n\r\n").expect("body");
            let _ = tx.send(body.to_owned());
        }
    });
    (address, rx)
}

/// Returns an address at which nothing listens, for as long as the socket is kept.
fn start_refusing() -> (SocketAddr, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("bind");
    (socket.local_addr().expect("address"), socket)
}

async fn show(words: &[&str], addresses: &[SocketAddr]) -> String {
    let shell = Shell::buffered();
    let arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let environment = |name: &str| match name {
        "LABURNUMSTALL_ADMIN" => Some(list.join(",")),
        "LABURNUMSTALL_OPERATOR_KEY" => Some(KEY.to_owned()),
        "LABURNUMSTALL_OPERATOR" => Some("anna".to_owned()),
        _ => None,
    };
    let exit = run(&arguments, environment, &shell).await;
    let (results, messages) = (shell.results(), shell.messages());
    let mut shown = format!(
        "exit {}\n--- stdout\n{results}--- stderr\n{messages}",
        exit.code()
    );
    for (index, address) in list.iter().enumerate() {
        shown = shown.replace(address, &format!("ADDRESS-{index}"));
    }
    shown
}

fn stored(file: &str) -> StoredConfiguration {
    let text = std::fs::read_to_string(file).expect("text");
    let system = parse(&text).expect("valid");
    StoredConfiguration {
        revision: Revision(12),
        digest: digest(&system),
        text: canonical(&system),
        operator: "bo".parse().expect("name"),
        at: Timestamp(1_790_000_000_000_000),
        reason: "first system\nof the year".into(),
    }
}

fn accepted(missing: &[&str]) -> Applied {
    let daemons = |names: &[&str]| names.iter().map(|name| name.parse().expect("id")).collect();
    Applied {
        revision: Revision(13),
        confirmed: daemons(&["entry-a@1", "entry-b@4"]),
        missing: daemons(missing),
    }
}

#[actix_rt::test]
async fn apply_in_force() {
    let daemon = FakeDaemon::default().answering(CONFIGURATION_PATH, 200, &accepted(&[]));
    let words = ["apply", TEXT, "--base", "12", "--reason", "faster"];
    insta::assert_snapshot!(show(&words, &[daemon.start()]).await);
    let applied = daemon.applied.lock().expect("lock");
    assert_eq!(applied[0].base, Revision(12));
    assert_eq!(applied[0].operator.as_str(), "anna");
}

/// Returning before `ensure!` of `missing` in `apply::run` makes this fail.
#[actix_rt::test]
async fn apply_names_who_did_not_confirm() {
    let daemon =
        FakeDaemon::default().answering(CONFIGURATION_PATH, 200, &accepted(&["entry-c@2"]));
    let words = ["apply", TEXT, "--base", "12"];
    insta::assert_snapshot!(show(&words, &[daemon.start()]).await);
}

/// Treating `StatusCode::CONFLICT` like any other status makes this fail.
#[actix_rt::test]
async fn apply_shows_the_loser_the_changes() {
    let old = parse(&stored("tests/texts/base.toml").text).expect("valid");
    let new = parse(&stored(TEXT).text).expect("valid");
    let conflict = ApplyConflict {
        current: Revision(14),
        changes: diff(&old, &new),
    };
    let daemon = FakeDaemon::default().answering(CONFIGURATION_PATH, 409, &conflict);
    let address = [daemon.start()];
    let words = ["apply", TEXT, "--base", "12"];
    insta::assert_snapshot!(show(&words, &address).await);
    insta::assert_snapshot!(show(&["apply", TEXT, "--base", "12", "--json"], &address).await);
}

/// Making the nonce anew for each address makes this fail.
#[actix_rt::test]
async fn apply_repeats_with_one_nonce() {
    let first = FakeDaemon::default().answering(CONFIGURATION_PATH, 200, &accepted(&[]));
    let words = ["apply", TEXT, "--base", "12"];
    let (silent, seen) = start_silent();
    let (refusing, _socket) = start_refusing();
    let addresses = [refusing, silent, first.start()];
    insta::assert_snapshot!(show(&words, &addresses).await);
    let applied = first.applied.lock().expect("lock");
    assert_eq!(applied.len(), 1);
    let lost: ApplyRequest = serde_json::from_str(&seen.recv().expect("a call")).expect("JSON");
    assert_eq!(lost.nonce, applied[0].nonce);
}

#[test]
fn other_servers_get_no_refusing_address() {
    let (address, _socket) = start_refusing();
    assert!(TcpListener::bind(address).is_err());
    assert!(TcpStream::connect(address).is_err());
}

/// Setting `was_sent` to false in `SendFailure::before_answer` makes this fail.
#[actix_rt::test]
async fn apply_may_have_acted_when_the_reply_is_lost() {
    let words = ["apply", TEXT, "--base", "12"];
    let (refusing, _socket) = start_refusing();
    let shown = show(&words, &[refusing, start_silent().0]).await;
    assert!(shown.starts_with("exit 4"), "{shown}");
    assert!(shown.contains("it may have taken effect"), "{shown}");
    let (other, _socket) = start_refusing();
    let shown = show(&words, &[refusing, other]).await;
    assert!(shown.contains("nothing changed"), "{shown}");
}

#[actix_rt::test]
async fn apply_without_store() {
    let mut answer = ApplyUnavailable {
        known: Revision(12),
        may_be_accepted: true,
        message: "the key-value service did not answer within 5s".into(),
    };
    let unknown = FakeDaemon::default().answering(CONFIGURATION_PATH, 503, &answer);
    let words = ["apply", TEXT, "--base", "12"];
    insta::assert_snapshot!(show(&words, &[unknown.start()]).await);
    answer.may_be_accepted = false;
    let refused = FakeDaemon::default().answering(CONFIGURATION_PATH, 503, &answer);
    insta::assert_snapshot!(show(&words, &[refused.start()]).await);
}

/// Ignoring the revision line in `base_of` makes this fail.
#[actix_rt::test]
async fn apply_takes_base_from_shown_text() {
    let daemon = FakeDaemon::default().answering(CONFIGURATION_PATH, 200, &stored(TEXT));
    let shown = show(&["show"], &[daemon.start()]).await;
    insta::assert_snapshot!(shown);
    let (_, rest) = shown.split_once("--- stdout\n").expect("stdout");
    let (text, _) = rest.split_once("--- stderr").expect("stderr");
    let file = std::env::temp_dir().join(format!("laburnumstall-base-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("write");
    let daemon = FakeDaemon::default().answering(CONFIGURATION_PATH, 200, &accepted(&[]));
    show(&["apply", &file.to_string_lossy()], &[daemon.start()]).await;
    std::fs::remove_file(&file).expect("remove");
    assert_eq!(daemon.applied.lock().expect("lock")[0].base, Revision(12));
}

#[actix_rt::test]
async fn first_apply_of_all() {
    let daemon = FakeDaemon::default();
    insta::assert_snapshot!(show(&["show"], &[daemon.start()]).await);
    show(&["apply", TEXT], &[daemon.start()]).await;
    assert_eq!(daemon.applied.lock().expect("lock")[0].base, Revision(0));
}

#[actix_rt::test]
async fn diff_against_live() {
    let daemon =
        FakeDaemon::default().answering(CONFIGURATION_PATH, 200, &stored("tests/texts/base.toml"));
    insta::assert_snapshot!(show(&["diff", TEXT], &[daemon.start()]).await);
}

#[actix_rt::test]
async fn history_and_drain() {
    let old = parse(&stored("tests/texts/base.toml").text).expect("valid");
    let new = parse(&stored(TEXT).text).expect("valid");
    let entry = |revision: u64, reason: &str, changes| HistoryEntry {
        revision: Revision(revision),
        digest: digest(&new),
        operator: "bo".parse().expect("name"),
        at: Timestamp(1_790_000_000_000_000),
        reason: reason.into(),
        changes,
    };
    let entries = vec![
        entry(1, "first system", Vec::new()),
        entry(2, "", diff(&old, &new)),
    ];
    let daemon = FakeDaemon::default()
        .answering(HISTORY_PATH, 200, &entries)
        .answering(DRAIN_PATH, 202, &());
    let address = [daemon.start()];
    insta::assert_snapshot!(show(&["history"], &address).await);
    insta::assert_snapshot!(show(&["drain", "entry-a"], &address).await);
}

#[actix_rt::test]
async fn status_grid() {
    let status = Status {
        daemon: "entry-a@3".parse().expect("id"),
        zone: "north-a".parse().expect("zone"),
        revision: Some(Revision(12)),
        members: vec![MemberStatus {
            id: "entry-b@11".parse().expect("id"),
            zone: "north-b".parse().expect("zone"),
            state: MemberState::Leaving,
            revision: None,
        }],
        endpoints: vec![EndpointStatus {
            id: "engine-7".parse().expect("id"),
            zone: "north-c".parse().expect("zone"),
            state: MemberState::Live,
            running: 14,
            waiting: 2,
        }],
        requests: RequestCounts {
            owned: 14,
            copies: 9,
        },
        store: StoreState::Unreachable,
        placement: Some(PlacementStatus {
            filled: 5,
            open: 1,
            hourly: HourlyPrice(2_340_000),
        }),
    };
    let daemon = FakeDaemon::default().answering(STATUS_PATH, 200, &status);
    let address = [daemon.start()];
    insta::assert_snapshot!(show(&["status"], &address).await);
    insta::assert_snapshot!(show(&["status", "--json"], &address).await);
}

#[actix_rt::test]
async fn nobody_answers() {
    let [first, second] = [start_refusing(), start_refusing()];
    let shown = show(&["status"], &[first.0, second.0]).await;
    insta::assert_snapshot!(shown);
}

#[actix_rt::test]
async fn wrong_key() {
    let daemon = FakeDaemon::default();
    let words = ["status", "--operator-key", "other"];
    insta::assert_snapshot!(show(&words, &[daemon.start()]).await);
}
