//! Broken answers of a plain service, as a caller's connection to the product's own interface shows
//! them.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnumstall_core::ids::Revision;
use laburnumstall_site::{CUSTOMER_KEY, Site, SiteSpec};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait until a service is called at its changed address.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ngood";

/// Answers that are none, for each reported form.
const BROKEN: [&str; 9] = [
    "HTTP/1.1 000 Oh\r\nContent-Length: 4\r\n\r\nevil",
    "HTTP/1.1 600 Oh\r\nContent-Length: 4\r\n\r\nevil",
    "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 4\r\n\r\nevil",
    "HTTP/1.1 200 OK\r\nX-Note : 1\r\nContent-Length: 4\r\n\r\nevil",
    "HTTP/1.1 200 OK\r\nX\u{1}Note: 1\r\nContent-Length: 4\r\n\r\nevil",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-No",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nevil",
    "HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nevil",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\nX Y: 1\r\n\r\n",
];

/// A service whose next answer can be set.
struct RawService {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    next: Option<&'static str>,
    requests: usize,
}

impl RawService {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let served = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&served);
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    /// Sets the answer to the next call; those after it are good.
    fn break_next(&self, answer: &'static str) {
        let mut state = self.state.lock().unwrap();
        *state = State {
            next: Some(answer),
            requests: 0,
        };
    }

    fn requests(&self) -> usize {
        self.state.lock().unwrap().requests
    }
}

/// Answers one call and closes the connection. Probes of the service's health are answered well.
fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|size| size == 1) {
        read.push(byte[0]);
    }
    let answer = match read.starts_with(b"POST") {
        true => {
            let mut state = state.lock().unwrap();
            state.requests += 1;
            state.next.take().unwrap_or(GOOD)
        }
        false => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    };
    // A probe may have ended already.
    let _ = stream.write_all(answer.as_bytes());
}

/// Returns a UUID of version 7.
fn new_key() -> String {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    format!(
        "{:08x}-{:04x}-7000-8000-{call:012x}",
        now >> 16,
        now & 0xffff
    )
}

/// Returns all bytes of the answer to a call, without its date and the name of the request. The header
/// lines are sorted: the server writes them in an order of its own.
fn call(entry: SocketAddr, service: &str) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request = format!(
        "POST /services/{service}/box HTTP/1.1\r\nHost: {entry}\r\nConnection: close\r\n\
         Authorization: Bearer {CUSTOMER_KEY}\r\nIdempotency-Key: {}\r\nContent-Length: 0\r\n\r\n",
        new_key()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let answer = String::from_utf8(answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let (status_line, lines) = head.split_once("\r\n").unwrap();
    let is_varying = |line: &&str| line.starts_with("date: ") || line.starts_with("x-request-id: ");
    let mut lines: Vec<&str> = lines
        .split("\r\n")
        .filter(|line| !is_varying(line))
        .collect();
    lines.sort_unstable();
    format!("{status_line}\r\n{}\r\n\r\n{body}", lines.join("\r\n"))
}

/// Starts a site whose plain services are this one.
async fn start_site(service: &RawService) -> Site {
    let spec = SiteSpec {
        entries: 3,
        engines: 1,
        ..SiteSpec::default()
    };
    let site = Site::start(spec).await.unwrap();
    let address = service.address.to_string();
    let text = site
        .text()
        .replace(&site.orders.address().to_string(), &address);
    let text = text.replace(&site.stock.address().to_string(), &address);
    let applied = site.apply(0, Revision(1), text, "anna").await.unwrap();
    assert_eq!(applied.status, 200);
    site
}

#[actix_rt::test]
async fn broken_answer_is_not_relayed() {
    let service = RawService::start();
    let site = start_site(&service).await;
    let entry = site.addresses()[0];
    let call = |service: &'static str| async move {
        actix_rt::task::spawn_blocking(move || call(entry, service))
            .await
            .unwrap()
    };
    let mut waited = Duration::ZERO;
    while service.requests() == 0 {
        assert!(waited < CHANGE_TIMEOUT, "the service is not called");
        call("orders").await;
        call("stock").await;
        actix_rt::time::sleep(CHANGE_TIMEOUT / 50).await;
        waited += CHANGE_TIMEOUT / 50;
    }
    let good = call("orders").await;
    let expected = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\
        content-type: text/plain\r\n\r\ngood";
    assert_eq!(good, expected);
    for broken in BROKEN {
        service.break_next(broken);
        let received = call("orders").await;
        let (head, body) = received.split_once("\r\n\r\n").unwrap();
        let length = body.len();
        let expected = format!(
            "HTTP/1.1 502 Bad Gateway\r\nconnection: close\r\ncontent-length: {length}\r\n\
             content-type: application/json\r\nx-execution: outcome-unknown"
        );
        assert_eq!(head, expected, "{broken:?}");
        assert!(!body.contains("evil"), "{broken:?}: {body}");
        assert_eq!(service.requests(), 1, "{broken:?}");

        service.break_next(broken);
        assert_eq!(call("stock").await, good, "{broken:?}");
        assert_eq!(service.requests(), 2, "{broken:?}");
    }
    site.close().await;
}
