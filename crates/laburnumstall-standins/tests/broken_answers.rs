//! Answers that break off anywhere, from a server that writes raw bytes: an answer has an
//! end exactly if all of it came, and what was relayed is its beginning.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time::Duration;

use laburnumstall_core::request::{AnswerEvent, Dialect, Request};
use laburnumstall_outside::endpoint::{
    EndpointCall, EndpointClient, EndpointEvent, HttpEndpointClient,
};
use laburnumstall_standins::sample;
use tokio::sync::mpsc;

const CASES: usize = 1_000;
const CHANNEL: usize = 64;

/// Starts a server that answers each connection with the next bytes, then closes it.
fn raw_server() -> (SocketAddr, std_mpsc::Sender<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = std_mpsc::channel::<Vec<u8>>();
    thread::spawn(move || {
        for (bytes, stream) in rx.iter().zip(listener.incoming()) {
            let mut stream = stream.unwrap();
            read_request(&mut stream);
            stream.write_all(&bytes).unwrap();
        }
    });
    (address, tx)
}

/// Reads a request whose body ends with `}`.
fn read_request(stream: &mut TcpStream) {
    let mut read = Vec::new();
    let mut buf = [0; 4_096];
    while !read.ends_with(b"}") {
        let size = stream.read(&mut buf).unwrap();
        read.extend_from_slice(&buf[..size]);
    }
}

/// A whole HTTP answer, the text that it holds, and where its last needed byte ends.
struct Whole {
    bytes: Vec<u8>,
    text: String,
    needed: usize,
}

fn stream_answer(rng: &mut fastrand::Rng) -> Whole {
    let mut text = String::new();
    let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    let mut put = |event: &str| {
        let size = event.len();
        bytes.extend_from_slice(format!("{size:x}\r\n{event}\r\n").as_bytes());
        bytes.len()
    };
    let tokens = rng.usize(1..6);
    for index in 0..tokens {
        let token = format!(" ä{index}");
        let finish = if index + 1 == tokens {
            "\"stop\""
        } else {
            "null"
        };
        let choice = format!(r#"{{"text":"{token}","finish_reason":{finish}}}"#);
        put(&format!(
            "id: {index}\ndata: {{\"choices\":[{choice}]}}\n\n"
        ));
        text.push_str(&token);
    }
    let after_end_mark = put("data: [DONE]\n\n");
    bytes.extend_from_slice(b"0\r\n\r\n");
    Whole {
        bytes,
        text,
        // The end mark counts as soon as its own bytes are there, without CR and LF.
        needed: after_end_mark - 2,
    }
}

fn plain_answer(rng: &mut fastrand::Rng) -> Whole {
    let text = "ö".repeat(rng.usize(1..200));
    let length = text.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";
    let bytes = format!("{head}content-length: {length}\r\n\r\n{text}").into_bytes();
    let needed = bytes.len();
    Whole {
        bytes,
        text,
        needed,
    }
}

fn call(address: SocketAddr, dialect: Dialect) -> EndpointCall {
    let request = Request {
        // A new connection for each call, since the server closes each after its answer.
        idempotent: false,
        ..sample::request(dialect, r#"{"prompt":"p"}"#)
    };
    sample::call(address, request)
}

/// Returns the text relayed, and whether an end or a failure came last.
async fn run(client: &HttpEndpointClient, call: EndpointCall) -> (String, bool) {
    let (tx, mut rx) = mpsc::channel(CHANNEL);
    let text = Mutex::new(String::new());
    let read = async {
        let mut has_end = None;
        while let Some(event) = rx.recv().await {
            assert_eq!(has_end, None, "an event after the last one");
            match event {
                EndpointEvent::Failed(_) => has_end = Some(false),
                EndpointEvent::Answer { event, .. } => match event {
                    AnswerEvent::Chunk { text: piece, .. } => {
                        text.lock().unwrap().push_str(&piece);
                    }
                    AnswerEvent::End { .. } => has_end = Some(true),
                    _ => {}
                },
                EndpointEvent::Sent => {}
            }
        }
        has_end.expect("an end or a failure")
    };
    let ((), has_end) = tokio::join!(client.run(call, tx), read);
    (text.into_inner().unwrap(), has_end)
}

/// Fails when a body that is shorter than its length ends without an error, or
/// when `relay_stream` in `endpoint/relay.rs` takes the end of the body for the end of the answer.
#[actix_rt::test]
async fn only_whole_answers_end() {
    let (address, answers) = raw_server();
    let timeout = Duration::from_secs(5);
    let client = HttpEndpointClient::new(timeout, timeout, |_| {});
    let mut rng = fastrand::Rng::with_seed(11);
    for case in 0..CASES {
        let (dialect, whole) = match rng.bool() {
            true => (Dialect::Completion, stream_answer(&mut rng)),
            false => (Dialect::Plain, plain_answer(&mut rng)),
        };
        let cut = match rng.u8(..4) {
            0 => whole.bytes.len(),
            _ => rng.usize(0..whole.bytes.len()),
        };
        answers.send(whole.bytes[..cut].to_vec()).unwrap();
        let (text, has_end) = run(&client, call(address, dialect)).await;
        assert_eq!(has_end, cut >= whole.needed, "case {case}: {cut} bytes");
        assert!(whole.text.starts_with(&text), "case {case}: {text}");
        assert!(!has_end || text == whole.text, "case {case}: {text}");
    }
}

/// Random bytes in place of an answer give a failure and nothing else.
#[actix_rt::test]
async fn noise_is_no_answer() {
    let (address, answers) = raw_server();
    let timeout = Duration::from_secs(5);
    let client = HttpEndpointClient::new(timeout, timeout, |_| {});
    let mut rng = fastrand::Rng::with_seed(12);
    for case in 0..CASES {
        let head: &[u8] = match rng.u8(..4) {
            0 => b"",
            1 => b"HTTP/1.1 200 OK\r\n",
            2 => b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
            _ => b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        };
        let size = rng.usize(0..300);
        let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(size).collect();
        answers.send([head, &noise].concat()).unwrap();
        let (_, has_end) = run(&client, call(address, Dialect::Completion)).await;
        assert!(!has_end, "case {case}");
    }
}
