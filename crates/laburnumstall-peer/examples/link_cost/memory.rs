//! Memory and processor time of many connections.

use crate::cost::{resident_bytes, row, thread_time};
use crate::daemon::{Contact, Daemon, Message, runtime};

/// Daemons that one sends to.
const PEERS: u64 = 200;

pub(crate) fn measure() {
    runtime().block_on(async {
        let mut one = Daemon::start(0);
        let before = resident_bytes();
        let mut peers: Vec<_> = (1..=PEERS).map(Daemon::start).collect();
        let bound = resident_bytes();
        let contacts: Vec<Contact> = peers.iter().map(Daemon::contact).collect();
        one.know(&contacts);
        for peer in &peers {
            peer.know(&[one.contact()]);
        }
        let start = thread_time();
        for contact in &contacts {
            one.send(contact, Message::new(1, 100));
        }
        for peer in &mut peers {
            peer.message().await;
        }
        let time = thread_time() - start;
        let connected = resident_bytes();
        for peer in &peers {
            peer.send(&one.contact(), Message::new(1, 100));
        }
        for _ in &peers {
            one.message().await;
        }
        let both = resident_bytes();
        row("memory of an endpoint", kilobytes(bound - before));
        row(
            "memory of a connection, both ends",
            kilobytes(connected - bound),
        );
        row(
            "memory of the connection back, both ends",
            kilobytes(both - connected),
        );
        let micros = time.as_secs_f64() * 1e6 / PEERS as f64;
        row(
            "handshake and first message, both ends: time",
            format!("{micros:.0} us"),
        );
    });
}

fn kilobytes(bytes: u64) -> String {
    format!("{:.1} KiB", bytes as f64 / 1024.0 / PEERS as f64)
}
