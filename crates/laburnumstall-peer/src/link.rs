//! The sending side of a pair: queues, and the task that keeps a connection for them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use laburnumstall_core::ids::DaemonId;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Notify;

use crate::endpoint::Shared;
use crate::lane::{Batch, LaneQueue, LinkLane};
use crate::session::{self, SessionEnd};
use crate::{Lane, PeerEvent, SendFault};

/// Largest write, in bytes, that surely leaves with the first flight of packets.
const SMALL_WRITE_BYTES: usize = 8 << 10;

/// Queues of messages to one daemon, shared by the senders and the link's task.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    state: Mutex<LinkState>,
    wake: [Notify; 2],
    wrote: Notify,
    replaced: Notify,
}

#[derive(Debug, Default)]
struct LinkState {
    lanes: [LaneQueue; 2],
    is_draining: bool,
    pushed: u64,
    written: u64,
    writes: u32,
    has_large_write: bool,
}

/// What a lane does next.
#[derive(Debug)]
pub(crate) enum LaneStep {
    /// Write these frames.
    Write(Batch),
    /// Wait until something is queued.
    Wait,
    /// End the stream: the link is draining and the queue is empty.
    Finish,
}

impl Link {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: Mutex::default(),
            wake: [Notify::new(), Notify::new()],
            wrote: Notify::new(),
            replaced: Notify::new(),
        }
    }

    /// Address of the daemon at the other end.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message on a lane.
    pub(crate) fn push<M: Serialize>(&self, lane: Lane, message: &M) -> Result<(), SendFault> {
        let mut state = self.state();
        state.lanes[lane.index()].push(lane, message)?;
        state.pushed += 1;
        drop(state);
        self.wake[lane.index()].notify_one();
        Ok(())
    }

    /// Takes what a lane has to write.
    pub(crate) fn step(&self, lane: Lane) -> LaneStep {
        let mut state = self.state();
        match state.lanes[lane.index()].take() {
            Some(batch) => {
                state.written += batch.messages;
                LaneStep::Write(batch)
            }
            None if state.is_draining => LaneStep::Finish,
            None => LaneStep::Wait,
        }
    }

    /// Waits until a lane may have something to do.
    pub(crate) async fn woken(&self, lane: Lane) {
        self.wake[lane.index()].notified().await;
    }

    /// Notes that a write of some bytes begins, to which an answer is due.
    pub(crate) fn begin_write(&self, bytes: usize) {
        let mut state = self.state();
        state.writes += 1;
        state.has_large_write |= bytes > SMALL_WRITE_BYTES;
        drop(state);
        self.wrote.notify_one();
    }

    /// Notes that the transport has taken a write.
    pub(crate) fn end_write(&self) {
        self.state().writes -= 1;
    }

    /// Waits until a write begins.
    pub(crate) async fn write_begun(&self) {
        self.wrote.notified().await;
    }

    /// Tells whether a write is under way, or a large one was since the last call.
    pub(crate) fn take_large_write(&self) -> bool {
        let mut state = self.state();
        std::mem::take(&mut state.has_large_write) || state.writes > 0
    }

    /// Lets the lanes finish what is queued and then end the connection.
    pub(crate) fn drain(&self) {
        self.state().is_draining = true;
        for lane in Lane::ALL {
            self.wake[lane.index()].notify_one();
        }
    }

    /// Ends the connection at once.
    pub(crate) fn replace(&self) {
        self.replaced.notify_one();
    }

    /// Waits for [`Link::replace`].
    pub(crate) async fn replaced(&self) {
        self.replaced.notified().await;
    }

    /// Number of messages queued so far.
    pub(crate) fn pushed(&self) -> u64 {
        self.state().pushed
    }

    /// Tells whether the lanes are to end once nothing is queued.
    pub(crate) fn is_draining(&self) -> bool {
        self.state().is_draining
    }

    /// Tells whether nothing is queued on a lane.
    pub(crate) fn is_lane_empty(&self, lane: Lane) -> bool {
        self.state().lanes[lane.index()].is_empty()
    }

    /// Tells whether nothing is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.state().lanes.iter().all(LaneQueue::is_empty)
    }

    /// Makes the link ready for another connection.
    pub(crate) fn restart(&self) {
        let mut state = self.state();
        state.is_draining = false;
        state.written = 0;
        state.writes = 0;
        state.has_large_write = false;
    }

    /// Number of messages written on the present connection.
    fn written(&self) -> u64 {
        self.state().written
    }

    /// Takes back all that is queued, lane by lane.
    fn take_messages<M: DeserializeOwned>(&self) -> Vec<M> {
        let mut state = self.state();
        state
            .lanes
            .iter_mut()
            .flat_map(LaneQueue::take_messages)
            .collect()
    }
}

/// Keeps a connection for `link` until nothing is queued and none is needed.
pub(crate) async fn run<M>(shared: Arc<Shared<M>>, to: DaemonId, link: Arc<Link>)
where
    M: DeserializeOwned + Send + 'static,
{
    loop {
        match session::run(&shared, &to, &link).await {
            SessionEnd::Drained => {}
            SessionEnd::Lost(reason) => {
                let event = PeerEvent::Lost {
                    to: to.clone(),
                    reason,
                    undelivered: link.take_messages(),
                    unconfirmed: link.written(),
                };
                shared.report(event).await;
            }
        }
        if shared.retire(&to, &link) {
            return;
        }
    }
}
