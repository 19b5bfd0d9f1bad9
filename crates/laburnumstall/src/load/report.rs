//! What happened to the requests of a run.

use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use laburnumstall_core::domain_value;
use laburnumstall_core::error::{ErrorBody, Execution};
use serde::Serialize;

use super::check::AnswerVerdict;

/// Longest time that a histogram tells apart.
const MAX_RECORDED: Duration = Duration::from_secs(600);

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

domain_value! {
    /// Quantiles of a duration, in microseconds.
    #[derive(Default)]
    pub struct Quantiles {
        /// Number of values.
        pub count: u64,
        /// Median.
        pub p50: u64,
        /// 95 in 100 are at most this.
        pub p95: u64,
        /// 99 in 100 are at most this.
        pub p99: u64,
        /// Highest.
        pub max: u64,
    }
}

/// Collects durations.
#[derive(Debug)]
pub(crate) struct Durations(Histogram<u64>);

impl Durations {
    pub(crate) fn new() -> Self {
        let high = MAX_RECORDED.as_micros() as u64;
        let histogram = Histogram::new_with_bounds(1, high, DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }

    pub(crate) fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros.max(1));
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        Quantiles {
            count: self.0.len(),
            p50: self.0.value_at_quantile(0.50),
            p95: self.0.value_at_quantile(0.95),
            p99: self.0.value_at_quantile(0.99),
            max: self.0.max(),
        }
    }
}

/// How one request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    /// With an answer, which was checked.
    Answered(AnswerVerdict),
    /// With an error, before or after it was accepted.
    Error {
        /// The error.
        body: ErrorBody,
        /// Whether the caller had been given the request's id.
        was_accepted: bool,
        /// Whether a repetition has no further effect.
        is_idempotent: bool,
    },
    /// With nothing until its deadline.
    Nothing {
        /// Whether the caller had been given the request's id.
        was_accepted: bool,
    },
}

/// The end of one request, with what led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestEnd {
    /// How it ended.
    pub ending: Ending,
    /// Chunks of the answer that came.
    pub chunks: u64,
    /// When the caller last had to come back or send again.
    pub last_return: Option<Instant>,
}

/// Counts and times of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that waited because too many were on their way.
    pub delayed: u64,
    /// Requests answered whole, with the caller's own answer.
    pub whole: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests that ended with an unknown outcome.
    pub outcome_unknown: u64,
    /// Requests that ran and failed.
    pub ran_failed: u64,
    /// Requests that were never accepted or refused.
    pub unreached: u64,
    /// Accepted requests that ended without an answer although they could be repeated.
    pub lost: u64,
    /// Answers with a missing, repeated or changed part.
    pub damaged: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Times that a caller came back to an accepted request.
    pub attached: u64,
    /// Times that a request was sent again with its key.
    pub resent: u64,
    /// Time from sending to the first token of a stream.
    pub first_token: Quantiles,
    /// Time between two tokens of a stream.
    pub between_tokens: Quantiles,
    /// Time from sending to the end.
    pub total: Quantiles,
}

impl LoadReport {
    /// Tells whether no promise to callers was broken.
    pub fn is_kept(&self) -> bool {
        self.lost == 0 && self.damaged == 0 && self.foreign == 0
    }

    /// Counts the ending of one request.
    pub(crate) fn count(&mut self, ending: &Ending) {
        let counter = match ending {
            Ending::Answered(AnswerVerdict::Own) => &mut self.whole,
            Ending::Answered(AnswerVerdict::Damaged) => &mut self.damaged,
            Ending::Answered(AnswerVerdict::Foreign) => &mut self.foreign,
            Ending::Nothing { was_accepted: true }
            | Ending::Error {
                was_accepted: true,
                is_idempotent: true,
                ..
            } => &mut self.lost,
            Ending::Nothing {
                was_accepted: false,
            } => &mut self.unreached,
            Ending::Error { body, .. } => match body.execution {
                Execution::NotRun => &mut self.not_run,
                Execution::OutcomeUnknown => &mut self.outcome_unknown,
                Execution::RanFailed => &mut self.ran_failed,
            },
        };
        *counter += 1;
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("sent", self.sent),
            ("answered whole", self.whole),
            ("refused, not run", self.not_run),
            ("outcome unknown", self.outcome_unknown),
            ("ran and failed", self.ran_failed),
            ("unreached", self.unreached),
            ("lost after acceptance", self.lost),
            ("damaged answers", self.damaged),
            ("foreign answers", self.foreign),
            ("attached again", self.attached),
            ("sent again", self.resent),
            ("delayed by concurrency", self.delayed),
        ];
        for (name, count) in counts {
            writeln!(f, "{name:<24}{count:>10}")?;
        }
        writeln!(
            f,
            "\n{:<24}{:>10}{:>12}{:>12}{:>12}{:>12}",
            "", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"
        )?;
        write_quantiles(f, "first token", &self.first_token)?;
        write_quantiles(f, "between tokens", &self.between_tokens)?;
        write_quantiles(f, "total", &self.total)?;
        let verdict = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(f, "\npromises to callers: {verdict}")
    }
}

fn write_quantiles(f: &mut fmt::Formatter<'_>, name: &str, of: &Quantiles) -> fmt::Result {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    writeln!(
        f,
        "{name:<24}{:>10}{:>12.3}{:>12.3}{:>12.3}{:>12.3}",
        of.count,
        millis(of.p50),
        millis(of.p95),
        millis(of.p99),
        millis(of.max)
    )
}
