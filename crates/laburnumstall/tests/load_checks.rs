//! Load is carried through cut connections, and broken promises are seen.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures_util::{StreamExt, stream};
use laburnumstall::load::{
    AnswerCheck, AnswerVerdict, CallerKey, LoadPlan, MixPart, ReceivedAnswer, SentRequest,
    Workload, drive,
};
use laburnumstall::{Shell, run};
use laburnumstall_config::parse;
use laburnumstall_core::error::{ErrorBody, ErrorKind, Refusal};
use laburnumstall_core::request::Dialect;
use laburnumstall_core::units::RequestRate;

const CARONI: &str = include_str!("../../../examples/caroni.toml");
const CHUNKS: usize = 6;

/// How an entry treats the requests that it is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Answers.
    Answer,
    /// Cuts each stream after two chunks, and each attached one after one more.
    Cut,
    /// Refuses as not run.
    Refuse,
    /// Answers with the text of another request.
    Foreign,
    /// Cuts each stream, and knows nothing of it afterwards.
    Forget,
    /// Cuts each stream, and knows of it from the second time that it is asked.
    Late,
    /// Sends the second chunk twice.
    Repeat,
    /// Goes silent after two chunks and keeps the connection open.
    Silent,
}

/// How a stream ends after its chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Cut,
    Silence,
}

/// An entry that answers each request with chunks that follow from its body.
#[derive(Clone)]
struct FakeEntry {
    manner: Manner,
    bodies: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    asked: Arc<Mutex<BTreeSet<String>>>,
}

fn chunks_of(body: &[u8]) -> Vec<String> {
    let digest = laburnumstall_core::hash::digest64(&[body]);
    (0..CHUNKS)
        .map(|index| format!(" {digest:x}.{index}"))
        .collect()
}

fn events(chunks: &[String], from: usize, to: usize, ending: Ending) -> HttpResponse {
    let chunk = |index: usize| {
        let data = serde_json::json!({"choices": [{"delta": {"content": chunks[index]}}]});
        format!(
            ": heartbeat\n\nid: {}-0000beef\ndata: {data}\n\n",
            index + 1
        )
    };
    let mut text: String = (from..to.min(CHUNKS)).map(chunk).collect();
    if to >= CHUNKS {
        text.push_str("data: [DONE]\n\n");
    }
    // A piece boundary in the middle of an event must not matter.
    let (head, tail) = text.split_at(text.len() / 2);
    let pieces = [head, tail].map(|piece| Ok(web::Bytes::from(piece.to_owned())));
    let end = async move {
        // What was written before is sent while the end waits.
        tokio::task::yield_now().await;
        match ending {
            Ending::Close => None,
            Ending::Cut => Some(Err(std::io::Error::other("cut"))),
            Ending::Silence => std::future::pending().await,
        }
    };
    let end = stream::once(end).filter_map(std::future::ready);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(stream::iter(pieces).chain(end)))
}

async fn chat(entry: web::Data<FakeEntry>, body: web::Bytes) -> HttpResponse {
    let id = format!("r-{:x}", laburnumstall_core::hash::digest64(&[&body]));
    entry
        .bodies
        .lock()
        .expect("lock")
        .insert(id.clone(), body.to_vec());
    let chunks = chunks_of(&body);
    let mut response = match entry.manner {
        Manner::Answer => events(&chunks, 0, CHUNKS, Ending::Close),
        Manner::Cut | Manner::Forget | Manner::Late => events(&chunks, 0, 2, Ending::Cut),
        Manner::Silent => events(&chunks, 0, 2, Ending::Silence),
        Manner::Foreign => events(&chunks_of(b"another"), 0, CHUNKS, Ending::Close),
        Manner::Repeat => {
            let mut repeated = chunks.clone();
            repeated[2] = repeated[1].clone();
            events(&repeated, 0, CHUNKS, Ending::Close)
        }
        Manner::Refuse => {
            let refusal = Refusal::new(ErrorKind::LimitReached, "test");
            return HttpResponse::TooManyRequests().json(ErrorBody::from(&refusal));
        }
    };
    let id = id.parse().expect("header");
    response
        .headers_mut()
        .insert("x-request-id".parse().expect("name"), id);
    response
}

