//! Clients of event streams, which take them up when their connection breaks.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Case;
use crate::http::Conn;
use crate::platform::{HOST, KEY};

/// Number of events of each stream, and the pause between two.
pub const EVENTS: u32 = 100;
pub const PAUSE: Duration = Duration::from_millis(50);
/// Deadline of a stream.
const DEADLINE: Duration = Duration::from_secs(15);
/// Times that a client takes up a stream.
const RETRIES: usize = 4;

/// One client attempt.
pub struct Attempt {
    pub at: Duration,
    pub front: SocketAddr,
    /// Last event that the client had before.
    pub after: u32,
    /// Whether an event came.
    pub goes_on: bool,
}

/// What a client received of one stream.
#[derive(Default)]
pub struct Stream {
    pub attempts: Vec<Attempt>,
    pub ids: Vec<String>,
    pub versions: Vec<String>,
    pub last: u32,
    pub is_complete: bool,
    /// Whether events are missing, repeated or out of order.
    pub has_gap: bool,
}

/// Reads a stream, and takes it up when its connection breaks.
pub fn read_stream(case: &Case, fronts: &[SocketAddr], client: usize, number: usize) -> Stream {
    let mut stream = Stream::default();
    let until = Instant::now() + DEADLINE;
    let mut first = String::new();
    for attempt in 0..=RETRIES {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let id = format!("c{client}n{number}a{attempt}");
        // Each stream begins at either machine, and goes on at the next one.
        let choice = (client * 31 + number * 17) * 2_654_435_761 >> 16;
        let front = fronts[(choice + attempt) % fronts.len()];
        let mut request = format!(
            "POST /r/{client}/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             Authorization: Bearer {KEY}\r\nX-Deadline-Ms: {}\r\nContent-Length: 0\r\n",
            left.as_millis()
        );
        if stream.last > 0 {
            request += &format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", stream.last);
        }
        request += "\r\n";
        stream.ids.push(id.clone());
        let before = stream.last;
        let at = case.record.now();
        let (text, retry_after) = read_attempt(front, &request, until, &mut stream);
        let goes_on = stream.last > before;
        stream.attempts.push(Attempt {
            at,
            front,
            after: before,
            goes_on,
        });
        if before == 0 && stream.last > 0 {
            first = id.clone();
        }
        case.record.line(&format!(
            "stream {id} after {before}: {text}, last event {}",
            stream.last
        ));
        if stream.is_complete {
            break;
        }
        if let Some(wait) = retry_after {
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(wait.min(left / 3));
        }
    }
    stream
}

fn read_attempt(
    front: SocketAddr,
    request: &str,
    until: Instant,
    stream: &mut Stream,
) -> (String, Option<Duration>) {
    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)) else {
        return ("no connection".to_owned(), Some(Duration::from_millis(100)));
    };
    conn.until = Some(until);
    if conn.send(request.as_bytes()).is_err() {
        return ("cut".to_owned(), None);
    }
    let head = match conn.head() {
        Ok(Some(head)) => head,
        _ => return ("cut before the head".to_owned(), None),
    };
    if head.status() != 200 {
        let wait = head
            .get("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        let wait = Duration::from_secs_f64(wait.unwrap_or(0.1));
        return (format!("status {}", head.status()), Some(wait));
    }
    let mut text = String::new();
    loop {
        match conn.chunk() {
            Ok(Some(data)) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(None) => {
                stream.is_complete = stream.last == EVENTS;
                return (format!("end, complete {}", stream.is_complete), None);
            }
            Err(_) => return ("cut".to_owned(), None),
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let id = event
                .lines()
                .find_map(|line| line.strip_prefix("id: ")?.parse().ok());
            let version = event
                .lines()
                .find_map(|line| line.strip_prefix("data: ")?.split(' ').next());
            let (Some(id), Some(version)) = (id, version) else {
                stream.has_gap = true;
                continue;
            };
            stream.has_gap |= id != stream.last + 1;
            stream.last = id;
            if !stream.versions.iter().any(|known| known == version) {
                stream.versions.push(version.to_owned());
            }
        }
    }
}
