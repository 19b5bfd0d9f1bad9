//! A bounded queue of log lines in front of a possibly slow writer.
//!
//! The daemon's threads only enqueue lines; a dedicated thread writes them. When the queue
//! is full, lines are dropped, counted, and the count is reported in the log.

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

/// Capacity of the queue in lines.
const QUEUED_LINES: usize = 4096;

/// Size in bytes at which a batch is written.
const BATCH_BYTES: usize = 64 << 10;

/// Line counters shared by the senders and the writer thread.
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

/// Enqueues each line without blocking.
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

/// The queue and its writer thread.
#[derive(Debug)]
pub(super) struct LineQueue {
    tx: SyncSender<Command>,
    ended: Receiver<()>,
    counts: Arc<LineCounts>,
}

impl LineQueue {
    /// Starts the writer thread; `format_dropped` formats the line that reports dropped lines.
    pub(super) fn start<W, F>(out: W, format_dropped: F) -> Result<Self, LogError>
    where
        W: Write + Send + 'static,
        F: Fn(u64) -> String + Send + 'static,
    {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        let (ended_tx, ended) = channel();
        let counts = Arc::new(LineCounts::default());
        let mut writer = Writer {
            out,
            format_dropped,
            counts: Arc::clone(&counts),
            reported: 0,
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                writer.run(&rx);
                // The receiver is dropped if nothing waits for the end.
                ended_tx.send(()).unwrap_or_default();
            })
            .context(ThreadSnafu)?;
        Ok(Self { tx, ended, counts })
    }

    /// Returns a new sender for the queue.
    pub(super) fn sender(&self) -> LineSender {
        LineSender {
            tx: self.tx.clone(),
            counts: Arc::clone(&self.counts),
        }
    }

    /// Returns the line counters.
    pub(super) fn counts(&self) -> &LineCounts {
        &self.counts
    }

    /// Flushes the queue and stops the thread; returns whether it ended within `limit`.
    pub(super) fn close(self, limit: Duration) -> bool {
        let stopper = self.tx.clone();
        // Sending blocks on a full queue, so a separate thread does it and `limit` holds.
        let stop_sent = thread::Builder::new().spawn(move || stopper.send(Command::Stop).is_ok());
        let ended = self.ended.recv_timeout(limit);
        stop_sent.is_ok() && matches!(ended, Ok(()) | Err(RecvTimeoutError::Disconnected))
    }
}

struct Writer<W, F> {
    out: W,
    format_dropped: F,
    counts: Arc<LineCounts>,
    reported: u64,
}

impl<W: Write, F: Fn(u64) -> String> Writer<W, F> {
    /// Writes batches of lines until the stop command.
    fn run(&mut self, rx: &Receiver<Command>) {
        let mut batch = Vec::new();
        while let Ok(first) = rx.recv() {
            let is_last = fill(&mut batch, first, rx);
            self.report_dropped(&mut batch);
            self.write(&batch);
            batch.clear();
            if is_last {
                return;
            }
        }
    }

    fn report_dropped(&mut self, batch: &mut Vec<u8>) {
        let dropped = self.counts.dropped();
        if dropped > self.reported {
            let line = (self.format_dropped)(dropped - self.reported);
            batch.extend_from_slice(line.as_bytes());
            self.reported = dropped;
        }
    }

    /// Writes a batch. Write errors are ignored, since there is nowhere else to report them.
    fn write(&mut self, batch: &[u8]) {
        self.out
            .write_all(batch)
            .and_then(|()| self.out.flush())
            .unwrap_or_default();
    }
}

/// Collects queued lines into a batch until it reaches [`BATCH_BYTES`]; returns whether it is
/// the last batch.
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
