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
use tokio::time::{sleep, timeout};

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
        link.write_begun().await;
        if let Err(reason) = taken(shared, link, conn).await {
            return reason;
        }
    }
}

/// Waits until what was written has been taken, or for the reason why it isn't.
///
/// One answer is enough after a small write. A large one goes on after the first answer:
/// it is taken when the other side answers and no more of it is sent.
async fn taken<M>(shared: &Shared<M>, link: &Link, conn: &Connection) -> Result<(), LostReason> {
    answered(shared, link.address(), conn).await?;
    let mut is_under_way = link.take_large_write();
    while is_under_way {
        let sent = conn.stats().frame_tx.stream;
        answered(shared, link.address(), conn).await?;
        let has_sent = conn.stats().frame_tx.stream != sent;
        is_under_way = link.take_large_write() || has_sent;
    }
    Ok(())
}

/// Waits for an answer, or for the reason why none comes.
///
/// Silence is counted in pings without an answer, not by the clock: after a pause of this
/// process the clock has gone on, but nobody was asked.
async fn answered<M>(
    shared: &Shared<M>,
    address: SocketAddr,
    conn: &Connection,
) -> Result<(), LostReason> {
    let heard = datagrams_heard(conn);
    sleep(INTERVAL).await;
    for _ in 0..pings(shared.timeouts().silence) {
        if datagrams_heard(conn) != heard {
            return Ok(());
        }
        // Only the answer matters; if the connection is lost, the session learns it.
        conn.send_datagram(PING).unwrap_or_default();
        let knock = probe::refused(shared.local(), address);
        if timeout(INTERVAL, knock).await.is_ok() {
            return Err(LostReason::Refused);
        }
    }
    if datagrams_heard(conn) == heard {
        return Err(LostReason::TimedOut);
    }
    Ok(())
}

/// Number of pings that fit in the silence after the first interval.
fn pings(silence: Duration) -> u32 {
    let intervals = silence.as_millis() / INTERVAL.as_millis();
    u32::try_from(intervals).unwrap_or(u32::MAX).max(2) - 1
}

fn datagrams_heard(conn: &Connection) -> u64 {
    conn.stats().udp_rx.datagrams
}
