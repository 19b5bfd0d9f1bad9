//! What the links of an endpoint have sent and received, as the transport counts it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use quinn::{Connection, ConnectionStats};

/// Bytes of IPv4 and UDP headers that each datagram adds on the wire.
const HEADER_BYTES: u64 = 28;

/// Datagrams and bytes of an endpoint's connections since it was bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections that are open now.
    pub connections: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes of UDP payload sent.
    pub payload_sent: u64,
    /// Bytes of UDP payload received.
    pub payload_received: u64,
}

impl Traffic {
    /// Bytes sent with IPv4 and UDP headers.
    pub fn wire_sent(&self) -> u64 {
        self.payload_sent + self.datagrams_sent * HEADER_BYTES
    }

    /// Bytes received with IPv4 and UDP headers.
    pub fn wire_received(&self) -> u64 {
        self.payload_received + self.datagrams_received * HEADER_BYTES
    }

    fn add(&mut self, stats: &ConnectionStats) {
        self.datagrams_sent += stats.udp_tx.datagrams;
        self.datagrams_received += stats.udp_rx.datagrams;
        self.payload_sent += stats.udp_tx.bytes;
        self.payload_received += stats.udp_rx.bytes;
    }
}

/// Adds up the traffic of open and ended connections.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    ledger: Mutex<Ledger>,
}

#[derive(Debug, Default)]
struct Ledger {
    open: BTreeMap<usize, Connection>,
    ended: Traffic,
}

impl Meter {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection until the returned guard is dropped, which closes it.
    pub(crate) fn count(&self, conn: &Connection) -> CountedConnection<'_> {
        self.ledger().open.insert(conn.stable_id(), conn.clone());
        CountedConnection {
            meter: self,
            conn: conn.clone(),
        }
    }

    /// Returns the sum over all connections so far.
    pub(crate) fn total(&self) -> Traffic {
        let ledger = self.ledger();
        let mut total = ledger.ended;
        for conn in ledger.open.values() {
            total.add(&conn.stats());
        }
        total.connections = ledger.open.len() as u64;
        total
    }
}

/// A connection that is counted while this lives.
#[derive(Debug)]
pub(crate) struct CountedConnection<'a> {
    meter: &'a Meter,
    conn: Connection,
}

impl Drop for CountedConnection<'_> {
    fn drop(&mut self) {
        self.conn.close(crate::session::CLOSE_DONE.into(), b"ended");
        let mut ledger = self.meter.ledger();
        ledger.open.remove(&self.conn.stable_id());
        ledger.ended.add(&self.conn.stats());
    }
}
