//! Format of a log line.

use std::fmt::{self, Write};

use laburnumstall_core::decision::write_value;
use laburnumstall_core::ids::DaemonId;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Error, Record, StringBuf};

/// Prefix of a decision's text, which is already a list of pairs.
const DECISION_PREFIX: &str = "t=";

/// Formats a record as one line of key=value pairs.
///
/// A record's message is either a decision's text, which is copied unchanged, or the name of
/// an event, followed by the record's pairs.
#[derive(Debug, Clone)]
pub struct LineFormatter {
    daemon: DaemonId,
}

impl LineFormatter {
    /// Creates a formatter for the lines of `daemon`.
    pub fn new(daemon: DaemonId) -> Self {
        Self { daemon }
    }

    fn write(&self, record: &Record<'_>, dest: &mut StringBuf) -> fmt::Result {
        let time = humantime::format_rfc3339_micros(record.time());
        let level = record.level().as_str();
        write!(dest, "time={time} level={level} daemon={} ", self.daemon)?;
        let payload = record.payload();
        if payload.starts_with(DECISION_PREFIX) {
            dest.write_str(payload)?;
        } else {
            dest.write_str("event=")?;
            write_value(dest, payload)?;
        }
        for (key, value) in record.key_values() {
            write!(dest, " {}=", key.as_str())?;
            write_value(dest, &value.to_string())?;
        }
        dest.write_char('\n')
    }
}

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _cx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        self.write(record, dest).map_err(Error::FormatRecord)
    }
}
