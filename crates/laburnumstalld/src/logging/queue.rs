//! A bounded queue of lines before a writer that may be slow.
//!
//! The threads of the daemon only ever put a line into the queue. A thread of the queue's
//! own writes them; when the queue is full, lines are dropped, counted and told.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{
    Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError, channel, sync_channel,
};
use std::thread;
use std::time::Duration;

use snafu::ResultExt;

use super::{LogError, ThreadSnafu};

/// Most lines that wait for the writer.
const QUEUED_LINES: usize = 4096;

/// Most bytes of lines that are written at once.
const BATCH_BYTES: usize = 64 << 10;

/// Numbers of lines, shared by the senders and the writing thread.
#[derive(Debug, Default)]
pub(super) struct LineCounts {
    dropped: AtomicU64,
}

impl LineCounts {
    /// Lines dropped so far because the queue was full.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
enum Command {
    Line(Vec<u8>),
    Stop,
}

/// Puts each line into the queue; never waits.
#[derive(Debug)]
pub(super) struct LineSender {
    tx: SyncSender<Command>,
    counts: Arc<LineCounts>,
}

impl Write for LineSender {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(Command::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The queue with its writing thread.
#[derive(Debug)]
pub(super) struct LineQueue {
    tx: SyncSender<Command>,
    ended: Receiver<()>,
    counts: Arc<LineCounts>,
}

impl LineQueue {
    /// Starts the writing thread; `told` formats the line that tells of dropped ones.
    pub(super) fn start<W, F>(out: W, told: F) -> Result<Self, LogError>
    where
        W: Write + Send + 'static,
        F: Fn(u64) -> String + Send + 'static,
    {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        let (ended_tx, ended) = channel();
        let counts = Arc::new(LineCounts::default());
        let mut writer = Writer {
            out,
            told,
            counts: Arc::clone(&counts),
            told_count: 0,
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                writer.run(&rx);
                // The receiver is gone if nobody waits for the end.
                ended_tx.send(()).unwrap_or_default();
            })
            .context(ThreadSnafu)?;
        Ok(Self { tx, ended, counts })
    }

    /// Returns a sender for the queue.
    pub(super) fn sender(&self) -> LineSender {
        LineSender {
            tx: self.tx.clone(),
            counts: Arc::clone(&self.counts),
        }
    }

    /// Returns the shared counts.
    pub(super) fn counts(&self) -> &LineCounts {
        &self.counts
    }

    /// Writes what is queued and ends the thread; returns whether that took at most `limit`.
    pub(super) fn close(self, limit: Duration) -> bool {
        let stopper = self.tx.clone();
        // A full queue is waited for by a thread of its own, so that `limit` holds.
        let asked = thread::Builder::new().spawn(move || stopper.send(Command::Stop).is_ok());
        let ended = self.ended.recv_timeout(limit);
        asked.is_ok() && matches!(ended, Ok(()) | Err(RecvTimeoutError::Disconnected))
    }
}

struct Writer<W, F> {
    out: W,
    told: F,
    counts: Arc<LineCounts>,
    told_count: u64,
}

impl<W: Write, F: Fn(u64) -> String> Writer<W, F> {
    /// Writes batches of lines until it is told to stop.
    fn run(&mut self, rx: &Receiver<Command>) {
        let mut batch = Vec::new();
        while let Ok(first) = rx.recv() {
            let is_last = fill(&mut batch, first, rx);
            self.tell_dropped(&mut batch);
            self.write(&batch);
            batch.clear();
            if is_last {
                return;
            }
        }
    }

    fn tell_dropped(&mut self, batch: &mut Vec<u8>) {
        let dropped = self.counts.dropped();
        if dropped > self.told_count {
            let line = (self.told)(dropped - self.told_count);
            batch.extend_from_slice(line.as_bytes());
            self.told_count = dropped;
        }
    }

    /// Writes a batch; lines that the output refuses have nowhere else to go.
    fn write(&mut self, batch: &[u8]) {
        self.out
            .write_all(batch)
            .and_then(|()| self.out.flush())
            .unwrap_or_default();
    }
}

/// Collects what is queued, up to [`BATCH_BYTES`]; returns whether it was the last.
fn fill(batch: &mut Vec<u8>, first: Command, rx: &Receiver<Command>) -> bool {
    let mut next = Ok(first);
    loop {
        match next {
            Ok(Command::Line(line)) => batch.extend_from_slice(&line),
            Ok(Command::Stop) | Err(TryRecvError::Disconnected) => return true,
            Err(TryRecvError::Empty) => return false,
        }
        if batch.len() >= BATCH_BYTES {
            return false;
        }
        next = rx.try_recv();
    }
}
