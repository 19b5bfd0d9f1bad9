//! Whether the other side of a link still answers.
//!
//! Nothing is asked on a link without messages. After a write, any datagram that arrives
//! is an answer, since QUIC acknowledges what it receives. If none arrives, the other side
//! is asked again, and its port is tried: the system of a process that was killed refuses
//! at once, while a cut connection stays silent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quinn::Connection;
use tokio::time::{Instant, sleep, timeout};

use crate::endpoint::Shared;
use crate::link::Link;
use crate::{LostReason, probe};

/// Time between two looks at whether an answer has come.
const INTERVAL: Duration = Duration::from_millis(250);

/// A datagram that is acknowledged and not read; unlike streams, it is not flow-controlled.
const PING: Bytes = Bytes::from_static(&[0]);

/// Waits until the other side of `conn` doesn't answer any more, and says how.
pub(crate) async fn watch<M>(shared: &Shared<M>, link: &Link, conn: &Connection) -> LostReason {
    loop {
        link.written_to().await;
        let answer = answered(shared, link.address(), conn).await;
        if let Err(reason) = answer {
            return reason;
        }
    }
}

/// Waits for an answer, or for the reason why none comes.
async fn answered<M>(
    shared: &Shared<M>,
    address: SocketAddr,
    conn: &Connection,
) -> Result<(), LostReason> {
    let start = Instant::now();
    let heard = datagrams_heard(conn);
    loop {
        sleep(INTERVAL).await;
        if datagrams_heard(conn) != heard {
            return Ok(());
        }
        if start.elapsed() >= shared.timeouts().silence {
            return Err(LostReason::TimedOut);
        }
        // Only the answer matters; if the connection is lost, the session learns it.
        conn.send_datagram(PING).unwrap_or_default();
        let knock = probe::refused(shared.local(), address);
        if timeout(INTERVAL, knock).await.is_ok() {
            return Err(LostReason::Refused);
        }
    }
}

fn datagrams_heard(conn: &Connection) -> u64 {
    conn.stats().udp_rx.datagrams
}
