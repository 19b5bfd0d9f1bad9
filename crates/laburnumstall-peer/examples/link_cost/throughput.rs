//! Messages a second in one direction, and the processor time of each.

use std::time::{Duration, Instant};

use laburnumstall_peer::Lane;

use crate::cost::{row, thread_time};
use crate::daemon::{Contact, Daemon, Message, run_pair};

/// Size of messages and number of them.
const RUNS: [(usize, u64); 3] = [(100, 1_000_000), (1_000, 300_000), (64 << 10, 10_000)];

pub(crate) fn measure() {
    for (bytes, count) in RUNS {
        let (sender, receiver) = run_pair(
            move |a, b| flood(a, b, bytes, count),
            move |b, _| drain(b, count),
        );
        let (took, received) = receiver;
        let rate = count as f64 / took.as_secs_f64();
        row(
            &format!("one way, {bytes} B: messages a second"),
            format!("{rate:.0}"),
        );
        row(
            &format!("one way, {bytes} B: sender's time a message"),
            each(sender, count),
        );
        row(
            &format!("one way, {bytes} B: receiver's time a message"),
            each(received, count),
        );
    }
}

fn each(total: Duration, count: u64) -> String {
    format!("{:.2} us", total.as_secs_f64() * 1e6 / count as f64)
}

/// Sends as fast as the queue allows; returns the thread's processor time.
async fn flood(daemon: Daemon, to: Contact, bytes: usize, count: u64) -> Duration {
    let message = Message::new(1, bytes);
    let start = thread_time();
    for _ in 0..count {
        let mut next = Some(message.clone());
        while let Some(message) = next {
            next = daemon.offer(Lane::Control, &to, message);
            if next.is_some() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
    // The receiver may take longer than the close timeout, which would cut it off.
    while daemon.endpoint.traffic().payload_sent < bytes as u64 * count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    daemon.endpoint.close().await;
    thread_time() - start
}

/// Receives all; returns the time from the first to the last and the processor time.
async fn drain(mut daemon: Daemon, count: u64) -> (Duration, Duration) {
    daemon.message().await;
    let (start, used) = (Instant::now(), thread_time());
    for _ in 1..count {
        daemon.message().await;
    }
    let result = (start.elapsed(), thread_time() - used);
    // The sender closes first, so that it sees the receipt.
    tokio::time::sleep(Duration::from_millis(100)).await;
    result
}
