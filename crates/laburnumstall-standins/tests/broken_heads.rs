//! Answers that are none by RFC 9110 and RFC 9112, from servers that write raw bytes: the clients of
//! endpoints, of the key-value service and of the cloud read no answer in them.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use laburnumstall_core::request::{AnswerEvent, Dialect, Request};
use laburnumstall_core::store::{StoreCall, StoreFailure, StoreReply};
use laburnumstall_outside::endpoint::{
    AttemptFailure, EndpointCall, EndpointClient, EndpointEvent, HttpEndpointClient,
};
use laburnumstall_outside::http::HttpSettings;
use laburnumstall_outside::key_value::{HttpKeyValue, KeyValue};
use laburnumstall_standins::sample;
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Heads that are no head of a response, whatever follows.
const BROKEN_HEADS: [&str; 17] = [
    "HTTP/1.1 000 Oh\r\n",
    "HTTP/1.1 099 Oh\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n",
    "HTTP/1.1 600 Oh\r\n",
    "HTTP/1.1 999 Oh\r\n",
    "HTTP/1.1 20 OK\r\n",
    "HTTP/1.1 200 OK\r\nX Note: 1\r\n",
    "HTTP/1.1 200 OK\r\nX-Note : 1\r\n",
    "HTTP/1.1 200 OK\r\nX-Note\t: 1\r\n",
    "HTTP/1.1 200 OK\r\n X-Note: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\0Note: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\u{1}Note: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\u{7f}Note: 1\r\n",
    "HTTP/1.1 200 OK\r\n: 1\r\n",
    "HTTP/1.1 200 OK\r\nX-Note\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX-Drop-Length: ",
];

/// Reply of the key-value service for a key that is absent.
const ABSENT: &str = r#"{"reply":"value","stored":null}"#;

/// How a server leaves its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    Open,
}

/// Starts a server that sends the same bytes on each connection once it has read a request.
fn server(answer: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            thread::spawn(move || serve(stream, &answer, end));
        }
    });
    address
}

fn serve(mut stream: TcpStream, answer: &str, end: End) {
    let mut byte = [0];
    // A reset needs a byte that was not read.
    let last = if end == End::Reset { b'{' } else { b'}' };
    while stream.read(&mut byte).is_ok_and(|size| size == 1) && byte[0] != last {}
    // The client may have gone.
    let _ = stream.write_all(answer.as_bytes());
    if end == End::Open {
        thread::sleep(TIMEOUT * 2);
    }
    if end == End::Reset {
        thread::sleep(TIMEOUT / 40);
    }
}