async fn attach(
    entry: web::Data<FakeEntry>,
    req: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    let body = entry.bodies.lock().expect("lock").get(id.as_str()).cloned();
    let is_first = entry.asked.lock().expect("lock").insert(id.to_string());
    let is_unknown = match entry.manner {
        Manner::Forget => true,
        Manner::Late => is_first,
        _ => false,
    };
    let Some(body) = body.filter(|_| !is_unknown) else {
        let refusal = Refusal::new(ErrorKind::UnknownRequest, "test");
        return HttpResponse::NotFound().json(ErrorBody::from(&refusal));
    };
    let last = req
        .headers()
        .get("last-event-id")
        .and_then(|id| id.to_str().ok());
    let seen = last
        .and_then(|id| id.split_once('-')?.0.parse().ok())
        .unwrap_or(0);
    let chunks = chunks_of(&body);
    match entry.manner {
        Manner::Silent => events(&chunks, seen, CHUNKS, Ending::Close),
        _ if seen + 1 < CHUNKS => events(&chunks, seen, seen + 1, Ending::Cut),
        _ => events(&chunks, seen, CHUNKS, Ending::Close),
    }
}

async fn plain(req: HttpRequest, body: String) -> String {
    format!("ran {} {body}", req.path())
}

impl FakeEntry {
    fn start(manner: Manner) -> SocketAddr {
        let entry = Self {
            manner,
            bodies: Arc::default(),
            asked: Arc::default(),
        };
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        let directory = serde_json::json!({
            "entries": [{"address": address, "zone": "north-a"}],
            "max_age_seconds": 1,
            "revision": 1,
        });
        let factory = move || {
            let directory = directory.clone();
            App::new()
                .app_data(web::Data::new(entry.clone()))
                .route(
                    "/v1/entries",
                    web::get().to(move || {
                        let directory = directory.clone();
                        async move { web::Json(directory) }
                    }),
                )
                .route("/v1/chat/completions", web::post().to(chat))
                .route("/v1/requests/{id}", web::get().to(attach))
                .default_service(web::to(plain))
        };
        let server = HttpServer::new(factory)
            .workers(1)
            .listen(listener)
            .expect("listen");
        actix_rt::spawn(server.run());
        address
    }
}

/// Knows how the fake entry answers.
struct FakeCheck;

impl AnswerCheck for FakeCheck {
    fn check(&self, sent: &SentRequest, answer: &ReceivedAnswer) -> AnswerVerdict {
        if sent.part.dialect == Dialect::Plain {
            return match answer.text.contains(&sent.nonce) {
                true => AnswerVerdict::Own,
                false => AnswerVerdict::Foreign,
            };
        }
        let own = chunks_of(&sent.body);
        if answer.text == own.concat() {
            return AnswerVerdict::Own;
        }
        match answer.text.contains(own[0].as_str()) {
            true => AnswerVerdict::Damaged,
            false => AnswerVerdict::Foreign,
        }
    }
}

fn plan(entry: SocketAddr) -> LoadPlan {
    let system = parse(CARONI).expect("the example is valid");
    let mut mix = MixPart::of_system(&system);
    for part in &mut mix {
        part.deadline = Duration::from_millis(200);
    }
    LoadPlan {
        entries: vec![entry],
        callers: vec![CallerKey {
            customer: "belmont-chambers".parse().expect("name"),
            key: "demo-key-belmont-chambers".into(),
        }],
        mix,
        rate: RequestRate(200),
        duration: Duration::from_millis(300),
        concurrency: 16,
        seed: 7,
        silence: Duration::from_secs(10),
        grace: Duration::from_secs(20),
    }
}

async fn drive_at(manner: Manner) -> laburnumstall::load::LoadReport {
    let plan = plan(FakeEntry::start(manner));
    let report = drive(&plan, FakeCheck, |_| {}).await;
    assert_eq!(report.sent, Workload::new(&plan).count() as u64);
    report
}

fn count(of: fn(&SentRequest) -> bool) -> u64 {
    let plan = plan("127.0.0.1:1".parse().expect("address"));
    Workload::new(&plan).filter(of).count() as u64
}

fn is_model(sent: &SentRequest) -> bool {
    sent.part.dialect != Dialect::Plain
}

