//! Bytes on the wire and processor time of heartbeats, of idle links and of handshakes.

use std::time::Duration;

use laburnumstall_peer::Traffic;

use crate::cost::{row, thread_time};
use crate::daemon::{Contact, Daemon, Message, run_pair};

const HEARTBEATS: u32 = 12;
const PERIOD: Duration = Duration::from_millis(500);
const BODY_BYTES: usize = 40;

/// Time for acknowledgements and path probing to end after the handshake.
const SETTLE: Duration = Duration::from_secs(1);

pub(crate) fn measure() {
    let (handshake, beats, idle) = run_pair(beat, beat).0;
    row(
        "handshakes of a pair, both ways: bytes sent and received",
        format!("{handshake} B"),
    );
    let seconds = (PERIOD * HEARTBEATS).as_secs_f64();
    let count = f64::from(HEARTBEATS);
    let bytes = (beats.bytes.wire_sent() + beats.bytes.wire_received()) as f64;
    let datagrams = (beats.bytes.datagrams_sent + beats.bytes.datagrams_received) as f64;
    row(
        "heartbeats both ways, 40 B each: wire bytes a heartbeat",
        format!("{:.0} B", bytes / count / 2.0),
    );
    row(
        "heartbeats both ways, 40 B each: datagrams a heartbeat",
        format!("{:.1}", datagrams / count / 2.0),
    );
    row(
        "heartbeats both ways each 500 ms: wire bytes a second",
        format!("{:.0} B", bytes / seconds),
    );
    row(
        "heartbeats both ways each 500 ms: time a second",
        format!("{:.0} us", beats.time.as_secs_f64() * 1e6 / seconds),
    );
    let bytes = (idle.bytes.wire_sent() + idle.bytes.wire_received()) as f64;
    row(
        "idle links of a pair, both ways: wire bytes a second",
        format!("{:.0} B", bytes / seconds),
    );
    row(
        "idle links of a pair, both ways: time a second",
        format!("{:.0} us", idle.time.as_secs_f64() * 1e6 / seconds),
    );
}

/// What a span of time cost.
struct Span {
    bytes: Traffic,
    time: Duration,
}

struct Meter {
    traffic: Traffic,
    time: Duration,
}

impl Meter {
    fn start(daemon: &Daemon) -> Self {
        Self {
            traffic: daemon.endpoint.traffic(),
            time: thread_time(),
        }
    }

    fn stop(self, daemon: &Daemon) -> Span {
        let now = daemon.endpoint.traffic();
        let bytes = Traffic {
            connections: now.connections,
            datagrams_sent: now.datagrams_sent - self.traffic.datagrams_sent,
            datagrams_received: now.datagrams_received - self.traffic.datagrams_received,
            payload_sent: now.payload_sent - self.traffic.payload_sent,
            payload_received: now.payload_received - self.traffic.payload_received,
        };
        let time = thread_time() - self.time;
        Span { bytes, time }
    }
}

/// Connects, sends heartbeats and is idle; returns what each part cost.
async fn beat(mut daemon: Daemon, to: Contact) -> (u64, Span, Span) {
    daemon.send(&to, Message::new(0, BODY_BYTES));
    daemon.message().await;
    tokio::time::sleep(SETTLE).await;
    let traffic = daemon.endpoint.traffic();
    let handshake = traffic.wire_sent() + traffic.wire_received();

    let meter = Meter::start(&daemon);
    for number in 0..HEARTBEATS {
        daemon.send(&to, Message::new(number.into(), BODY_BYTES));
        tokio::time::sleep(PERIOD).await;
    }
    let beats = meter.stop(&daemon);

    let meter = Meter::start(&daemon);
    tokio::time::sleep(PERIOD * HEARTBEATS).await;
    let idle = meter.stop(&daemon);
    (handshake, beats, idle)
}
