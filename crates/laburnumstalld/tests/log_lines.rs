//! Format of log lines, and logging with a slow reader.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use laburnumstall_core::decision::{Decision, DecisionKind};
use laburnumstall_core::ids::DaemonId;
use laburnumstall_core::units::Timestamp;
use laburnumstalld::logging::EventLog;
use quickcheck::{Gen, QuickCheck};
use spdlog::Level;

/// An in-memory output whose writes can be blocked.
#[derive(Clone, Default)]
struct Pipe {
    inner: Arc<(Mutex<PipeState>, Condvar)>,
}

#[derive(Default)]
struct PipeState {
    is_blocked: bool,
    is_writer_waiting: bool,
    text: Vec<u8>,
}

impl Pipe {
    fn set_blocked(&self, is_blocked: bool) {
        self.inner.0.lock().expect("the state").is_blocked = is_blocked;
        self.inner.1.notify_all();
    }

    /// Waits until a write is blocked.
    fn wait_for_writer(&self) {
        let mut state = self.inner.0.lock().expect("the state");
        while !state.is_writer_waiting {
            state = self.inner.1.wait(state).expect("the state");
        }
    }

    /// Returns the lines without their times, which are validated.
    fn lines(&self) -> Vec<String> {
        let state = self.inner.0.lock().expect("the state");
        let text = String::from_utf8(state.text.clone()).expect("text");
        assert!(text.is_empty() || text.ends_with('\n'));
        text.lines().map(without_time).collect()
    }
}

fn without_time(line: &str) -> String {
    let (time, rest) = line.split_once(' ').expect("more than a time");
    let time = time.strip_prefix("time=").expect("a time");
    assert_eq!(time.len(), "2026-01-01T00:00:00.000000Z".len());
    humantime::parse_rfc3339(time).expect("a time by RFC 3339");
    rest.to_owned()
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.inner.0.lock().expect("the state");
        while state.is_blocked {
            state.is_writer_waiting = true;
            self.inner.1.notify_all();
            state = self.inner.1.wait(state).expect("the state");
        }
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start(pipe: &Pipe) -> EventLog {
    let daemon: DaemonId = "entry-1@3".parse().expect("a daemon");
    EventLog::start(&daemon, Level::Info, pipe.clone()).expect("a log")
}

#[test]
fn lines_are_key_value_pairs() {
    let pipe = Pipe::default();
    let log = start(&pipe);
    let decision = Decision::new(Timestamp(1_500_000), DecisionKind::Route, "e-7", "shortest")
        .with("request", "r-entry-1@3-9-0000002a")
        .with("scores", "e-7=0.2 e-9=0.4")
        .with("prefix", "");
    log.decision(&decision);
    let logger = log.logger();
    spdlog::info!(logger: logger, "listening", kv: { address: = "10.0.0.1:8080", workers = 4 });
    spdlog::warn!(logger: logger, "store-call-failed", kv: {
        call = "get", error = "timed out after 2s\nsecond line \"quoted\" a=b",
    });
    spdlog::error!(logger: logger, "two words");
    spdlog::debug!(logger: logger, "below-the-level");
    assert!(log.close());
    insta::assert_snapshot!("lines", pipe.lines().join("\n"));
}

/// Fails without `self.report_dropped`; hangs if `LineSender::write` blocks.
#[test]
fn a_slow_reader_blocks_no_logging_thread() {
    let pipe = Pipe::default();
    pipe.set_blocked(true);
    let log = start(&pipe);
    spdlog::info!(logger: log.logger(), "first");
    pipe.wait_for_writer();
    for number in 0..5_000 {
        spdlog::info!(logger: log.logger(), "event", kv: { number });
    }
    let dropped = log.dropped();
    assert!(dropped > 0);
    pipe.set_blocked(false);
    assert!(log.close());
    let lines = pipe.lines();
    let report = format!("level=warn daemon=entry-1@3 event=log-lines-dropped lines={dropped}");
    assert!(lines.contains(&report), "{:?}", lines.last());
    assert_eq!(lines.len() as u64, 1 + 5_000 - dropped + 1);
}

/// A reader that has stopped reading must not keep the process from stopping.
#[test]
fn close_returns_with_a_dead_reader() {
    let pipe = Pipe::default();
    pipe.set_blocked(true);
    let log = start(&pipe);
    spdlog::info!(logger: log.logger(), "first");
    assert!(!log.close());
    pipe.set_blocked(false);
}

#[test]
fn arbitrary_values_stay_on_one_line() {
    fn property(name: String, value: String) -> bool {
        let pipe = Pipe::default();
        let log = start(&pipe);
        spdlog::info!(logger: log.logger(), "{name}", kv: { value = value.as_str() });
        let is_whole = log.close();
        // A name with a decision's prefix is copied unescaped; real names are constants.
        is_whole && (name.starts_with("t=") || pipe.lines().len() == 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(32, 7))
        .tests(1_000)
        .quickcheck(property as fn(String, String) -> bool);
}