/// Returns the events of a call.
async fn run(address: SocketAddr, dialect: Dialect) -> Vec<EndpointEvent> {
    let client = HttpEndpointClient::new(TIMEOUT, TIMEOUT, |_| {});
    let request = Request {
        idempotent: false,
        ..sample::request(dialect, r#"{"prompt":"p"}"#)
    };
    let (tx, mut rx) = mpsc::channel(64);
    let call = EndpointCall {
        remaining: TIMEOUT,
        ..sample::call(address, request)
    };
    client.run(call, tx).await;
    let mut events = Vec::new();
    while let Some(event) = rx.recv().await {
        events.push(event);
    }
    events
}

async fn read_key(address: SocketAddr) -> Result<StoreReply, StoreFailure> {
    let settings = HttpSettings {
        timeout: TIMEOUT,
        ..HttpSettings::new(address)
    };
    let key = "daemons/a".parse().unwrap();
    HttpKeyValue::new(settings)
        .call(StoreCall::Get { key })
        .await
}

fn plain(head: &str, body: &str) -> String {
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn text(events: &[EndpointEvent]) -> String {
    let pieces = events.iter().filter_map(|event| match event {
        EndpointEvent::Answer {
            event: AnswerEvent::Chunk { text, .. },
            ..
        } => Some(text.as_str()),
        _ => None,
    });
    pieces.collect()
}

fn has_end(events: &[EndpointEvent]) -> bool {
    let is_end = |event: &EndpointEvent| {
        matches!(
            event,
            EndpointEvent::Answer {
                event: AnswerEvent::End { .. },
                ..
            }
        )
    };
    events.iter().any(is_end)
}

/// The request may have run: no status says that it did not.
fn assert_unclear(events: &[EndpointEvent], context: &str) {
    assert_eq!(events[0], EndpointEvent::Sent, "{context}");
    let is_unclear = matches!(
        events,
        [
            _,
            EndpointEvent::Failed(
                AttemptFailure::Reset { .. }
                    | AttemptFailure::Protocol { .. }
                    | AttemptFailure::TimedOut
            )
        ]
    );
    assert!(is_unclear, "{context}: {events:?}");
}

/// A status above 599, blanks before a colon and two lengths passed as answers.
#[actix_rt::test]
async fn broken_heads_are_no_answers() {
    for head in BROKEN_HEADS {
        for end in [End::Close, End::Reset, End::Open] {
            let answer = plain(head, ABSENT);
            let context = format!("{answer:?} {end:?}");
            let address = server(answer, end);
            for dialect in [Dialect::Plain, Dialect::Completion] {
                assert_unclear(&run(address, dialect).await, &context);
            }
            assert!(read_key(address).await.is_err(), "{context}");
        }
    }
}

#[actix_rt::test]
async fn heads_that_are_cut_off_are_no_answers() {
    let answer = plain("HTTP/1.1 200 OK\r\nX-Note: 1\r\n", "");
    for cut in (1..answer.len()).step_by(3).chain([answer.len() - 1]) {
        for end in [End::Close, End::Reset] {
            let context = format!("{:?} {end:?}", &answer[..cut]);
            let address = server(answer[..cut].to_owned(), end);
            for dialect in [Dialect::Plain, Dialect::Completion] {
                assert_unclear(&run(address, dialect).await, &context);
            }
            assert!(read_key(address).await.is_err(), "{context}");
        }
    }
}

/// The body of a refusal belongs to it: one that breaks off says nothing of the request.
#[actix_rt::test]
async fn refusals_that_are_cut_off_are_no_answers() {
    for body in [
        "Content-Length: 9\r\n\r\nfull",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nX Note: 1\r\n\r\n",
    ] {
        let answer = format!("HTTP/1.1 503 Full\r\n{body}");
        let address = server(answer.clone(), End::Close);
        assert_unclear(&run(address, Dialect::Completion).await, &answer);
        let plain = run(address, Dialect::Plain).await;
        assert!(!has_end(&plain), "{answer:?}: {plain:?}");
    }
}

/// What the protocol allows: the end of the connection as the end of a body, chunks, interim
/// responses, any reason phrase and unknown header lines.
#[actix_rt::test]
async fn unusual_answers_are_read() {
    let body = r#""ok""#;
    for (answer, end) in [
        (format!("HTTP/1.1 200 OK\r\n\r\n{body}"), End::Close),
        (format!("HTTP/1.0 200 OK\r\n\r\n{body}"), End::Close),
        (
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{body}\r\n0\r\nX: 1\r\n\r\n"
            ),
            End::Open,
        ),
        (plain("HTTP/1.1 200\r\n", body), End::Open),
        (
            plain(
                "HTTP/1.1 200 \u{e4}\t(0)\r\n!#$%&'*+-.^_`|~: \u{e4}\r\nX:\r\n",
                body,
            ),
            End::Open,
        ),
        (
            plain("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", body),
            End::Open,
        ),
        (
            plain(
                "HTTP/1.1 103 Hints\r\nX: 1\r\n\r\nHTTP/1.1 299 Oh\r\n",
                body,
            ),
            End::Open,
        ),
    ] {
        let address = server(answer.clone(), end);
        let events = run(address, Dialect::Plain).await;
        assert!(has_end(&events), "{answer:?}: {events:?}");
        assert_eq!(text(&events), body, "{answer:?}");
    }
    let address = server(plain("HTTP/1.1 200 OK\r\n", ABSENT), End::Open);
    assert_eq!(read_key(address).await, Ok(StoreReply::Value(None)));
}

/// Starts a service that answers each call at once with a part of an answer without a length, and
/// closes the connection with the upload unread, which resets it.
fn early_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut buf = [0; 1_024];
            assert!(stream.read(&mut buf).unwrap() > 0);
            // The client may have gone.
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\na part");
        }
    });
    address
}

/// A reset beside an upload does not end an answer, whoever used up the error of the socket.
#[actix_rt::test]
async fn early_answer_that_is_reset_has_no_end() {
    const CALLS: usize = 100;
    let address = early_server();
    let client = HttpEndpointClient::new(TIMEOUT, TIMEOUT, |_| {});
    let body = "x".repeat(4 << 20);
    let mut ends = 0;
    for _ in 0..CALLS {
        let request = Request {
            idempotent: false,
            ..sample::request(Dialect::Plain, &body)
        };
        let (tx, mut rx) = mpsc::channel(64);
        client.run(sample::call(address, request), tx).await;
        let mut events = Vec::new();
        while let Some(event) = rx.recv().await {
            events.push(event);
        }
        assert_eq!(events[0], EndpointEvent::Sent);
        ends += usize::from(has_end(&events));
    }
    assert_eq!(ends, 0, "of {CALLS}");
}
