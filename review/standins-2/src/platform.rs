//! What stands around the machines: the interface for duties, the operator and the clients.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::json::Json;
use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "archive.example";
/// Key of the first tenant.
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";

/// Configuration of one service with one route, `/r/`.
pub struct Rules {
    pub version: u64,
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
}

/// Starts the platform's interface for duties: it accepts what bears the highest token seen.
pub fn start_duties(ip: &str, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port for the duties");
    let address = listener.local_addr().expect("its address");
    let record = Arc::clone(record);
    let highest = Arc::new(Mutex::new(0_u64));
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let (record, highest) = (Arc::clone(&record), Arc::clone(&highest));
            thread::spawn(move || {
                let mut conn = Conn::new(io);
                while let Ok(Some(head)) = conn.head() {
                    let Ok(body) = conn.body(&head) else {
                        return;
                    };
                    let token = head
                        .get("x-fencing-token")
                        .and_then(|text| text.parse().ok());
                    let token: u64 = token.unwrap_or(0);
                    let mut highest = highest.lock().expect("the token");
                    let status = if token < *highest { 409 } else { 200 };
                    *highest = token.max(*highest);
                    drop(highest);
                    let text = String::from_utf8_lossy(&body).into_owned();
                    record.line(&format!(
                        "duty {} token {token} {status} {text}",
                        head.second()
                    ));
                    let reply =
                        format!("HTTP/1.1 {status} Status\r\ncontent-length: 2\r\n\r\n{{}}");
                    if conn.send(reply.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

impl Rules {
    /// Returns the value of `op/config`, with the tenants of a small deployment.
    pub fn value(&self) -> String {
        let names = ["huka270", "puhu251", "lolo118", "mira904", "tesu377"];
        let tenants = names.iter().enumerate().map(|(number, name)| {
            let keys = match number {
                0 => format!("\"{KEY}\""),
                _ => format!("\"{KEY}{number}\""),
            };
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[{keys}],\"unit\":\"tokens\",\"uncached_tokens\":200,\
                 \"rate_per_s\":0,\"burst\":0}}"
            )
        });
        let tenants = tenants.collect::<Vec<_>>().join(",");
        let Self {
            version,
            service,
            kind,
            timeout_ms,
            attempts,
            ..
        } = self;
        let resume = *kind == "streaming";
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"{HOST}\",\"prefix\":\"/r/\",\
             \"kind\":\"{kind}\",\"service\":\"{service}\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":300,\"target_itl_ms\":300,\"max_attempts\":{attempts},\"priority\":0,\
             \"stream_resume\":{resume}}}],\"services\":[{{\"name\":\"{service}\",\"max_connections\":370,\
             \"health_path\":\"/healthz\"}}],\"tenants\":[{tenants}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        )
    }
}

/// How one client attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A success with its whole body.
    Served,
    /// Another status.
    Status(u16),
    /// The connection ended before a whole answer.
    Cut,
    /// No whole answer came in time.
    Deadline,
    /// No connection was made.
    NoConnection,
}

impl End {
    pub fn name(&self) -> String {
        match self {
            Self::Served => "served".to_owned(),
            Self::Status(status) => format!("status-{status}"),
            Self::Cut => "cut".to_owned(),
            Self::Deadline => "deadline".to_owned(),
            Self::NoConnection => "no-connection".to_owned(),
        }
    }
}

/// Sends one plain request on `conn`, or on a new connection; a connection that can be used again is
/// put back.
pub fn call(conn: &mut Option<Conn>, at: SocketAddr, id: &str, key: &str, limit: Duration) -> End {
    let until = Instant::now() + limit;
    if conn.is_none() {
        *conn = Conn::connect(at, limit.min(Duration::from_secs(1))).ok();
    }
    let Some(mut open) = conn.take() else {
        return End::NoConnection;
    };
    open.until = Some(until);
    let request = format!(
        "GET /r/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
         X-Deadline-Ms: {}\r\n\r\n",
        limit.as_millis()
    );
    if open.send(request.as_bytes()).is_err() {
        return End::Cut;
    }
    let answer = open.head().and_then(|head| match head {
        Some(head) => open.body(&head).map(|body| Some((head, body))),
        None => Ok(None),
    });
    match answer {
        Ok(Some((head, body))) => {
            if !head.closes() {
                *conn = Some(open);
            }
            let is_own = body.starts_with(format!("{id} ").as_bytes());
            match head.status() {
                200 if is_own && head.get("x-replica-signature").is_some() => End::Served,
                status => End::Status(status),
            }
        }
        Ok(None) => End::Cut,
        Err(_) if Instant::now() >= until => End::Deadline,
        Err(_) => End::Cut,
    }
}

/// Asks the daemons that serve `registry` where to connect, one after the other.
pub fn resolve(registries: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    registries.iter().find_map(|at| {
        let limit = Duration::from_secs(1);
        let mut conn = Conn::connect(*at, limit).ok()?;
        conn.until = Some(Instant::now() + limit);
        let request = format!(
            "GET /api/resolve?name={HOST}&region=tt-north&zone=tt-north-a HTTP/1.1\r\nHost: {HOST}\r\n\
             connection: close\r\n\r\n"
        );
        conn.send(request.as_bytes()).ok()?;
        let head = conn.head().ok()??;
        let body = conn.body(&head).ok()?;
        let json = Json::parse(std::str::from_utf8(&body).ok()?)?;
        let addresses = json.get("addresses")?.list().iter();
        let addresses: Vec<SocketAddr> =
            addresses.filter_map(|at| at.text()?.parse().ok()).collect();
        (!addresses.is_empty()).then_some(addresses)
    })
}

/// Counts of ends by name.
pub fn tally<'a>(ends: impl Iterator<Item = &'a End>) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for end in ends {
        *counts.entry(end.name()).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    let counts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    counts.join(", ")
}
