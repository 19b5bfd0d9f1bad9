//! Round trips of small messages, alone and beside bulk data.

use std::time::Instant;

use hdrhistogram::Histogram;
use laburnumstall_peer::Lane;

use crate::cost::row;
use crate::daemon::{Contact, Daemon, Message, run_pair};

const ROUND_TRIPS: u64 = 20_000;
const BODY_BYTES: usize = 100;
const BULK_BYTES: usize = 64 << 10;

pub(crate) fn measure() {
    let quiet = run_pair(|a, b| ping(a, b, false), echo).0;
    print("round trip of 100 B, quiet link", &quiet);
    let busy = run_pair(|a, b| ping(a, b, true), echo).0;
    print("round trip of 100 B beside 64 KiB bulk messages", &busy);
}

fn print(what: &str, histogram: &Histogram<u64>) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let micros = histogram.value_at_quantile(quantile) as f64 / 1e3;
        row(&format!("{what}, {name}"), format!("{micros:.1} us"));
    }
}

async fn ping(mut daemon: Daemon, to: Contact, with_bulk: bool) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("a histogram");
    for number in 0..ROUND_TRIPS {
        if with_bulk {
            // A full queue means that the bulk lane is as busy as it can be.
            daemon.offer(Lane::Bulk, &to, Message::new(0, BULK_BYTES));
        }
        let start = Instant::now();
        daemon.send(&to, Message::new(number + 1, BODY_BYTES));
        let reply = daemon.message().await;
        assert_eq!(reply.number, number + 1);
        histogram
            .record(start.elapsed().as_nanos() as u64)
            .expect("a value");
    }
    daemon.send(&to, Message::new(u64::MAX, 0));
    daemon.endpoint.close().await;
    histogram
}

async fn echo(mut daemon: Daemon, to: Contact) {
    loop {
        let message = daemon.message().await;
        match message.number {
            0 => {}
            u64::MAX => return,
            _ => daemon.send(&to, message),
        }
    }
}
