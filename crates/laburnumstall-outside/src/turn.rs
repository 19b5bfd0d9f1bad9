//! Turns of the tasks that read from connections on one thread.

use tokio::task::yield_now;

/// Work of a turn, in bytes: less than a millisecond of parsing.
const TURN_BYTES: usize = 64 << 10;
/// Work of a read whatever its size, in bytes. The reads of a turn stay far below the operations
/// after which the runtime makes all others of the task wait, timers among them.
const READ_BYTES: usize = 2 << 10;

/// What a task has read since the other tasks of its thread last ran.
///
/// A read that never waits never yields: without turns, a peer that writes as fast as it is read
/// holds the thread, and the deadline of the task that reads from it is not seen.
#[derive(Debug, Default)]
pub struct ReadTurn {
    spent: usize,
}

impl ReadTurn {
    /// Lets other tasks run if the turn is over. The call is cancel safe.
    pub async fn wait(&mut self) {
        if self.spent >= TURN_BYTES {
            yield_now().await;
            self.spent = 0;
        }
    }

    /// Counts a read.
    pub fn spend(&mut self, bytes: usize) {
        self.spent += bytes + READ_BYTES;
    }

    /// Begins a new turn, since a read has waited.
    pub fn restart(&mut self) {
        self.spent = 0;
    }
}