#[actix_rt::test]
async fn answers_are_whole() {
    let report = drive_at(Manner::Answer).await;
    assert_eq!(report.whole, report.sent);
    assert_eq!(report.first_token.count, count(is_model));
    assert_eq!(
        report.between_tokens.count,
        count(is_model) * (CHUNKS as u64 - 1)
    );
    assert!(report.is_kept());
}

/// Leaving out the `Last-Event-ID` header in `Caller::attach` makes this fail.
#[actix_rt::test]
async fn cut_streams_are_carried_on() {
    let report = drive_at(Manner::Cut).await;
    assert_eq!(report.whole, report.sent, "{report}");
    assert_eq!(report.attached, count(is_model) * (CHUNKS as u64 - 2));
    assert!(report.is_kept());
}

/// Reading a stream without the silence timeout makes this fail.
#[actix_rt::test]
async fn silent_connections_are_replaced() {
    let mut plan = plan(FakeEntry::start(Manner::Silent));
    plan.silence = Duration::from_millis(300);
    let report = drive(&plan, FakeCheck, |_| {}).await;
    assert_eq!(report.whole, report.sent, "{report}");
    assert!(report.attached >= count(is_model));
}

#[actix_rt::test]
async fn refusals_are_no_broken_promise() {
    let report = drive_at(Manner::Refuse).await;
    assert_eq!(report.not_run, count(is_model));
    assert!(report.is_kept());
}

/// Counting any end of a stream as whole makes these fail.
#[actix_rt::test]
async fn broken_promises_are_seen() {
    let foreign = drive_at(Manner::Foreign).await;
    assert_eq!(foreign.foreign, count(is_model));
    let damaged = drive_at(Manner::Repeat).await;
    assert_eq!(damaged.damaged, count(is_model));
    assert!(!foreign.is_kept() && !damaged.is_kept());
}

/// Not keeping the request's id in `Caller::connect` makes this fail: it would count as
/// never accepted.
#[actix_rt::test]
async fn forgotten_requests_are_lost() {
    let entry = FakeEntry::start(Manner::Forget);
    let mut plan = plan(entry);
    plan.mix.retain(|part| part.dialect != Dialect::Plain);
    plan.rate = RequestRate(20);
    plan.grace = Duration::from_millis(500);
    let report = drive(&plan, FakeCheck, |_| {}).await;
    assert!(report.sent > 0);
    assert_eq!(report.lost, report.sent);
    assert!(!report.is_kept());
}

/// Taking an unknown request for its end in `Caller::take_error` makes this fail.
#[actix_rt::test]
async fn late_copies_are_waited_for() {
    let report = drive_at(Manner::Late).await;
    assert_eq!(report.whole, report.sent, "{report}");
}

#[test]
fn one_seed_one_workload() {
    let plan = plan("127.0.0.1:1".parse().expect("address"));
    let first: Vec<SentRequest> = Workload::new(&plan).collect();
    let again: Vec<SentRequest> = Workload::new(&plan).collect();
    assert_eq!(first, again);
    let other = LoadPlan { seed: 8, ..plan };
    assert_ne!(first, Workload::new(&other).collect::<Vec<SentRequest>>());
    let mut nonces: Vec<&str> = first.iter().map(|sent| sent.nonce.as_str()).collect();
    nonces.sort_unstable();
    nonces.dedup();
    assert_eq!(nonces.len(), first.len());
}

#[actix_rt::test]
async fn wrong_load_arguments() {
    let file = "../../examples/caroni.toml";
    let cases: [&[&str]; 4] = [
        &["load", file],
        &["load", file, "--entry", "127.0.0.1:1", "--duration", "2h"],
        &[
            "load",
            file,
            "--entry",
            "127.0.0.1:1",
            "--mix",
            "quotations=1",
        ],
        &[
            "load",
            file,
            "--entry",
            "127.0.0.1:1",
            "--caller",
            "belmont-chambers",
        ],
    ];
    let mut shown = Vec::new();
    for words in cases {
        let shell = Shell::buffered();
        let arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
        let exit = run(&arguments, |_| None, &shell).await;
        shown.push(format!(
            "$ {}\nexit {}\n{}",
            words.join(" "),
            exit.code(),
            shell.messages()
        ));
    }
    insta::assert_snapshot!(shown.join("\n"));
}
