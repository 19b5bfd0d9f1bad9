//! Stand-in for the platform's interface for duties.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Conn;
use crate::json::Json;
use crate::record::Record;

/// Time after which a call that got no answer is carried out.
const LATE: Duration = Duration::from_millis(4_000);

/// An accepted usage report.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    pub holder: String,
    pub token: u64,
    /// Counts as sent.
    pub counts: String,
}

pub struct Duties {
    record: Record,
    highest: Mutex<u64>,
    /// Accepted reports by window.
    accepted: Mutex<BTreeMap<u64, Vec<Report>>>,
    calls: AtomicU64,
    /// One in so many calls gets no answer and is carried out late; 0 for none.
    late_period: AtomicU64,
}

impl Duties {
    /// Starts the interface, which refuses fencing tokens below the highest one.
    pub fn start(record: &Record) -> io::Result<(SocketAddr, Arc<Self>)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let duties = Arc::new(Self {
            record: record.clone(),
            highest: Mutex::new(0),
            accepted: Mutex::default(),
            calls: AtomicU64::new(0),
            late_period: AtomicU64::new(0),
        });
        let serving = Arc::clone(&duties);
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let duties = Arc::clone(&serving);
                thread::spawn(move || duties.serve(Conn::new(io)));
            }
        });
        Ok((address, duties))
    }

    /// Leaves one in `period` calls without an answer.
    pub fn set_late(&self, period: u64) {
        self.late_period.store(period, Ordering::SeqCst);
    }

    /// Returns the windows with accepted reports of different counts, and the tokens of several
    /// holders.
    pub fn faults(&self) -> (usize, usize, usize) {
        let Ok(accepted) = self.accepted.lock() else {
            return (0, 0, 0);
        };
        let mut holders = BTreeMap::<u64, Vec<&str>>::new();
        for report in accepted.values().flatten() {
            let known = holders.entry(report.token).or_default();
            if !known.contains(&report.holder.as_str()) {
                known.push(&report.holder);
            }
        }
        let differ = |reports: &&Vec<Report>| {
            reports
                .iter()
                .any(|report| report.counts != reports[0].counts)
        };
        (
            accepted.len(),
            accepted.values().filter(differ).count(),
            holders.values().filter(|holders| holders.len() > 1).count(),
        )
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(head) = conn.head(None) {
            let Ok(body) = conn.body(&head, None) else {
                return;
            };
            let holder = head.get("x-duty-owner").unwrap_or_default().to_owned();
            let token = head.get("x-fencing-token");
            let token: u64 = token.and_then(|token| token.parse().ok()).unwrap_or(0);
            let number = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
            let period = self.late_period.load(Ordering::SeqCst);
            if period > 0 && number.is_multiple_of(period) {
                thread::sleep(LATE);
                self.carry_out(&holder, token, &body);
                return;
            }
            let status = self.carry_out(&holder, token, &body);
            if conn.reply(status, "", b"{}").is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, holder: &str, token: u64, body: &[u8]) -> u16 {
        let status = match self.highest.lock() {
            Ok(highest) if token < *highest => 409,
            Ok(mut highest) => {
                *highest = token;
                200
            }
            Err(_) => 503,
        };
        let text = String::from_utf8_lossy(body).into_owned();
        self.record
            .line(format!("usage {status} {holder} {token} {text}"));
        let window = Json::parse(body).and_then(|body| body.get("window_id")?.number());
        let counts = text.split_once("\"counts\"").map(|(_, counts)| counts);
        if status == 200
            && let (Some(window), Some(counts)) = (window, counts)
            && let Ok(mut accepted) = self.accepted.lock()
        {
            accepted.entry(window).or_default().push(Report {
                holder: holder.to_owned(),
                token,
                counts: counts.to_owned(),
            });
        }
        status
    }
}
